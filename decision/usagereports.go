package decision

import (
	"slices"
	"time"
)

// A usage report gives a customer's use over all gateways in a completed period. Reports arrive
// with responses, so many responses repeat the same report, and none arrive while a customer is
// rejected.

// onUsageReport applies a usage report, in percent of the plan's rate.
func (e *Engine) onUsageReport(customer *customer, usage float64) {
	period := e.settings.UsagePeriod
	if period <= 0 || !customer.isNewReport(e.now, period, usage) {
		return
	}
	first := customer.isNewcomer()
	customer.usageAt, customer.lastUsage = e.now, usage
	customer.applyReport(e.now, period, usage)
	if first {
		customer.onFirstUsageReport(usage)
	}
	if customer.tokens > 0 || usage <= 0 {
		customer.admitProbability = 1
	} else {
		customer.admitProbability = min(1, customer.admitProbability*fullRatePercent/usage)
	}
}

// isNewReport reports whether a usage report covers a period that has not been counted yet.
// Responses repeat reports, with jitter and out of order: a repeat is recognized by its value and
// by the time since the last report. Except for the first one, a report is not counted for a period that
// has not ended: otherwise tokensAt would run ahead of the clock, and the bucket would not refill any more.
func (c *customer) isNewReport(now, period time.Duration, usage float64) bool {
	if c.meteredSeconds <= 0 {
		return true
	}
	sinceLast := now - c.usageAt
	repeated := usage == c.lastUsage && sinceLast < period
	return sinceLast >= period/2 && !repeated && c.tokensAt+period <= now
}

// applyReport advances the bucket to the end of the period that a report covers, which is assumed
// to have ended usageDelayPeriods ago. In a gap between that period and the last one, only this
// gateway's own requests are known; the use at the others is estimated.
func (c *customer) applyReport(now, period time.Duration, usage float64) {
	from := max(c.tokensAt, now-(1+usageDelayPeriods)*period)
	if c.plan.Rate > 0 {
		c.tokens = c.availableTokens(from)
	}
	c.tokensAt = from + period
	own := 0.0
	c.debits = slices.DeleteFunc(c.debits, func(d debit) bool {
		if d.at > from && d.at <= c.tokensAt {
			own += d.amount
		}
		return d.at <= c.tokensAt
	})
	c.meteredUsage = c.retentionFactor*c.meteredUsage + usage*period.Seconds()
	c.meteredSeconds = c.retentionFactor*c.meteredSeconds + period.Seconds()
	c.ownUsage = c.retentionFactor*c.ownUsage + own
	c.tokens = max(0, min(c.burstTokens(), c.tokens+(fullRatePercent-usage)*period.Seconds()))
}

// onFirstUsageReport sets a newcomer's tokens by its first usage report, which shows what the
// customer has done at other gateways so far. One of many gateways sees most customers only once or
// twice, and a customer above its rate has usually been so for a long time, so its bucket is
// assumed to be empty; any other newcomer gets at least twice the quota margin. A use that the last
// request alone may have caused does not count as above the rate.
func (c *customer) onFirstUsageReport(usage float64) {
	c.newcomerStats.RecordFirstUsage(usage)
	c.tokens = max(c.tokens, 2*quotaMarginRatio*c.burstTokens())
	if c.plan.Rate > 0 && usage > fullRatePercent+fullRatePercent*c.lastCost/(c.plan.Rate*c.usagePeriod) {
		c.tokens = 0
	}
}
