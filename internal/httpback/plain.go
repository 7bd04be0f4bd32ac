package httpback

import (
	"bufio"
	"bytes"
	"strconv"
)

// plainHead is what is wanted of the head of a plain answer.
type plainHead struct{ contentType, use, load string }

// plainAnswer reads the head of an answer that is as plain as nearly all are: 200, its head here whole, a length,
// nothing about the connection or the framing. It gives room for the body, which is next to be read. Of all others
// it takes nothing and says no, and http.ReadResponse, which knows all of HTTP, has them. That one costs some 3 us
// and nine allocations more; TestPlainAnswers holds the two together.
func plainAnswer(r *bufio.Reader) (body []byte, head plainHead, ok bool) {
	buffered, _ := r.Peek(r.Buffered())
	const status = "HTTP/1.1 200 OK\r\n"
	if len(buffered) < len(status) || string(buffered[:len(status)]) != status {
		return nil, head, false
	}
	end := bytes.Index(buffered, []byte("\r\n\r\n"))
	if end < 0 {
		return nil, head, false
	}
	length := -1
	for lines := buffered[min(len(status), end+2) : end+2]; len(lines) > 0; {
		var line []byte
		n := bytes.Index(lines, []byte("\r\n"))
		line, lines = lines[:n], lines[n+2:]
		name, value, found := bytes.Cut(line, []byte(":"))
		value = bytes.Trim(value, " \t")
		if !found || !plainName(name) || !plainValue(value) {
			return nil, head, false
		}
		switch {
		case is(name, "Content-Length"):
			if length >= 0 || len(value) == 0 || len(value) > 6 || bytes.Trim(value, "0123456789") != nil {
				return nil, head, false
			}
			length, _ = strconv.Atoi(string(value))
		case is(name, "Transfer-Encoding"), is(name, "Connection"), is(name, "Trailer"):
			return nil, head, false
		case is(name, "Content-Type"):
			first(&head.contentType, value)
		case is(name, "X-RateLimit-Used"):
			first(&head.use, value)
		case is(name, "Server-Load"):
			first(&head.load, value)
		}
	}
	if length < 0 || length > MaxBody {
		return nil, head, false
	}
	if _, err := r.Discard(end + 4); err != nil {
		return nil, head, false
	}
	return make([]byte, length), head, true
}

// is compares a name with one of the names above, as names are compared.
func is(name []byte, want string) bool {
	return len(name) == len(want) && bytes.EqualFold(name, []byte(want))
}

func first(to *string, value []byte) {
	if *to == "" {
		*to = string(value)
	}
}

// plainName tells whether a name has letters, digits and hyphens only.
func plainName(name []byte) bool {
	for _, c := range name {
		if c != '-' && (c < '0' || c > '9') && (c|0x20 < 'a' || c|0x20 > 'z') {
			return false
		}
	}
	return len(name) > 0
}

// plainValue tells whether a value has printable ASCII only.
func plainValue(value []byte) bool {
	for _, c := range value {
		if c < ' ' || c > '~' {
			return false
		}
	}
	return true
}
