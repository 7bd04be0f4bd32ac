// Package connpool decides what becomes of connections to backends: which kept one a request takes, whether another is
// opened, how long one rests and stays, and what is closed for room. It is pure: it holds no sockets and reads no clock. Its
// driver names each connection by an Owner of its own, opens and closes what it is told to, and lets one caller in at a time.
package connpool

import (
	"container/list"
	"errors"
	"slices"
	"time"
)

// ErrPoolFull says that as many connections as may be are in use or coming up.
var ErrPoolFull = errors.New("as many connections as may be are in use")

// Limits bound a Pool. All count.
type Limits struct {
	MaxConns    int           // connections to all places together: idle, in use, or coming up
	IdleTimeout time.Duration // one that was idle for so long is closed
	// ReuseDelay is how long a connection rests after an answer before the next request may use it: what comes right behind an
	// answer has mostly come by then, and marks the connection as unclean.
	ReuseDelay time.Duration
	// MinReuseDelay is how long it rests where as many connections as may be are there: then the longest idle one of a place, rather than none.
	MinReuseDelay time.Duration
}

// Destination is where connections of one backend's process at one address are kept. What belongs to another process or another
// backend, if only at the same address, has a Place of its own.
type Destination struct {
	Addr   string
	idle   []*Conn // the longest idle first
	closed bool
}

// Conn is one connection, as the pool knows it.
type Conn struct {
	Owner       any // its driver's
	destination *Destination
	idleSince   time.Duration // when it became idle
	idleElem    *list.Element // in Pool.idle; nil: it is in use
	used        bool
}

// Used tells whether it has carried an answer: its other side may have closed it since.
func (c *Conn) Used() bool { return c.used }

// Pool bounds the connections to all places together and keeps idle ones for the next request.
type Pool struct {
	limits  Limits
	count   int        // idle, in use or coming up
	idle    *list.List // of *Conn, over all places, the longest idle first
	closed  bool
	toClose []*Conn
}

// New makes an empty one.
func New(l Limits) *Pool { return &Pool{limits: l, idle: list.New()} }

// Count is how many connections there are: idle, in use or coming up.
func (p *Pool) Count() int { return p.count }

// Idle is how many are idle.
func (p *Pool) Idle() int { return p.idle.Len() }

// Acquire gives a kept connection, which the driver must look at before it is used: one on which something has come is
// dropped, as that would be read as the next request's answer. Or else, with nil, it counts one that is to be opened; it is
// owed one call of Opened or Release. fresh asks for that. The newest kept one comes first: it is the least likely to have
// been closed meanwhile.
func (p *Pool) Acquire(now time.Duration, at *Destination, fresh bool) (*Conn, error) {
	for i := len(at.idle) - 1; i >= 0 && !fresh; i-- {
		c := at.idle[i]
		if now-c.idleSince < p.limits.ReuseDelay {
			continue
		}
		p.removeIdle(c)
		if now-c.idleSince < p.limits.IdleTimeout {
			return c, nil
		}
		p.Discard(c)
	}
	if p.count >= p.limits.MaxConns {
		if !fresh && len(at.idle) > 0 && now-at.idle[0].idleSince >= p.limits.MinReuseDelay {
			c := at.idle[0]
			p.removeIdle(c)
			return c, nil
		}
		if p.idle.Len() == 0 {
			return nil, ErrPoolFull
		}
		p.evict(p.idle.Front().Value.(*Conn))
	}
	p.count++
	return nil, nil
}

// Opened is the connection that Take counted, which is up and in use now.
func (p *Pool) Opened(at *Destination, owner any) *Conn { return &Conn{Owner: owner, destination: at} }

// OpenFailed gives back the room of one that Take counted and that never came up.
func (p *Pool) OpenFailed() { p.count-- }

// Put keeps a connection whose answer has been read whole, with nothing behind it so far.
func (p *Pool) Put(now time.Duration, c *Conn) {
	if p.closed || c.destination.closed {
		p.Discard(c)
		return
	}
	c.used, c.idleSince = true, now
	c.destination.idle = append(c.destination.idle, c)
	c.idleElem = p.idle.PushBack(c)
}

// Discard closes a connection that was in use.
func (p *Pool) Discard(c *Conn) {
	p.toClose = append(p.toClose, c)
	p.count--
}

// CloseDestination ends a place: its idle connections now, those in use when they come back.
func (p *Pool) CloseDestination(at *Destination) {
	at.closed = true
	for _, c := range slices.Backward(at.idle) {
		p.idle.Remove(c.idleElem)
		c.idleElem = nil
		p.Discard(c)
	}
	at.idle = nil
}

// Close keeps nothing from now on.
func (p *Pool) Close() {
	p.closed = true
	for p.idle.Len() > 0 {
		p.evict(p.idle.Front().Value.(*Conn))
	}
}

// CloseExpired closes what has been idle for too long.
func (p *Pool) CloseExpired(now time.Duration) {
	for at, ok := p.NextExpiry(); ok && at <= now; at, ok = p.NextExpiry() {
		p.evict(p.idle.Front().Value.(*Conn))
	}
}

// NextExpiry is when Sweep wants to be called, if anything is idle.
func (p *Pool) NextExpiry() (at time.Duration, ok bool) {
	if p.idle.Len() == 0 {
		return 0, false
	}
	return p.idle.Front().Value.(*Conn).idleSince + p.limits.IdleTimeout, true
}

// TakeDiscarded gives the connections that are to be closed since the last call, each once.
func (p *Pool) TakeDiscarded() []*Conn {
	out := p.toClose
	p.toClose = nil
	return out
}

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
