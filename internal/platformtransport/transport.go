// Package platformtransport makes attempts at backends over HTTP/1.1 sockets. It carries out the operations of
// a platformhttp.Exchange one after another and makes no decisions. Each attempt runs in the goroutine that
// calls RoundTrip. The Transport guards the BackendSet with one lock, which is not held while anything blocks.
package platformtransport

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"slices"
	"strings"
	"sync"
	"time"

	"pumicecroft/decision"
	"pumicecroft/internal/executor"
	"pumicecroft/internal/platformhttp"
	"pumicecroft/internal/socketpeek"
	"pumicecroft/membership"

	"golang.org/x/time/rate"
)

// MaxBody is the maximum size of a request or response body in the protocol, in bytes.
const MaxBody = platformhttp.MaxBody

// maxKeptBuffer is the maximum size, in bytes, of the write buffer and of the read buffer that a connection
// keeps for its next request.
const maxKeptBuffer = 2 << 10

// applyBatchSize is the number of changes that are applied while the lock is held once. Closing the connections
// of removed backends under the lock ensures that their descriptors are free before the pool allows other
// connections to be opened. Each takes a system call, and no attempt can start or end in that time.
const applyBatchSize = 16

// The first errorLogBurst failed attempts are logged, then at most one per errorLogInterval.
const (
	errorLogBurst    = 10
	errorLogInterval = time.Second
)

// Config configures a Transport.
type Config struct {
	MaxConns         int           // maximum connections to all backends together, idle ones included
	IdleTimeout      time.Duration // backends close connections idle for this long; the Transport closes them by then
	ConnectTimeout   time.Duration // used if Dial is nil
	LoadReportFields []string      // names of the load figures in the settings; empty: load reports are ignored
	Log              *slog.Logger  // nil: no logging
	// Dial opens connections. Nil means a net.Dialer with ConnectTimeout.
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)
}

// Request is the request of an attempt.
type Request = platformhttp.Request

// Response is the response of an attempt that succeeded.
type Response = platformhttp.Response

// Transport makes attempts at the known backends and keeps connections to them. It is safe for concurrent
// use.
type Transport struct {
	dial          func(ctx context.Context, network, addr string) (net.Conn, error)
	log           *slog.Logger
	errorLogLimit rate.Sometimes
	start         time.Time // origin of the BackendSet's clock

	mu          sync.Mutex
	backends    *platformhttp.BackendSet
	expiryTimer *time.Timer // fires when the next idle connection expires; nil: not set
}

var _ executor.BackendTransport = (*Transport)(nil)

// conn is a connection to a backend.
type conn struct {
	net.Conn
	peeker   *socketpeek.Peeker
	writeBuf []byte
	readBuf  []byte
}

// New returns a Transport without backends.
func New(c Config) *Transport {
	t := &Transport{
		dial:          c.Dial,
		log:           c.Log,
		errorLogLimit: rate.Sometimes{First: errorLogBurst, Interval: errorLogInterval},
		start:         time.Now(),
		backends:      platformhttp.NewBackendSet(c.MaxConns, c.IdleTimeout, c.LoadReportFields),
	}
	if t.dial == nil {
		t.dial = (&net.Dialer{Timeout: c.ConnectTimeout, KeepAlive: -1}).DialContext
	}
	if t.log == nil {
		t.log = slog.New(slog.DiscardHandler)
	}
	return t
}

// now returns the time on the BackendSet's clock.
func (t *Transport) now() time.Duration { return time.Since(t.start) }

// withLock runs f and closes the connections that the pool has discarded, with the lock held.
func (t *Transport) withLock(f func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	f()
	t.closeDiscardedAndSetTimer()
}

// closeDiscardedAndSetTimer closes the connections that the pool has discarded, and starts the timer for the
// next idle one that expires. The caller must hold the lock.
func (t *Transport) closeDiscardedAndSetTimer() {
	for _, c := range t.backends.Pool.TakeDiscarded() {
		_ = c.Owner.(*conn).Close()
	}
	if at, idle := t.backends.Pool.NextExpiry(); idle && t.expiryTimer == nil {
		t.expiryTimer = time.AfterFunc(at-t.now(), t.closeExpired)
	}
}

func (t *Transport) closeExpired() {
	t.withLock(func() {
		t.expiryTimer = nil
		t.backends.Pool.CloseExpired(t.now())
	})
}

// Apply applies changes of backends. They are in effect for every attempt that starts after Apply returns.
func (t *Transport) Apply(changes []membership.Change) {
	for batch := range slices.Chunk(changes, applyBatchSize) {
		t.withLock(func() { t.backends.Apply(batch) })
	}
}

// Close removes all backends and closes the idle connections. A connection in use is closed when its attempt
// ends.
func (t *Transport) Close() {
	t.withLock(t.backends.Close)
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.expiryTimer != nil {
		t.expiryTimer.Stop()
	}
}

// RoundTrip makes one attempt and returns its result. It never sends the request twice. It blocks until the
// attempt ends or is cancelled.
func (t *Transport) RoundTrip(a *executor.Attempt) executor.Response {
	var x platformhttp.Exchange
	for op := t.startExchange(a, &x); op != platformhttp.End; {
		op = t.execute(a, &x, op)
	}
	if x.Err != nil {
		t.logFailure(a, &x)
	}
	r := executor.Response{Outcome: x.Result}
	if x.Response != nil {
		r.Body = x.Response
	}
	return r
}

func (t *Transport) startExchange(a *executor.Attempt, x *platformhttp.Exchange) platformhttp.Op {
	t.mu.Lock()
	defer t.mu.Unlock()
	op := x.Start(t.backends, a.Backend, a.Payload.(*Request), a.Deadline.Sub(t.start), t.notAfter(a), t.now())
	return t.checkIdleConns(x, op)
}

// logFailure logs why an attempt has failed. The error of an attempt that was cancelled is that of a deadline in the past,
// which interrupts it, so the cause of the cancellation is logged in its place.
func (t *Transport) logFailure(a *executor.Attempt, x *platformhttp.Exchange) {
	t.errorLogLimit.Do(func() {
		attrs := []any{"request", fmt.Sprintf("%016x", a.Payload.(*Request).ID), "attempt", a.Number(), "backend", x.Addr()}
		if cause := a.CancelCause(); cause != nil {
			attrs = append(attrs, "cause", cause, "client_disconnected", a.ClientDisconnected())
			t.log.Warn("attempt cancelled", attrs...)
			return
		}
		t.log.Warn("attempt failed", append(attrs, "err", x.Err)...)
	})
}

// notAfter returns the time after which the attempt's request must not be sent, on the BackendSet's clock; 0: no
// limit.
func (t *Transport) notAfter(a *executor.Attempt) time.Duration {
	if a.NotAfter.IsZero() {
		return 0
	}
	return max(1, a.NotAfter.Sub(t.start))
}

// Probe sends a health check to a backend. If load reports are configured, it requests the load instead.
func (t *Transport) Probe(id decision.BackendID, timeout time.Duration) decision.ProbeResult {
	result := decision.ProbeResult{Backend: id}
	m := &Request{Method: "GET", Target: "/health"}
	parser := t.backends.LoadParser() // never changes, so the lock is not needed
	if parser.HasLoad() {
		m.Target = "/status/load"
	}
	start := time.Now()
	a := executor.NewAttempt(id, start.Add(timeout), m)
	timer := time.AfterFunc(timeout, func() { a.Cancel(executor.ErrDeadlineExceeded) })
	defer timer.Stop()
	r := t.RoundTrip(a)
	result.Result, result.Latency, result.LoadReport = r.Result, time.Since(start), r.LoadReport
	if response, ok := r.Body.(*Response); ok && parser.HasLoad() {
		result.LoadReport = parser.ParseLoad(strings.TrimSpace(string(response.Body)))
	}
	return result
}
