package decision

import (
	"math"
	"reflect"
	"testing"
)

// New rejects settings that an engine cannot work with.
func TestNew_InvalidSettings(t *testing.T) {
	cases := map[string]func(*Settings){
		"no classes":         func(s *Settings) { s.Classes = nil },
		"no plans":           func(s *Settings) { s.Plans = nil },
		"no front gateways":  func(s *Settings) { s.GatewayCount = 0 },
		"no attempts":        func(s *Settings) { s.MaxAttempts = 0 },
		"weight NaN":         func(s *Settings) { s.Classes[0].PriorityWeight = math.NaN() },
		"no objective":       func(s *Settings) { s.Classes[0].LatencyObjective = 0 },
		"rate NaN":           func(s *Settings) { s.Plans[0].Rate = math.NaN() },
		"rate infinite":      func(s *Settings) { s.Plans[0].Rate = math.Inf(1) },
		"no burst":           func(s *Settings) { s.Plans[0].Burst = 0 },
		"hard limit below 0": func(s *Settings) { s.Plans[2].HardLimitRate = -1 },
	}
	for name, spoil := range cases {
		s := testSettings()
		spoil(&s)
		if _, err := New(s, 1, 0); err == nil {
			t.Errorf("%s: accepted", name)
		}
	}
	if _, err := New(testSettings(), 1, 0); err != nil {
		t.Error(err)
	}
}

// Outcomes that come twice or of unknown attempts, and timers and clients of requests that are
// over, lead to no action.
func TestHandle_UnexpectedEventsDoNothing(t *testing.T) {
	r := newHarness(t, testSettings(), testEndpoints(2)...)
	id, as := r.request("safe", "wide", 1)
	b := startedAttempts(as)[0].Backend
	r.outcome(id, b, 0, Succeeded)
	for _, ev := range []Event{
		Outcome{Request: id, Backend: b, Result: TimedOut}, Outcome{Request: 999, Backend: 77},
		Outcome{Request: id, Attempt: -4}, ClientDisconnected{Request: id}, ClientDisconnected{Request: 12345},
		Timer{Token: 1 << 40}, Timer{Token: 2}, Timer{Token: 3}, ResponseStarted{Request: 5},
		ProbeResult{Backend: 99}, EndpointUpdate{Kind: UpdateFailed},
		EndpointUpdate{Kind: UpdateDelta, Endpoints: []Endpoint{{ID: 50, State: Removed}}},
	} {
		if as := r.handle(ev); len(as) != 0 {
			t.Errorf("%#v led to %v", ev, as)
		}
	}
	if r.engine.partitionInUse != [3]int{} {
		t.Errorf("slots left in use: %v", r.engine.partitionInUse)
	}
}

// Two engines with the same seed and events give the same actions.
func TestEnginesWithEqualSeedsActAlike(t *testing.T) {
	a, b := newHarness(t, testSettings(), testEndpoints(7)...), newHarness(t, testSettings(), testEndpoints(7)...)
	for i := range 500 {
		a.now += 3 * ms
		b.now = a.now
		_, x := a.request("safe", "rated", CustomerID(i%9))
		_, y := b.request("safe", "rated", CustomerID(i%9))
		if i%50 == 0 {
			x, y = append(x, a.handle(Timer{})...), append(y, b.handle(Timer{})...)
		}
		if !reflect.DeepEqual(x, y) {
			t.Fatalf("step %d: %v and %v", i, x, y)
		}
	}
}

// A gateway meets a thousand customers once. They must not be kept for good.
func TestIdleCustomersAreForgotten(t *testing.T) {
	r := newHarness(t, testSettings(), testEndpoints(1)...)
	for i := range 1000 {
		id, as := r.request("safe", "rated", CustomerID(i))
		r.outcome(id, startedAttempts(as)[0].Backend, 0, Succeeded)
	}
	r.now += customerIdleTTL + second
	r.handle(Timer{})
	if n := len(r.engine.customers); n != 0 {
		t.Errorf("%d customers kept after a minute idle", n)
	}
}
