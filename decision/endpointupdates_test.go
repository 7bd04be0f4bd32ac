package decision

import (
	"cmp"
	"math"
	"slices"
	"testing"
	"time"
)

// After each update and each tick of the random scripts (see fingerprint_test.go), the index returns
// the same backends as a walk over all backends.
func TestIndexMatchesWalkOverBackends(t *testing.T) {
	for seed := uint64(1); seed <= 40; seed++ {
		script := newRandomScript(t, seed, func(time.Duration, []Action) {})
		warming := 0
		script.afterEvent = func(event Event) {
			update, isUpdate := event.(EndpointUpdate)
			if isUpdate && update.Kind == UpdateFailed || !isUpdate && event != (Timer{}) {
				return
			}
			ready := 0
			for protocol, pool := range script.engine.pools {
				known, warm := 0, 0.0
				var want []*backend
				for _, backend := range script.engine.backends {
					if backend.Protocol == protocol {
						if known++; backend.State == Ready {
							want, warm = append(want, backend), warm+script.engine.warmupFraction(backend)
							warming += boolToInt(backend.warmingUp)
						}
					}
				}
				slices.SortFunc(want, func(a, b *backend) int { return cmp.Compare(a.entry.Rank, b.entry.Rank) })
				ready += len(want)
				if got := slices.Collect(pool.Ready()); !slices.Equal(got, want) || pool.ReadyLen() != len(want) ||
					pool.Len() != known {
					t.Fatalf("seed %d at %v, protocol %q: the index returns %d of %d backends, or another order, want %d of %d",
						seed, script.now, protocol, len(got), pool.Len(), len(want), known)
				}
				if got := script.engine.readyCapacity(pool); math.Abs(got-warm) > 1e-9*max(1, warm) {
					t.Fatalf("seed %d at %v, protocol %q: warm capacity %v, want %v", seed, script.now, protocol, got, warm)
				}
			}
			if script.engine.index.ReadyLen() != ready {
				t.Fatalf("seed %d at %v: %d backends are ready, want %d", seed, script.now, script.engine.index.ReadyLen(), ready)
			}
		}
		for range 1500 {
			script.runStep()
		}
		if warming < 20 {
			t.Errorf("seed %d: backends were in slow start at %d checks, want at least 20 for a meaningful test", seed,
				warming)
		}
	}
}

// After an update says that a backend is draining or removed, or a full update lacks it, no attempt
// may be sent to it.
func TestEndpointUpdate_DrainAndRemovalStopAttemptsAtOnce(t *testing.T) {
	two := testEndpoints(2)
	for name, list := range map[string]EndpointUpdate{
		"draining":               {Kind: UpdateDelta, Endpoints: []Endpoint{{ID: 1, State: Draining}}},
		"removed":                {Kind: UpdateDelta, Endpoints: []Endpoint{{ID: 1, State: Removed}}},
		"missing in full update": {Kind: UpdateFull, Endpoints: two[1:]},
	} {
		h := newHarness(t, testSettings(), two...)
		h.handle(list)
		for i := range 20 {
			_, actions := h.request("safe", "large", CustomerID(i))
			if got := startedAttempts(actions); len(got) != 1 || got[0].Backend != 2 {
				t.Fatalf("%s: attempts %v, want one at backend 2", name, got)
			}
		}
	}
}

// All gateways get a full update without backends, and two seconds later one with all of them.
// Meanwhile they must reject requests at once and send nothing; afterwards they must forward as
// before, and no backend may be put into slow start.
func TestEndpointUpdate_EmptyFullUpdateThenAllBackends(t *testing.T) {
	for _, gateways := range []int{1, 80, 300} {
		fleet := newGatewayFleet(t, testSettings(), gateways, testEndpoints(40))
		fleet.run(400, 4*second)
		fleet.broadcast(EndpointUpdate{Kind: UpdateFull})
		clear(fleet.attemptsTo)
		rejected := fleet.rejections[NoBackend.String()]
		fleet.run(400, 2*second)
		if len(fleet.attemptsTo) > 0 || fleet.rejections[NoBackend.String()] != rejected+800 {
			t.Errorf("%d gateways: sent to %d removed backends, want 0; rejected %d requests, want 800", gateways,
				len(fleet.attemptsTo), fleet.rejections[NoBackend.String()]-rejected)
		}
		fleet.broadcast(EndpointUpdate{Kind: UpdateFull, Endpoints: testEndpoints(40)})
		before := len(fleet.forwarded)
		fleet.run(400, 2*second)
		if got := len(fleet.forwarded) - before; got < 800*95/100 || len(fleet.attemptsTo) < 30 {
			t.Errorf("%d gateways: after the second update %d of 800 forwarded, want at least 760, "+
				"to %d backends, want at least 30", gateways, got, len(fleet.attemptsTo))
		}
		for gateway, engine := range fleet.gateways {
			if len(engine.backends) != 40 {
				t.Errorf("%d gateways: gateway %d has %d backends, want 40", gateways, gateway, len(engine.backends))
			}
		}
	}
}
