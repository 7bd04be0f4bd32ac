package httplistener

import (
	"bytes"
	"cmp"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"pumicecroft/internal/socketpeek"
)

// http2Prefix is the start of the HTTP/2 connection preface. No HTTP/1.1 request starts with it.
const http2Prefix = "PRI"

// aLongTimeAgo is a deadline in the past, which makes a waiting read fail at once.
var aLongTimeAgo = time.Unix(1, 0)

// maxUnpaused is the number of requests that a connection may have in a row while more of them are waiting to be read.
const maxUnpaused = 16

// errEvicted is the error of reads from a connection that was evicted, see clientConn.evict.
var errEvicted = errors.New("httplistener: connection closed to make room")

// requestPhase is how much of the current request of a connection has been read.
type requestPhase int

const (
	phaseIdle     requestPhase = iota // nothing since the connection was accepted or the last response ended
	phaseHeader                       // part of the header, or all of it before net/http has parsed it
	phaseBody                         // the header; the body may be incomplete
	phaseComplete                     // the whole request; its response may not have ended
)

// String returns the phase as it is logged.
func (p requestPhase) String() string {
	return [...]string{"idle", "incomplete header", "incomplete body", "complete request"}[p]
}

// clientConn is a client connection that records how much of its current request was read, and that can be
// evicted without losing a request. net/http treats a connection as idle until it has read a complete request
// header, which may arrive in several reads.
type clientConn struct {
	net.Conn
	raw          syscall.RawConn // nil: the socket can't be inspected
	disconnected atomic.Bool     // the client has disconnected; its unread bytes are discarded

	mu           sync.Mutex // held during a read system call, so that nothing is read once the connection is evicted
	phase        requestPhase
	startedAt    time.Time // when phase changed from phaseIdle
	evicted      bool      // reads fail, except for those that wait for a disconnect
	readDeadline time.Time // as set by net/http and by handlers
	fields       fieldCounter
	ahead        readAhead
	unpaused     int    // responses since the connection had nothing to read
	prefix       []byte // first bytes read, up to len(http2Prefix), to recognize HTTP/2
	isHTTP2      bool   // the prefix is http2Prefix

	// Used only by the goroutine that is currently reading:
	detectFunc    func(fd uintptr) bool // detectDisconnect
	disconnectErr error                 // what detectDisconnect found
	readFunc      func(fd uintptr) bool // readAvailable
	readBuffer    []byte                // readAvailable's argument
	readLen       int                   // readAvailable's results
	readErr       error
	rejected      bool // rejectHeader was called
}

// newClientConn wraps an accepted connection. maxFields limits the fields of a request header, and budget the bytes that
// all connections read ahead.
func newClientConn(c net.Conn, maxFields int, budget *byteBudget) *clientConn {
	cc := &clientConn{Conn: c, fields: fieldCounter{limit: maxFields}, ahead: readAhead{budget: budget}}
	if sc, ok := c.(syscall.Conn); ok {
		cc.raw, _ = sc.SyscallConn()
	}
	cc.detectFunc = cc.detectDisconnect
	cc.readFunc = cc.readAvailable
	return cc
}

// Read reads from the connection. While an HTTP/1.1 request is open, net/http reads a single byte to
// detect that the client disconnects. If that read returned a byte, net/http would stop watching, and the
// disconnect of a client that sent anything after its request would go unnoticed. Therefore such a Read
// returns nothing: it blocks until the client has disconnected or a deadline expires, and bytes that
// have arrived are kept for the next request.
func (c *clientConn) Read(p []byte) (int, error) {
	if c.disconnected.Load() {
		return 0, io.EOF
	}
	if c.raw == nil || len(p) == 0 {
		return c.Conn.Read(p)
	}
	if len(p) == 1 && c.completeRequest() {
		return c.waitForDisconnect()
	}
	c.readBuffer, c.readLen, c.readErr = p, 0, nil
	var err error
	if !c.readKept() {
		err = c.raw.Read(c.readFunc)
	}
	c.readBuffer = nil
	if errors.Is(c.readErr, errTooManyFields) && !c.rejected {
		c.rejected = true
		c.rejectHeader()
	}
	err = cmp.Or(c.readErr, err)
	if err == nil && c.readLen == 0 {
		return 0, io.EOF
	}
	if err != nil { // net/http answers nothing after an error of a read
		return 0, &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: err}
	}
	return c.readLen, nil
}

// readKept reads what was read ahead into readBuffer. It returns false if there is nothing. This works on an evicted
// connection too, as requests among these bytes are to be answered.
func (c *clientConn) readKept() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.rejected || c.ahead.pending() == 0 {
		return false
	}
	c.readLen = c.ahead.take(c.readBuffer)
	c.recordRead(c.readBuffer[:c.readLen])
	return true
}

// readAvailable reads what has arrived into readBuffer. It returns false if nothing has.
func (c *clientConn) readAvailable(fd uintptr) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.rejected: // net/http reads again after an error at the end of a line
		c.readErr = errTooManyFields
		return true
	case c.evicted:
		c.readErr = errEvicted
		return true
	}
	n, err := syscall.Read(int(fd), c.readBuffer)
	for errors.Is(err, syscall.EINTR) {
		n, err = syscall.Read(int(fd), c.readBuffer)
	}
	if errors.Is(err, syscall.EAGAIN) {
		c.unpaused = 0
		return false
	}
	c.readLen, c.readErr = max(0, n), err
	if n > 0 {
		c.recordRead(c.readBuffer[:n])
	}
	return true
}

// recordRead records that part of a request was read. c.mu must be held.
func (c *clientConn) recordRead(p []byte) {
	if c.phase == phaseIdle {
		c.phase, c.startedAt = phaseHeader, time.Now()
	}
	missing := len(http2Prefix) - len(c.prefix)
	if missing > 0 && bytes.HasPrefix([]byte(http2Prefix), c.prefix) {
		c.prefix = append(c.prefix, p[:min(len(p), missing)]...)
		c.isHTTP2 = string(c.prefix) == http2Prefix
	}
	if c.phase == phaseHeader && !c.isHTTP2 && !c.fields.add(p) {
		c.readErr = errTooManyFields
	}
}

// completeRequest reports whether a request is open whose header was read, and records that it was read
// completely: net/http reads a single byte only to wait for a disconnect, after the end of the body.
func (c *clientConn) completeRequest() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase < phaseBody || c.isHTTP2 {
		return false
	}
	c.markComplete()
	return true
}

// markComplete records that the open request was read completely. It has to be answered even if the connection
// has been evicted meanwhile. c.mu must be held.
func (c *clientConn) markComplete() {
	if c.phase == phaseBody && c.evicted {
		_ = c.Conn.SetReadDeadline(c.readDeadline)
	}
	c.phase = phaseComplete
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

// Close closes the connection.
func (c *clientConn) Close() error {
	c.mu.Lock()
	c.ahead.close()
	c.mu.Unlock()
	return c.Conn.Close()
}

// SetReadDeadline sets the deadline of reads. It does not wake up an evicted connection, which keeps its deadline in
// the past until its request is complete.
func (c *clientConn) SetReadDeadline(deadline time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readDeadline = deadline
	if c.evicted && c.phase != phaseComplete {
		return nil
	}
	return c.Conn.SetReadDeadline(deadline)
}

// evict makes further reads fail, so that net/http closes the connection, unless it has read a complete request
// already. Such a request is answered first. evict returns false, and does nothing, if the request is in another phase
// than the given one by now.
func (c *clientConn) evict(phase requestPhase) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase != phase {
		return false
	}
	c.evicted = true
	_ = c.Conn.SetReadDeadline(aLongTimeAgo) // it fails only if the connection is closed already
	return true
}

// beginRequest records that net/http has parsed the header of a request. multiplexed means that the connection may
// have several requests at once, so that it is unknown how much of each was read.
func (c *clientConn) beginRequest(multiplexed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase = phaseBody
	if multiplexed || c.isHTTP2 {
		c.markComplete()
	}
	if c.startedAt.IsZero() { // all of it was read along with the request before
		c.startedAt = time.Now()
	}
}

// takePause reports whether the connection has had so many requests without a pause that others must have a turn, and
// begins to count again if so.
func (c *clientConn) takePause() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.unpaused < maxUnpaused {
		return false
	}
	c.unpaused = 0
	return true
}

// bodyless records that the open request has no body.
func (c *clientConn) bodyless() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.markComplete()
	c.fields.bodyless = true
}

// endRequest records that the response to a request has ended.
func (c *clientConn) endRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase, c.startedAt = phaseIdle, time.Time{}
	if c.evicted {
		_ = c.Conn.SetReadDeadline(aLongTimeAgo)
	}
	c.unpaused++
	c.fields.nextRequest()
}

// state returns the phase of the current request and when it began.
func (c *clientConn) state() (requestPhase, time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.phase, c.startedAt
}

// SyscallConn lets socketpeek inspect the socket.
func (c *clientConn) SyscallConn() (syscall.RawConn, error) {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, syscall.ENOTSUP
	}
	return sc.SyscallConn()
}

// clientDisconnected reports, without blocking, whether the client of a connection has disconnected, or this side has
// closed the connection.
func clientDisconnected(c net.Conn) (gone bool) {
	cc, ok := c.(*clientConn)
	if !ok || cc.raw == nil {
		return false
	}
	err := cc.raw.Control(func(fd uintptr) { gone = socketpeek.PeerClosed(fd) })
	return gone || err != nil
}

// requestPending reports whether part of a request has arrived on a connection that net/http considers
// idle.
func requestPending(c net.Conn) bool {
	c = underlyingConn(c)
	// Check the socket before the phase: in the reverse order, bytes that the server reads between the two
	// checks would be missed by both.
	state := socketpeek.Peek(c)
	if state == socketpeek.Readable {
		return true
	}
	cc, ok := c.(*clientConn)
	if !ok {
		return false
	}
	cc.mu.Lock()
	defer cc.mu.Unlock()
	return cc.phase != phaseIdle || cc.ahead.pending() > 0
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
