package sim

import "time"

// usagePeriod is the period over which usage is summed before it is reported.
const usagePeriod = 500 * time.Millisecond

// usageMeter is the shared counter's sum of the cost of a customer's requests.
type usageMeter struct {
	period  int64   // number of the current period
	current float64 // sum of the current period
	last    float64 // sum of the previous period
}

// reportedUsage returns a customer's usage as responses report it: that of the previous period, in
// percent of its plan's rate.
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

// meterOf returns a customer's meter, advanced to the current period.
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

// recordUsage adds the cost of a request to its customer's usage, unless the counter loses it.
func (r *runner) recordUsage(request *clientRequest) {
	if r.counterLoss == 0 || r.newRand(13, uint64(request.number)).Float64() >= r.counterLoss {
		r.meterOf(request.customer).current += request.cost
	}
}
