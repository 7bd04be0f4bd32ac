// Package socketpeek tells whether something has arrived on a connection, without reading it. It asks
// the operating system, and keeps no state.
package socketpeek

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// State is what has arrived on a connection.
type State uint8

// The states of a connection.
const (
	Idle     State = iota // nothing has arrived
	Readable              // bytes have arrived
	Closed                // the peer has closed it, it is broken, or it can't be seen
)

// Peek returns what has arrived on a connection and was not read. It never blocks.
func Peek(c net.Conn) State { return New(c).Peek() }

// Peeker looks at one connection repeatedly without allocating. It is not safe for concurrent use.
type Peeker struct {
	raw     syscall.RawConn // nil: the connection has no descriptor
	control func(fd uintptr)
	state   State
	buffer  [1]byte
}

// New returns a Peeker.
func New(c net.Conn) *Peeker {
	p := &Peeker{}
	if sc, ok := c.(syscall.Conn); ok {
		if raw, err := sc.SyscallConn(); err == nil {
			p.raw, p.control = raw, p.peek
		}
	}
	return p
}

// Peek returns what has arrived and was not read. It never blocks.
func (p *Peeker) Peek() State {
	p.state = Closed
	if p.raw == nil || p.raw.Control(p.control) != nil {
		return Closed
	}
	return p.state
}

func (p *Peeker) peek(fd uintptr) {
	switch n, _, err := syscall.Recvfrom(int(fd), p.buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT); {
	case n > 0:
		p.state = Readable
	case err == syscall.EAGAIN || err == syscall.EINTR:
		p.state = Idle
	}
}

// PeerClosed reports whether the peer of a descriptor has ended its sending or broken the connection,
// whether or not bytes from before are unread. It never blocks.
func PeerClosed(fd uintptr) bool {
	look := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
	n, err := unix.Poll(look, 0)
	return err == nil && n > 0 && look[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
}
