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

// The server is told to end while one request is open, and half a request header has arrived on another connection. The
// response to the first must say that the connection ends with it, so that its client sends nothing more there. The
// second must be answered, and not cut off.
func TestShutdown_NothingIsCutOff(t *testing.T) {
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
	half := dialAll(t, s.addr, 1)[0]
	responses := bufio.NewReader(half)
	for range earlierRequests {
		io.WriteString(half, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		readResponse(t, responses)
	}
	s.shutDown()
	io.WriteString(half, getRequest[:40])
	testkit.Await(t, s.closed, "the listener's end")
	io.WriteString(half, getRequest[40:])
	if res := readResponse(t, responses); res.status != http.StatusServiceUnavailable || !res.closes {
		t.Errorf("the request that began before the end: %d, closes %t", res.status, res.closes)
	}
	close(proceed)
	if res := readResponse(t, bufio.NewReader(open)); res.status != http.StatusOK || !res.closes {
		t.Errorf("the request that was open: %d, closes %t", res.status, res.closes)
	}
	if err := testkit.Await(t, s.done, "the server's end"); err != nil {
		t.Error(err)
	}
}

// lingeringListener is a listener whose Accept returns some time after its close.
type lingeringListener struct {
	net.Listener
	closed, release chan bool
}

func (l lingeringListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		close(l.closed)
		<-l.release
	}
	return c, err
}

// The listener's Accept notices late that it was closed. Run must wait for it, and return no error.
func TestShutdown_ListenerThatEndsLate(t *testing.T) {
	l, done := lingeringListener{listen(t), make(chan bool), make(chan bool)}, make(chan error, 1)
	ctx, shutDown := context.WithCancel(t.Context())
	shutDown()
	s := NewServer(http.NotFoundHandler(), 5, 10*time.Second, slog.New(slog.DiscardHandler), Options{})
	go func() { done <- s.Run(ctx, l) }()
	testkit.Await(t, l.closed, "the listener's close")
	select {
	case err := <-done:
		t.Fatalf("it ended before its listener: %v", err)
	case <-time.After(100 * time.Millisecond):
	}
	close(l.release)
	if err := testkit.Await(t, done, "the server's end"); err != nil {
		t.Error(err)
	}
}
