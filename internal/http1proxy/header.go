package http1proxy

import (
	"fmt"
	"slices"
	"strings"

	"golang.org/x/net/http/httpguts"
)

// hopByHop reports whether a field applies to a single connection and must not be forwarded (RFC
// 9110, 7.6.1, and older usage). Te and Trailer are included, as the proxy writes its own.
func hopByHop(name string) bool {
	switch name {
	case "Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
		"Transfer-Encoding", "Upgrade", "Http2-Settings":
		return true
	}
	return false
}

// ConnectionOptions returns the canonical names of the fields that are listed in Connection. A listed
// field is hop-by-hop, whatever its name.
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

// IsHeaderName reports whether a string is a valid field name.
func IsHeaderName(name string) bool { return httpguts.ValidHeaderFieldName(name) }

// CanonicalHeaderName returns a field's name in the canonical form of net/http. An invalid name is
// returned unchanged.
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

// CopyResponseHeader copies the fields of a backend's response to the client's response, except
// hop-by-hop fields.
func CopyResponseHeader(to, from Header) {
	options := ConnectionOptions(from)
	for name, values := range from {
		if !hopByHop(name) && !slices.Contains(options, name) {
			to[name] = values
		}
	}
}

// ForwardableTrailer returns the fields of a trailer that may be forwarded. Fields for framing,
// routing, authentication, content format or control of the message may not (RFC 9110, 6.5.1). It
// returns nil if there are none.
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

// ForwardedStyle selects the header fields that tell backends where a request came from.
type ForwardedStyle uint8

// Values of ForwardedStyle.
const (
	XForwarded    ForwardedStyle = iota // X-Forwarded-For, X-Forwarded-Proto and X-Forwarded-Host
	Forwarded                           // Forwarded (RFC 7239)
	ForwardedNone                       // none; those that the client sent are removed too
)

// Origin is where a request came from.
type Origin struct {
	Addr        string // the peer's address, without a port
	Host        string // the request's Host
	TLS         bool   // the request arrived over TLS
	TrustedPeer bool   // the X-Forwarded-*, Forwarded and TrustedOnly fields of the peer are kept
	Proto       string // the HTTP version, such as "1.1" or "2.0"
}

// HeaderForwarder creates the header of requests to backends.
type HeaderForwarder struct {
	ForwardedStyle ForwardedStyle
	// ViaName is the proxy's name in Via. Empty means that Via is forwarded unchanged.
	ViaName string
	// MaxViaEntries is the number of occurrences of the text ViaName in Via, also as a part of other
	// names, at which a request is rejected as a loop. 0 means no limit.
	MaxViaEntries int
	// Remove has the canonical names of fields that are never forwarded.
	Remove []string
	// TrustedOnly has the canonical names of fields that are forwarded from trusted peers only.
	TrustedOnly []string
}

// headerField is a field that the proxy itself sets, such as Via.
type headerField struct{ name, value string }

// Append appends the header fields of a request in wire format, without Host, Content-Length and
// Transfer-Encoding. added are further fields that the caller adds, as alternating names and values;
// they replace the client's fields of the same names. The error is an ErrInvalidField or ErrLoop.
func (f *HeaderForwarder) Append(b []byte, h Header, origin Origin, added ...string) ([]byte, error) {
	var buffer [4]headerField // keeps the proxy's fields off the heap
	proxyFields := buffer[:0]
	if f.ViaName != "" {
		via := strings.Join(h["Via"], ", ")
		if via != "" && f.MaxViaEntries > 0 && strings.Count(via, f.ViaName) >= f.MaxViaEntries {
			return b, ErrLoop
		}
		proxyFields = append(proxyFields, headerField{"Via", appendListElement(via, origin.Proto+" "+f.ViaName)})
	}
	proxyFields = f.appendForwarded(proxyFields, h, origin)
	b, err := f.appendClientFields(b, h, origin.TrustedPeer, added)
	for i := 0; i < len(proxyFields) && err == nil; i++ {
		b, err = appendField(b, proxyFields[i].name, proxyFields[i].value)
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

// appendClientFields appends those of the client's fields that may be forwarded.
func (f *HeaderForwarder) appendClientFields(b []byte, h Header, trustedPeer bool, added []string) ([]byte, error) {
	options := ConnectionOptions(h)
	for name, values := range h {
		switch {
		case hopByHop(name), slices.Contains(options, name), slices.Contains(f.Remove, name),
			!trustedPeer && slices.Contains(f.TrustedOnly, name), f.isOwnedByProxy(name), isReplaced(name, added):
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

// isOwnedByProxy reports whether the proxy sets or removes a field itself instead of forwarding the
// client's.
func (f *HeaderForwarder) isOwnedByProxy(name string) bool {
	switch name {
	case "Host", "Content-Length", "Expect", "X-Forwarded-For", "X-Forwarded-Proto", "X-Forwarded-Host", "Forwarded":
		return true
	case "Via":
		return f.ViaName != ""
	}
	return false
}

// isReplaced reports whether a field's name is in added, which has alternating names and values.
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
	earlier := func(name string) string { // the value that a trusted peer has sent
		if !origin.TrustedPeer {
			return ""
		}
		return strings.Join(h[name], ", ")
	}
	switch f.ForwardedStyle {
	case XForwarded:
		fields = append(fields,
			headerField{"X-Forwarded-For", appendListElement(earlier("X-Forwarded-For"), origin.Addr)})
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
		fields = append(fields, headerField{"Forwarded", appendListElement(earlier("Forwarded"), element)})
	}
	return fields
}

// appendListElement appends an element to the value of a comma-separated list field.
func appendListElement(list, element string) string {
	if list == "" {
		return element
	}
	return list + ", " + element
}

// quoteForwardedValue returns the value of a Forwarded parameter as a token or quoted string (RFC
// 7239, 4).
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
