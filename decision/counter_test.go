package decision

import (
	"math/rand/v2"
	"testing"
	"time"
)

// sharedBucketSettings returns settings with a shared counter and a plan with a hard limit.
func sharedBucketSettings(rate, burst float64) Settings {
	settings := testSettings()
	settings.HasSharedCounter = true
	settings.Plans = append(settings.Plans, Plan{Name: "flagship", Rate: 1000, Burst: 1000, Price: 1, HardLimitRate: rate,
		HardLimitBurst: burst, HardLimitOverdraft: 10})
	return settings
}

// unreliableCounter returns a shared counter that is "healthy", "lossy" (it fails three calls in
// ten) or "down" (it fails all). Half of the failed calls are rejected; the others are counted, but
// their result is lost.
func unreliableCounter(rng *rand.Rand, state string) func(CounterAdd) (CounterResult, time.Duration) {
	totals := map[uint64]float64{}
	return func(a CounterAdd) (CounterResult, time.Duration) {
		failed := state == "down" || state == "lossy" && rng.Float64() < 0.3
		if failed && rng.Float64() < 0.5 {
			return CounterResult{Ref: a.Ref, Result: Rejected}, 10 * ms
		}
		if totals[a.Key] += a.Amount; failed {
			return CounterResult{Ref: a.Ref, Result: TimedOut}, 120 * ms
		}
		return CounterResult{Ref: a.Ref, Total: totals[a.Key]}, 15 * ms
	}
}

// One gateway of 17 gets most of a customer's requests. Without a counter it rejects what exceeds
// its even share; with one it can use tokens that the other gateways deposit. The hard limit must
// hold in both cases, also if the counter loses calls.
func TestSharedBucket_GatewaysShareHardLimit(t *testing.T) {
	const rate, burst, costPerSecond, seconds = 40.0, 106.0, 18.0, 40.0
	served := map[string]float64{}
	for _, counter := range []string{"none", "healthy", "lossy", "down"} {
		settings := sharedBucketSettings(rate, burst)
		settings.HasSharedCounter = counter != "none"
		fleet := newGatewayFleet(t, settings, 17, testEndpoints(60))
		rng := rand.New(rand.NewPCG(3, 4))
		fleet.counter = unreliableCounter(rng, counter)
		tokens, at, lowest := burst, fleet.now, burst
		fleet.onForwarded = func() {
			tokens, at = min(burst, tokens+rate*(fleet.now-at).Seconds())-2, fleet.now
			lowest = min(lowest, tokens)
		}
		n := 0
		for end := fleet.now + durationOf(seconds); fleet.now < end; n++ {
			offered := costPerSecond
			if fleet.now > end-5*second {
				offered = 20 * costPerSecond // overload
			}
			fleet.advance(durationOf(rng.ExpFloat64() * 2 / offered))
			gateway := 0
			if rng.Float64() > 0.5 {
				gateway = rng.IntN(17)
			}
			fleet.lastRequest++
			fleet.handle(gateway, Request{ID: fleet.lastRequest, Customer: 9, Class: "safe", Plan: "flagship", Cost: 2,
				Timeout: 6 * second, GatewaySpread: 17})
			if fleet.now < end-5*second {
				served[counter] = float64(len(fleet.forwarded)) / float64(n+1)
			}
		}
		fleet.advance(10 * second)
		if lowest < -0.01 {
			t.Errorf("counter %s: the hard limit's tokens fell to %.1f, want 0 or more", counter, lowest)
		}
		for gateway, engine := range fleet.gateways {
			if len(engine.counterCalls) > 8 || len(engine.requests) > 0 { // deposits may be in progress
				t.Errorf("counter %s: gateway %d has %d calls and %d requests, want 8 and 0 at most", counter, gateway,
					len(engine.counterCalls), len(engine.requests))
			}
		}
		got := len(fleet.forwarded)
		for _, reason := range []Reason{OverQuota, Overloaded, NoBackend} {
			got += fleet.rejections[reason.String()]
		}
		if got != n {
			t.Errorf("counter %s: %d of %d requests had an answer, want all", counter, got, n)
		}
	}
	if served["healthy"] < served["none"]+0.2 || served["healthy"] < 0.8 {
		t.Errorf("served shares %v: want healthy at least 0.8, and 0.2 above none", served)
	}
	// Part of each share belongs to the shared bucket, so a gateway can serve only smaller bursts on its own.
	if served["down"] < served["none"]-0.15 {
		t.Errorf("served shares %v: want down at most 0.15 below none", served)
	}
}

// A rollout starts all gateways at the same instant. If they called the counter at the same moment
// of every second, it would reject half of the calls, and the gateways would then call it for fewer
// customers. Their ticks must be spread over the second.
func TestCallCounter_GatewaysStartedTogetherSpreadTheirCalls(t *testing.T) {
	const window = 50 * ms
	for _, gateways := range []int{17, 80, 300} {
		fleet := newGatewayFleet(t, sharedBucketSettings(40, 100), gateways, testEndpoints(60))
		calls, n := map[time.Duration]int{}, 0
		fleet.counter = func(a CounterAdd) (CounterResult, time.Duration) {
			calls[fleet.now/window]++
			n++
			return CounterResult{Ref: a.Ref, Total: 1}, 15 * ms
		}
		for gateway := range gateways {
			fleet.lastRequest++
			fleet.handle(gateway, Request{ID: fleet.lastRequest, Customer: 9, Class: "safe", Plan: "flagship", Cost: 1,
				Timeout: 6 * second, GatewaySpread: gateways})
		}
		for range 20 * 200 {
			fleet.advance(5 * ms)
		}
		most := 0
		delete(calls, 1000*second/window) // the withdrawals of the requests
		for _, k := range calls {
			most = max(most, k)
		}
		// Four times the mean number of calls in a window, at one a second from each gateway, and four.
		if bound := 4 + gateways/5; n < gateways || most > bound {
			t.Errorf("%d gateways: %d of %d calls within %v, want %d at most, and %d calls or more", gateways, most, n,
				window, bound, gateways)
		}
	}
}

// Two hundred customers have a surplus at every gateway. The rate of deposits must stay within its
// share of the counter's capacity with any number of gateways, and one gateway must not make many
// deposits at once.
func TestDepositSurplus_BoundedAtAnyGatewayCount(t *testing.T) {
	const customers = 200
	for _, gateways := range []int{2, 10, 80, 300} {
		fleet := newGatewayFleet(t, sharedBucketSettings(400, 2000), gateways, testEndpoints(20))
		calls, moments := 0, map[time.Duration]int{}
		fleet.counter = func(a CounterAdd) (CounterResult, time.Duration) {
			calls++
			moments[fleet.now]++
			return CounterResult{Ref: a.Ref, Total: 1}, 15 * ms
		}
		for gateway := range min(gateways, 40) {
			for k := range customers {
				fleet.lastRequest++
				fleet.handle(gateway, Request{ID: fleet.lastRequest, Customer: CustomerID(k), Class: "safe",
					Plan: "flagship", Cost: 1, Timeout: 6 * second, GatewaySpread: gateways})
			}
		}
		for range 10000 { // until shares are full and withdrawals have ended
			fleet.advance(ms)
		}
		calls = 0
		clear(moments)
		for range 4000 {
			fleet.advance(ms)
		}
		most := 0
		for _, n := range moments {
			most = max(most, n)
		}
		// In each of the 4 s, depositsPerSecondAll calls, or one for each active gateway if that is more;
		// and one tick of each at the border.
		if active := min(gateways, 40); calls > 4*max(100, active)+active*depositsPerTickMax ||
			most > 2*depositsPerTickMax || calls == 0 {
			t.Errorf("%d gateways: %d deposits in 4 s, want 1 to %d; %d in one moment, want %d at most", gateways, calls,
				4*max(100, active)+active*depositsPerTickMax, most, 2*depositsPerTickMax)
		}
	}
}

// The counter is down, and fifty customers have a surplus to deposit. The gateway must try the
// counter with only one call at a time.
func TestCounterLink_OneTrialCallWhileDown(t *testing.T) {
	fleet := newGatewayFleet(t, sharedBucketSettings(400, 2000), 2, testEndpoints(20))
	moments := map[time.Duration]int{}
	fleet.counter = func(a CounterAdd) (CounterResult, time.Duration) {
		moments[fleet.now]++
		return CounterResult{Ref: a.Ref, Result: TimedOut}, 120 * ms
	}
	for k := range 50 {
		fleet.lastRequest++
		fleet.handle(0, Request{ID: fleet.lastRequest, Customer: CustomerID(k), Class: "safe", Plan: "flagship",
			Cost: 1, Timeout: 6 * second, GatewaySpread: 2})
	}
	for fleet.now < 1010*second {
		fleet.advance(ms)
	}
	clear(moments)
	for fleet.now < 1040*second {
		fleet.advance(ms)
	}
	for at, n := range moments {
		if n > 1 {
			t.Fatalf("%d calls at %v, want 1 at most", n, at)
		}
	}
	if len(moments) < 3 {
		t.Errorf("the counter was called %d times in 30 s, want 3 or more", len(moments))
	}
}
