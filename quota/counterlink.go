package quota

import (
	"time"

	"pumicecroft/internal/backoff"
)

const (
	// maxCallsInFlight bounds the calls of one gateway.
	maxCallsInFlight = 64

	// downThreshold is how many calls in a row must fail before the counter counts as down.
	downThreshold = 3

	// fractionDecreaseFactor is what a call that was rejected leaves of the fraction of customers
	// that the counter is called for, fractionIncrease what each success adds to it,
	// minCustomerFraction the least that it is.
	fractionDecreaseFactor = 0.7
	fractionIncrease       = 1.0 / 64
	minCustomerFraction    = 1.0 / 64
)

// downBackoff is how long the counter counts as down, until one call tries it again.
var downBackoff = backoff.Exponential{Initial: 250 * time.Millisecond, Max: 4 * time.Second}

// CounterLink is what a gateway knows of its way to the shared counter: whether it responds, and
// for which fraction of the customers it can be called without being crowded. A crowded counter
// serves calls in turn and turns some away. Then every gateway calls it for fewer customers, and
// all gateways for about the same ones, so that those that deposit and those that withdraw still
// meet.
type CounterLink struct {
	customerFraction float64
	inFlight         int
	failures         int // in a row
	downUntil        time.Duration
	downFor          time.Duration // how long it counted as down for last, before jitter
	probing          bool          // one call is in flight to see whether it is up again
}

// NewCounterLink returns a link of which nothing is known: the counter may be called for all
// customers.
func NewCounterLink() CounterLink { return CounterLink{customerFraction: 1} }

// Allow reports whether the counter may be called for a customer's bucket now. If so CallStarted
// must follow.
func (l *CounterLink) Allow(now time.Duration, bucket *SharedBucket) bool {
	down := l.failures >= downThreshold
	if l.inFlight >= maxCallsInFlight || down && (now < l.downUntil || l.probing) {
		return false
	}
	return l.customerFraction >= 1 || float64(bucket.key>>11)/(1<<53) < l.customerFraction
}

// CallStarted records a call. Exactly one of CallSucceeded, CallRejected and CallFailed must
// follow.
func (l *CounterLink) CallStarted() {
	l.inFlight++
	l.probing = l.failures >= downThreshold
}

// CallSucceeded records a call that returned a total.
func (l *CounterLink) CallSucceeded() {
	l.inFlight--
	l.failures, l.downFor, l.probing = 0, 0, false
	l.customerFraction = min(1, l.customerFraction+fractionIncrease)
}

// CallRejected records a call that the counter turned away, as it is crowded. chance is as for
// CallFailed.
func (l *CounterLink) CallRejected(now time.Duration, chance float64) {
	l.customerFraction = max(minCustomerFraction, l.customerFraction*fractionDecreaseFactor)
	l.CallFailed(now, chance)
}

// CallFailed records a call without a result. chance, 0 to 1, is random, and keeps gateways apart
// that lost the counter in the same moment.
func (l *CounterLink) CallFailed(now time.Duration, chance float64) {
	l.inFlight--
	l.probing = false
	l.failures++
	if l.failures >= downThreshold {
		l.downFor = downBackoff.Next(l.downFor)
		l.downUntil = now + time.Duration((0.5+chance/2)*float64(l.downFor))
	}
}
