package lifecycle

import (
	"strings"
	"testing"
	"time"

	"pumicecroft/decision"
)

// newPausableHarness returns a harness whose Machine detects pauses. Its first event is a Tick at the start time.
func newPausableHarness(t *testing.T, react func(decision.Event) []decision.Action) *harness {
	h := newHarness(t, Limits{DetectPauses: true}, react)
	h.machine.Tick(h.now)
	return h
}

// syncRequested returns the SyncID of the only SyncSources among the effects, or 0 if there is none.
func (h *harness) syncRequested(effects []Effect) (syncID uint64) {
	h.t.Helper()
	for _, effect := range effects {
		if effect.Kind == SyncSources {
			if syncID > 0 {
				h.t.Errorf("got more than one SyncSources: %+v", effects)
			}
			syncID = effect.SyncID
		}
	}
	return syncID
}

func drainUpdate(id decision.BackendID) decision.EndpointUpdate {
	return decision.EndpointUpdate{
		Kind:      decision.UpdateDelta,
		Endpoints: []decision.Endpoint{{ID: id, State: decision.Draining}},
	}
}

// A backend is told to drain while the process is paused, and a request arrives before that update is read. The attempt
// must be held back until the sources have synced, and go to another backend if its own drains according to the update.
func TestStartAfterPauseWaitsForSync(t *testing.T) {
	elsewhere := func(event decision.Event) []decision.Action {
		if outcome, ok := event.(decision.Outcome); ok && outcome.Result == decision.NotSent && outcome.Attempt == 0 {
			return []decision.Action{decision.StartAttempt{Request: outcome.Request, Backend: 8}}
		}
		return nil
	}
	for name, c := range map[string]struct {
		update *decision.EndpointUpdate
		want   string
	}{
		"no update":          {nil, "start 1/0 at 7 by 6.96s"},
		"its backend drains": {new(drainUpdate(7)), "start 1/1 at 8 by 6.96s"},
		"full update without its backend": {
			&decision.EndpointUpdate{Kind: decision.UpdateFull, Endpoints: []decision.Endpoint{{ID: 8}}},
			"start 1/1 at 8 by 6.96s"},
		"another backend drains": {new(drainUpdate(8)), "start 1/0 at 7 by 6.96s"},
		"update failed":          {&decision.EndpointUpdate{Kind: decision.UpdateFailed}, "start 1/0 at 7 by 6.96s"},
	} {
		t.Run(name, func(t *testing.T) {
			h := newPausableHarness(t, startOnBackend7(elsewhere))
			h.setTime(6 * time.Second)
			effects := h.submit(1, "safe")
			syncID := h.syncRequested(effects)
			h.wantEffects("submit", effects, "")
			h.setTime(6*time.Second + ms)
			if c.update != nil {
				h.wantEffects("UpdateEndpoints", h.machine.UpdateEndpoints(h.now, *c.update), "")
			}
			h.wantEffects("SourcesSynced with an older id", h.machine.SourcesSynced(h.now, syncID-1), "")
			h.wantEffects("SourcesSynced", h.machine.SourcesSynced(h.now, syncID), c.want)
			if h.machine.Syncing() || syncID == 0 {
				t.Errorf("got SyncID %d and Syncing %v, want a SyncID above 0 and Syncing false", syncID, h.machine.Syncing())
			}
			h.wantEffects("submit after the sync", h.submit(2, "safe"), "start 2/0 at 7 by 6.961s")
		})
	}
}

// An attempt that is held back after a pause must end like one in flight when its client disconnects, its deadline
// passes or the Machine is aborted. It was never sent, so its id must not be remembered.
func TestHeldStartEndsWithoutSend(t *testing.T) {
	for name, c := range map[string]struct {
		trigger func(h *harness) []Effect
		want    string
	}{
		"client disconnects": {func(h *harness) []Effect {
			return h.machine.Disconnect(h.now, decision.RequestID(1), 1)
		}, "respond 1 client disconnected"},
		"deadline passes": {func(h *harness) []Effect {
			h.machine.Tick(h.setTime(6*time.Second + 970*ms))
			return h.machine.Tick(h.setTime(6*time.Second + 990*ms))
		}, "respond 1 deadline exceeded"},
		"machine is aborted": {func(h *harness) []Effect { return h.machine.Abort(h.now) }, "respond 1 aborted"},
	} {
		t.Run(name, func(t *testing.T) {
			h := newPausableHarness(t, startOnBackend7(func(event decision.Event) []decision.Action {
				if disconnected, ok := event.(decision.ClientDisconnected); ok {
					return []decision.Action{decision.CancelAttempt{Request: disconnected.Request}}
				}
				return nil
			}))
			h.setTime(6 * time.Second)
			syncID := h.syncRequested(h.submit(1, "unsafe"))
			h.wantEffects("end of the request", c.trigger(h), c.want)
			if !strings.Contains(strings.Join(h.events, "; "), "result=7") {
				t.Errorf("got events %q, want a NotSent outcome (result=7)", h.events)
			}
			h.wantEffects("SourcesSynced", h.machine.SourcesSynced(h.now, syncID), "")
			if h.machine.OpenRequests() != 0 || h.machine.RememberedIDs() != 0 {
				t.Errorf("got %d open requests and %d remembered ids, want none",
					h.machine.OpenRequests(), h.machine.RememberedIDs())
			}
		})
	}
}

// If the process is paused again before the sources have synced, that sync does not cover the updates that arrived
// during the second pause. Another one must be requested.
func TestPauseDuringSyncNeedsAnotherSync(t *testing.T) {
	h := newPausableHarness(t, startOnBackend7(nil))
	h.setTime(6 * time.Second)
	first := h.syncRequested(h.submit(1, "safe"))
	// 700 ms after the last call is no pause: it is less than recovery.DefaultCheckInterval.
	effects := h.machine.SourcesSynced(h.setTime(6*time.Second+700*ms), first)
	if h.syncRequested(effects) != 0 || describeEffects(effects) != "start 1/0 at 7 by 6.96s" {
		t.Errorf("SourcesSynced after 700 ms: got effects %q, want the held start and no SyncSources",
			describeEffects(effects))
	}
	h.setTime(9 * time.Second)
	second := h.syncRequested(h.submit(2, "safe"))
	effects = h.machine.SourcesSynced(h.setTime(15*time.Second), second)
	third := h.syncRequested(effects)
	if third <= second || strings.Contains(describeEffects(effects), "start") {
		t.Errorf("SourcesSynced after 6 s: got effects %q and SyncID %d, want no start and a SyncID above %d",
			describeEffects(effects), third, second)
	}
}

// An attempt whose process is paused between the decision and the send must not be sent before the sources have synced,
// and no attempt may be sent to a backend that started to drain after the decision.
func TestConfirmSend(t *testing.T) {
	h := newPausableHarness(t, startOnBackend7(nil))
	h.wantEffects("submit", h.submit(1, "safe"), "start 1/0 at 7 by 960ms")
	if _, allowed := h.machine.ConfirmSend(h.setTime(600*ms), 1, 0); !allowed {
		t.Error("ConfirmSend 600 ms after the decision, without a pause: got false, want true")
	}
	effects, allowed := h.machine.ConfirmSend(h.setTime(6*time.Second), 1, 0)
	if syncID := h.syncRequested(effects); allowed || syncID == 0 {
		t.Errorf("ConfirmSend after a pause: got %v and SyncID %d, want false and a SyncID above 0", allowed, syncID)
	}

	h = newPausableHarness(t, startOnBackend7(nil))
	h.submit(1, "safe")
	h.machine.UpdateEndpoints(h.setTime(100*ms), drainUpdate(7))
	if _, allowed := h.machine.ConfirmSend(h.setTime(600*ms), 1, 0); allowed {
		t.Error("ConfirmSend for a draining backend: got true, want false")
	}
	if _, allowed := h.machine.ConfirmSend(h.now, 2, 0); allowed {
		t.Error("ConfirmSend for an unknown request: got true, want false")
	}
}

// A pause while an attempt is in flight must not count against the backend: it is subtracted from the latency. The
// usage reading is dropped, because it may be as old as the pause.
func TestPauseIsDiscountedFromOutcome(t *testing.T) {
	h := newPausableHarness(t, startOnBackend7(nil))
	effects, err := h.machine.Submit(h.now, decision.RequestID(1),
		decision.Request{ID: 1, Class: "safe", Timeout: 20 * time.Second}, 20*time.Second)
	h.wantEffects("submit", effects, "start 1/0 at 7 by 20s")
	if err != nil {
		t.Fatal(err)
	}
	h.machine.Tick(h.setTime(100 * ms))
	h.machine.Tick(h.setTime(6 * time.Second))
	h.wantLastEvent("process_paused{duration=5.9s}")
	h.machine.AttemptEnded(h.setTime(6*time.Second+10*ms), 1, 0,
		Outcome{Result: decision.Succeeded, HasUsage: true, Usage: 300})
	h.wantLastEvent("result=0 latency=110ms final=true has_usage=false")
}

// A process that is idle because no timer is due, or so busy that it calls Tick up to 200 ms late, must not be taken
// for a paused one.
func TestTicksWithinToleranceAreNoPause(t *testing.T) {
	h := newPausableHarness(t, startOnBackend7(nil))
	for i := range 100 {
		at, ok := h.machine.Next()
		if !ok {
			t.Fatal("Next: got no time, want one for the next pause check")
		}
		h.now = at + time.Duration(i%5)*50*ms
		if h.syncRequested(h.machine.Tick(h.now)) != 0 {
			t.Fatalf("Tick at %v, %v late: got SyncSources, want none", h.now, h.now-at)
		}
	}
}
