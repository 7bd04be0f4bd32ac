package decision

import "time"

const (
	// latencySampleWeight is the weight of one response in the moving averages of latency. The best
	// latencies rise by the fraction bestLatencyGrowth with each response, slowly enough to still
	// hold the uncongested latency after a long overload.
	latencySampleWeight = 1.0 / 16
	bestLatencyGrowth   = latencySampleWeight * latencySampleWeight / 4

	// minLatencyRatio is the lower bound of a backend's latencyRatio.
	minLatencyRatio = 0.1
)

// attempt is one attempt of a request.
type attempt struct {
	backend         *backend
	keyScope        keyScope // of the process that it was sent to; the backend may have another one by now
	slot            *slot
	sentAt          time.Duration
	pausedFor       time.Duration // time since sentAt in which this process was paused
	outstanding     bool          // its Outcome has not been received
	countedLate     bool          // the concurrency limit counted it as late while it was in flight
	cancelledAsSlow bool          // cancelled by cancelSlowAttempts, to be retried at another backend
	result          Result
}

// waited returns how long the attempt has been waiting for its response, in seconds, without pauses
// of this process.
func (a *attempt) waited(now time.Duration) float64 { return (now - a.sentAt - a.pausedFor).Seconds() }

// hasOutstanding reports whether the request has an attempt in flight. It never has more than one.
func (r *request) hasOutstanding() bool {
	return len(r.attempts) > 0 && r.attempts[len(r.attempts)-1].outstanding
}

// startAttempt sends a request to a backend, in a slot that it already holds. A retry of an attempt
// that may have been executed must be sent while backends still drop repeats of it. ResponseGrace is
// subtracted as a margin for the time that the retry takes to reach the backend.
func (e *Engine) startAttempt(req *request, backend *backend, slot *slot) {
	notAfter := time.Duration(0)
	if possiblyExecuted := req.possiblyExecutedAttempt(); possiblyExecuted != nil &&
		req.class.Idempotency == IdempotentByKey {
		notAfter = possiblyExecuted.sentAt + req.class.DedupWindow - e.settings.ResponseGrace
	}
	started := attempt{
		backend:     backend,
		keyScope:    backend.keyScope(),
		slot:        slot,
		sentAt:      e.now,
		outstanding: true,
	}
	req.attempts = append(req.attempts, started)
	e.updateOverdueResponses(backend)
	backend.inFlight++
	backend.warmupTokens--
	e.sendsThisSecond++
	req.pool.sendsThisSecond++
	e.cancelBudget = min(cancelBudgetMax, e.cancelBudget+cancelBudgetPerSend)
	req.customer.inFlight++
	e.emit(StartAttempt{Request: req.id, Backend: backend.ID, NotAfter: notAfter})
}

// onOutcome handles the end of an attempt: the request is complete, is retried in the same slot, or
// gets its final answer. A request whose response has started is neither retried nor answered.
// Outcomes of attempts that are not in flight are ignored.
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
		e.onUsageReport(req.customer, max(0, event.Usage))
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
	e.removeIfComplete(req)
}

// recordOutcome updates the statistics of the backend, of the class and of the whole Engine.
// ConnectionLost and NotSent say nothing about the backend's latency or silence.
func (e *Engine) recordOutcome(req *request, ended *attempt, event Outcome) {
	backend, latency := ended.backend, event.Latency.Seconds()
	e.updateOverdueResponses(backend)
	e.countOutcome(req.class, ended, event)
	switch event.Result {
	case Succeeded:
		backend.overdueResponses, backend.connectFailures, backend.cancelledAttempts = 0, 0, 0
		e.recordLatency(req.class, backend, latency)
	case ErrorResponse, Unknown: // the backend responded, or may have: its silence is not counted
		backend.overdueResponses = 0
	case TimedOut, Cancelled:
		e.recordNoResponse(req.class, ended, latency)
	case Rejected:
		backend.overdueResponses, backend.holdUntil = 0, e.now+durationOf(e.meanLatency/2)
	case ConnectFailed:
		e.onConnectFailed(backend)
	}
	backend.latencyRatio = max(backend.latencyRatio, minLatencyRatio)
}

// countOutcome counts an outcome for the concurrency limit, unless the attempt was already counted
// as late.
func (e *Engine) countOutcome(class *class, ended *attempt, event Outcome) {
	if event.Result == Cancelled || event.Result == NotSent || ended.countedLate {
		return
	}
	exceedsBound := event.Latency.Seconds() > class.lateAfter()
	late := event.Result == TimedOut || event.Result == Succeeded && exceedsBound
	e.endedAttempts++
	if late || event.Result == Rejected {
		e.badOutcomes++
		e.index.RecordFailure(&ended.backend.entry, e.now)
	}
}

// recordLatency records the latency of a successful response, in seconds.
func (e *Engine) recordLatency(class *class, backend *backend, latency float64) {
	e.sustainableSum += class.lateAfter()
	e.responseCount++
	class.meanLatency += latencySampleWeight * (latency - class.meanLatency)
	class.bestLatency = min(class.meanLatency, class.bestLatency*(1+bestLatencyGrowth))
	e.meanLatency += latencySampleWeight * (latency - e.meanLatency)
	e.bestLatency = min(e.meanLatency, e.bestLatency*(1+bestLatencyGrowth))
	backend.latencyRatio += 2 * latencySampleWeight * (latency/class.meanLatency - backend.latencyRatio)
}

// recordNoResponse records that an attempt ended without a response after waiting for latency
// seconds. The response would have taken at least that long; the value is capped at
// slowAttemptFactor times the mean, as the connection may have been dead. An attempt that was
// cancelled as slow is passed to recordCancelled instead.
func (e *Engine) recordNoResponse(class *class, ended *attempt, latency float64) {
	if ended.cancelledAsSlow {
		e.recordCancelled(ended.backend)
		return
	}
	backend := ended.backend
	ratio := min(latency/class.meanLatency, slowAttemptFactor)
	backend.latencyRatio += 2 * latencySampleWeight * max(0, ratio-backend.latencyRatio)
}

// finish marks a request as finished and cancels its attempt in flight, which keeps its slot until
// its Outcome arrives.
func (e *Engine) finish(req *request) {
	if req == nil || req.finished {
		return
	}
	req.finished = true
	if req.hasOutstanding() && e.settings.CanCancel {
		e.emit(CancelAttempt{Request: req.id, Attempt: len(req.attempts) - 1})
	}
	e.removeIfComplete(req)
}

// removeIfComplete removes a request that is finished and has no attempt in flight.
func (e *Engine) removeIfComplete(req *request) {
	if req.finished && !req.hasOutstanding() {
		delete(e.requests, req.id)
		delete(e.bySeq, req.seq)
	}
}
