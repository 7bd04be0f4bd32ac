package httplistener

import (
	"errors"
	"io"
	"sync/atomic"
	"syscall"

	"pumicecroft/internal/socketpeek"
)

const (
	// maxReadAhead is how much of what a client sends behind an open request is read while the request is open. Behind
	// more, the end of the stream is hidden: the client's system sends it after all data, for which there is no room.
	maxReadAhead = 1 << 20
	// readAheadPerConn, times the limit of connections, is how much all connections together read ahead.
	readAheadPerConn = 16 << 10
	minReadAhead     = 4 << 10 // size of the first buffer
)

// byteBudget limits the bytes that several connections hold. It is safe for concurrent use.
type byteBudget struct {
	limit int64
	used  atomic.Int64
}

func (b *byteBudget) reserve(n int) bool {
	if b.used.Add(int64(n)) > b.limit {
		b.release(n)
		return false
	}
	return true
}

func (b *byteBudget) release(n int) { b.used.Add(-int64(n)) }

// readAhead holds bytes that were read while the request before them was open.
type readAhead struct {
	budget *byteBudget
	buffer []byte // its capacity is reserved from the budget
	taken  int    // bytes of buffer that take has returned
	closed bool
}

// pending returns the number of bytes that take has not returned yet.
func (a *readAhead) pending() int { return len(a.buffer) - a.taken }

// space returns a buffer for more bytes, or nil if there may be no more.
func (a *readAhead) space() []byte {
	if a.closed {
		return nil
	}
	if len(a.buffer) == cap(a.buffer) {
		grow := max(cap(a.buffer), minReadAhead)
		if cap(a.buffer)+grow > maxReadAhead || !a.budget.reserve(grow) {
			return nil
		}
		a.buffer = append(make([]byte, 0, cap(a.buffer)+grow), a.buffer...)
	}
	return a.buffer[len(a.buffer):cap(a.buffer)]
}

// added records that n bytes were read into the buffer that space has returned.
func (a *readAhead) added(n int) { a.buffer = a.buffer[:len(a.buffer)+n] }

// take copies pending bytes to p. It releases the buffer with the last one.
func (a *readAhead) take(p []byte) int {
	n := copy(p, a.buffer[a.taken:])
	if a.taken += n; a.taken == len(a.buffer) {
		a.release()
	}
	return n
}

func (a *readAhead) release() {
	a.budget.release(cap(a.buffer))
	a.buffer, a.taken = nil, 0
}

// close releases the buffer for good.
func (a *readAhead) close() {
	a.release()
	a.closed = true
}

// detectDisconnect reports whether the client has disconnected, and sets disconnectErr if so. It reads ahead what the
// client has sent behind its request, as the end of the stream comes after it.
func (c *clientConn) detectDisconnect(fd uintptr) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for {
		n, err := peekByte(fd)
		switch {
		case errors.Is(err, syscall.EAGAIN) || errors.Is(err, syscall.EINTR):
			return false
		case n <= 0:
			c.disconnectErr = disconnectError(err)
			return true
		}
		space := c.ahead.space()
		if space == nil { // what follows is not known, but a reset is
			c.disconnectErr = io.EOF
			return socketpeek.PeerClosed(fd)
		}
		if n, _ = syscall.Read(int(fd), space); n > 0 {
			c.ahead.added(n)
		}
	}
}

// disconnectError returns the error of a read that has found the end of the stream or has failed.
func disconnectError(err error) error {
	if err != nil {
		return err
	}
	return io.EOF
}
