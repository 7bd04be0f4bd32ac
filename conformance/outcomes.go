package conformance

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"pumicecroft/internal/fakes"
)

// testOutcomes checks rules 1 and 2: one final response, and no effect twice. It tries each way in
// which a first attempt can end, with each class, on sets of backends where a retry may or may not go
// elsewhere.
func testOutcomes(t *testing.T, starter Starter, tr *Transcript) {
	acts := map[string]fakes.Behavior{"served": fakes.ServeNormally, "error": fakes.ExecuteThenError, "turned away": fakes.RejectNotStarted,
		"ran and broke": fakes.ExecuteThenReset, "broke unheard": fakes.ResetWithoutExecution, "spoilt": fakes.ExecuteThenGarble,
		"cut": fakes.ExecuteThenTruncate, "hung": fakes.ExecuteThenHang, "hung unrun": fakes.HangWithoutExecution}
	fleets := map[string][]int{"one backend": {0}, "two of one cell": {0, 0}, "two of two cells": {0, 1}}
	for what, act := range acts {
		for fleet, cells := range fleets {
			for _, class := range []string{"look", "pay", "once"} {
				name := fmt.Sprintf("%s, %s, %s", what, fleet, class)
				t.Run(name, func(t *testing.T) {
					t.Parallel()
					testOutcome(t, starter, tr, name, act, cells, class)
				})
			}
		}
	}
}

func testOutcome(t *testing.T, starter Starter, tr *Transcript, name string, act fakes.Behavior, cells []int, class string) {
	r := newTestCase(t, starter)
	memories := []*fakes.Cell{newCell(0), newCell(1)}
	once := fakes.OnFirstAttempt(act)
	for _, n := range cells {
		r.startBackend(memories[n], func(c *fakes.BackendConfig) { c.Behavior = once })
	}
	r.startGateway(caseConfig{})
	a := r.newRequest(class)
	if act == fakes.ExecuteThenHang || act == fakes.HangWithoutExecution {
		a.Timeout, a.ClientTimeout = shortTimeout, waitLimit
	}
	reply := r.send(a)
	// On a busy machine the answer is seen later than it was given, by how late this goroutine is run.
	if reply.Status == 0 || reply.Latency > a.Timeout+schedulingSlack {
		t.Fatalf("no answer in %v, but after %v: %v", a.Timeout, reply.Latency, reply.Err)
	}
	seen := r.ledger.ForRequest(a.RequestID())
	effects := r.ledger.Effects(a.Key)
	hung := act == fakes.ExecuteThenHang || act == fakes.HangWithoutExecution
	mayHaveRun := act != fakes.ServeNormally && act != fakes.RejectNotStarted
	sameCell := len(cells) == 1 || cells[0] == cells[1] // where a repeat can go
	mayRepeat := class == "look" || class == "pay" && sameCell
	if effects > 1 {
		t.Errorf("its effect happened %d times", effects)
	}
	if len(seen) > 1 && mayHaveRun && !mayRepeat {
		t.Errorf("sent again though it may have run: %+v", seen)
	}
	if reply.String() == "refused" && class != "look" && mayHaveRun {
		t.Errorf("refused though it may have run")
	}
	if reply.String() == "refused" && reply.RetryAfter == "" {
		t.Error("refused without a word on when to come back")
	}
	wantServed := act == fakes.ServeNormally || act == fakes.RejectNotStarted && len(cells) > 1 || mayHaveRun && !hung && mayRepeat
	if got := reply.String() == "served"; got != wantServed {
		t.Errorf("answered %v, served: want %v", reply, wantServed)
	}
	tr.add("outcome "+name, "%v, %d attempts, %d effects", reply, len(seen), effects)
}

// testReplays repeats request IDs: one that is open is rejected; one that may have run, of a class
// whose effect must not happen twice, is not sent again.
func testReplays(t *testing.T, starter Starter, tr *Transcript) {
	r := newTestCase(t, starter)
	release := make(chan bool)
	r.startBackend(nil, func(c *fakes.BackendConfig) { // it drops no repeats
		c.Behavior = func(a fakes.Attempt) fakes.Behavior {
			if a.Body == "hold" {
				<-release
			}
			return fakes.ServeNormally
		}
	})
	r.startGateway(caseConfig{})
	held := r.newRequest("pay")
	held.Body = "hold"
	first := make(chan fakes.Reply, 1)
	go func() { first <- r.send(held) }()
	if !r.ledger.Await(waitLimit, func(as []fakes.Attempt) bool { return len(as) == 1 }) {
		t.Fatal("the request never came")
	}
	if starter.IdempotencyKeys { // repeats are recognised by their keys, and get the response to the first
		second := make(chan fakes.Reply, 1)
		go func() { second <- r.send(held) }()
		close(release)
		once := r.newRequest("once")
		replies := map[string]fakes.Reply{
			"the first":        <-first,
			"while it is open": <-second,
			"later":            r.send(held),
			"once":             r.send(once),
			"once more":        r.send(once),
		}
		for what, reply := range replies {
			if reply.String() != "served" {
				t.Errorf("%s: %v", what, reply)
			}
		}
		if n := len(r.ledger.Attempts()); n != 2 {
			t.Errorf("%d attempts", n)
		}
		return
	}
	open := r.send(held)
	close(release)
	tr.add("replays", "open: %v, the first: %v, again: %v", open, <-first, r.send(held))
	for _, class := range []string{"look", "once"} {
		a := r.newRequest(class)
		tr.add("replays", "%s: %v, again: %v", class, r.send(a), r.send(a))
		if class == "once" && len(r.ledger.ForRequest(a.RequestID())) != 1 {
			t.Errorf("%s: %d attempts", class, len(r.ledger.ForRequest(a.RequestID())))
		}
	}
	if n := r.ledger.Effects(held.Key); n != 1 || len(r.ledger.ForRequest(held.RequestID())) != 1 {
		t.Errorf("its effect happened %d times in %d attempts", n, len(r.ledger.ForRequest(held.RequestID())))
	}
}

// testNoBackend has no backends: all requests are rejected at once, with advice on when to retry.
func testNoBackend(t *testing.T, starter Starter, tr *Transcript) {
	r := newTestCase(t, starter)
	r.startGateway(caseConfig{})
	for _, class := range []string{"look", "pay", "once"} {
		reply := r.send(r.newRequest(class))
		if reply.String() != "refused" || reply.RetryAfter == "" || reply.Latency > clientTimeout/2 {
			t.Errorf("%s: %v after %v, Retry-After %q", class, reply, reply.Latency, reply.RetryAfter)
		}
		tr.add("nobody", "%s: %v", class, reply)
	}
}

// testManyRequests has backends that end attempts in every way: each of many concurrent requests has
// one response in time, and no effect happens twice.
func testManyRequests(t *testing.T, starter Starter, tr *Transcript) {
	r := newTestCase(t, starter)
	acts := []fakes.Behavior{fakes.ServeNormally, fakes.ServeNormally, fakes.ServeNormally, fakes.ServeNormally, fakes.ServeNormally, fakes.ServeNormally, fakes.ServeNormally,
		fakes.ExecuteThenError, fakes.RejectNotStarted, fakes.ExecuteThenReset, fakes.ResetWithoutExecution, fakes.ExecuteThenGarble, fakes.ExecuteThenTruncate,
		fakes.ExecuteThenHang}
	memories := []*fakes.Cell{newCell(0), newCell(1)}
	for i := range 4 {
		var mu sync.Mutex
		n := i
		r.startBackend(memories[i%2], func(c *fakes.BackendConfig) {
			c.Slots, c.WorkTime = 8, func(string) time.Duration { return 2 * time.Millisecond }
			c.Behavior = func(fakes.Attempt) fakes.Behavior {
				mu.Lock()
				defer mu.Unlock()
				n++
				return acts[n%len(acts)]
			}
		})
	}
	r.startGateway(caseConfig{objectiveMS: 300, deadlineMS: 2500})
	var mu sync.Mutex
	kinds := map[string]int{}
	var clients sync.WaitGroup
	for i := range 16 {
		clients.Go(func() {
			for n := range 20 {
				a := r.newRequest([]string{"look", "pay", "once"}[(i+n)%3])
				// The client waits for longer than it says: on a busy machine it sees the response late.
				a.Timeout, a.ClientTimeout = 1500*time.Millisecond, waitLimit
				reply := r.send(a)
				if reply.Status == 0 {
					t.Errorf("lost after %v: %v", reply.Latency, reply.Err)
				}
				mu.Lock()
				kinds[reply.String()]++
				mu.Unlock()
			}
		})
	}
	clients.Wait()
	if doubled := r.ledger.RepeatedEffects(); len(doubled) > 0 {
		t.Errorf("effects that happened twice: %v", doubled)
	}
	if kinds["served"] == 0 {
		t.Errorf("%v", kinds)
	}
	tr.add("many", "lost %d, doubled %d", kinds["lost"], len(r.ledger.RepeatedEffects()))
}
