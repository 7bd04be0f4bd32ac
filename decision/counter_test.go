package decision

import (
	"math/rand/v2"
	"testing"
	"time"
)

// lendingSettings are settings with a shared counter and a plan that has a hard limit.
func lendingSettings(rate, burst float64) Settings {
	s := testSettings()
	s.HasSharedCounter = true
	s.Plans = append(s.Plans, Plan{Name: "flagship", Rate: 1000, Burst: 1000, Price: 1, HardLimitRate: rate,
		HardLimitBurst: burst, HardLimitOverdraft: 10})
	return s
}

// flakyCounter is a shared counter that is "sound", is "losing" three calls in ten, or is "gone". A
// call that is lost is rejected, or is counted without a result.
func flakyCounter(rng *rand.Rand, state string) func(CounterAdd) (CounterResult, time.Duration) {
	totals := map[uint64]float64{}
	return func(a CounterAdd) (CounterResult, time.Duration) {
		lose := state == "gone" || state == "losing" && rng.Float64() < 0.3
		if lose && rng.Float64() < 0.5 {
			return CounterResult{Ref: a.Ref, Result: Rejected}, 10 * ms
		}
		if totals[a.Key] += a.Amount; lose {
			return CounterResult{Ref: a.Ref, Result: TimedOut}, 120 * ms
		}
		return CounterResult{Ref: a.Ref, Total: totals[a.Key]}, 15 * ms
	}
}

// A customer's requests come unevenly: one gateway of 17 has most of them. Without a counter it
// rejects what is beyond an even share; with one the others lend it theirs. The hard limit holds
// all the same, also while the counter loses calls.
func TestSharedBucket_GatewaysLendHardLimit(t *testing.T) {
	const rate, burst, asks, last = 40.0, 106.0, 18.0, 40.0
	served := map[string]float64{}
	for _, with := range []string{"none", "sound", "losing", "gone"} {
		s := lendingSettings(rate, burst)
		s.HasSharedCounter = with != "none"
		c := newGatewayFleet(t, s, 17, testEndpoints(60))
		rng := rand.New(rand.NewPCG(3, 4))
		c.counter = flakyCounter(rng, with)
		left, at, least := burst, c.now, burst
		c.onForwarded = func() {
			left, at = min(burst, left+rate*(c.now-at).Seconds())-2, c.now
			least = min(least, left)
		}
		n := 0
		for end := c.now + durationOf(last); c.now < end; n++ {
			asked := asks
			if c.now > end-5*second {
				asked = 20 * asks // a flood
			}
			c.advance(durationOf(rng.ExpFloat64() * 2 / asked))
			gateway := 0
			if rng.Float64() > 0.5 {
				gateway = rng.IntN(17)
			}
			c.lastRequest++
			c.handle(gateway, Request{ID: c.lastRequest, Customer: 9, Class: "safe", Plan: "flagship", Cost: 2,
				Timeout: 6 * second, GatewaySpread: 17})
			if c.now < end-5*second {
				served[with] = float64(len(c.forwarded)) / float64(n+1)
			}
		}
		c.advance(10 * second)
		if least < -0.01 {
			t.Errorf("counter %s: the hard limit's tokens are at %.1f", with, least)
		}
		for d, g := range c.gateways {
			if len(g.counterCalls) > 8 || len(g.requests) > 0 { // deposits go on
				t.Errorf("counter %s: gateway %d keeps %d calls and %d requests", with, d, len(g.counterCalls),
					len(g.requests))
			}
		}
		got := len(c.forwarded)
		for _, reason := range []Reason{OverQuota, Overloaded, NoBackend} {
			got += c.rejections[reason.String()]
		}
		if got != n {
			t.Errorf("counter %s: %d of %d requests had an answer", with, got, n)
		}
	}
	if served["sound"] < served["none"]+0.2 || served["sound"] < 0.8 {
		t.Errorf("borrowing gains too little: %v", served)
	}
	if served["gone"] < served["none"]-0.15 { // a gateway holds half a share, so its bursts are smaller
		t.Errorf("with the counter gone it is much worse than without a counter: %v", served)
	}
}

// A release starts all gateways in one instant. If they called the counter at the same moment of
// every second, it would turn away half of the calls, and the gateways would call it for fewer
// customers. Their ticks must be spread.
func TestCallCounter_GatewaysStartedTogetherCallApart(t *testing.T) {
	const window = 50 * ms
	for _, gateways := range []int{17, 80, 300} {
		c := newGatewayFleet(t, lendingSettings(40, 100), gateways, testEndpoints(60))
		calls, n := map[time.Duration]int{}, 0
		c.counter = func(a CounterAdd) (CounterResult, time.Duration) {
			calls[c.now/window]++
			n++
			return CounterResult{Ref: a.Ref, Total: 1}, 15 * ms
		}
		for d := range gateways {
			c.lastRequest++
			c.handle(d, Request{ID: c.lastRequest, Customer: 9, Class: "safe", Plan: "flagship", Cost: 1,
				Timeout: 6 * second, GatewaySpread: gateways})
		}
		for range 20 * 200 {
			c.advance(5 * ms)
		}
		most := 0
		delete(calls, 1000*second/window) // what the requests themselves withdrew
		for _, k := range calls {
			most = max(most, k)
		}
		if bound := 4 + gateways/5; n < gateways || most > bound {
			t.Errorf("%d gateways: %d of %d calls within %v, want %d at most", gateways, most, n, window, bound)
		}
	}
}

// Two hundred customers have a surplus at every gateway. Deposits must stay a part of what the
// counter serves at any number of gateways, and one gateway must not make many in one moment.
func TestDepositSurplus_BoundedAtAnyGatewayCount(t *testing.T) {
	const customers = 200
	for _, gateways := range []int{2, 10, 80, 300} {
		c := newGatewayFleet(t, lendingSettings(400, 2000), gateways, testEndpoints(20))
		calls, moments := 0, map[time.Duration]int{}
		c.counter = func(a CounterAdd) (CounterResult, time.Duration) {
			calls++
			moments[c.now]++
			return CounterResult{Ref: a.Ref, Total: 1}, 15 * ms
		}
		for d := range min(gateways, 40) {
			for k := range customers {
				c.lastRequest++
				c.handle(d, Request{ID: c.lastRequest, Customer: CustomerID(k), Class: "safe",
					Plan: "flagship", Cost: 1, Timeout: 6 * second, GatewaySpread: gateways})
			}
		}
		for range 10000 { // shares are full, and withdrawals are over
			c.advance(ms)
		}
		calls = 0
		clear(moments)
		for range 4000 {
			c.advance(ms)
		}
		most := 0
		for _, n := range moments {
			most = max(most, n)
		}
		if asking := min(gateways, 40); calls > 4*max(100, asking)+asking*depositsPerTickMax ||
			most > 2*depositsPerTickMax || calls == 0 {
			t.Errorf("%d gateways: %d deposits in 4 s, %d in one moment", gateways, calls, most)
		}
	}
}

// The counter is gone, and fifty customers have something to deposit. It must be called by one call
// at a time.
func TestCounterLink_OneProbeWhileDown(t *testing.T) {
	c := newGatewayFleet(t, lendingSettings(400, 2000), 2, testEndpoints(20))
	moments := map[time.Duration]int{}
	c.counter = func(a CounterAdd) (CounterResult, time.Duration) {
		moments[c.now]++
		return CounterResult{Ref: a.Ref, Result: TimedOut}, 120 * ms
	}
	for k := range 50 {
		c.lastRequest++
		c.handle(0, Request{ID: c.lastRequest, Customer: CustomerID(k), Class: "safe", Plan: "flagship",
			Cost: 1, Timeout: 6 * second, GatewaySpread: 2})
	}
	for c.now < 1010*second {
		c.advance(ms)
	}
	clear(moments)
	for c.now < 1040*second {
		c.advance(ms)
	}
	for at, n := range moments {
		if n > 1 {
			t.Fatalf("%d calls at %v", n, at)
		}
	}
	if len(moments) < 3 {
		t.Errorf("asked %d times in 30 s", len(moments))
	}
}
