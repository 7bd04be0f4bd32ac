package decision

import "math"

// The search for the partitions with the highest payoff, after "Dynamic quota-based admission
// control with sub-rating in multimedia servers" (Cheng, Chen, Chen), Method II. subratedPerSlot is
// the paper's alpha.

// tierLoad is the load for which partitions are evaluated, with the symbols of the paper.
type tierLoad struct {
	arrivalsHigh, arrivalsLow float64 // lambda: arrivals a second of each priority tier
	valueHigh, valueLow       float64 // v: payoff of one request of the tier
	serviceRate               float64 // mu: requests a second served by one slot
}

const (
	// partitionSteps is how many steps the search divides N into; a step is at least one slot of
	// the scaled N (see bestPartition).
	partitionSteps = 20
	// payoffTolerance: a division replaces the best one so far only if its payoff is higher by more
	// than this share of the best payoff.
	payoffTolerance = 1e-9
)

// bestPartition returns the slots for high and low priority, out of n, for which payoff is highest.
// The remaining slots are shared. If n is infinite, all of it is shared. Of divisions with equal
// payoffs, the first one found is chosen: the one with the fewest slots for high priority, and of
// those the one with the fewest for low priority.
//
// A small n is scaled up for the search, and the result is scaled down again, so it may contain
// fractions of slots: gateways with fractional partitions even each other out.
func bestPartition(n float64, load tierLoad) (highSlots, lowSlots float64) {
	if math.IsInf(n, 1) {
		return 0, 0
	}
	scale := max(1, partitionSteps/max(n, minPartitionSlots))
	slots := int(n*scale + slotTolerance)
	load.arrivalsHigh, load.arrivalsLow = load.arrivalsHigh*scale, load.arrivalsLow*scale
	step := max(1, (slots+partitionSteps-1)/partitionSteps)
	best := payoff(0, 0, slots, load)
	for high := 0; high <= slots; high += step {
		for low := 0; low+high <= slots; low += step {
			earned := payoff(high, low, slots-high-low, load)
			if earned > best+payoffTolerance*math.Abs(best) {
				best, highSlots, lowSlots = earned, float64(high)/scale, float64(low)/scale
			}
		}
	}
	return highSlots, lowSlots
}

// payoff returns the payoff a second of a division of the slots. It is the payoff of the requests in
// the partitions for high and for low priority, plus that of the requests in the shared slots, plus
// that of the high-priority requests admitted by subrating, less the loss from rejected requests:
// (2)+(3)+(7)+(11)-(9) of the paper. The paper's cost q of a rejected request is taken to be its
// payoff v. Each truncated sum in the paper is an Erlang loss formula B(a, n), the share of requests
// that is lost at n slots, where a is the arrival rate over the service rate: the mean number of
// requests in service is a(1-B).
func payoff(highSlots, lowSlots, sharedSlots int, load tierLoad) float64 {
	mu, valueHigh, valueLow := load.serviceRate, load.valueHigh, load.valueLow
	lossHigh := erlangLoss(load.arrivalsHigh/mu, highSlots)[highSlots]
	lossLow := erlangLoss(load.arrivalsLow/mu, lowSlots)[lowSlots]
	total := load.arrivalsHigh*(1-lossHigh)*valueHigh + load.arrivalsLow*(1-lossLow)*valueLow

	// Requests that find their own partition full overflow to the shared slots.
	overflowHigh, overflowLow := load.arrivalsHigh*lossHigh, load.arrivalsLow*lossLow
	sharedHigh := erlangLoss(overflowHigh/mu, sharedSlots)
	sharedLow := erlangLoss(overflowLow/mu, sharedSlots)
	probability := sharedHigh[sharedSlots] // probability of i high-priority requests in the shared slots
	for i := sharedSlots; i >= 0; i-- {
		full := probability * sharedLow[sharedSlots-i]
		total += probability * (float64(i)*mu*valueHigh + overflowLow*(1-sharedLow[sharedSlots-i])*valueLow)
		lossSubrated := sharedHigh[(sharedSlots-i)/subratedPerSlot]
		total += full * (overflowHigh*(1-lossSubrated)*(valueHigh-valueLow) -
			overflowHigh*valueHigh*lossSubrated - overflowLow*valueLow)
		if probability *= float64(i) * mu / overflowHigh; overflowHigh == 0 {
			probability = float64(boolToInt(i == 1)) // replaces NaN: without high-priority overflow, i = 0 has probability 1
		}
	}
	return total
}

// erlangLoss returns the Erlang loss formula B(a, k) for k = 0..n, computed by its recurrence.
func erlangLoss(a float64, n int) []float64 {
	loss := make([]float64, n+1)
	loss[0] = 1
	for k := 1; k <= n; k++ {
		loss[k] = a * loss[k-1] / (float64(k) + a*loss[k-1])
	}
	return loss
}
