package routes

import (
	"slices"
	"strings"
)

// Match finds the route of a request. The error is an ErrNoRoute, ErrMethodNotAllowed, ErrInvalidPath
// or ErrInvalidHost.
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

// candidateTrees returns the trees of the rules that match a host, by precedence.
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

// search is the search of one request. There is one way to each node of a tree, so that none is
// visited twice.
type search[T any] struct {
	request     *Request
	rawSegments []string // as they came
	segments    []string // decoded
	found       *compiledRule[T]
	allowed     []string // methods of rules that would match by another method
}

// walk searches a tree from a node, which is reached after depth segments.
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

// selectRule takes the first of the rules that matches.
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

// conditionsHold reports whether all conditions hold. values returns a field's values.
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

// params returns the parameters of the rule that was found.
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
