package decision

import (
	"testing"
)

// A gateway enforces its even share of the hard limit. It has no tokens right after a start, and no
// share if the customer does not use it.
func TestWithinHardLimit_Shares(t *testing.T) {
	settings := testSettings()
	h := newHarness(t, settings, testEndpoints(2)...)
	admitted := func(n int) (k int) {
		for range n {
			_, actions := h.request("safe", "hardlimited", 9)
			k += len(startedAttempts(actions))
		}
		return k
	}
	if k := admitted(10); k != 0 {
		t.Errorf("%d admitted right after a start, want 0, as the share may have been used up before a restart", k)
	}
	h.now += 10 * second
	if k := admitted(10); k != 4 {
		t.Errorf("%d admitted after 10 s, want 4, half of the burst of 8", k)
	}
	h.now += second
	if k := admitted(10); k != 2 {
		t.Errorf("%d admitted a second later, want 2, half of the rate of 4", k)
	}
	settings.GatewayIndex, settings.GatewayCount = 3, 4
	h = newHarness(t, settings, testEndpoints(2)...)
	h.now += 100 * second
	if k := admitted(3); k != 0 {
		t.Errorf("%d admitted at a gateway that the customer does not use, want 0", k)
	}
}
