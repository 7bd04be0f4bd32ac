package executor

import (
	"context"
	"errors"
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

// fakeTransport makes attempts and probes by calling functions of the test.
type fakeTransport struct {
	roundTrip func(attempt *Attempt) Response
	probe     func() decision.ProbeResult
}

func (t fakeTransport) RoundTrip(attempt *Attempt) Response { return t.roundTrip(attempt) }

func (t fakeTransport) Probe(id decision.BackendID, _ time.Duration) decision.ProbeResult {
	if t.probe == nil {
		return decision.ProbeResult{Backend: id}
	}
	return t.probe()
}

func responseWith(result decision.Result) Response {
	return Response{Outcome: lifecycle.Outcome{Result: result}}
}

// waitForCancel waits until the attempt is cancelled, and returns TimedOut or Cancelled depending on the cause.
func waitForCancel(attempt *Attempt) Response {
	cancelled := make(chan bool)
	if attempt.OnCancel(func() { close(cancelled) }) == nil {
		<-cancelled
	}
	if errors.Is(attempt.CancelCause(), ErrDeadlineExceeded) {
		return responseWith(decision.TimedOut)
	}
	return responseWith(decision.Cancelled)
}

// scriptedEngine is a decision engine that calls a function of the test. It runs with the Executor's lock held.
type scriptedEngine func(event decision.Event) []decision.Action

func (s scriptedEngine) Handle(_ time.Duration, event decision.Event, actions []decision.Action) []decision.Action {
	return append(actions, s(event)...)
}

func newTestExecutor(t *testing.T, engine scriptedEngine, transport fakeTransport, canCancel bool) *Executor {
	t.Helper()
	clock := NewClock()
	executor := New(clock, lifecycle.New(engine, classes, lifecycle.Limits{}, clock.Now()), transport, canCancel)
	t.Cleanup(executor.Stop)
	return executor
}

func newRequest(id int) decision.Request {
	return decision.Request{ID: decision.RequestID(id), Class: "c", Timeout: time.Second}
}

const responseTimeout = 1020 * time.Millisecond

func startOnce(event decision.Event) []decision.Action {
	if request, ok := event.(decision.Request); ok {
		return []decision.Action{decision.StartAttempt{Request: request.ID, Backend: 1}}
	}
	return nil
}

func TestAttemptRunsOnCallersGoroutine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		before := runtime.NumGoroutine()
		during := 0
		executor := newTestExecutor(t, startOnce, fakeTransport{roundTrip: func(attempt *Attempt) Response {
			during = runtime.NumGoroutine()
			response := responseWith(decision.Succeeded)
			response.Body = attempt.Payload
			return response
		}}, true)
		result, err := executor.Serve(t.Context(), newRequest(1), responseTimeout, "hello")
		if err != nil || result.Verdict != lifecycle.Served || result.Response.Body != "hello" || result.Attempts != 1 {
			t.Errorf("Serve: got %+v, error %v, want Served with body %q after 1 attempt", result, err, "hello")
		}
		if during != before {
			t.Errorf("got %d goroutines during the attempt, want %d as before", during, before)
		}
		if executor.OpenRequests() != 0 {
			t.Errorf("got %d open requests after the answer, want 0", executor.OpenRequests())
		}
	})
}

// A client disconnects while its context is not watched yet, which starts only contextWatchDelay after the request.
// SendForbidden must still prevent the attempt from being sent.
func TestNothingSentForDisconnectedClient(t *testing.T) {
	for _, name := range []string{"first attempt", "retry", "concurrent attempt"} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, disconnect := context.WithCancel(t.Context())
				var sent atomic.Int32
				executor := newTestExecutor(t, func(event decision.Event) []decision.Action {
					send := decision.StartAttempt{Request: 1, Backend: 1}
					switch event := event.(type) {
					case decision.Request:
						switch name {
						case "first attempt":
							disconnect()
						case "concurrent attempt":
							return []decision.Action{send, send}
						}
						return []decision.Action{send}
					case decision.Outcome:
						if name == "retry" && event.Attempt == 0 {
							return []decision.Action{send}
						}
					case decision.ClientDisconnected:
						return []decision.Action{
							decision.CancelAttempt{Request: 1}, decision.CancelAttempt{Request: 1, Attempt: 1},
						}
					}
					return nil
				}, fakeTransport{roundTrip: func(attempt *Attempt) Response {
					switch {
					case attempt.number == 0 && name == "retry":
						disconnect()
						return responseWith(decision.Rejected)
					case attempt.number == 0 && name == "concurrent attempt":
						return waitForCancel(attempt)
					case name == "concurrent attempt":
						disconnect()
					}
					if attempt.SendForbidden() {
						return responseWith(decision.NotSent)
					}
					sent.Add(1)
					return responseWith(decision.Succeeded)
				}}, true)
				result, err := executor.Serve(ctx, newRequest(1), responseTimeout, nil)
				synctest.Wait()
				if err != nil || result.Verdict != lifecycle.ClientDisconnected || sent.Load() != 0 ||
					executor.OpenRequests() != 0 {
					t.Errorf("Serve: got %+v, error %v, %d attempts sent, %d open requests, "+
						"want ClientDisconnected (%d) with none sent or open",
						result, err, sent.Load(), executor.OpenRequests(), lifecycle.ClientDisconnected)
				}
			})
		})
	}
}

// An attempt that waits for its backend must not delay the answer that the engine has decided, whether the serving
// goroutine makes the attempt (canCancel) or another one.
func TestResponseDoesNotWaitForTransport(t *testing.T) {
	for _, canCancel := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			executor := newTestExecutor(t, func(event decision.Event) []decision.Action {
				switch event := event.(type) {
				case decision.Request:
					return []decision.Action{decision.StartAttempt{Request: event.ID, Backend: 1},
						decision.SetTimer{After: 300 * time.Millisecond, Token: 1, Request: event.ID}}
				case decision.Timer:
					actions := []decision.Action{decision.Reject{Request: 1, RetryAfter: time.Second}}
					if canCancel {
						actions = append(actions, decision.CancelAttempt{Request: 1})
					}
					return actions
				}
				return nil
			}, fakeTransport{roundTrip: waitForCancel}, canCancel)
			start := time.Now()
			result, err := executor.Serve(t.Context(), newRequest(1), responseTimeout, nil)
			if took := time.Since(start); err != nil || result.Verdict != lifecycle.Rejected ||
				result.RetryAfter != time.Second || took != 300*time.Millisecond {
				t.Errorf("canCancel %v: Serve: got %+v, error %v after %v, want Rejected (%d) with RetryAfter 1s after 300ms",
					canCancel, result, err, took, lifecycle.Rejected)
			}
			time.Sleep(time.Second)
			if executor.OpenRequests() != 0 {
				t.Errorf("canCancel %v: got %d open requests after the deadline, want 0", canCancel, executor.OpenRequests())
			}
		})
	}
}

func TestUnansweredRequestEndsAtResponseDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		executor := newTestExecutor(t, func(decision.Event) []decision.Action { return nil },
			fakeTransport{roundTrip: waitForCancel}, true)
		start := time.Now()
		result, err := executor.Serve(t.Context(), newRequest(1), responseTimeout, nil)
		if took := time.Since(start); err != nil || result.Verdict != lifecycle.DeadlineExceeded || took != responseTimeout {
			t.Errorf("Serve: got %+v, error %v after %v, want DeadlineExceeded (%d) after %v",
				result, err, took, lifecycle.DeadlineExceeded, responseTimeout)
		}
	})
}

// When the context of a caller ends, its attempt is cancelled immediately and no state of the request is left.
func TestClientDisconnect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		executor := newTestExecutor(t, func(event decision.Event) []decision.Action {
			if _, ok := event.(decision.ClientDisconnected); ok {
				return []decision.Action{decision.CancelAttempt{Request: 1}}
			}
			return startOnce(event)
		}, fakeTransport{roundTrip: waitForCancel}, true)
		ctx, disconnect := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer disconnect()
		start := time.Now()
		result, err := executor.Serve(ctx, newRequest(1), responseTimeout, nil)
		if took := time.Since(start); err != nil || result.Verdict != lifecycle.ClientDisconnected ||
			took != 100*time.Millisecond || executor.OpenRequests() != 0 {
			t.Errorf("Serve: got %+v, error %v after %v with %d open requests, "+
				"want ClientDisconnected (%d) after 100ms with none",
				result, err, took, executor.OpenRequests(), lifecycle.ClientDisconnected)
		}
	})
}

// If the context ends between the decision and the send, nothing must be sent.
func TestClientDisconnect_BetweenDecisionAndSend(t *testing.T) {
	ctx, disconnect := context.WithCancel(t.Context())
	sent := 0
	var outcome decision.Outcome
	executor := newTestExecutor(t, func(event decision.Event) []decision.Action {
		switch event := event.(type) {
		case decision.Request:
			disconnect() // the attempt is decided but not started yet
			return []decision.Action{decision.StartAttempt{Request: 1, Backend: 1}, decision.CancelAttempt{Request: 1}}
		case decision.Outcome:
			outcome = event
		}
		return nil
	}, fakeTransport{roundTrip: func(*Attempt) Response { sent++; return responseWith(decision.Succeeded) }}, true)
	result, err := executor.Serve(ctx, newRequest(1), responseTimeout, nil)
	if err != nil || result.Verdict != lifecycle.ClientDisconnected || sent != 0 || outcome.Result != decision.NotSent {
		t.Errorf("Serve: got %+v, error %v, %d attempts sent, outcome %+v, "+
			"want ClientDisconnected (%d), none sent, result NotSent (%d)",
			result, err, sent, outcome, lifecycle.ClientDisconnected, decision.NotSent)
	}
}

// A second concurrent attempt runs on its own goroutine, and the first success is served.
func TestHedgedAttempts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		executor := newTestExecutor(t, func(event decision.Event) []decision.Action {
			switch event := event.(type) {
			case decision.Request:
				return []decision.Action{
					decision.StartAttempt{Request: 1, Backend: 1}, decision.StartAttempt{Request: 1, Backend: 2},
				}
			case decision.Outcome:
				if event.Result == decision.Succeeded {
					return []decision.Action{decision.CancelAttempt{Request: 1, Attempt: 1 - event.Attempt}}
				}
			}
			return nil
		}, fakeTransport{roundTrip: func(attempt *Attempt) Response {
			if attempt.Backend == 1 {
				return waitForCancel(attempt)
			}
			time.Sleep(50 * time.Millisecond)
			response := responseWith(decision.Succeeded)
			response.Body = "two"
			return response
		}}, true)
		result, err := executor.Serve(t.Context(), newRequest(1), responseTimeout, nil)
		if err != nil || result.Verdict != lifecycle.Served || result.Response.Body != "two" || result.Attempts != 2 {
			t.Errorf("Serve: got %+v, error %v, want Served with body %q after 2 attempts", result, err, "two")
		}
		synctest.Wait()
		if executor.OpenRequests() != 0 {
			t.Errorf("got %d open requests after the answer, want 0", executor.OpenRequests())
		}
	})
}

func TestDrainAndStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		executor := newTestExecutor(t, func(event decision.Event) []decision.Action {
			if _, ok := event.(decision.ClientDisconnected); ok {
				return []decision.Action{decision.CancelAttempt{Request: 1}}
			}
			return startOnce(event)
		}, fakeTransport{roundTrip: waitForCancel}, true)
		if unanswered := executor.Drain(t.Context()); unanswered != 0 {
			t.Errorf("Drain without requests: got %d unanswered, want 0", unanswered)
		}
		executor = newTestExecutor(t, startOnce, fakeTransport{roundTrip: waitForCancel}, true)
		got := make(chan Result, 1)
		go func() {
			result, _ := executor.Serve(t.Context(), newRequest(1), responseTimeout, nil)
			got <- result
		}()
		synctest.Wait()
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		if unanswered := executor.Drain(ctx); unanswered != 1 {
			t.Errorf("Drain with a request that does not end: got %d unanswered, want 1", unanswered)
		}
		if _, err := executor.Serve(t.Context(), newRequest(2), responseTimeout, nil); !errors.Is(err, lifecycle.ErrClosed) {
			t.Errorf("Serve after Drain: got error %v, want %v", err, lifecycle.ErrClosed)
		}
		executor.Stop()
		if result := <-got; result.Verdict != lifecycle.Aborted {
			t.Errorf("Serve after Stop: got %+v, want Aborted (%d)", result, lifecycle.Aborted)
		}
		synctest.Wait()
		if executor.OpenRequests() != 0 {
			t.Errorf("got %d open requests after Stop, want 0", executor.OpenRequests())
		}
	})
}

func TestConcurrentProbesAreLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var inFlight, maxInFlight, ended atomic.Int64
		notSent := 0
		executor := newTestExecutor(t, func(event decision.Event) []decision.Action {
			switch event := event.(type) {
			case decision.EndpointUpdate:
				var actions []decision.Action
				for range 2 * maxConcurrentProbes {
					actions = append(actions, decision.Probe{Backend: 1})
				}
				return actions
			case decision.ProbeResult:
				ended.Add(1)
				if event.Result == decision.NotSent {
					notSent++
				}
			}
			return nil
		}, fakeTransport{probe: func() decision.ProbeResult {
			maxInFlight.Store(max(maxInFlight.Load(), inFlight.Add(1)))
			time.Sleep(time.Second)
			inFlight.Add(-1)
			return decision.ProbeResult{Backend: 1}
		}}, true)
		executor.UpdateEndpoints(decision.EndpointUpdate{})
		time.Sleep(2 * time.Second)
		if maxInFlight.Load() > maxConcurrentProbes || ended.Load() != 2*maxConcurrentProbes ||
			notSent != maxConcurrentProbes {
			t.Errorf("got %d concurrent probes, %d ended, %d not sent, want at most %d, %d, %d", maxInFlight.Load(),
				ended.Load(), notSent, maxConcurrentProbes, 2*maxConcurrentProbes, maxConcurrentProbes)
		}
	})
}

// Concurrent callers with successes, failures, timeouts and disconnects: each Serve returns an answer, and no state is
// left afterwards.
func TestConcurrentCallers(t *testing.T) {
	clock := NewClock()
	settings := decision.Settings{GatewayCount: 1, MaxAttempts: 3, CanCancel: true, Plans: []decision.Plan{{Name: "p"}},
		Classes: []decision.Class{
			{Name: "c", LatencyObjective: time.Second, Deadline: 2 * time.Second, PriorityWeight: 1},
		}}
	engine, err := decision.New(settings, 1, clock.Now())
	if err != nil {
		t.Fatal(err)
	}
	var attempts atomic.Int64
	machine := lifecycle.New(engine, settings.Classes, lifecycle.Limits{}, clock.Now())
	executor := New(clock, machine, fakeTransport{roundTrip: func(attempt *Attempt) Response {
		if attempt.Payload == true { // the caller disconnects
			return waitForCancel(attempt)
		}
		switch attempts.Add(1) % 7 {
		case 0:
			return responseWith(decision.Rejected)
		case 1:
			return responseWith(decision.ConnectionLost)
		case 2:
			return waitForCancel(attempt)
		case 3:
			time.Sleep(time.Millisecond)
		}
		return responseWith(decision.Succeeded)
	}}, true)
	defer executor.Stop()
	update := decision.EndpointUpdate{Kind: decision.UpdateFull}
	for i := range 5 {
		update.Endpoints = append(update.Endpoints, decision.Endpoint{ID: decision.BackendID(i + 1)})
	}
	executor.UpdateEndpoints(update)
	var callers sync.WaitGroup
	verdicts := make([]atomic.Int64, lifecycle.Aborted+1)
	for caller := range 16 {
		callers.Go(func() {
			for i := range 50 {
				ctx, cancel := context.WithCancel(t.Context())
				disconnects := (caller+i)%5 == 0
				if disconnects {
					time.AfterFunc(time.Millisecond, cancel)
				}
				request := decision.Request{ID: decision.RequestID(caller*1000 + i), Customer: decision.CustomerID(caller),
					Class: "c", Plan: "p", Cost: 1, Timeout: 60 * time.Millisecond, GatewaySpread: 1}
				result, err := executor.Serve(ctx, request, 80*time.Millisecond, disconnects)
				if err != nil {
					t.Error(err)
				}
				verdicts[result.Verdict].Add(1)
				cancel()
			}
		})
	}
	callers.Wait()
	if unanswered := executor.Drain(t.Context()); unanswered != 0 || executor.OpenRequests() != 0 {
		t.Errorf("Drain: got %d unanswered, %d open requests, want none", unanswered, executor.OpenRequests())
	}
	if verdicts[lifecycle.Served].Load() == 0 || verdicts[lifecycle.ClientDisconnected].Load() == 0 {
		t.Errorf("got %d verdicts Served and %d ClientDisconnected, want at least 1 each",
			verdicts[lifecycle.Served].Load(), verdicts[lifecycle.ClientDisconnected].Load())
	}
}

func TestClock(t *testing.T) {
	clock := NewClock()
	now := time.Now()
	if got := clock.FromWallTime(now.Add(-time.Hour)); got < clock.Now()-time.Hour-time.Second ||
		got > clock.Now()-time.Hour+time.Second {
		t.Errorf("FromWallTime(an hour ago): got %v, want %v ± 1s", got, clock.Now()-time.Hour)
	}
	if got := clock.FromWallTime(time.Time{}); got != 0 {
		t.Errorf("FromWallTime(zero time): got %v, want 0", got)
	}
	if got := clock.FromWallTime(now.Add(-48 * time.Hour)); got != 0 {
		t.Errorf("FromWallTime(before the origin): got %v, want 0", got)
	}
	if at := clock.ToWallTime(clock.Now()); time.Until(at).Abs() > time.Second {
		t.Errorf("ToWallTime(Now()): got %v, want %v ± 1s", at, time.Now())
	}
}
