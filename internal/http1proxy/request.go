package http1proxy

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"golang.org/x/net/http/httpguts"
)

// Request is a client's request as it goes on to a backend, with each attempt. It is not changed once it is made.
type Request struct {
	Method      string
	Target      string // path and query as they came
	Host        string
	HeaderBlock []byte // as Onward.Append made them
	// RemainingTimeoutHeader is the field that tells a backend how long its client still waits, in seconds; empty: none does.
	RemainingTimeoutHeader string
	Body                   []byte
	Trailer                Header // goes behind the body, which is then sent in chunks
}

// CheckTarget tells whether a target can stand in a request line as it is: the path of an origin, without a fragment.
func CheckTarget(target string) error {
	if !strings.HasPrefix(target, "/") || strings.ContainsFunc(target, func(r rune) bool { return r <= ' ' || r == 0x7f || r == '#' }) {
		return fmt.Errorf("%w: %.60q", ErrInvalidTarget, target)
	}
	return nil
}

// FormatSeconds writes a time as a request tells it.
func FormatSeconds(d time.Duration) string { return strconv.FormatFloat(d.Seconds(), 'f', 3, 64) }

// Validate tells what of a request can't stand on the wire as it is. The error is an ErrTarget or ErrField.
func (r *Request) Validate() error {
	switch {
	case r.Method == "" || !httpguts.ValidHeaderFieldName(r.Method):
		return fmt.Errorf("%w: the method %.20q", ErrInvalidField, r.Method)
	case !httpguts.ValidHostHeader(r.Host) || strings.ContainsAny(r.Host, "/?#@\\"):
		return fmt.Errorf("%w: the host %.40q", ErrInvalidField, r.Host)
	}
	for name, values := range r.Trailer {
		for _, v := range values {
			if _, err := appendField(nil, name, v); err != nil {
				return err
			}
		}
	}
	return CheckTarget(r.Target)
}

// AppendHead appends the head of one attempt; left is the time that its client still waits.
func (r *Request) AppendHead(b []byte, left time.Duration) []byte {
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
		b = append(b, FormatSeconds(left)...)
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

// AppendBody appends what stands behind the head.
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
		for _, v := range values {
			b, _ = appendField(b, name, v) // Check has looked
		}
	}
	return append(b, "\r\n"...)
}
