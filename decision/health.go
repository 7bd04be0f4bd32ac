package decision

import (
	"math"
	"time"

	"pumicecroft/internal/backoff"
)

// What a door notices of its backends before the list tells.

const (
	connectFailureThreshold = 3 // failed connections in a row

	overdueTolerance     = 2.0      // answers that a backend may owe, in mean answers, before it costs more to choose
	slowAttemptFactor    = 10.0     // mean latencies of its class after which a first attempt is given up, if another can be made
	cancelBudgetPerSend  = 1.0 / 16 // of the sends may be called off
	cancelBudgetMax      = 8.0      // ... and so many at once
	cancelPenaltyMax     = 8.0      // mean answers, over those that are free, that a backend owes at most after a strike
	overdueDecaySeconds  = 1.0      // seconds in which what an idle backend owes fades to 1/e
	slownessDecaySeconds = 2.0      // ... and its slowness over the mean
)

// connectHold is how long nothing is sent to a backend that could not be reached.
var connectHold = backoff.Exponential{Initial: 125 * time.Millisecond, Max: second}

// onConnectFailed holds sends to a backend that could not be reached, for longer each time in a row. Only where that
// goes on is its process taken to be down, and then it will be cold by the list's next word: a single connection
// that breaks tells nothing of the rest.
func (g *Engine) onConnectFailed(b *backend) {
	b.holdUntil = g.now + connectHold.Delay(b.connectFailures)
	if b.connectFailures++; b.connectFailures >= connectFailureThreshold {
		g.startWarmup(b, g.now)
		g.reconcile(b)
		b.connectFailures = connectFailureThreshold
	}
}

// warmupFraction is the least share of its capacity that the backend has by now.
func (g *Engine) warmupFraction(b *backend) float64 {
	age := float64(g.now - b.warmingSince)
	if b.warmingUp = b.warmingUp && age < float64(g.settings.SlowStartWindow); !b.warmingUp {
		return 1
	}
	return min(1, g.settings.SlowStartMinCapacity+(1-g.settings.SlowStartMinCapacity)*max(0, age)/float64(g.settings.SlowStartWindow))
}

// overdue brings up to now how many mean answers the backend owes since its last one: whatever makes it go silent (hang,
// pause, lost network) shows without a time-out. A few long requests, or one on a dead connection, can raise it
// wrongly, so it only raises the cost. With nothing out that fades, and so does slowness: only a further attempt tells
// whether they still hold, and the higher they stand the less is known. Else every backend is shunned in turn for a
// minute after one dead attempt, and the rest, crowded, answer late. It costs an attempt every few seconds at a
// backend that goes on being silent; callOff makes that up.
func (g *Engine) overdue(b *backend) float64 {
	dt := (g.now - b.overdueAt).Seconds()
	b.overdueAt = g.now
	if b.inFlight == 0 {
		b.overdueResponses *= math.Exp(-dt / overdueDecaySeconds)
		b.slowness -= max(0, b.slowness-1) * (1 - math.Exp(-dt/slownessDecaySeconds))
	}
	b.overdueResponses += float64(b.inFlight) * dt / (g.meanLatency * max(1, b.slowness))
	return b.overdueResponses
}

// cancelSlowAttempts ends first attempts that have waited out of all proportion, so that they are made once more elsewhere, in
// the same slot. A connection that has gone silent, or a backend that hangs, would else hold the slot until the client
// gives up, a hundred times as long as an answer takes; a few of them are all of a small N. In a jam many wait as
// long, and what is called off there is work done twice, so a small share of the sends bounds it and no request is
// called off again: it can do harm where more than that share is slow by nature, up to that share. Each class's
// attempts are looked at in the order of their sends.
func (g *Engine) cancelSlowAttempts() {
	for _, cl := range g.orderedClasses {
		for len(cl.firstAttempts) > 0 {
			r := cl.firstAttempts[0]
			t := &r.attempts[0]
			waits := !r.finished && !r.streaming && len(r.attempts) == 1 && t.outstanding
			if waits && t.waited(g.now) < slowAttemptFactor*cl.meanLatency {
				break
			}
			cl.firstAttempts[0], cl.firstAttempts = nil, cl.firstAttempts[1:]
			inTime := (r.deadline - g.now).Seconds() > 2*cl.meanLatency
			if waits && inTime && g.settings.CanCancel && g.cancelBudget >= 1 && g.selectBackend(r) != nil {
				g.cancelBudget--
				t.cancelled = true
				g.emit(CancelAttempt{Request: r.id})
			}
		}
	}
}

// recordCancelled makes a backend dearer after an attempt there was called off. One may be its connection's fault, so the
// backend is soon tried again; it gets twice as dear with each further one until an answer comes.
func (g *Engine) recordCancelled(b *backend) {
	b.overdueResponses = min(b.overdueResponses, overdueTolerance+min(cancelPenaltyMax, math.Ldexp(1, b.cancelledAttempts)))
	b.cancelledAttempts++
}

// onProcessPaused takes what a standstill of this process took off what was out meanwhile: it tells of no backend.
func (g *Engine) onProcessPaused(d time.Duration) {
	for _, r := range g.requests { // sets only: the order reaches no action
		for i := range r.attempts {
			r.attempts[i].pausedFor += d
		}
	}
	for _, b := range g.backends {
		b.overdueAt = min(g.now, b.overdueAt+d)
	}
	g.lastTickAt, g.repartitionedAt = min(g.now, g.lastTickAt+d), min(g.now, g.repartitionedAt+d)
}

// waited is how long an answer has been waited for, in seconds.
func (t *attempt) waited(now time.Duration) float64 { return (now - t.sentAt - t.pausedFor).Seconds() }
