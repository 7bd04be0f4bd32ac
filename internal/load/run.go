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
	Target      string    // host:port
	AllowRemote bool      // it need not be on this machine
	Progress    io.Writer // gets a line a second; nil: nobody does
	// Route names the target of each try of a request over HTTP, on this machine; nil: it is Target.
	Route func(s *Request, try int) (target string)
	// Before hears of each try that is about to be asked, by its id, and Ended of each that has an end; both may be called by many
	// goroutines at once. nil: nobody does.
	BeforeTry func(s *Request, try int, id string)
	OnOutcome func(e Outcome)
}

// End is how one try of a request ended.
type Outcome struct {
	Request    *Request
	Kind       string
	Try        int
	Target     string
	SentAt     time.Time // when it was asked
	Latency    time.Duration
	Status     string // such as 200 or 503; of what has none, why
	Good       bool
	Rejected   bool // and asking again is harmless
	RetryAfter time.Duration
}

// Run asks a plan. When ctx ends it asks nothing more, waits for what is out as long as that has time, and gives what came of it by then.
// An error means that nothing was asked.
func Run(ctx context.Context, p *Plan, o Options) (*Result, error) {
	if err := requireLoopback(o.Target); err != nil && !o.AllowRemote && o.Route == nil {
		return nil, err
	}
	var overH client = newHTTPClient(p.Connections)
	defer overH.close()
	var overG client
	for _, k := range p.Kinds {
		if k.GRPC && overG == nil {
			g, err := newGRPCClient(o.Target, p.Connections)
			if err != nil {
				return nil, err
			}
			overG = g
			defer overG.close()
		}
	}
	res := newResult(p, o.Target)
	r := runner{plan: p, options: &o, result: res, start: time.Now(), slots: make(chan bool, p.MaxOpen)}
	stop := r.reportProgress(o.Progress)
	defer stop()
	var asking sync.WaitGroup
	draw := NewGenerator(p)
	for {
		s, ok := draw.Next()
		if !ok {
			break
		}
		if !waitUntil(ctx, r.start.Add(s.At)) {
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
		case r.slots <- true:
		default: // so many wait already: it is lost, and counts as such
			res.recordDropped(&s, lag)
			continue
		}
		res.recordSent(lag)
		asking.Go(func() {
			defer func() { <-r.slots }()
			r.runRequest(w, k, &s)
		})
	}
	asking.Wait()
	res.finish(time.Since(r.start))
	return res, nil
}

// early is how much too late a timer may come: the system's clocks wake a sleeper a millisecond late.
const spinWindow = 1500 * time.Microsecond

// until waits for a time more closely than timers do: the last of it is spent looking at the clock, which takes a processor where much
// is asked.
func waitUntil(ctx context.Context, at time.Time) bool {
	if !sleep(ctx, time.Until(at)-spinWindow) {
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
	plan    *Plan
	options *Options
	result  *Result
	start   time.Time
	slots   chan bool
}

// client is one client's request with its tries. Its time counts from when it should have asked.
func (r *runner) runRequest(w client, k *RequestKind, s *Request) {
	due := r.start.Add(s.At + r.plan.Timeout)
	ctx, cancel := context.WithDeadline(context.Background(), due)
	defer cancel()
	for try := 0; ; try++ {
		target := r.options.Target
		if r.options.Route != nil && !k.GRPC {
			target = r.options.Route(s, try)
		}
		if r.options.BeforeTry != nil {
			r.options.BeforeTry(s, try, requestID(s, try))
		}
		asked := time.Now()
		a := w.send(ctx, target, k, s, try, time.Until(due))
		took := time.Since(r.start) - s.At
		if r.options.OnOutcome != nil {
			r.options.OnOutcome(Outcome{Request: s, Kind: k.Name, Try: try, Target: target, SentAt: asked, Latency: time.Since(asked), Status: a.status, Good: a.good, Rejected: a.rejected,
				RetryAfter: a.retryAfter})
		}
		wait := a.retryAfter
		if s.RetriesImmediately {
			wait = 0
		}
		if a.rejected && (s.FollowsRetryAfter || s.RetriesImmediately) && try+1 < r.plan.MaxTries && time.Now().Add(wait).Before(due) {
			r.result.recordRetry()
			if sleep(ctx, wait) {
				continue
			}
		}
		r.result.recordOutcome(s, took, &a)
		return
	}
}

// tell says a line a second, until it is stopped.
func (r *runner) reportProgress(out io.Writer) (stop func()) {
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
				fmt.Fprintln(out, r.result.progressLine())
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
