// Package routes says which of an operator's routes an HTTP request takes: by host, path with parameters, method, header and query. The most
// specific route wins, by an order that is stated at Rule; what is ambiguous or can never be taken is an error when the table is
// made. A Table is made once, never changes, and is swapped whole.
//
// The package is pure: it does no I/O, reads no clock, takes no lock and starts no goroutine. A Table is safe for concurrent use, as
// nothing changes it.
package routes

import (
	"cmp"
	"errors"
	"fmt"
	"iter"
	"slices"
	"strings"
)

// Rule is one route. Of two that match a request, this decides, in this order:
//
//  1. the host: one that is named before "*.example.org", the longer of such first, before any;
//  2. the path, segment by segment from the left: a literal before {name} before {name...};
//  3. methods that are named before any, and fewer before more;
//  4. more conditions (headers and query together) before fewer.
//
// Two that are alike in all of these and can match one request are ambiguous: New refuses both.
type Rule[T any] struct {
	Name string // for people
	Line int    // where it stands, for errors
	// Host is a name, without a port, in any case; "*.example.org" is all names below it, at any depth; "" is any.
	Host string
	// Path begins with "/". A segment {name} stands for one that is not empty, and {name...}, which may only be the last, for all that
	// follows, if only an empty segment. Everything else is literal, as it is when decoded. Slashes count: "/a" and "/a/" are two paths.
	Path string
	// Methods are those that it takes; none: all.
	Methods []string
	// Headers and Query must all hold.
	Headers, Query []Condition
	To             T
}

// Condition wants a field to be there, with a value that is just Value unless that is "".
type Condition struct{ Name, Value string }

// Request is what a Table looks at. Nothing of it is kept.
type Request struct {
	Method string
	Host   string // as in Host or :authority, with a port or without
	Path   string // as it came, percent-encoded; without the query
	Header func(name string) []string
	Query  func(name string) []string
}

// Match is the route that a request takes.
type Match[T any] struct {
	Rule   *Rule[T]
	Params []Param // in their order in the path
}

// Param is a parameter of a path, decoded; one of {name...} as it came, as decoding would make other paths of it.
type Param struct{ Name, Value string }

// Errors of Match. Test with errors.Is.
var (
	// ErrNone: no route takes such a request.
	ErrNone = errors.New("no route")
	// ErrMethod: some would, with another method. The error is a *MethodError.
	ErrMethod = errors.New("no route takes this method")
	// ErrPath: the path has no meaning that everyone would agree on: it does not begin with "/", has "." or ".." for a segment, however
	// encoded, or a percent sign that encodes nothing.
	ErrPath = errors.New("a path that makes no sense")
	// ErrHost: the host is no host.
	ErrHost = errors.New("a host that makes no sense")
)

// MethodError is an ErrMethod.
type MethodError struct{ Allowed []string }

func (e *MethodError) Error() string {
	return fmt.Sprintf("%v, but %s", ErrMethod, strings.Join(e.Allowed, ", "))
}

// Unwrap makes it an ErrMethod.
func (e *MethodError) Unwrap() error { return ErrMethod }

// Problem is what is wrong with a rule, and the other one that is to blame, if there is one.
type Problem struct {
	Line, Other int // 0: none
	What        string
}

func (p Problem) Error() string {
	if p.Other > 0 {
		return fmt.Sprintf("line %d: %s (line %d)", p.Line, p.What, p.Other)
	}
	return fmt.Sprintf("line %d: %s", p.Line, p.What)
}

// Problems are all that is wrong with a set of rules.
type Problems []Problem

func (ps Problems) Error() string {
	lines := make([]string, len(ps))
	for i, p := range ps {
		lines[i] = p.Error()
	}
	return strings.Join(lines, "\n")
}

// Table is a set of routes. A match costs by the request's own segments and the routes that share them, not by how many there are.
type Table[T any] struct {
	named map[string]*node[T] // by host
	below map[string]*node[T] // by what stands behind "*."
	any   *node[T]
	deep  int // labels of the longest name in below
}

// node is a place in the tree of one host's paths.
type node[T any] struct {
	literal map[string]*node[T]
	param   *node[T]
	rules   []*compiled[T] // that end here, the most specific first
	rest    []*compiled[T] // that take all that follows
}

type compiled[T any] struct {
	Rule[T]
	host     string
	segments []segment
}

type kind uint8

const (
	literal kind = iota
	param
	rest
)

type segment struct {
	kind kind
	text string // decoded, or the parameter's name
}

// New makes a table. The error is a Problems.
func New[T any](rules []Rule[T]) (*Table[T], error) {
	t := &Table[T]{named: map[string]*node[T]{}, below: map[string]*node[T]{}, any: &node[T]{}}
	var problems Problems
	for _, r := range rules {
		c, err := compile(r)
		if err != nil {
			problems = append(problems, Problem{Line: r.Line, What: err.Error()})
			continue
		}
		at := t.host(c.host)
		for _, s := range c.segments {
			if s.kind == rest {
				break
			}
			at = at.step(s)
		}
		list := &at.rules
		if n := len(c.segments); n > 0 && c.segments[n-1].kind == rest {
			list = &at.rest
		}
		*list = append(*list, c)
	}
	t.each(func(n *node[T]) {
		for _, list := range [][]*compiled[T]{n.rules, n.rest} {
			slices.SortStableFunc(list, func(a, b *compiled[T]) int { return a.before(b) })
			problems = append(problems, conflicts(list)...)
		}
	})
	if len(problems) > 0 {
		slices.SortStableFunc(problems, func(a, b Problem) int { return cmp.Or(a.Line-b.Line, a.Other-b.Other) })
		return nil, problems
	}
	return t, nil
}

// before orders rules of one host and path.
func (c *compiled[T]) before(o *compiled[T]) int {
	many := func(c *compiled[T]) int {
		if len(c.Methods) == 0 {
			return 1 << 30
		}
		return len(c.Methods)
	}
	return cmp.Or(many(c)-many(o), o.conditions()-c.conditions())
}

func (c *compiled[T]) conditions() int { return len(c.Headers) + len(c.Query) }

// conflicts finds what is ambiguous or can't be taken among rules of one host and path, in their order.
func conflicts[T any](list []*compiled[T]) (out Problems) {
	for i, r := range list {
		for _, s := range list[:i] {
			if s.before(r) == 0 && s.meets(r) {
				out = append(out, Problem{r.Line, s.Line, fmt.Sprintf("route %q is ambiguous with %q: a request can be both's, and neither is more specific", r.Name, s.Name)})
			}
		}
		methods := r.Methods
		if len(methods) == 0 {
			methods = []string{""} // one that no other names
		}
		other := 0
		for _, m := range methods {
			j := slices.IndexFunc(list[:i], func(s *compiled[T]) bool { return s.before(r) != 0 && s.takes(m) && s.within(r) })
			if j < 0 {
				other = 0
				break
			}
			other = list[j].Line
		}
		if other > 0 {
			out = append(out, Problem{r.Line, other, fmt.Sprintf("route %q is never taken: more specific ones take all that it would", r.Name)})
		}
	}
	return out
}

// takes tells whether a rule takes a method.
func (c *compiled[T]) takes(method string) bool {
	return len(c.Methods) == 0 || slices.Contains(c.Methods, method)
}

// within tells whether a rule's conditions all hold wherever those of another do.
func (c *compiled[T]) within(o *compiled[T]) bool {
	holds := func(mine, its []Condition) bool {
		return !slices.ContainsFunc(mine, func(m Condition) bool {
			return !slices.ContainsFunc(its, func(i Condition) bool { return i.Name == m.Name && (m.Value == "" || m.Value == i.Value) })
		})
	}
	return holds(c.Headers, o.Headers) && holds(c.Query, o.Query)
}

// meets tells whether one request can be two rules': they share a method. Conditions can always hold together, as a field may come twice.
func (c *compiled[T]) meets(o *compiled[T]) bool {
	return len(c.Methods) == 0 || len(o.Methods) == 0 || slices.ContainsFunc(c.Methods, o.takes)
}

// host gives the tree of a host's paths.
func (t *Table[T]) host(name string) *node[T] {
	if name == "" {
		return t.any
	}
	set := t.named
	if suffix, ok := strings.CutPrefix(name, "*."); ok {
		set, name = t.below, suffix
		t.deep = max(t.deep, strings.Count(name, ".")+1)
	}
	if set[name] == nil {
		set[name] = &node[T]{}
	}
	return set[name]
}

func (n *node[T]) step(s segment) *node[T] {
	if s.kind == param {
		if n.param == nil {
			n.param = &node[T]{}
		}
		return n.param
	}
	if n.literal == nil {
		n.literal = map[string]*node[T]{}
	}
	if n.literal[s.text] == nil {
		n.literal[s.text] = &node[T]{}
	}
	return n.literal[s.text]
}

// each visits all nodes, in no order.
func (t *Table[T]) each(f func(*node[T])) {
	var visit func(n *node[T])
	visit = func(n *node[T]) {
		f(n)
		for _, next := range n.literal {
			visit(next)
		}
		if n.param != nil {
			visit(n.param)
		}
	}
	visit(t.any)
	for _, set := range []map[string]*node[T]{t.named, t.below} {
		for _, n := range set {
			visit(n)
		}
	}
}

// Rules are all of the table's routes, in no order.
func (t *Table[T]) Rules() iter.Seq[*Rule[T]] {
	return func(yield func(*Rule[T]) bool) {
		more := true
		t.each(func(n *node[T]) {
			for _, list := range [][]*compiled[T]{n.rules, n.rest} {
				for _, c := range list {
					more = more && yield(&c.Rule)
				}
			}
		})
	}
}

// Match finds the route that a request takes. The error is an ErrNone, ErrMethod, ErrPath or ErrHost.
func (t *Table[T]) Match(r *Request) (Match[T], error) {
	host, err := cleanHost(r.Host)
	if err != nil {
		return Match[T]{}, err
	}
	raw, segments, err := split(r.Path)
	if err != nil {
		return Match[T]{}, err
	}
	s := search[T]{r: r, raw: raw, segments: segments}
	for _, at := range t.hosts(host) {
		if s.walk(at, 0) {
			return Match[T]{&s.found.Rule, s.params()}, nil
		}
	}
	if len(s.allowed) > 0 {
		slices.Sort(s.allowed)
		return Match[T]{}, &MethodError{slices.Compact(s.allowed)}
	}
	return Match[T]{}, ErrNone
}

// hosts are the trees that a host's requests are looked for in, in their order.
func (t *Table[T]) hosts(host string) (out []*node[T]) {
	if n := t.named[host]; n != nil {
		out = append(out, n)
	}
	if t.deep > 0 {
		for rest := host; ; {
			_, after, ok := strings.Cut(rest, ".")
			if !ok {
				break
			}
			if n := t.below[after]; n != nil {
				out = append(out, n)
			}
			rest = after
		}
	}
	return append(out, t.any)
}

// search is one request's way through the trees. A node of a tree has one way to it, so none is visited twice.
type search[T any] struct {
	r        *Request
	raw      []string // segments as they came
	segments []string // and decoded
	found    *compiled[T]
	allowed  []string
}

func (s *search[T]) walk(n *node[T], at int) bool {
	if at == len(s.segments) {
		return s.take(n.rules)
	}
	if next := n.literal[s.segments[at]]; next != nil && s.walk(next, at+1) {
		return true
	}
	if n.param != nil && s.segments[at] != "" && s.walk(n.param, at+1) {
		return true
	}
	return s.take(n.rest)
}

// take takes the first of the rules that fits.
func (s *search[T]) take(rules []*compiled[T]) bool {
	for _, c := range rules {
		if !s.hold(c.Headers, s.r.Header) || !s.hold(c.Query, s.r.Query) {
			continue
		}
		if !c.takes(s.r.Method) {
			s.allowed = append(s.allowed, c.Methods...)
			continue
		}
		s.found = c
		return true
	}
	return false
}

func (s *search[T]) hold(conditions []Condition, values func(string) []string) bool {
	for _, c := range conditions {
		var there []string
		if values != nil {
			there = values(c.Name)
		}
		if len(there) == 0 || c.Value != "" && !slices.Contains(there, c.Value) {
			return false
		}
	}
	return true
}

func (s *search[T]) params() (out []Param) {
	for i, g := range s.found.segments {
		switch g.kind {
		case param:
			out = append(out, Param{g.text, s.segments[i]})
		case rest:
			out = append(out, Param{g.text, strings.Join(s.raw[i:], "/")})
		}
	}
	return out
}
