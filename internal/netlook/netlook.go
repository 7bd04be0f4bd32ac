// Package netlook tells what can be seen on a connection without taking anything from it. It asks the system,
// and keeps nothing.
package netlook

import (
	"net"
	"syscall"
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
func At(c net.Conn) Sight {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return Ended
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return Ended
	}
	seen := Ended
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		switch n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT); {
		case n > 0:
			seen = Waiting
		case err == syscall.EAGAIN || err == syscall.EINTR:
			seen = Clean
		}
	})
	if err != nil {
		return Ended
	}
	return seen
}
