package conformance

import (
	"sync"
	"testing"
	"time"

	"pumicecroft/internal/fakes"
)

// testDrains checks rule 3: after discovery has told that a backend drains or was removed, no new
// request goes there once the grace has passed.
func testDrains(t *testing.T, starter Starter, tr *Transcript) {
	for _, health := range []string{"Terminating", "Gone"} {
		t.Run(health, func(t *testing.T) {
			t.Parallel()
			testDrain(t, starter, tr, health)
		})
	}
	t.Run("held", func(t *testing.T) {
		t.Parallel()
		testDrainWithOpenRequest(t, starter, tr)
	})
}

// testDrain lets one of two backends drain under load.
func testDrain(t *testing.T, starter Starter, tr *Transcript, health string) {
	r := newTestCase(t, starter)
	r.startBackend(newCell(0), nil)
	r.startBackend(newCell(0), nil)
	r.startGateway(caseConfig{})
	const before, grace, after = 300 * time.Millisecond, 2 * time.Second, 300 * time.Millisecond
	start := time.Now()
	var clients sync.WaitGroup
	for range 4 {
		clients.Go(func() {
			for time.Since(start) < before+grace+after {
				if reply := r.send(r.newRequest("look")); reply.String() != "served" {
					t.Errorf("while one backend drains: %v %v", reply, reply.Err)
				}
				time.Sleep(5 * time.Millisecond)
			}
		})
	}
	time.Sleep(before)
	r.discovery.SetHealth("b0", health)
	toldAt := time.Now()
	clients.Wait()
	early, late, other := 0, 0, 0
	for _, a := range r.ledger.Attempts() {
		switch {
		case a.Backend == "b1" && a.At.After(toldAt):
			other++
		case a.Backend == "b0" && a.At.After(toldAt.Add(grace)):
			late++
		case a.Backend == "b0":
			early++
		}
	}
	if late > 0 || early == 0 || other == 0 {
		t.Errorf("%d sent to the draining backend after its grace and %d before, %d to the other", late, early, other)
	}
	tr.add("drain "+health, "after the grace: %d", late)
}

// testDrainWithOpenRequest lets a backend drain that has an open request, which must be served.
func testDrainWithOpenRequest(t *testing.T, starter Starter, tr *Transcript) {
	r := newTestCase(t, starter)
	release := make(chan bool)
	r.startBackend(newCell(0), func(c *fakes.BackendConfig) {
		c.Behavior = func(a fakes.Attempt) fakes.Behavior {
			if a.Body == "hold" {
				<-release
			}
			return fakes.ServeNormally
		}
	})
	r.startGateway(caseConfig{})
	held := make(chan fakes.Reply, 1)
	a := r.newRequest("pay")
	a.Body = "hold"
	go func() { held <- r.send(a) }()
	if !r.ledger.Await(waitLimit, func(as []fakes.Attempt) bool { return len(as) == 1 }) {
		t.Fatal("the request that is to be held never came")
	}
	r.discovery.SetHealth("b0", "Terminating")
	noticed := false
	for end := time.Now().Add(waitLimit); !noticed && time.Now().Before(end); time.Sleep(time.Millisecond) {
		noticed = r.send(r.newRequest("look")).String() == "refused" // there is no other backend
	}
	close(release)
	reply := <-held
	if !noticed || reply.String() != "served" {
		t.Errorf("told: %v; what the draining backend held: %v %v", noticed, reply, reply.Err)
	}
	tr.add("drain held", "%v", reply)
}

// testColdBackend checks rule 4: a backend that has just started, beside warm ones under load, must
// not get so much that it fails.
func testColdBackend(t *testing.T, starter Starter, tr *Transcript) {
	r := newTestCase(t, starter)
	limits := func(c *fakes.BackendConfig) {
		c.Capacity, c.WorkTime = 400, func(string) time.Duration { return 10 * time.Millisecond }
		c.SlowStartMinCapacity, c.SlowStartWindow, c.OverloadFactor, c.OverloadDuration = 0.2, 6*time.Second, 0.15, 500*time.Millisecond
	}
	for range 3 {
		r.startBackend(newCell(0), limits)
	}
	r.startGateway(caseConfig{})
	cold := r.startBackend(newCell(0), func(c *fakes.BackendConfig) { limits(c); c.StartCold = true })
	// The load is light, some 75 a second for each backend that can do 400, and the cold one falls at 0.15 times what
	// it can do: its share of what a warm one gets stays well under that, and as much as a warm one gets does not.
	var clients sync.WaitGroup
	end := time.Now().Add(2500 * time.Millisecond)
	for range 8 {
		clients.Go(func() {
			pace := time.NewTicker(26 * time.Millisecond)
			defer pace.Stop()
			for time.Now().Before(end) {
				if reply := r.send(r.newRequest("look")); reply.Status == 0 {
					t.Errorf("lost: %v", reply.Err)
				}
				<-pace.C
			}
		})
	}
	clients.Wait()
	got, all := 0, r.ledger.Attempts()
	for _, a := range all {
		if a.Backend == "b3" {
			got++
		}
	}
	if cold.Overloaded() || got == 0 || got*4 > len(all) {
		t.Errorf("the cold backend got %d of %d attempts, fallen: %v", got, len(all), cold.Overloaded())
	}
	t.Logf("cold got %d of %d", got, len(all))
	tr.add("cold", "fallen: %v", cold.Overloaded())
}
