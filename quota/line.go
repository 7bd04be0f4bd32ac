package quota

import (
	"time"

	"pumicecroft/internal/backoff"
)

const (
	maxCallsInFlight       = 64       // calls of a door that may be out at once
	downThreshold          = 3        // calls in a row that were lost, before the counter counts as down
	fractionDecreaseFactor = 0.7      // of the customers, when a call is turned away or late
	fractionIncrease       = 1.0 / 64 // ... and back, with each that is answered
	minCustomerFraction    = 1.0 / 64
)

// downtime is how long the counter counts as down before it is asked again.
var downtime = backoff.Exponential{Initial: 250 * time.Millisecond, Max: 4 * time.Second}

// CounterLink is what a door knows of the way to the counter: whether it answers, and for which part of the customers it can
// be asked without being crowded. A counter that is crowded serves calls in turn and turns some away: then every door
// asks for fewer customers, all doors for about the same ones, so that who gives and who draws are the same.
type CounterLink struct {
	customerFraction float64
	inFlight         int
	failures         int           // calls in a row
	downUntil        time.Duration // it counts as down until then
	backoff          time.Duration // how long it counted as down for last
	probing          bool          // one call is out to see whether it is up again
}

// NewCounterLink is a line of which nothing is known.
func NewCounterLink() CounterLink { return CounterLink{customerFraction: 1} }

// Allow tells whether a customer's pool may be asked for now; if so, Asked must be called.
func (l *CounterLink) Allow(now time.Duration, p *SharedBucket) bool {
	if l.inFlight >= maxCallsInFlight || l.failures >= downThreshold && (now < l.downUntil || l.probing) {
		return false
	}
	return l.customerFraction >= 1 || float64(p.key>>11)/(1<<53) < l.customerFraction
}

// CallStarted notes a call that goes out.
func (l *CounterLink) CallStarted() {
	l.inFlight++
	l.probing = l.failures >= downThreshold
}

// CallSucceeded notes a call that was answered with a total.
func (l *CounterLink) CallSucceeded() {
	l.inFlight--
	l.failures, l.backoff, l.probing = 0, 0, false
	l.customerFraction = min(1, l.customerFraction+fractionIncrease)
}

// CallRejected notes a call that was turned away: the counter is up.
func (l *CounterLink) CallRejected(now time.Duration, chance float64) {
	l.customerFraction = max(minCustomerFraction, l.customerFraction*fractionDecreaseFactor)
	l.CallFailed(now, chance)
}

// CallFailed notes a call with no answer. chance, from 0 to 1, spreads doors that lost the counter in the same moment.
func (l *CounterLink) CallFailed(now time.Duration, chance float64) {
	l.inFlight--
	l.probing = false
	if l.failures++; l.failures >= downThreshold {
		l.backoff = downtime.Next(l.backoff)
		l.downUntil = now + time.Duration((0.5+chance/2)*float64(l.backoff))
	}
}
