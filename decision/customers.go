package decision

import (
	"time"

	"pumicecroft/quota"
)

const (
	// customerIdleTTL is how long a customer without requests is kept.
	customerIdleTTL = time.Minute
	// minCost replaces a last cost of zero, which would be divided by; in units.
	minCost = 1e-6
	// maxDropCandidates is how many customers are examined to find one that may be forgotten.
	maxDropCandidates = 32
)

// customer is this gateway's state of a customer.
type customer struct {
	id              CustomerID
	newer, older    *customer // neighbors in the order of lastSeenAt
	plan            *Plan
	newcomerStats   *quota.NewcomerStats // statistics of the newcomers of its plan: see isNewcomer
	gateways        float64              // how many gateways it uses
	usesThisGateway bool                 // this gateway is one of them
	lastSeenAt      time.Duration
	inFlight        int     // attempts of this gateway
	lastCost        float64 // cost of its last request, units

	tokens           float64 // quota tokens in the bucket, percent-seconds, as of tokensAt
	tokensAt         time.Duration
	debits           []debit // requests forwarded by this gateway since tokensAt, oldest first
	admitProbability float64 // applies while the bucket is empty

	usagePeriod float64       // seconds
	usageAt     time.Duration // when the last new usage report arrived
	lastUsage   float64       // its value, percent of the rate
	// Sums over the usage reports, multiplied by retentionFactor at each new one: use over all gateways
	// and use at this gateway (both in percent-seconds), and the seconds that the reports cover.
	meteredUsage, ownUsage, meteredSeconds float64
	retentionFactor                        float64

	hardLimitTokens   float64 // left of this gateway's share of the hard limit, units, as of hardLimitTokensAt
	hardLimitTokensAt time.Duration
	sharedBucket      quota.SharedBucket // hard-limit tokens exchanged with other gateways
}

// customerFor returns the customer of a request. It is a new one if the customer is not known, or
// was last seen under another plan. It is nil if there is no room for a new one.
func (e *Engine) customerFor(event Request, plan *Plan) *customer {
	known := e.customers[event.Customer]
	if known != nil && known.plan == plan {
		e.unlinkCustomer(known)
	} else {
		if known != nil {
			e.removeCustomer(known)
		} else if len(e.customers) >= e.settings.MaxCustomers && !e.dropCustomer() {
			return nil
		}
		known = e.newCustomer(event, plan)
		e.customers[event.Customer] = known
	}
	e.linkNewestCustomer(known)
	known.lastSeenAt, known.lastCost = e.now, max(event.Cost, minCost)
	return known
}

func (e *Engine) linkNewestCustomer(c *customer) {
	c.older, c.newer = e.newestCustomer, nil
	if c.older != nil {
		c.older.newer = c
	} else {
		e.oldestCustomer = c
	}
	e.newestCustomer = c
}

func (e *Engine) unlinkCustomer(c *customer) {
	if c.newer != nil {
		c.newer.older = c.older
	} else {
		e.newestCustomer = c.older
	}
	if c.older != nil {
		c.older.newer = c.newer
	} else {
		e.oldestCustomer = c.newer
	}
	c.newer, c.older = nil, nil
}

func (e *Engine) removeCustomer(c *customer) {
	e.unlinkCustomer(c)
	delete(e.customers, c.id)
}

// dropCustomer forgets one of the customers that have sent nothing for longest, and reports whether it did. It keeps
// those that have attempts in flight, and those whose share of the hard limit is not full: a customer that is forgotten
// and comes back has a full share. It also has its full burst again, which the hard limit bounds where there is one.
func (e *Engine) dropCustomer() bool {
	c := e.oldestCustomer
	for range maxDropCandidates {
		if c == nil {
			return false
		}
		if c.inFlight == 0 && e.withinHardLimitShare(c) {
			e.removeCustomer(c)
			return true
		}
		c = c.newer
	}
	return false
}

// withinHardLimitShare reports whether the customer has used nothing of its share of the hard limit that has not been
// refilled.
func (e *Engine) withinHardLimitShare(c *customer) bool {
	return !c.usesThisGateway || e.withinHardLimit(c, c.hardLimitShare())
}

// newCustomer creates a customer with a full quota bucket. If AssumeQuotaSpent is set, the bucket holds
// only the quota margin and what has refilled since the Engine was created. A newcomer, which uses
// many gateways and has no usage report yet, gets tokens for this one request only: otherwise each
// of its gateways would grant a whole burst. The more gateways a customer uses, the nearer its
// retentionFactor is to 1: see usageRetention.
func (e *Engine) newCustomer(event Request, plan *Plan) *customer {
	count := e.settings.GatewayCount
	gateways := min(max(event.GatewaySpread, 1), count)
	// The gateways form a ring; the customer uses those from FirstGateway on.
	offset := ((e.settings.GatewayIndex-event.FirstGateway)%count + count) % count
	c := &customer{
		id:                event.Customer,
		plan:              plan,
		newcomerStats:     e.newcomersByPlan[plan.Name],
		gateways:          float64(gateways),
		usesThisGateway:   offset < gateways,
		admitProbability:  1,
		tokensAt:          e.now,
		hardLimitTokensAt: e.createdAt,
		usagePeriod:       e.settings.UsagePeriod.Seconds(),
		retentionFactor:   1 - (1-usageRetention)*min(1, smallGatewaySpread/float64(gateways)),
	}
	c.tokens = c.burstTokens()
	if e.settings.AssumeQuotaSpent {
		c.tokens = min(c.tokens, quotaMarginRatio*c.tokens+fullRatePercent*(e.now-e.createdAt).Seconds())
	}
	if c.isNewcomer() {
		c.tokens = min(c.tokens, newcomerSlack+c.quotaTokens(event.Cost)+quotaMarginRatio*c.tokens)
	}
	if e.settings.HasSharedCounter && plan.HardLimitRate > 0 && c.usesThisGateway && gateways > 1 {
		c.sharedBucket = quota.NewSharedBucket(uint64(event.Customer), plan.Name,
			plan.HardLimitBurst, gateways, e.settings.MaxCost)
	}
	return c
}

// removeIdleCustomers removes customers that have no attempt in flight and have sent no request for
// customerIdleTTL.
func (e *Engine) removeIdleCustomers() {
	for _, customer := range e.customers { // independent of the map's order
		if customer.inFlight == 0 && e.now-customer.lastSeenAt > customerIdleTTL {
			e.removeCustomer(customer)
		}
	}
}
