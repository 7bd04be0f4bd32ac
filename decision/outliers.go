package decision

import (
	"math"
	"time"

	"pumicecroft/internal/backoff"
)

// What this gateway notices of its backends before any endpoint update tells: those that cannot be
// reached are held, silent and slow ones cost more to select, and first attempts that wait out of
// all proportion are cancelled and made again elsewhere.

const (
	// connectFailureThreshold is how many failed connections in a row mean that a backend's process
	// is down.
	connectFailureThreshold = 3

	// overdueTolerance is how many responses, in mean ones, a backend may owe before it costs more
	// to select.
	overdueTolerance = 2.0
	// overdueDecaySeconds and slownessDecaySeconds are the times in which what an idle backend has
	// overdue, and its slowness over the mean, fade to 1/e.
	overdueDecaySeconds  = 1.0
	slownessDecaySeconds = 2.0

	// slowAttemptFactor is after how many mean latencies of its class a first attempt is cancelled,
	// if another one can be made.
	slowAttemptFactor = 10.0
	// cancelBudgetPerSend is the share of attempts that may be cancelled, cancelBudgetMax how many
	// at once.
	cancelBudgetPerSend = 1.0 / 16
	cancelBudgetMax     = 8.0
	// cancelPenaltyMax bounds what a backend has overdue after an attempt there was cancelled, in
	// mean responses over overdueTolerance.
	cancelPenaltyMax = 8.0
)

// connectBackoff is how long nothing is sent to a backend after a failed connection, by the number of
// those in a row before it.
var connectBackoff = backoff.Exponential{Initial: 125 * time.Millisecond, Max: time.Second}

// onConnectFailed holds a backend that could not be reached, for longer each time in a row. Only
// after connectFailureThreshold is its process taken to be down, and to start anew before it
// responds again: a single connection that breaks tells nothing of the rest.
func (e *Engine) onConnectFailed(backend *backend) {
	backend.holdUntil = e.now + connectBackoff.Delay(backend.connectFailures)
	backend.connectFailures++
	if backend.connectFailures >= connectFailureThreshold {
		e.startWarmup(backend, e.now)
		e.reconcile(backend)
		backend.connectFailures = connectFailureThreshold
	}
}

// overdue updates and returns how many responses, in mean ones, a backend is behind since its last
// one. It shows a backend that hangs, is paused or is cut off before any attempt times out.
//
// A few long requests, or one on a dead connection, can raise it wrongly, so it only raises the
// cost of selection. With nothing in flight it fades, and so does slowness: otherwise every backend
// would be avoided in turn for a minute after one dead attempt, and the rest would be overloaded and
// respond late. That costs an attempt every few seconds at a backend that stays silent, which
// cancelSlowAttempts makes up for.
func (e *Engine) overdue(backend *backend) float64 {
	elapsed := (e.now - backend.overdueAt).Seconds()
	backend.overdueAt = e.now
	if backend.inFlight == 0 {
		backend.overdueResponses *= math.Exp(-elapsed / overdueDecaySeconds)
		backend.slowness -= max(0, backend.slowness-1) * (1 - math.Exp(-elapsed/slownessDecaySeconds))
	}
	usualLatency := e.meanLatency * max(1, backend.slowness)
	backend.overdueResponses += float64(backend.inFlight) * elapsed / usualLatency
	return backend.overdueResponses
}

// cancelSlowAttempts ends first attempts that have waited slowAttemptFactor times their class's
// mean latency, so that they are made once more elsewhere, in the same slot. A connection that has
// gone silent, or a backend that hangs, would otherwise hold the slot until the client stops waiting, a
// hundred times as long as a response takes; a few of them use up a small concurrency limit.
//
// In a jam many attempts wait as long, and what is cancelled there is work done twice: so the
// budget bounds it to a small share of the attempts, and none is cancelled again.
func (e *Engine) cancelSlowAttempts() {
	for _, class := range e.orderedClasses {
		for len(class.firstAttempts) > 0 {
			req := class.firstAttempts[0]
			first := &req.attempts[0]
			waiting := !req.finished && !req.streaming && len(req.attempts) == 1 && first.outstanding
			if waiting && first.waited(e.now) < slowAttemptFactor*class.meanLatency {
				break // the others of its class were sent later
			}
			class.firstAttempts[0], class.firstAttempts = nil, class.firstAttempts[1:]
			inTime := (req.deadline - e.now).Seconds() > 2*class.meanLatency
			allowed := e.settings.CanCancel && e.cancelBudget >= 1
			if waiting && inTime && allowed && e.selectBackend(req) != nil {
				e.cancelBudget--
				first.cancelled = true
				e.emit(CancelAttempt{Request: req.id})
			}
		}
	}
}

// recordCancelled raises the cost of a backend after a slow attempt there was cancelled. That may
// have been the connection's fault, so the backend is soon tried again; each further one doubles it
// until a response comes.
func (e *Engine) recordCancelled(backend *backend) {
	penalty := min(cancelPenaltyMax, math.Ldexp(1, backend.cancelledAttempts))
	backend.overdueResponses = min(backend.overdueResponses, overdueTolerance+penalty)
	backend.cancelledAttempts++
}
