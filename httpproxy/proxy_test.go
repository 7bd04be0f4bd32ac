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

// scriptedBackend is a backend that responds to successive requests with given texts, the last of
// which is repeated. Some texts have a special meaning:
//
//   - "close" resets the connection without a response.
//   - "hang" never responds.
//   - A text that starts with "early:" is sent before the request's body is read.
//   - A text that starts with "late:" is followed, after 20 ms, by a second response.
//   - After a text that ends with "cut", the connection is closed.
type scriptedBackend struct {
	ln       net.Listener
	mu       sync.Mutex
	next     int      // index of the next response
	received []string // method, target and body of each request
}

func startScriptedBackend(t testing.TB, responses ...string) *scriptedBackend {
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
			go s.serve(c, responses)
		}
	}()
	return s
}

func (s *scriptedBackend) serve(c net.Conn, responses []string) {
	defer c.Close()
	in := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		s.mu.Lock()
		response := responses[min(s.next, len(responses)-1)]
		s.next++
		s.mu.Unlock()
		early := strings.HasPrefix(response, "early:")
		var body []byte
		if !early {
			body, _ = io.ReadAll(req.Body)
		}
		s.mu.Lock()
		s.received = append(s.received, req.Method+" "+req.RequestURI+" "+string(body))
		s.mu.Unlock()
		switch response {
		case "close":
			c.(*net.TCPConn).SetLinger(0)
			return
		case "hang":
			io.Copy(io.Discard, in)
			return
		}
		if rest, late := strings.CutPrefix(response, "late:"); late {
			io.WriteString(c, rest)
			time.Sleep(20 * time.Millisecond)
			response = strings.Replace(okResponse, "ok", "no", 1) // a response without a request
		}
		if _, err := io.WriteString(c, strings.TrimPrefix(response, "early:")); err != nil || early {
			time.Sleep(50 * time.Millisecond)
			return
		}
		if strings.HasSuffix(response, "cut") {
			return
		}
	}
}

func (s *scriptedBackend) addr() string { return s.ln.Addr().String() }

func (s *scriptedBackend) requests() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string{}, s.received...)
}

// exchangeRaw parses the response to a request with the given method, and the 1xx responses before
// it.
func exchangeRaw(t testing.TB, method, text string) (informational []int, res *http.Response, body string,
	err error) {
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

// Backends send valid, faulty, truncated and error responses, or reset the connection, after idempotent
// and non-idempotent requests. The client must get the response, or the proxy's own error, after no
// more attempts than the method allows.
func TestBackendBehaviours(t *testing.T) {
	const get, post, put = "GET", "POST", "PUT"
	for _, c := range []struct {
		name, method, body string
		responses          []string
		status, attempts   int
		want               string // the body, or a part of the problem's type
		truncated          bool   // the client receives an incomplete body
	}{
		{"connection reset, idempotent method", put, "x", []string{"close", okResponse}, 200, 2, "ok", false},
		{"connection reset, non-idempotent method", post, "x", []string{"close", okResponse}, 502, 1, "problem:failed",
			false},
		{"503 with Retry-After", post, "x", []string{"HTTP/1.1 503 X\r\nRetry-After: 7\r\nContent-Length: 0\r\n\r\n",
			okResponse}, 200, 2, "ok", false},
		{"503 without Retry-After, non-idempotent method", post, "x",
			[]string{"HTTP/1.1 503 X\r\nContent-Length: 4\r\n\r\nbusy", okResponse}, 503, 1, "busy", false},
		{"503 without Retry-After, idempotent method", get, "",
			[]string{"HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n", okResponse}, 200, 2, "ok", false},
		{"429", post, "x", []string{"HTTP/1.1 429 X\r\nContent-Length: 0\r\n\r\n", okResponse}, 200, 2, "ok", false},
		{"500", post, "x", []string{"HTTP/1.1 500 X\r\nContent-Length: 3\r\n\r\nbad"}, 500, 1, "bad", false},
		{"chunked 500", post, "x",
			[]string{"HTTP/1.1 500 X\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nbad\r\n0\r\n\r\n"}, 500, 1, "bad",
			false},
		{"large 500, idempotent method", get, "",
			[]string{"HTTP/1.1 500 X\r\nContent-Length: 70000\r\n\r\n" + strings.Repeat("e", 70000), okResponse}, 200,
			2, "ok", false},
		{"500 too large to be kept", post, "x", []string{"HTTP/1.1 500 X\r\nContent-Length: 300000\r\n\r\n" +
			strings.Repeat("e", 300000)}, 500, 1, strings.Repeat("e", 300000), false},
		{"503 with Retry-After too large to be kept", post, "x",
			[]string{"HTTP/1.1 503 X\r\nRetry-After: 1\r\nContent-Length: 300000\r\n\r\n" +
				strings.Repeat("e", 300000), okResponse}, 200, 2, "ok", false},
		{"chunked 429 too large to be kept", post, "x",
			[]string{"HTTP/1.1 429 X\r\nTransfer-Encoding: chunked\r\n\r\n493e0\r\n" + strings.Repeat("e", 300000) +
				"\r\n0\r\n\r\n", okResponse}, 200, 2, "ok", false},
		{"501", get, "", []string{"HTTP/1.1 501 X\r\nContent-Length: 0\r\n\r\n"}, 501, 1, "", false},
		{"unregistered status and reason", get, "",
			[]string{"HTTP/1.1 299 All Quite Fine\r\nContent-Length: 2\r\n\r\nok"}, 299, 1, "ok", false},
		{"invalid status", post, "", []string{"HTTP/1.1 042 X\r\nContent-Length: 0\r\n\r\n"}, 502, 1,
			"problem:failed", false},
		{"not HTTP", post, "", []string{"\x00\x01noise\r\n\r\n"}, 502, 1, "problem:failed", false},
		{"HTTP/1.0 body until close", get, "", []string{"HTTP/1.0 200 OK\r\n\r\nold cut"}, 200, 1, "old cut", false},
		{"truncated short response, idempotent method", get, "",
			[]string{"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf cut", okResponse}, 200, 2, "ok", false},
		{"truncated short response, non-idempotent method", post, "",
			[]string{"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf cut"}, 502, 1, "problem:failed", false},
		{"truncated chunked response", get, "",
			[]string{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\ncut", okResponse}, 200, 1,
			"hello", true},
		{"body in a response to HEAD", "HEAD", "", []string{"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"}, 200, 1, "",
			false},
		{"unrequested 101", post, "",
			[]string{"HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n"}, 502, 1,
			"problem:failed", false},
		{"two values of Content-Length", post, "",
			[]string{"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nok"}, 502, 1, "problem:failed",
			false},
		{"head over the limit", post, "", []string{"HTTP/1.1 200 OK\r\n" +
			strings.Repeat("X-A: "+strings.Repeat("a", 1000)+"\r\n", 100)}, 502, 1, "problem:failed", false},
		{"response before the request's body", post, strings.Repeat("b", 900_000),
			[]string{"early:HTTP/1.1 413 X\r\nContent-Length: 3\r\n\r\nbig"}, 413, 1, "big", false},
		{"204", "DELETE", "", []string{"HTTP/1.1 204 X\r\n\r\n"}, 204, 1, "", false},
		{"hints before the response", get, "",
			[]string{"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" + okResponse}, 200, 1, "ok", false},
		{"hints over the limit", post, "", []string{strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", 20) +
			okResponse}, 502, 1, "problem:failed", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			b := startScriptedBackend(t, c.responses...)
			// The backend is configured under two names, so that a retry can be sent to the other one.
			fx := startProxy(t, serviceSection("shop", b.addr(),
				strings.Replace(b.addr(), "127.0.0.1", "localhost", 1))+"hold = 65536\n")
			text := fmt.Sprintf("%s /a HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s",
				c.method, len(c.body), c.body)
			got := sendRaw(t, fx.addr, text, testTimeout)
			informational, res, body, err := exchangeRaw(t, c.method, got)
			if res == nil {
				t.Fatalf("%v: %.200q", err, got)
			}
			if res.StatusCode != c.status || !strings.Contains(body, c.want) || (err != nil) != c.truncated {
				t.Errorf("status %d, body %.80q, error %v; want status %d, %.80q in the body, truncated %t", res.StatusCode,
					body, err, c.status, c.want, c.truncated)
			}
			if n := len(b.requests()); n != c.attempts {
				t.Errorf("%d attempts, want %d: %.80q", n, c.attempts, b.requests())
			}
			if strings.HasPrefix(c.name, "hints") && len(informational) == 0 {
				t.Error("the client received 0 responses with status 103, want at least 1")
			}
			if open := fx.gateway.OpenRequests(); open != 0 {
				t.Errorf("%d requests are open, want 0", open)
			}
		})
	}
}

// Clients send valid and invalid requests. Each must be forwarded, or rejected with the expected status,
// and backends must not receive header fields that clients are not allowed to set.
func TestClientRequests(t *testing.T) {
	var mu sync.Mutex
	var got *http.Request // as the backend received it
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
		name, text, want string // a status, and a part of the response or "METHOD target" as forwarded
	}{
		{"host with upper case, trailing dot and port", "GET /items/7?q=2 HTTP/1.1\r\nHost: SHOP.example.:8080\r\n",
			"200 GET /items/7?q=2"},
		{"encoded slash", "GET /items/a%2Fb HTTP/1.1\r\nHost: shop.example\r\n", "200 GET /items/a%2Fb"},
		{"empty segment", "GET //items/7 HTTP/1.1\r\nHost: shop.example\r\n", "404 no-route"},
		{"empty parameter", "GET /items/ HTTP/1.1\r\nHost: shop.example\r\n", "404 no-route"},
		{"dot segment", "GET /items/../old HTTP/1.1\r\nHost: shop.example\r\n", "400 a segment"},
		{"encoded dot segment", "GET /items/%2e%2E HTTP/1.1\r\nHost: shop.example\r\n", "400 a segment"},
		{"invalid escape", "GET /items/%zz HTTP/1.1\r\nHost: shop.example\r\n", "400 "},
		{"path of 64 KiB", "GET " + long + " HTTP/1.1\r\nHost: shop.example\r\n", "200 GET " + long},
		{"subdomain of two labels", "GET /x HTTP/1.1\r\nHost: a.b.shop.example\r\n", "200 GET /x"},
		{"invalid host", "GET /x HTTP/1.1\r\nHost: a/b\r\n", "400 "},
		{"host without a route", "GET /items/7 HTTP/1.1\r\nHost: other.example\r\n", "404 no-route"},
		{"rejecting route", "GET /old HTTP/1.1\r\nHost: z\r\n", "410 route-refuses"},
		{"method not allowed", "GET /only HTTP/1.1\r\nHost: z\r\n", "405 POST, PUT"},
		{"absolute-form target", "GET http://shop.example/items/7 HTTP/1.1\r\nHost: shop.example\r\n", "400 "},
		{"CONNECT", "CONNECT shop.example:80 HTTP/1.1\r\nHost: shop.example:80\r\n", "400 "},
		{"WebSocket upgrade",
			"GET /items/7 HTTP/1.1\r\nHost: shop.example\r\nConnection: Upgrade\r\nUpgrade: websocket\r\n",
			"501 upgrade"},
		{"fragment", "GET /items/7#x HTTP/1.1\r\nHost: shop.example\r\n", "400 "},
		{"two idempotency keys", "POST /items/7 HTTP/1.1\r\nHost: shop.example\r\nIdempotency-Key: a\r\nIdempotency-Key: b\r\nContent-Length: 0\r\n", "400 twice"},
		{"10,000 fields", "GET /items/7 HTTP/1.1\r\nHost: shop.example\r\n" + many, "200 GET /items/7"},
		{"100,000 fields", "GET /items/7 HTTP/1.1\r\nHost: shop.example\r\n" + strings.Repeat(many, 10), "431 "},
		{"NUL in a field", "GET /items/7 HTTP/1.1\r\nHost: shop.example\r\nX-A: a\x00b\r\n", "400 "},
		{"bare CR", "GET /items/7 HTTP/1.1\r\nHost: shop.example\r\nX-A: a\rTransfer-Encoding: chunked\r\n", "400 "},
		{"folded line", "GET /items/7 HTTP/1.1\r\nHost: shop.example\r\nX-A: a\r\n b\r\n", "200 X-A: a b"},
		{"two values of Content-Length",
			"POST /items/7 HTTP/1.1\r\nHost: shop.example\r\nContent-Length: 0\r\nContent-Length: 1\r\n", "400 "},
		{"Content-Length and Transfer-Encoding",
			"POST /items/7 HTTP/1.1\r\nHost: shop.example\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /items/smuggled HTTP/1.1\r\nHost: shop.example\r\n", "200 POST /items/7"},
		{"body over the limit", "POST /items/7 HTTP/1.1\r\nHost: shop.example\r\nContent-Length: 1048577\r\n",
			"413 body-too-large"},
		{"forged customer and origin",
			"GET /items/7 HTTP/1.1\r\nHost: shop.example\r\nX-Customer: boss\r\nX-Forwarded-For: 10.1.1.1\r\nForwarded: for=10.1.1.1\r\n", "200 X-Forwarded-For: 127.0.0.1"},
		{"protected fields in Connection",
			"GET /items/7 HTTP/1.1\r\nHost: shop.example\r\nX-Customer: boss\r\nConnection: X-Forwarded-For, X-Customer, Via, X-Request-Id\r\n", "200 X-Forwarded-For: 127.0.0.1"},
		{"loop", "GET /items/7 HTTP/1.1\r\nHost: shop.example\r\nVia: " + strings.Repeat("1.1 pumicecroft, ", 8) +
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
				t.Errorf("an HTTP/1.0 client received 1xx responses %v, want none", informational)
			}
			mu.Lock()
			defer mu.Unlock()
			if res == nil {
				t.Fatalf("%.200q", all)
			}
			summary := fmt.Sprint(res.StatusCode, " ", body, res.Header["Allow"])
			if got != nil {
				summary += got.Method + " " + got.RequestURI + " "
				for name, vs := range got.Header {
					for _, v := range vs {
						summary += name + ": " + v + "\n"
					}
				}
				if got.Header["X-Customer"] != nil || got.Header["Forwarded"] != nil ||
					len(got.Header["X-Request-Id"]) != 1 || len(got.Header["Via"]) != 1 ||
					strings.Contains(got.RequestURI, "smuggled") {
					t.Errorf("the backend received %s with %v, want no X-Customer, no Forwarded, one X-Request-Id, one Via "+
						"and no smuggled request", got.RequestURI, got.Header)
				}
			}
			status, part, _ := strings.Cut(c.want, " ")
			if !strings.HasPrefix(summary, status+" ") || !strings.Contains(summary, part) ||
				(got != nil) != (status == "200") {
				t.Errorf("got %.400s, want status %s and %.80q, forwarded only with 200", summary, status, part)
			}
			if ct := res.Header.Get("Content-Type"); got == nil && res.StatusCode != 431 &&
				ct != "application/problem+json" && !strings.Contains(body, "Bad Request") {
				t.Errorf("Content-Type %q, want application/problem+json: %.200q", ct, body)
			}
		})
	}
}

// A backend sends a response slowly: the client must receive the part that was sent before the backend
// sends the rest.
func TestResponseIsStreamedAsItArrives(t *testing.T) {
	for name, length := range map[string]string{"chunked": "", "long with Content-Length": "100000"} {
		t.Run(name, func(t *testing.T) {
			sendNext := make(chan bool)
			backend := startServer(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				if length != "" {
					w.Header().Set("Content-Length", length)
				}
				w.WriteHeader(200)
				w.(http.Flusher).Flush()
				<-sendNext
				io.WriteString(w, "first")
				w.(http.Flusher).Flush()
				<-sendNext
				io.WriteString(w, strings.Repeat("x", 99995))
			}), nil)
			fx := startProxy(t, serviceSection("shop", backend))
			res, err := http.Get("http://" + fx.addr + "/")
			if err != nil {
				t.Fatal(err)
			}
			defer res.Body.Close()
			sendNext <- true
			p := make([]byte, 5)
			if _, err := io.ReadFull(res.Body, p); err != nil || string(p) != "first" {
				t.Errorf("read %q, error %v, want \"first\"", p, err)
			}
			sendNext <- true
			if rest, err := io.ReadAll(res.Body); err != nil || len(rest) != 99995 {
				t.Errorf("read %d more bytes, error %v, want 99995", len(rest), err)
			}
		})
	}
}

// A client does not read its response, or disconnects while it is sent. The request must end at the
// backend and in the gateway.
func TestClientThatDoesNotReadIsBounded(t *testing.T) {
	ended := make(chan bool, 10)
	backend := startServer(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer func() { ended <- true }()
		for r.Context().Err() == nil {
			if _, err := w.Write(make([]byte, 32<<10)); err != nil {
				return
			}
		}
	}), nil)
	fx := startProxy(t, serviceSection("shop", backend)+"deadline = \"700ms\"\n")
	for _, disconnects := range []bool{false, true} {
		for start := time.Now(); ; time.Sleep(10 * time.Millisecond) {
			c, err := net.Dial("tcp", fx.addr)
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			io.WriteString(c, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
			if !disconnects {
				break
			}
			head := make([]byte, 100)
			_, _ = io.ReadFull(c, head)
			c.Close()
			// After an attempt that exceeded its deadline, the next request may be rejected for a short time.
			if !strings.HasPrefix(string(head), "HTTP/1.1 503") || time.Since(start) > testTimeout {
				break
			}
		}
		select {
		case <-ended:
		case <-time.After(testTimeout):
			t.Fatalf("client that disconnects %t: the request at the backend is still open after %v", disconnects,
				testTimeout)
		}
		for end := time.Now().Add(testTimeout); fx.gateway.OpenRequests() > 0; time.Sleep(time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("client that disconnects %t: %d requests are open after %v, want 0", disconnects,
					fx.gateway.OpenRequests(), testTimeout)
			}
		}
	}
}

// Rules are replaced while a request is open: the request must keep its rules, and later requests must
// use the new ones. Invalid rules must not replace valid ones.
func TestSetRulesDuringOpenRequest(t *testing.T) {
	arrived, release := make(chan bool), make(chan bool)
	backend := startServer(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		arrived <- true
		<-release
		io.WriteString(w, "done")
	}), nil)
	fx := startProxy(t, serviceSection("shop", backend))
	openResponse := make(chan string)
	go func() {
		_, res, body, _ := exchangeRaw(t, "GET", sendRaw(t, fx.addr,
			"GET /a HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n", testTimeout))
		openResponse <- fmt.Sprint(res.StatusCode, body)
	}()
	<-arrived
	if err := fx.proxy.SetRules(fx.rules(parseFile(t, serviceSection("shop",
		backend)+"[[route]]\nrefuse = 403\n"))); err != nil {
		t.Fatal(err)
	}
	res, err := http.Get("http://" + fx.addr + "/a")
	if err != nil || res.StatusCode != 403 {
		t.Errorf("request after new rules: response %v, error %v, want status 403", res, err)
	}
	res.Body.Close()
	release <- true
	if got := <-openResponse; got != "200done" {
		t.Errorf("response to the open request %q, want \"200done\"", got)
	}
	err = fx.proxy.SetRules(fx.rules(parseFile(t, serviceSection("other", backend))))
	if !errors.Is(err, httpproxy.ErrInvalidRules) {
		t.Errorf("rules with an unknown service: error %v, want ErrInvalidRules", err)
	}
	res, err = http.Get("http://" + fx.addr + "/a")
	if err != nil {
		t.Fatalf("request after invalid rules: %v", err)
	}
	defer res.Body.Close()
	if res.StatusCode != 403 {
		t.Errorf("request after invalid rules: status %d, want 403", res.StatusCode)
	}
}

// A customer's quota must apply to all services together, and rejections must have the reason, the
// time to retry and the remaining quota.
func TestQuotaSpansServices(t *testing.T) {
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
			t.Errorf("status %d, problem %+v, header %v, error %v; want status 429, problem over-quota and the "+
				"rate limit headers", res.StatusCode, p, res.Header, err)
		}
		res.Body.Close()
	}
	if served < 6 || served > 10 {
		t.Errorf("%d units of a quota of 10 were served, want 6 to 10", served)
	}
}

// A request is repeated with its idempotency key: it must get the complete response of the first one.
// A different request with the same key must be rejected.
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
			t.Errorf("request %d: got %q, want it to start with %q", i, got, want)
		}
	}
}

// The bodies of two requests together exceed the body memory: the second request must be rejected, and
// the memory must be available again when the first one ends, or when a body is not received in time.
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
		t.Errorf("request over the body memory: status %d, want 503", got)
	}
	close(release)
	if got := <-first; got != 200 {
		t.Errorf("first request: status %d, want 200", got)
	}
	if got := post(60_000); got != 200 {
		t.Errorf("request after the first one has ended: status %d, want 200", got)
	}
	_, res, _, _ := exchangeRaw(t, "POST", sendRaw(t, fx.addr,
		"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\nhalf", testTimeout))
	if res == nil || res.StatusCode != 408 {
		t.Errorf("request with an incomplete body: response %v, want status 408", res)
	}
	if got := post(60_000); got != 200 {
		t.Errorf("request after one with an incomplete body: status %d, want 200", got)
	}
}

// zeroReader is an endless reader.
type zeroReader struct{}

func (zeroReader) Read(p []byte) (int, error) { return len(p), nil }

// The proxy runs inside another program's server. The identity that the program sets must take
// precedence over the identity rules, handlers that wrap the proxy (StripPrefix, TimeoutHandler) must
// work, and requests that no route matches must reach the program's own handler.
func TestProxyInHostServer(t *testing.T) {
	var forwardedTarget atomic.Value
	backend := startServer(t, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		forwardedTarget.Store(r.RequestURI)
		if r.URL.Path == "/slow" {
			<-r.Context().Done()
		}
	}), nil)
	fx := startProxy(t, serviceSection("shop",
		backend)+"[[identity]]\nkind = \"key\"\nfile = \"/dev/null\"\n[[plan]]\nname = \"p\"\n")
	host := http.StripPrefix("/api", http.TimeoutHandler(fx.proxy, time.Second, "host's"))
	get := func(target string, identified bool) *httptest.ResponseRecorder {
		req := httptest.NewRequest("GET", target, nil)
		if identified {
			req = req.WithContext(pumicecroft.WithIdentity(context.Background(),
				pumicecroft.Identity{Customer: 7, Plan: "p"}))
		}
		w := httptest.NewRecorder()
		host.ServeHTTP(w, req)
		return w
	}
	if w := get("/api/a%2Fb?x=1", true); w.Code != 200 || forwardedTarget.Load() != "/a%2Fb?x=1" {
		t.Errorf("status %d, target %v at the backend, want 200 and /a%%2Fb?x=1", w.Code, forwardedTarget.Load())
	}
	if w := get("/api/a", false); w.Code != 401 || w.Header().Get("WWW-Authenticate") == "" {
		t.Errorf("request without an identity: status %d, WWW-Authenticate %q, want 401 and a value", w.Code,
			w.Header().Get("WWW-Authenticate"))
	}
	for target, want := range map[string]int{"/a": 200, "/own": 418} {
		rules := fx.rules(parseFile(t, serviceSection("shop",
			backend)+"[[identity]]\nkind = \"key\"\nfile = \"/dev/null\"\n[[plan]]\nname = \"p\"\n[[route]]\npath = \"/a\"\n[[route]]\npath = \"/own\"\nmethods = [\"PUT\"]\n"))
		if err := fx.proxy.SetRules(rules); err != nil {
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
			t.Errorf("%s with a fallback: status %d, want %d", target, w.Code, want)
		}
	}
	if err := fx.proxy.SetRules(fx.rules(fx.file)); err != nil {
		t.Fatal(err)
	}
	if w := get("/api/slow", true); w.Code != 503 || w.Body.String() != "host's" {
		t.Errorf("request over the program's timeout: status %d, body %q, want 503 and \"host's\"", w.Code, w.Body)
	}
}

// A token expires during a request: the request and its retries must succeed, and the next request
// must be rejected.
func TestTokenExpiresDuringRequest(t *testing.T) {
	t.Parallel()
	secret := strings.Repeat("s", 32)
	path := testcerts.WriteFiles(t, t.TempDir(), map[string][]byte{"secret": []byte(secret)})
	expiry := time.Now().Truncate(time.Second).Add(2 * time.Second)
	var n atomic.Int64
	b := startServer(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if n.Add(1) == 1 {
			time.Sleep(time.Until(expiry.Add(100 * time.Millisecond)))
			w.WriteHeader(500) // the request is retried, after the token has expired
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
		jwt.MapClaims{"sub": "u", "aud": "shop", "exp": expiry.Unix()}).SignedString([]byte(secret))
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
			t.Errorf("request %d: status %d, %d attempts in total; want %d, 2 in total", i, res.StatusCode, n.Load(), want)
		}
	}
}

// A faulty backend sends bytes after the end of a response: they must not be read as the response to
// the next request.
func TestBytesAfterResponseCloseConnection(t *testing.T) {
	extraResponse := strings.Replace(okResponse, "ok", "no", 1)
	b := startScriptedBackend(t, okResponse+extraResponse, okResponse, okResponse+"\r\n", "late:"+okResponse, okResponse)
	fx := startProxy(t, serviceSection("shop", b.addr()))
	for i := range 5 {
		if i == 4 {
			time.Sleep(100 * time.Millisecond) // until the late response has arrived
		}
		_, res, body, err := exchangeRaw(t, "GET", sendRaw(t, fx.addr,
			"GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n", testTimeout))
		if err != nil || res.StatusCode != 200 || body != "ok" {
			t.Errorf("request %d: response %v, body %q, error %v; want status 200 and \"ok\"", i, res, body, err)
		}
	}
}

// A client sends its body slowly: the request's timeout must count from the arrival of the head, not
// from the end of the body.
func TestBodyReadTimeCountsAgainstTimeout(t *testing.T) {
	t.Parallel()
	fx := startProxy(t, serviceSection("shop", startScriptedBackend(t, "hang").addr())+"deadline = \"2s\"\n")
	c, err := net.Dial("tcp", fx.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	start := time.Now()
	io.WriteString(c, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\n")
	time.Sleep(1200 * time.Millisecond)
	io.WriteString(c, "ab")
	c.SetReadDeadline(start.Add(testTimeout))
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatalf("no response after %v: %v", time.Since(start), err)
	}
	defer res.Body.Close()
	if duration := time.Since(start); res.StatusCode/100 != 5 || duration > 2800*time.Millisecond {
		t.Errorf("status %d after %v, want 5xx after at most 2.8s", res.StatusCode, duration)
	}
}
