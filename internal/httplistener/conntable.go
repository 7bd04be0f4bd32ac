package httplistener

import (
	"container/list"
	"context"
	"log/slog"
	"net"
	"net/http"
	"runtime"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// connTable limits the number of client connections. When a new connection exceeds the limit, one whose
// request has not been read completely is evicted: evictionCandidate selects it. A connection is never closed
// between the end of its request and the end of its response. A connTable is safe for concurrent use.
type connTable struct {
	maxConns  int
	log       *slog.Logger
	logLimit  rate.Sometimes
	readAhead byteBudget // of all connections

	mu       sync.Mutex
	changed  chan struct{} // closed at the next state change; nil: nothing waits for it
	open     map[net.Conn]*list.Element
	order    *list.List // of *trackedConn; idle ones are ordered by when they became idle, oldest first
	evicting int        // connections that were evicted and are still open
	stats    connStats
}

// connStats counts the connections that were closed because of the limit.
type connStats struct {
	evicted map[requestPhase]int // by the phase of the request
	refused int                  // when they were accepted
}

// trackedConn is an entry of a connTable.
type trackedConn struct {
	conn       net.Conn
	acceptedAt time.Time
	busy       bool // a request is open
	requests   int  // number of requests whose headers have been read
	evicted    bool // it was evicted and has no request to answer
}

func newConnTable(maxConns int, log *slog.Logger) *connTable {
	return &connTable{
		maxConns:  maxConns,
		log:       log,
		readAhead: byteBudget{limit: int64(maxConns) * readAheadPerConn},
		logLimit:  rate.Sometimes{First: evictionLogBurst, Interval: evictionLogInterval},
		open:      map[net.Conn]*list.Element{},
		order:     list.New(),
		stats:     connStats{evicted: map[requestPhase]int{}},
	}
}

// onStateChange is the ConnState hook of http.Server, which calls it with StateNew before it serves the
// connection.
func (t *connTable) onStateChange(c net.Conn, state http.ConnState) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.notifyChanged()
	switch state {
	case http.StateNew:
		t.open[c] = t.order.PushBack(&trackedConn{conn: c, acceptedAt: time.Now()})
		if t.excess() > 0 {
			t.mu.Unlock()
			runtime.Gosched() // gives goroutines of other new connections a chance to read requests that have arrived
			t.mu.Lock()
			t.evictExcess(c)
		}
	case http.StateIdle:
		t.setIdle(c)
	case http.StateActive:
		t.setBusy(c)
	default: // http.StateClosed or http.StateHijacked
		if e := t.open[c]; e != nil {
			t.setEvicted(e.Value.(*trackedConn), false)
			t.order.Remove(e)
			delete(t.open, c)
		}
	}
}

// notifyChanged wakes up those who wait for a state change. t.mu must be held.
func (t *connTable) notifyChanged() {
	if t.changed != nil {
		close(t.changed)
		t.changed = nil
	}
}

// awaitChange returns a channel that is closed at the next state change. t.mu must be held.
func (t *connTable) awaitChange() <-chan struct{} {
	if t.changed == nil {
		t.changed = make(chan struct{})
	}
	return t.changed
}

// setIdle marks a connection as idle after its response.
func (t *connTable) setIdle(c net.Conn) {
	if cc, ok := underlyingConn(c).(*clientConn); ok {
		cc.endRequest()
	}
	if e := t.open[c]; e != nil {
		e.Value.(*trackedConn).busy = false
		t.order.MoveToBack(e)
	}
}

// setBusy marks a connection as busy after the header of a request was read.
func (t *connTable) setBusy(c net.Conn) {
	if cc, ok := underlyingConn(c).(*clientConn); ok {
		cc.beginRequest(c != cc)
	}
	if e := t.open[c]; e != nil {
		tracked := e.Value.(*trackedConn)
		tracked.busy = true
		tracked.requests++
		t.setEvicted(tracked, false) // the request is answered before the connection is closed
	}
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

// closeIdleNow evicts the connections that closeIdle may close now. remaining is the number of those
// that have no open request and are not closed yet; changed is closed at the next state change.
func (t *connTable) closeIdleNow() (remaining int, changed <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var next *list.Element
	for e := t.order.Front(); e != nil; e = next {
		next = e.Next()
		tracked := e.Value.(*trackedConn)
		if tracked.busy {
			continue
		}
		if tracked.requests > 0 && !tracked.evicted && !requestPending(tracked.conn) {
			t.evict(e, phaseIdle)
		}
		if t.open[tracked.conn] != nil {
			remaining++
		}
	}
	return remaining, t.awaitChange()
}
