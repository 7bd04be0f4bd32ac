// Package platformhttp is one attempt over the platform's HTTP/1.1 without its I/O: what stands on the
// wire, which connection carries it, when it may be sent again, and what its end proves. request.go
// writes requests, response.go and plain.go read responses from bytes as they come, backends.go keeps
// the backends and the connections to them, exchange.go is an attempt's state machine.
//
// The package is pure: bytes, results of I/O and times go in, operations and one outcome come out.
// Package platformtransport drives it over sockets, package sim over a simulated network. Of net/http
// it uses the reader of responses, on bytes that are there.
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

// MaxBody is the largest body of a request or response that the protocol allows, in bytes.
const MaxBody = 64 << 10

// Request is a client's request as it is forwarded with each attempt. It must pass Validate.
type Request struct {
	Method      string
	Target      string // path and query as received
	Host        string
	ID          uint64 // Request-Id
	HasID       bool
	Key         string // Idempotency-Key; empty: none
	ContentType string
	Body        []byte
}

// Protocol returns the protocol that carries the request.
func (m *Request) Protocol() string { return membership.ProtocolHTTP }

// Validate returns an error if a field of the request can't be written as it is.
func (m *Request) Validate() error {
	switch {
	case m.Method == "" || !httpguts.ValidHeaderFieldName(m.Method):
		return fmt.Errorf("platformhttp: invalid method %.20q", m.Method)
	case !strings.HasPrefix(m.Target, "/") || strings.ContainsFunc(m.Target, isSpaceOrControl):
		return fmt.Errorf("platformhttp: invalid target %.40q", m.Target)
	case !httpguts.ValidHostHeader(m.Host):
		return fmt.Errorf("platformhttp: invalid host %.40q", m.Host)
	case !httpguts.ValidHeaderFieldValue(m.Key):
		return fmt.Errorf("platformhttp: invalid key %.40q", m.Key)
	case !httpguts.ValidHeaderFieldValue(m.ContentType):
		return fmt.Errorf("platformhttp: invalid content type %.40q", m.ContentType)
	case len(m.Body) > MaxBody:
		return fmt.Errorf("platformhttp: body of %d bytes is too large", len(m.Body))
	}
	return nil
}

func isSpaceOrControl(r rune) bool { return r <= ' ' || r == 0x7f }

// Append appends an attempt's request as it stands on the wire. timeLeft is how long its client still
// waits.
func (m *Request) Append(b []byte, timeLeft time.Duration) []byte {
	b = append(b, m.Method...)
	b = append(b, ' ')
	b = append(b, m.Target...)
	b = appendField(b, " HTTP/1.1\r\nHost: ", m.Host)
	if m.HasID {
		b = append(b, "Request-Id: "...)
		b = appendHex(b, m.ID)
		b = append(b, "\r\n"...)
	}
	if m.Key != "" {
		b = appendField(b, "Idempotency-Key: ", m.Key)
	}
	if m.ContentType != "" {
		b = appendField(b, "Content-Type: ", m.ContentType)
	}
	b = append(b, "Request-Timeout: "...)
	b = strconv.AppendFloat(b, timeLeft.Seconds(), 'f', 3, 64)
	b = append(b, "\r\n"...)
	if len(m.Body) > 0 || m.Method != http.MethodGet {
		b = append(b, "Content-Length: "...)
		b = strconv.AppendInt(b, int64(len(m.Body)), 10)
		b = append(b, "\r\n"...)
	}
	b = append(b, "\r\n"...)
	return append(b, m.Body...)
}

// appendField appends what stands before a field's value, the value, and a line end.
func appendField(b []byte, name, value string) []byte {
	b = append(b, name...)
	b = append(b, value...)
	return append(b, "\r\n"...)
}

// appendHex appends a request's ID: 16 hexadecimal digits.
func appendHex(b []byte, v uint64) []byte {
	const digits = "0123456789abcdef"
	for shift := 60; shift >= 0; shift -= 4 {
		b = append(b, digits[v>>shift&15])
	}
	return b
}
