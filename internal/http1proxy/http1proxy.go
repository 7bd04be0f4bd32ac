// Package http1proxy has the rules of HTTP for a reverse proxy, without any I/O: which fields are
// forwarded (header.go), what a request to a backend is on the wire (request.go), how a response's
// head is parsed (response.go), what its status means to the decision engine (status.go), and what
// the end of an attempt proves (outcome.go). Its sources are RFC 9110 and RFC 9112.
//
// The package is pure: it does no I/O, reads no clock, takes no lock and starts no goroutine. Its
// values are not changed once they are made, and are safe for concurrent use then.
package http1proxy

import "errors"

// Header is a set of fields by canonical name, as in net/http.
type Header = map[string][]string

// Errors of requests that can't be forwarded. Their texts go out to clients.
var (
	// ErrInvalidTarget: the target is not an absolute path, or has a character that a request line
	// can't have.
	ErrInvalidTarget = errors.New("invalid request target")
	// ErrInvalidField: a name or value that no header field can have.
	ErrInvalidField = errors.New("invalid header field")
	// ErrLoop: the request has passed this proxy more often than any sound route takes it.
	ErrLoop = errors.New("request loop")
)
