package decision

import (
	"maps"
	"slices"

	"pumicecroft/quota"
)

// What front doors lend each other of a customer's ceiling, over the counter that they share. The ordinary path asks
// nothing of it: only a request that this door's own part of the ceiling can't bear waits for an answer, and where there is
// none in time, it is refused as it would be without a counter.

const (
	depositsPerSecondAll = 100 // a second, by all doors
	depositsPerTickMax   = 8   // ... and by one, as it gives them in one moment
)

// counterCall is a call that the counter has not answered.
type counterCall struct {
	customer *customer
	request  *request // that waits for units out of the pool; nil: none
	cost     float64
	deposit  bool
}

// borrow asks the pool for what a request lacks and tells whether it waits for that.
func (g *Engine) borrow(r *request) bool {
	p := &r.customer.sharedBucket
	if !p.Exists() || !g.counterLink.Allow(g.now, p) {
		return false
	}
	r.borrowed = true
	g.register(r)
	g.callCounter(counterCall{customer: r.customer, request: r, cost: r.cost}, -r.cost)
	return true
}

// depositSurplus gives what would overflow, for some of the customers whose parts are full here. Doors that have little of a customer's
// traffic are asked for it by nobody, so it is the second's tick that does it; all doors' gifts together must not crowd the
// counter, which takes some 600 calls a second: they have a sixth of that, and each door one.
func (g *Engine) depositSurplus() {
	if !g.settings.HasSharedCounter {
		return
	}
	var full []*customer
	for _, id := range slices.Sorted(maps.Keys(g.customers)) {
		if c := g.customers[id]; c.sharedBucket.Surplus(g.now) > 0 && g.withinHardLimit(c, c.hardLimitShare()) {
			full = append(full, c)
		}
	}
	for left := max(1, min(depositsPerTickMax, depositsPerSecondAll/g.settings.GatewayCount)); left > 0 && len(full) > 0; {
		i := g.rng.IntN(len(full))
		c := full[i]
		full = slices.Delete(full, i, i+1)
		if !g.counterLink.Allow(g.now, &c.sharedBucket) { // asked before each, as each is a call that is out
			continue
		}
		gift := c.sharedBucket.Surplus(g.now)
		c.hardLimitTokens -= gift // first, so that it is never in two places
		g.callCounter(counterCall{customer: c, deposit: true}, gift)
		left--
	}
}

func (g *Engine) callCounter(a counterCall, amount float64) {
	g.counterLink.CallStarted()
	g.lastCounterRef++
	g.counterCalls[g.lastCounterRef] = a
	g.emit(CounterAdd{Ref: g.lastCounterRef, Key: a.customer.sharedBucket.Key(), Amount: amount, TTL: quota.BucketTTL})
}

func (g *Engine) onCounterResult(ev CounterResult) {
	a, ok := g.counterCalls[ev.Ref]
	if !ok {
		return
	}
	delete(g.counterCalls, ev.Ref)
	told := ev.Result == Succeeded
	switch {
	case told:
		g.counterLink.CallSucceeded()
	case ev.Result == Rejected:
		g.counterLink.CallRejected(g.now, g.rng.Float64())
	default: // what was asked for may have been taken out all the same: then nobody has it
		g.counterLink.CallFailed(g.now, g.rng.Float64())
	}
	got, back := false, 0.0
	switch {
	case told && a.deposit:
		back = a.customer.sharedBucket.Deposited(g.now, ev.Total, g.rng.Float64())
	case told && a.request != nil:
		got, back = a.customer.sharedBucket.Withdrawn(a.cost, ev.Total)
	}
	if r := a.request; r != nil && got && (r.finished || !g.admit(r)) {
		back = a.cost
	} else if r != nil && !r.finished && !got {
		g.emit(Reject{r.id, g.retryAfterQuota(r.customer, r.class.PriorityWeight, r.cost), OverQuota})
		g.finish(r)
	}
	if back != 0 {
		g.callCounter(counterCall{customer: a.customer}, back)
	}
}
