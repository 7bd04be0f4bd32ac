package decision

import "time"

// Computes the Retry-After of rejections. Rejections are immediate, so only Retry-After keeps a
// client from trying again at once and being rejected again.

// retryAfterQuota returns the time until the customer's quota and this gateway's share of its hard
// limit will have refilled enough for a cost, if the customer sends nothing else. It is at most
// Settings.MaxRetryAfter.
func (e *Engine) retryAfterQuota(customer *customer, priorityWeight, cost float64) time.Duration {
	wait := 0.0 // seconds
	if customer.plan.Rate > 0 {
		if customer.tokens <= 0 && customer.admitProbability < 1 {
			return e.settings.MaxRetryAfter // until a usage report raises the probability, or it no longer applies
		}
		steadyPercent, _ := customer.otherGatewaysUsage(e.now)
		missing := customer.quotaTokens(cost)
		if !customer.isNewcomer() { // the level of a newcomer's bucket is unknown
			missing += customer.reservedTokens(priorityWeight) - customer.availableTokens(e.now)
		}
		wait = missing / max(1, fullRatePercent-steadyPercent)
	}
	if !e.withinHardLimit(customer, cost) {
		wait = max(wait, (cost-customer.hardLimitTokens)*customer.gateways/customer.plan.HardLimitRate)
	}
	// Waiting for a refill does not help: the request was rejected for another reason, such as
	// MaxInFlight, the admit probability of a plan without a rate, or a hard limit of which this
	// gateway has no share because the customer does not use it.
	if wait <= 0 {
		return e.retryAfterMeanLatency()
	}
	return durationOf(min(wait, e.settings.MaxRetryAfter.Seconds()))
}

// retryAfterMeanLatency returns the mean latency, in which most attempts now in flight will have
// ended. It is at most Settings.MaxRetryAfter.
func (e *Engine) retryAfterMeanLatency() time.Duration {
	return min(e.settings.MaxRetryAfter, durationOf(e.meanLatency))
}
