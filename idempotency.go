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

// ReplayablePayload is a payload whose response can be stored for its idempotency key, and given again.
type ReplayablePayload interface {
	executor.Payload
	// DigestParts tell the payload apart from others of the same key. nil: its response cannot be stored, and its
	// key is ignored.
	DigestParts() [][]byte
	// EncodeResponse encodes a response of the payload's transport for storage.
	EncodeResponse(response any) (idempotency.Response, error)
	// DecodeResponse is the reverse of EncodeResponse.
	DecodeResponse(idempotency.Response) (response any, err error)
}

// IdempotencyEnabled tells whether the Gateway recognises idempotency keys.
func (g *Gateway) IdempotencyEnabled() bool { return g.deduplicator != nil }

// IdempotencyStats tells how many bytes the idempotency keys take, how many keys are held, and how many requests
// wait with them. All are zero if Config.Idempotency is nil.
func (g *Gateway) IdempotencyStats() (bytes, held, waiting int) {
	if g.deduplicator == nil {
		return 0, 0, 0
	}
	return g.deduplicator.Stats()
}

// openDeduplicator has the Gateway recognise idempotency keys, as configured. The error is an ErrJournal.
func (g *Gateway) openDeduplicator() (err error) {
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
		RejectOnFailure:  journal.RejectOnFailure,
		Log:              g.log,
	})
	if err != nil {
		return fmt.Errorf("%w: %w", ErrJournal, err)
	}
	return nil
}

// deduplicates tells whether a request's key is recognised.
func (g *Gateway) deduplicates(request *Request) bool {
	return g.deduplicator != nil && request.IdempotencyKey != "" &&
		g.classes[request.Class].Idempotency != decision.Idempotent
}

// doIdempotent is sendHTTP for a request with a key: one that repeats an earlier request waits for its end, or is
// given its response, and is neither counted nor sent.
func (g *Gateway) doIdempotent(ctx context.Context, request *Request,
	message *platformtransport.Request) (*Response, error) {
	attempts := 0
	// The request may go on after its caller has left, who may then change the body.
	message.Body = slices.Clone(message.Body)
	parts := [][]byte{
		[]byte(request.Class), []byte(message.Method), []byte(message.Target), []byte(message.ContentType), message.Body,
	}
	send := func(ctx context.Context, request *Request) (idempotency.Response, error) {
		response, err := g.sendHTTP(ctx, request, message)
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
	var failed any // the response of a request that failed by it
	parts := append(payload.DigestParts(), []byte(request.Class))
	send := func(ctx context.Context, request *Request) (idempotency.Response, error) {
		response, _, err := g.execute(ctx, request, payload)
		if err != nil {
			failed = response
			return idempotency.Response{}, err
		}
		return payload.EncodeResponse(response)
	}
	stored, err := g.deduplicate(ctx, request, parts, send)
	switch {
	case err == nil:
		return payload.DecodeResponse(stored)
	case ctx.Err() != nil: // send may still be running, and must be the only one to use failed
		return nil, err
	}
	return failed, err
}

// deduplicate settles a request with a key; parts tell it apart from others of the same key. send executes it, if it
// is to be executed, in a goroutine of its own that may outlive ctx. What send has written elsewhere may be read
// when deduplicate returns, unless ctx has ended.
func (g *Gateway) deduplicate(ctx context.Context, request *Request, parts [][]byte,
	send func(context.Context, *Request) (idempotency.Response, error)) (idempotency.Response, error) {
	arrived := time.Now()
	execute := func(ctx context.Context) deduplicator.Result {
		remaining := *request // it may have waited for the disk
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

// keyError is the error of a request whose key has a verdict without a response.
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
