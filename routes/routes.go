// Package routes finds the route of an HTTP request by its host, path (with parameters), method,
// headers and query. The most specific route wins, in the order of precedence that Rule documents. New
// rejects rules that are ambiguous or can never match.
//
// The package is pure: it does no I/O, reads no clock, takes no lock and starts no goroutine. A Table
// is immutable and safe for concurrent use.
//
// routes.go has the types of the API and the errors, parse.go parses rules, hosts and paths, table.go
// builds a Table and match.go searches it.
package routes

import (
	"errors"
	"fmt"
	"strings"
)

// Rule is one route. If several rules match a request, the first of these criteria in which they differ
// selects one:
//
//  1. Host: an exact name precedes a wildcard such as "*.example.org", a longer wildcard precedes a
//     shorter one, and both precede a rule for any host.
//  2. Path, segment by segment from the left: a literal precedes {name}, which precedes {name...}.
//  3. Methods: a list of methods precedes any method, and a shorter list precedes a longer one.
//  4. Conditions: more conditions, headers and query together, precede fewer.
//
// Two rules that are equal in all of these and can match the same request are ambiguous, and New
// rejects them.
type Rule[T any] struct {
	Name string // for display
	Line int    // line in the configuration, from 1, for error messages
	// Host is a host name without a port, in upper or lower case. "*.example.org" matches all its
	// subdomains, at any depth. "" matches any host.
	Host string
	// Path begins with "/". A segment {name} matches one segment that is not empty. {name...} is
	// allowed only as the last segment and matches the rest of the path: one or more segments, which
	// may be empty. All other segments are literals, which are compared after percent-decoding. A
	// trailing slash is significant: "/a" and "/a/" are different paths.
	Path string
	// Methods are the methods that match. If it is empty, all methods match.
	Methods []string
	// Headers and Query are conditions, all of which must hold.
	Headers, Query []Condition
	// Target is the caller's data, which Match returns with the rule.
	Target T
}

// Condition holds if the field Name is present and, unless Value is empty, one of its values is Value.
type Condition struct{ Name, Value string }

// Request describes the request to match. Match keeps no reference to it.
type Request struct {
	Method string
	Host   string // as in Host or :authority, with or without a port
	Path   string // percent-encoded, as received, without the query
	// Header and Query return the values of a field. A nil function means that there are no fields.
	Header func(name string) []string
	Query  func(name string) []string
}

// Match is the route of a request.
type Match[T any] struct {
	Rule   *Rule[T]
	Params []Param // in the order of the path
}

// Param is a path parameter. Its value is percent-decoded, except that of {name...}: decoding that could
// turn it into a different path.
type Param struct{ Name, Value string }

// Errors of Match. Their texts are sent to clients.
var (
	// ErrNoRoute means that no route matches.
	ErrNoRoute = errors.New("no route")
	// ErrMethodNotAllowed means that a route matches except for its methods. The error is a
	// *MethodError.
	ErrMethodNotAllowed = errors.New("no route takes this method")
	// ErrInvalidPath means that the path does not begin with "/", has a segment "." or "..", encoded or
	// not, or an invalid percent-encoding. Servers interpret such paths differently.
	ErrInvalidPath = errors.New("invalid path")
	// ErrInvalidHost means that the host is not a valid name or address with an optional port.
	ErrInvalidHost = errors.New("invalid host")
)

// MethodError is an ErrMethodNotAllowed that lists the allowed methods.
type MethodError struct{ Allowed []string }

func (e *MethodError) Error() string {
	return fmt.Sprintf("%v, but %s", ErrMethodNotAllowed, strings.Join(e.Allowed, ", "))
}

// Unwrap returns ErrMethodNotAllowed.
func (e *MethodError) Unwrap() error { return ErrMethodNotAllowed }

// Problem describes an invalid rule.
type Problem struct {
	Line      int
	OtherLine int // line of the conflicting rule; 0: none
	Message   string
}

func (p Problem) Error() string {
	if p.OtherLine > 0 {
		return fmt.Sprintf("line %d: %s (line %d)", p.Line, p.Message, p.OtherLine)
	}
	return fmt.Sprintf("line %d: %s", p.Line, p.Message)
}

// Problems are the problems of a set of rules, sorted by line.
type Problems []Problem

func (ps Problems) Error() string {
	lines := make([]string, len(ps))
	for i, p := range ps {
		lines[i] = p.Error()
	}
	return strings.Join(lines, "\n")
}
