package decision

import (
	"cmp"
	"math"
	"slices"
	"testing"
	"time"
)

// What the roster finds is what a walk over all backends finds, after each list and each second of the scripts.
func TestWhatIsFoundIsWhatAWalkFinds(t *testing.T) {
	for seed := uint64(1); seed <= 40; seed++ {
		k := newScript(t, seed, func(time.Duration, []Action) {})
		cold := 0
		k.after = func(ev Event) {
			if l, list := ev.(EndpointUpdate); list && l.Kind == UpdateFailed || !list && ev != (Timer{}) {
				return
			}
			open := 0
			for protocol, f := range k.g.pools {
				known, warm := 0, 0.0
				var want []*backend
				for _, b := range k.g.backends {
					if b.Protocol == protocol {
						if known++; b.State == Ready {
							want, warm = append(want, b), warm+k.g.warmupFraction(b)
							cold += boolToInt(b.warmingUp)
						}
					}
				}
				slices.SortFunc(want, func(a, b *backend) int { return cmp.Compare(a.entry.Rank, b.entry.Rank) })
				open += len(want)
				if got := slices.Collect(f.Ready()); !slices.Equal(got, want) || f.ReadyLen() != len(want) || f.Len() != known {
					t.Fatalf("seed %d at %v, protocol %q: %d of %d are found, or in another order, want %d of %d", seed, k.now, protocol, len(got), f.Len(), len(want), known)
				}
				if got := k.g.warmCapacity(f); math.Abs(got-warm) > 1e-9*max(1, warm) {
					t.Fatalf("seed %d at %v, protocol %q: %v warm, want %v", seed, k.now, protocol, got, warm)
				}
			}
			if k.g.index.ReadyLen() != open {
				t.Fatalf("seed %d at %v: %d are ready, want %d", seed, k.now, k.g.index.ReadyLen(), open)
			}
		}
		for range 1500 {
			k.step()
		}
		if cold < 20 {
			t.Errorf("seed %d: backends were found cold %d times, too few to tell anything", seed, cold)
		}
	}
}
