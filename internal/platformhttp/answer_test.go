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

// readAll reads an answer that comes in pieces of the sizes given, over and over, and tells of it in a line.
func readAll(text string, sizes []int) string {
	var r responseReader
	r.reset("POST", nil)
	for i := 0; text != ""; i++ {
		room := r.buffer()
		if len(room) == 0 {
			return "no room"
		}
		n := copy(room[:min(len(room), sizes[i%len(sizes)])], text)
		text = text[n:]
		whole, err := r.advance(n)
		if err != nil {
			return "spoilt"
		}
		if whole {
			return fmt.Sprintf("%d %q %q %q %v %v, then %d", r.header.status, r.header.contentType, r.header.usage, r.body, r.header.notStarted, r.header.close,
				min(1, len(text)+behind(&r)))
		}
	}
	return "not whole"
}

// behind is how much came with the answer's last piece and is not its own.
func behind(r *responseReader) int {
	if r.trailing {
		return 1
	}
	return 0
}

// byNetHTTP is what net/http makes of it at once, with the bounds of this package.
func byNetHTTP(text string) string {
	in := bufio.NewReader(strings.NewReader(text))
	res, err := http.ReadResponse(in, &http.Request{Method: "POST"})
	for err == nil && res.StatusCode < 200 && res.StatusCode != 101 {
		res, err = http.ReadResponse(in, &http.Request{Method: "POST"})
	}
	if err != nil || res.StatusCode == 101 || res.ContentLength < 0 && len(res.TransferEncoding) == 0 || res.ContentLength > MaxBody {
		return "none"
	}
	body, err := io.ReadAll(res.Body)
	if err != nil || len(body) > MaxBody {
		return "none"
	}
	return fmt.Sprintf("%d %q %q %q", res.StatusCode, res.Header.Get("Content-Type"), res.Header.Get("X-RateLimit-Used"), body)
}

// answers draws answers, good ones and others.
func answers(t *rapid.T) string {
	var b bytes.Buffer
	for range rapid.IntRange(0, 2).Draw(t, "early") {
		b.WriteString("HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n")
	}
	body := strings.Repeat(rapid.SampledFrom([]string{"", "x", "a\r\n\r\nb", "0\r\n\r\n", "HTTP/1.1 200 OK\r\n"}).Draw(t, "text"), rapid.SampledFrom([]int{1, 1, 7, 3000}).Draw(t, "times"))
	fmt.Fprintf(&b, "HTTP/1.1 %s\r\n", rapid.SampledFrom([]string{"200 OK", "200 OK", "500 No", "503 No", "204 None", "404 ?"}).Draw(t, "status"))
	for range rapid.IntRange(0, 3).Draw(t, "fields") {
		b.WriteString(rapid.SampledFrom([]string{"Content-Type: t\r\n", "X-RateLimit-Used: 85\r\n", "Not-Started: 1\r\n", "Connection: close\r\n", "A: " + strings.Repeat("y", 3000) + "\r\n",
			"Content-Length: 1\r\n", "odd\r\n"}).Draw(t, "field"))
	}
	if rapid.Bool().Draw(t, "chunked") {
		b.WriteString("Transfer-Encoding: chunked\r\n\r\n")
		for len(body) > 0 {
			n := rapid.IntRange(1, len(body)).Draw(t, "chunk")
			fmt.Fprintf(&b, "%x\r\n%s\r\n", n, body[:n])
			body = body[n:]
		}
		b.WriteString("0\r\n\r\n")
	} else {
		fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n%s", len(body), body)
	}
	return b.String()
}

// However an answer is cut into pieces, it is the same answer, and the one that net/http reads.
func TestPieces(t *testing.T) {
	met := map[string]int{}
	rapid.Check(t, func(t *rapid.T) {
		text := answers(t)
		sizes := rapid.SliceOfN(rapid.SampledFrom([]int{1, 2, 3, 10, 500, 5000, 100_000}), 1, 4).Draw(t, "sizes")
		whole, cut := readAll(text, []int{1 << 20}), readAll(text, sizes)
		if whole != cut {
			t.Fatalf("%.300q\nat once %.200s\nin pieces of %v %.200s", text, whole, sizes, cut)
		}
		want := byNetHTTP(text)
		if (want == "none") != (cut == "spoilt" || cut == "not whole") || want != "none" && !strings.HasPrefix(cut, want) {
			t.Fatalf("%.300q\nread as %.200s\nby net/http %.200s", text, cut, want)
		}
		met[strings.SplitN(cut, " ", 2)[0]]++
	})
	if len(met) < 4 {
		t.Errorf("too few kinds of answers: %v", met)
	}
}

// FuzzAnswer holds pieces against the whole for any bytes, and memory to its bound.
func FuzzAnswer(f *testing.F) {
	for _, text := range append([]string{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", "HTTP/1.1 100 Continue\r\n\r\n"}, plainHeads...) {
		f.Add(text, uint8(3))
	}
	f.Fuzz(func(t *testing.T, text string, size uint8) {
		if whole, cut := readAll(text, []int{1 << 20}), readAll(text, []int{1 + int(size)}); whole != cut &&
			!(strings.HasPrefix(whole, "spoilt") && cut == "not whole" || whole == "not whole" && cut == "spoilt") {
			t.Fatalf("at once %q, in pieces %q", whole, cut)
		}
	})
}

// What is kept of an answer has a bound, whatever comes, and room is never empty before that.
func TestAnswersAreBounded(t *testing.T) {
	for name, text := range map[string]string{"head": strings.Repeat("x", 1<<20), "fields": "HTTP/1.1 200 OK\r\n" + strings.Repeat("A: b\r\n", 1<<16),
		"early": strings.Repeat("HTTP/1.1 103 Early\r\n\r\n", 1<<14), "chunks": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + strings.Repeat("1\r\nx\r\n", 1<<17),
		"one chunk": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nfffff\r\n" + strings.Repeat("x", 1<<20)} {
		for _, size := range []int{7, 1 << 20} {
			var r responseReader
			r.reset("GET", nil)
			left, err := text, error(nil)
			for left != "" && err == nil {
				n := copy(r.buffer()[:min(len(r.buffer()), size)], left)
				left = left[n:]
				_, err = r.advance(n)
			}
			if err == nil || cap(r.raw) > maxHeaderBytes+2*MaxBody+initialBufferSize {
				t.Errorf("%s in pieces of %d: %v, %d bytes kept", name, size, err, cap(r.raw))
			}
		}
	}
}
