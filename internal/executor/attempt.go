package executor

import (
	"errors"
	"sync"
	"time"

	"pumicecroft/decision"
)

// Causes for the cancellation of an attempt.
var (
	ErrCancelled        = errors.New("executor: attempt cancelled")
	ErrDeadlineExceeded = errors.New("executor: attempt deadline exceeded")
)

// Attempt is an attempt of a request, to be made by a Transport.
type Attempt struct {
	Backend  decision.BackendID
	Deadline time.Time // when the attempt is cancelled
	// NotAfter is the latest time at which the attempt may be sent. The Transport checks this by calling SendForbidden
	// right before sending, and otherwise ends the attempt as NotSent. Zero means no limit.
	NotAfter time.Time
	Payload  any // the payload passed to Serve

	request     *openRequest // nil if the attempt belongs to no request
	number      int
	decidedAt   time.Time // lifecycle.Effect.DecidedAt
	mu          sync.Mutex
	cancelCause error
	onCancel    func() // interrupts the Transport's current wait
}

// NewAttempt returns an attempt that belongs to no request, for probes and tests.
func NewAttempt(id decision.BackendID, deadline time.Time, payload any) *Attempt {
	return &Attempt{Backend: id, Deadline: deadline, Payload: payload}
}

// Cancel cancels an attempt for one of the causes above. Calls after the first have no effect.
func (a *Attempt) Cancel(cause error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.cancelCause != nil {
		return
	}
	a.cancelCause = cause
	if a.onCancel != nil {
		a.onCancel()
	}
}

// CancelCause returns why the attempt was cancelled, or nil if it was not.
func (a *Attempt) CancelCause() error {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.cancelCause
}

// Number returns the attempt's number within its request, counted from 0.
func (a *Attempt) Number() int { return a.number }

// ClientDisconnected reports whether the client of the attempt's request has disconnected.
func (a *Attempt) ClientDisconnected() bool { return a.request != nil && a.request.ctx.Err() != nil }

// OnCancel sets the function that interrupts the wait that the Transport is about to begin; nil removes it. If the
// attempt is already cancelled, interrupt is not stored and the cause is returned. interrupt is called at most once,
// with the attempt's lock held, so it must not block.
func (a *Attempt) OnCancel(interrupt func()) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.cancelCause == nil {
		a.onCancel = interrupt
	}
	return a.cancelCause
}

// IfActive calls do if the attempt is not cancelled, and returns the cause otherwise. The attempt cannot be cancelled
// while do runs. do must not block.
func (a *Attempt) IfActive(do func()) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.cancelCause == nil {
		do()
	}
	return a.cancelCause
}

// SendForbidden returns whether the attempt must not be sent any more: it is cancelled, its client has disconnected,
// NotAfter has passed, or the decision to start it is older than MaxDecisionAge and Machine.ConfirmSend does not allow
// the send. A Transport calls it right before it sends the first byte, without holding a lock that the function passed
// to OnCancel takes.
func (a *Attempt) SendForbidden() bool { return a.SendForbiddenAt(time.Now()) }

// SendForbiddenAt is like SendForbidden, for callers that have just read the clock.
func (a *Attempt) SendForbiddenAt(now time.Time) bool {
	if !a.NotAfter.IsZero() && now.After(a.NotAfter) {
		return true
	}
	request := a.request
	if request == nil {
		return a.CancelCause() != nil
	}
	// The context is checked here as well, because it may not be watched yet (see contextWatchDelay), and it may have
	// ended since the attempt was started, for example while the process was paused.
	if request.ctx.Err() != nil {
		request.executor.clientDisconnected(request)
		return true
	}
	if a.CancelCause() != nil {
		return true
	}
	e := request.executor
	if now.Sub(a.decidedAt) <= e.pauseLimits.MaxDecisionAge {
		return false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	effects, allowed := e.machine.ConfirmSend(e.clock.Now(), request.id, a.number)
	e.executeEffects(effects)
	return !allowed
}

// StartResponse reports to the Machine that the attempt's response has started, and returns whether the response may be
// passed on before it is complete; see lifecycle.Machine.ResponseStarted. A Transport calls it at most once, without
// holding a lock that the function passed to OnCancel takes. If it returns false, the Transport ends the attempt as
// Cancelled.
func (a *Attempt) StartResponse() bool {
	request := a.request
	if request == nil {
		return a.CancelCause() == nil
	}
	e := request.executor
	e.mu.Lock()
	defer e.mu.Unlock()
	effects, allowed := e.machine.ResponseStarted(e.clock.Now(), request.id, a.number)
	e.executeEffects(effects)
	return allowed
}
