package frontdoor

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
)

func attempts(t *testing.T, addr string) (*Backends, decision.BackendID) {
	t.Helper()
	b := NewBackends(config(t))
	return b, b.update(ready(addr), clock{time.Now()})[0].ID
}

var lookMessage = &message{method: http.MethodGet, target: "/look", host: "origin.svc", header: http.Header{"Request-Id": {"9b1f03aa5c7e2d41"}}}

var payMessage = &message{method: http.MethodPost, target: "/pay", host: "origin.svc",
	header: http.Header{"Request-Id": {"9b1f03aa5c7e2d42"}, "Idempotency-Key": {"k"}}, body: []byte("amount=3")}

const okReply = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// A client library may send a GET, and a POST with an Idempotency-Key, again by itself when a kept connection
// turns out dead. Such a copy is an attempt that the gateway knows nothing of.
func TestNothingIsSentAgainOnADeadConnection(t *testing.T) {
	for name, m := range map[string]*message{"GET": lookMessage, "keyed POST": payMessage} {
		var seen atomic.Int64
		addr := raw(t, func(n int, conn net.Conn) {
			seen.Add(1)
			if n == 1 {
				io.WriteString(conn, okReply)
			} else {
				conn.Close() // read whole, never answered
			}
		})
		b, id := attempts(t, addr)
		ctx, cancel := context.WithTimeout(t.Context(), patient)
		defer cancel()
		if r := b.send(ctx, id, m); r.result != decision.Answered {
			t.Fatalf("%s: first attempt ended as %v", name, r.result)
		}
		time.Sleep(2 * restTime) // so that the second takes the same connection
		if r := b.send(ctx, id, m); r.result != decision.Broken {
			t.Errorf("%s: on a connection that broke the attempt ended as %v, want Broken", name, r.result)
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
	text := func(s string) func(int, net.Conn) {
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
		"served":               {reply(200), decision.Answered},
		"error":                {reply(500), decision.AnsweredErr},
		"not found":            {reply(404), decision.AnsweredErr},
		"turned away with 503": {reply(503, "Not-Started", "1"), decision.Refused},
		"turned away with 504": {reply(504, "Not-Started", "1"), decision.Refused},
		"503 without proof":    {reply(503), decision.AnsweredErr},
		"504 that denies it":   {reply(504, "Not-Started", "0"), decision.AnsweredErr},
		"500 never proves it":  {reply(500, "Not-Started", "1"), decision.AnsweredErr},
		"connection ends":      {text(""), decision.Broken},
		"connection reset": {func(_ int, conn net.Conn) {
			conn.(*net.TCPConn).SetLinger(0)
			conn.Close()
		}, decision.Broken},
		// A spoilt answer may have run, and says nothing bad of the backend: as Broken it would be held back and
		// taken for one that has restarted.
		"body cut midway":     {text("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok"), decision.Unknown},
		"head cut midway":     {text("HTTP/1.1 20"), decision.Unknown},
		"not HTTP":            {text("\x00\x01garbage\r\n\r\n"), decision.Unknown},
		"body never ends":     {open("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok"), decision.Unknown},
		"head never ends":     {open("HTTP/1.1 200 OK\r\nA: b\r\n"), decision.Unknown},
		"head over the limit": {open("HTTP/1.1 200 OK\r\nA: " + strings.Repeat("x", maxHead)), decision.Unknown},
		"3 GB announced":      {open("HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nok"), decision.Unknown},
		"two lengths":         {open("HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nok"), decision.Unknown},
		"negative length":     {open("HTTP/1.1 200 OK\r\nContent-Length: -2\r\n\r\nok"), decision.Unknown},
		"no length":           {text("HTTP/1.1 200 OK\r\n\r\nok"), decision.Unknown},
		"bad chunks":          {open("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nok"), decision.Unknown},
		"chunks over the limit": {open("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" +
			strings.Repeat("8000\r\n"+strings.Repeat("x", 0x8000)+"\r\n", 3)), decision.Unknown},
		"1xx without end":         {open(strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", maxHead/20)), decision.Unknown},
		"1xx ahead":               {open("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n" + okReply), decision.Answered},
		"switch":                  {open("HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n"), decision.Unknown},
		"chunks":                  {open("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"), decision.Answered},
		"largest body":            {open("HTTP/1.1 200 OK\r\nContent-Length: 65536\r\n\r\n" + strings.Repeat("x", maxBody)), decision.Answered},
		"absurd use":              {reply(200, "X-RateLimit-Used", "1e300", "Server-Load", "queue=-5,qps=1"), decision.Answered},
		"use below 0":             {reply(200, "X-RateLimit-Used", "-3", "Server-Load", "queue=NaN,qps=1"), decision.Answered},
		"unreadable use and load": {reply(200, "X-RateLimit-Used", "lots", "Server-Load", "queue=x,qps="), decision.Answered},
	} {
		b, id := attempts(t, raw(t, c.answer))
		ctx, cancel := context.WithTimeout(t.Context(), patient)
		if r := b.send(ctx, id, payMessage); r.result != c.want || r.hasUse || r.load != nil {
			t.Errorf("%s: %v, want %v; use %v, load %v", name, r.result, c.want, r.hasUse, r.load)
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
	if r := b.send(t.Context(), id, payMessage); r.result != decision.NoConnection {
		t.Errorf("refused connection: %v", r.result)
	}
	silent := func(_ int, _ net.Conn) { <-t.Context().Done() }
	b, id = attempts(t, raw(t, silent))
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	if r := b.send(ctx, id, payMessage); r.result != decision.TimedOut {
		t.Errorf("no answer in time: %v", r.result)
	}
	read := make(chan bool, 1)
	b, id = attempts(t, raw(t, func(int, net.Conn) { read <- true; <-t.Context().Done() }))
	ctx, cancel = context.WithCancel(t.Context())
	go func() { <-read; cancel() }()
	if r := b.send(ctx, id, payMessage); r.result != decision.Cancelled {
		t.Errorf("called off: %v", r.result)
	}
}

// The gateway wants the customer's use in percent as the header has it, and the load in the settings' order.
func TestReadings(t *testing.T) {
	b, id := attempts(t, serve(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-RateLimit-Used", "85")
		w.Header().Set("Server-Load", "qps=31.5, queue=2,new=7")
	}))
	r := b.send(t.Context(), id, lookMessage)
	if !r.hasUse || r.use != 85 || !slices.Equal(r.load, []float64{2, 31.5}) {
		t.Errorf("use %v %v, load %v", r.hasUse, r.use, r.load)
	}
}

// A connection can take long to come up. If the backend drains or the request ends meanwhile, nothing may be
// written to it any more, and the attempt is known never to have run.
func TestStaleAttemptsAreNotWritten(t *testing.T) {
	for name, warm := range map[string]bool{"new connection": false, "second attempt": true} {
		got := make(chan int, 10)
		addr := raw(t, func(n int, conn net.Conn) {
			got <- n
			io.WriteString(conn, okReply)
		})
		b := NewBackends(config(t))
		dialing, goOn := make(chan bool, 1), make(chan bool)
		dial := b.pool.dial
		b.pool.dial = func(ctx context.Context, network, addr string) (net.Conn, error) {
			dialing <- true
			<-goOn
			return dial(ctx, network, addr)
		}
		list := ready(addr)
		id := b.update(list, clock{time.Now()})[0].ID
		if warm { // the drain is told between two attempts
			go func() { <-dialing; goOn <- true }()
			b.send(t.Context(), id, lookMessage)
			<-got
			list.Hosts[0].Health = "Terminating"
			b.update(list, clock{time.Now()})
		} else {
			go func() {
				<-dialing
				list.Hosts[0].Health = "Terminating"
				b.update(list, clock{time.Now()})
				goOn <- true
			}()
		}
		if r := b.send(t.Context(), id, lookMessage); r.result != decision.NotSent {
			t.Errorf("%s: to a draining backend: %v, want NotSent", name, r.result)
		}
		select {
		case n := <-got:
			t.Errorf("%s: the backend read request %d", name, n)
		default:
		}
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
	c := config(t)
	b := NewBackends(c)
	list := ready(ln.Addr().String())
	id := b.update(list, clock{time.Now()})[0].ID
	for range 5 {
		if r := b.send(t.Context(), id, lookMessage); r.result != decision.Answered {
			t.Fatal(r.result)
		}
		time.Sleep(2 * restTime)
	}
	if n := len(conns); n != 1 {
		t.Errorf("%d connections for 5 attempts, one after another", n)
	}
	list.Hosts[0].BornMS = 1 // a new process
	if again := b.update(list, clock{time.Now()})[0].ID; again != id {
		t.Errorf("the host has the id %v, it had %v", again, id)
	}
	await(t, closed, "the old process's connection to be closed")

	c.Conns.Idle = 50 * time.Millisecond
	b = NewBackends(c)
	id = b.update(list, clock{time.Now()})[0].ID
	b.send(t.Context(), id, lookMessage)
	await(t, closed, "the idle connection to be closed")
}

// The attempts that are out hold sockets, of which a front door may have only so many.
func TestAttemptsAreBounded(t *testing.T) {
	read := make(chan bool, 1)
	addr := raw(t, func(int, net.Conn) { read <- true; <-t.Context().Done() })
	c := config(t)
	c.Limits.Sockets = 3
	b := NewBackends(c)
	id := b.update(ready(addr), clock{time.Now()})[0].ID
	ctx, cancel := context.WithCancel(t.Context())
	first := make(chan decision.Result)
	go func() { first <- b.send(ctx, id, lookMessage).result }()
	await(t, read, "the first attempt")
	if r := b.send(t.Context(), id, lookMessage); r.result != decision.NotSent {
		t.Errorf("one too many: %v, want NotSent", r.result)
	}
	cancel()
	if r := <-first; r != decision.Cancelled {
		t.Errorf("the first: %v", r)
	}
	addr = serve(t, func(http.ResponseWriter, *http.Request) {})
	id = b.update(ready(addr), clock{time.Now()})[0].ID
	if r := b.send(t.Context(), id, lookMessage); r.result != decision.Answered {
		t.Errorf("with none out: %v", r.result)
	}
}

// A dial that fails as this front door has no descriptor left says nothing of the backend.
func TestOwnShortageIsNotTheBackends(t *testing.T) {
	b := NewBackends(config(t))
	b.pool.dial = func(context.Context, string, string) (net.Conn, error) {
		return nil, &net.OpError{Op: "dial", Err: os.NewSyscallError("socket", syscall.EMFILE)}
	}
	id := b.update(ready("127.0.0.1:1"), clock{time.Now()})[0].ID
	if r := b.send(t.Context(), id, lookMessage); r.result != decision.NotSent {
		t.Errorf("%v, want NotSent", r.result)
	}
}

func await(t *testing.T, c <-chan bool, what string) {
	t.Helper()
	select {
	case <-c:
	case <-time.After(patient):
		t.Fatalf("waited in vain for %s", what)
	}
}

func TestProbe(t *testing.T) {
	b, id := attempts(t, serve(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/status/load" {
			w.WriteHeader(http.StatusNotFound)
		}
		io.WriteString(w, "queue=3,qps=9\n")
	}))
	if p := b.probe(id); p.Result != decision.Answered || !slices.Equal(p.Load, []float64{3, 9}) {
		t.Errorf("%+v", p)
	}
}

// What comes behind an answer would be read as the answer to the next request on the connection, and a client would
// be served what was made for another.
func TestAnUncleanConnectionIsNotUsedAgain(t *testing.T) {
	for name, surplus := range map[string]string{"second copy": okReply, "noise": "\xb1`bS]1"} {
		for _, late := range []bool{false, true} {
			conns := map[net.Conn]bool{}
			addr := raw(t, func(n int, conn net.Conn) {
				conns[conn] = true
				if late {
					io.WriteString(conn, okReply)
					time.Sleep(restTime / 2)
					io.WriteString(conn, surplus)
				} else {
					io.WriteString(conn, okReply+surplus)
				}
			})
			b, id := attempts(t, addr)
			for range 3 {
				if r := b.send(t.Context(), id, lookMessage); r.result != decision.Answered || string(r.body) != "ok" {
					t.Errorf("%s: %v %q", name, r.result, r.body)
				}
				time.Sleep(2 * restTime)
			}
			if len(conns) != 3 {
				t.Errorf("%s: 3 requests on %d connections", name, len(conns))
			}
		}
	}
}

// One spoilt answer closes its own connection only: the others are as good as before.
func TestASpoiltAnswerLeavesTheOthers(t *testing.T) {
	goOn, both := make(chan bool), make(chan bool, 2)
	addr := raw(t, func(n int, conn net.Conn) {
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
		go func() { b.send(t.Context(), id, lookMessage); done <- true }()
		await(t, both, "two requests at once")
	}
	close(goOn)
	await(t, done, "the first answer")
	await(t, done, "the second answer")
	time.Sleep(2 * restTime)
	if r := b.send(t.Context(), id, lookMessage); r.result != decision.Unknown {
		t.Errorf("a spoilt answer ended as %v", r.result)
	}
	b.pool.mu.Lock()
	defer b.pool.mu.Unlock()
	if b.pool.open != 1 || b.pool.idle.Len() != 1 {
		t.Errorf("%d connections, %d idle, want the one that was not spoilt", b.pool.open, b.pool.idle.Len())
	}
}

// Backends are replaced all day long: nothing may be kept of one that is gone, and none that comes at its address may
// be sent anything on its connections, nor bear its id.
func TestGoneBackendsAreForgotten(t *testing.T) {
	conns := map[net.Conn]bool{}
	addr := raw(t, func(_ int, conn net.Conn) { conns[conn] = true; io.WriteString(conn, okReply) })
	b := NewBackends(config(t))
	ids := map[decision.BackendID]bool{}
	for i := range 20 {
		list := EndpointList{Hosts: []Endpoint{{Host: "s-" + string(rune('a'+i)), Dial: addr, Health: "Ready"}}}
		id := b.update(list, clock{time.Now()})[0].ID
		ids[id] = true
		if r := b.send(t.Context(), id, lookMessage); r.result != decision.Answered {
			t.Fatal(r.result)
		}
		if i > 0 { // the next one is there before the last is gone
			list.Hosts[0].Host, list.Hosts[0].Health = "s-"+string(rune('a'+i-1)), "Gone"
			b.update(list, clock{time.Now()})
		}
	}
	if len(ids) != 20 || len(conns) != 20 {
		t.Errorf("20 backends had %d ids and %d connections", len(ids), len(conns))
	}
	if len(b.byHost) != 1 || len(b.byID) != 1 || b.pool.open != 1 || b.pool.idle.Len() != 1 {
		t.Errorf("kept: %d hosts, %d ids, %d connections", len(b.byHost), len(b.byID), b.pool.open)
	}
}

// A connection that has gone silent takes a request and never answers, while its backend serves all others at once.
// The request must be served by another backend long before its client gives up, the silent connection closed, and
// what is keyed must not leave the cell that drops its repeats.
func TestARequestOnASilentConnectionIsServedElsewhere(t *testing.T) {
	for name, c := range map[string]struct {
		class  string
		block  int // of the second backend; the first one's is 0
		served bool
	}{
		"safe":                  {"look", 1, true},
		"keyed, in the cell":    {"pay", 0, true},
		"keyed, no other there": {"pay", 1, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var silent atomic.Bool
			var asked atomic.Int64 // attempts since then
			handler := func(w http.ResponseWriter, r *http.Request) {
				io.Copy(io.Discard, r.Body)
				if silent.Load() && asked.Add(1) == 1 {
					<-r.Context().Done()
					return
				}
				io.WriteString(w, "ok")
			}
			list := ready(serve(t, handler), serve(t, handler))
			list.Hosts[1].Block = c.block
			d := startDoor(t, nil)
			d.loop.Update(list)
			ask := func(id int, timeout string) (*http.Response, string) {
				return do(t, d.ask(t, c.class, func(r *http.Request) {
					r.Header.Set("Request-Id", fmt.Sprintf("%016x", id))
					r.Header.Set("Request-Timeout", timeout)
				}))
			}
			for id := range 200 { // so that the gateway knows how long an answer takes
				if res, _ := ask(id, "20.5"); res.StatusCode != http.StatusOK {
					t.Fatalf("an ordinary request was answered %d", res.StatusCode)
				}
			}
			silent.Store(true)
			timeout := "3600" // cut to the class's deadline, which is longer than the test's patience
			if !c.served {
				timeout = "3"
			}
			res, body := ask(1000, timeout)
			if got := res.StatusCode == http.StatusOK && body == "ok"; got != c.served {
				t.Errorf("answered %d %q, served: want %v", res.StatusCode, body, c.served)
			}
			if want := int64(1 + b2i(c.served)); asked.Load() != want {
				t.Errorf("%d attempts were made, want %d", asked.Load(), want)
			}
		})
	}
}

// A backend that left one attempt unanswered for long, and that may well be the connection's fault, must be tried again
// within seconds: it would else be shunned for as long as the silence was long against an ordinary answer.
func TestABackendThatWasSilentIsTriedAgain(t *testing.T) {
	t.Parallel()
	var hung atomic.Int64 // which backend keeps silent, from 1
	var tried atomic.Int64
	handler := func(me int64) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			io.Copy(io.Discard, r.Body)
			if hung.Load() == -1 {
				hung.Store(me)
				<-r.Context().Done()
				return
			}
			if hung.Load() == me {
				tried.Add(1)
			}
			io.WriteString(w, "ok")
		}
	}
	list := ready(serve(t, handler(1)), serve(t, handler(2)))
	list.Hosts[1].Block = 1 // so that a keyed attempt can't be made elsewhere
	d := startDoor(t, nil)
	d.loop.Update(list)
	ask := func(id int, timeout string) int {
		res, _ := do(t, d.ask(t, "pay", func(r *http.Request) {
			r.Header.Set("Request-Id", fmt.Sprintf("%016x", id))
			r.Header.Set("Request-Timeout", timeout)
		}))
		return res.StatusCode
	}
	id := 0
	for ; id < 200; id++ {
		if status := ask(id, "20.5"); status != http.StatusOK {
			t.Fatalf("an ordinary request was answered %d", status)
		}
	}
	hung.Store(-1)
	if status := ask(id, "1"); status == http.StatusOK {
		t.Fatal("a request that was not answered was served")
	}
	for end := time.Now().Add(patient); tried.Load() == 0; id++ {
		if time.Now().After(end) {
			t.Fatalf("backend %d, silent once, is not tried again in %v", hung.Load(), patient)
		}
		time.Sleep(5 * time.Millisecond) // so that the customer stays within its quota
		if status := ask(id+1, "20.5"); status != http.StatusOK {
			t.Fatalf("an ordinary request was answered %d", status)
		}
	}
}

// Answers that tell a customer's use out of order tell one period more than once. A customer that stays within its
// quota, by its own count and by every reading, must not be refused for that.
func TestReadingsOutOfOrderRefuseNobody(t *testing.T) {
	t.Parallel()
	var asked atomic.Int64
	d := startDoor(t, nil, serve(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-RateLimit-Used", fmt.Sprint(40+asked.Add(1)%2))
		io.WriteString(w, "ok")
	}))
	pace := time.NewTicker(260 * time.Millisecond) // a little over half the meter's period
	defer pace.Stop()
	for id := range 34 {
		<-pace.C
		res, _ := do(t, d.ask(t, "look", func(r *http.Request) {
			r.Header.Set("Request-Id", fmt.Sprintf("%016x", id))
			r.Header.Set("X-Tier", "tiny")
			r.Header.Set("X-Call-Terms", "units=0.05,spread=1,first=0") // 0.19 units a second of 0.5
		}))
		if res.StatusCode != http.StatusOK {
			t.Fatalf("request %d was answered %d", id, res.StatusCode)
		}
	}
}

func b2i(b bool) int {
	if b {
		return 1
	}
	return 0
}
