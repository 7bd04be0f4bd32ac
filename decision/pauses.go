package decision

import "time"

// onProcessPaused discounts a pause of this process: what was in flight meanwhile was not late by
// its backend's fault. Else the first events after a pause would show every backend as silent,
// cancel attempts whose responses lie in the sockets, and cut the concurrency limit.
func (e *Engine) onProcessPaused(pause time.Duration) {
	for _, req := range e.requests { // sets only: the map's order reaches no action
		for i := range req.attempts {
			req.attempts[i].pausedFor += pause
		}
	}
	for _, backend := range e.backends {
		backend.overdueAt = min(e.now, backend.overdueAt+pause)
	}
	e.lastTickAt = min(e.now, e.lastTickAt+pause)
	e.repartitionedAt = min(e.now, e.repartitionedAt+pause)
}
