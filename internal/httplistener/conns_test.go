package httplistener

import (
	"bufio"
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"testing"
	"time"

	"pumicecroft/internal/socketpeek"
	"pumicecroft/internal/testkit"
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

// startSmall starts a server that lets clients have five connections.
func startSmall(t *testing.T, h http.HandlerFunc) (string, *Server) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(t.Context())
	t.Cleanup(stop)
	s := NewServer(h, 5, 10*time.Second, slog.New(slog.DiscardHandler), Options{})
	go s.Run(ctx, ln)
	return ln.Addr().String(), s
}

const asked = "GET /look/at/what/is/there HTTP/1.1\r\nHost: h\r\nA: some header\r\n\r\n"

// Clients that connect and say nothing use up the descriptors, and then nobody is served. Past the bound the longest
// silent is closed, and never one with a request open.
func TestSilentConnectionsMakeRoom(t *testing.T) {
	began, goOn := make(chan bool, 1), make(chan bool)
	addr, server := startSmall(t, func(w http.ResponseWriter, _ *http.Request) {
		began <- true
		<-goOn
		w.WriteHeader(http.StatusBadGateway)
	})
	asking := dialAll(t, addr, 1)[0]
	io.WriteString(asking, asked)
	testkit.Await(t, began, "the request")
	dialAll(t, addr, 20)
	server.conns.mu.Lock()
	if n := len(server.conns.open); n > 6 { // one may just have come
		t.Errorf("%d connections are open, 5 may be", n)
	}
	server.conns.mu.Unlock()
	close(goOn)
	if res, err := http.ReadResponse(bufio.NewReader(asking), nil); err != nil || res.StatusCode != http.StatusBadGateway {
		t.Errorf("the connection with a request open: %v, %v", res, err)
	}
}

// A request that comes in pieces has begun when its first piece has been read, though the server still takes its
// connection for a silent one. Closing that to make room would lose the request, be it the connection's first or not.
func TestARequestInPiecesIsNoSilence(t *testing.T) {
	for name, before := range map[string]int{"on a new connection": 0, "on a kept connection": 1} {
		t.Run(name, func(t *testing.T) {
			addr, clients := startSmall(t, func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(http.StatusServiceUnavailable)
			})
			conn := dialAll(t, addr, 1)[0]
			answers := bufio.NewReader(conn)
			answered := func() {
				t.Helper()
				if res, err := http.ReadResponse(answers, nil); err != nil || res.StatusCode != http.StatusServiceUnavailable {
					t.Fatalf("answered %v, %v", res, err)
				}
			}
			for range before {
				io.WriteString(conn, asked)
				answered()
			}
			quiet := func(begun bool) bool { // the connection counts as silent, with or without something read
				clients.conns.mu.Lock()
				defer clients.conns.mu.Unlock()
				e := clients.conns.order.Front()
				return e != nil && !e.Value.(*trackedConn).busy && e.Value.(*trackedConn).conn.(*clientConn).requestStarted.Load() == begun
			}
			for _, piece := range []bool{false, true} {
				if piece {
					io.WriteString(conn, asked[:40])
				}
				for end := time.Now().Add(testkit.WaitTimeout); !quiet(piece); time.Sleep(time.Millisecond) {
					if time.Now().After(end) {
						t.Fatal("the piece was never read")
					}
				}
			}
			for _, c := range dialAll(t, addr, 6)[:2] {
				testkit.ReadUntilClosed(t, c) // others make room
			}
			io.WriteString(conn, asked[40:])
			answered()
		})
	}
}

// Clients that begin a request and never end it, on all connections that there may be, keep nobody out: who comes gets the room of the one that has been at its
// head for longest, and may ask.
func TestBegunRequestsKeepNobodyOut(t *testing.T) {
	addr, server := startSmall(t, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) })
	begun := func() (n int) {
		server.conns.mu.Lock()
		defer server.conns.mu.Unlock()
		for c := range server.conns.open {
			if c.(*clientConn).requestStarted.Load() {
				n++
			}
		}
		return n
	}
	bad := dialAll(t, addr, 5)
	for i, c := range bad {
		io.WriteString(c, "G")
		for end := time.Now().Add(testkit.WaitTimeout); begun() < i+1; time.Sleep(time.Millisecond) {
			if time.Now().After(end) {
				t.Fatal("a first byte was never read")
			}
		}
	}
	for i := range 2 {
		c := dialAll(t, addr, 1)[0]
		testkit.ReadUntilClosed(t, bad[i])
		io.WriteString(c, asked)
		if res, err := http.ReadResponse(bufio.NewReader(c), nil); err != nil || res.StatusCode != http.StatusServiceUnavailable {
			t.Fatalf("who came behind them is answered %v, %v", res, err)
		}
		bad = append(bad, c)
		for end := time.Now().Add(testkit.WaitTimeout); begun() > 4; time.Sleep(time.Millisecond) { // the answered one is idle
			if time.Now().After(end) {
				t.Fatal("the one that was answered is not idle")
			}
		}
		io.WriteString(c, "G") // and now it is one of them
		for end := time.Now().Add(testkit.WaitTimeout); begun() < 5; time.Sleep(time.Millisecond) {
			if time.Now().After(end) {
				t.Fatal("its byte was never read")
			}
		}
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
	table.onStateChange(near[0], http.StateNew)
	table.onStateChange(near[0], http.StateActive) // a request is open
	table.onStateChange(near[1], http.StateNew)
	table.onStateChange(near[2], http.StateNew)
	io.WriteString(far[1], "G")
	for deadline := time.Now().Add(testkit.WaitTimeout); socketpeek.At(near[1]) != socketpeek.Waiting && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond)
	}
	table.onStateChange(near[3], http.StateNew)
	testkit.ReadUntilClosed(t, far[2])
	table.onStateChange(near[0], http.StateIdle) // the shortest silent now
	table.onStateChange(near[4], http.StateNew)
	testkit.ReadUntilClosed(t, far[3])
}
