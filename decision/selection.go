package decision

import (
	"math"
	"slices"
	"time"
)

const (
	// subsetWindow sets how many backends a gateway keeps to: as many as it sends attempts in this
	// time, and at least minSubsetSize. It learns which backends are slow or silent only of those
	// that it hears from every few seconds.
	subsetWindow  = 4 * time.Second
	minSubsetSize = 4.0

	// selectionJitter spreads the costs of equal backends, by up to this share.
	selectionJitter = 0.05
)

// subsetSize is how many of a pool's backends this gateway keeps to, as the sum of their warm-up
// fractions. Each gateway has its own random order of them, so all are used alike. After a quiet
// time a burst goes to as many as there are requests.
func (p *protocolPool) subsetSize(requests int) float64 {
	return max(minSubsetSize, p.sendRate*subsetWindow.Seconds(), float64(requests))
}

// selectBackend returns the backend that an attempt of a request should go to, or nil where there
// is none: of this gateway's subset of those that are ready, the one of least selectionCost. A
// backend that is on hold, or not eligible for this request, is passed over; so is one that is
// warming up and has no token.
//
// The subset ends where the warm-up fractions of those met reach its size, whether they have a
// token now or not: so one that warms up is in as many gateways' subsets as it can bear. Silent
// ones don't count.
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
		overdue := e.overdue(candidate)
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

// selectionCost is lowest for the backend that should respond first: its attempts in flight with
// this one, times its slowness, times a factor for the responses that are overdue. It has no unit.
// A further rule on which of the eligible backends is best belongs here; one that forbids a backend
// to a request belongs in eligible.
func (e *Engine) selectionCost(backend *backend, overdue float64) float64 {
	silence := 1 + max(0, overdue-overdueTolerance)
	jitter := 1 + selectionJitter*e.rng.Float64()
	cost := float64(backend.inFlight+1) * backend.slowness * silence * jitter
	if backend.warmingUp { // the queues of the others are in their mean latency, and it has none
		cost *= e.bestLatency / (e.meanLatency * e.warmupFraction(backend))
	}
	return cost
}

// eligible reports whether a request may be sent to a backend. It is not sent to one where it was
// before, unless that is the only one of its protocol. Once an attempt may have run, it is sent
// only where a repeat is harmless, or where backends drop it: inside the DedupScope of that
// attempt, and as long as its DedupWindow surely lasts.
func (e *Engine) eligible(req *request, backend *backend) bool {
	tried := func(a attempt) bool { return a.backend == backend }
	if req.pool.Len() > 1 && slices.ContainsFunc(req.attempts, tried) {
		return false
	}
	executed := req.executedAttempt()
	if executed == nil || req.class.Idempotency == Idempotent {
		return true
	}
	return req.class.Idempotency == IdempotentByKey &&
		e.now-executed.sentAt+e.settings.ResponseGrace < req.class.DedupWindow &&
		req.class.DedupScope.includes(&executed.backend.Endpoint, &backend.Endpoint)
}

// includes reports whether two endpoints share the memory of idempotency keys.
func (s DedupScope) includes(a, b *Endpoint) bool {
	return (s != DedupScopeZone || a.Zone == b.Zone) && (s != DedupScopeCell || a.Cell == b.Cell)
}
