package routes

import (
	"cmp"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/url"
	"reflect"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// referenceMatch implements the order of precedence that Rule documents by comparing all rules that
// match, without a tree.
func referenceMatch(rules []Rule[int], r *Request) (best *Rule[int], err error) {
	host, err := normalizeHost(r.Host)
	if err != nil {
		return nil, err
	}
	path, ok := strings.CutPrefix(r.Path, "/")
	if !ok {
		return nil, ErrInvalidPath
	}
	var segments []string
	for _, s := range strings.Split(path, "/") {
		d, err := url.PathUnescape(s)
		if err != nil || d == "." || d == ".." {
			return nil, ErrInvalidPath
		}
		segments = append(segments, d)
	}
	// kinds returns the precedence of each segment of the rule's path, or nil if the path does not match.
	kinds := func(rule *Rule[int]) (out []int) {
		parts := strings.Split(rule.Path[1:], "/")
		for i, p := range parts {
			switch {
			case strings.HasSuffix(p, "...}"):
				if len(segments) < i+1 {
					return nil
				}
				return append(out, 2)
			case i >= len(segments):
				return nil
			case strings.HasPrefix(p, "{"):
				if segments[i] == "" {
					return nil
				}
				out = append(out, 1)
			default:
				if d, _ := url.PathUnescape(p); d != segments[i] {
					return nil
				}
				out = append(out, 0)
			}
		}
		if len(parts) != len(segments) {
			return nil
		}
		return out
	}
	// hostRank returns the precedence of the rule's host, lowest first, or -1 if the host does not match.
	hostRank := func(rule *Rule[int]) int {
		name := strings.ToLower(rule.Host)
		switch suffix, below := strings.CutPrefix(name, "*"); {
		case name == "":
			return 1000
		case below && strings.HasSuffix(host, suffix):
			return 500 - len(suffix)
		case !below && name == host:
			return 0
		}
		return -1
	}
	all := func(conditions []Condition, values func(string) []string) bool {
		for _, c := range conditions {
			if v := values(c.Name); len(v) == 0 || c.Value != "" && !slices.Contains(v, c.Value) {
				return false
			}
		}
		return true
	}
	methods := func(rule *Rule[int]) int { return cmp.Or(len(rule.Methods), 1000) }
	wrongMethod := false
	for i := range rules {
		rule := &rules[i]
		if kinds(rule) == nil || hostRank(rule) < 0 || !all(rule.Headers, r.Header) || !all(rule.Query, r.Query) {
			continue
		}
		if len(rule.Methods) > 0 && !slices.Contains(rule.Methods, r.Method) {
			wrongMethod = true
			continue
		}
		if best == nil || cmp.Or(hostRank(rule)-hostRank(best), slices.Compare(kinds(rule), kinds(best)),
			methods(rule)-methods(best),
			len(best.Headers)+len(best.Query)-len(rule.Headers)-len(rule.Query)) < 0 {
			best = rule
		}
	}
	switch {
	case best != nil:
		return best, nil
	case wrongMethod:
		return nil, ErrMethodNotAllowed
	}
	return nil, ErrNoRoute
}

// errorKind returns the error of this package that err wraps, or err itself if there is none.
func errorKind(err error) error {
	for _, kind := range []error{ErrNoRoute, ErrMethodNotAllowed, ErrInvalidPath, ErrInvalidHost} {
		if errors.Is(err, kind) {
			return kind
		}
	}
	return err
}

func pick[T any](rng *rand.Rand, of ...T) T { return of[rng.IntN(len(of))] }

// randomRule draws names from a small set, so that rules overlap.
func randomRule(rng *rand.Rand, line int) Rule[int] {
	r := Rule[int]{Name: fmt.Sprint("r", line), Line: line, Target: line,
		Host: pick(rng, "", "", "a.org", "*.a.org", "*.b.a.org", "b.a.org")}
	for i := range 1 + rng.IntN(3)/2 + rng.IntN(2) {
		r.Path += "/" + pick(rng, "x", "x", "%2F", "", fmt.Sprintf("{p%d}", i))
	}
	if rng.IntN(4) == 0 {
		r.Path += "/{rest...}"
	}
	for _, m := range []string{"GET", "PUT", "PURGE"} {
		if rng.IntN(3) == 0 {
			r.Methods = append(r.Methods, m)
		}
	}
	for _, name := range []string{"H", "I"} {
		if rng.IntN(5) == 0 {
			r.Headers = append(r.Headers, Condition{name, pick(rng, "", "1", "2")})
		}
		if rng.IntN(6) == 0 {
			r.Query = append(r.Query, Condition{strings.ToLower(name), pick(rng, "", "1")})
		}
	}
	return r
}

func randomRequest(rng *rand.Rand) *Request {
	header, query := http.Header{}, url.Values{}
	for _, name := range []string{"H", "I"} {
		for range rng.IntN(3) {
			header.Add(name, pick(rng, "1", "2", "3"))
			query.Add(strings.ToLower(name), pick(rng, "", "1"))
		}
	}
	path := ""
	for range 1 + rng.IntN(4) {
		path += "/" + pick(rng, "x", "y", "z", "", "%2f", "%78", "a%2Fb", "é")
	}
	if rng.IntN(20) == 0 {
		path = pick(rng, "", "x", "/%zz", "/x/%2e%2E", "/./x", "*")
	}
	return &Request{Method: pick(rng, "GET", "PUT", "POST", "PURGE"),
		Host:   pick(rng, "", "a.org", "A.ORG:80", "b.a.org.", "c.b.a.org", "ba.org", "[::1]:80", "a..org", "a.org:x"),
		Path:   path,
		Header: header.Values, Query: func(name string) []string { return query[name] }}
}

// Match must find the same rule as the reference, for any table that New accepts. If New rejects a table,
// it must accept the table without the rules that it named.
func TestMatchAgreesWithReference(t *testing.T) {
	rejected, matched := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		var rules []Rule[int]
		for i := range 1 + rng.IntN(40) {
			rules = append(rules, randomRule(rng, i+1))
		}
		table, err := New(rules)
		var problems Problems
		if errors.As(err, &problems) {
			rejected++
			for _, p := range problems { // the table must be valid without the rules that were named
				rules = slices.DeleteFunc(rules, func(r Rule[int]) bool { return r.Line == p.Line })
			}
			if table, err = New(rules); err != nil {
				t.Fatalf("New without the rules of %v returned %v, want nil", problems, err)
			}
		}
		for range 40 {
			r := randomRequest(rng)
			want, wantErr := referenceMatch(rules, r)
			got, err := table.Match(r)
			if (err == nil) != (wantErr == nil) || !errors.Is(errorKind(err), errorKind(wantErr)) || err == nil &&
				got.Rule.Line != want.Line {
				t.Fatalf("%s %q %q: got %+v, %v; want %+v, %v; rules:\n%+v", r.Method, r.Host, r.Path, got.Rule, err,
					want, wantErr, rules)
			}
			if err == nil {
				matched++
				for _, p := range got.Params {
					if p.Name != "rest" && p.Value == "" {
						t.Fatalf("%q: got an empty parameter %q, want a value", r.Path, p.Name)
					}
				}
			}
		}
	})
	if rejected == 0 || matched == 0 {
		t.Errorf("got %d rejected tables and %d matched requests, want at least one of each", rejected, matched)
	}
}

// New must reject invalid tables, and name both lines of a conflict.
func TestInvalidTables(t *testing.T) {
	for _, c := range []struct {
		want  string
		rules []Rule[int]
	}{
		{`line 2: route "b" is ambiguous with "a": ` +
			`both can match the same request, and neither is more specific (line 1)`,
			[]Rule[int]{{Name: "a", Line: 1, Path: "/x/{id}"}, {Name: "b", Line: 2, Path: "/x/{name}"}}},
		{`line 2: route "b" is ambiguous with "a": ` +
			`both can match the same request, and neither is more specific (line 1)`,
			[]Rule[int]{
				{Name: "a", Line: 1, Path: "/x", Headers: []Condition{{"H", "1"}}},
				{Name: "b", Line: 2, Path: "/x", Query: []Condition{{"q", ""}}}}},
		{`line 3: route "c" can never match: more specific routes match all its requests (line 2)`,
			[]Rule[int]{{Name: "a", Line: 1, Path: "/x", Methods: []string{"GET"}},
				{Name: "b", Line: 2, Path: "/x", Methods: []string{"PUT"}},
				{Name: "c", Line: 3, Path: "/x", Methods: []string{"GET", "PUT"}}}},
		{`line 1: path "x": invalid path: "x" does not begin with a slash`, []Rule[int]{{Line: 1, Path: "x"}}},
		{`line 1: path "/a/../b": invalid path: a segment ".."`, []Rule[int]{{Line: 1, Path: "/a/../b"}}},
		{`line 1: path "/{a...}/b": "{a...}" is only allowed as the last segment`,
			[]Rule[int]{{Line: 1, Path: "/{a...}/b"}}},
		{`line 1: path "/{a}/{a}": segment "{a}" must be a unique parameter name in braces`,
			[]Rule[int]{{Line: 1, Path: "/{a}/{a}"}}},
		{`line 1: path "/x{a}": segment "x{a}" is neither a literal nor {name}`, []Rule[int]{{Line: 1, Path: "/x{a}"}}},
		{`line 1: host "a.org:80" is neither a host name nor "*." followed by one`,
			[]Rule[int]{{Line: 1, Host: "a.org:80", Path: "/"}}},
		{`line 1: host "*" is neither a host name nor "*." followed by one`,
			[]Rule[int]{{Line: 1, Host: "*", Path: "/"}}},
		{`line 1: "GET PUT" is not a valid method`, []Rule[int]{{Line: 1, Path: "/", Methods: []string{"GET PUT"}}}},
		{`line 1: method "GET" is repeated`, []Rule[int]{{Line: 1, Path: "/", Methods: []string{"GET", "GET"}}}},
	} {
		if _, err := New(c.rules); err == nil || err.Error() != c.want {
			t.Errorf("got error  %v\nwant error %s", err, c.want)
		}
	}
	good := []Rule[int]{{Line: 1, Path: "/x"}, {Line: 2, Path: "/x/"},
		{Line: 3, Path: "/x", Methods: []string{"GET"}}, {Line: 4, Path: "/x", Methods: []string{"PUT"}},
		{Line: 5, Path: "/x", Headers: []Condition{{"H", ""}}}, {Line: 6, Host: "a.org", Path: "/x"},
		{Line: 7, Path: "/{all...}"}, {Line: 8, Path: "/{one}"}}
	if _, err := New(good); err != nil {
		t.Errorf("New of a valid table returned %v, want nil", err)
	}
}

// Match must handle unusual paths and hosts as Rule and the errors document: encoded slashes, empty
// segments, dot segments, ports, letter case and IPv6 addresses.
func TestUnusualRequests(t *testing.T) {
	table, err := New([]Rule[int]{{Target: 1, Path: "/items/{id}"}, {Target: 2, Path: "/items/{id}/{rest...}"},
		{Target: 3, Path: "/a%2Fb"}, {Target: 4, Path: "/"},
		{Target: 5, Path: "/items/new", Methods: []string{"POST", "PUT"}},
		{Target: 6, Host: "*.shop.example.org", Path: "/items/{id}"},
		{Target: 7, Host: "Shop.Example.org", Path: "/items/{id}"},
		{Target: 8, Path: "/only", Methods: []string{"GET", "HEAD"}}})
	if err != nil {
		t.Fatal(err)
	}
	long := strings.Repeat("/x", 32<<10)
	for _, c := range []struct {
		host, path string
		target     int
		params     []Param
		err        error
	}{
		{"", "/", 4, nil, nil},
		{"", "/items/7", 1, []Param{{"id", "7"}}, nil},
		{"", "/items/a%2Fb", 1, []Param{{"id", "a/b"}}, nil},
		{"", "/items/7/a%2Fb//c", 2, []Param{{"id", "7"}, {"rest", "a%2Fb//c"}}, nil},
		{"", "/items/7/", 2, []Param{{"id", "7"}, {"rest", ""}}, nil},
		{"", "/items//", 0, nil, ErrNoRoute},
		{"", "//items/7", 0, nil, ErrNoRoute},
		{"", "/a%2fb", 3, nil, nil},
		{"", "/a/b", 0, nil, ErrNoRoute},
		{"", "/items/new", 1, []Param{{"id", "new"}}, nil}, // the literal route does not allow GET
		{"", "/%69tems/7", 1, []Param{{"id", "7"}}, nil},
		{"", "/items/..", 0, nil, ErrInvalidPath},
		{"", "/items/%2e%2e/x", 0, nil, ErrInvalidPath},
		{"", "/items/.", 0, nil, ErrInvalidPath},
		{"", "/items/...", 1, []Param{{"id", "..."}}, nil},
		{"", "/items/%", 0, nil, ErrInvalidPath},
		{"", "", 0, nil, ErrInvalidPath},
		{"", "*", 0, nil, ErrInvalidPath},
		{"", long, 0, nil, ErrNoRoute},
		{"shop.example.org:8080", "/items/7", 7, []Param{{"id", "7"}}, nil},
		{"SHOP.example.ORG.", "/items/7", 7, []Param{{"id", "7"}}, nil},
		{"eu.shop.example.org", "/items/7", 6, []Param{{"id", "7"}}, nil},
		{"a.b.shop.example.org", "/items/7", 6, []Param{{"id", "7"}}, nil},
		{"xshop.example.org", "/items/7", 1, []Param{{"id", "7"}}, nil},
		{"shop.example.org", "/", 4, nil, nil},
		{"shop.example.org:99999999", "/", 0, nil, ErrInvalidHost},
		{"shop example.org", "/", 0, nil, ErrInvalidHost},
		{"[::1]:80", "/", 4, nil, nil},
		{"[::1", "/", 0, nil, ErrInvalidHost},
		{".", "/", 0, nil, ErrInvalidHost},
	} {
		m, err := table.Match(&Request{Method: "GET", Host: c.host, Path: c.path})
		if !errors.Is(err, c.err) ||
			err == nil && (m.Rule.Target != c.target || !reflect.DeepEqual(m.Params, c.params)) {
			t.Errorf("%q %.40q: got %+v, error %v; want target %d, params %v, error %v", c.host, c.path, m, err,
				c.target, c.params, c.err)
		}
	}
	var method *MethodError
	if _, err := table.Match(&Request{Method: "PUT", Path: "/only"}); !errors.As(err, &method) ||
		!slices.Equal(method.Allowed, []string{"GET", "HEAD"}) {
		t.Errorf("PUT /only: got error %v, want a *MethodError that allows GET and HEAD", err)
	}
}

// FuzzMatch compares Match with the reference for arbitrary paths and hosts.
func FuzzMatch(f *testing.F) {
	rules := []Rule[int]{{Line: 1, Path: "/x/{a}"}, {Line: 2, Path: "/x/y"}, {Line: 3, Path: "/{all...}"},
		{Line: 4, Host: "*.a.org", Path: "/x/{a}/{b...}"}, {Line: 5, Host: "a.org", Path: "/%2F"}}
	table, err := New(rules)
	if err != nil {
		f.Fatal(err)
	}
	f.Add("a.org", "/x/y")
	f.Add("b.a.org:80", "/x/%2F/..;/z")
	f.Fuzz(func(t *testing.T, host, path string) {
		r := &Request{Method: "GET", Host: host, Path: path}
		want, wantErr := referenceMatch(rules, r)
		got, err := table.Match(r)
		if (err == nil) != (wantErr == nil) || !errors.Is(errorKind(err), errorKind(wantErr)) || err == nil &&
			got.Rule.Line != want.Line {
			t.Fatalf("%q %q: got %+v, %v; want %+v, %v", host, path, got.Rule, err, want, wantErr)
		}
	})
}

// BenchmarkMatch measures Match with n routes, and for comparison a linear search and net/http's
// ServeMux, which has no conditions on headers or the query.
func BenchmarkMatch(b *testing.B) {
	for _, n := range []int{1, 100, 10_000} {
		var rules []Rule[int]
		mux := http.NewServeMux()
		for i := range n {
			path := fmt.Sprintf("/v%d/things%d/{id}/parts/{part}", i%10, i)
			rules = append(rules, Rule[int]{Line: i + 1, Path: path, Methods: []string{"GET"}})
			mux.HandleFunc("GET "+path, func(http.ResponseWriter, *http.Request) {})
		}
		table, err := New(rules)
		if err != nil {
			b.Fatal(err)
		}
		path := fmt.Sprintf("/v%d/things%d/77/parts/8", (n-1)%10, n-1)
		r := &Request{Method: "GET", Host: "a.org", Path: path}
		b.Run(fmt.Sprintf("tree/%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if _, err := table.Match(r); err != nil {
					b.Fatal(err)
				}
			}
		})
		b.Run(fmt.Sprintf("all/%d", n), func(b *testing.B) {
			for b.Loop() {
				if _, err := referenceMatch(rules, r); err != nil {
					b.Fatal(err)
				}
			}
		})
		b.Run(fmt.Sprintf("ServeMux/%d", n), func(b *testing.B) {
			b.ReportAllocs()
			req := &http.Request{Method: "GET", Host: "a.org", URL: &url.URL{Path: path}}
			for b.Loop() {
				if _, pattern := mux.Handler(req); pattern == "" {
					b.Fatalf("ServeMux found no pattern for %s", path)
				}
			}
		})
	}
}
