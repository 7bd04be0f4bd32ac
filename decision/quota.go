package decision

import (
	"math"
	"slices"
	"time"
)

// A plan's quota is a token bucket over all gateways: Plan.Rate fills it, up to Plan.Burst. Tokens
// are counted in percent-seconds of the rate, as usage reports are in percent of it: a second at
// exactly the rate uses 100.
//
// A gateway learns what a customer used from usage reports, which come with responses and tell of a
// period that is over for some time. What this gateway forwarded since that period is known
// (debits); what the others did is estimated.
//
// Where the bucket is empty all the same, a share of the requests passes at random, the admit
// probability, that follows the reports.

const (
	// fullRate is a use of exactly the plan's rate, in percent.
	fullRate = 100.0

	// usageDelayPeriods is how old a usage report is taken to be, in periods from the end of the
	// one it tells of.
	usageDelayPeriods = 2
	// quotaMarginRatio is the share of the burst that a request must leave: the use of other
	// gateways is unseen.
	quotaMarginRatio = 1.0 / 8
	// usageRetention is what one usage report leaves of the weight of those before it, where the
	// customer uses fewGateways or fewer. Where it uses more, each gateway sees that much less of
	// its requests, and forgets more slowly.
	usageRetention = 0.9
	fewGateways    = 4
	// priorUsagePercent is the use that a customer is taken to have before any report, in percent
	// of its rate; at one of very many gateways it is priorUsagePercentMany, as a customer met
	// there is mostly one that asks for much.
	priorUsagePercent     = 40
	priorUsagePercentMany = 60
	// priorTokens is the weight of that assumption: what it counts as, in percent-seconds a
	// gateway.
	priorTokens = 100

	// maxDebits bounds what is kept of a customer's requests between two usage reports.
	maxDebits = 64
	// maxDebitsExact is the same where there are neither reports nor other gateways: the bucket
	// alone is exact.
	maxDebitsExact = 2

	// maxNewcomerRejectRatio is the share of newcomers' requests that is rejected where forwarding
	// them gains nothing. It is below 1 so that reports of every class's customers keep coming.
	maxNewcomerRejectRatio = 0.8
	// newcomerGainFactor is how much smaller that share is for each unit of net gain.
	newcomerGainFactor = 2
	// maxReserveFactor bounds the reserve for requests of higher weight, in multiples of the
	// margin.
	maxReserveFactor = 3

	// minUsagePeriod stands in for a usage period of zero where it divides, in seconds.
	minUsagePeriod = 1e-3
)

// debit is what one request took out of the quota.
type debit struct {
	at     time.Duration
	amount float64 // percent-seconds
}

// percentSeconds converts a cost in units. It must not be called for a plan without a rate.
func (c *customer) percentSeconds(cost float64) float64 { return fullRate * cost / c.plan.Rate }

// burstTokens is the size of the quota's bucket; 0 without a rate.
func (c *customer) burstTokens() float64 {
	if c.plan.Rate <= 0 {
		return 0
	}
	return c.percentSeconds(c.plan.Burst)
}

// isNewcomer reports whether nothing is known yet of a customer that uses many gateways: no usage
// report of it has come.
func (c *customer) isNewcomer() bool {
	return c.meteredSeconds == 0 && c.gateways > fewGateways && c.usagePeriod > 0
}

// globalUsageFactor is what the customer uses over all gateways for each unit forwarded here, by
// the reports; before any, as if its requests were spread evenly.
func (c *customer) globalUsageFactor() float64 {
	return max(1, (c.meteredUsage+c.gateways*priorTokens)/(c.ownUsage+priorTokens))
}

// available estimates the tokens at a time t: those of the last reported period, filled since, less
// what this gateway and, by estimate, the others have forwarded since.
func (c *customer) available(t time.Duration) float64 {
	steady, perOwn := c.otherGatewaysUsage(t)
	tokens, at := c.tokens, c.tokensAt
	for _, d := range c.debits {
		if d.at > t {
			break
		}
		filled := min(c.burstTokens(), tokens+(fullRate-steady)*(d.at-at).Seconds())
		tokens = max(0, filled-(1+perOwn)*d.amount)
		at = d.at
	}
	return max(0, min(c.burstTokens(), tokens+(fullRate-steady)*(t-at).Seconds()))
}

// otherGatewaysUsage estimates what the customer used at other gateways from the last reported
// period until t: steady, in percent of its rate, and perOwn, for each unit that this gateway
// forwarded itself.
//
// There are two estimates. One is the fading mean of the usage reports, with a prior of one request of
// a customer that uses priorUsagePercent of its rate. The other is what this gateway forwarded itself,
// scaled to all gateways; it covers this gateway's share of the time only. ownWeight is the weight of
// the second one: near 1 at one of two gateways, near 0 at one of 300.
func (c *customer) otherGatewaysUsage(t time.Duration) (steady, perOwn float64) {
	factor, since := c.globalUsageFactor(), max(0, (t-c.tokensAt).Seconds())
	fade := math.Pow(c.retention, since/max(c.usagePeriod, minUsagePeriod))
	last := c.percentSeconds(c.lastCost)
	const priorRange = priorUsagePercentMany - priorUsagePercent
	prior := priorUsagePercent + priorRange*(c.retention-usageRetention)/(1-usageRetention)
	mean := (last + fade*c.meteredUsage) / (last/prior + fade*c.meteredSeconds)
	// A burst within a report's delay counts as if it had taken that long.
	since = max(since, usageDelayPeriods*c.usagePeriod)
	ownWeight := since / factor / (last/mean + since/factor)
	return mean * (1 - ownWeight) * (factor - 1) / factor, ownWeight * (factor - 1)
}

// withinQuota reports whether a customer's plan allows a request of a cost and a priority weight a
// unit. It may draw random numbers, so each call is one decision.
//
// While reports come and the bucket is empty, requests pass with the admit probability. Beside that
// the estimate of available must hold the cost and the reserve at any time: reports come late, and
// a short burst is over before one shows it. Some of the newcomers' requests are rejected at random,
// those with the least gain first, as nothing else is known of newcomers.
func (e *Engine) withinQuota(customer *customer, priorityWeight, cost float64) bool {
	plan := customer.plan
	if customer.atMaxInFlight() {
		return false
	}
	// The admit probability binds only while reports come. They come with responses: were so much
	// rejected that there are none, it could never rise again, and the customer would be rejected
	// for good.
	reported := e.now-customer.usageAt <= 2*usageDelayPeriods*e.settings.UsagePeriod
	empty := plan.Rate <= 0 || customer.tokens <= 0
	if reported && empty && e.rng.Float64() >= customer.admitProbability {
		return false
	}
	newcomerRejected := e.rejectsNewcomer(customer, priorityWeight, cost)
	if plan.Rate <= 0 {
		return true
	}
	needed := customer.percentSeconds(cost) + customer.reservedTokens(priorityWeight)
	return !newcomerRejected && customer.available(e.now) >= needed
}

// hasMaxInFlight reports whether the customer has this gateway's even share of Plan.MaxInFlight in
// flight.
func (c *customer) atMaxInFlight() bool {
	limit := c.plan.MaxInFlight
	return limit > 0 && float64(c.inFlight) >= math.Ceil(float64(limit)/c.gateways)
}

// rejectsNewcomer draws whether a newcomer's request is rejected for gaining too little. NetGain is
// the share of its weight that forwarding it gains, less what the requests that it displaces lose.
func (e *Engine) rejectsNewcomer(customer *customer, priorityWeight, cost float64) bool {
	if !customer.isNewcomer() {
		return false
	}
	overQuotaLoss := 1 - customer.plan.OverQuotaWeightFactor + customer.plan.OverQuotaCostFactor
	gain := customer.newcomers.NetGain(priorityWeight, cost, overQuotaLoss)
	return e.rng.Float64() < maxNewcomerRejectRatio-newcomerGainFactor*max(0, gain)
}

// reservedTokens is what a request must leave in the bucket: more where its weight is less, so that
// the last tokens go to the requests of most weight.
func (c *customer) reservedTokens(priorityWeight float64) float64 {
	if c.isNewcomer() || c.gateways <= fewGateways {
		return quotaMarginRatio * c.burstTokens()
	}
	relative := max(1.0/maxReserveFactor, min(1, c.newcomers.RelativeWeight(priorityWeight)))
	return quotaMarginRatio * c.burstTokens() / relative
}

// recordDebit takes an admitted request out of the quota.
func (e *Engine) recordDebit(customer *customer, cost float64) {
	if customer.plan.Rate <= 0 {
		return
	}
	limit := maxDebits
	if e.settings.UsagePeriod <= 0 && customer.gateways == 1 {
		limit = maxDebitsExact
	}
	if len(customer.debits) >= limit { // no report has come: the older half goes into the bucket
		customer.settleDebits(limit / 2)
	}
	customer.debits = append(customer.debits, debit{at: e.now, amount: customer.percentSeconds(cost)})
}

// settleDebits moves the bucket on to the n-th debit, and drops the first n.
func (c *customer) settleDebits(n int) {
	at := c.debits[n-1].at
	c.tokens, c.tokensAt = c.available(at), at
	c.debits = slices.Delete(c.debits, 0, n)
}
