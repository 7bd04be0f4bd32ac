package quota

const (
	// firstUsageSamples is how many first usage reports the over-quota ratio is a mean of, by
	// fading weights.
	firstUsageSamples = 32
	// requestSamples is the same for the means of cost and weight, in requests.
	requestSamples = 256
	// priorFirstUsages is how many first reports within the quota are assumed before any has come.
	priorFirstUsages = 2

	// fullRate is a usage of exactly the plan's rate, in percent.
	fullRate = 100
)

// NewcomerStats is what one gateway has seen of the customers of a plan, fading: whether those that
// it met first were over their rate by their first usage report, and what requests cost and weigh.
// Where there are many gateways, most requests come from customers of whom a gateway knows nothing
// else. The zero value has seen none.
type NewcomerStats struct {
	firstUsages, overQuota float64 // first reports; those over the rate
	requests, cost, weight float64 // requests; the sum of their costs in units; of cost times priority weight
}

// RecordRequest counts a request of a cost, and of a priority weight a unit.
func (n *NewcomerStats) RecordRequest(priorityWeight, cost float64) {
	const fade = 1 - 1.0/requestSamples
	n.requests = fade*n.requests + 1
	n.cost = fade*n.cost + cost
	n.weight = fade*n.weight + priorityWeight*cost
}

// RecordFirstUsage counts a customer's first usage report, in percent of its rate.
func (n *NewcomerStats) RecordFirstUsage(usage float64) {
	const fade = 1 - 1.0/firstUsageSamples
	n.firstUsages, n.overQuota = fade*n.firstUsages+1, fade*n.overQuota
	if usage > fullRate {
		n.overQuota++
	}
}

// OverQuotaRatio returns the share of newcomers that are over their rate, from 0 to below 1.
func (n *NewcomerStats) OverQuotaRatio() float64 {
	return n.overQuota / (n.firstUsages + priorFirstUsages)
}

// OverQuotaProbability returns the chance that a newcomer's request of a cost is beyond its quota.
// A customer over its rate keeps its bucket near empty, so that what costs little fits in now and
// then, and what costs much hardly ever.
func (n *NewcomerStats) OverQuotaProbability(cost float64) float64 {
	if cost <= 0 {
		return 0
	}
	mean := n.cost / max(n.requests, 1)
	return n.OverQuotaRatio() * cost * cost / (cost*cost + mean*mean)
}

// NetGain returns what forwarding a newcomer's request gains, as a share of its weight, where one
// beyond the quota loses overQuotaLoss times its weight: 1 where no newcomer is over its rate. Of
// those that are, a unit forwarded inside the quota, too, puts one of mean weight beyond it later.
func (n *NewcomerStats) NetGain(priorityWeight, cost, overQuotaLoss float64) float64 {
	beyond := n.OverQuotaProbability(cost)
	displaced := n.OverQuotaRatio() * (1 - beyond) * overQuotaLoss // in units of mean weight
	if displaced > 0 {
		displaced /= n.RelativeWeight(priorityWeight)
	}
	return 1 - beyond*overQuotaLoss - displaced
}

// RelativeWeight returns a priority weight beside the mean of all requests; 1 where nothing is
// known.
func (n *NewcomerStats) RelativeWeight(priorityWeight float64) float64 {
	if n.weight <= 0 {
		return 1
	}
	return priorityWeight * n.cost / n.weight
}
