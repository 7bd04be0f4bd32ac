package decision

import (
	"fmt"
	"strconv"
	"testing"
	"time"
)

var benchSizes = []int{100, 1_000, 10_000, 110_000}

// benchEndpoints returns n endpoints of one protocol in nine zones.
func benchEndpoints(n int) []Endpoint {
	out := make([]Endpoint, n)
	for i := range out {
		out[i] = Endpoint{ID: BackendID(i + 1), Zone: "z" + strconv.Itoa(i%9), Cell: i % 300, Weight: 1}
	}
	return out
}

// benchGateway returns the engine of one of 2,800 gateways, with these endpoints.
func benchGateway(t testing.TB, all []Endpoint) *Engine {
	settings := testSettings()
	settings.GatewayCount, settings.UsagePeriod = 2800, 0
	settings.Plans = []Plan{{Name: "free", Price: 1}}
	engine, err := New(settings, 1, 1000*second)
	if err != nil {
		t.Fatal(err)
	}
	engine.Handle(1000*second, EndpointUpdate{Kind: UpdateFull, Endpoints: all}, nil)
	return engine
}

// A gateway may have 20,000 backends. An update of one endpoint, or a tick, must not walk over all
// of them: such a walk has been measured to cost 130 times as much as with 100 backends. It may only
// cost more by the depth of the ordered index. The fastest of several rounds counts, so that other load on the
// machine does not affect the result.
func TestEndpointUpdate_CostFollowsChange(t *testing.T) {
	best := func(n int) (one, tick time.Duration) {
		all := benchEndpoints(n)
		for i := range all[:n/9] { // some backends are in slow start
			all[i].StartedAt = 999 * second
		}
		engine, now := benchGateway(t, all), 1000*second
		one, tick = time.Hour, time.Hour
		for range 20 {
			at := time.Now()
			for i := range 100 {
				info := all[i]
				info.State = Removed
				engine.Handle(now, EndpointUpdate{Endpoints: []Endpoint{info}}, nil)
				engine.Handle(now, EndpointUpdate{Endpoints: all[i : i+1]}, nil)
			}
			one, at = min(one, time.Since(at)), time.Now()
			for range 100 {
				now += ms
				engine.Handle(now, Timer{}, nil)
			}
			tick = min(tick, time.Since(at))
		}
		return one, tick
	}
	one, tick := best(100)
	if manyOne, manyTick := best(20_000); manyOne > 10*one || manyTick > 10*tick {
		t.Errorf("with 20,000 backends 200 updates take %v and 100 ticks %v, want at most 10 times the %v and %v with 100",
			manyOne, manyTick, one, tick)
	}
}

// BenchmarkEngine measures updates, ticks and requests by the number of backends. Compare only
// results of the same run.
func BenchmarkEngine(b *testing.B) {
	for _, n := range benchSizes {
		all := benchEndpoints(n)
		run := func(name string, f func(b *testing.B, engine *Engine, now *time.Duration)) {
			b.Run(fmt.Sprintf("%s/%d", name, n), func(b *testing.B) {
				engine, now := benchGateway(b, all), 1000*second
				b.ResetTimer()
				f(b, engine, &now)
			})
		}
		run("full-update", func(b *testing.B, _ *Engine, _ *time.Duration) {
			for range b.N {
				benchGateway(b, all)
			}
		})
		run("unchanged-full-update", func(b *testing.B, engine *Engine, now *time.Duration) { // a full update without changes
			for range b.N {
				engine.Handle(*now, EndpointUpdate{Kind: UpdateFull, Endpoints: all}, nil)
			}
		})
		run("single-update", func(b *testing.B, engine *Engine, now *time.Duration) {
			one := make([]Endpoint, 1)
			for i := range b.N {
				one[0] = all[i%n]
				one[0].State = BackendState(i / n % 2)
				engine.Handle(*now, EndpointUpdate{Endpoints: one}, nil)
			}
		})
		// a ninth of the backends is removed and comes back restarted, one backend per update
		run("zone-restart", func(b *testing.B, engine *Engine, now *time.Duration) {
			one := make([]Endpoint, 1)
			for range b.N {
				for _, state := range []BackendState{Removed, Ready} {
					for i := 0; i < n; i += 9 {
						one[0] = all[i]
						one[0].State = state
						if state == Ready {
							one[0].StartedAt = *now
						}
						engine.Handle(*now, EndpointUpdate{Endpoints: one}, nil)
					}
					*now += second
				}
			}
		})
		run("batch-of-256", func(b *testing.B, engine *Engine, now *time.Duration) {
			some := make([]Endpoint, 256)
			for i := range b.N {
				for j := range some {
					some[j] = all[(i*256+j)%n]
					some[j].State = []BackendState{Ready, Removed}[(i*256/n)%2]
				}
				engine.Handle(*now, EndpointUpdate{Endpoints: some}, nil)
			}
		})
		run("tick", func(b *testing.B, engine *Engine, now *time.Duration) {
			for range b.N {
				*now += second
				engine.Handle(*now, Timer{}, nil)
			}
		})
		run("request", func(b *testing.B, engine *Engine, now *time.Duration) {
			var actions []Action
			for i := range b.N {
				id := RequestID(i + 1)
				*now += 4 * time.Millisecond
				actions = engine.Handle(*now, Request{ID: id, Customer: 1, Class: "safe", Plan: "free", Cost: 1,
					Timeout: second}, actions[:0])
				for _, a := range actions {
					if s, ok := a.(StartAttempt); ok {
						engine.Handle(*now, Outcome{Request: id, Backend: s.Backend, Result: Succeeded,
							Latency: time.Millisecond, Final: true}, nil)
					}
				}
				if i%250 == 0 {
					engine.Handle(*now, Timer{}, nil)
				}
			}
		})
	}
}
