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

// connTable limits the number of client connections. When a new connection exceeds the limit, one
// without an open request is closed, whether it is waiting for its first or a later request:
// evictionCandidate selects it. A request is open from when its header has been read until its response
// has ended; a connection with an open request is never closed. A connTable is safe for concurrent use.
type connTable struct {
	maxConns int

	mu      sync.Mutex
	changed chan struct{} // closed at the next state change; nil: nothing waits for it
	open    map[net.Conn]*list.Element
	order   *list.List // of *trackedConn; idle ones are ordered by when they became idle, oldest first
}

// trackedConn is an entry of a connTable.
type trackedConn struct {
	conn net.Conn
	busy bool // a request is open
	used bool // a request header has been read on it
}

func newConnTable(maxConns int) *connTable {
	return &connTable{maxConns: maxConns, open: map[net.Conn]*list.Element{}, order: list.New()}
}

// onStateChange is the ConnState hook of http.Server, which calls it with StateNew before it serves the
// connection.
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
			runtime.Gosched() // gives goroutines of other new connections a chance to read requests that have arrived
			t.mu.Lock()
			t.evictIdle(c)
		}
	case http.StateIdle:
		t.setIdle(c)
	case http.StateActive:
		t.setBusy(c)
	default: // http.StateClosed or http.StateHijacked
		if e := t.open[c]; e != nil {
			t.order.Remove(e)
			delete(t.open, c)
		}
	}
}

// setIdle marks a connection as idle after its response.
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

// setBusy marks a connection as busy after the header of a request was read.
func (t *connTable) setBusy(c net.Conn) {
	if cc, ok := underlyingConn(c).(*clientConn); ok {
		cc.busy.Store(true)
	}
	if e := t.open[c]; e != nil {
		tracked := e.Value.(*trackedConn)
		tracked.busy, tracked.used = true, true
	}
}

// evictIdle closes idle connections until at most maxConns are left or all have an open request. The
// caller holds t.mu.
func (t *connTable) evictIdle(newest net.Conn) {
	for over := len(t.open) - t.maxConns; over > 0; over-- {
		candidate := t.evictionCandidate(newest)
		if candidate == nil {
			return
		}
		c := t.order.Remove(candidate).(*trackedConn).conn
		delete(t.open, c)
		_ = c.Close()
	}
}

// evictionCandidate returns the connection to close, or nil if all have an open request. In order of
// preference:
//
//  1. The connection other than newest that has been idle for longest and on which nothing has arrived
//     since then. Bytes that have arrived, read or not, are the start of a request, which closing the
//     connection would lose.
//  2. The connection whose request header has been incomplete for longest. Otherwise clients that start
//     requests and never complete them could lock out new clients, whose first bytes arrive just after
//     they have connected.
//  3. The connection that has been idle for the shortest time.
func (t *connTable) evictionCandidate(newest net.Conn) *list.Element {
	var shortestIdle, oldestPartial *list.Element
	var oldestStart int64
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
		if ok && cc.requestStarted.Load() && (oldestPartial == nil || cc.startedAt.Load() < oldestStart) {
			oldestPartial, oldestStart = e, cc.startedAt.Load()
		}
	}
	return cmp.Or(oldestPartial, shortestIdle)
}

// closeIdle closes idle connections until all remaining ones have an open request, or ctx is done. It
// does not close a connection on which bytes have arrived since its last response: that would lose a
// request that the client has sent. It does not close a connection before its first request either; if
// none arrives, the server's header timeout closes that connection.
func (t *connTable) closeIdle(ctx context.Context) {
	for {
		remaining, changed := t.closeIdleNow()
		if remaining == 0 {
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// closeIdleNow closes the connections that closeIdle may close now. remaining is the number of those
// that have no open request but may not be closed yet; changed is closed at the next state change.
func (t *connTable) closeIdleNow() (remaining int, changed <-chan struct{}) {
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
			remaining++
		}
	}
	if t.changed == nil {
		t.changed = make(chan struct{})
	}
	return remaining, t.changed
}
