package sim

import (
	"errors"
	"maps"
	"slices"
	"time"

	"pumicecroft/internal/platformhttp"
)

// Errors of operations on connections.
var (
	errConnRefused = errors.New("connection refused")
	errConnTimeout = errors.New("connect timeout")
	errConnReset   = errors.New("connection reset")
	errConnClosed  = errors.New("connection closed by peer")
	errCancelled   = errors.New("attempt cancelled")
	errReadTimeout = errors.New("read timeout")
)

// conn is a connection between a gateway and a backend. Bytes arrive in the order in which they were
// sent, after the connection's latency. Different connections are independent of each other.
type conn struct {
	world   *world
	number  uint64
	latency time.Duration // one way

	// The gateway's end.
	gateway       *gateway
	epoch         int    // of the gateway's process
	readBuffer    []byte // reused for the next response
	received      []byte // arrived but not yet read
	readErr       error  // returned by a read once received is empty; nil: the connection is open
	onReadable    func() // called once when received or readErr changes; nil: no attempt waits
	gatewayClosed bool

	// The backend's end.
	backend       *backend
	backendEpoch  int
	requestBytes  []byte // arrived, but not yet a complete request
	requestCount  int    // complete requests received
	backendClosed bool
	sentAt        time.Duration // when the gateway began to write the last request
	idleSince     time.Duration // 0: a request is in progress

	toBackend direction
	toGateway direction
}

// direction is one direction of a connection.
type direction struct {
	lastArrival time.Duration // of everything sent so far
	pending     []func()      // deliveries, in order of arrival
}

// sortedConns returns connections in the order of their numbers, to make iteration deterministic.
func sortedConns(conns map[*conn]bool) []*conn {
	return slices.SortedFunc(maps.Keys(conns), func(a, b *conn) int { return int(a.number) - int(b.number) })
}

// dial opens a connection. done is called once, in a later event, with the connection or an error.
// cancel ends the wait with errCancelled. key is part of the key of its random draws.
func (g *gateway) dial(addr string, key []uint64, done func(*conn, error)) (cancel func()) {
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
	if backend == nil { // its address has changed
		fail(time.Millisecond, errConnRefused)
		return cancel
	}
	rng := g.world.newRand(append(key, 1, number)...)
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

// open completes a dial. It fails if the backend has restarted since the dial. If the gateway's process
// has ended since, done belongs to that process and is not called: the operating system has closed the
// connection.
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

// startIdleTimer makes the backend close the connection if no request arrives within the idle timeout.
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

// closeByBackend closes the backend's end.
func (c *conn) closeByBackend() {
	c.backendClosed = true
	delete(c.backend.conns, c)
}

// deliver runs an event at the other end after the latency plus a delay, or later if an earlier
// delivery in the same direction is still pending. During a partition it waits for the partition's end.
func (c *conn) deliver(direction *direction, delay time.Duration, event func()) {
	direction.pending = append(direction.pending, event)
	direction.lastArrival = max(direction.lastArrival, c.world.now+c.latency+max(0, delay))
	var arrive func()
	arrive = func() {
		if until := c.gateway.partitionedUntil[c.backend]; until > c.world.now {
			c.world.scheduleAt(until, arrive)
			return
		}
		event := direction.pending[0]
		direction.pending = direction.pending[1:]
		event()
	}
	c.world.scheduleAt(direction.lastArrival, arrive)
}

// sendToBackend sends bytes to the backend. If its end is closed or its process has ended, the
// connection is reset.
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

// sendTrailing sends bytes that follow a response. If a partition delays them, the connection is reset
// instead: they would arrive when the connection is in use for the next request, and as HTTP/1.1
// responses do not identify their request, they would be taken for its response.
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

// sendReadError makes the gateway's reads fail with an error after the bytes sent so far.
func (c *conn) sendReadError(err error) {
	c.deliver(&c.toGateway, 0, func() {
		if c.readErr == nil {
			c.readErr = err
			c.wakeReader()
		}
	})
}

// reset closes the connection at once for the backend; the gateway learns of it after the latency.
func (c *conn) reset() {
	c.closeByBackend()
	c.sendReadError(errConnReset)
}

// wakeReader resumes the attempt that waits for bytes or a read error, if there is one.
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

// onGatewayClosed handles at the backend's end that the gateway has closed its end.
func (c *conn) onGatewayClosed() {
	if !c.backendClosed {
		c.closeByBackend()
		c.backend.onConnClosed(c)
	}
}
