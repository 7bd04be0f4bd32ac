package fakes

import (
	"context"
	"io"
	"log"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"pumicecroft/internal/platform"
)

// Act is what a backend does with one attempt in place of its work.
type Behavior int

// The acts.
const (
	ServeNormally         Behavior = iota // as a backend does: wait for a slot, work, answer
	ExecuteThenHang                       // run, and never answer; ends when the connection does
	HangWithoutExecution                  // never run and never answer
	ExecuteThenReset                      // run, and reset the connection in place of an answer
	ExecuteThenError                      // run, and answer 500
	RejectNotStarted                      // 503 with the proof that it has not run
	ExecuteThenGarble                     // run, and answer with noise
	ExecuteThenTruncate                   // run, and end the connection midway through the answer
	ResetWithoutExecution                 // reset the connection; it has not run, which the other side cannot know
)

// Once gives an act for the first attempt of all and Work for the rest. It may be shared by backends.
func OnFirstAttempt(act Behavior) func(Attempt) Behavior {
	var once sync.Once
	return func(Attempt) Behavior {
		now := ServeNormally
		once.Do(func() { now = act })
		return now
	}
}

// BackendConfig says what a backend is like.
type BackendConfig struct {
	Name         string
	Zone         string
	InstanceType string
	Cell         *Cell
	// Slots work at once, Queue wait; what is beyond is turned away. 0: no bound on either.
	Slots, Queue int
	// Work is how long a request of a class works, on a warm backend.
	WorkTime func(class string) time.Duration
	// Act overrides what happens with an attempt; nil: Work.
	Behavior func(a Attempt) Behavior
	// Keyed tells which classes have effects that must stay single.
	IdempotentByKey func(class string) bool
	// A backend that has just started has ColdFrom of its capacity, and all of it after WarmWithin. Sent more than
	// FallMultiple times what it can do for FallFor, it falls over and stays down. FallMultiple 0: it does not.
	SlowStartMinCapacity float64
	SlowStartWindow      time.Duration
	OverloadFactor       float64
	OverloadDuration     time.Duration
	// Capacity is what it can do warm, in requests a second; 0: what its slots and work come to. Where it is given,
	// work takes as long on a cold backend, which then shows that it is cold by falling alone.
	Capacity float64
	// Cold starts it cold; else it has run for long.
	StartCold bool
	Ledger    *Ledger
	Meter     *Meter // nil: answers tell no use
	GRPC      bool   // it speaks gRPC; its methods' names end with its classes
}

// Backend is a stand-in for one backend.
type Backend struct {
	config    BackendConfig
	addr      string
	startedAt time.Time // zero: long ago
	server    *http.Server
	grpc      *GRPCBackend
	slots     chan struct{}

	mu             sync.Mutex
	draining       bool
	overloaded     bool
	admitted       int
	recentArrivals []time.Time // arrivals within FallFor, while cold
}

// StartBackend starts a backend on a loopback port of the system's choosing.
func StartBackend(c BackendConfig) (*Backend, error) {
	b := &Backend{config: c}
	if c.Slots > 0 {
		b.slots = make(chan struct{}, c.Slots)
	}
	if c.StartCold {
		b.startedAt = time.Now()
	}
	var err error
	if c.GRPC {
		if b.grpc, err = StartGRPC(GRPCConfig{execute: b.execute}); err == nil {
			b.addr = b.grpc.Addr()
		}
		return b, err
	}
	b.server, b.addr, err = listen(b)
	return b, err
}

// listen serves a handler on a loopback port of the system's choosing.
func listen(h http.Handler) (*http.Server, string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, "", err
	}
	s := &http.Server{Handler: h, ErrorLog: log.New(io.Discard, "", 0)}
	go func() { _ = s.Serve(ln) }()
	return s, ln.Addr().String(), nil
}

// Addr is where it listens.
func (b *Backend) Addr() string { return b.addr }

// Endpoint is its entry in discovery's list.
func (b *Backend) Endpoint() platform.Endpoint {
	e := platform.Endpoint{Name: b.config.Name, Addr: b.addr, Zone: b.config.Zone, InstanceType: b.config.InstanceType, Health: "Ready", Weight: 1}
	if b.config.Cell != nil {
		e.Cell = b.config.Cell.Number
	}
	if !b.startedAt.IsZero() {
		e.StartedAtMS = b.startedAt.UnixMilli()
	}
	return e
}

// Drain has it turn new work away and end what it has.
func (b *Backend) Drain() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.draining = true
}

// Kill ends it at once: its connections are reset, new ones refused.
func (b *Backend) Kill() {
	if b.grpc != nil {
		b.grpc.Kill()
		return
	}
	b.server.Close()
}

// Fallen tells whether it was sent too much while it was cold.
func (b *Backend) Overloaded() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.overloaded
}

// warmth is the share of its capacity that it has.
func (b *Backend) capacityShare(now time.Time) float64 {
	if b.startedAt.IsZero() || b.config.SlowStartWindow <= 0 {
		return 1
	}
	age := float64(now.Sub(b.startedAt)) / float64(b.config.SlowStartWindow)
	return min(1, b.config.SlowStartMinCapacity+(1-b.config.SlowStartMinCapacity)*age)
}

// arrive counts an arrival and tells whether the attempt is taken.
func (b *Backend) admit(now time.Time, work time.Duration) (taken bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	capacity := b.config.Capacity
	if capacity == 0 && work > 0 {
		capacity = float64(b.config.Slots) / work.Seconds()
	}
	if w := b.capacityShare(now); w < 1 && b.config.OverloadFactor > 0 && capacity > 0 {
		for len(b.recentArrivals) > 0 && now.Sub(b.recentArrivals[0]) > b.config.OverloadDuration {
			b.recentArrivals = b.recentArrivals[1:]
		}
		b.recentArrivals = append(b.recentArrivals, now)
		can := w * capacity * b.config.OverloadDuration.Seconds()
		if now.Sub(b.startedAt) > b.config.OverloadDuration && float64(len(b.recentArrivals)) > b.config.OverloadFactor*can {
			b.overloaded = true
		}
	}
	if b.overloaded || b.draining || b.config.Queue > 0 && b.admitted >= b.config.Queue+b.config.Slots {
		return false
	}
	b.admitted++
	return true
}

func (b *Backend) release() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.admitted--
}

// ServeHTTP is one attempt.
func (b *Backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	class, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	if r.Header.Get("Request-Id") == "" {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, 1<<20))
	if err != nil {
		return // it has not come whole
	}
	a := &Attempt{Class: class, ID: r.Header.Get("Request-Id"), Key: r.Header.Get("Idempotency-Key"),
		RemoteAddr: r.RemoteAddr, Body: string(body), Timeout: r.Header.Get("Request-Timeout")}
	act, use, ok := b.execute(r.Context(), a)
	if !ok {
		return
	}
	if use != "" {
		w.Header().Set("X-RateLimit-Used", use)
	}
	switch act {
	case ServeNormally:
		io.WriteString(w, responseBody(a.ID))
	case RejectNotStarted:
		w.Header().Set("Not-Started", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	case ExecuteThenError:
		w.WriteHeader(http.StatusInternalServerError)
	case ExecuteThenHang, HangWithoutExecution:
		<-r.Context().Done()
	default:
		b.breakResponse(w, act)
	}
}

// deal is what becomes of an attempt that has come whole, short of its answer: how it is to be answered, with the use that
// the meter tells, if it does; !ok: the client has left. ctx ends when the client leaves.
func (b *Backend) execute(ctx context.Context, a *Attempt) (act Behavior, use string, ok bool) {
	c := &b.config
	now := time.Now()
	a.Backend, a.At = c.Name, now
	if c.Cell != nil {
		a.Cell = c.Cell.Number
	}
	c.Ledger.add(a)
	if c.Behavior != nil {
		act = c.Behavior(*a)
	}
	work := time.Duration(0)
	if c.WorkTime != nil {
		work = c.WorkTime(a.Class)
	}
	if act == RejectNotStarted || act == ServeNormally && !b.admit(now, work) {
		c.Ledger.finish(a, "turned away", false)
		return RejectNotStarted, "", true
	}
	if act == ServeNormally {
		defer b.release()
		if c.Capacity == 0 {
			work = time.Duration(float64(work) / b.capacityShare(now))
		}
		if !b.process(ctx, work) {
			c.Ledger.finish(a, "given up", false) // the client left while it waited or worked
			return act, "", false
		}
	}
	effect := act != HangWithoutExecution && act != ResetWithoutExecution && (c.IdempotentByKey == nil || c.IdempotentByKey(a.Class)) && c.Cell.firstUse(a.Key, now)
	if c.Meter != nil {
		if v, ok := c.Meter.recordAttempt(a.ID, now); ok {
			use = strconv.FormatFloat(v, 'f', 1, 64)
		}
	}
	c.Ledger.finish(a, map[Behavior]string{ServeNormally: "served", ExecuteThenError: "error", ExecuteThenHang: "hung", HangWithoutExecution: "hung", ExecuteThenReset: "broken",
		ResetWithoutExecution: "broken", ExecuteThenGarble: "spoilt", ExecuteThenTruncate: "cut"}[act], effect)
	return act, use, true
}

// answerTo is the body that only this request's answer has.
func responseBody(id string) string { return "done " + id + "\n" }

// work waits for a slot and works; false if the client left meanwhile.
func (b *Backend) process(ctx context.Context, d time.Duration) bool {
	if b.slots != nil {
		select {
		case b.slots <- struct{}{}:
			defer func() { <-b.slots }()
		case <-ctx.Done():
			return false
		}
	}
	if d <= 0 {
		return true
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// spoil ends an attempt below HTTP.
func (b *Backend) breakResponse(w http.ResponseWriter, act Behavior) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	switch act {
	case ExecuteThenGarble:
		_, _ = io.WriteString(conn, "\x00\x01noise\r\n\r\n")
	case ExecuteThenTruncate:
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf")
	default:
		if tcp, ok := conn.(*net.TCPConn); ok {
			tcp.SetLinger(0)
		}
	}
}
