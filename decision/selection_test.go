package decision

import (
	"testing"
)

// A gateway that sends to each of a hundred backends only once a minute learns nothing about them,
// so it keeps to a subset.
func TestSelectBackend_SubsetSize(t *testing.T) {
	for _, c := range []struct {
		rate      float64
		low, high int
	}{{2, 4, 8}, {1000, 60, 100}} {
		h := newHarness(t, testSettings(), testEndpoints(100)...)
		h.engine.sendRate, h.engine.pools[""].sendRate = c.rate, c.rate
		used := map[BackendID]bool{}
		for i := range 400 {
			id, actions := h.request("safe", "large", CustomerID(i))
			for _, s := range startedAttempts(actions) {
				used[s.Backend] = true
				h.now += ms
				h.outcome(id, s.Backend, 0, Succeeded)
			}
		}
		if len(used) < c.low || len(used) > c.high {
			t.Errorf("%v attempts a second: sent to %d backends, want %d to %d", c.rate, len(used), c.low, c.high)
		}
	}
}

// A request and its retries are sent only to backends that have its protocol.
func TestSelectBackend_KeepsToProtocol(t *testing.T) {
	mixed := testEndpoints(6)
	for i := range mixed {
		if i%3 == 0 {
			mixed[i].Protocol = "other" // 1 and 4
		}
	}
	h := newHarness(t, testSettings(), mixed...)
	ask := func(protocol string) (RequestID, []StartAttempt) {
		h.lastRequest++
		return h.lastRequest, startedAttempts(h.handle(Request{ID: h.lastRequest, Customer: 1, Class: "safe", Plan: "large",
			Cost: 1, Timeout: 6 * second, GatewaySpread: 2, Protocol: protocol}))
	}
	other := func(b BackendID) bool { return b == 1 || b == 4 }
	for i := range 40 {
		protocol := []string{"", "other"}[i%2]
		id, as := ask(protocol)
		for try := 0; len(as) > 0; try++ {
			if other(as[0].Backend) != (protocol == "other") {
				t.Fatalf("a request with protocol %q was sent to backend %d", protocol, as[0].Backend)
			}
			as = startedAttempts(h.outcome(id, as[0].Backend, try, ConnectionLost))
		}
	}
	if _, as := ask("unknown"); len(as) > 0 {
		t.Errorf("a request with an unknown protocol led to attempts %v, want none", as)
	}
	// The only backend of a protocol is retried, just like the only backend of all.
	h.handle(EndpointUpdate{Kind: UpdateDelta, Endpoints: []Endpoint{{ID: 4, State: Removed}}})
	id, as := ask("other")
	if again := startedAttempts(h.outcome(id, as[0].Backend, 0, ConnectionLost)); len(again) != 1 ||
		again[0].Backend != 1 {
		t.Errorf("retry of a request to the only backend of its protocol: %v, want one attempt at backend 1", again)
	}
}

// One of four backends never responds. Although it stays ready in endpoint updates, it must soon
// get no more requests.
func TestSelectBackend_SilentBackendLosesTraffic(t *testing.T) {
	h := newHarness(t, testSettings(), testEndpoints(4)...)
	last := 0
	for i := range 400 {
		h.now += 20 * ms
		id, actions := h.request("safe", "large", CustomerID(i))
		for n, s := range startedAttempts(actions) {
			if s.Backend == 1 {
				last = i
				continue // it never responds
			}
			h.outcome(id, s.Backend, n, Succeeded)
		}
	}
	if last > 150 || len(h.engine.backends) != 4 {
		t.Errorf("the silent backend last got request %d, want 150 at most; %d backends known, want 4", last,
			len(h.engine.backends))
	}
}
