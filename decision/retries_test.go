package decision

import (
	"testing"
	"time"
)

// What is made again, rejected or failed after a first attempt, by the class's idempotency, the
// result and the time since.
func TestRetry_ByIdempotency(t *testing.T) {
	for _, c := range []struct {
		class            string
		first            Result
		wait             time.Duration
		resend           bool
		rejected, failed int
	}{
		{"safe", TimedOut, 0, true, 0, 0},
		{"once", Rejected, 0, true, 0, 0},
		{"once", ConnectFailed, 0, true, 0, 0},
		{"once", TimedOut, 0, false, 0, 1},
		{"once", ErrorResponse, 0, false, 0, 1},
		{"once", Unknown, 0, false, 0, 1},
		{"keyed", ConnectionLost, 0, true, 0, 0},
		{"keyed", ConnectionLost, 4 * second, false, 0, 1},
		{"celled", ConnectionLost, 0, false, 0, 1}, // the other backend is in another cell
		{"zoned", ConnectionLost, 0, false, 0, 1},
		{"celled", Rejected, 0, true, 0, 0},
	} {
		r := newHarness(t, testSettings(), testEndpoints(2)...)
		id, as := r.request(c.class, "wide", 1)
		first := startedAttempts(as)[0]
		r.now += c.wait
		as = r.outcome(id, first.Backend, 0, c.first)
		rejected, failed := finalAnswers(as)
		if got := startedAttempts(as); (len(got) == 1) != c.resend || rejected != c.rejected || failed != c.failed {
			t.Errorf("%s after %d: sends %v, rejected %d, failed %d", c.class, c.first, got, rejected, failed)
		}
		if slotsInUse(r.engine) != boolToInt(c.resend) {
			t.Errorf("%s: %d slots held", c.class, slotsInUse(r.engine))
		}
	}
}

// Nothing is made again after MaxAttempts, or too late for its client.
func TestRetry_AttemptLimitAndDeadline(t *testing.T) {
	s := testSettings()
	s.MaxAttempts = 2
	r := newHarness(t, s, testEndpoints(3)...)
	id, as := r.request("safe", "wide", 1)
	as = r.outcome(id, startedAttempts(as)[0].Backend, 0, ErrorResponse)
	as = r.outcome(id, startedAttempts(as)[0].Backend, 1, ErrorResponse)
	if n, _ := finalAnswers(as); n != 1 || len(startedAttempts(as)) != 0 {
		t.Errorf("after the last attempt: %v", as)
	}
	id, as = r.request("safe", "wide", 1)
	r.now += 6*second - 10*ms
	as = r.outcome(id, startedAttempts(as)[0].Backend, 0, ErrorResponse)
	if n, _ := finalAnswers(as); n != 1 || len(startedAttempts(as)) != 0 {
		t.Errorf("a retry that cannot end in time: %v", as)
	}
}

// A backend never responds. At the deadline the client gets one final answer, and the outcome that
// comes later changes nothing.
func TestDeadline_GivesOneFinalAnswer(t *testing.T) {
	for class, wantFail := range map[string]bool{"safe": false, "once": true, "celled": true} {
		r := newHarness(t, testSettings(), testEndpoints(1)...)
		id, as := r.request(class, "wide", 1)
		b := startedAttempts(as)[0].Backend
		r.now += 6 * second
		as = r.handle(Timer{Token: r.engine.seq})
		rejected, failed := finalAnswers(as)
		if rejected+failed != 1 || (failed == 1) != wantFail {
			t.Errorf("%s: rejected %d failed %d", class, rejected, failed)
		}
		if as = r.outcome(id, b, 0, Cancelled); len(as) != 0 || slotsInUse(r.engine) != 0 ||
			len(r.engine.requests) != 0 {
			t.Errorf("%s: a late outcome led to %v, %d slots, %d requests", class, as, slotsInUse(r.engine),
				len(r.engine.requests))
		}
	}
}

// A backend is silent for long. There are never two attempts in flight: only an outcome leads to
// the next one.
func TestOneAttemptInFlightAtATime(t *testing.T) {
	r := newHarness(t, testSettings(), testEndpoints(3)...)
	id, as := r.request("safe", "wide", 1)
	first := startedAttempts(as)[0]
	r.now += 5 * second // silent for long
	if as = r.handle(Timer{Token: 0}); len(startedAttempts(as)) != 0 {
		t.Fatalf("a second attempt beside the first: %v", as)
	}
	as = r.outcome(id, first.Backend, 0, ConnectionLost)
	if got := startedAttempts(as); len(got) != 1 || got[0].Backend == first.Backend {
		t.Errorf("no second try elsewhere: %v", as)
	}
}
