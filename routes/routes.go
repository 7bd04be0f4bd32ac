// Package routes finds the route of an HTTP request: by host, path with parameters, method, header
// and query. The most specific route wins, in an order that Rule states. Rules that are ambiguous or
// can never match are errors when the table is made. A Table is made once and never changes.
//
// The package is pure: it does no I/O, reads no clock, takes no lock and starts no goroutine. A Table
// is safe for concurrent use, as nothing changes it.
//
// The files: routes.go has what callers give and get, parse.go parses rules, hosts and paths, table.go
// builds a Table and match.go searches it.
package routes

import (
	"errors"
	"fmt"
	"strings"
)

// Rule is one route. Of two that match a request, this decides, in this order:
//
//  1. the host: a name before "*.example.org", the longer of such before the shorter, before any;
//  2. the path, segment by segment from the left: a literal before {name} before {name...};
//  3. the methods: named ones before any, and fewer before more;
//  4. the conditions: more of them (headers and query together) before fewer.
//
// Two that are equal in all of these and can match one request are ambiguous: New rejects them.
type Rule[T any] struct {
	Name string // for people
	Line int    // in the configuration, for errors; from 1
	// Host is a name without a port, in any case. "*.example.org" is all names below it, at any depth;
	// "" is any host.
	Host string
	// Path begins with "/". A segment {name} stands for one that is not empty, and {name...}, which
	// may only be the last, for all that follows, be it only an empty segment. Everything else is
	// literal, compared when decoded. Slashes count: "/a" and "/a/" are two paths.
	Path string
	// Methods are those that match. None means all.
	Methods []string
	// Headers and Query must all hold.
	Headers, Query []Condition
	// Target is what the caller gets for a request that matches.
	Target T
}

// Condition holds if a field is there, and has Value if that is not empty.
type Condition struct{ Name, Value string }

// Request is what a Table matches. Nothing of it is kept.
type Request struct {
	Method string
	Host   string // as in Host or :authority, with or without a port
	Path   string // as it came, percent-encoded, without the query
	// Header and Query return the values of a field. nil means that there are none.
	Header func(name string) []string
	Query  func(name string) []string
}

// Match is the route of a request.
type Match[T any] struct {
	Rule   *Rule[T]
	Params []Param // in their order in the path
}

// Param is a parameter of a path. Its value is decoded, except that of {name...}: decoding it would
// make other paths of it.
type Param struct{ Name, Value string }

// Errors of Match. Their texts go out to clients.
var (
	// ErrNoRoute: no route matches.
	ErrNoRoute = errors.New("no route")
	// ErrMethodNotAllowed: a route would match, by another method. The error is a *MethodError.
	ErrMethodNotAllowed = errors.New("no route takes this method")
	// ErrInvalidPath: the path has no meaning that everyone agrees on. It does not begin with "/", has
	// "." or ".." as a segment, however encoded, or a percent sign that encodes nothing.
	ErrInvalidPath = errors.New("invalid path")
	// ErrInvalidHost: the host is no name, address or port.
	ErrInvalidHost = errors.New("invalid host")
)

// MethodError is an ErrMethodNotAllowed with the methods that are allowed.
type MethodError struct{ Allowed []string }

func (e *MethodError) Error() string {
	return fmt.Sprintf("%v, but %s", ErrMethodNotAllowed, strings.Join(e.Allowed, ", "))
}

// Unwrap returns ErrMethodNotAllowed.
func (e *MethodError) Unwrap() error { return ErrMethodNotAllowed }

// Problem is what is wrong with a rule.
type Problem struct {
	Line      int
	OtherLine int // of the rule that it conflicts with; 0: there is none
	Message   string
}

func (p Problem) Error() string {
	if p.OtherLine > 0 {
		return fmt.Sprintf("line %d: %s (line %d)", p.Line, p.Message, p.OtherLine)
	}
	return fmt.Sprintf("line %d: %s", p.Line, p.Message)
}

// Problems are all that is wrong with a set of rules, by line.
type Problems []Problem

func (ps Problems) Error() string {
	lines := make([]string, len(ps))
	for i, p := range ps {
		lines[i] = p.Error()
	}
	return strings.Join(lines, "\n")
}
