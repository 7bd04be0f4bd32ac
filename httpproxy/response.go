package httpproxy

import (
	"errors"
	"maps"
	"net/http"
	"strings"
	"sync"
	"time"

	"pumicecroft/internal/http1proxy"
	"pumicecroft/internal/httpproxytransport"
)

// responseProgress is how much of a response was written to the client.
type responseProgress uint8

const (
	responseNotStarted responseProgress = iota // 1xx responses at most
	responseStarted                            // the header, and maybe a part of the body
	responseComplete
)

// responseSink streams a backend's response to the client. An attempt may use it for longer than its
// request lasts: for a moment after it was cancelled, and over HTTP/2 until the goroutine that reads the
// backend's connection has left WriteInformational. As an http.ResponseWriter is not safe for concurrent
// use, the attempts own it until close, and the handler owns it afterwards. The methods of Sink do
// nothing after close. responseSink is safe for concurrent use.
type responseSink struct {
	w      http.ResponseWriter
	http10 bool // the client speaks HTTP/1.0, which has no 1xx responses (RFC 9110, 15.2)

	mu       sync.Mutex
	progress responseProgress
	closed   bool
}

var _ httpproxytransport.Sink = (*responseSink)(nil)

var errRequestEnded = errors.New("httpproxy: the request has ended")

// writeGrace is how long after the attempt's deadline the client may still receive its response.
const writeGrace = time.Second

// WriteInformational forwards a 1xx response.
func (s *responseSink) WriteInformational(status int, h http.Header) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || s.progress != responseNotStarted || s.http10 {
		return
	}
	writeInformational(s.w, status, h)
}

// WriteHeader begins the response.
func (s *responseSink) WriteHeader(response *httpproxytransport.Response, deadline time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return
	}
	s.progress = responseStarted
	// A client that does not read its response is disconnected writeGrace after the attempt's deadline.
	// A ResponseWriter wrapped by the embedding program may not support deadlines: then only that
	// program's own timeout applies.
	_ = http.NewResponseController(s.w).SetWriteDeadline(deadline.Add(writeGrace))
	setResponseHeader(s.w, response)
	s.w.WriteHeader(response.Status)
}

// WriteBody forwards a part of the body.
func (s *responseSink) WriteBody(data []byte, flush bool) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return errRequestEnded
	}
	if len(data) > 0 {
		if _, err := s.w.Write(data); err != nil {
			return err
		}
	}
	if flush {
		return http.NewResponseController(s.w).Flush()
	}
	return nil
}

// WriteTrailer ends the response.
func (s *responseSink) WriteTrailer(h http.Header) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return
	}
	s.progress = responseComplete
	setTrailers(s.w, h)
	_ = http.NewResponseController(s.w).SetWriteDeadline(time.Time{})
}

// close ends the use of the ResponseWriter by attempts, and returns how much of the response they have
// written. The handler must not use the ResponseWriter before. close waits for a write in progress, which
// the write deadline limits. Repeated calls return the same value.
func (s *responseSink) close() responseProgress {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	return s.progress
}

// writeInformational writes a 1xx response, and leaves the header of the final response as it was.
//
// The HTTP/2 server of net/http encodes the header of a 1xx response in a goroutine of its own, and
// WriteHeader does not wait for that goroutine if the client has left. Changing the header afterwards would
// be a data race. If the header has a Content-Length, which a 1xx response must not have (RFC 9110, 8.6),
// net/http encodes a copy without it.
func writeInformational(w http.ResponseWriter, status int, h http.Header) {
	header := w.Header()
	saved := header.Clone()
	http1proxy.CopyResponseHeader(header, h)
	header["Content-Length"] = nil
	w.WriteHeader(status)
	clear(header)
	maps.Copy(header, saved)
}

// setResponseHeader copies a response's fields to the client's.
func setResponseHeader(w http.ResponseWriter, response *httpproxytransport.Response) {
	h := w.Header()
	connection := h["Connection"] // "close" if the proxy ends the connection
	http1proxy.CopyResponseHeader(h, response.Header)
	if connection != nil {
		h["Connection"] = connection
	}
	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil // keeps net/http from detecting one
	}
	if len(response.Trailer) > 0 {
		var names []string
		for name := range response.Trailer {
			names = append(names, name)
		}
		h["Trailer"] = []string{strings.Join(names, ", ")}
	}
}

// setTrailers sets the trailer fields of a response whose body has been written. Fields that were announced
// and not sent have no values. They are left out: the HTTP/2 server of net/http does not end a response
// whose trailer has fields without values.
func setTrailers(w http.ResponseWriter, trailer http.Header) {
	h := w.Header()
	announced := strings.Join(h["Trailer"], ", ")
	for name, values := range trailer {
		if len(values) == 0 {
			continue
		}
		if !strings.Contains(", "+announced+", ", ", "+name+", ") {
			name = http.TrailerPrefix + name
		}
		h[name] = values
	}
}

// writeResponse writes a complete response.
func writeResponse(w http.ResponseWriter, response *httpproxytransport.Response) {
	setResponseHeader(w, response)
	w.WriteHeader(response.Status)
	if len(response.Body) > 0 {
		_, _ = w.Write(response.Body) // on an error, net/http closes the connection, and the client notices
	}
	if len(response.Trailer) > 0 {
		// Without a flush, net/http would send a Content-Length instead of chunks, and no trailers.
		_ = http.NewResponseController(w).Flush()
		setTrailers(w, response.Trailer)
	}
}
