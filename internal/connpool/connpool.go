// Package connpool decides about connections to backends: which idle one a request uses, whether another
// is opened, how long a connection rests before it is reused, and which one is closed to make room.
//
// The package is pure: it holds no sockets and reads no clock. Its driver identifies each connection by
// an Owner of its own, opens and closes connections as told, and serializes all calls.
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
	MaxConns    int           // to all destinations together: idle, in use, or being opened
	IdleTimeout time.Duration // a connection that was idle for so long is closed
	// ReuseDelay is how long a connection stays idle after a response before it is used again. Surplus bytes behind a response have
	// mostly arrived by then, and show that the connection must not be used again.
	ReuseDelay time.Duration
	// MinReuseDelay takes the place of ReuseDelay when MaxConns connections exist: then the connection
	// of the destination that was idle for longest is used.
	MinReuseDelay time.Duration
}

// Destination is one process of a backend at one address, with the idle connections to it. Another
// process or backend has a Destination of its own, even at the same address.
type Destination struct {
	Addr   string
	idle   []*Conn // the one that was idle for longest first
	closed bool
}

// Conn is one connection, as the pool knows it.
type Conn struct {
	Owner       any // the driver's connection
	destination *Destination
	idleSince   time.Duration
	idleElem    *list.Element // in Pool.idle; nil: in use
	used        bool
}

// Used reports whether the connection has carried a response: the other side may have closed it since.
func (c *Conn) Used() bool { return c.used }

// Pool bounds the connections to all destinations together and keeps idle ones for further requests.
type Pool struct {
	limits  Limits
	count   int        // idle, in use or being opened
	idle    *list.List // of *Conn, the one that was idle for longest first
	closed  bool
	toClose []*Conn
}

// New returns an empty Pool.
func New(l Limits) *Pool { return &Pool{limits: l, idle: list.New()} }

// Count returns the number of connections: idle, in use or being opened.
func (p *Pool) Count() int { return p.count }

// Idle returns the number of idle connections.
func (p *Pool) Idle() int { return p.idle.Len() }

// Acquire returns an idle connection to a destination, the most recently used one that was idle for
// ReuseDelay: it is the least likely to have been closed by the other side. Before use the driver must check that no byte has
// arrived on it, and discard it otherwise: that byte would be read as the response to the next request.
//
// If Acquire returns neither a connection nor an error, the driver is to open one, and owes one call of
// Opened or OpenFailed. fresh asks for a new connection. The error is ErrPoolFull.
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

// acquireReusable takes the most recently used connection that was idle for ReuseDelay, and discards
// those that it finds past IdleTimeout. It returns nil if there is none.
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

// Opened returns the connection that Acquire asked for. It is in use.
func (p *Pool) Opened(to *Destination, owner any) *Conn { return &Conn{Owner: owner, destination: to} }

// OpenFailed says that the connection that Acquire asked for could not be opened.
func (p *Pool) OpenFailed() { p.count-- }

// Put makes a connection idle. Its response must have been read to the end, with nothing behind it.
func (p *Pool) Put(now time.Duration, c *Conn) {
	if p.closed || c.destination.closed {
		p.Discard(c)
		return
	}
	c.used, c.idleSince = true, now
	c.destination.idle = append(c.destination.idle, c)
	c.idleElem = p.idle.PushBack(c)
}

// Discard removes a connection that was in use.
func (p *Pool) Discard(c *Conn) {
	p.toClose = append(p.toClose, c)
	p.count--
}

// CloseDestination closes the idle connections of a destination now, and those in use when they are put
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

// Close closes all idle connections now, and those in use when they are put back.
func (p *Pool) Close() {
	p.closed = true
	for p.idle.Len() > 0 {
		p.evict(p.longestIdle())
	}
}

// CloseExpired closes the connections that have been idle for IdleTimeout.
func (p *Pool) CloseExpired(now time.Duration) {
	for at, ok := p.NextExpiry(); ok && at <= now; at, ok = p.NextExpiry() {
		p.evict(p.longestIdle())
	}
}

// NextExpiry returns when CloseExpired is to be called. ok is false if no connection is idle.
func (p *Pool) NextExpiry() (at time.Duration, ok bool) {
	if p.idle.Len() == 0 {
		return 0, false
	}
	return p.longestIdle().idleSince + p.limits.IdleTimeout, true
}

// TakeDiscarded returns the connections that the driver must close, each once.
func (p *Pool) TakeDiscarded() []*Conn {
	discarded := p.toClose
	p.toClose = nil
	return discarded
}

// longestIdle returns the connection that was idle for longest. There must be an idle one.
func (p *Pool) longestIdle() *Conn { return p.idle.Front().Value.(*Conn) }

func (p *Pool) removeIdle(c *Conn) {
	p.idle.Remove(c.idleElem)
	c.idleElem = nil
	c.destination.idle = slices.DeleteFunc(c.destination.idle, func(o *Conn) bool { return o == c })
}

// evict closes an idle connection.
func (p *Pool) evict(c *Conn) {
	p.removeIdle(c)
	p.Discard(c)
}
