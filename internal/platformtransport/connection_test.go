package platformtransport

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"pumicecroft/decision"
	"pumicecroft/internal/platformhttp"
	"pumicecroft/internal/testkit"
	"pumicecroft/membership"
)

// countingBackend starts an HTTP server that reports when its connections are opened and closed.
func countingBackend(t *testing.T) (addr string, opened, closed chan bool) {
	t.Helper()
	opened, closed = make(chan bool, 10), make(chan bool, 10)
	s := &http.Server{
		Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}),
		ConnState: func(_ net.Conn, state http.ConnState) {
			switch state {
			case http.StateNew:
				opened <- true
			case http.StateClosed:
				closed <- true
			}
		},
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go s.Serve(ln)
	t.Cleanup(func() { _ = s.Close() })
	return ln.Addr().String(), opened, closed
}

// A backend may close a connection that was idle for the configured time. A request that is sent at that moment is
// lost, so the Transport must close the connection earlier. When a backend is replaced by a new process, the
// connections to the old one must be closed.
func TestConnections_ReuseAndIdleTimeout(t *testing.T) {
	addr, opened, closed := countingBackend(t)
	config := testConfig()
	tr := newTableTransport(t, config)
	update := oneBackend(addr)
	id := tr.update(update)[0].ID
	for range 5 {
		if r := tr.send(t.Context(), id, getRequest); r.Result != decision.Succeeded {
			t.Fatalf("got %v, want Succeeded", r.Result)
		}
		time.Sleep(reuseWait)
	}
	if n := len(opened); n != 1 {
		t.Errorf("5 sequential attempts opened %d connections, want 1", n)
	}
	update.Nodes[0].StartedAt = time.Now() // a new process
	if newID := tr.update(update)[0].ID; newID != id {
		t.Errorf("the replaced backend has ID %v, want %v as before", newID, id)
	}
	testkit.Await(t, closed, "the old process's connection to be closed")

	config.IdleTimeout = 50 * time.Millisecond
	tr = newTableTransport(t, config)
	id = tr.update(update)[0].ID
	tr.send(t.Context(), id, getRequest)
	testkit.Await(t, closed, "the idle connection to be closed")
}

// Attempts in flight hold sockets, and the sockets of a gateway are limited. An attempt over the limit must not be
// sent.
func TestConnections_Limit(t *testing.T) {
	read := make(chan bool, 1)
	addr := testkit.ServeRaw(t, func(int, net.Conn) { read <- true; <-t.Context().Done() })
	config := testConfig()
	config.MaxConns = 1
	tr := newTableTransport(t, config)
	id := tr.update(oneBackend(addr))[0].ID
	ctx, cancel := context.WithCancel(t.Context())
	first := make(chan decision.Result)
	go func() { first <- tr.send(ctx, id, getRequest).Result }()
	testkit.Await(t, read, "the first attempt")
	if r := tr.send(t.Context(), id, getRequest); r.Result != decision.NotSent {
		t.Errorf("attempt over the limit: got %v, want NotSent", r.Result)
	}
	cancel()
	if r := <-first; r != decision.Cancelled {
		t.Errorf("first attempt: got %v, want Cancelled", r)
	}
	addr = testkit.Serve(t, func(http.ResponseWriter, *http.Request) {})
	id = tr.update(oneBackend(addr))[0].ID
	if r := tr.send(t.Context(), id, getRequest); r.Result != decision.Succeeded {
		t.Errorf("with no attempt in flight: got %v, want Succeeded", r.Result)
	}
}

// A backend writes surplus bytes after a response, at once or a little later. They would be read as the response to the
// next request on the connection, so that a client would get another client's response. The connection must not be
// reused.
func TestConnections_SurplusBytes(t *testing.T) {
	for name, surplus := range map[string]string{"second copy": okResponse, "noise": "\xb1`bS]1"} {
		for _, late := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, late %t", name, late), func(t *testing.T) {
				// A try is inconclusive if the machine was so busy that the late bytes came after ReuseDelay.
				for tries := 0; tries <= 100; tries++ {
					if trySurplusBytes(t, surplus, late) {
						return
					}
				}
			})
		}
	}
}

// trySurplusBytes makes three attempts and checks that they use three connections. It returns false if surplus bytes
// were written too late to be detected.
func trySurplusBytes(t *testing.T, surplus string, late bool) bool {
	t.Helper()
	conns, took := map[net.Conn]bool{}, make(chan time.Duration, 10)
	addr := testkit.ServeRaw(t, func(_ int, conn net.Conn) {
		conns[conn] = true
		start := time.Now()
		if late {
			io.WriteString(conn, okResponse)
			time.Sleep(platformhttp.ReuseDelay / 2)
			io.WriteString(conn, surplus)
		} else {
			io.WriteString(conn, okResponse+surplus)
		}
		took <- time.Since(start)
	})
	tr, id := newTransport(t, addr)
	for range 3 {
		r := tr.send(t.Context(), id, getRequest)
		if <-took > platformhttp.ReuseDelay*3/4 {
			return false
		}
		if r.Result != decision.Succeeded || body(r) != "ok" {
			t.Errorf("got %v with body %q, want Succeeded with body \"ok\"", r.Result, body(r))
		}
		time.Sleep(reuseWait)
	}
	if len(conns) != 3 {
		t.Errorf("3 requests used %d connections, want 3", len(conns))
	}
	return true
}

// One of several connections has an invalid response. It must be closed, and the others must be kept.
func TestConnections_InvalidResponseClosesOnlyItsOwn(t *testing.T) {
	proceed, read := make(chan bool), make(chan bool, 2)
	addr := testkit.ServeRaw(t, func(n int, conn net.Conn) {
		if n <= 2 {
			read <- true
			<-proceed
		}
		if n == 3 {
			io.WriteString(conn, "noise\r\n\r\n")
		} else {
			io.WriteString(conn, okResponse)
		}
	})
	tr, id := newTransport(t, addr)
	done := make(chan bool, 2)
	for range 2 {
		go func() { tr.send(t.Context(), id, getRequest); done <- true }()
		testkit.Await(t, read, "two requests at once")
	}
	close(proceed)
	testkit.Await(t, done, "the first response")
	testkit.Await(t, done, "the second response")
	time.Sleep(reuseWait)
	if r := tr.send(t.Context(), id, getRequest); r.Result != decision.Unknown {
		t.Errorf("attempt with an invalid response: got %v, want Unknown", r.Result)
	}
	tr.mu.Lock()
	defer tr.mu.Unlock()
	if pool := tr.backends.Pool; pool.Count() != 1 || pool.Idle() != 1 {
		t.Errorf("the pool has %d connections, %d of them idle, want 1 idle one", pool.Count(), pool.Idle())
	}
}

// Backends are replaced one after another, each with the address of the previous one. No state may be kept of a removed
// backend, and the next one must have an ID and connections of its own.
func TestConnections_RemovedBackendsAreForgotten(t *testing.T) {
	const backends = 20
	conns := map[net.Conn]bool{}
	addr := testkit.ServeRaw(t, func(_ int, conn net.Conn) { conns[conn] = true; io.WriteString(conn, okResponse) })
	tr := newTableTransport(t, testConfig())
	name := func(i int) string { return "s-" + string(rune('a'+i)) }
	ids := map[decision.BackendID]bool{}
	for i := range backends {
		update := membership.Update{Nodes: []membership.Node{{Name: name(i), Addr: addr}}}
		id := tr.update(update)[0].ID
		ids[id] = true
		if r := tr.send(t.Context(), id, getRequest); r.Result != decision.Succeeded {
			t.Fatalf("attempt at backend %d: got %v, want Succeeded", i, r.Result)
		}
		if i > 0 { // the previous backend is removed after the next one was added
			update.Nodes[0].Name, update.Nodes[0].State = name(i-1), decision.Removed
			tr.update(update)
		}
	}
	if len(ids) != backends || len(conns) != backends {
		t.Errorf("%d backends had %d IDs and %d connections, want one of each per backend", backends, len(ids), len(conns))
	}
	if pool := tr.backends.Pool; tr.backends.Len() != 1 || pool.Count() != 1 || pool.Idle() != 1 {
		t.Errorf("got %d backends, %d connections, %d of them idle, want 1 of each", tr.backends.Len(), pool.Count(),
			pool.Idle())
	}
}
