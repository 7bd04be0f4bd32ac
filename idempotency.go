package pumicecroft

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"time"

	"pumicecroft/decision"
	"pumicecroft/idempotency"
	"pumicecroft/internal/deduplicator"
	"pumicecroft/internal/executor"
	"pumicecroft/internal/lifecycle"
	"pumicecroft/internal/platformtransport"
)

// ReplayablePayload is a payload whose response can be stored under its idempotency key and returned for repeats.
type ReplayablePayload interface {
	executor.Payload
	// DigestParts returns the data whose digest distinguishes the payload from others with the same key. nil: its
	// response cannot be stored, and its key is ignored.
	DigestParts() [][]byte
	// EncodeResponse encodes a response of the payload's transport for storage.
	EncodeResponse(response any) (idempotency.Response, error)
	// DecodeResponse is the inverse of EncodeResponse.
	DecodeResponse(idempotency.Response) (response any, err error)
}

// IdempotencyEnabled reports whether the Gateway recognises idempotency keys.
func (g *Gateway) IdempotencyEnabled() bool { return g.deduplicator != nil }

// IdempotencyStats returns the memory used by idempotency keys in bytes, the number of keys held, and the number of
// requests that wait for the result of a key. All are zero if Config.Idempotency is nil.
func (g *Gateway) IdempotencyStats() (bytes, held, waiting int) {
	if g.deduplicator == nil {
		return 0, 0, 0
	}
	return g.deduplicator.Stats()
}

// initDeduplicator creates the deduplicator, with its journal, if they are configured. The error is an ErrJournal.
func (g *Gateway) initDeduplicator() (err error) {
	limits, journal := g.config.Idempotency, g.config.IdempotencyJournal
	switch {
	case limits == nil:
		return nil
	case journal == nil:
		g.deduplicator = deduplicator.New(*limits)
		return nil
	}
	g.deduplicator, err = deduplicator.Open(*limits, deduplicator.JournalConfig{
		Dir:              journal.Dir,
		GroupCommitDelay: journal.GroupCommitDelay,
		SyncInterval:     journal.SyncInterval,
		WriteTimeout:     journal.WriteTimeout,
		DeadlineMargin:   lifecycle.TimeoutMargin - lifecycle.ResponseMargin,
		RejectOnFailure:  journal.RejectOnFailure,
		Log:              g.log,
	})
	if err != nil {
		return fmt.Errorf("%w: %w", ErrJournal, err)
	}
	return nil
}

// deduplicates reports whether the request has an idempotency key that is recognised.
func (g *Gateway) deduplicates(request *Request) bool {
	return g.deduplicator != nil && request.IdempotencyKey != "" &&
		g.classes[request.Class].Idempotency != decision.Idempotent
}

// doIdempotent is sendHTTP for a request with a key. A repeat of an earlier request waits for its result or receives
// its stored response, and is neither counted nor sent.
func (g *Gateway) doIdempotent(ctx context.Context, request *Request,
	httpRequest *platformtransport.Request) (*Response, error) {
	attempts := 0
	// The request may continue after its caller has returned, and the caller may then change the body.
	httpRequest.Body = slices.Clone(httpRequest.Body)
	parts := [][]byte{
		[]byte(request.Class), []byte(httpRequest.Method), []byte(httpRequest.Target),
		[]byte(httpRequest.ContentType), httpRequest.Body,
	}
	send := func(ctx context.Context, request *Request) (idempotency.Response, error) {
		response, err := g.sendHTTP(ctx, request, httpRequest)
		if err != nil {
			return idempotency.Response{}, err
		}
		attempts = response.Attempts
		return idempotency.Response{
			Status:      http.StatusOK,
			ContentType: response.ContentType,
			Body:        response.Body,
		}, nil
	}
	stored, err := g.deduplicate(ctx, request, parts, send)
	if err != nil {
		return nil, err
	}
	return &Response{Body: stored.Body, ContentType: stored.ContentType, Attempts: attempts}, nil
}

// forwardIdempotent is execute for a request with a key.
func (g *Gateway) forwardIdempotent(ctx context.Context, request *Request,
	payload ReplayablePayload) (response any, err error) {
	var errorResponse any // if the request failed with one
	parts := append(payload.DigestParts(), []byte(request.Class))
	send := func(ctx context.Context, request *Request) (idempotency.Response, error) {
		response, _, err := g.execute(ctx, request, payload)
		if err != nil {
			errorResponse = response
			return idempotency.Response{}, err
		}
		return payload.EncodeResponse(response)
	}
	stored, err := g.deduplicate(ctx, request, parts, send)
	switch {
	case err == nil:
		return payload.DecodeResponse(stored)
	case ctx.Err() != nil: // send may still be running and may write errorResponse
		return nil, err
	}
	return errorResponse, err
}

// deduplicate returns the result of a request with a key. The digest of parts distinguishes the request from others
// with the same key. If the request has to be executed, send is called in a separate goroutine that may outlive ctx.
// Unless ctx has ended, variables that send has written may be read after deduplicate returns.
func (g *Gateway) deduplicate(ctx context.Context, request *Request, parts [][]byte,
	send func(context.Context, *Request) (idempotency.Response, error)) (idempotency.Response, error) {
	arrived := time.Now()
	execute := func(ctx context.Context) deduplicator.Result {
		remaining := *request // less the time that the request has waited for the disk
		remaining.Timeout -= time.Since(arrived)
		if remaining.Timeout <= MinTimeout {
			err := &RejectedError{RetryAfter: g.config.Idempotency.RetryAfter}
			return deduplicator.Result{Outcome: idempotency.NotExecuted, Err: err}
		}
		response, err := send(ctx, &remaining)
		switch {
		case err == nil:
			return deduplicator.Result{Outcome: idempotency.Succeeded, Response: response}
		case errors.Is(err, ErrRejected), errors.Is(err, ErrBadRequest):
			return deduplicator.Result{Outcome: idempotency.NotExecuted, Err: err}
		}
		return deduplicator.Result{Outcome: idempotency.Unknown, Err: err}
	}
	customer := decision.CustomerID(request.Customer)
	fingerprint := g.deduplicator.Fingerprint(parts...)
	timeout := request.Timeout - lifecycle.ResponseMargin
	result, err := g.deduplicator.Do(ctx, customer, request.IdempotencyKey, fingerprint, timeout, execute)
	switch {
	case err != nil && ctx.Err() != nil && errors.Is(err, context.Cause(ctx)):
		return idempotency.Response{}, disconnectedError(ctx)
	case errors.Is(err, deduplicator.ErrClosed):
		return idempotency.Response{}, ErrClosed
	case errors.Is(err, deduplicator.ErrNotPersisted):
		return idempotency.Response{}, &RejectedError{RetryAfter: result.RetryAfter}
	case err != nil:
		return idempotency.Response{}, err
	case result.Verdict == idempotency.Replay:
		return result.Response, nil
	}
	return idempotency.Response{}, keyError(request.IdempotencyKey, result.Verdict, result.RetryAfter)
}

// keyError returns the error of a request whose key has a verdict without a response.
func keyError(key string, verdict idempotency.Verdict, retryAfter time.Duration) error {
	switch verdict {
	case idempotency.ResponseNotStored:
		return ErrResponseNotRetained
	case idempotency.Conflict:
		return ErrKeyConflict
	case idempotency.OutcomeUnknown:
		return &OutcomeUnknownError{RetryAfter: retryAfter}
	case idempotency.Busy, idempotency.Rejected:
		return &RejectedError{RetryAfter: retryAfter}
	case idempotency.DeadlineExceeded:
		return ErrDeadlineExceeded
	}
	return badRequest("idempotency key", key)
}
