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

// testConfig returns the configuration of one of two gateways, with an idempotent class and one that is idempotent by
// key.
func testConfig() Config {
	return Config{Seed: 0x8c1f30d27a5be964, Settings: decision.Settings{
		GatewayCount: 2, MaxAttempts: 3, CanCancel: true,
		Classes: []decision.Class{
			{Name: "look", LatencyObjective: 20 * time.Second, Deadline: time.Minute, PriorityWeight: 1},
			{Name: "pay", Idempotency: decision.IdempotentByKey, DedupScope: decision.DedupScopeCell,
				DedupWindow: 5 * time.Second, LatencyObjective: 20 * time.Second,
				Deadline: time.Minute, PriorityWeight: 5},
		},
		Plans: []decision.Plan{
			{Name: "basic", Rate: 1000, Burst: 1000, Price: 1},
			{Name: "tiny", Rate: 0.5, Burst: 1, Price: 1},
		},
		UsagePeriod: 500 * time.Millisecond, MaxCost: 3, MaxRetryAfter: 500 * time.Millisecond,
		LoadReportFields: []string{"depth", "tps"}, LoadReportsInResponses: true,
		SlowStartMinCapacity: 0.2, SlowStartWindow: time.Second,
		OverloadFactor: 4, OverloadDuration: time.Second,
	}}
}

// readyBackends returns a full update with a ready backend at each address.
func readyBackends(addrs ...string) membership.Update {
	update := membership.Update{Full: true}
	for i, addr := range addrs {
		update.Nodes = append(update.Nodes, membership.Node{Name: fmt.Sprintf("s-%d", i), Addr: addr, Weight: 1})
	}
	return update
}

// servedGateway is a Gateway behind the daemon's server, on a free port.
type servedGateway struct {
	addr    string
	gateway *Gateway
	stop    context.CancelFunc
	done    chan error
}

// startGateway starts a servedGateway with testConfig and ready backends at addrs. A nil engine selects package
// decision's.
func startGateway(t testing.TB, engine lifecycle.DecisionEngine, addrs ...string) *servedGateway {
	t.Helper()
	config := testConfig()
	config.InitialEndpoints = readyBackends(addrs...)
	return startServedGateway(t, config, engine)
}

// startServedGateway starts a servedGateway. A nil engine selects package decision's.
func startServedGateway(
	t testing.TB, config Config, engine lifecycle.DecisionEngine, options ...Option,
) *servedGateway {
	t.Helper()
	gateway, err := newGateway(config, engine, options)
	if err != nil {
		t.Fatal(err)
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	server := &servedGateway{addr: ln.Addr().String(), gateway: gateway, stop: stop, done: make(chan error, 1)}
	httpServer := httplistener.NewServer(gateway, 426, time.Minute, slog.New(slog.DiscardHandler), httplistener.Options{})
	go func() { server.done <- httpServer.Run(ctx, ln) }()
	t.Cleanup(func() {
		stop()
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_ = gateway.Close(ctx) // an ErrAborted if the test leaves requests open
	})
	return server
}

// newRequest returns a valid request, modified by change unless that is nil.
func (s *servedGateway) newRequest(t testing.TB, class string, change func(*http.Request)) *http.Request {
	t.Helper()
	method, body := http.MethodGet, io.Reader(nil)
	if class == "pay" {
		method, body = http.MethodPost, strings.NewReader("amount=3")
	}
	req, err := http.NewRequest(method, "http://"+s.addr+"/"+class, body)
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

// startAttemptsOn returns the actions of an engine that starts every request on one backend and ignores all other
// events.
func startAttemptsOn(id decision.BackendID) func(decision.Event) []decision.Action {
	return func(ev decision.Event) []decision.Action {
		if r, ok := ev.(decision.Request); ok {
			return []decision.Action{decision.StartAttempt{Request: r.ID, Backend: id}}
		}
		return nil
	}
}

func TestRequestIsForwardedUnchanged(t *testing.T) {
	body := strings.Repeat("b", 10000)
	server := startGateway(t, nil, testkit.Serve(t, func(w http.ResponseWriter, r *http.Request) {
		sent, _ := io.ReadAll(r.Body)
		timeout, err := strconv.ParseFloat(r.Header.Get("Request-Timeout"), 64)
		if r.RequestURI != "/pay/a%2Fb//c;d?x=1&y=%20&&" || r.Method != http.MethodPost || string(sent) != "amount=3" ||
			r.Header.Get("Request-Id") != "9b1f03aa5c7e2d41" || r.Host != "origin.svc" ||
			r.Header.Get("Idempotency-Key") != "5c0f6e1a2b3d4c59a8b7c6d5e4f30211" ||
			err != nil || timeout <= 0 || timeout > 20.5 {
			t.Errorf("the backend received %s %s, host %s, header %v, body %q; want the client's request unchanged, "+
				"with a timeout of at most 20.5 s", r.Method, r.RequestURI, r.Host, r.Header, sent)
		}
		io.WriteString(w, body)
	}))
	req := server.newRequest(t, "pay", func(r *http.Request) {
		r.URL.Opaque = "/pay/a%2Fb//c;d?x=1&y=%20&&"
		r.Host = "origin.svc"
	})
	if res, got := testkit.Do(t, req); res.StatusCode != 200 || got != body {
		t.Errorf("status %s, body of %d bytes; want 200 and the backend's %d bytes", res.Status, len(got), len(body))
	}
}

// An invalid request is answered at once: it reaches neither the engine nor a backend.
func TestBadRequests(t *testing.T) {
	set := func(name, value string) func(*http.Request) {
		return func(r *http.Request) { r.Header.Set(name, value) }
	}
	for name, c := range map[string]struct {
		class  string
		change func(*http.Request)
		status int
	}{
		"no id":            {"look", func(r *http.Request) { r.Header.Del("Request-Id") }, 400},
		"short id":         {"look", set("Request-Id", "9b1f"), 400},
		"id not hex":       {"look", set("Request-Id", "9b1f03aa5c7e2dzz"), 400},
		"two ids":          {"look", func(r *http.Request) { r.Header.Add("Request-Id", "9b1f03aa5c7e2d42") }, 400},
		"unknown class":    {"look", set("Request-Class", "dream"), 400},
		"not path's class": {"look", set("Request-Class", "pay"), 400},
		"wrong method":     {"look", func(r *http.Request) { r.Method = http.MethodPost }, 400},
		"GET with a body": {"look", func(r *http.Request) {
			r.Body, r.ContentLength = io.NopCloser(strings.NewReader("x")), 1
		}, 400},
		"no key":            {"pay", func(r *http.Request) { r.Header.Del("Idempotency-Key") }, 400},
		"unknown plan":      {"look", set("X-Tier", "gold"), 400},
		"customer too high": {"look", set("X-Api-Key", "0000000200000000"), 400},
		"customer not hex":  {"look", set("X-Api-Key", "-000000000000001"), 400},
		"no timeout":        {"look", func(r *http.Request) { r.Header.Del("Request-Timeout") }, 400},
		"timeout NaN":       {"look", set("Request-Timeout", "NaN"), 400},
		"timeout infinite":  {"look", set("Request-Timeout", "Inf"), 400},
		"timeout negative":  {"look", set("Request-Timeout", "-1"), 400},
		"no terms":          {"look", set("X-Call-Terms", ""), 400},
		"units NaN":         {"look", set("X-Call-Terms", "units=NaN,spread=2,first=1"), 400},
		"units zero":        {"look", set("X-Call-Terms", "units=0,spread=2,first=1"), 400},
		"too many units":    {"look", set("X-Call-Terms", "units=4,spread=2,first=1"), 400},
		"units twice":       {"look", set("X-Call-Terms", "units=1,units=2,spread=2,first=1"), 400},
		"spread too wide":   {"look", set("X-Call-Terms", "units=1,spread=3,first=1"), 400},
		"first too high":    {"look", set("X-Call-Terms", "units=1,spread=2,first=2"), 400},
		"incomplete terms":  {"look", set("X-Call-Terms", "units=1"), 400},
		"body over 64 KiB": {"pay", func(r *http.Request) {
			r.Body, r.ContentLength = io.NopCloser(strings.NewReader(strings.Repeat("x", MaxBody+1))), MaxBody+1
		}, 413},
		"chunked": {"pay", func(r *http.Request) {
			r.Body, r.ContentLength = io.NopCloser(strings.NewReader(strings.Repeat("x", MaxBody+1))), -1
		}, 400},
	} {
		engine := testkit.NewScriptedEngine(startAttemptsOn(1))
		server := startGateway(t, engine, "127.0.0.1:1")
		testkit.Next[decision.EndpointUpdate](t, engine)
		if res, _ := testkit.Do(t, server.newRequest(t, c.class, c.change)); res.StatusCode != c.status {
			t.Errorf("%s: status %s, want %d", name, res.Status, c.status)
		}
		if len(engine.Events) > 0 {
			t.Errorf("%s: the engine received %+v, want no event", name, <-engine.Events)
		}
		server.stop()
	}
}

func TestRejectionCarriesRetryAfter(t *testing.T) {
	server := startGateway(t, testkit.NewScriptedEngine(func(ev decision.Event) []decision.Action {
		if r, ok := ev.(decision.Request); ok {
			return []decision.Action{
				decision.Reject{Request: r.ID, RetryAfter: 250 * time.Millisecond},
				decision.Fail{Request: r.ID},
			}
		}
		return nil
	}))
	res, _ := testkit.Do(t, server.newRequest(t, "look", nil))
	if res.StatusCode != 503 || res.Header.Get("Retry-After") != "0.250" {
		t.Errorf("status %s, Retry-After %q; want 503 and 0.250", res.Status, res.Header.Get("Retry-After"))
	}
}

// If the engine never answers a request, its client must get a 504 before its timeout.
func TestUnansweredRequestGets504(t *testing.T) {
	engine := testkit.NewScriptedEngine(nil)
	server := startGateway(t, engine)
	res, _ := testkit.Do(t, server.newRequest(t, "look", func(r *http.Request) { r.Header.Set("Request-Timeout", "0.5") }))
	if res.StatusCode != http.StatusGatewayTimeout {
		t.Errorf("status %s, want 504", res.Status)
	}
	const maxTimeout = 500*time.Millisecond - lifecycle.TimeoutMargin
	if req := testkit.Next[decision.Request](t, engine); req.Timeout <= 0 || req.Timeout > maxTimeout {
		t.Errorf("the engine received the timeout %v, want more than 0 and at most %v", req.Timeout, maxTimeout)
	}
	testkit.Next[decision.ClientDisconnected](t, engine)
}

// When a client closes its connection, the engine must get a ClientDisconnected event, and the connection of the
// attempt that it cancels must be closed. An attempt started after that must not be sent.
func TestClientDisconnectCancelsAttempt(t *testing.T) {
	read, closed := make(chan bool, 1), make(chan bool, 1)
	addr := testkit.Serve(t, func(_ http.ResponseWriter, r *http.Request) {
		read <- true
		<-r.Context().Done()
		closed <- true
	})
	engine := testkit.NewScriptedEngine(func(ev decision.Event) []decision.Action {
		switch ev := ev.(type) {
		case decision.Request:
			return []decision.Action{decision.StartAttempt{Request: ev.ID, Backend: 1}}
		case decision.ClientDisconnected:
			return []decision.Action{
				decision.CancelAttempt{Request: ev.Request, Attempt: 0},
				decision.StartAttempt{Request: ev.Request, Backend: 1},
			}
		}
		return nil
	})
	server := startGateway(t, engine, addr)
	conn, err := net.Dial("tcp", server.addr)
	if err != nil {
		t.Fatal(err)
	}
	if err := server.newRequest(t, "look", nil).Write(conn); err != nil {
		t.Fatal(err)
	}
	testkit.Await(t, read, "the attempt to reach the backend")
	conn.Close()
	testkit.Next[decision.ClientDisconnected](t, engine)
	if out := testkit.Next[decision.Outcome](t, engine); out.Attempt != 1 || out.Result != decision.NotSent || !out.Final {
		t.Errorf("attempt started after the disconnect: outcome %+v, want a final NotSent of attempt 1", out)
	}
	out := testkit.Next[decision.Outcome](t, engine)
	if out.Attempt != 0 || out.Result != decision.Cancelled || !out.Final {
		t.Errorf("cancelled attempt: outcome %+v, want a final Cancelled of attempt 0", out)
	}
	testkit.Await(t, closed, "the backend's connection to be closed")
}

// A client that closes only its sending side counts as disconnected but may still read. It must not read an empty 200,
// which would look like a served response.
func TestHalfClosedClientGetsNoEmpty200(t *testing.T) {
	engine := testkit.NewScriptedEngine(nil)
	server := startGateway(t, engine)
	conn, err := net.Dial("tcp", server.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if err := server.newRequest(t, "look", nil).Write(conn); err != nil {
		t.Fatal(err)
	}
	testkit.Next[decision.Request](t, engine)
	if err := conn.(*net.TCPConn).CloseWrite(); err != nil {
		t.Fatal(err)
	}
	testkit.Next[decision.ClientDisconnected](t, engine)
	res, err := http.ReadResponse(bufio.NewReader(conn), nil) //nolint:bodyclose // the test closes the connection
	if err == nil && res.StatusCode < 500 {
		t.Errorf("the client read status %s, want an error status or no response", res.Status)
	}
}

// A request with the ID of an open request must get a 400. The engine would ignore it, so it would have no answer.
func TestDuplicateIDIsRejected(t *testing.T) {
	engine := testkit.NewScriptedEngine(nil)
	server := startGateway(t, engine)
	first := make(chan int, 1)
	go func() {
		res, err := http.DefaultTransport.RoundTrip(server.newRequest(t, "look", func(r *http.Request) {
			r.Header.Set("Request-Timeout", "1.5")
		}))
		if err != nil {
			t.Error(err)
			first <- 0
			return
		}
		res.Body.Close()
		first <- res.StatusCode
	}()
	testkit.Next[decision.Request](t, engine)
	if res, _ := testkit.Do(t, server.newRequest(t, "look", nil)); res.StatusCode != 400 {
		t.Errorf("second request with the same ID: status %s, want 400", res.Status)
	}
	if got := <-first; got != http.StatusGatewayTimeout {
		t.Errorf("first request: status %d, want 504", got)
	}
}

// If a backend closes its connection in the middle of the body, the client must get a 502, not the truncated response.
func TestTruncatedResponseIsNotServed(t *testing.T) {
	server := startGateway(t, nil, testkit.ServeRaw(t, func(_ int, conn net.Conn) {
		io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf")
		conn.Close()
	}))
	res, body := testkit.Do(t, server.newRequest(t, "pay", nil))
	if res.StatusCode != http.StatusBadGateway || body != "" {
		t.Errorf("status %s, body %q; want 502 and no body", res.Status, body)
	}
}

// After SIGTERM clients still connect for a while, and every accepted request must be answered before the server stops.
func TestGracefulShutdownAnswersAll(t *testing.T) {
	proceed, read := make(chan bool), make(chan bool, 2)
	server := startGateway(t, nil, testkit.Serve(t, func(w http.ResponseWriter, _ *http.Request) {
		read <- true
		<-proceed
		io.WriteString(w, "done")
	}))
	ask := func(id string) chan *http.Response {
		c := make(chan *http.Response, 1)
		go func() {
			res, err := (&http.Transport{}).RoundTrip(server.newRequest(t, "look", func(r *http.Request) {
				r.Header.Set("Request-Id", id)
			}))
			if err != nil {
				t.Error(err)
			} else {
				res.Body.Close()
			}
			c <- res
		}()
		return c
	}
	before := ask("00000000000000a1")
	testkit.Await(t, read, "the request sent before the shutdown to reach the backend")
	server.stop()
	after := ask("00000000000000a2") // on a new connection
	testkit.Await(t, read, "the request sent after the shutdown began to reach the backend")
	select {
	case err := <-server.done:
		t.Fatalf("the server stopped with two requests open, error %v", err)
	case <-time.After(800 * time.Millisecond):
	}
	close(proceed)
	for name, c := range map[string]chan *http.Response{"before": before, "after": after} {
		if res := <-c; res == nil || res.StatusCode != 200 || name == "after" && !res.Close {
			t.Errorf("request sent %s the shutdown began: response %+v, want 200, and Connection: close if sent after",
				name, res)
		}
	}
	select {
	case err := <-server.done:
		if err != nil {
			t.Errorf("the server stopped with error %v", err)
		}
	case <-time.After(testkit.WaitTimeout):
		t.Errorf("the server did not stop within %v of its last response", testkit.WaitTimeout)
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

// The connection of a client that sends no complete request must be closed within 3 s.
func TestIncompleteRequestsAreClosed(t *testing.T) {
	head := "POST /pay HTTP/1.1\r\nHost: h\r\nRequest-Id: 9b1f03aa5c7e2d41\r\nRequest-Class: pay\r\nX-Tier: basic\r\n" +
		"X-Api-Key: 00000000b4d65521\r\nRequest-Timeout: 20\r\nIdempotency-Key: k\r\nX-Call-Terms: units=1,spread=2,first=1\r\n"
	engine := testkit.NewScriptedEngine(nil)
	server := startGateway(t, engine)
	testkit.Next[decision.EndpointUpdate](t, engine)
	ended := make(chan string)
	for name, text := range map[string]string{
		"nothing sent":    "",
		"incomplete head": head,
		"incomplete body": head + "Content-Length: 9\r\n\r\nhalf",
		"large body":      head + "Content-Length: 60000000\r\n\r\nhalf",
	} {
		c := dial(t, server.addr)
		io.WriteString(c, text)
		go func() {
			start := time.Now()
			response := testkit.ReadUntilClosed(t, c)
			elapsed := time.Since(start)
			if elapsed > 2900*time.Millisecond || response != "" && !strings.HasPrefix(response, "HTTP/1.1 4") {
				t.Errorf("%s: connection closed after %v with response %q; want at most 2.9 s, and a 4xx or no response",
					name, elapsed, response)
			}
			ended <- name
		}()
	}
	for range 4 {
		<-ended
	}
	if len(engine.Events) > 0 {
		t.Errorf("the engine received %+v, want no event", <-engine.Events)
	}
}

// A request with both Content-Length and Transfer-Encoding may contain another request in its body (request smuggling).
// The server drops one of the two headers before a handler sees them, so the remaining one must suffice to reject it.
func TestAmbiguousFramingIsRejected(t *testing.T) {
	engine := testkit.NewScriptedEngine(nil)
	server := startGateway(t, engine)
	testkit.Next[decision.EndpointUpdate](t, engine)
	for _, proto := range []string{"HTTP/1.1", "HTTP/1.0"} {
		c := dial(t, server.addr)
		io.WriteString(c, "POST /pay "+proto+"\r\nHost: h\r\nRequest-Id: 9b1f03aa5c7e2d41\r\nRequest-Class: pay\r\nX-Tier: basic\r\n"+
			"X-Api-Key: 00000000b4d65521\r\nRequest-Timeout: 20\r\nIdempotency-Key: k\r\nX-Call-Terms: units=1,spread=2,first=1\r\n"+
			"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n")
		if response := testkit.ReadUntilClosed(t, c); !strings.Contains(response, " 400 ") {
			t.Errorf("%s: response %q, want status 400", proto, response)
		}
	}
	if len(engine.Events) > 0 {
		t.Errorf("the engine received %+v, want no event", <-engine.Events)
	}
}

// A connection stops responding: it accepts a request and never answers, while its backend serves all other requests
// at once. The request must be retried on another backend long before its client's timeout. A request with an
// idempotency key must not be retried outside the cell, as backends drop repeats only within it.
func TestRequestOnSilentConnectionIsRetried(t *testing.T) {
	for name, c := range map[string]struct {
		class  string
		cell   int // of the second backend; the first one's is 0
		served bool
	}{
		"idempotent":                       {"look", 1, true},
		"by key, second backend in cell":   {"pay", 0, true},
		"by key, no other backend in cell": {"pay", 1, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var silent atomic.Bool
			var attempts atomic.Int64 // since silent was set; the first of them gets no answer
			handler := func(w http.ResponseWriter, r *http.Request) {
				io.Copy(io.Discard, r.Body)
				if silent.Load() && attempts.Add(1) == 1 {
					<-r.Context().Done()
					return
				}
				io.WriteString(w, "ok")
			}
			update := readyBackends(testkit.Serve(t, handler), testkit.Serve(t, handler))
			update.Nodes[1].Cell = c.cell
			server := startGateway(t, nil)
			server.gateway.Update(update)
			ask := func(id int, timeout string) (*http.Response, string) {
				return testkit.Do(t, server.newRequest(t, c.class, func(r *http.Request) {
					r.Header.Set("Request-Id", fmt.Sprintf("%016x", id))
					r.Header.Set("Request-Timeout", timeout)
				}))
			}
			for id := range 200 { // the gateway needs latency samples
				if res, _ := ask(id, "20.5"); res.StatusCode != http.StatusOK {
					t.Fatalf("request %d before the silence: status %d, want 200", id, res.StatusCode)
				}
			}
			silent.Store(true)
			timeout := "3600" // reduced to the class's deadline, which is longer than the test waits
			if !c.served {
				timeout = "3"
			}
			res, body := ask(1000, timeout)
			if got := res.StatusCode == http.StatusOK && body == "ok"; got != c.served {
				t.Errorf("status %d, body %q: served = %v, want %v", res.StatusCode, body, got, c.served)
			}
			if want := int64(1 + boolToInt(c.served)); attempts.Load() != want {
				t.Errorf("%d attempts were made, want %d", attempts.Load(), want)
			}
		})
	}
}

// A backend that left one attempt unanswered for long, which may be the connection's fault, must be used again within
// seconds. If it were judged by its latency alone, it would be avoided for as long as its latency was above the usual.
func TestBackendIsUsedAgainAfterSilence(t *testing.T) {
	t.Parallel()
	var silentBackend atomic.Int64 // 1 or 2; 0: none yet; -1: the one that gets the next attempt
	var attemptsAfter atomic.Int64 // at the silent backend, after the one that it left unanswered
	handler := func(index int64) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			io.Copy(io.Discard, r.Body)
			if silentBackend.Load() == -1 {
				silentBackend.Store(index)
				<-r.Context().Done()
				return
			}
			if silentBackend.Load() == index {
				attemptsAfter.Add(1)
			}
			io.WriteString(w, "ok")
		}
	}
	update := readyBackends(testkit.Serve(t, handler(1)), testkit.Serve(t, handler(2)))
	update.Nodes[1].Cell = 1 // so that a request with a key cannot be retried on the other backend
	server := startGateway(t, nil)
	server.gateway.Update(update)
	ask := func(id int, timeout string) int {
		res, _ := testkit.Do(t, server.newRequest(t, "pay", func(r *http.Request) {
			r.Header.Set("Request-Id", fmt.Sprintf("%016x", id))
			r.Header.Set("Request-Timeout", timeout)
		}))
		return res.StatusCode
	}
	id := 0
	for ; id < 200; id++ {
		if status := ask(id, "20.5"); status != http.StatusOK {
			t.Fatalf("request %d before the silence: status %d, want 200", id, status)
		}
	}
	silentBackend.Store(-1)
	if status := ask(id, "1"); status == http.StatusOK {
		t.Fatalf("the request that its backend did not answer: status %d, want an error", status)
	}
	for end := time.Now().Add(testkit.WaitTimeout); attemptsAfter.Load() == 0; id++ {
		if time.Now().After(end) {
			t.Fatalf("backend %d, silent once, got no attempt within %v", silentBackend.Load(), testkit.WaitTimeout)
		}
		time.Sleep(5 * time.Millisecond) // so that the customer stays within its quota
		if status := ask(id+1, "20.5"); status != http.StatusOK {
			t.Fatalf("request %d after the silence: status %d, want 200", id+1, status)
		}
	}
}

// If responses arrive out of order, the usage of one period is reported more than once, with different readings. A
// customer that is within its quota, by the gateway's count and by every reading, must not be rejected for that.
func TestOutOfOrderUsageRejectsNoRequest(t *testing.T) {
	t.Parallel()
	var attempts atomic.Int64
	server := startGateway(t, nil, testkit.Serve(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-RateLimit-Used", fmt.Sprint(40+attempts.Add(1)%2))
		io.WriteString(w, "ok")
	}))
	ticker := time.NewTicker(260 * time.Millisecond) // a little over half of Settings.UsagePeriod
	defer ticker.Stop()
	for id := range 34 {
		<-ticker.C
		res, _ := testkit.Do(t, server.newRequest(t, "look", func(r *http.Request) {
			r.Header.Set("Request-Id", fmt.Sprintf("%016x", id))
			r.Header.Set("X-Tier", "tiny")
			r.Header.Set("X-Call-Terms", "units=0.05,spread=1,first=0") // 0.19 units a second, of a rate of 0.5
		}))
		if res.StatusCode != http.StatusOK {
			t.Fatalf("request %d: status %d, want 200", id, res.StatusCode)
		}
	}
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}
