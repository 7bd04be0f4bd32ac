package httplistener

import (
	"cmp"
	"container/list"
	"context"
	"net"
	"net/http"
	"runtime"
	"sync"
)

// connTable bounds the connections of clients. When there is one too many, the one that was idle for
// longest is closed, be it between requests or before its first one. A connection with an open request is
// never closed. It is safe for concurrent use.
type connTable struct {
	maxConns int

	mu      sync.Mutex
	changed chan struct{} // closed at the next change; nil: nobody waits for it
	open    map[net.Conn]*list.Element
	order   *list.List // of *trackedConn; the idle ones by the time since which they are
}

// trackedConn is one connection of a client.
type trackedConn struct {
	conn net.Conn
	busy bool // a request is open
	used bool // it has had a request
}

func newConnTable(maxConns int) *connTable {
	return &connTable{maxConns: maxConns, open: map[net.Conn]*list.Element{}, order: list.New()}
}

// onStateChange is http.Server's ConnState hook. It is called for a new connection before that is served.
func (t *connTable) onStateChange(c net.Conn, state http.ConnState) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.changed != nil {
		close(t.changed)
		t.changed = nil
	}
	switch state {
	case http.StateNew:
		t.open[c] = t.order.PushBack(&trackedConn{conn: c})
		if len(t.open) > t.maxConns {
			t.mu.Unlock()
			runtime.Gosched() // lets what has arrived on other new connections be read first
			t.mu.Lock()
			t.evictIdle(c)
		}
	case http.StateIdle:
		t.setIdle(c)
	case http.StateActive:
		t.setBusy(c)
	default:
		if e := t.open[c]; e != nil {
			t.order.Remove(e)
			delete(t.open, c)
		}
	}
}

// setIdle takes in that the request of a connection has been answered.
func (t *connTable) setIdle(c net.Conn) {
	e := t.open[c]
	if e == nil {
		return // evicted
	}
	if cc, ok := underlyingConn(c).(*clientConn); ok {
		cc.requestStarted.Store(false)
		cc.busy.Store(false)
	}
	e.Value.(*trackedConn).busy = false
	t.order.MoveToBack(e)
}

// setBusy takes in that a request's header was read on a connection.
func (t *connTable) setBusy(c net.Conn) {
	if cc, ok := underlyingConn(c).(*clientConn); ok {
		cc.busy.Store(true)
	}
	if e := t.open[c]; e != nil {
		tracked := e.Value.(*trackedConn)
		tracked.busy, tracked.used = true, true
	}
}

// evictIdle closes idle connections until at most maxConns are left, or all have a request open. The
// caller holds the lock.
func (t *connTable) evictIdle(newest net.Conn) {
	for over := len(t.open) - t.maxConns; over > 0; over-- {
		victim := t.victim(newest)
		if victim == nil {
			return
		}
		c := t.order.Remove(victim).(*trackedConn).conn
		delete(t.open, c)
		_ = c.Close()
	}
}

// victim returns the connection to close, nil if all have a request open: the one that was idle for
// longest. A connection on which bytes have arrived since its last response, read or not, is spared if
// there is another: closing it would lose the request that has begun there. If there is no other but the
// newest, the one goes whose request header has been incomplete for longest. Otherwise clients that begin
// requests and never complete them would keep all others out, whose first bytes come right behind their
// connections.
func (t *connTable) victim(newest net.Conn) *list.Element {
	var shortestIdle, slowest *list.Element
	var slowestStart int64
	for e := t.order.Front(); e != nil; e = e.Next() {
		tracked := e.Value.(*trackedConn)
		if tracked.busy {
			continue
		}
		shortestIdle = e
		if !requestPending(tracked.conn) {
			if tracked.conn != newest {
				return e
			}
			continue
		}
		cc, ok := underlyingConn(tracked.conn).(*clientConn)
		if ok && cc.requestStarted.Load() && (slowest == nil || cc.startedAt.Load() < slowestStart) {
			slowest, slowestStart = e, cc.startedAt.Load()
		}
	}
	return cmp.Or(slowest, shortestIdle)
}

// closeIdle closes connections that are between requests, until each that is left has a request open, or
// ctx ends. A connection on which bytes have arrived since its last response is spared: closing it would
// lose a request that its client has sent. So is a new one until it has sent a request or timed out.
func (t *connTable) closeIdle(ctx context.Context) {
	for {
		waiting, changed := t.closeIdleNow()
		if waiting == 0 {
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// closeIdleNow closes the connections that may be closed, and returns how many others have no request
// open, and a channel that is closed at the next change.
func (t *connTable) closeIdleNow() (waiting int, changed <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var next *list.Element
	for e := t.order.Front(); e != nil; e = next {
		next = e.Next()
		tracked := e.Value.(*trackedConn)
		switch {
		case tracked.busy:
		case tracked.used && !requestPending(tracked.conn):
			t.order.Remove(e)
			delete(t.open, tracked.conn)
			_ = tracked.conn.Close()
		default:
			waiting++
		}
	}
	if t.changed == nil {
		t.changed = make(chan struct{})
	}
	return waiting, t.changed
}
