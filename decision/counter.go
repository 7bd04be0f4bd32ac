package decision

import (
	"maps"
	"slices"

	"pumicecroft/quota"
)

// What gateways lend each other of a customer's hard limit, over the counter that they share
// (package quota has the rules of it). The ordinary path asks nothing of the counter: only a
// request that this gateway's own share cannot bear waits for it, and where it does not respond in
// time the request is rejected, as it would be without a counter.

const (
	// depositsPerSecondAll bounds the deposits of all gateways together: a sixth of some 600 calls
	// a second that the counter serves. depositsPerTickMax bounds those of one, which it makes at
	// one moment.
	depositsPerSecondAll = 100
	depositsPerTickMax   = 8
)

// counterState is the calls of this gateway, and what they tell of the counter.
type counterState struct {
	counterLink    quota.CounterLink
	counterCalls   map[uint64]counterCall // not ended, by Ref
	lastCounterRef uint64
}

// counterCall is a CounterAdd whose result has not come.
type counterCall struct {
	customer *customer
	request  *request // that waits for tokens; nil: none does
	cost     float64  // of that request, units
	deposit  bool     // the call puts surplus into the shared bucket
}

// borrow asks the shared bucket for the cost of a request, and reports whether the request now
// waits for that.
func (e *Engine) borrow(req *request) bool {
	bucket := &req.customer.sharedBucket
	if !bucket.Exists() || !e.counterLink.Allow(e.now, bucket) {
		return false
	}
	req.borrowed = true
	e.register(req)
	e.callCounter(counterCall{customer: req.customer, request: req, cost: req.cost}, -req.cost)
	return true
}

// depositSurplus puts what would overflow into the shared buckets of some of the customers whose
// share is full here. It runs with the tick: gateways that have little of a customer's traffic, and
// so a surplus, hear of it from no request.
func (e *Engine) depositSurplus() {
	if !e.settings.HasSharedCounter {
		return
	}
	full := e.customersWithSurplus()
	left := max(1, min(depositsPerTickMax, depositsPerSecondAll/e.settings.GatewayCount))
	for left > 0 && len(full) > 0 {
		i := e.rng.IntN(len(full))
		customer := full[i]
		full = slices.Delete(full, i, i+1)
		// Asked before each call, as each call in flight counts.
		if !e.counterLink.Allow(e.now, &customer.sharedBucket) {
			continue
		}
		surplus := customer.sharedBucket.Surplus(e.now)
		customer.hardLimitTokens -= surplus // before the call, so that no token is ever in two places
		e.callCounter(counterCall{customer: customer, deposit: true}, surplus)
		left--
	}
}

// customersWithSurplus returns the customers that may deposit now, in the order of their ids.
func (e *Engine) customersWithSurplus() (full []*customer) {
	for _, id := range slices.Sorted(maps.Keys(e.customers)) {
		customer := e.customers[id]
		hasSurplus := customer.sharedBucket.Surplus(e.now) > 0
		if hasSurplus && e.withinHardLimit(customer, customer.hardLimitShare()) {
			full = append(full, customer)
		}
	}
	return full
}

// callCounter adds an amount to the customer's shared bucket.
func (e *Engine) callCounter(call counterCall, amount float64) {
	e.counterLink.CallStarted()
	e.lastCounterRef++
	e.counterCalls[e.lastCounterRef] = call
	e.emit(CounterAdd{
		Ref:    e.lastCounterRef,
		Key:    call.customer.sharedBucket.Key(),
		Amount: amount,
		TTL:    quota.BucketTTL,
	})
}

// onCounterResult ends a call: a request that waits for it is admitted or rejected, and what must
// not stay in the bucket, or was taken in vain, is put back by a further call.
func (e *Engine) onCounterResult(event CounterResult) {
	call, known := e.counterCalls[event.Ref]
	if !known {
		return
	}
	delete(e.counterCalls, event.Ref)
	e.recordCounterResult(event.Result)
	succeeded := event.Result == Succeeded
	granted, correction := false, 0.0
	switch {
	case succeeded && call.deposit:
		correction = call.customer.sharedBucket.Deposited(e.now, event.Total, e.rng.Float64())
	case succeeded && call.request != nil:
		granted, correction = call.customer.sharedBucket.Withdrawn(call.cost, event.Total)
	}
	if req := call.request; req != nil && granted && (req.finished || !e.admit(req)) {
		correction = call.cost
	} else if req != nil && !req.finished && !granted {
		e.rejectOverQuota(req)
		e.finish(req)
	}
	if correction != 0 {
		e.callCounter(counterCall{customer: call.customer}, correction)
	}
}

// recordCounterResult tells the link how a call ended. After a call that was lost, tokens that it
// asked for may have been taken out all the same: then nobody has them, and the limit holds.
func (e *Engine) recordCounterResult(result Result) {
	switch result {
	case Succeeded:
		e.counterLink.CallSucceeded()
	case Rejected:
		e.counterLink.CallRejected(e.now, e.rng.Float64())
	default:
		e.counterLink.CallFailed(e.now, e.rng.Float64())
	}
}
