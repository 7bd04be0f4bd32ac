package load

import (
	"context"
	"fmt"
	"io"
	"runtime"
	"slices"
	"sync"
	"time"
)

// Options configure where the requests of a run are sent, and callbacks for them.
type Options struct {
	Target      string    // host:port
	AllowRemote bool      // Target may be on another machine
	Progress    io.Writer // gets a progress line every second; nil means none
	// Route returns the target of each try over HTTP. The caller must return only targets on this machine: they are
	// not checked. nil means Target.
	Route func(r *Request, try int) (target string)
	// BeforeTry is called before each try, with the request ID that the try is sent with. OnOutcome is called after
	// each try. Both may be called concurrently, and both may be nil.
	BeforeTry func(r *Request, try int, id string)
	OnOutcome func(outcome Outcome)
}

// Outcome is the result of one try of a request.
type Outcome struct {
	Request    *Request
	Kind       string // RequestKind.Name
	Try        int    // 0 is the first
	Target     string
	SentAt     time.Time
	Latency    time.Duration // of this try, from SentAt
	Status     string        // such as 200 or 503; without a response, the reason
	Good       bool          // the response is successful
	Rejected   bool          // the response says that the request was rejected, so that a retry is safe
	RetryAfter time.Duration // the delay before a retry that a rejection asks for; 0 if it has none
}

// Run sends a plan's requests and returns their result. When ctx ends, it sends no further requests, waits for those in
// flight until their timeouts, and returns the result so far. An error means that nothing was sent.
func Run(ctx context.Context, p *Plan, o Options) (*Result, error) {
	if err := requireLoopback(o.Target); err != nil && !o.AllowRemote && o.Route == nil {
		return nil, err
	}
	r := runner{
		plan: p, options: &o, slots: make(chan bool, p.MaxOpen), http: newHTTPClient(p.Connections),
	}
	defer r.http.close()
	if slices.ContainsFunc(p.Kinds, func(k RequestKind) bool { return k.GRPC }) {
		grpc, err := newGRPCClient(o.Target, p.Connections)
		if err != nil {
			return nil, err
		}
		defer grpc.close()
		r.grpc = grpc
	}
	r.result, r.start = newResult(p, o.Target), time.Now()
	stop := r.reportProgress(o.Progress)
	defer stop()
	r.run(ctx)
	return r.result, nil
}

// runner is the state of a run.
type runner struct {
	plan    *Plan
	options *Options
	result  *Result
	start   time.Time
	slots   chan bool // has an element for each request in flight
	http    client
	grpc    client // nil if no kind of request uses gRPC
}

// run sends all requests and waits for their outcomes.
func (r *runner) run(ctx context.Context) {
	var sending sync.WaitGroup
	generator := NewGenerator(r.plan)
	for {
		request, ok := generator.Next()
		if !ok {
			break
		}
		if !waitUntil(ctx, r.start.Add(request.At)) {
			r.result.Partial = true
			break
		}
		lag := time.Since(r.start) - request.At
		select {
		case r.slots <- true:
		default: // Plan.MaxOpen requests are in flight
			r.result.recordDropped(&request, lag)
			continue
		}
		r.result.recordScheduled(lag)
		sending.Go(func() {
			defer func() { <-r.slots }()
			r.runRequest(&request)
		})
	}
	sending.Wait()
	r.result.finish(time.Since(r.start))
}

// spinWindow is the time before the end of a wait in which waitUntil polls the clock instead of sleeping, because the
// operating system wakes a sleeping thread up to a millisecond late.
const spinWindow = 1500 * time.Microsecond

// waitUntil waits for a time more precisely than a timer, as it polls the clock at the end. This uses up to a full core
// at high rates. It returns false if ctx has ended.
func waitUntil(ctx context.Context, at time.Time) bool {
	if !sleep(ctx, time.Until(at)-spinWindow) {
		return false
	}
	for time.Until(at) > 0 {
		runtime.Gosched()
	}
	return ctx.Err() == nil
}

// sleep waits for d and returns true, or returns false once ctx has ended.
func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// runRequest sends one request with its retries and records its outcome. The latency counts from the time at which the
// request was due.
func (r *runner) runRequest(request *Request) {
	kind := &r.plan.Kinds[request.Kind]
	deadline := r.start.Add(request.At + r.plan.Timeout)
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	for try := 0; ; try++ {
		reply := r.sendTry(ctx, kind, request, try, deadline)
		latency := time.Since(r.start) - request.At
		wait := reply.retryAfter
		if request.RetriesImmediately {
			wait = 0
		}
		retries := request.FollowsRetryAfter || request.RetriesImmediately
		if reply.rejected && retries && try+1 < r.plan.MaxTries && time.Now().Add(wait).Before(deadline) {
			r.result.recordRetry()
			if sleep(ctx, wait) {
				continue
			}
		}
		r.result.recordOutcome(request, latency, &reply)
		return
	}
}

// sendTry sends one try of a request and reports its outcome.
func (r *runner) sendTry(ctx context.Context, kind *RequestKind, request *Request, try int, deadline time.Time) reply {
	target, sender := r.options.Target, r.http
	if kind.GRPC {
		sender = r.grpc
	} else if r.options.Route != nil {
		target = r.options.Route(request, try)
	}
	if r.options.BeforeTry != nil {
		r.options.BeforeTry(request, try, requestID(request, try))
	}
	sentAt := time.Now()
	reply := sender.send(ctx, target, kind, request, try, time.Until(deadline))
	if r.options.OnOutcome != nil {
		r.options.OnOutcome(Outcome{
			Request: request, Kind: kind.Name, Try: try, Target: target, SentAt: sentAt, Latency: time.Since(sentAt),
			Status: reply.status, Good: reply.good, Rejected: reply.rejected, RetryAfter: reply.retryAfter,
		})
	}
	return reply
}

// reportProgress writes a progress line every second until stop is called. out may be nil.
func (r *runner) reportProgress(out io.Writer) (stop func()) {
	if out == nil {
		return func() {}
	}
	done := make(chan bool)
	var reporting sync.WaitGroup
	reporting.Go(func() {
		ticker := time.NewTicker(time.Second)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
				fmt.Fprintln(out, r.result.progressLine())
			case <-done:
				return
			}
		}
	})
	return func() {
		close(done)
		reporting.Wait()
	}
}
