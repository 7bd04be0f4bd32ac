// Package unread has connections that know whether all that has arrived on them was read. After a
// process pause this tells whether something that the peer sent meanwhile is still to be handled.
package unread

import (
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"pumicecroft/internal/socketpeek"
)

// Conn is a connection that knows whether all that has arrived was read. One goroutine at a time may
// read it; its other methods are safe for concurrent use.
type Conn struct {
	net.Conn
	raw    syscall.RawConn // nil: it can't be known
	peeker *socketpeek.Peeker
	onWait func() // called each time that the reader finds nothing, and at the end

	mu        sync.Mutex // held during a read, so that nothing is read and not yet counted
	waiting   bool       // the reader has found nothing, and waits
	closed    bool
	bytesRead uint64 // bytes that were read
}

// New returns a Conn. tell, unless it is nil, is called by the reading goroutine each time that it
// finds nothing to read, and by Close; no lock is held.
func New(c net.Conn, tell func()) *Conn {
	u := &Conn{Conn: c, onWait: tell, peeker: socketpeek.New(c)}
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
		c.waiting = failed == syscall.EAGAIN
		c.bytesRead += uint64(max(0, n))
		empty := c.waiting
		c.mu.Unlock()
		if empty && c.onWait != nil {
			c.onWait()
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
	c.closed, c.waiting = true, false
	c.mu.Unlock()
	err := c.Conn.Close()
	if c.onWait != nil {
		c.onWait()
	}
	return err
}

// FullyRead reports whether all that has arrived was read and handled: the reader waits for more, and
// there is no more. It returns false where that can't be known.
func (c *Conn) FullyRead() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.raw == nil || c.closed || !c.waiting {
		return false
	}
	return c.peeker.Peek() == socketpeek.Idle
}

// BytesRead returns how many bytes were read.
func (c *Conn) BytesRead() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.bytesRead
}

// AfterSilence calls silent when nothing was heard for the duration after, unless longer returns that there is
// more to wait for, and for how long. Guards against an alarm by this process's own pause: what the
// peer said meanwhile has arrived and is unread, and longer sees that. The timer may be stopped and
// reset as any other.
func AfterSilence(after time.Duration, longer func() time.Duration, silent func()) *time.Timer {
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
