package decision

import (
	"testing"
	"time"
)

func refusal(as []Action) (r Reject, ok bool) {
	for _, a := range as {
		if r, ok = a.(Reject); ok {
			return r, true
		}
	}
	return r, false
}

// A refusal without a time to come back invites the next try at once, which would be refused as well.
func TestEveryRefusalSaysWhenToComeBack(t *testing.T) {
	for plan, why := range map[string]string{"rated": "quota", "capped": "ceiling", "open": "attempts out"} {
		r := newRig(t, testSettings(), fleet(2)...)
		r.now += second // fills some of the ceiling's part
		refused := 0
		for range 50 {
			_, as := r.ask("safe", plan, 5)
			if f, ok := refusal(as); ok {
				refused++
				if f.RetryAfter <= 0 || f.RetryAfter > r.g.settings.MaxRetryAfter {
					t.Fatalf("%s: told to come back after %v", why, f.RetryAfter)
				}
			}
		}
		if refused == 0 {
			t.Errorf("%s: nothing was refused", why)
		}
	}
	r := newRig(t, testSettings())
	if f, ok := refusal(actionsOf(r.ask("safe", "wide", 5))); !ok || f.RetryAfter <= 0 {
		t.Errorf("without backends: refused %v, told %v", ok, f.RetryAfter)
	}
}

func actionsOf(_ RequestID, as []Action) []Action { return as }

// The time told is when the customer's store will hold the units: a client that keeps to it is let in then,
// and not long before.
func TestAdviceIsWhenTheQuotaHasRoom(t *testing.T) {
	for _, plan := range []string{"rated", "capped"} {
		s := testSettings()
		s.MaxRetryAfter = time.Minute
		r := newRig(t, s, fleet(2)...)
		r.now += second
		var told time.Duration
		for range 100 {
			id, as := r.ask("safe", plan, 5)
			if f, ok := refusal(as); ok {
				told = f.RetryAfter
				break
			} else {
				r.outcome(id, sends(as)[0].Backend, 0, Succeeded)
			}
		}
		if told <= 0 {
			t.Fatalf("%s: no refusal with a time among 100 requests", plan)
		}
		from := r.now
		r.now = from + told/2
		if _, early := refusal(actionsOf(r.ask("safe", plan, 5))); !early {
			t.Errorf("%s: let in after half of the %v told", plan, told)
		}
		r.now = from + told + ms
		if f, late := refusal(actionsOf(r.ask("safe", plan, 5))); late {
			t.Errorf("%s: refused again after the %v told, now told %v", plan, told, f.RetryAfter)
		}
	}
}
