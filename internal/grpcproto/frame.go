package grpcproto

import (
	"encoding/binary"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"
)

// MessageParser checks the length-prefixed framing of a response body and counts its messages. Each
// message has a prefix of a compression flag (1 byte) and its length (4 bytes, big-endian). A compressed
// message is an error because attempts do not offer an encoding. The parser does not store the
// messages. The zero value is ready to use.
type MessageParser struct {
	MaxMessageBytes int // limit for each message, without its prefix; 0 means no limit
	CompleteCount   int // messages that have arrived completely

	prefix      [5]byte
	prefixBytes int   // bytes of prefix that have arrived
	remaining   int64 // bytes of the current message that have not arrived
	err         error
}

// Errors of MessageParser. Their texts become part of Outcome.Reason.
var (
	ErrMessageTooLarge = errors.New("message over the limit")
	ErrCompressed      = errors.New("compressed message or unknown flag")
)

// Parse parses the next bytes of the body. After an error it ignores its input and returns the same
// error again.
func (m *MessageParser) Parse(p []byte) error {
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
			m.CompleteCount++
			m.prefixBytes = 0
		}
	}
	return m.err
}

// PartialBytes returns how many bytes of an incomplete message have arrived, including the prefix. It
// returns 0 between messages.
func (m *MessageParser) PartialBytes() int64 {
	if m.prefixBytes < len(m.prefix) {
		return int64(m.prefixBytes)
	}
	return int64(len(m.prefix)) + int64(binary.BigEndian.Uint32(m.prefix[1:])) - m.remaining
}

// IsContentType reports whether s is a gRPC content type: application/grpc, optionally followed by a
// subtype suffix such as +proto or by parameters.
func IsContentType(s string) bool {
	rest, ok := strings.CutPrefix(strings.ToLower(s), "application/grpc")
	return ok && (rest == "" || rest[0] == '+' || rest[0] == ';')
}

// ErrInvalidTimeout is returned for an invalid grpc-timeout value.
var ErrInvalidTimeout = errors.New("grpc-timeout")

// timeoutUnits are the units of grpc-timeout, from the longest to the shortest.
var timeoutUnits = []struct {
	name byte
	unit time.Duration
}{{'H', time.Hour}, {'M', time.Minute}, {'S', time.Second}, {'m', time.Millisecond}, {'u', time.Microsecond},
	{'n', time.Nanosecond}}

// maxTimeout is the longest time.Duration. It replaces longer timeouts.
const maxTimeout = time.Duration(1<<63 - 1)

// ParseTimeout parses a grpc-timeout value: up to eight digits and a unit. It accepts 0, which means
// that the deadline has passed.
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

// FormatTimeout formats d as a grpc-timeout value, rounded down, in the smallest unit in which it has
// at most eight digits. A negative d becomes 0.
func FormatTimeout(d time.Duration) string {
	d = max(0, d)
	for i := len(timeoutUnits) - 1; ; i-- {
		if n := int64(d / timeoutUnits[i].unit); n <= 99_999_999 {
			return strconv.FormatInt(n, 10) + string(timeoutUnits[i].name)
		}
	}
}
