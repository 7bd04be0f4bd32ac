package lifecycle

import (
	"time"

	"pumicecroft/decision"
)

// Protection against stale endpoints after a pause of the process. When a paused process resumes, requests, responses,
// timers and endpoint updates are all pending, in no particular order. An attempt that is decided before the updates
// are read could go to a backend that was told to drain during the pause. Therefore the first event after a pause asks
// the sources to sync, and StartAttempt effects are held back until they have synced or cannot be reached. Responses,
// rejections, timers and cancellations are not held back.
//
// The latency of an attempt that was in flight during the pause includes the pause, and its usage report may be as old
// as the pause; discountPause corrects both. An attempt that was decided before the pause and is not yet sent when the
// process resumes must be confirmed (ConfirmSend).

// heldStart is an attempt whose StartAttempt is held back.
type heldStart struct {
	request  *openRequest
	attempt  int
	notAfter time.Duration
}

// onPause records that the process may have been paused until now, and asks the sources to sync.
func (m *Machine) onPause(paused time.Duration) {
	m.lastSyncID++
	m.pendingSyncID = m.lastSyncID
	for _, request := range m.requests { // only sets fields, so the map order does not matter
		for i := range request.attempts {
			if attempt := &request.attempts[i]; attempt.open && !attempt.awaitingSync {
				attempt.pausedFor += paused
			}
		}
	}
	m.emit(Effect{Kind: SyncSources, SyncID: m.lastSyncID, PausedFor: paused})
	m.dispatch(decision.ProcessPaused{Duration: paused})
}

// SourcesSynced reports that the sources have applied all updates that had arrived when SyncSources was emitted with
// this id, or that they cannot be reached. Ids other than the latest are ignored.
func (m *Machine) SourcesSynced(now time.Duration, syncID uint64) []Effect {
	m.advance(now)
	if syncID != m.pendingSyncID {
		return m.effects
	}
	m.pendingSyncID = 0
	held := m.heldStarts
	m.heldStarts = nil
	for _, start := range held {
		m.releaseHeldStart(start)
	}
	return m.effects
}

// releaseHeldStart starts an attempt that was held back, unless its backend drains or its request was answered
// meanwhile.
func (m *Machine) releaseHeldStart(start heldStart) {
	request := start.request
	attempt := &request.attempts[start.attempt]
	if !attempt.open || !attempt.awaitingSync {
		return
	}
	if attempt.backendNotReady || request.answered {
		m.endHeldAttempt(request, start.attempt)
		return
	}
	attempt.awaitingSync, attempt.startedAt = false, m.now
	m.emitStart(request, start.attempt, start.notAfter)
}

// endHeldAttempt ends, as NotSent, an attempt that was held back.
func (m *Machine) endHeldAttempt(request *openRequest, number int) {
	attempt := &request.attempts[number]
	attempt.awaitingSync, attempt.result = false, decision.NotSent
	m.removeOpenAttempt(request, number)
	m.queueNotSent(request, number)
	m.handleQueuedEvents()
	m.releaseIfDone(request)
}

// Syncing returns whether StartAttempt effects are currently held back.
func (m *Machine) Syncing() bool { return m.pendingSyncID > 0 }

// ConfirmSend returns whether an attempt that was decided longer ago than Deadlines().MaxDecisionAge may still be sent.
// It may not if it has ended or was cancelled, while a sync is pending, or if its backend started to drain or was
// removed since it was chosen. The caller then ends it as NotSent.
func (m *Machine) ConfirmSend(now time.Duration, id decision.RequestID, number int) (effects []Effect, allowed bool) {
	m.advance(now)
	attempt := m.requests[id].attempt(number)
	if attempt == nil {
		return m.effects, false
	}
	return m.effects, attempt.open && !attempt.cancelled && !attempt.backendNotReady && m.pendingSyncID == 0
}

// markBackendsNotReady marks the open attempts at backends that the update drains or removes.
func (m *Machine) markBackendsNotReady(update *decision.EndpointUpdate) {
	if update.Kind == decision.UpdateFailed || len(m.requests) == 0 {
		return
	}
	ready := map[decision.BackendID]bool{} // the last entry of a backend counts
	for i := range update.Endpoints {
		ready[update.Endpoints[i].ID] = update.Endpoints[i].State == decision.Ready
	}
	if update.Kind != decision.UpdateDelta { // backends that a full update does not list are removed
		for id := range m.openAttempts { // only sets map entries, so the map order does not matter
			if _, named := ready[id]; !named {
				ready[id] = false
			}
		}
	}
	for id, isReady := range ready {
		for ref := m.openAttempts[id]; !isReady && ref.request != nil; ref = ref.attempt().next {
			ref.attempt().backendNotReady = true
		}
	}
}

// discountPause removes from an outcome what a pause during the attempt has distorted: it subtracts the pause from the
// latency, drops the usage report, and turns TimedOut into Unknown, because the pause may have caused the timeout.
func discountPause(outcome decision.Outcome, paused time.Duration) decision.Outcome {
	outcome.Latency, outcome.HasUsage = max(0, outcome.Latency-paused), false
	if outcome.Result == decision.TimedOut {
		outcome.Result = decision.Unknown
	}
	return outcome
}
