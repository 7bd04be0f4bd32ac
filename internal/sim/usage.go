package sim

import "time"

// usagePeriod is the period over which usage is summed and then reported.
const usagePeriod = 500 * time.Millisecond

// usageMeter is the shared counter's sum of what a customer's requests cost.
type usageMeter struct {
	period  int64 // number of the current one
	current float64
	last    float64 // of the period before
}

// reportedUsage is what a response reports of a customer's usage: the last period's, in percent of
// its plan's rate.
func (r *runner) reportedUsage(customer int) (percent float64, known bool) {
	if !r.config.reportsUsage {
		return 0, false
	}
	rate := shopRate
	if customer == flagshipCustomer {
		rate = flagshipRate
	}
	return 100 * r.meterOf(customer).last / (rate * usagePeriod.Seconds()), true
}

// meterOf gives a customer's meter, brought to the current period.
func (r *runner) meterOf(customer int) *usageMeter {
	meter := r.usageMeters[customer]
	if meter == nil {
		meter = &usageMeter{}
		r.usageMeters[customer] = meter
	}
	if period := int64(r.now / usagePeriod); period != meter.period {
		meter.last = 0
		if period == meter.period+1 {
			meter.last = meter.current
		}
		meter.period, meter.current = period, 0
	}
	return meter
}

// recordUsage adds a request that was sent on to its customer's usage, unless the counter loses it.
func (r *runner) recordUsage(request *clientRequest) {
	if r.counterLoss == 0 || r.newRand(13, uint64(request.number)).Float64() >= r.counterLoss {
		r.meterOf(request.customer).current += request.cost
	}
}
