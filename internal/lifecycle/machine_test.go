package lifecycle

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"pumicecroft/decision"
)

const ms = time.Millisecond

var classes = []decision.Class{
	{Name: "safe"},
	{Name: "keyed", Idempotency: decision.IdempotentByKey},
	{Name: "unsafe", Idempotency: decision.NonIdempotent},
}

// harness runs a Machine and is itself the Machine's scripted decision engine. It records the events that it gets.
type harness struct {
	t       *testing.T
	machine *Machine
	now     time.Duration
	events  []string
	react   func(event decision.Event) []decision.Action
}

func (h *harness) Handle(now time.Duration, event decision.Event, actions []decision.Action) []decision.Action {
	if now != h.now {
		h.t.Errorf("Handle got time %v, want %v", now, h.now)
	}
	h.events = append(h.events, encodeEvent(event))
	if h.react != nil {
		actions = append(actions, h.react(event)...)
	}
	return actions
}

func newHarness(t *testing.T, limits Limits, react func(decision.Event) []decision.Action) *harness {
	h := &harness{t: t, react: react, now: time.Hour}
	h.machine = New(h, classes, limits, h.now)
	return h
}

// describeEffects returns effects as text, such as "start 1/0 at 7 by 2s; respond 1 served by 0". Attempt 0 of request
// 1 is written as 1/0, and deadlines are relative to the start of the test. SyncSources and AddToCounter are left out.
func describeEffects(effects []Effect) string {
	var lines []string
	for _, effect := range effects {
		switch effect.Kind {
		case StartAttempt:
			lines = append(lines, fmt.Sprintf("start %d/%d at %d by %v",
				effect.Request, effect.Attempt, effect.Backend, effect.Deadline-time.Hour))
		case CancelAttempt:
			lines = append(lines, fmt.Sprintf("cancel %d/%d%s",
				effect.Request, effect.Attempt, map[bool]string{true: " timed out"}[effect.TimedOut]))
		case Respond:
			verdict := []string{
				"served", "rejected", "failed", "deadline exceeded", "client disconnected", "aborted",
			}[effect.Verdict]
			if effect.Verdict == Rejected {
				verdict += " " + effect.RetryAfter.String()
			}
			if effect.Verdict == Served {
				verdict += fmt.Sprint(" by ", effect.Attempt)
			}
			lines = append(lines, fmt.Sprintf("respond %d %s", effect.Request, verdict))
		case ProbeBackend:
			lines = append(lines, fmt.Sprintf("probe %d", effect.Backend))
		case Subscribe:
			lines = append(lines, "subscribe")
		}
	}
	return strings.Join(lines, "; ")
}

func (h *harness) wantEffects(what string, effects []Effect, want string) {
	h.t.Helper()
	if got := describeEffects(effects); got != want {
		h.t.Errorf("%s: got effects %q, want %q", what, got, want)
	}
}

func (h *harness) submit(id decision.RequestID, class string) []Effect {
	h.t.Helper()
	effects, err := h.machine.Submit(h.now, id, decision.Request{ID: id, Class: class, Timeout: 960 * ms}, 980*ms)
	if err != nil {
		h.t.Fatalf("request %d: %v", id, err)
	}
	return effects
}

func (h *harness) setTime(d time.Duration) time.Duration {
	h.now = time.Hour + d
	return h.now
}

func (h *harness) wantLastEvent(part string) {
	h.t.Helper()
	if len(h.events) == 0 || !strings.Contains(h.events[len(h.events)-1], part) {
		h.t.Errorf("last event of the engine: got %q, want one that contains %q", h.events[max(0, len(h.events)-1):], part)
	}
}

func (h *harness) wantNothingLeft() {
	h.t.Helper()
	if h.machine.OpenRequests() != 0 || len(h.machine.timers) != 0 {
		h.t.Errorf("got %d open requests and %d timers, want none", h.machine.OpenRequests(), len(h.machine.timers))
	}
}

// startOnBackend7 returns a react function that starts an attempt of each request on backend 7. It passes all other
// events to more, if not nil.
func startOnBackend7(more func(decision.Event) []decision.Action) func(decision.Event) []decision.Action {
	return func(event decision.Event) []decision.Action {
		if request, ok := event.(decision.Request); ok {
			return []decision.Action{decision.StartAttempt{Request: request.ID, Backend: 7}}
		}
		if more != nil {
			return more(event)
		}
		return nil
	}
}

func TestFirstSuccessIsServed(t *testing.T) {
	h := newHarness(t, Limits{}, startOnBackend7(nil))
	h.wantEffects("submit", h.submit(1, "safe"), "start 1/0 at 7 by 960ms")
	h.wantEffects("attempt 0 succeeds", h.machine.AttemptEnded(h.setTime(30*ms), 1, 0,
		Outcome{Result: decision.Succeeded, HasUsage: true, Usage: 5, LoadReport: []float64{2}}), "respond 1 served by 0")
	h.wantLastEvent(
		"{request=1 backend=7 attempt=0 result=0 latency=30ms final=true has_usage=true usage=5 settled_cost=0 load=[2]}")
	h.wantEffects("second AttemptEnded", h.machine.AttemptEnded(h.now, 1, 0, Outcome{}), "")
	h.wantNothingLeft()
}

func TestRetryIsServed(t *testing.T) {
	h := newHarness(t, Limits{}, startOnBackend7(func(event decision.Event) []decision.Action {
		if outcome, ok := event.(decision.Outcome); ok && outcome.Attempt == 0 {
			return []decision.Action{decision.StartAttempt{Request: outcome.Request, Backend: 8, Timeout: 100 * ms}}
		}
		return nil
	}))
	h.submit(1, "safe")
	h.wantEffects("connection lost",
		h.machine.AttemptEnded(h.setTime(10*ms), 1, 0, Outcome{Result: decision.ConnectionLost}), "start 1/1 at 8 by 110ms")
	h.wantEffects("timeout of the attempt", h.machine.Tick(h.setTime(110*ms)), "cancel 1/1 timed out")
	h.wantEffects("success after cancellation",
		h.machine.AttemptEnded(h.setTime(111*ms), 1, 1, Outcome{Result: decision.Succeeded}), "respond 1 served by 1")
	h.wantNothingLeft()
}

func TestOnlyFirstFinalAnswerCounts(t *testing.T) {
	h := newHarness(t, Limits{}, func(event decision.Event) []decision.Action {
		if request, ok := event.(decision.Request); ok {
			return []decision.Action{
				decision.Reject{Request: request.ID, RetryAfter: 250 * ms}, decision.Fail{Request: request.ID},
			}
		}
		return nil
	})
	h.wantEffects("submit", h.submit(1, "safe"), "respond 1 rejected 250ms")
	if h.machine.UnmatchedActions() != 1 {
		t.Errorf("got %d unmatched actions, want 1 (the second final answer)", h.machine.UnmatchedActions())
	}
	h.wantNothingLeft()
}

// If the engine never answers a request, the Machine must answer it at the response deadline.
func TestUnansweredRequestEndsAtResponseDeadline(t *testing.T) {
	h := newHarness(t, Limits{}, startOnBackend7(nil))
	h.submit(1, "safe")
	if at, ok := h.machine.Next(); !ok || at != time.Hour+960*ms {
		t.Errorf("Next: got %v, %v, want %v, true", at, ok, time.Hour+960*ms)
	}
	h.wantEffects("before the deadline", h.machine.Tick(h.setTime(959*ms)), "")
	h.wantEffects("at the deadline", h.machine.Tick(h.setTime(960*ms)), "cancel 1/0 timed out")
	h.wantEffects("at the response deadline", h.machine.Tick(h.setTime(980*ms)), "respond 1 deadline exceeded")
	h.wantLastEvent("client_disconnected{")
	h.wantEffects("the attempt ends",
		h.machine.AttemptEnded(h.setTime(981*ms), 1, 0, Outcome{Result: decision.TimedOut}), "")
	h.wantLastEvent("final=true")
	h.wantNothingLeft()
}

// When a paused executor resumes, many timers are overdue at once. They must fire in the order of their times and
// before the event that is being handled, so that a response that arrives after the deadline is not served.
func TestOverdueTimersFireBeforeLateEvent(t *testing.T) {
	h := newHarness(t, Limits{}, startOnBackend7(nil))
	h.submit(1, "safe")
	h.now += 5 * ms
	h.submit(2, "safe")
	h.wantEffects("first event after all timers are overdue",
		h.machine.AttemptEnded(h.setTime(5*time.Second), 2, 0, Outcome{Result: decision.Succeeded}),
		"cancel 1/0 timed out; respond 1 deadline exceeded; cancel 2/0 timed out; respond 2 deadline exceeded")
	h.wantLastEvent("result=0 latency=4.995s final=true")
	h.wantEffects("tick without due timers", h.machine.Tick(h.now), "")
}

func TestSimultaneousTimersFireInOrderSet(t *testing.T) {
	var tokens []uint64
	h := newHarness(t, Limits{}, func(event decision.Event) []decision.Action {
		switch event := event.(type) {
		case decision.Request:
			return []decision.Action{
				decision.SetTimer{After: 10 * ms, Token: 3, Request: 1}, decision.SetTimer{After: 10 * ms, Token: 1, Request: 1},
				decision.SetTimer{After: 10 * ms}, decision.SetTimer{After: -ms, Token: 9, Request: 1}}
		case decision.Timer:
			tokens = append(tokens, event.Token)
			if event.Token == 9 { // a timer that sets itself again with no delay
				return []decision.Action{decision.SetTimer{Token: 9, Request: 1}}
			}
		}
		return nil
	})
	h.submit(1, "safe")
	h.machine.Tick(h.now)
	h.machine.Tick(h.setTime(10 * ms))
	if want := []uint64{9, 9, 3, 1, 0}; !slices.Equal(tokens, want) {
		t.Errorf("timers fired in the order %v, want %v", tokens, want)
	}
}

func TestNoAttemptStartsAfterDisconnect(t *testing.T) {
	h := newHarness(t, Limits{}, startOnBackend7(func(event decision.Event) []decision.Action {
		if disconnected, ok := event.(decision.ClientDisconnected); ok {
			return []decision.Action{
				decision.CancelAttempt{Request: disconnected.Request},
				decision.StartAttempt{Request: disconnected.Request, Backend: 9},
			}
		}
		return nil
	}))
	h.submit(1, "safe")
	h.wantEffects("Disconnect with another tag", h.machine.Disconnect(h.now, "other tag", 1), "")
	h.wantEffects("Disconnect", h.machine.Disconnect(h.setTime(10*ms), decision.RequestID(1), 1),
		"respond 1 client disconnected; cancel 1/0")
	h.wantLastEvent("attempt=1 result=7") // the attempt started after the disconnect ends as NotSent
	h.wantEffects("second Disconnect", h.machine.Disconnect(h.now, decision.RequestID(1), 1), "")
	if h.machine.OpenRequests() != 1 || h.machine.Unanswered() != 0 {
		t.Errorf("got %d open and %d unanswered requests, want 1 (its attempt is in flight) and 0",
			h.machine.OpenRequests(), h.machine.Unanswered())
	}
	h.machine.AttemptEnded(h.setTime(11*ms), 1, 0, Outcome{Result: decision.Cancelled})
	h.wantNothingLeft()
}

// If the engine answers a request without cancelling its attempt, the attempt stays in flight. The Machine must cancel
// it at the deadline, and still report its outcome to the engine.
func TestAttemptInFlightAfterFinalAnswer(t *testing.T) {
	h := newHarness(t, Limits{}, func(event decision.Event) []decision.Action {
		if request, ok := event.(decision.Request); ok {
			return []decision.Action{decision.StartAttempt{Request: request.ID, Backend: 7}, decision.Fail{Request: request.ID}}
		}
		return nil
	})
	h.wantEffects("submit", h.submit(1, "safe"), "start 1/0 at 7 by 960ms; respond 1 failed")
	if _, err := h.machine.Submit(h.now, 1, decision.Request{ID: 1, Class: "safe", Timeout: 1},
		1); !errors.Is(err, ErrDuplicateID) {
		t.Errorf("Submit with the id of an open request: got error %v, want %v", err, ErrDuplicateID)
	}
	h.wantEffects("at the deadline", h.machine.Tick(h.setTime(960*ms)), "cancel 1/0 timed out")
	h.wantEffects("the attempt succeeds",
		h.machine.AttemptEnded(h.setTime(970*ms), 1, 0, Outcome{Result: decision.Succeeded}), "")
	h.wantLastEvent("result=0 latency=970ms final=true")
	h.wantNothingLeft()
}

func TestSubmit_Limits(t *testing.T) {
	limits := Limits{MaxOpenRequests: 2, MaxAttempts: 1}
	h := newHarness(t, limits, startOnBackend7(func(event decision.Event) []decision.Action {
		if outcome, ok := event.(decision.Outcome); ok && outcome.Attempt < 3 {
			return []decision.Action{decision.StartAttempt{Request: outcome.Request, Backend: 8}}
		}
		return nil
	}))
	submit := func(id decision.RequestID, class string) error {
		_, err := h.machine.Submit(h.now, id, decision.Request{ID: id, Class: class, Timeout: time.Second}, time.Second)
		return err
	}
	h.submit(1, "safe")
	if err := submit(1, "safe"); !errors.Is(err, ErrDuplicateID) {
		t.Errorf("id of an open request: got error %v, want %v", err, ErrDuplicateID)
	}
	h.submit(2, "keyed")
	if err := submit(3, "safe"); !errors.Is(err, ErrTooManyRequests) {
		t.Errorf("third open request: got error %v, want %v", err, ErrTooManyRequests)
	}
	h.wantEffects("attempts beyond MaxAttempts",
		h.machine.AttemptEnded(h.now, 1, 0, Outcome{Result: decision.Rejected}), "")
	h.wantLastEvent("attempt=3 result=7") // NotSent
	h.machine.Close()
	if err := submit(4, "safe"); !errors.Is(err, ErrClosed) {
		t.Errorf("after Close: got error %v, want %v", err, ErrClosed)
	}
	h.wantEffects("Abort", h.machine.Abort(h.now), "respond 1 aborted; respond 2 aborted; cancel 2/0")
	h.machine.AttemptEnded(h.now, 2, 0, Outcome{Result: decision.Cancelled})
	h.wantNothingLeft()
}

// An executor whose caller repeats a call submits the same id again. A request that may have executed must not execute
// twice; one that certainly did not execute may be submitted again.
func TestSubmit_ReplayedID(t *testing.T) {
	h := newHarness(t, Limits{MaxRememberedIDs: 2, IDRetention: time.Second}, startOnBackend7(nil))
	submitAndEnd := func(id decision.RequestID, class string, end decision.Result) error {
		if _, err := h.machine.Submit(h.now, id, decision.Request{ID: id, Class: class, Timeout: time.Second},
			time.Second); err != nil {
			return err
		}
		h.machine.AttemptEnded(h.now, id, 0, Outcome{Result: end})
		h.machine.Disconnect(h.now, id, id)
		return nil
	}
	for _, c := range []struct {
		class   string
		end     decision.Result
		allowed bool
	}{
		{"safe", decision.Succeeded, true}, {"keyed", decision.Succeeded, false}, {"keyed", decision.ConnectionLost, false},
		{"keyed", decision.Rejected, true}, {"unsafe", decision.Cancelled, false}, {"unsafe", decision.TimedOut, false},
		{"unsafe", decision.ConnectFailed, true}, {"unsafe", decision.NotSent, true}, {"unsafe", decision.Unknown, false},
		{"unsafe", decision.ErrorResponse, false},
	} {
		h.now += time.Minute
		for i, want := range []bool{true, c.allowed} {
			if err := submitAndEnd(1, c.class, c.end); (err == nil) != want || err != nil && !errors.Is(err, ErrReplayed) {
				t.Errorf("class %s, result %d, submission %d: got error %v, want success %v (else %v)",
					c.class, c.end, i+1, err, want, ErrReplayed)
			}
		}
	}
	h.now += time.Minute
	for id := range decision.RequestID(50) {
		if err := submitAndEnd(id, "unsafe", decision.Succeeded); err != nil {
			t.Fatal(err)
		}
		if len(h.machine.rememberedIDs) > 2 || len(h.machine.rememberedOrder) > 2 {
			t.Fatalf("got %d entries in rememberedIDs and %d in rememberedOrder, want at most 2",
				len(h.machine.rememberedIDs), len(h.machine.rememberedOrder))
		}
	}
	if err := submitAndEnd(49, "unsafe", decision.Succeeded); !errors.Is(err, ErrReplayed) {
		t.Errorf("latest id: got error %v, want %v", err, ErrReplayed)
	}
	h.now += time.Second
	if err := submitAndEnd(49, "unsafe", decision.Succeeded); err != nil {
		t.Errorf("after IDRetention: got error %v, want none", err)
	}
}

func TestUnmatchedActionsAreCounted(t *testing.T) {
	h := newHarness(t, Limits{}, func(event decision.Event) []decision.Action {
		if _, ok := event.(decision.EndpointUpdate); ok {
			return []decision.Action{decision.Probe{Backend: 3}, decision.Subscribe{}, decision.StartAttempt{Request: 99},
				decision.CancelAttempt{Request: 99}, decision.Reject{Request: 99}, nil}
		}
		return nil
	})
	h.wantEffects("UpdateEndpoints", h.machine.UpdateEndpoints(h.now, decision.EndpointUpdate{}), "probe 3; subscribe")
	if h.machine.UnmatchedActions() != 3 {
		t.Errorf("got %d unmatched actions, want 3", h.machine.UnmatchedActions())
	}
	h.wantEffects("ProbeAnswered", h.machine.ProbeAnswered(h.now, decision.ProbeResult{Backend: 3}), "")
	h.wantLastEvent("probe_result{")
	h.wantResponseStarted("unknown request", 5, 0, false, "")
	h.wantLastEvent("probe_result{")
}

func (h *harness) wantResponseStarted(what string, id decision.RequestID, attempt int, wantAllowed bool, want string) {
	h.t.Helper()
	effects, got := h.machine.ResponseStarted(h.now, id, attempt)
	h.wantEffects(what, effects, want)
	if got != wantAllowed {
		h.t.Errorf("%s: ResponseStarted allowed: got %v, want %v", what, got, wantAllowed)
	}
}

// hedgeAfter100ms is a react function that starts an attempt of each request on backend 7, and 100 ms later another one
// on backend 8.
func hedgeAfter100ms(event decision.Event) []decision.Action {
	switch event := event.(type) {
	case decision.Request:
		return []decision.Action{
			decision.StartAttempt{Request: event.ID, Backend: 7},
			decision.SetTimer{After: 100 * ms, Token: 1, Request: event.ID},
		}
	case decision.Timer:
		return []decision.Action{decision.StartAttempt{Request: 1, Backend: 8}}
	}
	return nil
}

// Once the client has part of a response, no other attempt may answer the request: the others are cancelled, their
// responses may not be passed on, and their success is ignored.
func TestStartedResponseExcludesOtherAttempts(t *testing.T) {
	h := newHarness(t, Limits{}, hedgeAfter100ms)
	h.submit(1, "safe")
	h.wantEffects("second attempt", h.machine.Tick(h.setTime(100*ms)), "start 1/1 at 8 by 960ms")
	h.wantResponseStarted("response of attempt 1", 1, 1, true, "cancel 1/0")
	h.wantLastEvent("response_started{")
	h.wantResponseStarted("response of attempt 1 again", 1, 1, false, "")
	h.wantResponseStarted("response of attempt 0", 1, 0, false, "")
	h.wantEffects("attempt 0 succeeds",
		h.machine.AttemptEnded(h.setTime(120*ms), 1, 0, Outcome{Result: decision.Succeeded}), "")
	h.wantEffects("attempt 1 succeeds",
		h.machine.AttemptEnded(h.setTime(130*ms), 1, 1, Outcome{Result: decision.Succeeded}), "respond 1 served by 1")
	h.wantNothingLeft()
}

// A response that fails after it has started cannot be withdrawn from the client. The request must fail with it: it is
// never retried or rejected, whatever its class.
func TestFailureOfStartedResponseIsNotRetried(t *testing.T) {
	for result, want := range map[decision.Result]string{
		decision.ConnectionLost: "respond 1 failed",
		decision.Rejected:       "respond 1 failed",
		decision.ErrorResponse:  "respond 1 failed",
		decision.TimedOut:       "respond 1 deadline exceeded",
	} {
		react := startOnBackend7(func(event decision.Event) []decision.Action {
			if outcome, ok := event.(decision.Outcome); ok && outcome.Attempt == 0 {
				return []decision.Action{
					decision.StartAttempt{Request: outcome.Request, Backend: 8}, decision.Reject{Request: outcome.Request},
				}
			}
			return nil
		})
		h := newHarness(t, Limits{}, react)
		h.submit(1, "safe")
		h.wantResponseStarted("first response", 1, 0, true, "")
		h.wantEffects(fmt.Sprintf("attempt 0 ends with result %d", result),
			h.machine.AttemptEnded(h.setTime(30*ms), 1, 0, Outcome{Result: result}), want)
		h.wantNothingLeft()
	}
	h := newHarness(t, Limits{}, startOnBackend7(func(event decision.Event) []decision.Action {
		if _, ok := event.(decision.ResponseStarted); ok {
			return []decision.Action{decision.StartAttempt{Request: 1, Backend: 8}, decision.Reject{Request: 1}}
		}
		return nil
	}))
	h.submit(1, "safe")
	h.wantResponseStarted("engine rejects the request on ResponseStarted", 1, 0, false, "respond 1 failed")
}

// A response may not start once its attempt is cancelled or its request is answered.
func TestResponseStarted_TooLate(t *testing.T) {
	h := newHarness(t, Limits{}, startOnBackend7(nil))
	h.submit(1, "safe")
	h.setTime(960 * ms)
	h.wantResponseStarted("at the deadline", 1, 0, false, "cancel 1/0 timed out")
	h.wantEffects("at the response deadline", h.machine.Tick(h.setTime(980*ms)), "respond 1 deadline exceeded")
	h.wantResponseStarted("after the final answer", 1, 0, false, "")
}

// A response that has started is still cancelled at the deadline of its request.
func TestStartedResponseEndsAtDeadline(t *testing.T) {
	h := newHarness(t, Limits{}, startOnBackend7(nil))
	h.submit(1, "safe")
	h.wantResponseStarted("first response", 1, 0, true, "")
	h.wantEffects("at the deadline", h.machine.Tick(h.setTime(960*ms)), "cancel 1/0 timed out")
	h.wantEffects("the attempt ends",
		h.machine.AttemptEnded(h.setTime(961*ms), 1, 0, Outcome{Result: decision.TimedOut}), "respond 1 deadline exceeded")
	h.wantNothingLeft()
}
