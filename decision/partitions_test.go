package decision

import (
	"math"
	"testing"
)

// A request takes a slot of its own partition, else a shared one. After that, only a high-priority
// request may subrate others.
func TestAcquireSlot_OwnPartitionThenSharedThenSubrating(t *testing.T) {
	h := newHarness(t, testSettings(), testEndpoints(1)...)
	engine := h.engine
	engine.concurrencyLimit, engine.partitionSize = 5*smallPartitionSlots, [3]float64{1 * smallPartitionSlots,
		1 * smallPartitionSlots, 3 * smallPartitionSlots}
	// All but the last slot of each tier's partition are in use, and all but three of the shared
	// one.
	for range int(smallPartitionSlots) - 1 {
		engine.partitionInUse[partitionHigh]++
		engine.partitionInUse[partitionLow]++
	}
	engine.partitionInUse[partitionShared] = 3*smallPartitionSlots - 3
	var held []*slot
	acquire := func(high bool, want int) {
		t.Helper()
		s := engine.acquireSlot(high)
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
	acquire(false, partitionLow)
	acquire(false, partitionShared)
	acquire(false, partitionShared)
	acquire(true, partitionHigh)
	acquire(true, partitionShared)
	acquire(false, -1)             // the shared partition is full
	acquire(true, partitionShared) // two low-priority requests are subrated
	acquire(true, -1)              // no request is left to subrate
	if engine.subratedRequests != subratedPerSlot || engine.partitionInUse != [3]int{smallPartitionSlots,
		smallPartitionSlots, 3*smallPartitionSlots + 1} {
		t.Fatalf("subrated %d, want %d; in use %v, want one above the size of the shared partition", engine.subratedRequests,
			subratedPerSlot, engine.partitionInUse)
	}
	for _, s := range held {
		engine.releaseSlot(s)
	}
	if engine.subratedRequests != 0 || engine.partitionInUse != [3]int{smallPartitionSlots - 1, smallPartitionSlots - 1,
		3*smallPartitionSlots - 3} {
		t.Fatalf("after the release: subrated %d, want 0; in use %v, want the initial slots", engine.subratedRequests,
			engine.partitionInUse)
	}
}

// A partition whose size has shrunk below its use must not give out slots until enough are
// released, and its counts must stay correct.
func TestAcquireSlot_ShrunkPartitionAdmitsNothingUntilDrained(t *testing.T) {
	h := newHarness(t, testSettings(), testEndpoints(1)...)
	engine := h.engine
	engine.concurrencyLimit = 2 * smallPartitionSlots
	engine.partitionInUse[partitionHigh] = 2*smallPartitionSlots - 2
	engine.partitionSize = [3]float64{2 * smallPartitionSlots, 0, 0}
	a, b := engine.acquireSlot(true), engine.acquireSlot(true)
	engine.partitionSize = [3]float64{smallPartitionSlots, smallPartitionSlots, 0}
	if engine.acquireSlot(true) != nil {
		t.Errorf("acquired a slot of a partition with size %v and %d in use", engine.partitionSize[partitionHigh],
			engine.partitionInUse[partitionHigh])
	}
	engine.releaseSlot(a)
	engine.releaseSlot(b)
	engine.partitionInUse[partitionHigh] -= smallPartitionSlots - 1
	if engine.acquireSlot(true) == nil || engine.partitionInUse != [3]int{smallPartitionSlots, 0, 0} {
		t.Errorf("after the release: in use %v, want a slot acquired and %v", engine.partitionInUse,
			[3]int{smallPartitionSlots, 0, 0})
	}
}

// newTierLoad takes its arguments in the order of the paper's symbols: arrival rates of the tiers,
// service rate, values of the tiers.
func newTierLoad(lh, ll, mu, vh, vl float64) tierLoad {
	return tierLoad{arrivalsHigh: lh, arrivalsLow: ll, serviceRate: mu, valueHigh: vh, valueLow: vl}
}

// naivePayoff computes the paper's sums (2), (3), (7), (11) and (9) directly, with factorials.
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

// The recurrences in payoff give the same results as the paper's sums.
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

// bestPartition finds the same partitions as a search with naivePayoff, and stays within the limit
// in edge cases.
func TestBestPartition_EdgeCases(t *testing.T) {
	for _, c := range []struct{ n, lh, ll, mu, vh, vl float64 }{
		{math.Inf(1), 5, 5, 1, 2, 1}, {1, 5, 5, 1, 2, 1}, {16, 0, 9, 1, 2, 1}, {16, 9, 0, 1, 2, 1},
		{16, 9, 9, 1, 1, 1}, {3000, 2000, 2000, 1, 2, 1}, {16, 0, 0, 1, 0, 0},
	} {
		h, l := bestPartition(c.n, newTierLoad(c.lh, c.ll, c.mu, c.vh, c.vl))
		if math.IsNaN(h) || h < 0 || l < 0 || h+l > c.n || math.IsInf(c.n, 1) && h+l != 0 {
			t.Errorf("%+v: partitions %v and %v, want sizes of at least 0 within the limit, and 0 if it is infinite", c, h, l)
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
		t.Errorf("partitions %v and %v, want %d and %d", h, l, bh, bl)
	}
}

// A partition of less than a slot must not reject everything: its limit applies to its average
// load.
func TestAcquireSlot_SmallPartitionLimitHoldsOnAverage(t *testing.T) {
	h := newHarness(t, testSettings(), testEndpoints(4)...)
	engine := h.engine
	engine.concurrencyLimit, engine.bestLatency = 0.4, 0.1
	engine.partitionSize = [3]float64{0, 0, engine.concurrencyLimit}
	engine.partitionLoadAt = h.now
	admitted, busySeconds := 0, 0.0
	for range 2000 { // 20 s of arrivals every 10 ms, each held 100 ms
		h.now += 10 * ms
		engine.now = h.now
		if s := engine.acquireSlot(false); s != nil {
			admitted++
			h.now += 100 * ms
			engine.now = h.now
			engine.updatePartitionLoad()
			engine.releaseSlot(s)
			busySeconds += 0.1
		}
	}
	if share := busySeconds / (h.now - 1000*second).Seconds(); share < 0.3 || share > 0.5 {
		t.Errorf("%v slots in use on average (%d admitted), want 0.3 to 0.5", share, admitted)
	}
}

// A small limit is divided in the same proportions as a larger one under proportional load.
func TestBestPartition_SmallLimitInProportion(t *testing.T) {
	h, l := bestPartition(20, newTierLoad(15, 10, 1, 5, 1))
	sh, sl := bestPartition(0.2, newTierLoad(0.15, 0.1, 1, 5, 1))
	if math.Abs(sh-h/100) > 1e-9 || math.Abs(sl-l/100) > 1e-9 || h+l == 0 {
		t.Errorf("partitions %v and %v of 20 slots, %v and %v of 0.2 slots; want a hundredth of those", h, l, sh, sl)
	}
}
