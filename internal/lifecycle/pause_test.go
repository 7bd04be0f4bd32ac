package lifecycle

import (
	"strings"
	"testing"
	"time"

	"pumicecroft/decision"
)

// still is a rig whose core notices pauses, and has seen something happen at 0.
func newPausableHarness(t *testing.T, on func(decision.Event) []decision.Action) *harness {
	r := newHarness(t, Limits{DetectPauses: true}, on)
	r.machine.Tick(r.now)
	return r
}

// catchUp is the serial of the only CatchUp among effects; 0: there is none.
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

// What is decided first after a standstill waits for what the sources were told meanwhile, and is decided again if that speaks against it.
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

// What waits ends like what is out: by its client, by its time, at the end; and its backend never hears of it.
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

// A second standstill before the first one's answer makes that answer worthless.
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

// What was decided before and has not left is asked for: it may not leave before the news is in, and not to a backend that drains by it.
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

// An attempt that was out while the process stood still proves nothing of its backend: not its time, not its reading.
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

// A process that does something often enough, or nothing because nothing is due, does not stand still.
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
