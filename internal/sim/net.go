package sim

import (
	"errors"
	"time"

	"pumicecroft/internal/platformhttp"
)

var (
	errConnRefused = errors.New("refused")
	errConnTimeout = errors.New("not up in time")
	errConnReset   = errors.New("reset")
	errConnClosed  = errors.New("closed by the other side")
	errCancelled   = errors.New("cut short") // what an operation ends with whose attempt was called off
	errReadTimeout = errors.New("not whole in time")
)

// conn is one connection between a door and a backend. Bytes come in the order in which they were sent, and never before the
// way there takes; what one connection does says nothing of another.
type conn struct {
	world        *world
	gateway      *gateway
	readBuffer   []byte // for answers
	epoch        int    // of the door's process
	backend      *backend
	backendEpoch int // of the backend
	number       uint64
	latency      time.Duration

	received   []byte // has come to the door and is unread
	readErr    error  // behind it
	onReadable func() // the door waits for more
	closed     bool   // by the door

	requestBytes  []byte        // has come to the backend and is no whole request yet
	backendClosed bool          // the backend has let go of it
	requestCount  int           // requests that came whole
	sentAt        time.Duration // when the last request left
	idleSince     time.Duration
	toBackend     direction
	toGateway     direction
}

// direction is one direction: what was sent arrives in the order in which it was sent.
type direction struct {
	lastArrival time.Duration // when the last of it arrives
	pending     []func()
}

// dial opens a connection; done is called once, with one of them. cut ends the wait.
func (d *gateway) dial(addr string, chance []uint64, done func(*conn, error)) (cut func()) {
	d.dialCount++
	number, over := d.dialCount, false
	finish := func(after time.Duration, l *conn, err error) {
		d.world.scheduleAfter(after, func() {
			if !over {
				over = true
				done(l, err)
			}
		})
	}
	cut = func() { finish(0, nil, errCancelled) }
	b := d.runner.byAddr[addr]
	if d.openConns >= d.maxDescriptors {
		finish(0, nil, platformhttp.ErrNoDescriptors)
		return cut
	}
	if b == nil { // nobody is there any more
		finish(time.Millisecond, nil, errConnRefused)
		return cut
	}
	rng := d.world.newRand(append(chance, 1, number)...)
	l := &conn{world: d.world, gateway: d, epoch: d.epoch, backend: b, backendEpoch: b.epoch, number: uint64(d.number)<<40 | uint64(d.epoch)<<24 | number,
		latency: randDuration(rng, 100*time.Microsecond, 2*time.Millisecond)}
	switch {
	case !b.up || b.hitBy(ConnRefused, l.number):
		finish(l.latency, nil, errConnRefused)
	case b.hitBy(ConnHangs, l.number) || d.partitionedUntil[b] > d.world.now:
		finish(connectTimeout, nil, errConnTimeout)
	default:
		up := 2 * l.latency
		if b.hitBy(ConnLate, l.number) {
			if up = randDuration(rng, up, 2*connectTimeout); up >= connectTimeout {
				finish(connectTimeout, nil, errConnTimeout)
				return cut
			}
		}
		d.world.scheduleAfter(up, func() {
			if over { // nobody waits for it any more
				return
			}
			over = true
			if d.epoch != l.epoch { // whose process is no more, and another of its number is up: the system ends it
				return
			}
			if process := b.epoch; process != l.backendEpoch || !b.up {
				done(nil, errConnRefused)
				return
			}
			b.conns[l] = true
			l.startIdleTimer()
			done(l, nil)
		})
	}
	return cut
}

// startIdleTimer has the backend close the connection when nothing has been asked on it for long.
func (l *conn) startIdleTimer() {
	l.idleSince = l.world.now
	at := l.world.now
	l.world.scheduleAfter(l.gateway.runner.config.idleTimeout, func() {
		if l.idleSince == at && !l.backendClosed {
			l.endToGateway(errConnClosed)
			l.detachBackend()
		}
	})
}

func (l *conn) detachBackend() {
	l.backendClosed = true
	delete(l.backend.conns, l)
}

// deliver lets something happen at the other end after the way and a delay at the least, in the order of the calls. What meets
// a partition waits for its end.
func (l *conn) deliver(way *direction, delay time.Duration, do func()) {
	way.pending = append(way.pending, do)
	way.lastArrival = max(way.lastArrival, l.world.now+l.latency+max(0, delay))
	var land func()
	land = func() {
		if until := l.gateway.partitionedUntil[l.backend]; until > l.world.now {
			l.world.scheduleAt(until, land)
			return
		}
		first := way.pending[0]
		way.pending = way.pending[1:]
		first()
	}
	l.world.scheduleAt(way.lastArrival, land)
}

// sendToBackend puts bytes on their way to the backend.
func (l *conn) sendToBackend(text []byte, delay time.Duration) {
	l.deliver(&l.toBackend, delay, func() {
		if l.backendClosed || l.backendEpoch != l.backend.epoch {
			l.endToGateway(errConnReset)
			return
		}
		l.requestBytes = append(l.requestBytes, text...)
		l.backend.onBytes(l)
	})
}

// sendToGateway puts bytes on their way to the door.
func (l *conn) sendToGateway(text []byte, delay time.Duration) {
	l.deliver(&l.toGateway, delay, func() {
		if l.closed || l.readErr != nil {
			return
		}
		l.received = append(l.received, text...)
		l.wakeReader()
	})
}

// sendTrailing puts bytes on their way to the door that stand behind an answer. If a partition parts them from it, the connection ends in
// their place: they would come when it is long in use again, and HTTP/1.1 has nothing by which an answer names its request.
func (l *conn) sendTrailing(text []byte, delay time.Duration) {
	var due time.Duration
	l.deliver(&l.toGateway, delay, func() {
		switch {
		case l.closed || l.readErr != nil:
			return
		case l.world.now > due:
			l.readErr = errConnReset
		default:
			l.received = append(l.received, text...)
		}
		l.wakeReader()
	})
	due = l.toGateway.lastArrival
}

// endToGateway ends the connection towards the door.
func (l *conn) endToGateway(err error) {
	l.deliver(&l.toGateway, 0, func() {
		if l.readErr == nil {
			l.readErr = err
			l.wakeReader()
		}
	})
}

// reset ends the connection at both ends, at once for the backend.
func (l *conn) reset() {
	l.detachBackend()
	l.endToGateway(errConnReset)
}

func (l *conn) wakeReader() {
	if wake := l.onReadable; wake != nil {
		l.onReadable = nil
		wake()
	}
}

// closeByGateway is the door's.
func (l *conn) closeByGateway() {
	if l.closed {
		return
	}
	l.closed = true
	l.gateway.openConns--
	delete(l.gateway.conns, l)
	l.deliver(&l.toBackend, 0, l.onGatewayClosed)
}

// onGatewayClosed is the backend's, when the door's end has come.
func (l *conn) onGatewayClosed() {
	if !l.backendClosed {
		l.detachBackend()
		l.backend.onConnClosed(l)
	}
}
