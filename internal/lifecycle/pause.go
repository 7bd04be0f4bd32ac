package lifecycle

import (
	"time"

	"pumicecroft/decision"
)

// Guards against a stale view after a pause of the process. A paused process resumes with clients' requests,
// backends' responses, timers and its sources' updates before it in no order. An attempt that is decided before
// those updates rests on a view as old as the pause: a backend that was told to drain meanwhile would be sent to.
// So with the first event after a pause the sources are asked to sync, and StartAttempt effects are held back until
// they have, or cannot be reached. Nothing else waits: responses, rejections, timers and cancellations go on.
//
// An attempt that was in flight during the pause proves nothing about how long its backend took, and its usage
// reading may be as old as the pause: discountPause takes both out. An attempt that was decided before and has not
// been sent when the process resumes is confirmed once more (ConfirmSend).

// heldStart is an attempt whose StartAttempt is held back.
type heldStart struct {
	request  *openRequest
	attempt  int
	notAfter time.Duration
}

// onPause notes that the process may have been paused until now, and asks the sources to sync.
func (m *Machine) onPause(paused time.Duration) {
	m.lastSync++
	m.pendingSync = m.lastSync
	for _, request := range m.requests { // only sets fields: the order reaches no effect
		for i := range request.attempts {
			if attempt := &request.attempts[i]; attempt.open && !attempt.awaitingSync {
				attempt.pausedFor += paused
			}
		}
	}
	m.emit(Effect{Kind: SyncSources, SyncID: m.lastSync, PausedFor: paused})
	m.dispatch(decision.ProcessPaused{Duration: paused})
}

// SourcesSynced tells that the sources have taken in all that had arrived at the SyncSources with this id, or that
// they cannot be reached. An answer to an earlier SyncSources changes nothing.
func (m *Machine) SourcesSynced(now time.Duration, syncID uint64) []Effect {
	m.advance(now)
	if syncID != m.pendingSync {
		return m.effects
	}
	m.pendingSync = 0
	held := m.heldStarts
	m.heldStarts = nil
	for _, start := range held {
		m.releaseHeldStart(start)
	}
	return m.effects
}

// releaseHeldStart starts an attempt that was held back, unless its backend drains by now.
func (m *Machine) releaseHeldStart(start heldStart) {
	request := start.request
	attempt := &request.attempts[start.attempt]
	if !attempt.open || !attempt.awaitingSync {
		return
	}
	if attempt.drained || request.answered {
		m.endHeldAttempt(request, start.attempt)
		return
	}
	attempt.awaitingSync, attempt.startedAt = false, m.now
	m.emitStart(request, start.attempt, start.notAfter)
}

// endHeldAttempt ends an attempt that was held back as not sent.
func (m *Machine) endHeldAttempt(request *openRequest, number int) {
	attempt := &request.attempts[number]
	attempt.awaitingSync, attempt.result = false, decision.NotSent
	m.attemptClosed(request, number)
	m.queueNotSent(request, number)
	m.drainEvents()
	m.releaseIfDone(request)
}

// Syncing tells whether StartAttempt effects are held back now.
func (m *Machine) Syncing() bool { return m.pendingSync > 0 }

// ConfirmSend asks whether an attempt that was decided longer ago than Deadlines().MaxDecisionAge may still be sent.
// It may not if the process was paused since and the sources have not synced, or if its backend was told to drain
// since it was chosen. The caller then ends it as not sent.
func (m *Machine) ConfirmSend(now time.Duration, id decision.RequestID, number int) (effects []Effect, allowed bool) {
	m.advance(now)
	attempt := m.requests[id].attempt(number)
	if attempt == nil {
		return m.effects, false
	}
	return m.effects, attempt.open && !attempt.cancelled && !attempt.drained && m.pendingSync == 0
}

// markDrained marks the open attempts at backends that an update drains or removes.
func (m *Machine) markDrained(update *decision.EndpointUpdate) {
	if update.Kind == decision.UpdateFailed || len(m.requests) == 0 {
		return
	}
	ready := map[decision.BackendID]bool{} // the last entry of a backend counts
	for i := range update.Endpoints {
		ready[update.Endpoints[i].ID] = update.Endpoints[i].State == decision.Ready
	}
	if update.Kind != decision.UpdateDelta { // what a full update lacks is removed
		for id := range m.openAttempts { // only sets fields: the order reaches no effect
			if _, named := ready[id]; !named {
				ready[id] = false
			}
		}
	}
	for id, isReady := range ready {
		for ref := m.openAttempts[id]; !isReady && ref.request != nil; ref = ref.attempt().next {
			ref.attempt().drained = true
		}
	}
}

// discountPause takes out of an outcome what a pause during the attempt makes meaningless: the time of the pause,
// the usage reading, and a timeout, which was the process's own fault.
func discountPause(outcome decision.Outcome, paused time.Duration) decision.Outcome {
	outcome.Latency, outcome.HasUsage = max(0, outcome.Latency-paused), false
	if outcome.Result == decision.TimedOut {
		outcome.Result = decision.Unknown
	}
	return outcome
}
