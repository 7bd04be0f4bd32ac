package decision

import "time"

func (g *Engine) startAttempt(r *request, b *backend, s *slot) {
	notAfter := time.Duration(0)
	if t := r.executedAttempt(); t != nil && r.class.Idempotency == IdempotentByKey {
		notAfter = t.sentAt + r.class.DedupWindow - g.settings.ResponseGrace
	}
	r.attempts = append(r.attempts, attempt{backend: b, sentAt: g.now, outstanding: true, slot: s})
	g.overdue(b)
	b.inFlight++
	b.warmupTokens--
	g.sendsThisSecond++
	r.pool.sendsThisSecond++
	g.cancelBudget = min(cancelBudgetMax, g.cancelBudget+cancelBudgetPerSend)
	r.customer.inFlight++
	g.emit(StartAttempt{Request: r.id, Backend: b.ID, NotAfter: notAfter})
}

func (g *Engine) onOutcome(ev Outcome) {
	r := g.requests[ev.Request]
	if r == nil || ev.Attempt < 0 || ev.Attempt >= len(r.attempts) || !r.attempts[ev.Attempt].outstanding {
		return
	}
	t := &r.attempts[ev.Attempt]
	t.outstanding, t.result = false, ev.Result
	g.recordOutcome(r, t, ev)
	s := t.slot
	t.backend.inFlight--
	r.customer.inFlight--
	if ev.HasUsage {
		g.onUsage(r.customer, max(0, ev.Usage))
	}
	if ev.Final {
		g.finish(r)
	}
	if r.finished || r.streaming || !g.retry(r, s) {
		g.releaseSlot(s)
		if !r.finished && !r.streaming {
			g.respondUnserved(r)
		}
	}
	g.forget(r)
}

// recordOutcome takes what an outcome tells of its backend and of the back end as a whole.
func (g *Engine) recordOutcome(r *request, t *attempt, ev Outcome) {
	b, took := t.backend, ev.Latency.Seconds()
	g.overdue(b)
	late := ev.Result == TimedOut || ev.Result == Succeeded && took > r.class.lateAfter()
	if ev.Result != Cancelled && ev.Result != NotSent && !t.countedLate {
		g.endedAttempts++
		if late || ev.Result == Rejected {
			g.badOutcomes++
			g.index.RecordFailure(&b.entry, g.now)
		}
	}
	switch ev.Result {
	case ErrorResponse, Unknown: // the backend said something
		b.overdueResponses = 0
	case Succeeded:
		b.overdueResponses, b.connectFailures, b.cancelledAttempts = 0, 0, 0
		g.sustainableSum += r.class.lateAfter()
		g.responseCount++
		r.class.meanLatency += latencySampleWeight * (took - r.class.meanLatency)
		r.class.bestLatency = min(r.class.meanLatency, r.class.bestLatency*(1+latencySampleWeight*latencySampleWeight/4))
		g.meanLatency += latencySampleWeight * (took - g.meanLatency)
		g.bestLatency = min(g.meanLatency, g.bestLatency*(1+latencySampleWeight*latencySampleWeight/4))
		b.slowness += 2 * latencySampleWeight * (took/r.class.meanLatency - b.slowness)
	case TimedOut, Cancelled: // it would have taken as long, unless it was dead
		if t.cancelled {
			g.recordCancelled(b)
			break
		}
		b.slowness += 2 * latencySampleWeight * max(0, min(took/r.class.meanLatency, slowAttemptFactor)-b.slowness)
	case Rejected:
		b.overdueResponses, b.holdUntil = 0, g.now+seconds(g.meanLatency/2)
	case ConnectFailed:
		g.onConnectFailed(b)
	}
	b.slowness = max(b.slowness, 0.1)
}

// retry sends a request whose attempts have all failed once more, in the slot of the last, if the client can
// still be answered in time. It needs no budget of its own: N bounds all that is out.
func (g *Engine) retry(r *request, s *slot) bool {
	if len(r.attempts) >= g.settings.MaxAttempts || (r.deadline-g.now).Seconds() < r.class.meanLatency/2 {
		return false
	}
	b := g.selectBackend(r)
	if b != nil {
		g.startAttempt(r, b, s)
	}
	return b != nil
}

// respondUnserved gives the final answer to a request that was not served: a refusal where that is true to rule 2. Where all backends
// drop repeats, that is while they still do when the client follows the advice and its next try is sent on as late as it may be.
func (g *Engine) respondUnserved(r *request) {
	t := r.executedAttempt()
	if t == nil || r.class.Idempotency == Idempotent ||
		r.class.Idempotency == IdempotentByKey && r.class.DedupScope == DedupScopeAll &&
			g.now-t.sentAt+g.settings.MaxRetryAfter+r.class.Deadline+g.settings.ResponseGrace < r.class.DedupWindow {
		g.emit(Reject{r.id, g.retryAfterSlot(), Unprocessed})
	} else {
		g.emit(Fail{Request: r.id})
	}
	g.finish(r)
}

// finish stops all that goes on for a request. Its attempts keep their slots until their outcomes come.
func (g *Engine) finish(r *request) {
	if r == nil || r.finished {
		return
	}
	r.finished = true
	if r.hasOutstanding() && g.settings.CanCancel {
		g.emit(CancelAttempt{Request: r.id, Attempt: len(r.attempts) - 1})
	}
	g.forget(r)
}

// forget forgets a request once nothing of it is left.
func (g *Engine) forget(r *request) {
	if r.finished && !r.hasOutstanding() {
		delete(g.requests, r.id)
		delete(g.bySeq, r.seq)
	}
}
