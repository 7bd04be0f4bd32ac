// Package connpool manages the pool of connections to backends: which idle connection a request reuses,
// when to open a new one, how long a connection stays idle before it is reused, and which idle connection to
// close when the pool is full.
//
// The package is pure: it holds no sockets and reads no clock. The caller attaches its own connection as
// Owner, opens and closes connections as told, and serializes all calls.
package connpool

import (
	"container/list"
	"errors"
	"slices"
	"time"
)

// ErrPoolFull is returned by Acquire when Limits.MaxConns connections are in use or being opened.
var ErrPoolFull = errors.New("connpool: all connections are in use")

// Limits bounds a Pool. There are no defaults.
type Limits struct {
	MaxConns    int           // total for all destinations: idle, in use, or being opened
	IdleTimeout time.Duration // a connection that has been idle for this long is discarded
	// ReuseDelay is how long a connection stays idle after a response before it is reused. Surplus bytes after
	// a response have usually arrived by then; they show that the connection must not be reused.
	ReuseDelay time.Duration
	// MinReuseDelay applies when MaxConns connections exist and none to the destination has been idle for
	// ReuseDelay: its connection that has been idle for longest is then reused, if it was for MinReuseDelay.
	MinReuseDelay time.Duration
}

// Destination is one process of a backend at one address, with the idle connections to it. Another
// process or backend has a Destination of its own, even at the same address: the caller makes it.
type Destination struct {
	Addr   string
	idle   []*Conn // longest idle first
	closed bool
}

// Conn is the pool's state of one connection.
type Conn struct {
	Owner       any // the caller's connection
	destination *Destination
	idleSince   time.Duration
	idleElem    *list.Element // element of Pool.idle; nil if in use
	used        bool
}

// Used reports whether the connection has carried a response. The peer may have closed such a connection since.
func (c *Conn) Used() bool { return c.used }

// Pool limits the total number of connections to all destinations and keeps idle connections for reuse.
type Pool struct {
	limits    Limits
	count     int        // idle, in use or being opened
	idle      *list.List // of *Conn, longest idle first
	closed    bool
	discarded []*Conn // connections that the caller must close and has not yet taken
}

// New returns an empty Pool.
func New(l Limits) *Pool { return &Pool{limits: l, idle: list.New()} }

// Count returns the number of connections: idle, in use or being opened.
func (p *Pool) Count() int { return p.count }

// Idle returns the number of idle connections.
func (p *Pool) Idle() int { return p.idle.Len() }

// Acquire returns an idle connection to a destination: the most recently used one that has been idle for
// ReuseDelay, as it is the least likely to have been closed by the peer. Before use, the caller must check
// that no byte has arrived on it, and discard it otherwise: that byte would be read as the response to the
// next request.
//
// If Acquire returns neither a connection nor an error, the caller must open a connection and call Opened or
// OpenFailed once. fresh demands a new connection. The only error is ErrPoolFull.
func (p *Pool) Acquire(now time.Duration, to *Destination, fresh bool) (*Conn, error) {
	if !fresh {
		if c := p.acquireReusable(now, to); c != nil {
			return c, nil
		}
	}
	if p.count >= p.limits.MaxConns {
		if !fresh && len(to.idle) > 0 && now-to.idle[0].idleSince >= p.limits.MinReuseDelay {
			c := to.idle[0]
			p.removeIdle(c)
			return c, nil
		}
		if p.idle.Len() == 0 {
			return nil, ErrPoolFull
		}
		p.evict(p.longestIdle())
	}
	p.count++
	return nil, nil
}

// acquireReusable takes the most recently used connection that has been idle for ReuseDelay, or returns nil if
// there is none. It discards those that it finds idle for IdleTimeout.
func (p *Pool) acquireReusable(now time.Duration, to *Destination) *Conn {
	for i := len(to.idle) - 1; i >= 0; i-- {
		c := to.idle[i]
		if now-c.idleSince < p.limits.ReuseDelay {
			continue
		}
		p.removeIdle(c)
		if now-c.idleSince < p.limits.IdleTimeout {
			return c
		}
		p.Discard(c)
	}
	return nil
}

// Opened adds the connection that Acquire told the caller to open. It is in use.
func (p *Pool) Opened(to *Destination, owner any) *Conn { return &Conn{Owner: owner, destination: to} }

// OpenFailed records that the connection that Acquire told the caller to open could not be opened.
func (p *Pool) OpenFailed() { p.count-- }

// Put makes a connection idle. Its response must have been read to the end, with no surplus bytes after it.
func (p *Pool) Put(now time.Duration, c *Conn) {
	if p.closed || c.destination.closed {
		p.Discard(c)
		return
	}
	c.used, c.idleSince = true, now
	c.destination.idle = append(c.destination.idle, c)
	c.idleElem = p.idle.PushBack(c)
}

// Discard removes a connection that is not in the idle lists from the pool. TakeDiscarded then returns it.
func (p *Pool) Discard(c *Conn) {
	p.discarded = append(p.discarded, c)
	p.count--
}

// CloseDestination discards the idle connections of a destination now, and those in use when they are put
// back.
func (p *Pool) CloseDestination(to *Destination) {
	to.closed = true
	for _, c := range slices.Backward(to.idle) {
		p.idle.Remove(c.idleElem)
		c.idleElem = nil
		p.Discard(c)
	}
	to.idle = nil
}

// Close discards all idle connections now, and those in use when they are put back.
func (p *Pool) Close() {
	p.closed = true
	for p.idle.Len() > 0 {
		p.evict(p.longestIdle())
	}
}

// CloseExpired discards the connections that have been idle for IdleTimeout.
func (p *Pool) CloseExpired(now time.Duration) {
	for at, ok := p.NextExpiry(); ok && at <= now; at, ok = p.NextExpiry() {
		p.evict(p.longestIdle())
	}
}

// NextExpiry returns when CloseExpired must be called next. ok is false if no connection is idle.
func (p *Pool) NextExpiry() (at time.Duration, ok bool) {
	if p.idle.Len() == 0 {
		return 0, false
	}
	return p.longestIdle().idleSince + p.limits.IdleTimeout, true
}

// TakeDiscarded returns the connections that the caller must close, each once.
func (p *Pool) TakeDiscarded() []*Conn {
	discarded := p.discarded
	p.discarded = nil
	return discarded
}

// longestIdle returns the connection that has been idle for longest. There must be at least one idle connection.
func (p *Pool) longestIdle() *Conn { return p.idle.Front().Value.(*Conn) }

func (p *Pool) removeIdle(c *Conn) {
	p.idle.Remove(c.idleElem)
	c.idleElem = nil
	c.destination.idle = slices.DeleteFunc(c.destination.idle, func(o *Conn) bool { return o == c })
}

// evict discards an idle connection.
func (p *Pool) evict(c *Conn) {
	p.removeIdle(c)
	p.Discard(c)
}
