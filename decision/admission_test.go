package decision

import (
	"math"
	"testing"
)

// A request that makes no sense, or that no backend can take, is rejected at once and holds no
// slot.
func TestOnRequest_InvalidRequestsAreRejectedAtOnce(t *testing.T) {
	good := Request{ID: 1, Class: "safe", Plan: "wide", Cost: 1, Timeout: second, GatewaySpread: 1}
	cases := map[string]func(*Request){
		"class":    func(q *Request) { q.Class = "?" },
		"plan":     func(q *Request) { q.Plan = "?" },
		"units":    func(q *Request) { q.Cost = math.NaN() },
		"negative": func(q *Request) { q.Cost = -1 },
		"patience": func(q *Request) { q.Timeout = 0 },
	}
	for name, spoil := range cases {
		r, q := newHarness(t, testSettings(), testEndpoints(1)...), good
		spoil(&q)
		if n, _ := finalAnswers(r.handle(q)); n != 1 {
			t.Errorf("%s: %d rejections", name, n)
		}
	}
	r := newHarness(t, testSettings())
	if n, _ := finalAnswers(r.handle(good)); n != 1 || slotsInUse(r.engine) != 0 {
		t.Errorf("no backend: %d rejections, %d slots held", n, slotsInUse(r.engine))
	}
}

// The boundary between the priority tiers follows the weights of recent requests, tick by tick.
func TestIsHighPriority_BoundaryIsRecentMedian(t *testing.T) {
	r := newHarness(t, testSettings(), testEndpoints(1)...)
	for range weightSamples {
		r.engine.isHighPriority(3)
	}
	r.now += second
	r.handle(Timer{Token: 0})
	if r.engine.isHighPriority(3) || r.engine.isHighPriority(1) || !r.engine.isHighPriority(5) {
		t.Error("high is what tops the recent median, a tie is low")
	}
	for range weightSamples {
		r.engine.isHighPriority(9)
	}
	r.handle(Timer{Token: 0})
	if r.engine.isHighPriority(5) || len(r.engine.recentWeights) != weightSamples {
		t.Errorf("the median does not follow, or %d weights are kept", len(r.engine.recentWeights))
	}
}
