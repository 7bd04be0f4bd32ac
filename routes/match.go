package routes

import (
	"slices"
	"strings"
)

// Match finds the route of a request. The error is ErrNoRoute or a *MethodError, which is an
// ErrMethodNotAllowed, or wraps ErrInvalidPath or ErrInvalidHost.
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
	for _, tree := range t.candidateTrees(host) {
		if s.walk(tree, 0) {
			return Match[T]{&s.found.Rule, s.params()}, nil
		}
	}
	if len(s.allowed) > 0 {
		slices.Sort(s.allowed)
		return Match[T]{}, &MethodError{slices.Compact(s.allowed)}
	}
	return Match[T]{}, ErrNoRoute
}

// candidateTrees returns the trees of all rules that match a host, in order of precedence.
func (t *Table[T]) candidateTrees(host string) (trees []*node[T]) {
	if n := t.byHost[host]; n != nil {
		trees = append(trees, n)
	}
	if t.maxDomainLabels > 0 {
		_, domain, ok := strings.Cut(host, ".")
		for ok {
			if n := t.byDomain[domain]; n != nil {
				trees = append(trees, n)
			}
			_, domain, ok = strings.Cut(domain, ".")
		}
	}
	return append(trees, t.anyHost)
}

// search is the state of one Match. Each node of a tree is visited at most once.
type search[T any] struct {
	request     *Request
	rawSegments []string // as received
	segments    []string // percent-decoded
	found       *compiledRule[T]
	allowed     []string // methods of the rules that match the request in all but its method
}

// walk searches the subtree of n, which is depth segments below the root, and reports whether it found a
// rule.
func (s *search[T]) walk(n *node[T], depth int) bool {
	if depth == len(s.segments) {
		return s.selectRule(n.rules)
	}
	segment := s.segments[depth]
	if next := n.literal[segment]; next != nil && s.walk(next, depth+1) {
		return true
	}
	if n.param != nil && segment != "" && s.walk(n.param, depth+1) {
		return true
	}
	return s.selectRule(n.restRules)
}

// selectRule sets found to the first of the rules that matches, and reports whether there is one.
func (s *search[T]) selectRule(rules []*compiledRule[T]) bool {
	for _, c := range rules {
		if !conditionsHold(c.Headers, s.request.Header) || !conditionsHold(c.Query, s.request.Query) {
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

// conditionsHold reports whether all conditions hold. values returns the values of a field; if values is
// nil, the request has no fields.
func conditionsHold(conditions []Condition, values func(name string) []string) bool {
	for _, c := range conditions {
		var present []string
		if values != nil {
			present = values(c.Name)
		}
		if len(present) == 0 || c.Value != "" && !slices.Contains(present, c.Value) {
			return false
		}
	}
	return true
}

// params returns the path parameters of the found rule.
func (s *search[T]) params() (params []Param) {
	for i, segment := range s.found.segments {
		switch segment.kind {
		case paramSegment:
			params = append(params, Param{segment.text, s.segments[i]})
		case restSegment:
			params = append(params, Param{segment.text, strings.Join(s.rawSegments[i:], "/")})
		}
	}
	return params
}
