package decision

import (
	"fmt"
	"testing"
	"time"
)

// The attempts sent with one protocol must not raise how many a backend of another protocol gets in
// slow start.
func TestSlowStart_RateIsPerProtocol(t *testing.T) {
	settings := testSettings()
	backends := testEndpoints(3)
	backends[0].Protocol, backends[1].Protocol = "other", "other"
	h := newHarness(t, settings, backends...)
	h.engine.sendRate, h.engine.pools[""].sendRate, h.engine.pools["other"].sendRate = 1020, 1000, 20
	starting := backends[1]
	starting.StartedAt = h.now
	h.handle(EndpointUpdate{Kind: UpdateDelta, Endpoints: []Endpoint{starting}})
	got := 0
	for i := range 40 { // two seconds of 20 a second
		h.now += 50 * ms
		h.lastRequest++
		for _, a := range startedAttempts(h.handle(Request{ID: h.lastRequest, Customer: CustomerID(i), Class: "safe",
			Plan: "large", Cost: 1, Timeout: 6 * second, GatewaySpread: 2,
			Protocol: "other"})) {
			got += boolToInt(a.Backend == starting.ID) // no attempt gets a response, so the warm backend's cost soon rises
		}
	}
	if got == 0 || got > 8 { // a warm backend gets 10 a second; this one has 0.2 to 0.36 of its capacity
		t.Errorf("%d attempts in 2 s at the backend in slow start, want 1 to 8", got)
	}
}

// A backend that has just started, beside three warm ones, gets at most a fifth of their rate in
// its first second.
func TestSlowStart_LimitsFirstSecond(t *testing.T) {
	h := newHarness(t, testSettings(), testEndpoints(3)...)
	h.engine.sendRate, h.engine.pools[""].sendRate = 30, 30
	h.handle(EndpointUpdate{Kind: UpdateDelta, Endpoints: []Endpoint{{ID: 9, StartedAt: h.now}}})
	starting := 0
	for i := range 60 { // 60 requests in one second, twice the usual rate
		h.now += second / 60
		_, actions := h.request("safe", "large", CustomerID(i))
		for _, s := range startedAttempts(actions) {
			if s.Backend == 9 {
				starting++
			}
		}
	}
	if starting > 4 {
		t.Errorf("%d attempts in the first second at a backend with a fifth of the capacity for 10 a second, want 4 at most",
			starting)
	}
}

// Backends in slow start get their share of attempts from the first second on, and not more,
// whatever the number of gateways. If each of 80 gateways first had to accumulate a whole token,
// the backends would stay idle for half a minute.
func TestSlowStart_ShareAtAnyGatewayCount(t *testing.T) {
	const perSecond, n = 600, 60
	for _, size := range []struct{ gateways, starting int }{{1, 36}, {2, 36}, {10, 36}, {80, 36}, {300, 36}, {10,
		n}, {80, n}, {300, n}} {
		gateways, starting := size.gateways, size.starting
		t.Run(fmt.Sprint(gateways, " gateways, ", starting, " starting"), func(t *testing.T) {
			settings := testSettings()
			settings.OverloadFactor = 4
			fleet := newGatewayFleet(t, settings, gateways, testEndpoints(n))
			fleet.removeConcurrencyLimits()
			// All backends are slow from the thirtieth second on, until they restart.
			learn := time.Duration(10+gateways/8) * second // with many gateways, each of them measures latencies slowly
			restart := fleet.now + 30*second + learn
			fleet.latency = func(b BackendID, now time.Duration) time.Duration {
				if now < 1030*second || now >= restart && int(b) <= starting {
					return 150 * ms
				}
				return 880 * ms
			}
			fleet.run(perSecond, 30*second+learn)
			fleet.restartBackends(starting, fleet.now)
			fleet.removeConcurrencyLimits()
			warm := 0.2 // share of its capacity that a backend has
			for range 3 {
				clear(fleet.attemptsTo)
				fleet.run(perSecond, 2*second)
				end := min(1, warm+0.8*2/10)
				got := 0
				for b := 1; b <= starting; b++ {
					got += fleet.attemptsTo[BackendID(b)]
				}
				each := float64(got) / float64(starting) / 2
				if least, most := warm*perSecond/n/3, 2.2*end*perSecond/n; each < least || each > most {
					t.Errorf("a backend at %.0f%% of its capacity gets %.2f attempts a second, want %.2f to %.2f",
						100*warm, each, least, most)
				}
				warm = end
			}
		})
	}
}

// While the warm backends are overloaded, the concurrency limit lowers the rate at which gateways
// send. That rate must not limit the backends in slow start, which have spare capacity: they get up
// to their share of what a warm backend was sent before the overload, and not more.
func TestSlowStart_OverloadDoesNotKeepBackendsIdle(t *testing.T) {
	const n, starting, before, during = 60, 40, 600, 150
	for _, gateways := range []int{2, 10, 80} {
		settings := testSettings()
		settings.OverloadFactor = 4
		fleet := newGatewayFleet(t, settings, gateways, testEndpoints(n))
		restart := 1000*second + time.Duration(20+gateways/8)*second
		fleet.latency = func(b BackendID, now time.Duration) time.Duration {
			if b > starting && now >= restart {
				return 900 * ms
			}
			return 150 * ms
		}
		fleet.removeConcurrencyLimits()
		fleet.run(before, restart-fleet.now)
		fleet.removeConcurrencyLimits()
		fleet.restartBackends(starting, fleet.now-3*second) // slow start half over
		fleet.run(during, 2*second)
		clear(fleet.attemptsTo)
		fleet.run(during, 2*second)
		got := 0
		for b := 1; b <= starting; b++ {
			got += fleet.attemptsTo[BackendID(b)]
		}
		each, part := float64(got)/starting/2, 0.7*before/n
		if got < during*2*5/6 || each > part {
			t.Errorf("%d gateways: %d of %d attempts went to %d backends in slow start, %.1f a second each, "+
				"want at least five sixths, and at most %.1f a second each",
				gateways, got, during*2, starting, each, part)
		}
	}
}

// After a minute without requests, a gateway gets a burst. It must not have saved up tokens: each
// backend in slow start may get one attempt of the burst. The counter may get no more calls than a
// gateway may have in flight.
func TestBurstAfterIdleMinute(t *testing.T) {
	settings := sharedBucketSettings(40, 100)
	settings.SlowStartWindow, settings.OverloadFactor = 5*60*second, 4
	fleet := newGatewayFleet(t, settings, 80, testEndpoints(40))
	calls := 0
	fleet.counter = func(a CounterAdd) (CounterResult, time.Duration) {
		calls++
		return CounterResult{Ref: a.Ref, Total: 50}, 15 * ms
	}
	fleet.run(800, 5*second)
	fleet.restartBackends(20, fleet.now)
	for range 120 {
		fleet.advance(second / 2)
	}
	clear(fleet.attemptsTo)
	calls = 0
	for k := range 200 {
		fleet.lastRequest++
		plan := []string{"large", "flagship"}[k%2]
		fleet.handle(0, Request{ID: fleet.lastRequest, Customer: CustomerID(k % 7), Class: "safe", Plan: plan, Cost: 1,
			Timeout: 6 * second, GatewaySpread: 80})
	}
	for b := BackendID(1); b <= 20; b++ {
		if fleet.attemptsTo[b] > 1 {
			t.Errorf("backend %d, in slow start, got %d attempts of the burst, want 1 at most", b, fleet.attemptsTo[b])
		}
	}
	if len(fleet.attemptsTo) < 4 || calls > 64 || len(fleet.gateways[0].customers) > 7*2 {
		t.Errorf("sent to %d backends, want at least 4; %d counter calls, want 64 at most; "+
			"%d customers kept, want 14 at most",
			len(fleet.attemptsTo), calls, len(fleet.gateways[0].customers))
	}
}
