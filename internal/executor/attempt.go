package executor

import (
	"errors"
	"sync"
	"time"

	"pumicecroft/decision"
)

// Causes of a cancelled attempt.
var (
	ErrCancelled        = errors.New("executor: attempt cancelled")
	ErrDeadlineExceeded = errors.New("executor: attempt deadline exceeded")
)

// Attempt is one attempt that a Transport makes.
type Attempt struct {
	Backend  decision.BackendID
	Deadline time.Time // it is cancelled then
	// NotAfter is when it must not be sent any more: the Transport asks SendForbidden right before, and ends it as
	// not sent. Zero: no limit.
	NotAfter time.Time
	Payload  any // what Serve was given

	request     *openRequest // nil: it belongs to no request
	number      int
	decidedAt   time.Time
	mu          sync.Mutex
	cancelCause error
	onCancel    func() // ends the wait that the Transport is in
}

// NewAttempt returns an attempt that belongs to no request, as probes and tests need.
func NewAttempt(id decision.BackendID, deadline time.Time, payload any) *Attempt {
	return &Attempt{Backend: id, Deadline: deadline, Payload: payload}
}

// Cancel ends the wait for an attempt, for one of the causes above. Only the first call counts.
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

// CancelCause is why the attempt was cancelled; nil: it was not.
func (a *Attempt) CancelCause() error {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.cancelCause
}

// OnCancel sets what ends the wait that the Transport is about to begin; nil: it waits no more. If the attempt is
// cancelled already, stop is not kept and the cause is returned. stop runs once at the most, under a lock of the
// attempt: it must not block.
func (a *Attempt) OnCancel(stop func()) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.cancelCause == nil {
		a.onCancel = stop
	}
	return a.cancelCause
}

// IfActive runs do if the attempt is not cancelled, and keeps it from being so meanwhile; else it returns the
// cause. do must not block.
func (a *Attempt) IfActive(do func()) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.cancelCause == nil {
		do()
	}
	return a.cancelCause
}

// SendForbidden tells whether the attempt must not be sent any more: it is cancelled, its client has gone, NotAfter
// has passed, or it was decided a while ago and the Machine does not confirm it. A Transport asks right before the
// first byte is sent, without a lock that its OnCancel function takes.
func (a *Attempt) SendForbidden() bool { return a.SendForbiddenAt(time.Now()) }

// SendForbiddenAt is SendForbidden for callers that have just read the clock.
func (a *Attempt) SendForbiddenAt(now time.Time) bool {
	if !a.NotAfter.IsZero() && now.After(a.NotAfter) {
		return true
	}
	request := a.request
	if request == nil {
		return a.CancelCause() != nil
	}
	// The end of a client's context may not have been noticed yet, and an attempt that was held back may be older
	// than the last look at it.
	if request.ctx.Err() != nil {
		request.executor.clientDisconnected(request)
		return true
	}
	if a.CancelCause() != nil {
		return true
	}
	e := request.executor
	if now.Sub(a.decidedAt) <= e.deadlines.MaxDecisionAge {
		return false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	effects, allowed := e.machine.ConfirmSend(e.clock.Now(), request.id, a.number)
	e.executeEffects(effects)
	return !allowed
}

// StartResponse asks whether the attempt's response may be passed on before it is complete; see
// lifecycle.Machine.ResponseStarted. A Transport calls it once at the most, without a lock that its OnCancel
// function takes, and ends an attempt that may not as cancelled.
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
