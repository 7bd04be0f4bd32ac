package decision

// A hard limit is a token bucket of units of cost that must hold over all gateways whatever fails.
// Gateways do not see what the others forward, so each enforces a share by itself; the shares
// together are the whole.

// hardLimitShare is the most that this gateway holds of the hard limit's tokens, in units: an even
// share, or less where the rest may lie in the bucket that gateways share.
func (c *customer) hardLimitShare() float64 {
	if c.sharedBucket.Exists() {
		return c.sharedBucket.LocalShare()
	}
	return c.plan.HardLimitBurst / c.gateways
}

// withinHardLimit refills this gateway's share, and reports whether it holds enough for a cost. A
// customer that was not met since the Engine was created is taken to have used its share up just
// then, as before a restart it may have. A gateway that the customer does not use has no share.
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
