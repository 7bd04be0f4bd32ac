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
	"sync"
	"testing"
	"time"

	"pumicecroft/internal/testkit"
)

// told is a listener that tells when it has been closed.
type told struct {
	net.Listener
	once   sync.Once
	closed chan bool
}

func (l *told) Close() error {
	err := l.Listener.Close()
	l.once.Do(func() { close(l.closed) })
	return err
}

// running is a server with room for many, that the test tells to end.
type running struct {
	*Server
	addr   string
	end    context.CancelFunc
	closed chan bool  // it listens no more
	done   chan error // Run's
}

func start(t *testing.T, o Options, h http.HandlerFunc) *running {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, end := context.WithCancel(t.Context())
	r := &running{Server: NewServer(h, 1000, 10*time.Second, slog.New(slog.DiscardHandler), o), addr: ln.Addr().String(), end: end,
		closed: make(chan bool), done: make(chan error, 1)}
	go func() { r.done <- r.Run(ctx, &told{Listener: ln, closed: r.closed}) }()
	t.Cleanup(end)
	return r
}

// until waits until the table of connections is as it should be.
func (r *running) until(t *testing.T, what string, ok func(*connTable) bool) {
	t.Helper()
	for {
		r.conns.mu.Lock()
		there := ok(r.conns)
		if r.conns.changed == nil {
			r.conns.changed = make(chan struct{})
		}
		changed := r.conns.changed
		r.conns.mu.Unlock()
		if there {
			return
		}
		testkit.Await(t, changed, what)
	}
}

// reply reads one answer.
func reply(t *testing.T, in *bufio.Reader) *http.Response {
	t.Helper()
	res, err := http.ReadResponse(in, nil)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.Copy(io.Discard, res.Body); err != nil {
		t.Fatal(err)
	}
	return res
}

// A client that leaves is seen to leave, however it does and whatever it had sent behind its request: what waits for it must not be sent
// on to anybody. Bytes that the server has not read hide the end of a connection from whoever only reads.
func TestALeavingClientIsSeen(t *testing.T) {
	post := "POST /look HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody"
	for name, request := range map[string]string{"GET": asked, "POST": post} {
		for _, behind := range []int{0, 1, len(asked), 100_000} {
			for _, reset := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s, %d bytes behind, reset %t", name, behind, reset), func(t *testing.T) {
					began, left := make(chan bool, 1), make(chan bool, 1)
					s := start(t, Options{}, func(_ http.ResponseWriter, r *http.Request) {
						io.Copy(io.Discard, r.Body)
						began <- true
						<-r.Context().Done()
						left <- true
					})
					c := dialAll(t, s.addr, 1)[0]
					io.WriteString(c, request)
					testkit.Await(t, began, "the request")
					if _, err := io.WriteString(c, strings.Repeat(asked, behind/len(asked)+1)[:behind]); err != nil {
						t.Fatal(err)
					}
					if reset {
						c.(*net.TCPConn).SetLinger(0)
					}
					c.Close()
					testkit.Await(t, left, "the handler to learn that its client has left")
					s.until(t, "the connection's end", func(c *connTable) bool { return len(c.open) == 0 })
					select { // what stood behind was its too
					case <-began:
						t.Error("a request of a client that has left was begun")
					default:
					}
				})
			}
		}
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

// A client that has left before its request is read has left when the handler begins: what that sends on in its first moments would be for
// nobody.
func TestARequestOfAClientThatHasLeft(t *testing.T) {
	for name, sends := range map[string]string{"GET": asked, "POST": "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody", "more behind": asked + asked[:40]} {
		for _, half := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, ends its sending only %t", name, half), func(t *testing.T) {
				t.Parallel()
				ln, err := net.Listen("tcp", "127.0.0.1:0")
				if err != nil {
					t.Fatal(err)
				}
				here, done := make(chan bool, 1), make(chan error, 1)
				s := NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { here <- r.Context().Err() == nil }), 10, 10*time.Second,
					slog.New(slog.DiscardHandler), Options{})
				late := lateListener{ln, make(chan bool)}
				ctx, end := context.WithCancel(t.Context())
				go func() { done <- s.Run(ctx, late) }()
				c := dialAll(t, ln.Addr().String(), 1)[0]
				io.WriteString(c, sends)
				if c.(*net.TCPConn).CloseWrite(); !half {
					c.Close()
				}
				close(late.accept)
				if testkit.Await(t, here, "the handler") {
					t.Error("to the handler its client is there")
				}
				end()
				if err := testkit.Await(t, done, "the server's end"); err != nil {
					t.Error(err)
				}
			})
		}
	}
}

// What comes behind a request is left alone as long as its client is there: requests that are written one behind another are answered in
// their order, as long as nobody leaves.
func TestBytesBehindARequestAreNotTaken(t *testing.T) {
	began, goOn := make(chan string, 1), make(chan bool)
	s := start(t, Options{}, func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		began <- r.URL.Path + string(body)
		<-goOn
		w.Header().Set("Path", r.URL.Path)
	})
	c := dialAll(t, s.addr, 1)[0]
	in := bufio.NewReader(c)
	for n := range 20 {
		fmt.Fprintf(c, "POST /%d HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n1\r\nb\r\n0\r\n\r\n", n)
		if n == 0 {
			testkit.Await(t, began, "the first")
			continue
		}
		goOn <- true
		if res := reply(t, in); res.StatusCode != 200 || res.Header.Get("Path") != fmt.Sprintf("/%d", n-1) {
			t.Fatalf("answer %d is %v", n-1, res)
		}
		if got := testkit.Await(t, began, "the next"); got != fmt.Sprintf("/%dab", n) {
			t.Fatalf("request %d came as %s", n, got)
		}
	}
	close(goOn)
	reply(t, in)
}

// Frames of HTTP/2 may be of one byte.
func TestOneByteFramesOfHTTP2(t *testing.T) {
	s := start(t, Options{GeneralPurpose: true}, func(w http.ResponseWriter, r *http.Request) { io.Copy(w, r.Body) })
	tr := &http.Transport{Protocols: new(http.Protocols)}
	tr.Protocols.SetUnencryptedHTTP2(true)
	defer tr.CloseIdleConnections()
	body, w := io.Pipe()
	go func() {
		for _, b := range []byte("in pieces") {
			w.Write([]byte{b})
		}
		w.Close()
	}()
	req, _ := http.NewRequest("POST", "http://"+s.addr+"/", body)
	res, err := tr.RoundTrip(req)
	if err != nil {
		t.Fatal(err)
	}
	defer res.Body.Close()
	if text, err := io.ReadAll(res.Body); string(text) != "in pieces" || err != nil || res.ProtoMajor != 2 {
		t.Errorf("%q, %v over %s", text, err, res.Proto)
	}
}

// A burst of clients that send much behind their requests and go leaves nothing behind: no handler, no connection.
func TestABurstThatLeaves(t *testing.T) {
	const burst = 200
	began, left := make(chan bool, burst), make(chan bool, burst)
	s := start(t, Options{}, func(_ http.ResponseWriter, r *http.Request) {
		began <- true
		<-r.Context().Done()
		left <- true
	})
	conns := dialAll(t, s.addr, burst)
	for _, c := range conns {
		io.WriteString(c, asked)
	}
	for range conns {
		testkit.Await(t, began, "a request")
	}
	for _, c := range conns {
		io.WriteString(c, strings.Repeat("x", 10_000))
		c.Close()
	}
	for range conns {
		testkit.Await(t, left, "a handler to learn that its client has left")
	}
	s.until(t, "the connections to come back", func(c *connTable) bool { return len(c.open) == 0 && c.order.Len() == 0 })
}

// A request that was open when the server was told to end says in its answer that the connection ends with it, so that its client sends
// nothing more there; and what has begun on other connections, of which the server has not read a whole head, is answered and not cut off.
func TestNothingIsCutOffAtTheEnd(t *testing.T) {
	for name, before := range map[string]int{"half a head on a kept connection": 1, "half a head on a new connection": 0} {
		t.Run(name, func(t *testing.T) {
			began, goOn := make(chan bool, 2), make(chan bool)
			s := start(t, Options{HeaderTimeout: testkit.WaitTimeout}, func(w http.ResponseWriter, r *http.Request) {
				if r.Header.Get("A") == "" {
					return
				}
				began <- true
				<-goOn
			})
			open := dialAll(t, s.addr, 1)[0]
			io.WriteString(open, asked)
			testkit.Await(t, began, "the request")
			half := dialAll(t, s.addr, 1)[0]
			answers := bufio.NewReader(half)
			for range before {
				io.WriteString(half, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
				reply(t, answers)
			}
			s.end()
			io.WriteString(half, asked[:40])
			testkit.Await(t, s.closed, "the listener's end")
			io.WriteString(half, asked[40:])
			if res := reply(t, answers); res.StatusCode != 503 || !res.Close {
				t.Errorf("the request that began before the end: %v, closes %t", res.Status, res.Close)
			}
			close(goOn)
			if res := reply(t, bufio.NewReader(open)); res.StatusCode != 200 || !res.Close {
				t.Errorf("the request that was open: %v, closes %t", res.Status, res.Close)
			}
			if err := testkit.Await(t, s.done, "the server's end"); err != nil {
				t.Error(err)
			}
		})
	}
}

// A connection that is between requests is closed at the end, unless something has come on it that only was not read yet.
func TestWhichConnectionsEnd(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	table := newConnTable(10)
	far, near := dialAll(t, ln.Addr().String(), 3), []net.Conn{}
	for range far {
		c, err := clientListener{ln}.Accept()
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		near = append(near, c)
		for _, state := range []http.ConnState{http.StateNew, http.StateActive, http.StateIdle} {
			table.onStateChange(c, state)
		}
	}
	io.WriteString(far[1], "G")
	waiting := make(chan bool)
	go near[1].(*clientConn).raw.Read(func(fd uintptr) bool { // until it is there
		n, err := peekByte(fd)
		if n > 0 || err != nil {
			close(waiting)
		}
		return n > 0 || err != nil
	})
	testkit.Await(t, waiting, "the byte")
	table.onStateChange(near[2], http.StateActive)
	ended := make(chan bool)
	go func() { table.closeIdle(t.Context()); close(ended) }()
	testkit.ReadUntilClosed(t, far[0])
	table.mu.Lock()
	if len(table.open) != 2 || table.open[near[1]] == nil || table.open[near[2]] == nil {
		t.Errorf("%d connections are left", len(table.open))
	}
	table.mu.Unlock()
	select {
	case <-ended:
		t.Error("it does not wait for what has begun")
	default:
	}
	table.onStateChange(near[1], http.StateActive)
	testkit.Await(t, ended, "all others to have a request open")
}

// lingering is a listener whose Accept ends some time after its close.
type lingering struct {
	net.Listener
	closed, letGo chan bool
}

func (l lingering) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		close(l.closed)
		<-l.letGo
	}
	return c, err
}

// The server's end is no error, however late it is seen that its listener is closed.
func TestAListenerThatEndsLate(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l, done := lingering{ln, make(chan bool), make(chan bool)}, make(chan error, 1)
	ctx, end := context.WithCancel(t.Context())
	end()
	go func() {
		done <- NewServer(http.NotFoundHandler(), 5, 10*time.Second, slog.New(slog.DiscardHandler), Options{}).Run(ctx, l)
	}()
	testkit.Await(t, l.closed, "the listener's close")
	select {
	case err := <-done:
		t.Fatalf("it ended before its listener: %v", err)
	case <-time.After(100 * time.Millisecond):
	}
	close(l.letGo)
	if err := testkit.Await(t, done, "the server's end"); err != nil {
		t.Error(err)
	}
}
