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

// Behavior is what a backend does with one attempt.
type Behavior int

// The behaviors of a backend. The zero value is ServeNormally.
const (
	ServeNormally         Behavior = iota // wait for a slot, execute and respond
	ExecuteThenHang                       // execute and don't respond, until the connection ends
	HangWithoutExecution                  // neither execute nor respond, until the connection ends
	ExecuteThenReset                      // execute and reset the connection instead of responding
	ExecuteThenError                      // execute and respond 500
	RejectNotStarted                      // respond 503 with Not-Started, which proves that it was not executed
	ExecuteThenGarble                     // execute and respond with bytes that are not HTTP
	ExecuteThenTruncate                   // execute and close the connection in the middle of the response
	ResetWithoutExecution                 // reset the connection; the gateway can't know that it was not executed
)

// outcomes are the values of Attempt.Outcome, by behavior. For RejectNotStarted, execute sets "rejected".
var outcomes = map[Behavior]string{
	ServeNormally: "served", ExecuteThenError: "error", ExecuteThenHang: "hung", HangWithoutExecution: "hung",
	ExecuteThenReset: "broken", ResetWithoutExecution: "broken", ExecuteThenGarble: "spoilt",
	ExecuteThenTruncate: "cut",
}

// executes reports whether a behavior other than RejectNotStarted executes the attempt.
func (b Behavior) executes() bool { return b != HangWithoutExecution && b != ResetWithoutExecution }

// OnFirstAttempt returns a function for BackendConfig.Behavior that returns behavior for the first attempt and
// ServeNormally for later ones. Several backends may share it; then it counts the attempts of all of them.
func OnFirstAttempt(behavior Behavior) func(Attempt) Behavior {
	var once sync.Once
	return func(Attempt) Behavior {
		current := ServeNormally
		once.Do(func() { current = behavior })
		return current
	}
}

// BackendConfig configures a Backend.
type BackendConfig struct {
	Name         string
	Zone         string
	InstanceType string
	Cell         *Cell // records idempotency keys; nil means that attempts with a repeated key have their effect again
	// Slots is the number of attempts that are executed concurrently, Queue the number of attempts that wait for a
	// slot. Attempts beyond both are rejected. Slots 0 means no limit of concurrency, Queue 0 that no attempt is
	// rejected.
	Slots, Queue int
	// WorkTime returns the time that a warm backend takes to execute an attempt of a class; nil means none.
	WorkTime func(class string) time.Duration
	// Behavior selects the behavior for an attempt; nil means ServeNormally.
	Behavior func(attempt Attempt) Behavior
	// IdempotentByKey reports whether an execution of a class has an effect, which the ledger records and which
	// happens only once for each key in Cell; nil means that all classes have effects.
	IdempotentByKey func(class string) bool
	// A backend in slow start begins with the share SlowStartMinCapacity of its capacity, which grows to 1 within
	// SlowStartWindow. If it gets more than OverloadFactor times its current capacity during OverloadDuration, it is
	// overloaded and rejects all attempts from then on. OverloadFactor 0 means that it can't be overloaded.
	SlowStartMinCapacity float64
	SlowStartWindow      time.Duration
	OverloadFactor       float64
	OverloadDuration     time.Duration
	// Capacity is that of the warm backend, in requests per second; 0 means Slots divided by the work time. If it is
	// set, an attempt takes as long on a warming backend as on a warm one, so that only an overload shows the
	// difference.
	Capacity float64
	// StartCold makes the backend begin its slow start when it is started; otherwise it is warm.
	StartCold bool
	Ledger    *Ledger
	Meter     *Meter // nil means that responses don't report usage
	GRPC      bool   // the backend speaks gRPC; the class is the last part of the method's name
}

// Backend is a fake backend over HTTP/1.1 or gRPC. It is safe for concurrent use.
type Backend struct {
	config    BackendConfig
	addr      string
	startedAt time.Time // zero means warm
	server    *http.Server
	grpc      *GRPCBackend
	slots     chan struct{}

	mu             sync.Mutex
	draining       bool
	overloaded     bool
	admitted       int         // attempts that are executed or wait for a slot
	recentArrivals []time.Time // arrivals during slow start, within the last OverloadDuration
}

// StartBackend starts a backend on a free loopback port.
func StartBackend(config BackendConfig) (*Backend, error) {
	b := &Backend{config: config}
	if config.Slots > 0 {
		b.slots = make(chan struct{}, config.Slots)
	}
	if config.StartCold {
		b.startedAt = time.Now()
	}
	var err error
	if config.GRPC {
		if b.grpc, err = StartGRPC(GRPCConfig{execute: b.execute}); err == nil {
			b.addr = b.grpc.Addr()
		}
		return b, err
	}
	b.server, b.addr, err = listen(b)
	return b, err
}

// listen serves a handler on a free loopback port.
func listen(h http.Handler) (*http.Server, string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, "", err
	}
	server := &http.Server{Handler: h, ErrorLog: log.New(io.Discard, "", 0)}
	go func() { _ = server.Serve(ln) }()
	return server, ln.Addr().String(), nil
}

// Addr returns the address that the backend listens on.
func (b *Backend) Addr() string { return b.addr }

// Endpoint returns the backend's entry in discovery's list.
func (b *Backend) Endpoint() platform.Endpoint {
	e := platform.Endpoint{
		Name: b.config.Name, Addr: b.addr, Zone: b.config.Zone, InstanceType: b.config.InstanceType,
		Health: "Ready", Weight: 1,
	}
	if b.config.Cell != nil {
		e.Cell = b.config.Cell.Number
	}
	if !b.startedAt.IsZero() {
		e.StartedAtMS = b.startedAt.UnixMilli()
	}
	return e
}

// Drain makes the backend reject new attempts and complete those that it has admitted. Attempts whose Behavior is not
// ServeNormally are not affected.
func (b *Backend) Drain() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.draining = true
}

// Kill stops the backend at once: open connections are closed and new ones are refused.
func (b *Backend) Kill() {
	if b.grpc != nil {
		b.grpc.Kill()
		return
	}
	b.server.Close()
}

// Overloaded reports whether the backend got too many attempts during its slow start.
func (b *Backend) Overloaded() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.overloaded
}

// capacityShare returns the share of its capacity that the backend has at a time: below 1 during slow start.
func (b *Backend) capacityShare(now time.Time) float64 {
	if b.startedAt.IsZero() || b.config.SlowStartWindow <= 0 {
		return 1
	}
	age := float64(now.Sub(b.startedAt)) / float64(b.config.SlowStartWindow)
	return min(1, b.config.SlowStartMinCapacity+(1-b.config.SlowStartMinCapacity)*age)
}

// admit admits an attempt that has arrived, or returns false if it must be rejected. The caller of an admitted attempt
// must call release.
func (b *Backend) admit(now time.Time, workTime time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.recordArrival(now, workTime)
	full := b.config.Queue > 0 && b.admitted >= b.config.Queue+b.config.Slots
	if b.overloaded || b.draining || full {
		return false
	}
	b.admitted++
	return true
}

// recordArrival records an arrival during slow start, which may overload the backend. b.mu must be held.
func (b *Backend) recordArrival(now time.Time, workTime time.Duration) {
	capacity := b.config.Capacity
	if capacity == 0 && workTime > 0 {
		capacity = float64(b.config.Slots) / workTime.Seconds()
	}
	share := b.capacityShare(now)
	if share >= 1 || b.config.OverloadFactor <= 0 || capacity <= 0 {
		return
	}
	for len(b.recentArrivals) > 0 && now.Sub(b.recentArrivals[0]) > b.config.OverloadDuration {
		b.recentArrivals = b.recentArrivals[1:]
	}
	b.recentArrivals = append(b.recentArrivals, now)
	limit := b.config.OverloadFactor * (share * capacity * b.config.OverloadDuration.Seconds())
	if now.Sub(b.startedAt) > b.config.OverloadDuration && float64(len(b.recentArrivals)) > limit {
		b.overloaded = true
	}
}

// release gives back the place of an admitted attempt.
func (b *Backend) release() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.admitted--
}

// maxBodyBytes is the length up to which a backend reads a request body; it ignores the rest.
const maxBodyBytes = 1 << 20

// ServeHTTP handles one attempt over HTTP.
func (b *Backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	class, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	if r.Header.Get("Request-Id") == "" {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		return // the request was not received completely, so it is no attempt
	}
	attempt := &Attempt{
		Class: class, ID: r.Header.Get("Request-Id"), Key: r.Header.Get("Idempotency-Key"),
		RemoteAddr: r.RemoteAddr, Body: string(body), Timeout: r.Header.Get("Request-Timeout"),
	}
	behavior, usage, ok := b.execute(r.Context(), attempt)
	if !ok {
		return
	}
	if usage != "" {
		w.Header().Set("X-RateLimit-Used", usage)
	}
	switch behavior {
	case ServeNormally:
		io.WriteString(w, responseBody(attempt.ID))
	case RejectNotStarted:
		w.Header().Set("Not-Started", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	case ExecuteThenError:
		w.WriteHeader(http.StatusInternalServerError)
	case ExecuteThenHang, HangWithoutExecution:
		<-r.Context().Done()
	default:
		b.breakResponse(w, behavior)
	}
}

// execute handles an attempt that was received completely, up to its response. It returns the behavior by which the
// caller must respond, and the usage to report, empty for none. ok is false if ctx ended during the execution, that
// is, if the client has disconnected.
func (b *Backend) execute(ctx context.Context, attempt *Attempt) (behavior Behavior, usage string, ok bool) {
	config := &b.config
	now := time.Now()
	attempt.Backend, attempt.At = config.Name, now
	if config.Cell != nil {
		attempt.Cell = config.Cell.Number
	}
	config.Ledger.add(attempt)
	if config.Behavior != nil {
		behavior = config.Behavior(*attempt)
	}
	workTime := time.Duration(0)
	if config.WorkTime != nil {
		workTime = config.WorkTime(attempt.Class)
	}
	if behavior == RejectNotStarted || behavior == ServeNormally && !b.admit(now, workTime) {
		config.Ledger.finish(attempt, "rejected", false)
		return RejectNotStarted, "", true
	}
	if behavior == ServeNormally {
		defer b.release()
		if config.Capacity == 0 {
			workTime = time.Duration(float64(workTime) / b.capacityShare(now))
		}
		if !b.process(ctx, workTime) {
			config.Ledger.finish(attempt, "canceled", false)
			return behavior, "", false
		}
	}
	effect := behavior.executes() && (config.IdempotentByKey == nil || config.IdempotentByKey(attempt.Class)) &&
		config.Cell.firstUse(attempt.Key, now)
	if config.Meter != nil {
		if percent, ok := config.Meter.recordAttempt(attempt.ID, now); ok {
			usage = strconv.FormatFloat(percent, 'f', 1, 64)
		}
	}
	config.Ledger.finish(attempt, outcomes[behavior], effect)
	return behavior, usage, true
}

// responseBody returns the body of the response to a request. It is unique to the request.
func responseBody(id string) string { return "done " + id + "\n" }

// process waits for a slot and then for workTime. It returns false if the client has disconnected, which ends ctx.
func (b *Backend) process(ctx context.Context, workTime time.Duration) bool {
	if b.slots != nil {
		select {
		case b.slots <- struct{}{}:
			defer func() { <-b.slots }()
		case <-ctx.Done():
			return false
		}
	}
	if workTime <= 0 {
		return true
	}
	timer := time.NewTimer(workTime)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// breakResponse responds by a behavior that net/http can't express: it writes to the connection itself and closes it.
func (b *Backend) breakResponse(w http.ResponseWriter, behavior Behavior) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	switch behavior {
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
