package quota

// NewcomerStats is what one door has seen of the customers of a plan, fading: whether those that it met first were over their rate by their
// first reading, and what is asked for. Where there are many doors most requests come from customers of whom a door knows nothing else.
type NewcomerStats struct {
	firstUsages, overQuota float64 // first readings; those over the rate
	requests, cost, weight float64 // requests; their units; their worth, whatever the plan pays for it
}

const (
	firstUsageSamples = 32  // first readings that the share over the rate is of
	requestSamples    = 256 // requests that the means are of
	priorFirstUsages  = 2   // first readings that tell of nobody over the rate, before any has come
)

// RecordRequest counts a request by the worth of one of its units.
func (n *NewcomerStats) RecordRequest(worth, units float64) {
	const fade = 1 - 1.0/requestSamples
	n.requests, n.cost, n.weight = fade*n.requests+1, fade*n.cost+units, fade*n.weight+worth*units
}

// RecordFirstUsage counts a customer's first reading, in percent of its rate.
func (n *NewcomerStats) RecordFirstUsage(use float64) {
	const fade = 1 - 1.0/firstUsageSamples
	n.firstUsages, n.overQuota = fade*n.firstUsages+1, fade*n.overQuota
	if use > 100 {
		n.overQuota++
	}
}

// OverQuotaRatio is the share of newcomers that are over their rate, from 0 to below 1.
func (n *NewcomerStats) OverQuotaRatio() float64 {
	return n.overQuota / (n.firstUsages + priorFirstUsages)
}

// OverQuotaProbability is the chance that so many units of a newcomer are beyond its quota. Who is over its rate keeps its store near empty, so that what
// is small fits in now and then, and what is large hardly ever.
func (n *NewcomerStats) OverQuotaProbability(units float64) float64 {
	if units <= 0 {
		return 0
	}
	mean := n.cost / max(n.requests, 1)
	return n.OverQuotaRatio() * units * units / (units*units + mean*mean)
}

// NetGain is what a newcomer's request gains, as a share of its worth, where one beyond the quota loses cost times its worth: 1 where nobody is
// over the rate. Of those who are, each unit sent on inside the quota, too, puts one of mean worth beyond it
// later.
func (n *NewcomerStats) NetGain(worth, units, cost float64) float64 {
	beyond := n.OverQuotaProbability(units)
	moved := n.OverQuotaRatio() * (1 - beyond) * cost // what is put beyond it, in mean units' worth
	if moved > 0 {
		moved /= n.RelativeWeight(worth)
	}
	return 1 - beyond*cost - moved
}

// RelativeWeight is a unit's worth beside the mean of what is asked for; 1 where nothing is known.
func (n *NewcomerStats) RelativeWeight(worth float64) float64 {
	if n.weight <= 0 {
		return 1
	}
	return worth * n.cost / n.weight
}
