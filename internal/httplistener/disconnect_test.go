package httplistener

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"pumicecroft/internal/testkit"
)

// Clients disconnect in any way, with bytes behind their request that the server has not read, which hide the
// connection's end from a reader. The handler must learn of it, so that nothing is forwarded for nobody, and no
// request that stands behind may start.
func TestDisconnect_IsSeenBehindUnreadBytes(t *testing.T) {
	for name, request := range map[string]string{"GET": getRequest, "POST": postRequest} {
		for _, behind := range []int{0, 1, len(getRequest), 100_000} {
			for _, reset := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s, %d bytes behind, reset %t", name, behind, reset), func(t *testing.T) {
					testDisconnect(t, request, behind, reset)
				})
			}
		}
	}
}

func testDisconnect(t *testing.T, request string, behind int, reset bool) {
	started, gone := make(chan bool, 1), make(chan bool, 1)
	s := startServer(t, 1000, Options{}, func(_ http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		started <- true
		<-r.Context().Done()
		gone <- true
	})
	c := dialAll(t, s.addr, 1)[0]
	io.WriteString(c, request)
	testkit.Await(t, started, "the request")
	surplus := strings.Repeat(getRequest, behind/len(getRequest)+1)[:behind]
	if _, err := io.WriteString(c, surplus); err != nil {
		t.Fatal(err)
	}
	if reset {
		_ = c.(*net.TCPConn).SetLinger(0)
	}
	_ = c.Close()
	testkit.Await(t, gone, "the handler to learn that its client has disconnected")
	s.awaitConns(t, "the connection's end", func(c *connTable) bool { return len(c.open) == 0 })
	select {
	case <-started:
		t.Error("a request of a client that has disconnected was started")
	default:
	}
}

// lateListener accepts when it is told to.
type lateListener struct {
	net.Listener
	accept chan bool
}

func (l lateListener) Accept() (net.Conn, error) {
	<-l.accept
	return l.Listener.Accept()
}

// A client disconnects before the server reads its request. The handler's context must have ended when it is called:
// otherwise it would forward the request for nobody.
func TestDisconnect_BeforeTheRequestIsRead(t *testing.T) {
	for name, request := range map[string]string{
		"GET":            getRequest,
		"POST":           "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody",
		"one and a half": getRequest + getRequest[:40],
	} {
		for _, half := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, closes its sending side only %t", name, half), func(t *testing.T) {
				t.Parallel()
				testDisconnectBeforeRead(t, request, half)
			})
		}
	}
}

func testDisconnectBeforeRead(t *testing.T, request string, half bool) {
	ln := listen(t)
	active, done := make(chan bool, 1), make(chan error, 1)
	handler := func(_ http.ResponseWriter, r *http.Request) { active <- r.Context().Err() == nil }
	s := NewServer(http.HandlerFunc(handler), 10, 10*time.Second, slog.New(slog.DiscardHandler), Options{})
	late := lateListener{ln, make(chan bool)}
	ctx, shutDown := context.WithCancel(t.Context())
	defer shutDown()
	go func() { done <- s.Run(ctx, late) }()
	c := dialAll(t, ln.Addr().String(), 1)[0]
	io.WriteString(c, request)
	_ = c.(*net.TCPConn).CloseWrite()
	if !half {
		_ = c.Close()
	}
	close(late.accept)
	if testkit.Await(t, active, "the handler") {
		t.Error("to the handler its client is connected")
	}
	shutDown()
	if err := testkit.Await(t, done, "the server's end"); err != nil {
		t.Error(err)
	}
}

// A client writes requests one behind another while it stays connected. What stands behind a request must not be taken
// from it: each must be answered, in order.
func TestDisconnect_PipelinedRequestsAreAnswered(t *testing.T) {
	started, proceed := make(chan string, 1), make(chan bool)
	s := startServer(t, 1000, Options{}, func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		started <- r.URL.Path + string(body)
		<-proceed
		w.Header().Set("Path", r.URL.Path)
	})
	c := dialAll(t, s.addr, 1)[0]
	in := bufio.NewReader(c)
	for n := range 20 {
		fmt.Fprintf(c, "POST /%d HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n1\r\nb\r\n0\r\n\r\n", n)
		if n == 0 {
			testkit.Await(t, started, "the first")
			continue
		}
		proceed <- true
		if res := readResponse(t, in); res.status != 200 || res.header.Get("Path") != fmt.Sprintf("/%d", n-1) {
			t.Fatalf("response %d is %+v", n-1, res)
		}
		if got := testkit.Await(t, started, "the next"); got != fmt.Sprintf("/%dab", n) {
			t.Fatalf("request %d came as %s", n, got)
		}
	}
	close(proceed)
	readResponse(t, in)
}

// A client sends HTTP/2 frames of one byte each. Reads of one byte must not be taken for those that wait for the
// client's disconnect.
func TestDisconnect_OneByteFramesOfHTTP2(t *testing.T) {
	s := startServer(t, 1000, Options{GeneralPurpose: true}, func(w http.ResponseWriter, r *http.Request) { io.Copy(w, r.Body) })
	transport := &http.Transport{Protocols: new(http.Protocols)}
	transport.Protocols.SetUnencryptedHTTP2(true)
	defer transport.CloseIdleConnections()
	body, w := io.Pipe()
	go func() {
		for _, b := range []byte("in pieces") {
			_, _ = w.Write([]byte{b})
		}
		_ = w.Close()
	}()
	req, err := http.NewRequest(http.MethodPost, "http://"+s.addr+"/", body)
	if err != nil {
		t.Fatal(err)
	}
	res, err := transport.RoundTrip(req)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = res.Body.Close() }()
	if text, err := io.ReadAll(res.Body); string(text) != "in pieces" || err != nil || res.ProtoMajor != 2 {
		t.Errorf("%q, %v over %s", text, err, res.Proto)
	}
}

// A burst of clients send much behind their requests and disconnect. No handler and no connection may be left.
func TestDisconnect_BurstLeavesNothing(t *testing.T) {
	const burst = 200
	started, gone := make(chan bool, burst), make(chan bool, burst)
	s := startServer(t, 1000, Options{}, func(_ http.ResponseWriter, r *http.Request) {
		started <- true
		<-r.Context().Done()
		gone <- true
	})
	conns := dialAll(t, s.addr, burst)
	for _, c := range conns {
		io.WriteString(c, getRequest)
	}
	for range conns {
		testkit.Await(t, started, "a request")
	}
	for _, c := range conns {
		io.WriteString(c, strings.Repeat("x", 10_000))
		_ = c.Close()
	}
	for range conns {
		testkit.Await(t, gone, "a handler to learn that its client has disconnected")
	}
	s.awaitConns(t, "all connections to be closed", func(c *connTable) bool { return len(c.open) == 0 && c.order.Len() == 0 })
}
