// Package socketpeek reports whether unread bytes have arrived on a connection, without reading them. It
// asks the operating system each time and keeps no state.
package socketpeek

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// State is the read state of a connection.
type State uint8

// The states of a connection.
const (
	Idle     State = iota // no unread bytes
	Readable              // unread bytes
	Closed                // the peer has closed the connection, it has failed, or its state is unknown
)

// Peek returns the state of a connection. It never blocks.
func Peek(c net.Conn) State { return New(c).Peek() }

// Peeker returns the state of one connection repeatedly without allocating. It is not safe for
// concurrent use.
type Peeker struct {
	raw     syscall.RawConn // nil: the connection has no file descriptor
	control func(fd uintptr)
	state   State
	buffer  [1]byte
}

// New returns a Peeker for a connection.
func New(c net.Conn) *Peeker {
	p := &Peeker{}
	if sc, ok := c.(syscall.Conn); ok {
		if raw, err := sc.SyscallConn(); err == nil {
			p.raw, p.control = raw, p.peek
		}
	}
	return p
}

// Peek returns the current state of the connection. It never blocks.
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

// PeerClosed reports whether the peer of a socket has closed its sending side or the connection has
// failed, even if bytes that arrived before are still unread. It never blocks.
func PeerClosed(fd uintptr) bool {
	pollFds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
	n, err := unix.Poll(pollFds, 0)
	return err == nil && n > 0 && pollFds[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
}
