package executor

import "time"

// clockOrigin is how far before the Executor's start its clock begins, so that a backend that started before it has
// a start above 0. One that started even earlier counts as started long ago.
const clockOffset = 24 * time.Hour

// Clock turns times into the Machine's: durations since clockOrigin before NewClock, by the monotonic clock.
type Clock struct{ start time.Time }

// NewClock returns a clock that starts now.
func NewClock() Clock { return Clock{time.Now()} }

// Now is the present on the Machine's clock.
func (c Clock) Now() time.Duration { return clockOffset + time.Since(c.start) }

// ToWallTime is the system's time for one of the Machine's.
func (c Clock) ToWallTime(d time.Duration) time.Time { return c.start.Add(d - clockOffset) }

// FromWallTime turns a time of the wall clock into the Machine's. The zero time, and all before the clock's origin,
// is 0: long ago.
func (c Clock) FromWallTime(t time.Time) time.Duration {
	if t.IsZero() {
		return 0
	}
	return max(0, clockOffset+t.Round(0).Sub(c.start.Round(0)))
}
