package decision

import (
	"math"
	"time"

	"pumicecroft/internal/backoff"
)

// Detection of failing backends before an endpoint update reports them. Backends that cannot be
// reached are put on hold, silent and slow ones get a higher selection cost, and first attempts
// that take far longer than usual are cancelled and retried at another backend.

const (
	// connectFailureThreshold is how many consecutive failed connections mean that a backend's
	// process is down.
	connectFailureThreshold = 3

	// overdueTolerance is the value of overdueResponses above which a backend's selection cost
	// rises.
	overdueTolerance = 2.0
	// overdueDecaySeconds and latencyRatioDecaySeconds are the time constants, to 1/e, with which
	// overdueResponses, and latencyRatio above 1, decay at a backend without attempts in flight.
	overdueDecaySeconds      = 1.0
	latencyRatioDecaySeconds = 2.0

	// slowAttemptFactor is the wait, in mean latencies of its class, after which a first attempt is
	// cancelled if it can be retried elsewhere.
	slowAttemptFactor = 10.0
	// cancelBudgetPerSend is the share of attempts that may be cancelled as slow. cancelBudgetMax
	// is how many may be cancelled at once.
	cancelBudgetPerSend = 1.0 / 16
	cancelBudgetMax     = 8.0
	// cancelPenaltyMax is the highest value, above overdueTolerance, at which recordCancelled caps
	// overdueResponses.
	cancelPenaltyMax = 8.0
)

// connectBackoff gives how long a backend is on hold after a failed connection, by the number of
// consecutive failures before it.
var connectBackoff = backoff.Exponential{Initial: 125 * time.Millisecond, Max: time.Second}

// onConnectFailed puts a backend that could not be reached on hold, for longer after each
// consecutive failure. A single failed connection says nothing about other connections to the
// backend: only after connectFailureThreshold failures is the backend's process assumed to be down,
// and the backend put into slow start. The count is capped there: each further failure restarts
// slow start, and the time on hold grows no more.
func (e *Engine) onConnectFailed(backend *backend) {
	backend.holdUntil = e.now + connectBackoff.Delay(backend.connectFailures)
	backend.connectFailures++
	if backend.connectFailures >= connectFailureThreshold {
		e.startWarmup(backend, e.now)
		e.reconcile(backend)
		backend.connectFailures = connectFailureThreshold
	}
}

// updateOverdueResponses updates and returns a backend's overdueResponses: each attempt in flight
// adds the time that passes, in usual latencies of the backend, until a response sets the value to
// zero. This detects a backend that hangs, is paused or is unreachable before any attempt times out.
//
// A few long requests, or one on a dead connection, can raise the value wrongly, so it only raises
// the selection cost. It decays while no attempt is in flight, and so does latencyRatio. Without
// that decay, each backend in turn would be avoided for a minute after one attempt on a dead
// connection, and the remaining ones would be overloaded and respond late. Because of the decay, a backend that stays
// silent still gets an attempt every few seconds, which cancelSlowAttempts then moves elsewhere.
func (e *Engine) updateOverdueResponses(backend *backend) float64 {
	elapsed := (e.now - backend.overdueAt).Seconds()
	backend.overdueAt = e.now
	if backend.inFlight == 0 {
		backend.overdueResponses *= math.Exp(-elapsed / overdueDecaySeconds)
		backend.latencyRatio -= max(0, backend.latencyRatio-1) * (1 - math.Exp(-elapsed/latencyRatioDecaySeconds))
	}
	usualLatency := e.meanLatency * max(1, backend.latencyRatio)
	backend.overdueResponses += float64(backend.inFlight) * elapsed / usualLatency
	return backend.overdueResponses
}

// cancelSlowAttempts cancels first attempts that have waited slowAttemptFactor times the mean
// latency of their class, so that they are retried at another backend in the same slot. Otherwise
// an attempt on a dead connection, or at a backend that hangs, would hold its slot until the
// client's deadline, which may be a hundred times as long as a normal response takes; a few of them
// would use up a small concurrency limit.
//
// An attempt is cancelled only if more than twice the mean latency is left until the deadline, so
// that there is time for the retry.
//
// Under overload many attempts wait that long, and cancelling them means doing their work twice.
// Therefore the budget limits cancelled attempts to a small share, and a retry is never cancelled
// as slow.
func (e *Engine) cancelSlowAttempts() {
	for _, class := range e.orderedClasses {
		for len(class.cancelCandidates) > 0 {
			req := class.cancelCandidates[0]
			first := &req.attempts[0]
			waiting := !req.finished && !req.streaming && len(req.attempts) == 1 && first.outstanding
			if waiting && first.waited(e.now) < slowAttemptFactor*class.meanLatency {
				break // the other candidates of the class were sent later
			}
			class.cancelCandidates[0], class.cancelCandidates = nil, class.cancelCandidates[1:]
			inTime := (req.deadline - e.now).Seconds() > 2*class.meanLatency
			allowed := e.settings.CanCancel && e.cancelBudget >= 1
			if waiting && inTime && allowed && e.selectBackend(req) != nil {
				e.cancelBudget--
				first.cancelledAsSlow = true
				e.emit(CancelAttempt{Request: req.id})
			}
		}
	}
}

// recordCancelled caps overdueResponses of a backend after an attempt there was cancelled as slow:
// the wait has raised it far above overdueTolerance. As the connection alone may have been at fault,
// the backend is soon tried again, but each consecutive cancelled attempt doubles how far the cap is
// above overdueTolerance, up to cancelPenaltyMax. A successful response clears both.
func (e *Engine) recordCancelled(backend *backend) {
	penalty := min(cancelPenaltyMax, math.Ldexp(1, backend.cancelledAttempts))
	backend.overdueResponses = min(backend.overdueResponses, overdueTolerance+penalty)
	backend.cancelledAttempts++
}
