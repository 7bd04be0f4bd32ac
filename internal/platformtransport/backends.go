// Package platformtransport makes attempts at backends over HTTP/1.1 sockets: it carries out what an httpwire.Exchange wants, one
// operation after another, and decides nothing. Each attempt has the goroutine that calls Carry; the Fleet is under one lock,
// which is not held while anything waits.
package platformtransport

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"pumicecroft/decision"
	"pumicecroft/internal/executor"
	"pumicecroft/internal/platformhttp"
	"pumicecroft/internal/socketpeek"
	"pumicecroft/membership"

	"golang.org/x/time/rate"
)

// MaxBody is the protocol's most for a body, of a request or an answer, in bytes.
const MaxBody = platformhttp.MaxBody

// maxKeptBuffer is the most memory that a kept connection holds for the text of requests, and as much for answers.
const maxKeptBuffer = 2 << 10

// applyBatchSize is how many changes are taken in under the lock at once: what is gone has connections to close, each of which costs a call of
// the system while no attempt begins or ends, and must be closed before others are opened in their place.
const applyBatchSize = 16

// Config says how backends are reached.
type Config struct {
	MaxConns         int           // connections to all backends together, idle ones among them
	IdleTimeout      time.Duration // a backend closes a connection that was idle for this long
	ConnectTimeout   time.Duration // a connection that is not up by then counts as failed
	LoadReportFields []string      // the settings' names of load figures; none: there are no load reports
	Log              *slog.Logger
	Dial             func(ctx context.Context, network, addr string) (net.Conn, error) // nil: the system's
}

// Request is what an attempt carries.
type Request = platformhttp.Request

// Response is what a backend answered.
type Response = platformhttp.Response

// Transport sends attempts to the backends that it was told of, over kept connections. It is a drive.Carrier and
// safe for concurrent use.
type Transport struct {
	dial          func(ctx context.Context, network, addr string) (net.Conn, error)
	log           *slog.Logger
	errorLogLimit rate.Sometimes
	start         time.Time // of the fleet's clock

	mu          sync.Mutex
	backends    *platformhttp.BackendSet
	expiryTimer *time.Timer // comes when the longest idle connection has been so for too long
}

var _ executor.BackendTransport = (*Transport)(nil)

// conn is a connection to a backend.
type conn struct {
	net.Conn
	peeker   *socketpeek.Peeker
	writeBuf []byte // room for a request's text
	readBuf  []byte // and for an answer's
}

// New knows no backends yet.
func New(c Config) *Transport {
	b := &Transport{dial: c.Dial, log: c.Log, errorLogLimit: rate.Sometimes{First: 10, Interval: time.Second}, start: time.Now(),
		backends: platformhttp.NewBackendSet(c.MaxConns, c.IdleTimeout, c.LoadReportFields)}
	if b.dial == nil {
		b.dial = (&net.Dialer{Timeout: c.ConnectTimeout, KeepAlive: -1}).DialContext
	}
	if b.log == nil {
		b.log = slog.New(slog.DiscardHandler)
	}
	return b
}

// now is the fleet's clock.
func (b *Transport) now() time.Duration { return time.Since(b.start) }

// withLock lets one caller in to the fleet; what that lets go of is closed.
func (b *Transport) withLock(do func()) {
	b.mu.Lock()
	defer b.mu.Unlock()
	do()
	b.closeDiscarded()
}

// closeDiscarded closes what the pool has let go of, and comes back for what is idle for too long; it wants the lock.
func (b *Transport) closeDiscarded() {
	for _, c := range b.backends.Pool.TakeDiscarded() {
		c.Owner.(*conn).Close()
	}
	if at, idle := b.backends.Pool.NextExpiry(); idle && b.expiryTimer == nil {
		b.expiryTimer = time.AfterFunc(at-b.now(), b.closeExpired)
	}
}

func (b *Transport) closeExpired() {
	b.withLock(func() {
		b.expiryTimer = nil
		b.backends.Pool.CloseExpired(b.now())
	})
}

// Apply takes in what has changed about backends. It holds for every attempt that begins after it returns.
func (b *Transport) Apply(changes []membership.Change) {
	for some := range slices.Chunk(changes, applyBatchSize) {
		b.withLock(func() { b.backends.Apply(some) })
	}
}

// Close closes the connections that are idle; one in use is closed when its attempt ends.
func (b *Transport) Close() {
	b.withLock(b.backends.Close)
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.expiryTimer != nil {
		b.expiryTimer.Stop()
	}
}

// RoundTrip makes one attempt and tells how it ended. It never sends twice.
func (b *Transport) RoundTrip(a *executor.Attempt) executor.Response {
	var x platformhttp.Exchange
	var op platformhttp.Op
	b.mu.Lock()
	op = x.Start(b.backends, a.Backend, a.Payload.(*Request), a.Deadline.Sub(b.start), b.notAfter(a), b.now())
	b.checkConns(&x, &op)
	b.mu.Unlock()
	for op != platformhttp.End {
		op = b.execute(a, &x, op)
	}
	if x.Err != nil {
		b.errorLogLimit.Do(func() {
			b.log.Warn("an attempt broke", "request", fmt.Sprintf("%016x", a.Payload.(*Request).ID), "backend", x.Addr(), "err", x.Err)
		})
	}
	r := executor.Response{Outcome: x.Result}
	if x.Response != nil {
		r.Body = x.Response
	}
	return r
}

// notAfter is when an attempt must not leave any more, on the fleet's clock; 0: none.
func (b *Transport) notAfter(a *executor.Attempt) time.Duration {
	if a.NotAfter.IsZero() {
		return 0
	}
	return max(1, a.NotAfter.Sub(b.start))
}

// checkConns goes on as far as looking at kept connections goes, which asks the system and waits for nothing; it wants the lock.
func (b *Transport) checkConns(x *platformhttp.Exchange, op *platformhttp.Op) {
	for *op == platformhttp.CheckConn {
		*op = x.ConnChecked(b.now(), x.Conn.Owner.(*conn).peeker.Peek() == socketpeek.Clean)
	}
	b.closeDiscarded()
}

// execute carries out one operation and gives the next.
func (b *Transport) execute(a *executor.Attempt, x *platformhttp.Exchange, op platformhttp.Op) (next platformhttp.Op) {
	switch op {
	case platformhttp.Dial:
		c, err := b.connect(a, x)
		propagateCancel(a, x)
		b.mu.Lock()
		defer b.mu.Unlock()
		next = x.Dialed(b.now(), c, err)
	case platformhttp.Write:
		c := x.Conn.Owner.(*conn)
		err := a.OnCancel(func() { c.SetDeadline(time.Unix(1, 0)) })
		now := time.Now()
		if err == nil && a.SendForbiddenAt(now) {
			err = platformhttp.ErrSendForbidden
		}
		if err == nil {
			c.writeBuf, err = x.AppendRequest(c.writeBuf[:0], now.Sub(b.start))
		}
		if err == nil {
			_, err = c.Write(c.writeBuf)
			if cap(c.writeBuf) > maxKeptBuffer {
				c.writeBuf = nil
			}
		}
		if err == nil {
			return x.Wrote(b.now(), c.readBuf, nil) // which touches nothing of the fleet
		}
		propagateCancel(a, x)
		b.mu.Lock()
		defer b.mu.Unlock()
		next = x.Wrote(b.now(), nil, err)
	case platformhttp.Read:
		return b.read(a, x)
	case platformhttp.Finish:
		c := x.Conn.Owner.(*conn)
		if x.ReadDeadline > 0 { // for the next one on the connection; one that is called off is not used again
			_ = a.IfActive(func() { c.SetReadDeadline(time.Time{}) })
		}
		if c.readBuf = x.ReusableBuffer(); cap(c.readBuf) > maxKeptBuffer {
			c.readBuf = nil
		}
		_ = a.OnCancel(nil)
		propagateCancel(a, x)
		b.mu.Lock()
		defer b.mu.Unlock()
		next = x.Finish(b.now())
	default:
		panic(fmt.Sprintf("httpback: operation %d", op))
	}
	b.checkConns(x, &next)
	return next
}

// read takes in what comes next.
func (b *Transport) read(a *executor.Attempt, x *platformhttp.Exchange) platformhttp.Op {
	c := x.Conn.Owner.(*conn)
	n, err := c.Read(x.ReadBuffer())
	had := x.ReadDeadline
	op := x.Received(b.now(), n, err)
	if op == platformhttp.Read && x.ReadDeadline != had {
		// The call-off may have set a deadline already, which this must not undo: then the next Read ends at once.
		_ = a.IfActive(func() { c.SetReadDeadline(b.start.Add(x.ReadDeadline)) })
	}
	return op
}

// connect opens a connection, and waits for it until the attempt is called off.
func (b *Transport) connect(a *executor.Attempt, x *platformhttp.Exchange) (*conn, error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if err := a.OnCancel(cancel); err != nil {
		return nil, err
	}
	defer func() { _ = a.OnCancel(nil) }()
	nc, err := b.dial(ctx, "tcp", x.Addr())
	if errors.Is(err, syscall.EMFILE) {
		return nil, fmt.Errorf("%w: %w", platformhttp.ErrNoDescriptors, err)
	} else if err != nil {
		return nil, err
	}
	return &conn{Conn: nc, peeker: socketpeek.New(nc)}, nil
}

// propagateCancel passes on that the attempt was called off, if it was.
func propagateCancel(a *executor.Attempt, x *platformhttp.Exchange) {
	switch off := a.CancelCause(); {
	case errors.Is(off, executor.ErrCancelled):
		x.Cancel(platformhttp.Cancelled)
	case off != nil:
		x.Cancel(platformhttp.TimedOut)
	}
}

// Probe asks a backend for its health, with its load if there are reports.
func (b *Transport) Probe(id decision.BackendID, timeout time.Duration) decision.ProbeResult {
	out := decision.ProbeResult{Backend: id}
	m := &Request{Method: "GET", Target: "/health"}
	readings := b.backends.LoadReader()
	if readings.HasLoad() {
		m.Target = "/status/load"
	}
	start := time.Now()
	a := executor.NewAttempt(id, start.Add(timeout), m)
	alarm := time.AfterFunc(timeout, func() { a.Cancel(executor.ErrDeadlineExceeded) })
	defer alarm.Stop()
	r := b.RoundTrip(a)
	out.Result, out.Latency, out.LoadReport = r.Result, time.Since(start), r.LoadReport
	if answer, ok := r.Body.(*Response); ok && readings.HasLoad() {
		out.LoadReport = readings.Load(strings.TrimSpace(string(answer.Body)))
	}
	return out
}
