package platformtransport

import (
	"context"
	"fmt"
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
	"pumicecroft/internal/platformhttp"
	"pumicecroft/internal/testkit"
	"pumicecroft/membership"
)

func config() Config {
	return Config{MaxConns: 426, IdleTimeout: 15 * time.Second, ConnectTimeout: 250 * time.Millisecond, LoadReportFields: []string{"depth", "tps"}}
}

func ready(addrs ...string) membership.Update {
	list := membership.Update{Full: true}
	for i, addr := range addrs {
		list.Nodes = append(list.Nodes, membership.Node{Name: fmt.Sprintf("s-%d", i), Addr: addr, Weight: 1})
	}
	return list
}

// listed are backends that are told of lists.
type listed struct {
	*Transport
	table *membership.Table
	clock executor.Clock
}

func newListed(c Config) *listed {
	return &listed{New(c), membership.NewTable(membership.Policy{}, membership.SourceInfo{Name: "own", Trusted: true}), executor.NewClock()}
}

func (l *listed) update(list membership.Update) []membership.Change {
	changes, _ := l.table.Report(l.clock.Now(), "own", list, l.clock.FromWallTime)
	l.Apply(changes)
	return slices.Clone(changes)
}

func attempts(t *testing.T, addr string) (*listed, decision.BackendID) {
	t.Helper()
	b := newListed(config())
	t.Cleanup(b.Close)
	return b, b.update(ready(addr))[0].ID
}

// send makes one attempt that is called off when ctx ends.
func send(b *listed, ctx context.Context, id decision.BackendID, m *Request) executor.Response {
	due, ok := ctx.Deadline()
	if !ok {
		due = time.Now().Add(testkit.WaitTimeout)
	}
	a := executor.NewAttempt(id, due, m)
	stop := context.AfterFunc(ctx, func() {
		if ctx.Err() == context.DeadlineExceeded {
			a.Cancel(executor.ErrDeadlineExceeded)
		} else {
			a.Cancel(executor.ErrCancelled)
		}
	})
	defer stop()
	return b.RoundTrip(a)
}

func text(r executor.Response) string {
	if a, ok := r.Body.(*Response); ok {
		return string(a.Body)
	}
	return ""
}

var lookMessage = &Request{Method: http.MethodGet, Target: "/look", Host: "origin.svc", ID: 0x9b1f03aa5c7e2d41, HasID: true}

var payMessage = &Request{Method: http.MethodPost, Target: "/pay", Host: "origin.svc", ID: 0x9b1f03aa5c7e2d42, HasID: true,
	Key: "k", Body: []byte("amount=3")}

const okReply = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// A client library may send a GET, and a POST with an Idempotency-Key, again by itself when a kept connection
// turns out dead. Such a copy is an attempt that the gateway knows nothing of.
func TestNothingIsSentAgainOnADeadConnection(t *testing.T) {
	for name, m := range map[string]*Request{"GET": lookMessage, "keyed POST": payMessage} {
		var seen atomic.Int64
		addr := testkit.ServeRaw(t, func(n int, conn net.Conn) {
			seen.Add(1)
			if n == 1 {
				io.WriteString(conn, okReply)
			} else {
				conn.Close() // read whole, never answered
			}
		})
		b, id := attempts(t, addr)
		ctx, cancel := context.WithTimeout(t.Context(), testkit.WaitTimeout)
		defer cancel()
		if r := send(b, ctx, id, m); r.Result != decision.Succeeded {
			t.Fatalf("%s: first attempt ended as %v", name, r.Result)
		}
		time.Sleep(2 * platformhttp.ReuseDelay) // so that the second takes the same connection
		if r := send(b, ctx, id, m); r.Result != decision.ConnectionLost {
			t.Errorf("%s: on a connection that broke the attempt ended as %v, want Broken", name, r.Result)
		}
		if n := seen.Load(); n != 2 {
			t.Errorf("%s: the backend read %d requests, 2 were sent", name, n)
		}
	}
}

// What an attempt's end proves decides whether a request may be tried again or refused.
func TestHowAttemptsEnd(t *testing.T) {
	reply := func(status int, header ...string) func(int, net.Conn) {
		return func(_ int, conn net.Conn) {
			res := &http.Response{StatusCode: status, ProtoMajor: 1, ProtoMinor: 1, Header: http.Header{},
				ContentLength: 2, Body: io.NopCloser(strings.NewReader("ok"))}
			for i := 0; i+1 < len(header); i += 2 {
				res.Header.Set(header[i], header[i+1])
			}
			res.Write(conn)
		}
	}
	cut := func(s string) func(int, net.Conn) {
		return func(_ int, conn net.Conn) {
			io.WriteString(conn, s)
			conn.Close()
		}
	}
	open := func(s string) func(int, net.Conn) { // and the connection stays open
		return func(_ int, conn net.Conn) { io.WriteString(conn, s) }
	}
	for name, c := range map[string]struct {
		answer func(int, net.Conn)
		want   decision.Result
	}{
		"served":               {reply(200), decision.Succeeded},
		"error":                {reply(500), decision.ErrorResponse},
		"not found":            {reply(404), decision.ErrorResponse},
		"turned away with 503": {reply(503, "Not-Started", "1"), decision.Rejected},
		"turned away with 504": {reply(504, "Not-Started", "1"), decision.Rejected},
		"503 without proof":    {reply(503), decision.ErrorResponse},
		"504 that denies it":   {reply(504, "Not-Started", "0"), decision.ErrorResponse},
		"500 never proves it":  {reply(500, "Not-Started", "1"), decision.ErrorResponse},
		"connection ends":      {cut(""), decision.ConnectionLost},
		"connection reset": {func(_ int, conn net.Conn) {
			conn.(*net.TCPConn).SetLinger(0)
			conn.Close()
		}, decision.ConnectionLost},
		// A spoilt answer may have run, and says nothing bad of the backend: as Broken it would be held back and
		// taken for one that has restarted.
		"body cut midway":     {cut("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok"), decision.Unknown},
		"head cut midway":     {cut("HTTP/1.1 20"), decision.Unknown},
		"not HTTP":            {cut("\x00\x01garbage\r\n\r\n"), decision.Unknown},
		"body never ends":     {open("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok"), decision.Unknown},
		"head never ends":     {open("HTTP/1.1 200 OK\r\nA: b\r\n"), decision.Unknown},
		"head over the limit": {open("HTTP/1.1 200 OK\r\nA: " + strings.Repeat("x", 16<<10)), decision.Unknown},
		"3 GB announced":      {open("HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nok"), decision.Unknown},
		"two lengths":         {open("HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nok"), decision.Unknown},
		"negative length":     {open("HTTP/1.1 200 OK\r\nContent-Length: -2\r\n\r\nok"), decision.Unknown},
		"no length":           {cut("HTTP/1.1 200 OK\r\n\r\nok"), decision.Unknown},
		"bad chunks":          {open("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nok"), decision.Unknown},
		"chunks over the limit": {open("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" +
			strings.Repeat("8000\r\n"+strings.Repeat("x", 0x8000)+"\r\n", 3)), decision.Unknown},
		"1xx without end":         {open(strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", (16<<10)/20)), decision.Unknown},
		"1xx ahead":               {open("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n" + okReply), decision.Succeeded},
		"switch":                  {open("HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n"), decision.Unknown},
		"chunks":                  {open("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"), decision.Succeeded},
		"largest body":            {open("HTTP/1.1 200 OK\r\nContent-Length: 65536\r\n\r\n" + strings.Repeat("x", MaxBody)), decision.Succeeded},
		"absurd use":              {reply(200, "X-RateLimit-Used", "1e300", "Server-Load", "queue=-5,qps=1"), decision.Succeeded},
		"use below 0":             {reply(200, "X-RateLimit-Used", "-3", "Server-Load", "queue=NaN,qps=1"), decision.Succeeded},
		"unreadable use and load": {reply(200, "X-RateLimit-Used", "lots", "Server-Load", "queue=x,qps="), decision.Succeeded},
	} {
		b, id := attempts(t, testkit.ServeRaw(t, c.answer))
		ctx, cancel := context.WithTimeout(t.Context(), testkit.WaitTimeout)
		if r := send(b, ctx, id, payMessage); r.Result != c.want || r.HasUsage || r.LoadReport != nil {
			t.Errorf("%s: %v, want %v; use %v, load %v", name, r.Result, c.want, r.HasUsage, r.LoadReport)
		}
		cancel()
	}
}

func TestNoConnectionIsToldFromNoAnswer(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ln.Close() // nobody listens there now
	b, id := attempts(t, ln.Addr().String())
	if r := send(b, t.Context(), id, payMessage); r.Result != decision.ConnectFailed {
		t.Errorf("refused connection: %v", r.Result)
	}
	silent := func(_ int, _ net.Conn) { <-t.Context().Done() }
	b, id = attempts(t, testkit.ServeRaw(t, silent))
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	if r := send(b, ctx, id, payMessage); r.Result != decision.TimedOut {
		t.Errorf("no answer in time: %v", r.Result)
	}
	read := make(chan bool, 1)
	b, id = attempts(t, testkit.ServeRaw(t, func(int, net.Conn) { read <- true; <-t.Context().Done() }))
	ctx, cancel = context.WithCancel(t.Context())
	go func() { <-read; cancel() }()
	if r := send(b, ctx, id, payMessage); r.Result != decision.Cancelled {
		t.Errorf("called off: %v", r.Result)
	}
}

// The gateway wants the customer's use in percent as the header has it, and the load in the settings' order.
func TestReadings(t *testing.T) {
	b, id := attempts(t, testkit.Serve(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-RateLimit-Used", "85")
		w.Header().Set("Server-Load", "qps=31.5, queue=2,new=7")
	}))
	r := send(b, t.Context(), id, lookMessage)
	if !r.HasUsage || r.Usage != 85 || !slices.Equal(r.LoadReport, []float64{2, 31.5}) {
		t.Errorf("use %v %v, load %v", r.HasUsage, r.Usage, r.LoadReport)
	}
}

// A connection can take long to come up. If the backend drains or the request ends meanwhile, nothing may be
// written to it any more, and the attempt is known never to have run.
func TestStaleAttemptsAreNotWritten(t *testing.T) {
	for name, warm := range map[string]bool{"new connection": false, "second attempt": true} {
		got := make(chan int, 10)
		addr := testkit.ServeRaw(t, func(n int, conn net.Conn) {
			got <- n
			io.WriteString(conn, okReply)
		})
		b := newListed(config())
		dialing, goOn := make(chan bool, 1), make(chan bool)
		dial := b.dial
		b.dial = func(ctx context.Context, network, addr string) (net.Conn, error) {
			dialing <- true
			<-goOn
			return dial(ctx, network, addr)
		}
		list := ready(addr)
		id := b.update(list)[0].ID
		if warm { // the drain is told between two attempts
			go func() { <-dialing; goOn <- true }()
			send(b, t.Context(), id, lookMessage)
			<-got
			list.Nodes[0].State = decision.Draining
			b.update(list)
		} else {
			go func() {
				<-dialing
				list.Nodes[0].State = decision.Draining
				b.update(list)
				goOn <- true
			}()
		}
		if r := send(b, t.Context(), id, lookMessage); r.Result != decision.NotSent {
			t.Errorf("%s: to a draining backend: %v, want NotSent", name, r.Result)
		}
		select {
		case n := <-got:
			t.Errorf("%s: the backend read request %d", name, n)
		default:
		}
	}
}

// What must not leave any more does not, on a new connection or a kept one.
func TestTooLate(t *testing.T) {
	seen := 0
	b, id := attempts(t, testkit.ServeRaw(t, func(_ int, conn net.Conn) {
		seen++
		io.WriteString(conn, okReply)
	}))
	for i, c := range []struct {
		left time.Duration
		want decision.Result
	}{{-time.Second, decision.NotSent}, {time.Hour, decision.Succeeded}, {-time.Second, decision.NotSent}, {0, decision.Succeeded}} {
		a := executor.NewAttempt(id, time.Now().Add(testkit.WaitTimeout), payMessage)
		if c.left != 0 {
			a.NotAfter = time.Now().Add(c.left)
		}
		if r := b.RoundTrip(a); r.Result != c.want {
			t.Errorf("%d: %v, want %v", i, r.Result, c.want)
		}
		time.Sleep(2 * platformhttp.ReuseDelay)
	}
	if b.Close(); seen != 2 {
		t.Errorf("%d were sent", seen)
	}
}

// A backend may close a connection that was idle for the settings' time, and a request that crosses the close
// is lost; so this side closes first. A new process or address takes no request on the old one's connections.
func TestKeptConnections(t *testing.T) {
	conns, closed := make(chan bool, 10), make(chan bool, 10)
	s := &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}),
		ConnState: func(_ net.Conn, st http.ConnState) {
			switch st {
			case http.StateNew:
				conns <- true
			case http.StateClosed:
				closed <- true
			}
		}}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go s.Serve(ln)
	t.Cleanup(func() { s.Close() })
	c := config()
	b := newListed(c)
	list := ready(ln.Addr().String())
	id := b.update(list)[0].ID
	for range 5 {
		if r := send(b, t.Context(), id, lookMessage); r.Result != decision.Succeeded {
			t.Fatal(r.Result)
		}
		time.Sleep(2 * platformhttp.ReuseDelay)
	}
	if n := len(conns); n != 1 {
		t.Errorf("%d connections for 5 attempts, one after another", n)
	}
	list.Nodes[0].StartedAt = time.Now() // a new process
	if again := b.update(list)[0].ID; again != id {
		t.Errorf("the host has the id %v, it had %v", again, id)
	}
	testkit.Await(t, closed, "the old process's connection to be closed")

	c.IdleTimeout = 50 * time.Millisecond
	b = newListed(c)
	id = b.update(list)[0].ID
	send(b, t.Context(), id, lookMessage)
	testkit.Await(t, closed, "the idle connection to be closed")
}

// The attempts that are out hold sockets, of which a front door may have only so many.
func TestAttemptsAreBounded(t *testing.T) {
	read := make(chan bool, 1)
	addr := testkit.ServeRaw(t, func(int, net.Conn) { read <- true; <-t.Context().Done() })
	c := config()
	c.MaxConns = 1
	b := newListed(c)
	id := b.update(ready(addr))[0].ID
	ctx, cancel := context.WithCancel(t.Context())
	first := make(chan decision.Result)
	go func() { first <- send(b, ctx, id, lookMessage).Result }()
	testkit.Await(t, read, "the first attempt")
	if r := send(b, t.Context(), id, lookMessage); r.Result != decision.NotSent {
		t.Errorf("one too many: %v, want NotSent", r.Result)
	}
	cancel()
	if r := <-first; r != decision.Cancelled {
		t.Errorf("the first: %v", r)
	}
	addr = testkit.Serve(t, func(http.ResponseWriter, *http.Request) {})
	id = b.update(ready(addr))[0].ID
	if r := send(b, t.Context(), id, lookMessage); r.Result != decision.Succeeded {
		t.Errorf("with none out: %v", r.Result)
	}
}

// A dial that fails as this front door has no descriptor left says nothing of the backend.
func TestOwnShortageIsNotTheBackends(t *testing.T) {
	b := newListed(config())
	b.dial = func(context.Context, string, string) (net.Conn, error) {
		return nil, &net.OpError{Op: "dial", Err: os.NewSyscallError("socket", syscall.EMFILE)}
	}
	id := b.update(ready("127.0.0.1:1"))[0].ID
	if r := send(b, t.Context(), id, lookMessage); r.Result != decision.NotSent {
		t.Errorf("%v, want NotSent", r.Result)
	}
}

func TestProbe(t *testing.T) {
	b, id := attempts(t, testkit.Serve(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/status/load" {
			w.WriteHeader(http.StatusNotFound)
		}
		io.WriteString(w, "queue=3,qps=9\n")
	}))
	if p := b.Probe(id, testkit.WaitTimeout); p.Result != decision.Succeeded || !slices.Equal(p.LoadReport, []float64{3, 9}) {
		t.Errorf("%+v", p)
	}
}

// What comes behind an answer would be read as the answer to the next request on the connection, and a client would
// be served what was made for another.
func TestAnUncleanConnectionIsNotUsedAgain(t *testing.T) {
	for name, surplus := range map[string]string{"second copy": okReply, "noise": "\xb1`bS]1"} {
		for _, late := range []bool{false, true} {
			for tries := 0; ; tries++ {
				conns, wrote := map[net.Conn]bool{}, make(chan time.Duration, 10)
				addr := testkit.ServeRaw(t, func(n int, conn net.Conn) {
					conns[conn] = true
					begun := time.Now()
					if late {
						io.WriteString(conn, okReply)
						time.Sleep(platformhttp.ReuseDelay / 2)
						io.WriteString(conn, surplus)
					} else {
						io.WriteString(conn, okReply+surplus)
					}
					wrote <- time.Since(begun)
				})
				b, id := attempts(t, addr)
				slow := false
				for range 3 {
					r := send(b, t.Context(), id, lookMessage)
					if took := <-wrote; took > platformhttp.ReuseDelay*3/4 { // the machine was busy: it came when nobody waits for it any more
						slow = true
						break
					}
					if r.Result != decision.Succeeded || text(r) != "ok" {
						t.Errorf("%s: %v %q", name, r.Result, text(r))
					}
					time.Sleep(2 * platformhttp.ReuseDelay)
				}
				if slow && tries < 100 {
					continue
				}
				if !slow && len(conns) != 3 {
					t.Errorf("%s: 3 requests on %d connections", name, len(conns))
				}
				break
			}
		}
	}
}

// One spoilt answer closes its own connection only: the others are as good as before.
func TestASpoiltAnswerLeavesTheOthers(t *testing.T) {
	goOn, both := make(chan bool), make(chan bool, 2)
	addr := testkit.ServeRaw(t, func(n int, conn net.Conn) {
		if n <= 2 {
			both <- true
			<-goOn
		}
		if n == 3 {
			io.WriteString(conn, "noise\r\n\r\n")
		} else {
			io.WriteString(conn, okReply)
		}
	})
	b, id := attempts(t, addr)
	done := make(chan bool, 2)
	for range 2 {
		go func() { send(b, t.Context(), id, lookMessage); done <- true }()
		testkit.Await(t, both, "two requests at once")
	}
	close(goOn)
	testkit.Await(t, done, "the first answer")
	testkit.Await(t, done, "the second answer")
	time.Sleep(2 * platformhttp.ReuseDelay)
	if r := send(b, t.Context(), id, lookMessage); r.Result != decision.Unknown {
		t.Errorf("a spoilt answer ended as %v", r.Result)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.backends.Pool.Count() != 1 || b.backends.Pool.Idle() != 1 {
		t.Errorf("%d connections, %d idle, want the one that was not spoilt", b.backends.Pool.Count(), b.backends.Pool.Idle())
	}
}

// Backends are replaced all day long: nothing may be kept of one that is gone, and none that comes at its address may
// be sent anything on its connections, nor bear its id.
func TestGoneBackendsAreForgotten(t *testing.T) {
	conns := map[net.Conn]bool{}
	addr := testkit.ServeRaw(t, func(_ int, conn net.Conn) { conns[conn] = true; io.WriteString(conn, okReply) })
	b := newListed(config())
	ids := map[decision.BackendID]bool{}
	for i := range 20 {
		list := membership.Update{Nodes: []membership.Node{{Name: "s-" + string(rune('a'+i)), Addr: addr}}}
		id := b.update(list)[0].ID
		ids[id] = true
		if r := send(b, t.Context(), id, lookMessage); r.Result != decision.Succeeded {
			t.Fatal(r.Result)
		}
		if i > 0 { // the next one is there before the last is gone
			list.Nodes[0].Name, list.Nodes[0].State = "s-"+string(rune('a'+i-1)), decision.Removed
			b.update(list)
		}
	}
	if len(ids) != 20 || len(conns) != 20 {
		t.Errorf("20 backends had %d ids and %d connections", len(ids), len(conns))
	}
	if b.backends.Len() != 1 || b.backends.Pool.Count() != 1 || b.backends.Pool.Idle() != 1 {
		t.Errorf("kept: %d backends, %d connections", b.backends.Len(), b.backends.Pool.Count())
	}
}
