package lifecycle

import (
	"errors"
	"maps"
	"slices"
	"time"

	"pumicecroft/decision"
)

// Errors of Submit. None of these requests has led to an attempt.
var (
	// ErrDuplicateID is returned while a request with this id is open.
	ErrDuplicateID = errors.New("lifecycle: a request with this id is open")
	// ErrReplayed is returned for an id whose request may have executed a short while ago, where its class does
	// not permit that it executes again.
	ErrReplayed = errors.New("lifecycle: a request with this id may have executed already")
	// ErrTooManyRequests is returned while Limits.MaxOpenRequests requests are open.
	ErrTooManyRequests = errors.New("lifecycle: too many open requests")
	// ErrClosed is returned after Close or Abort.
	ErrClosed = errors.New("lifecycle: closed")
)

// A client's time counts from when it sent its request, which over a network is before the request is seen here,
// and the answer must reach it before that time is up.
const (
	// TimeoutMargin is how much less time the engine is told of.
	TimeoutMargin = 40 * time.Millisecond
	// ResponseMargin is how long before the end a request without an answer is answered as DeadlineExceeded.
	ResponseMargin = 20 * time.Millisecond
)

// openRequest is a submitted request, until it is answered and all of its attempts have ended.
type openRequest struct {
	id                decision.RequestID
	tag               any
	idempotency       decision.Idempotency
	deadline          time.Duration // attempts end by then
	responseDeadline  time.Duration // the request is answered by then
	answered          bool
	respondingAttempt int // the attempt whose response is being passed on, counted from 1; 0: none
	inFlight          int // attempts that have not ended
	attempts          []attemptState
	deadlineTimer     timer // at deadline, then at responseDeadline
	engineTimer       timer // the engine's first for this request
	extraTimers       []*timer
	attemptsBuf       [2]attemptState // the first room of attempts, so that most requests allocate none
}

// Submit opens a request, or returns one of the errors above. Attempts end by event.Timeout from now; the request
// is answered as DeadlineExceeded after responseTimeout from now at the latest. The tag comes back in the
// request's effects.
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
	if m.requests[request.id] == request { // it has not ended already
		at := max(request.deadline, m.now)
		m.setTimer(&request.deadlineTimer, timer{at: at, request: request, kind: timerDeadline})
	}
	return m.effects, nil
}

// Disconnect tells that the client of a request is gone. Nothing happens if no request of that id awaits an answer,
// or if it was submitted with another tag.
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

// abandon ends a request without a decision of the engine.
func (m *Machine) abandon(request *openRequest, verdict Verdict) {
	m.finish(request, Effect{Verdict: verdict})
	m.dispatch(decision.ClientDisconnected{Request: request.id})
	m.releaseIfDone(request)
}

// respond gives a request the final answer that the engine chose. Only the first one counts.
func (m *Machine) respond(id decision.RequestID, response Effect) {
	request := m.requests[id]
	if request == nil || request.answered {
		m.unmatched++
		return
	}
	if request.respondingAttempt > 0 { // part of a response is with the client: it cannot be rejected
		response = Effect{Verdict: Failed}
	}
	m.finish(request, response)
	m.releaseIfDone(request)
}

// finish answers a request, once.
func (m *Machine) finish(request *openRequest, response Effect) {
	if request.answered {
		return
	}
	request.answered = true
	response.Kind, response.Tag, response.Request = Respond, request.tag, request.id
	m.emit(response)
	m.clearEngineTimers(request) // timers of attempts stay until these have ended
}

// releaseIfDone drops a request that is answered and has no attempt in flight.
func (m *Machine) releaseIfDone(request *openRequest) {
	if !request.answered || request.inFlight > 0 || m.requests[request.id] != request {
		return
	}
	delete(m.requests, request.id)
	m.clearTimers(request)
	if request.idempotency != decision.Idempotent && request.mayHaveExecuted() {
		m.remember(request.id)
	}
}

// mayHaveExecuted tells whether any attempt's result leaves it open that the request has executed.
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

// sortedIDs returns the ids in ascending order, so that effects do not depend on the order of a map.
func sortedIDs(requests map[decision.RequestID]*openRequest) []decision.RequestID {
	return slices.Sorted(maps.Keys(requests))
}
