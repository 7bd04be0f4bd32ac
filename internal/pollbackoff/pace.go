// Package pollbackoff settles when a front door asks discovery to be told of changes. It is pure: times are durations, chance comes from a
// seed; asking is the caller's. Of this module it imports internal/backoff.
//
// Doors that start together, or that lose discovery together, would ask together. Where a call costs discovery work, and it takes one call
// of each door in as long as one may go without asking (Within), it then has the calls of most wait for longer than they do: what it works
// on is nobody's any more, what comes meanwhile is turned away, and whoever asks again at once keeps it so for good. So each door asks at
// a moment of its own, and waits twice as long after each call that failed.
//
// How long it may wait: a change counts as told 6 s after discovery had it and could be reached, whatever became of calls before. So from the last
// moment at which a door can't have missed anything (the last word of a watch that had told its first list, else the beginning of the call that failed) to
// the next call it is 5 s at most, and a call that is answered has been answered within a second. The time that a call took to fail, or a watch to be
// given up for its silence, is within these 5 s: the bound is on the sum. A first call of all follows no other, and is spread over four fifths of Within.
//
// What it costs, for n doors: those that lose their watches in one moment make n/5 calls a second for 5 s, n/2 for 2 s where the watches fell silent
// together and took 3 s to be given up. Whoever is turned away waits a second at the most, then 2, then 4, then 3.75 to 5 s each time, so n doors that are
// turned away for long make n/4.4 calls a second, and in no second more than one each. A discovery that takes one call of each door in 5 s is not behind by
// that; if it needs 8 s they have their lists in some 15 s, and some ten or eighty doors may take a minute or more, if it queues what it can't answer in time.
package pollbackoff

import (
	"math/rand/v2"
	"time"

	"pumicecroft/internal/backoff"
)

const (
	minDelay           = 100 * time.Millisecond  // between two calls that cost nothing
	firstDelayDivisor  = 10                      // part of Within that is waited after a first failure ...
	maxFirstDelay      = time.Second             // ... and no more than this
	visibilityDeadline = 6 * time.Second         // after that a change counts as told
	maxJitter          = 1250 * time.Millisecond // of waits that are long: more of it would be more calls
	responseTime       = time.Second             // in which a call is dialled and its first list heard, if it is answered
)

// Backoff is when one door asks. It is not safe for concurrent use.
type Backoff struct {
	interval time.Duration
	rng      *rand.Rand
	failures int // calls in a row
}

// New is the pace of a door that must ask within a time whenever nobody tells it. 0: calls cost nothing, so it may ask at once.
func New(within time.Duration, seed uint64) *Backoff {
	return &Backoff{interval: max(0, within), rng: rand.New(rand.NewPCG(seed, 0x9ace))}
}

// First is how long to wait before a first call, by when the answer is wanted: at most for most of that, and of what the
// door may go without asking. 0: nothing that is known bears waiting, so there is only a little spread.
func (p *Backoff) First(wanted time.Duration) time.Duration {
	p.failures = 0
	return p.jitter(max(min(p.interval, wanted)*4/5, min(p.interval/firstDelayDivisor, maxFirstDelay)))
}

// AfterLoss is how long to wait once what was asked for has ended, or was not granted. unsure is since when something may have been missed: since the last
// word of what was granted, else since the call.
func (p *Backoff) AfterLoss(granted bool, unsure time.Duration) time.Duration {
	switch {
	case p.interval == 0:
		return minDelay
	case granted: // it is likely that others have lost it too
		p.failures = 0
		return p.jitter(p.maxDelay(unsure))
	}
	return p.retryDelay(unsure)
}

// AfterInvalid is how long to wait once a call was answered with a list that can't be taken. It is likely to be so again, and costs work even where a call does
// not, so it is asked for less and less often until something is granted. granted and unsure are as for Lost.
func (p *Backoff) AfterInvalid(granted bool, unsure time.Duration) time.Duration {
	if granted {
		p.failures = 0
	}
	return p.retryDelay(unsure)
}

// retryDelay is how long to wait before a call that others like it have failed before.
func (p *Backoff) retryDelay(unsure time.Duration) time.Duration {
	wait := backoff.Exponential{Initial: max(minDelay, min(p.interval/firstDelayDivisor, maxFirstDelay)), Max: p.maxDelay(unsure)}.Delay(p.failures)
	p.failures++
	return wait - p.jitter(min(wait/2, maxJitter))
}

// maxDelay is how long a door may wait that is unsure for a time: what is left until a change counts as told, less the time of an answer, and most of what it
// may go without asking. A process that stood still has nothing left, and asks all the same.
func (p *Backoff) maxDelay(unsure time.Duration) time.Duration {
	most := max(minDelay, visibilityDeadline-responseTime-unsure)
	if p.interval > 0 {
		most = min(most, p.interval*4/5)
	}
	return most
}

// jitter is a time below most, each as likely.
func (p *Backoff) jitter(most time.Duration) time.Duration {
	return time.Duration(p.rng.Float64() * float64(most))
}
