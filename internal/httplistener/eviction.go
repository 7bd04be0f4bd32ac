package httplistener

import (
	"container/list"
	"net"
	"time"
)

const (
	// evictionWait is how long the next connection is not accepted while evicted ones are still open.
	evictionWait = 5 * time.Millisecond
	// excessDivisor limits the connections beyond maxConns, which all have open requests, to a fraction of maxConns.
	// Each further connection is closed when it is accepted.
	excessDivisor = 5
	// newConnGrace is the age up to which a connection is spared, as its client may be about to write its first request.
	newConnGrace = 20 * time.Millisecond
	// slowAfter is how long a later request of a connection may be incomplete before it counts as slow.
	slowAfter = 500 * time.Millisecond
	// The first evictionLogBurst evictions are logged, then at most one per evictionLogInterval.
	evictionLogBurst    = 10
	evictionLogInterval = time.Second
)

// excess returns the number of connections to evict. t.mu must be held.
func (t *connTable) excess() int { return len(t.open) - t.evicting - t.maxConns }

// setEvicted changes whether a connection counts as evicted. t.mu must be held.
func (t *connTable) setEvicted(tracked *trackedConn, evicted bool) {
	if tracked.evicted == evicted {
		return
	}
	tracked.evicted = evicted
	if evicted {
		t.evicting++
	} else {
		t.evicting--
	}
}

// awaitEvicted waits until the connections that were evicted are closed, while more than maxConns are open, but not
// for long: one of them may have a request to answer.
func (t *connTable) awaitEvicted() {
	end := time.Now().Add(evictionWait)
	t.mu.Lock()
	defer t.mu.Unlock()
	for t.evicting > 0 && len(t.open) > t.maxConns {
		wait := time.Until(end)
		if wait <= 0 {
			return
		}
		changed := t.awaitChange()
		t.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(wait):
		}
		t.mu.Lock()
	}
}

// admits reports whether another connection may be opened. If not, it counts c as refused.
func (t *connTable) admits(c net.Conn) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.open) <= t.maxConns+t.maxConns/excessDivisor {
		return true
	}
	t.stats.refused++
	t.logClosed("client connection refused", c, phaseIdle)
	return false
}

// evictExcess evicts connections until at most maxConns are left or all others have a complete request. t.mu must be
// held.
func (t *connTable) evictExcess(newest net.Conn) {
	for t.excess() > 0 {
		candidate, phase := t.evictionCandidate(newest)
		if candidate == nil {
			return
		}
		if t.evict(candidate, phase) {
			t.stats.evicted[phase]++
			t.logClosed("client connection closed to make room", candidate.Value.(*trackedConn).conn, phase)
		}
	}
}

// evict evicts a connection whose request is in a phase. It returns false if the request is in another one by now.
// t.mu must be held.
func (t *connTable) evict(e *list.Element, phase requestPhase) bool {
	tracked := e.Value.(*trackedConn)
	cc, ok := underlyingConn(tracked.conn).(*clientConn)
	if !ok || cc.raw == nil {
		t.order.Remove(e)
		delete(t.open, tracked.conn)
		_ = tracked.conn.Close()
		return true
	}
	if !cc.evict(phase) {
		return false
	}
	t.setEvicted(tracked, true)
	return true
}

// logClosed logs that a connection was closed because of the limit. t.mu must be held.
func (t *connTable) logClosed(message string, c net.Conn, phase requestPhase) {
	t.logLimit.Do(func() {
		t.log.Warn(message, "from", c.RemoteAddr(), "phase", phase, "open", len(t.open), "limit", t.maxConns,
			"evicted_idle", t.stats.evicted[phaseIdle], "evicted_in_header", t.stats.evicted[phaseHeader],
			"evicted_in_body", t.stats.evicted[phaseBody], "refused", t.stats.refused)
	})
}

// evictionRank is the order in which connections are evicted, lowest first. A connection on which bytes have arrived,
// read or not, has the start of a request, which closing the connection would lose.
type evictionRank int

const (
	// rankAbandoned: nothing has arrived since the connection was accepted, newConnGrace ago or longer.
	rankAbandoned evictionRank = iota
	// rankSlow: the first request has been incomplete for newConnGrace, or a later one for slowAfter. Clients that start
	// requests and never complete them must not lock out others.
	rankSlow
	rankUnused       // nothing has arrived since the connection was accepted
	rankFirstPartial // the first request of the connection is incomplete
	rankIdle         // nothing has arrived since the last response
	rankPartial      // a later request is incomplete
	rankArrived      // bytes have arrived and were not read, or it is the newest connection
	rankCount
)

// evictionCandidate returns the connection to evict and the phase of its request, or nil if all have a complete
// request. Of several with the same rank, it returns the one that is in that state for longest; of rankArrived, the
// newest.
func (t *connTable) evictionCandidate(newest net.Conn) (*list.Element, requestPhase) {
	var candidates [rankCount]*list.Element
	var phases [rankCount]requestPhase
	var partialSince [rankCount]time.Time
	now := time.Now()
	for e := t.order.Front(); e != nil && candidates[rankAbandoned] == nil; e = e.Next() {
		tracked := e.Value.(*trackedConn)
		phase, since := tracked.requestState()
		switch {
		case tracked.evicted || phase == phaseComplete:
		case phase != phaseIdle:
			rank := tracked.partialRank(now.Sub(since))
			if candidates[rank] == nil || since.Before(partialSince[rank]) {
				candidates[rank], phases[rank], partialSince[rank] = e, phase, since
			}
		default:
			rank := tracked.idleRank(now)
			if tracked.conn == newest || candidates[rank] == nil && requestPending(tracked.conn) {
				rank = rankArrived
			}
			if candidates[rank] == nil || rank == rankArrived {
				candidates[rank] = e
			}
		}
	}
	for rank, candidate := range candidates {
		if candidate != nil {
			return candidate, phases[rank]
		}
	}
	return nil, phaseIdle
}

// partialRank returns the rank of a connection whose request has been incomplete for the given time.
func (c *trackedConn) partialRank(incomplete time.Duration) evictionRank {
	isFirst := c.requests == 0 || c.requests == 1 && c.busy
	switch {
	case isFirst && incomplete >= newConnGrace || incomplete >= slowAfter:
		return rankSlow
	case isFirst:
		return rankFirstPartial
	}
	return rankPartial
}

// idleRank returns the rank of a connection without a request.
func (c *trackedConn) idleRank(now time.Time) evictionRank {
	switch {
	case c.requests > 0:
		return rankIdle
	case now.Sub(c.acceptedAt) >= newConnGrace:
		return rankAbandoned
	}
	return rankUnused
}

// requestState returns the phase of the connection's request and when it began.
func (c *trackedConn) requestState() (requestPhase, time.Time) {
	if cc, ok := underlyingConn(c.conn).(*clientConn); ok && cc.raw != nil {
		return cc.state()
	}
	if c.busy {
		return phaseComplete, time.Time{}
	}
	return phaseIdle, time.Time{}
}
