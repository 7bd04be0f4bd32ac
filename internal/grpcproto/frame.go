package grpcproto

import (
	"encoding/binary"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"
)

// Messages follows the framing of a body: before each message a byte that tells whether it is compressed, and its
// length in four. A compressed one is an error, as no attempt offers an encoding. It keeps no message. The zero value is ready.
type Messages struct {
	Limit int // of a message, in bytes; 0: none
	Whole int // messages that have come whole

	head [5]byte
	have int   // bytes of head
	left int64 // bytes of the message that are still to come
	bad  error
}

// Errors of Messages.
var (
	ErrTooLong = errors.New("a message over the limit")
	ErrFlag    = errors.New("a message that is compressed, or has an unknown flag")
)

// Add takes in the next bytes. After an error nothing more is taken.
func (m *Messages) Add(p []byte) error {
	for len(p) > 0 && m.bad == nil {
		if m.have < len(m.head) {
			n := copy(m.head[m.have:], p)
			m.have += n
			p = p[n:]
			if m.have < len(m.head) {
				break
			}
			m.left = int64(binary.BigEndian.Uint32(m.head[1:]))
			switch {
			case m.head[0] != 0:
				m.bad = fmt.Errorf("%w: %d", ErrFlag, m.head[0])
			case m.Limit > 0 && m.left > int64(m.Limit):
				m.bad = fmt.Errorf("%w: %d bytes of %d", ErrTooLong, m.left, m.Limit)
			}
		} else {
			n := min(int64(len(p)), m.left)
			m.left -= n
			p = p[n:]
		}
		if m.bad == nil && m.have == len(m.head) && m.left == 0 {
			m.Whole++
			m.have = 0
		}
	}
	return m.bad
}

// Rest tells how many bytes of a message that is not whole have come, its prefix counted; 0: the last one is whole.
func (m *Messages) Rest() int64 {
	if m.have < len(m.head) {
		return int64(m.have)
	}
	return int64(len(m.head)) + int64(binary.BigEndian.Uint32(m.head[1:])) - m.left
}

// IsContentType tells whether a content type is gRPC's: application/grpc, alone or with a suffix.
func IsContentType(s string) bool {
	rest, ok := strings.CutPrefix(strings.ToLower(s), "application/grpc")
	return ok && (rest == "" || rest[0] == '+' || rest[0] == ';')
}

// ErrTimeout is a grpc-timeout that makes no sense.
var ErrTimeout = errors.New("grpc-timeout")

var units = []struct {
	name byte
	is   time.Duration
}{{'H', time.Hour}, {'M', time.Minute}, {'S', time.Second}, {'m', time.Millisecond}, {'u', time.Microsecond}, {'n', time.Nanosecond}}

// mostTimeout stands for what is longer than a time.Duration can tell.
const mostTimeout = time.Duration(1<<63 - 1)

// ParseTimeout reads a grpc-timeout: up to eight digits and a unit. 0 is a time that is up.
func ParseTimeout(s string) (time.Duration, error) {
	if len(s) < 2 || len(s) > 9 {
		return 0, fmt.Errorf("%w: %.20q", ErrTimeout, s)
	}
	n := int64(0)
	for _, c := range []byte(s[:len(s)-1]) {
		if c < '0' || c > '9' {
			return 0, fmt.Errorf("%w: %.20q", ErrTimeout, s)
		}
		n = n*10 + int64(c-'0')
	}
	for _, u := range units {
		if u.name == s[len(s)-1] {
			if n > int64(mostTimeout/u.is) {
				return mostTimeout, nil
			}
			return time.Duration(n) * u.is, nil
		}
	}
	return 0, fmt.Errorf("%w: %.20q", ErrTimeout, s)
}

// FormatTimeout writes a time as a grpc-timeout that is not longer, in the finest unit that holds it; what is up is 0.
func FormatTimeout(d time.Duration) string {
	d = max(0, d)
	for i := len(units) - 1; ; i-- {
		if n := int64(d / units[i].is); n <= 99_999_999 {
			return strconv.FormatInt(n, 10) + string(units[i].name)
		}
	}
}
