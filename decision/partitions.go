package decision

import (
	"math"
	"slices"
	"time"
)

// The slots of the concurrency limit N are divided in three partitions: one for requests of high
// priority, one for those of low priority, and one that both share. A request takes a slot of its
// own partition, else a shared one; a request of high priority that finds neither takes one by
// subrating: requests of low priority that hold shared slots are marked as degraded, and the
// partition runs one over for each subratedPerSlot of them.

const (
	// repartitionInterval is how often the division is chosen anew, by the load since the last
	// time.
	repartitionInterval = 5 * time.Second
	// subratedPerSlot is how many requests of low priority are subrated for one of high priority,
	// once each.
	subratedPerSlot = 2
	// smallPartitionSlots is the size, in slots, below which a partition is held on average: over
	// so many mean services.
	smallPartitionSlots = 8.0
	// slotTolerance is what sums of slots may be off by, negligibleSlots the size of a partition
	// that counts as none.
	slotTolerance   = 1e-9
	negligibleSlots = 1e-6
	// minPartitionSlots stands in for a size of zero where it divides.
	minPartitionSlots = 1e-3
	// minMeanLatency does so for a mean latency, in seconds.
	minMeanLatency = 1e-6
)

// The partitions.
const (
	partitionHigh   = 0
	partitionLow    = 1
	partitionShared = 2
	partitionCount  = 3
)

// partitionState is the division of the concurrency limit, and the slots in use.
type partitionState struct {
	partitionSize   [partitionCount]float64 // slots
	partitionInUse  [partitionCount]int
	partitionLoad   [partitionCount]float64 // in use, on average where small, as of partitionLoadAt
	partitionLoadAt time.Duration
	subratedSlots   int
	subratable      []*slot // shared ones of low priority, not subrated, oldest first
	tiers           [2]tier // low, high
	repartitionedAt time.Duration
}

// slot is held by a request from its admission until its last attempt has ended.
type slot struct {
	partition int
	subrated  bool
	released  bool
}

// tier is the load of one priority tier.
type tier struct {
	arrivals, weight        float64 // since the last division: requests, and the sum of their weights
	arrivalRate, meanWeight float64 // in the time before it: arrivals a second, mean weight
}

// acquireSlot returns a slot of the tier's own partition, else of the shared one, else by
// subrating, or nil. A subrated request counts 1-1/subratedPerSlot slots.
func (e *Engine) acquireSlot(high bool) *slot {
	own := partitionLow
	if high {
		own = partitionHigh
	}
	e.updatePartitionLoad()
	partition := partitionShared
	if e.hasRoom(own) {
		partition = own
	} else if !e.hasRoom(partitionShared) && (!high || !e.subrateOldest()) {
		return nil
	}
	s := &slot{partition: partition}
	e.partitionInUse[partition]++
	if partition == partitionShared && !high && !math.IsInf(e.concurrencyLimit, 1) {
		e.subratable = append(e.subratable, s)
	}
	return s
}

// releaseSlot gives a slot back.
func (e *Engine) releaseSlot(s *slot) {
	s.released = true
	e.partitionInUse[s.partition]--
	if s.subrated {
		e.subratedSlots--
	}
}

// updatePartitionLoad brings partitionLoad up to now. At one of many gateways a partition is a few
// slots, or less than one; as gateways even each other out, such a small one is held on average
// instead of at every moment.
func (e *Engine) updatePartitionLoad() {
	elapsed := (e.now - e.partitionLoadAt).Seconds()
	e.partitionLoadAt = e.now
	shared := float64(e.partitionInUse[partitionShared]) - float64(e.subratedSlots)/subratedPerSlot
	inUse := [partitionCount]float64{
		partitionHigh:   float64(e.partitionInUse[partitionHigh]),
		partitionLow:    float64(e.partitionInUse[partitionLow]),
		partitionShared: shared,
	}
	for p, current := range inUse {
		size := e.partitionSize[p]
		window := e.bestLatency * (smallPartitionSlots/max(size, minPartitionSlots) - 1) // seconds
		if size >= smallPartitionSlots {
			e.partitionLoad[p] = current
		} else {
			e.partitionLoad[p] = current + (e.partitionLoad[p]-current)*math.Exp(-elapsed/window)
		}
	}
}

// hasRoom reports whether a partition has room for one more: a whole slot, or in a small one its
// share of one.
func (e *Engine) hasRoom(partition int) bool {
	size := e.partitionSize[partition]
	needed := min(1, size/smallPartitionSlots)
	return e.partitionLoad[partition]+needed <= size+slotTolerance && size > negligibleSlots
}

// subrateOldest subrates the oldest requests of low priority that hold shared slots, and reports
// whether there were enough and the partition is not over its size already.
func (e *Engine) subrateOldest() bool {
	e.subratable = slices.DeleteFunc(e.subratable, func(s *slot) bool { return s.released })
	full := e.partitionLoad[partitionShared] > e.partitionSize[partitionShared]+slotTolerance
	if len(e.subratable) < subratedPerSlot || full {
		return false
	}
	for _, s := range e.subratable[:subratedPerSlot] {
		s.subrated = true
	}
	e.subratedSlots += subratedPerSlot
	e.subratable = slices.Delete(e.subratable, 0, subratedPerSlot)
	return true
}

// repartition divides N anew by the load since the last time.
func (e *Engine) repartition() {
	for i := range e.tiers {
		t := &e.tiers[i]
		t.arrivalRate = t.arrivals / (e.now - e.repartitionedAt).Seconds()
		if t.arrivals > 0 {
			t.meanWeight = t.weight / t.arrivals
		}
		t.arrivals, t.weight = 0, 0
	}
	e.repartitionedAt = e.now
	e.partition()
}

// partition divides N by the tiers' last load. Requests stay in their slots: a partition that
// shrank below its use gives out none until it drains.
func (e *Engine) partition() {
	low, high := e.tiers[0], e.tiers[1]
	serviceRate := 1 / max(e.meanLatency, minMeanLatency)
	highSlots, lowSlots := bestPartition(e.concurrencyLimit, tierLoad{
		arrivalsHigh: high.arrivalRate,
		arrivalsLow:  low.arrivalRate,
		serviceRate:  serviceRate,
		valueHigh:    max(high.meanWeight, low.meanWeight),
		valueLow:     low.meanWeight,
	})
	e.partitionSize = [partitionCount]float64{
		partitionHigh:   highSlots,
		partitionLow:    lowSlots,
		partitionShared: e.concurrencyLimit - highSlots - lowSlots,
	}
}

// resizePartitions follows a change of N from previous: between two divisions the partitions keep
// their shares of it.
func (e *Engine) resizePartitions(previous float64) {
	limit := e.concurrencyLimit
	if limit == previous {
		return
	}
	if math.IsInf(previous, 1) || math.IsInf(limit, 1) {
		e.partition()
		return
	}
	for p := range e.partitionSize {
		e.partitionSize[p] *= limit / previous
	}
}
