package consul

import (
	"context"
	"errors"
	"testing"
	"time"

	"pumicecroft/internal/fakes"
	"pumicecroft/internal/hosttest"
)

// A gateway is registered while it serves: passing and renewed, registered again when the agent lost it,
// critical while it drains, and deregistered at the end.
func TestRegistration(t *testing.T) {
	t.Parallel()
	agent := startAgent(t)
	c, err := New(Config{Address: agent.Addr()})
	if err != nil {
		t.Fatal(err)
	}
	status := func(want string) {
		t.Helper()
		for end := time.Now().Add(hosttest.WaitTimeout); ; time.Sleep(2 * time.Millisecond) {
			got := agent.Instances("gateways")["agent/gateway-1"]
			if got == want {
				return
			}
			if time.Now().After(end) {
				t.Fatalf("it is %q, want %q", got, want)
			}
		}
	}
	ctx, cancel := context.WithCancel(t.Context())
	draining, ended, results := make(chan struct{}), make(chan error), make(chan error, 100)
	go func() {
		ended <- c.Register(ctx, Registration{
			Name:     "gateways",
			ID:       "gateway-1",
			Address:  "127.0.0.1:8080",
			TTL:      600 * time.Millisecond,
			OnResult: func(err error) { results <- err },
		}, draining)
	}()
	status("passing")
	const severalTTLs = 2 * time.Second
	for until := time.Now().Add(severalTTLs); time.Now().Before(until); time.Sleep(5 * time.Millisecond) {
		if got := agent.Instances("gateways")["agent/gateway-1"]; got != "passing" {
			t.Fatalf("it is %q", got)
		}
	}
	agent.Remove("agent", "gateway-1") // the agent was reset
	status("")
	status("passing")
	if err := agent.SetFault(fakes.ConsulRefusesConnections); err != nil {
		t.Fatal(err)
	}
	if err := <-results; err == nil {
		t.Error("the failure was not reported")
	}
	status("critical") // by its TTL, as nobody could renew it
	if err := agent.SetFault(fakes.ConsulHealthy); err != nil {
		t.Fatal(err)
	}
	status("passing")
	for err := errors.New("not yet"); err != nil; {
		err = <-results // until a call succeeds
	}
	close(draining)
	status("critical")
	cancel()
	if err := <-ended; err != nil {
		t.Errorf("the end: %v", err)
	}
	status("")

	// An agent that can't be reached does not delay the end for long.
	ctx, cancel = context.WithCancel(t.Context())
	go func() {
		registration := Registration{Name: "gateways", ID: "gateway-1", Address: "127.0.0.1:8080", TTL: time.Second}
		ended <- c.Register(ctx, registration, nil)
	}()
	status("passing")
	if err := agent.SetFault(fakes.ConsulSilent); err != nil {
		t.Fatal(err)
	}
	start := time.Now()
	cancel()
	if err := <-ended; err == nil || time.Since(start) > 2*deregisterTimeout {
		t.Errorf("the end: %v after %v", err, time.Since(start))
	}
	err = c.Register(t.Context(), Registration{Name: "gateways", Address: "nowhere"}, nil)
	if !errors.Is(err, ErrConfig) {
		t.Errorf("a bad address: %v", err)
	}
}
