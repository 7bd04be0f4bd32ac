package decision

import "math"

const (
	// badOutcomeRatio is the share of a second's outcomes that may be bad before the limit is cut.
	badOutcomeRatio = 0.05
	// limitDecreaseFactor is what a cut leaves, of the attempts in flight; limitIncreaseFactor is
	// the growth in any other second.
	limitDecreaseFactor = 0.9
	limitIncreaseFactor = 1.1

	// lateObjectiveRatio is the share of its class's latency objective from which an attempt counts
	// as late for the limit; it does so from lateLatencyFactor times its class's best latency, if
	// that is earlier, but never inside lateObjectiveMinRatio of the objective: latencies that
	// short vary by themselves.
	lateObjectiveRatio    = 0.5
	lateLatencyFactor     = 6.0
	lateObjectiveMinRatio = 1.0 / 64

	// minOutcomeSamples is how many outcomes badOutcomeRatio is counted over at least, and how many
	// responses make the sustainable concurrency known. The weight of one second in the running
	// means is the attempts a second over this, between minSampleWeight and maxSampleWeight.
	minOutcomeSamples = 20
	// chanceDeviations is how many standard deviations over badOutcomeRatio the bad outcomes of a
	// second must be.
	chanceDeviations = 3.0
	// minSampleWeight and maxSampleWeight bound the weight of one second in the running means. The
	// lower bound smooths the means of a gateway with few outcomes a second.
	minSampleWeight = 1.0 / 4
	maxSampleWeight = 0.5
	// sustainableKnownWeight is from which weight on the sustainable concurrency bounds the limit
	// at a gateway of few responses: its first second holds hardly one.
	sustainableKnownWeight = 2.0 / 3
)

// limitState is the concurrency limit and what it is computed from.
type limitState struct {
	concurrencyLimit       float64 // attempts that may be in flight; +Inf: not limited yet
	endedAttempts          float64 // attempts ended or late, fading
	badOutcomes            float64 // those of them that ended badly or are late, fading
	sustainableSum         float64 // of this second: its responses' lateAfter, seconds
	sustainableConcurrency float64 // running mean of sustainableSum a second, in attempts
	sustainableWeight      float64 // the weight of the seconds that the mean is of, 0 to 1
	responseCount          int     // responses so far
}

// lateAfter is the age, in seconds, from which an attempt of the class counts as late for the
// concurrency limit.
func (c *class) lateAfter() float64 {
	objective := c.LatencyObjective.Seconds()
	byLatency := max(lateLatencyFactor*c.bestLatency, lateObjectiveMinRatio*objective)
	return min(lateObjectiveRatio*objective, byLatency)
}

// adjustConcurrencyLimit sets the concurrency limit: how many of this gateway's attempts may be in
// flight. It runs once a second, elapsed seconds after the last time.
//
// There is no limit at first. A second with too many bad outcomes cuts it to limitDecreaseFactor of
// what is in flight; any other second in which something ended grows it by limitIncreaseFactor. It
// stays between half and all of the sustainable concurrency: cuts come late and go on after a jam,
// and by Little's law what is beyond it must be late.
//
// Bad outcomes are attempts that a backend turned away, and late ones, ended or in flight: the
// client's own time-out comes only when the queues hold nothing but requests that nobody waits for.
// A subrated attempt counts as the part of a slot that it still holds: counted as a whole one, it
// would raise what the next cut leaves.
//
// Where there are many gateways a second holds an attempt or two: so the means fade over seconds,
// the limit is a fraction where that is a gateway's share, and it grows only if something has ended
// since its cut.
func (e *Engine) adjustConcurrencyLimit(elapsed float64) {
	weight := max(minSampleWeight, min(maxSampleWeight, e.sendRate/minOutcomeSamples))
	e.countLateAttempts()
	ready := e.index.ReadyLen()
	e.sustainableConcurrency += weight * (e.sustainableSum/elapsed - e.sustainableConcurrency)
	e.sustainableSum = 0
	least := max(float64(max(1, ready))/float64(e.settings.GatewayCount), e.sustainableConcurrency/2)
	overloaded, anyEnded := e.overloaded(weight, ready), e.endedAttempts > 0
	retained := 1 - weight/maxSampleWeight
	e.endedAttempts, e.badOutcomes = e.endedAttempts*retained, e.badOutcomes*retained
	e.updatePartitionLoad()
	previous := e.concurrencyLimit
	if overloaded {
		e.endedAttempts, e.badOutcomes = 0, 0
		load := &e.partitionLoad
		inFlight := load[partitionHigh] + load[partitionLow] + load[partitionShared]
		e.concurrencyLimit = limitDecreaseFactor * min(e.concurrencyLimit, inFlight)
	} else if anyEnded {
		e.concurrencyLimit *= limitIncreaseFactor
	}
	e.sustainableWeight += weight * (1 - e.sustainableWeight)
	known := e.sustainableWeight > sustainableKnownWeight || e.responseCount >= minOutcomeSamples
	if e.sustainableConcurrency > 0 && known {
		e.concurrencyLimit = min(e.concurrencyLimit, e.sustainableConcurrency/e.sustainableWeight)
	}
	e.concurrencyLimit = max(e.concurrencyLimit, least)
	e.resizePartitions(previous)
}

// countLateAttempts counts those that have become late while they are in flight, as if they had
// ended badly.
func (e *Engine) countLateAttempts() {
	for _, req := range e.requests { // counts only: the map's order reaches no action
		for i := range req.attempts {
			a := &req.attempts[i]
			if a.outstanding && !a.countedLate && a.waited(e.now) > req.class.lateAfter() {
				e.index.RecordFailure(&a.backend.entry, e.now)
				a.countedLate = true
				e.endedAttempts++
				e.badOutcomes++
			}
		}
	}
}

// overloaded reports whether the bad outcomes say that the backends as a whole have too much in
// flight.
//
// They must be spread over more backends than half their number, or than a third of all: a few bad
// ones are left to the selection. And as more than badOutcomeRatio of a few dozen outcomes are
// often bad by chance, and N takes many seconds to grow back, they must lie chanceDeviations above
// it, unless most are bad.
func (e *Engine) overloaded(weight float64, ready int) bool {
	failing := e.index.RecentFailures(e.now, durationOf(maxSampleWeight/weight))
	spread := float64(failing) > min(e.badOutcomes/2, float64(ready)/3)
	usual := badOutcomeRatio * max(e.endedAttempts, minOutcomeSamples)
	return spread && e.badOutcomes > min(usual+chanceDeviations*math.Sqrt(usual), e.endedAttempts/2)
}
