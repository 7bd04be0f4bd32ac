package http1proxy

import (
	"fmt"
	"slices"
	"strings"

	"golang.org/x/net/http/httpguts"
)

// hopByHop reports whether a field is meant for the next neighbour alone (RFC 9110, 7.6.1, and what
// was common before it). Te and Trailer are among them: the proxy writes its own.
func hopByHop(name string) bool {
	switch name {
	case "Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
		"Transfer-Encoding", "Upgrade", "Http2-Settings":
		return true
	}
	return false
}

// ConnectionOptions returns the canonical names of the fields that Connection names: these are
// hop-by-hop, too.
func ConnectionOptions(h Header) (names []string) {
	for _, value := range h["Connection"] {
		for name := range strings.SplitSeq(value, ",") {
			if name = strings.Trim(name, " \t"); name != "" {
				names = append(names, CanonicalHeaderName(name))
			}
		}
	}
	return names
}

// IsHeaderName reports whether a text can be a field's name.
func IsHeaderName(name string) bool { return httpguts.ValidHeaderFieldName(name) }

// CanonicalHeaderName returns a field's name as net/http writes it. An invalid name is returned
// unchanged.
func CanonicalHeaderName(name string) string {
	if !httpguts.ValidHeaderFieldName(name) {
		return name
	}
	b := []byte(name)
	upper := true
	for i, c := range b {
		if upper && 'a' <= c && c <= 'z' {
			b[i] = c - 'a' + 'A'
		} else if !upper && 'A' <= c && c <= 'Z' {
			b[i] = c - 'A' + 'a'
		}
		upper = c == '-'
	}
	return string(b)
}

// CopyResponseHeader copies the fields of a backend's response to the client's, without hop-by-hop
// ones.
func CopyResponseHeader(to, from Header) {
	options := ConnectionOptions(from)
	for name, values := range from {
		if !hopByHop(name) && !slices.Contains(options, name) {
			to[name] = values
		}
	}
}

// ForwardableTrailer returns the fields of a trailer that may be forwarded: none that frames, routes
// or changes the message (RFC 9110, 6.5.1). It is nil if there are none.
func ForwardableTrailer(from Header) Header {
	var out Header
	for name, values := range from {
		if hopByHop(name) || forbiddenInTrailer(name) {
			continue
		}
		if out == nil {
			out = Header{}
		}
		out[name] = values
	}
	return out
}

func forbiddenInTrailer(name string) bool {
	switch name {
	case "Content-Length", "Host", "Content-Encoding", "Content-Type", "Content-Range", "Authorization", "Set-Cookie",
		"Cache-Control", "Expect", "Max-Forwards", "Range":
		return true
	}
	return false
}

// ForwardedStyle selects the header by which backends are told where a request came from.
type ForwardedStyle uint8

// The styles.
const (
	XForwarded    ForwardedStyle = iota // X-Forwarded-For, X-Forwarded-Proto and X-Forwarded-Host
	Forwarded                           // Forwarded (RFC 7239)
	ForwardedNone                       // none; what the client sent of them is removed all the same
)

// Origin is where a request came from.
type Origin struct {
	Addr        string // the peer's address, without a port
	Host        string // the request's
	TLS         bool
	TrustedPeer bool   // what the peer says of its clients is believed, and forwarded
	Proto       string // the HTTP version, such as "1.1" or "2.0"
}

// HeaderForwarder makes the header of requests to backends.
type HeaderForwarder struct {
	ForwardedStyle ForwardedStyle
	// ViaName is the proxy's name in Via. Empty means that Via is forwarded unchanged.
	ViaName string
	// MaxViaEntries is how often ViaName may be in Via before the request is taken to go in a loop.
	// 0 means any number.
	MaxViaEntries int
	// Remove are canonical names of fields that are never forwarded.
	Remove []string
	// TrustedOnly are canonical names of fields that are forwarded for a trusted peer alone.
	TrustedOnly []string
}

// headerField is a field that the proxy adds.
type headerField struct{ name, value string }

// Append appends the fields of a request as they are on the wire after the request line, without
// those that frame the message. added are further fields, as pairs of a name and a value, which
// replace the client's. The error is an ErrInvalidField or ErrLoop.
func (f *HeaderForwarder) Append(b []byte, h Header, origin Origin, added ...string) ([]byte, error) {
	var room [4]headerField // keeps the proxy's fields off the heap
	own := room[:0]
	if f.ViaName != "" {
		via := strings.Join(h["Via"], ", ")
		if via != "" && f.MaxViaEntries > 0 && strings.Count(via, f.ViaName) >= f.MaxViaEntries {
			return b, ErrLoop
		}
		own = append(own, headerField{"Via", chain(via, origin.Proto+" "+f.ViaName)})
	}
	own = f.appendForwarded(own, h, origin)
	b, err := f.appendClientFields(b, h, origin.TrustedPeer, added)
	for i := 0; i < len(own) && err == nil; i++ {
		b, err = appendField(b, own[i].name, own[i].value)
	}
	for i := 0; i+1 < len(added) && err == nil; i += 2 {
		b, err = appendField(b, added[i], added[i+1])
	}
	if err != nil {
		return b, err
	}
	if te := h["Te"]; len(te) > 0 && httpguts.HeaderValuesContainsToken(te, "trailers") {
		b = append(b, "Te: trailers\r\nConnection: te\r\n"...)
	}
	return b, nil
}

// appendClientFields appends the client's fields that are forwarded.
func (f *HeaderForwarder) appendClientFields(b []byte, h Header, trustedPeer bool, added []string) ([]byte, error) {
	options := ConnectionOptions(h)
	for name, values := range h {
		switch {
		case hopByHop(name), slices.Contains(options, name), slices.Contains(f.Remove, name),
			!trustedPeer && slices.Contains(f.TrustedOnly, name), f.isOwn(name), isReplaced(name, added):
			continue
		}
		for _, value := range values {
			var err error
			if b, err = appendField(b, name, value); err != nil {
				return b, err
			}
		}
	}
	return b, nil
}

// isOwn reports whether the proxy writes a field itself, or leaves it to the framing of the message.
func (f *HeaderForwarder) isOwn(name string) bool {
	switch name {
	case "Host", "Content-Length", "Expect", "X-Forwarded-For", "X-Forwarded-Proto", "X-Forwarded-Host", "Forwarded":
		return true
	case "Via":
		return f.ViaName != ""
	}
	return false
}

// isReplaced reports whether a field's name is in added, pairs of a name and a value.
func isReplaced(name string, added []string) bool {
	for i := 0; i+1 < len(added); i += 2 {
		if added[i] == name {
			return true
		}
	}
	return false
}

// appendForwarded appends the fields that tell where a request came from.
func (f *HeaderForwarder) appendForwarded(fields []headerField, h Header, origin Origin) []headerField {
	proto := "http"
	if origin.TLS {
		proto = "https"
	}
	earlier := func(name string) string { // what a trusted peer says
		if !origin.TrustedPeer {
			return ""
		}
		return strings.Join(h[name], ", ")
	}
	switch f.ForwardedStyle {
	case XForwarded:
		fields = append(fields, headerField{"X-Forwarded-For", chain(earlier("X-Forwarded-For"), origin.Addr)})
		host, earlierProto := earlier("X-Forwarded-Host"), earlier("X-Forwarded-Proto")
		if host == "" {
			host = origin.Host
		}
		if earlierProto != "" {
			proto = earlierProto
		}
		fields = append(fields, headerField{"X-Forwarded-Proto", proto})
		if host != "" {
			fields = append(fields, headerField{"X-Forwarded-Host", host})
		}
	case Forwarded:
		node := origin.Addr
		if strings.Contains(node, ":") { // an IPv6 address
			node = `"[` + node + `]"`
		}
		element := "for=" + node + ";proto=" + proto
		if origin.Host != "" {
			element += ";host=" + quoteForwardedValue(origin.Host)
		}
		fields = append(fields, headerField{"Forwarded", chain(earlier("Forwarded"), element)})
	}
	return fields
}

// chain adds an element to a list field's value.
func chain(list, element string) string {
	if list == "" {
		return element
	}
	return list + ", " + element
}

// quoteForwardedValue returns a parameter's value as a token or quoted string (RFC 7239, 4).
func quoteForwardedValue(s string) string {
	if httpguts.ValidHeaderFieldName(s) { // a token
		return s
	}
	return `"` + strings.NewReplacer(`\`, `\\`, `"`, `\"`).Replace(s) + `"`
}

// appendField appends one field. The error is an ErrInvalidField.
func appendField(b []byte, name, value string) ([]byte, error) {
	if !httpguts.ValidHeaderFieldName(name) {
		return b, fmt.Errorf("%w: the name %.40q", ErrInvalidField, name)
	}
	if !httpguts.ValidHeaderFieldValue(value) {
		return b, fmt.Errorf("%w: the value of %.40s", ErrInvalidField, name)
	}
	b = append(b, name...)
	b = append(b, ": "...)
	b = append(b, value...)
	return append(b, "\r\n"...), nil
}
