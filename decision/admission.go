package decision

import (
	"math"
	"time"
)

// weightSamples is how many recent arrivals the median weight is computed from. That median is the
// boundary between the priority tiers.
const weightSamples = 256

// priorityState is what the boundary between the priority tiers is computed from.
type priorityState struct {
	recentWeights []float64 // weights of the last weightSamples arrivals
	medianWeight  float64   // median of recentWeights, as of the last tick
}

// request is a request that has no final answer yet, or has an attempt in flight.
type request struct {
	id                  RequestID
	seq                 uint64 // sequence number, the Token of its timer; 0: not registered
	class               *class
	pool                *protocolPool // nil: no backend has ever had its protocol
	customer            *customer
	deadline            time.Duration // when its client stops waiting, on the Engine's clock
	cost                float64       // units
	withdrawalRequested bool          // its tokens come from the shared bucket, not from this gateway's share
	attempts            []attempt
	finished            bool // it has its final answer, or its client has disconnected
	// streaming says that its response has started: see ResponseStarted.
	streaming bool
}

// onRequest passes a request to admit if it is within its customer's limits. It is rejected as
// Invalid if it cannot be handled, and as OverQuota if it exceeds the quota. If it exceeds this
// gateway's share of the hard limit, it waits for tokens from the shared bucket where these can be
// requested, and is rejected as OverQuota otherwise.
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
	if customer == nil {
		e.emit(Reject{Request: event.ID, RetryAfter: e.settings.MaxRetryAfter, Reason: OverQuota})
		return
	}
	req := &request{
		id:       event.ID,
		class:    class,
		pool:     e.pools[event.Protocol],
		customer: customer,
		deadline: e.now + event.Timeout,
		cost:     event.Cost,
	}
	class.newcomerRejections.RecordRequest()
	customer.newcomerStats.RecordRequest(class.PriorityWeight, event.Cost)
	admittedByQuota := e.admittedByQuota(customer, class, event.Cost)
	withinHardLimit := e.withinHardLimit(customer, event.Cost)
	switch {
	case admittedByQuota && withinHardLimit:
		e.admit(req)
	case admittedByQuota && e.requestWithdrawal(req): // it waits for the result of the counter
	default:
		e.rejectOverQuota(req)
	}
}

// rejectOverQuota rejects a request that exceeds its customer's plan.
func (e *Engine) rejectOverQuota(req *request) {
	retryAfter := e.retryAfterQuota(req.customer, req.class.PriorityWeight, req.cost)
	e.emit(Reject{Request: req.id, RetryAfter: retryAfter, Reason: OverQuota})
}

// admit forwards a request that is within its customer's plan: to the selected backend, in a slot
// for its priority tier. It reports whether it did; if not, the request has been rejected. A request
// that has waited for the shared bucket is registered already, and its tokens were taken from there;
// any other takes them from this gateway's share (which means nothing for a plan without a hard
// limit).
func (e *Engine) admit(req *request) bool {
	high := e.recordArrival(req)
	backend := e.selectBackend(req)
	if backend == nil {
		e.rejectUnavailable(req, NoBackend)
		return false
	}
	slot := e.acquireSlot(high)
	if slot == nil {
		e.rejectUnavailable(req, Overloaded)
		return false
	}
	if !req.withdrawalRequested {
		e.register(req)
		req.customer.hardLimitTokens -= req.cost
	}
	e.recordDebit(req.customer, req.cost)
	e.startAttempt(req, backend, slot)
	req.class.cancelCandidates = append(req.class.cancelCandidates, req)
	return true
}

// rejectUnavailable rejects a request for which there is no backend or no slot.
func (e *Engine) rejectUnavailable(req *request, reason Reason) {
	e.emit(Reject{Request: req.id, RetryAfter: e.retryAfterMeanLatency(), Reason: reason})
	e.finish(req)
}

// register adds a request to the Engine's requests and sets the timer for its deadline.
func (e *Engine) register(req *request) {
	e.seq++
	req.seq = e.seq
	e.requests[req.id], e.bySeq[req.seq] = req, req
	e.emit(SetTimer{After: req.deadline - e.now, Token: req.seq, Request: req.id})
}

// recordArrival counts a request in its priority tier, and reports whether that is the high one.
// The weight of a request is its class's PriorityWeight times its plan's Price times its cost.
func (e *Engine) recordArrival(req *request) (high bool) {
	weight := req.class.PriorityWeight * req.customer.plan.Price * req.cost
	high = e.isHighPriority(weight)
	tier := &e.tiers[boolToInt(high)]
	tier.arrivals++
	tier.weight += weight
	return high
}

// isHighPriority records a weight, and reports whether it is above the median of recent ones. A
// weight equal to the median is low priority.
func (e *Engine) isHighPriority(weight float64) bool {
	e.recentWeights = append(e.recentWeights, weight)
	if len(e.recentWeights) > weightSamples {
		e.recentWeights = e.recentWeights[1:]
	}
	return weight > e.medianWeight
}
