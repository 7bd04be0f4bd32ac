package decision

import (
	"time"

	"pumicecroft/quota"
)

const (
	// customerIdleTTL is how long a customer without requests is remembered.
	customerIdleTTL = time.Minute
	// minCost stands in for a cost of zero where the last request's cost divides, in units.
	minCost = 1e-6

	// newcomerSlack is what a newcomer's bucket holds beyond the cost of its first request and the
	// margin, in percent-seconds.
	newcomerSlack = 1
)

// customer is what this gateway knows of a customer.
type customer struct {
	plan            *Plan
	newcomers       *quota.NewcomerStats // of its plan
	gateways        float64              // how many it uses
	usesThisGateway bool                 // this is one of them
	lastSeenAt      time.Duration
	inFlight        int     // attempts
	lastCost        float64 // of its last request, units

	tokens           float64 // of the quota, percent-seconds, as of tokensAt
	tokensAt         time.Duration
	debits           []debit // this gateway's requests since tokensAt, in order of time
	admitProbability float64 // while there are no tokens

	usagePeriod float64       // seconds
	usageAt     time.Duration // when the last report was counted
	lastUsage   float64       // what it said, percent
	// What reports told, fading by retention with each: of all gateways, of the part that this one
	// forwarded itself (both percent-seconds), and of how many seconds.
	meteredUsage, ownUsage, meteredSeconds float64
	retention                              float64

	hardLimitTokens   float64 // this gateway's share, units, as of hardLimitTokensAt
	hardLimitTokensAt time.Duration
	sharedBucket      quota.SharedBucket // what gateways lend each other of the hard limit
}

// customerFor returns the customer of a request, which is new if it was not met within
// customerIdleTTL or under another plan.
func (e *Engine) customerFor(event Request, plan *Plan) *customer {
	customer := e.customers[event.Customer]
	if customer == nil || customer.plan != plan {
		customer = e.newCustomer(event, plan)
		e.customers[event.Customer] = customer
	}
	customer.lastSeenAt, customer.lastCost = e.now, max(event.Cost, minCost)
	return customer
}

// newCustomer begins with a full bucket, or with what it filled by since the Engine was created
// (AssumeQuotaSpent). A newcomer at one of many gateways has room for this request alone: else each
// of them would hand out a whole burst.
func (e *Engine) newCustomer(event Request, plan *Plan) *customer {
	count := e.settings.GatewayCount
	gateways := min(max(event.GatewaySpread, 1), count)
	offset := ((e.settings.GatewayIndex-event.FirstGateway)%count + count) % count
	c := &customer{
		plan:              plan,
		newcomers:         e.newcomersByPlan[plan.Name],
		gateways:          float64(gateways),
		usesThisGateway:   offset < gateways,
		admitProbability:  1,
		tokensAt:          e.now,
		hardLimitTokensAt: e.createdAt,
		usagePeriod:       e.settings.UsagePeriod.Seconds(),
		retention:         1 - (1-usageRetention)*min(1, fewGateways/float64(gateways)),
	}
	c.tokens = c.burstTokens()
	if e.settings.AssumeQuotaSpent {
		c.tokens = min(c.tokens, quotaMarginRatio*c.tokens+fullRate*(e.now-e.createdAt).Seconds())
	}
	if c.isNewcomer() {
		c.tokens = min(c.tokens, newcomerSlack+c.percentSeconds(event.Cost)+quotaMarginRatio*c.tokens)
	}
	if e.settings.HasSharedCounter && plan.HardLimitRate > 0 && c.usesThisGateway && gateways > 1 {
		c.sharedBucket = quota.NewSharedBucket(uint64(event.Customer), plan.Name,
			plan.HardLimitBurst, gateways, e.settings.MaxCost)
	}
	return c
}

// forgetIdleCustomers forgets those without attempts in flight that asked for nothing for
// customerIdleTTL.
func (e *Engine) forgetIdleCustomers() {
	for id, customer := range e.customers { // deletes only: the map's order reaches no action
		if customer.inFlight == 0 && e.now-customer.lastSeenAt > customerIdleTTL {
			delete(e.customers, id)
		}
	}
}
