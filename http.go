package pumicecroft

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"pumicecroft/decision"
	"pumicecroft/internal/reqtarget"
	"pumicecroft/internal/requestmeta"
)

// Identity is who asks, as the host knows it.
type Identity struct {
	Customer uint64
	Plan     string
}

type identityKey struct{}

// WithIdentity lets an earlier middleware of the host say who asks. PlatformRequest takes the customer and the
// plan from there, and headers that claim another are not looked at.
func WithIdentity(ctx context.Context, id Identity) context.Context {
	return context.WithValue(ctx, identityKey{}, id)
}

// IdentityFrom gives what WithIdentity put into a context.
func IdentityFrom(ctx context.Context) (Identity, bool) {
	id, ok := ctx.Value(identityKey{}).(Identity)
	return id, ok
}

// ServeHTTP takes one request and gives it its one final answer: 200 and the backend's body; 503 with Retry-After
// (seconds, with decimals) if it is refused; 502 if it failed; 504 if its time ran out; 409 if it is a replay, or its
// key's request may have run; 422 if its key belongs to another request; 400 or 413 if it cannot be read. The request is read by the Door's Mapper.
func (d *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) { d.Handle(w, r, d.mapper) }

// Handle is ServeHTTP with a Mapper of the caller's; nil: the Door's own. Middleware is built on it.
//
// When the host ends the request's context first, by a time-out of its own say, the request ends as if its client
// had left: what is out for it is called off. The host's answer is the one that counts then: where the host has
// written it (http.TimeoutHandler has), nothing is written after it; where it has not, 504 is, as a handler that
// returns without a word has the server answer 200.
func (d *Gateway) Handle(w http.ResponseWriter, r *http.Request, m Mapper) {
	answer, err := d.DoHTTP(w, r, m)
	if errors.Is(err, context.DeadlineExceeded) && r.Context().Err() != nil {
		WriteGatewayTimeout(w)
		return
	}
	WriteResponse(w, answer, err)
}

// DoHTTP is Handle without the answer written: for hosts that write answers in a form of their own. w is used to
// bound the time and size of the request's body, and not written to.
func (d *Gateway) DoHTTP(w http.ResponseWriter, r *http.Request, m Mapper) (*Response, error) {
	arrived := time.Now()
	if m == nil {
		m = d.mapper
	}
	req, err := m(r)
	if err == nil {
		err = d.readBody(w, r, &req)
	}
	if err != nil {
		if errors.Is(r.Context().Err(), context.DeadlineExceeded) {
			return nil, disconnectedError(r.Context()) // the host's time is up
		}
		if !errors.Is(err, ErrBadRequest) && !errors.Is(err, ErrRejected) && !errors.Is(err, ErrFailed) {
			err = fmt.Errorf("%w: %w", ErrBadRequest, err)
		}
		d.badRequestLog.Do(func() { d.log.Warn("bad request", "from", r.RemoteAddr, "err", err) })
		return nil, err
	}
	if class, ok := d.classes[req.Class]; ok && (req.Timeout == 0 || req.Timeout > class.Deadline) {
		req.Timeout = class.Deadline
	}
	if req.Timeout > 0 { // what reading took is the client's time too
		req.Timeout = max(1, req.Timeout-time.Since(arrived))
	}
	answer, err := d.Do(r.Context(), req)
	if errors.Is(err, ErrBadRequest) {
		d.badRequestLog.Do(func() { d.log.Warn("bad request", "request", formatID(req.ID), "from", r.RemoteAddr, "err", err) })
	}
	return answer, err
}

// formatID is a request's id as clients bring it.
func formatID(id uint64) string { return fmt.Sprintf("%016x", id) }

// WriteResponse writes what Do returned, with the status that ServeHTTP tells.
func WriteResponse(w http.ResponseWriter, a *Response, err error) {
	h := w.Header()
	var refused *RejectedError
	var undecided *OutcomeUnknownError
	switch {
	case err == nil:
		h["Content-Type"] = nil // none is guessed
		if a.ContentType != "" {
			h["Content-Type"] = []string{a.ContentType}
		}
		h["Content-Length"] = []string{strconv.Itoa(len(a.Body))}
		w.WriteHeader(http.StatusOK) // said aloud: a framework may have another status in mind until then
		_, _ = w.Write(a.Body)       // if it fails, the connection is closed: the client sees a cut answer
	case errors.As(err, &refused):
		if refused.RetryAfter > 0 {
			h.Set("Retry-After", strconv.FormatFloat(refused.RetryAfter.Seconds(), 'f', 3, 64))
		}
		w.WriteHeader(http.StatusServiceUnavailable)
	case errors.Is(err, ErrRejected):
		w.WriteHeader(http.StatusServiceUnavailable)
	case errors.Is(err, ErrBodyTooLarge):
		writeErrorAndClose(w, err, http.StatusRequestEntityTooLarge)
	case errors.Is(err, ErrKeyConflict):
		writeErrorAndClose(w, err, http.StatusUnprocessableEntity)
	case errors.Is(err, ErrBadRequest):
		writeErrorAndClose(w, err, http.StatusBadRequest)
	case errors.As(err, &undecided):
		h.Set("Retry-After", strconv.FormatFloat(undecided.RetryAfter.Seconds(), 'f', 3, 64))
		w.WriteHeader(http.StatusConflict)
	case errors.Is(err, ErrReplayed), errors.Is(err, ErrResponseNotRetained):
		w.WriteHeader(http.StatusConflict)
	case errors.Is(err, ErrDeadlineExceeded), errors.Is(err, context.DeadlineExceeded):
		w.WriteHeader(http.StatusGatewayTimeout)
	default:
		// This is ErrFailed, or the client has left. Most likely nobody is there to be told then, but a client may
		// have ended its sending only, and without a word from here it would read an empty 200.
		w.WriteHeader(http.StatusBadGateway)
	}
}

func writeErrorAndClose(w http.ResponseWriter, err error, status int) {
	w.Header().Set("Connection", "close") // what else it sends is not waited for
	http.Error(w, err.Error(), status)
}

const (
	hostResponseWait = 250 * time.Millisecond // that the host is given for its own answer after its own time-out
	hostPollInterval = time.Millisecond
)

// WriteGatewayTimeout ends a handler whose host's time is up. The host may be about to answer, and a handler that returns too
// soon would take that from it; http.TimeoutHandler even takes an empty 200 for the handler's answer then. So
// 504 is written; where it can be flushed it is the answer; where it is held back, by a writer that the host has
// wrapped, the handler waits a little for the host to have answered, which shows by writes that fail.
func WriteGatewayTimeout(w http.ResponseWriter) {
	w.Header().Set("Content-Length", "0")
	w.WriteHeader(http.StatusGatewayTimeout)
	if http.NewResponseController(w).Flush() == nil {
		return
	}
	for end := time.Now().Add(hostResponseWait); time.Now().Before(end); time.Sleep(hostPollInterval) {
		if _, err := w.Write(nil); err != nil {
			return
		}
	}
}

var errTruncatedBody = fmt.Errorf("%w: the body is not whole: cut by the client, or read before", ErrBadRequest)

// readBody reads a request's body whole, within its own time, unless the Mapper has done so.
func (d *Gateway) readBody(w http.ResponseWriter, r *http.Request, req *Request) error {
	if req.Body != nil {
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
	// A writer that the host has wrapped may not let the deadline be set; then the host's own must do.
	timed := control.SetReadDeadline(time.Now().Add(d.config.BodyReadTimeout)) == nil
	var err error
	if r.ContentLength > 0 {
		req.Body = make([]byte, r.ContentLength)
		_, err = io.ReadFull(r.Body, req.Body)
	} else if req.Body, err = io.ReadAll(io.LimitReader(r.Body, MaxBody+1)); err == nil && len(req.Body) > MaxBody {
		err = ErrBodyTooLarge
	}
	if err != nil {
		var limited *http.MaxBytesError
		if errors.As(err, &limited) {
			return fmt.Errorf("%w: the host's limit is %d bytes", ErrBodyTooLarge, limited.Limit)
		}
		if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
			return errTruncatedBody
		}
		return err
	}
	if timed {
		// From here on the connection is read only to learn whether the client leaves. A deadline that passed
		// meanwhile would look as if it had.
		return control.SetReadDeadline(time.Time{})
	}
	return nil
}

// PlatformRequest reads the headers of the platform's protocol; it is the default Mapper. It reads all of a
// request but its body. Who asks comes from WithIdentity, if the host has said so. Errors are ErrBadRequests.
func (d *Gateway) PlatformRequest(r *http.Request) (Request, error) {
	bad := func(what, value string) (Request, error) { return Request{}, badRequest(what, value) }
	// A Content-Length next to a Transfer-Encoding is dropped unseen by the server (in HTTP/1.0 the latter is), and
	// whoever goes by the other one finds a second request in the body. Our clients tell lengths and send HTTP/1.1;
	// HTTP/2 frames bodies by itself.
	if r.ProtoMajor != 2 && (len(r.TransferEncoding) > 0 || r.ContentLength < 0 || r.ProtoMajor != 1 || r.ProtoMinor != 1) {
		return bad("framing", r.Proto+" "+strings.Join(r.TransferEncoding, ", "))
	}
	h, twice := platformHeaders(r.Header)
	if twice != "" {
		return bad(twice, strings.Join(r.Header[twice], ", "))
	}
	id, err := requestmeta.Hex(h.id)
	if err != nil {
		return bad("Request-Id", h.id)
	}
	class, ok := d.classes[h.class]
	if !ok {
		return bad("Request-Class", h.class)
	}
	first, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	if first != class.Name || !strings.HasPrefix(r.RequestURI, "/") {
		return bad("path of another class", r.RequestURI)
	}
	if r.Method != platformMethod(class) {
		return bad("method", r.Method)
	}
	if r.Method == http.MethodGet && r.ContentLength > 0 {
		return bad("a GET with a body", r.RequestURI)
	}
	if class.Idempotency == decision.IdempotentByKey && h.key == "" {
		return bad("Idempotency-Key", "")
	}
	who, known := IdentityFrom(r.Context())
	if !known {
		if who.Customer, err = requestmeta.Customer(h.customer); err != nil {
			return bad("X-Api-Key", h.customer)
		}
		who.Plan = h.plan
	}
	if !d.plans[who.Plan] {
		return bad("X-Tier", who.Plan)
	}
	seconds, err := strconv.ParseFloat(h.timeout, 64)
	if err != nil || !(seconds > 0) || math.IsInf(seconds, 0) {
		return bad("Request-Timeout", h.timeout)
	}
	out := Request{ID: id, hasID: true, Class: class.Name, Plan: who.Plan, Customer: who.Customer, IdempotencyKey: h.key,
		Timeout: max(1, time.Duration(min(seconds, class.Deadline.Seconds())*float64(time.Second))),
		Method:  r.Method, Target: reqtarget.Of(r), Host: r.Host}
	t, ok := requestmeta.Parse(h.terms, &d.config.Settings)
	if !ok {
		return bad("X-Call-Terms", h.terms)
	}
	out.Cost, out.GatewaySpread, out.FirstGateway = t.Units, t.Spread, t.First
	if v := r.Header["Content-Type"]; len(v) > 0 {
		out.ContentType = v[0]
	}
	return out, nil
}

type platformHeaderValues struct{ id, class, plan, customer, timeout, terms, key string }

// platformHeaders picks the platform's headers. One that is there twice could be read in two ways, here and behind
// us; it is named.
func platformHeaders(h http.Header) (out platformHeaderValues, twice string) {
	one := func(name string) string {
		v := h[name]
		if len(v) > 1 && twice == "" {
			twice = name
		}
		if len(v) == 0 {
			return ""
		}
		return v[0]
	}
	out = platformHeaderValues{id: one("Request-Id"), class: one("Request-Class"), plan: one("X-Tier"), customer: one("X-Api-Key"),
		timeout: one("Request-Timeout"), terms: one("X-Call-Terms"), key: one("Idempotency-Key")}
	return out, twice
}
