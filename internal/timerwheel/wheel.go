// Package timerwheel is a hierarchical timing wheel: setting and unsetting a timer is O(1), and letting time pass costs what comes due,
// and a move for each level that a timer falls through, not what waits. It is for many timers that mostly are unset before they
// come, or that all wait about as long; a heap's O(log n) is over memory that is rarely in a cache by then (BenchmarkWheel has
// both). After Varghese and Lauck, "Hashed and Hierarchical Timing Wheels" (1987).
//
// It is pure, allocates nothing (a Timer stands in what it belongs to) and is not safe for concurrent use.
package timerwheel

import (
	"math/bits"
	"time"
)

const (
	bitsPerLevel  = 6 // bits: 64 slots
	slotsPerLevel = 1 << bitsPerLevel
	levels        = (64 + bitsPerLevel - 1) / bitsPerLevel
)

// Timer is one timer, for the owner to place in what it is for. The zero value is not set.
type Timer[T any] struct {
	Value      T
	next, prev *Timer[T] // in its slot's ring; nil: it is not set
	dueTick    uint64    // ticks
	level      uint8
	slot       uint8
}

// Scheduled tells whether the timer is set.
func (t *Timer[T]) Scheduled() bool { return t.next != nil }

// Wheel holds timers. Times are durations on one clock that does not go back; a timer comes at the first tick at or after its time.
type Wheel[T any] struct {
	tick     time.Duration
	nowTick  uint64 // ticks that are over
	count    int
	rings    [levels][slotsPerLevel]*Timer[T] // the first of each ring
	occupied [levels]uint64                   // bits by slot
}

// New makes one that tells times apart by a tick, from a time on.
func New[T any](tick, now time.Duration) *Wheel[T] {
	return &Wheel[T]{tick: tick, nowTick: uint64(max(0, now) / tick)}
}

// Len is how many timers are set.
func (w *Wheel[T]) Len() int { return w.count }

// Add sets a timer that is not set. One whose time is over comes at the next tick.
func (w *Wheel[T]) Add(t *Timer[T], at time.Duration) {
	t.dueTick = max(w.nowTick+1, uint64((max(0, at)+w.tick-1)/w.tick))
	w.insert(t)
	w.count++
}

// Remove unsets a timer; one that is not set stays so.
func (w *Wheel[T]) Remove(t *Timer[T]) {
	if t.Scheduled() {
		w.unlink(t)
		w.count--
	}
}

// insert places a timer by the highest group of bits in which its tick differs from the present one.
func (w *Wheel[T]) insert(t *Timer[T]) {
	l := (bits.Len64(t.dueTick^w.nowTick) - 1) / bitsPerLevel
	s := t.dueTick >> (l * bitsPerLevel) & (slotsPerLevel - 1)
	t.level, t.slot = uint8(l), uint8(s)
	if first := w.rings[l][s]; first == nil {
		t.next, t.prev = t, t
		w.rings[l][s] = t
		w.occupied[l] |= 1 << s
	} else {
		t.next, t.prev = first, first.prev
		first.prev.next, first.prev = t, t
	}
}

func (w *Wheel[T]) unlink(t *Timer[T]) {
	ring := &w.rings[t.level][t.slot]
	if t.next == t {
		*ring = nil
		w.occupied[t.level] &^= 1 << t.slot
	} else {
		t.prev.next, t.next.prev = t.next, t.prev
		if *ring == t {
			*ring = t.next
		}
	}
	t.next, t.prev = nil, nil
}

// earliest is the lowest level that holds anything, its first slot, and the tick at which that begins. A lower level's come
// before a higher one's: they differ from now in fewer bits.
func (w *Wheel[T]) earliest() (level, slot int, at uint64, ok bool) {
	for l := range levels {
		if w.occupied[l] == 0 {
			continue
		}
		s := bits.TrailingZeros64(w.occupied[l]) // all are ahead: those behind have been emptied
		shift := l * bitsPerLevel
		above := w.nowTick >> shift &^ (slotsPerLevel - 1)
		return l, s, (above | uint64(s)) << shift, true
	}
	return 0, 0, 0, false
}

// Next is a time before which nothing comes due; that of the first timer, or earlier.
func (w *Wheel[T]) Next() (at time.Duration, ok bool) {
	_, _, tick, ok := w.earliest()
	return time.Duration(tick) * w.tick, ok
}

// Advance lets time pass and gives what comes due, each timer unset, in the order of their ticks; among those of one tick
// there is an order, which is none of their setting. due may set and unset timers.
func (w *Wheel[T]) Advance(now time.Duration, due func(*Timer[T])) {
	to := uint64(max(0, now) / w.tick)
	for {
		l, s, at, ok := w.earliest()
		if !ok || at > to {
			break
		}
		w.nowTick = max(w.nowTick, at)
		for w.rings[l][s] != nil {
			t := w.rings[l][s]
			w.unlink(t)
			if t.dueTick <= w.nowTick {
				w.count--
				due(t)
			} else {
				w.insert(t)
			}
		}
	}
	w.nowTick = max(w.nowTick, to)
}
