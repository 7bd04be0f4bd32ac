package platformhttp

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
	"strings"
)

const (
	maxHeaderBytes    = 16 << 10 // of an answer, 1xx answers ahead of it among it
	initialBufferSize = 2 << 10  // for what most answers are
)

// Response is what a backend answered.
type Response struct {
	ContentType string
	Body        []byte
}

// Why an answer can't be used.
var (
	errTooLarge       = errors.New("the answer is larger than answers may be")
	errNoLength       = errors.New("the answer does not tell its length")
	errProtocolSwitch = errors.New("the answer switches protocols")
	errUnexpectedBody = errors.New("the answer tells of a body that it can't have")
)

// responseHeader is what is wanted of an answer's head.
type responseHeader struct {
	status            int
	contentType       string
	usage, load       string
	notStarted, close bool
}

// responseReader reads one answer from bytes as they come, in pieces however cut. Nothing is read twice but what net/http's reader
// wants whole: it is tried again with each empty line that has come, until it has an answer.
type responseReader struct {
	method      string
	raw         []byte // as it came, but for a plain answer's body
	body        []byte // of a plain answer, got of it have come; or of any other once it is whole
	received    int
	plainHeader bool // raw had a plain head
	minLen      int  // raw must be at least so long to be whole, as far as known
	maxLen      int  // raw may be no longer
	parsedLen   int  // so much of raw was there at the last try
	header      responseHeader
	trailing    bool // something stands behind it
}

// reset begins another answer; room is kept from the last one.
func (r *responseReader) reset(method string, room []byte) {
	*r = responseReader{method: method, raw: room[:0], maxLen: maxHeaderBytes}
}

// started tells whether anything has come.
func (r *responseReader) started() bool { return len(r.raw) > 0 }

// buffer is where what comes next must be put. It is never empty while the answer is not whole.
func (r *responseReader) buffer() []byte {
	if r.plainHeader {
		return r.body[r.received:]
	}
	if cap(r.raw) < initialBufferSize {
		r.raw = append(make([]byte, 0, initialBufferSize), r.raw...)
	}
	if len(r.raw) == cap(r.raw) {
		r.raw = append(make([]byte, 0, min(max(2*cap(r.raw), r.minLen), r.maxLen)), r.raw...)
	}
	return r.raw[len(r.raw):min(cap(r.raw), r.maxLen)]
}

// advance takes in n bytes that stand in room, and tells whether the answer is whole. An error means that there is none that
// can be used.
func (r *responseReader) advance(n int) (whole bool, err error) {
	if n == 0 {
		return false, nil
	}
	if r.plainHeader {
		r.received += n
		return r.received == len(r.body), nil
	}
	r.raw = r.raw[:len(r.raw)+n]
	if rest, body, ok := parsePlainResponse(r.raw, &r.header); ok {
		r.plainHeader, r.body = true, body
		r.received = copy(body, rest)
		r.trailing = len(rest) > r.received
		return r.received == len(body), nil
	}
	if len(r.raw) >= r.minLen && (r.minLen > 0 || hasEmptyLine(r.raw[max(0, r.parsedLen-2):])) {
		r.parsedLen = len(r.raw)
		if whole, err = r.parse(); whole || err != nil {
			return whole, err
		}
	}
	if len(r.raw) >= r.maxLen {
		return false, errTooLarge
	}
	return false, nil
}

// hasEmptyLine tells whether there is one, as every head and the last of all chunks end with. An empty line that begins a head
// makes it a bad one.
func hasEmptyLine(text []byte) bool {
	return bytes.Contains(text, []byte("\n\r\n")) || bytes.Contains(text, []byte("\n\n")) || bytes.HasPrefix(text, []byte("\r\n")) ||
		bytes.HasPrefix(text, []byte("\n"))
}

// headerEnd is where a head ends, behind its empty line; -1: it is not whole. net/http takes a head that is cut within a line
// for a bad one.
func headerEnd(text []byte) int {
	for from := 0; ; {
		n := bytes.IndexByte(text[from:], '\n')
		if n < 0 {
			return -1
		}
		if line := text[from : from+n]; len(line) == 0 || len(line) == 1 && line[0] == '\r' {
			return from + n + 1
		}
		from += n + 1
	}
}

// isIncomplete tells whether an answer may only not be whole yet.
func isIncomplete(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) ||
		strings.Contains(err.Error(), "trailer") // that of chunks, which net/http has no error values for
}

// parse has net/http read what has come.
func (r *responseReader) parse() (whole bool, err error) {
	from := 0
	var res *http.Response
	var text *bytes.Reader
	var in *bufio.Reader
	for {
		end := headerEnd(r.raw[from:])
		if end < 0 {
			return false, nil
		}
		text = bytes.NewReader(r.raw[from:])
		in = bufio.NewReader(text)
		if res, err = http.ReadResponse(in, &http.Request{Method: r.method}); err != nil {
			if isIncomplete(err) {
				err = nil
			}
			return false, err
		}
		if res.StatusCode >= 200 || res.StatusCode == http.StatusSwitchingProtocols {
			break
		}
		from += end
	}
	headLen := len(r.raw) - text.Len() - in.Buffered()
	r.maxLen = headLen + 2*MaxBody // chunks take more room than what is in them
	switch {
	case res.StatusCode == http.StatusSwitchingProtocols:
		return false, errProtocolSwitch
	case res.ContentLength > MaxBody:
		return false, errTooLarge
	case res.ContentLength >= 0:
		if res.Body == http.NoBody && res.ContentLength > 0 {
			return false, errUnexpectedBody
		}
		r.minLen = headLen + int(res.ContentLength)
		body := make([]byte, res.ContentLength)
		if _, err := io.ReadFull(res.Body, body); err != nil {
			return false, nil
		}
		r.body = body
	case len(res.TransferEncoding) == 0: // only the connection's end would end it: it can't be told from a cut one
		return false, errNoLength
	default:
		body, err := io.ReadAll(io.LimitReader(res.Body, MaxBody+1))
		if len(body) > MaxBody {
			return false, errTooLarge
		}
		if err != nil {
			if isIncomplete(err) {
				err = nil
			}
			return false, err
		}
		r.body = body
	}
	r.trailing = text.Len()+in.Buffered() > 0
	r.header = responseHeader{status: res.StatusCode, contentType: res.Header.Get("Content-Type"), usage: res.Header.Get("X-RateLimit-Used"),
		load: res.Header.Get("Server-Load"), notStarted: res.Header.Get("Not-Started") == "1", close: res.Close}
	return true, nil
}
