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

// A result must not claim more than was seen: whatever the end, a request that may have run is not
// said not to have.
func TestEndOfAttemptResults(t *testing.T) {
	unrun := map[decision.Result]bool{decision.NotSent: true, decision.ConnectFailed: true, decision.Rejected: true}
	for _, why := range []EndReason{ConnectionLost, MalformedResponse, AttemptCancelled, DeadlineExceeded,
		ClientWriteFailed} {
		for wrote := range 4 {
			p := Progress{HeadBytes: 2, WrittenBytes: wrote}
			if r := p.Result(why); unrun[r] && p.MayHaveRun() {
				t.Errorf("%d after %d bytes: %d claims that it has not run", why, wrote, r)
			} else if r == decision.Succeeded || r == decision.ErrorResponse {
				t.Errorf("%d after %d bytes: answered", why, wrote)
			}
		}
	}
	if r := (Progress{HeadBytes: 2, WrittenBytes: 1}).Result(ConnectionLost); r != decision.ConnectFailed {
		t.Errorf("cut in its head: %d", r)
	}
	if r := (Progress{HeadBytes: 2, WrittenBytes: 2}).Result(ConnectionLost); r != decision.ConnectionLost {
		t.Errorf("cut behind its head: %d", r)
	}
}

func TestStatusResults(t *testing.T) {
	own := &Statuses{Succeeded: []int{503}, Rejected: []int{425}, Failed: []int{404}}
	for _, c := range []struct {
		s                 *Statuses
		status            int
		after, notStarted bool
		want              decision.Result
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
		{own, 503, true, true, decision.Succeeded}, {own, 425, false, false, decision.Rejected},
		{own, 404, false, false, decision.ErrorResponse},
	} {
		if got := c.s.Result(c.status, c.after, c.notStarted); got != c.want {
			t.Errorf("%d %v %v: %d, want %d", c.status, c.after, c.notStarted, got, c.want)
		}
	}
	for _, s := range []Statuses{{Succeeded: []int{100}}, {Failed: []int{1000}},
		{Succeeded: []int{500}, Failed: []int{500}}, {Rejected: []int{429, 429}}} {
		if s.Validate() == nil {
			t.Errorf("%+v is good", s)
		}
	}
}

// Whatever fields a request has, what is forwarded must be one request that net/http reads as it
// was meant, without the fields that must not be forwarded.
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
		if rapid.Bool().Draw(t, "nominates") {
			h["Connection"], h["X-A"] = []string{rapid.SampledFrom([]string{"X-A", "close, x-a ,Via",
				"x-b,X-a"}).Draw(t, "nominated")}, []string{"1"}
		}
		o := &HeaderForwarder{ForwardedStyle: ForwardedStyle(rapid.IntRange(0, 2).Draw(t, "style")), ViaName: "door",
			MaxViaEntries: 3, Remove: []string{"X-Secret"}, TrustedOnly: []string{"X-Customer"}}
		from := Origin{Addr: rapid.SampledFrom([]string{"1.2.3.4", "::1"}).Draw(t, "addr"), Host: "shop.example",
			TrustedPeer: rapid.Bool().Draw(t, "trusted"), Proto: "1.1"}
		fields, err := o.Append(nil, h, from, "X-Id", "7")
		if err != nil {
			if !errors.Is(err, ErrInvalidField) && !errors.Is(err, ErrLoop) {
				t.Fatal(err)
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
			t.Fatalf("%v\n%q", err, text)
		}
		body, err := io.ReadAll(got.Body)
		if err != nil || !bytes.Equal(body, r.Body) || in.Buffered() > 0 || got.RequestURI != r.Target ||
			got.Method != r.Method || fmt.Sprint(got.Trailer["X-Sum"]) != fmt.Sprint(r.Trailer["X-Sum"]) {
			t.Fatalf("%v %q of %q, %d behind it, %s %v", err, body, r.Body, in.Buffered(), got.RequestURI, got.Trailer)
		}
		for _, gone := range []string{"X-Secret", "X-Evil", "Keep-Alive", "Upgrade", "Expect", "Proxy-Authorization"} {
			if got.Header[gone] != nil {
				t.Fatalf("%s went on: %v", gone, got.Header)
			}
		}
		if !from.TrustedPeer && got.Header["X-Customer"] != nil {
			t.Fatalf("an assertion went on")
		}
		if got.Header.Get("X-Id") != "7" || len(got.Header["X-Id"]) != 1 || got.Header.Get("X-Left") != "1.500" ||
			!strings.HasSuffix(got.Header.Get("Via"), "1.1 door") {
			t.Fatalf("%v", got.Header)
		}
		for _, n := range ConnectionOptions(h) {
			if strings.HasPrefix(n, "X-A") && got.Header[n] != nil {
				t.Fatalf("%s was nominated and went on", n)
			}
		}
		told := strings.Join(got.Header["X-Forwarded-For"], ",")
		if o.ForwardedStyle == XForwarded && told != from.Addr &&
			(!from.TrustedPeer || !strings.HasSuffix(told, ", "+from.Addr)) || o.ForwardedStyle != XForwarded &&
			told != "" {
			t.Fatalf("X-Forwarded-For: %q", told)
		}
	})
}

func TestRequestTargetsAndHosts(t *testing.T) {
	for _, bad := range []Request{{Method: "GET", Target: "a"}, {Method: "GET", Target: "/a b"},
		{Method: "GET", Target: "/a\r\n"}, {Method: "GET", Target: "/#"}, {Method: "G T", Target: "/"}, {Target: "/"},
		{Method: "GET", Target: "/", Host: "a\r\nb"}, {Method: "GET", Target: "/", Host: "a/b"},
		{Method: "GET", Target: "/", Host: "u@h"}, {Method: "GET", Target: "/", Trailer: Header{"A": {"\n"}}}} {
		if bad.Validate() == nil {
			t.Errorf("%+v is good", bad)
		}
	}
}

// FuzzHeads forwards any text that net/http takes for a request: it must be one request again, with
// the same target and body.
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
		o := &HeaderForwarder{ViaName: "door"}
		fields, err := o.Append(nil, r.Header, Origin{Addr: "1.2.3.4", Host: r.Host, Proto: "1.1"})
		m := Request{Method: r.Method, Target: r.RequestURI, Host: r.Host, HeaderBlock: fields, Body: body,
			Trailer: ForwardableTrailer(r.Trailer)}
		if err != nil || m.Validate() != nil {
			return
		}
		in := bufio.NewReader(bytes.NewReader(m.AppendBody(m.AppendHead(nil, 0))))
		got, err := http.ReadRequest(in)
		if err != nil {
			t.Fatalf("%v: %q became %q", err, text, m.AppendHead(nil, 0))
		}
		again, err := io.ReadAll(got.Body)
		if err != nil || !bytes.Equal(again, body) || in.Buffered() > 0 || got.RequestURI != r.RequestURI ||
			got.Method != r.Method {
			t.Fatalf("%v: %q became %q, %d behind it", err, text, again, in.Buffered())
		}
	})
}

// FuzzParseSimpleResponseHead compares the parser with net/http's.
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
			t.Fatalf("net/http: %v of %q", err, raw)
		}
		defer res.Body.Close()
		if res.StatusCode != status || res.ContentLength != length || res.Close || len(res.TransferEncoding) > 0 ||
			fmt.Sprint(res.Header) != fmt.Sprint(h) || !bytes.HasSuffix(raw[:size], []byte("\r\n\r\n")) {
			t.Fatalf("%d %d %v, net/http: %d %d %v of %q", status, length, h, res.StatusCode, res.ContentLength,
				res.Header, raw)
		}
		if body, err := io.ReadAll(res.Body); err == nil && !bytes.Equal(body, raw[size:size+int(length)]) {
			t.Fatalf("%q of %q", body, raw)
		}
	})
}
