package httplistener

import (
	"bytes"
	"cmp"
	"container/list"
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"pumicecroft/internal/socketpeek"
)

// clientListener accepts connections that know whether a request has begun on them. The server takes a connection for
// idle until it has read a whole head, and a head may come in pieces.
type clientListener struct{ net.Listener }

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

// clientConn is a client's connection.
type clientConn struct {
	net.Conn
	raw            syscall.RawConn // nil: nothing can be seen of it
	requestStarted atomic.Bool     // something has been read since it was new or idle
	startedAt      atomic.Int64    // when that was, Unix time in nanoseconds
	busy           atomic.Bool     // a request is open, whose head has been read
	clientGone     atomic.Bool     // its client has left, and what it had sent before is not read any more

	// One goroutine reads at a time; the rest is its own.
	prefix []byte // of what was read, until it is known whether HTTP/2 is spoken here
	detect func(fd uintptr) bool
	endErr error // what look has found
}

// http2Prefix is how a client begins that speaks HTTP/2; no request of HTTP/1.1 begins so.
const http2Prefix = "PRI"

// Read reads as the connection does. But while a request of HTTP/1.1 is open the server reads one byte, only to learn whether the client
// leaves, and a byte that comes would be the last thing that it learns: whoever sends anything behind its request could leave unseen. So
// then nothing is taken, and Read waits for the client's leaving, or to be called off by a deadline. What has come stays in the socket.
func (c *clientConn) Read(p []byte) (int, error) {
	if c.clientGone.Load() {
		return 0, io.EOF
	}
	if len(p) == 1 && c.raw != nil && c.busy.Load() && string(c.prefix) != http2Prefix {
		c.endErr = nil
		if err := c.raw.Read(c.detect); err != nil { // a deadline, or it is closed here
			return 0, err
		}
		c.clientGone.Store(true)
		return 0, c.endErr
	}
	n, err := c.Conn.Read(p)
	if n > 0 {
		if !c.requestStarted.Load() {
			c.startedAt.Store(time.Now().UnixNano())
			c.requestStarted.Store(true)
		}
		if have := len(c.prefix); have < len(http2Prefix) && bytes.HasPrefix([]byte(http2Prefix), c.prefix) {
			c.prefix = append(c.prefix, p[:min(n, len(http2Prefix)-have)]...)
		}
	}
	return n, err
}

// detectEnd tells whether the client has left.
func (c *clientConn) detectEnd(fd uintptr) bool {
	switch n, err := peekByte(fd); {
	case n > 0:
		if !socketpeek.Gone(fd) {
			return false
		}
		c.endErr = io.EOF
	case err == syscall.EAGAIN || err == syscall.EINTR:
		return false
	case err != nil:
		c.endErr = err
	default:
		c.endErr = io.EOF
	}
	return true
}

// clientDisconnected tells whether a client has left. It never waits.
func clientDisconnected(c net.Conn) (is bool) {
	if cc, ok := c.(*clientConn); ok && cc.raw != nil {
		_ = cc.raw.Control(func(fd uintptr) { is = socketpeek.Gone(fd) })
	}
	return is
}

// peekByte tells how much has come, one byte at the most, and takes nothing.
func peekByte(fd uintptr) (n int, err error) {
	var b [1]byte
	n, _, err = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	return n, err
}

// SyscallConn lets netlook look at the connection below.
func (c *clientConn) SyscallConn() (syscall.RawConn, error) {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, syscall.ENOTSUP
	}
	return sc.SyscallConn()
}

// connTable bounds the connections that clients hold. Where one comes too many, the one that has been silent for
// longest is closed, be it between requests or without a first one. One with a request open is never closed.
type connTable struct {
	maxConns int

	mu      sync.Mutex
	changed chan struct{} // closed at the next change, if somebody waits for that
	open    map[net.Conn]*list.Element
	order   *list.List // of *entry: the silent ones in the order in which they fell silent, others among them
}

type trackedConn struct {
	conn net.Conn
	busy bool // a request is open
	used bool // one has been
}

func newConnTable(most int) *connTable {
	return &connTable{maxConns: most, open: map[net.Conn]*list.Element{}, order: list.New()}
}

// onStateChange is the server's hook: it hears of every change of a connection's state, of a new one before it is served.
func (t *connTable) onStateChange(c net.Conn, state http.ConnState) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.changed != nil {
		close(t.changed)
		t.changed = nil
	}
	e := t.open[c]
	cc, _ := underlyingConn(c).(*clientConn)
	switch state {
	case http.StateNew:
		t.open[c] = t.order.PushBack(&trackedConn{conn: c})
	case http.StateIdle:
		if e == nil {
			return // closed by shrink
		}
		if cc != nil {
			cc.requestStarted.Store(false) // what was read until here is answered
			cc.busy.Store(false)
		}
		e.Value.(*trackedConn).busy = false
		t.order.MoveToBack(e)
	case http.StateActive:
		if cc != nil {
			cc.busy.Store(true)
		}
		if e != nil {
			e.Value.(*trackedConn).busy, e.Value.(*trackedConn).used = true, true
		}
	default:
		if e != nil {
			t.order.Remove(e)
			delete(t.open, c)
		}
	}
	if state == http.StateNew && len(t.open) > t.maxConns {
		t.mu.Unlock()
		runtime.Gosched() // what has come on the connections taken just now is read first
		t.mu.Lock()
		t.evictIdle(c)
	}
}

// evictIdle closes the longest silent until the rest are few enough. One on which something has come since its last
// answer, be it read or not, is spared, if there is another: closing it would lose the request that has begun there.
// If there is none but the newest, the one goes that has been at its head for longest: clients that begin requests and do not
// end them would else keep all others out, whose first byte comes right behind their connection.
func (t *connTable) evictIdle(newest net.Conn) {
	for over := len(t.open) - t.maxConns; over > 0; over-- {
		var last, slow, pick *list.Element // the shortest silent; the longest at its head; the one to go
		var since int64                    // when that had begun
		for e := t.order.Front(); e != nil && pick == nil; e = e.Next() {
			if en := e.Value.(*trackedConn); !en.busy {
				last = e
				if !requestPending(en.conn) {
					if en.conn != newest {
						pick = e
					}
				} else if cc, ok := underlyingConn(en.conn).(*clientConn); ok && cc.requestStarted.Load() && (slow == nil || cc.startedAt.Load() < since) {
					slow, since = e, cc.startedAt.Load()
				}
			}
		}
		if pick = cmp.Or(pick, slow, last); pick == nil {
			return // all have a request open
		}
		c := t.order.Remove(pick).(*trackedConn).conn
		delete(t.open, c)
		c.Close()
	}
}

// closeIdle closes connections that are between requests, until each that is left has a request open, or ctx ends. One on which something has come
// since its last answer is spared, and so is a new one until it has asked or was silent for too long: closing it would lose a request that
// its client has sent.
func (t *connTable) closeIdle(ctx context.Context) {
	for {
		t.mu.Lock()
		waits := 0
		for e := t.order.Front(); e != nil; {
			en, next := e.Value.(*trackedConn), e.Next()
			if !en.busy {
				if en.used && !requestPending(en.conn) {
					t.order.Remove(e)
					delete(t.open, en.conn)
					en.conn.Close()
				} else {
					waits++
				}
			}
			e = next
		}
		if t.changed == nil {
			t.changed = make(chan struct{})
		}
		changed := t.changed
		t.mu.Unlock()
		if waits == 0 {
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// underlyingConn is the connection that TLS is on, or the connection itself.
func underlyingConn(c net.Conn) net.Conn {
	if t, ok := c.(interface{ NetConn() net.Conn }); ok {
		return t.NetConn()
	}
	return c
}

// requestPending tells whether some of a request has come on a connection that counts as silent.
func requestPending(c net.Conn) bool {
	c = underlyingConn(c)
	seen := socketpeek.At(c) // first, as what it sees may be read right behind
	cc, ok := c.(*clientConn)
	return seen == socketpeek.Waiting || ok && cc.requestStarted.Load()
}
