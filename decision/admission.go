package decision

import (
	"math"
	"slices"
)

// onRequest is the ordinary path: the quota, the tier, the reserves, then a backend.
func (g *Engine) onRequest(ev Request) {
	if g.requests[ev.ID] != nil {
		return
	}
	cl, plan := g.classes[ev.Class], g.plans[ev.Plan]
	if cl == nil || plan == nil || !(ev.Cost >= 0) || math.IsInf(ev.Cost, 0) || ev.Timeout <= 0 {
		g.emit(Reject{Request: ev.ID})
		return
	}
	c := g.customerFor(ev, plan)
	r := &request{id: ev.ID, class: cl, customer: c, cost: ev.Cost, deadline: g.now + ev.Timeout, protocol: ev.Protocol, pool: g.pools[ev.Protocol]}
	c.newcomers.RecordRequest(cl.PriorityWeight, ev.Cost)
	within := g.withinQuota(c, cl.PriorityWeight, ev.Cost)
	if under := g.withinHardLimit(c, ev.Cost); within && !under && g.borrow(r) {
		return
	} else if !within || !under {
		g.emit(Reject{ev.ID, g.retryAfterQuota(c, cl.PriorityWeight, ev.Cost), OverQuota})
		return
	}
	g.admit(r)
}

// register begins a request's life: from here on it is held, until end and drop.
func (g *Engine) register(r *request) {
	g.seq++
	r.seq = g.seq
	g.requests[r.id], g.bySeq[r.seq] = r, r
	g.emit(SetTimer{After: r.deadline - g.now, Token: r.seq, Request: r.id})
}

// admit is the ordinary path from the customer's limits on. It tells whether the request was sent on; if not it is refused.
func (g *Engine) admit(r *request) bool {
	c, plan, units := r.customer, r.customer.plan, r.cost
	worth := r.class.PriorityWeight * plan.Price * units
	high := g.isHighPriority(worth)
	t := &g.tiers[boolToInt(high)]
	t.arrivals++
	t.weight += worth
	b := g.selectBackend(r)
	var s *slot
	why := NoBackend
	if b != nil {
		s, why = g.acquireSlot(high), Overloaded
	}
	if s == nil {
		g.emit(Reject{r.id, g.retryAfterSlot(), why})
		g.finish(r)
		return false
	}
	if !r.borrowed {
		g.register(r)
		c.hardLimitTokens -= units
	}
	if plan.Rate > 0 {
		most := maxDebits
		if g.settings.UsagePeriod <= 0 && c.gateways == 1 { // nothing is unseen and nothing will be told: the store alone is exact
			most = 2
		}
		if len(c.debits) >= most { // no readings: the older half goes into the store
			at := c.debits[most/2-1].at
			c.tokens, c.tokensAt, c.debits = c.available(at), at, slices.Delete(c.debits, 0, most/2)
		}
		c.debits = append(c.debits, debit{g.now, 100 * units / plan.Rate})
	}
	g.startAttempt(r, b, s)
	r.class.firstAttempts = append(r.class.firstAttempts, r)
	return true
}

// isHighPriority compares a worth with the recent median.
func (g *Engine) isHighPriority(worth float64) bool {
	if g.recentWeights = append(g.recentWeights, worth); len(g.recentWeights) > weightSamples {
		g.recentWeights = g.recentWeights[1:]
	}
	return worth > g.medianWeight
}
