package platformhttp

import (
	"bufio"
	"bytes"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"testing"
)

var plainHeads = []string{
	"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
	"HTTP/1.1 200 OK\r\nDate: Tue, 01 Dec 2026 10:00:00 GMT\r\nContent-Length: 2\r\nContent-Type: text/plain; charset=utf-8\r\n\r\nok",
	"HTTP/1.1 200 OK\r\ncontent-length:2\r\nX-RateLimit-Used: 85\r\nServer-Load: queue=1, qps=3\r\n\r\nok",
	"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nServer-Load: \r\nServer-Load: b\r\nContent-Type: a\r\nContent-Type: b\r\n\r\n",
}

// What the plain reader takes, http.ReadResponse must take for the same; what it can't, it must leave untouched.
func samePlain(t *testing.T, text string) (taken bool) {
	t.Helper()
	var head responseHeader
	rest, body, ok := parsePlainResponse([]byte(text), &head)
	if !ok {
		return false
	}
	n := copy(body, rest)
	left := rest[n:]
	if n < len(body) {
		body = nil
	}

	r2 := bufio.NewReader(strings.NewReader(text))
	res, err := http.ReadResponse(r2, &http.Request{Method: "GET"})
	if err != nil {
		t.Fatalf("%q: taken, and http.ReadResponse says %v", text, err)
	}
	want := make([]byte, res.ContentLength)
	if res.ContentLength < 0 || len(res.TransferEncoding) > 0 || res.Close || res.StatusCode != 200 {
		t.Fatalf("%q: taken, and it is %+v", text, res)
	}
	if _, err := io.ReadFull(res.Body, want); err != nil {
		want = nil
	}
	left2, _ := io.ReadAll(r2)
	firstOf := func(name string) string { return res.Header.Get(name) }
	if !bytes.Equal(body, want) || want != nil && !bytes.Equal(left, left2) || head.contentType != firstOf("Content-Type") && firstOf("Content-Type") != "" ||
		head.usage != firstOf("X-RateLimit-Used") && firstOf("X-RateLimit-Used") != "" || head.load != firstOf("Server-Load") && firstOf("Server-Load") != "" {
		t.Fatalf("%q: %q %+v, http.ReadResponse has %q %v", text, body, head, want, res.Header)
	}
	return true
}

func TestPlainAnswers(t *testing.T) {
	for _, text := range plainHeads {
		if !samePlain(t, text) {
			t.Errorf("%q: not taken", text)
		}
	}
	for _, text := range []string{"HTTP/1.1 200 OK\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 2", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\nok",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 2\r\n\r\nok", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nok",
		"HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\nok", "HTTP/1.1 200 OK\r\nContent-Length: +2\r\n\r\nok", "HTTP/1.1 200 OK\r\n Content-Length: 2\r\n\r\nok",
		"HTTP/1.1 200 OK\r\nContent-Length: 65537\r\n\r\nok", "HTTP/1.1 200 OK\r\nA\r\nContent-Length: 2\r\n\r\nok", "HTTP/1.0 200 OK\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.1 204 No\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 200 OK\r\n\r\nContent-Length: 2\r\n\r\nok", "HTTP/1.1 200 OK\r\nContent-Length: 2\nX: y\r\n\r\nok"} {
		if samePlain(t, text) {
			t.Errorf("%q: taken", text)
		}
	}
	// The same with anything changed, from a fixed seed.
	rng := rand.New(rand.NewPCG(3, 4))
	pieces := []string{"\r\n", "\n", ":", " ", "\t", "0", "9", "Content-Length: 1\r\n", "Transfer-Encoding: chunked\r\n", "Connection: close\r\n",
		"\x00", "\xff", "HTTP/1.1 200 OK\r\n", "Server-Load: x\r\n", "-", "\r\n\r\n", "content-type:q\r\n"}
	taken := 0
	for range 200_000 {
		text := plainHeads[rng.IntN(len(plainHeads))]
		for range rng.IntN(3) + 1 {
			at := rng.IntN(len(text) + 1)
			switch rng.IntN(3) {
			case 0:
				text = text[:at] + pieces[rng.IntN(len(pieces))] + text[at:]
			case 1:
				text = text[:at] + text[min(len(text), at+1+rng.IntN(6)):]
			case 2:
				text = text[:at] + string(rune(rng.IntN(128))) + text[min(len(text), at+1):]
			}
		}
		if samePlain(t, text) {
			taken++
		}
	}
	if taken < 1000 {
		t.Errorf("only %d were taken", taken)
	}
}

func FuzzPlainAnswer(f *testing.F) {
	for _, text := range plainHeads {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) { samePlain(t, text) })
}
