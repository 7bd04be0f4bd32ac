package emulator

import (
	"time"

	"pumicecroft/decision"
)

// usagePeriod is the period over which usage is summed and then reported.
const usagePeriod = 500 * time.Millisecond

// minOvershoot is the least cost beyond a hard limit that counts: sums of float32 are no more
// exact.
const minOvershoot = 1e-3

// quotaAccounts hold what customers use against their plans, period by period, over all gateways.
type quotaAccounts struct {
	tokens, hardLimitTokens []float32 // by customer
	period                  []int32   // by customer: of both
}

func newQuotaAccounts(config *Config) quotaAccounts {
	n := config.Clients.Customers
	return quotaAccounts{make([]float32, n), make([]float32, n), make([]int32, n)}
}

// recordUsage counts a try that is sent on.
func (s *shard) recordUsage(call *call) {
	if s.region.isCounted(call) {
		s.counts.Tries++
	}
	if s.usage[call.customer] == 0 {
		s.usedBy = append(s.usedBy, call.customer)
	}
	s.usage[call.customer] += call.cost
}

// closeUsagePeriod ends a period: what all gateways have sent on is each customer's usage, and what
// the counter has not lost of it is what will be reported.
func (r *Region) closeUsagePeriod() {
	for _, customer := range r.lastUsed {
		r.usage[customer] = 0
	}
	r.lastUsed = r.lastUsed[:0]
	for _, s := range r.shards {
		r.sumUsage(s)
	}
	r.period++
	end := time.Duration(r.period) * usagePeriod
	for _, customer := range r.lastUsed {
		r.accountQuota(&r.shards[0].counts, customer, end > r.config.Warmup)
	}
	if loss := float32(r.counterLoss(end)); loss > 0 {
		for _, customer := range r.lastUsed {
			r.usage[customer] *= 1 - loss
		}
	}
}

// sumUsage adds a shard's usage of the period, and clears it.
func (r *Region) sumUsage(s *shard) {
	for _, customer := range s.usedBy {
		if r.usage[customer] == 0 {
			r.lastUsed = append(r.lastUsed, customer)
		}
		r.usage[customer] += s.usage[customer]
		s.usage[customer] = 0
	}
	s.usedBy = s.usedBy[:0]
}

// accountQuota holds one customer's usage in the period that has ended against its plan. A period's
// refill counts as there from its beginning, so what exceeds the tokens for a part of a period only
// is not seen.
func (r *Region) accountQuota(counts *shardCounts, customer int32, counted bool) {
	plan, accounts := r.customerPlan(customer), &r.quota
	used := float64(r.usage[customer])
	idle := (time.Duration(r.period-int64(accounts.period[customer])-1) * usagePeriod).Seconds()
	first := accounts.period[customer] == 0
	accounts.period[customer] = int32(r.period)
	// remaining gives what is left of a bucket after the period, below 0 if more was used. It is
	// full at a customer's first use.
	remaining := func(left float32, rate, burst float64) float64 {
		before := min(burst, float64(left)+rate*idle)
		if first {
			before = burst
		}
		return before + rate*usagePeriod.Seconds() - used
	}
	over, overshoot := 0.0, 0.0
	if plan.Rate > 0 {
		left := remaining(accounts.tokens[customer], plan.Rate, plan.Burst)
		over = max(0, -left)
		accounts.tokens[customer] = float32(max(0, min(plan.Burst, left)))
	}
	if plan.HardLimitRate > 0 {
		left := remaining(accounts.hardLimitTokens[customer], plan.HardLimitRate, plan.HardLimitBurst)
		overshoot = max(0, -left-plan.HardLimitOverdraft)
		accounts.hardLimitTokens[customer] = float32(min(plan.HardLimitBurst, left))
	}
	if counted {
		counts.recordQuota(plan, used, over, overshoot, r.meanWeight)
	}
}

// recordQuota counts a customer's usage in a period.
func (c *shardCounts) recordQuota(plan *decision.Plan, used, over, overshoot, meanWeight float64) {
	c.Cost += used
	c.CostOverQuota += over
	c.WeightOverQuota += over * meanWeight * plan.Price * (1 - plan.OverQuotaWeightFactor + plan.OverQuotaCostFactor)
	c.MaxOvershoot = max(c.MaxOvershoot, overshoot)
	if overshoot > minOvershoot {
		c.PeriodsOverHardLimit++
	}
}

// reportedUsage is what is reported of a customer's usage: the last period's, in percent of its
// rate.
func (r *Region) reportedUsage(customer int32) (percent float64, known bool) {
	plan := r.customerPlan(customer)
	if r.config.Settings.UsagePeriod <= 0 || plan.Rate <= 0 {
		return 0, false
	}
	return 100 * float64(r.usage[customer]) / (plan.Rate * usagePeriod.Seconds()), true
}
