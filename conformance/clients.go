package conformance

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"pumicecroft/internal/fakes"
)

// testClientDisconnect has a client that disconnects: its attempt is cancelled, and its place is free
// at once, so that with a plan of one request in flight the next one is served.
func testClientDisconnect(t *testing.T, starter Starter, tr *Transcript) {
	r := newTestCase(t, starter)
	r.startBackend(newCell(0), func(c *fakes.BackendConfig) { c.Behavior = fakes.OnFirstAttempt(fakes.ExecuteThenHang) })
	r.startGateway(caseConfig{plans: `{"name":"shop","parallel":1,"value_factor":1}`})
	ctx, leave := context.WithCancel(t.Context())
	a := r.newRequest("pay")
	gone := make(chan fakes.Reply, 1)
	go func() { gone <- r.sendTo(ctx, a, r.gateway) }()
	if !r.ledger.Await(waitLimit, func(as []fakes.Attempt) bool { return len(as) == 1 && as[0].Outcome == "hung" }) {
		t.Fatal("the request never came")
	}
	if reply := r.send(r.newRequest("look")); reply.String() != "refused" {
		t.Errorf("while the plan's one place is taken: %v", reply)
	}
	leave()
	<-gone
	var reply fakes.Reply
	for end := time.Now().Add(waitLimit); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		if reply = r.send(r.newRequest("look")); reply.String() == "served" {
			break
		}
	}
	if reply.String() != "served" {
		t.Errorf("after the client left: %v", reply)
	}
	if n := len(r.ledger.ForRequest(a.RequestID())); n != 1 {
		t.Errorf("%d attempts of the request whose client left", n)
	}
	tr.add("leaving", "place taken: refused; after: %v; attempts 1", reply)
}

// testShutdown checks rule 1 at a planned restart: all accepted requests have their response before
// the gateway ends.
func testShutdown(t *testing.T, starter Starter, tr *Transcript) {
	r := newTestCase(t, starter)
	release := make(chan bool)
	r.startBackend(newCell(0), func(c *fakes.BackendConfig) {
		c.Behavior = func(fakes.Attempt) fakes.Behavior { <-release; return fakes.ServeNormally }
	})
	r.startGateway(caseConfig{})
	const n = 10
	replies := make(chan fakes.Reply, n)
	for i := range n {
		a := r.newRequest([]string{"look", "pay", "once"}[i%3])
		go func() { replies <- r.send(a) }()
	}
	if !r.ledger.Await(waitLimit, func(as []fakes.Attempt) bool { return len(as) == n }) {
		t.Fatal("not all requests came")
	}
	stopped := make(chan error, 1)
	go func() { stopped <- r.gateway.Stop() }()
	select {
	case err := <-stopped:
		t.Errorf("it ended with %d requests open: %v", n, err)
	case <-time.After(900 * time.Millisecond):
	}
	close(release)
	served := 0
	for range n {
		if reply := <-replies; reply.String() == "served" {
			served++
		} else {
			t.Errorf("%v %v", reply, reply.Err)
		}
	}
	select {
	case err := <-stopped:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(waitLimit):
		t.Error("it never ended")
	}
	tr.add("ending", "%d of %d served", served, n)
}

// testMalformedRequests checks that malformed requests are rejected at once, and that no backend gets
// them.
func testMalformedRequests(t *testing.T, starter Starter, tr *Transcript) {
	r := newTestCase(t, starter)
	r.startBackend(newCell(0), nil)
	r.startGateway(caseConfig{})
	header := func(name string, v ...string) func(*fakes.Request) {
		return func(a *fakes.Request) { a.Header = http.Header{name: v} }
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
		{"a body over the limit", "pay", func(a *fakes.Request) { a.Body = strings.Repeat("x", 64<<10+1) }},
		{"a GET of a keyed class", "pay", func(a *fakes.Request) { a.Key = "" }},
		{"a POST of a safe class", "look", func(a *fakes.Request) { a.Key = "k" }},
	} {
		a := r.newRequest(c.class)
		if c.change != nil {
			c.change(&a)
		}
		reply := r.send(a)
		if reply.Latency > clientTimeout/20 {
			t.Errorf("%s: answered after %v", c.name, reply.Latency)
		}
		if reply.Status < 400 || reply.Status > 499 {
			t.Errorf("%s: %v %v", c.name, reply, reply.Err)
		}
		tr.add("malformed", "%s: %d", c.name, reply.Status)
	}
	if as := r.ledger.Attempts(); len(as) > 0 {
		t.Errorf("backends heard of %+v", as)
	}
	if reply := r.send(r.newRequest("pay")); reply.String() != "served" {
		t.Errorf("a good one afterwards: %v", reply)
	}
}

// testBodies checks that bodies are forwarded unchanged, up to the limit.
func testBodies(t *testing.T, starter Starter, tr *Transcript) {
	r := newTestCase(t, starter)
	r.startBackend(newCell(0), nil)
	r.startGateway(caseConfig{})
	for name, body := range map[string]string{
		"empty":   "",
		"small":   "a=1&b=\x00\xff\r\n\r\nGET / HTTP/1.1",
		"largest": strings.Repeat("y", 64<<10),
	} {
		a := r.newRequest("pay")
		a.Body = body
		reply := r.send(a)
		seen := r.ledger.ForRequest(a.RequestID())
		if reply.String() != "served" || len(seen) != 1 || seen[0].Body != body || seen[0].Key != a.Key ||
			seen[0].Timeout == "" {
			t.Errorf("%s: %v, %d attempts", name, reply, len(seen))
		}
	}
	tr.add("bodies", "unchanged")
}
