package executor

import "time"

// clockOffset is the time on a Clock when it is created. With it, a backend that started up to 24 h before the gateway
// has a start time above 0. A start time of 0 means that the backend started long ago.
const clockOffset = 24 * time.Hour

// Clock converts between system time and the Machine's time, which is the duration since an origin clockOffset before
// NewClock was called, measured by the monotonic clock.
type Clock struct{ start time.Time }

// NewClock returns a Clock that starts now.
func NewClock() Clock { return Clock{time.Now()} }

// Now returns the current time on the Machine's clock.
func (c Clock) Now() time.Duration { return clockOffset + time.Since(c.start) }

// ToWallTime converts a time of the Machine's clock to system time.
func (c Clock) ToWallTime(d time.Duration) time.Time { return c.start.Add(d - clockOffset) }

// FromWallTime converts a wall clock time to the Machine's clock. It returns 0, which means long ago, for the zero time
// and for times before the origin.
func (c Clock) FromWallTime(t time.Time) time.Duration {
	if t.IsZero() {
		return 0
	}
	return max(0, clockOffset+t.Round(0).Sub(c.start.Round(0)))
}
