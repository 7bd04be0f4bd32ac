// Package pollbackoff computes when a gateway calls discovery. It is pure: times are durations, and the
// random part of delays comes from a seed.
//
// Gateways that start together, or lose discovery together, would call together. Where a call costs
// discovery work, most of these calls would then time out while discovery still works on them, and
// immediate retries would keep it overloaded for good. So each gateway calls at a random moment of its
// own, and doubles its delay after each call that fails.
//
// Delays are bounded, as a change counts as known 6 s after discovery had it and could be reached. A call
// that gets a response gets it within a second. So at most 5 s pass from the last moment at which a gateway
// can't have missed a change to its next call; the time that a failed call took is part of them.
//
// docs/measurements/0013-poll-backoff.md has the load that this puts on discovery.
package pollbackoff

import (
	"math/rand/v2"
	"time"

	"pumicecroft/internal/backoff"
)

const (
	// visibilityDeadline is when a change must be known, after discovery had it and could be reached.
	visibilityDeadline = 6 * time.Second
	// responseTime is the time within which a call that succeeds has been connected and answered.
	responseTime = time.Second
	// minDelay is the delay between calls that cost nothing, and the least delay after a failure.
	minDelay = 100 * time.Millisecond
	// maxFirstDelay and firstDelayDivisor bound the delay after a first failure: the divisor's part of the
	// interval, and at most the former.
	maxFirstDelay     = time.Second
	firstDelayDivisor = 10
	// maxJitter bounds the random part that is taken from a delay, as long ones need no more of it to
	// spread calls, and shorter delays are more calls.
	maxJitter = 1250 * time.Millisecond
)

// Backoff computes one gateway's delays. It is not safe for concurrent use.
type Backoff struct {
	interval time.Duration
	rng      *rand.Rand
	failures int // consecutive calls that failed
}

// New returns the backoff of a gateway that must call within an interval. Zero means that calls cost
// discovery nothing, so the gateway may call at once.
func New(interval time.Duration, seed uint64) *Backoff {
	return &Backoff{interval: max(0, interval), rng: rand.New(rand.NewPCG(seed, 0x9ace))}
}

// First returns the delay before a first call whose response is wanted within a time: at most four fifths
// of that, or of the interval if that is shorter. If nothing is known yet (wanted is zero), only a short
// delay spreads the calls of gateways that start together.
func (b *Backoff) First(wanted time.Duration) time.Duration {
	b.failures = 0
	return b.random(max(fourFifths(min(b.interval, wanted)), b.firstDelay()))
}

// AfterLoss returns the delay after a call that failed, or whose watch has ended. granted means that the
// call had been granted, so that others have probably lost their watches at the same moment. unsure is how
// long changes may have been missed: since the last progress of a granted watch, or since the call.
func (b *Backoff) AfterLoss(granted bool, unsure time.Duration) time.Duration {
	if b.interval == 0 {
		return minDelay
	}
	if granted {
		b.failures = 0
		return b.random(b.maxDelay(unsure))
	}
	return b.retryDelay(unsure)
}

// AfterInvalid returns the delay after a response that was rejected as invalid. The next one probably is
// too, and costs work even where calls do not, so the delay doubles until a call is granted. The parameters
// are those of AfterLoss.
func (b *Backoff) AfterInvalid(granted bool, unsure time.Duration) time.Duration {
	if granted {
		b.failures = 0
	}
	return b.retryDelay(unsure)
}

// retryDelay returns the delay after consecutive failures, and counts one more.
func (b *Backoff) retryDelay(unsure time.Duration) time.Duration {
	exponential := backoff.Exponential{Initial: max(minDelay, b.firstDelay()), Max: b.maxDelay(unsure)}
	delay := exponential.Delay(b.failures)
	b.failures++
	return delay - b.random(min(delay/2, maxJitter))
}

func (b *Backoff) firstDelay() time.Duration {
	return min(b.interval/firstDelayDivisor, maxFirstDelay)
}

// maxDelay returns the longest delay of a gateway that may have missed changes for a time: what is left of
// visibilityDeadline, less responseTime, and at most four fifths of the interval. Nothing is left after a
// pause of the process; minDelay holds then.
func (b *Backoff) maxDelay(unsure time.Duration) time.Duration {
	delay := max(minDelay, visibilityDeadline-responseTime-unsure)
	if b.interval > 0 {
		delay = min(delay, fourFifths(b.interval))
	}
	return delay
}

// fourFifths is how much of a time limit may pass before a call: the rest is for its response.
func fourFifths(d time.Duration) time.Duration { return d * 4 / 5 }

// random returns a uniformly distributed delay below limit.
func (b *Backoff) random(limit time.Duration) time.Duration {
	return time.Duration(b.rng.Float64() * float64(limit))
}
