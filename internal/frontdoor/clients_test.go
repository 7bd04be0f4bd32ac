package frontdoor

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"pumicecroft/decision"
)

// sendTo sends every request to a backend and does nothing else.
func sendTo(id decision.BackendID) func(decision.Event) []decision.Action {
	return func(ev decision.Event) []decision.Action {
		if r, ok := ev.(decision.Request); ok {
			return []decision.Action{decision.Send{Request: r.ID, Backend: id}}
		}
		return nil
	}
}

func TestARequestGoesOnAndComesBackUnchanged(t *testing.T) {
	body := strings.Repeat("b", 10000)
	d := startDoor(t, nil, serve(t, func(w http.ResponseWriter, r *http.Request) {
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
	req := d.ask(t, "pay", func(r *http.Request) {
		r.URL.Opaque = "/pay/a%2Fb//c;d?x=1&y=%20&&"
		r.Host = "origin.svc"
	})
	if res, got := do(t, req); res.StatusCode != 200 || got != body {
		t.Errorf("%s, %d bytes", res.Status, len(got))
	}
}

// What cannot be read is a failure at once: the gateway and the backends hear nothing of it.
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
			r.Body, r.ContentLength = io.NopCloser(strings.NewReader(strings.Repeat("x", maxBody+1))), maxBody+1
		}, 413},
		"chunked": {"pay", func(r *http.Request) {
			r.Body, r.ContentLength = io.NopCloser(strings.NewReader(strings.Repeat("x", maxBody+1))), -1
		}, 400},
	} {
		g := script(sendTo(1))
		d := startDoor(t, g, "127.0.0.1:1")
		next[decision.BackendList](t, g)
		if res, _ := do(t, d.ask(t, c.class, c.change)); res.StatusCode != c.status {
			t.Errorf("%s: %s, want %d", name, res.Status, c.status)
		}
		if len(g.heard) > 0 {
			t.Errorf("%s: the gateway heard %+v", name, <-g.heard)
		}
		d.stop()
	}
}

func TestRefusalsSayWhenToComeBack(t *testing.T) {
	d := startDoor(t, script(func(ev decision.Event) []decision.Action {
		if r, ok := ev.(decision.Request); ok {
			return []decision.Action{decision.Refuse{Request: r.ID, RetryAfter: 250 * time.Millisecond}, decision.Fail{Request: r.ID}}
		}
		return nil
	}))
	res, _ := do(t, d.ask(t, "look", nil))
	if res.StatusCode != 503 || res.Header.Get("Retry-After") != "0.250" {
		t.Errorf("%s, Retry-After %q", res.Status, res.Header.Get("Retry-After"))
	}
}

// Whatever the gateway does or does not do, a request has an answer before its client's time is up.
func TestLastMoment(t *testing.T) {
	g := script(nil)
	d := startDoor(t, g)
	res, _ := do(t, d.ask(t, "look", func(r *http.Request) { r.Header.Set("Request-Timeout", "0.5") }))
	if res.StatusCode != http.StatusGatewayTimeout {
		t.Errorf("%s, want the last moment's answer", res.Status)
	}
	if req := next[decision.Request](t, g); req.Patience <= 0 || req.Patience > 500*time.Millisecond-gatewayMargin {
		t.Errorf("the gateway was told of %v", req.Patience)
	}
	next[decision.ClientGone](t, g)
}

// A client that closes its connection is gone: the gateway hears of it, and the attempt it calls off is closed.
func TestClientThatLeaves(t *testing.T) {
	read, closed := make(chan bool, 1), make(chan bool, 1)
	addr := serve(t, func(_ http.ResponseWriter, r *http.Request) {
		read <- true
		<-r.Context().Done()
		closed <- true
	})
	g := script(func(ev decision.Event) []decision.Action {
		switch ev := ev.(type) {
		case decision.Request:
			return []decision.Action{decision.Send{Request: ev.ID, Backend: 1}}
		case decision.ClientGone:
			return []decision.Action{decision.Cancel{Request: ev.Request, Attempt: 0}, decision.Send{Request: ev.Request, Backend: 1}}
		}
		return nil
	})
	d := startDoor(t, g, addr)
	conn, err := net.Dial("tcp", d.addr)
	if err != nil {
		t.Fatal(err)
	}
	if err := d.ask(t, "look", nil).Write(conn); err != nil {
		t.Fatal(err)
	}
	await(t, read, "the attempt")
	conn.Close()
	next[decision.ClientGone](t, g)
	if out := next[decision.Outcome](t, g); out.Attempt != 1 || out.Result != decision.NotSent || !out.Final {
		t.Errorf("a send after the end: %+v", out)
	}
	if out := next[decision.Outcome](t, g); out.Attempt != 0 || out.Result != decision.Cancelled || !out.Final {
		t.Errorf("the attempt ended as %+v", out)
	}
	await(t, closed, "the backend's connection to be closed")
}

// A client that ends only its sending counts as gone too, but it may still read: what it reads must not look
// like a served answer.
func TestClientThatEndsItsSending(t *testing.T) {
	g := script(nil)
	d := startDoor(t, g)
	conn, err := net.Dial("tcp", d.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if err := d.ask(t, "look", nil).Write(conn); err != nil {
		t.Fatal(err)
	}
	next[decision.Request](t, g)
	if err := conn.(*net.TCPConn).CloseWrite(); err != nil {
		t.Fatal(err)
	}
	next[decision.ClientGone](t, g)
	if res, err := http.ReadResponse(bufio.NewReader(conn), nil); err == nil && res.StatusCode < 500 {
		t.Errorf("it read %s", res.Status)
	}
}

// An id that is open already would leave the second request without an answer: the gateway passes over it.
func TestAnIDThatIsOpen(t *testing.T) {
	g := script(nil)
	d := startDoor(t, g)
	first := make(chan int, 1)
	go func() {
		res, err := http.DefaultTransport.RoundTrip(d.ask(t, "look", func(r *http.Request) { r.Header.Set("Request-Timeout", "1.5") }))
		if err != nil {
			t.Error(err)
			first <- 0
			return
		}
		res.Body.Close()
		first <- res.StatusCode
	}()
	next[decision.Request](t, g)
	if res, _ := do(t, d.ask(t, "look", nil)); res.StatusCode != 400 {
		t.Errorf("the second of one id: %s", res.Status)
	}
	if got := <-first; got != http.StatusGatewayTimeout {
		t.Errorf("the first: %d", got)
	}
}

// A body that is cut midway is no answer: the attempt has failed, and the client is told so.
func TestACutAnswerIsNotServed(t *testing.T) {
	d := startDoor(t, nil, raw(t, func(_ int, conn net.Conn) {
		io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf")
		conn.Close()
	}))
	if res, body := do(t, d.ask(t, "pay", nil)); res.StatusCode != http.StatusBadGateway || body != "" {
		t.Errorf("%s %q", res.Status, body)
	}
}

// After SIGTERM clients still come for a while, and what was taken must be answered before the end.
func TestNothingIsLostAtTheEnd(t *testing.T) {
	goOn, read := make(chan bool), make(chan bool, 2)
	d := startDoor(t, nil, serve(t, func(w http.ResponseWriter, _ *http.Request) {
		read <- true
		<-goOn
		io.WriteString(w, "done")
	}))
	ask := func(id string) chan *http.Response {
		c := make(chan *http.Response, 1)
		go func() {
			res, err := (&http.Transport{}).RoundTrip(d.ask(t, "look", func(r *http.Request) { r.Header.Set("Request-Id", id) }))
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
	await(t, read, "the first request")
	d.stop()
	late := ask("00000000000000a2") // on a new connection
	await(t, read, "the request that came after SIGTERM")
	select {
	case err := <-d.done:
		t.Fatalf("ended with two requests open: %v", err)
	case <-time.After(drainMost + 100*time.Millisecond):
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
	case <-time.After(patient):
		t.Error("it never ended")
	}
}
