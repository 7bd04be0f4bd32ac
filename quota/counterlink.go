package quota

import (
	"time"

	"pumicecroft/internal/backoff"
)

const (
	// maxCallsInFlight limits the concurrent calls of one gateway.
	maxCallsInFlight = 64

	// downThreshold is the number of consecutive failed calls after which the counter counts as down.
	downThreshold = 3

	// The fraction of customers that the counter is called for decreases by a factor with each
	// rejected call and increases by a constant with each successful one (AIMD).
	fractionDecreaseFactor = 0.7
	fractionIncrease       = 1.0 / 64
	minCustomerFraction    = 1.0 / 64
)

// downBackoff is the time from when the counter counts as down until a single call probes it.
var downBackoff = backoff.Exponential{Initial: 250 * time.Millisecond, Max: 4 * time.Second}

// CounterLink is a gateway's circuit breaker and load limiter for calls to the shared counter. It
// tracks whether the counter responds, and for which fraction of the customers it can be called
// without being overloaded. An overloaded counter queues calls and rejects some of them. Each
// gateway then calls it for fewer customers. All gateways choose about the same customers, by the
// keys of their buckets, so that deposits and withdrawals still go to the same buckets.
type CounterLink struct {
	customerFraction float64
	inFlight         int
	failures         int // consecutive
	downUntil        time.Duration
	downFor          time.Duration // the last backoff delay, before jitter
	probing          bool          // a single call is in flight to probe whether the counter is up again
}

// NewCounterLink returns a CounterLink in its initial state, in which the counter may be called for
// all customers.
func NewCounterLink() CounterLink { return CounterLink{customerFraction: 1} }

// Allow reports whether the counter may be called for a customer's bucket now. If it returns true,
// the caller must make the call and record it with CallStarted.
func (l *CounterLink) Allow(now time.Duration, bucket *SharedBucket) bool {
	down := l.failures >= downThreshold
	if l.inFlight >= maxCallsInFlight || down && (now < l.downUntil || l.probing) {
		return false
	}
	return l.customerFraction >= 1 || float64(bucket.key>>11)/(1<<53) < l.customerFraction
}

// CallStarted records the start of a call. Its end must be recorded by exactly one of
// CallSucceeded, CallRejected and CallFailed.
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

// CallRejected records a call that the counter rejected because it is overloaded. random is as for
// CallFailed.
func (l *CounterLink) CallRejected(now time.Duration, random float64) {
	l.customerFraction = max(minCustomerFraction, l.customerFraction*fractionDecreaseFactor)
	l.CallFailed(now, random)
}

// CallFailed records a call that returned no result. random is a random number from 0 to 1. It adds
// jitter, so that gateways that lost the counter at the same moment don't probe it at the same time.
func (l *CounterLink) CallFailed(now time.Duration, random float64) {
	l.inFlight--
	l.probing = false
	l.failures++
	if l.failures >= downThreshold {
		l.downFor = downBackoff.Next(l.downFor)
		l.downUntil = now + time.Duration((0.5+random/2)*float64(l.downFor))
	}
}
