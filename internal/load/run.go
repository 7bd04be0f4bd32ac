package load

import (
	"context"
	"fmt"
	"io"
	"runtime"
	"sync"
	"time"
)

// Options say where a plan is asked, and who hears of it.
type Options struct {
	Target   string    // host:port
	Anywhere bool      // it need not be on this machine
	Out      io.Writer // gets a line a second; nil: nobody does
	// Route names the target of each try of a request over HTTP, on this machine; nil: it is Target.
	Route func(s *Shot, try int) (target string)
	// Before hears of each try that is about to be asked, by its id, and Ended of each that has an end; both may be called by many
	// goroutines at once. nil: nobody does.
	Before func(s *Shot, try int, id string)
	Ended  func(e End)
}

// End is how one try of a request ended.
type End struct {
	Shot       *Shot
	Kind       string
	Try        int
	Target     string
	At         time.Time // when it was asked
	Took       time.Duration
	Status     string // such as 200 or 503; of what has none, why
	Good       bool
	Refused    bool // and asking again is harmless
	RetryAfter time.Duration
}

// Run asks a plan. When ctx ends it asks nothing more, waits for what is out as long as that has time, and gives what came of it by then.
// An error means that nothing was asked.
func Run(ctx context.Context, p *Plan, o Options) (*Result, error) {
	if err := loopback(o.Target); err != nil && !o.Anywhere && o.Route == nil {
		return nil, err
	}
	var overH way = newHTTP(p.Connections)
	defer overH.close()
	var overG way
	for _, k := range p.Kinds {
		if k.GRPC && overG == nil {
			g, err := newGRPC(o.Target, p.Connections)
			if err != nil {
				return nil, err
			}
			overG = g
			defer overG.close()
		}
	}
	res := newResult(p, o.Target)
	r := runner{p: p, o: &o, res: res, start: time.Now(), room: make(chan bool, p.Open)}
	stop := r.tell(o.Out)
	defer stop()
	var asking sync.WaitGroup
	draw := NewDrawer(p)
	for {
		s, ok := draw.Next()
		if !ok {
			break
		}
		if !until(ctx, r.start.Add(s.At)) {
			res.Partial = true
			break
		}
		lag := time.Since(r.start) - s.At
		k := &p.Kinds[s.Kind]
		w := overH
		if k.GRPC {
			w = overG
		}
		select {
		case r.room <- true:
		default: // so many wait already: it is lost, and counts as such
			res.lost(&s, lag)
			continue
		}
		res.asked(lag)
		asking.Go(func() {
			defer func() { <-r.room }()
			r.client(w, k, &s)
		})
	}
	asking.Wait()
	res.end(time.Since(r.start))
	return res, nil
}

// early is how much too late a timer may come: the system's clocks wake a sleeper a millisecond late.
const early = 1500 * time.Microsecond

// until waits for a time more closely than timers do: the last of it is spent looking at the clock, which takes a processor where much
// is asked.
func until(ctx context.Context, at time.Time) bool {
	if !sleep(ctx, time.Until(at)-early) {
		return false
	}
	for time.Until(at) > 0 {
		runtime.Gosched()
	}
	return ctx.Err() == nil
}

// sleep waits, and tells whether ctx goes on.
func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

type runner struct {
	p     *Plan
	o     *Options
	res   *Result
	start time.Time
	room  chan bool
}

// client is one client's request with its tries. Its time counts from when it should have asked.
func (r *runner) client(w way, k *Kind, s *Shot) {
	due := r.start.Add(s.At + r.p.Timeout)
	ctx, cancel := context.WithDeadline(context.Background(), due)
	defer cancel()
	for try := 0; ; try++ {
		target := r.o.Target
		if r.o.Route != nil && !k.GRPC {
			target = r.o.Route(s, try)
		}
		if r.o.Before != nil {
			r.o.Before(s, try, id(s, try))
		}
		asked := time.Now()
		a := w.ask(ctx, target, k, s, try, time.Until(due))
		took := time.Since(r.start) - s.At
		if r.o.Ended != nil {
			r.o.Ended(End{Shot: s, Kind: k.Name, Try: try, Target: target, At: asked, Took: time.Since(asked), Status: a.status, Good: a.good, Refused: a.refused,
				RetryAfter: a.retryAfter})
		}
		wait := a.retryAfter
		if s.Hasty {
			wait = 0
		}
		if a.refused && (s.Follows || s.Hasty) && try+1 < r.p.Tries && time.Now().Add(wait).Before(due) {
			r.res.again()
			if sleep(ctx, wait) {
				continue
			}
		}
		r.res.ended(s, took, &a)
		return
	}
}

// tell says a line a second, until it is stopped.
func (r *runner) tell(out io.Writer) (stop func()) {
	if out == nil {
		return func() {}
	}
	ended := make(chan bool)
	var telling sync.WaitGroup
	telling.Go(func() {
		t := time.NewTicker(time.Second)
		defer t.Stop()
		for {
			select {
			case <-t.C:
				fmt.Fprintln(out, r.res.line())
			case <-ended:
				return
			}
		}
	})
	return func() {
		close(ended)
		telling.Wait()
	}
}
