package decision

import "slices"

// notExecuted are the results that prove that an attempt never ran.
var notExecuted = []Result{Rejected, ConnectFailed, NotSent}

// executedAttempt returns the first attempt of a request that may have run, or nil. One without an
// outcome may have.
func (r *request) executedAttempt() *attempt {
	for i := range r.attempts {
		if a := &r.attempts[i]; a.outstanding || !slices.Contains(notExecuted, a.result) {
			return a
		}
	}
	return nil
}

// retry starts another attempt of a request whose attempts have all failed, in the slot of the last
// one, and reports whether it did. It does not where MaxAttempts are made, where the client would
// likely stop waiting first (half a mean latency is left), or where no backend is eligible. Retries
// need no budget of their own: the concurrency limit bounds all attempts.
func (e *Engine) retry(req *request, slot *slot) bool {
	timeLeft := (req.deadline - e.now).Seconds()
	if len(req.attempts) >= e.settings.MaxAttempts || timeLeft < req.class.meanLatency/2 {
		return false
	}
	backend := e.selectBackend(req)
	if backend == nil {
		return false
	}
	e.startAttempt(req, backend, slot)
	return true
}

// respondUnserved gives the final answer to a request that was not served: a Reject where trying
// again is harmless, else a Fail.
func (e *Engine) respondUnserved(req *request) {
	if e.harmlessToRepeat(req) {
		e.emit(Reject{Request: req.id, RetryAfter: e.retryAfterSlot(), Reason: Unprocessed})
	} else {
		e.emit(Fail{Request: req.id})
	}
	e.finish(req)
}

// harmlessToRepeat reports whether the client may try again: where nothing ran, where repeats are
// harmless, or where all backends drop them. They must still do so when the client follows the
// advice to come back, and its next try is forwarded as late as it may be.
func (e *Engine) harmlessToRepeat(req *request) bool {
	executed, class := req.executedAttempt(), req.class
	if executed == nil || class.Idempotency == Idempotent {
		return true
	}
	droppedByAll := class.Idempotency == IdempotentByKey && class.DedupScope == DedupScopeAll
	untilRepeat := e.settings.MaxRetryAfter + class.Deadline + e.settings.ResponseGrace
	return droppedByAll && e.now-executed.sentAt+untilRepeat < class.DedupWindow
}
