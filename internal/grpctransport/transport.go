// Package grpctransport makes attempts at backends over gRPC: each once and never again by itself, over a bounded number of
// HTTP/2 connections and streams, with an outcome that claims no more than what was seen proves (internal/grpcwire has
// the table). It is written on HTTP/2's frames, as what ends a stream must be told apart: gRPC's own client and
// net/http's send a request again by themselves when a stream was refused, and tell neither. It decides nothing.
// backends.go keeps who the backends are and picks connections, conn.go is one connection.
package grpctransport

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"slices"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"pumicecroft/decision"
	"pumicecroft/idempotency"
	"pumicecroft/internal/executor"
	"pumicecroft/internal/grpcproto"
	"pumicecroft/internal/lifecycle"
	"pumicecroft/internal/loadreport"
	"pumicecroft/membership"
)

// Config says how backends are reached. What is 0 takes the default.
type Config struct {
	MaxConnsPerBackend int           // to one backend; 2. Up to as many again may be ending
	MaxStreamsPerConn  int           // on one connection; 100
	ConnectTimeout     time.Duration // a connection that is not up by then counts as failed; 250 ms
	IdleTimeout        time.Duration // one that was idle for longer is not used; 15 s
	MaxMessageBytes    int           // of an answer, in bytes; 4 MiB
	// LoadReportFields are the settings' names of load figures; none: there are no load reports.
	LoadReportFields []string
	Log              *slog.Logger
	Dial             func(ctx context.Context, network, addr string) (net.Conn, error) // nil: the system's
}

// Request is a client's call as it goes on to a backend, with each attempt.
type Request struct {
	Method   string  // such as /package.Service/Method
	Metadata []Field // that goes on with it, without the fields that gRPC itself uses
	Body     []byte  // one message with its prefix
	Sink     Sink    // of a server-streaming call; nil: it is a unary one
}

// Sink takes a streamed answer as it comes. It is called by one goroutine at a time, and only after the attempt's answer
// was allowed to begin, so by one attempt of a request only.
type Sink interface {
	// WriteHeader comes once, before the first message.
	WriteHeader(fields []Field)
	// WriteMessage takes a message with its prefix, and keeps it. It waits while its client does not read, until ctx ends: what
	// the backend may send meanwhile is bounded by the stream's window. An error ends the attempt.
	WriteMessage(ctx context.Context, p []byte) error
}

// Protocol is what it goes over.
func (r *Request) Protocol() string { return membership.ProtocolGRPC }

// DigestParts tell a unary call apart from others of its key; nil of a streaming one. Metadata is not among them: a client's next try has others.
func (r *Request) DigestParts() [][]byte {
	if r.Sink != nil {
		return nil
	}
	return [][]byte{[]byte(r.Method), r.Body}
}

// EncodeResponse makes what can be kept of a backend's answer.
func (r *Request) EncodeResponse(reply any) (idempotency.Response, error) {
	a := reply.(*Response)
	body, err := encodeStored(a)
	return idempotency.Response{Status: int(a.Code), ContentType: "application/grpc", Body: body}, err
}

// DecodeResponse makes the answer of what Keep made.
func (r *Request) DecodeResponse(a idempotency.Response) (any, error) {
	again, err := decodeStored(a.Body)
	if err != nil {
		return nil, err
	}
	return again, nil
}

// Response is a backend's answer.
type Response struct {
	Code              grpcproto.Code
	Message           string // grpc-message as it came
	Header, Trailer   []Field
	Body              []byte // of a unary call: its message with its prefix
	complete          bool   // the backend has ended the stream
	usage, loadReport string // what the backend told of the customer and of itself, as it came
}

// Transport makes attempts at the backends that it was told of. It is a drive.Carrier and safe for concurrent use.
type Transport struct {
	config          Config
	loadReader      loadreport.Reader
	failureLogLimit rate.Sometimes

	mu        sync.Mutex
	byID      map[decision.BackendID]*backend
	readLoops sync.WaitGroup // readers
}

var _ executor.BackendTransport = (*Transport)(nil)

// backend is one that is known. Its fields are guarded by Backends.mu.
type backend struct {
	addr    string
	state   decision.BackendState
	conns   []*conn
	dialing []*pendingDial
	removed bool // what is dialled for it is closed
}

// pendingDial is a connection that is coming up.
type pendingDial struct {
	waiters int           // attempts, the one that dials among them; guarded by Backends.mu
	done    chan struct{} // closed at its end
	failed  bool          // guarded by done
}

// New knows no backends yet.
func New(c Config) *Transport {
	if c.MaxConnsPerBackend <= 0 {
		c.MaxConnsPerBackend = 2
	}
	if c.MaxStreamsPerConn <= 0 {
		c.MaxStreamsPerConn = 100
	}
	if c.ConnectTimeout <= 0 {
		c.ConnectTimeout = 250 * time.Millisecond
	}
	if c.IdleTimeout <= 0 {
		c.IdleTimeout = 15 * time.Second
	}
	if c.MaxMessageBytes <= 0 {
		c.MaxMessageBytes = 4 << 20
	}
	if c.Log == nil {
		c.Log = slog.New(slog.DiscardHandler)
	}
	if c.Dial == nil {
		c.Dial = (&net.Dialer{KeepAlive: -1}).DialContext
	}
	return &Transport{config: c, loadReader: loadreport.New(c.LoadReportFields), failureLogLimit: rate.Sometimes{First: 10, Interval: time.Second}, byID: map[decision.BackendID]*backend{}}
}

// Apply takes in what has changed about backends. It holds for every attempt that begins after it returns.
func (b *Transport) Apply(changes []membership.Change) {
	var drop []*conn
	b.mu.Lock()
	for _, c := range changes {
		be := b.byID[c.ID]
		if be != nil && (c.State == decision.Removed || c.Replaced) {
			drop = append(drop, be.conns...)
			be.removed, be.conns = true, nil
			delete(b.byID, c.ID)
			be = nil
		}
		if c.State == decision.Removed {
			continue
		}
		if be == nil {
			be = &backend{addr: c.Addr}
			b.byID[c.ID] = be
		}
		be.state = c.State
	}
	b.mu.Unlock()
	for _, c := range drop {
		c.drain()
	}
}

// Close ends all connections and waits until nothing of them runs.
func (b *Transport) Close() {
	b.mu.Lock()
	var drop []*conn
	for _, be := range b.byID {
		drop = append(drop, be.conns...)
		be.removed, be.conns = true, nil
	}
	clear(b.byID)
	b.mu.Unlock()
	for _, c := range drop {
		c.fail(net.ErrClosed)
	}
	b.readLoops.Wait()
}

// Probe tells nothing: there are no load reports over gRPC.
func (b *Transport) Probe(id decision.BackendID, _ time.Duration) decision.ProbeResult {
	return decision.ProbeResult{Backend: id, Result: decision.NotSent}
}

// RoundTrip makes an attempt. One that is answered, with an error too, gives an *Answer.
func (b *Transport) RoundTrip(a *executor.Attempt) executor.Response {
	req := a.Payload.(*Request)
	s := &stream{done: make(chan struct{})}
	if req.Sink != nil {
		s.call.Streaming, s.changed = true, make(chan struct{}, 1)
	}
	s.call.MaxMessageBytes = b.config.MaxMessageBytes
	ctx, cancel := context.WithDeadline(context.Background(), a.Deadline)
	defer cancel()
	if a.OnCancel(cancel) != nil {
		return responseWith(decision.NotSent)
	}
	c, result := b.acquire(ctx, a.Backend)
	if c == nil {
		return responseWith(result)
	}
	if a.SendForbidden() { // a connection may have taken long to come up, or this process stood still
		return responseWith(decision.NotSent)
	}
	if err := c.openStream(s, req.headerFields(time.Until(a.Deadline))); err != nil && s.conn == nil {
		return responseWith(decision.NotSent) // it has ended, or is leaving, since it was picked
	}
	end := context.AfterFunc(ctx, func() {
		how := (*grpcproto.Call).TimedOut
		if errors.Is(a.CancelCause(), executor.ErrCancelled) {
			how = (*grpcproto.Call).Cancelled
		}
		c.resetStream(s, how)
	})
	defer end()
	c.sendBody(s, req.Body)
	cut := decision.Succeeded // how passing it on has ended
	if req.Sink != nil {
		cut = s.forwardTo(ctx, a, req.Sink)
	}
	<-s.done
	c.mu.Lock()
	defer c.mu.Unlock()
	o, _ := s.call.Ended()
	if o.Result == decision.Succeeded {
		o.Result = cut
	}
	r := responseWith(o.Result)
	switch o.Result {
	case decision.Succeeded, decision.ErrorResponse:
		s.response.Code, s.response.Body = o.Code, s.messages.next()
		r.Body = &s.response
	}
	if v, ok := b.loadReader.Use(s.response.usage); ok {
		r.HasUsage, r.Usage = true, v
	}
	r.LoadReport = b.loadReader.Load(s.response.loadReport)
	if o.Result != decision.Succeeded {
		b.failureLogLimit.Do(func() {
			b.config.Log.Debug("an attempt over gRPC", "method", req.Method, "why", o.Reason, "proof", o.Proof)
		})
	}
	return r
}

func responseWith(r decision.Result) executor.Response {
	return executor.Response{Outcome: lifecycle.Outcome{Result: r}}
}

// headerFields are a request's head.
func (r *Request) headerFields(left time.Duration) []Field {
	return append([]Field{{":method", "POST"}, {":scheme", "http"}, {":path", r.Method}, {":authority", "backend"}, {"te", "trailers"},
		{"content-type", "application/grpc"}, {"grpc-timeout", grpcproto.FormatTimeout(left)}}, r.Metadata...)
}

// acquire gives a connection with a stream that is reserved, or the result of an attempt that gets none. While one is coming
// up, as many attempts as it has streams wait for it.
func (b *Transport) acquire(ctx context.Context, id decision.BackendID) (*conn, decision.Result) {
	for {
		be, c, d, mine := b.pick(id)
		switch {
		case c != nil:
			return c, 0
		case d == nil: // all streams are taken, or it drains: the decision module may choose another backend
			return nil, decision.NotSent
		case mine:
			go b.dial(be, d)
		}
		select {
		case <-d.done:
			if d.failed {
				return nil, decision.ConnectFailed
			}
		case <-ctx.Done():
			return nil, decision.NotSent
		}
	}
}

// pick finds a stream that is free, or a connection that is coming up and will have one; mine: it has to be dialled.
func (b *Transport) pick(id decision.BackendID) (be *backend, c *conn, d *pendingDial, mine bool) {
	now := time.Now()
	var drop []*conn
	defer func() {
		for _, c := range drop {
			c.drain()
		}
	}()
	b.mu.Lock()
	defer b.mu.Unlock()
	be = b.byID[id]
	if be == nil || be.state != decision.Ready {
		return nil, nil, nil, false
	}
	be.conns = slices.DeleteFunc(be.conns, func(c *conn) bool {
		old := c.idleFor(now) > b.config.IdleTimeout*6/10 // as over HTTP/1.1: the backend may be closing it
		if old {
			drop = append(drop, c)
		}
		return old
	})
	for _, c := range be.conns {
		if c.reserve() == nil {
			return be, c, nil, false
		}
	}
	for _, d := range be.dialing {
		if d.waiters < b.config.MaxStreamsPerConn {
			d.waiters++
			return be, nil, d, false
		}
	}
	fit := 0 // one that the backend is leaving does not count while its last streams end, up to a bound
	for _, c := range be.conns {
		if c.state() == stateOpen {
			fit++
		}
	}
	if fit+len(be.dialing) >= b.config.MaxConnsPerBackend || len(be.conns)+len(be.dialing) >= 2*b.config.MaxConnsPerBackend {
		return be, nil, nil, false
	}
	d = &pendingDial{waiters: 1, done: make(chan struct{})}
	be.dialing = append(be.dialing, d)
	b.readLoops.Add(1)
	return be, nil, d, true
}

// dial brings a connection up. It goes on when the attempt that began it is called off, as others may wait for it.
func (b *Transport) dial(be *backend, d *pendingDial) {
	ctx, cancel := context.WithTimeout(context.Background(), b.config.ConnectTimeout)
	defer cancel()
	nc, err := b.config.Dial(ctx, "tcp", be.addr)
	var c *conn
	if err == nil {
		c, err = newConn(nc, b.config.MaxStreamsPerConn, func(c *conn) { b.removeConn(be, c); b.readLoops.Done() })
	}
	if err != nil {
		b.readLoops.Done()
	}
	b.mu.Lock()
	be.dialing = slices.DeleteFunc(be.dialing, func(o *pendingDial) bool { return o == d })
	gone := be.removed
	if err == nil && !gone && c.state() != stateClosed {
		be.conns = append(be.conns, c)
	}
	b.mu.Unlock()
	if err == nil && gone {
		c.drain()
	}
	d.failed = err != nil
	close(d.done)
}

// removeConn drops a connection that has ended.
func (b *Transport) removeConn(be *backend, c *conn) {
	b.mu.Lock()
	defer b.mu.Unlock()
	be.conns = slices.DeleteFunc(be.conns, func(o *conn) bool { return o == c })
}

// drain lets nothing new onto a connection and ends it when what is on it has ended.
func (c *conn) drain() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.draining = true
	c.noteIdle()
}
