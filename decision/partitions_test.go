package decision

import (
	"math"
	"testing"
)

// A request takes a slot of its own partition, then a shared one; only one of high priority then
// subrates others.
func TestAcquireSlot_OwnPartitionThenSharedThenSubrating(t *testing.T) {
	r := newHarness(t, testSettings(), testEndpoints(1)...)
	g := r.engine
	g.concurrencyLimit, g.partitionSize = 5*smallPartitionSlots, [3]float64{1 * smallPartitionSlots,
		1 * smallPartitionSlots, 3 * smallPartitionSlots}
	// all but the last slot of each tier's partition, and all but three of the shared one
	for range int(smallPartitionSlots) - 1 {
		g.partitionInUse[partitionHigh]++
		g.partitionInUse[partitionLow]++
	}
	g.partitionInUse[partitionShared] = 3*smallPartitionSlots - 3
	var held []*slot
	take := func(high bool, want int) {
		t.Helper()
		s := g.acquireSlot(high)
		if got := func() int {
			if s == nil {
				return -1
			}
			held = append(held, s)
			return s.partition
		}(); got != want {
			t.Fatalf("slot of partition %d, want %d", got, want)
		}
	}
	take(false, partitionLow)
	take(false, partitionShared)
	take(false, partitionShared)
	take(true, partitionHigh)
	take(true, partitionShared)
	take(false, -1)             // the shared partition is full
	take(true, partitionShared) // two low ones are subrated
	take(true, -1)              // none is left to subrate
	if g.subratedSlots != subratedPerSlot || g.partitionInUse != [3]int{smallPartitionSlots,
		smallPartitionSlots, 3*smallPartitionSlots + 1} {
		t.Fatalf("subrated %d, in use %v", g.subratedSlots, g.partitionInUse)
	}
	for _, s := range held {
		g.releaseSlot(s)
	}
	if g.subratedSlots != 0 || g.partitionInUse != [3]int{smallPartitionSlots - 1, smallPartitionSlots - 1,
		3*smallPartitionSlots - 3} {
		t.Fatalf("left: subrated %d, in use %v", g.subratedSlots, g.partitionInUse)
	}
}

// A partition shrinks below its use. It gives out no slot until enough are released, and its counts
// stay right.
func TestAcquireSlot_ShrunkPartitionAdmitsNothingUntilDrained(t *testing.T) {
	r := newHarness(t, testSettings(), testEndpoints(1)...)
	g := r.engine
	g.concurrencyLimit = 2 * smallPartitionSlots
	g.partitionInUse[partitionHigh] = 2*smallPartitionSlots - 2
	g.partitionSize = [3]float64{2 * smallPartitionSlots, 0, 0}
	a, b := g.acquireSlot(true), g.acquireSlot(true)
	g.partitionSize = [3]float64{smallPartitionSlots, smallPartitionSlots, 0}
	if g.acquireSlot(true) != nil {
		t.Error("admitted above a shrunken partition with no shared one")
	}
	g.releaseSlot(a)
	g.releaseSlot(b)
	g.partitionInUse[partitionHigh] -= smallPartitionSlots - 1
	if g.acquireSlot(true) == nil || g.partitionInUse != [3]int{smallPartitionSlots, 0, 0} {
		t.Errorf("the counts are wrong after the change: %v", g.partitionInUse)
	}
}

// newTierLoad takes the paper's symbols in its order: the tiers' arrival rates, the service rate, the
// tiers' values.
func newTierLoad(lh, ll, mu, vh, vl float64) tierLoad {
	return tierLoad{arrivalsHigh: lh, arrivalsLow: ll, serviceRate: mu, valueHigh: vh, valueLow: vl}
}

// naivePayoff sums the paper's formulas (2), (3), (7), (11) and (9) as they stand, with factorials.
func naivePayoff(nh, nl, nm int, load tierLoad) float64 {
	lh, ll, mu := load.arrivalsHigh, load.arrivalsLow, load.serviceRate
	vh, vl := load.valueHigh, load.valueLow
	fact := func(k int) float64 { return math.Gamma(float64(k) + 1) }
	p := func(a float64, k, n int) float64 {
		sum := 0.0
		for j := 0; j <= n; j++ {
			sum += math.Pow(a, float64(j)) / fact(j)
		}
		return math.Pow(a, float64(k)) / fact(k) / sum
	}
	total := 0.0
	for i := 1; i <= nh; i++ {
		total += float64(i) * mu * vh * p(lh/mu, i, nh)
	}
	for i := 1; i <= nl; i++ {
		total += float64(i) * mu * vl * p(ll/mu, i, nl)
	}
	fh, fl := lh*p(lh/mu, nh, nh), ll*p(ll/mu, nl, nl)
	for i := 0; i <= nm; i++ {
		for j := 0; j <= nm-i; j++ {
			total += p(fh/mu, i, nm) * p(fl/mu, j, nm-i) * (float64(i)*mu*vh + float64(j)*mu*vl)
		}
		full := p(fh/mu, i, nm) * p(fl/mu, nm-i, nm-i)
		omega := (nm - i) / subratedPerSlot
		for k := 0; k <= omega; k++ {
			total += full * float64(k) * mu * (vh - vl) * p(fh/mu, k, omega)
		}
		total -= full * (fh*vh*p(fh/mu, omega, omega) + fl*vl)
	}
	return total
}

// The recurrences in payoff give what the paper's sums give.
func TestPayoff_MatchesNaiveSum(t *testing.T) {
	for _, c := range []struct {
		nh, nl, nm         int
		lh, ll, mu, vh, vl float64
	}{
		{2, 0, 14, 5, 10, 1, 2, 1}, {8, 0, 8, 10, 10, 1, 5, 1}, {3, 4, 9, 15, 10, 1, 10, 1}, {0, 0, 1, 3, 2, 4, 2, 2},
		{5, 5, 0, 5, 5, 1, 3, 1}, {2, 2, 6, 0, 9, 1, 3, 1}, {2, 2, 6, 9, 0, 1, 3, 1}, {0, 0, 4, 0, 0, 1, 1, 1},
	} {
		load := newTierLoad(c.lh, c.ll, c.mu, c.vh, c.vl)
		got, want := payoff(c.nh, c.nl, c.nm, load), naivePayoff(c.nh, c.nl, c.nm, load)
		if math.Abs(got-want) > 1e-9*(1+math.Abs(want)) {
			t.Errorf("%+v: %v, want %v", c, got, want)
		}
	}
}

// The search finds what a search by the naive sums finds, and stays within the limit at its edges.
func TestBestPartition_EdgeCases(t *testing.T) {
	for _, c := range []struct{ n, lh, ll, mu, vh, vl float64 }{
		{math.Inf(1), 5, 5, 1, 2, 1}, {1, 5, 5, 1, 2, 1}, {16, 0, 9, 1, 2, 1}, {16, 9, 0, 1, 2, 1},
		{16, 9, 9, 1, 1, 1}, {3000, 2000, 2000, 1, 2, 1}, {16, 0, 0, 1, 0, 0},
	} {
		h, l := bestPartition(c.n, newTierLoad(c.lh, c.ll, c.mu, c.vh, c.vl))
		if math.IsNaN(h) || h < 0 || l < 0 || h+l > c.n || math.IsInf(c.n, 1) && h+l != 0 {
			t.Errorf("%+v: %v %v", c, h, l)
		}
	}
	load := newTierLoad(15, 10, 1, 2, 1)
	best, bh, bl := math.Inf(-1), 0, 0
	for h := 0; h <= 16; h++ {
		for l := 0; l+h <= 16; l++ {
			if p := naivePayoff(h, l, 16-h-l, load); p > best+1e-9 {
				best, bh, bl = p, h, l
			}
		}
	}
	if h, l := bestPartition(16, load); int(h) != bh || int(l) != bl {
		t.Errorf("partitions %v %v, the naive search finds %d %d", h, l, bh, bl)
	}
}

// A partition of less than a slot must not be shut for good: it is held on average.
func TestAcquireSlot_SmallPartitionIsHeldOnAverage(t *testing.T) {
	r := newHarness(t, testSettings(), testEndpoints(4)...)
	g := r.engine
	g.concurrencyLimit, g.bestLatency = 0.4, 0.1
	g.partitionSize = [3]float64{0, 0, g.concurrencyLimit}
	g.partitionLoadAt = r.now
	passed, busy := 0, 0.0
	for range 2000 { // 20 s of arrivals every 10 ms, each held 100 ms
		r.now += 10 * ms
		g.now = r.now
		if s := g.acquireSlot(false); s != nil {
			passed++
			r.now += 100 * ms
			g.now = r.now
			g.updatePartitionLoad()
			g.releaseSlot(s)
			busy += 0.1
		}
	}
	if share := busy / (r.now - 1000*second).Seconds(); share < 0.3 || share > 0.5 {
		t.Errorf("%v slots in use on average (%d passed), want about 0.4", share, passed)
	}
}

// A small limit is divided as its part of a larger whole.
func TestBestPartition_SmallLimitInProportion(t *testing.T) {
	h, l := bestPartition(20, newTierLoad(15, 10, 1, 5, 1))
	sh, sl := bestPartition(0.2, newTierLoad(0.15, 0.1, 1, 5, 1))
	if math.Abs(sh-h/100) > 1e-9 || math.Abs(sl-l/100) > 1e-9 || h+l == 0 {
		t.Errorf("partitions %v %v of 20 slots, %v %v of a fifth of one", h, l, sh, sl)
	}
}
