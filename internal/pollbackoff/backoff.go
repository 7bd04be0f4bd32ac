// Package pollbackoff computes when a gateway calls discovery. It is deterministic: times are passed in as
// durations, and the jitter comes from a seeded generator.
//
// Gateways that start together, or lose discovery together, would call it at the same moment. If a call
// costs discovery work, most of these calls would time out while discovery still works on them, and
// immediate retries would keep it overloaded indefinitely. So each gateway calls at a random time, and its
// delay doubles after each failed call.
//
// Delays are bounded, as a gateway must know a change 6 s after discovery had it and was reachable. A call
// that succeeds has its response within a second. So the next call must start at most 5 s after the last
// moment at which the gateway's list was certainly up to date; the duration of a failed call counts towards
// these 5 s.
//
// docs/measurements/0013-poll-backoff.md describes the resulting load on discovery.
package pollbackoff

import (
	"math/rand/v2"
	"time"

	"pumicecroft/internal/backoff"
)

const (
	// visibilityDeadline is the time within which a gateway must know a change after discovery had it and
	// was reachable.
	visibilityDeadline = 6 * time.Second
	// responseTime is the time that a successful call may take, including the connection setup.
	responseTime = time.Second
	// minDelay is the delay between calls that cost nothing, and the minimum delay after a failure, before
	// jitter.
	minDelay = 100 * time.Millisecond
	// maxFirstDelay and firstDelayDivisor determine the delay after a first failure: the interval divided by
	// firstDelayDivisor, but at most maxFirstDelay.
	maxFirstDelay     = time.Second
	firstDelayDivisor = 10
	// maxJitter is the maximum jitter that is subtracted from a delay. More is not needed to spread calls,
	// and shorter delays mean more calls.
	maxJitter = 1250 * time.Millisecond
)

// Backoff computes the delays of one gateway. It is not safe for concurrent use.
type Backoff struct {
	interval time.Duration
	rng      *rand.Rand
	failures int // consecutive failed calls
}

// New returns the backoff of a gateway that must call discovery within an interval. Zero means that
// calls cost discovery nothing, so the gateway may call at once.
func New(interval time.Duration, seed uint64) *Backoff {
	return &Backoff{interval: max(0, interval), rng: rand.New(rand.NewPCG(seed, 0x9ace))}
}

// First returns the delay before the first call, whose response should arrive within the given time. It is at
// most four fifths of that time or of the interval, whichever is shorter. If no endpoints are known yet
// (within is 0), the delay is short and only spreads the calls of gateways that start together.
func (b *Backoff) First(within time.Duration) time.Duration {
	b.failures = 0
	return b.randomBelow(max(latestCall(min(b.interval, within)), b.firstDelay()))
}

// AfterFailure returns the delay after a call that failed or whose watch ended. served means that discovery had
// served the call before its watch ended; other gateways have probably lost their watches at the same moment.
// staleFor is how long changes may have been missed: since the last progress of a served watch, otherwise
// since the call.
func (b *Backoff) AfterFailure(served bool, staleFor time.Duration) time.Duration {
	if b.interval == 0 {
		return minDelay
	}
	if served {
		b.failures = 0
		return b.randomBelow(b.maxDelay(staleFor))
	}
	return b.retryDelay(staleFor)
}

// AfterInvalidUpdate returns the delay after a response that was rejected as invalid. The next response is probably
// invalid too, and costs work even if calls are otherwise free, so the delay doubles until a call is served.
// The parameters are those of AfterFailure.
func (b *Backoff) AfterInvalidUpdate(served bool, staleFor time.Duration) time.Duration {
	if served {
		b.failures = 0
	}
	return b.retryDelay(staleFor)
}

// retryDelay returns the delay after a failed call and increments the number of consecutive failures.
func (b *Backoff) retryDelay(staleFor time.Duration) time.Duration {
	exponential := backoff.Exponential{Initial: max(minDelay, b.firstDelay()), Max: b.maxDelay(staleFor)}
	delay := exponential.Delay(b.failures)
	b.failures++
	return delay - b.randomBelow(min(delay/2, maxJitter))
}

func (b *Backoff) firstDelay() time.Duration {
	return min(b.interval/firstDelayDivisor, maxFirstDelay)
}

// maxDelay returns the maximum delay of a gateway whose list may have been stale for a time: the rest of
// visibilityDeadline, less responseTime, but at least minDelay, as nothing may be left after a pause of the
// process. It is never more than four fifths of the interval.
func (b *Backoff) maxDelay(staleFor time.Duration) time.Duration {
	delay := max(minDelay, visibilityDeadline-responseTime-staleFor)
	if b.interval > 0 {
		delay = min(delay, latestCall(b.interval))
	}
	return delay
}

// latestCall returns the latest time for a call whose response must arrive within limit: the last fifth is
// left for the response.
func latestCall(limit time.Duration) time.Duration { return limit * 4 / 5 }

// randomBelow returns a uniformly distributed delay below limit.
func (b *Backoff) randomBelow(limit time.Duration) time.Duration {
	return time.Duration(b.rng.Float64() * float64(limit))
}
