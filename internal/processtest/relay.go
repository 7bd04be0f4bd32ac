package processtest

import (
	"errors"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// Way is a direction through a relay.
type Direction int

// The ways.
const (
	Upstream       Direction = 1 << iota // from who dialled to who listens
	Downstream                           // back
	BothDirections = Upstream | Downstream
)

// Relay stands between who dials and who listens, on loopback, and does to what passes as it is told. What is stalled passes when that
// is over, as it does over a network that is cut for a while. It is safe for concurrent use; Close ends all that passes.
type Relay struct {
	target string
	ln     net.Listener
	rng    *rand.Rand

	mu          sync.Mutex
	stalled     Direction
	delay       time.Duration
	refuse      bool
	silentShare float64 // share of new connections that come up and are silent for good
	conns       map[*relayConn]bool
	changed     chan struct{} // closed at the next change
	opened      int
	closed      bool
	running     sync.WaitGroup
}

// passage is one connection through a relay.
type relayConn struct {
	client, server net.Conn
	done           chan struct{}
	once           sync.Once
}

// NewRelay starts a relay at host, on a port of the system's choosing.
func NewRelay(host, target string, seed uint64) (*Relay, error) {
	ln, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
	if err != nil {
		return nil, err
	}
	r := &Relay{target: target, ln: ln, rng: rand.New(rand.NewPCG(seed, 0x9e1a)), conns: map[*relayConn]bool{}, changed: make(chan struct{})}
	r.running.Go(r.accept)
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
func (r *Relay) SetTarget(target string) { r.update(func() { r.target = target }) }

// change makes a change that what passes is to notice.
func (r *Relay) update(do func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	do()
	close(r.changed)
	r.changed = make(chan struct{})
}

// Stall lets nothing pass in a way, or both; new connections come up, and are as silent.
func (r *Relay) Stall(w Direction) { r.update(func() { r.stalled |= w }) }

// Delay has what passes come so much later.
func (r *Relay) Delay(d time.Duration) { r.update(func() { r.delay = d }) }

// Refuse has new connections reset.
func (r *Relay) Refuse() { r.update(func() { r.refuse = true }) }

// Lose has a share of new connections come up and stay silent for good, whatever is healed.
func (r *Relay) SetSilentShare(share float64) { r.update(func() { r.silentShare = share }) }

// Heal ends all that was begun; what was stalled passes now.
func (r *Relay) Heal() {
	r.update(func() { r.stalled, r.delay, r.refuse, r.silentShare = 0, 0, false, 0 })
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
		if p.server != nil {
			p.server.Close()
		}
	}
}

// Close ends it and waits until nothing of it runs.
func (r *Relay) Close() {
	r.ln.Close()
	r.update(func() {
		r.closed = true
		for p := range r.conns {
			p.reset()
		}
	})
	r.running.Wait()
}

func (r *Relay) accept() {
	for {
		c, err := r.ln.Accept()
		if err != nil {
			return
		}
		r.mu.Lock()
		r.opened++
		refuses, silent := r.refuse || r.closed, r.silentShare > 0 && r.rng.Float64() < r.silentShare
		p := &relayConn{client: c, done: make(chan struct{})}
		if !refuses {
			r.conns[p] = true
		}
		r.mu.Unlock()
		switch {
		case refuses:
			p.reset()
		case silent: // until it is reset
		default:
			r.running.Go(func() { r.forward(p) })
		}
	}
}

// pass carries one connection, from when it may be carried on.
func (r *Relay) forward(p *relayConn) {
	defer r.remove(p)
	if !r.waitPassable(p, Upstream) { // a network that is cut carries no handshake either
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
	p.server = far
	r.mu.Unlock()
	var ran sync.WaitGroup
	ran.Go(func() { r.copyOneWay(p, Upstream, p.server, p.client) })
	ran.Go(func() { r.copyOneWay(p, Downstream, p.client, p.server) })
	ran.Wait()
}

// pump carries one way until its source ends, and then closes what it led to. The end of a side that was half open is not passed on.
func (r *Relay) copyOneWay(p *relayConn, w Direction, to, from net.Conn) {
	b := make([]byte, 16<<10)
	for {
		n, err := from.Read(b)
		if n > 0 {
			if !r.waitPassable(p, w) {
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
			if r.waitPassable(p, w) {
				p.reset()
			}
			return
		}
	}
}

// free waits until something may pass in a way, and for as long as it is delayed; false: the connection is over.
func (r *Relay) waitPassable(p *relayConn, w Direction) bool {
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
		case <-p.done:
			return false
		}
	}
}

func (r *Relay) remove(p *relayConn) {
	p.reset()
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.conns, p)
}

// reset ends a connection with a reset on both sides.
func (p *relayConn) reset() {
	p.once.Do(func() {
		close(p.done)
		for _, c := range []net.Conn{p.client, p.server} {
			if tcp, ok := c.(*net.TCPConn); ok {
				tcp.SetLinger(0)
				_ = tcp.Close()
			}
		}
	})
}
