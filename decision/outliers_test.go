package decision

import (
	"testing"
)

// The penalty of a backend that was silent or slow must decay while it is idle, however high it is,
// so that the backend is tried again.
func TestUpdateOverdueResponses_PenaltyDecaysWhileIdle(t *testing.T) {
	for _, c := range []struct {
		overdue, ratio float64
		least, most    int // requests, one every half second, until the backend is tried again
	}{{8, 1, 2, 8}, {1, 8, 2, 30}, {75, 9, 4, 30}} {
		h := newHarness(t, testSettings(), testEndpoints(2)...)
		backend := h.engine.backends[1]
		backend.overdueResponses, backend.latencyRatio, h.engine.classes["safe"].meanLatency = c.overdue, c.ratio, 0.1
		n := 0
		for to := BackendID(2); to != 1; n++ {
			if n > c.most {
				t.Fatalf("with %v overdue responses and a latency ratio of %v the backend is not tried again", c.overdue, c.ratio)
			}
			h.now += 500 * ms
			id, actions := h.request("safe", "large", CustomerID(n))
			to = startedAttempts(actions)[0].Backend
			h.outcome(id, to, 0, Succeeded)
		}
		if n < c.least {
			t.Errorf("with %v overdue responses and a latency ratio of %v it was tried again at request %d, want %d or later",
				c.overdue, c.ratio, n, c.least)
		}
	}
}

// Connections sometimes break one at a time. A broken connection must not count as a restart of its
// backend, or all backends would soon be in slow start at once. A backend counts as down only after
// connectFailureThreshold consecutive failures to connect.
func TestOnConnectFailed_SingleFailureIsNoRestart(t *testing.T) {
	h := newHarness(t, testSettings(), testEndpoints(1)...)
	id, _ := h.request("safe", "large", 1)
	h.outcome(id, 1, 0, ConnectionLost)
	backend := h.engine.backends[1]
	if backend.warmingUp || backend.holdUntil > h.now {
		t.Errorf("after a lost connection: in slow start %v, on hold for %v, want neither", backend.warmingUp,
			backend.holdUntil-h.now)
	}
	for n := 1; n <= connectFailureThreshold; n++ {
		id, actions := h.request("safe", "large", 1)
		if len(startedAttempts(actions)) != 1 {
			t.Fatalf("after %d failed connections and the end of the hold: %+v, want one attempt", n-1, actions)
		}
		h.outcome(id, 1, 0, ConnectFailed)
		if backend.holdUntil <= h.now || backend.warmingUp != (n == connectFailureThreshold) {
			t.Errorf("after %d failed connections: in slow start %v, want %v; on hold for %v, want more than 0", n,
				backend.warmingUp, n == connectFailureThreshold, backend.holdUntil-h.now)
		}
		h.now = backend.holdUntil
	}
}

// newHarnessWithAttempt returns a harness with n backends in one cell, mean latencies of 100 ms, a
// full cancel budget, and one attempt of a request of the class in flight.
func newHarnessWithAttempt(t *testing.T, n int, class string) (h *harness, id RequestID, b BackendID) {
	t.Helper()
	backends := testEndpoints(n)
	for i := range backends {
		backends[i].Cell = 0
	}
	h = newHarness(t, testSettings(), backends...)
	for _, cl := range h.engine.orderedClasses {
		cl.meanLatency, cl.bestLatency = 0.1, 0.1
	}
	h.engine.meanLatency, h.engine.bestLatency, h.engine.cancelBudget = 0.1, 0.1, cancelBudgetMax
	id, actions := h.request(class, "large", 1)
	return h, id, startedAttempts(actions)[0].Backend
}

// waitUntilSlow advances the time to where a first attempt may be cancelled as slow, and returns
// the actions of the next event.
func (h *harness) waitUntilSlow() []Action {
	h.now += durationOf(slowAttemptFactor*0.1) + ms
	return h.handleIgnored()
}

// handleIgnored passes an event that the engine ignores, so that it only cancels slow attempts.
func (h *harness) handleIgnored() []Action { return h.handle(ProbeResult{}) }

func cancelledAttempts(actions []Action) (out []CancelAttempt) {
	for _, a := range actions {
		if c, ok := a.(CancelAttempt); ok {
			out = append(out, c)
		}
	}
	return out
}

// A backend hangs with a first attempt in flight. The attempt must be cancelled and retried at
// another backend in the same slot, if that is allowed. The retry must not be cancelled: a request
// that takes as long at a second backend may simply be slow.
func TestCancelSlowAttempts_RetriedElsewhereOnce(t *testing.T) {
	for _, c := range []struct {
		name, class string
		change      func(*harness)
		want        int
	}{
		{"idempotent", "safe", func(*harness) {}, 1},
		{"keyed, another backend in its cell", "keyed-cell", func(*harness) {}, 1},
		{"not idempotent", "nonidempotent", func(*harness) {}, 0},
		{"keyed, no other backend in its cell", "keyed-cell", func(h *harness) {
			for i, backend := range knownBackends(h.engine) {
				backend.Cell = i
			}
		}, 0},
		{"budget used up", "safe", func(h *harness) { h.engine.cancelBudget = 0.9 }, 0},
		{"cancelling unsupported", "safe", func(h *harness) { h.engine.settings.CanCancel = false }, 0},
		{"close to the deadline", "safe", func(h *harness) {
			for _, q := range h.engine.requests {
				q.deadline = h.now + durationOf(slowAttemptFactor*0.1) + 150*ms
			}
		}, 0},
	} {
		h, id, b := newHarnessWithAttempt(t, 3, c.class)
		c.change(h)
		if actions := h.handleIgnored(); len(actions) != 0 {
			t.Errorf("%s: actions before the attempt is slow: %+v, want none", c.name, actions)
		}
		cancelled := cancelledAttempts(h.waitUntilSlow())
		if len(cancelled) != c.want {
			t.Errorf("%s: %d attempts cancelled, want %d", c.name, len(cancelled), c.want)
		}
		if n := len(h.engine.classes[c.class].cancelCandidates); n != 0 {
			t.Errorf("%s: %d candidates for cancelling are left, want 0", c.name, n)
		}
		if len(cancelled) == 0 {
			continue
		}
		again := startedAttempts(h.handle(Outcome{Request: id, Backend: b, Result: Cancelled, Latency: second}))
		if len(again) != 1 || again[0].Backend == b || slotsInUse(h.engine) != 1 {
			t.Fatalf("%s: then attempts %+v with %d slots in use, want one attempt at another backend, in one slot", c.name,
				again, slotsInUse(h.engine))
		}
		if again := cancelledAttempts(h.waitUntilSlow()); len(again) != 0 {
			t.Errorf("%s: the retry led to %+v, want no cancelled attempt", c.name, again)
		}
		h.outcome(id, again[0].Backend, 1, Succeeded)
		if slotsInUse(h.engine) != 0 || len(h.engine.requests) != 0 {
			t.Errorf("%s: %d slots and %d requests are left, want none", c.name, slotsInUse(h.engine), len(h.engine.requests))
		}
	}
}

// Under overload all attempts wait. Cancelling them means doing their work twice, so only a small
// share may be cancelled.
func TestCancelSlowAttempts_FewUnderOverload(t *testing.T) {
	h, _, _ := newHarnessWithAttempt(t, 40, "safe")
	const more = 320
	for range more {
		h.request("safe", "large", 1)
	}
	if n, most := len(cancelledAttempts(h.waitUntilSlow())), int(cancelBudgetMax); n > most || n == 0 {
		t.Errorf("%d of %d attempts cancelled at once, want 1 to %d", n, more, most)
	}
}

// A backend that leaves several attempts in a row without a response must get a higher penalty each
// time: a small one at first, as it may be just one dead connection. A response clears the penalty.
func TestRecordCancelled_PenaltyGrows(t *testing.T) {
	h, id, at := newHarnessWithAttempt(t, 2, "safe")
	backend := h.engine.backends[at]
	slow := backend.latencyRatio
	last := overdueTolerance
	for n := range 3 {
		h.waitUntilSlow()
		h.handle(Outcome{Request: id, Backend: at, Result: Cancelled, Latency: second})
		if backend.overdueResponses <= last || backend.latencyRatio != slow {
			t.Errorf("after %d cancelled attempts: overdue %v, want above %v; latency ratio %v, want %v", n+1,
				backend.overdueResponses, last, backend.latencyRatio, slow)
		}
		last = backend.overdueResponses
		// Put the others on hold, so that the next attempt goes to the same backend.
		for _, o := range knownBackends(h.engine) {
			o.holdUntil = h.now
			if o != backend {
				o.holdUntil = h.now + second
			}
		}
		next, actions := h.request("safe", "large", 1)
		if len(startedAttempts(actions)) != 1 || startedAttempts(actions)[0].Backend != at {
			t.Fatalf("actions %+v, want one attempt at backend %d", actions, at)
		}
		id = next
	}
	h.outcome(id, at, 0, Succeeded)
	if backend.cancelledAttempts != 0 || backend.overdueResponses != 0 {
		t.Errorf("after a response: cancelledAttempts %d and overdueResponses %v, want 0", backend.cancelledAttempts,
			backend.overdueResponses)
	}
}
