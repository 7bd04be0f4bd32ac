package routes

import (
	"cmp"
	"fmt"
	"iter"
	"math"
	"slices"
	"strings"
)

// Table is an immutable set of routes. The time of a match depends on the segments of the request's path
// and the number of routes whose paths begin with the same segments, not on the total number of routes.
type Table[T any] struct {
	byHost          map[string]*node[T] // rules for an exact host name
	byDomain        map[string]*node[T] // rules for "*.example.org", under "example.org"
	anyHost         *node[T]
	maxDomainLabels int // most labels of a name in byDomain; 0: byDomain is empty
}

// node is a node in the tree of the paths of one host. Each edge is a path segment.
type node[T any] struct {
	literal   map[string]*node[T]
	param     *node[T]
	rules     []*compiledRule[T] // rules whose path ends here, in order of precedence
	restRules []*compiledRule[T] // rules with {name...} as the next segment, in order of precedence
}

// compiledRule is a rule with its parsed host and path.
type compiledRule[T any] struct {
	Rule[T]
	host     string
	segments []segment
}

type segmentKind uint8

const (
	literalSegment segmentKind = iota
	paramSegment               // {name}
	restSegment                // {name...}
)

type segment struct {
	kind segmentKind
	text string // the percent-decoded literal, or the name of the parameter
}

// New returns a table of the given rules. The error is a Problems.
func New[T any](rules []Rule[T]) (*Table[T], error) {
	t := &Table[T]{byHost: map[string]*node[T]{}, byDomain: map[string]*node[T]{}, anyHost: &node[T]{}}
	var problems Problems
	for _, rule := range rules {
		c, err := compile(rule)
		if err != nil {
			problems = append(problems, Problem{Line: rule.Line, Message: err.Error()})
			continue
		}
		t.add(c)
	}
	t.forEachNode(func(n *node[T]) {
		for _, list := range [][]*compiledRule[T]{n.rules, n.restRules} {
			slices.SortStableFunc(list, func(a, b *compiledRule[T]) int { return a.compare(b) })
			problems = append(problems, conflicts(list)...)
		}
	})
	if len(problems) > 0 {
		slices.SortStableFunc(problems, func(a, b Problem) int {
			return cmp.Or(a.Line-b.Line, a.OtherLine-b.OtherLine)
		})
		return nil, problems
	}
	return t, nil
}

// add inserts a rule into the tree of its host.
func (t *Table[T]) add(c *compiledRule[T]) {
	n := t.hostTree(c.host)
	for _, s := range c.segments {
		if s.kind == restSegment {
			n.restRules = append(n.restRules, c)
			return
		}
		n = n.child(s)
	}
	n.rules = append(n.rules, c)
}

// hostTree returns the tree for a rule's host, and creates it if it does not exist.
func (t *Table[T]) hostTree(host string) *node[T] {
	if host == "" {
		return t.anyHost
	}
	trees := t.byHost
	if domain, ok := strings.CutPrefix(host, "*."); ok {
		trees, host = t.byDomain, domain
		t.maxDomainLabels = max(t.maxDomainLabels, strings.Count(host, ".")+1)
	}
	if trees[host] == nil {
		trees[host] = &node[T]{}
	}
	return trees[host]
}

// child returns the child node for a segment, and creates it if it does not exist.
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

// compare orders rules with the same host and path by precedence: fewer methods first, then more
// conditions first.
func (c *compiledRule[T]) compare(o *compiledRule[T]) int {
	return cmp.Or(cmp.Compare(c.methodCount(), o.methodCount()), cmp.Compare(o.conditionCount(), c.conditionCount()))
}

func (c *compiledRule[T]) methodCount() int {
	if len(c.Methods) == 0 { // all
		return math.MaxInt
	}
	return len(c.Methods)
}

func (c *compiledRule[T]) conditionCount() int { return len(c.Headers) + len(c.Query) }

// conflicts returns the problems among rules with the same host and path, which are sorted by precedence.
func conflicts[T any](list []*compiledRule[T]) (problems Problems) {
	for i, rule := range list {
		for _, earlier := range list[:i] {
			if earlier.compare(rule) == 0 && earlier.sharesMethod(rule) {
				problems = append(problems, Problem{rule.Line, earlier.Line, fmt.Sprintf(
					"route %q is ambiguous with %q: both can match the same request, and neither is more specific",
					rule.Name, earlier.Name)})
			}
		}
		if line := rule.coveredBy(list[:i]); line > 0 {
			problems = append(problems, Problem{rule.Line, line, fmt.Sprintf(
				"route %q can never match: more specific routes match all its requests", rule.Name)})
		}
	}
	return problems
}

// coveredBy returns the line of an earlier rule if, for each method of c, a single earlier rule matches
// all requests that c matches with this method. Otherwise it returns 0. earlier must precede c in order
// of precedence; rules of equal precedence don't count, as conflicts reports them as ambiguous.
func (c *compiledRule[T]) coveredBy(earlier []*compiledRule[T]) (line int) {
	methods := c.Methods
	if len(methods) == 0 {
		methods = []string{""} // stands for a method that no rule lists
	}
	for _, method := range methods {
		i := slices.IndexFunc(earlier, func(e *compiledRule[T]) bool {
			return e.compare(c) != 0 && e.matchesMethod(method) && e.impliedBy(c)
		})
		if i < 0 {
			return 0
		}
		line = earlier[i].Line
	}
	return line
}

// matchesMethod reports whether a rule allows a method.
func (c *compiledRule[T]) matchesMethod(method string) bool {
	return len(c.Methods) == 0 || slices.Contains(c.Methods, method)
}

// impliedBy reports whether the conditions of c hold for every request for which those of o hold.
func (c *compiledRule[T]) impliedBy(o *compiledRule[T]) bool {
	return allImplied(c.Headers, o.Headers) && allImplied(c.Query, o.Query)
}

// allImplied reports whether all of conditions hold for every request for which all of given hold.
func allImplied(conditions, given []Condition) bool {
	for _, c := range conditions {
		implied := slices.ContainsFunc(given, func(g Condition) bool {
			return g.Name == c.Name && (c.Value == "" || c.Value == g.Value)
		})
		if !implied {
			return false
		}
	}
	return true
}

// sharesMethod reports whether two rules have a method in common. Their conditions can always hold for
// the same request, as a field may have several values.
func (c *compiledRule[T]) sharesMethod(o *compiledRule[T]) bool {
	return len(c.Methods) == 0 || len(o.Methods) == 0 || slices.ContainsFunc(c.Methods, o.matchesMethod)
}

// forEachNode calls visit with every node, in no particular order.
func (t *Table[T]) forEachNode(visit func(*node[T])) {
	t.anyHost.forEach(visit)
	for _, trees := range []map[string]*node[T]{t.byHost, t.byDomain} {
		for _, n := range trees {
			n.forEach(visit)
		}
	}
}

func (n *node[T]) forEach(visit func(*node[T])) {
	visit(n)
	for _, child := range n.literal {
		child.forEach(visit)
	}
	if n.param != nil {
		n.param.forEach(visit)
	}
}

// Rules returns all rules of the table, in no particular order.
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
