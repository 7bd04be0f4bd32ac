package lifecycle

import (
	"strings"
	"testing"
	"time"

	"pumicecroft/decision"
)

// newPausableHarness returns a harness whose Machine detects pauses, and has seen an event at 0.
func newPausableHarness(t *testing.T, on func(decision.Event) []decision.Action) *harness {
	r := newHarness(t, Limits{DetectPauses: true}, on)
	r.machine.Tick(r.now)
	return r
}

// syncRequested is the SyncID of the only SyncSources among effects; 0: there is none.
func (r *harness) syncRequested(es []Effect) (serial uint64) {
	r.t.Helper()
	for _, e := range es {
		if e.Kind == SyncSources {
			if serial > 0 {
				r.t.Errorf("two at once: %+v", es)
			}
			serial = e.SyncID
		}
	}
	return serial
}

func drainUpdate(id decision.BackendID) decision.EndpointUpdate {
	return decision.EndpointUpdate{Kind: decision.UpdateDelta, Endpoints: []decision.Endpoint{{ID: id, State: decision.Draining}}}
}

// A backend is told to drain while the process is paused, and a request arrives before that update is read. Its attempt
// must wait until the sources have synced, and go elsewhere if its backend drains by then.
func TestStartAfterPauseWaitsForSync(t *testing.T) {
	elsewhere := func(ev decision.Event) []decision.Action {
		if o, ok := ev.(decision.Outcome); ok && o.Result == decision.NotSent && o.Attempt == 0 {
			return []decision.Action{decision.StartAttempt{Request: o.Request, Backend: 8}}
		}
		return nil
	}
	for name, c := range map[string]struct {
		list *decision.EndpointUpdate
		want string
	}{
		"no news":            {nil, "start 1/0 at 7 by 6.96s"},
		"its backend drains": {new(drainUpdate(7)), "start 1/1 at 8 by 6.96s"},
		"its backend is not on the whole list": {&decision.EndpointUpdate{Kind: decision.UpdateFull, Endpoints: []decision.Endpoint{{ID: 8}}},
			"start 1/1 at 8 by 6.96s"},
		"another one drains": {new(drainUpdate(8)), "start 1/0 at 7 by 6.96s"},
		"asking failed":      {&decision.EndpointUpdate{Kind: decision.UpdateFailed}, "start 1/0 at 7 by 6.96s"},
	} {
		t.Run(name, func(t *testing.T) {
			r := newPausableHarness(t, startOnBackend7(elsewhere))
			r.setTime(6 * time.Second)
			es := r.submit(1, "safe")
			serial := r.syncRequested(es)
			r.wantEffects("an arrival", es, "")
			r.setTime(6*time.Second + ms)
			if c.list != nil {
				r.wantEffects("the news", r.machine.UpdateEndpoints(r.now, *c.list), "")
			}
			r.wantEffects("an older answer", r.machine.SourcesSynced(r.now, serial-1), "")
			r.wantEffects("all is taken in", r.machine.SourcesSynced(r.now, serial), c.want)
			if r.machine.Syncing() || serial == 0 {
				t.Error("it still catches up, or never did")
			}
			r.wantEffects("the next one waits for nothing", r.submit(2, "safe"), "start 2/0 at 7 by 6.961s")
		})
	}
}

// An attempt that is held back after a pause ends like one in flight: by its client, its deadline or an abort. It was
// never sent, so its id does not count as executed.
func TestHeldStartEndsWithoutSend(t *testing.T) {
	for name, c := range map[string]struct {
		do   func(r *harness) []Effect
		want string
	}{
		"its client leaves": {func(r *harness) []Effect { return r.machine.Disconnect(r.now, decision.RequestID(1), 1) }, "final 1 left"},
		"its time is up": {func(r *harness) []Effect {
			r.machine.Tick(r.setTime(6*time.Second + 970*ms))
			return r.machine.Tick(r.setTime(6*time.Second + 990*ms))
		}, "final 1 late"},
		"the core is shut": {func(r *harness) []Effect { return r.machine.Abort(r.now) }, "final 1 aborted"},
	} {
		t.Run(name, func(t *testing.T) {
			r := newPausableHarness(t, startOnBackend7(func(ev decision.Event) []decision.Action {
				if g, ok := ev.(decision.ClientDisconnected); ok {
					return []decision.Action{decision.CancelAttempt{Request: g.Request}}
				}
				return nil
			}))
			r.setTime(6 * time.Second)
			serial := r.syncRequested(r.submit(1, "unsafe"))
			r.wantEffects("its end", c.do(r), c.want)
			if !strings.Contains(strings.Join(r.events, "; "), "result=7") {
				t.Errorf("the decision module never heard that it was not sent: %q", r.events)
			}
			r.wantEffects("all is taken in", r.machine.SourcesSynced(r.now, serial), "")
			if r.machine.OpenRequests() != 0 || r.machine.RememberedIDs() != 0 {
				t.Errorf("%d are open, and %d ids count as run", r.machine.OpenRequests(), r.machine.RememberedIDs())
			}
		})
	}
}

// A second pause before the sources have synced after the first makes that sync worthless: what arrived during the
// second one is unread.
func TestPauseDuringSyncNeedsAnotherSync(t *testing.T) {
	r := newPausableHarness(t, startOnBackend7(nil))
	r.setTime(6 * time.Second)
	first := r.syncRequested(r.submit(1, "safe"))
	es := r.machine.SourcesSynced(r.setTime(6*time.Second+700*ms), first)
	if r.syncRequested(es) != 0 || describeEffects(es) != "start 1/0 at 7 by 6.96s" {
		t.Errorf("half a second later: %q", describeEffects(es))
	}
	r.setTime(9 * time.Second)
	second := r.syncRequested(r.submit(2, "safe"))
	es = r.machine.SourcesSynced(r.setTime(15*time.Second), second)
	third := r.syncRequested(es)
	if third <= second || strings.Contains(describeEffects(es), "start") {
		t.Errorf("six seconds later: %q, and CatchUp %d", describeEffects(es), third)
	}
}

// An attempt is decided, and the process is paused before it is sent. It may not be sent before the sources have synced,
// nor to a backend that drains by then.
func TestConfirmSend(t *testing.T) {
	r := newPausableHarness(t, startOnBackend7(nil))
	r.wantEffects("an arrival", r.submit(1, "safe"), "start 1/0 at 7 by 960ms")
	if _, may := r.machine.ConfirmSend(r.setTime(600*ms), 1, 0); !may {
		t.Error("a slow connection is no standstill")
	}
	es, may := r.machine.ConfirmSend(r.setTime(6*time.Second), 1, 0)
	if serial := r.syncRequested(es); may || serial == 0 {
		t.Errorf("it leaves after a standstill: %v, %q", may, describeEffects(es))
	}

	r = newPausableHarness(t, startOnBackend7(nil))
	r.submit(1, "safe")
	r.machine.UpdateEndpoints(r.setTime(100*ms), drainUpdate(7))
	if _, may := r.machine.ConfirmSend(r.setTime(600*ms), 1, 0); may {
		t.Error("it leaves for a backend that drains")
	}
	if _, may := r.machine.ConfirmSend(r.now, 2, 0); may {
		t.Error("what nobody asked for leaves")
	}
}

// An attempt that is in flight during a pause must not count against its backend: the pause is taken off its latency,
// and its usage reading is dropped, as it is as old as the pause.
func TestPauseIsDiscountedFromOutcome(t *testing.T) {
	r := newPausableHarness(t, startOnBackend7(nil))
	es, err := r.machine.Submit(r.now, decision.RequestID(1), decision.Request{ID: 1, Class: "safe", Timeout: 20 * time.Second}, 20*time.Second)
	r.wantEffects("an arrival", es, "start 1/0 at 7 by 20s")
	if err != nil {
		t.Fatal(err)
	}
	r.machine.Tick(r.setTime(100 * ms))
	r.machine.Tick(r.setTime(6 * time.Second))
	r.wantLastEvent("process_paused{duration=5.9s}")
	r.machine.AttemptEnded(r.setTime(6*time.Second+10*ms), 1, 0, Outcome{Result: decision.Succeeded, HasUsage: true, Usage: 300})
	r.wantLastEvent("result=0 latency=110ms final=true has_usage=false")
}

// A process that is busy, or idle because no timer is due, must not be taken for a paused one.
func TestFrequentTicksAreNoPause(t *testing.T) {
	r := newPausableHarness(t, startOnBackend7(nil))
	for i := range 100 {
		at, ok := r.machine.Next()
		if !ok {
			t.Fatal("it does not look at its clock")
		}
		r.now = at + time.Duration(i%5)*50*ms
		if r.syncRequested(r.machine.Tick(r.now)) != 0 {
			t.Fatalf("it stood still at %v, called %v late", r.now, r.now-at)
		}
	}
}
