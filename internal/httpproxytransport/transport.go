// Package httpproxytransport makes attempts at the backends of one service over HTTP/1.1 or HTTP/2,
// with or without TLS and over a limited number of connections. It sends each attempt once and does
// not retry. Only if a reused connection fails before the request's head was written, it sends the
// request again on a new one. A result never claims more about the request than was observed
// (internal/http1proxy has the rules).
//
// A short response of known length is read completely before any of it is forwarded, so that the
// request can be retried if the response is truncated. Others are streamed, once
// Attempt.StartResponse allows it.
//
// The files: transport.go has the backends and their HTTP/1.1 connections, conn.go a single HTTP/1.1
// connection, http2.go the HTTP/2 connections, request.go the payload of an attempt, exchange.go a
// single attempt, body.go the body of its response and stored.go the encoding of stored responses.
// The package makes no decisions about requests.
package httpproxytransport

import (
	"context"
	"crypto/tls"
	"log/slog"
	"net"
	"sync"
	"time"

	"golang.org/x/net/http2"
	"golang.org/x/time/rate"

	"pumicecroft/decision"
	"pumicecroft/internal/connpool"
	"pumicecroft/internal/executor"
	"pumicecroft/internal/lifecycle"
	"pumicecroft/internal/loadreport"
	"pumicecroft/internal/socketpeek"
	"pumicecroft/membership"
)

// Config configures the connections to the backends of a service. A zero field takes its default.
type Config struct {
	// Service is the service's name, for logs.
	Service string
	// MaxConns limits the connections to all backends together. Default 256.
	MaxConns int
	// ConnectTimeout limits the time to connect, including the TLS handshake. Default 250 ms, or 1 s
	// with TLS.
	ConnectTimeout time.Duration
	// IdleTimeout is the time after which a backend may close an idle connection. Default 15 s.
	IdleTimeout time.Duration
	// ResponseBufferBytes is the largest response of known length that is read completely before it
	// is forwarded. Default 64 KiB; negative means that none is.
	ResponseBufferBytes int
	// MaxHeadBytes limits the head of a response, including 1xx responses before it. Default 64 KiB.
	MaxHeadBytes int
	// MaxErrorBodyBytes is the largest body of an error response that is kept, to be forwarded if no
	// later attempt succeeds. A longer one is dropped if its result is decision.Rejected; otherwise it
	// is streamed, and the request is not retried. Default 256 KiB.
	MaxErrorBodyBytes int
	// TLS configures connections. nil means plain text. An empty ServerName means the host of the
	// backend's address.
	TLS *tls.Config
	// HTTP2 selects HTTP/2: by ALPN with TLS, by prior knowledge without (RFC 9113, 3.3).
	HTTP2 bool
	// MaxHTTP2Conns limits the HTTP/2 connections to one backend. Default 2.
	MaxHTTP2Conns int
	// RewriteHost returns the Host header for a backend's address. nil forwards the request's Host.
	RewriteHost func(addr string) string
	// Log receives failed connections and attempts at debug level. nil discards them.
	Log *slog.Logger
	// Dial opens connections. nil means a net.Dialer without keep-alive probes.
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)
}

// Defaults of Config.
const (
	defaultMaxConns            = 256
	defaultMaxHTTP2Conns       = 2
	defaultMaxHeadBytes        = 64 << 10
	defaultMaxErrorBodyBytes   = 256 << 10
	defaultResponseBufferBytes = 64 << 10
	defaultConnectTimeout      = 250 * time.Millisecond
	defaultTLSConnectTimeout   = time.Second
	defaultIdleTimeout         = 15 * time.Second
)

// reuseDelay is how long a connection is not reused after a response. Most bytes that a faulty
// backend sends after a response arrive within this time, so they are detected before the next request.
const reuseDelay = 50 * time.Microsecond

// Protocol returns the value of membership.Node.Protocol for the backends of a service.
func Protocol(service string) string { return "web/" + service }

// Transport makes attempts at the backends that were added by Apply. It is safe for concurrent use.
type Transport struct {
	config          Config
	failureLogLimit rate.Sometimes
	loadParser      loadreport.Parser

	mu          sync.Mutex
	byID        map[decision.BackendID]*backend
	pool        *connpool.Pool
	start       time.Time // zero of the pool's clock
	expiryTimer *time.Timer
}

var _ executor.BackendTransport = (*Transport)(nil)

// backend is one backend. Its fields are guarded by Transport.mu.
type backend struct {
	state       decision.BackendState
	destination *connpool.Destination
	http2Conns  []*http2.ClientConn
	dialing     chan struct{} // closed when the HTTP/2 dial in progress ends; nil: there is none
}

// New returns a Transport without backends.
func New(c Config) *Transport {
	setDefaults(&c)
	pool := connpool.New(connpool.Limits{
		MaxConns:      c.MaxConns,
		IdleTimeout:   maxIdle(c.IdleTimeout),
		ReuseDelay:    reuseDelay,
		MinReuseDelay: reuseDelay,
	})
	return &Transport{
		config:          c,
		failureLogLimit: rate.Sometimes{First: 10, Interval: time.Second},
		byID:            map[decision.BackendID]*backend{},
		pool:            pool,
		start:           time.Now(),
	}
}

func setDefaults(c *Config) {
	setDefault(&c.MaxConns, defaultMaxConns)
	setDefault(&c.MaxHTTP2Conns, defaultMaxHTTP2Conns)
	setDefault(&c.MaxHeadBytes, defaultMaxHeadBytes)
	setDefault(&c.MaxErrorBodyBytes, defaultMaxErrorBodyBytes)
	if c.ResponseBufferBytes == 0 {
		c.ResponseBufferBytes = defaultResponseBufferBytes
	}
	setDefault(&c.IdleTimeout, defaultIdleTimeout)
	if c.TLS != nil {
		setDefault(&c.ConnectTimeout, defaultTLSConnectTimeout)
	} else {
		setDefault(&c.ConnectTimeout, defaultConnectTimeout)
	}
	if c.Log == nil {
		c.Log = slog.New(slog.DiscardHandler)
	}
	if c.Dial == nil {
		c.Dial = (&net.Dialer{KeepAlive: -1}).DialContext
	}
	if c.TLS == nil {
		return
	}
	c.TLS = c.TLS.Clone()
	c.TLS.NextProtos = []string{"http/1.1"}
	if c.HTTP2 {
		c.TLS.NextProtos = []string{"h2"}
	}
	if c.TLS.ClientSessionCache == nil {
		c.TLS.ClientSessionCache = tls.NewLRUClientSessionCache(4 * c.MaxConns)
	}
}

// setDefault sets a limit to value if the limit is not positive.
func setDefault[T int | time.Duration](limit *T, value T) {
	if *limit <= 0 {
		*limit = value
	}
}

// maxIdle returns how long a connection may be idle and still be reused. It is less than idleTimeout,
// after which the backend may close it, as a request on a connection that is being closed would be lost.
func maxIdle(idleTimeout time.Duration) time.Duration { return idleTimeout * 6 / 10 }

// Apply applies changes of the backends. They are in effect for every attempt that begins after it
// returns.
func (t *Transport) Apply(changes []membership.Change) {
	t.mu.Lock()
	defer t.unlock()
	for _, change := range changes {
		be := t.byID[change.ID]
		if be != nil && (change.State == decision.Removed || change.Replaced) {
			t.pool.CloseDestination(be.destination)
			shutdownConns(be)
			delete(t.byID, change.ID)
			be = nil
		}
		if change.State == decision.Removed {
			continue
		}
		if be == nil {
			be = &backend{destination: &connpool.Destination{Addr: change.Addr}}
			t.byID[change.ID] = be
		}
		be.state = change.State
	}
}

// Close closes idle connections immediately, and all others when the attempts on them end.
func (t *Transport) Close() {
	t.mu.Lock()
	defer t.unlock()
	t.pool.Close()
	for _, be := range t.byID {
		shutdownConns(be)
	}
	clear(t.byID)
	if t.expiryTimer != nil {
		t.expiryTimer.Stop()
	}
}

// Conns returns the number of HTTP/1.1 connections: idle, in use or being dialed.
func (t *Transport) Conns() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.pool.Count()
}

// Probe returns decision.NotSent: ordinary HTTP backends have no load report to request.
func (t *Transport) Probe(id decision.BackendID, _ time.Duration) decision.ProbeResult {
	return decision.ProbeResult{Backend: id, Result: decision.NotSent}
}

// unlock starts the expiry timer if needed, unlocks mu, and closes the connections that the pool has
// discarded.
func (t *Transport) unlock() {
	discarded := t.pool.TakeDiscarded()
	if at, ok := t.pool.NextExpiry(); ok && t.expiryTimer == nil {
		t.expiryTimer = time.AfterFunc(at-time.Since(t.start), t.closeExpired)
	}
	t.mu.Unlock()
	for _, c := range discarded {
		c.Owner.(*conn).close()
	}
}

// closeExpired closes connections that have been idle for too long.
func (t *Transport) closeExpired() {
	t.mu.Lock()
	defer t.unlock()
	t.expiryTimer = nil
	t.pool.CloseExpired(time.Since(t.start))
}

// acquire returns a connection for an attempt, or nil and the attempt's result. fresh requires a new
// connection. It blocks while a connection is dialed.
func (t *Transport) acquire(a *executor.Attempt, fresh bool) (*conn, decision.Result) {
	for {
		t.mu.Lock()
		be := t.byID[a.Backend]
		if be == nil || be.state != decision.Ready {
			t.mu.Unlock()
			return nil, decision.NotSent
		}
		destination := be.destination
		pooled, err := t.pool.Acquire(time.Since(t.start), destination, fresh)
		t.unlock()
		if err != nil {
			return nil, decision.NotSent
		}
		if pooled == nil {
			return t.dial(a, destination)
		}
		c := pooled.Owner.(*conn)
		if c.peeker.Peek() == socketpeek.Idle {
			return c, 0
		}
		t.discard(c)
	}
}

// dial opens a connection that the pool has already counted.
func (t *Transport) dial(a *executor.Attempt, destination *connpool.Destination) (*conn, decision.Result) {
	ctx, cancel := context.WithTimeout(context.Background(), t.config.ConnectTimeout)
	defer cancel()
	fail := func(r decision.Result) (*conn, decision.Result) {
		t.mu.Lock()
		t.pool.OpenFailed()
		t.unlock()
		return nil, r
	}
	if a.OnCancel(cancel) != nil {
		return fail(decision.NotSent)
	}
	netConn, raw, err := t.connect(ctx, destination.Addr)
	if err != nil && a.OnCancel(nil) != nil { // the attempt was cancelled: the backend may be healthy
		return fail(decision.NotSent)
	}
	if err != nil {
		return fail(decision.ConnectFailed)
	}
	c := newConn(netConn, raw)
	c.addr = destination.Addr
	t.mu.Lock()
	c.pooled = t.pool.Opened(destination, c)
	t.unlock()
	return c, 0
}

// connect opens a connection, with TLS if configured. raw is the network connection below TLS.
func (t *Transport) connect(ctx context.Context, addr string) (netConn, raw net.Conn, err error) {
	raw, err = t.config.Dial(ctx, "tcp", addr)
	netConn = raw
	if err == nil && t.config.TLS != nil {
		netConn, err = t.handshake(ctx, raw, addr)
	}
	if err != nil {
		t.failureLogLimit.Do(func() {
			t.config.Log.Debug("connection to backend failed", "service", t.config.Service, "addr", addr, "err", err)
		})
	}
	return netConn, raw, err
}

// handshake makes the TLS handshake on a connection. It closes the connection on an error.
func (t *Transport) handshake(ctx context.Context, raw net.Conn, addr string) (net.Conn, error) {
	config := t.config.TLS
	if config.ServerName == "" {
		config = config.Clone()
		config.ServerName, _, _ = net.SplitHostPort(addr)
	}
	tlsConn := tls.Client(raw, config)
	if err := tlsConn.HandshakeContext(ctx); err != nil {
		raw.Close()
		return nil, err
	}
	return tlsConn, nil
}

// release returns a connection to the pool.
func (t *Transport) release(c *conn) {
	t.mu.Lock()
	defer t.unlock()
	t.pool.Put(time.Since(t.start), c.pooled)
}

// discard closes a connection.
func (t *Transport) discard(c *conn) {
	t.mu.Lock()
	defer t.unlock()
	t.pool.Discard(c.pooled)
}

// responseWith returns the response of an attempt that has a result but no response of a backend.
func responseWith(r decision.Result) executor.Response {
	return executor.Response{Outcome: lifecycle.Outcome{Result: r}}
}
