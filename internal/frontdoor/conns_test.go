package frontdoor

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"pumicecroft/decision"
)

// dialAll opens connections to a door.
func dialAll(t *testing.T, addr string, n int) []net.Conn {
	t.Helper()
	conns := make([]net.Conn, n)
	for i := range conns {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		conns[i] = c
	}
	return conns
}

// awaitEnd waits until the other side has closed a connection and gives what it said before.
func awaitEnd(t *testing.T, c net.Conn) string {
	t.Helper()
	c.SetReadDeadline(time.Now().Add(patient))
	said, err := io.ReadAll(c)
	if ne, ok := err.(net.Error); ok && ne.Timeout() {
		t.Errorf("the connection was never closed; it said %q", said)
	}
	return string(said)
}

// startSmall starts a door that lets clients have five connections.
func startSmall(t *testing.T, g decider) (*door, *Clients) {
	t.Helper()
	c := config(t)
	c.Limits.Sockets = 12
	l := newLoop(clock{time.Now()}, g, NewBackends(c))
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(t.Context())
	t.Cleanup(stop)
	clients := NewClients(c, l)
	go clients.Run(ctx, ln)
	return &door{addr: ln.Addr().String(), loop: l}, clients
}

// Clients that connect and say nothing use up the descriptors, and then nobody is served. Past the bound the longest
// silent is closed, and never one with a request open.
func TestSilentConnectionsMakeRoom(t *testing.T) {
	g := script(nil)
	d, clients := startSmall(t, g)

	asking := dialAll(t, d.addr, 1)[0]
	if err := d.ask(t, "look", nil).Write(asking); err != nil {
		t.Fatal(err)
	}
	id := next[decision.Request](t, g).ID
	dialAll(t, d.addr, 20)
	clients.conns.mu.Lock()
	if n := len(clients.conns.open); n > 6 { // one may just have come
		t.Errorf("%d connections are open, 5 may be", n)
	}
	clients.conns.mu.Unlock()
	d.loop.mu.Lock()
	d.loop.do(decision.Fail{Request: id})
	d.loop.mu.Unlock()
	if res, err := http.ReadResponse(bufio.NewReader(asking), nil); err != nil || res.StatusCode != http.StatusBadGateway {
		t.Errorf("the connection with a request open: %v, %v", res, err)
	}
}

// A request that comes in pieces has begun when its first piece has been read, though the server still takes its
// connection for a silent one. Closing that to make room would lose the request, be it the connection's first or not.
func TestARequestInPiecesIsNoSilence(t *testing.T) {
	for name, before := range map[string]int{"on a new connection": 0, "on a kept connection": 1} {
		t.Run(name, func(t *testing.T) {
			g := script(func(ev decision.Event) []decision.Action {
				if r, ok := ev.(decision.Request); ok {
					return []decision.Action{decision.Refuse{Request: r.ID}}
				}
				return nil
			})
			d, clients := startSmall(t, g)
			var text strings.Builder
			if err := d.ask(t, "look", nil).Write(&text); err != nil {
				t.Fatal(err)
			}
			conn := dialAll(t, d.addr, 1)[0]
			answers := bufio.NewReader(conn)
			answered := func() {
				t.Helper()
				if res, err := http.ReadResponse(answers, nil); err != nil || res.StatusCode != http.StatusServiceUnavailable {
					t.Fatalf("answered %v, %v", res, err)
				}
			}
			for range before {
				io.WriteString(conn, text.String())
				answered()
			}
			quiet := func(begun bool) bool { // the connection counts as silent, with or without something read
				clients.conns.mu.Lock()
				defer clients.conns.mu.Unlock()
				e := clients.conns.quiet.Front()
				return e != nil && e.Value.(*clientConn).begun.Load() == begun
			}
			for _, piece := range []bool{false, true} {
				if piece {
					io.WriteString(conn, text.String()[:40])
				}
				for end := time.Now().Add(patient); !quiet(piece); time.Sleep(time.Millisecond) {
					if time.Now().After(end) {
						t.Fatal("the piece was never read")
					}
				}
			}
			for _, c := range dialAll(t, d.addr, 6)[:2] {
				awaitEnd(t, c) // others make room
			}
			io.WriteString(conn, text.String()[40:])
			answered()
		})
	}
}

// The longest silent goes first, unless something has come on it that only is not read yet.
func TestWhichConnectionGoes(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	table := newConnTable(3)
	var far, near []net.Conn
	for range 5 {
		far = append(far, dialAll(t, ln.Addr().String(), 1)[0])
		c, err := ln.Accept()
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		near = append(near, c)
	}
	table.note(near[0], http.StateNew)
	table.note(near[0], http.StateActive) // a request is open
	table.note(near[1], http.StateNew)
	table.note(near[2], http.StateNew)
	io.WriteString(far[1], "G")
	for deadline := time.Now().Add(patient); pending(near[1]) != waiting && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond)
	}
	table.note(near[3], http.StateNew)
	awaitEnd(t, far[2])
	table.note(near[0], http.StateIdle) // the shortest silent now
	table.note(near[4], http.StateNew)
	awaitEnd(t, far[3])
}

// Whoever sends no whole request must not hold a connection for long: it is owed an end within 3 s.
func TestUnfinishedRequestsAreEnded(t *testing.T) {
	head := "POST /pay HTTP/1.1\r\nHost: h\r\nRequest-Id: 9b1f03aa5c7e2d41\r\nRequest-Class: pay\r\nX-Tier: basic\r\n" +
		"X-Api-Key: 00000000b4d65521\r\nRequest-Timeout: 20\r\nIdempotency-Key: k\r\nX-Call-Terms: units=1,spread=2,first=1\r\n"
	g := script(nil)
	d := startDoor(t, g)
	next[decision.BackendList](t, g)
	ends := make(chan string)
	for name, text := range map[string]string{
		"silent":       "",
		"half a head":  head,
		"half a body":  head + "Content-Length: 9\r\n\r\nhalf",
		"a large body": head + "Content-Length: 60000000\r\n\r\nhalf",
	} {
		c := dialAll(t, d.addr, 1)[0]
		io.WriteString(c, text)
		go func() {
			start := time.Now()
			said := awaitEnd(t, c)
			if took := time.Since(start); took > 2900*time.Millisecond || said != "" && !strings.HasPrefix(said, "HTTP/1.1 4") {
				t.Errorf("%s: after %v %q", name, took, said)
			}
			ends <- name
		}()
	}
	for range 4 {
		<-ends
	}
	if len(g.heard) > 0 {
		t.Errorf("the gateway heard %+v", <-g.heard)
	}
}

// A request that can be framed in two ways may hide another in its body. The server drops one of the two headers
// before a handler sees them, so the one left must be enough to turn it away.
func TestTwoFramingsAreTurnedAway(t *testing.T) {
	g := script(nil)
	d := startDoor(t, g)
	next[decision.BackendList](t, g)
	for _, proto := range []string{"HTTP/1.1", "HTTP/1.0"} {
		c := dialAll(t, d.addr, 1)[0]
		io.WriteString(c, "POST /pay "+proto+"\r\nHost: h\r\nRequest-Id: 9b1f03aa5c7e2d41\r\nRequest-Class: pay\r\nX-Tier: basic\r\n"+
			"X-Api-Key: 00000000b4d65521\r\nRequest-Timeout: 20\r\nIdempotency-Key: k\r\nX-Call-Terms: units=1,spread=2,first=1\r\n"+
			"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n")
		if said := awaitEnd(t, c); !strings.Contains(said, " 400 ") {
			t.Errorf("%s: %q", proto, said)
		}
	}
	if len(g.heard) > 0 {
		t.Errorf("the gateway heard %+v", <-g.heard)
	}
}

// What is on a connection shows without being taken from it.
func TestPending(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	far := dialAll(t, ln.Addr().String(), 1)[0]
	near, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer near.Close()
	seen := []sight{pending(near)}
	io.WriteString(far, "x")
	near.Read(nil)
	for deadline := time.Now().Add(patient); pending(near) == clean && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond)
	}
	seen = append(seen, pending(near), pending(near))
	near.Read(make([]byte, 1))
	far.Close()
	for deadline := time.Now().Add(patient); pending(near) == clean && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond)
	}
	seen = append(seen, pending(near))
	if want := []sight{clean, waiting, waiting, ended}; !slices.Equal(seen, want) {
		t.Errorf("seen %v, want %v", seen, want)
	}
}
