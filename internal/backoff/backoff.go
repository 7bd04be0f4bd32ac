// Package backoff computes how long to wait before a retry. It is pure: it reads no clock and draws
// no random numbers, so callers add their own jitter and the same inputs give the same delays.
package backoff

import "time"

// Exponential is a delay that doubles with each consecutive failure, up to a limit.
type Exponential struct {
	Initial time.Duration // delay after the first failure
	Max     time.Duration // upper limit of every delay, the first one included
}

// Delay returns the delay after a failure that followed the given number of consecutive failures:
// Initial for 0, twice that for 1, and so on, never more than Max.
func (e Exponential) Delay(failures int) time.Duration {
	delay := e.Initial
	for range failures {
		if delay <= 0 || delay >= e.Max {
			break
		}
		delay = e.double(delay)
	}
	return min(delay, e.Max)
}

// Next returns the delay that follows previous: Initial if previous is 0, else twice previous, never
// more than Max.
func (e Exponential) Next(previous time.Duration) time.Duration {
	return min(e.Max, max(e.Initial, e.double(previous)))
}

// double returns twice a delay. A delay over half of Max becomes Max, as doubling it could overflow.
func (e Exponential) double(delay time.Duration) time.Duration {
	if delay > e.Max/2 {
		return e.Max
	}
	return 2 * delay
}
