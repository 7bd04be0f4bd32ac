package decision

import (
	"testing"
)

// Of a hundred backends a gateway that hears from each once a minute learns nothing. It keeps to a
// few.
func TestSelectBackend_SubsetSize(t *testing.T) {
	for _, c := range []struct {
		rate      float64
		low, high int
	}{{2, 4, 8}, {1000, 60, 100}} {
		r := newHarness(t, testSettings(), testEndpoints(100)...)
		r.engine.sendRate, r.engine.pools[""].sendRate = c.rate, c.rate
		met := map[BackendID]bool{}
		for i := range 400 {
			id, as := r.request("safe", "wide", CustomerID(i))
			for _, s := range startedAttempts(as) {
				met[s.Backend] = true
				r.now += ms
				r.outcome(id, s.Backend, 0, Succeeded)
			}
		}
		if len(met) < c.low || len(met) > c.high {
			t.Errorf("%v sends a second: %d backends met, want %d to %d", c.rate, len(met), c.low, c.high)
		}
	}
}

// A request goes only to backends that speak its protocol, also when it is made again.
func TestSelectBackend_KeepsToProtocol(t *testing.T) {
	mixed := testEndpoints(6)
	for i := range mixed {
		if i%3 == 0 {
			mixed[i].Protocol = "other" // 1 and 4
		}
	}
	r := newHarness(t, testSettings(), mixed...)
	ask := func(protocol string) (RequestID, []StartAttempt) {
		r.next++
		return r.next, startedAttempts(r.handle(Request{ID: r.next, Customer: 1, Class: "safe", Plan: "wide",
			Cost: 1, Timeout: 6 * second, GatewaySpread: 2, Protocol: protocol}))
	}
	other := func(b BackendID) bool { return b == 1 || b == 4 }
	for i := range 40 {
		protocol := []string{"", "other"}[i%2]
		id, as := ask(protocol)
		for try := 0; len(as) > 0; try++ {
			if other(as[0].Backend) != (protocol == "other") {
				t.Fatalf("a request over %q was sent to %d", protocol, as[0].Backend)
			}
			as = startedAttempts(r.outcome(id, as[0].Backend, try, ConnectionLost))
		}
	}
	if _, as := ask("unknown"); len(as) > 0 {
		t.Errorf("sent to %v", as)
	}
	// The last of its protocol is tried again, as the only backend of all is.
	r.handle(EndpointUpdate{Kind: UpdateDelta, Endpoints: []Endpoint{{ID: 4, State: Removed}}})
	id, as := ask("other")
	if again := startedAttempts(r.outcome(id, as[0].Backend, 0, ConnectionLost)); len(again) != 1 ||
		again[0].Backend != 1 {
		t.Errorf("the last backend of a protocol, again: %v", again)
	}
}

// One of four backends never responds. It must soon get no more requests, though it stays listed as
// ready.
func TestSelectBackend_SilentBackendLosesTraffic(t *testing.T) {
	r := newHarness(t, testSettings(), testEndpoints(4)...)
	last := 0
	for i := range 400 {
		r.now += 20 * ms
		id, as := r.request("safe", "wide", CustomerID(i))
		for n, s := range startedAttempts(as) {
			if s.Backend == 1 {
				last = i
				continue // it never responds
			}
			r.outcome(id, s.Backend, n, Succeeded)
		}
	}
	if last > 150 || len(r.engine.backends) != 4 {
		t.Errorf("the silent backend still got request %d", last)
	}
}
