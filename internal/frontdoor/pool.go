package frontdoor

import (
	"bufio"
	"container/list"
	"context"
	"errors"
	"io"
	"net"
	"slices"
	"sync"
	"time"
)

// restTime is how long a connection rests after an answer before the next request may use it: what comes right
// behind an answer has mostly come by then, and marks the connection as unclean.
const restTime = 3 * time.Millisecond

var errFull = errors.New("as many connections as may be are in use")

// pool bounds the connections to all backends together and keeps idle ones for the next request. It never hands
// out one on which something has come, as that would be read as the next request's answer.
type pool struct {
	dial    func(ctx context.Context, network, addr string) (net.Conn, error)
	most    int
	idleFor time.Duration

	mu       sync.Mutex
	open     int        // idle, in use or coming up
	idle     *list.List // of *kept, over all places, the longest idle first
	sweeping bool
}

// place is where connections of one backend's process at one address are kept. What belongs to another process
// or another backend, if only at the same address, has a place of its own.
type place struct {
	addr   string
	idle   []*kept // guarded by pool.mu, as closed is; the longest idle first
	closed bool
}

// kept is a connection to a backend.
type kept struct {
	net.Conn
	place *place
	bound bound
	r     *bufio.Reader
	since time.Time     // when it became idle
	elem  *list.Element // in pool.idle
	used  bool          // it has carried an answer
}

func newPool(dial func(ctx context.Context, network, addr string) (net.Conn, error), most int, idleFor time.Duration) *pool {
	return &pool{dial: dial, most: most, idleFor: idleFor, idle: list.New()}
}

// get gives a clean connection, a kept one if there is one and fresh does not forbid it.
func (p *pool) get(ctx context.Context, at *place, fresh bool) (*kept, error) {
	c, err := p.reserve(at, fresh)
	if c != nil || err != nil {
		return c, err
	}
	conn, err := p.dial(ctx, "tcp", at.addr)
	if err != nil {
		p.mu.Lock()
		p.open--
		p.mu.Unlock()
		return nil, err
	}
	c = &kept{Conn: conn, place: at}
	c.bound.r = conn
	c.r = bufio.NewReaderSize(&c.bound, 2<<10)
	return c, nil
}

// reserve takes a kept connection, or else, with nil, counts one that is to be opened.
func (p *pool) reserve(at *place, fresh bool) (*kept, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	for i := len(at.idle) - 1; i >= 0 && !fresh; i-- {
		c := at.idle[i]
		if now.Sub(c.since) < restTime {
			continue
		}
		p.unkeep(c)
		if now.Sub(c.since) < p.idleFor && pending(c.Conn) == clean {
			return c, nil
		}
		p.discard(c)
	}
	if p.open >= p.most {
		if p.idle.Len() == 0 {
			return nil, errFull
		}
		c := p.idle.Front().Value.(*kept)
		p.unkeep(c)
		p.discard(c)
	}
	p.open++
	return nil, nil
}

// put keeps a connection whose answer has been read whole, if it is clean.
func (p *pool) put(c *kept) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.place.closed || c.r.Buffered() > 0 || pending(c.Conn) != clean {
		p.discard(c)
		return
	}
	c.used, c.since = true, time.Now()
	c.place.idle = append(c.place.idle, c)
	c.elem = p.idle.PushBack(c)
	if !p.sweeping {
		p.sweeping = true
		time.AfterFunc(p.idleFor, p.sweep)
	}
}

// drop closes a connection that was in use.
func (p *pool) drop(c *kept) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.discard(c)
}

// clear ends a place: its idle connections now, those in use when they come back.
func (p *pool) clear(at *place) {
	p.mu.Lock()
	defer p.mu.Unlock()
	at.closed = true
	for len(at.idle) > 0 {
		c := at.idle[len(at.idle)-1]
		p.unkeep(c)
		p.discard(c)
	}
}

// sweep closes what has been idle for too long, and comes again while anything is idle.
func (p *pool) sweep() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for p.idle.Len() > 0 {
		c := p.idle.Front().Value.(*kept)
		if left := p.idleFor - time.Since(c.since); left > 0 {
			time.AfterFunc(left, p.sweep)
			return
		}
		p.unkeep(c)
		p.discard(c)
	}
	p.sweeping = false
}

func (p *pool) unkeep(c *kept) {
	p.idle.Remove(c.elem)
	c.place.idle = slices.DeleteFunc(c.place.idle, func(o *kept) bool { return o == c })
}

func (p *pool) discard(c *kept) {
	c.Close()
	p.open--
}

var errBig = errors.New("the answer is larger than answers may be")

// bound is a reader that gives out only so much.
type bound struct {
	r    io.Reader
	left int
}

func (b *bound) Read(p []byte) (int, error) {
	if b.left <= 0 {
		return 0, errBig
	}
	n, err := b.r.Read(p[:min(len(p), b.left)])
	b.left -= n
	return n, err
}
