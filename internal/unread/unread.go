// Package unread wraps connections to report whether all bytes that have arrived on them were read. After
// this process was paused, for example by SIGSTOP, the caller can thus tell a peer that has sent nothing
// from one whose bytes have arrived during the pause and are not handled yet.
package unread

import (
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"pumicecroft/internal/socketpeek"
)

// Conn is a connection that records whether all bytes that have arrived were read. Only one goroutine at
// a time may call Read; the other methods are safe for concurrent use.
type Conn struct {
	net.Conn
	raw    syscall.RawConn // nil: unread bytes can't be detected
	peeker *socketpeek.Peeker
	onWait func() // called each time that Read finds nothing to read, and once more by Close; may be nil

	mu        sync.Mutex // held from the read system call to the update of waiting: FullyRead can't run between them
	waiting   bool       // Read has found nothing to read and is waiting
	closed    bool
	bytesRead uint64
}

// New returns a Conn. Unless onWait is nil, the reading goroutine calls it each time that there is nothing
// to read, and Close calls it. No lock is held during the call.
func New(c net.Conn, onWait func()) *Conn {
	u := &Conn{Conn: c, onWait: onWait, peeker: socketpeek.New(c)}
	if sc, ok := c.(syscall.Conn); ok {
		u.raw, _ = sc.SyscallConn()
	}
	return u
}

// Read reads from the connection and records whether it has to wait for bytes.
func (c *Conn) Read(p []byte) (n int, err error) {
	if c.raw == nil || len(p) == 0 {
		return c.Conn.Read(p)
	}
	var readErr error
	err = c.raw.Read(func(fd uintptr) bool {
		c.mu.Lock()
		for {
			n, readErr = syscall.Read(int(fd), p)
			if readErr != syscall.EINTR {
				break
			}
		}
		c.waiting = readErr == syscall.EAGAIN
		c.bytesRead += uint64(max(0, n))
		empty := c.waiting
		c.mu.Unlock()
		if empty && c.onWait != nil {
			c.onWait()
		}
		return !empty
	})
	switch {
	case err != nil: // the connection was closed on this side, or a deadline expired
		return 0, err
	case readErr != nil:
		return 0, &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: readErr}
	case n == 0:
		return 0, io.EOF
	}
	return n, nil
}

// Close closes the connection and calls onWait.
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

// FullyRead reports whether all bytes that have arrived were read and handled: Read is waiting for more,
// and the socket has none. It assumes that the reading goroutine handles what it has read before it calls
// Read again. It returns false if unread bytes can't be detected.
func (c *Conn) FullyRead() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.raw == nil || c.closed || !c.waiting {
		return false
	}
	return c.peeker.Peek() == socketpeek.Idle
}

// BytesRead returns the number of bytes read so far.
func (c *Conn) BytesRead() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.bytesRead
}

// AfterInactivity returns a timer that calls onTimeout after the given timeout. When the timer expires, it
// first calls extendBy; if extendBy returns a positive duration, the timer is reset to that duration and
// onTimeout is not called. This avoids a false timeout after a pause of this process: extendBy can detect
// that bytes of the peer have arrived during the pause and are still unread. The caller may stop and reset
// the timer like any other.
func AfterInactivity(timeout time.Duration, extendBy func() time.Duration, onTimeout func()) *time.Timer {
	var t *time.Timer
	timerSet := make(chan struct{}) // closed when t is assigned: the timer may expire before that
	t = time.AfterFunc(timeout, func() {
		<-timerSet
		if more := extendBy(); more > 0 {
			t.Reset(more)
		} else {
			onTimeout()
		}
	})
	close(timerSet)
	return t
}
