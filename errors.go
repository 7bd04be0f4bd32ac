package pumicecroft

import (
	"context"
	"errors"
	"fmt"
	"time"

	"pumicecroft/decision"
	"pumicecroft/internal/lifecycle"
)

// How a request ends without a response. Compare with errors.Is. Each is also one of ErrRejected, ErrFailed and
// ErrBadRequest.
var (
	// ErrRejected: the request has not executed, or may execute again: the caller may retry it. The error is a
	// *RejectedError, an ErrClosed or an ErrTooManyRequests.
	ErrRejected = errors.New("pumicecroft: rejected")
	// ErrFailed: the request may have executed.
	ErrFailed = errors.New("pumicecroft: failed")
	// ErrBadRequest: the request is invalid for this Gateway; nothing was decided and nothing sent.
	ErrBadRequest = errors.New("pumicecroft: bad request")

	// ErrClosed is an ErrRejected: the Gateway is closed.
	ErrClosed = fmt.Errorf("%w: gateway closed", ErrRejected)
	// ErrTooManyRequests is an ErrRejected: Config.MaxOpenRequests requests are open.
	ErrTooManyRequests = fmt.Errorf("%w: too many open requests", ErrRejected)

	// ErrDeadlineExceeded is an ErrFailed: the timeout was over before there was another answer.
	ErrDeadlineExceeded = fmt.Errorf("%w: deadline exceeded", ErrFailed)
	// ErrAborted is an ErrFailed: Close was not given the time to let the request end.
	ErrAborted = fmt.Errorf("%w: gateway closed", ErrFailed)
	// ErrReplayed is an ErrFailed: a request with this ID, of a class that is not idempotent, was here a short while
	// ago and may have executed. A host that runs its handlers again gets it in place of a second execution.
	ErrReplayed = fmt.Errorf("%w: a request with this id may have executed already", ErrFailed)
	// ErrOutcomeUnknown is an ErrFailed: a request with this idempotency key may have executed, with unknown
	// outcome. The error is an *OutcomeUnknownError.
	ErrOutcomeUnknown = fmt.Errorf("%w: a request with this key may have executed", ErrFailed)
	// ErrResponseNotRetained is an ErrFailed: a request with this idempotency key succeeded, and its response was too
	// large to be retained.
	ErrResponseNotRetained = fmt.Errorf(
		"%w: a request with this key succeeded, and its response was not retained", ErrFailed)

	// ErrBodyTooLarge is an ErrBadRequest: the body is larger than MaxBody.
	ErrBodyTooLarge = fmt.Errorf("%w: the body is over %d KiB", ErrBadRequest, MaxBody>>10)
	// ErrDuplicateID is an ErrBadRequest: a request with this ID is open.
	ErrDuplicateID = fmt.Errorf("%w: a request with this id is open", ErrBadRequest)
	// ErrKeyConflict is an ErrBadRequest: the idempotency key belongs to another request of the customer.
	ErrKeyConflict = fmt.Errorf("%w: the key belongs to another request", ErrBadRequest)
)

// Errors of New. Compare with errors.Is.
var (
	// ErrConfig: the Config or an Option is invalid.
	ErrConfig = errors.New("pumicecroft: invalid configuration")
	// ErrJournal: the idempotency journal cannot be used: its directory cannot be read or is in use by another
	// process, or it is damaged, which the error tells with file and offset. Nothing in it was changed.
	ErrJournal = errors.New("pumicecroft: idempotency journal")
	// ErrGatewayIndexTaken: another Gateway of the deployment has this index.
	ErrGatewayIndexTaken = errors.New("pumicecroft: gateway index taken in this deployment")
)

// RejectedError is an ErrRejected that may say when to retry.
type RejectedError struct {
	// RetryAfter is when to retry. Zero: no advice.
	RetryAfter time.Duration
	// Reason is the decision engine's; Invalid where something else rejected the request.
	Reason decision.Reason
}

// Error includes RetryAfter.
func (e *RejectedError) Error() string {
	if e.RetryAfter > 0 {
		return fmt.Sprintf("%v: retry after %v", ErrRejected, e.RetryAfter)
	}
	return ErrRejected.Error()
}

// Is makes it an ErrRejected.
func (e *RejectedError) Is(target error) bool { return target == ErrRejected }

// OutcomeUnknownError is an ErrOutcomeUnknown. A retry with the key before RetryAfter has the same error.
type OutcomeUnknownError struct{ RetryAfter time.Duration }

// Error includes RetryAfter.
func (e *OutcomeUnknownError) Error() string {
	return fmt.Sprintf("%v: retry after %v", ErrOutcomeUnknown, e.RetryAfter)
}

// Unwrap makes it an ErrOutcomeUnknown, and an ErrFailed.
func (e *OutcomeUnknownError) Unwrap() error { return ErrOutcomeUnknown }

// submitError is the error of a request that was not submitted.
func submitError(err error) error {
	switch {
	case errors.Is(err, lifecycle.ErrDuplicateID):
		return ErrDuplicateID
	case errors.Is(err, lifecycle.ErrReplayed):
		return ErrReplayed
	case errors.Is(err, lifecycle.ErrTooManyRequests):
		return ErrTooManyRequests
	case errors.Is(err, lifecycle.ErrClosed):
		return ErrClosed
	}
	return err
}

// disconnectedError is the error of a request whose context has ended.
func disconnectedError(ctx context.Context) error {
	return fmt.Errorf("pumicecroft: caller disconnected: %w", context.Cause(ctx))
}

// badRequest is an ErrBadRequest that names what is invalid, with the start of its value.
func badRequest(what string, value any) error {
	return fmt.Errorf("%w: %s: %.40q", ErrBadRequest, what, fmt.Sprint(value))
}
