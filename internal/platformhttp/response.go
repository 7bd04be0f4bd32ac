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
	maxHeaderBytes    = 16 << 10 // of a response, with the 1xx responses before it
	initialBufferSize = 2 << 10  // room for most responses
)

// Response is what a backend answered.
type Response struct {
	ContentType string
	Body        []byte
}

// Why a response can't be used.
var (
	errTooLarge       = errors.New("platformhttp: response is too large")
	errNoLength       = errors.New("platformhttp: response has no length")
	errProtocolSwitch = errors.New("platformhttp: response switches protocols")
	errUnexpectedBody = errors.New("platformhttp: response announces a body that it can't have")
)

// responseHeader is what is used of a response's header.
type responseHeader struct {
	status            int
	contentType       string
	usage, load       string
	notStarted, close bool
}

// responseReader reads one response from bytes as they come, in pieces of any size. Bytes are read once,
// except by net/http's reader, which needs the whole response: it is tried again with each empty line
// that has arrived, until it succeeds.
type responseReader struct {
	method      string
	raw         []byte // as received, without the body of a plain response
	body        []byte // of a plain response, its first received bytes; of any other once complete
	received    int
	plainHeader bool // raw has a plain header
	minLen      int  // the response is incomplete while raw is shorter, as far as known
	maxLen      int  // raw must not be longer
	parsedLen   int  // length of raw at the last try
	header      responseHeader
	trailing    bool // bytes came behind the response
}

// reset begins the next response, with the buffer of an earlier one.
func (r *responseReader) reset(method string, buffer []byte) {
	*r = responseReader{method: method, raw: buffer[:0], maxLen: maxHeaderBytes}
}

// started reports whether any byte has arrived.
func (r *responseReader) started() bool { return len(r.raw) > 0 }

// buffer returns where the next bytes are to be read into. It is not empty while the response is
// incomplete.
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

// advance takes in the first n bytes of buffer and reports whether the response is complete. An error
// means that there is none that can be used.
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
		r.trailing = len(rest) > r.received
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

// parse has net/http read what has arrived.
func (r *responseReader) parse() (complete bool, err error) {
	source := &byteSource{text: r.raw}
	res, err := source.finalResponse(r.method) //nolint:bodyclose // the body reads from memory
	if res == nil {
		return false, err
	}
	headerLen := source.consumed()
	r.maxLen = headerLen + 2*MaxBody // chunks take more room than their content
	switch {
	case res.StatusCode == http.StatusSwitchingProtocols:
		return false, errProtocolSwitch
	case res.ContentLength > MaxBody:
		return false, errTooLarge
	case res.ContentLength >= 0:
		complete, err = r.readSizedBody(res, headerLen)
	case len(res.TransferEncoding) == 0:
		// Only the end of the connection would end it: it can't be told from one that was cut off.
		return false, errNoLength
	default:
		complete, err = r.readChunkedBody(res)
	}
	if !complete || err != nil {
		return false, err
	}
	r.trailing = source.consumed() < len(r.raw)
	r.header = responseHeader{
		status:      res.StatusCode,
		contentType: res.Header.Get("Content-Type"),
		usage:       res.Header.Get("X-RateLimit-Used"),
		load:        res.Header.Get("Server-Load"),
		notStarted:  res.Header.Get("Not-Started") == "1",
		close:       res.Close,
	}
	return true, nil
}

// readSizedBody reads a body whose length the header tells.
func (r *responseReader) readSizedBody(res *http.Response, headerLen int) (complete bool, err error) {
	if res.Body == http.NoBody && res.ContentLength > 0 {
		return false, errUnexpectedBody
	}
	r.minLen = headerLen + int(res.ContentLength)
	body := make([]byte, res.ContentLength)
	if _, err := io.ReadFull(res.Body, body); err != nil {
		return false, nil // it has not arrived completely
	}
	r.body = body
	return true, nil
}

// readChunkedBody reads a body of chunks.
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

// byteSource reads responses from bytes.
type byteSource struct {
	text   []byte
	offset int // where the last response begins
	rest   *bytes.Reader
	in     *bufio.Reader
}

// finalResponse reads the first response that is not an informational one. It returns nil without an
// error if its header has not arrived completely.
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

// consumed returns how many bytes have been read.
func (s *byteSource) consumed() int { return len(s.text) - s.rest.Len() - s.in.Buffered() }

// hasEmptyLine reports whether there is an empty line, as at the end of a header and of the last chunk.
// One at the beginning makes a header a bad one.
func hasEmptyLine(text []byte) bool {
	return bytes.Contains(text, []byte("\n\r\n")) || bytes.Contains(text, []byte("\n\n")) ||
		bytes.HasPrefix(text, []byte("\r\n")) || bytes.HasPrefix(text, []byte("\n"))
}

// headerEnd returns the length of a header with its empty line; -1 if it is incomplete. net/http takes
// a header that is cut within a line for a bad one.
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

// isIncomplete reports whether an error may only mean that not all has arrived.
func isIncomplete(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) ||
		strings.Contains(err.Error(), "trailer") // of chunks: net/http has no error values for it
}
