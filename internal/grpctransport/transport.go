// Package grpctransport sends attempts to backends over gRPC, on a limited number of HTTP/2 connections
// and streams. It sends each attempt once and never retries. It reports an attempt as executed or as not
// executed only if the way in which the stream ended proves that; internal/grpcproto has the rules.
//
// The package reads and writes HTTP/2 frames itself because it must distinguish the ways in which a
// stream can end: the clients of grpc-go and net/http silently retry a refused stream.
//
// The package makes no decisions about requests. Its files:
//
//   - transport.go: the backends, and the choice of a connection
//   - conn.go: a connection, and its writing side
//   - frames.go: the reading side of a connection
//   - stream.go: a stream, which carries one attempt
//   - messages.go: the messages of a response
//   - request.go: the payload of an attempt, and the response
//   - stored.go: the encoding of responses in the idempotency journal
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

// Config configures a Transport. A zero field takes its default.
type Config struct {
	// MaxConnsPerBackend limits the connections to one backend. Connections that are draining do not
	// count, but the total including them is at most twice this limit. Default 2.
	MaxConnsPerBackend int
	// MaxStreamsPerConn limits the streams on one connection, in addition to the backend's own limit.
	// Default 100.
	MaxStreamsPerConn int
	// ConnectTimeout limits the time to open a connection. Default 250 ms.
	ConnectTimeout time.Duration
	// IdleTimeout is the time after which a backend may close an idle connection. A connection that
	// has been idle for 60% of it is not used any more. Default 15 s.
	IdleTimeout time.Duration
	// MaxMessageBytes limits each message of a response. Default 4 MiB.
	MaxMessageBytes int
	// LoadReportFields are the names of the fields in load reports. Empty means that backends do not
	// report their load.
	LoadReportFields []string
	// Log receives failed attempts at debug level. nil discards them.
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

// Transport sends attempts to the backends that Apply has added. It is safe for concurrent use.
type Transport struct {
	config          Config
	loadParser      loadreport.Parser
	failureLogLimit rate.Sometimes

	mu         sync.Mutex
	byID       map[decision.BackendID]*backend
	background sync.WaitGroup // running dials, each of which becomes the read loop of its connection
}

var _ executor.BackendTransport = (*Transport)(nil)

// backend holds the connections to a backend. Its fields are guarded by Transport.mu.
type backend struct {
	addr         string
	state        decision.BackendState
	conns        []*conn
	pendingDials []*pendingDial
	removed      bool // connections whose dial completes later are drained
}

// pendingDial is a connection that is being dialed.
type pendingDial struct {
	waiters int           // attempts that have joined the dial, also those that ended since; guarded by Transport.mu
	done    chan struct{} // closed when the dial has ended
	failed  bool          // may be read after done is closed
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
		loadParser:      loadreport.New(c.LoadReportFields),
		failureLogLimit: rate.Sometimes{First: 10, Interval: time.Second},
		byID:            map[decision.BackendID]*backend{},
	}
}

// setDefault sets limit to value if it is not positive.
func setDefault[T int | time.Duration](limit *T, value T) {
	if *limit <= 0 {
		*limit = value
	}
}

// maxIdle returns how long a connection may be idle and still be used. It is well below idleTimeout, so
// that an attempt is not sent while the backend closes the connection.
func maxIdle(idleTimeout time.Duration) time.Duration { return idleTimeout * 6 / 10 }

// Apply applies changes to the set of backends. Every attempt that begins after it returns uses the new
// set.
func (t *Transport) Apply(changes []membership.Change) {
	var discarded []*conn
	t.mu.Lock()
	for _, change := range changes {
		be := t.byID[change.ID]
		if be != nil && (change.State == decision.Removed || change.Replaced) {
			discarded = append(discarded, be.detachConns()...)
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

// detachConns marks a backend as removed and returns its connections, which the caller must end. The
// caller holds Transport.mu, and deletes the backend from Transport.byID.
func (be *backend) detachConns() []*conn {
	conns := be.conns
	be.removed, be.conns = true, nil
	return conns
}

// Close closes all connections and waits until their goroutines have ended.
func (t *Transport) Close() {
	t.mu.Lock()
	var conns []*conn
	for _, be := range t.byID {
		conns = append(conns, be.detachConns()...)
	}
	clear(t.byID)
	t.mu.Unlock()
	for _, c := range conns {
		c.fail(net.ErrClosed)
	}
	t.background.Wait()
}

// Probe returns decision.NotSent: a probe asks a backend for its load report, and over gRPC backends send
// these only with the responses to calls.
func (t *Transport) Probe(id decision.BackendID, _ time.Duration) decision.ProbeResult {
	return decision.ProbeResult{Backend: id, Result: decision.NotSent}
}

// RoundTrip sends an attempt and blocks until it has ended. The Body of its result is a *Response if the
// backend has responded, even with an error status.
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
	if a.SendForbidden() { // after a slow dial or a pause of this process it may be too late to send
		c.unreserve()
		return responseWith(decision.NotSent)
	}
	err := c.openStream(s, request.headerFields(time.Until(a.Deadline)))
	if err != nil && s.conn == nil { // the connection has ended or begun to drain since it was picked
		return responseWith(decision.NotSent)
	}
	stop := context.AfterFunc(ctx, func() {
		if errors.Is(a.CancelCause(), executor.ErrCancelled) {
			c.resetStream(s, (*grpcproto.Call).OnCancel)
		} else {
			c.resetStream(s, (*grpcproto.Call).OnTimeout)
		}
	})
	defer stop()
	c.sendBody(s, request.Body)
	forwardResult := decision.Succeeded
	if request.Sink != nil {
		forwardResult = s.forwardTo(ctx, a, request.Sink)
	}
	<-s.done
	return t.result(s, request, forwardResult)
}

// result returns the result of an attempt whose stream has ended. forwardResult is what forwardTo
// returned for a streamed response, and otherwise decision.Succeeded.
func (t *Transport) result(s *stream, request *Request, forwardResult decision.Result) executor.Response {
	s.conn.mu.Lock()
	defer s.conn.mu.Unlock()
	outcome, _ := s.call.Ended()
	if outcome.Result == decision.Succeeded {
		outcome.Result = forwardResult
	}
	out := responseWith(outcome.Result)
	if outcome.Result == decision.Succeeded || outcome.Result == decision.ErrorResponse {
		s.response.Code, s.response.Body = outcome.Code, s.messages.next()
		out.Body = &s.response
	}
	if usage, ok := t.loadParser.ParseUsage(s.response.usage); ok {
		out.Usage, out.HasUsage = usage, true
	}
	out.LoadReport = t.loadParser.ParseLoad(s.response.loadReport)
	if outcome.Result != decision.Succeeded {
		t.failureLogLimit.Do(func() {
			t.config.Log.Debug("attempt failed",
				"method", request.Method, "reason", outcome.Reason, "proof", outcome.Proof)
		})
	}
	return out
}

// responseWith returns the response of an attempt that has result r and no response body.
func responseWith(r decision.Result) executor.Response {
	return executor.Response{Outcome: lifecycle.Outcome{Result: r}}
}

// acquire returns a connection with a reserved stream, or nil and the attempt's result. It may wait for
// a dial, at most until ctx ends.
func (t *Transport) acquire(ctx context.Context, id decision.BackendID) (*conn, decision.Result) {
	for {
		p := t.pick(id)
		switch {
		case p.conn != nil:
			return p.conn, 0
		case p.pendingDial == nil: // no free stream, or the backend accepts no attempts; another may be tried
			return nil, decision.NotSent
		case p.startDial:
			go t.dial(p.backend, p.pendingDial)
		}
		select {
		case <-p.pendingDial.done:
			if p.pendingDial.failed {
				return nil, decision.ConnectFailed
			}
		case <-ctx.Done():
			return nil, decision.NotSent
		}
	}
}

// pickResult is the result of Transport.pick.
type pickResult struct {
	backend     *backend
	conn        *conn        // connection with a reserved stream, or nil
	pendingDial *pendingDial // dial to wait for if conn is nil; nil if there is none and none may be started
	startDial   bool         // the caller must start the dial
}

// pick reserves a stream on an open connection, or else joins or registers a dial. It first drains
// connections that have been idle for too long.
func (t *Transport) pick(id decision.BackendID) pickResult {
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
		return pickResult{}
	}
	be.conns = slices.DeleteFunc(be.conns, func(c *conn) bool {
		isExpired := c.idleFor(now) > maxIdle(t.config.IdleTimeout)
		if isExpired {
			expired = append(expired, c)
		}
		return isExpired
	})
	for _, c := range be.conns {
		if c.reserve() == nil {
			return pickResult{backend: be, conn: c}
		}
	}
	for _, d := range be.pendingDials {
		if d.waiters < t.config.MaxStreamsPerConn {
			d.waiters++
			return pickResult{backend: be, pendingDial: d}
		}
	}
	if !t.mayDial(be) {
		return pickResult{backend: be}
	}
	d := &pendingDial{waiters: 1, done: make(chan struct{})}
	be.pendingDials = append(be.pendingDials, d)
	t.background.Add(1) // Done is called by dial if it fails, otherwise when the connection has closed
	return pickResult{backend: be, pendingDial: d, startDial: true}
}

// mayDial reports whether another connection to a backend may be dialed. Draining connections do not
// count towards MaxConnsPerBackend, but the total is limited to twice as many. The caller holds
// Transport.mu.
func (t *Transport) mayDial(be *backend) bool {
	open := 0
	for _, c := range be.conns {
		if c.state() == stateOpen {
			open++
		}
	}
	return open+len(be.pendingDials) < t.config.MaxConnsPerBackend &&
		len(be.conns)+len(be.pendingDials) < 2*t.config.MaxConnsPerBackend
}

// dial opens a connection. It is not interrupted when the attempt that started it is cancelled, as other
// attempts may wait for the connection.
func (t *Transport) dial(be *backend, d *pendingDial) {
	ctx, cancel := context.WithTimeout(context.Background(), t.config.ConnectTimeout)
	defer cancel()
	netConn, err := t.config.Dial(ctx, "tcp", be.addr)
	var c *conn
	if err == nil {
		c, err = newConn(netConn, t.config.MaxStreamsPerConn, func(c *conn) {
			t.removeConn(be, c)
			t.background.Done()
		})
	}
	if err != nil {
		t.background.Done()
	}
	t.mu.Lock()
	be.pendingDials = slices.DeleteFunc(be.pendingDials, func(o *pendingDial) bool { return o == d })
	removed := be.removed
	if err == nil && !removed && c.state() != stateClosed { // it may have closed already, and removeConn found nothing
		be.conns = append(be.conns, c)
	}
	t.mu.Unlock()
	if err == nil && removed {
		c.drain()
	}
	d.failed = err != nil
	close(d.done)
}

// removeConn removes a closed connection from its backend.
func (t *Transport) removeConn(be *backend, c *conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	be.conns = slices.DeleteFunc(be.conns, func(o *conn) bool { return o == c })
}
