package decision

import (
	"math"
	"slices"
	"time"

	"pumicecroft/quota"
)

func (g *Engine) customerFor(ev Request, plan *Plan) *customer {
	c := g.customers[ev.Customer]
	if c == nil || c.plan != plan {
		doors := min(max(ev.GatewaySpread, 1), g.settings.GatewayCount)
		offset := ((g.settings.GatewayIndex-ev.FirstGateway)%g.settings.GatewayCount + g.settings.GatewayCount) % g.settings.GatewayCount
		c = &customer{plan: plan, newcomers: g.newcomersByPlan[plan.Name], gateways: float64(doors), isMember: offset < doors, admitProbability: 1, tokensAt: g.now,
			hardLimitTokensAt: g.createdAt, usagePeriod: g.settings.UsagePeriod.Seconds(), retention: 1 - (1-usageRetention)*min(1, fewGateways/float64(doors))}
		if c.tokens = c.burstTokens(); g.settings.AssumeQuotaSpent {
			c.tokens = min(c.tokens, quotaMarginRatio*c.tokens+100*(g.now-g.createdAt).Seconds())
		}
		if c.isNewcomer() { // room for this request alone: each of many doors would hand the burst out
			c.tokens = min(c.tokens, 1+100*ev.Cost/plan.Rate+quotaMarginRatio*c.tokens)
		}
		if g.settings.HasSharedCounter && plan.HardLimitRate > 0 && c.isMember && doors > 1 {
			c.sharedBucket = quota.NewSharedBucket(uint64(ev.Customer), plan.Name, plan.HardLimitBurst, doors, g.settings.MaxCost)
		}
		g.customers[ev.Customer] = c
	}
	c.lastSeenAt, c.lastCost = g.now, max(ev.Cost, 1e-6)
	return c
}

// burstTokens is the burst in percent-seconds of the rate.
func (c *customer) burstTokens() float64 {
	if c.plan.Rate <= 0 {
		return 0
	}
	return 100 * c.plan.Burst / c.plan.Rate
}

// globalUsageFactor is what the customer uses over all doors for each unit sent here, learnt from the readings; before
// any, as if it were spread evenly.
func (c *customer) globalUsageFactor() float64 {
	const prior = 100 // percent-seconds: one second of the plan's rate
	return max(1, (c.meteredUsage+c.gateways*prior)/(c.ownUsage+prior))
}

// available is the store at time t: that of the last metered period, filled since, less what was sent on since.
func (c *customer) available(t time.Duration) float64 {
	steady, each := c.otherGatewaysUsage(t)
	s, at := c.tokens, c.tokensAt
	for _, d := range c.debits {
		if d.at > t {
			break
		}
		s = max(0, min(c.burstTokens(), s+(100-steady)*(d.at-at).Seconds())-(1+each)*d.amount)
		at = d.at
	}
	return max(0, min(c.burstTokens(), s+(100-steady)*(t-at).Seconds()))
}

// otherGatewaysUsage is the use of the other doors since the last metered period: steadily, in percent of the rate, and with each of this door's own
// sends. The readings' fading mean, begun with one request of a customer that uses priorUse, counts as one more request; this door's sends tell
// of its share of the time only. So each weighs what it tells: of two doors nearly all is told by the sends, of 300 nearly all by the readings.
func (c *customer) otherGatewaysUsage(t time.Duration) (steady, each float64) {
	k, since := c.globalUsageFactor(), max(0, (t-c.tokensAt).Seconds())
	fade := math.Pow(c.retention, since/max(c.usagePeriod, 1e-3))
	one := 100 * c.lastCost / c.plan.Rate
	prior := priorUsagePercent + (priorUsagePercentMany-priorUsagePercent)*(c.retention-usageRetention)/(1-usageRetention)
	mean := (one + fade*c.meteredUsage) / (one/prior + fade*c.meteredSeconds)
	since = max(since, usageDelayPeriods*c.usagePeriod) // a burst at once tells as much as one that took so long
	own := since / k / (one/mean + since/k)             // the sends' weight
	return mean * (1 - own) * (k - 1) / k, own * (k - 1)
}

// withinQuota is the design's quota rule: f is 1 while the store holds something, else requests pass with chance f. Exception: readings come
// late and a short burst is over before one tells of it, so while the store is above 0 what was sent on since the last metered period is taken
// off it, over all doors. And at one of many doors nothing tells newcomers apart: what gains least of theirs is refused first.
func (g *Engine) withinQuota(c *customer, worth, units float64) bool {
	if c.plan.MaxInFlight > 0 && float64(c.inFlight) >= math.Ceil(float64(c.plan.MaxInFlight)/c.gateways) {
		return false
	}
	// f binds while readings come: they come with answers, and so much may be refused that there are none
	heard := g.now-c.usageAt <= 2*usageDelayPeriods*g.settings.UsagePeriod
	if heard && (c.plan.Rate <= 0 || c.tokens <= 0) && g.rng.Float64() >= c.admitProbability {
		return false
	}
	net := c.newcomers.NetGain(worth, units, 1-c.plan.OverQuotaWeightFactor+c.plan.OverQuotaCostFactor)
	barred := c.isNewcomer() && g.rng.Float64() < maxNewcomerRejectRatio-newcomerGainFactor*max(0, net)
	return c.plan.Rate <= 0 || !barred && c.available(g.now) >= 100*units/c.plan.Rate+c.reservedTokens(worth)
}

// isNewcomer tells whether nothing is known yet of a customer that uses many doors: no reading of it has come here.
func (c *customer) isNewcomer() bool {
	return c.meteredSeconds == 0 && c.gateways > fewGateways && c.usagePeriod > 0
}

// reservedTokens is what a request must leave in the store: more where it is worth less, so that the last units go to what is worth most.
func (c *customer) reservedTokens(worth float64) float64 {
	if c.isNewcomer() || c.gateways <= fewGateways {
		return quotaMarginRatio * c.burstTokens()
	}
	return quotaMarginRatio * c.burstTokens() / max(1.0/maxReserveFactor, min(1, c.newcomers.RelativeWeight(worth)))
}

// onUsage counts one reading of the meter for each period, though many answers repeat it; they jitter, and come out of order. None counts
// for a period that has not ended: one before it is told again. Else storeAt would run ahead of the clock, and the store would stand still.
func (g *Engine) onUsage(c *customer, use float64) {
	p := g.settings.UsagePeriod
	if p <= 0 || c.meteredSeconds > 0 && (g.now-c.usageAt < p/2 || use == c.lastUsage && g.now-c.usageAt < p ||
		c.tokensAt+p > g.now) {
		return
	}
	first := c.isNewcomer()
	c.usageAt, c.lastUsage = g.now, use
	// a reading is taken to be readingAge old; of a gap before it only this door's own sends are known
	from := max(c.tokensAt, g.now-(1+usageDelayPeriods)*p)
	if c.plan.Rate > 0 {
		c.tokens = c.available(from)
	}
	c.tokensAt = from + p
	own := 0.0
	c.debits = slices.DeleteFunc(c.debits, func(d debit) bool {
		if d.at > from && d.at <= c.tokensAt {
			own += d.amount
		}
		return d.at <= c.tokensAt
	})
	c.meteredUsage = c.retention*c.meteredUsage + use*p.Seconds()
	c.meteredSeconds = c.retention*c.meteredSeconds + p.Seconds()
	c.ownUsage = c.retention*c.ownUsage + own
	c.tokens = max(0, min(c.burstTokens(), c.tokens+(100-use)*p.Seconds()))
	// A door of many meets most customers once or twice: who asks for more than its rate has mostly done so for long, at the others. What
	// one request makes of a period tells nothing, and where a door has much of the traffic it has seen the beginning itself.
	if first {
		c.newcomers.RecordFirstUsage(use)
		if c.tokens = max(c.tokens, 2*quotaMarginRatio*c.burstTokens()); c.plan.Rate > 0 && use > 100+100*c.lastCost/(c.plan.Rate*c.usagePeriod) {
			c.tokens = 0
		}
	}
	if c.tokens > 0 || use <= 0 {
		c.admitProbability = 1
	} else {
		c.admitProbability = min(1, c.admitProbability*100/use)
	}
}

// --- ceiling

// hardLimitShare is the most that this door holds of a ceiling's store: an even part, or less where the rest may lie in the pool.
func (c *customer) hardLimitShare() float64 {
	if c.sharedBucket.Exists() {
		return c.sharedBucket.LocalShare()
	}
	return c.plan.HardLimitBurst / c.gateways
}

// withinHardLimit keeps this door's part of the customer's second store: an even part, so that all parts
// together are the whole. A customer not met since this door's start is taken to have used its part up just
// then, as before a restart it may have. A door outside the customer's set has no part.
func (g *Engine) withinHardLimit(c *customer, units float64) bool {
	if c.plan.HardLimitRate <= 0 {
		return true
	}
	c.hardLimitTokens = min(c.hardLimitShare(), c.hardLimitTokens+c.plan.HardLimitRate/c.gateways*(g.now-c.hardLimitTokensAt).Seconds())
	c.hardLimitTokensAt = g.now
	return c.isMember && c.hardLimitTokens >= units
}
