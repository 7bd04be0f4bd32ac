package httpproxy

import (
	"errors"
	"net/http"
	"strings"
	"sync"
	"time"

	"pumicecroft/internal/http1proxy"
	"pumicecroft/internal/httpproxytransport"
)

// responseSink passes an answer on as it comes. An attempt may outlive its request by a little; nothing is written then.
type responseSink struct {
	w http.ResponseWriter

	http10 bool // HTTP/1.0: there are no 1xx answers (RFC 9110, 15.2)

	mu       sync.Mutex
	started  bool
	complete bool // the answer is whole
	closed   bool
}

var errRequestEnded = errors.New("the request has ended")

// writeGrace is how long past the attempt's end a client may take its answer.
const writeGrace = time.Second

// WriteInformational passes on a 1xx answer.
func (s *responseSink) WriteInformational(status int, h http.Header) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || s.started || s.http10 {
		return
	}
	own := s.w.Header()
	kept := own.Clone()
	http1proxy.CopyResponseHeader(own, h)
	s.w.WriteHeader(status)
	clear(own)
	for name, v := range kept {
		own[name] = v
	}
}

// WriteHeader begins the answer.
func (s *responseSink) WriteHeader(a *httpproxytransport.Response, due time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return
	}
	s.started = true
	// A client that does not read is not waited for beyond the attempt's end. A writer that the host has wrapped may not let the deadline be
	// set; then the host's own must do.
	_ = http.NewResponseController(s.w).SetWriteDeadline(due.Add(writeGrace))
	setResponseHeader(s.w, a)
	s.w.WriteHeader(a.Status)
}

// WriteBody passes on a part of the body.
func (s *responseSink) WriteBody(p []byte, flush bool) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return errRequestEnded
	}
	if len(p) > 0 {
		if _, err := s.w.Write(p); err != nil {
			return err
		}
	}
	if flush {
		return http.NewResponseController(s.w).Flush()
	}
	return nil
}

// WriteTrailer ends the answer.
func (s *responseSink) WriteTrailer(h http.Header) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.closed {
		s.complete = true
		setTrailers(s.w, h)
		_ = http.NewResponseController(s.w).SetWriteDeadline(time.Time{})
	}
}

func (s *responseSink) hasStarted() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.started
}

func (s *responseSink) isComplete() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.complete
}

// close lets nothing more be written. What is being written is waited for, and ends by its deadline.
func (s *responseSink) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
}

// setResponseHeader puts an answer's fields into the client's.
func setResponseHeader(w http.ResponseWriter, a *httpproxytransport.Response) {
	h := w.Header()
	closing := h["Connection"]
	http1proxy.CopyResponseHeader(h, a.Header)
	if closing != nil {
		h["Connection"] = closing
	}
	if _, told := h["Content-Type"]; !told {
		h["Content-Type"] = nil // none is guessed
	}
	if len(a.Trailer) > 0 {
		var names []string
		for name := range a.Trailer {
			names = append(names, name)
		}
		h["Trailer"] = []string{strings.Join(names, ", ")}
	}
}

// setTrailers puts the fields behind the body.
func setTrailers(w http.ResponseWriter, trailer http.Header) {
	h := w.Header()
	announced := strings.Join(h["Trailer"], ", ")
	for name, values := range trailer {
		if !strings.Contains(", "+announced+", ", ", "+name+", ") {
			name = http.TrailerPrefix + name
		}
		h[name] = values
	}
}

// writeResponse writes an answer that is whole.
func writeResponse(w http.ResponseWriter, a *httpproxytransport.Response) {
	setResponseHeader(w, a)
	w.WriteHeader(a.Status)
	if len(a.Body) > 0 {
		_, _ = w.Write(a.Body) // if it fails, the connection is closed: the client sees a cut answer
	}
	if len(a.Trailer) > 0 {
		_ = http.NewResponseController(w).Flush() // else the server tells a length, and no trailers go with one
		setTrailers(w, a.Trailer)
	}
}
