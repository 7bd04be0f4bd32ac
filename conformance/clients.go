package conformance

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"pumicecroft/internal/fakes"
)

// testClientDisconnect checks that a client's disconnect cancels its attempt and frees its slot: the
// plan allows one request in flight, and the next one is served.
func testClientDisconnect(t *testing.T, starter Starter, transcript *Transcript) {
	tc := newTestCase(t, starter)
	tc.startBackend(newCell(0),
		func(c *fakes.BackendConfig) { c.Behavior = fakes.OnFirstAttempt(fakes.ExecuteThenHang) })
	tc.startGateway(caseConfig{plans: `{"name":"shop","parallel":1,"value_factor":1}`})
	ctx, disconnect := context.WithCancel(t.Context())
	request := tc.newRequest("pay")
	result := make(chan fakes.Reply, 1)
	go func() { result <- tc.sendTo(ctx, request, tc.gateway) }()
	if !tc.ledger.Await(waitTimeout, func(attempts []fakes.Attempt) bool {
		return len(attempts) == 1 && attempts[0].Outcome == "hung"
	}) {
		t.Fatalf("attempts after %v: %+v, want one that hangs", waitTimeout, tc.ledger.Attempts())
	}
	if reply := tc.send(tc.newRequest("look")); reply.String() != "refused" {
		t.Errorf("while the plan's one slot is taken: got %v, want refused", reply)
	}
	disconnect()
	<-result
	var reply fakes.Reply
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		if reply = tc.send(tc.newRequest("look")); reply.String() == "served" {
			break
		}
	}
	if reply.String() != "served" {
		t.Errorf("after the client disconnected: got %v, want served", reply)
	}
	if n := len(tc.ledger.ForRequest(request.RequestID())); n != 1 {
		t.Errorf("%d attempts of the request whose client disconnected, want 1", n)
	}
	transcript.add("leaving", "place taken: refused; after: %v; attempts 1", reply)
}

// testShutdown checks rule 1 during a planned restart: the gateway answers all accepted requests before
// it stops.
func testShutdown(t *testing.T, starter Starter, transcript *Transcript) {
	tc := newTestCase(t, starter)
	release := make(chan bool)
	tc.startBackend(newCell(0), func(c *fakes.BackendConfig) {
		c.Behavior = func(fakes.Attempt) fakes.Behavior { <-release; return fakes.ServeNormally }
	})
	tc.startGateway(caseConfig{})
	const n = 10
	replies := make(chan fakes.Reply, n)
	for i := range n {
		request := tc.newRequest([]string{"look", "pay", "once"}[i%3])
		go func() { replies <- tc.send(request) }()
	}
	if !tc.ledger.Await(waitTimeout, func(attempts []fakes.Attempt) bool { return len(attempts) == n }) {
		t.Fatalf("%d attempts after %v, want %d", len(tc.ledger.Attempts()), waitTimeout, n)
	}
	stopped := make(chan error, 1)
	go func() { stopped <- tc.gateway.Stop() }()
	select {
	case err := <-stopped:
		t.Errorf("the gateway stopped with %d requests open: %v", n, err)
	case <-time.After(900 * time.Millisecond):
	}
	close(release)
	served := 0
	for range n {
		if reply := <-replies; reply.String() == "served" {
			served++
		} else {
			t.Errorf("got %v (%v), want served", reply, reply.Err)
		}
	}
	select {
	case err := <-stopped:
		if err != nil {
			t.Errorf("stopping the gateway: %v", err)
		}
	case <-time.After(waitTimeout):
		t.Errorf("the gateway did not stop within %v", waitTimeout)
	}
	transcript.add("ending", "%d of %d served", served, n)
}

// testMalformedRequests checks that malformed requests are rejected at once and reach no backend.
func testMalformedRequests(t *testing.T, starter Starter, transcript *Transcript) {
	tc := newTestCase(t, starter)
	tc.startBackend(newCell(0), nil)
	tc.startGateway(caseConfig{})
	header := func(name string, values ...string) func(*fakes.Request) {
		return func(request *fakes.Request) { request.Header = http.Header{name: values} }
	}
	for _, c := range []struct {
		name, class string
		change      func(*fakes.Request)
	}{
		{"no id", "look", header("Request-Id")},
		{"a short id", "look", header("Request-Id", "12")},
		{"two ids", "look", header("Request-Id", "9b1f03aa5c7e2d41", "9b1f03aa5c7e2d42")},
		{"no class", "look", header("Request-Class")},
		{"another class", "look", header("Request-Class", "pay")},
		{"unknown class", "look", header("Request-Class", "nap")},
		{"unknown plan", "look", header("X-Tier", "gold")},
		{"no customer", "look", header("X-Api-Key")},
		{"customer out of range", "look", header("X-Api-Key", "ffffffffffffffff")},
		{"no timeout", "look", header("Request-Timeout")},
		{"timeout 0", "look", header("Request-Timeout", "0")},
		{"timeout that is no number", "look", header("Request-Timeout", "NaN")},
		{"no terms", "look", header("X-Call-Terms")},
		{"units below 0", "look", header("X-Call-Terms", "units=-1,spread=1,first=0")},
		{"too many units", "look", header("X-Call-Terms", "units=7,spread=1,first=0")},
		{"units that are no number", "look", header("X-Call-Terms", "units=NaN,spread=1,first=0")},
		{"a set too wide", "look", header("X-Call-Terms", "units=1,spread=2,first=0")},
		{"terms twice", "look", header("X-Call-Terms", "units=1,units=1,spread=1,first=0")},
		{"a keyed class without a key", "pay", header("Idempotency-Key")},
		{"a body over the limit", "pay", func(request *fakes.Request) { request.Body = strings.Repeat("x", 64<<10+1) }},
		{"a GET of a keyed class", "pay", func(request *fakes.Request) { request.Key = "" }},
		{"a POST of a safe class", "look", func(request *fakes.Request) { request.Key = "k" }},
	} {
		request := tc.newRequest(c.class)
		if c.change != nil {
			c.change(&request)
		}
		reply := tc.send(request)
		if reply.Latency > clientTimeout/20 {
			t.Errorf("%s: response after %v, want within %v", c.name, reply.Latency, clientTimeout/20)
		}
		if reply.Status < 400 || reply.Status > 499 {
			t.Errorf("%s: got %v with status %d (%v), want 400 to 499", c.name, reply, reply.Status, reply.Err)
		}
		transcript.add("malformed", "%s: %d", c.name, reply.Status)
	}
	if attempts := tc.ledger.Attempts(); len(attempts) > 0 {
		t.Errorf("%d attempts reached backends, want 0: %+v", len(attempts), attempts)
	}
	if reply := tc.send(tc.newRequest("pay")); reply.String() != "served" {
		t.Errorf("a valid request afterwards: got %v, want served", reply)
	}
}

// testBodies checks that bodies are forwarded unchanged, up to the limit.
func testBodies(t *testing.T, starter Starter, transcript *Transcript) {
	tc := newTestCase(t, starter)
	tc.startBackend(newCell(0), nil)
	tc.startGateway(caseConfig{})
	for name, body := range map[string]string{
		"empty":   "",
		"small":   "a=1&b=\x00\xff\r\n\r\nGET / HTTP/1.1",
		"largest": strings.Repeat("y", 64<<10),
	} {
		request := tc.newRequest("pay")
		request.Body = body
		reply := tc.send(request)
		attempts := tc.ledger.ForRequest(request.RequestID())
		if reply.String() != "served" || len(attempts) != 1 || attempts[0].Body != body ||
			attempts[0].Key != request.Key || attempts[0].Timeout == "" {
			t.Errorf("%s: got %v after %d attempts, want served after 1 with the same body, the key and a timeout",
				name, reply, len(attempts))
		}
	}
	transcript.add("bodies", "unchanged")
}
