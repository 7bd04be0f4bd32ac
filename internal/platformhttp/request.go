// Package platformhttp is an attempt over HTTP/1.1 without its I/O, as PROTOCOL has it: what stands on the wire, which
// connection carries it, when it may be sent again, and what its end proves. request.go writes requests, answer.go and
// plain.go read answers from bytes as they come, fleet.go keeps who the backends are and their connections, exchange.go is
// one attempt as a state machine.
//
// The package is pure: bytes, ends of I/O and times go in, operations and one outcome come out. Package httpback drives it
// over sockets, package sim over a network that a seed decides. It uses net/http's reader of answers on bytes that are
// there, and nothing else of that package.
package platformhttp

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"pumicecroft/membership"

	"golang.org/x/net/http/httpguts"
)

// MaxBody is the protocol's most for a body, of a request or an answer, in bytes.
const MaxBody = 64 << 10

// Request is a client's request as it goes on to a backend, with each attempt. What it holds must be fit for the
// wire: see Check.
type Request struct {
	Method      string
	Target      string // path and query as they came
	Host        string
	ID          uint64 // Request-Id
	HasID       bool
	Key         string // Idempotency-Key; empty: none
	ContentType string
	Body        []byte
}

// Protocol is what it goes over.
func (m *Request) Protocol() string { return membership.ProtocolHTTP }

// Validate tells what of a request cannot stand on the wire as it is.
func (m *Request) Validate() error {
	switch {
	case m.Method == "" || !httpguts.ValidHeaderFieldName(m.Method):
		return fmt.Errorf("the method %.20q", m.Method)
	case !strings.HasPrefix(m.Target, "/") || strings.ContainsFunc(m.Target, func(r rune) bool { return r <= ' ' || r == 0x7f }):
		return fmt.Errorf("the target %.40q", m.Target)
	case !httpguts.ValidHostHeader(m.Host):
		return fmt.Errorf("the host %.40q", m.Host)
	case !httpguts.ValidHeaderFieldValue(m.Key):
		return fmt.Errorf("the key %.40q", m.Key)
	case !httpguts.ValidHeaderFieldValue(m.ContentType):
		return fmt.Errorf("the content type %.40q", m.ContentType)
	case len(m.Body) > MaxBody:
		return fmt.Errorf("a body of %d bytes", len(m.Body))
	}
	return nil
}

// Append appends one attempt's request as it stands on the wire; left is the time that its client still waits.
func (m *Request) Append(b []byte, left time.Duration) []byte {
	field := func(name, value string) {
		b = append(b, name...)
		b = append(b, value...)
		b = append(b, "\r\n"...)
	}
	b = append(b, m.Method...)
	b = append(b, ' ')
	b = append(b, m.Target...)
	field(" HTTP/1.1\r\nHost: ", m.Host)
	if m.HasID {
		b = append(b, "Request-Id: "...)
		b = appendHex(b, m.ID)
		b = append(b, "\r\n"...)
	}
	if m.Key != "" {
		field("Idempotency-Key: ", m.Key)
	}
	if m.ContentType != "" {
		field("Content-Type: ", m.ContentType)
	}
	b = append(b, "Request-Timeout: "...)
	b = strconv.AppendFloat(b, left.Seconds(), 'f', 3, 64)
	b = append(b, "\r\n"...)
	if len(m.Body) > 0 || m.Method != http.MethodGet {
		b = append(b, "Content-Length: "...)
		b = strconv.AppendInt(b, int64(len(m.Body)), 10)
		b = append(b, "\r\n"...)
	}
	b = append(b, "\r\n"...)
	return append(b, m.Body...)
}

// appendHex appends 16 hex digits, as ids are written.
func appendHex(b []byte, v uint64) []byte {
	const digits = "0123456789abcdef"
	for shift := 60; shift >= 0; shift -= 4 {
		b = append(b, digits[v>>shift&15])
	}
	return b
}
