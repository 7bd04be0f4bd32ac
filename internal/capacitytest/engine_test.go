package capacitytest

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"pumicecroft/decision"
	"pumicecroft/internal/platform"
)

// engineFixture is a decision engine alone, with a clock that the test advances.
type engineFixture struct {
	*decision.Engine
	now     time.Duration
	actions []decision.Action
	id      decision.RequestID
}

// newEngineFixture creates an engine; change, which edits its settings, may be nil.
func newEngineFixture(t *testing.T, change func(*decision.Settings)) *engineFixture {
	t.Helper()
	config, err := platform.ParseConfig([]byte(platformConfig("127.0.0.1:1")))
	if err != nil {
		t.Fatal(err)
	}
	set := config.Settings
	if change != nil {
		change(&set)
	}
	m := &engineFixture{now: time.Hour}
	if m.Engine, err = decision.New(set, 1, m.now); err != nil {
		t.Fatal(err)
	}
	return m
}

// handle handles an event and returns the time that it took.
func (m *engineFixture) handle(ev decision.Event) time.Duration {
	began := time.Now()
	m.actions = m.Handle(m.now, ev, m.actions[:0])
	return time.Since(began)
}

// ask handles a request of a customer and its response at once, and returns the time that the two events took.
func (m *engineFixture) ask(customer int, plan, protocol string) time.Duration {
	m.id++
	spent := m.handle(decision.Request{
		ID: m.id, Customer: decision.CustomerID(customer), Class: "look", Plan: plan, Cost: 1,
		Timeout: time.Second, GatewaySpread: 3, Protocol: protocol,
	})
	for _, a := range m.actions {
		if s, ok := a.(decision.StartAttempt); ok {
			return spent + m.handle(decision.Outcome{
				Request: s.Request, Backend: s.Backend, Latency: time.Millisecond, Final: true,
			})
		}
	}
	return spent
}

// heapInUse returns the bytes in use on the heap.
func heapInUse() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// engineEndpoints returns n backends of a number of services.
func engineEndpoints(n, services int) decision.EndpointUpdate {
	list := decision.EndpointUpdate{Kind: decision.UpdateFull, Endpoints: make([]decision.Endpoint, n)}
	for i := range list.Endpoints {
		list.Endpoints[i] = decision.Endpoint{
			ID: decision.BackendID(i + 1), Zone: fmt.Sprint("z", i%9), InstanceType: "m2", Cell: i % 2300, Weight: 1,
			Protocol: fmt.Sprint("service-", i%services),
		}
	}
	return list
}

// More and more customers send requests to one gateway within a minute. This measures the memory for each of them, and
// the tick of a second, in which one of ten may deposit a part of its hard limit in the shared counter.
func TestTenants(t *testing.T) {
	for _, n := range sizesFor(t, []int{1000, 20_000}, []int{1000, 10_000, 17_160, 100_000, 820_000}) {
		m := newEngineFixture(t, func(s *decision.Settings) {
			s.HasSharedCounter, s.UsagePeriod = true, 500*time.Millisecond
			s.Plans = []decision.Plan{{Name: "shop", Rate: 4, Burst: 13, Price: 1},
				{Name: "flagship", Rate: 12, Burst: 40, Price: 2, HardLimitRate: 12, HardLimitBurst: 40, HardLimitOverdraft: 5}}
		})
		m.handle(engineEndpoints(100, 1))
		empty := heapInUse()
		one := func(i int) time.Duration {
			plan := "shop"
			if i%10 == 0 {
				plan = "flagship"
			}
			return m.ask(i+1, plan, "service-0")
		}
		worst := time.Duration(0)
		for i := range n {
			m.now += 30 * time.Second / time.Duration(n) // nobody is forgotten
			worst = max(worst, one(i))
		}
		bytes := (heapInUse() - empty) / float64(n)
		var ticks []time.Duration
		for range 5 {
			m.now += time.Second
			ticks = append(ticks, m.handle(decision.Timer{}))
		}
		gifts := 0
		for _, a := range m.actions {
			if _, ok := a.(decision.CounterAdd); ok {
				gifts++
			}
		}
		tick := median(len(ticks), func(i int) time.Duration { return ticks[i] })
		request := median(200, func(i int) time.Duration { return one(i * 7 % n) })
		plain := newEngineFixture(t, nil)
		plain.handle(engineEndpoints(100, 1))
		for i := range n {
			plain.ask(i+1, "big", "service-0")
		}
		without := median(5, func(int) time.Duration {
			plain.now += time.Second
			return plain.handle(decision.Timer{})
		})
		m.now += 2 * time.Minute
		forget := m.handle(decision.Timer{})
		t.Logf("%d tenants: %.0f bytes each; the tick %v, at most %v, %d gifts in the last; without a counter %v; "+
			"a request %v, at most %v at its first; all forgotten in %v",
			n, bytes, tick, max(ticks[0], ticks[1], ticks[2], ticks[3], ticks[4]), gifts, without, request, worst, forget)
		if bytes > 600 {
			t.Errorf("%d tenants hold %.0f bytes each", n, bytes)
		}
		if n >= 10_000 && ratio(without, request) < 10 { // the tick without a counter is a walk over all
			t.Errorf("%d tenants: a request takes %v, and a walk over all %v", n, request, without)
		}
		runtime.KeepAlive(m)
	}
}

// One gateway knows the backends of more and more services. A request selects among those of its own service.
func TestServices(t *testing.T) {
	backends := 10_000
	if *full {
		backends = 110_000
	}
	for _, n := range sizesFor(t, []int{1, 230}, []int{1, 10, 230, 2300}) {
		m := newEngineFixture(t, nil)
		list := engineEndpoints(backends, n)
		m.handle(list)
		for range 10 { // until the assumptions of the start have expired
			m.now += time.Second
			m.handle(decision.Timer{})
		}
		var all []time.Duration
		request := median(500, func(i int) time.Duration {
			m.now += 3 * time.Millisecond
			spent := m.ask(7, "big", fmt.Sprint("service-", i%n))
			all = append(all, spent)
			return spent
		})
		out := decision.EndpointUpdate{} // none of a service is ready
		for _, b := range list.Endpoints {
			if b.Protocol == "service-0" {
				b.State = decision.Draining
				out.Endpoints = append(out.Endpoints, b)
			}
		}
		m.handle(out)
		refused := median(100, func(int) time.Duration {
			m.now += 3 * time.Millisecond
			return m.ask(7, "big", "service-0")
		})
		m.now += time.Second
		tick := m.handle(decision.Timer{})
		worst := time.Duration(0)
		for _, spent := range all {
			worst = max(worst, spent)
		}
		t.Logf("%d backends of %d services: a request %v, at most %v; one of a service without a ready backend %v; "+
			"the tick %v", backends, n, request, worst, refused, tick)
	}
}
