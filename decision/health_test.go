package decision

import "testing"

// Connections break one by one on some days. A reset must not take a backend for one that has restarted, or all of
// them are soon cold together; only where no connection comes up any more is one down.
func TestOneBrokenConnectionIsNoRestart(t *testing.T) {
	r := newRig(t, testSettings(), fleet(1)...)
	id, _ := r.ask("safe", "wide", 1)
	r.outcome(id, 1, 0, ConnectionLost)
	b := r.g.backends[1]
	if b.warmingUp || b.holdUntil > r.now {
		t.Errorf("after a reset: cold %v, held for %v", b.warmingUp, b.holdUntil-r.now)
	}
	for n := 1; n <= connectFailureThreshold; n++ {
		id, as := r.ask("safe", "wide", 1)
		if len(sends(as)) != 1 {
			t.Fatalf("after %d failed connections and a hold: %+v", n-1, as)
		}
		r.outcome(id, 1, 0, ConnectFailed)
		if b.holdUntil <= r.now || b.warmingUp != (n == connectFailureThreshold) {
			t.Errorf("after %d failed connections: cold %v, held for %v", n, b.warmingUp, b.holdUntil-r.now)
		}
		r.now = b.holdUntil
	}
}

// quick is a gateway of n backends, in one cell, that has learnt that answers take 100 ms and may call all off that it
// likes, with one attempt of the class out.
func quick(t *testing.T, n int, class string) (r *rig, id RequestID, b BackendID) {
	t.Helper()
	backends := fleet(n)
	for i := range backends {
		backends[i].Cell = 0
	}
	r = newRig(t, testSettings(), backends...)
	for _, cl := range r.g.orderedClasses {
		cl.meanLatency, cl.bestLatency = 0.1, 0.1
	}
	r.g.meanLatency, r.g.bestLatency, r.g.cancelBudget = 0.1, 0.1, cancelBudgetMax
	id, as := r.ask(class, "wide", 1)
	return r, id, sends(as)[0].Backend
}

// wait lets the time pass after which a first attempt may be called off, and gives what the next event leads to.
func (r *rig) wait() []Action {
	r.now += durationOf(slowAttemptFactor*0.1) + ms
	return r.do(ProbeResult{})
}

func cancels(as []Action) (out []CancelAttempt) {
	for _, a := range as {
		if c, ok := a.(CancelAttempt); ok {
			out = append(out, c)
		}
	}
	return out
}

// An attempt that waits out of all proportion is made once more elsewhere, in the same slot, if that is allowed, and
// only once: what has waited for the second attempt as long may be slow by nature.
func TestAttemptsThatWaitTooLongAreMadeElsewhereOnce(t *testing.T) {
	for _, c := range []struct {
		name, class string
		change      func(*rig)
		want        int
	}{
		{"safe", "safe", func(*rig) {}, 1},
		{"keyed, in its cell", "celled", func(*rig) {}, 1},
		{"unsafe", "once", func(*rig) {}, 0},
		{"keyed, alone in its cell", "celled", func(r *rig) {
			for i, b := range all(r.g) {
				b.Cell = i
			}
		}, 0},
		{"no share left", "safe", func(r *rig) { r.g.cancelBudget = 0.9 }, 0},
		{"no cancels", "safe", func(r *rig) { r.g.settings.CanCancel = false }, 0},
		{"the client gives up soon", "safe", func(r *rig) {
			for _, q := range r.g.requests {
				q.deadline = r.now + durationOf(slowAttemptFactor*0.1) + 150*ms
			}
		}, 0},
	} {
		r, id, b := quick(t, 3, c.class)
		c.change(r)
		if as := r.do(ProbeResult{}); len(as) != 0 {
			t.Errorf("%s: at once: %+v", c.name, as)
		}
		off := cancels(r.wait())
		if len(off) != c.want {
			t.Errorf("%s: %d attempts called off, want %d", c.name, len(off), c.want)
		}
		if n := len(r.g.classes[c.class].firstAttempts); n != 0 {
			t.Errorf("%s: %d attempts are still looked at", c.name, n)
		}
		if len(off) == 0 {
			continue
		}
		again := sends(r.do(Outcome{Request: id, Backend: b, Result: Cancelled, Latency: second}))
		if len(again) != 1 || again[0].Backend == b || held(r.g) != 1 {
			t.Fatalf("%s: then %+v with %d slots held, want one more attempt elsewhere, in one slot", c.name, again, held(r.g))
		}
		if off := cancels(r.wait()); len(off) != 0 {
			t.Errorf("%s: called off again", c.name)
		}
		r.outcome(id, again[0].Backend, 1, Succeeded)
		if held(r.g) != 0 || len(r.g.requests) != 0 {
			t.Errorf("%s: %d slots and %d requests are left", c.name, held(r.g), len(r.g.requests))
		}
	}
}

// In a jam everything waits. What is called off then is work done twice, so it stays a small share of the sends.
func TestFewAttemptsAreCalledOffInAJam(t *testing.T) {
	r, _, _ := quick(t, 40, "safe")
	const more = 320
	for range more {
		r.ask("safe", "wide", 1)
	}
	if n, most := len(cancels(r.wait())), int(cancelBudgetMax); n > most || n == 0 {
		t.Errorf("%d of %d attempts called off at once, want some, and %d at most", n, more, most)
	}
}

// One silent connection says little of its backend. A backend that leaves one attempt after another unanswered is
// left alone for longer each time, and an answer clears it.
func TestBackendsAreStruckHarderEachTime(t *testing.T) {
	r, id, at := quick(t, 2, "safe")
	b := r.g.backends[at]
	slow := b.slowness
	last := overdueTolerance
	for n := range 3 {
		r.wait()
		r.do(Outcome{Request: id, Backend: at, Result: Cancelled, Latency: second})
		if b.overdueResponses <= last || b.slowness != slow {
			t.Errorf("after %d strikes: owes %v, not over %v, or slowness %v is not %v", n+1, b.overdueResponses, last, b.slowness, slow)
		}
		last = b.overdueResponses
		for _, o := range all(r.g) { // the rest is shut, so that the next attempt goes there as well
			o.holdUntil = r.now
			if o != b {
				o.holdUntil = r.now + second
			}
		}
		next, as := r.ask("safe", "wide", 1)
		if len(sends(as)) != 1 || sends(as)[0].Backend != at {
			t.Fatalf("the next attempt: %+v, want it at backend %d", as, at)
		}
		id = next
	}
	r.outcome(id, at, 0, Succeeded)
	if b.cancelledAttempts != 0 || b.overdueResponses != 0 {
		t.Errorf("after an answer: %d strikes, owes %v", b.cancelledAttempts, b.overdueResponses)
	}
}
