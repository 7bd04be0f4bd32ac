package decision

import (
	"fmt"
	"testing"
	"time"
)

// What is sent over one protocol says nothing of how much a backend of another may be sent while it
// warms up.
func TestSlowStart_RateIsPerProtocol(t *testing.T) {
	s := testSettings()
	backends := testEndpoints(3)
	backends[0].Protocol, backends[1].Protocol = "other", "other"
	r := newHarness(t, s, backends...)
	r.engine.sendRate, r.engine.pools[""].sendRate, r.engine.pools["other"].sendRate = 1020, 1000, 20
	starting := backends[1]
	starting.StartedAt = r.now
	r.handle(EndpointUpdate{Kind: UpdateDelta, Endpoints: []Endpoint{starting}})
	got := 0
	for i := range 40 { // two seconds of 20 a second
		r.now += 50 * ms
		r.next++
		for _, a := range startedAttempts(r.handle(Request{ID: r.next, Customer: CustomerID(i), Class: "safe",
			Plan: "wide", Cost: 1, Timeout: 6 * second, GatewaySpread: 2,
			Protocol: "other"})) {
			got += boolToInt(a.Backend == starting.ID) // none gets a response, so the warm one soon costs more
		}
	}
	if got == 0 || got > 8 { // a warm one's share is 10 a second, and it has 0.2 to 0.36 of its capacity
		t.Errorf("%d attempts at the warming backend in 2 s, want 1 to 8", got)
	}
}

// A backend that has just started, beside three warm ones, gets a fifth of their rate in its first
// second.
func TestSlowStart_LimitsFirstSecond(t *testing.T) {
	r := newHarness(t, testSettings(), testEndpoints(3)...)
	r.engine.sendRate, r.engine.pools[""].sendRate = 30, 30
	r.handle(EndpointUpdate{Kind: UpdateDelta, Endpoints: []Endpoint{{ID: 9, StartedAt: r.now}}})
	starting := 0
	for i := range 60 { // a heavy second: 60 requests
		r.now += second / 60
		_, as := r.request("safe", "wide", CustomerID(i))
		for _, s := range startedAttempts(as) {
			if s.Backend == 9 {
				starting++
			}
		}
	}
	if starting > 4 {
		t.Errorf("%d attempts in the first second to a backend that may do a fifth of 10 a second", starting)
	}
}

// Backends that have just started are sent their share from the first second on, and no more, by
// any number of gateways. If each of 80 gateways first had to save a whole token up, they would
// leave them idle for half a minute.
func TestSlowStart_ShareAtAnyGatewayCount(t *testing.T) {
	const perSecond, n = 600, 60
	for _, size := range []struct{ gateways, starting int }{{1, 36}, {2, 36}, {10, 36}, {80, 36}, {300, 36}, {10,
		n}, {80, n}, {300, n}} {
		gateways, starting := size.gateways, size.starting
		t.Run(fmt.Sprint(gateways, " gateways, ", starting, " starting"), func(t *testing.T) {
			s := testSettings()
			s.OverloadFactor = 4
			c := newGatewayFleet(t, s, gateways, testEndpoints(n))
			c.liftLimits()
			// all are busy from the thirtieth second on, until they start anew
			learn := time.Duration(10+gateways/8) * second // one of many gateways learns slowly
			restart := c.now + 30*second + learn
			c.latency = func(b BackendID, now time.Duration) time.Duration {
				if now < 1030*second || now >= restart && int(b) <= starting {
					return 150 * ms
				}
				return 880 * ms
			}
			c.run(perSecond, 30*second+learn)
			c.restartBackends(starting, c.now)
			c.liftLimits()
			warm := 0.2 // at first
			for range 3 {
				clear(c.attemptsTo)
				c.run(perSecond, 2*second)
				end := min(1, warm+0.8*2/10)
				got := 0
				for b := 1; b <= starting; b++ {
					got += c.attemptsTo[BackendID(b)]
				}
				each := float64(got) / float64(starting) / 2
				if least, most := warm*perSecond/n/3, 2.2*end*perSecond/n; each < least || each > most {
					t.Errorf("a backend at %.0f%% of its capacity is sent %.2f a second, want %.2f to %.2f",
						100*warm, each, least, most)
				}
				warm = end
			}
		})
	}
}

// While the warm backends are overloaded, gateways send little, as the concurrency limit follows
// the responses. That says nothing of what those that are warming up can bear: they are sent up to
// their share of what a warm one was sent before the jam, and not more.
func TestSlowStart_JamDoesNotKeepBackendsIdle(t *testing.T) {
	const n, starting, before, during = 60, 40, 600, 150
	for _, gateways := range []int{2, 10, 80} {
		s := testSettings()
		s.OverloadFactor = 4
		c := newGatewayFleet(t, s, gateways, testEndpoints(n))
		restart := 1000*second + time.Duration(20+gateways/8)*second
		c.latency = func(b BackendID, now time.Duration) time.Duration {
			if b > starting && now >= restart {
				return 900 * ms
			}
			return 150 * ms
		}
		c.liftLimits()
		c.run(before, restart-c.now)
		c.liftLimits()
		c.restartBackends(starting, c.now-3*second) // warm by a half
		c.run(during, 2*second)
		clear(c.attemptsTo)
		c.run(during, 2*second)
		got := 0
		for b := 1; b <= starting; b++ {
			got += c.attemptsTo[BackendID(b)]
		}
		each, part := float64(got)/starting/2, 0.7*before/n
		if got < during*2*5/6 || each > part {
			t.Errorf("%d gateways: %d of %d attempts went to %d warming backends, %.1f a second each, "+
				"want five sixths and %.1f each at most",
				gateways, got, during*2, starting, each, part)
		}
	}
}

// A gateway has no request for a minute, and then a burst. It has saved no tokens up: a backend
// that warms up gets one of the burst, and the counter no more calls than a gateway may have in
// flight.
func TestBurstAfterIdleMinute(t *testing.T) {
	s := lendingSettings(40, 100)
	s.SlowStartWindow, s.OverloadFactor = 5*60*second, 4
	c := newGatewayFleet(t, s, 80, testEndpoints(40))
	calls := 0
	c.counter = func(a CounterAdd) (CounterResult, time.Duration) {
		calls++
		return CounterResult{Ref: a.Ref, Total: 50}, 15 * ms
	}
	c.run(800, 5*second)
	c.restartBackends(20, c.now)
	for range 120 {
		c.advance(second / 2)
	}
	clear(c.attemptsTo)
	calls = 0
	for k := range 200 {
		c.lastRequest++
		plan := []string{"wide", "flagship"}[k%2]
		c.handle(0, Request{ID: c.lastRequest, Customer: CustomerID(k % 7), Class: "safe", Plan: plan, Cost: 1,
			Timeout: 6 * second, GatewaySpread: 80})
	}
	for b := BackendID(1); b <= 20; b++ {
		if c.attemptsTo[b] > 1 {
			t.Errorf("warming backend %d has %d of the burst", b, c.attemptsTo[b])
		}
	}
	if len(c.attemptsTo) < 4 || calls > 64 || len(c.gateways[0].customers) > 7*2 {
		t.Errorf("sent to %d backends, %d calls of the counter, %d customers kept", len(c.attemptsTo), calls,
			len(c.gateways[0].customers))
	}
}
