package frontdoor

import (
	"container/list"
	"net"
	"net/http"
	"runtime"
	"sync"
	"syscall"
)

// connTable bounds the connections that clients hold. Where one comes too many, the one that has been silent for
// longest is closed, be it between requests or without a first one. One with a request open is never closed.
type connTable struct {
	most int

	mu    sync.Mutex
	open  map[net.Conn]*list.Element // nil while a request is open
	quiet *list.List                 // of net.Conn, the longest silent first
}

func newConnTable(most int) *connTable {
	return &connTable{most: most, open: map[net.Conn]*list.Element{}, quiet: list.New()}
}

// note is the server's hook: it hears of every change of a connection's state, of a new one before it is served.
func (t *connTable) note(c net.Conn, state http.ConnState) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.open[c]; e != nil {
		t.quiet.Remove(e)
	}
	switch state {
	case http.StateNew, http.StateIdle:
		t.open[c] = t.quiet.PushBack(c)
	case http.StateActive:
		t.open[c] = nil
	default:
		delete(t.open, c)
	}
	if state == http.StateNew && len(t.open) > t.most {
		t.mu.Unlock()
		runtime.Gosched() // what has come on the connections taken just now is read first
		t.mu.Lock()
		t.shrink()
	}
}

// shrink closes the longest silent until the rest are few enough. One on which something has come that is not read
// yet is spared, if there is another.
func (t *connTable) shrink() {
	for over := len(t.open) - t.most; over > 0 && t.quiet.Len() > 0; over-- {
		e := t.quiet.Front()
		for e.Next() != nil && pending(e.Value.(net.Conn)) == waiting {
			e = e.Next()
		}
		c := t.quiet.Remove(e).(net.Conn)
		delete(t.open, c)
		c.Close()
	}
}

// sight is what can be seen on a connection without taking anything from it.
type sight uint8

const (
	clean   sight = iota // nothing has come
	waiting              // something has come
	ended                // the other side has closed it, or it is broken
)

// pending looks whether something has come on a connection that nobody has read yet.
func pending(c net.Conn) sight {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return ended
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return ended
	}
	seen := ended
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		switch n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT); {
		case n > 0:
			seen = waiting
		case err == syscall.EAGAIN || err == syscall.EINTR:
			seen = clean
		}
	})
	if err != nil {
		return ended
	}
	return seen
}
