package platformhttp

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// Results of readInPieces for a response that can't be read.
const (
	invalidResponse    = "invalid"
	incompleteResponse = "incomplete"
)

// readInPieces reads a response that arrives in pieces of the given sizes, which are used in rotation, and returns a
// description of it.
func readInPieces(text string, sizes []int) string {
	var r responseReader
	r.reset("POST", nil)
	for i := 0; text != ""; i++ {
		buffer := r.buffer()
		if len(buffer) == 0 {
			return "no buffer"
		}
		n := copy(buffer[:min(len(buffer), sizes[i%len(sizes)])], text)
		text = text[n:]
		complete, err := r.advance(n)
		if err != nil {
			return invalidResponse
		}
		if complete {
			h := r.header
			return fmt.Sprintf("%d %q %q %q %v %v, then %v", h.status, h.contentType, h.usage, r.body, h.notStarted,
				h.closeConn, len(text) > 0 || r.hasTrailingBytes)
		}
	}
	return incompleteResponse
}

// readByNetHTTP returns the beginning of the description for a response as net/http parses it, or "none" if net/http
// or this package's limits reject it.
func readByNetHTTP(text string) string {
	in := bufio.NewReader(strings.NewReader(text))
	res, err := http.ReadResponse(in, &http.Request{Method: "POST"})
	for err == nil && res.StatusCode < 200 && res.StatusCode != http.StatusSwitchingProtocols {
		res, err = http.ReadResponse(in, &http.Request{Method: "POST"})
	}
	if err != nil || res.StatusCode == http.StatusSwitchingProtocols || res.ContentLength > MaxBody ||
		res.ContentLength < 0 && len(res.TransferEncoding) == 0 {
		return "none"
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(res.Body)
	if err != nil || len(body) > MaxBody {
		return "none"
	}
	return fmt.Sprintf("%d %q %q %q", res.StatusCode, res.Header.Get("Content-Type"),
		res.Header.Get("X-RateLimit-Used"), body)
}

// drawResponse generates a response that may be invalid.
func drawResponse(t *rapid.T) string {
	var b bytes.Buffer
	for range rapid.IntRange(0, 2).Draw(t, "informational") {
		b.WriteString("HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n")
	}
	unit := rapid.SampledFrom([]string{"", "x", "a\r\n\r\nb", "0\r\n\r\n", "HTTP/1.1 200 OK\r\n"}).Draw(t, "text")
	body := strings.Repeat(unit, rapid.SampledFrom([]int{1, 1, 7, 3000}).Draw(t, "times"))
	status := rapid.SampledFrom([]string{"200 OK", "200 OK", "500 No", "503 No", "204 None", "404 ?"}).Draw(t, "status")
	fmt.Fprintf(&b, "HTTP/1.1 %s\r\n", status)
	fields := []string{
		"Content-Type: t\r\n",
		"X-RateLimit-Used: 85\r\n",
		"Not-Started: 1\r\n",
		"Connection: close\r\n",
		"A: " + strings.Repeat("y", 3000) + "\r\n",
		"Content-Length: 1\r\n",
		"odd\r\n",
	}
	for range rapid.IntRange(0, 3).Draw(t, "fields") {
		b.WriteString(rapid.SampledFrom(fields).Draw(t, "field"))
	}
	if !rapid.Bool().Draw(t, "chunked") {
		fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n%s", len(body), body)
		return b.String()
	}
	b.WriteString("Transfer-Encoding: chunked\r\n\r\n")
	for len(body) > 0 {
		n := rapid.IntRange(1, len(body)).Draw(t, "chunk")
		fmt.Fprintf(&b, "%x\r\n%s\r\n", n, body[:n])
		body = body[n:]
	}
	b.WriteString("0\r\n\r\n")
	return b.String()
}

// A response arrives in pieces of any size. It must be read as if it arrived at once, and as net/http reads it.
func TestResponseReader_Pieces(t *testing.T) {
	kinds := map[string]int{}
	rapid.Check(t, func(t *rapid.T) {
		text := drawResponse(t)
		size := rapid.SampledFrom([]int{1, 2, 3, 10, 500, 5000, 100_000})
		sizes := rapid.SliceOfN(size, 1, 4).Draw(t, "sizes")
		whole, pieces := readInPieces(text, []int{1 << 20}), readInPieces(text, sizes)
		if whole != pieces {
			t.Fatalf("%.300q\nread at once:         %.200s\nread in pieces of %v: %.200s", text, whole, sizes, pieces)
		}
		want := readByNetHTTP(text)
		if (want == "none") != (pieces == invalidResponse || pieces == incompleteResponse) ||
			want != "none" && !strings.HasPrefix(pieces, want) {
			t.Fatalf("%.300q\ngot                 %.200s\nnet/http returns %.200s", text, pieces, want)
		}
		kinds[strings.SplitN(pieces, " ", 2)[0]]++
	})
	if len(kinds) < 4 {
		t.Errorf("got %d kinds of responses, want 4 at least: %v", len(kinds), kinds)
	}
}

// Any bytes arrive at once and in pieces. Both must be read alike, except that bytes which can't become a valid
// response may be reported as invalid in one case and as incomplete in the other.
func FuzzResponse(f *testing.F) {
	seeds := append([]string{
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"HTTP/1.1 100 Continue\r\n\r\n",
	}, plainResponses...)
	for _, text := range seeds {
		f.Add(text, uint8(3))
	}
	f.Fuzz(func(t *testing.T, text string, size uint8) {
		whole, pieces := readInPieces(text, []int{1 << 20}), readInPieces(text, []int{1 + int(size)})
		switch {
		case whole == pieces,
			strings.HasPrefix(whole, invalidResponse) && pieces == incompleteResponse,
			whole == incompleteResponse && pieces == invalidResponse:
		default:
			t.Fatalf("read at once: %q, in pieces: %q, want the same", whole, pieces)
		}
	})
}

// A response never ends. Reading it must fail before it uses more memory than the largest valid response needs, and
// until then the buffer must not be empty.
func TestResponseReader_Limits(t *testing.T) {
	const ok, chunked = "HTTP/1.1 200 OK\r\n", "Transfer-Encoding: chunked\r\n\r\n"
	for _, c := range []struct{ name, text string }{
		{"header", strings.Repeat("x", 1<<20)},
		{"fields", ok + strings.Repeat("A: b\r\n", 1<<16)},
		{"informational", strings.Repeat("HTTP/1.1 103 Early\r\n\r\n", 1<<14)},
		{"chunks", ok + chunked + strings.Repeat("1\r\nx\r\n", 1<<17)},
		{"one chunk", ok + chunked + "fffff\r\n" + strings.Repeat("x", 1<<20)},
	} {
		for _, size := range []int{7, 1 << 20} {
			t.Run(fmt.Sprintf("%s in pieces of %d", c.name, size), func(t *testing.T) {
				var r responseReader
				r.reset("GET", nil)
				rest, err := c.text, error(nil)
				for rest != "" && err == nil {
					n := copy(r.buffer()[:min(len(r.buffer()), size)], rest)
					rest = rest[n:]
					_, err = r.advance(n)
				}
				if err == nil || cap(r.raw) > maxHeaderBytes+2*MaxBody+initialBufferSize {
					t.Errorf("got error %v with %d bytes buffered, want an error with %d bytes at most", err, cap(r.raw),
						maxHeaderBytes+2*MaxBody+initialBufferSize)
				}
			})
		}
	}
}
