package quota

const (
	// firstUsageSamples is the number of first usage reports that the exponentially weighted
	// over-quota ratio averages over.
	firstUsageSamples = 32
	// requestSamples is the number of requests that the weighted means of cost and weight average over.
	requestSamples = 256
	// priorFirstUsages is the number of first reports within the quota that the ratio starts from.
	priorFirstUsages = 2

	// fullRate is a usage of exactly the plan's rate, in percent.
	fullRate = 100
)

// NewcomerStats holds exponentially weighted statistics of one gateway on the customers of a plan:
// how many newcomers, which are customers that this gateway had no usage report of before, were over
// their rate by their first usage report, and the cost and weight of all requests. With many
// gateways, most requests come from customers of whom a gateway knows nothing else. The zero value
// is ready to use.
type NewcomerStats struct {
	firstUsages, overQuota float64 // weighted number of first reports; of those over the rate
	requests, cost, weight float64 // weighted sums: requests; their costs in units; cost times priority weight
}

// RecordRequest records a request's cost and its priority weight for each unit of cost.
func (n *NewcomerStats) RecordRequest(priorityWeight, cost float64) {
	const fade = 1 - 1.0/requestSamples
	n.requests = fade*n.requests + 1
	n.cost = fade*n.cost + cost
	n.weight = fade*n.weight + priorityWeight*cost
}

// RecordFirstUsage records a customer's first usage report, in percent of its rate.
func (n *NewcomerStats) RecordFirstUsage(usage float64) {
	const fade = 1 - 1.0/firstUsageSamples
	n.firstUsages, n.overQuota = fade*n.firstUsages+1, fade*n.overQuota
	if usage > fullRate {
		n.overQuota++
	}
}

// OverQuotaRatio returns the fraction of newcomers that are over their rate, from 0 to below 1.
func (n *NewcomerStats) OverQuotaRatio() float64 {
	return n.overQuota / (n.firstUsages + priorFirstUsages)
}

// OverQuotaProbability returns the probability that a newcomer's request of the given cost exceeds
// its quota. The bucket of a customer over its rate is nearly empty, so a cheap request sometimes
// fits and an expensive one hardly ever does.
func (n *NewcomerStats) OverQuotaProbability(cost float64) float64 {
	if cost <= 0 {
		return 0
	}
	mean := n.cost / max(n.requests, 1)
	return n.OverQuotaRatio() * cost * cost / (cost*cost + mean*mean)
}

// NetGain returns the expected gain of forwarding a newcomer's request, as a fraction of its weight,
// if a request over the quota loses overQuotaLoss times its weight. It is 1 if no newcomer is over
// its rate. For a newcomer that is, each unit forwarded within the quota also pushes a later unit of
// mean weight over the quota.
func (n *NewcomerStats) NetGain(priorityWeight, cost, overQuotaLoss float64) float64 {
	overQuota := n.OverQuotaProbability(cost)
	displacedLoss := n.OverQuotaRatio() * (1 - overQuota) * overQuotaLoss // relative to the mean weight
	if displacedLoss > 0 {
		displacedLoss /= n.RelativeWeight(priorityWeight)
	}
	return 1 - overQuota*overQuotaLoss - displacedLoss
}

// RelativeWeight returns a priority weight divided by the mean over all units of cost, or 1 before
// any request was recorded.
func (n *NewcomerStats) RelativeWeight(priorityWeight float64) float64 {
	if n.weight <= 0 {
		return 1
	}
	return priorityWeight * n.cost / n.weight
}
