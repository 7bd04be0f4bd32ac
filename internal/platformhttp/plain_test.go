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

const okStatusLine = "HTTP/1.1 200 OK\r\n"

var plainResponses = []string{
	okStatusLine + "Content-Length: 2\r\n\r\nok",
	okStatusLine +
		"Date: Tue, 01 Dec 2026 10:00:00 GMT\r\nContent-Length: 2\r\nContent-Type: text/plain; charset=utf-8\r\n\r\nok",
	okStatusLine + "content-length:2\r\nX-RateLimit-Used: 85\r\nServer-Load: queue=1, qps=3\r\n\r\nok",
	okStatusLine + "Content-Length: 0\r\nServer-Load: \r\nServer-Load: b\r\nContent-Type: a\r\nContent-Type: b\r\n\r\n",
}

// checkPlain reports whether parsePlainResponse accepts a response. If so, http.ReadResponse must parse it to the
// same result.
func checkPlain(t *testing.T, text string) (plain bool) {
	t.Helper()
	var got responseHeader
	rest, body, ok := parsePlainResponse([]byte(text), &got)
	if !ok {
		return false
	}
	n := copy(body, rest)
	rest = rest[n:]
	if n < len(body) {
		body = nil
	}

	in := bufio.NewReader(strings.NewReader(text))
	res, err := http.ReadResponse(in, &http.Request{Method: "GET"})
	if err != nil {
		t.Fatalf("%q: parsed as plain, but http.ReadResponse returns error %v", text, err)
	}
	defer func() { _ = res.Body.Close() }()
	if res.ContentLength < 0 || len(res.TransferEncoding) > 0 || res.Close || res.StatusCode != 200 {
		t.Fatalf("%q: parsed as plain, but http.ReadResponse returns %+v", text, res)
	}
	wantBody := make([]byte, res.ContentLength)
	if _, err := io.ReadFull(res.Body, wantBody); err != nil {
		wantBody = nil
	}
	wantRest, _ := io.ReadAll(in)
	if !bytes.Equal(body, wantBody) || wantBody != nil && !bytes.Equal(rest, wantRest) ||
		!sameField(got.contentType, res.Header.Get("Content-Type")) ||
		!sameField(got.usage, res.Header.Get("X-RateLimit-Used")) ||
		!sameField(got.load, res.Header.Get("Server-Load")) {
		t.Fatalf("%q: got body %q, header %+v, http.ReadResponse returns body %q, header %v", text, body, got, wantBody,
			res.Header)
	}
	return true
}

// sameField compares a field with net/http's. If the first value is empty, net/http returns it, while the plain
// parser takes the next value.
func sameField(got, want string) bool { return got == want || want == "" }

// Responses are plain, nearly plain, or random mutations of plain ones. Each response that is parsed as plain must be
// parsed to the same result by http.ReadResponse.
func TestPlainResponses(t *testing.T) {
	for _, text := range plainResponses {
		if !checkPlain(t, text) {
			t.Errorf("%q: not parsed as plain, want plain", text)
		}
	}
	for _, text := range []string{
		okStatusLine + "\r\n",
		okStatusLine + "Content-Length: 2",
		okStatusLine + "Content-Length: 2\r\nConnection: close\r\n\r\nok",
		okStatusLine + "Transfer-Encoding: chunked\r\nContent-Length: 2\r\n\r\nok",
		okStatusLine + "Content-Length: 2\r\nContent-Length: 3\r\n\r\nok",
		okStatusLine + "Content-Length : 2\r\n\r\nok",
		okStatusLine + "Content-Length: +2\r\n\r\nok",
		okStatusLine + " Content-Length: 2\r\n\r\nok",
		okStatusLine + "Content-Length: 65537\r\n\r\nok",
		okStatusLine + "A\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.0 200 OK\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.1 204 No\r\nContent-Length: 0\r\n\r\n",
		okStatusLine + "\r\nContent-Length: 2\r\n\r\nok",
		okStatusLine + "Content-Length: 2\nX: y\r\n\r\nok",
	} {
		if checkPlain(t, text) {
			t.Errorf("%q: parsed as plain, want not plain", text)
		}
	}
	rng := rand.New(rand.NewPCG(3, 4))
	plain := 0
	for range 200_000 {
		if checkPlain(t, mutate(rng, plainResponses[rng.IntN(len(plainResponses))])) {
			plain++
		}
	}
	if plain < 1000 {
		t.Errorf("%d of 200000 mutated responses were parsed as plain, want 1000 at least", plain)
	}
}

// mutate makes one to three random changes to a response.
func mutate(rng *rand.Rand, text string) string {
	pieces := []string{"\r\n", "\n", ":", " ", "\t", "0", "9", "Content-Length: 1\r\n", "Transfer-Encoding: chunked\r\n",
		"Connection: close\r\n", "\x00", "\xff", okStatusLine, "Server-Load: x\r\n", "-", "\r\n\r\n", "content-type:q\r\n"}
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
	return text
}

// Any bytes arrive as a response. If they are parsed as plain, http.ReadResponse must parse them to the same result.
func FuzzPlainResponse(f *testing.F) {
	for _, text := range plainResponses {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) { checkPlain(t, text) })
}
