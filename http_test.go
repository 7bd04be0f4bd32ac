package pumicecroft

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"pumicecroft/decision"
	"pumicecroft/internal/httplistener"
	"pumicecroft/internal/lifecycle"
	"pumicecroft/internal/testkit"
	"pumicecroft/membership"
)

// testConfig is one of two gateways, with one class that is idempotent and one that is idempotent by key.
func testConfig() Config {
	return Config{Seed: 0x8c1f30d27a5be964, Settings: decision.Settings{GatewayCount: 2, MaxAttempts: 3, CanCancel: true,
		Classes: []decision.Class{{Name: "look", LatencyObjective: 20 * time.Second, Deadline: time.Minute, PriorityWeight: 1},
			{Name: "pay", Idempotency: decision.IdempotentByKey, DedupScope: decision.DedupScopeCell, DedupWindow: 5 * time.Second, LatencyObjective: 20 * time.Second,
				Deadline: time.Minute, PriorityWeight: 5}},
		Plans:       []decision.Plan{{Name: "basic", Rate: 1000, Burst: 1000, Price: 1}, {Name: "tiny", Rate: 0.5, Burst: 1, Price: 1}},
		UsagePeriod: 500 * time.Millisecond, MaxCost: 3, MaxRetryAfter: 500 * time.Millisecond,
		LoadReportFields: []string{"depth", "tps"}, LoadReportsInResponses: true, SlowStartMinCapacity: 0.2, SlowStartWindow: time.Second,
		OverloadFactor: 4, OverloadDuration: time.Second}}
}

func readyBackends(addrs ...string) membership.Update {
	list := membership.Update{Full: true}
	for i, addr := range addrs {
		list.Nodes = append(list.Nodes, membership.Node{Name: fmt.Sprintf("s-%d", i), Addr: addr, Weight: 1})
	}
	return list
}

// servedGateway is a Gateway behind the daemon's server, on a port of the system's choosing.
type servedGateway struct {
	addr    string
	gateway *Gateway
	stop    context.CancelFunc
	done    chan error
}

// startGateway starts one with a decision engine of the test's; nil: the one in use.
func startGateway(t testing.TB, decider lifecycle.DecisionEngine, addrs ...string) *servedGateway {
	t.Helper()
	config := testConfig()
	config.InitialEndpoints = readyBackends(addrs...)
	return startServedGateway(t, config, decider)
}

// startServedGateway is startGateway for a configuration and options of the test's.
func startServedGateway(t testing.TB, config Config, decider lifecycle.DecisionEngine, options ...Option) *servedGateway {
	t.Helper()
	gateway, err := newGateway(config, decider, options)
	if err != nil {
		t.Fatal(err)
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	d := &servedGateway{addr: ln.Addr().String(), gateway: gateway, stop: stop, done: make(chan error, 1)}
	server := httplistener.NewServer(gateway, 426, time.Minute, slog.New(slog.DiscardHandler), httplistener.Options{})
	go func() { d.done <- server.Run(ctx, ln) }()
	t.Cleanup(func() {
		stop()
		now, cancel := context.WithCancel(context.Background())
		cancel()
		_ = gateway.Close(now) // ErrAborted where a test leaves requests open
	})
	return d
}

// newRequest returns a valid request, altered by change.
func (d *servedGateway) newRequest(t testing.TB, class string, change func(*http.Request)) *http.Request {
	t.Helper()
	method, body := http.MethodGet, io.Reader(nil)
	if class == "pay" {
		method, body = http.MethodPost, strings.NewReader("amount=3")
	}
	req, err := http.NewRequest(method, "http://"+d.addr+"/"+class, body)
	if err != nil {
		t.Fatal(err)
	}
	for k, v := range map[string]string{"Request-Id": "9b1f03aa5c7e2d41", "Request-Class": class, "X-Tier": "basic",
		"X-Api-Key": "00000000b4d65521", "Request-Timeout": "20.5", "X-Call-Terms": "units=2,spread=2,first=1"} {
		req.Header.Set(k, v)
	}
	if class == "pay" {
		req.Header.Set("Idempotency-Key", "5c0f6e1a2b3d4c59a8b7c6d5e4f30211")
	}
	if change != nil {
		change(req)
	}
	return req
}

// startOn starts every request on one backend and ignores all other events.
func startOn(id decision.BackendID) func(decision.Event) []decision.Action {
	return func(ev decision.Event) []decision.Action {
		if r, ok := ev.(decision.Request); ok {
			return []decision.Action{decision.StartAttempt{Request: r.ID, Backend: id}}
		}
		return nil
	}
}

func TestRequestIsForwardedUnchanged(t *testing.T) {
	body := strings.Repeat("b", 10000)
	d := startGateway(t, nil, testkit.Serve(t, func(w http.ResponseWriter, r *http.Request) {
		sent, _ := io.ReadAll(r.Body)
		timeout, err := strconv.ParseFloat(r.Header.Get("Request-Timeout"), 64)
		if r.RequestURI != "/pay/a%2Fb//c;d?x=1&y=%20&&" || r.Method != http.MethodPost || string(sent) != "amount=3" ||
			r.Header.Get("Request-Id") != "9b1f03aa5c7e2d41" || r.Host != "origin.svc" ||
			r.Header.Get("Idempotency-Key") != "5c0f6e1a2b3d4c59a8b7c6d5e4f30211" ||
			err != nil || timeout <= 0 || timeout > 20.5 {
			t.Errorf("the backend was sent %s %s %v %q", r.Method, r.RequestURI, r.Header, sent)
		}
		io.WriteString(w, body)
	}))
	req := d.newRequest(t, "pay", func(r *http.Request) {
		r.URL.Opaque = "/pay/a%2Fb//c;d?x=1&y=%20&&"
		r.Host = "origin.svc"
	})
	if res, got := testkit.Do(t, req); res.StatusCode != 200 || got != body {
		t.Errorf("%s, %d bytes", res.Status, len(got))
	}
}

// An invalid request is answered at once: neither the engine nor a backend hears of it.
func TestBadRequests(t *testing.T) {
	set := func(name, value string) func(*http.Request) {
		return func(r *http.Request) { r.Header.Set(name, value) }
	}
	for name, c := range map[string]struct {
		class  string
		change func(*http.Request)
		status int
	}{
		"no id":             {"look", func(r *http.Request) { r.Header.Del("Request-Id") }, 400},
		"short id":          {"look", set("Request-Id", "9b1f"), 400},
		"id not hex":        {"look", set("Request-Id", "9b1f03aa5c7e2dzz"), 400},
		"two ids":           {"look", func(r *http.Request) { r.Header.Add("Request-Id", "9b1f03aa5c7e2d42") }, 400},
		"unknown class":     {"look", set("Request-Class", "dream"), 400},
		"class of no path":  {"look", set("Request-Class", "pay"), 400},
		"wrong method":      {"look", func(r *http.Request) { r.Method = http.MethodPost }, 400},
		"GET with a body":   {"look", func(r *http.Request) { r.Body, r.ContentLength = io.NopCloser(strings.NewReader("x")), 1 }, 400},
		"no key":            {"pay", func(r *http.Request) { r.Header.Del("Idempotency-Key") }, 400},
		"unknown plan":      {"look", set("X-Tier", "gold"), 400},
		"customer too high": {"look", set("X-Api-Key", "0000000200000000"), 400},
		"customer not hex":  {"look", set("X-Api-Key", "-000000000000001"), 400},
		"no timeout":        {"look", func(r *http.Request) { r.Header.Del("Request-Timeout") }, 400},
		"timeout NaN":       {"look", set("Request-Timeout", "NaN"), 400},
		"timeout infinite":  {"look", set("Request-Timeout", "Inf"), 400},
		"timeout below 0":   {"look", set("Request-Timeout", "-1"), 400},
		"no terms":          {"look", set("X-Call-Terms", ""), 400},
		"units NaN":         {"look", set("X-Call-Terms", "units=NaN,spread=2,first=1"), 400},
		"units of none":     {"look", set("X-Call-Terms", "units=0,spread=2,first=1"), 400},
		"too many units":    {"look", set("X-Call-Terms", "units=4,spread=2,first=1"), 400},
		"units twice":       {"look", set("X-Call-Terms", "units=1,units=2,spread=2,first=1"), 400},
		"spread too wide":   {"look", set("X-Call-Terms", "units=1,spread=3,first=1"), 400},
		"first of none":     {"look", set("X-Call-Terms", "units=1,spread=2,first=2"), 400},
		"half the terms":    {"look", set("X-Call-Terms", "units=1"), 400},
		"body over 64 KiB": {"pay", func(r *http.Request) {
			r.Body, r.ContentLength = io.NopCloser(strings.NewReader(strings.Repeat("x", MaxBody+1))), MaxBody+1
		}, 413},
		"chunked": {"pay", func(r *http.Request) {
			r.Body, r.ContentLength = io.NopCloser(strings.NewReader(strings.Repeat("x", MaxBody+1))), -1
		}, 400},
	} {
		g := testkit.NewScriptedEngine(startOn(1))
		d := startGateway(t, g, "127.0.0.1:1")
		testkit.Next[decision.EndpointUpdate](t, g)
		if res, _ := testkit.Do(t, d.newRequest(t, c.class, c.change)); res.StatusCode != c.status {
			t.Errorf("%s: %s, want %d", name, res.Status, c.status)
		}
		if len(g.Events) > 0 {
			t.Errorf("%s: the gateway heard %+v", name, <-g.Events)
		}
		d.stop()
	}
}

func TestRejectionCarriesRetryAfter(t *testing.T) {
	d := startGateway(t, testkit.NewScriptedEngine(func(ev decision.Event) []decision.Action {
		if r, ok := ev.(decision.Request); ok {
			return []decision.Action{decision.Reject{Request: r.ID, RetryAfter: 250 * time.Millisecond}, decision.Fail{Request: r.ID}}
		}
		return nil
	}))
	res, _ := testkit.Do(t, d.newRequest(t, "look", nil))
	if res.StatusCode != 503 || res.Header.Get("Retry-After") != "0.250" {
		t.Errorf("%s, Retry-After %q", res.Status, res.Header.Get("Retry-After"))
	}
}

// An engine that never answers a request must not leave its client waiting: it gets a 504 before its timeout.
func TestUnansweredRequestGets504(t *testing.T) {
	g := testkit.NewScriptedEngine(nil)
	d := startGateway(t, g)
	res, _ := testkit.Do(t, d.newRequest(t, "look", func(r *http.Request) { r.Header.Set("Request-Timeout", "0.5") }))
	if res.StatusCode != http.StatusGatewayTimeout {
		t.Errorf("%s, want the last moment's answer", res.Status)
	}
	if req := testkit.Next[decision.Request](t, g); req.Timeout <= 0 || req.Timeout > 500*time.Millisecond-lifecycle.TimeoutMargin {
		t.Errorf("the gateway was told of %v", req.Timeout)
	}
	testkit.Next[decision.ClientDisconnected](t, g)
}

// A client closes its connection: the engine is told, and the connection of the attempt that it cancels is closed.
func TestClientDisconnectCancelsAttempt(t *testing.T) {
	read, closed := make(chan bool, 1), make(chan bool, 1)
	addr := testkit.Serve(t, func(_ http.ResponseWriter, r *http.Request) {
		read <- true
		<-r.Context().Done()
		closed <- true
	})
	g := testkit.NewScriptedEngine(func(ev decision.Event) []decision.Action {
		switch ev := ev.(type) {
		case decision.Request:
			return []decision.Action{decision.StartAttempt{Request: ev.ID, Backend: 1}}
		case decision.ClientDisconnected:
			return []decision.Action{decision.CancelAttempt{Request: ev.Request, Attempt: 0}, decision.StartAttempt{Request: ev.Request, Backend: 1}}
		}
		return nil
	})
	d := startGateway(t, g, addr)
	conn, err := net.Dial("tcp", d.addr)
	if err != nil {
		t.Fatal(err)
	}
	if err := d.newRequest(t, "look", nil).Write(conn); err != nil {
		t.Fatal(err)
	}
	testkit.Await(t, read, "the attempt")
	conn.Close()
	testkit.Next[decision.ClientDisconnected](t, g)
	if out := testkit.Next[decision.Outcome](t, g); out.Attempt != 1 || out.Result != decision.NotSent || !out.Final {
		t.Errorf("a send after the end: %+v", out)
	}
	if out := testkit.Next[decision.Outcome](t, g); out.Attempt != 0 || out.Result != decision.Cancelled || !out.Final {
		t.Errorf("the attempt ended as %+v", out)
	}
	testkit.Await(t, closed, "the backend's connection to be closed")
}

// A client that closes only its sending side counts as disconnected, but it may still read: what it reads must not look
// like a served response.
func TestHalfClosedClientGetsNoEmpty200(t *testing.T) {
	g := testkit.NewScriptedEngine(nil)
	d := startGateway(t, g)
	conn, err := net.Dial("tcp", d.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if err := d.newRequest(t, "look", nil).Write(conn); err != nil {
		t.Fatal(err)
	}
	testkit.Next[decision.Request](t, g)
	if err := conn.(*net.TCPConn).CloseWrite(); err != nil {
		t.Fatal(err)
	}
	testkit.Next[decision.ClientDisconnected](t, g)
	res, err := http.ReadResponse(bufio.NewReader(conn), nil) //nolint:bodyclose // the test closes the connection
	if err == nil && res.StatusCode < 500 {
		t.Errorf("it read %s", res.Status)
	}
}

// The engine ignores a request with an id that is open, which would leave it without an answer: it must get a 400.
func TestDuplicateIDIsRejected(t *testing.T) {
	g := testkit.NewScriptedEngine(nil)
	d := startGateway(t, g)
	first := make(chan int, 1)
	go func() {
		res, err := http.DefaultTransport.RoundTrip(d.newRequest(t, "look", func(r *http.Request) { r.Header.Set("Request-Timeout", "1.5") }))
		if err != nil {
			t.Error(err)
			first <- 0
			return
		}
		res.Body.Close()
		first <- res.StatusCode
	}()
	testkit.Next[decision.Request](t, g)
	if res, _ := testkit.Do(t, d.newRequest(t, "look", nil)); res.StatusCode != 400 {
		t.Errorf("the second of one id: %s", res.Status)
	}
	if got := <-first; got != http.StatusGatewayTimeout {
		t.Errorf("the first: %d", got)
	}
}

// A backend closes its connection halfway through the body: that is no response, and the client gets a 502.
func TestTruncatedResponseIsNotServed(t *testing.T) {
	d := startGateway(t, nil, testkit.ServeRaw(t, func(_ int, conn net.Conn) {
		io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf")
		conn.Close()
	}))
	if res, body := testkit.Do(t, d.newRequest(t, "pay", nil)); res.StatusCode != http.StatusBadGateway || body != "" {
		t.Errorf("%s %q", res.Status, body)
	}
}

// After SIGTERM clients still connect for a while, and all that was accepted must be answered before the end.
func TestGracefulShutdownAnswersAll(t *testing.T) {
	goOn, read := make(chan bool), make(chan bool, 2)
	d := startGateway(t, nil, testkit.Serve(t, func(w http.ResponseWriter, _ *http.Request) {
		read <- true
		<-goOn
		io.WriteString(w, "done")
	}))
	ask := func(id string) chan *http.Response {
		c := make(chan *http.Response, 1)
		go func() {
			res, err := (&http.Transport{}).RoundTrip(d.newRequest(t, "look", func(r *http.Request) { r.Header.Set("Request-Id", id) }))
			if err != nil {
				t.Error(err)
			} else {
				res.Body.Close()
			}
			c <- res
		}()
		return c
	}
	held := ask("00000000000000a1")
	testkit.Await(t, read, "the first request")
	d.stop()
	late := ask("00000000000000a2") // on a new connection
	testkit.Await(t, read, "the request that came after SIGTERM")
	select {
	case err := <-d.done:
		t.Fatalf("ended with two requests open: %v", err)
	case <-time.After(800 * time.Millisecond):
	}
	close(goOn)
	for name, c := range map[string]chan *http.Response{"held": held, "late": late} {
		if res := <-c; res == nil || res.StatusCode != 200 || name == "late" && !res.Close {
			t.Errorf("%s: %+v", name, res)
		}
	}
	select {
	case err := <-d.done:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(testkit.WaitTimeout):
		t.Error("it never ended")
	}
}

func dial(t *testing.T, addr string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return c
}

// A client that sends no complete request must not hold a connection for long: it is closed within 3 s.
func TestIncompleteRequestsAreClosed(t *testing.T) {
	head := "POST /pay HTTP/1.1\r\nHost: h\r\nRequest-Id: 9b1f03aa5c7e2d41\r\nRequest-Class: pay\r\nX-Tier: basic\r\n" +
		"X-Api-Key: 00000000b4d65521\r\nRequest-Timeout: 20\r\nIdempotency-Key: k\r\nX-Call-Terms: units=1,spread=2,first=1\r\n"
	g := testkit.NewScriptedEngine(nil)
	d := startGateway(t, g)
	testkit.Next[decision.EndpointUpdate](t, g)
	ends := make(chan string)
	for name, text := range map[string]string{
		"silent":       "",
		"half a head":  head,
		"half a body":  head + "Content-Length: 9\r\n\r\nhalf",
		"a large body": head + "Content-Length: 60000000\r\n\r\nhalf",
	} {
		c := dial(t, d.addr)
		io.WriteString(c, text)
		go func() {
			start := time.Now()
			said := testkit.ReadUntilClosed(t, c)
			if took := time.Since(start); took > 2900*time.Millisecond || said != "" && !strings.HasPrefix(said, "HTTP/1.1 4") {
				t.Errorf("%s: after %v %q", name, took, said)
			}
			ends <- name
		}()
	}
	for range 4 {
		<-ends
	}
	if len(g.Events) > 0 {
		t.Errorf("the gateway heard %+v", <-g.Events)
	}
}

// A request that can be framed in two ways may hide another in its body. The server drops one of the two headers
// before a handler sees them, so the one left must be enough to reject it.
func TestAmbiguousFramingIsRejected(t *testing.T) {
	g := testkit.NewScriptedEngine(nil)
	d := startGateway(t, g)
	testkit.Next[decision.EndpointUpdate](t, g)
	for _, proto := range []string{"HTTP/1.1", "HTTP/1.0"} {
		c := dial(t, d.addr)
		io.WriteString(c, "POST /pay "+proto+"\r\nHost: h\r\nRequest-Id: 9b1f03aa5c7e2d41\r\nRequest-Class: pay\r\nX-Tier: basic\r\n"+
			"X-Api-Key: 00000000b4d65521\r\nRequest-Timeout: 20\r\nIdempotency-Key: k\r\nX-Call-Terms: units=1,spread=2,first=1\r\n"+
			"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n")
		if said := testkit.ReadUntilClosed(t, c); !strings.Contains(said, " 400 ") {
			t.Errorf("%s: %q", proto, said)
		}
	}
	if len(g.Events) > 0 {
		t.Errorf("the gateway heard %+v", <-g.Events)
	}
}

// A connection that has gone silent takes a request and never answers, while its backend serves all others at once.
// The request must be served by another backend long before its client gives up, the silent connection closed, and
// what is keyed must not leave the cell that drops its repeats.
func TestRequestOnSilentConnectionIsRetried(t *testing.T) {
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
			list := readyBackends(testkit.Serve(t, handler), testkit.Serve(t, handler))
			list.Nodes[1].Cell = c.block
			d := startGateway(t, nil)
			d.gateway.Update(list)
			ask := func(id int, timeout string) (*http.Response, string) {
				return testkit.Do(t, d.newRequest(t, c.class, func(r *http.Request) {
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
			if want := int64(1 + boolToInt(c.served)); asked.Load() != want {
				t.Errorf("%d attempts were made, want %d", asked.Load(), want)
			}
		})
	}
}

// A backend that left one attempt unanswered for long, which may be the connection's fault, must be used again within
// seconds: by its latency alone it would be avoided for as long as that was above an ordinary one.
func TestBackendIsUsedAgainAfterSilence(t *testing.T) {
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
	list := readyBackends(testkit.Serve(t, handler(1)), testkit.Serve(t, handler(2)))
	list.Nodes[1].Cell = 1 // so that a keyed attempt can't be made elsewhere
	d := startGateway(t, nil)
	d.gateway.Update(list)
	ask := func(id int, timeout string) int {
		res, _ := testkit.Do(t, d.newRequest(t, "pay", func(r *http.Request) {
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
	for end := time.Now().Add(testkit.WaitTimeout); tried.Load() == 0; id++ {
		if time.Now().After(end) {
			t.Fatalf("backend %d, silent once, is not tried again in %v", hung.Load(), testkit.WaitTimeout)
		}
		time.Sleep(5 * time.Millisecond) // so that the customer stays within its quota
		if status := ask(id+1, "20.5"); status != http.StatusOK {
			t.Fatalf("an ordinary request was answered %d", status)
		}
	}
}

// Responses that arrive out of order report a customer's usage of one period more than once. A customer that stays
// within its quota, by its own count and by every reading, must not be rejected for that.
func TestUsageOutOfOrderRejectsNobody(t *testing.T) {
	t.Parallel()
	var asked atomic.Int64
	d := startGateway(t, nil, testkit.Serve(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-RateLimit-Used", fmt.Sprint(40+asked.Add(1)%2))
		io.WriteString(w, "ok")
	}))
	pace := time.NewTicker(260 * time.Millisecond) // a little over half the meter's period
	defer pace.Stop()
	for id := range 34 {
		<-pace.C
		res, _ := testkit.Do(t, d.newRequest(t, "look", func(r *http.Request) {
			r.Header.Set("Request-Id", fmt.Sprintf("%016x", id))
			r.Header.Set("X-Tier", "tiny")
			r.Header.Set("X-Call-Terms", "units=0.05,spread=1,first=0") // 0.19 units a second of 0.5
		}))
		if res.StatusCode != http.StatusOK {
			t.Fatalf("request %d was answered %d", id, res.StatusCode)
		}
	}
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}
