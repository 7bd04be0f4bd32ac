// Package timerwheel implements a hierarchical timing wheel, after Varghese and Lauck, "Hashed and
// Hierarchical Timing Wheels" (1987). It suits many timers that are mostly cancelled before they fire
// or that have similar durations. Adding and removing a timer is O(1). Advancing time costs one step for
// each timer that fires and each time that a timer moves to a lower level; waiting timers cost nothing.
// BenchmarkWheel compares it with a heap.
//
// The package is pure and not safe for concurrent use. Adding a timer allocates nothing, as the owner
// of a Timer provides its memory.
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
	next, prev *Timer[T] // circular list of the timers in its slot; nil if not scheduled
	dueTick    uint64
	level      uint8
	slot       uint8
}

// Scheduled reports whether the timer is in a wheel.
func (t *Timer[T]) Scheduled() bool { return t.next != nil }

// Wheel is a timing wheel. Times are durations since a common origin, and the current time must not
// decrease. A timer fires at the first tick at or after its time.
type Wheel[T any] struct {
	tick     time.Duration
	nowTick  uint64 // the last tick that has been processed
	count    int
	rings    [levels][slotsPerLevel]*Timer[T] // the first timer of each slot's circular list
	occupied [levels]uint64                   // bitmap of the slots that hold timers
}

// New returns a Wheel with a resolution of tick, whose current time is now.
func New[T any](tick, now time.Duration) *Wheel[T] {
	return &Wheel[T]{tick: tick, nowTick: uint64(max(0, now) / tick)}
}

// Len returns the number of scheduled timers.
func (w *Wheel[T]) Len() int { return w.count }

// Add schedules a timer to fire at a time. The timer must not be scheduled already. If the time has
// passed, the timer fires at the next tick.
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

// insert puts a timer into its slot. The bits of a tick are in groups of bitsPerLevel, numbered from the
// lowest. The level is the number of the highest group in which the timer's tick differs from the current
// tick; the slot is the value of this group in the timer's tick.
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

// earliestSlot returns the first occupied slot of the lowest occupied level, and the tick at which the
// slot begins. Timers of a lower level fire before those of a higher one, as the ticks of the former differ
// from the current tick in lower bits only.
func (w *Wheel[T]) earliestSlot() (level, slot int, beginTick uint64, ok bool) {
	for level := range levels {
		if w.occupied[level] == 0 {
			continue
		}
		slot := bits.TrailingZeros64(w.occupied[level]) // slots before the current tick are always empty
		shift := level * bitsPerLevel
		higherBits := w.nowTick >> shift &^ (slotsPerLevel - 1)
		return level, slot, (higherBits | uint64(slot)) << shift, true
	}
	return 0, 0, 0, false
}

// Next returns a lower bound on the time at which the next timer fires. ok is false if no timer is
// scheduled.
func (w *Wheel[T]) Next() (at time.Duration, ok bool) {
	_, _, tick, ok := w.earliestSlot()
	return time.Duration(tick) * w.tick, ok
}

// Advance sets the current time to now. It removes each timer that is due and then calls fire with it,
// in the order of the timers' ticks; the order within one tick is not specified. fire may add and remove
// timers.
func (w *Wheel[T]) Advance(now time.Duration, fire func(*Timer[T])) {
	target := uint64(max(0, now) / w.tick)
	for {
		level, slot, beginTick, ok := w.earliestSlot()
		if !ok || beginTick > target {
			break
		}
		w.nowTick = max(w.nowTick, beginTick)
		w.flushSlot(level, slot, fire)
	}
	w.nowTick = max(w.nowTick, target)
}

// flushSlot empties a slot: it fires the timers that are due and moves the others to lower levels.
func (w *Wheel[T]) flushSlot(level, slot int, fire func(*Timer[T])) {
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
