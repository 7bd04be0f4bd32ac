package decision

import (
	"math"
	"slices"
	"time"
)

// A plan's quota is one token bucket over all gateways: Plan.Rate refills it, up to Plan.Burst.
// Tokens are measured in percent-seconds, the unit in which usage reports give a customer's use
// (percent of the plan's rate): one second of use at exactly the rate takes 100 tokens, so the bucket
// is refilled at 100 tokens a second.
//
// A gateway learns the use of a customer over all gateways from usage reports. They arrive with
// responses and describe a period that ended some time ago. What this gateway itself has forwarded
// since that period is known (debits); what the other gateways have forwarded is estimated.
//
// If the bucket is empty according to the reports, requests are admitted at random with the admit
// probability, which is adjusted with each report.

const (
	// fullRatePercent is a use of exactly the plan's rate, in percent. It is also the refill rate of
	// the bucket, in tokens a second.
	fullRatePercent = 100.0

	// usageDelayPeriods is the assumed time from the end of a period to the arrival of the usage
	// report on it, in periods.
	usageDelayPeriods = 2
	// quotaMarginRatio is the share of the burst that must be left after a request, as the use at
	// other gateways is unknown.
	quotaMarginRatio = 1.0 / 8
	// usageRetention is the factor by which each new usage report reduces the weight of the earlier
	// ones, for customers that use at most smallGatewaySpread gateways. With more gateways, each of
	// them sees fewer of the customer's requests, so it must average over more reports.
	usageRetention = 0.9
	// smallGatewaySpread is the largest number of gateways of which each sees enough of a customer's
	// requests to estimate its use from them.
	smallGatewaySpread = 4
	// priorUsagePercent is the use assumed of a customer before any report, in percent of its rate.
	// It rises to priorUsagePercentMany for customers that use very many gateways: a customer with
	// many requests is more likely to be seen at any one of these gateways.
	priorUsagePercent     = 40
	priorUsagePercentMany = 60
	// priorTokens is the use that globalUsageFactor assumes at each of a customer's gateways, in
	// percent-seconds, in addition to that of the reports. Before any report it stands alone, which
	// means that requests are spread evenly.
	priorTokens = 100

	// maxDebits bounds how many of a customer's requests are kept separately between two usage
	// reports.
	maxDebits = 64
	// maxDebitsExact is the bound if there are neither usage reports nor other gateways. The bucket
	// is exact then, and separate requests are not needed.
	maxDebitsExact = 2

	// maxReserveFactor bounds the tokens reserved for requests of higher weight, as a multiple of
	// the quota margin.
	maxReserveFactor = 3

	// minUsagePeriod replaces a usage period of zero, which would be divided by; in seconds.
	minUsagePeriod = 1e-3
)

// debit is the cost of one forwarded request.
type debit struct {
	at     time.Duration
	amount float64 // percent-seconds
}

// quotaTokens converts a cost in units to tokens of the quota bucket. It must not be called for a
// plan without a rate.
func (c *customer) quotaTokens(cost float64) float64 { return fullRatePercent * cost / c.plan.Rate }

// burstTokens returns the size of the quota bucket, 0 for a plan without a rate.
func (c *customer) burstTokens() float64 {
	if c.plan.Rate <= 0 {
		return 0
	}
	return c.quotaTokens(c.plan.Burst)
}

// globalUsageFactor returns the customer's use over all gateways for each unit forwarded here, by
// the usage reports. Before any report it assumes that requests are spread evenly.
func (c *customer) globalUsageFactor() float64 {
	return max(1, (c.meteredUsage+c.gateways*priorTokens)/(c.ownUsage+priorTokens))
}

// availableTokens estimates the tokens in the quota bucket at a time t: the level at the end of the
// last reported period, refilled since, less what this gateway has forwarded and the estimated use
// at the others.
func (c *customer) availableTokens(t time.Duration) float64 {
	steadyPercent, perUnitHere := c.otherGatewaysUsage(t)
	tokens, at := c.tokens, c.tokensAt
	for _, d := range c.debits {
		if d.at > t {
			break
		}
		filled := min(c.burstTokens(), tokens+(fullRatePercent-steadyPercent)*(d.at-at).Seconds())
		tokens = max(0, filled-(1+perUnitHere)*d.amount)
		at = d.at
	}
	return max(0, min(c.burstTokens(), tokens+(fullRatePercent-steadyPercent)*(t-at).Seconds()))
}

// otherGatewaysUsage estimates the customer's use at other gateways from the last reported period
// until t: steadyPercent, in percent of its rate, and perUnitHere, for each unit forwarded by this
// gateway.
//
// It combines two estimates. One is the decaying mean of the usage reports; it starts as if one
// request had been reported for a customer that uses priorUsagePercent of its rate. The other is the
// use at this gateway, scaled to all gateways; it is based only on the requests that come to this
// gateway.
// ownWeight is the weight of the second estimate: near 1 if the customer uses two gateways, near 0
// if it uses 300.
func (c *customer) otherGatewaysUsage(t time.Duration) (steadyPercent, perUnitHere float64) {
	globalFactor, since := c.globalUsageFactor(), max(0, (t-c.tokensAt).Seconds())
	reportFade := math.Pow(c.retentionFactor, since/max(c.usagePeriod, minUsagePeriod))
	lastTokens := c.quotaTokens(c.lastCost)
	const priorRange = priorUsagePercentMany - priorUsagePercent
	prior := priorUsagePercent + priorRange*(c.retentionFactor-usageRetention)/(1-usageRetention)
	meanPercent := (lastTokens + reportFade*c.meteredUsage) / (lastTokens/prior + reportFade*c.meteredSeconds)
	// Counted as at least the delay of a report, so that a burst right after a report is not taken for
	// a high rate.
	since = max(since, usageDelayPeriods*c.usagePeriod)
	ownWeight := since / globalFactor / (lastTokens/meanPercent + since/globalFactor)
	return meanPercent * (1 - ownWeight) * (globalFactor - 1) / globalFactor, ownWeight * (globalFactor - 1)
}

// admittedByQuota reports whether a customer's quota and MaxInFlight allow a request of a class and a
// cost. Some requests are rejected at random, so it must be called only once for each decision.
//
// While reports arrive and the bucket is empty, requests are admitted with the admit probability.
// Independently of that, availableTokens must cover the cost and the reserve: reports arrive late,
// so a short burst is over before a report shows it. Of a newcomer nothing but the request itself is
// known; some of its requests are rejected at random, those with the smallest gain most often.
func (e *Engine) admittedByQuota(customer *customer, class *class, cost float64) bool {
	plan := customer.plan
	if customer.atMaxInFlight() {
		return false
	}
	// The admit probability applies only while reports arrive. They arrive with responses: if so
	// many requests were rejected that no report arrived, it could never rise again, and the
	// customer would be rejected for good.
	reported := e.now-customer.usageAt <= 2*usageDelayPeriods*e.settings.UsagePeriod
	empty := plan.Rate <= 0 || customer.tokens <= 0
	if reported && empty && e.rng.Float64() >= customer.admitProbability {
		return false
	}
	// The random number is drawn for plans without a rate too, which do not use the result.
	newcomerRejected := e.rejectsNewcomer(customer, class, cost)
	if plan.Rate <= 0 {
		return true
	}
	needed := customer.quotaTokens(cost) + customer.reservedTokens(class.PriorityWeight)
	return !newcomerRejected && customer.availableTokens(e.now) >= needed
}

// atMaxInFlight reports whether the customer has this gateway's even share of Plan.MaxInFlight in
// flight.
func (c *customer) atMaxInFlight() bool {
	limit := c.plan.MaxInFlight
	return limit > 0 && float64(c.inFlight) >= math.Ceil(float64(limit)/c.gateways)
}

// reservedTokens returns how many tokens a request must leave in the bucket: more for requests of
// lower weight, so that the last tokens are left for those of the highest weight.
func (c *customer) reservedTokens(priorityWeight float64) float64 {
	if c.isNewcomer() || c.gateways <= smallGatewaySpread {
		return quotaMarginRatio * c.burstTokens()
	}
	relative := max(1.0/maxReserveFactor, min(1, c.newcomerStats.RelativeWeight(priorityWeight)))
	return quotaMarginRatio * c.burstTokens() / relative
}

// recordDebit records the cost of an admitted request.
func (e *Engine) recordDebit(customer *customer, cost float64) {
	if customer.plan.Rate <= 0 {
		return
	}
	limit := maxDebits
	if e.settings.UsagePeriod <= 0 && customer.gateways == 1 {
		limit = maxDebitsExact
	}
	if len(customer.debits) >= limit { // no report has arrived: apply the older half to the bucket
		customer.applyDebits(limit / 2)
	}
	customer.debits = append(customer.debits, debit{at: e.now, amount: customer.quotaTokens(cost)})
}

// applyDebits advances the bucket to the time of the n-th debit, and removes the first n debits.
func (c *customer) applyDebits(n int) {
	at := c.debits[n-1].at
	c.tokens, c.tokensAt = c.availableTokens(at), at
	c.debits = slices.Delete(c.debits, 0, n)
}
