package consul

import (
	"context"
	"errors"
	"testing"
	"time"

	"pumicecroft/internal/fakes"
	"pumicecroft/internal/hosttest"
)

// A gateway is registered while it serves: its check is passing and renewed, it is registered again when the agent
// has lost it, its check is critical while it drains, and it is deregistered at the end.
func TestRegistration(t *testing.T) {
	t.Parallel()
	agent := startAgent(t)
	c, err := New(Config{Address: agent.Addr()})
	if err != nil {
		t.Fatal(err)
	}
	waitForStatus := func(want string) {
		t.Helper()
		for end := time.Now().Add(hosttest.WaitTimeout); ; time.Sleep(2 * time.Millisecond) {
			got := agent.Instances("gateways")["agent/gateway-1"]
			if got == want {
				return
			}
			if time.Now().After(end) {
				t.Fatalf("status of the registration is %q, want %q", got, want)
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
	waitForStatus("passing")
	const severalTTLs = 2 * time.Second
	for until := time.Now().Add(severalTTLs); time.Now().Before(until); time.Sleep(5 * time.Millisecond) {
		if got := agent.Instances("gateways")["agent/gateway-1"]; got != "passing" {
			t.Fatalf("status of the registration is %q, want passing", got)
		}
	}
	agent.Remove("agent", "gateway-1") // as if the agent had lost its registrations
	waitForStatus("")
	waitForStatus("passing")
	if err := agent.SetFault(fakes.ConsulRefusesConnections); err != nil {
		t.Fatal(err)
	}
	if err := <-results; err == nil {
		t.Error("OnResult got nil, want the error of the failed call")
	}
	waitForStatus("critical") // the TTL expires, as the check can't be renewed
	if err := agent.SetFault(fakes.ConsulHealthy); err != nil {
		t.Fatal(err)
	}
	waitForStatus("passing")
	for err := errors.New("not yet"); err != nil; {
		err = <-results // until a call succeeds
	}
	close(draining)
	waitForStatus("critical")
	cancel()
	if err := <-ended; err != nil {
		t.Errorf("Register returned %v, want nil", err)
	}
	waitForStatus("")

	// An agent that does not respond delays the return of Register only by the timeout of the deregistration.
	ctx, cancel = context.WithCancel(t.Context())
	go func() {
		registration := Registration{Name: "gateways", ID: "gateway-1", Address: "127.0.0.1:8080", TTL: time.Second}
		ended <- c.Register(ctx, registration, nil)
	}()
	waitForStatus("passing")
	if err := agent.SetFault(fakes.ConsulSilent); err != nil {
		t.Fatal(err)
	}
	start := time.Now()
	cancel()
	if err := <-ended; err == nil || time.Since(start) > 2*deregisterTimeout {
		t.Errorf("Register returned %v after %v, want an error within %v", err, time.Since(start), 2*deregisterTimeout)
	}
	err = c.Register(t.Context(), Registration{Name: "gateways", Address: "nowhere"}, nil)
	if !errors.Is(err, ErrConfig) {
		t.Errorf("invalid address: %v, want %v", err, ErrConfig)
	}
}
