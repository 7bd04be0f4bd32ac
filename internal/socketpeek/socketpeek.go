// Package socketpeek tells what can be seen on a connection without taking anything from it. It asks the system,
// and keeps nothing.
package socketpeek

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// Sight is what can be seen on a connection.
type Sight uint8

// The sights.
const (
	Clean   Sight = iota // nothing has come
	Waiting              // something has come
	Ended                // the other side has closed it, or it is broken
)

// At looks whether something has come on a connection that nobody has read yet. It never waits.
func At(c net.Conn) Sight { return New(c).Peek() }

// Peeker looks at one connection again and again. It is not safe for concurrent use.
type Peeker struct {
	raw  syscall.RawConn // nil: there is nothing that could be seen
	look func(fd uintptr)
	seen Sight
	b    [1]byte
}

// New makes a Looker.
func New(c net.Conn) *Peeker {
	l := &Peeker{}
	if sc, ok := c.(syscall.Conn); ok {
		if raw, err := sc.SyscallConn(); err == nil {
			l.raw, l.look = raw, l.peek
		}
	}
	return l
}

// Peek tells what can be seen now. It never waits.
func (l *Peeker) Peek() Sight {
	l.seen = Ended
	if l.raw == nil || l.raw.Control(l.look) != nil {
		return Ended
	}
	return l.seen
}

func (l *Peeker) peek(fd uintptr) {
	switch n, _, err := syscall.Recvfrom(int(fd), l.b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT); {
	case n > 0:
		l.seen = Waiting
	case err == syscall.EAGAIN || err == syscall.EINTR:
		l.seen = Clean
	}
}

// Gone tells whether the other side of a descriptor has ended its sending or broken the connection, whatever of what it sent before is
// still unread. It never waits.
func Gone(fd uintptr) bool {
	look := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
	n, err := unix.Poll(look, 0)
	return err == nil && n > 0 && look[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
}
