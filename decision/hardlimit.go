package decision

// A hard limit is a token bucket, in units of cost, that must hold over all gateways under any
// failure. Gateways do not see what the others forward, so each enforces a share of its own, and
// the shares add up to the limit.

// hardLimitShare returns the size of this gateway's share of the hard limit: the most tokens that it
// may hold, in units. It is an even share, or less if part of that belongs to the shared bucket.
func (c *customer) hardLimitShare() float64 {
	if c.sharedBucket.Exists() {
		return c.sharedBucket.LocalShare()
	}
	return c.plan.HardLimitBurst / c.gateways
}

// withinHardLimit refills the tokens of this gateway's share, and reports whether they cover a cost. A customer's
// share is assumed to have been empty when the Engine was created, as it may have been used up
// before a restart. A gateway that the customer does not use has no share.
func (e *Engine) withinHardLimit(customer *customer, cost float64) bool {
	if customer.plan.HardLimitRate <= 0 {
		return true
	}
	elapsed := (e.now - customer.hardLimitTokensAt).Seconds()
	refill := customer.plan.HardLimitRate / customer.gateways * elapsed
	customer.hardLimitTokens = min(customer.hardLimitShare(), customer.hardLimitTokens+refill)
	customer.hardLimitTokensAt = e.now
	return customer.usesThisGateway && customer.hardLimitTokens >= cost
}
