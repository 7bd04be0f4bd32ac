package httplistener

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"pumicecroft/internal/socketpeek"
	"pumicecroft/internal/testkit"
)

// fewConns is how many connections the tests' small servers allow.
const fewConns = 5

// rejectAll answers each request with 503.
func rejectAll(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) }

// checkRejected reads the response of rejectAll.
func checkRejected(t *testing.T, in *bufio.Reader) {
	t.Helper()
	res, err := http.ReadResponse(in, nil)
	if err != nil || res.StatusCode != http.StatusServiceUnavailable {
		t.Fatalf("answered %v, %v", res, err)
	}
	_ = res.Body.Close()
}

// Clients connect and send nothing, so that descriptors run out. Beyond the limit the connection that was idle for
// longest must be closed, and never one with an open request.
func TestConnTable_IdleConnectionsMakeRoom(t *testing.T) {
	started, proceed := make(chan bool, 1), make(chan bool)
	s := startServer(t, fewConns, Options{}, func(w http.ResponseWriter, _ *http.Request) {
		started <- true
		<-proceed
		w.WriteHeader(http.StatusBadGateway)
	})
	busy := dialAll(t, s.addr, 1)[0]
	io.WriteString(busy, getRequest)
	testkit.Await(t, started, "the request")
	dialAll(t, s.addr, 20)
	s.conns.mu.Lock()
	if n := len(s.conns.open); n > fewConns+1 { // one may just have come
		t.Errorf("%d connections are open, %d may be", n, fewConns)
	}
	s.conns.mu.Unlock()
	close(proceed)
	res, err := http.ReadResponse(bufio.NewReader(busy), nil)
	if err != nil || res.StatusCode != http.StatusBadGateway {
		t.Fatalf("the connection with an open request: %v, %v", res, err)
	}
	_ = res.Body.Close()
}

// A request comes in pieces, while its connection still counts as idle for net/http. Closing the connection to make
// room would lose the request, be it the connection's first or not.
func TestConnTable_RequestInPiecesIsNotIdle(t *testing.T) {
	for name, earlierRequests := range map[string]int{"new connection": 0, "used connection": 1} {
		t.Run(name, func(t *testing.T) {
			s := startServer(t, fewConns, Options{}, rejectAll)
			conn := dialAll(t, s.addr, 1)[0]
			responses := bufio.NewReader(conn)
			for range earlierRequests {
				io.WriteString(conn, getRequest)
				checkRejected(t, responses)
			}
			idle := func(requestStarted bool) bool { // it counts as idle, with or without something read
				s.conns.mu.Lock()
				defer s.conns.mu.Unlock()
				e := s.conns.order.Front()
				if e == nil {
					return false
				}
				tracked := e.Value.(*trackedConn)
				return !tracked.busy && tracked.conn.(*clientConn).requestStarted.Load() == requestStarted
			}
			poll(t, "the connection to be idle", func() bool { return idle(false) })
			io.WriteString(conn, getRequest[:40])
			poll(t, "the piece to be read", func() bool { return idle(true) })
			for _, c := range dialAll(t, s.addr, fewConns+1)[:2] {
				testkit.ReadUntilClosed(t, c) // others make room
			}
			io.WriteString(conn, getRequest[40:])
			checkRejected(t, responses)
		})
	}
}

// Clients begin requests on all connections and never complete them. A new client must get the place of the one
// whose header has been incomplete for longest, and an answer.
func TestConnTable_IncompleteRequestsKeepNobodyOut(t *testing.T) {
	s := startServer(t, fewConns, Options{}, rejectAll)
	incomplete := func() (n int) {
		s.conns.mu.Lock()
		defer s.conns.mu.Unlock()
		for c := range s.conns.open {
			if c.(*clientConn).requestStarted.Load() {
				n++
			}
		}
		return n
	}
	slow := dialAll(t, s.addr, fewConns)
	for i, c := range slow {
		io.WriteString(c, "G")
		poll(t, "a first byte to be read", func() bool { return incomplete() > i })
	}
	for i := range 2 {
		c := dialAll(t, s.addr, 1)[0]
		testkit.ReadUntilClosed(t, slow[i])
		io.WriteString(c, getRequest)
		checkRejected(t, bufio.NewReader(c))
		slow = append(slow, c)
		poll(t, "the answered connection to be idle", func() bool { return incomplete() < fewConns })
		io.WriteString(c, "G") // and now it is one of them
		poll(t, "its byte to be read", func() bool { return incomplete() >= fewConns })
	}
}

// A table has one connection too many. The one that was idle for longest must be closed, unless bytes have arrived on
// it that were not read yet.
func TestConnTable_Victim(t *testing.T) {
	ln := listen(t)
	defer func() { _ = ln.Close() }()
	table := newConnTable(3)
	var clients, conns []net.Conn
	for range 5 {
		clients = append(clients, dialAll(t, ln.Addr().String(), 1)[0])
		c, err := ln.Accept()
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = c.Close() }()
		conns = append(conns, c)
	}
	table.onStateChange(conns[0], http.StateNew)
	table.onStateChange(conns[0], http.StateActive) // a request is open
	table.onStateChange(conns[1], http.StateNew)
	table.onStateChange(conns[2], http.StateNew)
	io.WriteString(clients[1], "G")
	poll(t, "the byte to arrive", func() bool { return socketpeek.Peek(conns[1]) == socketpeek.Readable })
	table.onStateChange(conns[3], http.StateNew)
	testkit.ReadUntilClosed(t, clients[2])
	table.onStateChange(conns[0], http.StateIdle) // it is idle for the shortest time now
	table.onStateChange(conns[4], http.StateNew)
	testkit.ReadUntilClosed(t, clients[3])
}

// Idle connections are closed at the end. One on which bytes have arrived that were not read yet must be spared, and
// waited for.
func TestConnTable_CloseIdleSparesBegunRequests(t *testing.T) {
	ln := listen(t)
	defer func() { _ = ln.Close() }()
	table := newConnTable(10)
	clients, conns := dialAll(t, ln.Addr().String(), 3), []net.Conn{}
	for range clients {
		c, err := clientListener{ln}.Accept()
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = c.Close() }()
		conns = append(conns, c)
		for _, state := range []http.ConnState{http.StateNew, http.StateActive, http.StateIdle} {
			table.onStateChange(c, state)
		}
	}
	io.WriteString(clients[1], "G")
	arrived := make(chan bool)
	go func() {
		_ = conns[1].(*clientConn).raw.Read(func(fd uintptr) bool { // until the byte is there
			n, err := peekByte(fd)
			if n > 0 || err != nil {
				close(arrived)
			}
			return n > 0 || err != nil
		})
	}()
	testkit.Await(t, arrived, "the byte")
	table.onStateChange(conns[2], http.StateActive)
	ended := make(chan bool)
	go func() { table.closeIdle(t.Context()); close(ended) }()
	testkit.ReadUntilClosed(t, clients[0])
	table.mu.Lock()
	if len(table.open) != 2 || table.open[conns[1]] == nil || table.open[conns[2]] == nil {
		t.Errorf("%d connections are left", len(table.open))
	}
	table.mu.Unlock()
	select {
	case <-ended:
		t.Error("it does not wait for the begun request")
	default:
	}
	table.onStateChange(conns[1], http.StateActive)
	testkit.Await(t, ended, "all others to have a request open")
}
