package consul

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"pumicecroft/internal/fakes"
	"pumicecroft/internal/hosttest"
	"pumicecroft/membership"
)

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
