// Package platformtransport makes attempts at backends over HTTP/1.1 sockets. It carries out what a
// platformhttp.Exchange wants, one operation after another, and decides nothing. Each attempt runs in the
// goroutine that calls RoundTrip. The BackendSet has one lock, which is not held while anything waits,
// and which the Transport owns.
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

// MaxBody is the largest body of a request or response that the protocol allows, in bytes.
const MaxBody = platformhttp.MaxBody

// maxKeptBuffer is the largest buffer, in bytes, that an idle connection keeps for the next request, and
// as much for the next response.
const maxKeptBuffer = 2 << 10

// applyBatchSize is how many changes are applied under one hold of the lock. For each backend that is
// removed, connections are closed under the lock, by a system call each, and no attempt starts or ends
// meanwhile. They must be closed before others are opened in their place.
const applyBatchSize = 16

// Failed attempts are logged up to errorLogBurst, then once in errorLogInterval.
const (
	errorLogBurst    = 10
	errorLogInterval = time.Second
)

// Config says how backends are reached.
type Config struct {
	MaxConns         int           // to all backends together, idle ones included
	IdleTimeout      time.Duration // a backend closes a connection that was idle for so long
	ConnectTimeout   time.Duration // applies if Dial is nil
	LoadReportFields []string      // the settings' names of load figures; none: there are no load reports
	Log              *slog.Logger  // nil: nothing is logged
	// Dial opens connections. nil: net.Dialer with ConnectTimeout.
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)
}

// Request is what an attempt sends.
type Request = platformhttp.Request

// Response is what a backend answered.
type Response = platformhttp.Response

// Transport sends attempts to the backends that it was told of, over connections that it keeps. It is
// safe for concurrent use.
type Transport struct {
	dial          func(ctx context.Context, network, addr string) (net.Conn, error)
	log           *slog.Logger
	errorLogLimit rate.Sometimes
	start         time.Time // origin of the BackendSet's clock

	mu          sync.Mutex
	backends    *platformhttp.BackendSet
	expiryTimer *time.Timer // fires when the longest idle connection expires; nil: none is idle
}

var _ executor.BackendTransport = (*Transport)(nil)

// conn is a connection to a backend.
type conn struct {
	net.Conn
	peeker   *socketpeek.Peeker
	writeBuf []byte
	readBuf  []byte
}

// New returns a Transport that knows no backends yet.
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

// now is the BackendSet's clock.
func (t *Transport) now() time.Duration { return time.Since(t.start) }

// withLock runs f under the lock, and closes the connections that the pool has discarded.
func (t *Transport) withLock(f func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	f()
	t.closeDiscarded()
}

// closeDiscarded closes the connections that the pool has discarded, and sets the timer for those that
// expire. The caller holds the lock.
func (t *Transport) closeDiscarded() {
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

// Apply takes in changes of backends. It holds for every attempt that starts after it returns.
func (t *Transport) Apply(changes []membership.Change) {
	for batch := range slices.Chunk(changes, applyBatchSize) {
		t.withLock(func() { t.backends.Apply(batch) })
	}
}

// Close closes the idle connections. One in use is closed when its attempt ends.
func (t *Transport) Close() {
	t.withLock(t.backends.Close)
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.expiryTimer != nil {
		t.expiryTimer.Stop()
	}
}

// RoundTrip makes one attempt and returns how it ended. It never sends a request twice. It blocks until
// the attempt has ended or was cancelled.
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
	return t.checkConns(x, op)
}

func (t *Transport) logFailure(a *executor.Attempt, x *platformhttp.Exchange) {
	t.errorLogLimit.Do(func() {
		t.log.Warn("attempt failed", "request", fmt.Sprintf("%016x", a.Payload.(*Request).ID),
			"backend", x.Addr(), "err", x.Err)
	})
}

// notAfter is the time after which an attempt must not leave, on the BackendSet's clock; 0: no limit.
func (t *Transport) notAfter(a *executor.Attempt) time.Duration {
	if a.NotAfter.IsZero() {
		return 0
	}
	return max(1, a.NotAfter.Sub(t.start))
}

// Probe asks a backend for its health, and for its load if there are load reports.
func (t *Transport) Probe(id decision.BackendID, timeout time.Duration) decision.ProbeResult {
	result := decision.ProbeResult{Backend: id}
	m := &Request{Method: "GET", Target: "/health"}
	reader := t.backends.LoadReader()
	if reader.HasLoad() {
		m.Target = "/status/load"
	}
	start := time.Now()
	a := executor.NewAttempt(id, start.Add(timeout), m)
	timer := time.AfterFunc(timeout, func() { a.Cancel(executor.ErrDeadlineExceeded) })
	defer timer.Stop()
	r := t.RoundTrip(a)
	result.Result, result.Latency, result.LoadReport = r.Result, time.Since(start), r.LoadReport
	if response, ok := r.Body.(*Response); ok && reader.HasLoad() {
		result.LoadReport = reader.Load(strings.TrimSpace(string(response.Body)))
	}
	return result
}
