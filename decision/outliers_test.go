package decision

import (
	"testing"
)

// A backend was silent, or slow, and is idle since. What that has taught must fade, however high it
// stands, so that the backend is tried again.
func TestOverdue_SilenceFades(t *testing.T) {
	for _, c := range []struct {
		owed, slow  float64
		least, most int // half seconds until it is tried again
	}{{8, 1, 2, 8}, {1, 8, 2, 30}, {75, 9, 4, 30}} {
		r := newHarness(t, testSettings(), testEndpoints(2)...)
		b := r.engine.backends[1]
		b.overdueResponses, b.slowness, r.engine.classes["safe"].meanLatency = c.owed, c.slow, 0.1
		n := 0
		for to := BackendID(2); to != 1; n++ {
			if n > c.most {
				t.Fatalf("with %v overdue and a slowness of %v it is not tried again", c.owed, c.slow)
			}
			r.now += 500 * ms
			id, as := r.request("safe", "wide", CustomerID(n))
			to = startedAttempts(as)[0].Backend
			r.outcome(id, to, 0, Succeeded)
		}
		if n < c.least {
			t.Errorf("with %v overdue and a slowness of %v it was tried again at request %d", c.owed, c.slow, n)
		}
	}
}

// Connections break one by one on some days. A reset must not count as a restart of its backend, or
// all of them are soon in slow start together; only where no connection comes up any more is one
// down.
func TestOnConnectFailed_OneBrokenConnectionIsNoRestart(t *testing.T) {
	r := newHarness(t, testSettings(), testEndpoints(1)...)
	id, _ := r.request("safe", "wide", 1)
	r.outcome(id, 1, 0, ConnectionLost)
	b := r.engine.backends[1]
	if b.warmingUp || b.holdUntil > r.now {
		t.Errorf("after a reset: warming %v, held for %v", b.warmingUp, b.holdUntil-r.now)
	}
	for n := 1; n <= connectFailureThreshold; n++ {
		id, as := r.request("safe", "wide", 1)
		if len(startedAttempts(as)) != 1 {
			t.Fatalf("after %d failed connections and a hold: %+v", n-1, as)
		}
		r.outcome(id, 1, 0, ConnectFailed)
		if b.holdUntil <= r.now || b.warmingUp != (n == connectFailureThreshold) {
			t.Errorf("after %d failed connections: warming %v, held for %v", n, b.warmingUp, b.holdUntil-r.now)
		}
		r.now = b.holdUntil
	}
}

// newFastHarness has an engine of n backends, in one cell, that has learnt that responses take 100
// ms and has its whole cancel budget, with one attempt of the class in flight.
func newFastHarness(t *testing.T, n int, class string) (r *harness, id RequestID, b BackendID) {
	t.Helper()
	backends := testEndpoints(n)
	for i := range backends {
		backends[i].Cell = 0
	}
	r = newHarness(t, testSettings(), backends...)
	for _, cl := range r.engine.orderedClasses {
		cl.meanLatency, cl.bestLatency = 0.1, 0.1
	}
	r.engine.meanLatency, r.engine.bestLatency, r.engine.cancelBudget = 0.1, 0.1, cancelBudgetMax
	id, as := r.request(class, "wide", 1)
	return r, id, startedAttempts(as)[0].Backend
}

// waitUntilSlow lets the time pass after which a first attempt may be cancelled, and returns what
// the next event leads to.
func (r *harness) waitUntilSlow() []Action {
	r.now += durationOf(slowAttemptFactor*0.1) + ms
	return r.handle(ProbeResult{})
}

func cancelledAttempts(as []Action) (out []CancelAttempt) {
	for _, a := range as {
		if c, ok := a.(CancelAttempt); ok {
			out = append(out, c)
		}
	}
	return out
}

// A backend hangs with a first attempt. The attempt is cancelled and made once more elsewhere, in
// the same slot, if that is allowed; and only once: what waits as long at the second backend may be
// slow by nature.
func TestCancelSlowAttempts_MadeElsewhereOnce(t *testing.T) {
	for _, c := range []struct {
		name, class string
		change      func(*harness)
		want        int
	}{
		{"safe", "safe", func(*harness) {}, 1},
		{"keyed, in its cell", "celled", func(*harness) {}, 1},
		{"unsafe", "once", func(*harness) {}, 0},
		{"keyed, alone in its cell", "celled", func(r *harness) {
			for i, b := range knownBackends(r.engine) {
				b.Cell = i
			}
		}, 0},
		{"no share left", "safe", func(r *harness) { r.engine.cancelBudget = 0.9 }, 0},
		{"no cancels", "safe", func(r *harness) { r.engine.settings.CanCancel = false }, 0},
		{"the client gives up soon", "safe", func(r *harness) {
			for _, q := range r.engine.requests {
				q.deadline = r.now + durationOf(slowAttemptFactor*0.1) + 150*ms
			}
		}, 0},
	} {
		r, id, b := newFastHarness(t, 3, c.class)
		c.change(r)
		if as := r.handle(ProbeResult{}); len(as) != 0 {
			t.Errorf("%s: at once: %+v", c.name, as)
		}
		off := cancelledAttempts(r.waitUntilSlow())
		if len(off) != c.want {
			t.Errorf("%s: %d attempts cancelled, want %d", c.name, len(off), c.want)
		}
		if n := len(r.engine.classes[c.class].firstAttempts); n != 0 {
			t.Errorf("%s: %d first attempts are still watched", c.name, n)
		}
		if len(off) == 0 {
			continue
		}
		again := startedAttempts(r.handle(Outcome{Request: id, Backend: b, Result: Cancelled, Latency: second}))
		if len(again) != 1 || again[0].Backend == b || slotsInUse(r.engine) != 1 {
			t.Fatalf("%s: then %+v with %d slots held, want one more attempt elsewhere, in one slot", c.name,
				again, slotsInUse(r.engine))
		}
		if off := cancelledAttempts(r.waitUntilSlow()); len(off) != 0 {
			t.Errorf("%s: cancelled again", c.name)
		}
		r.outcome(id, again[0].Backend, 1, Succeeded)
		if slotsInUse(r.engine) != 0 || len(r.engine.requests) != 0 {
			t.Errorf("%s: %d slots and %d requests are left", c.name, slotsInUse(r.engine), len(r.engine.requests))
		}
	}
}

// In a jam everything waits. What is cancelled then is work done twice, so it stays a small share
// of the attempts.
func TestCancelSlowAttempts_FewInAJam(t *testing.T) {
	r, _, _ := newFastHarness(t, 40, "safe")
	const more = 320
	for range more {
		r.request("safe", "wide", 1)
	}
	if n, most := len(cancelledAttempts(r.waitUntilSlow())), int(cancelBudgetMax); n > most || n == 0 {
		t.Errorf("%d of %d attempts cancelled at once, want some, and %d at most", n, more, most)
	}
}

// One silent connection says little of its backend. A backend that leaves one attempt after another
// without a response is avoided for longer each time, and a response clears it.
func TestRecordCancelled_PenaltyGrows(t *testing.T) {
	r, id, at := newFastHarness(t, 2, "safe")
	b := r.engine.backends[at]
	slow := b.slowness
	last := overdueTolerance
	for n := range 3 {
		r.waitUntilSlow()
		r.handle(Outcome{Request: id, Backend: at, Result: Cancelled, Latency: second})
		if b.overdueResponses <= last || b.slowness != slow {
			t.Errorf("after %d cancelled attempts: %v overdue, not over %v, or slowness %v is not %v", n+1,
				b.overdueResponses, last, b.slowness, slow)
		}
		last = b.overdueResponses
		// the others are held, so that the next attempt goes there as well
		for _, o := range knownBackends(r.engine) {
			o.holdUntil = r.now
			if o != b {
				o.holdUntil = r.now + second
			}
		}
		next, as := r.request("safe", "wide", 1)
		if len(startedAttempts(as)) != 1 || startedAttempts(as)[0].Backend != at {
			t.Fatalf("the next attempt: %+v, want it at backend %d", as, at)
		}
		id = next
	}
	r.outcome(id, at, 0, Succeeded)
	if b.cancelledAttempts != 0 || b.overdueResponses != 0 {
		t.Errorf("after a response: %d cancelled, %v overdue", b.cancelledAttempts, b.overdueResponses)
	}
}
