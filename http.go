package pumicecroft

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"
)

// Identity is the customer that makes a request, and its plan, as authenticated by the host.
type Identity struct {
	Customer uint64
	Plan     string
}

type identityKey struct{}

// WithIdentity returns a context that carries an identity, for a middleware of the host that runs before the Gateway.
// PlatformRequest takes the customer and the plan from it, and ignores the headers that name them.
func WithIdentity(ctx context.Context, identity Identity) context.Context {
	return context.WithValue(ctx, identityKey{}, identity)
}

// IdentityFrom returns the identity that WithIdentity stored in a context; ok is false if there is none.
func IdentityFrom(ctx context.Context) (identity Identity, ok bool) {
	identity, ok = ctx.Value(identityKey{}).(Identity)
	return identity, ok
}

// ServeHTTP serves one request and writes its final answer: 200 and the backend's body; 503 with Retry-After (in
// seconds, with decimals) if it was rejected; 502 if it failed; 504 if its timeout elapsed; 409 if it is a replay, or
// an earlier request with its key may have executed; 422 if its key belongs to another request; 400 or 413 if it is
// invalid. The request is read by the Gateway's Mapper.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) { g.Handle(w, r, g.mapper) }

// Handle is ServeHTTP with the given Mapper; nil selects the Gateway's own. Middleware is built on it.
//
// If the host ends the request's context first, for instance by its own timeout, the request ends as if its client
// had disconnected, and its attempts are cancelled. An answer that the host has already written, as
// http.TimeoutHandler does, takes precedence, and nothing is written after it. Otherwise Handle writes 504, because
// the server would answer 200 for a handler that returns without writing.
func (g *Gateway) Handle(w http.ResponseWriter, r *http.Request, mapper Mapper) {
	response, err := g.DoHTTP(w, r, mapper)
	if errors.Is(err, context.DeadlineExceeded) && r.Context().Err() != nil {
		WriteGatewayTimeout(w)
		return
	}
	WriteResponse(w, response, err)
}

// DoHTTP is Handle without writing the answer, for hosts that write answers in their own format. It does not write to
// w, but uses it to limit the time in which the request's body is read.
func (g *Gateway) DoHTTP(w http.ResponseWriter, r *http.Request, mapper Mapper) (*Response, error) {
	arrived := time.Now()
	if mapper == nil {
		mapper = g.mapper
	}
	request, err := mapper(r)
	if err == nil {
		err = g.readBody(w, r, &request)
	}
	if err != nil {
		return nil, g.readError(r, err)
	}
	if class, ok := g.classes[request.Class]; ok && (request.Timeout == 0 || request.Timeout > class.Deadline) {
		request.Timeout = class.Deadline
	}
	if request.Timeout > 0 { // deduct the time spent on reading the body
		request.Timeout = max(1, request.Timeout-time.Since(arrived))
	}
	response, err := g.Do(r.Context(), request)
	if errors.Is(err, ErrBadRequest) {
		g.badRequestLog.Do(func() {
			g.log.Warn("bad request", "request", formatID(request.ID), "from", r.RemoteAddr, "err", err)
		})
	}
	return response, err
}

// readError logs and returns the error of a request that could not be read. An error that is none of ErrBadRequest,
// ErrRejected and ErrFailed is wrapped in an ErrBadRequest.
func (g *Gateway) readError(r *http.Request, err error) error {
	if errors.Is(r.Context().Err(), context.DeadlineExceeded) { // the host's own timeout
		return disconnectedError(r.Context())
	}
	if !errors.Is(err, ErrBadRequest) && !errors.Is(err, ErrRejected) && !errors.Is(err, ErrFailed) {
		err = fmt.Errorf("%w: %w", ErrBadRequest, err)
	}
	g.badRequestLog.Do(func() {
		g.log.Warn("bad request", "request", fmt.Sprintf("%.40s", r.Header.Get("Request-Id")), "from", r.RemoteAddr, "err", err)
	})
	return err
}

var errBodyTimeout = fmt.Errorf("%w: the body was not received in time", ErrBadRequest)

var errTruncatedBody = fmt.Errorf("%w: incomplete body: cut by the client, or read before", ErrBadRequest)

// readBody reads a request's whole body within Config.BodyReadTimeout, unless the Mapper has read it.
func (g *Gateway) readBody(w http.ResponseWriter, r *http.Request, request *Request) error {
	if request.Body != nil {
		return nil
	}
	if r.ContentLength > MaxBody {
		return ErrBodyTooLarge
	}
	if r.ContentLength == 0 || r.ContentLength < 0 && (r.Body == nil || r.Body == http.NoBody) {
		return nil
	}
	if r.Body == nil || r.Body == http.NoBody {
		return errTruncatedBody
	}
	control := http.NewResponseController(w)
	// A writer that the host has wrapped may not support deadlines; then only the host's own timeouts apply.
	timed := control.SetReadDeadline(time.Now().Add(g.config.BodyReadTimeout)) == nil
	body, err := readAll(r)
	request.Body = body
	if err != nil {
		return bodyError(err)
	}
	if timed {
		// From here on the connection is read only to detect that the client disconnects. A read deadline that
		// expired meanwhile would be mistaken for a disconnect.
		return control.SetReadDeadline(time.Time{})
	}
	return nil
}

// readAll reads a body of at most MaxBody bytes, of known or unknown length.
func readAll(r *http.Request) ([]byte, error) {
	if r.ContentLength > 0 {
		body := make([]byte, r.ContentLength)
		_, err := io.ReadFull(r.Body, body)
		return body, err
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, MaxBody+1))
	if err == nil && len(body) > MaxBody {
		err = ErrBodyTooLarge
	}
	return body, err
}

// bodyError translates the error of a body that could not be read.
func bodyError(err error) error {
	var limited *http.MaxBytesError
	if errors.As(err, &limited) {
		return fmt.Errorf("%w: the host's limit is %d bytes", ErrBodyTooLarge, limited.Limit)
	}
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return errTruncatedBody
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return errBodyTimeout
	}
	return err
}
