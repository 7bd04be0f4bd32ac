// Package httpback makes attempts at backends over HTTP/1.1, as PROTOCOL has it: over kept connections, each
// attempt once and never again by itself, with a result that claims no more than what was seen proves. It decides
// nothing. backends.go keeps who the backends are, exchange.go is one attempt, pool.go keeps the connections.
package httpback

import (
	"context"
	"log/slog"
	"net"
	"strings"
	"sync"
	"time"

	"pumicecroft/decision"
	"pumicecroft/internal/drive"
	"pumicecroft/internal/readings"
	"pumicecroft/membership"

	"golang.org/x/time/rate"
)

// MaxBody is the protocol's most for a body, of a request or an answer, in bytes.
const MaxBody = 64 << 10

// A kept connection is dropped when it has been idle for this share of the time after which the backend may
// close it: a request that crosses the close may have run.
const idleShare = 0.6

// Config says how backends are reached.
type Config struct {
	Conns       int           // connections to all backends together, idle ones among them
	Idle        time.Duration // a backend closes a connection that was idle for this long
	Connect     time.Duration // a connection that is not up by then counts as failed
	LoadColumns []string      // the settings' names of load figures; none: there are no load reports
	Log         *slog.Logger
	Dial        func(ctx context.Context, network, addr string) (net.Conn, error) // nil: the system's
}

// Request is a client's request as it goes on to a backend, with each attempt. What it holds must be fit for the
// wire: see Check.
type Request struct {
	Method      string
	Target      string // path and query as they came
	Host        string
	ID          uint64 // Request-Id
	HasID       bool
	Key         string // Idempotency-Key; empty: none
	ContentType string
	Body        []byte
}

// Protocol is what it goes over.
func (m *Request) Protocol() string { return membership.ProtocolHTTP }

// Answer is what a backend answered.
type Answer struct {
	ContentType string
	Body        []byte
}

// backend is one that is known. Its fields are guarded by Backends.mu.
type backend struct {
	state decision.BackendState
	place *place
}

// Backends sends attempts to the backends that it was told of, over kept connections. It is a drive.Carrier and
// safe for concurrent use.
type Backends struct {
	pool     *pool
	readings readings.Reader
	log      *slog.Logger
	faultLog rate.Sometimes

	mu   sync.Mutex
	byID map[decision.BackendID]*backend // until it is gone
}

var _ drive.Backends = (*Backends)(nil)

// New knows no backends yet.
func New(c Config) *Backends {
	dial := c.Dial
	if dial == nil {
		dial = (&net.Dialer{Timeout: c.Connect, KeepAlive: -1}).DialContext
	}
	b := &Backends{log: c.Log, faultLog: rate.Sometimes{First: 10, Interval: time.Second},
		pool: newPool(dial, c.Conns, time.Duration(idleShare*float64(c.Idle))),
		byID: map[decision.BackendID]*backend{}, readings: readings.New(c.LoadColumns)}
	if b.log == nil {
		b.log = slog.New(slog.DiscardHandler)
	}
	return b
}

// Apply takes in what has changed about backends. It holds for every attempt that begins after it returns.
func (b *Backends) Apply(changes []membership.Change) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, c := range changes {
		be := b.byID[c.ID]
		switch {
		case c.State == decision.Gone:
			if be != nil {
				b.pool.clear(be.place)
				delete(b.byID, c.ID)
			}
			continue
		case be == nil:
			be = &backend{}
			b.byID[c.ID] = be
		case c.Moved:
			b.pool.clear(be.place) // its connections lead to what was there before
			be.place = nil
		}
		if be.place == nil {
			be.place = &place{addr: c.Addr}
		}
		be.state = c.State
	}
}

// ready gives the place of a backend that may be sent something now, else nil.
func (b *Backends) ready(id decision.BackendID) *place {
	b.mu.Lock()
	defer b.mu.Unlock()
	if be := b.byID[id]; be != nil && be.state == decision.Ready {
		return be.place
	}
	return nil
}

// Close closes the connections that are idle; one in use is closed when its attempt ends.
func (b *Backends) Close() {
	b.mu.Lock()
	defer b.mu.Unlock()
	clear(b.byID) // so that none is ready for another attempt
	b.pool.end()
}

// Probe asks a backend for its health, with its load if there are reports.
func (b *Backends) Probe(id decision.BackendID, timeout time.Duration) decision.ProbeResult {
	out := decision.ProbeResult{Backend: id}
	m := &Request{Method: "GET", Target: "/health"}
	if b.readings.HasLoad() {
		m.Target = "/status/load"
	}
	start := time.Now()
	a := drive.NewAttempt(id, start.Add(timeout), m)
	alarm := time.AfterFunc(timeout, func() { a.CallOff(drive.ErrTimeUp) })
	defer alarm.Stop()
	r := b.Carry(a)
	out.Result, out.Took, out.Load = r.Result, time.Since(start), r.Load
	if answer, ok := r.Body.(*Answer); ok && b.readings.HasLoad() {
		out.Load = b.readings.Load(strings.TrimSpace(string(answer.Body)))
	}
	return out
}
