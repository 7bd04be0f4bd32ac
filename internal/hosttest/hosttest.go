// Package hosttest is what tests of hosts share: a Door over stand-in backends, in the test's own process.
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

// Patience is how long a test waits for something that must happen.
const WaitTimeout = 20 * time.Second

// Rig is a Door over backends.
type Fixture struct {
	Gateway  *pumicecroft.Gateway
	Ledger   *fakes.Ledger
	Backends []*fakes.Backend
	t        testing.TB
	mu       sync.Mutex
	lastID   uint64
}

// Config is a deployment with a safe, a keyed and an unsafe class, a plan without bounds ("shop"), one that may
// have one attempt out ("one") and one of ten units ("tiny").
func Config() pumicecroft.Config {
	class := func(name string, e decision.Idempotency) decision.Class {
		return decision.Class{Name: name, Idempotency: e, DedupScope: decision.DedupScopeCell, DedupWindow: 5 * time.Second,
			LatencyObjective: 10 * time.Second, Deadline: 15 * time.Second, PriorityWeight: 1}
	}
	return pumicecroft.Config{Seed: 1, Settings: decision.Settings{GatewayCount: 1, MaxAttempts: 3, CanCancel: true,
		MaxRetryAfter: 900 * time.Millisecond,
		Classes:       []decision.Class{class("look", decision.Idempotent), class("pay", decision.IdempotentByKey), class("once", decision.NonIdempotent)},
		Plans: []decision.Plan{{Name: "shop", Price: 1}, {Name: "one", MaxInFlight: 1, Price: 1},
			{Name: "tiny", Rate: 0.01, Burst: 10, Price: 1}}}}
}

// New makes one with n backends in one cell; act may be nil, and change too.
func New(t testing.TB, n int, act func(fakes.Attempt) fakes.Behavior, change func(*pumicecroft.Config), options ...pumicecroft.Option) *Fixture {
	t.Helper()
	r := &Fixture{t: t, Ledger: &fakes.Ledger{}, lastID: 0xab0000}
	list := platform.EndpointUpdate{Full: true}
	cell := &fakes.Cell{Window: 5 * time.Second}
	for i := range n {
		b, err := fakes.StartBackend(fakes.BackendConfig{Name: fmt.Sprintf("b%d", i), Ledger: r.Ledger, Behavior: act, Cell: cell,
			IdempotentByKey: func(class string) bool { return class != "look" }})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(b.Kill)
		r.Backends = append(r.Backends, b)
		list.Endpoints = append(list.Endpoints, b.Endpoint())
	}
	c := Config()
	c.InitialEndpoints = list.Membership()
	if change != nil {
		change(&c)
	}
	d, err := pumicecroft.New(c, options...)
	if err != nil {
		t.Fatal(err)
	}
	r.Gateway = d
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), WaitTimeout)
		defer cancel()
		if err := d.Close(ctx); err != nil {
			t.Errorf("the door's end: %v", err)
		}
	})
	return r
}

// Ask is a request with an id of its own.
func (r *Fixture) NewRequest(class string) fakes.Request {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastID++
	a := fakes.Request{ID: r.lastID, Class: class, Customer: 7, Plan: "shop", Timeout: 15 * time.Second}
	if class != "look" {
		a.Key, a.Body = fmt.Sprintf("key-%x", r.lastID), "amount=3"
	}
	return a
}

// Serve serves a handler on a port of the system's choosing and gives the address.
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

// Do asks a server and gives the reply, whatever served it.
func Do(t testing.TB, a fakes.Request, addr string) fakes.Reply {
	t.Helper()
	tr := &http.Transport{}
	defer tr.CloseIdleConnections()
	return a.Do(t.Context(), tr, addr)
}

// Settled waits until a Door keeps nothing.
func (r *Fixture) AwaitIdle() {
	r.t.Helper()
	for end := time.Now().Add(WaitTimeout); r.Gateway.OpenRequests() > 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			r.t.Fatalf("%d requests are kept", r.Gateway.OpenRequests())
		}
	}
}

// Free checks that the one place of plan "one" is free: a request of it is served at once.
func (r *Fixture) RequireFreeSlot() {
	r.t.Helper()
	a, err := r.Gateway.Do(r.t.Context(), pumicecroft.Request{Class: "look", Plan: "one", Customer: 7})
	if err != nil || !strings.HasPrefix(string(a.Body), "done ") {
		r.t.Errorf("the plan's one place is not free: %v", err)
	}
}
