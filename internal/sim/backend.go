package sim

import (
	"time"

	"pumicecroft/decision"
)

// backend has slots, a queue, a memory of keys that its cell shares, and falls if it is sent too much while it is cold.
type backend struct {
	w        *world
	c        *check
	number   int
	cell     *cell
	epoch    int // of its process
	up       bool
	born     time.Duration // 0: long ago
	draining bool          // what discovery says
	busy     int
	queue    []func()
	recent   []time.Duration // arrivals while it is cold
	fallen   bool
	// Sent more than this multiple of what it can do while it is cold, for so long, it falls.
	fallMultiple float64
	fallFor      time.Duration
	faults       [kinds]float64 // the share that each meets now
}

// cell is what backends of one rack remember together.
type cell struct {
	number int
	keys   map[uint64]time.Duration
}

const (
	slots    = 4
	service  = 80 * time.Millisecond // mean
	capacity = slots / 0.080         // requests a second, warm
)

// warmth is the share of its capacity that it has.
func (b *backend) warmth() float64 {
	if b.born == 0 {
		return 1
	}
	return min(1, coldFrom+(1-coldFrom)*float64(b.w.now-b.born)/float64(warmWithin))
}

// meets tells whether a fault meets something, by chance that hangs on that alone.
func (b *backend) meets(k Kind, of ...uint64) bool {
	share := b.faults[k]
	return share > 0 && b.w.chance(append(of, uint64(k), uint64(b.number))...).Float64() < share
}

// arrive is an attempt that has come whole; answer is called with how it is answered, or never.
func (b *backend) arrive(try *attempt, answer func(decision.Result)) {
	if !b.up {
		return // the connection is gone with the process; the door's side says so
	}
	if w := b.warmth(); w < 1 {
		for len(b.recent) > 0 && b.w.now-b.recent[0] > b.fallFor {
			b.recent = b.recent[1:]
		}
		b.recent = append(b.recent, b.w.now)
		if b.w.now-b.born > b.fallFor && float64(len(b.recent)) > b.fallMultiple*w*capacity*b.fallFor.Seconds() && !b.fallen {
			b.fallen = true
			b.c.fell(b, len(b.recent))
		}
	}
	if b.fallen || b.meets(TurnAway, try.key()...) || len(b.queue) >= 40 {
		answer(decision.Refused)
		return
	}
	epoch := b.epoch
	work := func() {
		b.busy++
		took := time.Duration((0.5 + b.w.chance(append(try.key(), 77)...).Float64()) * float64(service) / b.warmth())
		if b.faults[Slow] > 0 {
			took *= 8
		}
		b.w.after(took, func() {
			if epoch != b.epoch {
				return // its process is gone
			}
			b.busy--
			if len(b.queue) > 0 {
				next := b.queue[0]
				b.queue = b.queue[1:]
				next()
			}
			b.c.ran(try, b)
			answer(decision.Answered)
		})
	}
	if b.busy < slots {
		work()
	} else {
		b.queue = append(b.queue, work)
	}
}

// first tells whether a key's effect is new to the cell, and keeps it.
func (c *cell) first(key uint64, now time.Duration) bool {
	if at, known := c.keys[key]; known && now-at < keyWindow {
		return false
	}
	c.keys[key] = now
	return true
}

// restart is a new process, which is cold.
func (b *backend) restart() {
	b.up, b.born, b.fallen, b.recent = true, b.w.now, false, nil
	b.epoch++
	b.busy, b.queue = 0, nil
}

// die ends the process: what it had is lost, and whoever waits hears that the connection broke.
func (b *backend) die() {
	b.up = false
	b.epoch++
	b.busy, b.queue = 0, nil
}
