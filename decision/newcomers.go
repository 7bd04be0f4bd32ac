package decision

// With many gateways, each sees most customers only once or twice. Of a newcomer a gateway knows nothing but its
// requests; what is known of the newcomers of its plan is in NewcomerStats of package quota.

const (
	// maxNewcomerRejectRatio is the share of newcomers' requests that is rejected if their net gain
	// (see NetGain of package quota), a share of a request's weight, is zero or less. It is below 1
	// so that usage reports of the customers of every class keep arriving.
	maxNewcomerRejectRatio = 0.8
	// newcomerGainFactor is by how much that share falls as the net gain rises from 0 to 1.
	newcomerGainFactor = 2
	// newcomerSlack is how many tokens a newcomer's bucket holds beyond the cost of its first
	// request and the quota margin, in percent-seconds.
	newcomerSlack = 1
)

// isNewcomer reports whether a customer uses many gateways and no usage report for it has arrived,
// so that its use at the other gateways is unknown.
func (c *customer) isNewcomer() bool {
	return c.meteredSeconds == 0 && c.gateways > smallGatewaySpread && c.usagePeriod > 0
}

// rejectsNewcomer decides at random whether a newcomer's request is rejected because forwarding it
// gains too little. The gain is NetGain of package quota: 1, less the expected loss if the request
// is over the quota, less that of later requests that are over the quota because this one is
// forwarded. Both are relative to the request's weight. ClassRejections bounds the share of a class's
// requests that are rejected.
func (e *Engine) rejectsNewcomer(customer *customer, class *class, cost float64) bool {
	if !customer.isNewcomer() {
		return false
	}
	// What a request over the quota loses, as a multiple of its weight.
	overQuotaLoss := 1 - customer.plan.OverQuotaWeightFactor + customer.plan.OverQuotaCostFactor
	gain := customer.newcomerStats.NetGain(class.PriorityWeight, cost, overQuotaLoss)
	if e.rng.Float64() >= maxNewcomerRejectRatio-newcomerGainFactor*max(0, gain) {
		return false
	}
	return customer.plan.Rate <= 0 || class.newcomerRejections.TryReject()
}
