// Package hosttest holds the fixture of tests that act as the host of a Gateway: a Gateway with fake backends, in the
// test's own process. It listens on loopback only. Everything that it starts is stopped when the test ends.
package hosttest

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"pumicecroft"
	"pumicecroft/decision"
	"pumicecroft/internal/fakes"
	"pumicecroft/internal/platform"
)

// WaitTimeout is how long a test waits for something that must happen.
const WaitTimeout = 20 * time.Second

// Fixture is a Gateway with fake backends.
type Fixture struct {
	Gateway  *pumicecroft.Gateway
	Ledger   *fakes.Ledger
	Backends []*fakes.Backend
	t        testing.TB
	mu       sync.Mutex
	lastID   uint64
}

// Config returns a configuration with an idempotent class ("look"), one that is idempotent by key ("pay") and a
// non-idempotent one ("once"); and with plans without limits ("shop"), with one attempt in flight at most ("one"), and
// with a quota of ten units ("tiny").
func Config() pumicecroft.Config {
	class := func(name string, idempotency decision.Idempotency) decision.Class {
		return decision.Class{
			Name: name, Idempotency: idempotency, DedupScope: decision.DedupScopeCell, DedupWindow: 5 * time.Second,
			LatencyObjective: 10 * time.Second, Deadline: 15 * time.Second, PriorityWeight: 1,
		}
	}
	return pumicecroft.Config{Seed: 1, Settings: decision.Settings{
		GatewayCount: 1, MaxAttempts: 3, CanCancel: true, MaxRetryAfter: 900 * time.Millisecond,
		Classes: []decision.Class{
			class("look", decision.Idempotent),
			class("pay", decision.IdempotentByKey),
			class("once", decision.NonIdempotent),
		},
		Plans: []decision.Plan{
			{Name: "shop", Price: 1},
			{Name: "one", MaxInFlight: 1, Price: 1},
			{Name: "tiny", Rate: 0.01, Burst: 10, Price: 1},
		},
	}}
}

// New starts a gateway with n backends in one cell. behavior and change, which edits the configuration, may be nil.
func New(
	t testing.TB, n int, behavior func(fakes.Attempt) fakes.Behavior, change func(*pumicecroft.Config),
	options ...pumicecroft.Option,
) *Fixture {
	t.Helper()
	f := &Fixture{t: t, Ledger: &fakes.Ledger{}, lastID: 0xab0000}
	list := platform.EndpointUpdate{Full: true}
	cell := &fakes.Cell{Window: 5 * time.Second}
	for i := range n {
		b, err := fakes.StartBackend(fakes.BackendConfig{
			Name: fmt.Sprintf("b%d", i), Ledger: f.Ledger, Behavior: behavior, Cell: cell,
			IdempotentByKey: func(class string) bool { return class != "look" },
		})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(b.Kill)
		f.Backends = append(f.Backends, b)
		list.Endpoints = append(list.Endpoints, b.Endpoint())
	}
	c := Config()
	c.InitialEndpoints = list.Membership()
	if change != nil {
		change(&c)
	}
	gateway, err := pumicecroft.New(c, options...)
	if err != nil {
		t.Fatal(err)
	}
	f.Gateway = gateway
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), WaitTimeout)
		defer cancel()
		if err := gateway.Close(ctx); err != nil {
			t.Errorf("closing the gateway: %v", err)
		}
	})
	return f
}

// NewRequest returns a request with a unique ID, and with an idempotency key and a body unless the class is idempotent.
func (f *Fixture) NewRequest(class string) fakes.Request {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lastID++
	request := fakes.Request{ID: f.lastID, Class: class, Customer: 7, Plan: "shop", Timeout: 15 * time.Second}
	if class != "look" {
		request.Key, request.Body = fmt.Sprintf("key-%x", f.lastID), "amount=3"
	}
	return request
}

// Serve serves a handler on a free loopback port and returns the address. change, which edits the server, may be nil.
func Serve(t testing.TB, h http.Handler, change func(*http.Server)) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &http.Server{Handler: h}
	if change != nil {
		change(s)
	}
	go func() { _ = s.Serve(ln) }()
	t.Cleanup(func() { s.Close() })
	return ln.Addr().String()
}

// Do sends a request on a connection of its own and returns the reply.
func Do(t testing.TB, request fakes.Request, addr string) fakes.Reply {
	t.Helper()
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	return request.Do(t.Context(), transport, addr)
}

// AwaitIdle waits until the gateway has no open request.
func (f *Fixture) AwaitIdle() {
	f.t.Helper()
	for end := time.Now().Add(WaitTimeout); f.Gateway.OpenRequests() > 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			f.t.Fatalf("%d requests are open after %v, want 0", f.Gateway.OpenRequests(), WaitTimeout)
		}
	}
}

// RequireFreeSlot fails the test unless the one slot of plan "one" is free, so that a request is served at once.
func (f *Fixture) RequireFreeSlot() {
	f.t.Helper()
	response, err := f.Gateway.Do(f.t.Context(), pumicecroft.Request{Class: "look", Plan: "one", Customer: 7})
	if err != nil || !strings.HasPrefix(string(response.Body), "done ") {
		f.t.Errorf("the plan's one slot is not free: %v", err)
	}
}
