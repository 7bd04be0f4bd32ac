package decision

import (
	"testing"
	"time"
)

func rejection(as []Action) (r Reject, ok bool) {
	for _, a := range as {
		if r, ok = a.(Reject); ok {
			return r, true
		}
	}
	return r, false
}

// A rejection without a time to come back invites the next try at once, which would be rejected as
// well.
func TestRetryAfter_EveryRejectionHasOne(t *testing.T) {
	for plan, why := range map[string]string{"rated": "quota", "capped": "hard limit", "open": "attempts in flight"} {
		r := newHarness(t, testSettings(), testEndpoints(2)...)
		r.now += second // fills some of the share of the hard limit
		rejected := 0
		for range 50 {
			_, as := r.request("safe", plan, 5)
			if f, ok := rejection(as); ok {
				rejected++
				if f.RetryAfter <= 0 || f.RetryAfter > r.engine.settings.MaxRetryAfter {
					t.Fatalf("%s: a Retry-After of %v", why, f.RetryAfter)
				}
			}
		}
		if rejected == 0 {
			t.Errorf("%s: nothing was rejected", why)
		}
	}
	r := newHarness(t, testSettings())
	if f, ok := rejection(withoutID(r.request("safe", "wide", 5))); !ok || f.RetryAfter <= 0 {
		t.Errorf("without backends: rejected %v, Retry-After %v", ok, f.RetryAfter)
	}
}

func withoutID(_ RequestID, as []Action) []Action { return as }

// The time told is when the customer's quota will hold the cost: a client that keeps to it is
// admitted then, and not long before.
func TestRetryAfter_IsWhenQuotaHasRoom(t *testing.T) {
	for _, plan := range []string{"rated", "capped"} {
		s := testSettings()
		s.MaxRetryAfter = time.Minute
		r := newHarness(t, s, testEndpoints(2)...)
		r.now += second
		var told time.Duration
		for range 100 {
			id, as := r.request("safe", plan, 5)
			if f, ok := rejection(as); ok {
				told = f.RetryAfter
				break
			}
			r.outcome(id, startedAttempts(as)[0].Backend, 0, Succeeded)
		}
		if told <= 0 {
			t.Fatalf("%s: no rejection with a Retry-After among 100 requests", plan)
		}
		from := r.now
		r.now = from + told/2
		if _, early := rejection(withoutID(r.request("safe", plan, 5))); !early {
			t.Errorf("%s: admitted after half of the %v told", plan, told)
		}
		r.now = from + told + ms
		if f, late := rejection(withoutID(r.request("safe", plan, 5))); late {
			t.Errorf("%s: rejected again after the %v told, now told %v", plan, told, f.RetryAfter)
		}
	}
}
