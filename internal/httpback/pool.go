package httpback

import (
	"bufio"
	"container/list"
	"context"
	"errors"
	"net"
	"slices"
	"sync"
	"time"

	"pumicecroft/internal/drive"
	"pumicecroft/internal/netlook"
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
	count    int         // idle, in use or coming up
	idle     *list.List  // of *kept, over all places, the longest idle first
	sweeping *time.Timer // comes when the longest idle has been so for too long
	ended    bool
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
	place  *place
	bound  bound
	r      *bufio.Reader
	since  time.Time     // when it became idle
	elem   *list.Element // in pool.idle
	used   bool          // it has carried an answer
	text   []byte        // room for a request's text
	looker *netlook.Looker
}

func newPool(dial func(ctx context.Context, network, addr string) (net.Conn, error), most int, idleFor time.Duration) *pool {
	return &pool{dial: dial, most: most, idleFor: idleFor, idle: list.New()}
}

// open dials a connection that reserve has counted.
func (p *pool) open(ctx context.Context, at *place) (*kept, error) {
	conn, err := p.dial(ctx, "tcp", at.addr)
	if err != nil {
		p.release()
		return nil, err
	}
	c := &kept{Conn: conn, place: at, looker: netlook.New(conn)}
	c.bound.conn = conn
	c.r = bufio.NewReaderSize(&c.bound, 2<<10)
	return c, nil
}

// release gives back the room of a connection that reserve has counted and that never came up.
func (p *pool) release() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.count--
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
		if now.Sub(c.since) < p.idleFor && c.looker.Look() == netlook.Clean {
			return c, nil
		}
		p.discard(c)
	}
	if p.count >= p.most {
		if p.idle.Len() == 0 {
			return nil, errFull
		}
		p.evict(p.idle.Front().Value.(*kept))
	}
	p.count++
	return nil, nil
}

// put keeps a connection whose answer has been read whole. Whether it is clean is seen when it is next used: what
// comes right behind an answer may not have come yet.
func (p *pool) put(c *kept) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ended || c.place.closed || c.r.Buffered() > 0 {
		p.discard(c)
		return
	}
	c.used, c.since = true, time.Now()
	c.place.idle = append(c.place.idle, c)
	c.elem = p.idle.PushBack(c)
	if p.sweeping == nil {
		p.sweeping = time.AfterFunc(p.idleFor, p.sweep)
	}
}

// drop closes a connection that was in use.
func (p *pool) drop(c *kept) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.discard(c)
}

// end keeps nothing from now on.
func (p *pool) end() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ended = true
	for p.idle.Len() > 0 {
		p.evict(p.idle.Front().Value.(*kept))
	}
	if p.sweeping != nil {
		p.sweeping.Stop()
		p.sweeping = nil
	}
}

// clear ends a place: its idle connections now, those in use when they come back.
func (p *pool) clear(at *place) {
	p.mu.Lock()
	defer p.mu.Unlock()
	at.closed = true
	for len(at.idle) > 0 {
		p.evict(at.idle[len(at.idle)-1])
	}
}

// sweep closes what has been idle for too long, and comes again while anything is idle.
func (p *pool) sweep() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for p.idle.Len() > 0 {
		c := p.idle.Front().Value.(*kept)
		if left := p.idleFor - time.Since(c.since); left > 0 {
			p.sweeping = time.AfterFunc(left, p.sweep)
			return
		}
		p.evict(c)
	}
	p.sweeping = nil
}

func (p *pool) unkeep(c *kept) {
	p.idle.Remove(c.elem)
	c.place.idle = slices.DeleteFunc(c.place.idle, func(o *kept) bool { return o == c })
}

// evict closes an idle connection.
func (p *pool) evict(c *kept) {
	p.unkeep(c)
	p.discard(c)
}

func (p *pool) discard(c *kept) {
	c.Close()
	p.count--
}

var errBig = errors.New("the answer is larger than answers may be")

// bound reads a connection, gives out only so much, and lets an answer that has begun take only so long.
type bound struct {
	conn  net.Conn
	a     *drive.Attempt
	left  int
	begun bool // the answer has
	timed bool // the connection has a deadline for the answer's rest
}

func (b *bound) reset(left int, a *drive.Attempt) {
	b.left, b.a, b.begun, b.timed = left, a, false, false
}

func (b *bound) Read(p []byte) (int, error) {
	if b.left <= 0 {
		return 0, errBig
	}
	// Most answers come in one piece, and then there is nothing to time.
	if b.begun && !b.timed {
		b.timed = true
		// The call-off may have set a deadline already, which this must not undo.
		if err := b.a.Unless(func() { b.conn.SetReadDeadline(time.Now().Add(answerTime)) }); err != nil {
			return 0, err
		}
	}
	n, err := b.conn.Read(p[:min(len(p), b.left)])
	b.left -= n
	return n, err
}

// rest ends the answer's time, for the next one on the connection. One that is called off is not used again.
func (b *bound) rest() {
	if b.timed {
		_ = b.a.Unless(func() { b.conn.SetReadDeadline(time.Time{}) })
	}
	b.a = nil
}
