package decision

import (
	"testing"
	"time"
)

func rejection(actions []Action) (r Reject, ok bool) {
	for _, a := range actions {
		if r, ok = a.(Reject); ok {
			return r, true
		}
	}
	return r, false
}

// Every rejection has a Retry-After: without one the client would try again at once, and be
// rejected again.
func TestRetryAfter_EveryRejectionHasOne(t *testing.T) {
	for plan, why := range map[string]string{"small": "quota", "hardlimited": "hard limit",
		"inflight": "attempts in flight"} {
		h := newHarness(t, testSettings(), testEndpoints(2)...)
		h.now += second // refills part of the share of the hard limit
		rejected := 0
		for range 50 {
			_, actions := h.request("safe", plan, 5)
			if f, ok := rejection(actions); ok {
				rejected++
				if f.RetryAfter <= 0 || f.RetryAfter > h.engine.settings.MaxRetryAfter {
					t.Fatalf("%s: Retry-After %v, want above 0 and at most %v", why, f.RetryAfter,
						h.engine.settings.MaxRetryAfter)
				}
			}
		}
		if rejected == 0 {
			t.Errorf("%s: none of 50 requests was rejected", why)
		}
	}
	h := newHarness(t, testSettings())
	if f, ok := rejection(withoutID(h.request("safe", "large", 5))); !ok || f.RetryAfter <= 0 {
		t.Errorf("without backends: rejected %v, Retry-After %v, want a rejection with a Retry-After", ok, f.RetryAfter)
	}
}

func withoutID(_ RequestID, actions []Action) []Action { return actions }

// Retry-After is the time until the customer's quota will cover the cost: a client that waits for
// it is admitted, and one that waits for half of it is not.
func TestRetryAfter_IsWhenQuotaHasRoom(t *testing.T) {
	for _, plan := range []string{"small", "hardlimited"} {
		settings := testSettings()
		settings.MaxRetryAfter = time.Minute
		h := newHarness(t, settings, testEndpoints(2)...)
		h.now += second
		var retryAfter time.Duration
		for range 100 {
			id, actions := h.request("safe", plan, 5)
			if f, ok := rejection(actions); ok {
				retryAfter = f.RetryAfter
				break
			}
			h.outcome(id, startedAttempts(actions)[0].Backend, 0, Succeeded)
		}
		if retryAfter <= 0 {
			t.Fatalf("%s: no rejection with a Retry-After among 100 requests", plan)
		}
		from := h.now
		h.now = from + retryAfter/2
		if _, early := rejection(withoutID(h.request("safe", plan, 5))); !early {
			t.Errorf("%s: admitted after half of the Retry-After of %v", plan, retryAfter)
		}
		h.now = from + retryAfter + ms
		if f, late := rejection(withoutID(h.request("safe", plan, 5))); late {
			t.Errorf("%s: rejected again after the Retry-After of %v, now with one of %v", plan, retryAfter, f.RetryAfter)
		}
	}
}
