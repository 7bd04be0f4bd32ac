package decision

import (
	"math"
	"time"
)

// weightSamples is how many recent arrivals the boundary between the priority tiers is the median
// of.
const weightSamples = 256

// priorityState is what the boundary between the tiers is found by.
type priorityState struct {
	recentWeights []float64 // of the last weightSamples arrivals
	medianWeight  float64   // of these, as of the last tick
}

// request is a request that has no final answer yet, or whose attempts are not all over.
type request struct {
	id       RequestID
	seq      uint64 // its number and its timer's token; 0: not registered
	class    *class
	pool     *protocolPool // nil: no backend has ever spoken its protocol
	customer *customer
	deadline time.Duration // when its client stops waiting
	cost     float64       // units
	borrowed bool          // its hard-limit tokens come out of the shared bucket
	attempts []attempt
	finished bool // it has its final answer, or its client has left
	// streaming says that its response has started, so the attempt is the client's.
	streaming bool
}

// onRequest takes a request through its customer's limits, and on to admit. It is rejected where
// the quota does not allow it, and where the hard limit does not, unless the other gateways can
// lend what it lacks.
func (e *Engine) onRequest(event Request) {
	if e.requests[event.ID] != nil {
		return
	}
	class, plan := e.classes[event.Class], e.plans[event.Plan]
	validCost := event.Cost >= 0 && !math.IsInf(event.Cost, 0)
	if class == nil || plan == nil || !validCost || event.Timeout <= 0 {
		e.emit(Reject{Request: event.ID, Reason: Invalid})
		return
	}
	customer := e.customerFor(event, plan)
	req := &request{
		id:       event.ID,
		class:    class,
		pool:     e.pools[event.Protocol],
		customer: customer,
		deadline: e.now + event.Timeout,
		cost:     event.Cost,
	}
	customer.newcomers.RecordRequest(class.PriorityWeight, event.Cost)
	withinQuota := e.withinQuota(customer, class.PriorityWeight, event.Cost)
	withinHardLimit := e.withinHardLimit(customer, event.Cost)
	switch {
	case withinQuota && withinHardLimit:
		e.admit(req)
	case withinQuota && e.borrow(req): // it waits for the counter
	default:
		e.rejectOverQuota(req)
	}
}

// rejectOverQuota rejects a request that its customer's plan does not allow.
func (e *Engine) rejectOverQuota(req *request) {
	retryAfter := e.retryAfterQuota(req.customer, req.class.PriorityWeight, req.cost)
	e.emit(Reject{Request: req.id, RetryAfter: retryAfter, Reason: OverQuota})
}

// admit forwards a request that its customer's plan allows: to the backend that selection finds, in
// a slot of its priority tier. It reports whether it did; if not, the request is rejected.
func (e *Engine) admit(req *request) bool {
	high := e.recordArrival(req)
	backend := e.selectBackend(req)
	if backend == nil {
		e.rejectForLoad(req, NoBackend)
		return false
	}
	slot := e.acquireSlot(high)
	if slot == nil {
		e.rejectForLoad(req, Overloaded)
		return false
	}
	if !req.borrowed {
		e.register(req)
		req.customer.hardLimitTokens -= req.cost
	}
	e.recordDebit(req.customer, req.cost)
	e.startAttempt(req, backend, slot)
	req.class.firstAttempts = append(req.class.firstAttempts, req)
	return true
}

// rejectForLoad rejects a request that no backend can take now.
func (e *Engine) rejectForLoad(req *request, reason Reason) {
	e.emit(Reject{Request: req.id, RetryAfter: e.retryAfterSlot(), Reason: reason})
	e.finish(req)
}

// register begins a request's life: from here on it is held, until finish and forget.
func (e *Engine) register(req *request) {
	e.seq++
	req.seq = e.seq
	e.requests[req.id], e.bySeq[req.seq] = req, req
	e.emit(SetTimer{After: req.deadline - e.now, Token: req.seq, Request: req.id})
}

// recordArrival counts a request in its priority tier, and reports whether that is the high one. A
// request's weight is its class's PriorityWeight times its plan's Price times its cost.
func (e *Engine) recordArrival(req *request) (high bool) {
	weight := req.class.PriorityWeight * req.customer.plan.Price * req.cost
	high = e.isHighPriority(weight)
	tier := &e.tiers[boolToInt(high)]
	tier.arrivals++
	tier.weight += weight
	return high
}

// isHighPriority reports whether a weight is above the recent median. One that equals it is low.
func (e *Engine) isHighPriority(weight float64) bool {
	e.recentWeights = append(e.recentWeights, weight)
	if len(e.recentWeights) > weightSamples {
		e.recentWeights = e.recentWeights[1:]
	}
	return weight > e.medianWeight
}
