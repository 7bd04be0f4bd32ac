package lifecycle

import (
	"errors"
	"maps"
	"slices"
	"time"

	"pumicecroft/decision"
)

// Errors of Submit. A request for which one is returned has not led to an attempt.
var (
	// ErrDuplicateID is returned while a request with this id is open.
	ErrDuplicateID = errors.New("lifecycle: a request with this id is open")
	// ErrReplayed is returned if an earlier request with this id ended less than Limits.IDRetention ago and may have
	// executed, and the class does not allow a second execution.
	ErrReplayed = errors.New("lifecycle: a request with this id may have executed already")
	// ErrTooManyRequests is returned while Limits.MaxOpenRequests requests are open.
	ErrTooManyRequests = errors.New("lifecycle: too many open requests")
	// ErrClosed is returned after Close or Abort.
	ErrClosed = errors.New("lifecycle: machine is closed")
)

// A client's timeout starts when it sends its request, which is before the gateway receives it, and the answer must
// reach the client before the timeout ends. Callers of Submit shorten the client's timeout by these margins.
const (
	// TimeoutMargin is subtracted from the client's timeout to get the timeout of attempts, decision.Request.Timeout.
	// It exceeds ResponseMargin, so that an attempt cancelled at its deadline can still end before the final answer.
	TimeoutMargin = 40 * time.Millisecond
	// ResponseMargin is subtracted from the client's timeout to get the responseTimeout of Submit.
	ResponseMargin = 20 * time.Millisecond
)

// openRequest is the state of a submitted request. It is kept until the request is answered and all of its attempts
// have ended.
type openRequest struct {
	id                decision.RequestID
	tag               any
	idempotency       decision.Idempotency
	deadline          time.Duration // by which attempts end
	responseDeadline  time.Duration // by which the request is answered
	answered          bool
	respondingAttempt int // the attempt whose response is being passed on, counted from 1; 0: none
	openAttemptCount  int // number of attempts that have not ended
	attempts          []attemptState
	deadlineTimer     timer           // fires at deadline, then at responseDeadline
	engineTimer       timer           // a timer that the engine sets; stored inline, which saves an allocation
	extraTimers       []*timer        // further timers of the engine, and the timeouts of attempts
	attemptsBuf       [2]attemptState // initial storage of attempts, which saves most requests an allocation
}

// Submit opens a request, or returns one of the errors above. Attempts are cancelled event.Timeout from now. A request
// that is still unanswered responseTimeout from now, or event.Timeout if that is longer, is answered as
// DeadlineExceeded. The tag is the value by which the executor identifies the request; the request's effects carry it.
func (m *Machine) Submit(now time.Duration, tag any, event decision.Request,
	responseTimeout time.Duration) ([]Effect, error) {
	m.advance(now)
	idempotency, known := m.idempotency[event.Class]
	switch {
	case m.closed:
		return m.effects, ErrClosed
	case m.requests[event.ID] != nil:
		return m.effects, ErrDuplicateID
	case len(m.requests) >= m.limits.MaxOpenRequests:
		return m.effects, ErrTooManyRequests
	// The engine rejects requests of an unknown class, so they never execute.
	case known && idempotency != decision.Idempotent && m.isRemembered(event.ID):
		return m.effects, ErrReplayed
	}
	request := &openRequest{
		id:               event.ID,
		tag:              tag,
		idempotency:      idempotency,
		deadline:         m.now + event.Timeout,
		responseDeadline: m.now + max(responseTimeout, event.Timeout, 0),
	}
	request.attempts = request.attemptsBuf[:0]
	m.requests[request.id] = request
	m.dispatch(event)
	if m.requests[request.id] == request { // the engine's actions have not ended it already
		at := max(request.deadline, m.now)
		m.setTimer(&request.deadlineTimer, timer{at: at, request: request, kind: timerDeadline})
	}
	return m.effects, nil
}

// Disconnect reports that the client of a request has disconnected. The call has no effect if no request with this id
// is unanswered, or if that request was submitted with another tag.
func (m *Machine) Disconnect(now time.Duration, tag any, id decision.RequestID) []Effect {
	m.advance(now)
	if request := m.requests[id]; request != nil && !request.answered && request.tag == tag {
		m.abandon(request, ClientDisconnected)
	}
	return m.effects
}

// onDeadline cancels the attempts of a request at its deadline, and answers it at its response deadline.
func (m *Machine) onDeadline(request *openRequest) {
	for i := range request.attempts {
		m.cancelAttempt(request, i, true)
	}
	if request.answered {
		return
	}
	if m.now < request.responseDeadline {
		m.setTimer(&request.deadlineTimer, timer{at: request.responseDeadline, request: request, kind: timerDeadline})
		return
	}
	m.abandon(request, DeadlineExceeded)
}

// abandon answers a request without a decision of the engine, and tells the engine that no answer is awaited any more.
// The event for this is ClientDisconnected, also at the response deadline and on Abort.
func (m *Machine) abandon(request *openRequest, verdict Verdict) {
	m.answer(request, Effect{Verdict: verdict})
	m.dispatch(decision.ClientDisconnected{Request: request.id})
	m.releaseIfDone(request)
}

// applyFinalAnswer answers a request as the engine decided. An action for a request that is unknown or already answered
// is counted as unmatched.
func (m *Machine) applyFinalAnswer(id decision.RequestID, answer Effect) {
	request := m.requests[id]
	if request == nil || request.answered {
		m.unmatchedActions++
		return
	}
	if request.respondingAttempt > 0 { // the client already has part of a response, so this must not be a rejection
		answer = Effect{Verdict: Failed}
	}
	m.answer(request, answer)
	m.releaseIfDone(request)
}

// answer emits the Respond effect of a request. Repeated calls have no effect.
func (m *Machine) answer(request *openRequest, answer Effect) {
	if request.answered {
		return
	}
	request.answered = true
	answer.Kind, answer.Tag, answer.Request = Respond, request.tag, request.id
	m.emit(answer)
	m.clearEngineTimers(request) // the timers of attempts in flight are still needed
}

// releaseIfDone releases the state of a request that is answered and has no attempt in flight.
func (m *Machine) releaseIfDone(request *openRequest) {
	if !request.answered || request.openAttemptCount > 0 || m.requests[request.id] != request {
		return
	}
	delete(m.requests, request.id)
	m.clearTimers(request)
	if request.idempotency != decision.Idempotent && request.mayHaveExecuted() {
		m.remember(request.id)
	}
}

// mayHaveExecuted returns whether, judging by the results of its attempts, the request may have executed. All attempts
// must have ended.
func (r *openRequest) mayHaveExecuted() bool {
	for i := range r.attempts {
		switch r.attempts[i].result {
		case decision.Rejected, decision.ConnectFailed, decision.NotSent:
		default:
			return true
		}
	}
	return false
}

// sortedIDs returns the ids in ascending order, so that the order of effects does not depend on the map order.
func sortedIDs(requests map[decision.RequestID]*openRequest) []decision.RequestID {
	return slices.Sorted(maps.Keys(requests))
}
