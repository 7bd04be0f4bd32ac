// Package http1proxy settles what ordinary HTTP asks of a door between a client and a backend, without doing any of it: which fields go on
// and which end here (fields.go), what a request is on the wire (request.go), what an answer's status means to the decision module
// (status.go), and what the end of an attempt proves (proof.go). RFC 9110 and 9112 are its sources.
//
// The package is pure: it does no I/O, reads no clock, takes no lock and starts no goroutine. What it makes is not changed afterwards, and
// is safe for concurrent use then. Package webback drives it over sockets, package webfront for clients.
package http1proxy

import "errors"

// Header is a set of fields by their canonical names, as net/http has them.
type Header = map[string][]string

// What of a request can't go on. Test with errors.Is.
var (
	// ErrInvalidTarget: the target is no path of this origin, or holds what must not stand in a request line.
	ErrInvalidTarget = errors.New("a target that is no path")
	// ErrInvalidField: a name or a value that no field may have.
	ErrInvalidField = errors.New("a field that makes no sense")
	// ErrLoop: the request has come through here more often than any sound way takes it.
	ErrLoop = errors.New("the request goes in a circle")
)
