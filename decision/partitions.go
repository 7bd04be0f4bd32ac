package decision

import (
	"math"
	"slices"
	"time"
)

// The slots of the concurrency limit (N) are divided into three partitions: one for high-priority
// requests, one for low-priority ones, and one shared by both. A request takes a slot of its own
// partition, else a shared one. If neither is free, a high-priority request may take a shared slot
// by subrating: subratedPerSlot low-priority requests in shared slots are marked, and from then on
// count together as one slot less than their number, so that the partition holds one request more.

const (
	// repartitionInterval is how often the division is recomputed from the load since the previous
	// repartition.
	repartitionInterval = 5 * time.Second
	// subratedPerSlot is how many low-priority requests are subrated for one high-priority request.
	// Each is subrated at most once.
	subratedPerSlot = 2
	// smallPartitionSlots is the size, in slots, below which a partition's limit applies to its
	// average load instead of its current load. The smaller the partition, the more multiples of
	// bestLatency the average spans.
	smallPartitionSlots = 8.0
	// slotTolerance is the rounding tolerance for sums of slots. A partition of at most
	// negligibleSlots counts as having no slots.
	slotTolerance   = 1e-9
	negligibleSlots = 1e-6
	// minPartitionSlots replaces a partition size of zero, which would be divided by.
	minPartitionSlots = 1e-3
	// minMeanLatency replaces a mean latency of zero, which would be divided by; in seconds.
	minMeanLatency = 1e-6
)

// The partitions. The indexes are unrelated to those of partitionState.tiers.
const (
	partitionHigh   = 0
	partitionLow    = 1
	partitionShared = 2
	partitionCount  = 3
)

// partitionState is the division of the concurrency limit, and the slots in use.
type partitionState struct {
	partitionSize    [partitionCount]float64 // slots
	partitionInUse   [partitionCount]int
	partitionLoad    [partitionCount]float64 // slots in use, averaged in small partitions, as of partitionLoadAt
	partitionLoadAt  time.Duration
	subratedRequests int
	subratable       []*slot // shared slots of low-priority requests, not subrated, oldest first
	tiers            [2]tier // index 0: low, 1: high
	repartitionedAt  time.Duration
}

// slot is held by a request from its admission until its last attempt has ended.
type slot struct {
	partition int
	subrated  bool
	released  bool
}

// tier is the load of one priority tier.
type tier struct {
	arrivals, weight float64 // since the last repartition: requests, and the sum of their weights
	// In the interval that ended with the last repartition: arrivals a second, and mean weight. If
	// there were no arrivals, meanWeight stays that of an earlier interval.
	arrivalRate, meanWeight float64
}

// acquireSlot returns a slot of the tier's own partition, else of the shared one, else one gained
// by subrating, or nil. A subrated request counts as 1-1/subratedPerSlot slots. While there is no
// limit there is always room, and no request is listed as subratable.
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

// releaseSlot frees a slot.
func (e *Engine) releaseSlot(s *slot) {
	s.released = true
	e.partitionInUse[s.partition]--
	if s.subrated {
		e.subratedRequests--
	}
}

// updatePartitionLoad updates partitionLoad to the current time. With many gateways a partition is
// only a few slots, or less than one. The limit of such a small partition applies to its average
// load, as the fluctuations of the gateways cancel each other out.
func (e *Engine) updatePartitionLoad() {
	elapsed := (e.now - e.partitionLoadAt).Seconds()
	e.partitionLoadAt = e.now
	shared := float64(e.partitionInUse[partitionShared]) - float64(e.subratedRequests)/subratedPerSlot
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

// hasRoom reports whether a partition can take one more request: it has a whole slot left, or, if
// it is smaller than smallPartitionSlots, size/smallPartitionSlots of a slot.
func (e *Engine) hasRoom(partition int) bool {
	size := e.partitionSize[partition]
	needed := min(1, size/smallPartitionSlots)
	return e.partitionLoad[partition]+needed <= size+slotTolerance && size > negligibleSlots
}

// subrateOldest subrates the oldest low-priority requests in shared slots. It does nothing and
// returns false if there are too few of them, or if the shared partition is already above its size,
// so that subrating does not make room for a further request.
func (e *Engine) subrateOldest() bool {
	e.subratable = slices.DeleteFunc(e.subratable, func(s *slot) bool { return s.released })
	overCommitted := e.partitionLoad[partitionShared] > e.partitionSize[partitionShared]+slotTolerance
	if len(e.subratable) < subratedPerSlot || overCommitted {
		return false
	}
	for _, s := range e.subratable[:subratedPerSlot] {
		s.subrated = true
	}
	e.subratedRequests += subratedPerSlot
	e.subratable = slices.Delete(e.subratable, 0, subratedPerSlot)
	return true
}

// repartition recomputes how N is divided between the partitions, from the load since the previous
// repartition.
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

// partition divides N between the partitions according to the last measured load of the tiers. A
// high-priority request is taken to be worth at least as much as a low-priority one, also when the
// mean weights are of different intervals. Requests keep their slots: a partition that is now
// smaller than its load admits nothing until it has drained.
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

// resizePartitions scales the partitions when N has changed from previous, so that they keep their
// shares of it until the next repartition.
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
