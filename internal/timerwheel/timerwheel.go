// Package timerwheel is a hierarchical timing wheel for many timers that are mostly cancelled before
// they fire, or that all run about as long. Adding and removing a timer is O(1). Advancing time costs
// one step for each timer that fires and each level that a timer moves down; waiting timers cost
// nothing. (BenchmarkWheel compares it with a heap.) After Varghese and Lauck, "Hashed and
// Hierarchical Timing Wheels" (1987).
//
// The package is pure. It allocates nothing, as a Timer is embedded in what it belongs to, and it is
// not safe for concurrent use.
package timerwheel

import (
	"math/bits"
	"time"
)

const (
	bitsPerLevel  = 6
	slotsPerLevel = 1 << bitsPerLevel
	levels        = (64 + bitsPerLevel - 1) / bitsPerLevel
)

// Timer is one timer. Its zero value is not scheduled. It must not be copied while it is scheduled.
type Timer[T any] struct {
	Value      T         // for the owner's use
	next, prev *Timer[T] // ring of its slot; nil: not scheduled
	dueTick    uint64
	level      uint8
	slot       uint8
}

// Scheduled reports whether the timer is in a wheel.
func (t *Timer[T]) Scheduled() bool { return t.next != nil }

// Wheel holds timers. Times are durations since one origin and must not go back. A timer fires at the
// first tick at or after its time.
type Wheel[T any] struct {
	tick     time.Duration
	nowTick  uint64 // the last tick that is over
	count    int
	rings    [levels][slotsPerLevel]*Timer[T] // the first timer of each slot
	occupied [levels]uint64                   // a bit for each slot
}

// New returns a Wheel with a resolution of tick that begins at now.
func New[T any](tick, now time.Duration) *Wheel[T] {
	return &Wheel[T]{tick: tick, nowTick: uint64(max(0, now) / tick)}
}

// Len returns the number of scheduled timers.
func (w *Wheel[T]) Len() int { return w.count }

// Add schedules a timer that is not scheduled. If its time has passed it fires at the next tick.
func (w *Wheel[T]) Add(t *Timer[T], at time.Duration) {
	t.dueTick = max(w.nowTick+1, uint64((max(0, at)+w.tick-1)/w.tick))
	w.insert(t)
	w.count++
}

// Remove cancels a timer. It does nothing if the timer is not scheduled.
func (w *Wheel[T]) Remove(t *Timer[T]) {
	if t.Scheduled() {
		w.unlink(t)
		w.count--
	}
}

// insert puts a timer into the slot for the highest group of bits in which its tick differs from the
// present one.
func (w *Wheel[T]) insert(t *Timer[T]) {
	level := (bits.Len64(t.dueTick^w.nowTick) - 1) / bitsPerLevel
	slot := t.dueTick >> (level * bitsPerLevel) & (slotsPerLevel - 1)
	t.level, t.slot = uint8(level), uint8(slot)
	if first := w.rings[level][slot]; first == nil {
		t.next, t.prev = t, t
		w.rings[level][slot] = t
		w.occupied[level] |= 1 << slot
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

// earliest returns the first occupied slot of the lowest occupied level, and the tick at which the slot
// begins. Timers of a lower level fire before those of a higher one, as they differ from now in lower
// bits only.
func (w *Wheel[T]) earliest() (level, slot int, beginTick uint64, ok bool) {
	for level := range levels {
		if w.occupied[level] == 0 {
			continue
		}
		slot := bits.TrailingZeros64(w.occupied[level]) // all are ahead: passed slots are empty
		shift := level * bitsPerLevel
		above := w.nowTick >> shift &^ (slotsPerLevel - 1)
		return level, slot, (above | uint64(slot)) << shift, true
	}
	return 0, 0, 0, false
}

// Next returns a time before which no timer fires: that of the first timer, or an earlier one. ok is
// false if no timer is scheduled.
func (w *Wheel[T]) Next() (at time.Duration, ok bool) {
	_, _, tick, ok := w.earliest()
	return time.Duration(tick) * w.tick, ok
}

// Advance moves time to now and calls fire with each timer that is due, after removing it, in the order
// of their ticks; the order within one tick is not specified. fire may add and remove timers.
func (w *Wheel[T]) Advance(now time.Duration, fire func(*Timer[T])) {
	target := uint64(max(0, now) / w.tick)
	for {
		level, slot, beginTick, ok := w.earliest()
		if !ok || beginTick > target {
			break
		}
		w.nowTick = max(w.nowTick, beginTick)
		w.emptySlot(level, slot, fire)
	}
	w.nowTick = max(w.nowTick, target)
}

// emptySlot fires the timers of a slot that are due, and moves the others to lower levels.
func (w *Wheel[T]) emptySlot(level, slot int, fire func(*Timer[T])) {
	for w.rings[level][slot] != nil {
		t := w.rings[level][slot]
		w.unlink(t)
		if t.dueTick <= w.nowTick {
			w.count--
			fire(t)
		} else {
			w.insert(t)
		}
	}
}
