package sim

import (
	"errors"
	"maps"
	"slices"
	"time"

	"pumicecroft/internal/platformhttp"
)

// How operations on connections end.
var (
	errConnRefused = errors.New("refused")
	errConnTimeout = errors.New("not up in time")
	errConnReset   = errors.New("reset")
	errConnClosed  = errors.New("closed by the other side")
	errCancelled   = errors.New("cut short") // by the cancellation of the operation's attempt
	errReadTimeout = errors.New("not whole in time")
)

// conn is one connection between a gateway and a backend. Bytes arrive in the order in which they
// were sent, after the connection's latency; connections don't order each other.
type conn struct {
	world   *world
	number  uint64
	latency time.Duration // one way

	// The gateway's end.
	gateway       *gateway
	epoch         int    // of the gateway's process
	readBuffer    []byte // kept for the next response
	received      []byte // arrived and not read
	readErr       error  // behind received; nil: the connection is up
	onReadable    func() // is called once when received or readErr changes; nil: nobody waits
	gatewayClosed bool

	// The backend's end.
	backend       *backend
	backendEpoch  int
	requestBytes  []byte // arrived, and no whole request yet
	requestCount  int    // received whole
	backendClosed bool
	sentAt        time.Duration // when the last request began to leave the gateway
	idleSince     time.Duration // 0: a request is being handled

	toBackend direction
	toGateway direction
}

// direction is one direction of a connection.
type direction struct {
	lastArrival time.Duration
	pending     []func() // in their order of arrival
}

// sortedConns gives connections in the order of their numbers, as ranging over a map has none.
func sortedConns(conns map[*conn]bool) []*conn {
	return slices.SortedFunc(maps.Keys(conns), func(a, b *conn) int { return int(a.number) - int(b.number) })
}

// dial opens a connection. done is called once, later, with the connection or an error. cancel ends
// the wait with errCancelled.
func (g *gateway) dial(addr string, purpose []uint64, done func(*conn, error)) (cancel func()) {
	g.dialCount++
	number, finished := g.dialCount, false
	fail := func(after time.Duration, err error) {
		g.world.scheduleAfter(after, func() {
			if !finished {
				finished = true
				done(nil, err)
			}
		})
	}
	cancel = func() { fail(0, errCancelled) }
	backend := g.runner.backendsByAddr[addr]
	if g.openConns >= g.maxDescriptors {
		fail(0, platformhttp.ErrNoDescriptors)
		return cancel
	}
	if backend == nil { // it has moved
		fail(time.Millisecond, errConnRefused)
		return cancel
	}
	rng := g.world.newRand(append(purpose, 1, number)...)
	c := &conn{
		world: g.world, gateway: g, epoch: g.epoch, backend: backend, backendEpoch: backend.epoch,
		number:  uint64(g.number)<<40 | uint64(g.epoch)<<24 | number,
		latency: randDuration(rng, 100*time.Microsecond, 2*time.Millisecond),
	}
	upAfter := 2 * c.latency
	switch {
	case !backend.up || backend.affectedBy(ConnRefused, c.number):
		fail(c.latency, errConnRefused)
		return cancel
	case backend.affectedBy(ConnHangs, c.number) || g.partitionedUntil[backend] > g.world.now:
		fail(connectTimeout, errConnTimeout)
		return cancel
	case backend.affectedBy(ConnLate, c.number):
		if upAfter = randDuration(rng, upAfter, 2*connectTimeout); upAfter >= connectTimeout {
			fail(connectTimeout, errConnTimeout)
			return cancel
		}
	}
	g.world.scheduleAfter(upAfter, func() {
		if !finished {
			finished = true
			c.open(done)
		}
	})
	return cancel
}

// open ends a dial once the connection is up, unless its backend has restarted meanwhile. If the
// gateway has, done belongs to the process before, and the system closes the connection.
func (c *conn) open(done func(*conn, error)) {
	if c.gateway.epoch != c.epoch {
		return
	}
	if !c.backend.up || c.backend.epoch != c.backendEpoch {
		done(nil, errConnRefused)
		return
	}
	c.backend.conns[c] = true
	c.startIdleTimer()
	done(c, nil)
}

// startIdleTimer has the backend close the connection if no request comes within the idle timeout.
func (c *conn) startIdleTimer() {
	c.idleSince = c.world.now
	at := c.world.now
	c.world.scheduleAfter(c.gateway.runner.config.idleTimeout, func() {
		if c.idleSince == at && !c.backendClosed {
			c.sendReadError(errConnClosed)
			c.closeByBackend()
		}
	})
}

// detachBackend closes the backend's end.
func (c *conn) closeByBackend() {
	c.backendClosed = true
	delete(c.backend.conns, c)
}

// deliver has an event happen at the other end after the latency and at least a delay, in the order
// of the calls. During a partition it waits for the partition's end.
func (c *conn) deliver(direction *direction, delay time.Duration, event func()) {
	direction.pending = append(direction.pending, event)
	direction.lastArrival = max(direction.lastArrival, c.world.now+c.latency+max(0, delay))
	var land func()
	land = func() {
		if until := c.gateway.partitionedUntil[c.backend]; until > c.world.now {
			c.world.scheduleAt(until, land)
			return
		}
		event := direction.pending[0]
		direction.pending = direction.pending[1:]
		event()
	}
	c.world.scheduleAt(direction.lastArrival, land)
}

// sendToBackend sends bytes to the backend; a process that has ended answers with a reset.
func (c *conn) sendToBackend(text []byte, delay time.Duration) {
	c.deliver(&c.toBackend, delay, func() {
		if c.backendClosed || c.backendEpoch != c.backend.epoch {
			c.sendReadError(errConnReset)
			return
		}
		c.requestBytes = append(c.requestBytes, text...)
		c.backend.onBytes(c)
	})
}

// sendToGateway sends bytes to the gateway.
func (c *conn) sendToGateway(text []byte, delay time.Duration) {
	c.deliver(&c.toGateway, delay, func() {
		if c.gatewayClosed || c.readErr != nil {
			return
		}
		c.received = append(c.received, text...)
		c.wakeReader()
	})
}

// sendTrailing sends bytes that stand behind a response. If a partition separates them from it, the
// connection is reset in their place: they would arrive when the connection is in use again, and in
// HTTP/1.1 a response does not name its request.
func (c *conn) sendTrailing(text []byte, delay time.Duration) {
	var due time.Duration
	c.deliver(&c.toGateway, delay, func() {
		switch {
		case c.gatewayClosed || c.readErr != nil:
			return
		case c.world.now > due:
			c.readErr = errConnReset
		default:
			c.received = append(c.received, text...)
		}
		c.wakeReader()
	})
	due = c.toGateway.lastArrival
}

// endToGateway has the gateway read an error behind what was sent.
func (c *conn) sendReadError(err error) {
	c.deliver(&c.toGateway, 0, func() {
		if c.readErr == nil {
			c.readErr = err
			c.wakeReader()
		}
	})
}

// reset ends the connection at both ends, for the backend at once.
func (c *conn) reset() {
	c.closeByBackend()
	c.sendReadError(errConnReset)
}

// wakeReader calls whoever waits for something to read.
func (c *conn) wakeReader() {
	if wake := c.onReadable; wake != nil {
		c.onReadable = nil
		wake()
	}
}

// closeByGateway closes the gateway's end.
func (c *conn) closeByGateway() {
	if c.gatewayClosed {
		return
	}
	c.gatewayClosed = true
	c.gateway.openConns--
	delete(c.gateway.conns, c)
	c.deliver(&c.toBackend, 0, c.onGatewayClosed)
}

// onGatewayClosed is told at the backend that the gateway has closed its end.
func (c *conn) onGatewayClosed() {
	if !c.backendClosed {
		c.closeByBackend()
		c.backend.onConnClosed(c)
	}
}
