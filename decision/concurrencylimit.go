package decision

import "math"

const (
	// badOutcomeRatio is the share of bad outcomes in a second above which the limit is decreased.
	badOutcomeRatio = 0.05
	// limitDecreaseFactor is the new limit after a decrease, as a share of the attempts in flight.
	// limitIncreaseFactor is the growth in any other second.
	limitDecreaseFactor = 0.9
	limitIncreaseFactor = 1.1

	// An attempt counts as late from lateObjectiveRatio times its class's latency objective on, or
	// from lateLatencyFactor times its class's best latency on, if that is earlier. It is never
	// late before lateObjectiveMinRatio times the objective, as latencies that short vary too much
	// without any queueing.
	lateObjectiveRatio    = 0.5
	lateLatencyFactor     = 6.0
	lateObjectiveMinRatio = 1.0 / 64

	// minOutcomeSamples is a number of outcomes that is enough for an estimate. It has three uses:
	// badOutcomeRatio is applied to at least this many outcomes, even if there were fewer; this
	// many responses make the sustainable concurrency reliable; and the weight of one second in the
	// moving averages is the number of attempts a second divided by it, within minSampleWeight and
	// maxSampleWeight.
	minOutcomeSamples = 20
	// badOutcomeDeviations is by how many standard deviations the bad outcomes of a second must
	// exceed badOutcomeRatio.
	badOutcomeDeviations = 3.0
	// minSampleWeight and maxSampleWeight bound the weight of one second in the moving averages.
	// The lower bound smooths the averages of a gateway with few outcomes a second.
	minSampleWeight = 1.0 / 4
	maxSampleWeight = 0.5
	// minSustainableWeight is the sustainableWeight above which the sustainable concurrency is
	// reliable at a gateway that has not had minOutcomeSamples responses yet. Before that, too few
	// seconds have been averaged: its first second has hardly one response.
	minSustainableWeight = 2.0 / 3
)

// limitState is the concurrency limit and the statistics that it is computed from.
type limitState struct {
	concurrencyLimit float64 // how many attempts may be in flight; +Inf: not limited yet
	endedAttempts    float64 // attempts that ended or became late, decaying
	badOutcomes      float64 // those of them with a bad outcome, decaying
	sustainableSum   float64 // sum of lateAfter over this second's successful responses, seconds
	// sustainableConcurrency is the moving average of sustainableSum a second: how many attempts may
	// be in flight so that, at the present rate of responses, none of them becomes late.
	sustainableConcurrency float64
	sustainableWeight      float64 // sum of the weights in that average, 0 to 1
	responseCount          int     // successful responses so far
}

// lateAfter returns the latency, in seconds, from which an attempt of the class counts as late for
// the concurrency limit.
func (c *class) lateAfter() float64 {
	objective := c.LatencyObjective.Seconds()
	byLatency := max(lateLatencyFactor*c.bestLatency, lateObjectiveMinRatio*objective)
	return min(lateObjectiveRatio*objective, byLatency)
}

// adjustConcurrencyLimit sets the concurrency limit, the number of this gateway's attempts that may
// be in flight. It runs once a second, elapsed seconds after the last time.
//
// There is no limit at first. A second with too many bad outcomes sets it to limitDecreaseFactor
// times the attempts in flight, or times the previous limit if that is lower. Any other second
// multiplies it by limitIncreaseFactor, provided that an outcome is still counted: counts decay over
// some seconds, and a decrease clears them. It is at least half the sustainable concurrency, and at
// least this gateway's share of one attempt per ready backend. Once the sustainable concurrency is
// reliable it is also the upper bound, divided by sustainableWeight, as the average starts at zero
// and would otherwise be too low at first. The lower bound is needed because decreases start late
// and continue after an overload has ended. The upper bound is Little's law: attempts in flight
// beyond it must be late.
//
// Bad outcomes are attempts that a backend rejected and attempts that are late, whether ended or in
// flight. Client timeouts would come too late as a signal: they occur only once the queues hold
// nothing but requests whose clients have stopped waiting. A subrated attempt counts as the part of
// a slot that it still holds; counted as a whole slot, it would raise the limit that the next
// decrease sets.
//
// With many gateways, a gateway has only an attempt or two a second. Therefore the averages span
// several seconds, and the limit may be a fraction of an attempt. The averages span
// maxSampleWeight/weight seconds: at a gateway with many attempts, counts of outcomes are cleared
// each second.
func (e *Engine) adjustConcurrencyLimit(elapsed float64) {
	weight := max(minSampleWeight, min(maxSampleWeight, e.sendRate/minOutcomeSamples))
	e.countLateAttempts()
	ready := e.index.ReadyLen()
	e.sustainableConcurrency += weight * (e.sustainableSum/elapsed - e.sustainableConcurrency)
	e.sustainableSum = 0
	least := max(float64(max(1, ready))/float64(e.settings.GatewayCount), e.sustainableConcurrency/2)
	overloaded, anyEnded := e.overloaded(weight, ready), e.endedAttempts > 0
	retained := 1 - weight/maxSampleWeight // 0 at a gateway with many attempts: only one second counts
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
	sustainableReliable := e.sustainableWeight > minSustainableWeight || e.responseCount >= minOutcomeSamples
	if e.sustainableConcurrency > 0 && sustainableReliable {
		e.concurrencyLimit = min(e.concurrencyLimit, e.sustainableConcurrency/e.sustainableWeight)
	}
	e.concurrencyLimit = max(e.concurrencyLimit, least)
	e.resizePartitions(previous)
}

// countLateAttempts counts attempts that have become late in flight as bad outcomes.
func (e *Engine) countLateAttempts() {
	for _, req := range e.requests { // independent of the map's order
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

// overloaded reports whether the bad outcomes show that the backends as a whole have too many
// attempts in flight.
//
// The backends with a bad outcome in the last maxSampleWeight/weight seconds must number more than
// half the bad outcomes, or more than a third of the ready backends: if there are only a few, the
// selection avoids them. The bad outcomes must also exceed
// badOutcomeRatio by badOutcomeDeviations standard deviations, unless more than half of all
// outcomes are bad: among a few dozen outcomes badOutcomeRatio is often exceeded by chance, and the
// limit takes many seconds to recover from a decrease.
func (e *Engine) overloaded(weight float64, ready int) bool {
	failing := e.index.RecentFailures(e.now, durationOf(maxSampleWeight/weight))
	widespread := float64(failing) > min(e.badOutcomes/2, float64(ready)/3)
	expected := badOutcomeRatio * max(e.endedAttempts, minOutcomeSamples)
	return widespread && e.badOutcomes > min(expected+badOutcomeDeviations*math.Sqrt(expected), e.endedAttempts/2)
}
