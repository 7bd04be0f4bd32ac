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
	maxHeaderBytes    = 16 << 10 // of a response, including the 1xx responses before it
	initialBufferSize = 2 << 10  // in bytes; most responses fit
)

// Response is a backend's response with status 200.
type Response struct {
	ContentType string
	Body        []byte
}

// Errors of responses that can't be used.
var (
	errTooLarge       = errors.New("platformhttp: response is too large")
	errNoLength       = errors.New("platformhttp: response has no length")
	errProtocolSwitch = errors.New("platformhttp: response switches protocols")
	errUnexpectedBody = errors.New("platformhttp: response announces a body that it can't have")
)

// responseHeader holds the parts of a response's header that are used.
type responseHeader struct {
	status                int
	contentType           string
	usage, load           string
	notStarted, closeConn bool // the field Not-Started is 1; the backend will close the connection
}

// responseReader reads one response incrementally, in chunks of any size. The bytes of a plain response are
// read once. net/http's parser needs the whole response, so it is called again after each empty line that
// arrives, until it succeeds.
type responseReader struct {
	method           string
	raw              []byte // bytes received, except for the body of a plain response
	body             []byte // of a plain response: its first received bytes are valid; of any other: set once complete
	received         int    // bytes received of the body of a plain response
	plainHeader      bool   // the response is a plain one, and its header is complete
	minLen           int    // the response is incomplete while raw is shorter; 0 if unknown
	maxLen           int    // maximum length of raw
	parsedLen        int    // length of raw when net/http's parser was last called
	header           responseHeader
	hasTrailingBytes bool // bytes have arrived after the response
}

// reset prepares for the next response and reuses the buffer of an earlier one.
func (r *responseReader) reset(method string, buffer []byte) {
	*r = responseReader{method: method, raw: buffer[:0], maxLen: maxHeaderBytes}
}

// started reports whether any byte has arrived.
func (r *responseReader) started() bool { return len(r.raw) > 0 }

// buffer returns the buffer for the next bytes. It is not empty while the response is incomplete.
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

// advance processes the first n bytes of buffer and reports whether the response is complete. An error means
// that the response can't be used.
func (r *responseReader) advance(n int) (complete bool, err error) {
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
		r.hasTrailingBytes = len(rest) > r.received
		return r.received == len(body), nil
	}
	if len(r.raw) >= r.minLen && (r.minLen > 0 || hasEmptyLine(r.raw[max(0, r.parsedLen-2):])) {
		r.parsedLen = len(r.raw)
		if complete, err = r.parse(); complete || err != nil {
			return complete, err
		}
	}
	if len(r.raw) >= r.maxLen {
		return false, errTooLarge
	}
	return false, nil
}

// parse parses the received bytes with net/http and reports whether the response is complete.
func (r *responseReader) parse() (complete bool, err error) {
	source := &byteSource{text: r.raw}
	res, err := source.finalResponse(r.method) //nolint:bodyclose // the body reads from memory
	if res == nil {
		return false, err
	}
	headerLen := source.consumed()
	r.maxLen = headerLen + 2*MaxBody // chunked encoding adds to the length of the body
	switch {
	case res.StatusCode == http.StatusSwitchingProtocols:
		return false, errProtocolSwitch
	case res.ContentLength > MaxBody:
		return false, errTooLarge
	case res.ContentLength >= 0:
		complete, err = r.readSizedBody(res, headerLen)
	case len(res.TransferEncoding) == 0:
		// The response ends when the connection is closed, so a truncated one would look complete.
		return false, errNoLength
	default:
		complete, err = r.readChunkedBody(res)
	}
	if !complete || err != nil {
		return false, err
	}
	r.hasTrailingBytes = source.consumed() < len(r.raw)
	r.header = responseHeader{
		status:      res.StatusCode,
		contentType: res.Header.Get("Content-Type"),
		usage:       res.Header.Get("X-RateLimit-Used"),
		load:        res.Header.Get("Server-Load"),
		notStarted:  res.Header.Get("Not-Started") == "1",
		closeConn:   res.Close,
	}
	return true, nil
}

// readSizedBody reads a body with a Content-Length.
func (r *responseReader) readSizedBody(res *http.Response, headerLen int) (complete bool, err error) {
	if res.Body == http.NoBody && res.ContentLength > 0 {
		return false, errUnexpectedBody
	}
	r.minLen = headerLen + int(res.ContentLength)
	body := make([]byte, res.ContentLength)
	if _, err := io.ReadFull(res.Body, body); err != nil {
		return false, nil // the body is incomplete
	}
	r.body = body
	return true, nil
}

// readChunkedBody reads a body in chunked encoding.
func (r *responseReader) readChunkedBody(res *http.Response) (complete bool, err error) {
	body, err := io.ReadAll(io.LimitReader(res.Body, MaxBody+1))
	switch {
	case len(body) > MaxBody:
		return false, errTooLarge
	case err != nil && isIncomplete(err):
		return false, nil
	case err != nil:
		return false, err
	}
	r.body = body
	return true, nil
}

// byteSource parses responses from received bytes.
type byteSource struct {
	text   []byte
	offset int // where the last parsed response begins
	rest   *bytes.Reader
	in     *bufio.Reader
}

// finalResponse parses the first response that is not informational (1xx). It returns nil without an error
// if its header is incomplete.
func (s *byteSource) finalResponse(method string) (*http.Response, error) {
	for {
		end := headerEnd(s.text[s.offset:])
		if end < 0 {
			return nil, nil
		}
		s.rest = bytes.NewReader(s.text[s.offset:])
		s.in = bufio.NewReader(s.rest)
		res, err := http.ReadResponse(s.in, &http.Request{Method: method})
		switch {
		case err != nil && isIncomplete(err):
			return nil, nil
		case err != nil:
			return nil, err
		case res.StatusCode >= statusOK || res.StatusCode == http.StatusSwitchingProtocols:
			return res, nil
		}
		s.offset += end
	}
}

// consumed returns how many bytes have been parsed.
func (s *byteSource) consumed() int { return len(s.text) - s.rest.Len() - s.in.Buffered() }

// hasEmptyLine reports whether text contains an empty line, such as the ends of a header and of a chunked
// body. It may also be at the beginning of text, where it makes a header invalid.
func hasEmptyLine(text []byte) bool {
	return bytes.Contains(text, []byte("\n\r\n")) || bytes.Contains(text, []byte("\n\n")) ||
		bytes.HasPrefix(text, []byte("\r\n")) || bytes.HasPrefix(text, []byte("\n"))
}

// headerEnd returns the length of a header including its empty line, or -1 if it is incomplete. net/http
// must not be called with an incomplete header: it reports one that ends within a line as invalid.
func headerEnd(text []byte) int {
	for start := 0; ; {
		n := bytes.IndexByte(text[start:], '\n')
		if n < 0 {
			return -1
		}
		if line := text[start : start+n]; len(line) == 0 || len(line) == 1 && line[0] == '\r' {
			return start + n + 1
		}
		start += n + 1
	}
}

// isIncomplete reports whether an error may just mean that the response has not arrived completely.
func isIncomplete(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) ||
		strings.Contains(err.Error(), "trailer") // net/http exports no error for an incomplete chunked trailer
}
