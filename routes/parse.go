package routes

import (
	"errors"
	"fmt"
	"net/netip"
	"net/url"
	"slices"
	"strings"
)

// maxHostBytes is the maximum length of a DNS name.
const maxHostBytes = 253

// normalizeHost returns a request's host in lower case, without a port or a trailing dot. The error is
// an ErrInvalidHost.
func normalizeHost(host string) (string, error) {
	if rest, ok := strings.CutPrefix(host, "["); ok { // an IPv6 address
		addr, port, closed := strings.Cut(rest, "]")
		_, err := netip.ParseAddr(addr)
		if err != nil || !closed || !strings.Contains(addr, ":") || port != "" && !isPort(port) {
			return "", fmt.Errorf("%w: %.60q", ErrInvalidHost, host)
		}
		return strings.ToLower(addr), nil
	}
	name := host
	if i := strings.IndexByte(host, ':'); i >= 0 {
		if name = host[:i]; !isPort(host[i:]) {
			return "", fmt.Errorf("%w: %.60q", ErrInvalidHost, host)
		}
	}
	name = strings.TrimSuffix(name, ".")
	if name == "" && host != "" || !isHostName(name) {
		return "", fmt.Errorf("%w: %.60q", ErrInvalidHost, host)
	}
	return strings.ToLower(name), nil
}

// isHostName reports whether name is empty or has the form of a host name.
func isHostName(name string) bool {
	invalid := func(c rune) bool {
		return (c < 'a' || c > 'z') && (c < 'A' || c > 'Z') && (c < '0' || c > '9') && c != '-' && c != '.' && c != '_'
	}
	return len(name) <= maxHostBytes && !strings.ContainsFunc(name, invalid) &&
		!strings.Contains(name, "..") && !strings.HasPrefix(name, ".")
}

// isPort reports whether text is a colon followed by at most five digits.
func isPort(text string) bool {
	digits, ok := strings.CutPrefix(text, ":")
	return ok && len(digits) <= 5 && strings.Trim(digits, "0123456789") == ""
}

// splitPath returns the segments of a path, as received and percent-decoded. An encoded slash does not
// separate segments. The error is an ErrInvalidPath.
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

// compile validates a rule and parses its host and path.
func compile[T any](rule Rule[T]) (*compiledRule[T], error) {
	c := &compiledRule[T]{Rule: rule}
	var err error
	if c.host, err = parseHost(rule.Host); err != nil {
		return nil, err
	}
	if c.segments, err = parsePath(rule.Path); err != nil {
		return nil, err
	}
	if err := checkMethods(rule.Methods); err != nil {
		return nil, err
	}
	if err := checkConditions(rule.Headers); err != nil {
		return nil, err
	}
	return c, checkConditions(rule.Query)
}

// parseHost returns a rule's host in lower case.
func parseHost(host string) (string, error) {
	if host == "" {
		return "", nil
	}
	name, wildcard := host, ""
	if domain, ok := strings.CutPrefix(host, "*."); ok {
		name, wildcard = domain, "*."
	}
	normalized, err := normalizeHost(name)
	if err != nil || strings.ContainsAny(name, "[:") {
		return "", fmt.Errorf(`host %q is neither a host name nor "*." followed by one`, host)
	}
	return wildcard + normalized, nil
}

// parsePath returns the segments of a rule's path.
func parsePath(path string) ([]segment, error) {
	raw, decoded, err := splitPath(path)
	if err != nil {
		return nil, fmt.Errorf("path %q: %w", path, err)
	}
	segments := make([]segment, 0, len(raw))
	names := map[string]bool{}
	for i, text := range raw {
		s, err := parseSegment(text, decoded[i], i == len(raw)-1)
		if err != nil {
			return nil, fmt.Errorf("path %q: %w", path, err)
		}
		if s.kind != literalSegment && names[s.text] {
			return nil, fmt.Errorf("path %q: %w", path, invalidParamError(text))
		}
		names[s.text] = names[s.text] || s.kind != literalSegment
		segments = append(segments, s)
	}
	return segments, nil
}

// invalidParamError returns the error for a parameter whose name is invalid or repeated.
func invalidParamError(text string) error {
	return fmt.Errorf("segment %q must be a unique parameter name in braces", text)
}

// parseSegment parses a segment of a rule's path. last reports whether it is the last segment.
func parseSegment(text, decoded string, last bool) (segment, error) {
	name, ok := strings.CutPrefix(text, "{")
	if !ok {
		if strings.ContainsAny(text, "{}?#") {
			return segment{}, fmt.Errorf("segment %q is neither a literal nor {name}", text)
		}
		return segment{literalSegment, decoded}, nil
	}
	name, closed := strings.CutSuffix(name, "}")
	s := segment{paramSegment, name}
	if rest, ok := strings.CutSuffix(name, "..."); ok {
		s = segment{restSegment, rest}
		if !last {
			return segment{}, fmt.Errorf("%q is only allowed as the last segment", text)
		}
	}
	if !closed || s.text == "" || strings.ContainsAny(s.text, "{}.%") {
		return segment{}, invalidParamError(text)
	}
	return s, nil
}

func checkMethods(methods []string) error {
	invalid := func(c rune) bool { return c <= ' ' || c > '~' || strings.ContainsRune(`"(),/:;<=>?@[\]{}`, c) }
	for i, method := range methods {
		if method == "" || strings.ContainsFunc(method, invalid) {
			return fmt.Errorf("%q is not a valid method", method)
		}
		if slices.Contains(methods[:i], method) {
			return fmt.Errorf("method %q is repeated", method)
		}
	}
	return nil
}

func checkConditions(conditions []Condition) error {
	for i, c := range conditions {
		if c.Name == "" {
			return errors.New("a condition has no name")
		}
		if slices.Contains(conditions[:i], c) {
			return fmt.Errorf("the condition on %q is repeated", c.Name)
		}
	}
	return nil
}
