package httpproxytransport

import (
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"pumicecroft/decision"
	"pumicecroft/internal/executor"
	"pumicecroft/internal/http1proxy"
)

// Errors of responses that can't be forwarded.
var (
	errInvalidStatus        = errors.New("httpproxytransport: invalid status")
	errUnexpectedUpgrade    = errors.New("httpproxytransport: response 101 to a request without an upgrade")
	errTooManyInformational = errors.New("httpproxytransport: too many 1xx responses")
	errResponseTooLarge     = errors.New("httpproxytransport: response to a request with an idempotency key too large")
	errResponseTooLong      = errors.New("httpproxytransport: response longer than its Content-Length")
)

const (
	// maxInformational is the maximum number of 1xx responses before the final response.
	maxInformational = 8
	// maxInlineBodyBytes is the largest request body that is written before the response is read.
	// A longer body is written concurrently, as a backend may respond before it has received all of it.
	maxInlineBodyBytes = 64 << 10
)

// requestBuffers has buffers for the heads and short bodies of requests.
var requestBuffers = sync.Pool{New: func() any { b := make([]byte, 0, 4<<10); return &b }}

// RoundTrip makes an attempt and blocks until it ends. The Body of its result is a *Response if a
// complete response was read or streamed, whatever its status.
func (t *Transport) RoundTrip(a *executor.Attempt) executor.Response {
	request := a.Payload.(*Request)
	if request.LastErrorResponse() != nil {
		request.setLastErrorResponse(nil)
	}
	if t.config.HTTP2 {
		return t.roundTripHTTP2(a, request)
	}
	c, result := t.acquire(a, false)
	for {
		if c == nil {
			return responseWith(result)
		}
		x := exchange{
			transport:   t,
			attempt:     a,
			request:     request,
			conn:        c,
			addr:        c.addr,
			hasBuffered: func() bool { return c.reader.Buffered() > 0 },
		}
		response, retry := x.run()
		if !retry {
			return response
		}
		// The reused connection failed before the backend could have received the whole head: nothing has run.
		c, result = t.acquire(a, true)
	}
}

// exchange is one request and its response on one connection.
type exchange struct {
	transport   *Transport
	attempt     *executor.Attempt
	request     *Request
	conn        *conn // nil over HTTP/2
	addr        string
	progress    http1proxy.Progress
	bodyWritten chan error  // receives the result of writing the body concurrently; nil: there is no such write
	hasBuffered func() bool // reports whether more of the response is already buffered
}

// run makes the exchange. retry means that a reused connection failed before the backend could have
// received the whole head, so that the request has not run and should be sent on a new connection.
func (x *exchange) run() (response executor.Response, retry bool) {
	c := x.conn
	// OnCancel sets the function that ends the attempt early, nil removes it. It returns an error if the
	// attempt has been cancelled already.
	if x.attempt.OnCancel(c.abort) != nil || x.attempt.SendForbidden() {
		_ = x.attempt.OnCancel(nil)
		x.endExchange(false)
		return responseWith(decision.NotSent), false
	}
	c.readLimit = x.transport.config.MaxHeadBytes
	if err := x.writeRequest(); err != nil && !x.progress.MayHaveRun() {
		reused := c.pooled.Used()
		x.transport.discard(c)
		if reused && x.attempt.OnCancel(nil) == nil {
			return executor.Response{}, true
		}
		return responseWith(x.progress.Result(x.endReason(err))), false
	}
	response, reusable := x.readResponse()
	if x.bodyWritten != nil && !x.stopBodyWrite() {
		reusable = false
	}
	x.endExchange(reusable && c.reader.Buffered() == 0)
	return response, false
}

// stopBodyWrite ends the concurrent write of the request's body, and reports whether all of it was
// written. A write that is still running is aborted together with the connection.
func (x *exchange) stopBodyWrite() bool {
	select {
	case err := <-x.bodyWritten:
		return err == nil
	default:
		x.conn.abort()
		<-x.bodyWritten //nolint:errcheck // the write was aborted, as the return value says
		return false
	}
}

// endExchange returns the connection to the pool, or closes it if it can't be reused.
func (x *exchange) endExchange(reusable bool) {
	if x.attempt.OnCancel(nil) != nil { // the attempt was cancelled, and the connection aborted
		reusable = false
	}
	if reusable {
		x.transport.release(x.conn)
	} else {
		x.transport.discard(x.conn)
	}
}

// endReason returns why the attempt ended, given the error of a read or write.
func (x *exchange) endReason(err error) http1proxy.EndReason {
	switch cause := x.attempt.CancelCause(); {
	case errors.Is(cause, executor.ErrCancelled):
		return http1proxy.AttemptCancelled
	case errors.Is(cause, executor.ErrDeadlineExceeded):
		return http1proxy.DeadlineExceeded
	}
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || isNetError(err) {
		return http1proxy.ConnectionLost
	}
	return http1proxy.MalformedResponse
}

// isNetError reports whether an error comes from the connection, and not from parsing the response.
// Errors of connections have the method Timeout of net.Error.
func isNetError(err error) bool {
	_, ok := errors.AsType[interface {
		error
		Timeout() bool
	}](err)
	return ok
}

// writeRequest writes the request. A body over maxInlineBodyBytes is written concurrently, and
// bodyWritten receives the result.
func (x *exchange) writeRequest() error {
	buffer := requestBuffers.Get().(*[]byte)
	defer requestBuffers.Put(buffer)
	request := x.request.Request
	if x.transport.config.RewriteHost != nil {
		request.Host = x.transport.config.RewriteHost(x.addr)
	}
	data := request.AppendHead((*buffer)[:0], time.Until(x.attempt.Deadline))
	x.progress.HeadBytes = len(data)
	inline := len(request.Body) <= maxInlineBodyBytes
	if inline {
		data = request.AppendBody(data)
	}
	n, err := x.conn.netConn.Write(data)
	if cap(data) <= maxInlineBodyBytes {
		*buffer = data[:0]
	}
	x.progress.WrittenBytes = n
	if err != nil || inline {
		return err
	}
	x.bodyWritten = make(chan error, 1)
	go func() {
		body := request.Body
		if len(request.Trailer) > 0 {
			body = request.AppendBody(nil)
		}
		_, err := x.conn.netConn.Write(body)
		x.bodyWritten <- err
	}()
	return nil
}

// readResponse reads and forwards the response. reusable reports whether the connection may carry
// another request.
func (x *exchange) readResponse() (out executor.Response, reusable bool) {
	res, err := x.readHead()
	if err != nil {
		return x.logFailure(err), false
	}
	x.conn.readLimit = -1 // no limit: MaxHeadBytes is for the head alone
	return x.handleResponse(res)
}

// readHead reads the head of the response, and forwards the 1xx responses before it.
func (x *exchange) readHead() (*http.Response, error) {
	if res := x.readSimpleHead(); res != nil {
		return res, nil
	}
	for informational := 0; ; informational++ {
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
		case informational == maxInformational:
			return nil, errTooManyInformational
		}
		if x.request.Sink != nil && res.StatusCode != http.StatusContinue {
			x.request.Sink.WriteInformational(res.StatusCode, res.Header)
		}
	}
}

// readSimpleHead returns the response if http1proxy.ParseSimpleResponseHead can parse the bytes that
// arrived first; nil means that net/http must read the head.
func (x *exchange) readSimpleHead() *http.Response {
	reader := x.conn.reader
	if _, err := reader.Peek(1); err != nil || x.request.Method == http.MethodHead {
		return nil
	}
	raw, _ := reader.Peek(reader.Buffered())
	status, h, length, size, ok := http1proxy.ParseSimpleResponseHead(raw)
	if !ok {
		return nil
	}
	_, _ = reader.Discard(size)
	res := &http.Response{StatusCode: status, Header: h, ContentLength: length, Body: http.NoBody}
	if length > 0 {
		res.Body = &lengthBody{reader, length}
	}
	return res
}

// handleResponse reads or forwards the body of a response whose head has been read. reusable reports
// whether the connection may carry another request.
func (x *exchange) handleResponse(res *http.Response) (out executor.Response, reusable bool) {
	response := &Response{Status: res.StatusCode, Header: res.Header, Trailer: res.Trailer}
	out = x.outcome(res)
	out.Body = response
	bufferLimit := int64(x.transport.config.ResponseBufferBytes)
	if out.Result != decision.Succeeded {
		bufferLimit = int64(x.transport.config.MaxErrorBodyBytes)
	}
	var err error
	switch {
	case res.Body == http.NoBody:
	case x.request.Sink == nil:
		err = readBody(res, response, int64(x.request.MaxResponseBytes))
	case res.ContentLength >= 0 && res.ContentLength <= bufferLimit:
		err = readBody(res, response, bufferLimit)
	case out.Result == decision.Rejected && res.ContentLength > bufferLimit:
		out.Body = nil // too large to keep; the request can be retried at another backend without it
		return out, false
	case out.Result != decision.Succeeded && res.ContentLength < 0:
		var complete bool
		complete, err = readBodyPrefix(res, response, bufferLimit)
		if err == nil && !complete && out.Result == decision.Rejected {
			out.Body = nil
			return out, false
		}
		if err == nil && !complete {
			return x.streamBody(res, response, out)
		}
	default:
		return x.streamBody(res, response, out)
	}
	if err != nil {
		return x.logFailure(err), false
	}
	if out.Result != decision.Succeeded {
		x.request.setLastErrorResponse(response)
	}
	return out, !res.Close
}

// outcome returns the result of the attempt and the quota usage, as the head of a response reports them.
func (x *exchange) outcome(res *http.Response) executor.Response {
	h := res.Header
	notStarted := len(h["Not-Started"]) == 1 && h["Not-Started"][0] == "1"
	result := x.request.Statuses.Result(res.StatusCode, len(h["Retry-After"]) > 0, notStarted)
	out := responseWith(result)
	if used := h["X-Ratelimit-Used"]; len(used) == 1 {
		out.Usage, out.HasUsage = x.transport.loadParser.ParseUsage(used[0])
	}
	return out
}

// logFailure logs an error that ended an attempt, and returns the attempt's result.
func (x *exchange) logFailure(err error) executor.Response {
	result := x.progress.Result(x.endReason(err))
	config := &x.transport.config
	x.transport.failureLogLimit.Do(func() {
		config.Log.Debug("attempt failed", "service", config.Service, "addr", x.addr, "result", int(result), "err", err)
	})
	return responseWith(result)
}
