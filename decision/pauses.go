package decision

import "time"

// onProcessPaused corrects timestamps after a pause of this process, as attempts in flight waited
// through no fault of their backends. Without that, the first events after a pause would show every
// backend as silent, cancel attempts whose responses are already in the socket buffers, and lower
// the concurrency limit. Times that clients and backends keep, such as deadlines, go on during a
// pause and are not corrected.
func (e *Engine) onProcessPaused(pause time.Duration) {
	for _, req := range e.requests { // independent of the map's order
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
