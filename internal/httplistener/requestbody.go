package httplistener

import (
	"io"
	"net/http"
	"sync/atomic"
	"time"
)

// How long the rest of a request may take to arrive after its response. Under pressure, a connection that waits for it
// makes room for others earlier.
const (
	lingerTimeout               = 500 * time.Millisecond
	generalPurposeLingerTimeout = 5 * time.Second
)

// requestBody is the body of a request. It records whether it was read to its end.
type requestBody struct {
	io.ReadCloser
	ended atomic.Bool
}

// Read implements io.Reader.
func (b *requestBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		b.ended.Store(true)
	}
	return n, err
}

// trackBody replaces the body of an HTTP/1 request by one that records its end. It returns nil if there is none.
func trackBody(r *http.Request) *requestBody {
	if r.Body == http.NoBody || r.ProtoMajor != 1 {
		return nil
	}
	body := &requestBody{ReadCloser: r.Body}
	r.Body = body
	return body
}

// limitLinger limits the time for the rest of a body that the handler has not read to its end: net/http reads it, without
// a limit, before it closes the connection or waits for the next request. A deadline after the end of the body would be
// taken for a disconnect, and cancel all later requests on the connection.
func (s *Server) limitLinger(w http.ResponseWriter, body *requestBody) {
	if body == nil || body.ended.Load() {
		return
	}
	timeout := lingerTimeout
	if s.options.GeneralPurpose {
		timeout = generalPurposeLingerTimeout
	}
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(timeout))
}
