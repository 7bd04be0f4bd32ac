package grpcproto

import (
	"encoding/binary"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"
)

// Messages follows the framing of a body: before each message there are a byte that says whether it
// is compressed, and its length in four. A compressed message is an error, as no attempt offers an
// encoding. It keeps no messages. The zero value is ready.
type Messages struct {
	MaxMessageBytes int // 0: no limit
	Complete        int // messages that have arrived completely

	prefix      [5]byte
	prefixBytes int   // bytes of prefix that have arrived
	remaining   int64 // bytes of the message that have not arrived
	err         error
}

// Errors of Messages. They are part of an Outcome's Reason.
var (
	ErrMessageTooLarge = errors.New("message over the limit")
	ErrCompressed      = errors.New("compressed message or unknown flag")
)

// Add takes in the next bytes. After an error it takes no more, and returns the error again.
func (m *Messages) Add(p []byte) error {
	for len(p) > 0 && m.err == nil {
		if m.prefixBytes < len(m.prefix) {
			n := copy(m.prefix[m.prefixBytes:], p)
			m.prefixBytes += n
			p = p[n:]
			if m.prefixBytes < len(m.prefix) {
				break
			}
			m.remaining = int64(binary.BigEndian.Uint32(m.prefix[1:]))
			switch {
			case m.prefix[0] != 0:
				m.err = fmt.Errorf("%w: %d", ErrCompressed, m.prefix[0])
			case m.MaxMessageBytes > 0 && m.remaining > int64(m.MaxMessageBytes):
				m.err = fmt.Errorf("%w: %d bytes of %d", ErrMessageTooLarge, m.remaining, m.MaxMessageBytes)
			}
		} else {
			n := min(int64(len(p)), m.remaining)
			m.remaining -= n
			p = p[n:]
		}
		if m.err == nil && m.prefixBytes == len(m.prefix) && m.remaining == 0 {
			m.Complete++
			m.prefixBytes = 0
		}
	}
	return m.err
}

// PartialBytes returns how many bytes of an incomplete message have arrived, prefix included; 0 means
// that the last message is complete.
func (m *Messages) PartialBytes() int64 {
	if m.prefixBytes < len(m.prefix) {
		return int64(m.prefixBytes)
	}
	return int64(len(m.prefix)) + int64(binary.BigEndian.Uint32(m.prefix[1:])) - m.remaining
}

// IsContentType reports whether a content type is gRPC's: application/grpc, alone or with a suffix.
func IsContentType(s string) bool {
	rest, ok := strings.CutPrefix(strings.ToLower(s), "application/grpc")
	return ok && (rest == "" || rest[0] == '+' || rest[0] == ';')
}

// ErrInvalidTimeout says that a grpc-timeout is invalid.
var ErrInvalidTimeout = errors.New("grpc-timeout")

var timeoutUnits = []struct {
	name byte
	unit time.Duration
}{{'H', time.Hour}, {'M', time.Minute}, {'S', time.Second}, {'m', time.Millisecond}, {'u', time.Microsecond},
	{'n', time.Nanosecond}}

// maxTimeout stands for timeouts that exceed a time.Duration.
const maxTimeout = time.Duration(1<<63 - 1)

// ParseTimeout parses a grpc-timeout: up to eight digits and a unit. 0 is a deadline that has passed.
func ParseTimeout(s string) (time.Duration, error) {
	if len(s) < 2 || len(s) > 9 {
		return 0, fmt.Errorf("%w: %.20q", ErrInvalidTimeout, s)
	}
	n := int64(0)
	for _, c := range []byte(s[:len(s)-1]) {
		if c < '0' || c > '9' {
			return 0, fmt.Errorf("%w: %.20q", ErrInvalidTimeout, s)
		}
		n = n*10 + int64(c-'0')
	}
	for _, u := range timeoutUnits {
		if u.name == s[len(s)-1] {
			if n > int64(maxTimeout/u.unit) {
				return maxTimeout, nil
			}
			return time.Duration(n) * u.unit, nil
		}
	}
	return 0, fmt.Errorf("%w: %.20q", ErrInvalidTimeout, s)
}

// FormatTimeout returns a grpc-timeout that is not longer than d, in the finest unit that holds it. A
// negative d is 0.
func FormatTimeout(d time.Duration) string {
	d = max(0, d)
	for i := len(timeoutUnits) - 1; ; i-- {
		if n := int64(d / timeoutUnits[i].unit); n <= 99_999_999 {
			return strconv.FormatInt(n, 10) + string(timeoutUnits[i].name)
		}
	}
}
