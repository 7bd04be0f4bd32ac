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
	Target         T
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
	// ErrNoRoute: no route takes such a request.
	ErrNoRoute = errors.New("no route")
	// ErrMethodNotAllowed: some would, with another method. The error is a *MethodError.
	ErrMethodNotAllowed = errors.New("no route takes this method")
	// ErrInvalidPath: the path has no meaning that everyone would agree on: it does not begin with "/", has "." or ".." for a segment, however
	// encoded, or a percent sign that encodes nothing.
	ErrInvalidPath = errors.New("a path that makes no sense")
	// ErrInvalidHost: the host is no host.
	ErrInvalidHost = errors.New("a host that makes no sense")
)

// MethodError is an ErrMethod.
type MethodError struct{ Allowed []string }

func (e *MethodError) Error() string {
	return fmt.Sprintf("%v, but %s", ErrMethodNotAllowed, strings.Join(e.Allowed, ", "))
}

// Unwrap makes it an ErrMethod.
func (e *MethodError) Unwrap() error { return ErrMethodNotAllowed }

// Problem is what is wrong with a rule, and the other one that is to blame, if there is one.
type Problem struct {
	Line, OtherLine int // 0: none
	Message         string
}

func (p Problem) Error() string {
	if p.OtherLine > 0 {
		return fmt.Sprintf("line %d: %s (line %d)", p.Line, p.Message, p.OtherLine)
	}
	return fmt.Sprintf("line %d: %s", p.Line, p.Message)
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
	byHost          map[string]*node[T] // by host
	byDomain        map[string]*node[T] // by what stands behind "*."
	anyHost         *node[T]
	maxDomainLabels int // labels of the longest name in below
}

// node is a place in the tree of one host's paths.
type node[T any] struct {
	literal   map[string]*node[T]
	param     *node[T]
	rules     []*compiledRule[T] // that end here, the most specific first
	restRules []*compiledRule[T] // that take all that follows
}

type compiledRule[T any] struct {
	Rule[T]
	host     string
	segments []segment
}

type segmentKind uint8

const (
	literalSegment segmentKind = iota
	paramSegment
	restSegment
)

type segment struct {
	kind segmentKind
	text string // decoded, or the parameter's name
}

// New makes a table. The error is a Problems.
func New[T any](rules []Rule[T]) (*Table[T], error) {
	t := &Table[T]{byHost: map[string]*node[T]{}, byDomain: map[string]*node[T]{}, anyHost: &node[T]{}}
	var problems Problems
	for _, r := range rules {
		c, err := compile(r)
		if err != nil {
			problems = append(problems, Problem{Line: r.Line, Message: err.Error()})
			continue
		}
		at := t.hostTree(c.host)
		for _, s := range c.segments {
			if s.kind == restSegment {
				break
			}
			at = at.child(s)
		}
		list := &at.rules
		if n := len(c.segments); n > 0 && c.segments[n-1].kind == restSegment {
			list = &at.restRules
		}
		*list = append(*list, c)
	}
	t.forEachNode(func(n *node[T]) {
		for _, list := range [][]*compiledRule[T]{n.rules, n.restRules} {
			slices.SortStableFunc(list, func(a, b *compiledRule[T]) int { return a.compare(b) })
			problems = append(problems, conflicts(list)...)
		}
	})
	if len(problems) > 0 {
		slices.SortStableFunc(problems, func(a, b Problem) int { return cmp.Or(a.Line-b.Line, a.OtherLine-b.OtherLine) })
		return nil, problems
	}
	return t, nil
}

// compare orders rules of one host and path.
func (c *compiledRule[T]) compare(o *compiledRule[T]) int {
	many := func(c *compiledRule[T]) int {
		if len(c.Methods) == 0 {
			return 1 << 30
		}
		return len(c.Methods)
	}
	return cmp.Or(many(c)-many(o), o.conditionCount()-c.conditionCount())
}

func (c *compiledRule[T]) conditionCount() int { return len(c.Headers) + len(c.Query) }

// conflicts finds what is ambiguous or can't be taken among rules of one host and path, in their order.
func conflicts[T any](list []*compiledRule[T]) (out Problems) {
	for i, r := range list {
		for _, s := range list[:i] {
			if s.compare(r) == 0 && s.sharesMethod(r) {
				out = append(out, Problem{r.Line, s.Line, fmt.Sprintf("route %q is ambiguous with %q: a request can be both's, and neither is more specific", r.Name, s.Name)})
			}
		}
		methods := r.Methods
		if len(methods) == 0 {
			methods = []string{""} // one that no other names
		}
		other := 0
		for _, m := range methods {
			j := slices.IndexFunc(list[:i], func(s *compiledRule[T]) bool { return s.compare(r) != 0 && s.matchesMethod(m) && s.impliedBy(r) })
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

// matchesMethod tells whether a rule takes a method.
func (c *compiledRule[T]) matchesMethod(method string) bool {
	return len(c.Methods) == 0 || slices.Contains(c.Methods, method)
}

// impliedBy tells whether a rule's conditions all hold wherever those of another do.
func (c *compiledRule[T]) impliedBy(o *compiledRule[T]) bool {
	holds := func(mine, its []Condition) bool {
		return !slices.ContainsFunc(mine, func(m Condition) bool {
			return !slices.ContainsFunc(its, func(i Condition) bool { return i.Name == m.Name && (m.Value == "" || m.Value == i.Value) })
		})
	}
	return holds(c.Headers, o.Headers) && holds(c.Query, o.Query)
}

// sharesMethod tells whether one request can be two rules': they share a method. Conditions can always hold together, as a field may come twice.
func (c *compiledRule[T]) sharesMethod(o *compiledRule[T]) bool {
	return len(c.Methods) == 0 || len(o.Methods) == 0 || slices.ContainsFunc(c.Methods, o.matchesMethod)
}

// hostTree gives the tree of a host's paths.
func (t *Table[T]) hostTree(name string) *node[T] {
	if name == "" {
		return t.anyHost
	}
	set := t.byHost
	if suffix, ok := strings.CutPrefix(name, "*."); ok {
		set, name = t.byDomain, suffix
		t.maxDomainLabels = max(t.maxDomainLabels, strings.Count(name, ".")+1)
	}
	if set[name] == nil {
		set[name] = &node[T]{}
	}
	return set[name]
}

func (n *node[T]) child(s segment) *node[T] {
	if s.kind == paramSegment {
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

// forEachNode visits all nodes, in no order.
func (t *Table[T]) forEachNode(f func(*node[T])) {
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
	visit(t.anyHost)
	for _, set := range []map[string]*node[T]{t.byHost, t.byDomain} {
		for _, n := range set {
			visit(n)
		}
	}
}

// Rules are all of the table's routes, in no order.
func (t *Table[T]) Rules() iter.Seq[*Rule[T]] {
	return func(yield func(*Rule[T]) bool) {
		more := true
		t.forEachNode(func(n *node[T]) {
			for _, list := range [][]*compiledRule[T]{n.rules, n.restRules} {
				for _, c := range list {
					more = more && yield(&c.Rule)
				}
			}
		})
	}
}

// Match finds the route that a request takes. The error is an ErrNone, ErrMethod, ErrPath or ErrHost.
func (t *Table[T]) Match(r *Request) (Match[T], error) {
	host, err := normalizeHost(r.Host)
	if err != nil {
		return Match[T]{}, err
	}
	raw, segments, err := splitPath(r.Path)
	if err != nil {
		return Match[T]{}, err
	}
	s := search[T]{request: r, rawSegments: raw, segments: segments}
	for _, at := range t.candidateTrees(host) {
		if s.walk(at, 0) {
			return Match[T]{&s.found.Rule, s.params()}, nil
		}
	}
	if len(s.allowed) > 0 {
		slices.Sort(s.allowed)
		return Match[T]{}, &MethodError{slices.Compact(s.allowed)}
	}
	return Match[T]{}, ErrNoRoute
}

// candidateTrees are the trees that a host's requests are looked for in, in their order.
func (t *Table[T]) candidateTrees(host string) (out []*node[T]) {
	if n := t.byHost[host]; n != nil {
		out = append(out, n)
	}
	if t.maxDomainLabels > 0 {
		for rest := host; ; {
			_, after, ok := strings.Cut(rest, ".")
			if !ok {
				break
			}
			if n := t.byDomain[after]; n != nil {
				out = append(out, n)
			}
			rest = after
		}
	}
	return append(out, t.anyHost)
}

// search is one request's way through the trees. A node of a tree has one way to it, so none is visited twice.
type search[T any] struct {
	request     *Request
	rawSegments []string // segments as they came
	segments    []string // and decoded
	found       *compiledRule[T]
	allowed     []string
}

func (s *search[T]) walk(n *node[T], at int) bool {
	if at == len(s.segments) {
		return s.selectRule(n.rules)
	}
	if next := n.literal[s.segments[at]]; next != nil && s.walk(next, at+1) {
		return true
	}
	if n.param != nil && s.segments[at] != "" && s.walk(n.param, at+1) {
		return true
	}
	return s.selectRule(n.restRules)
}

// selectRule takes the first of the rules that fits.
func (s *search[T]) selectRule(rules []*compiledRule[T]) bool {
	for _, c := range rules {
		if !s.conditionsHold(c.Headers, s.request.Header) || !s.conditionsHold(c.Query, s.request.Query) {
			continue
		}
		if !c.matchesMethod(s.request.Method) {
			s.allowed = append(s.allowed, c.Methods...)
			continue
		}
		s.found = c
		return true
	}
	return false
}

func (s *search[T]) conditionsHold(conditions []Condition, values func(string) []string) bool {
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
		case paramSegment:
			out = append(out, Param{g.text, s.segments[i]})
		case restSegment:
			out = append(out, Param{g.text, strings.Join(s.rawSegments[i:], "/")})
		}
	}
	return out
}
