package platformhttp

import (
	"bytes"
	"strconv"
)

// maxLengthDigits is the maximum number of digits of a Content-Length in a plain response. MaxBody has five.
const maxLengthDigits = 6

// parsePlainResponse is a fast path that parses the header of a plain response: status 200, a complete
// header with a Content-Length, and no field about the connection or the framing. Nearly all responses are
// plain. It returns the bytes after the header, and a buffer of the body's length. For any other response ok
// is false, and the caller uses http.ReadResponse, which takes about 3 us and nine allocations more.
// TestPlainResponses checks that both parsers agree.
func parsePlainResponse(raw []byte, h *responseHeader) (rest, body []byte, ok bool) {
	const statusLine = "HTTP/1.1 200 OK\r\n"
	if len(raw) < len(statusLine) || string(raw[:len(statusLine)]) != statusLine {
		return nil, nil, false
	}
	end := bytes.Index(raw, []byte("\r\n\r\n"))
	if end < 0 {
		return nil, nil, false
	}
	header := responseHeader{status: statusOK}
	length := -1
	for lines := raw[min(len(statusLine), end+2) : end+2]; len(lines) > 0; {
		n := bytes.Index(lines, []byte("\r\n"))
		if !header.parsePlainField(lines[:n], &length) {
			return nil, nil, false
		}
		lines = lines[n+2:]
	}
	if length < 0 || length > MaxBody {
		return nil, nil, false
	}
	*h = header
	return raw[end+4:], make([]byte, length), true
}

// parsePlainField parses one line of a header. It returns false if the line makes the response not a plain
// one. length holds the Content-Length, or a negative value as long as there was none.
func (h *responseHeader) parsePlainField(line []byte, length *int) bool {
	name, value, colon := bytes.Cut(line, []byte(":"))
	value = bytes.Trim(value, " \t")
	if !colon || !isPlainName(name) || !isPlainValue(value) {
		return false
	}
	switch {
	case equalName(name, "Content-Length"):
		if *length >= 0 || len(value) == 0 || len(value) > maxLengthDigits || bytes.Trim(value, "0123456789") != nil {
			return false
		}
		*length, _ = strconv.Atoi(string(value))
	case equalName(name, "Transfer-Encoding"), equalName(name, "Connection"), equalName(name, "Trailer"):
		return false
	case equalName(name, "Content-Type"):
		setIfEmpty(&h.contentType, value)
	case equalName(name, "X-RateLimit-Used"):
		setIfEmpty(&h.usage, value)
	case equalName(name, "Server-Load"):
		setIfEmpty(&h.load, value)
	}
	return true
}

// equalName compares a field's name with a known one, ignoring case.
func equalName(name []byte, want string) bool {
	return len(name) == len(want) && bytes.EqualFold(name, []byte(want))
}

// setIfEmpty sets field to value unless an earlier line has set it, as http.Header.Get returns the first value.
func setIfEmpty(field *string, value []byte) {
	if *field == "" {
		*field = string(value)
	}
}

// isPlainName reports whether a name consists of letters, digits and hyphens.
func isPlainName(name []byte) bool {
	for _, c := range name {
		if c != '-' && (c < '0' || c > '9') && (c|0x20 < 'a' || c|0x20 > 'z') {
			return false
		}
	}
	return len(name) > 0
}

// isPlainValue reports whether a value consists of printable ASCII.
func isPlainValue(value []byte) bool {
	for _, c := range value {
		if c < ' ' || c > '~' {
			return false
		}
	}
	return true
}
