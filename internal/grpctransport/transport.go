// Package grpctransport makes attempts at backends over gRPC. It sends each attempt once and never
// retries by itself, over a limited number of HTTP/2 connections and streams, and reports no more
// than what was seen proves (internal/grpcproto has the rules).
//
// It is written on HTTP/2 frames, because the ends of a stream must be told apart: the clients of
// grpc-go and net/http retry by themselves when a stream was refused, and do not say so.
//
// The files: transport.go has the backends and selects connections, conn.go is one connection,
// frames.go its reading side, stream.go one attempt on it, messages.go the messages of a response,
// request.go the payload of an attempt. The package decides nothing about requests.
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
	"pumicecroft/internal/executor"
	"pumicecroft/internal/grpcproto"
	"pumicecroft/internal/lifecycle"
	"pumicecroft/internal/loadreport"
	"pumicecroft/membership"
)

// Config says how backends are reached. A zero field takes its default.
type Config struct {
	// MaxConnsPerBackend limits the connections to one backend. As many again may be draining.
	// Default 2.
	MaxConnsPerBackend int
	// MaxStreamsPerConn limits the streams on one connection, in addition to the backend's own limit.
	// Default 100.
	MaxStreamsPerConn int
	// ConnectTimeout limits connecting. Default 250 ms.
	ConnectTimeout time.Duration
	// IdleTimeout is the time after which a backend may close an idle connection. Default 15 s.
	IdleTimeout time.Duration
	// MaxMessageBytes limits a message of a response. Default 4 MiB.
	MaxMessageBytes int
	// LoadReportFields are the names of load figures. None means that there are no load reports.
	LoadReportFields []string
	// Log receives failed attempts at level debug. nil discards them.
	Log *slog.Logger
	// Dial opens connections. nil means a net.Dialer without keep-alive probes.
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)
}

// Defaults of Config.
const (
	defaultMaxConnsPerBackend = 2
	defaultMaxStreamsPerConn  = 100
	defaultConnectTimeout     = 250 * time.Millisecond
	defaultIdleTimeout        = 15 * time.Second
	defaultMaxMessageBytes    = 4 << 20
)

// Transport makes attempts at the backends that Apply has told it of. It is safe for concurrent use.
type Transport struct {
	config          Config
	loadReader      loadreport.Reader
	failureLogLimit rate.Sometimes

	mu        sync.Mutex
	byID      map[decision.BackendID]*backend
	readLoops sync.WaitGroup // dials and read loops of connections
}

var _ executor.BackendTransport = (*Transport)(nil)

// backend is one backend. Its fields are guarded by Transport.mu.
type backend struct {
	addr    string
	state   decision.BackendState
	conns   []*conn
	dialing []*pendingDial
	removed bool // connections that are being dialed are closed
}

// pendingDial is a connection that is being dialed.
type pendingDial struct {
	waiters int           // attempts that wait for it; guarded by Transport.mu
	done    chan struct{} // closed when the dial ends
	failed  bool          // valid after done
}

// New returns a Transport without backends.
func New(c Config) *Transport {
	setDefault(&c.MaxConnsPerBackend, defaultMaxConnsPerBackend)
	setDefault(&c.MaxStreamsPerConn, defaultMaxStreamsPerConn)
	setDefault(&c.ConnectTimeout, defaultConnectTimeout)
	setDefault(&c.IdleTimeout, defaultIdleTimeout)
	setDefault(&c.MaxMessageBytes, defaultMaxMessageBytes)
	if c.Log == nil {
		c.Log = slog.New(slog.DiscardHandler)
	}
	if c.Dial == nil {
		c.Dial = (&net.Dialer{KeepAlive: -1}).DialContext
	}
	return &Transport{
		config:          c,
		loadReader:      loadreport.New(c.LoadReportFields),
		failureLogLimit: rate.Sometimes{First: 10, Interval: time.Second},
		byID:            map[decision.BackendID]*backend{},
	}
}

// setDefault sets a limit that is not positive.
func setDefault[T int | time.Duration](limit *T, value T) {
	if *limit <= 0 {
		*limit = value
	}
}

// maxIdle returns how long a connection may be idle and still be used. It is below the time after
// which the backend may close it.
func maxIdle(idleTimeout time.Duration) time.Duration { return idleTimeout * 6 / 10 }

// Apply takes in changes of the backends. They hold for every attempt that begins after it returns.
func (t *Transport) Apply(changes []membership.Change) {
	var discarded []*conn
	t.mu.Lock()
	for _, change := range changes {
		be := t.byID[change.ID]
		if be != nil && (change.State == decision.Removed || change.Replaced) {
			discarded = append(discarded, be.remove()...)
			delete(t.byID, change.ID)
			be = nil
		}
		if change.State == decision.Removed {
			continue
		}
		if be == nil {
			be = &backend{addr: change.Addr}
			t.byID[change.ID] = be
		}
		be.state = change.State
	}
	t.mu.Unlock()
	for _, c := range discarded {
		c.drain()
	}
}

// remove returns the connections of a backend that is removed. The caller holds Transport.mu.
func (be *backend) remove() []*conn {
	conns := be.conns
	be.removed, be.conns = true, nil
	return conns
}

// Close closes all connections and waits until nothing of them runs.
func (t *Transport) Close() {
	t.mu.Lock()
	var conns []*conn
	for _, be := range t.byID {
		conns = append(conns, be.remove()...)
	}
	clear(t.byID)
	t.mu.Unlock()
	for _, c := range conns {
		c.fail(net.ErrClosed)
	}
	t.readLoops.Wait()
}

// Probe returns decision.NotSent: there are no load reports to ask for over gRPC.
func (t *Transport) Probe(id decision.BackendID, _ time.Duration) decision.ProbeResult {
	return decision.ProbeResult{Backend: id, Result: decision.NotSent}
}

// RoundTrip makes an attempt and blocks until it ends. The Body of its result is a *Response if the
// backend responded, with an error status too.
func (t *Transport) RoundTrip(a *executor.Attempt) executor.Response {
	request := a.Payload.(*Request)
	s := newStream(request.Sink != nil, t.config.MaxMessageBytes)
	ctx, cancel := context.WithDeadline(context.Background(), a.Deadline)
	defer cancel()
	if a.OnCancel(cancel) != nil {
		return responseWith(decision.NotSent)
	}
	c, result := t.acquire(ctx, a.Backend)
	if c == nil {
		return responseWith(result)
	}
	if a.SendForbidden() { // connecting may have taken long, or this process was paused
		return responseWith(decision.NotSent)
	}
	err := c.openStream(s, request.headerFields(time.Until(a.Deadline)))
	if err != nil && s.conn == nil { // the connection has ended or is draining since it was picked
		return responseWith(decision.NotSent)
	}
	stop := context.AfterFunc(ctx, func() {
		if errors.Is(a.CancelCause(), executor.ErrCancelled) {
			c.resetStream(s, (*grpcproto.Call).Cancelled)
		} else {
			c.resetStream(s, (*grpcproto.Call).TimedOut)
		}
	})
	defer stop()
	c.sendBody(s, request.Body)
	forwarded := decision.Succeeded
	if request.Sink != nil {
		forwarded = s.forwardTo(ctx, a, request.Sink)
	}
	<-s.done
	return t.result(s, request, forwarded)
}

// result returns the result of an attempt whose stream has ended. forwarded is how the forwarding of
// a streamed response ended.
func (t *Transport) result(s *stream, request *Request, forwarded decision.Result) executor.Response {
	s.conn.mu.Lock()
	defer s.conn.mu.Unlock()
	outcome, _ := s.call.Ended()
	if outcome.Result == decision.Succeeded {
		outcome.Result = forwarded
	}
	out := responseWith(outcome.Result)
	if outcome.Result == decision.Succeeded || outcome.Result == decision.ErrorResponse {
		s.response.Code, s.response.Body = outcome.Code, s.messages.next()
		out.Body = &s.response
	}
	if usage, ok := t.loadReader.Use(s.response.usage); ok {
		out.Usage, out.HasUsage = usage, true
	}
	out.LoadReport = t.loadReader.Load(s.response.loadReport)
	if outcome.Result != decision.Succeeded {
		t.failureLogLimit.Do(func() {
			t.config.Log.Debug("attempt failed", "method", request.Method, "reason", outcome.Reason, "proof", outcome.Proof)
		})
	}
	return out
}

// responseWith is the result of an attempt without a backend's response.
func responseWith(r decision.Result) executor.Response {
	return executor.Response{Outcome: lifecycle.Outcome{Result: r}}
}

// acquire returns a connection with a reserved stream, or nil and the attempt's result. It blocks
// while a connection is dialed, at most until ctx ends.
func (t *Transport) acquire(ctx context.Context, id decision.BackendID) (*conn, decision.Result) {
	for {
		p := t.pick(id)
		switch {
		case p.conn != nil:
			return p.conn, 0
		case p.dialing == nil: // no free stream, or the backend drains: the attempt may go to another backend
			return nil, decision.NotSent
		case p.dial:
			go t.dial(p.backend, p.dialing)
		}
		select {
		case <-p.dialing.done:
			if p.dialing.failed {
				return nil, decision.ConnectFailed
			}
		case <-ctx.Done():
			return nil, decision.NotSent
		}
	}
}

// streamPick is what Transport.pick has found for an attempt.
type streamPick struct {
	backend *backend
	conn    *conn        // with a reserved stream; nil: there is none
	dialing *pendingDial // the dial to wait for; nil: no connection may be dialed
	dial    bool         // the caller is to make that dial
}

// pick finds a free stream, or a connection that is being dialed and will have one.
func (t *Transport) pick(id decision.BackendID) streamPick {
	now := time.Now()
	var expired []*conn
	defer func() {
		for _, c := range expired {
			c.drain()
		}
	}()
	t.mu.Lock()
	defer t.mu.Unlock()
	be := t.byID[id]
	if be == nil || be.state != decision.Ready {
		return streamPick{}
	}
	be.conns = slices.DeleteFunc(be.conns, func(c *conn) bool {
		old := c.idleFor(now) > maxIdle(t.config.IdleTimeout)
		if old {
			expired = append(expired, c)
		}
		return old
	})
	for _, c := range be.conns {
		if c.reserve() == nil {
			return streamPick{backend: be, conn: c}
		}
	}
	for _, d := range be.dialing {
		if d.waiters < t.config.MaxStreamsPerConn {
			d.waiters++
			return streamPick{backend: be, dialing: d}
		}
	}
	if !t.mayDial(be) {
		return streamPick{backend: be}
	}
	d := &pendingDial{waiters: 1, done: make(chan struct{})}
	be.dialing = append(be.dialing, d)
	t.readLoops.Add(1)
	return streamPick{backend: be, dialing: d, dial: true}
}

// mayDial reports whether a backend may have another connection. A draining one does not count while
// its last streams end, up to a limit. The caller holds Transport.mu.
func (t *Transport) mayDial(be *backend) bool {
	open := 0
	for _, c := range be.conns {
		if c.state() == stateOpen {
			open++
		}
	}
	return open+len(be.dialing) < t.config.MaxConnsPerBackend &&
		len(be.conns)+len(be.dialing) < 2*t.config.MaxConnsPerBackend
}

// dial opens a connection. It goes on when the attempt that began it is cancelled, as others may
// wait for it.
func (t *Transport) dial(be *backend, d *pendingDial) {
	ctx, cancel := context.WithTimeout(context.Background(), t.config.ConnectTimeout)
	defer cancel()
	netConn, err := t.config.Dial(ctx, "tcp", be.addr)
	var c *conn
	if err == nil {
		c, err = newConn(netConn, t.config.MaxStreamsPerConn, func(c *conn) {
			t.removeConn(be, c)
			t.readLoops.Done()
		})
	}
	if err != nil {
		t.readLoops.Done()
	}
	t.mu.Lock()
	be.dialing = slices.DeleteFunc(be.dialing, func(o *pendingDial) bool { return o == d })
	removed := be.removed
	if err == nil && !removed && c.state() != stateClosed {
		be.conns = append(be.conns, c)
	}
	t.mu.Unlock()
	if err == nil && removed {
		c.drain()
	}
	d.failed = err != nil
	close(d.done)
}

// removeConn removes a connection that has ended.
func (t *Transport) removeConn(be *backend, c *conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	be.conns = slices.DeleteFunc(be.conns, func(o *conn) bool { return o == c })
}
