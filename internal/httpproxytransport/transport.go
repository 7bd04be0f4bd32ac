// Package httpproxytransport makes attempts at the backends of one service over ordinary HTTP/1.1, with TLS or without: each once and never again by
// itself, over a bounded number of connections, with an outcome that claims no more than what was seen proves (internal/webwire has the
// table). An answer that is short, and whose length is told, is held until it is whole, so that one that is cut can be made up for; others
// are passed on as they come, once the core lets them begin. It decides nothing. webback.go keeps who the backends are and their connections,
// attempt.go is one attempt, conn.go one connection.
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

// Config says how a service's backends are reached. What is 0 takes the default.
type Config struct {
	Service             string        // its name
	MaxConns            int           // connections to all of its backends together; 256
	ConnectTimeout      time.Duration // a connection that is not up by then, handshake and all, counts as failed; 250 ms, with TLS 1 s
	IdleTimeout         time.Duration // a backend may close a connection that was idle for this long; 15 s
	ResponseBufferBytes int           // bytes up to which an answer of known length is held until it is whole; 64 KiB. Below 0: none is
	MaxHeadBytes        int           // bytes of an answer's head, 1xx answers ahead of it among it; 64 KiB
	MaxErrorBodyBytes   int           // bytes of an error's body that are kept for the client in case it is the last word; 256 KiB. A longer one is passed on as it comes, and not made up for
	// TLS is what the connections are made with; nil: they are plain. Its ServerName, where it is empty, is the host of the backend's address.
	TLS *tls.Config
	// HTTP2 says that backends speak HTTP/2: over TLS as ALPN has it, else with prior knowledge (RFC 9113, 3.3). H2Conns are its connections to one
	// backend; 2.
	HTTP2         bool
	MaxHTTP2Conns int
	// RewriteHost rewrites Host for a backend at an address; nil: it goes on as in the request.
	RewriteHost func(addr string) string
	Log         *slog.Logger
	Dial        func(ctx context.Context, network, addr string) (net.Conn, error) // nil: the system's
}

// reuseDelay is how long a connection rests after an answer: what comes right behind it has mostly come by then.
const reuseDelay = 50 * time.Microsecond

// Protocol is what a service's backends are said to speak in a membership.Node.
func Protocol(service string) string { return "web/" + service }

// Transport makes attempts at the backends that it was told of. It is a drive.Carrier and safe for concurrent use.
type Transport struct {
	config          Config
	failureLogLimit rate.Sometimes
	loadReader      loadreport.Reader

	mu          sync.Mutex
	byID        map[decision.BackendID]*backend
	pool        *connpool.Pool
	start       time.Time // of the pool's clock
	expiryTimer *time.Timer
}

type backend struct {
	state       decision.BackendState
	destination *connpool.Destination
	http2Conns  []*http2.ClientConn
	dialing     chan struct{} // closed when the HTTP/2 connection that is coming up is there or has failed; nil: there is none
}

var _ executor.BackendTransport = (*Transport)(nil)

// New knows no backends yet.
func New(c Config) *Transport {
	positive := func(v *int, is int) {
		if *v <= 0 {
			*v = is
		}
	}
	positive(&c.MaxConns, 256)
	positive(&c.MaxHTTP2Conns, 2)
	positive(&c.MaxHeadBytes, 64<<10)
	positive(&c.MaxErrorBodyBytes, 256<<10)
	if c.ResponseBufferBytes == 0 {
		c.ResponseBufferBytes = 64 << 10
	}
	if c.ConnectTimeout <= 0 {
		c.ConnectTimeout = 250 * time.Millisecond
		if c.TLS != nil {
			c.ConnectTimeout = time.Second
		}
	}
	if c.IdleTimeout <= 0 {
		c.IdleTimeout = 15 * time.Second
	}
	if c.Log == nil {
		c.Log = slog.New(slog.DiscardHandler)
	}
	if c.Dial == nil {
		c.Dial = (&net.Dialer{KeepAlive: -1}).DialContext
	}
	if c.TLS != nil {
		c.TLS = c.TLS.Clone()
		if c.TLS.NextProtos = []string{"http/1.1"}; c.HTTP2 {
			c.TLS.NextProtos = []string{"h2"}
		}
		if c.TLS.ClientSessionCache == nil {
			c.TLS.ClientSessionCache = tls.NewLRUClientSessionCache(4 * c.MaxConns)
		}
	}
	return &Transport{config: c, failureLogLimit: rate.Sometimes{First: 10, Interval: time.Second}, byID: map[decision.BackendID]*backend{},
		pool: connpool.New(connpool.Limits{MaxConns: c.MaxConns, IdleTimeout: c.IdleTimeout * 6 / 10, ReuseDelay: reuseDelay, MinReuseDelay: reuseDelay}), start: time.Now()}
}

// Apply takes in what has changed about backends. It holds for every attempt that begins after it returns.
func (b *Transport) Apply(changes []membership.Change) {
	b.mu.Lock()
	defer b.unlock()
	for _, c := range changes {
		be := b.byID[c.ID]
		if be != nil && (c.State == decision.Removed || c.Replaced) {
			b.pool.CloseDestination(be.destination)
			b.shutdownConns(be)
			delete(b.byID, c.ID)
			be = nil
		}
		if c.State == decision.Removed {
			continue
		}
		if be == nil {
			be = &backend{destination: &connpool.Destination{Addr: c.Addr}}
			b.byID[c.ID] = be
		}
		be.state = c.State
	}
}

// Close lets go of all connections. Attempts that are out end by themselves.
func (b *Transport) Close() {
	b.mu.Lock()
	defer b.unlock()
	b.pool.Close()
	for _, be := range b.byID {
		b.shutdownConns(be)
	}
	clear(b.byID)
	if b.expiryTimer != nil {
		b.expiryTimer.Stop()
	}
}

// Conns is how many connections there are: idle, in use or coming up.
func (b *Transport) Conns() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.pool.Count()
}

// Probe tells nothing: ordinary backends have no load reports.
func (b *Transport) Probe(id decision.BackendID, _ time.Duration) decision.ProbeResult {
	return decision.ProbeResult{Backend: id, Result: decision.NotSent}
}

// unlock closes what the pool has let go of, arms the next sweep and unlocks.
func (b *Transport) unlock() {
	closes := b.pool.TakeDiscarded()
	if at, ok := b.pool.NextExpiry(); ok && b.expiryTimer == nil {
		b.expiryTimer = time.AfterFunc(at-time.Since(b.start), b.closeExpired)
	}
	b.mu.Unlock()
	for _, c := range closes {
		c.Owner.(*conn).close()
	}
}

func (b *Transport) closeExpired() {
	b.mu.Lock()
	defer b.unlock()
	b.expiryTimer = nil
	b.pool.CloseExpired(time.Since(b.start))
}

// acquire gives a connection to a backend for an attempt's use, or the result of an attempt that gets none. fresh: not a kept one.
func (b *Transport) acquire(a *executor.Attempt, fresh bool) (*conn, decision.Result) {
	for {
		b.mu.Lock()
		be := b.byID[a.Backend]
		if be == nil || be.state != decision.Ready {
			b.mu.Unlock()
			return nil, decision.NotSent
		}
		place := be.destination
		kept, err := b.pool.Acquire(time.Since(b.start), place, fresh)
		b.unlock()
		switch {
		case err != nil:
			return nil, decision.NotSent
		case kept == nil:
			return b.dial(a, place)
		}
		c := kept.Owner.(*conn)
		if c.peeker.Peek() == socketpeek.Clean {
			return c, 0
		}
		b.discard(c)
	}
}

// dial brings a connection up.
func (b *Transport) dial(a *executor.Attempt, place *connpool.Destination) (*conn, decision.Result) {
	ctx, cancel := context.WithTimeout(context.Background(), b.config.ConnectTimeout)
	defer cancel()
	give := func(r decision.Result) (*conn, decision.Result) {
		b.mu.Lock()
		b.pool.OpenFailed()
		b.unlock()
		return nil, r
	}
	if a.OnCancel(cancel) != nil {
		return give(decision.NotSent)
	}
	nc, raw, err := b.connect(ctx, place.Addr)
	if err != nil {
		if off := a.OnCancel(nil); off != nil {
			return give(decision.NotSent)
		}
		return give(decision.ConnectFailed)
	}
	c := newConn(nc, raw)
	c.addr = place.Addr
	b.mu.Lock()
	c.pooled = b.pool.Opened(place, c)
	b.unlock()
	return c, 0
}

// connect opens a connection, with TLS if it is to be; raw is the one below.
func (b *Transport) connect(ctx context.Context, addr string) (nc, raw net.Conn, err error) {
	nc, err = b.config.Dial(ctx, "tcp", addr)
	raw = nc
	if err == nil && b.config.TLS != nil {
		nc, err = b.handshake(ctx, nc, addr)
	}
	if err != nil {
		b.failureLogLimit.Do(func() {
			b.config.Log.Debug("a backend that can't be connected to", "service", b.config.Service, "addr", addr, "err", err)
		})
	}
	return nc, raw, err
}

// handshake makes a connection one of TLS. It closes it on an error.
func (b *Transport) handshake(ctx context.Context, nc net.Conn, addr string) (net.Conn, error) {
	config := b.config.TLS
	if config.ServerName == "" {
		config = config.Clone()
		config.ServerName, _, _ = net.SplitHostPort(addr)
	}
	t := tls.Client(nc, config)
	if err := t.HandshakeContext(ctx); err != nil {
		nc.Close()
		return nil, err
	}
	return t, nil
}

func (b *Transport) release(c *conn) {
	b.mu.Lock()
	defer b.unlock()
	b.pool.Put(time.Since(b.start), c.pooled)
}

func (b *Transport) discard(c *conn) {
	b.mu.Lock()
	defer b.unlock()
	b.pool.Discard(c.pooled)
}

func responseWith(r decision.Result) executor.Response {
	return executor.Response{Outcome: lifecycle.Outcome{Result: r}}
}
