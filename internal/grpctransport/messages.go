package grpctransport

import "encoding/binary"

const (
	// prefixBytes is the length of a message's prefix: a compression flag and the length of the
	// message.
	prefixBytes = 5
	// maxInitialBuffer limits the memory that is allocated for a message before it has arrived, in
	// bytes, as the length in the prefix may be larger than what the backend sends.
	maxInitialBuffer = 64 << 10
)

// messageBuffer splits a response body into messages and holds them until they are read. Each message
// has a buffer of its own, which includes the prefix. The zero value is empty.
type messageBuffer struct {
	complete [][]byte
	partial  []byte // the message that has not arrived completely, or nil
}

// add appends the next bytes of the body, whose framing grpcproto.Call has already checked.
func (m *messageBuffer) add(data []byte) {
	for len(data) > 0 {
		if m.partial == nil {
			size := prefixBytes
			if len(data) >= prefixBytes {
				size = min(messageBytes(data), maxInitialBuffer)
			}
			m.partial = make([]byte, 0, size)
		}
		want := prefixBytes
		if len(m.partial) >= prefixBytes {
			want = messageBytes(m.partial)
		}
		if want > cap(m.partial) && cap(m.partial) <= prefixBytes {
			m.partial = append(make([]byte, 0, min(want, maxInitialBuffer)), m.partial...)
		}
		n := min(want-len(m.partial), len(data))
		m.partial = append(m.partial, data[:n]...)
		data = data[n:]
		if len(m.partial) >= prefixBytes && len(m.partial) == messageBytes(m.partial) {
			m.complete, m.partial = append(m.complete, m.partial), nil
		}
	}
}

// messageBytes returns the length of the message that p begins with, including its prefix.
func messageBytes(p []byte) int { return prefixBytes + int(binary.BigEndian.Uint32(p[1:])) }

// next removes and returns the first complete message, or nil if there is none.
func (m *messageBuffer) next() []byte {
	if len(m.complete) == 0 {
		return nil
	}
	message := m.complete[0]
	m.complete[0] = nil
	if m.complete = m.complete[1:]; len(m.complete) == 0 {
		m.complete = nil
	}
	return message
}
