package executor

import (
	"context"
	"errors"
	"fmt"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"pumicecroft/decision"
	"pumicecroft/internal/lifecycle"
)

var classes = []decision.Class{{Name: "c"}, {Name: "pay", Idempotency: decision.IdempotentByKey}}

// fakeTransport makes attempts as the test says.
type fakeTransport struct {
	roundTrip func(a *Attempt) Response
	probe     func() decision.ProbeResult
}

func (c fakeTransport) RoundTrip(a *Attempt) Response { return c.roundTrip(a) }

func (c fakeTransport) Probe(id decision.BackendID, _ time.Duration) decision.ProbeResult {
	if c.probe == nil {
		return decision.ProbeResult{Backend: id}
	}
	return c.probe()
}

func responseWith(r decision.Result) Response { return Response{Outcome: lifecycle.Outcome{Result: r}} }

// waitForCancel waits until the attempt is cancelled.
func waitForCancel(a *Attempt) Response {
	off := make(chan bool)
	if a.OnCancel(func() { close(off) }) == nil {
		<-off
	}
	if errors.Is(a.CancelCause(), ErrDeadlineExceeded) {
		return responseWith(decision.TimedOut)
	}
	return responseWith(decision.Cancelled)
}

// scriptedEngine acts as the test says, under the Executor's lock.
type scriptedEngine func(ev decision.Event) []decision.Action

func (d scriptedEngine) Handle(_ time.Duration, ev decision.Event, as []decision.Action) []decision.Action {
	return append(as, d(ev)...)
}

func newTestExecutor(t *testing.T, d scriptedEngine, c fakeTransport, canCancel bool) *Executor {
	t.Helper()
	clock := NewClock()
	dr := New(clock, lifecycle.New(d, classes, lifecycle.Limits{}, clock.Now()), c, canCancel)
	t.Cleanup(dr.Stop)
	return dr
}

func newRequest(id int) decision.Request {
	return decision.Request{ID: decision.RequestID(id), Class: "c", Timeout: time.Second}
}

const responseTimeout = 1020 * time.Millisecond

func startOnce(ev decision.Event) []decision.Action {
	if r, ok := ev.(decision.Request); ok {
		return []decision.Action{decision.StartAttempt{Request: r.ID, Backend: 1}}
	}
	return nil
}

func TestAttemptRunsOnCallersGoroutine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		before := runtime.NumGoroutine()
		during := 0
		d := newTestExecutor(t, startOnce, fakeTransport{roundTrip: func(a *Attempt) Response {
			during = runtime.NumGoroutine()
			r := responseWith(decision.Succeeded)
			r.Body = a.Payload
			return r
		}}, true)
		a, err := d.Serve(t.Context(), newRequest(1), responseTimeout, "hello")
		if err != nil || a.Verdict != lifecycle.Served || a.Response.Body != "hello" || a.Attempts != 1 {
			t.Errorf("%+v, %v", a, err)
		}
		if during != before {
			t.Errorf("%d goroutines were started for an attempt", during-before)
		}
		if d.OpenRequests() != 0 {
			t.Error("the request is kept")
		}
	})
}

// A client disconnects, and its context is not watched yet: that begins when a request is some milliseconds old, and an
// attempt that was held back may be sent right then. It must not be sent all the same.
func TestDisconnectedClientIsSentNothing(t *testing.T) {
	for _, which := range []string{"a first attempt", "a further one", "one beside another"} {
		t.Run(which, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, leave := context.WithCancel(t.Context())
				var left atomic.Int32
				d := newTestExecutor(t, func(ev decision.Event) []decision.Action {
					send := decision.StartAttempt{Request: 1, Backend: 1}
					switch ev := ev.(type) {
					case decision.Request:
						switch which {
						case "a first attempt":
							leave()
						case "one beside another":
							return []decision.Action{send, send}
						}
						return []decision.Action{send}
					case decision.Outcome:
						if which == "a further one" && ev.Attempt == 0 {
							return []decision.Action{send}
						}
					case decision.ClientDisconnected:
						return []decision.Action{decision.CancelAttempt{Request: 1}, decision.CancelAttempt{Request: 1, Attempt: 1}}
					}
					return nil
				}, fakeTransport{roundTrip: func(a *Attempt) Response {
					switch {
					case a.number == 0 && which == "a further one":
						leave()
						return responseWith(decision.Rejected)
					case a.number == 0 && which == "one beside another":
						return waitForCancel(a)
					case which == "one beside another":
						leave()
					}
					if a.SendForbidden() {
						return responseWith(decision.NotSent)
					}
					left.Add(1)
					return responseWith(decision.Succeeded)
				}}, true)
				a, err := d.Serve(ctx, newRequest(1), responseTimeout, nil)
				synctest.Wait()
				if err != nil || a.Verdict != lifecycle.ClientDisconnected || left.Load() != 0 || d.OpenRequests() != 0 {
					t.Errorf("%+v, %v; %d attempts left, %d open", a, err, left.Load(), d.OpenRequests())
				}
			})
		})
	}
}

// A transport that does not return must not delay an answer, whether the serving goroutine makes the attempt or another.
func TestResponseDoesNotWaitForTransport(t *testing.T) {
	for _, canCancel := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			d := newTestExecutor(t, func(ev decision.Event) []decision.Action {
				switch ev := ev.(type) {
				case decision.Request:
					return []decision.Action{decision.StartAttempt{Request: ev.ID, Backend: 1},
						decision.SetTimer{After: 300 * time.Millisecond, Token: 1, Request: ev.ID}}
				case decision.Timer:
					as := []decision.Action{decision.Reject{Request: 1, RetryAfter: time.Second}}
					if canCancel {
						as = append(as, decision.CancelAttempt{Request: 1})
					}
					return as
				}
				return nil
			}, fakeTransport{roundTrip: waitForCancel}, canCancel)
			begun := time.Now()
			a, err := d.Serve(t.Context(), newRequest(1), responseTimeout, nil)
			if took := time.Since(begun); err != nil || a.Verdict != lifecycle.Rejected || a.RetryAfter != time.Second || took != 300*time.Millisecond {
				t.Errorf("cancel %v: %+v, %v after %v", canCancel, a, err, took)
			}
			time.Sleep(time.Second)
			if d.OpenRequests() != 0 {
				t.Errorf("cancel %v: an attempt outlives its time", canCancel)
			}
		})
	}
}

func TestUnansweredRequestEndsAtResponseDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newTestExecutor(t, func(decision.Event) []decision.Action { return nil }, fakeTransport{roundTrip: waitForCancel}, true)
		begun := time.Now()
		a, err := d.Serve(t.Context(), newRequest(1), responseTimeout, nil)
		if took := time.Since(begun); err != nil || a.Verdict != lifecycle.DeadlineExceeded || took != responseTimeout {
			t.Errorf("%+v, %v after %v", a, err, took)
		}
	})
}

// The attempt of a caller that leaves is cancelled at once, and nothing of its request is left.
func TestClientDisconnect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newTestExecutor(t, func(ev decision.Event) []decision.Action {
			if _, ok := ev.(decision.ClientDisconnected); ok {
				return []decision.Action{decision.CancelAttempt{Request: 1}}
			}
			return startOnce(ev)
		}, fakeTransport{roundTrip: waitForCancel}, true)
		ctx, leave := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer leave()
		begun := time.Now()
		a, err := d.Serve(ctx, newRequest(1), responseTimeout, nil)
		if took := time.Since(begun); err != nil || a.Verdict != lifecycle.ClientDisconnected || took != 100*time.Millisecond || d.OpenRequests() != 0 {
			t.Errorf("%+v, %v after %v, %d open", a, err, took, d.OpenRequests())
		}
	})
}

// A context ends between the decision and the send: nothing is sent.
func TestClientDisconnect_BetweenDecisionAndSend(t *testing.T) {
	ctx, leave := context.WithCancel(t.Context())
	sent := 0
	var outcome decision.Outcome
	d := newTestExecutor(t, func(ev decision.Event) []decision.Action {
		switch ev := ev.(type) {
		case decision.Request:
			leave() // the decision is made, and nothing carried out yet
			return []decision.Action{decision.StartAttempt{Request: 1, Backend: 1}, decision.CancelAttempt{Request: 1}}
		case decision.Outcome:
			outcome = ev
		}
		return nil
	}, fakeTransport{roundTrip: func(*Attempt) Response { sent++; return responseWith(decision.Succeeded) }}, true)
	a, err := d.Serve(ctx, newRequest(1), responseTimeout, nil)
	if err != nil || a.Verdict != lifecycle.ClientDisconnected || sent != 0 || outcome.Result != decision.NotSent {
		t.Errorf("%+v, %v; %d sent, the outcome %+v", a, err, sent, outcome)
	}
}

// A second attempt beside the first has a goroutine of its own; the first success is served, once.
func TestHedgedAttempts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newTestExecutor(t, func(ev decision.Event) []decision.Action {
			switch ev := ev.(type) {
			case decision.Request:
				return []decision.Action{decision.StartAttempt{Request: 1, Backend: 1}, decision.StartAttempt{Request: 1, Backend: 2}}
			case decision.Outcome:
				if ev.Result == decision.Succeeded {
					return []decision.Action{decision.CancelAttempt{Request: 1, Attempt: 1 - ev.Attempt}}
				}
			}
			return nil
		}, fakeTransport{roundTrip: func(a *Attempt) Response {
			if a.Backend == 1 {
				return waitForCancel(a)
			}
			time.Sleep(50 * time.Millisecond)
			r := responseWith(decision.Succeeded)
			r.Body = "two"
			return r
		}}, true)
		a, err := d.Serve(t.Context(), newRequest(1), responseTimeout, nil)
		if err != nil || a.Verdict != lifecycle.Served || a.Response.Body != "two" || a.Attempts != 2 {
			t.Errorf("%+v, %v", a, err)
		}
		synctest.Wait()
		if d.OpenRequests() != 0 {
			t.Error("an attempt is left")
		}
	})
}

func TestDrainAndStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newTestExecutor(t, func(ev decision.Event) []decision.Action {
			if _, ok := ev.(decision.ClientDisconnected); ok {
				return []decision.Action{decision.CancelAttempt{Request: 1}}
			}
			return startOnce(ev)
		}, fakeTransport{roundTrip: waitForCancel}, true)
		if owed := d.Drain(t.Context()); owed != 0 {
			t.Errorf("%d owed of none", owed)
		}
		d = newTestExecutor(t, startOnce, fakeTransport{roundTrip: waitForCancel}, true)
		got := make(chan Result, 1)
		go func() {
			a, _ := d.Serve(t.Context(), newRequest(1), responseTimeout, nil)
			got <- a
		}()
		synctest.Wait()
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		if owed := d.Drain(ctx); owed != 1 {
			t.Errorf("%d owed, want the one that hangs", owed)
		}
		if _, err := d.Serve(t.Context(), newRequest(2), responseTimeout, nil); !errors.Is(err, lifecycle.ErrClosed) {
			t.Errorf("while draining: %v", err)
		}
		d.Stop()
		if a := <-got; a.Verdict != lifecycle.Aborted {
			t.Errorf("%+v", a)
		}
		synctest.Wait()
		if d.OpenRequests() != 0 {
			t.Error("something is left")
		}
	})
}

func TestProbesAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out, most, ended atomic.Int64
		refused := 0
		d := newTestExecutor(t, func(ev decision.Event) []decision.Action {
			switch ev := ev.(type) {
			case decision.EndpointUpdate:
				var as []decision.Action
				for range 2 * maxProbes {
					as = append(as, decision.Probe{Backend: 1})
				}
				return as
			case decision.ProbeResult:
				ended.Add(1)
				if ev.Result == decision.NotSent {
					refused++
				}
			}
			return nil
		}, fakeTransport{probe: func() decision.ProbeResult {
			most.Store(max(most.Load(), out.Add(1)))
			time.Sleep(time.Second)
			out.Add(-1)
			return decision.ProbeResult{Backend: 1}
		}}, true)
		d.UpdateEndpoints(decision.EndpointUpdate{})
		time.Sleep(2 * time.Second)
		if most.Load() > maxProbes || ended.Load() != 2*maxProbes || refused != maxProbes {
			t.Errorf("%d probes at once, %d ended, %d not sent", most.Load(), ended.Load(), refused)
		}
	})
}

// Many callers at once, with everything that can happen to a request: each gets one answer, and nothing is left.
func TestConcurrentCallers(t *testing.T) {
	clock := NewClock()
	set := decision.Settings{GatewayCount: 1, MaxAttempts: 3, CanCancel: true, Plans: []decision.Plan{{Name: "p"}},
		Classes: []decision.Class{{Name: "c", LatencyObjective: time.Second, Deadline: 2 * time.Second, PriorityWeight: 1}}}
	g, err := decision.New(set, 1, clock.Now())
	if err != nil {
		t.Fatal(err)
	}
	var n atomic.Int64
	d := New(clock, lifecycle.New(g, set.Classes, lifecycle.Limits{}, clock.Now()), fakeTransport{roundTrip: func(a *Attempt) Response {
		if a.Payload == true { // its caller leaves
			return waitForCancel(a)
		}
		switch n.Add(1) % 7 {
		case 0:
			return responseWith(decision.Rejected)
		case 1:
			return responseWith(decision.ConnectionLost)
		case 2:
			return waitForCancel(a)
		case 3:
			time.Sleep(time.Millisecond)
		}
		return responseWith(decision.Succeeded)
	}}, true)
	defer d.Stop()
	list := decision.EndpointUpdate{Kind: decision.UpdateFull}
	for i := range 5 {
		list.Endpoints = append(list.Endpoints, decision.Endpoint{ID: decision.BackendID(i + 1)})
	}
	d.UpdateEndpoints(list)
	var callers sync.WaitGroup
	verdicts := make([]atomic.Int64, lifecycle.Aborted+1)
	for c := range 16 {
		callers.Go(func() {
			for i := range 50 {
				ctx, cancel := context.WithCancel(t.Context())
				leaves := (c+i)%5 == 0
				if leaves {
					time.AfterFunc(time.Millisecond, cancel)
				}
				req := decision.Request{ID: decision.RequestID(c*1000 + i), Customer: decision.CustomerID(c), Class: "c", Plan: "p",
					Cost: 1, Timeout: 60 * time.Millisecond, GatewaySpread: 1}
				a, err := d.Serve(ctx, req, 80*time.Millisecond, leaves)
				if err != nil {
					t.Error(err)
				}
				verdicts[a.Verdict].Add(1)
				cancel()
			}
		})
	}
	callers.Wait()
	if owed := d.Drain(t.Context()); owed != 0 || d.OpenRequests() != 0 {
		t.Errorf("%d owed, %d open", owed, d.OpenRequests())
	}
	if verdicts[lifecycle.Served].Load() == 0 || verdicts[lifecycle.ClientDisconnected].Load() == 0 {
		t.Errorf("verdicts %v", fmt.Sprint(verdicts[lifecycle.Served].Load(), verdicts[lifecycle.ClientDisconnected].Load()))
	}
}

func TestClock(t *testing.T) {
	c := NewClock()
	now := time.Now()
	if got := c.FromWallTime(now.Add(-time.Hour)); got < c.Now()-time.Hour-time.Second || got > c.Now()-time.Hour+time.Second {
		t.Errorf("an hour ago is %v, and now is %v", got, c.Now())
	}
	if got := c.FromWallTime(time.Time{}); got != 0 {
		t.Errorf("long ago is %v", got)
	}
	if got := c.FromWallTime(now.Add(-48 * time.Hour)); got != 0 {
		t.Errorf("before the origin is %v", got)
	}
	if at := c.ToWallTime(c.Now()); time.Until(at).Abs() > time.Second {
		t.Errorf("now is %v", at)
	}
}
