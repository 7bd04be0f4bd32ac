package decision

import (
	"cmp"
	"math"
	"slices"
	"testing"
	"time"
)

// What the index finds is what a walk over all backends finds, after each update and each tick of
// the scripts.
func TestIndexMatchesWalkOverBackends(t *testing.T) {
	for seed := uint64(1); seed <= 40; seed++ {
		k := newScript(t, seed, func(time.Duration, []Action) {})
		warming := 0
		k.afterEvent = func(ev Event) {
			if l, list := ev.(EndpointUpdate); list && l.Kind == UpdateFailed || !list && ev != (Timer{}) {
				return
			}
			open := 0
			for protocol, f := range k.engine.pools {
				known, warm := 0, 0.0
				var want []*backend
				for _, b := range k.engine.backends {
					if b.Protocol == protocol {
						if known++; b.State == Ready {
							want, warm = append(want, b), warm+k.engine.warmupFraction(b)
							warming += boolToInt(b.warmingUp)
						}
					}
				}
				slices.SortFunc(want, func(a, b *backend) int { return cmp.Compare(a.entry.Rank, b.entry.Rank) })
				open += len(want)
				if got := slices.Collect(f.Ready()); !slices.Equal(got, want) || f.ReadyLen() != len(want) ||
					f.Len() != known {
					t.Fatalf("seed %d at %v, protocol %q: %d of %d are found, or in another order, want %d of %d",
						seed, k.now, protocol, len(got), f.Len(), len(want), known)
				}
				if got := k.engine.warmCapacity(f); math.Abs(got-warm) > 1e-9*max(1, warm) {
					t.Fatalf("seed %d at %v, protocol %q: %v warm, want %v", seed, k.now, protocol, got, warm)
				}
			}
			if k.engine.index.ReadyLen() != open {
				t.Fatalf("seed %d at %v: %d are ready, want %d", seed, k.now, k.engine.index.ReadyLen(), open)
			}
		}
		for range 1500 {
			k.step()
		}
		if warming < 20 {
			t.Errorf("seed %d: backends were found warming %d times, too few to tell anything", seed, warming)
		}
	}
}

// A backend drains, is removed, or is missing from a full update. Nothing may be sent to it from
// that event on.
func TestEndpointUpdate_DrainAndRemovalStopAttemptsAtOnce(t *testing.T) {
	two := testEndpoints(2)
	for name, list := range map[string]EndpointUpdate{
		"drains":           {Kind: UpdateDelta, Endpoints: []Endpoint{{ID: 1, State: Draining}}},
		"gone":             {Kind: UpdateDelta, Endpoints: []Endpoint{{ID: 1, State: Removed}}},
		"not in full list": {Kind: UpdateFull, Endpoints: two[1:]},
	} {
		r := newHarness(t, testSettings(), two...)
		r.handle(list)
		for i := range 20 {
			_, as := r.request("safe", "wide", CustomerID(i))
			if got := startedAttempts(as); len(got) != 1 || got[0].Backend != 2 {
				t.Fatalf("%s: sends %v", name, got)
			}
		}
	}
}

// All gateways are told of no backends, and two seconds later of all again. Meanwhile they reject
// at once and send nothing; afterwards they go on as before, and no backend is put into slow start.
func TestEndpointUpdate_EmptyFullUpdateThenAllBackends(t *testing.T) {
	for _, gateways := range []int{1, 80, 300} {
		c := newGatewayFleet(t, testSettings(), gateways, testEndpoints(40))
		c.run(400, 4*second)
		c.broadcast(EndpointUpdate{Kind: UpdateFull})
		clear(c.attemptsTo)
		rejected := c.rejections[NoBackend.String()]
		c.run(400, 2*second)
		if len(c.attemptsTo) > 0 || c.rejections[NoBackend.String()] != rejected+800 {
			t.Errorf("%d gateways: sent to %d backends that are not listed, %d rejected", gateways,
				len(c.attemptsTo), c.rejections[NoBackend.String()]-rejected)
		}
		c.broadcast(EndpointUpdate{Kind: UpdateFull, Endpoints: testEndpoints(40)})
		before := len(c.forwarded)
		c.run(400, 2*second)
		if got := len(c.forwarded) - before; got < 800*95/100 || len(c.attemptsTo) < 30 {
			t.Errorf("%d gateways: %d of 800 sent on after the list is back, to %d backends", gateways, got,
				len(c.attemptsTo))
		}
		for d, g := range c.gateways {
			if len(g.backends) != 40 {
				t.Errorf("%d gateways: gateway %d keeps %d backends", gateways, d, len(g.backends))
			}
		}
	}
}
