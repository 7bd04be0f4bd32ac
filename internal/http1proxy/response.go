package http1proxy

import (
	"bytes"
	"net/textproto"
	"strconv"
	"strings"
)

// ParseSimpleResponseHead parses the head of a response in its most common form: it has arrived
// completely, is HTTP/1.1 with one Content-Length, has only letters, digits and hyphens in names and
// printable ASCII in values, and no fields about the connection or other framing. For all others ok
// is false, and net/http must parse them, which supports all of HTTP but allocates more.
// FuzzParseSimpleResponseHead checks that both return the same. size is the length of the head in raw.
func ParseSimpleResponseHead(raw []byte) (status int, h Header, length int64, size int, ok bool) {
	const proto = "HTTP/1.1 "
	end := bytes.Index(raw, []byte("\r\n\r\n"))
	if end < 0 || len(raw) < len(proto)+5 || string(raw[:len(proto)]) != proto {
		return 0, nil, 0, 0, false
	}
	text := string(raw[:end+2])
	line, rest, _ := strings.Cut(text, "\r\n")
	code, reason, _ := strings.Cut(line[len(proto):], " ")
	status, err := strconv.Atoi(code)
	if err != nil || len(code) != 3 || status < 200 || status == 204 || status == 304 || !isPrintableASCII(reason) {
		return 0, nil, 0, 0, false
	}
	n := strings.Count(rest, "\r\n")
	h, length = make(Header, n), -1
	values := make([]string, n)
	for i := range n {
		line, rest, _ = strings.Cut(rest, "\r\n")
		name, value, colon := strings.Cut(line, ":")
		value = strings.Trim(value, " \t")
		if !colon || !isSimpleName(name) || !isPrintableASCII(value) {
			return 0, nil, 0, 0, false
		}
		name = textproto.CanonicalMIMEHeaderKey(name)
		switch name {
		case "Transfer-Encoding", "Connection", "Trailer", "Pragma":
			return 0, nil, 0, 0, false
		case "Content-Length":
			if length >= 0 || value == "" || len(value) > 15 || strings.Trim(value, "0123456789") != "" {
				return 0, nil, 0, 0, false
			}
			length, _ = strconv.ParseInt(value, 10, 64)
		}
		if earlier := h[name]; earlier != nil {
			h[name] = append(earlier, value)
			continue
		}
		values[i] = value
		h[name] = values[i : i+1 : i+1]
	}
	return status, h, length, end + 4, length >= 0
}

func isSimpleName(name string) bool {
	for i := range len(name) {
		if c := name[i]; c != '-' && (c < '0' || c > '9') && (c|0x20 < 'a' || c|0x20 > 'z') {
			return false
		}
	}
	return name != ""
}

func isPrintableASCII(s string) bool {
	for i := range len(s) {
		if s[i] < ' ' || s[i] > '~' {
			return false
		}
	}
	return true
}
