package http1proxy

import (
	"fmt"
	"slices"
	"strings"

	"golang.org/x/net/http/httpguts"
)

// hopByHop tells whether a field is between two neighbours only (RFC 9110, 7.6.1, and what was widely sent before it). TE and
// Trailer are among them: what they are for is made anew.
func hopByHop(name string) bool {
	switch name {
	case "Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
		"Transfer-Encoding", "Upgrade", "Http2-Settings":
		return true
	}
	return false
}

// ConnectionOptions are the fields that Connection names, canonical; they end here too.
func ConnectionOptions(h Header) (out []string) {
	for _, v := range h["Connection"] {
		for name := range strings.SplitSeq(v, ",") {
			if name = strings.Trim(name, " \t"); name != "" {
				out = append(out, CanonicalHeaderName(name))
			}
		}
	}
	return out
}

// IsHeaderName tells whether a text can be a field's name.
func IsHeaderName(name string) bool { return httpguts.ValidHeaderFieldName(name) }

// CanonicalHeaderName is a field's name as net/http writes it; what is no name stays as it is.
func CanonicalHeaderName(name string) string {
	if !httpguts.ValidHeaderFieldName(name) {
		return name
	}
	b := []byte(name)
	up := true
	for i, c := range b {
		if up && 'a' <= c && c <= 'z' {
			b[i] = c - 'a' + 'A'
		} else if !up && 'A' <= c && c <= 'Z' {
			b[i] = c - 'A' + 'a'
		}
		up = c == '-'
	}
	return string(b)
}

// CopyResponseHeader copies an answer's fields, as they go to the client, into another set. Those that are between the backend and the door stay behind.
func CopyResponseHeader(to, from Header) {
	nominated := ConnectionOptions(from)
	for name, values := range from {
		if !hopByHop(name) && !slices.Contains(nominated, name) {
			to[name] = values
		}
	}
}

// ForwardableTrailer are the fields of a trailer that may go on: none that frames, routes or changes what the message was (RFC 9110, 6.5.1).
func ForwardableTrailer(from Header) Header {
	var out Header
	for name, values := range from {
		if hopByHop(name) {
			continue
		}
		switch name {
		case "Content-Length", "Host", "Content-Encoding", "Content-Type", "Content-Range", "Authorization", "Set-Cookie", "Cache-Control", "Expect",
			"Max-Forwards", "Range":
			continue
		}
		if out == nil {
			out = Header{}
		}
		out[name] = values
	}
	return out
}

// ForwardedStyle is how backends are told where a request came from.
type ForwardedStyle uint8

// The styles.
const (
	XForwarded    ForwardedStyle = iota // X-Forwarded-For, -Proto and -Host
	Forwarded                           // RFC 7239
	ForwardedNone                       // neither; what came of them is removed all the same
)

// Origin is where a request came from.
type Origin struct {
	Addr        string // the peer's, without a port
	Host        string // that it asked for
	TLS         bool
	TrustedPeer bool   // what it says of those before it is believed, and goes on
	Proto       string // "1.1", "2.0"
}

// HeaderForwarder says what becomes of fields on their way to backends.
type HeaderForwarder struct {
	ForwardedStyle ForwardedStyle
	// ViaName is the name that this door has in Via; it may stand there MostVia times at most, before the request is taken to go in a circle.
	ViaName       string
	MaxViaEntries int
	// Remove are canonical names that never go on, and Asserted those that only a trusted peer may bring.
	Remove, TrustedOnly []string
}

// headerField is a field that the door itself adds.
type headerField struct{ name, value string }

// Append appends a request's fields as they stand on the wire behind the request line, but for those that frame it. add are further fields, in
// pairs of a name and a value, which take the place of what came under their names. The error is an ErrField or ErrLoop.
func (o *HeaderForwarder) Append(b []byte, h Header, from Origin, add ...string) ([]byte, error) {
	nominated := ConnectionOptions(h)
	var own [4]headerField
	mine := own[:0]
	if o.ViaName != "" {
		via := strings.Join(h["Via"], ", ")
		if via != "" && o.MaxViaEntries > 0 && strings.Count(via, o.ViaName) >= o.MaxViaEntries {
			return b, ErrLoop
		}
		if via != "" {
			via += ", "
		}
		mine = append(mine, headerField{"Via", via + from.Proto + " " + o.ViaName})
	}
	mine = o.appendForwarded(mine, h, from)
	for name, values := range h {
		switch {
		case hopByHop(name), len(nominated) > 0 && slices.Contains(nominated, name), slices.Contains(o.Remove, name),
			!from.TrustedPeer && slices.Contains(o.TrustedOnly, name):
			continue
		}
		switch name {
		case "Host", "Content-Length", "Expect", "X-Forwarded-For", "X-Forwarded-Proto", "X-Forwarded-Host", "Forwarded":
			continue
		case "Via":
			if o.ViaName != "" {
				continue
			}
		}
		if isReplaced(name, add) {
			continue
		}
		for _, v := range values {
			var err error
			if b, err = appendField(b, name, v); err != nil {
				return b, err
			}
		}
	}
	for _, s := range mine {
		var err error
		if b, err = appendField(b, s.name, s.value); err != nil {
			return b, err
		}
	}
	for i := 0; i+1 < len(add); i += 2 {
		var err error
		if b, err = appendField(b, add[i], add[i+1]); err != nil {
			return b, err
		}
	}
	if te := h["Te"]; len(te) > 0 && httpguts.HeaderValuesContainsToken(te, "trailers") {
		b = append(b, "Te: trailers\r\nConnection: te\r\n"...)
	}
	return b, nil
}

func isReplaced(name string, add []string) bool {
	for i := 0; i+1 < len(add); i += 2 {
		if add[i] == name {
			return true
		}
	}
	return false
}

// appendForwarded are the fields that tell where a request came from.
func (o *HeaderForwarder) appendForwarded(mine []headerField, h Header, from Origin) []headerField {
	proto := "http"
	if from.TLS {
		proto = "https"
	}
	before := func(name string) string {
		if !from.TrustedPeer {
			return ""
		}
		return strings.Join(h[name], ", ")
	}
	chain := func(earlier, now string) string {
		if earlier == "" {
			return now
		}
		return earlier + ", " + now
	}
	switch o.ForwardedStyle {
	case XForwarded:
		mine = append(mine, headerField{"X-Forwarded-For", chain(before("X-Forwarded-For"), from.Addr)})
		host, was := before("X-Forwarded-Host"), before("X-Forwarded-Proto")
		if host == "" {
			host = from.Host
		}
		if was == "" {
			was = proto
		}
		mine = append(mine, headerField{"X-Forwarded-Proto", was})
		if host != "" {
			mine = append(mine, headerField{"X-Forwarded-Host", host})
		}
	case Forwarded:
		node := from.Addr
		if strings.Contains(node, ":") {
			node = `"[` + node + `]"`
		}
		now := "for=" + node + ";proto=" + proto
		if from.Host != "" {
			now += ";host=" + quoteForwardedValue(from.Host)
		}
		mine = append(mine, headerField{"Forwarded", chain(before("Forwarded"), now)})
	}
	return mine
}

// quoteForwardedValue is a value of a parameter in RFC 7239's grammar.
func quoteForwardedValue(s string) string {
	if httpguts.ValidHeaderFieldName(s) { // a token
		return s
	}
	return `"` + strings.NewReplacer(`\`, `\\`, `"`, `\"`).Replace(s) + `"`
}

// appendField appends one field.
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
