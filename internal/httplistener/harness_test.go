package httplistener

import (
	"bufio"
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"pumicecroft/internal/testkit"
)

const (
	getRequest  = "GET /look/at/what/is/there HTTP/1.1\r\nHost: h\r\nA: some header\r\n\r\n"
	postRequest = "POST /look HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody"
)

// dialAll opens connections to a server.
func dialAll(t *testing.T, addr string, n int) []net.Conn {
	t.Helper()
	conns := make([]net.Conn, n)
	for i := range conns {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = c.Close() })
		conns[i] = c
	}
	return conns
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return ln
}

// response is a completely read response.
type response struct {
	status int
	header http.Header
	closes bool // it has "Connection: close"
}

// readResponse reads one response.
func readResponse(t *testing.T, in *bufio.Reader) response {
	t.Helper()
	res, err := http.ReadResponse(in, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = res.Body.Close() }()
	if _, err := io.Copy(io.Discard, res.Body); err != nil {
		t.Fatal(err)
	}
	return response{status: res.StatusCode, header: res.Header, closes: res.Close}
}

// poll waits until a condition holds.
func poll(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(testkit.WaitTimeout); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("timed out after %v waiting for %s", testkit.WaitTimeout, what)
		}
	}
}

// observedListener closes its channel when Close is called.
type observedListener struct {
	net.Listener
	once   sync.Once
	closed chan bool
}

func (l *observedListener) Close() error {
	err := l.Listener.Close()
	l.once.Do(func() { close(l.closed) })
	return err
}

// testServer is a running Server.
type testServer struct {
	*Server
	addr     string
	shutDown context.CancelFunc
	closed   chan bool  // closed when the listener has been closed
	done     chan error // Run's result
}

// startServer starts a Server that allows maxConns connections.
func startServer(t *testing.T, maxConns int, o Options, h http.HandlerFunc) *testServer {
	t.Helper()
	ln := listen(t)
	ctx, shutDown := context.WithCancel(t.Context())
	t.Cleanup(shutDown)
	s := &testServer{
		Server:   NewServer(h, maxConns, 10*time.Second, slog.New(slog.DiscardHandler), o),
		addr:     ln.Addr().String(),
		shutDown: shutDown,
		closed:   make(chan bool),
		done:     make(chan error, 1),
	}
	go func() { s.done <- s.Run(ctx, &observedListener{Listener: ln, closed: s.closed}) }()
	return s
}

// awaitConns waits until a condition holds for the table of connections.
func (s *testServer) awaitConns(t *testing.T, what string, condition func(*connTable) bool) {
	t.Helper()
	for {
		s.conns.mu.Lock()
		holds := condition(s.conns)
		if s.conns.changed == nil {
			s.conns.changed = make(chan struct{})
		}
		changed := s.conns.changed
		s.conns.mu.Unlock()
		if holds {
			return
		}
		testkit.Await(t, changed, what)
	}
}
