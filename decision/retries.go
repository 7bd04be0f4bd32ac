package decision

import "slices"

// neverExecutedResults are the results that prove that an attempt was never executed.
var neverExecutedResults = []Result{Rejected, ConnectFailed, NotSent}

// possiblyExecutedAttempt returns the request's first attempt that may have been executed, or
// nil. An attempt in flight may have been executed.
func (r *request) possiblyExecutedAttempt() *attempt {
	for i := range r.attempts {
		if a := &r.attempts[i]; a.outstanding || !slices.Contains(neverExecutedResults, a.result) {
			return a
		}
	}
	return nil
}

// retry starts another attempt of a request whose attempts have all failed, in the slot of the last
// one, and reports whether it did. It does not if MaxAttempts is reached, if less than half the
// class's mean latency is left until the client's deadline, or if no backend is eligible. Retries
// have no budget of their own, as the concurrency limit bounds all attempts.
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

// respondUnserved gives the final answer to a request that was not served: a Reject if the client
// may safely try again, else a Fail.
func (e *Engine) respondUnserved(req *request) {
	if e.safeForClientToRetry(req) {
		e.emit(Reject{Request: req.id, RetryAfter: e.retryAfterMeanLatency(), Reason: Unprocessed})
	} else {
		e.emit(Fail{Request: req.id})
	}
	e.finish(req)
}

// safeForClientToRetry reports whether the client may safely try again: nothing was executed, the
// class is idempotent, or every backend drops the repeat. In the last case the DedupWindow must
// still cover a client that waits for the longest Retry-After and whose next request is then
// forwarded only at that request's deadline, and Settings.RejectUnexecutedOnly must not be set.
func (e *Engine) safeForClientToRetry(req *request) bool {
	possiblyExecuted, class := req.possiblyExecutedAttempt(), req.class
	if possiblyExecuted == nil || class.Idempotency == Idempotent {
		return true
	}
	droppedByAll := class.Idempotency == IdempotentByKey && class.DedupScope == DedupScopeAll &&
		!e.settings.RejectUnexecutedOnly
	untilRepeat := e.settings.MaxRetryAfter + class.Deadline + e.settings.ResponseGrace
	return droppedByAll && e.now-possiblyExecuted.sentAt+untilRepeat < class.DedupWindow
}
