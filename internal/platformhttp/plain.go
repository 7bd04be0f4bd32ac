package platformhttp

import (
	"bytes"
	"strconv"
)

// parsePlainResponse reads the head of an answer that is as plain as nearly all are: 200, its head here whole, a length,
// nothing about the connection or the framing. It gives room for the body and what has come behind the head. Of all others
// it says no, and http.ReadResponse, which knows all of HTTP, has them. That one costs some 3 us and nine allocations more;
// TestPlainAnswers holds the two together.
func parsePlainResponse(raw []byte, h *responseHeader) (rest, body []byte, ok bool) {
	const status = "HTTP/1.1 200 OK\r\n"
	if len(raw) < len(status) || string(raw[:len(status)]) != status {
		return nil, nil, false
	}
	end := bytes.Index(raw, []byte("\r\n\r\n"))
	if end < 0 {
		return nil, nil, false
	}
	found := responseHeader{status: 200}
	length := -1
	for lines := raw[min(len(status), end+2) : end+2]; len(lines) > 0; {
		var line []byte
		n := bytes.Index(lines, []byte("\r\n"))
		line, lines = lines[:n], lines[n+2:]
		name, value, colon := bytes.Cut(line, []byte(":"))
		value = bytes.Trim(value, " \t")
		if !colon || !isPlainName(name) || !isPlainValue(value) {
			return nil, nil, false
		}
		switch {
		case equalName(name, "Content-Length"):
			if length >= 0 || len(value) == 0 || len(value) > 6 || bytes.Trim(value, "0123456789") != nil {
				return nil, nil, false
			}
			length, _ = strconv.Atoi(string(value))
		case equalName(name, "Transfer-Encoding"), equalName(name, "Connection"), equalName(name, "Trailer"):
			return nil, nil, false
		case equalName(name, "Content-Type"):
			setIfEmpty(&found.contentType, value)
		case equalName(name, "X-RateLimit-Used"):
			setIfEmpty(&found.usage, value)
		case equalName(name, "Server-Load"):
			setIfEmpty(&found.load, value)
		}
	}
	if length < 0 || length > MaxBody {
		return nil, nil, false
	}
	*h = found
	return raw[end+4:], make([]byte, length), true
}

// equalName compares a name with one of the names above, as names are compared.
func equalName(name []byte, want string) bool {
	return len(name) == len(want) && bytes.EqualFold(name, []byte(want))
}

func setIfEmpty(to *string, value []byte) {
	if *to == "" {
		*to = string(value)
	}
}

// isPlainName tells whether a name has letters, digits and hyphens only.
func isPlainName(name []byte) bool {
	for _, c := range name {
		if c != '-' && (c < '0' || c > '9') && (c|0x20 < 'a' || c|0x20 > 'z') {
			return false
		}
	}
	return len(name) > 0
}

// isPlainValue tells whether a value has printable ASCII only.
func isPlainValue(value []byte) bool {
	for _, c := range value {
		if c < ' ' || c > '~' {
			return false
		}
	}
	return true
}
