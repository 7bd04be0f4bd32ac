package pumicecroft

import (
	"errors"
	"fmt"
	"time"

	"pumicecroft/decision"
	"pumicecroft/internal/lifecycle"
)

// How a request ends without an answer to pass on. Test with errors.Is.
var (
	// ErrRejected: no attempt has run, or running again is harmless; the caller may try again. The error is a
	// *RefusedError.
	ErrRejected = errors.New("pumicecroft: refused")
	// ErrFailed: it may have run, and promises nothing.
	ErrFailed = errors.New("pumicecroft: failed")
	// ErrDeadlineExceeded is an ErrFailed too: the time was up before there was any other answer.
	ErrDeadlineExceeded = fmt.Errorf("%w: its time was up", ErrFailed)
	// ErrAborted is an ErrFailed too: Close was not given the time to let the request end.
	ErrAborted = fmt.Errorf("%w: the door was closed", ErrFailed)
	// ErrClosed is an ErrRefused too: the Door takes nothing any more.
	ErrClosed = fmt.Errorf("%w: the door is closed", ErrRejected)
	// ErrTooManyRequests is an ErrRefused too: MaxOpen requests are open.
	ErrTooManyRequests = fmt.Errorf("%w: as many requests as may be are open", ErrRejected)

	// ErrBadRequest: the request makes no sense to this Door; nothing was decided and nothing sent.
	ErrBadRequest = errors.New("pumicecroft: bad request")
	// ErrBodyTooLarge is an ErrBadRequest too: the body is over the limit.
	ErrBodyTooLarge = fmt.Errorf("%w: the body is over %d KiB", ErrBadRequest, MaxBody>>10)
	// ErrDuplicateID is an ErrBadRequest too: a request with this id is open.
	ErrDuplicateID = fmt.Errorf("%w: a request with this id is open", ErrBadRequest)
	// ErrReplayed is an ErrFailed too: a request with this id, of a class that must not be repeated at will, was
	// here a short while ago and may have run. A host that runs its handlers again sees it, in place of a second
	// effect.
	ErrReplayed = fmt.Errorf("%w: a request with this id may have run already", ErrFailed)

	// ErrKeyConflict is an ErrBadRequest too: its idempotency key belongs to another request of its customer.
	ErrKeyConflict = fmt.Errorf("%w: the key belongs to another request", ErrBadRequest)
	// ErrOutcomeUnknown is an ErrFailed too: a request with this key may have run, and what came of it is not known. The error is
	// an *UndecidedError.
	ErrOutcomeUnknown = fmt.Errorf("%w: a request with this key may have run", ErrFailed)
	// ErrResponseNotRetained is an ErrFailed too: a request with this key was answered well, and its answer was too large to be kept.
	ErrResponseNotRetained = fmt.Errorf("%w: a request with this key was answered well, and the answer is not kept", ErrFailed)

	// ErrConfig: New was given what it cannot work with.
	ErrConfig = errors.New("pumicecroft: bad configuration")
	// ErrJournal: the journal of keys can't be used: its directory can't be read or is another process's, or what is in it is damaged, which the
	// error tells with file and offset. Nothing in it was changed.
	ErrJournal = errors.New("pumicecroft: the journal of keys")
	// ErrGatewayIndexTaken: another Door of the deployment has this number.
	ErrGatewayIndexTaken = errors.New("pumicecroft: the number belongs to another door of this deployment")
)

// RejectedError is an ErrRefused that may say when to come back.
type RejectedError struct {
	RetryAfter time.Duration   // 0: no advice
	Reason     decision.Reason // as the decision module has it; Unfit where something else refused
}

// Error tells the advice too.
func (e *RejectedError) Error() string {
	if e.RetryAfter > 0 {
		return fmt.Sprintf("%v, come back in %v", ErrRejected, e.RetryAfter)
	}
	return ErrRejected.Error()
}

// Is makes it an ErrRefused.
func (e *RejectedError) Is(target error) bool { return target == ErrRejected }

// OutcomeUnknownError is an ErrUndecided that says for how long the key is.
type OutcomeUnknownError struct{ RetryAfter time.Duration }

// Error tells how long too.
func (e *OutcomeUnknownError) Error() string {
	return fmt.Sprintf("%v, for %v", ErrOutcomeUnknown, e.RetryAfter)
}

// Unwrap makes it an ErrUndecided, and an ErrFailed.
func (e *OutcomeUnknownError) Unwrap() error { return ErrOutcomeUnknown }

// submitErrors are the errors for requests that the core did not let in.
var submitErrors = map[error]error{lifecycle.ErrDuplicateID: ErrDuplicateID, lifecycle.ErrReplayed: ErrReplayed, lifecycle.ErrTooManyRequests: ErrTooManyRequests,
	lifecycle.ErrClosed: ErrClosed}
