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
type Act int

// The acts.
const (
	Work         Act = iota // as a backend does: wait for a slot, work, answer
	Hang                    // run, and never answer; ends when the connection does
	HangUnrun               // never run and never answer
	RunAndBreak             // run, and reset the connection in place of an answer
	RunAndError             // run, and answer 500
	TurnAway                // 503 with the proof that it has not run
	RunAndSpoil             // run, and answer with noise
	RunAndCut               // run, and end the connection midway through the answer
	BreakUnheard            // reset the connection; it has not run, which the other side cannot know
)

// Once gives an act for the first attempt of all and Work for the rest. It may be shared by backends.
func Once(act Act) func(Attempt) Act {
	var once sync.Once
	return func(Attempt) Act {
		now := Work
		once.Do(func() { now = act })
		return now
	}
}

// BackendConfig says what a backend is like.
type BackendConfig struct {
	Name string
	Zone string
	Kind string
	Cell *Cell
	// Slots work at once, Queue wait; what is beyond is turned away. 0: no bound on either.
	Slots, Queue int
	// Work is how long a request of a class works, on a warm backend.
	Work func(class string) time.Duration
	// Act overrides what happens with an attempt; nil: Work.
	Act func(a Attempt) Act
	// Keyed tells which classes have effects that must stay single.
	Keyed func(class string) bool
	// A backend that has just started has ColdFrom of its capacity, and all of it after WarmWithin. Sent more than
	// FallMultiple times what it can do for FallFor, it falls over and stays down. FallMultiple 0: it does not.
	ColdFrom     float64
	WarmWithin   time.Duration
	FallMultiple float64
	FallFor      time.Duration
	// Capacity is what it can do warm, in requests a second; 0: what its slots and work come to. Where it is given,
	// work takes as long on a cold backend, which then shows that it is cold by falling alone.
	Capacity float64
	// Cold starts it cold; else it has run for long.
	Cold   bool
	Ledger *Ledger
	Meter  *Meter // nil: answers tell no use
	GRPC   bool   // it speaks gRPC; its methods' names end with its classes
}

// Backend is a stand-in for one backend.
type Backend struct {
	config BackendConfig
	addr   string
	born   time.Time // zero: long ago
	server *http.Server
	grpc   *GRPCBackend
	slots  chan struct{}

	mu       sync.Mutex
	draining bool
	fallen   bool
	waiting  int
	recent   []time.Time // arrivals within FallFor, while cold
}

// StartBackend starts a backend on a loopback port of the system's choosing.
func StartBackend(c BackendConfig) (*Backend, error) {
	b := &Backend{config: c}
	if c.Slots > 0 {
		b.slots = make(chan struct{}, c.Slots)
	}
	if c.Cold {
		b.born = time.Now()
	}
	var err error
	if c.GRPC {
		if b.grpc, err = StartGRPC(GRPCConfig{deal: b.deal}); err == nil {
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
	e := platform.Endpoint{Name: b.config.Name, Addr: b.addr, Zone: b.config.Zone, InstanceType: b.config.Kind, Health: "Ready", Weight: 1}
	if b.config.Cell != nil {
		e.Cell = b.config.Cell.Number
	}
	if !b.born.IsZero() {
		e.StartedAtMS = b.born.UnixMilli()
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
func (b *Backend) Fallen() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.fallen
}

// warmth is the share of its capacity that it has.
func (b *Backend) warmth(now time.Time) float64 {
	if b.born.IsZero() || b.config.WarmWithin <= 0 {
		return 1
	}
	age := float64(now.Sub(b.born)) / float64(b.config.WarmWithin)
	return min(1, b.config.ColdFrom+(1-b.config.ColdFrom)*age)
}

// arrive counts an arrival and tells whether the attempt is taken.
func (b *Backend) arrive(now time.Time, work time.Duration) (taken bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	capacity := b.config.Capacity
	if capacity == 0 && work > 0 {
		capacity = float64(b.config.Slots) / work.Seconds()
	}
	if w := b.warmth(now); w < 1 && b.config.FallMultiple > 0 && capacity > 0 {
		for len(b.recent) > 0 && now.Sub(b.recent[0]) > b.config.FallFor {
			b.recent = b.recent[1:]
		}
		b.recent = append(b.recent, now)
		can := w * capacity * b.config.FallFor.Seconds()
		if now.Sub(b.born) > b.config.FallFor && float64(len(b.recent)) > b.config.FallMultiple*can {
			b.fallen = true
		}
	}
	if b.fallen || b.draining || b.config.Queue > 0 && b.waiting >= b.config.Queue+b.config.Slots {
		return false
	}
	b.waiting++
	return true
}

func (b *Backend) leave() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.waiting--
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
		Conn: r.RemoteAddr, Body: string(body), Timeout: r.Header.Get("Request-Timeout")}
	act, use, ok := b.deal(r.Context(), a)
	if !ok {
		return
	}
	if use != "" {
		w.Header().Set("X-RateLimit-Used", use)
	}
	switch act {
	case Work:
		io.WriteString(w, answerTo(a.ID))
	case TurnAway:
		w.Header().Set("Not-Started", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	case RunAndError:
		w.WriteHeader(http.StatusInternalServerError)
	case Hang, HangUnrun:
		<-r.Context().Done()
	default:
		b.spoil(w, act)
	}
}

// deal is what becomes of an attempt that has come whole, short of its answer: how it is to be answered, with the use that
// the meter tells, if it does; !ok: the client has left. ctx ends when the client leaves.
func (b *Backend) deal(ctx context.Context, a *Attempt) (act Act, use string, ok bool) {
	c := &b.config
	now := time.Now()
	a.Backend, a.At = c.Name, now
	if c.Cell != nil {
		a.Cell = c.Cell.Number
	}
	c.Ledger.add(a)
	if c.Act != nil {
		act = c.Act(*a)
	}
	work := time.Duration(0)
	if c.Work != nil {
		work = c.Work(a.Class)
	}
	if act == TurnAway || act == Work && !b.arrive(now, work) {
		c.Ledger.end(a, "turned away", false)
		return TurnAway, "", true
	}
	if act == Work {
		defer b.leave()
		if c.Capacity == 0 {
			work = time.Duration(float64(work) / b.warmth(now))
		}
		if !b.work(ctx, work) {
			c.Ledger.end(a, "given up", false) // the client left while it waited or worked
			return act, "", false
		}
	}
	effect := act != HangUnrun && act != BreakUnheard && (c.Keyed == nil || c.Keyed(a.Class)) && c.Cell.first(a.Key, now)
	if c.Meter != nil {
		if v, ok := c.Meter.count(a.ID, now); ok {
			use = strconv.FormatFloat(v, 'f', 1, 64)
		}
	}
	c.Ledger.end(a, map[Act]string{Work: "served", RunAndError: "error", Hang: "hung", HangUnrun: "hung", RunAndBreak: "broken",
		BreakUnheard: "broken", RunAndSpoil: "spoilt", RunAndCut: "cut"}[act], effect)
	return act, use, true
}

// answerTo is the body that only this request's answer has.
func answerTo(id string) string { return "done " + id + "\n" }

// work waits for a slot and works; false if the client left meanwhile.
func (b *Backend) work(ctx context.Context, d time.Duration) bool {
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
func (b *Backend) spoil(w http.ResponseWriter, act Act) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	switch act {
	case RunAndSpoil:
		_, _ = io.WriteString(conn, "\x00\x01noise\r\n\r\n")
	case RunAndCut:
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf")
	default:
		if tcp, ok := conn.(*net.TCPConn); ok {
			tcp.SetLinger(0)
		}
	}
}
