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

// After a pause of the process, Sync must return only when all that the agent knew has been reported, whatever
// the state of the queries. An agent that fails is waited for, but not if it has been failing before.
func TestSync(t *testing.T) {
	r := newFixture(t, func(c *Config) { c.Wait = 10 * time.Second })
	r.start(nil)
	w := r.client.Service(Service{Name: service})
	var mu sync.Mutex
	known, failed := map[string]bool{}, make(chan bool, 100)
	first := make(chan bool, 100)
	ctx, stop := context.WithCancel(t.Context())
	ran := make(chan bool)
	go func() {
		defer close(ran)
		w.Run(ctx, func(l membership.Update) {
			mu.Lock()
			defer mu.Unlock()
			if l.Err != nil {
				failed <- true
				return
			}
			clear(known)
			for _, n := range l.Nodes {
				known[n.Name] = true
			}
			first <- true
		})
	}()
	await := func(c chan bool, what string) {
		t.Helper()
		select {
		case <-c:
		case <-time.After(hosttest.WaitTimeout):
			t.Fatalf("waited in vain for %s", what)
		}
	}
	await(first, "the first list")
	for range 20 {
		name := r.start(nil)
		if err := w.Sync(t.Context(), time.Now()); err != nil {
			t.Fatal(err)
		}
		mu.Lock()
		if !known["n1/"+name] && !known[name] {
			t.Errorf("%s was registered before Sync, and is not among %v", name, known)
		}
		mu.Unlock()
	}
	since := time.Now()
	if err := r.agent.SetFault(fakes.ConsulRefusesConnections); err != nil {
		t.Fatal(err)
	}
	if err := w.Sync(t.Context(), since); err == nil {
		t.Error("synced with an agent that refuses connections")
	}
	await(failed, "the failure to be reported")
	if err := w.Sync(t.Context(), time.Now()); !errors.Is(err, errSilent) {
		t.Errorf("waited for an agent that was failing before: %v", err)
	}
	stop()
	await(ran, "the end")
}
