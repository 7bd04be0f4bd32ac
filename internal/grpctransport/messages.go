package grpctransport

import "encoding/binary"

const (
	// prefixBytes is the length of a message's prefix: a flag and the length of the message.
	prefixBytes = 5
	// maxInitialBuffer is how much memory a message gets before it has arrived, in bytes: its prefix
	// may promise more than follows.
	maxInitialBuffer = 64 << 10
)

// messageBuffer holds the messages of a response that have arrived, each in memory of its own with
// its prefix. The zero value is empty.
type messageBuffer struct {
	complete [][]byte
	partial  []byte // the message that is arriving
}

// add takes in the next bytes, whose framing grpcproto.Call has checked.
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

// messageBytes returns the length of a message with its prefix, which p begins with.
func messageBytes(p []byte) int { return prefixBytes + int(binary.BigEndian.Uint32(p[1:])) }

// next removes and returns the first complete message; nil means that there is none.
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
