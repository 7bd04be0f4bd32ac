package pumicecroft

import (
	"context"
	"errors"
	"fmt"
	"time"

	"pumicecroft/decision"
	"pumicecroft/internal/lifecycle"
)

// Errors of requests that end without a response. Compare with errors.Is. Each is ErrRejected, ErrFailed or
// ErrBadRequest, or wraps one of them.
var (
	// ErrRejected: the request has not executed, or executing it again is permitted, so the caller may retry it. The
	// error is a *RejectedError, an ErrClosed or an ErrTooManyRequests.
	ErrRejected = errors.New("pumicecroft: rejected")
	// ErrFailed: the request may have executed.
	ErrFailed = errors.New("pumicecroft: failed")
	// ErrBadRequest: the request is invalid for this Gateway. It reached neither the decision engine nor a backend.
	ErrBadRequest = errors.New("pumicecroft: bad request")

	// ErrClosed is an ErrRejected: the Gateway is closed.
	ErrClosed = fmt.Errorf("%w: gateway closed", ErrRejected)
	// ErrTooManyRequests is an ErrRejected: Config.MaxOpenRequests requests are open.
	ErrTooManyRequests = fmt.Errorf("%w: too many open requests", ErrRejected)

	// ErrDeadlineExceeded is an ErrFailed: the timeout elapsed before the request had another result.
	ErrDeadlineExceeded = fmt.Errorf("%w: deadline exceeded", ErrFailed)
	// ErrAborted is an ErrFailed: the context of Close ended before the request was answered.
	ErrAborted = fmt.Errorf("%w: gateway closed", ErrFailed)
	// ErrReplayed is an ErrFailed: a recent request with the same ID, of a class that is not idempotent, may have
	// executed. It prevents a second execution where a host runs its handlers again for the same request.
	ErrReplayed = fmt.Errorf("%w: a request with this id may have executed already", ErrFailed)
	// ErrOutcomeUnknown is an ErrFailed: a request with the same idempotency key may have executed; its outcome is
	// unknown. The error is an *OutcomeUnknownError.
	ErrOutcomeUnknown = fmt.Errorf("%w: a request with this key may have executed", ErrFailed)
	// ErrResponseNotRetained is an ErrFailed: a request with the same idempotency key succeeded, but its response was
	// too large to be retained.
	ErrResponseNotRetained = fmt.Errorf(
		"%w: a request with this key succeeded, and its response was not retained", ErrFailed)

	// ErrBodyTooLarge is an ErrBadRequest: the body is larger than MaxBody.
	ErrBodyTooLarge = fmt.Errorf("%w: the body is over %d KiB", ErrBadRequest, MaxBody>>10)
	// ErrDuplicateID is an ErrBadRequest: another request with the same ID is open.
	ErrDuplicateID = fmt.Errorf("%w: a request with this id is open", ErrBadRequest)
	// ErrKeyConflict is an ErrBadRequest: the idempotency key belongs to another request of the customer.
	ErrKeyConflict = fmt.Errorf("%w: the key belongs to another request", ErrBadRequest)
)

// Errors of New. Compare with errors.Is.
var (
	// ErrConfig: the Config or an Option is invalid.
	ErrConfig = errors.New("pumicecroft: invalid configuration")
	// ErrJournal: the idempotency journal cannot be used, because its directory cannot be read or is in use by another
	// process, or because it is damaged; the error then names the file and the offset. The journal was not changed.
	ErrJournal = errors.New("pumicecroft: idempotency journal")
	// ErrGatewayIndexTaken: another Gateway of the deployment has the same index.
	ErrGatewayIndexTaken = errors.New("pumicecroft: gateway index taken in this deployment")
)

// RejectedError is an ErrRejected that may tell the caller when to retry.
type RejectedError struct {
	// RetryAfter is how long to wait before a retry. Zero: unknown.
	RetryAfter time.Duration
	// Reason is the reason given by the decision engine; Invalid if another component rejected the request.
	Reason decision.Reason
}

// Error includes RetryAfter.
func (e *RejectedError) Error() string {
	if e.RetryAfter > 0 {
		return fmt.Sprintf("%v: retry after %v", ErrRejected, e.RetryAfter)
	}
	return ErrRejected.Error()
}

// Is reports whether target is ErrRejected.
func (e *RejectedError) Is(target error) bool { return target == ErrRejected }

// OutcomeUnknownError is an ErrOutcomeUnknown. A retry with the same key before RetryAfter has elapsed gets the same
// error.
type OutcomeUnknownError struct{ RetryAfter time.Duration }

// Error includes RetryAfter.
func (e *OutcomeUnknownError) Error() string {
	return fmt.Sprintf("%v: retry after %v", ErrOutcomeUnknown, e.RetryAfter)
}

// Unwrap returns ErrOutcomeUnknown, which wraps ErrFailed.
func (e *OutcomeUnknownError) Unwrap() error { return ErrOutcomeUnknown }

// submitError translates the error of a request that the executor did not accept.
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

// disconnectedError returns the error of a request whose context has ended.
func disconnectedError(ctx context.Context) error {
	return fmt.Errorf("pumicecroft: caller disconnected: %w", context.Cause(ctx))
}

// badRequest returns an ErrBadRequest that names the invalid part and quotes the first 40 characters of its value.
func badRequest(what string, value any) error {
	return fmt.Errorf("%w: %s: %.40q", ErrBadRequest, what, fmt.Sprint(value))
}
