package consul

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"pumicecroft/internal/fakes"
	"pumicecroft/internal/hosttest"
	"pumicecroft/internal/testkit"
	"pumicecroft/internal/unread"
	"pumicecroft/membership"
)

// The agent fails for a moment, and nothing changes at Consul. Once it responds again Sync must not pass over the queries
// as failing: a drain that arrives while the process is paused was passed over with them.
func TestSyncAfterFailure(t *testing.T) {
	f := newFixture(t, func(c *Config) { c.Wait = time.Minute })
	f.startBackend(nil)
	w := f.client.Service(Service{Name: serviceName, HealthOnly: true})
	updated, failed := make(chan bool, 100), make(chan bool, 100)
	go w.Run(t.Context(), func(update membership.Update) {
		if update.Err != nil {
			failed <- true
		} else {
			updated <- true
		}
	})
	testkit.Await(t, updated, "the first update")
	if err := f.agent.SetFault(fakes.ConsulRefusesConnections); err != nil {
		t.Fatal(err)
	}
	testkit.Await(t, failed, "the failure")
	if err := f.agent.SetFault(fakes.ConsulHealthy); err != nil {
		t.Fatal(err)
	}
	testkit.Await(t, updated, "an update after the failure")
	if err := w.Sync(t.Context(), time.Now()); err != nil {
		t.Errorf("Sync after the agent has responded again: %v", err)
	}
}

// A query fails, and the response to the next one arrives while the process is paused. Sync must wait for it, although
// the query was failing before the pause. It must not wait if nothing has arrived, or the query has ended.
func TestSyncWaitsForArrivedResponse(t *testing.T) {
	agent, gateway := startWaitingRead(t)
	state := &queryState{wake: make(chan struct{}, 1)}
	state.begin(func() {})
	state.end(nil, errTimeout)
	paused := time.Now()
	state.begin(func() { t.Error("the query was restarted, want it to end first") })
	state.setConn(gateway)
	if state.requestRefresh(paused) != nil {
		t.Error("Sync waits for a failing query to which nothing has arrived")
	}
	if _, err := agent.Write([]byte("HTTP/1.1 200 OK")); err != nil {
		t.Fatal(err)
	}
	for deadline := time.Now().Add(testkit.WaitTimeout); gateway.BytesRead() == 0 && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond)
	}
	if state.requestRefresh(paused) == nil {
		t.Error("Sync does not wait for a response that has begun to arrive")
	}
	state.end(nil, errTimeout)
	if state.requestRefresh(time.Now()) != nil {
		t.Error("Sync waits for a failing query that has ended")
	}
}

// startWaitingRead returns both ends of a connection. A read of the gateway's end waits for bytes.
func startWaitingRead(t *testing.T) (agent net.Conn, gateway *unread.Conn) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	dialed, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = dialed.Close() })
	if agent, err = ln.Accept(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = agent.Close() })
	gateway = unread.New(dialed, nil)
	go func() { _, _ = io.Copy(io.Discard, gateway) }()
	for deadline := time.Now().Add(testkit.WaitTimeout); !gateway.FullyRead() && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond)
	}
	return agent, gateway
}

// After a pause of the process, Sync must return only when everything that the agent knew at the time of the call
// has been reported, whatever the state of the queries. It waits for a query whose failure begins after since, but
// not for one that was failing before.
func TestSync(t *testing.T) {
	f := newFixture(t, func(c *Config) { c.Wait = 10 * time.Second })
	f.startBackend(nil)
	w := f.client.Service(Service{Name: serviceName})
	var mu sync.Mutex
	known, failed := map[string]bool{}, make(chan bool, 100)
	updated := make(chan bool, 100)
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan bool)
	go func() {
		defer close(ended)
		w.Run(ctx, func(update membership.Update) {
			mu.Lock()
			defer mu.Unlock()
			if update.Err != nil {
				failed <- true
				return
			}
			clear(known)
			for _, n := range update.Nodes {
				known[n.Name] = true
			}
			updated <- true
		})
	}()
	await := func(c chan bool, what string) {
		t.Helper()
		select {
		case <-c:
		case <-time.After(hosttest.WaitTimeout):
			t.Fatalf("timed out waiting for %s", what)
		}
	}
	await(updated, "the first update")
	for range 20 {
		name := f.startBackend(nil)
		if err := w.Sync(t.Context(), time.Now()); err != nil {
			t.Fatal(err)
		}
		mu.Lock()
		if !known["n1/"+name] && !known[name] {
			t.Errorf("known nodes are %v, want %s among them, which was registered before Sync", known, name)
		}
		mu.Unlock()
	}
	since := time.Now()
	if err := f.agent.SetFault(fakes.ConsulRefusesConnections); err != nil {
		t.Fatal(err)
	}
	if err := w.Sync(t.Context(), since); err == nil {
		t.Error("Sync succeeded with an agent that refuses connections, want an error")
	}
	await(failed, "the failure to be reported")
	if err := w.Sync(t.Context(), time.Now()); !errors.Is(err, errTimeout) {
		t.Errorf("Sync with an agent that was failing before: %v, want %v", err, errTimeout)
	}
	stop()
	await(ended, "Run to return")
}
