// Package unread tells whether all that has arrived on a connection has been read by who reads it. It takes nothing from connections but
// what they are read for, and keeps no goroutine.
package unread

import (
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"pumicecroft/internal/socketpeek"
)

// Conn is a connection that tells what of it is unread. One goroutine reads it at a time; the rest is safe for concurrent use.
type Conn struct {
	net.Conn
	raw  syscall.RawConn // nil: nothing can be told
	look *socketpeek.Peeker
	tell func() // hears of each time at which a reader found nothing, and of the end

	mu    sync.Mutex // held while the system is asked, so that nothing is read and not yet told
	empty bool       // its reader has found nothing, and waits
	ended bool
	got   uint64 // bytes that were read
}

// New makes one of a connection. tell may be nil; it is called without a lock, by the reading goroutine.
func New(c net.Conn, tell func()) *Conn {
	u := &Conn{Conn: c, tell: tell, look: socketpeek.New(c)}
	if sc, ok := c.(syscall.Conn); ok {
		u.raw, _ = sc.SyscallConn()
	}
	return u
}

// Read reads as the connection does.
func (c *Conn) Read(p []byte) (n int, err error) {
	if c.raw == nil || len(p) == 0 {
		return c.Conn.Read(p)
	}
	var failed error
	err = c.raw.Read(func(fd uintptr) bool {
		c.mu.Lock()
		for {
			n, failed = syscall.Read(int(fd), p)
			if failed != syscall.EINTR {
				break
			}
		}
		c.empty = failed == syscall.EAGAIN
		c.got += uint64(max(0, n))
		empty := c.empty
		c.mu.Unlock()
		if empty && c.tell != nil {
			c.tell()
		}
		return !empty
	})
	switch {
	case err != nil: // closed, or a deadline
		return 0, err
	case failed != nil:
		return 0, &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: failed}
	case n == 0:
		return 0, io.EOF
	}
	return n, nil
}

// Close closes the connection.
func (c *Conn) Close() error {
	c.mu.Lock()
	c.ended, c.empty = true, false
	c.mu.Unlock()
	err := c.Conn.Close()
	if c.tell != nil {
		c.tell()
	}
	return err
}

// Nothing tells whether all that has arrived has been read, and what was read has been dealt with: its reader waits for more, and
// there is no more. Where that can't be seen it says no.
func (c *Conn) Nothing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.raw == nil || c.ended || !c.empty {
		return false
	}
	return c.look.Peek() == socketpeek.Clean
}

// Got is how many bytes have been read.
func (c *Conn) Got() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.got
}

// Alarm calls silent once nothing was heard for a time, unless longer says that there is more to wait for, and for how long: if this process
// stood still, what was said meanwhile has come and waits. The timer may be stopped and reset as any other.
func Alarm(after time.Duration, longer func() time.Duration, silent func()) *time.Timer {
	var t *time.Timer
	armed := make(chan struct{})
	t = time.AfterFunc(after, func() {
		<-armed
		if more := longer(); more > 0 {
			t.Reset(more)
		} else {
			silent()
		}
	})
	close(armed)
	return t
}
