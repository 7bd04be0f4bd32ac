package decision

import (
	"cmp"
	"slices"

	"pumicecroft/quota"
)

// Exchange of hard-limit tokens between gateways, through a shared bucket on the counter; package
// quota has the rules. Requests normally do not wait for the counter: only one that exceeds this
// gateway's own share does. If the counter does not respond in time, the request is
// rejected, as it would be without a counter.

const (
	// depositsPerSecondAll bounds the deposits of all gateways together: a sixth of the about 600
	// calls a second that the counter serves. depositsPerTickMax bounds the deposits that one
	// gateway makes in one tick.
	depositsPerSecondAll = 100
	depositsPerTickMax   = 8
)

// counterState holds this gateway's calls of the shared counter, and how well the counter responds.
type counterState struct {
	counterLink    quota.CounterLink      // circuit breaker and load limiter of the calls
	counterCalls   map[uint64]counterCall // calls without a result, by Ref
	lastCounterRef uint64
}

// counterCall is a CounterAdd without a result.
type counterCall struct {
	customer *customer
	request  *request // waits for the tokens; nil: no request does
	cost     float64  // cost of that request, units
	deposit  bool     // the call deposits surplus tokens into the shared bucket
}

// requestWithdrawal requests the cost of a request from the shared bucket, and reports whether the request now
// waits for the result.
func (e *Engine) requestWithdrawal(req *request) bool {
	bucket := &req.customer.sharedBucket
	if !bucket.Exists() || !e.counterLink.Allow(e.now, bucket) {
		return false
	}
	req.withdrawalRequested = true
	e.register(req)
	e.callCounter(counterCall{customer: req.customer, request: req, cost: req.cost}, -req.cost)
	return true
}

// depositSurplus deposits surplus tokens into the shared buckets of some of the customers whose share
// is full at this gateway, so that further tokens would be lost. It runs with the tick, as a gateway that gets few
// requests of a customer, and so has a surplus, could not rely on requests to trigger it.
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
		// Checked before each call, as calls in flight count.
		if !e.counterLink.Allow(e.now, &customer.sharedBucket) {
			continue
		}
		surplus := customer.sharedBucket.Surplus(e.now)
		customer.hardLimitTokens -= surplus // before the call, so that no token is in both buckets
		e.callCounter(counterCall{customer: customer, deposit: true}, surplus)
		left--
	}
}

// customersWithSurplus returns the customers whose surplus may be deposited now, ordered by ID: those
// whose share at this gateway is full. withinHardLimit refills the share first.
func (e *Engine) customersWithSurplus() (full []*customer) {
	for _, customer := range e.customers { // in map order: sorted below
		hasSurplus := customer.sharedBucket.Surplus(e.now) > 0
		if hasSurplus && e.withinHardLimit(customer, customer.hardLimitShare()) {
			full = append(full, customer)
		}
	}
	slices.SortFunc(full, func(a, b *customer) int { return cmp.Compare(a.id, b.id) })
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

// onCounterResult handles the result of a call: the request that waits for it is admitted or
// rejected. A further call corrects the shared bucket if tokens were withdrawn in vain, or if it
// now holds too many.
func (e *Engine) onCounterResult(event CounterResult) {
	call, pending := e.counterCalls[event.Ref]
	if !pending {
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

// recordCounterResult records how a call ended. If the result of a withdrawal is lost, its tokens
// may have been taken all the same; then no gateway has them, and the hard limit still holds.
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
