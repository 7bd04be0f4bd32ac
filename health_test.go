package cypresstrack

import "testing"

// Connections break one by one on some days. A reset must not take a backend for one that has restarted, or all of
// them are soon cold together; only where no connection comes up any more is one down.
func TestOneBrokenConnectionIsNoRestart(t *testing.T) {
	r := newRig(t, testSettings(), fleet(1)...)
	id, _ := r.ask("safe", "wide", 1)
	r.outcome(id, 1, 0, Broken)
	b := r.g.backends[1]
	if b.cold || b.holdUntil > r.now {
		t.Errorf("after a reset: cold %v, held for %v", b.cold, b.holdUntil-r.now)
	}
	for n := 1; n <= downAfter; n++ {
		id, as := r.ask("safe", "wide", 1)
		if len(sends(as)) != 1 {
			t.Fatalf("after %d failed connections and a hold: %+v", n-1, as)
		}
		r.outcome(id, 1, 0, NoConnection)
		if b.holdUntil <= r.now || b.cold != (n == downAfter) {
			t.Errorf("after %d failed connections: cold %v, held for %v", n, b.cold, b.holdUntil-r.now)
		}
		r.now = b.holdUntil
	}
}
