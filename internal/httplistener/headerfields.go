package httplistener

import (
	"errors"
	"io"
	"net/http"
	"time"
)

const (
	// rejectTimeout limits how long the response to a request with too many fields may take to be written.
	rejectTimeout = 100 * time.Millisecond
	// maxDiscarded is the number of bytes that are read after that response.
	maxDiscarded = 64 << 10
)

// tooManyFieldsResponse is written in place of net/http, which has no limit of its own.
const tooManyFieldsResponse = "HTTP/1.1 431 Request Header Fields Too Large\r\n" +
	"Content-Type: text/plain; charset=utf-8\r\nConnection: close\r\n\r\n431 Request Header Fields Too Large"

var errTooManyFields = errors.New("httplistener: request header has too many fields")

// fieldCounter counts the lines of a request header as they are read. net/http keeps each field in a map while it
// reads the header, which takes about thirty times the memory of the shortest fields on the wire.
type fieldCounter struct {
	limit       int  // 0: none
	lines       int  // complete lines since the last empty one
	inLine      bool // the current line is not empty
	headerEnded bool // the header of the current request has ended
	bodyless    bool // the current request has no body: what follows its header belongs to the next request
}

// add counts the lines in bytes that were read. It returns false if the header has too many of them.
func (f *fieldCounter) add(p []byte) bool {
	if f.limit == 0 {
		return true
	}
	for _, b := range p {
		switch {
		case b == '\n' && f.inLine:
			f.lines++
			f.inLine = false
		case b == '\n':
			f.lines = 0
			f.headerEnded = true
		case b != '\r':
			f.inLine = true
		}
		if f.lines > f.limit+1 && !f.headerEnded { // the request line is one of the lines
			return false
		}
	}
	return true
}

// nextRequest prepares for the next request.
func (f *fieldCounter) nextRequest() {
	if !f.bodyless { // lines of the body that were read along with its header were counted
		f.lines, f.inLine = 0, false
	}
	f.headerEnded, f.bodyless = false, false
}

// countFields returns the number of fields in a request's header.
func countFields(r *http.Request) int {
	n := 1 // Host, which net/http removes from the header
	for _, values := range r.Header {
		n += len(values)
	}
	return n
}

// rejectHeader answers a request whose header has too many fields. It reads what the client still sends for a while,
// as a close over unread bytes resets the connection, and the client may then not see the response.
func (c *clientConn) rejectHeader() {
	_ = c.SetWriteDeadline(time.Now().Add(rejectTimeout))
	if _, err := io.WriteString(c.Conn, tooManyFieldsResponse); err != nil {
		return
	}
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite()
	}
	_ = c.SetReadDeadline(time.Now().Add(lingerTimeout))
	_, _ = io.CopyN(io.Discard, c.Conn, maxDiscarded)
}
