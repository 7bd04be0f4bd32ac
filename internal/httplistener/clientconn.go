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

// http2Prefix is how an HTTP/2 connection begins. No HTTP/1.1 request begins with it.
const http2Prefix = "PRI"

// clientListener accepts clientConns.
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
	cc.detect = cc.detectEnd
	return cc, nil
}

// clientConn is a client's connection. It knows whether a request has begun on it: net/http takes a
// connection for idle until it has read a complete header, which may come in pieces.
type clientConn struct {
	net.Conn
	raw            syscall.RawConn // nil: the socket can't be inspected
	requestStarted atomic.Bool     // bytes were read since it was new or idle
	startedAt      atomic.Int64    // when requestStarted was set, Unix time in nanoseconds
	busy           atomic.Bool     // a request is open whose header was read
	clientGone     atomic.Bool     // the client has disconnected; what it sent before is not read any more

	// For the one goroutine that reads at a time:
	prefix []byte                // first bytes that were read, until it is known whether this is HTTP/2
	detect func(fd uintptr) bool // detectEnd
	endErr error                 // result of detect
}

// Read reads from the connection. While an HTTP/1.1 request is open, net/http reads a single byte to
// notice that the client disconnects. If that byte arrived, net/http would notice nothing further, and a
// client that sends anything behind its request could disconnect unseen. So such a Read takes no byte: it
// waits until the client has disconnected, or a deadline ends it. What has arrived stays in the socket.
func (c *clientConn) Read(p []byte) (int, error) {
	if c.clientGone.Load() {
		return 0, io.EOF
	}
	if len(p) == 1 && c.raw != nil && c.busy.Load() && string(c.prefix) != http2Prefix {
		return c.waitForEnd()
	}
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.noteRead(p[:n])
	}
	return n, err
}

// waitForEnd waits until the client has disconnected.
func (c *clientConn) waitForEnd() (int, error) {
	c.endErr = nil
	if err := c.raw.Read(c.detect); err != nil { // a deadline, or the connection was closed here
		return 0, err
	}
	c.clientGone.Store(true)
	return 0, c.endErr
}

// noteRead takes in bytes that were read.
func (c *clientConn) noteRead(p []byte) {
	if !c.requestStarted.Load() {
		c.startedAt.Store(time.Now().UnixNano())
		c.requestStarted.Store(true)
	}
	missing := len(http2Prefix) - len(c.prefix)
	if missing > 0 && bytes.HasPrefix([]byte(http2Prefix), c.prefix) {
		c.prefix = append(c.prefix, p[:min(len(p), missing)]...)
	}
}

// detectEnd reports whether the client has disconnected, and sets endErr.
func (c *clientConn) detectEnd(fd uintptr) bool {
	switch n, err := peekByte(fd); {
	case n > 0:
		if !socketpeek.PeerClosed(fd) {
			return false
		}
		c.endErr = io.EOF
	case errors.Is(err, syscall.EAGAIN) || errors.Is(err, syscall.EINTR):
		return false
	case err != nil:
		c.endErr = err
	default:
		c.endErr = io.EOF
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

// clientDisconnected reports whether the client of a connection has disconnected. It does not block.
func clientDisconnected(c net.Conn) (gone bool) {
	if cc, ok := c.(*clientConn); ok && cc.raw != nil {
		_ = cc.raw.Control(func(fd uintptr) { gone = socketpeek.PeerClosed(fd) })
	}
	return gone
}

// requestPending reports whether part of a request has arrived on a connection that counts as idle.
func requestPending(c net.Conn) bool {
	c = underlyingConn(c)
	// The socket first: what it shows may be read by the server before requestStarted is looked at.
	state := socketpeek.Peek(c)
	cc, ok := c.(*clientConn)
	return state == socketpeek.Readable || ok && cc.requestStarted.Load()
}

// underlyingConn returns the connection that TLS runs on, or the connection itself.
func underlyingConn(c net.Conn) net.Conn {
	if t, ok := c.(interface{ NetConn() net.Conn }); ok {
		return t.NetConn()
	}
	return c
}

// peekByte returns how many bytes have arrived, at most one, and takes none.
func peekByte(fd uintptr) (n int, err error) {
	var b [1]byte
	n, _, err = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	return n, err
}
