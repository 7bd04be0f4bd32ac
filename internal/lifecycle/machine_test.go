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

var classes = []decision.Class{{Name: "safe"}, {Name: "keyed", Idempotency: decision.IdempotentByKey}, {Name: "unsafe", Idempotency: decision.NonIdempotent}}

// harness is a Machine over a scripted engine, which is the harness itself. It records the events that it handles.
type harness struct {
	t       *testing.T
	machine *Machine
	now     time.Duration
	events  []string
	react   func(ev decision.Event) []decision.Action
}

func (r *harness) Handle(now time.Duration, ev decision.Event, as []decision.Action) []decision.Action {
	if now != r.now {
		r.t.Errorf("the engine is told that it is %v, it is %v", now, r.now)
	}
	r.events = append(r.events, encodeEvent(ev))
	if r.react != nil {
		as = append(as, r.react(ev)...)
	}
	return as
}

func newHarness(t *testing.T, l Limits, on func(decision.Event) []decision.Action) *harness {
	r := &harness{t: t, react: on, now: time.Hour}
	r.machine = New(r, classes, l, r.now)
	return r
}

// describeEffects returns effects as short lines, such as "start 1/0 at 7 by 2s" and "final 1 served".
func describeEffects(es []Effect) string {
	var lines []string
	for _, e := range es {
		switch e.Kind {
		case StartAttempt:
			lines = append(lines, fmt.Sprintf("start %d/%d at %d by %v", e.Request, e.Attempt, e.Backend, e.Deadline-time.Hour))
		case CancelAttempt:
			lines = append(lines, fmt.Sprintf("calloff %d/%d%s", e.Request, e.Attempt, map[bool]string{true: " late"}[e.TimedOut]))
		case Respond:
			verdict := []string{"served", "refused", "failed", "late", "left", "aborted"}[e.Verdict]
			if e.Verdict == Rejected {
				verdict += " " + e.RetryAfter.String()
			}
			if e.Verdict == Served {
				verdict += fmt.Sprint(" by ", e.Attempt)
			}
			lines = append(lines, fmt.Sprintf("final %d %s", e.Request, verdict))
		case ProbeBackend:
			lines = append(lines, fmt.Sprintf("probe %d", e.Backend))
		case Subscribe:
			lines = append(lines, "subscribe")
		}
	}
	return strings.Join(lines, "; ")
}

func (r *harness) wantEffects(what string, es []Effect, want string) {
	r.t.Helper()
	if got := describeEffects(es); got != want {
		r.t.Errorf("%s: %q, want %q", what, got, want)
	}
}

func (r *harness) submit(id decision.RequestID, class string) []Effect {
	r.t.Helper()
	es, err := r.machine.Submit(r.now, id, decision.Request{ID: id, Class: class, Timeout: 960 * ms}, 980*ms)
	if err != nil {
		r.t.Fatalf("request %d: %v", id, err)
	}
	return es
}

func (r *harness) setTime(d time.Duration) time.Duration {
	r.now = time.Hour + d
	return r.now
}

func (r *harness) wantLastEvent(part string) {
	r.t.Helper()
	if len(r.events) == 0 || !strings.Contains(r.events[len(r.events)-1], part) {
		r.t.Errorf("the decision module heard %q last, want %q in it", r.events[max(0, len(r.events)-1):], part)
	}
}

func (r *harness) wantNothingLeft() {
	r.t.Helper()
	if r.machine.OpenRequests() != 0 || len(r.machine.timers) != 0 {
		r.t.Errorf("%d requests and %d timers are left", r.machine.OpenRequests(), len(r.machine.timers))
	}
}

// startOnBackend7 starts each request on backend 7, and reacts to other events as more does.
func startOnBackend7(more func(decision.Event) []decision.Action) func(decision.Event) []decision.Action {
	return func(ev decision.Event) []decision.Action {
		if r, ok := ev.(decision.Request); ok {
			return []decision.Action{decision.StartAttempt{Request: r.ID, Backend: 7}}
		}
		if more != nil {
			return more(ev)
		}
		return nil
	}
}

func TestFirstSuccessIsServed(t *testing.T) {
	r := newHarness(t, Limits{}, startOnBackend7(nil))
	r.wantEffects("arrival", r.submit(1, "safe"), "start 1/0 at 7 by 960ms")
	r.wantEffects("answer", r.machine.AttemptEnded(r.setTime(30*ms), 1, 0, Outcome{Result: decision.Succeeded, HasUsage: true, Usage: 5, LoadReport: []float64{2}}), "final 1 served by 0")
	r.wantLastEvent("{request=1 backend=7 attempt=0 result=0 latency=30ms final=true has_usage=true usage=5 cost=0 load=[2]}")
	r.wantEffects("a second word", r.machine.AttemptEnded(r.now, 1, 0, Outcome{}), "")
	r.wantNothingLeft()
}

func TestRetryIsServed(t *testing.T) {
	r := newHarness(t, Limits{}, startOnBackend7(func(ev decision.Event) []decision.Action {
		if o, ok := ev.(decision.Outcome); ok && o.Attempt == 0 {
			return []decision.Action{decision.StartAttempt{Request: o.Request, Backend: 8, Timeout: 100 * ms}}
		}
		return nil
	}))
	r.submit(1, "safe")
	r.wantEffects("broken", r.machine.AttemptEnded(r.setTime(10*ms), 1, 0, Outcome{Result: decision.ConnectionLost}), "start 1/1 at 8 by 110ms")
	r.wantEffects("the attempt's own time", r.machine.Tick(r.setTime(110*ms)), "calloff 1/1 late")
	r.wantEffects("its answer all the same", r.machine.AttemptEnded(r.setTime(111*ms), 1, 1, Outcome{Result: decision.Succeeded}), "final 1 served by 1")
	r.wantNothingLeft()
}

func TestOnlyFirstFinalAnswerCounts(t *testing.T) {
	r := newHarness(t, Limits{}, func(ev decision.Event) []decision.Action {
		if q, ok := ev.(decision.Request); ok {
			return []decision.Action{decision.Reject{Request: q.ID, RetryAfter: 250 * ms}, decision.Fail{Request: q.ID}}
		}
		return nil
	})
	r.wantEffects("refusal", r.submit(1, "safe"), "final 1 refused 250ms")
	if r.machine.UnmatchedActions() != 1 {
		t.Errorf("%d strays, want the second answer", r.machine.UnmatchedActions())
	}
	r.wantNothingLeft()
}

// An engine that never answers a request must not leave its client waiting: the Machine answers it at the response
// deadline.
func TestUnansweredRequestEndsAtResponseDeadline(t *testing.T) {
	r := newHarness(t, Limits{}, startOnBackend7(nil))
	r.submit(1, "safe")
	if at, ok := r.machine.Next(); !ok || at != time.Hour+960*ms {
		t.Errorf("next at %v %v", at, ok)
	}
	r.wantEffects("early", r.machine.Tick(r.setTime(959*ms)), "")
	r.wantEffects("attempts' time", r.machine.Tick(r.setTime(960*ms)), "calloff 1/0 late")
	r.wantEffects("last moment", r.machine.Tick(r.setTime(980*ms)), "final 1 late")
	r.wantLastEvent("client_disconnected{")
	r.wantEffects("the end of it", r.machine.AttemptEnded(r.setTime(981*ms), 1, 0, Outcome{Result: decision.TimedOut}), "")
	r.wantLastEvent("final=true")
	r.wantNothingLeft()
}

// An executor that was paused finds all timers overdue at once. They fire in the order of their times, before the
// event that woke it, so a response that came too late is not served.
func TestOverdueTimersFireBeforeLateEvent(t *testing.T) {
	r := newHarness(t, Limits{}, startOnBackend7(nil))
	r.submit(1, "safe")
	r.now += 5 * ms
	r.submit(2, "safe")
	r.wantEffects("all at once", r.machine.AttemptEnded(r.setTime(5*time.Second), 2, 0, Outcome{Result: decision.Succeeded}),
		"calloff 1/0 late; final 1 late; calloff 2/0 late; final 2 late")
	r.wantLastEvent("result=0 latency=4.995s final=true")
	r.wantEffects("nothing more", r.machine.Tick(r.now), "")
}

func TestTimersOfOneInstantFireInOrder(t *testing.T) {
	var tokens []uint64
	r := newHarness(t, Limits{}, func(ev decision.Event) []decision.Action {
		switch ev := ev.(type) {
		case decision.Request:
			return []decision.Action{decision.SetTimer{After: 10 * ms, Token: 3, Request: 1}, decision.SetTimer{After: 10 * ms, Token: 1, Request: 1},
				decision.SetTimer{After: 10 * ms}, decision.SetTimer{After: -ms, Token: 9, Request: 1}}
		case decision.Timer:
			tokens = append(tokens, ev.Token)
			if ev.Token == 9 { // one that would come for ever
				return []decision.Action{decision.SetTimer{Token: 9, Request: 1}}
			}
		}
		return nil
	})
	r.submit(1, "safe")
	r.machine.Tick(r.now)
	r.machine.Tick(r.setTime(10 * ms))
	if want := []uint64{9, 9, 3, 1, 0}; !slices.Equal(tokens, want) {
		t.Errorf("timers came as %v, want %v", tokens, want)
	}
}

func TestDisconnectedClientStartsNothing(t *testing.T) {
	r := newHarness(t, Limits{}, startOnBackend7(func(ev decision.Event) []decision.Action {
		if g, ok := ev.(decision.ClientDisconnected); ok {
			return []decision.Action{decision.CancelAttempt{Request: g.Request}, decision.StartAttempt{Request: g.Request, Backend: 9}}
		}
		return nil
	}))
	r.submit(1, "safe")
	r.wantEffects("another's tag", r.machine.Disconnect(r.now, "stranger", 1), "")
	r.wantEffects("left", r.machine.Disconnect(r.setTime(10*ms), decision.RequestID(1), 1), "final 1 left; calloff 1/0")
	r.wantLastEvent("attempt=1 result=7") // what it wanted to send after the end was not sent
	r.wantEffects("twice", r.machine.Disconnect(r.now, decision.RequestID(1), 1), "")
	if r.machine.OpenRequests() != 1 || r.machine.Unanswered() != 0 {
		t.Errorf("open %d, owed %d, want the attempt only", r.machine.OpenRequests(), r.machine.Unanswered())
	}
	r.machine.AttemptEnded(r.setTime(11*ms), 1, 0, Outcome{Result: decision.Cancelled})
	r.wantNothingLeft()
}

// An engine that answers a request and cancels nothing leaves an attempt in flight. The Machine cancels it at its
// deadline, and its end is still reported as an outcome.
func TestAttemptOutlivesItsRequest(t *testing.T) {
	r := newHarness(t, Limits{}, func(ev decision.Event) []decision.Action {
		if q, ok := ev.(decision.Request); ok {
			return []decision.Action{decision.StartAttempt{Request: q.ID, Backend: 7}, decision.Fail{Request: q.ID}}
		}
		return nil
	})
	r.wantEffects("arrival", r.submit(1, "safe"), "start 1/0 at 7 by 960ms; final 1 failed")
	if _, err := r.machine.Submit(r.now, 1, decision.Request{ID: 1, Class: "safe", Timeout: 1}, 1); !errors.Is(err, ErrDuplicateID) {
		t.Errorf("its id again: %v", err)
	}
	r.wantEffects("its time", r.machine.Tick(r.setTime(960*ms)), "calloff 1/0 late")
	r.wantEffects("its answer", r.machine.AttemptEnded(r.setTime(970*ms), 1, 0, Outcome{Result: decision.Succeeded}), "")
	r.wantLastEvent("result=0 latency=970ms final=true")
	r.wantNothingLeft()
}

func TestSubmit_Limits(t *testing.T) {
	r := newHarness(t, Limits{MaxOpenRequests: 2, MaxAttempts: 1}, startOnBackend7(func(ev decision.Event) []decision.Action {
		if o, ok := ev.(decision.Outcome); ok && o.Attempt < 3 {
			return []decision.Action{decision.StartAttempt{Request: o.Request, Backend: 8}}
		}
		return nil
	}))
	again := func(id decision.RequestID, class string) error {
		_, err := r.machine.Submit(r.now, id, decision.Request{ID: id, Class: class, Timeout: time.Second}, time.Second)
		return err
	}
	r.submit(1, "safe")
	if err := again(1, "safe"); !errors.Is(err, ErrDuplicateID) {
		t.Errorf("an open id: %v", err)
	}
	r.submit(2, "keyed")
	if err := again(3, "safe"); !errors.Is(err, ErrTooManyRequests) {
		t.Errorf("one too many: %v", err)
	}
	r.wantEffects("attempts beyond the bound", r.machine.AttemptEnded(r.now, 1, 0, Outcome{Result: decision.Rejected}), "")
	r.wantLastEvent("attempt=3 result=7")
	r.machine.Close()
	if err := again(4, "safe"); !errors.Is(err, ErrClosed) {
		t.Errorf("closed: %v", err)
	}
	r.wantEffects("abort", r.machine.Abort(r.now), "final 1 aborted; final 2 aborted; calloff 2/0")
	r.machine.AttemptEnded(r.now, 2, 0, Outcome{Result: decision.Cancelled})
	r.wantNothingLeft()
}

// A host that runs its handlers again submits an id again. A request that may have executed must not execute twice;
// one that provably never did may be submitted again.
func TestSubmit_ReplayedID(t *testing.T) {
	r := newHarness(t, Limits{MaxRememberedIDs: 2, IDRetention: time.Second}, startOnBackend7(nil))
	try := func(id decision.RequestID, class string, end decision.Result) error {
		if _, err := r.machine.Submit(r.now, id, decision.Request{ID: id, Class: class, Timeout: time.Second}, time.Second); err != nil {
			return err
		}
		r.machine.AttemptEnded(r.now, id, 0, Outcome{Result: end})
		r.machine.Disconnect(r.now, id, id)
		return nil
	}
	for _, c := range []struct {
		class string
		end   decision.Result
		again bool
	}{
		{"safe", decision.Succeeded, true}, {"keyed", decision.Succeeded, false}, {"keyed", decision.ConnectionLost, false},
		{"keyed", decision.Rejected, true}, {"unsafe", decision.Cancelled, false}, {"unsafe", decision.TimedOut, false},
		{"unsafe", decision.ConnectFailed, true}, {"unsafe", decision.NotSent, true}, {"unsafe", decision.Unknown, false},
		{"unsafe", decision.ErrorResponse, false},
	} {
		r.now += time.Minute
		for i, want := range []bool{true, c.again} {
			if err := try(1, c.class, c.end); (err == nil) != want || err != nil && !errors.Is(err, ErrReplayed) {
				t.Errorf("%s that ended as %d, time %d: %v", c.class, c.end, i+1, err)
			}
		}
	}
	r.now += time.Minute
	for id := range decision.RequestID(50) {
		if err := try(id, "unsafe", decision.Succeeded); err != nil {
			t.Fatal(err)
		}
		if len(r.machine.rememberedIDs) > 2 || len(r.machine.rememberedOrder) > 2 {
			t.Fatalf("%d ids are kept, 2 may be", len(r.machine.rememberedIDs))
		}
	}
	if err := try(49, "unsafe", decision.Succeeded); !errors.Is(err, ErrReplayed) {
		t.Errorf("the latest id: %v", err)
	}
	r.now += time.Second
	if err := try(49, "unsafe", decision.Succeeded); err != nil {
		t.Errorf("after the time that ids are remembered: %v", err)
	}
}

func TestUnmatchedActionsAreCounted(t *testing.T) {
	r := newHarness(t, Limits{}, func(ev decision.Event) []decision.Action {
		if _, ok := ev.(decision.EndpointUpdate); ok {
			return []decision.Action{decision.Probe{Backend: 3}, decision.Subscribe{}, decision.StartAttempt{Request: 99},
				decision.CancelAttempt{Request: 99}, decision.Reject{Request: 99}, nil}
		}
		return nil
	})
	r.wantEffects("list", r.machine.UpdateEndpoints(r.now, decision.EndpointUpdate{}), "probe 3; subscribe")
	if r.machine.UnmatchedActions() != 3 {
		t.Errorf("%d strays, want 3", r.machine.UnmatchedActions())
	}
	r.wantEffects("probed", r.machine.ProbeAnswered(r.now, decision.ProbeResult{Backend: 3}), "")
	r.wantLastEvent("probe_result{")
	r.wantResponseStarted("of none", 5, 0, false, "")
	r.wantLastEvent("probe_result{")
}

func (r *harness) wantResponseStarted(what string, id decision.RequestID, attempt int, may bool, want string) {
	r.t.Helper()
	es, got := r.machine.ResponseStarted(r.now, id, attempt)
	r.wantEffects(what, es, want)
	if got != may {
		r.t.Errorf("%s: the answer may begin: %v, want %v", what, got, may)
	}
}

// hedgeAfter100ms starts each request on backend 7 and, at the engine's timer, beside that on backend 8.
func hedgeAfter100ms(ev decision.Event) []decision.Action {
	switch ev := ev.(type) {
	case decision.Request:
		return []decision.Action{decision.StartAttempt{Request: ev.ID, Backend: 7}, decision.SetTimer{After: 100 * ms, Token: 1, Request: ev.ID}}
	case decision.Timer:
		return []decision.Action{decision.StartAttempt{Request: 1, Backend: 8}}
	}
	return nil
}

// Once part of a response is with the client, no other attempt can answer the request: others are cancelled, their
// responses may not start, their success changes nothing, and none is started any more.
func TestStartedResponseBindsRequest(t *testing.T) {
	r := newHarness(t, Limits{}, hedgeAfter100ms)
	r.submit(1, "safe")
	r.wantEffects("a second attempt", r.machine.Tick(r.setTime(100*ms)), "start 1/1 at 8 by 960ms")
	r.wantResponseStarted("the second one's", 1, 1, true, "calloff 1/0")
	r.wantLastEvent("response_started{")
	r.wantResponseStarted("again", 1, 1, false, "")
	r.wantResponseStarted("the first one's", 1, 0, false, "")
	r.wantEffects("the first was answered", r.machine.AttemptEnded(r.setTime(120*ms), 1, 0, Outcome{Result: decision.Succeeded}), "")
	r.wantEffects("the end", r.machine.AttemptEnded(r.setTime(130*ms), 1, 1, Outcome{Result: decision.Succeeded}), "final 1 served by 1")
	r.wantNothingLeft()
}

// A response that breaks halfway cannot be taken back. The request fails with it: it is never retried or rejected,
// whatever its class.
func TestStartedResponseThatBreaksIsNotRetried(t *testing.T) {
	for result, want := range map[decision.Result]string{decision.ConnectionLost: "final 1 failed", decision.Rejected: "final 1 failed",
		decision.ErrorResponse: "final 1 failed", decision.TimedOut: "final 1 late"} {
		again := startOnBackend7(func(ev decision.Event) []decision.Action {
			if o, ok := ev.(decision.Outcome); ok && o.Attempt == 0 {
				return []decision.Action{decision.StartAttempt{Request: o.Request, Backend: 8}, decision.Reject{Request: o.Request}}
			}
			return nil
		})
		r := newHarness(t, Limits{}, again)
		r.submit(1, "safe")
		r.wantResponseStarted("it", 1, 0, true, "")
		r.wantEffects(want, r.machine.AttemptEnded(r.setTime(30*ms), 1, 0, Outcome{Result: result}), want)
		r.wantNothingLeft()
	}
	r := newHarness(t, Limits{}, startOnBackend7(func(ev decision.Event) []decision.Action {
		if _, ok := ev.(decision.ResponseStarted); ok {
			return []decision.Action{decision.StartAttempt{Request: 1, Backend: 8}, decision.Reject{Request: 1}}
		}
		return nil
	}))
	r.submit(1, "safe")
	r.wantResponseStarted("a module that refuses what it is told has begun", 1, 0, false, "final 1 failed")
}

// A response may not start once its attempt is cancelled or its request is answered.
func TestResponseStarted_TooLate(t *testing.T) {
	r := newHarness(t, Limits{}, startOnBackend7(nil))
	r.submit(1, "safe")
	r.setTime(960 * ms)
	r.wantResponseStarted("when its time is up", 1, 0, false, "calloff 1/0 late")
	r.wantEffects("the last moment", r.machine.Tick(r.setTime(980*ms)), "final 1 late")
	r.wantResponseStarted("after the end", 1, 0, false, "")
}

// A response that has started still ends at its request's deadline.
func TestStartedResponseEndsAtDeadline(t *testing.T) {
	r := newHarness(t, Limits{}, startOnBackend7(nil))
	r.submit(1, "safe")
	r.wantResponseStarted("it", 1, 0, true, "")
	r.wantEffects("its time", r.machine.Tick(r.setTime(960*ms)), "calloff 1/0 late")
	r.wantEffects("its end", r.machine.AttemptEnded(r.setTime(961*ms), 1, 0, Outcome{Result: decision.TimedOut}), "final 1 late")
	r.wantNothingLeft()
}
