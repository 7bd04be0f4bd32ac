package sim

import (
	"errors"
	"time"

	"pumicecroft/internal/httpwire"
)

var (
	errRefused = errors.New("refused")
	errHung    = errors.New("not up in time")
	errReset   = errors.New("reset")
	errFIN     = errors.New("closed by the other side")
	errCut     = errors.New("cut short") // what an operation ends with whose attempt was called off
	errSlow    = errors.New("not whole in time")
)

// link is one connection between a door and a backend. Bytes come in the order in which they were sent, and never before the
// way there takes; what one connection does says nothing of another.
type link struct {
	w       *world
	door    *door
	room    []byte // for answers
	epoch   int    // of the door's process
	backend *backend
	process int // of the backend
	number  uint64
	way     time.Duration

	come   []byte // has come to the door and is unread
	end    error  // behind it
	wake   func() // the door waits for more
	closed bool   // by the door

	got    []byte        // has come to the backend and is no whole request yet
	gone   bool          // the backend has let go of it
	asked  int           // requests that came whole
	sentAt time.Duration // when the last request left
	idleAt time.Duration
	up     lane
	down   lane
}

// lane is one direction: what was sent arrives in the order in which it was sent.
type lane struct {
	last time.Duration // when the last of it arrives
	held []func()
}

// dial opens a connection; done is called once, with one of them. cut ends the wait.
func (d *door) dial(addr string, chance []uint64, done func(*link, error)) (cut func()) {
	d.dials++
	number, over := d.dials, false
	finish := func(after time.Duration, l *link, err error) {
		d.w.after(after, func() {
			if !over {
				over = true
				done(l, err)
			}
		})
	}
	cut = func() { finish(0, nil, errCut) }
	b := d.r.byAddr[addr]
	if d.open >= d.descriptors {
		finish(0, nil, httpwire.ErrShort)
		return cut
	}
	if b == nil { // nobody is there any more
		finish(time.Millisecond, nil, errRefused)
		return cut
	}
	rng := d.w.chance(append(chance, 1, number)...)
	l := &link{w: d.w, door: d, epoch: d.epoch, backend: b, process: b.epoch, number: uint64(d.number)<<40 | uint64(d.epoch)<<24 | number,
		way: between(rng, 100*time.Microsecond, 2*time.Millisecond)}
	switch {
	case !b.up || b.meets(RefuseConn, l.number):
		finish(l.way, nil, errRefused)
	case b.meets(HangConn, l.number) || d.cutOff[b] > d.w.now:
		finish(connectTimeout, nil, errHung)
	default:
		up := 2 * l.way
		if b.meets(LateConn, l.number) {
			if up = between(rng, up, 2*connectTimeout); up >= connectTimeout {
				finish(connectTimeout, nil, errHung)
				return cut
			}
		}
		d.w.after(up, func() {
			if over { // nobody waits for it any more
				return
			}
			over = true
			if d.epoch != l.epoch { // whose process is no more, and another of its number is up: the system ends it
				return
			}
			if process := b.epoch; process != l.process || !b.up {
				done(nil, errRefused)
				return
			}
			b.links[l] = true
			l.idle()
			done(l, nil)
		})
	}
	return cut
}

// idle has the backend close the connection when nothing has been asked on it for long.
func (l *link) idle() {
	l.idleAt = l.w.now
	at := l.w.now
	l.w.after(l.door.r.shape.idle, func() {
		if l.idleAt == at && !l.gone {
			l.endDown(errFIN)
			l.letGo()
		}
	})
}

func (l *link) letGo() {
	l.gone = true
	delete(l.backend.links, l)
}

// arrive lets something happen at the other end after the way and a delay at the least, in the order of the calls. What meets
// a partition waits for its end.
func (l *link) arrive(way *lane, delay time.Duration, do func()) {
	way.held = append(way.held, do)
	way.last = max(way.last, l.w.now+l.way+max(0, delay))
	var land func()
	land = func() {
		if until := l.door.cutOff[l.backend]; until > l.w.now {
			l.w.at(until, land)
			return
		}
		first := way.held[0]
		way.held = way.held[1:]
		first()
	}
	l.w.at(way.last, land)
}

// send puts bytes on their way to the backend.
func (l *link) send(text []byte, delay time.Duration) {
	l.arrive(&l.up, delay, func() {
		if l.gone || l.process != l.backend.epoch {
			l.endDown(errReset)
			return
		}
		l.got = append(l.got, text...)
		l.backend.hear(l)
	})
}

// answer puts bytes on their way to the door.
func (l *link) answer(text []byte, delay time.Duration) {
	l.arrive(&l.down, delay, func() {
		if l.closed || l.end != nil {
			return
		}
		l.come = append(l.come, text...)
		l.rouse()
	})
}

// behind puts bytes on their way to the door that stand behind an answer. If a partition parts them from it, the connection ends in
// their place: they would come when it is long in use again, and HTTP/1.1 has nothing by which an answer names its request.
func (l *link) behind(text []byte, delay time.Duration) {
	var due time.Duration
	l.arrive(&l.down, delay, func() {
		switch {
		case l.closed || l.end != nil:
			return
		case l.w.now > due:
			l.end = errReset
		default:
			l.come = append(l.come, text...)
		}
		l.rouse()
	})
	due = l.down.last
}

// endDown ends the connection towards the door.
func (l *link) endDown(err error) {
	l.arrive(&l.down, 0, func() {
		if l.end == nil {
			l.end = err
			l.rouse()
		}
	})
}

// breaks ends the connection at both ends, at once for the backend.
func (l *link) breaks() {
	l.letGo()
	l.endDown(errReset)
}

func (l *link) rouse() {
	if wake := l.wake; wake != nil {
		l.wake = nil
		wake()
	}
}

// close is the door's.
func (l *link) close() {
	if l.closed {
		return
	}
	l.closed = true
	l.door.open--
	delete(l.door.links, l)
	l.arrive(&l.up, 0, l.shut)
}

// shut is the backend's, when the door's end has come.
func (l *link) shut() {
	if !l.gone {
		l.letGo()
		l.backend.left(l)
	}
}
