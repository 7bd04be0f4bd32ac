package http1proxy

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"golang.org/x/net/http/httpguts"
)

// Request is a client's request in the form that each attempt sends to a backend. It is immutable
// after construction.
type Request struct {
	Method      string
	Target      string // path and query as received
	Host        string
	HeaderBlock []byte // the result of HeaderForwarder.Append
	// RemainingTimeoutHeader is the name of the field in which backends receive the seconds that are
	// left of the client's timeout. Empty means that none is sent.
	RemainingTimeoutHeader string
	Body                   []byte
	Trailer                Header // if not empty, the body is sent chunked
}

// CheckTarget returns an ErrInvalidTarget unless a target is an absolute path that can be sent in a
// request line unchanged: without a fragment, spaces and control characters.
func CheckTarget(target string) error {
	invalid := func(r rune) bool { return r <= ' ' || r == 0x7f || r == '#' }
	if !strings.HasPrefix(target, "/") || strings.ContainsFunc(target, invalid) {
		return fmt.Errorf("%w: %.60q", ErrInvalidTarget, target)
	}
	return nil
}

// FormatSeconds formats the value of the RemainingTimeoutHeader field: seconds with three decimals.
func FormatSeconds(d time.Duration) string { return strconv.FormatFloat(d.Seconds(), 'f', 3, 64) }

// Validate returns an ErrInvalidTarget or ErrInvalidField if the request can't be sent unchanged.
func (r *Request) Validate() error {
	switch {
	case r.Method == "" || !httpguts.ValidHeaderFieldName(r.Method):
		return fmt.Errorf("%w: the method %.20q", ErrInvalidField, r.Method)
	case !httpguts.ValidHostHeader(r.Host) || strings.ContainsAny(r.Host, "/?#@\\"):
		return fmt.Errorf("%w: the host %.40q", ErrInvalidField, r.Host)
	}
	for name, values := range r.Trailer {
		for _, value := range values {
			if _, err := appendField(nil, name, value); err != nil {
				return err
			}
		}
	}
	return CheckTarget(r.Target)
}

// AppendHead appends the request line and header of one attempt. remaining is the time that is left
// of the client's timeout.
func (r *Request) AppendHead(b []byte, remaining time.Duration) []byte {
	b = append(b, r.Method...)
	b = append(b, ' ')
	b = append(b, r.Target...)
	b = append(b, " HTTP/1.1\r\nHost: "...)
	b = append(b, r.Host...)
	b = append(b, "\r\n"...)
	b = append(b, r.HeaderBlock...)
	if r.RemainingTimeoutHeader != "" {
		b = append(b, r.RemainingTimeoutHeader...)
		b = append(b, ": "...)
		b = append(b, FormatSeconds(remaining)...)
		b = append(b, "\r\n"...)
	}
	switch {
	case len(r.Trailer) > 0:
		b = append(b, "Transfer-Encoding: chunked\r\nTrailer: "...)
		first := true
		for name := range r.Trailer {
			if !first {
				b = append(b, ", "...)
			}
			b, first = append(b, name...), false
		}
		b = append(b, "\r\n"...)
	case len(r.Body) > 0 || r.Method == "POST" || r.Method == "PUT" || r.Method == "PATCH":
		b = append(b, "Content-Length: "...)
		b = strconv.AppendInt(b, int64(len(r.Body)), 10)
		b = append(b, "\r\n"...)
	}
	return append(b, "\r\n"...)
}

// AppendBody appends the body and the trailer, in chunked encoding if there is a trailer.
func (r *Request) AppendBody(b []byte) []byte {
	if len(r.Trailer) == 0 {
		return append(b, r.Body...)
	}
	if len(r.Body) > 0 {
		b = strconv.AppendInt(b, int64(len(r.Body)), 16)
		b = append(b, "\r\n"...)
		b = append(b, r.Body...)
		b = append(b, "\r\n"...)
	}
	b = append(b, "0\r\n"...)
	for name, values := range r.Trailer {
		for _, value := range values {
			b, _ = appendField(b, name, value) // Validate has checked the field
		}
	}
	return append(b, "\r\n"...)
}
