package decision

import "time"

// When a rejected client is told to come back. A rejection is immediate, so this is all that keeps
// the client's next try from meeting the same answer.

// retryAfterQuota returns the time in which the customer's quota, and this gateway's share of its
// hard limit, will have filled enough for a cost, if the customer asks for nothing else. It is
// Settings.MaxRetryAfter at the most.
func (e *Engine) retryAfterQuota(customer *customer, priorityWeight, cost float64) time.Duration {
	wait := 0.0 // seconds
	if customer.plan.Rate > 0 {
		if customer.tokens <= 0 && customer.admitProbability < 1 {
			return e.settings.MaxRetryAfter // the probability must rise first, and only reports raise it
		}
		steady, _ := customer.otherGatewaysUsage(e.now)
		missing := customer.percentSeconds(cost)
		if !customer.isNewcomer() { // how full a newcomer's bucket is, is not known
			missing += customer.reservedTokens(priorityWeight) - customer.available(e.now)
		}
		wait = missing / max(1, fullRate-steady)
	}
	if !e.withinHardLimit(customer, cost) {
		wait = max(wait, (cost-customer.hardLimitTokens)*customer.gateways/customer.plan.HardLimitRate)
	}
	// No refill is waited for: MaxInFlight was the limit, or the customer does not use this gateway.
	if wait <= 0 {
		return e.retryAfterSlot()
	}
	return durationOf(min(wait, e.settings.MaxRetryAfter.Seconds()))
}

// retryAfterSlot returns the time in which most of what is in flight now will have ended.
func (e *Engine) retryAfterSlot() time.Duration {
	return min(e.settings.MaxRetryAfter, durationOf(e.meanLatency))
}
