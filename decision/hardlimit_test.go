package decision

import (
	"testing"
)

// A gateway enforces its even share of the hard limit, holds none right after a start, and none
// outside the customer's gateways.
func TestWithinHardLimit_Shares(t *testing.T) {
	s := testSettings()
	r := newHarness(t, s, testEndpoints(2)...)
	passed := func(n int) (k int) {
		for range n {
			_, as := r.request("safe", "capped", 9)
			k += len(startedAttempts(as))
		}
		return k
	}
	if k := passed(10); k != 0 {
		t.Errorf("%d passed right after a start, which may be a restart with the share used up", k)
	}
	r.now += 10 * second
	if k := passed(10); k != 4 {
		t.Errorf("%d passed, want half of the burst of 8", k)
	}
	r.now += second
	if k := passed(10); k != 2 {
		t.Errorf("%d passed a second later, want half of 4", k)
	}
	s.GatewayIndex, s.GatewayCount = 3, 4
	r = newHarness(t, s, testEndpoints(2)...)
	r.now += 100 * second
	if k := passed(3); k != 0 {
		t.Errorf("%d passed at a gateway that the customer does not use", k)
	}
}
