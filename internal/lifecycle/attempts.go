package lifecycle

import (
	"time"

	"pumicecroft/decision"
)

// attemptState is one attempt of an open request.
type attemptState struct {
	backend      decision.BackendID
	startedAt    time.Duration
	deadline     time.Duration
	open         bool // it has not ended
	cancelled    bool
	awaitingSync bool          // its StartAttempt waits until the sources have synced
	drained      bool          // its backend has been told to drain, or was removed, since it was chosen
	pausedFor    time.Duration // how long the process was paused while the attempt was in flight
	result       decision.Result
	prev         attemptRef // among the open attempts at the backend
	next         attemptRef
}

// attemptRef refers to an attempt by its number, as attempts move in memory when their slice grows.
type attemptRef struct {
	request *openRequest
	number  int
}

func (r attemptRef) attempt() *attemptState { return &r.request.attempts[r.number] }

// attempt returns an attempt by its number; nil: there is none.
func (r *openRequest) attempt(number int) *attemptState {
	if r == nil || number < 0 || number >= len(r.attempts) {
		return nil
	}
	return &r.attempts[number]
}

// startAttempt starts an attempt. One for a request that is answered, whose response has started, or that has had
// MaxAttempts is not made: the engine is told that it was not sent.
func (m *Machine) startAttempt(action decision.StartAttempt) {
	request := m.requests[action.Request]
	if request == nil {
		m.unmatched++
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
	attempt.awaitingSync = m.pendingSync > 0
	request.attempts = append(request.attempts, attempt)
	m.attemptOpened(request, number)
	if attempt.awaitingSync {
		m.heldStarts = append(m.heldStarts, heldStart{request, number, action.NotAfter})
		return
	}
	m.emitStart(request, number, action.NotAfter)
}

// emitStart asks the executor to start an attempt.
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

// queueNotSent queues the outcome of an attempt that was not sent. It is not handled yet.
func (m *Machine) queueNotSent(request *openRequest, number int) {
	m.events = append(m.events, decision.Outcome{
		Request: request.id,
		Backend: request.attempts[number].backend,
		Attempt: number,
		Result:  decision.NotSent,
		Final:   request.answered,
	})
}

// applyCancel cancels the attempt that the engine names. One that does not exist is ignored.
func (m *Machine) applyCancel(action decision.CancelAttempt) {
	request := m.requests[action.Request]
	if attempt := request.attempt(action.Attempt); attempt != nil {
		m.cancelAttempt(request, action.Attempt, m.now >= attempt.deadline)
	}
}

// cancelAttempt ends the wait for an attempt, once.
func (m *Machine) cancelAttempt(request *openRequest, number int, timedOut bool) {
	attempt := &request.attempts[number]
	if !attempt.open || attempt.cancelled {
		return
	}
	attempt.cancelled = true
	if attempt.awaitingSync { // the executor has not heard of it
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

// ResponseStarted asks whether an attempt's response may be passed on before it is complete. If it may, the request
// belongs to that attempt: others are cancelled, none is started any more, and the attempt's end is the request's.
// It may not once the request is answered, the attempt is cancelled, or another response has started.
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
	// The engine may have ended the request, or this attempt.
	return m.effects, !request.answered && !request.attempts[number].cancelled
}

// AttemptEnded tells how an attempt ended. A request's first success is served. A second call for one attempt is
// ignored.
func (m *Machine) AttemptEnded(now time.Duration, id decision.RequestID, number int, outcome Outcome) []Effect {
	m.advance(now)
	request := m.requests[id]
	attempt := request.attempt(number)
	if attempt == nil || !attempt.open {
		return m.effects
	}
	attempt.result = outcome.Result
	m.attemptClosed(request, number)
	m.finishByAttempt(request, number)
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

// finishByAttempt answers a request whose attempt has ended, where that settles it without the engine: by a success,
// or by the end of the attempt whose response has started.
func (m *Machine) finishByAttempt(request *openRequest, number int) {
	result := request.attempts[number].result
	responding := request.respondingAttempt == number+1
	switch {
	case request.respondingAttempt > 0 && !responding: // cancelled for the attempt whose response has started
	case result == decision.Succeeded:
		m.finish(request, Effect{Verdict: Served, Attempt: number})
	case responding && result == decision.TimedOut:
		m.finish(request, Effect{Verdict: DeadlineExceeded})
	case responding: // part of its response is with the client: it cannot be retried
		m.finish(request, Effect{Verdict: Failed})
	}
}

// attemptOpened links an attempt into the list of open attempts at its backend, until attemptClosed.
func (m *Machine) attemptOpened(request *openRequest, number int) {
	request.inFlight++
	attempt, ref := &request.attempts[number], attemptRef{request, number}
	attempt.open, attempt.next = true, m.openAttempts[attempt.backend]
	if attempt.next.request != nil {
		attempt.next.attempt().prev = ref
	}
	m.openAttempts[attempt.backend] = ref
}

func (m *Machine) attemptClosed(request *openRequest, number int) {
	request.inFlight--
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
