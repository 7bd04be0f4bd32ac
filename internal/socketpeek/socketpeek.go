// Package socketpeek tells whether something has arrived on a connection, without reading it. It asks
// the operating system, and keeps no state.
package socketpeek

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// Sight is what has arrived on a connection.
type Sight uint8

// The states of a connection.
const (
	Clean   Sight = iota // nothing has arrived
	Waiting              // bytes have arrived
	Ended                // the peer has closed it, it is broken, or it can't be seen
)

// At returns what has arrived on a connection and was not read. It never blocks.
func At(c net.Conn) Sight { return New(c).Peek() }

// Peeker looks at one connection repeatedly without allocating. It is not safe for concurrent use.
type Peeker struct {
	raw  syscall.RawConn // nil: the connection has no descriptor
	look func(fd uintptr)
	seen Sight
	b    [1]byte
}

// New returns a Peeker.
func New(c net.Conn) *Peeker {
	p := &Peeker{}
	if sc, ok := c.(syscall.Conn); ok {
		if raw, err := sc.SyscallConn(); err == nil {
			p.raw, p.look = raw, p.peek
		}
	}
	return p
}

// Peek returns what has arrived and was not read. It never blocks.
func (p *Peeker) Peek() Sight {
	p.seen = Ended
	if p.raw == nil || p.raw.Control(p.look) != nil {
		return Ended
	}
	return p.seen
}

func (p *Peeker) peek(fd uintptr) {
	switch n, _, err := syscall.Recvfrom(int(fd), p.b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT); {
	case n > 0:
		p.seen = Waiting
	case err == syscall.EAGAIN || err == syscall.EINTR:
		p.seen = Clean
	}
}

// Gone reports whether the peer of a descriptor has ended its sending or broken the connection,
// whether or not bytes from before are unread. It never blocks.
func Gone(fd uintptr) bool {
	look := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
	n, err := unix.Poll(look, 0)
	return err == nil && n > 0 && look[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
}
