package httplistener

import (
	"bytes"
	"errors"
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"pumicecroft/internal/socketpeek"
)

// http2Prefix is the start of the HTTP/2 connection preface. No HTTP/1.1 request starts with it.
const http2Prefix = "PRI"

// clientListener wraps accepted connections in a clientConn.
type clientListener struct{ net.Listener }

// Accept implements net.Listener.
func (l clientListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	cc := &clientConn{Conn: c}
	if sc, ok := c.(syscall.Conn); ok {
		cc.raw, _ = sc.SyscallConn()
	}
	cc.detectFunc = cc.detectDisconnect
	return cc, nil
}

// clientConn is a client connection that records whether a request has started on it. net/http treats a
// connection as idle until it has read a complete request header, which may arrive in several reads.
type clientConn struct {
	net.Conn
	raw            syscall.RawConn // nil: the socket can't be inspected
	requestStarted atomic.Bool     // bytes were read since the connection was accepted or became idle
	startedAt      atomic.Int64    // when requestStarted was set, Unix time in nanoseconds
	busy           atomic.Bool     // a request is open whose header was read
	disconnected   atomic.Bool     // the client has disconnected; its unread bytes are discarded

	// Used only by the goroutine that is currently reading:
	prefix        []byte                // first bytes read, up to len(http2Prefix), to recognize HTTP/2
	detectFunc    func(fd uintptr) bool // detectDisconnect
	disconnectErr error                 // what detectDisconnect found
}

// Read reads from the connection. While an HTTP/1.1 request is open, net/http reads a single byte to
// detect that the client disconnects. If that read returned a byte, net/http would stop watching, and the
// disconnect of a client that sent anything after its request would go unnoticed. Therefore such a Read
// consumes nothing: it blocks until the client has disconnected or a deadline expires, and bytes that
// have arrived stay in the socket.
func (c *clientConn) Read(p []byte) (int, error) {
	if c.disconnected.Load() {
		return 0, io.EOF
	}
	if len(p) == 1 && c.raw != nil && c.busy.Load() && string(c.prefix) != http2Prefix {
		return c.waitForDisconnect()
	}
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.recordRead(p[:n])
	}
	return n, err
}

// waitForDisconnect blocks until the client has disconnected or a deadline expires.
func (c *clientConn) waitForDisconnect() (int, error) {
	c.disconnectErr = nil
	if err := c.raw.Read(c.detectFunc); err != nil { // a deadline expired, or this side closed the connection
		return 0, err
	}
	c.disconnected.Store(true)
	return 0, c.disconnectErr
}

// recordRead records that a request has started, and the first bytes of the connection.
func (c *clientConn) recordRead(p []byte) {
	if !c.requestStarted.Load() {
		c.startedAt.Store(time.Now().UnixNano())
		c.requestStarted.Store(true)
	}
	missing := len(http2Prefix) - len(c.prefix)
	if missing > 0 && bytes.HasPrefix([]byte(http2Prefix), c.prefix) {
		c.prefix = append(c.prefix, p[:min(len(p), missing)]...)
	}
}

// detectDisconnect reports whether the client has disconnected, and sets disconnectErr if so.
func (c *clientConn) detectDisconnect(fd uintptr) bool {
	switch n, err := peekByte(fd); {
	case n > 0:
		if !socketpeek.PeerClosed(fd) {
			return false
		}
		c.disconnectErr = io.EOF
	case errors.Is(err, syscall.EAGAIN) || errors.Is(err, syscall.EINTR):
		return false
	case err != nil:
		c.disconnectErr = err
	default:
		c.disconnectErr = io.EOF
	}
	return true
}

// SyscallConn lets socketpeek inspect the socket.
func (c *clientConn) SyscallConn() (syscall.RawConn, error) {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, syscall.ENOTSUP
	}
	return sc.SyscallConn()
}

// clientDisconnected reports, without blocking, whether the client of a connection has disconnected.
func clientDisconnected(c net.Conn) (gone bool) {
	if cc, ok := c.(*clientConn); ok && cc.raw != nil {
		_ = cc.raw.Control(func(fd uintptr) { gone = socketpeek.PeerClosed(fd) })
	}
	return gone
}

// requestPending reports whether part of a request has arrived on a connection that net/http considers
// idle.
func requestPending(c net.Conn) bool {
	c = underlyingConn(c)
	// Check the socket before requestStarted: in the reverse order, bytes that the server reads between
	// the two checks would be missed by both.
	state := socketpeek.Peek(c)
	cc, ok := c.(*clientConn)
	return state == socketpeek.Readable || ok && cc.requestStarted.Load()
}

// underlyingConn returns the connection below TLS, or c itself if it is not a TLS connection.
func underlyingConn(c net.Conn) net.Conn {
	if t, ok := c.(interface{ NetConn() net.Conn }); ok {
		return t.NetConn()
	}
	return c
}

// peekByte returns 1 if unread bytes have arrived, without consuming any. It returns 0 and no error at
// the end of the stream, and EAGAIN if nothing has arrived.
func peekByte(fd uintptr) (n int, err error) {
	var b [1]byte
	n, _, err = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	return n, err
}
