package lifecycle

import (
	"time"

	"pumicecroft/decision"
)

// attemptState is one attempt of an open request.
type attemptState struct {
	backend         decision.BackendID
	startedAt       time.Duration
	deadline        time.Duration
	open            bool // has not ended yet
	cancelled       bool
	awaitingSync    bool            // the StartAttempt effect is held back until the sources have synced
	backendNotReady bool            // the backend started to drain or was removed after it was chosen
	pausedFor       time.Duration   // how long the process was paused while the attempt was in flight
	result          decision.Result // set when the attempt ends; until then the zero value, Succeeded
	prev            attemptRef      // neighbours in the list of open attempts at the backend
	next            attemptRef
}

// attemptRef refers to an attempt by request and number. A pointer would not do, because attempts move in memory when
// their slice grows.
type attemptRef struct {
	request *openRequest
	number  int
}

func (r attemptRef) attempt() *attemptState { return &r.request.attempts[r.number] }

// attempt returns the attempt with this number, or nil if there is none. The receiver may be nil.
func (r *openRequest) attempt(number int) *attemptState {
	if r == nil || number < 0 || number >= len(r.attempts) {
		return nil
	}
	return &r.attempts[number]
}

// startAttempt starts an attempt. If the request is already answered, its response has started, or it has used up
// MaxAttempts, no attempt is started and the engine gets a NotSent outcome.
func (m *Machine) startAttempt(action decision.StartAttempt) {
	request := m.requests[action.Request]
	if request == nil {
		m.unmatchedActions++
		return
	}
	number := len(request.attempts)
	attempt := attemptState{backend: action.Backend, startedAt: m.now, deadline: request.deadline}
	if request.answered || request.respondingAttempt > 0 || number >= m.limits.MaxAttempts {
		attempt.result = decision.NotSent
		request.attempts = append(request.attempts, attempt)
		m.queueNotSent(request, number)
		return
	}
	if action.Timeout > 0 && m.now+action.Timeout < request.deadline {
		attempt.deadline = m.now + action.Timeout
		m.setExtraTimer(request, timer{at: attempt.deadline, request: request, kind: timerAttempt, attempt: number})
	}
	attempt.awaitingSync = m.pendingSyncID > 0
	request.attempts = append(request.attempts, attempt)
	m.addOpenAttempt(request, number)
	if attempt.awaitingSync {
		m.heldStarts = append(m.heldStarts, heldStart{request, number, action.NotAfter})
		return
	}
	m.emitStart(request, number, action.NotAfter)
}

// emitStart emits the StartAttempt effect of an attempt.
func (m *Machine) emitStart(request *openRequest, number int, notAfter time.Duration) {
	attempt := &request.attempts[number]
	m.emit(Effect{
		Kind:      StartAttempt,
		Tag:       request.tag,
		Request:   request.id,
		Attempt:   number,
		Backend:   attempt.backend,
		Deadline:  attempt.deadline,
		DecidedAt: m.now,
		NotAfter:  notAfter,
	})
}

// queueNotSent queues a NotSent outcome for the engine. It does not handle the queue: startAttempt is called by
// handleQueuedEvents, which handles the outcome next, and endHeldAttempt calls handleQueuedEvents itself.
func (m *Machine) queueNotSent(request *openRequest, number int) {
	m.eventQueue = append(m.eventQueue, decision.Outcome{
		Request: request.id,
		Backend: request.attempts[number].backend,
		Attempt: number,
		Result:  decision.NotSent,
		Final:   request.answered,
	})
}

// applyCancel carries out a CancelAttempt action. An attempt that does not exist is ignored.
func (m *Machine) applyCancel(action decision.CancelAttempt) {
	request := m.requests[action.Request]
	if attempt := request.attempt(action.Attempt); attempt != nil {
		m.cancelAttempt(request, action.Attempt, m.now >= attempt.deadline)
	}
}

// cancelAttempt cancels an open attempt. Repeated calls have no effect.
func (m *Machine) cancelAttempt(request *openRequest, number int, timedOut bool) {
	attempt := &request.attempts[number]
	if !attempt.open || attempt.cancelled {
		return
	}
	attempt.cancelled = true
	if attempt.awaitingSync { // the executor was never asked to start it
		m.endHeldAttempt(request, number)
		return
	}
	m.emit(Effect{
		Kind:     CancelAttempt,
		Tag:      request.tag,
		Request:  request.id,
		Attempt:  number,
		Backend:  attempt.backend,
		TimedOut: timedOut,
	})
}

// ResponseStarted reports that an attempt has begun to receive its response, and returns whether the response may be
// passed on to the client before it is complete. If so, the request is bound to that attempt: all others are cancelled,
// no more are started, and the request ends when the attempt does. Passing it on is not allowed once the request is
// answered, the attempt has ended or is cancelled, or a response has started before.
func (m *Machine) ResponseStarted(now time.Duration, id decision.RequestID,
	number int) (effects []Effect, allowed bool) {
	m.advance(now)
	request := m.requests[id]
	attempt := request.attempt(number)
	if attempt == nil || !attempt.open || attempt.cancelled || request.answered || request.respondingAttempt > 0 {
		return m.effects, false
	}
	request.respondingAttempt = number + 1
	m.dispatch(decision.ResponseStarted{Request: id, Attempt: number})
	for i := range request.attempts {
		if i != number {
			m.cancelAttempt(request, i, false)
		}
	}
	// In handling the event, the engine may have ended the request or cancelled this attempt.
	return m.effects, !request.answered && !request.attempts[number].cancelled
}

// AttemptEnded reports how an attempt ended. The first success of a request is served to the client. A second call for
// the same attempt is ignored.
func (m *Machine) AttemptEnded(now time.Duration, id decision.RequestID, number int, outcome Outcome) []Effect {
	m.advance(now)
	request := m.requests[id]
	attempt := request.attempt(number)
	if attempt == nil || !attempt.open {
		return m.effects
	}
	attempt.result = outcome.Result
	m.removeOpenAttempt(request, number)
	m.answerFromAttempt(request, number)
	event := decision.Outcome{
		Request:     id,
		Backend:     attempt.backend,
		Attempt:     number,
		Result:      outcome.Result,
		Latency:     m.now - attempt.startedAt,
		Final:       request.answered,
		HasUsage:    outcome.HasUsage,
		Usage:       outcome.Usage,
		SettledCost: outcome.SettledCost,
		LoadReport:  outcome.LoadReport,
	}
	if attempt.pausedFor > 0 {
		event = discountPause(event, attempt.pausedFor)
	}
	m.dispatch(event)
	m.releaseIfDone(request)
	return m.effects
}

// answerFromAttempt answers a request after one of its attempts has ended, in the cases that need no decision of the
// engine: the attempt succeeded, or it is the one whose response has started.
func (m *Machine) answerFromAttempt(request *openRequest, number int) {
	result := request.attempts[number].result
	responding := request.respondingAttempt == number+1
	switch {
	case request.respondingAttempt > 0 && !responding: // another attempt's response has started; this one was cancelled
	case result == decision.Succeeded:
		m.answer(request, Effect{Verdict: Served, Attempt: number})
	case responding && result == decision.TimedOut:
		m.answer(request, Effect{Verdict: DeadlineExceeded})
	case responding: // the client already has part of the response, so the request cannot be retried
		m.answer(request, Effect{Verdict: Failed})
	}
}

// addOpenAttempt counts an attempt as open and adds it to the list of open attempts at its backend.
func (m *Machine) addOpenAttempt(request *openRequest, number int) {
	request.openAttemptCount++
	attempt, ref := &request.attempts[number], attemptRef{request, number}
	attempt.open, attempt.next = true, m.openAttempts[attempt.backend]
	if attempt.next.request != nil {
		attempt.next.attempt().prev = ref
	}
	m.openAttempts[attempt.backend] = ref
}

// removeOpenAttempt undoes addOpenAttempt.
func (m *Machine) removeOpenAttempt(request *openRequest, number int) {
	request.openAttemptCount--
	attempt := &request.attempts[number]
	switch {
	case attempt.prev.request != nil:
		attempt.prev.attempt().next = attempt.next
	case attempt.next.request != nil:
		m.openAttempts[attempt.backend] = attempt.next
	default:
		delete(m.openAttempts, attempt.backend)
	}
	if attempt.next.request != nil {
		attempt.next.attempt().prev = attempt.prev
	}
	attempt.open, attempt.prev, attempt.next = false, attemptRef{}, attemptRef{}
}
