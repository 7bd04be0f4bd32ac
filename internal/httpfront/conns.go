package httpfront

import (
	"container/list"
	"net"
	"net/http"
	"runtime"
	"sync"
	"sync/atomic"
	"syscall"

	"pumicecroft/internal/netlook"
)

// clientListener accepts connections that know whether a request has begun on them. The server takes a connection for
// idle until it has read a whole head, and a head may come in pieces.
type clientListener struct{ net.Listener }

func (l clientListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &clientConn{Conn: c}, nil
}

// clientConn is a client's connection.
type clientConn struct {
	net.Conn
	begun atomic.Bool // something has been read since it was new or idle
}

func (c *clientConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.begun.Store(true)
	}
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
	most int

	mu    sync.Mutex
	open  map[net.Conn]*list.Element
	order *list.List // of *entry: the silent ones in the order in which they fell silent, others among them
}

type entry struct {
	conn net.Conn
	busy bool // a request is open
}

func newConnTable(most int) *connTable {
	return &connTable{most: most, open: map[net.Conn]*list.Element{}, order: list.New()}
}

// note is the server's hook: it hears of every change of a connection's state, of a new one before it is served.
func (t *connTable) note(c net.Conn, state http.ConnState) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.open[c]
	switch state {
	case http.StateNew:
		t.open[c] = t.order.PushBack(&entry{conn: c})
	case http.StateIdle:
		if e == nil {
			return // closed by shrink
		}
		if cc, ok := below(c).(*clientConn); ok {
			cc.begun.Store(false) // what was read until here is answered
		}
		e.Value.(*entry).busy = false
		t.order.MoveToBack(e)
	case http.StateActive:
		if e != nil {
			e.Value.(*entry).busy = true
		}
	default:
		if e != nil {
			t.order.Remove(e)
			delete(t.open, c)
		}
	}
	if state == http.StateNew && len(t.open) > t.most {
		t.mu.Unlock()
		runtime.Gosched() // what has come on the connections taken just now is read first
		t.mu.Lock()
		t.shrink()
	}
}

// shrink closes the longest silent until the rest are few enough. One on which something has come since its last
// answer, be it read or not, is spared, if there is another: closing it would lose the request that has begun there.
func (t *connTable) shrink() {
	for over := len(t.open) - t.most; over > 0; over-- {
		var last, pick *list.Element // the shortest silent; the one to go
		for e := t.order.Front(); e != nil && pick == nil; e = e.Next() {
			if en := e.Value.(*entry); !en.busy {
				last = e
				if !asking(en.conn) {
					pick = e
				}
			}
		}
		if pick == nil {
			pick = last
		}
		if pick == nil {
			return // all have a request open
		}
		c := t.order.Remove(pick).(*entry).conn
		delete(t.open, c)
		c.Close()
	}
}

// below is the connection that TLS is on, or the connection itself.
func below(c net.Conn) net.Conn {
	if t, ok := c.(interface{ NetConn() net.Conn }); ok {
		return t.NetConn()
	}
	return c
}

// asking tells whether some of a request has come on a connection that counts as silent.
func asking(c net.Conn) bool {
	c = below(c)
	seen := netlook.At(c) // first, as what it sees may be read right behind
	cc, ok := c.(*clientConn)
	return seen == netlook.Waiting || ok && cc.begun.Load()
}
