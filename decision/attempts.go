package decision

import "time"

const (
	// latencySampleWeight is the weight of one response in the running means of latency. The low
	// marks of these rise by a quarter of its square with each response, so they outlast a jam.
	latencySampleWeight = 1.0 / 16
	bestLatencyGrowth   = latencySampleWeight * latencySampleWeight / 4

	// minSlowness is the least slowness of a backend.
	minSlowness = 0.1
)

// attempt is one attempt of a request.
type attempt struct {
	backend     *backend
	slot        *slot
	sentAt      time.Duration
	pausedFor   time.Duration // how much of the time since this process was paused
	outstanding bool          // its outcome has not come
	countedLate bool          // it was counted as late while it was outstanding
	cancelled   bool          // as slow, to be made elsewhere
	result      Result
}

// waited is how long a response has been waited for, in seconds.
func (a *attempt) waited(now time.Duration) float64 { return (now - a.sentAt - a.pausedFor).Seconds() }

// hasOutstanding reports whether an attempt's outcome has not come. There is never more than one
// such attempt.
func (r *request) hasOutstanding() bool {
	return len(r.attempts) > 0 && r.attempts[len(r.attempts)-1].outstanding
}

// startAttempt sends a request to a backend, in a slot that is held already. A repeat of what may
// have run must leave while the backend still drops it.
func (e *Engine) startAttempt(req *request, backend *backend, slot *slot) {
	notAfter := time.Duration(0)
	if executed := req.executedAttempt(); executed != nil && req.class.Idempotency == IdempotentByKey {
		notAfter = executed.sentAt + req.class.DedupWindow - e.settings.ResponseGrace
	}
	started := attempt{backend: backend, slot: slot, sentAt: e.now, outstanding: true}
	req.attempts = append(req.attempts, started)
	e.overdue(backend)
	backend.inFlight++
	backend.warmupTokens--
	e.sendsThisSecond++
	req.pool.sendsThisSecond++
	e.cancelBudget = min(cancelBudgetMax, e.cancelBudget+cancelBudgetPerSend)
	req.customer.inFlight++
	e.emit(StartAttempt{Request: req.id, Backend: backend.ID, NotAfter: notAfter})
}

// onOutcome ends an attempt: the request is finished, is retried in the same slot, or gets its
// final answer. An outcome of no attempt that is outstanding is ignored.
func (e *Engine) onOutcome(event Outcome) {
	req := e.requests[event.Request]
	if req == nil || event.Attempt < 0 || event.Attempt >= len(req.attempts) ||
		!req.attempts[event.Attempt].outstanding {
		return
	}
	ended := &req.attempts[event.Attempt]
	ended.outstanding, ended.result = false, event.Result
	e.recordOutcome(req, ended, event)
	slot := ended.slot
	ended.backend.inFlight--
	req.customer.inFlight--
	if event.HasUsage {
		e.onUsage(req.customer, max(0, event.Usage))
	}
	if event.Final {
		e.finish(req)
	}
	if req.finished || req.streaming || !e.retry(req, slot) {
		e.releaseSlot(slot)
		if !req.finished && !req.streaming {
			e.respondUnserved(req)
		}
	}
	e.forget(req)
}

// recordOutcome takes what an outcome tells of its backend, of its class and of all backends
// together.
func (e *Engine) recordOutcome(req *request, ended *attempt, event Outcome) {
	backend, latency := ended.backend, event.Latency.Seconds()
	e.overdue(backend)
	e.countOutcome(req.class, ended, event)
	switch event.Result {
	case Succeeded:
		backend.overdueResponses, backend.connectFailures, backend.cancelledAttempts = 0, 0, 0
		e.recordLatency(req.class, backend, latency)
	case ErrorResponse, Unknown: // the backend responded
		backend.overdueResponses = 0
	case TimedOut, Cancelled:
		e.recordNoResponse(req.class, ended, latency)
	case Rejected:
		backend.overdueResponses, backend.holdUntil = 0, e.now+durationOf(e.meanLatency/2)
	case ConnectFailed:
		e.onConnectFailed(backend)
	}
	backend.slowness = max(backend.slowness, minSlowness)
}

// countOutcome counts an attempt for the concurrency limit, unless it was counted as late already.
func (e *Engine) countOutcome(class *class, ended *attempt, event Outcome) {
	if event.Result == Cancelled || event.Result == NotSent || ended.countedLate {
		return
	}
	slow := event.Latency.Seconds() > class.lateAfter()
	late := event.Result == TimedOut || event.Result == Succeeded && slow
	e.endedAttempts++
	if late || event.Result == Rejected {
		e.badOutcomes++
		e.index.RecordFailure(&ended.backend.entry, e.now)
	}
}

// recordLatency takes in the latency of a response, in seconds.
func (e *Engine) recordLatency(class *class, backend *backend, latency float64) {
	e.sustainableSum += class.lateAfter()
	e.responseCount++
	class.meanLatency += latencySampleWeight * (latency - class.meanLatency)
	class.bestLatency = min(class.meanLatency, class.bestLatency*(1+bestLatencyGrowth))
	e.meanLatency += latencySampleWeight * (latency - e.meanLatency)
	e.bestLatency = min(e.meanLatency, e.bestLatency*(1+bestLatencyGrowth))
	backend.slowness += 2 * latencySampleWeight * (latency/class.meanLatency - backend.slowness)
}

// recordNoResponse takes in that an attempt had no response for a latency in seconds: it would have
// taken that long at least, but no more than slowAttemptFactor counts, as its connection may have
// been dead.
func (e *Engine) recordNoResponse(class *class, ended *attempt, latency float64) {
	if ended.cancelled {
		e.recordCancelled(ended.backend)
		return
	}
	backend := ended.backend
	slowness := min(latency/class.meanLatency, slowAttemptFactor)
	backend.slowness += 2 * latencySampleWeight * max(0, slowness-backend.slowness)
}

// finish stops all that goes on for a request. Its attempt keeps its slot until the outcome comes.
func (e *Engine) finish(req *request) {
	if req == nil || req.finished {
		return
	}
	req.finished = true
	if req.hasOutstanding() && e.settings.CanCancel {
		e.emit(CancelAttempt{Request: req.id, Attempt: len(req.attempts) - 1})
	}
	e.forget(req)
}

// forget drops a request once nothing of it is left.
func (e *Engine) forget(req *request) {
	if req.finished && !req.hasOutstanding() {
		delete(e.requests, req.id)
		delete(e.bySeq, req.seq)
	}
}
