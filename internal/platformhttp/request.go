// Package platformhttp implements an attempt over the platform's HTTP/1.1, except for its I/O: the encoding
// of requests, the parsing of responses, which connection an attempt uses, when it may be sent again on
// another connection, and with which result it ends. request.go encodes requests, response.go and plain.go
// parse responses incrementally, backends.go holds the backends and their connections, and exchange.go is
// the state machine of an attempt.
//
// The package does no I/O and reads no clock: its inputs are bytes, results of I/O and times, its outputs
// are operations and one result. Package platformtransport drives it over sockets, package sim over a
// simulated network. It uses net/http only to parse responses from memory.
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

// MaxBody is the maximum size of a request or response body in the protocol, in bytes.
const MaxBody = 64 << 10

// Request is a client's request as each attempt sends it. Its fields must pass Validate.
type Request struct {
	Method      string
	Target      string // path and query, as received
	Host        string
	ID          uint64 // Request-Id
	HasID       bool
	Key         string // Idempotency-Key; empty: none
	ContentType string
	Body        []byte
}

// Protocol returns the protocol that carries the request.
func (m *Request) Protocol() string { return membership.ProtocolHTTP }

// Validate returns an error if the request can't be encoded: a field is invalid, or the body is too large.
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

// Append appends the encoded request of an attempt to b. timeLeft is the time until the attempt's deadline,
// sent as Request-Timeout.
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

// appendField appends prefix, which ends with the field's name and ": ", the value, and a line end.
func appendField(b []byte, prefix, value string) []byte {
	b = append(b, prefix...)
	b = append(b, value...)
	return append(b, "\r\n"...)
}

// appendHex appends a request ID as 16 hexadecimal digits.
func appendHex(b []byte, v uint64) []byte {
	const digits = "0123456789abcdef"
	for shift := 60; shift >= 0; shift -= 4 {
		b = append(b, digits[v>>shift&15])
	}
	return b
}
