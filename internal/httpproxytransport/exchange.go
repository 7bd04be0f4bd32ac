package httpproxytransport

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"pumicecroft/decision"
	"pumicecroft/idempotency"
	"pumicecroft/internal/executor"
	"pumicecroft/internal/http1proxy"
	"pumicecroft/internal/lifecycle"
)

// Request is what an attempt carries: see drive.Attempt.Load. It is one client's request, over all attempts.
type Request struct {
	http1proxy.Request
	Service  string // whose backends it goes to
	Statuses *http1proxy.Statuses
	Sink     Sink // nil: the answer is wanted whole, of MostWhole bytes at most
	// MaxResponseBytes bounds an answer that is wanted whole, as the answer to a request with a key is.
	MaxResponseBytes int
	// Digest tells it apart from others of its key; nil: it has none.
	Digest [][]byte

	mu                sync.Mutex
	lastErrorResponse *Response
}

// Sink takes an answer that is passed on as it comes. Head, Write and Trailer are called by one attempt only, as the core allows one to
// begin; Info may be called by any attempt before.
type Sink interface {
	// WriteInformational passes on a 1xx answer.
	WriteInformational(status int, h http.Header)
	// WriteHeader begins the answer. due is when the attempt ends at the latest.
	WriteHeader(a *Response, due time.Time)
	// WriteBody takes a part of the body. flush: what comes next is not there yet. An error ends the attempt.
	WriteBody(p []byte, flush bool) error
	// WriteTrailer ends the answer, with the fields behind its body.
	WriteTrailer(h http.Header)
}

// Response is a backend's answer.
type Response struct {
	Status   int
	Header   http.Header
	Trailer  http.Header // those announced in an answer that has begun have no values yet
	Body     []byte
	Streamed bool // it went to the Sink
}

// Protocol is what it goes over.
func (r *Request) Protocol() string { return Protocol(r.Service) }

// DigestParts tell a request with a key apart from others of it; nil: its answer can't be given again.
func (r *Request) DigestParts() [][]byte { return r.Digest }

// EncodeResponse makes what can be kept of a backend's answer.
func (r *Request) EncodeResponse(reply any) (idempotency.Response, error) {
	a := reply.(*Response)
	body, err := encodeStored(a)
	return idempotency.Response{Status: a.Status, ContentType: "application/http", Body: body}, err
}

// DecodeResponse makes the answer of what Keep made.
func (r *Request) DecodeResponse(k idempotency.Response) (any, error) {
	a, err := decodeStored(k.Body)
	if err != nil {
		return nil, fmt.Errorf("a kept answer: %w", err)
	}
	return a, nil
}

// LastErrorResponse is the answer by which a backend refused the request or failed at it, if the last attempt ended with one; else nil.
func (r *Request) LastErrorResponse() *Response {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lastErrorResponse
}

func (r *Request) setLastErrorResponse(a *Response) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastErrorResponse = a
}

// Why an answer can't be passed on.
var (
	errInvalidStatus        = errors.New("a status that is none")
	errUnexpectedUpgrade    = errors.New("the answer switches protocols, which nobody asked for")
	errTooManyInformational = errors.New("1xx answers without an end")
	errResponseTooLarge     = errors.New("the answer is larger than one to a request with a key may be")
)

const (
	maxInformational   = 8
	maxInlineBodyBytes = 64 << 10 // a longer body is written beside the reading, as a backend may answer before it has it
	copyBufferBytes    = 32 << 10
)

var (
	requestBuffers = sync.Pool{New: func() any { b := make([]byte, 0, 4<<10); return &b }}
	copyBuffers    = sync.Pool{New: func() any { b := make([]byte, copyBufferBytes); return &b }}
)

// RoundTrip makes an attempt. One that is answered, with an error too, gives an *Answer.
func (b *Transport) RoundTrip(a *executor.Attempt) executor.Response {
	req := a.Payload.(*Request)
	if req.LastErrorResponse() != nil {
		req.setLastErrorResponse(nil)
	}
	if b.config.HTTP2 {
		return b.roundTripHTTP2(a, req)
	}
	c, result := b.acquire(a, false)
	for {
		if c == nil {
			return responseWith(result)
		}
		x := exchange{transport: b, attempt: a, request: req, conn: c, addr: c.addr, hasBuffered: func() bool { return c.reader.Buffered() > 0 }}
		r, again := x.run()
		if !again {
			return r
		}
		// A kept connection turned out to be dead before the request's head was on it.
		c, result = b.acquire(a, true)
	}
}

// exchange is one request on one connection.
type exchange struct {
	transport   *Transport
	attempt     *executor.Attempt
	request     *Request
	conn        *conn
	progress    http1proxy.Progress
	bodyWritten chan error  // of a body that is written beside the reading
	hasBuffered func() bool // whether more of the answer has come already
	addr        string      // the backend's
}

// run makes the exchange; again: nothing of it has run, and another connection may do better.
func (x *exchange) run() (r executor.Response, again bool) {
	c := x.conn
	if x.attempt.OnCancel(c.abort) != nil || x.attempt.SendForbidden() {
		_ = x.attempt.OnCancel(nil)
		x.transport.endExchange(c, x.attempt, false)
		return responseWith(decision.NotSent), false
	}
	c.readLimit = x.transport.config.MaxHeadBytes // until the answer's head is there
	if err := x.writeRequest(); err != nil && !x.progress.MayHaveRun() {
		kept := c.pooled.Used()
		x.transport.discard(c)
		if kept && x.attempt.OnCancel(nil) == nil {
			return executor.Response{}, true
		}
		return responseWith(x.progress.Result(x.endReason(err))), false
	}
	r, clean := x.readResponse()
	if x.bodyWritten != nil {
		select {
		case err := <-x.bodyWritten:
			clean = clean && err == nil
		default: // answered before the backend had the request whole
			clean = false
			c.abort()
			<-x.bodyWritten //nolint:errcheck // the write was cut short, which clean says already
		}
	}
	x.transport.endExchange(c, x.attempt, clean && c.reader.Buffered() == 0)
	return r, false
}

// endExchange gives a connection back.
func (b *Transport) endExchange(c *conn, a *executor.Attempt, clean bool) {
	if a.OnCancel(nil) != nil { // it was called off, and the connection cut
		clean = false
	}
	if clean {
		b.release(c)
	} else {
		b.discard(c)
	}
}

// endReason tells how the attempt ended, given what a read or a write said.
func (x *exchange) endReason(err error) http1proxy.EndReason {
	switch cause := x.attempt.CancelCause(); {
	case errors.Is(cause, executor.ErrCancelled):
		return http1proxy.AttemptCancelled
	case errors.Is(cause, executor.ErrDeadlineExceeded):
		return http1proxy.DeadlineExceeded
	}
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return http1proxy.ConnectionLost
	}
	if _, system := errors.AsType[interface {
		error
		Timeout() bool
	}](err); system {
		return http1proxy.ConnectionLost
	}
	return http1proxy.MalformedResponse
}

// writeRequest writes the request; a long body goes on beside the reading.
func (x *exchange) writeRequest() error {
	buf := requestBuffers.Get().(*[]byte)
	defer requestBuffers.Put(buf)
	host := x.request.Host
	if x.transport.config.RewriteHost != nil {
		host = x.transport.config.RewriteHost(x.conn.addr)
	}
	req := x.request.Request
	req.Host = host
	p := req.AppendHead((*buf)[:0], time.Until(x.attempt.Deadline))
	x.progress.HeadBytes = len(p)
	long := len(x.request.Body) > maxInlineBodyBytes
	if !long {
		p = req.AppendBody(p)
	}
	n, err := x.conn.netConn.Write(p)
	if cap(p) <= maxInlineBodyBytes {
		*buf = p[:0]
	}
	x.progress.WrittenBytes = n
	if err != nil || !long {
		return err
	}
	x.bodyWritten = make(chan error, 1)
	go func() {
		body := req.Body
		if len(req.Trailer) > 0 {
			body = req.AppendBody(nil)
		}
		_, err := x.conn.netConn.Write(body)
		x.bodyWritten <- err
	}()
	return nil
}

// readResponse reads the answer and passes it on. clean tells whether the connection may be used again.
func (x *exchange) readResponse() (r executor.Response, clean bool) {
	res, err := x.readHead()
	if err != nil {
		return x.failure(err), false
	}
	x.conn.readLimit = -1
	return x.handleResponse(res)
}

// handleResponse takes an answer whose head is there. end tells whether its connection may be used again.
func (x *exchange) handleResponse(res *http.Response) (r executor.Response, may bool) {
	var err error
	a := &Response{Status: res.StatusCode, Header: res.Header, Trailer: res.Trailer}
	h := res.Header
	result := x.request.Statuses.Result(res.StatusCode, len(h["Retry-After"]) > 0, len(h["Not-Started"]) == 1 && h["Not-Started"][0] == "1")
	out := executor.Response{Outcome: lifecycle.Outcome{Result: result}, Body: a}
	if use := h["X-Ratelimit-Used"]; len(use) == 1 {
		out.Usage, out.HasUsage = x.transport.loadReader.Use(use[0])
	}
	hold, most := int64(x.transport.config.ResponseBufferBytes), int64(x.request.MaxResponseBytes)
	if result != decision.Succeeded {
		hold = int64(x.transport.config.MaxErrorBodyBytes)
	}
	end := !res.Close
	switch {
	case res.Body == http.NoBody:
	case x.request.Sink == nil || res.ContentLength >= 0 && res.ContentLength <= hold:
		if x.request.Sink != nil {
			most = hold
		}
		err = x.readBody(res, a, most)
	case result == decision.Rejected && res.ContentLength > hold: // its body is not worth a try elsewhere
		out.Body = nil
		return out, false
	case result != decision.Succeeded && res.ContentLength < 0:
		var more bool
		if more, err = x.readBodyPrefix(res, a, hold); more && err == nil && result == decision.Rejected {
			out.Body = nil
			return out, false
		} else if more && err == nil {
			return x.streamBody(res, a, out, end)
		}
	default:
		return x.streamBody(res, a, out, end)
	}
	switch {
	case err != nil:
		return x.failure(err), false
	case result != decision.Succeeded:
		x.request.setLastErrorResponse(a)
	}
	return out, end
}

// readHead reads an answer's head, and passes on the 1xx ones ahead of it.
func (x *exchange) readHead() (*http.Response, error) {
	if res := x.readSimpleHead(); res != nil {
		return res, nil
	}
	for infos := 0; ; infos++ {
		res, err := http.ReadResponse(x.conn.reader, &http.Request{Method: x.request.Method})
		switch {
		case err != nil:
			return nil, err
		case res.StatusCode == http.StatusSwitchingProtocols:
			return nil, errUnexpectedUpgrade
		case res.StatusCode >= 200 && res.StatusCode <= 999:
			return res, nil
		case res.StatusCode < 100:
			return nil, errInvalidStatus
		case infos == maxInformational:
			return nil, errTooManyInformational
		}
		if x.request.Sink != nil && res.StatusCode != http.StatusContinue {
			x.request.Sink.WriteInformational(res.StatusCode, res.Header)
		}
	}
}

// readSimpleHead gives an answer of which a plain head has come whole with the first bytes; nil: net/http is to read it.
func (x *exchange) readSimpleHead() *http.Response {
	if _, err := x.conn.reader.Peek(1); err != nil || x.request.Method == http.MethodHead {
		return nil
	}
	raw, _ := x.conn.reader.Peek(x.conn.reader.Buffered())
	status, h, length, size, ok := http1proxy.ParseSimpleResponseHead(raw)
	if !ok {
		return nil
	}
	_, _ = x.conn.reader.Discard(size)
	res := &http.Response{StatusCode: status, Header: h, ContentLength: length, Body: http.NoBody}
	if length > 0 {
		res.Body = &lengthBody{x.conn.reader, length}
	}
	return res
}

// lengthBody is a body of known length.
type lengthBody struct {
	reader    io.Reader
	remaining int64
}

func (b *lengthBody) Read(p []byte) (int, error) {
	if b.remaining == 0 {
		return 0, io.EOF
	}
	n, err := b.reader.Read(p[:min(int64(len(p)), b.remaining)])
	if b.remaining -= int64(n); err == io.EOF && b.remaining > 0 {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

func (b *lengthBody) Close() error { return nil }

// readBody reads a body that is wanted whole.
func (x *exchange) readBody(res *http.Response, a *Response, most int64) (err error) {
	if res.ContentLength > most {
		return errResponseTooLarge
	}
	if res.ContentLength >= 0 {
		a.Body = make([]byte, res.ContentLength)
		_, err = io.ReadFull(res.Body, a.Body)
		if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
	} else if a.Body, err = io.ReadAll(io.LimitReader(res.Body, most+1)); err == nil && int64(len(a.Body)) > most {
		return errResponseTooLarge
	}
	a.Trailer = res.Trailer
	return err
}

// readBodyPrefix reads the beginning of a body of no known length; more: it goes on.
func (x *exchange) readBodyPrefix(res *http.Response, a *Response, most int64) (more bool, err error) {
	a.Body, err = io.ReadAll(io.LimitReader(res.Body, most+1))
	if err == nil && int64(len(a.Body)) <= most {
		a.Trailer = res.Trailer
		return false, nil
	}
	return true, err
}

// streamBody passes an answer on as it comes, if it may begin.
func (x *exchange) streamBody(res *http.Response, a *Response, out executor.Response, end bool) (executor.Response, bool) {
	if !x.attempt.StartResponse() {
		return responseWith(decision.Cancelled), false
	}
	a.Streamed = true
	sink := x.request.Sink
	sink.WriteHeader(a, x.attempt.Deadline)
	room := copyBuffers.Get().(*[]byte)
	defer copyBuffers.Put(room)
	if !x.hasBuffered() {
		if err := sink.WriteBody(nil, true); err != nil {
			return responseWith(x.progress.Result(http1proxy.ClientWriteFailed)), false
		}
	}
	if len(a.Body) > 0 { // read already
		if err := sink.WriteBody(a.Body, false); err != nil {
			return responseWith(x.progress.Result(http1proxy.ClientWriteFailed)), false
		}
		a.Body = nil
	}
	left := res.ContentLength
	for {
		n, err := res.Body.Read(*room)
		left -= int64(n)
		if n > 0 {
			wait := err == nil && left != 0 && !x.hasBuffered()
			if err := sink.WriteBody((*room)[:n], wait); err != nil {
				return responseWith(x.progress.Result(http1proxy.ClientWriteFailed)), false
			}
		}
		switch {
		case err == io.EOF:
			a.Trailer = res.Trailer
			sink.WriteTrailer(res.Trailer)
			return out, end
		case err != nil:
			return x.failure(err), false
		}
	}
}

// failure is an attempt without an answer.
func (x *exchange) failure(err error) executor.Response {
	result := x.progress.Result(x.endReason(err))
	x.transport.failureLogLimit.Do(func() {
		x.transport.config.Log.Debug("an attempt without an answer", "service", x.transport.config.Service, "addr", x.addr, "result", int(result), "err", err)
	})
	return responseWith(result)
}
