package decision

import (
	"fmt"
	"strconv"
	"testing"
	"time"
)

var benchSizes = []int{100, 1_000, 10_000, 110_000}

// benchFleet returns n endpoints in nine zones, of one protocol.
func benchFleet(n int) []Endpoint {
	out := make([]Endpoint, n)
	for i := range out {
		out[i] = Endpoint{ID: BackendID(i + 1), Zone: "z" + strconv.Itoa(i%9), Cell: i % 300, Weight: 1}
	}
	return out
}

// benchGateway returns the engine of one of 2,800 gateways, which knows all these endpoints.
func benchGateway(t testing.TB, all []Endpoint) *Engine {
	s := testSettings()
	s.GatewayCount, s.UsagePeriod = 2800, 0
	s.Plans = []Plan{{Name: "free", Price: 1}}
	g, err := New(s, 1, 1000*second)
	if err != nil {
		t.Fatal(err)
	}
	g.Handle(1000*second, EndpointUpdate{Kind: UpdateFull, Endpoints: all}, nil)
	return g
}

// One gateway may know 20,000 backends. Were an update of one endpoint, or a tick, to walk over
// all, it would cost 130 times as much as with 100 backends. It must cost about the same: an
// order's depth more. The best of some rounds counts, so that a busy machine says the same.
func TestEndpointUpdate_CostFollowsChange(t *testing.T) {
	best := func(n int) (one, tick time.Duration) {
		all := benchFleet(n)
		for i := range all[:n/9] { // some are warming up
			all[i].StartedAt = 999 * second
		}
		g, now := benchGateway(t, all), 1000*second
		one, tick = time.Hour, time.Hour
		for range 20 {
			at := time.Now()
			for i := range 100 {
				info := all[i]
				info.State = Removed
				g.Handle(now, EndpointUpdate{Endpoints: []Endpoint{info}}, nil)
				g.Handle(now, EndpointUpdate{Endpoints: all[i : i+1]}, nil)
			}
			one, at = min(one, time.Since(at)), time.Now()
			for range 100 {
				now += ms
				g.Handle(now, Timer{}, nil)
			}
			tick = min(tick, time.Since(at))
		}
		return one, tick
	}
	one, tick := best(100)
	if manyOne, manyTick := best(20_000); manyOne > 10*one || manyTick > 10*tick {
		t.Errorf("200 changes take %v and 100 seconds %v where 20,000 are known, %v and %v where 100 are",
			manyOne, manyTick, one, tick)
	}
}

// BenchmarkEngine measures updates, ticks and requests by the number of backends. The ratios within
// one run are what counts.
func BenchmarkEngine(b *testing.B) {
	for _, n := range benchSizes {
		all := benchFleet(n)
		run := func(name string, f func(b *testing.B, g *Engine, now *time.Duration)) {
			b.Run(fmt.Sprintf("%s/%d", name, n), func(b *testing.B) {
				g, now := benchGateway(b, all), 1000*second
				b.ResetTimer()
				f(b, g, &now)
			})
		}
		run("whole", func(b *testing.B, _ *Engine, _ *time.Duration) {
			for range b.N {
				benchGateway(b, all)
			}
		})
		run("again", func(b *testing.B, g *Engine, now *time.Duration) { // a full update that says what is known
			for range b.N {
				g.Handle(*now, EndpointUpdate{Kind: UpdateFull, Endpoints: all}, nil)
			}
		})
		run("one", func(b *testing.B, g *Engine, now *time.Duration) {
			one := make([]Endpoint, 1)
			for i := range b.N {
				one[0] = all[i%n]
				one[0].State = BackendState(i / n % 2)
				g.Handle(*now, EndpointUpdate{Endpoints: one}, nil)
			}
		})
		// a ninth is removed and comes back started, in as many updates of one
		run("zone", func(b *testing.B, g *Engine, now *time.Duration) {
			one := make([]Endpoint, 1)
			for range b.N {
				for _, state := range []BackendState{Removed, Ready} {
					for i := 0; i < n; i += 9 {
						one[0] = all[i]
						one[0].State = state
						if state == Ready {
							one[0].StartedAt = *now
						}
						g.Handle(*now, EndpointUpdate{Endpoints: one}, nil)
					}
					*now += second
				}
			}
		})
		run("batch256", func(b *testing.B, g *Engine, now *time.Duration) {
			some := make([]Endpoint, 256)
			for i := range b.N {
				for j := range some {
					some[j] = all[(i*256+j)%n]
					some[j].State = []BackendState{Ready, Removed}[(i*256/n)%2]
				}
				g.Handle(*now, EndpointUpdate{Endpoints: some}, nil)
			}
		})
		run("tick", func(b *testing.B, g *Engine, now *time.Duration) {
			for range b.N {
				*now += second
				g.Handle(*now, Timer{}, nil)
			}
		})
		run("request", func(b *testing.B, g *Engine, now *time.Duration) {
			var acts []Action
			for i := range b.N {
				id := RequestID(i + 1)
				*now += 4 * time.Millisecond
				acts = g.Handle(*now, Request{ID: id, Customer: 1, Class: "safe", Plan: "free", Cost: 1,
					Timeout: second}, acts[:0])
				for _, a := range acts {
					if s, ok := a.(StartAttempt); ok {
						g.Handle(*now, Outcome{Request: id, Backend: s.Backend, Result: Succeeded,
							Latency: time.Millisecond, Final: true}, nil)
					}
				}
				if i%250 == 0 {
					g.Handle(*now, Timer{}, nil)
				}
			}
		})
	}
}
