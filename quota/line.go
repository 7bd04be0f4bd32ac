package quota

import (
	"time"

	"pumicecroft/internal/backoff"
)

const (
	mostOut   = 64       // calls of a door that may be out at once
	downAfter = 3        // calls in a row that were lost, before the counter counts as down
	shrinkBy  = 0.7      // of the customers, when a call is turned away or late
	growBy    = 1.0 / 64 // ... and back, with each that is answered
	leastPart = 1.0 / 64
)

// downtime is how long the counter counts as down before it is asked again.
var downtime = backoff.Exponential{Initial: 250 * time.Millisecond, Max: 4 * time.Second}

// Line is what a door knows of the way to the counter: whether it answers, and for which part of the customers it can
// be asked without being crowded. A counter that is crowded serves calls in turn and turns some away: then every door
// asks for fewer customers, all doors for about the same ones, so that who gives and who draws are the same.
type Line struct {
	part  float64
	out   int
	lost  int           // calls in a row
	until time.Duration // it counts as down until then
	wait  time.Duration // how long it counted as down for last
	trial bool          // one call is out to see whether it is up again
}

// NewLine is a line of which nothing is known.
func NewLine() Line { return Line{part: 1} }

// May tells whether a customer's pool may be asked for now; if so, Asked must be called.
func (l *Line) May(now time.Duration, p *Pool) bool {
	if l.out >= mostOut || l.lost >= downAfter && (now < l.until || l.trial) {
		return false
	}
	return l.part >= 1 || float64(p.key>>11)/(1<<53) < l.part
}

// Asked notes a call that goes out.
func (l *Line) Asked() {
	l.out++
	l.trial = l.lost >= downAfter
}

// Answered notes a call that was answered with a total.
func (l *Line) Answered() {
	l.out--
	l.lost, l.wait, l.trial = 0, 0, false
	l.part = min(1, l.part+growBy)
}

// Crowded notes a call that was turned away: the counter is up.
func (l *Line) Crowded(now time.Duration, chance float64) {
	l.part = max(leastPart, l.part*shrinkBy)
	l.Lost(now, chance)
}

// Lost notes a call with no answer. chance, from 0 to 1, spreads doors that lost the counter in the same moment.
func (l *Line) Lost(now time.Duration, chance float64) {
	l.out--
	l.trial = false
	if l.lost++; l.lost >= downAfter {
		l.wait = downtime.Next(l.wait)
		l.until = now + time.Duration((0.5+chance/2)*float64(l.wait))
	}
}
