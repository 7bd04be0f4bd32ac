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
	// MostWhole bounds an answer that is wanted whole, as the answer to a request with a key is.
	MostWhole int
	// Digest tells it apart from others of its key; nil: it has none.
	Digest [][]byte

	mu   sync.Mutex
	last *Answer
}

// Sink takes an answer that is passed on as it comes. Head, Write and Trailer are called by one attempt only, as the core allows one to
// begin; Info may be called by any attempt before.
type Sink interface {
	// Info passes on a 1xx answer.
	Info(status int, h http.Header)
	// Head begins the answer. due is when the attempt ends at the latest.
	Head(a *Answer, due time.Time)
	// Write takes a part of the body. flush: what comes next is not there yet. An error ends the attempt.
	Write(p []byte, flush bool) error
	// Trailer ends the answer, with the fields behind its body.
	Trailer(h http.Header)
}

// Answer is a backend's answer.
type Answer struct {
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
	a := reply.(*Answer)
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

// Last is the answer by which a backend refused the request or failed at it, if the last attempt ended with one; else nil.
func (r *Request) Last() *Answer {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.last
}

func (r *Request) setLast(a *Answer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.last = a
}

// Why an answer can't be passed on.
var (
	errStatus = errors.New("a status that is none")
	errSwitch = errors.New("the answer switches protocols, which nobody asked for")
	errMany   = errors.New("1xx answers without an end")
	errWhole  = errors.New("the answer is larger than one to a request with a key may be")
)

const (
	mostInfos  = 8
	inlineBody = 64 << 10 // a longer body is written beside the reading, as a backend may answer before it has it
	copyRoom   = 32 << 10
)

var (
	buffers = sync.Pool{New: func() any { b := make([]byte, 0, 4<<10); return &b }}
	rooms   = sync.Pool{New: func() any { b := make([]byte, copyRoom); return &b }}
)

// RoundTrip makes an attempt. One that is answered, with an error too, gives an *Answer.
func (b *Backends) RoundTrip(a *executor.Attempt) executor.Response {
	req := a.Payload.(*Request)
	if req.Last() != nil {
		req.setLast(nil)
	}
	if b.config.H2 {
		return b.carryH2(a, req)
	}
	c, result := b.conn(a, false)
	for {
		if c == nil {
			return reply(result)
		}
		x := exchange{b: b, a: a, req: req, c: c, addr: c.host, here: func() bool { return c.br.Buffered() > 0 }}
		r, again := x.run()
		if !again {
			return r
		}
		// A kept connection turned out to be dead before the request's head was on it.
		c, result = b.conn(a, true)
	}
}

// exchange is one request on one connection.
type exchange struct {
	b    *Backends
	a    *executor.Attempt
	req  *Request
	c    *conn
	at   http1proxy.Progress
	beat chan error  // of a body that is written beside the reading
	here func() bool // whether more of the answer has come already
	addr string      // the backend's
}

// run makes the exchange; again: nothing of it has run, and another connection may do better.
func (x *exchange) run() (r executor.Response, again bool) {
	c := x.c
	if x.a.OnCancel(c.cut) != nil || x.a.SendForbidden() {
		_ = x.a.OnCancel(nil)
		x.b.finish(c, x.a, false)
		return reply(decision.NotSent), false
	}
	c.left = x.b.config.MaxHead // until the answer's head is there
	if err := x.write(); err != nil && !x.at.Ran() {
		kept := c.pooled.Used()
		x.b.drop(c)
		if kept && x.a.OnCancel(nil) == nil {
			return executor.Response{}, true
		}
		return reply(x.at.Result(x.why(err))), false
	}
	r, clean := x.read()
	if x.beat != nil {
		select {
		case err := <-x.beat:
			clean = clean && err == nil
		default: // answered before the backend had the request whole
			clean = false
			c.cut()
			<-x.beat //nolint:errcheck // the write was cut short, which clean says already
		}
	}
	x.b.finish(c, x.a, clean && c.br.Buffered() == 0)
	return r, false
}

// finish gives a connection back.
func (b *Backends) finish(c *conn, a *executor.Attempt, clean bool) {
	if a.OnCancel(nil) != nil { // it was called off, and the connection cut
		clean = false
	}
	if clean {
		b.keep(c)
	} else {
		b.drop(c)
	}
}

// why tells how the attempt ended, given what a read or a write said.
func (x *exchange) why(err error) http1proxy.Why {
	switch cause := x.a.CancelCause(); {
	case errors.Is(cause, executor.ErrCancelled):
		return http1proxy.CalledOff
	case errors.Is(cause, executor.ErrDeadlineExceeded):
		return http1proxy.TimeUp
	}
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return http1proxy.Ended
	}
	if _, system := errors.AsType[interface {
		error
		Timeout() bool
	}](err); system {
		return http1proxy.Ended
	}
	return http1proxy.Spoilt
}

// write writes the request; a long body goes on beside the reading.
func (x *exchange) write() error {
	buf := buffers.Get().(*[]byte)
	defer buffers.Put(buf)
	host := x.req.Host
	if x.b.config.HostOf != nil {
		host = x.b.config.HostOf(x.c.host)
	}
	req := x.req.Request
	req.Host = host
	p := req.AppendHead((*buf)[:0], time.Until(x.a.Deadline))
	x.at.Head = len(p)
	long := len(x.req.Body) > inlineBody
	if !long {
		p = req.AppendBody(p)
	}
	n, err := x.c.nc.Write(p)
	if cap(p) <= inlineBody {
		*buf = p[:0]
	}
	x.at.Wrote = n
	if err != nil || !long {
		return err
	}
	x.beat = make(chan error, 1)
	go func() {
		body := req.Body
		if len(req.Trailer) > 0 {
			body = req.AppendBody(nil)
		}
		_, err := x.c.nc.Write(body)
		x.beat <- err
	}()
	return nil
}

// read reads the answer and passes it on. clean tells whether the connection may be used again.
func (x *exchange) read() (r executor.Response, clean bool) {
	res, err := x.head()
	if err != nil {
		return x.failed(err), false
	}
	x.c.left = -1
	return x.answer(res)
}

// answer takes an answer whose head is there. end tells whether its connection may be used again.
func (x *exchange) answer(res *http.Response) (r executor.Response, may bool) {
	var err error
	a := &Answer{Status: res.StatusCode, Header: res.Header, Trailer: res.Trailer}
	h := res.Header
	result := x.req.Statuses.Result(res.StatusCode, len(h["Retry-After"]) > 0, len(h["Not-Started"]) == 1 && h["Not-Started"][0] == "1")
	out := executor.Response{Outcome: lifecycle.Outcome{Result: result}, Body: a}
	if use := h["X-Ratelimit-Used"]; len(use) == 1 {
		out.Usage, out.HasUsage = x.b.readings.Use(use[0])
	}
	hold, most := int64(x.b.config.Hold), int64(x.req.MostWhole)
	if result != decision.Succeeded {
		hold = int64(x.b.config.MaxError)
	}
	end := !res.Close
	switch {
	case res.Body == http.NoBody:
	case x.req.Sink == nil || res.ContentLength >= 0 && res.ContentLength <= hold:
		if x.req.Sink != nil {
			most = hold
		}
		err = x.whole(res, a, most)
	case result == decision.Rejected && res.ContentLength > hold: // its body is not worth a try elsewhere
		out.Body = nil
		return out, false
	case result != decision.Succeeded && res.ContentLength < 0:
		var more bool
		if more, err = x.some(res, a, hold); more && err == nil && result == decision.Rejected {
			out.Body = nil
			return out, false
		} else if more && err == nil {
			return x.stream(res, a, out, end)
		}
	default:
		return x.stream(res, a, out, end)
	}
	switch {
	case err != nil:
		return x.failed(err), false
	case result != decision.Succeeded:
		x.req.setLast(a)
	}
	return out, end
}

// head reads an answer's head, and passes on the 1xx ones ahead of it.
func (x *exchange) head() (*http.Response, error) {
	if res := x.plain(); res != nil {
		return res, nil
	}
	for infos := 0; ; infos++ {
		res, err := http.ReadResponse(x.c.br, &http.Request{Method: x.req.Method})
		switch {
		case err != nil:
			return nil, err
		case res.StatusCode == http.StatusSwitchingProtocols:
			return nil, errSwitch
		case res.StatusCode >= 200 && res.StatusCode <= 999:
			return res, nil
		case res.StatusCode < 100:
			return nil, errStatus
		case infos == mostInfos:
			return nil, errMany
		}
		if x.req.Sink != nil && res.StatusCode != http.StatusContinue {
			x.req.Sink.Info(res.StatusCode, res.Header)
		}
	}
}

// plain gives an answer of which a plain head has come whole with the first bytes; nil: net/http is to read it.
func (x *exchange) plain() *http.Response {
	if _, err := x.c.br.Peek(1); err != nil || x.req.Method == http.MethodHead {
		return nil
	}
	raw, _ := x.c.br.Peek(x.c.br.Buffered())
	status, h, length, size, ok := http1proxy.PlainHead(raw)
	if !ok {
		return nil
	}
	_, _ = x.c.br.Discard(size)
	res := &http.Response{StatusCode: status, Header: h, ContentLength: length, Body: http.NoBody}
	if length > 0 {
		res.Body = &lengthBody{x.c.br, length}
	}
	return res
}

// lengthBody is a body of known length.
type lengthBody struct {
	r    io.Reader
	left int64
}

func (b *lengthBody) Read(p []byte) (int, error) {
	if b.left == 0 {
		return 0, io.EOF
	}
	n, err := b.r.Read(p[:min(int64(len(p)), b.left)])
	if b.left -= int64(n); err == io.EOF && b.left > 0 {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

func (b *lengthBody) Close() error { return nil }

// whole reads a body that is wanted whole.
func (x *exchange) whole(res *http.Response, a *Answer, most int64) (err error) {
	if res.ContentLength > most {
		return errWhole
	}
	if res.ContentLength >= 0 {
		a.Body = make([]byte, res.ContentLength)
		_, err = io.ReadFull(res.Body, a.Body)
		if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
	} else if a.Body, err = io.ReadAll(io.LimitReader(res.Body, most+1)); err == nil && int64(len(a.Body)) > most {
		return errWhole
	}
	a.Trailer = res.Trailer
	return err
}

// some reads the beginning of a body of no known length; more: it goes on.
func (x *exchange) some(res *http.Response, a *Answer, most int64) (more bool, err error) {
	a.Body, err = io.ReadAll(io.LimitReader(res.Body, most+1))
	if err == nil && int64(len(a.Body)) <= most {
		a.Trailer = res.Trailer
		return false, nil
	}
	return true, err
}

// stream passes an answer on as it comes, if it may begin.
func (x *exchange) stream(res *http.Response, a *Answer, out executor.Response, end bool) (executor.Response, bool) {
	if !x.a.StartResponse() {
		return reply(decision.Cancelled), false
	}
	a.Streamed = true
	sink := x.req.Sink
	sink.Head(a, x.a.Deadline)
	room := rooms.Get().(*[]byte)
	defer rooms.Put(room)
	if !x.here() {
		if err := sink.Write(nil, true); err != nil {
			return reply(x.at.Result(http1proxy.ClientCut)), false
		}
	}
	if len(a.Body) > 0 { // read already
		if err := sink.Write(a.Body, false); err != nil {
			return reply(x.at.Result(http1proxy.ClientCut)), false
		}
		a.Body = nil
	}
	left := res.ContentLength
	for {
		n, err := res.Body.Read(*room)
		left -= int64(n)
		if n > 0 {
			wait := err == nil && left != 0 && !x.here()
			if err := sink.Write((*room)[:n], wait); err != nil {
				return reply(x.at.Result(http1proxy.ClientCut)), false
			}
		}
		switch {
		case err == io.EOF:
			a.Trailer = res.Trailer
			sink.Trailer(res.Trailer)
			return out, end
		case err != nil:
			return x.failed(err), false
		}
	}
}

// failed is an attempt without an answer.
func (x *exchange) failed(err error) executor.Response {
	result := x.at.Result(x.why(err))
	x.b.faultLog.Do(func() {
		x.b.config.Log.Debug("an attempt without an answer", "service", x.b.config.Service, "addr", x.addr, "result", int(result), "err", err)
	})
	return reply(result)
}
