package decision

import (
	"slices"
	"time"
)

// Usage reports tell what a customer used over all gateways in a period that is over. They come
// with responses, so many responses repeat one report, and none come while a customer is rejected.

// onUsage counts a usage report, in percent of the plan's rate.
func (e *Engine) onUsage(customer *customer, usage float64) {
	period := e.settings.UsagePeriod
	if period <= 0 || !customer.isNewReport(e.now, period, usage) {
		return
	}
	first := customer.isNewcomer()
	customer.usageAt, customer.lastUsage = e.now, usage
	customer.settlePeriod(e.now, period, usage)
	if first {
		customer.onFirstUsage(usage)
	}
	if customer.tokens > 0 || usage <= 0 {
		customer.admitProbability = 1
	} else {
		customer.admitProbability = min(1, customer.admitProbability*fullRate/usage)
	}
}

// isNewReport reports whether a usage report tells of a period that has not been counted. Many
// responses repeat one report, and they come with jitter and out of order: a repeat is told by its
// value and by the time. A report counts for no period that has not ended; else tokensAt would run
// ahead of the clock, and the bucket would not fill any more.
func (c *customer) isNewReport(now, period time.Duration, usage float64) bool {
	if c.meteredSeconds <= 0 {
		return true
	}
	sinceLast := now - c.usageAt
	repeated := usage == c.lastUsage && sinceLast < period
	return sinceLast >= period/2 && !repeated && c.tokensAt+period <= now
}

// settlePeriod moves the bucket on to the end of the period that a report tells of, which is taken
// to have ended usageDelayPeriods ago. Of a gap before it only this gateway's own requests are
// known.
func (c *customer) settlePeriod(now, period time.Duration, usage float64) {
	from := max(c.tokensAt, now-(1+usageDelayPeriods)*period)
	if c.plan.Rate > 0 {
		c.tokens = c.available(from)
	}
	c.tokensAt = from + period
	own := 0.0
	c.debits = slices.DeleteFunc(c.debits, func(d debit) bool {
		if d.at > from && d.at <= c.tokensAt {
			own += d.amount
		}
		return d.at <= c.tokensAt
	})
	c.meteredUsage = c.retention*c.meteredUsage + usage*period.Seconds()
	c.meteredSeconds = c.retention*c.meteredSeconds + period.Seconds()
	c.ownUsage = c.retention*c.ownUsage + own
	c.tokens = max(0, min(c.burstTokens(), c.tokens+(fullRate-usage)*period.Seconds()))
}

// onFirstUsage takes a newcomer's first report as what it has done at the other gateways until now:
// one of many gateways meets most customers once or twice, and a customer over its rate has mostly
// been so for long, so its bucket is empty. What one request makes of a period's use tells nothing.
func (c *customer) onFirstUsage(usage float64) {
	c.newcomers.RecordFirstUsage(usage)
	c.tokens = max(c.tokens, 2*quotaMarginRatio*c.burstTokens())
	if c.plan.Rate > 0 && usage > fullRate+fullRate*c.lastCost/(c.plan.Rate*c.usagePeriod) {
		c.tokens = 0
	}
}
