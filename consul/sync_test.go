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

// What the agent knew when CatchUp was asked for has been reported when it returns, whatever the questions were at; an agent that can't be
// heard is waited for as long as the caller says, and not at all if it could not be heard before.
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
		case <-time.After(hosttest.Patience):
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
			t.Errorf("%s was registered before the question, and is not among %v", name, known)
		}
		mu.Unlock()
	}
	since := time.Now()
	if err := r.agent.Fail(fakes.Refusing); err != nil {
		t.Fatal(err)
	}
	if err := w.Sync(t.Context(), since); err == nil {
		t.Error("an agent that refuses has answered")
	}
	await(failed, "the failure to be reported")
	if err := w.Sync(t.Context(), time.Now()); !errors.Is(err, errSilent) {
		t.Errorf("an agent that was away before is waited for: %v", err)
	}
	stop()
	await(ran, "the end")
}
