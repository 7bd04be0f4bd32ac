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

	"pumicecroft/internal/testkit"
)

// Shutdown begins while one request is open and another connection has sent half a request header. The response to the
// open request must have "Connection: close", so that its client sends nothing more there. The other request must get
// a response instead of a closed connection.
func TestShutdown_CompletesOpenRequests(t *testing.T) {
	for name, earlierRequests := range map[string]int{
		"half a header on a used connection": 1,
		"half a header on a new connection":  0,
	} {
		t.Run(name, func(t *testing.T) { testShutdown(t, earlierRequests) })
	}
}

func testShutdown(t *testing.T, earlierRequests int) {
	started, proceed := make(chan bool, 2), make(chan bool)
	options := Options{HeaderTimeout: testkit.WaitTimeout}
	s := startServer(t, 1000, options, func(_ http.ResponseWriter, r *http.Request) {
		if r.Header.Get("A") == "" {
			return
		}
		started <- true
		<-proceed
	})
	open := dialAll(t, s.addr, 1)[0]
	io.WriteString(open, getRequest)
	testkit.Await(t, started, "the request")
	partial := dialAll(t, s.addr, 1)[0]
	responses := bufio.NewReader(partial)
	for range earlierRequests {
		io.WriteString(partial, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		readResponse(t, responses)
	}
	s.shutDown()
	io.WriteString(partial, getRequest[:40])
	testkit.Await(t, s.closed, "the listener to be closed")
	io.WriteString(partial, getRequest[40:])
	if res := readResponse(t, responses); res.status != http.StatusServiceUnavailable || !res.closes {
		t.Errorf("partial request: got status %d, Connection: close %t; want %d, true", res.status, res.closes,
			http.StatusServiceUnavailable)
	}
	close(proceed)
	if res := readResponse(t, bufio.NewReader(open)); res.status != http.StatusOK || !res.closes {
		t.Errorf("open request: got status %d, Connection: close %t; want %d, true", res.status, res.closes,
			http.StatusOK)
	}
	if err := testkit.Await(t, s.done, "Run to return"); err != nil {
		t.Errorf("Run returned %v, want nil", err)
	}
}

// slowClosingListener is a listener whose Accept returns an error only when release is closed, after Close.
type slowClosingListener struct {
	net.Listener
	closed, release chan bool
}

func (l slowClosingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		close(l.closed)
		<-l.release
	}
	return c, err
}

// The listener's Accept returns late after Close. Run must wait for it and return no error.
func TestShutdown_WaitsForListener(t *testing.T) {
	l, done := slowClosingListener{listen(t), make(chan bool), make(chan bool)}, make(chan error, 1)
	ctx, shutDown := context.WithCancel(t.Context())
	shutDown()
	s := NewServer(http.NotFoundHandler(), 5, 10*time.Second, slog.New(slog.DiscardHandler), Options{})
	go func() { done <- s.Run(ctx, l) }()
	testkit.Await(t, l.closed, "the listener to be closed")
	select {
	case err := <-done:
		t.Fatalf("Run returned %v before Accept did", err)
	case <-time.After(100 * time.Millisecond):
	}
	close(l.release)
	if err := testkit.Await(t, done, "Run to return"); err != nil {
		t.Errorf("Run returned %v, want nil", err)
	}
}
