package platformtransport

import (
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"pumicecroft/decision"
	"pumicecroft/internal/executor"
	"pumicecroft/internal/testkit"
)

// A backend closes an idle connection while a request is written to it. HTTP client libraries may then resend a GET,
// or a POST with an Idempotency-Key, on their own, without the gateway's knowledge. The Transport must not resend any
// request.
func TestRoundTrip_NothingIsSentTwice(t *testing.T) {
	for name, m := range map[string]*Request{"GET": getRequest, "POST with a key": keyedPost} {
		t.Run(name, func(t *testing.T) {
			var requests atomic.Int64
			addr := testkit.ServeRaw(t, func(n int, conn net.Conn) {
				requests.Add(1)
				if n == 1 {
					io.WriteString(conn, okResponse)
				} else {
					_ = conn.Close() // the request was read, and gets no response
				}
			})
			tr, id := newTransport(t, addr)
			ctx, cancel := context.WithTimeout(t.Context(), testkit.WaitTimeout)
			defer cancel()
			if r := tr.send(ctx, id, m); r.Result != decision.Succeeded {
				t.Fatalf("first attempt: got %v, want Succeeded", r.Result)
			}
			time.Sleep(reuseWait) // so that the second one uses the same connection
			if r := tr.send(ctx, id, m); r.Result != decision.ConnectionLost {
				t.Errorf("attempt whose connection is closed: got %v, want ConnectionLost", r.Result)
			}
			if n := requests.Load(); n != 2 {
				t.Errorf("the backend read %d requests, want 2", n)
			}
		})
	}
}

// Attempts end in all the ways that a backend can cause. The result decides whether the request may be retried or
// rejected. After an invalid response the result must be Unknown: the request may have been executed, and nothing
// counts against the backend. With ConnectionLost the backend would get no requests and be considered restarted.
func TestRoundTrip_Results(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n"
	reset := func(_ int, conn net.Conn) {
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
	}
	for name, c := range map[string]struct {
		backend func(int, net.Conn)
		want    decision.Result
	}{
		"served":                {respond(200), decision.Succeeded},
		"error":                 {respond(500), decision.ErrorResponse},
		"not found":             {respond(404), decision.ErrorResponse},
		"rejected with 503":     {respond(503, "Not-Started", "1"), decision.Rejected},
		"rejected with 504":     {respond(504, "Not-Started", "1"), decision.Rejected},
		"503 without the field": {respond(503), decision.ErrorResponse},
		"504 Not-Started 0":     {respond(504, "Not-Started", "0"), decision.ErrorResponse},
		"500 Not-Started 1":     {respond(500, "Not-Started", "1"), decision.ErrorResponse},
		"connection ends":       {writeAndClose(""), decision.ConnectionLost},
		"connection reset":      {reset, decision.ConnectionLost},
		"body truncated":        {writeAndClose(ok + "Content-Length: 9\r\n\r\nok"), decision.Unknown},
		"header truncated":      {writeAndClose("HTTP/1.1 20"), decision.Unknown},
		"not HTTP":              {writeAndClose("\x00\x01garbage\r\n\r\n"), decision.Unknown},
		"body never ends":       {write(ok + "Content-Length: 9\r\n\r\nok"), decision.Unknown},
		"header never ends":     {write(ok + "A: b\r\n"), decision.Unknown},
		"header over the limit": {write(ok + "A: " + strings.Repeat("x", 16<<10)), decision.Unknown},
		"3 GB announced":        {write(ok + "Content-Length: 3000000000\r\n\r\nok"), decision.Unknown},
		"two lengths":           {write(ok + "Content-Length: 2\r\nContent-Length: 3\r\n\r\nok"), decision.Unknown},
		"negative length":       {write(ok + "Content-Length: -2\r\n\r\nok"), decision.Unknown},
		"no length":             {writeAndClose(ok + "\r\nok"), decision.Unknown},
		"bad chunks":            {write(ok + "Transfer-Encoding: chunked\r\n\r\nzz\r\nok"), decision.Unknown},
		"chunks over the limit": {write(ok + "Transfer-Encoding: chunked\r\n\r\n" +
			strings.Repeat("8000\r\n"+strings.Repeat("x", 0x8000)+"\r\n", 3)), decision.Unknown},
		"1xx without end": {write(strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", (16<<10)/20)), decision.Unknown},
		"1xx first": {write("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n" + okResponse),
			decision.Succeeded},
		"protocol switch": {write("HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n"), decision.Unknown},
		"chunks":          {write(ok + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"), decision.Succeeded},
		"largest body":    {write(ok + "Content-Length: 65536\r\n\r\n" + strings.Repeat("x", MaxBody)), decision.Succeeded},
		"usage too large": {respond(200, "X-RateLimit-Used", "1e300", "Server-Load", "queue=-5,qps=1"),
			decision.Succeeded},
		"usage below 0": {respond(200, "X-RateLimit-Used", "-3", "Server-Load", "queue=NaN,qps=1"),
			decision.Succeeded},
		"invalid usage and load": {respond(200, "X-RateLimit-Used", "lots", "Server-Load", "queue=x,qps="),
			decision.Succeeded},
	} {
		t.Run(name, func(t *testing.T) {
			tr, id := newTransport(t, testkit.ServeRaw(t, c.backend))
			ctx, cancel := context.WithTimeout(t.Context(), testkit.WaitTimeout)
			defer cancel()
			if r := tr.send(ctx, id, keyedPost); r.Result != c.want || r.HasUsage || r.LoadReport != nil {
				t.Errorf("got %v, usage reported %v, load %v, want %v without usage and load", r.Result, r.HasUsage,
					r.LoadReport, c.want)
			}
		})
	}
}

// Nothing listens at a backend's address, a backend does not respond, and an attempt is cancelled. The results must
// differ: only the first one proves that nothing was executed.
func TestRoundTrip_WithoutResponse(t *testing.T) {
	unused, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = unused.Close()
	tr, id := newTransport(t, unused.Addr().String())
	if r := tr.send(t.Context(), id, keyedPost); r.Result != decision.ConnectFailed {
		t.Errorf("connection refused: got %v, want ConnectFailed", r.Result)
	}

	tr, id = newTransport(t, testkit.ServeRaw(t, func(_ int, _ net.Conn) { <-t.Context().Done() }))
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	if r := tr.send(ctx, id, keyedPost); r.Result != decision.TimedOut {
		t.Errorf("no response in time: got %v, want TimedOut", r.Result)
	}

	read := make(chan bool, 1)
	tr, id = newTransport(t, testkit.ServeRaw(t, func(int, net.Conn) { read <- true; <-t.Context().Done() }))
	ctx, cancel = context.WithCancel(t.Context())
	go func() { <-read; cancel() }()
	if r := tr.send(ctx, id, keyedPost); r.Result != decision.Cancelled {
		t.Errorf("cancelled attempt: got %v, want Cancelled", r.Result)
	}
}

// A backend reports a customer's usage and its own load. The usage must be returned in percent as in the header, the
// load figures in the order of the settings.
func TestRoundTrip_UsageAndLoad(t *testing.T) {
	tr, id := newTransport(t, testkit.Serve(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-RateLimit-Used", "85")
		w.Header().Set("Server-Load", "qps=31.5, queue=2,new=7")
	}))
	r := tr.send(t.Context(), id, getRequest)
	if !r.HasUsage || r.Usage != 85 || !slices.Equal(r.LoadReport, []float64{2, 31.5}) {
		t.Errorf("got usage %v (reported: %v), load %v, want 85 (reported: true), [2 31.5]", r.Usage, r.HasUsage,
			r.LoadReport)
	}
}

// drainTest has a Transport whose dials block until the test lets them proceed, and a backend that counts requests.
type drainTest struct {
	*tableTransport
	id               decision.BackendID
	dialing, proceed chan bool
	requests         chan int
	drain            func()
}

func newDrainTest(t *testing.T) *drainTest {
	t.Helper()
	d := &drainTest{dialing: make(chan bool, 1), proceed: make(chan bool), requests: make(chan int, 10)}
	addr := testkit.ServeRaw(t, func(n int, conn net.Conn) {
		d.requests <- n
		io.WriteString(conn, okResponse)
	})
	d.tableTransport = newTableTransport(t, testConfig())
	dial := d.dial
	d.dial = func(ctx context.Context, network, addr string) (net.Conn, error) {
		d.dialing <- true
		<-d.proceed
		return dial(ctx, network, addr)
	}
	update := oneBackend(addr)
	d.id = d.update(update)[0].ID
	d.drain = func() {
		update.Nodes[0].State = decision.Draining
		d.update(update)
	}
	return d
}

// checkNotSent makes an attempt and checks that its request is not sent, as the backend drains.
func (d *drainTest) checkNotSent(t *testing.T) {
	t.Helper()
	if r := d.send(t.Context(), d.id, getRequest); r.Result != decision.NotSent {
		t.Errorf("attempt at a draining backend: got %v, want NotSent", r.Result)
	}
	select {
	case n := <-d.requests:
		t.Errorf("the draining backend read request %d, want none", n)
	default:
	}
}

// A backend begins to drain while a connection to it is opened, or between two attempts. Nothing more may be written to
// it, and the result must say that the request was not executed.
func TestRoundTrip_DrainingBackend(t *testing.T) {
	t.Run("while connecting", func(t *testing.T) {
		d := newDrainTest(t)
		go func() {
			<-d.dialing
			d.drain()
			d.proceed <- true
		}()
		d.checkNotSent(t)
	})
	t.Run("between attempts", func(t *testing.T) {
		d := newDrainTest(t)
		go func() { <-d.dialing; d.proceed <- true }()
		d.send(t.Context(), d.id, getRequest)
		<-d.requests
		d.drain()
		d.checkNotSent(t)
	})
}

// An attempt has a time after which its request must not be sent. After that time nothing may be written, neither on a
// new connection nor on an idle one.
func TestRoundTrip_NotAfter(t *testing.T) {
	requests := 0
	tr, id := newTransport(t, testkit.ServeRaw(t, func(_ int, conn net.Conn) {
		requests++
		io.WriteString(conn, okResponse)
	}))
	for i, c := range []struct {
		notAfter time.Duration // from now; 0: no limit
		want     decision.Result
	}{
		{-time.Second, decision.NotSent},
		{time.Hour, decision.Succeeded},
		{-time.Second, decision.NotSent},
		{0, decision.Succeeded},
	} {
		a := executor.NewAttempt(id, time.Now().Add(testkit.WaitTimeout), keyedPost)
		if c.notAfter != 0 {
			a.NotAfter = time.Now().Add(c.notAfter)
		}
		if r := tr.RoundTrip(a); r.Result != c.want {
			t.Errorf("attempt %d: got %v, want %v", i, r.Result, c.want)
		}
		time.Sleep(reuseWait)
	}
	if tr.Close(); requests != 2 {
		t.Errorf("%d requests were sent, want 2", requests)
	}
}

// A dial fails because the gateway has no file descriptors left. That must not count against the backend.
func TestRoundTrip_OutOfDescriptors(t *testing.T) {
	tr := newTableTransport(t, testConfig())
	tr.dial = func(context.Context, string, string) (net.Conn, error) {
		return nil, &net.OpError{Op: "dial", Err: os.NewSyscallError("socket", syscall.EMFILE)}
	}
	id := tr.update(oneBackend("127.0.0.1:1"))[0].ID
	if r := tr.send(t.Context(), id, getRequest); r.Result != decision.NotSent {
		t.Errorf("got %v, want NotSent", r.Result)
	}
}

// A backend is probed. The probe must request the load report and return it.
func TestProbe(t *testing.T) {
	tr, id := newTransport(t, testkit.Serve(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/status/load" {
			w.WriteHeader(http.StatusNotFound)
		}
		io.WriteString(w, "queue=3,qps=9\n")
	}))
	p := tr.Probe(id, testkit.WaitTimeout)
	if p.Result != decision.Succeeded || !slices.Equal(p.LoadReport, []float64{3, 9}) {
		t.Errorf("got %+v, want result Succeeded and load [3 9]", p)
	}
}
