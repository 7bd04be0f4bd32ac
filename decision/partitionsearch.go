package decision

import "math"

// The search for the partitions that earn most, after "Dynamic quota-based admission control with
// sub-rating in multimedia servers" (Cheng, Chen, Chen), Method II. subratedPerSlot is its alpha.

// tierLoad is the load that partitions are valued by.
type tierLoad struct {
	arrivalsHigh, arrivalsLow float64 // lambda: arrivals a second of the priority tiers
	valueHigh, valueLow       float64 // v: what one request of the tier earns
	serviceRate               float64 // mu: requests a second that one slot serves
}

const (
	// partitionSteps is how many steps N is searched in; each is one slot at least.
	partitionSteps = 20
	// payoffTolerance is the share of the best payoff that a partition must earn over it.
	payoffTolerance = 1e-9
)

// bestPartition returns the slots for high and low priority, of n, for which payoff is highest. The
// rest is shared. All of an unlimited n is shared. Among equal partitions that with the smaller
// reserves wins, as it is found first.
//
// A small n is divided as its part of a larger whole, as gateways even each other out; so the
// result may be fractions.
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

// payoff is what a partition earns a second: (2)+(3)+(7)+(11)-(9) of the paper, with a rejected
// request costing what it would have earned (q = v). Each truncated sum of the paper is a loss
// formula B(a, n): the mean number in service is a(1-B).
func payoff(highSlots, lowSlots, sharedSlots int, load tierLoad) float64 {
	mu, valueHigh, valueLow := load.serviceRate, load.valueHigh, load.valueLow
	lossHigh := erlangLoss(load.arrivalsHigh/mu, highSlots)[highSlots]
	lossLow := erlangLoss(load.arrivalsLow/mu, lowSlots)[lowSlots]
	total := load.arrivalsHigh*(1-lossHigh)*valueHigh + load.arrivalsLow*(1-lossLow)*valueLow

	// What finds its own partition full arrives at the shared slots.
	overflowHigh, overflowLow := load.arrivalsHigh*lossHigh, load.arrivalsLow*lossLow
	sharedHigh := erlangLoss(overflowHigh/mu, sharedSlots)
	sharedLow := erlangLoss(overflowLow/mu, sharedSlots)
	chance := sharedHigh[sharedSlots] // of i high ones in the shared slots, from i = sharedSlots down
	for i := sharedSlots; i >= 0; i-- {
		full := chance * sharedLow[sharedSlots-i]
		total += chance * (float64(i)*mu*valueHigh + overflowLow*(1-sharedLow[sharedSlots-i])*valueLow)
		lossSubrated := sharedHigh[(sharedSlots-i)/subratedPerSlot]
		total += full * (overflowHigh*(1-lossSubrated)*(valueHigh-valueLow) -
			overflowHigh*valueHigh*lossSubrated - overflowLow*valueLow)
		if chance *= float64(i) * mu / overflowHigh; overflowHigh == 0 {
			chance = float64(boolToInt(i == 1)) // without high arrivals none is there
		}
	}
	return total
}

// erlangLoss returns Erlang's loss formula B(a, k) for k = 0..n, by its recurrence.
func erlangLoss(a float64, n int) []float64 {
	loss := make([]float64, n+1)
	loss[0] = 1
	for k := 1; k <= n; k++ {
		loss[k] = a * loss[k-1] / (float64(k) + a*loss[k-1])
	}
	return loss
}
