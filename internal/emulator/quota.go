package emulator

import (
	"time"

	"pumicecroft/decision"
)

// usagePeriod is the period over which usage is summed before it is reported.
const usagePeriod = 500 * time.Millisecond

// minOvershoot is the smallest cost beyond a hard limit that counts as exceeding it. Sums of float32
// are not exact enough for less.
const minOvershoot = 1e-3

// quotaBuckets are the token buckets of customers' quotas and hard limits. They are charged with the
// usage at all gateways, once per usage period.
type quotaBuckets struct {
	tokens, hardLimitTokens []float32 // by customer
	period                  []int32   // period of the last charge, by customer
}

func newQuotaBuckets(config *Config) quotaBuckets {
	n := config.Clients.Customers
	return quotaBuckets{make([]float32, n), make([]float32, n), make([]int32, n)}
}

// recordUsage counts a try that is forwarded to a backend, and adds its cost to the customer's usage.
func (s *shard) recordUsage(call *call) {
	if s.region.isCounted(call) {
		s.counts.Tries++
	}
	if s.usage[call.customer] == 0 {
		s.activeCustomers = append(s.activeCustomers, call.customer)
	}
	s.usage[call.customer] += call.cost
}

// closeUsagePeriod ends a usage period. A customer's usage is the cost of its tries that all gateways
// have forwarded. The quota is charged with all of it; reported is what the counter doesn't lose.
func (r *Region) closeUsagePeriod() {
	for _, customer := range r.reportedCustomers {
		r.usage[customer] = 0
	}
	r.reportedCustomers = r.reportedCustomers[:0]
	for _, s := range r.shards {
		r.sumUsage(s)
	}
	r.period++
	end := time.Duration(r.period) * usagePeriod
	for _, customer := range r.reportedCustomers {
		r.chargeQuota(&r.shards[0].counts, customer, end > r.config.Warmup)
	}
	if loss := float32(r.counterLoss(end)); loss > 0 {
		for _, customer := range r.reportedCustomers {
			r.usage[customer] *= 1 - loss
		}
	}
}

// sumUsage adds a shard's usage of the period to the region's, and clears it.
func (r *Region) sumUsage(s *shard) {
	for _, customer := range s.activeCustomers {
		if r.usage[customer] == 0 {
			r.reportedCustomers = append(r.reportedCustomers, customer)
		}
		r.usage[customer] += s.usage[customer]
		s.usage[customer] = 0
	}
	s.activeCustomers = s.activeCustomers[:0]
}

// chargeQuota charges one customer's usage in the period that has ended to its quota and hard limit.
// The refill of a period counts from the period's beginning, so tokens that are exceeded for only a
// part of a period are not noticed.
func (r *Region) chargeQuota(counts *shardCounts, customer int32, counted bool) {
	plan, buckets := r.customerPlan(customer), &r.quota
	used := float64(r.usage[customer])
	idle := (time.Duration(r.period-int64(buckets.period[customer])-1) * usagePeriod).Seconds()
	first := buckets.period[customer] == 0
	buckets.period[customer] = int32(r.period)
	// remaining returns the tokens of a bucket after the period, below 0 if more were used. A bucket
	// is full before a customer's first use.
	remaining := func(left float32, rate, burst float64) float64 {
		before := min(burst, float64(left)+rate*idle)
		if first {
			before = burst
		}
		return before + rate*usagePeriod.Seconds() - used
	}
	over, overshoot := 0.0, 0.0
	if plan.Rate > 0 {
		left := remaining(buckets.tokens[customer], plan.Rate, plan.Burst)
		over = max(0, -left)
		buckets.tokens[customer] = float32(max(0, min(plan.Burst, left)))
	}
	if plan.HardLimitRate > 0 {
		left := remaining(buckets.hardLimitTokens[customer], plan.HardLimitRate, plan.HardLimitBurst)
		overshoot = max(0, -left-plan.HardLimitOverdraft)
		buckets.hardLimitTokens[customer] = float32(min(plan.HardLimitBurst, left))
	}
	if counted {
		counts.recordQuota(plan, used, over, overshoot, r.meanWeight)
	}
}

// recordQuota adds a customer's usage in a period to the counts.
func (c *shardCounts) recordQuota(plan *decision.Plan, used, over, overshoot, meanWeight float64) {
	c.Cost += used
	c.CostOverQuota += over
	c.WeightOverQuota += over * meanWeight * plan.Price * (1 - plan.OverQuotaWeightFactor + plan.OverQuotaCostFactor)
	c.MaxOvershoot = max(c.MaxOvershoot, overshoot)
	if overshoot > minOvershoot {
		c.PeriodsOverHardLimit++
	}
}

// reportedUsage returns the usage that is reported for a customer: that of the last period, in percent
// of its plan's rate. known is false if usage is not reported or the plan has no rate.
func (r *Region) reportedUsage(customer int32) (percent float64, known bool) {
	plan := r.customerPlan(customer)
	if r.config.Settings.UsagePeriod <= 0 || plan.Rate <= 0 {
		return 0, false
	}
	return 100 * float64(r.usage[customer]) / (plan.Rate * usagePeriod.Seconds()), true
}
