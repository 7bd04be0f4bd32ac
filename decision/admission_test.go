package decision

import (
	"math"
	"testing"
)

// An invalid request, or one that no backend can take, is rejected at once and holds no slot.
func TestOnRequest_InvalidRequestsAreRejectedAtOnce(t *testing.T) {
	good := Request{ID: 1, Class: "safe", Plan: "large", Cost: 1, Timeout: second, GatewaySpread: 1}
	cases := map[string]func(*Request){
		"unknown class": func(q *Request) { q.Class = "?" },
		"unknown plan":  func(q *Request) { q.Plan = "?" },
		"NaN cost":      func(q *Request) { q.Cost = math.NaN() },
		"negative cost": func(q *Request) { q.Cost = -1 },
		"no timeout":    func(q *Request) { q.Timeout = 0 },
	}
	for name, invalidate := range cases {
		h, q := newHarness(t, testSettings(), testEndpoints(1)...), good
		invalidate(&q)
		if n, _ := finalAnswers(h.handle(q)); n != 1 {
			t.Errorf("%s: %d rejections, want 1", name, n)
		}
	}
	h := newHarness(t, testSettings())
	if n, _ := finalAnswers(h.handle(good)); n != 1 || slotsInUse(h.engine) != 0 {
		t.Errorf("no backend: %d rejections and %d slots in use, want 1 and 0", n, slotsInUse(h.engine))
	}
}

// The boundary between the priority tiers is the median weight of recent requests, updated with
// each tick.
func TestIsHighPriority_BoundaryIsRecentMedian(t *testing.T) {
	h := newHarness(t, testSettings(), testEndpoints(1)...)
	for range weightSamples {
		h.engine.isHighPriority(3)
	}
	h.now += second
	h.handle(Timer{Token: 0})
	if h.engine.isHighPriority(3) || h.engine.isHighPriority(1) || !h.engine.isHighPriority(5) {
		t.Errorf("median %v: weights 1, 3 and 5 must be low, low and high priority", h.engine.medianWeight)
	}
	for range weightSamples {
		h.engine.isHighPriority(9)
	}
	h.handle(Timer{Token: 0})
	if h.engine.isHighPriority(5) || len(h.engine.recentWeights) != weightSamples {
		t.Errorf("median %v from %d weights, want 9 from %d", h.engine.medianWeight, len(h.engine.recentWeights),
			weightSamples)
	}
}
