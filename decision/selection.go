package decision

import (
	"math"
	"slices"
	"time"
)

const (
	// subsetWindow determines the size of a gateway's subset of backends: one backend for each
	// attempt that it sends in this time, and at least minSubsetSize. It can detect slow and silent backends
	// only if each of them gets an attempt every few seconds.
	subsetWindow  = 4 * time.Second
	minSubsetSize = 4.0

	// selectionJitter is the largest relative random increase of a selection cost; it breaks ties
	// between equal backends.
	selectionJitter = 0.05
)

// subsetSize returns the size of this gateway's subset of the pool, as a sum of warm-up fractions.
// As every gateway has its own random order of the backends, all backends are used about equally.
// After an idle period the number of open requests makes the subset large enough for a burst.
func (p *protocolPool) subsetSize(requests int) float64 {
	return max(minSubsetSize, p.sendRate*subsetWindow.Seconds(), float64(requests))
}

// selectBackend returns the backend for an attempt of a request, or nil if there is none: the one
// with the lowest selectionCost in this gateway's subset of the ready backends. Backends that are
// on hold, are not eligible for the request, or are in slow start without a token are skipped.
//
// The subset ends when the warm-up fractions of the backends in it add up to its size, whether or
// not they have a token now: thus a backend in slow start is in the subsets of as many gateways as
// its capacity allows. Silent backends do not count towards the size.
func (e *Engine) selectBackend(req *request) *backend {
	if req.pool == nil {
		return nil
	}
	var best *backend
	bestCost, seen, subset := math.Inf(1), 0.0, req.pool.subsetSize(len(e.requests))
	for candidate := range req.pool.Ready() {
		if seen >= subset && best != nil {
			break
		}
		if e.now < candidate.holdUntil || !e.eligible(req, candidate) {
			continue
		}
		overdue := e.updateOverdueResponses(candidate)
		seen += e.warmupFraction(candidate) * float64(boolToInt(overdue <= overdueTolerance))
		if !e.hasWarmupToken(req.pool, candidate) {
			continue
		}
		if cost := e.selectionCost(candidate, overdue); cost < bestCost {
			best, bestCost = candidate, cost
		}
	}
	return best
}

// selectionCost returns a cost, without a unit, that is lowest for the backend that should respond
// first: its attempts in flight including this one, times its latency ratio, times a factor for
// overdue responses. Further criteria for the best of the eligible backends belong here; rules that
// forbid a backend for a request belong in eligible, and those that forbid it for all requests in
// selectBackend.
func (e *Engine) selectionCost(backend *backend, overdue float64) float64 {
	silence := 1 + max(0, overdue-overdueTolerance)
	jitter := 1 + selectionJitter*e.rng.Float64()
	cost := float64(backend.inFlight+1) * backend.latencyRatio * silence * jitter
	if backend.warmingUp { // meanLatency includes the queues of the warm backends; a new one has no queue
		cost *= e.bestLatency / (e.meanLatency * e.warmupFraction(backend))
	}
	return cost
}

// eligible reports whether a request may be sent to a backend. A backend that already had an
// attempt of the request is not eligible, unless it is the only one of its protocol; backends that
// are draining count too. Once an attempt may have been executed, a backend is eligible only if the
// class is idempotent, or if the backend drops the repeat: it is within the DedupScope of that
// attempt, and the DedupWindow, less ResponseGrace as in startAttempt, has not ended.
func (e *Engine) eligible(req *request, backend *backend) bool {
	tried := func(a attempt) bool { return a.backend == backend }
	if req.pool.Len() > 1 && slices.ContainsFunc(req.attempts, tried) {
		return false
	}
	possiblyExecuted := req.possiblyExecutedAttempt()
	if possiblyExecuted == nil || req.class.Idempotency == Idempotent {
		return true
	}
	return req.class.Idempotency == IdempotentByKey &&
		e.now-possiblyExecuted.sentAt+e.settings.ResponseGrace < req.class.DedupWindow &&
		req.class.DedupScope.sharedBy(possiblyExecuted.keyScope, backend.keyScope())
}

// keyScope is where the record of the idempotency keys that a backend has executed may be shared.
type keyScope struct {
	zone string
	cell int
}

func (b *backend) keyScope() keyScope { return keyScope{b.Zone, b.Cell} }

// sharedBy reports whether backends in two places share their record of idempotency keys.
func (s DedupScope) sharedBy(a, b keyScope) bool {
	return (s != DedupScopeZone || a.zone == b.zone) && (s != DedupScopeCell || a.cell == b.cell)
}
