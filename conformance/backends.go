package conformance

import (
	"sync"
	"testing"
	"time"

	"pumicecroft/internal/fakes"
)

// testDrains checks rule 3: once discovery has reported that a backend is draining or removed, and the
// grace period has passed, no new request goes to it.
func testDrains(t *testing.T, starter Starter, transcript *Transcript) {
	for _, health := range []string{"Terminating", "Gone"} {
		t.Run(health, func(t *testing.T) {
			t.Parallel()
			testDrain(t, starter, transcript, health)
		})
	}
	t.Run("held", func(t *testing.T) {
		t.Parallel()
		testDrainWithOpenRequest(t, starter, transcript)
	})
}

// testDrain makes discovery report the given health for one of two backends under load.
func testDrain(t *testing.T, starter Starter, transcript *Transcript, health string) {
	tc := newTestCase(t, starter)
	tc.startBackend(newCell(0), nil)
	tc.startBackend(newCell(0), nil)
	tc.startGateway(caseConfig{})
	const before, grace, after = 300 * time.Millisecond, 2 * time.Second, 300 * time.Millisecond
	start := time.Now()
	var clients sync.WaitGroup
	for range 4 {
		clients.Go(func() {
			for time.Since(start) < before+grace+after {
				if reply := tc.send(tc.newRequest("look")); reply.String() != "served" {
					t.Errorf("while one backend drains: got %v (%v), want served", reply, reply.Err)
				}
				time.Sleep(5 * time.Millisecond)
			}
		})
	}
	time.Sleep(before)
	tc.discovery.SetHealth("b0", health)
	notifiedAt := time.Now()
	clients.Wait()
	early, late, other := 0, 0, 0
	for _, attempt := range tc.ledger.Attempts() {
		switch {
		case attempt.Backend == "b1" && attempt.At.After(notifiedAt):
			other++
		case attempt.Backend == "b0" && attempt.At.After(notifiedAt.Add(grace)):
			late++
		case attempt.Backend == "b0":
			early++
		}
	}
	if late > 0 || early == 0 || other == 0 {
		t.Errorf("the draining backend got %d attempts after the grace period, want 0, and %d before, want some; "+
			"the other got %d, want some", late, early, other)
	}
	transcript.add("drain "+health, "after the grace: %d", late)
}

// testDrainWithOpenRequest makes a backend with an open request drain. The request must be served.
func testDrainWithOpenRequest(t *testing.T, starter Starter, transcript *Transcript) {
	tc := newTestCase(t, starter)
	release := make(chan bool)
	tc.startBackend(newCell(0), func(c *fakes.BackendConfig) {
		c.Behavior = func(attempt fakes.Attempt) fakes.Behavior {
			if attempt.Body == "hold" {
				<-release
			}
			return fakes.ServeNormally
		}
	})
	tc.startGateway(caseConfig{})
	held := make(chan fakes.Reply, 1)
	request := tc.newRequest("pay")
	request.Body = "hold"
	go func() { held <- tc.send(request) }()
	if !tc.ledger.Await(waitTimeout, func(attempts []fakes.Attempt) bool { return len(attempts) == 1 }) {
		t.Fatalf("the request that the backend holds: %d attempts after %v, want 1",
			len(tc.ledger.Attempts()), waitTimeout)
	}
	tc.discovery.SetHealth("b0", "Terminating")
	noticed := false
	for end := time.Now().Add(waitTimeout); !noticed && time.Now().Before(end); time.Sleep(time.Millisecond) {
		noticed = tc.send(tc.newRequest("look")).String() == "refused" // there is no other backend
	}
	close(release)
	reply := <-held
	if !noticed || reply.String() != "served" {
		t.Errorf("drain noticed: %v, want true; the open request got %v (%v), want served", noticed, reply, reply.Err)
	}
	transcript.add("drain held", "%v", reply)
}

// testColdBackend checks rule 4: a backend that has just started, among warm ones under load, must not
// get so many requests that it is overloaded.
func testColdBackend(t *testing.T, starter Starter, transcript *Transcript) {
	tc := newTestCase(t, starter)
	limits := func(c *fakes.BackendConfig) {
		c.Capacity, c.WorkTime = 400, func(string) time.Duration { return 10 * time.Millisecond }
		c.SlowStartMinCapacity, c.SlowStartWindow, c.OverloadFactor, c.OverloadDuration =
			0.2, 6*time.Second, 0.15, 500*time.Millisecond
	}
	for range 3 {
		tc.startBackend(newCell(0), limits)
	}
	tc.startGateway(caseConfig{})
	cold := tc.startBackend(newCell(0), func(c *fakes.BackendConfig) { limits(c); c.StartCold = true })
	// The load is light: about 75 requests a second for each backend, which has a capacity of 400 when it is warm. The
	// cold backend is overloaded above 0.15 times its current capacity. With the share that slow start allows it stays
	// well below that; with as many requests as a warm backend it would not.
	var clients sync.WaitGroup
	end := time.Now().Add(2500 * time.Millisecond)
	for range 8 {
		clients.Go(func() {
			pace := time.NewTicker(26 * time.Millisecond)
			defer pace.Stop()
			for time.Now().Before(end) {
				if reply := tc.send(tc.newRequest("look")); reply.Status == 0 {
					t.Errorf("no response after %v: %v", reply.Latency, reply.Err)
				}
				<-pace.C
			}
		})
	}
	clients.Wait()
	got, all := 0, tc.ledger.Attempts()
	for _, attempt := range all {
		if attempt.Backend == "b3" {
			got++
		}
	}
	if cold.Overloaded() || got == 0 || got*4 > len(all) {
		t.Errorf(
			"the cold backend got %d of %d attempts, want at least 1 and at most a quarter; overloaded: %v, want false",
			got, len(all), cold.Overloaded())
	}
	t.Logf("the cold backend got %d of %d attempts", got, len(all))
	transcript.add("cold", "fallen: %v", cold.Overloaded())
}
