package decision

import "time"

// How long a refused client should stay away. A refusal is given at once, so this is all that keeps its next
// try from meeting the same answer.

// retryAfterQuota is the time in which the customer's store, and its part of the ceiling's, will have filled enough
// for the units, if it asks for nothing else.
func (g *Engine) retryAfterQuota(c *customer, worth, units float64) time.Duration {
	wait := 0.0
	if c.plan.Rate > 0 {
		if c.tokens <= 0 && c.admitProbability < 1 {
			return g.settings.MaxRetryAfter // the pass share must rise first, and it moves by the meter's readings
		}
		steady, _ := c.otherGatewaysUsage(g.now)
		missing := 100 * units / c.plan.Rate
		if !c.isNewcomer() { // nothing tells how full a newcomer's store is
			missing += c.reservedTokens(worth) - c.available(g.now)
		}
		wait = missing / max(1, 100-steady)
	}
	if !g.withinHardLimit(c, units) {
		wait = max(wait, (units-c.hardLimitTokens)*c.gateways/c.plan.HardLimitRate)
	}
	if wait <= 0 { // a limit on attempts that are out: one must end
		return g.retryAfterSlot()
	}
	return seconds(min(wait, g.settings.MaxRetryAfter.Seconds()))
}

// retryAfterSlot is the time in which what is out now will mostly have been answered.
func (g *Engine) retryAfterSlot() time.Duration {
	return min(g.settings.MaxRetryAfter, seconds(g.meanLatency))
}
