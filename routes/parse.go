package routes

import (
	"fmt"
	"net/netip"
	"net/url"
	"slices"
	"strings"
)

// normalizeHost makes a host as it came the one that routes name: without a port and a last dot, in lower case.
func normalizeHost(host string) (string, error) {
	name := host
	if rest, ok := strings.CutPrefix(host, "["); ok { // an address of IPv6
		inside, port, closed := strings.Cut(rest, "]")
		if _, err := netip.ParseAddr(inside); err != nil || !closed || !strings.Contains(inside, ":") || port != "" && !isPort(port) {
			return "", fmt.Errorf("%w: %.60q", ErrInvalidHost, host)
		}
		return strings.ToLower(inside), nil
	}
	if i := strings.IndexByte(host, ':'); i >= 0 {
		if name = host[:i]; !isPort(host[i:]) {
			return "", fmt.Errorf("%w: %.60q", ErrInvalidHost, host)
		}
	}
	name = strings.TrimSuffix(name, ".")
	if name == "" && host != "" || len(name) > 253 || strings.ContainsFunc(name, func(c rune) bool {
		return (c < 'a' || c > 'z') && (c < 'A' || c > 'Z') && (c < '0' || c > '9') && c != '-' && c != '.' && c != '_'
	}) || strings.Contains(name, "..") || strings.HasPrefix(name, ".") {
		return "", fmt.Errorf("%w: %.60q", ErrInvalidHost, host)
	}
	return strings.ToLower(name), nil
}

func isPort(text string) bool {
	digits, ok := strings.CutPrefix(text, ":")
	return ok && len(digits) <= 5 && strings.Trim(digits, "0123456789") == ""
}

// splitPath gives a path's segments, as they came and decoded. A slash that is encoded is no separator.
func splitPath(path string) (raw, decoded []string, err error) {
	rest, ok := strings.CutPrefix(path, "/")
	if !ok {
		return nil, nil, fmt.Errorf("%w: %.60q does not begin with a slash", ErrInvalidPath, path)
	}
	raw = strings.Split(rest, "/")
	decoded = raw
	if strings.Contains(rest, "%") {
		decoded = make([]string, len(raw))
		for i, s := range raw {
			if decoded[i], err = url.PathUnescape(s); err != nil {
				return nil, nil, fmt.Errorf("%w: %.60q", ErrInvalidPath, s)
			}
		}
	}
	for _, s := range decoded {
		if s == "." || s == ".." {
			return nil, nil, fmt.Errorf("%w: a segment %q", ErrInvalidPath, s)
		}
	}
	return raw, decoded, nil
}

// compile reads a rule.
func compile[T any](r Rule[T]) (*compiledRule[T], error) {
	c := &compiledRule[T]{Rule: r}
	if r.Host != "" {
		name, below := r.Host, ""
		if rest, ok := strings.CutPrefix(r.Host, "*."); ok {
			name, below = rest, "*."
		}
		host, err := normalizeHost(name)
		if err != nil || strings.ContainsAny(name, "[:") {
			return nil, fmt.Errorf("host %q is no name, nor *. and a name", r.Host)
		}
		c.host = below + host
	}
	raw, decoded, err := splitPath(r.Path)
	if err != nil {
		return nil, fmt.Errorf("path %q: %w", r.Path, err)
	}
	names := map[string]bool{}
	for i, s := range raw {
		name, ok := strings.CutPrefix(s, "{")
		if !ok {
			if strings.ContainsAny(s, "{}?#") {
				return nil, fmt.Errorf("path %q: segment %q is neither literal nor {name}", r.Path, s)
			}
			c.segments = append(c.segments, segment{literalSegment, decoded[i]})
			continue
		}
		name, closed := strings.CutSuffix(name, "}")
		g := segment{paramSegment, name}
		if all, ok := strings.CutSuffix(name, "..."); ok {
			g = segment{restSegment, all}
			if i != len(raw)-1 {
				return nil, fmt.Errorf("path %q: %q may only be the last segment", r.Path, s)
			}
		}
		if !closed || g.text == "" || strings.ContainsAny(g.text, "{}.%") || names[g.text] {
			return nil, fmt.Errorf("path %q: segment %q has no name of its own in braces", r.Path, s)
		}
		names[g.text] = true
		c.segments = append(c.segments, g)
	}
	for i, m := range r.Methods {
		if m == "" || strings.ContainsFunc(m, func(c rune) bool { return c <= ' ' || c > '~' || strings.ContainsRune(`"(),/:;<=>?@[\]{}`, c) }) {
			return nil, fmt.Errorf("method %q is none", m)
		}
		if slices.Contains(r.Methods[:i], m) {
			return nil, fmt.Errorf("method %q is there twice", m)
		}
	}
	for _, list := range [][]Condition{r.Headers, r.Query} {
		for i, cond := range list {
			if cond.Name == "" {
				return nil, fmt.Errorf("a condition has no name")
			}
			if slices.Contains(list[:i], cond) {
				return nil, fmt.Errorf("the condition on %q is there twice", cond.Name)
			}
		}
	}
	return c, nil
}
