package processtest

import (
	"errors"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// Way is a direction through a relay.
type Way int

// The ways.
const (
	Up   Way = 1 << iota // from who dialled to who listens
	Down                 // back
	Both = Up | Down
)

// Relay stands between who dials and who listens, on loopback, and does to what passes as it is told. What is stalled passes when that
// is over, as it does over a network that is cut for a while. It is safe for concurrent use; Close ends all that passes.
type Relay struct {
	target string
	ln     net.Listener
	rng    *rand.Rand

	mu      sync.Mutex
	stalled Way
	delay   time.Duration
	refuses bool
	loses   float64 // share of new connections that come up and are silent for good
	conns   map[*passage]bool
	changed chan struct{} // closed at the next change
	opened  int
	closed  bool
	ran     sync.WaitGroup
}

// passage is one connection through a relay.
type passage struct {
	near, far net.Conn
	over      chan struct{}
	once      sync.Once
}

// NewRelay starts a relay at host, on a port of the system's choosing.
func NewRelay(host, target string, seed uint64) (*Relay, error) {
	ln, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
	if err != nil {
		return nil, err
	}
	r := &Relay{target: target, ln: ln, rng: rand.New(rand.NewPCG(seed, 0x9e1a)), conns: map[*passage]bool{}, changed: make(chan struct{})}
	r.ran.Go(r.accept)
	return r, nil
}

// Addr is where it listens.
func (r *Relay) Addr() string { return r.ln.Addr().String() }

// Opened is how many connections have come to it.
func (r *Relay) Opened() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.opened
}

// Lead has new connections lead elsewhere.
func (r *Relay) Lead(target string) { r.change(func() { r.target = target }) }

// change makes a change that what passes is to notice.
func (r *Relay) change(do func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	do()
	close(r.changed)
	r.changed = make(chan struct{})
}

// Stall lets nothing pass in a way, or both; new connections come up, and are as silent.
func (r *Relay) Stall(w Way) { r.change(func() { r.stalled |= w }) }

// Delay has what passes come so much later.
func (r *Relay) Delay(d time.Duration) { r.change(func() { r.delay = d }) }

// Refuse has new connections reset.
func (r *Relay) Refuse() { r.change(func() { r.refuses = true }) }

// Lose has a share of new connections come up and stay silent for good, whatever is healed.
func (r *Relay) Lose(share float64) { r.change(func() { r.loses = share }) }

// Heal ends all that was begun; what was stalled passes now.
func (r *Relay) Heal() {
	r.change(func() { r.stalled, r.delay, r.refuses, r.loses = 0, 0, false, 0 })
}

// Reset resets all connections that are open.
func (r *Relay) Reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for p := range r.conns {
		p.reset()
	}
}

// HalfOpen has the side that listens lose its connections without a word to the side that dialled.
func (r *Relay) HalfOpen() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for p := range r.conns {
		if p.far != nil {
			p.far.Close()
		}
	}
}

// Close ends it and waits until nothing of it runs.
func (r *Relay) Close() {
	r.ln.Close()
	r.change(func() {
		r.closed = true
		for p := range r.conns {
			p.reset()
		}
	})
	r.ran.Wait()
}

func (r *Relay) accept() {
	for {
		c, err := r.ln.Accept()
		if err != nil {
			return
		}
		r.mu.Lock()
		r.opened++
		refuses, silent := r.refuses || r.closed, r.loses > 0 && r.rng.Float64() < r.loses
		p := &passage{near: c, over: make(chan struct{})}
		if !refuses {
			r.conns[p] = true
		}
		r.mu.Unlock()
		switch {
		case refuses:
			p.reset()
		case silent: // until it is reset
		default:
			r.ran.Go(func() { r.pass(p) })
		}
	}
}

// pass carries one connection, from when it may be carried on.
func (r *Relay) pass(p *passage) {
	defer r.drop(p)
	if !r.free(p, Up) { // a network that is cut carries no handshake either
		return
	}
	r.mu.Lock()
	target := r.target
	r.mu.Unlock()
	far, err := net.DialTimeout("tcp", target, 10*time.Second)
	if err != nil {
		return
	}
	r.mu.Lock()
	p.far = far
	r.mu.Unlock()
	var ran sync.WaitGroup
	ran.Go(func() { r.pump(p, Up, p.far, p.near) })
	ran.Go(func() { r.pump(p, Down, p.near, p.far) })
	ran.Wait()
}

// pump carries one way until its source ends, and then closes what it led to. The end of a side that was half open is not passed on.
func (r *Relay) pump(p *passage, w Way, to, from net.Conn) {
	b := make([]byte, 16<<10)
	for {
		n, err := from.Read(b)
		if n > 0 {
			if !r.free(p, w) {
				return
			}
			if _, err := to.Write(b[:n]); err != nil {
				p.reset()
				return
			}
		}
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			if r.free(p, w) {
				p.reset()
			}
			return
		}
	}
}

// free waits until something may pass in a way, and for as long as it is delayed; false: the connection is over.
func (r *Relay) free(p *passage, w Way) bool {
	for {
		r.mu.Lock()
		stalled, delay, changed := r.stalled&w != 0, r.delay, r.changed
		r.mu.Unlock()
		if !stalled && delay == 0 {
			return true
		}
		var late <-chan time.Time
		if !stalled {
			late = time.After(delay)
		}
		select {
		case <-late:
			return true
		case <-changed:
		case <-p.over:
			return false
		}
	}
}

func (r *Relay) drop(p *passage) {
	p.reset()
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.conns, p)
}

// reset ends a connection with a reset on both sides.
func (p *passage) reset() {
	p.once.Do(func() {
		close(p.over)
		for _, c := range []net.Conn{p.near, p.far} {
			if tcp, ok := c.(*net.TCPConn); ok {
				tcp.SetLinger(0)
				_ = tcp.Close()
			}
		}
	})
}
