package timerwheel

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// model is a Wheel together with a model of it, a plain list of timers.
type model struct {
	wheel  *Wheel[int]
	tick   time.Duration
	now    time.Duration
	timers []modelTimer
}

type modelTimer struct {
	timer   *Timer[int]
	dueTick time.Duration // the number of the tick, not a duration
}

// drawDuration draws a duration from least to at most 1<<maxBits, of varying magnitude.
func drawDuration(t *rapid.T, least int64, maxBits int, label string) time.Duration {
	bits := rapid.SampledFrom([]int{2, 7, 13, 20, maxBits}).Draw(t, "size")
	return time.Duration(rapid.Int64Range(least, 1<<bits).Draw(t, label))
}

func (m *model) add(t *rapid.T) {
	at := m.now + drawDuration(t, -5, 45, "after")
	timer := &Timer[int]{Value: len(m.timers)}
	m.wheel.Add(timer, at)
	dueTick := (max(0, at) + m.tick - 1) / m.tick
	m.timers = append(m.timers, modelTimer{timer, max(dueTick, m.now/m.tick+1)})
}

func (m *model) remove(t *rapid.T) {
	if len(m.timers) == 0 {
		t.Skip("no timers")
	}
	i := rapid.IntRange(0, len(m.timers)-1).Draw(t, "which")
	m.wheel.Remove(m.timers[i].timer)
	m.wheel.Remove(m.timers[i].timer)
	m.timers = slices.Delete(m.timers, i, i+1)
}

func (m *model) advance(t *rapid.T) {
	m.now += drawDuration(t, 0, 46, "duration")
	next, ok := m.wheel.Next()
	before := func(timer modelTimer) bool { return timer.dueTick*m.tick < next }
	if ok != (len(m.timers) > 0) || ok && slices.ContainsFunc(m.timers, before) {
		t.Fatalf("Next returns %v, %v with %d timers, or a timer is due earlier", next, ok, len(m.timers))
	}
	last := time.Duration(0)
	m.wheel.Advance(m.now, func(timer *Timer[int]) {
		i := slices.IndexFunc(m.timers, func(other modelTimer) bool { return other.timer == timer })
		if i < 0 || m.timers[i].dueTick > m.now/m.tick || m.timers[i].dueTick < last || timer.Scheduled() {
			t.Fatalf("timer %d fires at %v, after one of tick %d: it is not due, out of order, removed or still scheduled",
				timer.Value, m.now, last)
		}
		last = m.timers[i].dueTick
		m.timers = slices.Delete(m.timers, i, i+1)
	})
	for _, other := range m.timers {
		if other.dueTick <= m.now/m.tick || !other.timer.Scheduled() {
			t.Fatalf("timer %d, due at tick %d, has not fired at %v, or is not scheduled",
				other.timer.Value, other.dueTick, m.now)
		}
	}
}

func (m *model) checkLen(t *rapid.T) {
	if m.wheel.Len() != len(m.timers) {
		t.Fatalf("Len is %d, want %d", m.wheel.Len(), len(m.timers))
	}
}

// Timers are added and removed while time advances, at random. Each must fire exactly once, at the first tick at or
// after its time, in order of ticks.
func TestWheel_MatchesList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tick := time.Duration(rapid.SampledFrom([]int{1, 3, 1000}).Draw(t, "tick"))
		now := time.Duration(rapid.Int64Range(0, 1<<40).Draw(t, "start"))
		m := &model{wheel: New[int](tick, now), tick: tick, now: now}
		t.Repeat(map[string]func(*rapid.T){
			"add":     m.add,
			"remove":  m.remove,
			"advance": m.advance,
			"":        m.checkLen,
		})
	})
}

// A timer is added again when it fires, for a time that has passed. It must fire again at the next tick and not in
// the same call of Advance.
func TestWheel_AddWhileFiring(t *testing.T) {
	w := New[int](10, 0)
	fired := 0
	w.Add(&Timer[int]{}, 5)
	for now := time.Duration(0); now <= 100; now += 10 {
		w.Advance(now, func(timer *Timer[int]) {
			fired++
			w.Add(timer, now-50)
		})
	}
	if fired != 10 || w.Len() != 1 {
		t.Errorf("fired %d times with %d timers scheduled, want 10 and 1", fired, w.Len())
	}
}
