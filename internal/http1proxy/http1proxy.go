// Package http1proxy implements the HTTP rules of a reverse proxy, without any I/O: which header
// fields are forwarded (header.go), how a request to a backend is encoded (request.go), how a
// response's head is parsed (response.go), how its status is classified for the decision engine
// (status.go), and the result of an attempt that ends without a response (outcome.go). It follows
// RFC 9110 and RFC 9112.
//
// The package is pure: it does no I/O, reads no clock, takes no lock and starts no goroutine. Its
// values are immutable after construction, and then safe for concurrent use.
package http1proxy

import "errors"

// Header is a set of fields by canonical name, as in net/http.
type Header = map[string][]string

// Errors of requests that can't be forwarded. Clients receive their texts.
var (
	// ErrInvalidTarget means that the target is not an absolute path, or has a character that is not
	// allowed in a request line.
	ErrInvalidTarget = errors.New("invalid request target")
	// ErrInvalidField means that a method, a host, or a header field's name or value is invalid.
	ErrInvalidField = errors.New("invalid header field")
	// ErrLoop means that the proxy's name occurs in Via at least HeaderForwarder.MaxViaEntries times.
	ErrLoop = errors.New("request loop")
)
