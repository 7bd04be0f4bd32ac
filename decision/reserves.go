package decision

import (
	"math"
	"slices"
)

// acquireSlot gives a slot of the tier's own reserve, else of the pool, else (high only) by sub-rating. A marked
// low request counts 1-1/alpha in the pool, so that marking alpha of them lets the pool run one over.
func (g *Engine) acquireSlot(high bool) *slot {
	own := partitionLow
	if high {
		own = partitionHigh
	}
	g.updatePartitionLoad()
	part := partitionShared
	if g.hasRoom(own) {
		part = own
	} else if !g.hasRoom(partitionShared) && (!high || !g.subrateOldest()) {
		return nil
	}
	s := &slot{partition: part}
	g.partitionInUse[part]++
	if part == partitionShared && !high && !math.IsInf(g.concurrencyLimit, 1) {
		g.subratable = append(g.subratable, s)
	}
	return s
}

// updatePartitionLoad brings busy up to now. Exception: with many doors each has a slot or less of the back end. As they
// even each other out, a small part is held on average instead of at every moment.
func (g *Engine) updatePartitionLoad() {
	dt := (g.now - g.partitionLoadAt).Seconds()
	g.partitionLoadAt = g.now
	pool := float64(g.partitionInUse[partitionShared]) - float64(g.subratedSlots)/subratedPerSlot
	for p, use := range [3]float64{float64(g.partitionInUse[partitionHigh]), float64(g.partitionInUse[partitionLow]), pool} {
		window := g.bestLatency * (smallPartitionSlots/max(g.partitionSize[p], 1e-3) - 1)
		if g.partitionSize[p] >= smallPartitionSlots {
			g.partitionLoad[p] = use
		} else {
			g.partitionLoad[p] = use + (g.partitionLoad[p]-use)*math.Exp(-dt/window)
		}
	}
}

// hasRoom tells whether a part has room for one more: a whole slot, or of a small part the part of its window.
func (g *Engine) hasRoom(part int) bool {
	return g.partitionLoad[part]+min(1, g.partitionSize[part]/smallPartitionSlots) <= g.partitionSize[part]+1e-9 && g.partitionSize[part] > 1e-6
}

// subrateOldest marks the alpha oldest unmarked low requests of the pool, or none if there are fewer.
func (g *Engine) subrateOldest() bool {
	g.subratable = slices.DeleteFunc(g.subratable, func(s *slot) bool { return s.released })
	if len(g.subratable) < subratedPerSlot || g.partitionLoad[partitionShared] > g.partitionSize[partitionShared]+1e-9 {
		return false
	}
	for _, s := range g.subratable[:subratedPerSlot] {
		s.subrated = true
	}
	g.subratedSlots += subratedPerSlot
	g.subratable = slices.Delete(g.subratable, 0, subratedPerSlot)
	return true
}

func (g *Engine) releaseSlot(s *slot) {
	s.released = true
	g.partitionInUse[s.partition]--
	if s.subrated {
		g.subratedSlots--
	}
}

// --- re-split

// repartition picks the split that the paper's Method II values highest for the last window's load.
func (g *Engine) repartition() {
	for i := range g.tiers {
		t := &g.tiers[i]
		t.arrivalRate = t.arrivals / (g.now - g.repartitionedAt).Seconds()
		if t.arrivals > 0 {
			t.meanWeight = t.weight / t.arrivals
		}
		t.arrivals, t.weight = 0, 0
	}
	g.repartitionedAt = g.now
	g.partition()
}

// partition leaves requests where they are: a part that shrank below its use takes no more until it drains.
func (g *Engine) partition() {
	low, high := g.tiers[0], g.tiers[1]
	mu := 1 / max(g.meanLatency, 1e-6)
	nh, nl := bestPartition(g.concurrencyLimit, high.arrivalRate, low.arrivalRate, mu, max(high.meanWeight, low.meanWeight), low.meanWeight)
	g.partitionSize = [3]float64{nh, nl, g.concurrencyLimit - nh - nl}
}

// bestPartition searches n_h and n_l in steps of N/splitSteps, at least one. Unbounded N is all pool. Among equal
// splits the first found, that with the smaller reserves, stays.
func bestPartition(n, lh, ll, mu, vh, vl float64) (nh, nl float64) {
	if math.IsInf(n, 1) {
		return 0, 0
	}
	// a small N is split as its part of a larger whole: the doors even each other out
	scale := max(1, partitionSteps/max(n, 1e-3))
	slots := int(n*scale + 1e-9)
	lh, ll = lh*scale, ll*scale
	step := max(1, (slots+partitionSteps-1)/partitionSteps)
	best := payoff(0, 0, slots, lh, ll, mu, vh, vl)
	for h := 0; h <= slots; h += step {
		for l := 0; l+h <= slots; l += step {
			if p := payoff(h, l, slots-h-l, lh, ll, mu, vh, vl); p > best+1e-9*math.Abs(best) {
				best, nh, nl = p, float64(h)/scale, float64(l)/scale
			}
		}
	}
	return nh, nl
}

// payoff is (2)+(3)+(7)+(11)-(9) of the paper with q = v. Each truncated sum is a loss formula B(a, n): the
// mean number in service is a(1-B).
func payoff(nh, nl, nm int, lh, ll, mu, vh, vl float64) float64 {
	bh, bl := erlangLoss(lh/mu, nh)[nh], erlangLoss(ll/mu, nl)[nl]
	total := lh*(1-bh)*vh + ll*(1-bl)*vl
	fh, fl := lh*bh, ll*bl
	lossH, lossL := erlangLoss(fh/mu, nm), erlangLoss(fl/mu, nm)
	p := lossH[nm] // chance of i high ones in the pool, from i = nm down
	for i := nm; i >= 0; i-- {
		full := p * lossL[nm-i]
		total += p * (float64(i)*mu*vh + fl*(1-lossL[nm-i])*vl)
		over := lossH[(nm-i)/subratedPerSlot]
		total += full * (fh*(1-over)*(vh-vl) - fh*vh*over - fl*vl)
		if p *= float64(i) * mu / fh; fh == 0 {
			p = float64(boolToInt(i == 1)) // no high arrivals: none is there
		}
	}
	return total
}

// erlangLoss gives Erlang's loss B(a, k) for k = 0..n by its recurrence.
func erlangLoss(a float64, n int) []float64 {
	t := make([]float64, n+1)
	t[0] = 1
	for k := 1; k <= n; k++ {
		t[k] = a * t[k-1] / (float64(k) + a*t[k-1])
	}
	return t
}

// --- N

// adjustConcurrencyLimit is the design's rule, once a second, with exceptions. An attempt older than lateAt of its class's
// aim, or than lateBase times the class's best latency, counts as timed out, ended or still out: the
// client's own time-out comes only when the queues hold nothing but work that nobody waits for. Sub-rated
// attempts count as the slots they were squeezed from, else each lifts the next cut. Bad outcomes press only
// when spread, over more backends than half their number or a third of all: a few sick ones are the choice's
// business. N stays between half of what a second's answers can carry without being late, as cuts come late
// and go on after a jam, and all of it: by Little's law what is beyond must be late. At many doors a second
// holds an attempt or two: means fade over seconds, N is a fraction where that is a door's part, mostly bad
// presses however few they are, and N grows only if something has ended since its cut. Of a few dozen
// outcomes more than 5 in 100 are often bad by chance, and N takes many seconds to grow back: what presses
// must lie byChance over that. In a jam, where most are bad, it costs a second at most.
func (g *Engine) adjustConcurrencyLimit(dt float64) {
	weight := max(minSampleWeight, min(0.5, g.sendRate/minOutcomeSamples))
	for _, r := range g.requests { // counts only: the order reaches no action
		for i := range r.attempts {
			if t := &r.attempts[i]; t.outstanding && !t.countedLate && t.waited(g.now) > r.class.lateAfter() {
				g.index.RecordFailure(&t.backend.entry, g.now)
				t.countedLate = true
				g.endedAttempts++
				g.badOutcomes++
			}
		}
	}
	sick, ready := g.index.RecentFailures(g.now, seconds(0.5/weight)), g.index.ReadyLen()
	g.sustainableConcurrency += weight * (g.sustainableSum/dt - g.sustainableConcurrency)
	g.sustainableSum = 0
	floor := max(float64(max(1, ready))/float64(g.settings.GatewayCount), g.sustainableConcurrency/2)
	spread := float64(sick) > min(g.badOutcomes/2, float64(ready)/3)
	usual := badOutcomeRatio * max(g.endedAttempts, minOutcomeSamples)
	pressed := spread && g.badOutcomes > min(usual+chanceDeviations*math.Sqrt(usual), g.endedAttempts/2)
	told := g.endedAttempts > 0
	g.endedAttempts, g.badOutcomes = g.endedAttempts*(1-2*weight), g.badOutcomes*(1-2*weight)
	g.updatePartitionLoad()
	old := g.concurrencyLimit
	if pressed {
		g.endedAttempts, g.badOutcomes = 0, 0
		g.concurrencyLimit = limitDecreaseFactor * min(g.concurrencyLimit, g.partitionLoad[partitionHigh]+g.partitionLoad[partitionLow]+g.partitionLoad[partitionShared])
	} else if told {
		g.concurrencyLimit *= limitIncreaseFactor
	}
	g.sustainableWeight += weight * (1 - g.sustainableWeight)
	if g.sustainableConcurrency > 0 && (g.sustainableWeight > sustainableKnownWeight || g.responseCount >= minOutcomeSamples) {
		g.concurrencyLimit = min(g.concurrencyLimit, g.sustainableConcurrency/g.sustainableWeight)
	}
	if g.concurrencyLimit = max(g.concurrencyLimit, floor); g.concurrencyLimit == old {
		return
	}
	if math.IsInf(old, 1) || math.IsInf(g.concurrencyLimit, 1) {
		g.partition()
	} else { // between re-splits the reserves keep their shares of N
		for p := range g.partitionSize {
			g.partitionSize[p] *= g.concurrencyLimit / old
		}
	}
}
