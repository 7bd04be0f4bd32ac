package http1proxy

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"pumicecroft/decision"

	"pgregory.net/rapid"
)

// A result that means that a request has not run would allow any retry, so a request that may have run
// must not get one, whatever the reason for the end of its attempt.
func TestEndOfAttemptResults(t *testing.T) {
	notRun := map[decision.Result]bool{decision.NotSent: true, decision.ConnectFailed: true, decision.Rejected: true}
	for _, reason := range []EndReason{ConnectionLost, MalformedResponse, AttemptCancelled, DeadlineExceeded,
		ClientWriteFailed} {
		for written := range 4 {
			p := Progress{HeadBytes: 2, WrittenBytes: written}
			if r := p.Result(reason); notRun[r] && p.MayHaveRun() {
				t.Errorf("reason %d after %d bytes: result %d means not run, but the request may have run", reason, written, r)
			} else if r == decision.Succeeded || r == decision.ErrorResponse {
				t.Errorf("reason %d after %d bytes: result %d means that there was a response", reason, written, r)
			}
		}
	}
	if r := (Progress{HeadBytes: 2, WrittenBytes: 1}).Result(ConnectionLost); r != decision.ConnectFailed {
		t.Errorf("connection lost within the head: result %d, want %d", r, decision.ConnectFailed)
	}
	if r := (Progress{HeadBytes: 2, WrittenBytes: 2}).Result(ConnectionLost); r != decision.ConnectionLost {
		t.Errorf("connection lost after the head: result %d, want %d", r, decision.ConnectionLost)
	}
}

func TestStatusResults(t *testing.T) {
	custom := &Statuses{Succeeded: []int{503}, Rejected: []int{425}, Failed: []int{404}}
	for _, c := range []struct {
		s                      *Statuses
		status                 int
		retryAfter, notStarted bool
		want                   decision.Result
	}{
		{&Statuses{}, 200, false, false, decision.Succeeded}, {&Statuses{}, 304, true, true, decision.Succeeded},
		{&Statuses{}, 404, false, false, decision.Succeeded},
		{&Statuses{}, 429, false, false, decision.Rejected}, {&Statuses{}, 503, true, false, decision.Rejected},
		{&Statuses{}, 503, false, false, decision.ErrorResponse},
		{&Statuses{}, 503, false, true, decision.Rejected}, {&Statuses{}, 504, false, true, decision.Rejected},
		{&Statuses{}, 504, true, false, decision.ErrorResponse},
		{&Statuses{}, 500, true, true, decision.ErrorResponse},
		{&Statuses{}, 502, false, false, decision.ErrorResponse},
		{&Statuses{}, 501, false, false, decision.Succeeded},
		{custom, 503, true, true, decision.Succeeded}, {custom, 425, false, false, decision.Rejected},
		{custom, 404, false, false, decision.ErrorResponse},
	} {
		if got := c.s.Result(c.status, c.retryAfter, c.notStarted); got != c.want {
			t.Errorf("status %d, Retry-After %v, Not-Started %v, statuses %+v: result %d, want %d", c.status, c.retryAfter,
				c.notStarted, *c.s, got, c.want)
		}
	}
	for _, s := range []Statuses{{Succeeded: []int{100}}, {Failed: []int{1000}},
		{Succeeded: []int{500}, Failed: []int{500}}, {Rejected: []int{429, 429}}} {
		if s.Validate() == nil {
			t.Errorf("Validate of %+v returned nil, want an error", s)
		}
	}
}

// Whatever header fields a client sends, net/http must read the forwarded bytes as exactly one request
// with the same method, target, body and trailer, and without fields that must not be forwarded.
func TestHeaderForwarding(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		name := rapid.SampledFrom([]string{"Connection", "Keep-Alive", "Te", "Transfer-Encoding", "Upgrade", "Host",
			"Content-Length", "X-Secret", "X-Customer", "X-A", "X-B", "Via",
			"X-Forwarded-For", "X-Forwarded-Host", "X-Forwarded-Proto", "Forwarded", "Trailer", "Expect",
			"Proxy-Authorization", "X-Id", "Te\r\nX-Evil", "X Y", ""})
		value := rapid.OneOf(rapid.SampledFrom([]string{"close", "X-A", "x-a, Via , X-Forwarded-For,X-Id", "trailers",
			"chunked", "0", "a\r\nX-Evil: 1", "a\nb", "\x00", ""}), rapid.StringMatching(`[ -~]{0,12}`))
		h := Header{}
		for range rapid.IntRange(0, 8).Draw(t, "fields") {
			n := name.Draw(t, "name")
			h[n] = append(h[n], value.Draw(t, "value"))
		}
		if rapid.Bool().Draw(t, "has connection options") {
			h["Connection"], h["X-A"] = []string{rapid.SampledFrom([]string{"X-A", "close, x-a ,Via",
				"x-b,X-a"}).Draw(t, "connection options")}, []string{"1"}
		}
		forwarder := &HeaderForwarder{ForwardedStyle: ForwardedStyle(rapid.IntRange(0, 2).Draw(t, "style")),
			ViaName: "proxy", MaxViaEntries: 3, Remove: []string{"X-Secret"}, TrustedOnly: []string{"X-Customer"}}
		origin := Origin{Addr: rapid.SampledFrom([]string{"1.2.3.4", "::1"}).Draw(t, "addr"), Host: "shop.example",
			TrustedPeer: rapid.Bool().Draw(t, "trusted"), Proto: "1.1"}
		fields, err := forwarder.Append(nil, h, origin, "X-Id", "7")
		if err != nil {
			if !errors.Is(err, ErrInvalidField) && !errors.Is(err, ErrLoop) {
				t.Fatalf("error %v, want ErrInvalidField or ErrLoop", err)
			}
			return
		}
		r := Request{Method: "POST", Target: "/a%2F?b=%zz", Host: "shop.example", HeaderBlock: fields,
			RemainingTimeoutHeader: "X-Left", Body: rapid.SliceOfN(rapid.Byte(), 0, 50).Draw(t, "body")}
		if rapid.Bool().Draw(t, "trailer") {
			r.Trailer = Header{"X-Sum": {"1", "2"}}
		}
		if err := r.Validate(); err != nil {
			t.Fatal(err)
		}
		text := r.AppendBody(r.AppendHead(nil, 1500*time.Millisecond))
		in := bufio.NewReader(bytes.NewReader(text))
		got, err := http.ReadRequest(in)
		if err != nil {
			t.Fatalf("net/http can't read the forwarded request: %v\n%q", err, text)
		}
		body, err := io.ReadAll(got.Body)
		if err != nil || !bytes.Equal(body, r.Body) || in.Buffered() > 0 || got.RequestURI != r.Target ||
			got.Method != r.Method || fmt.Sprint(got.Trailer["X-Sum"]) != fmt.Sprint(r.Trailer["X-Sum"]) {
			t.Fatalf("got %s %s, body %q, trailer %v, error %v, %d bytes after it; want %s %s, body %q, trailer %v",
				got.Method, got.RequestURI, body, got.Trailer, err, in.Buffered(), r.Method, r.Target, r.Body, r.Trailer)
		}
		for _, removed := range []string{"X-Secret", "X-Evil", "Keep-Alive", "Upgrade", "Expect", "Proxy-Authorization"} {
			if got.Header[removed] != nil {
				t.Fatalf("%s was forwarded as %q, want it removed", removed, got.Header[removed])
			}
		}
		if !origin.TrustedPeer && got.Header["X-Customer"] != nil {
			t.Fatalf("X-Customer of an untrusted peer was forwarded as %q, want it removed", got.Header["X-Customer"])
		}
		if got.Header.Get("X-Id") != "7" || len(got.Header["X-Id"]) != 1 || got.Header.Get("X-Left") != "1.500" ||
			!strings.HasSuffix(got.Header.Get("Via"), "1.1 proxy") {
			t.Fatalf("header %v, want one X-Id of 7, X-Left of 1.500 and Via ending with \"1.1 proxy\"", got.Header)
		}
		for _, n := range ConnectionOptions(h) {
			if strings.HasPrefix(n, "X-A") && got.Header[n] != nil {
				t.Fatalf("%s is listed in Connection and was forwarded as %q", n, got.Header[n])
			}
		}
		forwardedFor := strings.Join(got.Header["X-Forwarded-For"], ",")
		if forwarder.ForwardedStyle == XForwarded && forwardedFor != origin.Addr &&
			(!origin.TrustedPeer || !strings.HasSuffix(forwardedFor, ", "+origin.Addr)) ||
			forwarder.ForwardedStyle != XForwarded && forwardedFor != "" {
			t.Fatalf("X-Forwarded-For %q, style %d, origin %+v", forwardedFor, forwarder.ForwardedStyle, origin)
		}
	})
}

func TestRequestTargetsAndHosts(t *testing.T) {
	for _, invalid := range []Request{{Method: "GET", Target: "a"}, {Method: "GET", Target: "/a b"},
		{Method: "GET", Target: "/a\r\n"}, {Method: "GET", Target: "/#"}, {Method: "G T", Target: "/"}, {Target: "/"},
		{Method: "GET", Target: "/", Host: "a\r\nb"}, {Method: "GET", Target: "/", Host: "a/b"},
		{Method: "GET", Target: "/", Host: "u@h"}, {Method: "GET", Target: "/", Trailer: Header{"A": {"\n"}}}} {
		if invalid.Validate() == nil {
			t.Errorf("Validate of %+v returned nil, want an error", invalid)
		}
	}
}

// FuzzHeads forwards any text that net/http reads as a request: the result must be read as exactly one
// request with the same method, target and body.
func FuzzHeads(f *testing.F) {
	f.Add([]byte("POST /a?b HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\nConnection: X-A\r\nX-A: b\r\n\r\nok"))
	f.Add([]byte("POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n2\r\nok\r\n0\r\nX: y\r\n\r\nGET /smuggled HTTP/1.1\r\n\r\n"))
	f.Add([]byte("GET http://x/ HTTP/1.0\r\n fold\r\nTe: trailers\r\n\r\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		r, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(text)))
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		forwarder := &HeaderForwarder{ViaName: "proxy"}
		fields, err := forwarder.Append(nil, r.Header, Origin{Addr: "1.2.3.4", Host: r.Host, Proto: "1.1"})
		m := Request{Method: r.Method, Target: r.RequestURI, Host: r.Host, HeaderBlock: fields, Body: body,
			Trailer: ForwardableTrailer(r.Trailer)}
		if err != nil || m.Validate() != nil {
			return
		}
		in := bufio.NewReader(bytes.NewReader(m.AppendBody(m.AppendHead(nil, 0))))
		got, err := http.ReadRequest(in)
		if err != nil {
			t.Fatalf("net/http can't read the forwarded request: %v: %q was forwarded as %q", err, text,
				m.AppendHead(nil, 0))
		}
		gotBody, err := io.ReadAll(got.Body)
		if err != nil || !bytes.Equal(gotBody, body) || in.Buffered() > 0 || got.RequestURI != r.RequestURI ||
			got.Method != r.Method {
			t.Fatalf("%q was forwarded as %s %s, body %q, error %v, %d bytes after it; want %s %s, body %q", text,
				got.Method, got.RequestURI, gotBody, err, in.Buffered(), r.Method, r.RequestURI, body)
		}
	})
}

// FuzzParseSimpleResponseHead compares the parser with that of net/http.
func FuzzParseSimpleResponseHead(f *testing.F) {
	for _, s := range []string{"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.1 404 Not  Found\r\ncontent-length:0\r\nX-A: b\r\nx-a:  c \t\r\n\r\n",
		"HTTP/1.1 200\r\nContent-Length: 1\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 2\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n fold\r\n\r\n",
		"HTTP/1.1 200 OK\r\nPragma: no-cache\r\nContent-Length: 2\r\n\r\n",
		"HTTP/1.1 2000 OK\r\nContent-Length: 2\r\n\r\n", "HTTP/1.1 200 OK\r\n: x\r\nContent-Length: 2\r\n\r\n",
		"HTTP/1.1 200 OK\r\nA: b\nC: d\r\nContent-Length: 2\r\n\r\n",
		"HTTP/1.1 299 \r\n-: \r\nContent-Length: 02\r\n\r\n"} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		status, h, length, size, ok := ParseSimpleResponseHead(raw)
		if !ok {
			return
		}
		in := bufio.NewReader(bytes.NewReader(raw))
		res, err := http.ReadResponse(in, &http.Request{Method: "GET"})
		if err != nil {
			t.Fatalf("parsed %q as status %d, but net/http returned the error %v", raw, status, err)
		}
		defer res.Body.Close()
		if res.StatusCode != status || res.ContentLength != length || res.Close || len(res.TransferEncoding) > 0 ||
			fmt.Sprint(res.Header) != fmt.Sprint(h) || !bytes.HasSuffix(raw[:size], []byte("\r\n\r\n")) {
			t.Fatalf("parsed %q as status %d, length %d, header %v; net/http: %d, %d, %v, closes %t, encoding %v", raw,
				status, length, h, res.StatusCode, res.ContentLength, res.Header, res.Close, res.TransferEncoding)
		}
		if body, err := io.ReadAll(res.Body); err == nil && !bytes.Equal(body, raw[size:size+int(length)]) {
			t.Fatalf("body of %q starts at %d with length %d, but net/http read %q", raw, size, length, body)
		}
	})
}
