package conformance

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"pumicecroft/internal/fakes"
)

// testOutcomes checks rules 1 and 2: each request gets one final response, and no effect happens
// twice. It tries each way in which a first attempt can end, with each class, on one backend, on two
// backends of one cell and on two of different cells. Backends of one cell share the record of
// idempotency keys: an effect does not happen again at another backend of the same cell.
//
// The names of behaviors and fleets, and those in the transcript, must stay the same as in
// sim.RunSingleRequest, as compareWithSimulation compares them.
func testOutcomes(t *testing.T, starter Starter, transcript *Transcript) {
	behaviors := map[string]fakes.Behavior{"served": fakes.ServeNormally, "error": fakes.ExecuteThenError,
		"turned away": fakes.RejectNotStarted, "ran and broke": fakes.ExecuteThenReset,
		"broke unheard": fakes.ResetWithoutExecution, "spoilt": fakes.ExecuteThenGarble,
		"cut": fakes.ExecuteThenTruncate, "hung": fakes.ExecuteThenHang, "hung unrun": fakes.HangWithoutExecution}
	fleets := map[string][]int{"one backend": {0}, "two of one cell": {0, 0}, "two of two cells": {0, 1}}
	for description, behavior := range behaviors {
		for fleet, cells := range fleets {
			for _, class := range []string{"look", "pay", "once"} {
				name := fmt.Sprintf("%s, %s, %s", description, fleet, class)
				t.Run(name, func(t *testing.T) {
					t.Parallel()
					testOutcome(t, starter, transcript, name, behavior, cells, class)
				})
			}
		}
	}
}

// testOutcome sends one request of a class whose first attempt ends by behavior. cells holds the cell
// number of each backend.
func testOutcome(t *testing.T, starter Starter, transcript *Transcript, name string, behavior fakes.Behavior,
	cells []int, class string) {
	tc := newTestCase(t, starter)
	dedupCells := []*fakes.Cell{newCell(0), newCell(1)}
	once := fakes.OnFirstAttempt(behavior)
	for _, n := range cells {
		tc.startBackend(dedupCells[n], func(c *fakes.BackendConfig) { c.Behavior = once })
	}
	tc.startGateway(caseConfig{})
	request := tc.newRequest(class)
	if behavior == fakes.ExecuteThenHang || behavior == fakes.HangWithoutExecution {
		request.Timeout, request.ClientTimeout = shortTimeout, waitTimeout
	}
	reply := tc.send(request)
	// On a busy machine this goroutine may be scheduled some time after the response has arrived.
	if reply.Status == 0 || reply.Latency > request.Timeout+schedulingSlack {
		t.Fatalf("got %v after %v (%v), want a response within the timeout of %v",
			reply, reply.Latency, reply.Err, request.Timeout)
	}
	attempts := tc.ledger.ForRequest(request.RequestID())
	effects := tc.ledger.Effects(request.Key)
	hung := behavior == fakes.ExecuteThenHang || behavior == fakes.HangWithoutExecution
	mayHaveExecuted := behavior != fakes.ServeNormally && behavior != fakes.RejectNotStarted
	sameCell := len(cells) == 1 || cells[0] == cells[1] // a retry reaches a backend that drops repeats
	mayRetry := class == "look" || class == "pay" && sameCell
	if effects > 1 {
		t.Errorf("the effect happened %d times, want at most 1", effects)
	}
	if len(attempts) > 1 && mayHaveExecuted && !mayRetry {
		t.Errorf("%d attempts, want 1, as the first may have been executed: %+v", len(attempts), attempts)
	}
	if reply.String() == "refused" && class != "look" && mayHaveExecuted {
		t.Errorf("class %s got %v with status %d, want a failure, as the request may have been executed",
			class, reply, reply.Status)
	}
	if reply.String() == "refused" && reply.RetryAfter == "" {
		t.Errorf("status %d with Retry-After %q, want a time", reply.Status, reply.RetryAfter)
	}
	wantServed := behavior == fakes.ServeNormally || behavior == fakes.RejectNotStarted && len(cells) > 1 ||
		mayHaveExecuted && !hung && mayRetry
	if got := reply.String() == "served"; got != wantServed {
		t.Errorf("got %v, want served: %v", reply, wantServed)
	}
	transcript.add("outcome "+name, "%v, %d attempts, %d effects", reply, len(attempts), effects)
}

// testReplays repeats request IDs. A repeat of an open request is rejected. A request that may have
// been executed is not sent again if its class is not idempotent. With idempotency keys, each repeat
// gets the response to the first request.
func testReplays(t *testing.T, starter Starter, transcript *Transcript) {
	tc := newTestCase(t, starter)
	release := make(chan bool)
	tc.startBackend(nil, func(c *fakes.BackendConfig) { // without a cell it drops no repeats
		c.Behavior = func(attempt fakes.Attempt) fakes.Behavior {
			if attempt.Body == "hold" {
				<-release
			}
			return fakes.ServeNormally
		}
	})
	tc.startGateway(caseConfig{})
	held := tc.newRequest("pay")
	held.Body = "hold"
	first := make(chan fakes.Reply, 1)
	go func() { first <- tc.send(held) }()
	if !tc.ledger.Await(waitTimeout, func(attempts []fakes.Attempt) bool { return len(attempts) == 1 }) {
		t.Fatalf("the request that the backend holds: %d attempts after %v, want 1",
			len(tc.ledger.Attempts()), waitTimeout)
	}
	if starter.IdempotencyKeys {
		second := make(chan fakes.Reply, 1)
		go func() { second <- tc.send(held) }()
		close(release)
		once := tc.newRequest("once")
		replies := map[string]fakes.Reply{
			"the first":        <-first,
			"while it is open": <-second,
			"later":            tc.send(held),
			"once":             tc.send(once),
			"once more":        tc.send(once),
		}
		for description, reply := range replies {
			if reply.String() != "served" {
				t.Errorf("%s: got %v, want served", description, reply)
			}
		}
		if n := len(tc.ledger.Attempts()); n != 2 {
			t.Errorf("%d attempts, want 2", n)
		}
		return
	}
	open := tc.send(held)
	close(release)
	transcript.add("replays", "open: %v, the first: %v, again: %v", open, <-first, tc.send(held))
	for _, class := range []string{"look", "once"} {
		request := tc.newRequest(class)
		transcript.add("replays", "%s: %v, again: %v", class, tc.send(request), tc.send(request))
		if class == "once" && len(tc.ledger.ForRequest(request.RequestID())) != 1 {
			t.Errorf("%s: %d attempts, want 1", class, len(tc.ledger.ForRequest(request.RequestID())))
		}
	}
	if n := tc.ledger.Effects(held.Key); n != 1 || len(tc.ledger.ForRequest(held.RequestID())) != 1 {
		t.Errorf("the effect happened %d times in %d attempts, want 1 in 1", n,
			len(tc.ledger.ForRequest(held.RequestID())))
	}
}

// testNoBackend checks that without backends all requests are rejected at once, with a Retry-After.
func testNoBackend(t *testing.T, starter Starter, transcript *Transcript) {
	tc := newTestCase(t, starter)
	tc.startGateway(caseConfig{})
	for _, class := range []string{"look", "pay", "once"} {
		reply := tc.send(tc.newRequest(class))
		if reply.String() != "refused" || reply.RetryAfter == "" || reply.Latency > clientTimeout/2 {
			t.Errorf("%s: %v after %v, Retry-After %q, want refused within %v and a Retry-After", class, reply,
				reply.Latency, reply.RetryAfter, clientTimeout/2)
		}
		transcript.add("nobody", "%s: %v", class, reply)
	}
}

// testManyRequests sends many concurrent requests to backends that fail in all ways but
// HangWithoutExecution. Each request must get a response, and no effect may happen twice.
func testManyRequests(t *testing.T, starter Starter, transcript *Transcript) {
	tc := newTestCase(t, starter)
	behaviors := []fakes.Behavior{fakes.ServeNormally, fakes.ServeNormally, fakes.ServeNormally, fakes.ServeNormally,
		fakes.ServeNormally, fakes.ServeNormally, fakes.ServeNormally,
		fakes.ExecuteThenError, fakes.RejectNotStarted, fakes.ExecuteThenReset, fakes.ResetWithoutExecution,
		fakes.ExecuteThenGarble, fakes.ExecuteThenTruncate, fakes.ExecuteThenHang}
	dedupCells := []*fakes.Cell{newCell(0), newCell(1)}
	for i := range 4 {
		var mu sync.Mutex
		n := i
		tc.startBackend(dedupCells[i%2], func(c *fakes.BackendConfig) {
			c.Slots, c.WorkTime = 8, func(string) time.Duration { return 2 * time.Millisecond }
			c.Behavior = func(fakes.Attempt) fakes.Behavior {
				mu.Lock()
				defer mu.Unlock()
				n++
				return behaviors[n%len(behaviors)]
			}
		})
	}
	tc.startGateway(caseConfig{objectiveMS: 300, deadlineMS: 2500})
	var mu sync.Mutex
	outcomes := map[string]int{}
	var clients sync.WaitGroup
	for i := range 16 {
		clients.Go(func() {
			for n := range 20 {
				request := tc.newRequest([]string{"look", "pay", "once"}[(i+n)%3])
				// The client waits longer than the timeout that it announces: on a busy machine it
				// reads the response late.
				request.Timeout, request.ClientTimeout = 1500*time.Millisecond, waitTimeout
				reply := tc.send(request)
				if reply.Status == 0 {
					t.Errorf("no response after %v: %v", reply.Latency, reply.Err)
				}
				mu.Lock()
				outcomes[reply.String()]++
				mu.Unlock()
			}
		})
	}
	clients.Wait()
	if repeated := tc.ledger.RepeatedEffects(); len(repeated) > 0 {
		t.Errorf("%d effects happened more than once, want 0: %v", len(repeated), repeated)
	}
	if outcomes["served"] == 0 {
		t.Errorf("no request was served, outcomes: %v", outcomes)
	}
	transcript.add("many", "lost %d, doubled %d", outcomes["lost"], len(tc.ledger.RepeatedEffects()))
}
