package httpproxy_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/golang-jwt/jwt/v5"

	"pumicecroft"
	"pumicecroft/httpproxy"
	"pumicecroft/internal/testcerts"
)

const testTimeout = 20 * time.Second

// scriptedBackend is a backend without an HTTP server: it answers the requests of each connection
// with the given texts in turn; "close" resets the connection.
type scriptedBackend struct {
	ln   net.Listener
	mu   sync.Mutex
	next int
	got  []string // heads, and bodies of known length
}

func startScriptedBackend(t testing.TB, answers ...string) *scriptedBackend {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &scriptedBackend{ln: ln}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go s.serve(c, answers)
		}
	}()
	return s
}

func (s *scriptedBackend) serve(c net.Conn, answers []string) {
	defer c.Close()
	in := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		s.mu.Lock()
		answer := answers[min(s.next, len(answers)-1)]
		s.next++
		s.mu.Unlock()
		early := strings.HasPrefix(answer, "early:")
		var body []byte
		if !early {
			body, _ = io.ReadAll(req.Body)
		}
		s.mu.Lock()
		s.got = append(s.got, req.Method+" "+req.RequestURI+" "+string(body))
		s.mu.Unlock()
		switch answer {
		case "close":
			c.(*net.TCPConn).SetLinger(0)
			return
		case "hang":
			io.Copy(io.Discard, in)
			return
		}
		if rest, late := strings.CutPrefix(answer, "late:"); late {
			io.WriteString(c, rest)
			time.Sleep(20 * time.Millisecond)
			answer = strings.Replace(okResponse, "ok", "no", 1) // that nobody asked for
		}
		if _, err := io.WriteString(c, strings.TrimPrefix(answer, "early:")); err != nil || early {
			time.Sleep(50 * time.Millisecond)
			return
		}
		if strings.HasSuffix(answer, "cut") {
			return
		}
	}
}

func (s *scriptedBackend) addr() string { return s.ln.Addr().String() }

func (s *scriptedBackend) requests() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string{}, s.got...)
}

// exchangeRaw reads one response, and the 1xx responses before it.
func exchangeRaw(t testing.TB, method, text string) (informational []int, res *http.Response, body string, err error) {
	t.Helper()
	in := bufio.NewReader(strings.NewReader(text))
	for {
		if res, err = http.ReadResponse(in, &http.Request{Method: method}); err != nil {
			return informational, nil, "", err
		}
		if res.StatusCode >= 200 {
			break
		}
		informational = append(informational, res.StatusCode)
	}
	b, err := io.ReadAll(res.Body)
	return informational, res, string(b), err
}

const okResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// Backends respond, fail and break in all ways, to requests that may be retried and to others. The
// client must get the response, or the proxy's own error, after no more attempts than the method
// allows.
func TestBackendBehaviours(t *testing.T) {
	const get, post, put = "GET", "POST", "PUT"
	for _, c := range []struct {
		name, method, body string
		answers            []string
		status, attempts   int
		want               string // the body, or a part of the problem's type
		cut                bool
	}{
		{"broken, of an idempotent method", put, "x", []string{"close", okResponse}, 200, 2, "ok", false},
		{"broken, of one that is not", post, "x", []string{"close", okResponse}, 502, 1, "problem:failed", false},
		{"503 that says when", post, "x", []string{"HTTP/1.1 503 X\r\nRetry-After: 7\r\nContent-Length: 0\r\n\r\n",
			okResponse}, 200, 2, "ok", false},
		{"503 that does not", post, "x", []string{"HTTP/1.1 503 X\r\nContent-Length: 4\r\n\r\nbusy", okResponse}, 503,
			1, "busy", false},
		{"503 that does not, to be repeated at will", get, "",
			[]string{"HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n", okResponse}, 200, 2, "ok", false},
		{"429", post, "x", []string{"HTTP/1.1 429 X\r\nContent-Length: 0\r\n\r\n", okResponse}, 200, 2, "ok", false},
		{"500", post, "x", []string{"HTTP/1.1 500 X\r\nContent-Length: 3\r\n\r\nbad"}, 500, 1, "bad", false},
		{"500 in chunks", post, "x",
			[]string{"HTTP/1.1 500 X\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nbad\r\n0\r\n\r\n"}, 500, 1, "bad",
			false},
		{"a large 500, to be repeated at will", get, "",
			[]string{"HTTP/1.1 500 X\r\nContent-Length: 70000\r\n\r\n" + strings.Repeat("e", 70000), okResponse}, 200,
			2, "ok", false},
		{"500 too large to be held", post, "x", []string{"HTTP/1.1 500 X\r\nContent-Length: 300000\r\n\r\n" +
			strings.Repeat("e", 300000)}, 500, 1, strings.Repeat("e", 300000), false},
		{"a refusal too large to be held", post, "x",
			[]string{"HTTP/1.1 503 X\r\nRetry-After: 1\r\nContent-Length: 300000\r\n\r\n" +
				strings.Repeat("e", 300000), okResponse}, 200, 2, "ok", false},
		{"a refusal too large to be held, in chunks", post, "x",
			[]string{"HTTP/1.1 429 X\r\nTransfer-Encoding: chunked\r\n\r\n493e0\r\n" + strings.Repeat("e", 300000) +
				"\r\n0\r\n\r\n", okResponse}, 200, 2, "ok", false},
		{"501", get, "", []string{"HTTP/1.1 501 X\r\nContent-Length: 0\r\n\r\n"}, 501, 1, "", false},
		{"a status line of its own making", get, "",
			[]string{"HTTP/1.1 299 All Quite Fine\r\nContent-Length: 2\r\n\r\nok"}, 299, 1, "ok", false},
		{"a status that is none", post, "", []string{"HTTP/1.1 042 X\r\nContent-Length: 0\r\n\r\n"}, 502, 1,
			"problem:failed", false},
		{"noise", post, "", []string{"\x00\x01noise\r\n\r\n"}, 502, 1, "problem:failed", false},
		{"HTTP/1.0 to the end", get, "", []string{"HTTP/1.0 200 OK\r\n\r\nold cut"}, 200, 1, "old cut", false},
		{"a short answer cut, then whole", get, "", []string{"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf cut",
			okResponse}, 200, 2, "ok", false},
		{"a short answer cut, not to be repeated", post, "",
			[]string{"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf cut"}, 502, 1, "problem:failed", false},
		{"chunks cut", get, "", []string{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\ncut",
			okResponse}, 200, 1, "hello", true},
		{"a body to HEAD", "HEAD", "", []string{"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"}, 200, 1, "", false},
		{"a switch that nobody asked for", post, "",
			[]string{"HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n"}, 502, 1,
			"problem:failed", false},
		{"two lengths", post, "", []string{"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nok"},
			502, 1, "problem:failed", false},
		{"a head without an end", post, "", []string{"HTTP/1.1 200 OK\r\n" +
			strings.Repeat("X-A: "+strings.Repeat("a", 1000)+"\r\n", 100)}, 502, 1, "problem:failed", false},
		{"before it has the request", post, strings.Repeat("b", 900_000),
			[]string{"early:HTTP/1.1 413 X\r\nContent-Length: 3\r\n\r\nbig"}, 413, 1, "big", false},
		{"204", "DELETE", "", []string{"HTTP/1.1 204 X\r\n\r\n"}, 204, 1, "", false},
		{"hints", get, "", []string{"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" + okResponse}, 200, 1, "ok",
			false},
		{"hints without an end", post, "", []string{strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", 20) +
			okResponse}, 502, 1, "problem:failed", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			b := startScriptedBackend(t, c.answers...)
			// Two names of one backend: a repeat may go to the other.
			fx := startProxy(t, serviceSection("shop", b.addr(),
				strings.Replace(b.addr(), "127.0.0.1", "localhost", 1))+"hold = 65536\n")
			text := fmt.Sprintf("%s /a HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s",
				c.method, len(c.body), c.body)
			got := sendRaw(t, fx.addr, text, testTimeout)
			informational, res, body, err := exchangeRaw(t, c.method, got)
			if res == nil {
				t.Fatalf("%v: %.200q", err, got)
			}
			if res.StatusCode != c.status || !strings.Contains(body, c.want) || (err != nil) != c.cut {
				t.Errorf("%d %.80q %v", res.StatusCode, body, err)
			}
			if n := len(b.requests()); n != c.attempts {
				t.Errorf("%d attempts: %.80q", n, b.requests())
			}
			if strings.HasPrefix(c.name, "hints") && len(informational) == 0 {
				t.Error("no hints came")
			}
			if open := fx.gateway.OpenRequests(); open != 0 {
				t.Errorf("%d requests are open", open)
			}
		})
	}
}

// Clients send valid and invalid requests. Each is accepted or rejected by a stated rule, and
// fields that clients may not set for themselves do not reach backends.
func TestClientRequests(t *testing.T) {
	var mu sync.Mutex
	var got *http.Request
	backend := startServer(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		got = r
		w.WriteHeader(http.StatusEarlyHints)
	}), nil)
	fx := startProxy(t, serviceSection("shop", backend)+`
[http]
trusted = ["10.0.0.0/8"]
[[identity]]
kind = "header"
customer = "X-Customer"
plan = "gold"
[[identity]]
kind = "address"
plan = "open"
[[plan]]
name = "gold"
[[plan]]
name = "open"
[[route]]
name = "items"
host = "Shop.Example"
path = "/items/{id}"
[[route]]
name = "sub"
host = "*.shop.example"
path = "/{rest...}"
[[route]]
name = "old"
path = "/old"
refuse = 410
[[route]]
name = "only"
path = "/only"
methods = ["PUT", "POST"]
`)
	long := "/items/" + strings.Repeat("p", 64<<10)
	many := strings.Repeat("X-A: b\r\n", 10_000)
	for _, c := range []struct {
		name, text, want string // a status, and a part of the answer or "METHOD target" as it arrived
	}{
		{"a host with port, case and dot", "GET /items/7?q=2 HTTP/1.1\r\nHost: SHOP.example.:8080\r\n",
			"200 GET /items/7?q=2"},
		{"an encoded slash", "GET /items/a%2Fb HTTP/1.1\r\nHost: shop.example\r\n", "200 GET /items/a%2Fb"},
		{"an empty segment", "GET //items/7 HTTP/1.1\r\nHost: shop.example\r\n", "404 no-route"},
		{"a parameter that is empty", "GET /items/ HTTP/1.1\r\nHost: shop.example\r\n", "404 no-route"},
		{"dots", "GET /items/../old HTTP/1.1\r\nHost: shop.example\r\n", "400 a segment"},
		{"encoded dots", "GET /items/%2e%2E HTTP/1.1\r\nHost: shop.example\r\n", "400 a segment"},
		{"a bad escape", "GET /items/%zz HTTP/1.1\r\nHost: shop.example\r\n", "400 "},
		{"a path of 64 KiB", "GET " + long + " HTTP/1.1\r\nHost: shop.example\r\n", "200 GET " + long},
		{"a deep name", "GET /x HTTP/1.1\r\nHost: a.b.shop.example\r\n", "200 GET /x"},
		{"a host that is none", "GET /x HTTP/1.1\r\nHost: a/b\r\n", "400 "},
		{"another host", "GET /items/7 HTTP/1.1\r\nHost: other.example\r\n", "404 no-route"},
		{"a route that refuses", "GET /old HTTP/1.1\r\nHost: z\r\n", "410 route-refuses"},
		{"another method", "GET /only HTTP/1.1\r\nHost: z\r\n", "405 POST, PUT"},
		{"a target of a proxy", "GET http://shop.example/items/7 HTTP/1.1\r\nHost: shop.example\r\n", "400 "},
		{"CONNECT", "CONNECT shop.example:80 HTTP/1.1\r\nHost: shop.example:80\r\n", "400 "},
		{"an upgrade", "GET /items/7 HTTP/1.1\r\nHost: shop.example\r\nConnection: Upgrade\r\nUpgrade: websocket\r\n",
			"501 upgrade"},
		{"a fragment", "GET /items/7#x HTTP/1.1\r\nHost: shop.example\r\n", "400 "},
		{"two keys", "POST /items/7 HTTP/1.1\r\nHost: shop.example\r\nIdempotency-Key: a\r\nIdempotency-Key: b\r\nContent-Length: 0\r\n", "400 twice"},
		{"10,000 fields", "GET /items/7 HTTP/1.1\r\nHost: shop.example\r\n" + many, "200 GET /items/7"},
		{"100,000 fields", "GET /items/7 HTTP/1.1\r\nHost: shop.example\r\n" + strings.Repeat(many, 10), "431 "},
		{"NUL in a field", "GET /items/7 HTTP/1.1\r\nHost: shop.example\r\nX-A: a\x00b\r\n", "400 "},
		{"a bare CR", "GET /items/7 HTTP/1.1\r\nHost: shop.example\r\nX-A: a\rTransfer-Encoding: chunked\r\n", "400 "},
		{"a fold", "GET /items/7 HTTP/1.1\r\nHost: shop.example\r\nX-A: a\r\n b\r\n", "200 X-A: a b"},
		{"two lengths", "POST /items/7 HTTP/1.1\r\nHost: shop.example\r\nContent-Length: 0\r\nContent-Length: 1\r\n",
			"400 "},
		{"a length beside chunks",
			"POST /items/7 HTTP/1.1\r\nHost: shop.example\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /items/smuggled HTTP/1.1\r\nHost: shop.example\r\n", "200 POST /items/7"},
		{"a body over the limit", "POST /items/7 HTTP/1.1\r\nHost: shop.example\r\nContent-Length: 1048577\r\n",
			"413 body-too-large"},
		{"a customer that it says itself",
			"GET /items/7 HTTP/1.1\r\nHost: shop.example\r\nX-Customer: boss\r\nX-Forwarded-For: 10.1.1.1\r\nForwarded: for=10.1.1.1\r\n", "200 X-Forwarded-For: 127.0.0.1"},
		{"nominated", "GET /items/7 HTTP/1.1\r\nHost: shop.example\r\nX-Customer: boss\r\nConnection: X-Forwarded-For, X-Customer, Via, X-Request-Id\r\n", "200 X-Forwarded-For: 127.0.0.1"},
		{"a circle", "GET /items/7 HTTP/1.1\r\nHost: shop.example\r\nVia: " + strings.Repeat("1.1 pumicecroft, ", 8) +
			"\r\n", "508 loop"},
		{"HTTP/1.0", "GET /x HTTP/1.0\r\n", "404 no-route"},
		{"HTTP/1.0 with a host", "GET /items/7 HTTP/1.0\r\nHost: shop.example\r\n", "200 GET /items/7"},
	} {
		t.Run(c.name, func(t *testing.T) {
			mu.Lock()
			got = nil
			mu.Unlock()
			text := c.text + "\r\n"
			if !strings.Contains(text, "\nConnection:") {
				text = strings.Replace(text, "\r\n", "\r\nConnection: close\r\n", 1)
			}
			all := sendRaw(t, fx.addr, text, 2*time.Second)
			informational, res, body, _ := exchangeRaw(t, "GET", all)
			if strings.Contains(text, "HTTP/1.0") && len(informational) > 0 {
				t.Errorf("%v to a client of HTTP/1.0", informational)
			}
			mu.Lock()
			defer mu.Unlock()
			if res == nil {
				t.Fatalf("%.200q", all)
			}
			what := fmt.Sprint(res.StatusCode, " ", body, res.Header["Allow"])
			if got != nil {
				what += got.Method + " " + got.RequestURI + " "
				for name, vs := range got.Header {
					for _, v := range vs {
						what += name + ": " + v + "\n"
					}
				}
				if got.Header["X-Customer"] != nil || got.Header["Forwarded"] != nil ||
					len(got.Header["X-Request-Id"]) != 1 || len(got.Header["Via"]) != 1 ||
					strings.Contains(got.RequestURI, "smuggled") {
					t.Errorf("what it said for itself arrived: %v", got.Header)
				}
			}
			status, part, _ := strings.Cut(c.want, " ")
			if !strings.HasPrefix(what, status+" ") || !strings.Contains(what, part) ||
				(got != nil) != (status == "200") {
				t.Errorf("%.400s", what)
			}
			if ct := res.Header.Get("Content-Type"); got == nil && res.StatusCode != 431 &&
				ct != "application/problem+json" && !strings.Contains(body, "Bad Request") {
				t.Errorf("no problem document, but %q: %.200q", ct, body)
			}
		})
	}
}

// A backend sends a response slowly: what it has sent must arrive at the client before the rest is
// there.
func TestResponseIsStreamedAsItArrives(t *testing.T) {
	for name, length := range map[string]string{"chunks": "", "a long one of known length": "100000"} {
		t.Run(name, func(t *testing.T) {
			more := make(chan bool)
			backend := startServer(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				if length != "" {
					w.Header().Set("Content-Length", length)
				}
				w.WriteHeader(200)
				w.(http.Flusher).Flush()
				<-more
				io.WriteString(w, "first")
				w.(http.Flusher).Flush()
				<-more
				io.WriteString(w, strings.Repeat("x", 99995))
			}), nil)
			fx := startProxy(t, serviceSection("shop", backend))
			res, err := http.Get("http://" + fx.addr + "/")
			if err != nil {
				t.Fatal(err)
			}
			defer res.Body.Close()
			more <- true
			p := make([]byte, 5)
			if _, err := io.ReadFull(res.Body, p); err != nil || string(p) != "first" {
				t.Errorf("%q %v", p, err)
			}
			more <- true
			if rest, err := io.ReadAll(res.Body); err != nil || len(rest) != 99995 {
				t.Errorf("%d bytes, %v", len(rest), err)
			}
		})
	}
}

// A client does not read its response, or disconnects during it. The request must end by its
// deadline or at once, and hold nothing afterwards.
func TestClientThatDoesNotReadIsBounded(t *testing.T) {
	gone := make(chan bool, 10)
	backend := startServer(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer func() { gone <- true }()
		for r.Context().Err() == nil {
			if _, err := w.Write(make([]byte, 32<<10)); err != nil {
				return
			}
		}
	}), nil)
	fx := startProxy(t, serviceSection("shop", backend)+"deadline = \"700ms\"\n")
	for _, leaves := range []bool{false, true} {
		for begun := time.Now(); ; time.Sleep(10 * time.Millisecond) {
			c, err := net.Dial("tcp", fx.addr)
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			io.WriteString(c, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
			if !leaves {
				break
			}
			head := make([]byte, 100)
			_, _ = io.ReadFull(c, head)
			c.Close()
			// an attempt that took all of its time may have the next one refused for a moment
			if !strings.HasPrefix(string(head), "HTTP/1.1 503") || time.Since(begun) > testTimeout {
				break
			}
		}
		select {
		case <-gone:
		case <-time.After(testTimeout):
			t.Fatal("the backend is still asked")
		}
		for end := time.Now().Add(testTimeout); fx.gateway.OpenRequests() > 0; time.Sleep(time.Millisecond) {
			if time.Now().After(end) {
				t.Fatal("the request is still open")
			}
		}
	}
}

// Rules are replaced while a request is open: it goes on by its own rules, and later requests by
// the new ones.
func TestSetRulesDuringOpenRequest(t *testing.T) {
	came, release := make(chan bool), make(chan bool)
	backend := startServer(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		came <- true
		<-release
		io.WriteString(w, "done")
	}), nil)
	fx := startProxy(t, serviceSection("shop", backend))
	old := make(chan string)
	go func() {
		_, res, body, _ := exchangeRaw(t, "GET", sendRaw(t, fx.addr,
			"GET /a HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n", testTimeout))
		old <- fmt.Sprint(res.StatusCode, body)
	}()
	<-came
	if err := fx.proxy.SetRules(fx.rules(parseFile(t, serviceSection("shop",
		backend)+"[[route]]\nrefuse = 403\n"))); err != nil {
		t.Fatal(err)
	}
	res, err := http.Get("http://" + fx.addr + "/a")
	if err != nil || res.StatusCode != 403 {
		t.Errorf("%v %v", res, err)
	}
	res.Body.Close()
	release <- true
	if got := <-old; got != "200done" {
		t.Error(got)
	}
	err = fx.proxy.SetRules(fx.rules(parseFile(t, serviceSection("other", backend))))
	if !errors.Is(err, httpproxy.ErrInvalidRules) {
		t.Errorf("rules of another service: %v", err)
	}
	res, err = http.Get("http://" + fx.addr + "/a")
	if err != nil {
		t.Fatalf("after a bad swap: %v", err)
	}
	defer res.Body.Close()
	if res.StatusCode != 403 {
		t.Errorf("after a bad swap: %v", res)
	}
}

// A customer's quota spans services, and rejections say the reason, the time to retry and what is
// left.
func TestOneQuotaOverServices(t *testing.T) {
	var n atomic.Int64
	count := http.HandlerFunc(func(_ http.ResponseWriter, _ *http.Request) { n.Add(1) })
	fx := startProxy(t, serviceSection("a", startServer(t, count, nil))+serviceSection("b", startServer(t, count, nil))+`
[[plan]]
name = "small"
rate = 0.01
burst = 10
[[route]]
path = "/a/{rest...}"
service = "a"
[[route]]
path = "/b/{rest...}"
service = "b"
units = 2
`)
	served := 0
	for i := range 20 {
		res, err := http.Get("http://" + fx.addr + []string{"/a/", "/b/"}[i%2])
		if err != nil {
			t.Fatal(err)
		}
		var p httpproxy.Problem
		if res.StatusCode == 200 {
			served += 1 + i%2
		} else if err := json.NewDecoder(res.Body).Decode(&p); err != nil || res.StatusCode != 429 ||
			p.Status != 429 || p.Type != "urn:pumicecroft:problem:over-quota" ||
			res.Header.Get("Retry-After") == "" || res.Header.Get("RateLimit-Policy") != `"small";q=10;w=1000` ||
			res.Header.Get("RateLimit") != `"small";r=0;t=1` {
			t.Errorf("%d %+v %v %v", res.StatusCode, p, res.Header, err)
		}
		res.Body.Close()
	}
	if served < 6 || served > 10 {
		t.Errorf("%d units of 10 were served", served)
	}
}

// A request is repeated with its idempotency key, on any connection: it must get the first one's
// complete response. Another request with the key is rejected.
func TestIdempotencyKeys(t *testing.T) {
	var n atomic.Int64
	backend := startServer(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		w.Header().Set("X-Order", string(body))
		w.WriteHeader(201)
		fmt.Fprintf(w, "order %d", n.Add(1))
	}), nil)
	fx := startProxy(t, serviceSection("shop", backend)+"[keys]\n")
	for i, want := range []string{"201 order 1 a", "201 order 1 a", "422", "201 order 2 a"} {
		key, body := "k", "a"
		switch i {
		case 2:
			body = "b"
		case 3:
			key = "other"
		}
		req, _ := http.NewRequest("POST", "http://"+fx.addr+"/orders", bytes.NewReader([]byte(body)))
		req.Header.Set("Idempotency-Key", key)
		res, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		text, _ := io.ReadAll(res.Body)
		res.Body.Close()
		if got := fmt.Sprint(res.StatusCode, " ", string(text), " ",
			res.Header.Get("X-Order")); !strings.HasPrefix(got, want) {
			t.Errorf("%d: %s", i, got)
		}
	}
}

// Bodies of many requests exceed the memory for bodies: it must stay limited over all requests, and
// be given back.
func TestRequestBodyLimits(t *testing.T) {
	release := make(chan bool)
	backend := startServer(t, http.HandlerFunc(func(_ http.ResponseWriter,
		r *http.Request) {
		io.Copy(io.Discard, r.Body)
		<-release
	}), nil)
	fx := startProxy(t, serviceSection("shop", backend)+"[http]\nbody_memory = 100000\nbody_timeout = \"300ms\"\n")
	post := func(size int) int {
		res, err := http.Post("http://"+fx.addr+"/", "text/plain", io.LimitReader(zeroReader{}, int64(size)))
		if err != nil {
			t.Error(err)
			return 0
		}
		res.Body.Close()
		return res.StatusCode
	}
	first := make(chan int)
	go func() { first <- post(60_000) }()
	for end := time.Now().Add(testTimeout); fx.gateway.OpenRequests() == 0 &&
		time.Now().Before(end); time.Sleep(time.Millisecond) {
	}
	if got := post(60_000); got != 503 {
		t.Errorf("without room: %d", got)
	}
	close(release)
	if got := <-first; got != 200 {
		t.Errorf("the first: %d", got)
	}
	if got := post(60_000); got != 200 {
		t.Errorf("with room again: %d", got)
	}
	_, res, _, _ := exchangeRaw(t, "POST", sendRaw(t, fx.addr,
		"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\nhalf", testTimeout))
	if res == nil || res.StatusCode != 408 {
		t.Errorf("a body that does not come: %v", res)
	}
	if got := post(60_000); got != 200 {
		t.Errorf("after a body that did not come: %d", got)
	}
}

type zeroReader struct{}

func (zeroReader) Read(p []byte) (int, error) { return len(p), nil }

// In a host's server the host's identity precedes all rules, and its timeout has its own response.
func TestProxyInHostServer(t *testing.T) {
	var seen atomic.Value
	backend := startServer(t, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		seen.Store(r.RequestURI)
		if r.URL.Path == "/slow" {
			<-r.Context().Done()
		}
	}), nil)
	fx := startProxy(t, serviceSection("shop",
		backend)+"[[identity]]\nkind = \"key\"\nfile = \"/dev/null\"\n[[plan]]\nname = \"p\"\n")
	host := http.StripPrefix("/api", http.TimeoutHandler(fx.proxy, time.Second, "host's"))
	ask := func(target string, who bool) *httptest.ResponseRecorder {
		req := httptest.NewRequest("GET", target, nil)
		if who {
			req = req.WithContext(pumicecroft.WithIdentity(context.Background(),
				pumicecroft.Identity{Customer: 7, Plan: "p"}))
		}
		w := httptest.NewRecorder()
		host.ServeHTTP(w, req)
		return w
	}
	if w := ask("/api/a%2Fb?x=1", true); w.Code != 200 || seen.Load() != "/a%2Fb?x=1" {
		t.Errorf("%d, arrived as %v", w.Code, seen.Load())
	}
	if w := ask("/api/a", false); w.Code != 401 || w.Header().Get("WWW-Authenticate") == "" {
		t.Errorf("nobody: %d", w.Code)
	}
	for target, want := range map[string]int{"/a": 200, "/own": 418} {
		swap := fx.rules(parseFile(t, serviceSection("shop",
			backend)+"[[identity]]\nkind = \"key\"\nfile = \"/dev/null\"\n[[plan]]\nname = \"p\"\n[[route]]\npath = \"/a\"\n[[route]]\npath = \"/own\"\nmethods = [\"PUT\"]\n"))
		if err := fx.proxy.SetRules(swap); err != nil {
			t.Fatal(err)
		}
		w := httptest.NewRecorder()
		req := httptest.NewRequest("GET", target, nil).WithContext(pumicecroft.WithIdentity(context.Background(),
			pumicecroft.Identity{Customer: 7, Plan: "p"}))
		fx.proxy.WithFallback(http.HandlerFunc(func(w http.ResponseWriter,
			_ *http.Request) {
			w.WriteHeader(418)
		})).ServeHTTP(w, req)
		if w.Code != want {
			t.Errorf("%s beside a host's own: %d", target, w.Code)
		}
	}
	if err := fx.proxy.SetRules(fx.rules(fx.file)); err != nil {
		t.Fatal(err)
	}
	if w := ask("/api/slow", true); w.Code != 503 || w.Body.String() != "host's" {
		t.Errorf("%d %q", w.Code, w.Body)
	}
}

// A token expires during a request: it is valid for the whole request with its retries, and the
// next request is rejected.
func TestTokenExpiresDuringRequest(t *testing.T) {
	t.Parallel()
	secret := strings.Repeat("s", 32)
	path := testcerts.WriteFiles(t, t.TempDir(), map[string][]byte{"secret": []byte(secret)})
	ends := time.Now().Truncate(time.Second).Add(2 * time.Second)
	var n atomic.Int64
	b := startServer(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if n.Add(1) == 1 {
			time.Sleep(time.Until(ends.Add(100 * time.Millisecond)))
			w.WriteHeader(500) // and it is made again, after the token's end
		}
	}), nil)
	fx := startProxy(t, serviceSection("shop", b, strings.Replace(b, "127.0.0.1", "localhost", 1))+fmt.Sprintf(`
[[identity]]
kind = "token"
algorithms = ["HS256"]
secret_file = %q
audience = "shop"
plan = "p"
[[plan]]
name = "p"
`, path("secret")))
	text, err := jwt.NewWithClaims(jwt.SigningMethodHS256,
		jwt.MapClaims{"sub": "u", "aud": "shop", "exp": ends.Unix()}).SignedString([]byte(secret))
	if err != nil {
		t.Fatal(err)
	}
	for i, want := range []int{200, 401} {
		req, _ := http.NewRequest("GET", "http://"+fx.addr+"/", nil)
		req.Header.Set("Authorization", "Bearer "+text)
		res, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		res.Body.Close()
		if res.StatusCode != want || n.Load() != 2 {
			t.Errorf("request %d: %d after %d attempts", i, res.StatusCode, n.Load())
		}
	}
}

// A faulty backend sends bytes behind a response: they must not be taken for the next request's
// response.
func TestBytesBehindResponseCloseConnection(t *testing.T) {
	evil := strings.Replace(okResponse, "ok", "no", 1)
	b := startScriptedBackend(t, okResponse+evil, okResponse, okResponse+"\r\n", "late:"+okResponse, okResponse)
	fx := startProxy(t, serviceSection("shop", b.addr()))
	for i := range 5 {
		if i == 4 {
			time.Sleep(100 * time.Millisecond) // what comes late has come
		}
		_, res, body, err := exchangeRaw(t, "GET", sendRaw(t, fx.addr,
			"GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n", testTimeout))
		if err != nil || res.StatusCode != 200 || body != "ok" {
			t.Errorf("answer %d: %v %q %v", i, res, body, err)
		}
	}
}

// A client sends its body slowly: its timeout counts from the start of the request, not from the
// end of the body.
func TestBodyReadTimeCountsAgainstTimeout(t *testing.T) {
	t.Parallel()
	fx := startProxy(t, serviceSection("shop", startScriptedBackend(t, "hang").addr())+"deadline = \"2s\"\n")
	c, err := net.Dial("tcp", fx.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	begun := time.Now()
	io.WriteString(c, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\n")
	time.Sleep(1200 * time.Millisecond)
	io.WriteString(c, "ab")
	c.SetReadDeadline(begun.Add(testTimeout))
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatalf("%v after %v", err, time.Since(begun))
	}
	defer res.Body.Close()
	if took := time.Since(begun); res.StatusCode/100 != 5 || took > 2800*time.Millisecond {
		t.Errorf("%v after %v", res, took)
	}
}
