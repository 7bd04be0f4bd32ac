package processtest

import (
	"errors"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// Direction is a direction through a relay.
type Direction int

// The directions.
const (
	Upstream       Direction = 1 << iota // from the client to the server
	Downstream                           // from the server to the client
	BothDirections = Upstream | Downstream
)

// Relay forwards connections between a client and a server on loopback, with faults on demand. Stalled data passes when
// the stall is over, as over a network that was partitioned for a while. It is safe for concurrent use. Close ends all
// connections.
type Relay struct {
	ln  net.Listener
	rng *rand.Rand

	mu          sync.Mutex
	target      string
	dial        func(target string) (net.Conn, error) // opens connections to the server
	stalled     Direction
	delay       time.Duration
	refuse      bool
	silentShare float64 // share of new connections that are accepted and never forwarded
	conns       map[*relayConn]bool
	changed     chan struct{} // closed and replaced at each change
	opened      int
	closed      bool
	running     sync.WaitGroup
}

const (
	dialTimeout = 10 * time.Second
	bufferBytes = 16 << 10
)

// relayConn is one connection through a relay.
type relayConn struct {
	client net.Conn
	done   chan struct{} // closed by reset

	mu       sync.Mutex
	server   net.Conn // nil until it is dialed
	wasReset bool
}

// NewRelay starts a relay to target at host, on a free port. seed determines which connections SetSilentShare affects.
func NewRelay(host, target string, seed uint64) (*Relay, error) {
	ln, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
	if err != nil {
		return nil, err
	}
	r := &Relay{
		target: target, ln: ln, rng: rand.New(rand.NewPCG(seed, 0x9e1a)), dial: dialServer,
		conns: map[*relayConn]bool{}, changed: make(chan struct{}),
	}
	r.running.Go(r.accept)
	return r, nil
}

func dialServer(target string) (net.Conn, error) { return net.DialTimeout("tcp", target, dialTimeout) }

// Addr returns the address that the relay listens on.
func (r *Relay) Addr() string { return r.ln.Addr().String() }

// Opened returns the number of connections that the relay has accepted.
func (r *Relay) Opened() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.opened
}

// SetTarget changes the target of new connections.
func (r *Relay) SetTarget(target string) { r.update(func() { r.target = target }) }

// update applies a change that all connections must notice.
func (r *Relay) update(change func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change()
	close(r.changed)
	r.changed = make(chan struct{})
}

// Stall stops forwarding in one direction or both. New connections are accepted, and stalled as well.
func (r *Relay) Stall(direction Direction) { r.update(func() { r.stalled |= direction }) }

// Delay delays data in each direction.
func (r *Relay) Delay(delay time.Duration) { r.update(func() { r.delay = delay }) }

// Refuse resets new connections.
func (r *Relay) Refuse() { r.update(func() { r.refuse = true }) }

// SetSilentShare makes the relay accept a share of new connections without ever forwarding them, not even after Heal.
func (r *Relay) SetSilentShare(share float64) { r.update(func() { r.silentShare = share }) }

// Heal ends all faults. Stalled data is forwarded then.
func (r *Relay) Heal() {
	r.update(func() { r.stalled, r.delay, r.refuse, r.silentShare = 0, 0, false, 0 })
}

// Reset resets all open connections.
func (r *Relay) Reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		c.reset()
	}
}

// HalfOpen closes the connections to the server without notifying the clients.
func (r *Relay) HalfOpen() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		c.closeServer()
	}
}

// Close stops the relay and waits for its goroutines.
func (r *Relay) Close() {
	r.ln.Close()
	r.update(func() {
		r.closed = true
		for c := range r.conns {
			c.reset()
		}
	})
	r.running.Wait()
}

// accept accepts connections until the relay is closed.
func (r *Relay) accept() {
	for {
		conn, err := r.ln.Accept()
		if err != nil {
			return
		}
		r.mu.Lock()
		r.opened++
		refused, requireNothing := r.refuse || r.closed, r.silentShare > 0 && r.rng.Float64() < r.silentShare
		c := &relayConn{client: conn, done: make(chan struct{})}
		if !refused {
			r.conns[c] = true
		}
		r.mu.Unlock()
		switch {
		case refused:
			c.reset()
		case requireNothing: // it stays open until it is reset
		default:
			r.running.Go(func() { r.forward(c) })
		}
	}
}

// forward dials the server for one connection and copies in both directions.
func (r *Relay) forward(c *relayConn) {
	defer r.remove(c)
	if !r.waitPassable(c, Upstream) { // a partitioned network carries no handshake either
		return
	}
	r.mu.Lock()
	target, dial := r.target, r.dial
	r.mu.Unlock()
	server, err := dial(target)
	if err != nil || !c.setServer(server) {
		return
	}
	var copying sync.WaitGroup
	copying.Go(func() { r.copyOneWay(c, Upstream, server, c.client) })
	copying.Go(func() { r.copyOneWay(c, Downstream, c.client, server) })
	copying.Wait()
}

// copyOneWay copies one direction until its source ends, and then resets the connection. The end of a half-open side is
// not passed on.
func (r *Relay) copyOneWay(c *relayConn, direction Direction, to, from net.Conn) {
	buffer := make([]byte, bufferBytes)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			if !r.waitPassable(c, direction) {
				return
			}
			if _, err := to.Write(buffer[:n]); err != nil {
				c.reset()
				return
			}
		}
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			if r.waitPassable(c, direction) {
				c.reset()
			}
			return
		}
	}
}

// waitPassable waits until data may pass in a direction, with its delay. It returns false if the connection was reset.
func (r *Relay) waitPassable(c *relayConn, direction Direction) bool {
	for {
		r.mu.Lock()
		stalled, delay, changed := r.stalled&direction != 0, r.delay, r.changed
		r.mu.Unlock()
		if !stalled && delay == 0 {
			return true
		}
		var delayed <-chan time.Time
		if !stalled {
			delayed = time.After(delay)
		}
		select {
		case <-delayed:
			return true
		case <-changed:
		case <-c.done:
			return false
		}
	}
}

// remove resets a connection and forgets it.
func (r *Relay) remove(c *relayConn) {
	c.reset()
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.conns, c)
}

// setServer sets the connection to the server. If c was reset while the server was dialed, it resets that
// connection too and returns false: nothing else would end it.
func (c *relayConn) setServer(server net.Conn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.wasReset {
		resetConn(server)
		return false
	}
	c.server = server
	return true
}

// closeServer closes the connection to the server, if there is one.
func (c *relayConn) closeServer() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.server != nil {
		c.server.Close()
	}
}

// reset resets a connection on both sides.
func (c *relayConn) reset() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.wasReset {
		return
	}
	c.wasReset = true
	close(c.done)
	resetConn(c.client)
	if c.server != nil {
		resetConn(c.server)
	}
}

// resetConn closes a connection in such a way that its peer receives a reset.
func resetConn(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}
