package pumicecroft

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"
)

// Identity is who makes a request, as the host knows it.
type Identity struct {
	Customer uint64
	Plan     string
}

type identityKey struct{}

// WithIdentity lets an earlier middleware of the host say who makes a request. PlatformRequest takes the customer and
// the plan from there, and ignores headers that claim another.
func WithIdentity(ctx context.Context, identity Identity) context.Context {
	return context.WithValue(ctx, identityKey{}, identity)
}

// IdentityFrom returns what WithIdentity put into a context; !ok: nothing.
func IdentityFrom(ctx context.Context) (identity Identity, ok bool) {
	identity, ok = ctx.Value(identityKey{}).(Identity)
	return identity, ok
}

// ServeHTTP takes one request and writes its one final answer: 200 and the backend's body; 503 with Retry-After (in
// seconds, with decimals) if it is rejected; 502 if it failed; 504 if its timeout was over; 409 if it is a replay, or
// its key's request may have executed; 422 if its key belongs to another request; 400 or 413 if it is invalid. The
// request is read by the Gateway's Mapper.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) { g.Handle(w, r, g.mapper) }

// Handle is ServeHTTP with a Mapper of the caller's; nil: the Gateway's own. Middleware is built on it.
//
// When the host ends the request's context first, for instance by a timeout of its own, the request ends as if its
// client had disconnected: its attempts are cancelled. The host's answer counts then: where the host has written it
// (http.TimeoutHandler has), nothing is written after it; where it has not, 504 is, as the server answers 200 for a
// handler that returns without writing.
func (g *Gateway) Handle(w http.ResponseWriter, r *http.Request, mapper Mapper) {
	response, err := g.DoHTTP(w, r, mapper)
	if errors.Is(err, context.DeadlineExceeded) && r.Context().Err() != nil {
		WriteGatewayTimeout(w)
		return
	}
	WriteResponse(w, response, err)
}

// DoHTTP is Handle without the answer written, for hosts that write answers in a form of their own. w bounds the time
// and size of the request's body, and is not written to.
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
	if request.Timeout > 0 { // reading the body took some of it
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

// readError is the error of a request that could not be read.
func (g *Gateway) readError(r *http.Request, err error) error {
	if errors.Is(r.Context().Err(), context.DeadlineExceeded) { // the host's own timeout
		return disconnectedError(r.Context())
	}
	if !errors.Is(err, ErrBadRequest) && !errors.Is(err, ErrRejected) && !errors.Is(err, ErrFailed) {
		err = fmt.Errorf("%w: %w", ErrBadRequest, err)
	}
	g.badRequestLog.Do(func() { g.log.Warn("bad request", "from", r.RemoteAddr, "err", err) })
	return err
}

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
	// A writer that the host has wrapped may not support a deadline; then the host's own must do.
	timed := control.SetReadDeadline(time.Now().Add(g.config.BodyReadTimeout)) == nil
	body, err := readAll(r)
	request.Body = body
	if err != nil {
		return bodyError(err)
	}
	if timed {
		// From here on the connection is read only to notice that the client disconnects. A deadline that passed
		// meanwhile would look as if it had.
		return control.SetReadDeadline(time.Time{})
	}
	return nil
}

// readAll reads a body of at most MaxBody bytes, with a known length or without.
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

// bodyError is the error of a body that could not be read.
func bodyError(err error) error {
	var limited *http.MaxBytesError
	if errors.As(err, &limited) {
		return fmt.Errorf("%w: the host's limit is %d bytes", ErrBodyTooLarge, limited.Limit)
	}
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return errTruncatedBody
	}
	return err
}
