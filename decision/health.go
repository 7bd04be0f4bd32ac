package decision

import (
	"math"
	"time"

	"pumicecroft/internal/backoff"
)

// What a door notices of its backends before the list tells.

const (
	downAfter = 3 // failed connections in a row

	quietFor   = 2.0      // answers that a backend may owe, in mean answers, before it costs more to choose
	deadAfter  = 10.0     // mean latencies of its class after which a first attempt is given up, if another can be made
	spareShare = 1.0 / 16 // of the sends may be called off
	mostSpare  = 8.0      // ... and so many at once
	mostStrike = 8.0      // mean answers, over those that are free, that a backend owes at most after a strike
	owedFades  = 1.0      // seconds in which what an idle backend owes fades to 1/e
	slowFades  = 2.0      // ... and its slowness over the mean
)

// connectHold is how long nothing is sent to a backend that could not be reached.
var connectHold = backoff.Exponential{Initial: 125 * time.Millisecond, Max: second}

// noConnection holds sends to a backend that could not be reached, for longer each time in a row. Only where that
// goes on is its process taken to be down, and then it will be cold by the list's next word: a single connection
// that breaks tells nothing of the rest.
func (g *Gateway) noConnection(b *backend) {
	b.holdUntil = g.now + connectHold.Delay(b.unreached)
	if b.unreached++; b.unreached >= downAfter {
		g.chill(b, g.now)
		g.settle(b)
		b.unreached = downAfter
	}
}

// warmth is the least share of its capacity that the backend has by now.
func (g *Gateway) warmth(b *backend) float64 {
	age := float64(g.now - b.coldSince)
	if b.cold = b.cold && age < float64(g.set.WarmWithin); !b.cold {
		return 1
	}
	return min(1, g.set.ColdFrom+(1-g.set.ColdFrom)*max(0, age)/float64(g.set.WarmWithin))
}

// owes brings up to now how many mean answers the backend owes since its last one: whatever makes it go silent (hang,
// pause, lost network) shows without a time-out. A few long requests, or one on a dead connection, can raise it
// wrongly, so it only raises the cost. With nothing out that fades, and so does slowness: only a further attempt tells
// whether they still hold, and the higher they stand the less is known. Else every backend is shunned in turn for a
// minute after one dead attempt, and the rest, crowded, answer late. It costs an attempt every few seconds at a
// backend that goes on being silent; callOff makes that up.
func (g *Gateway) owes(b *backend) float64 {
	dt := (g.now - b.owedAt).Seconds()
	b.owedAt = g.now
	if b.out == 0 {
		b.owed *= math.Exp(-dt / owedFades)
		b.slow -= max(0, b.slow-1) * (1 - math.Exp(-dt/slowFades))
	}
	b.owed += float64(b.out) * dt / (g.meanLat * max(1, b.slow))
	return b.owed
}

// callOff ends first attempts that have waited out of all proportion, so that they are made once more elsewhere, in
// the same slot. A connection that has gone silent, or a backend that hangs, would else hold the slot until the client
// gives up, a hundred times as long as an answer takes; a few of them are all of a small N. In a jam many wait as
// long, and what is called off there is work done twice, so a small share of the sends bounds it and no request is
// called off again: it can do harm where more than that share is slow by nature, up to that share. Each class's
// attempts are looked at in the order of their sends.
func (g *Gateway) callOff() {
	for _, cl := range g.byClass {
		for len(cl.first) > 0 {
			r := cl.first[0]
			t := &r.tries[0]
			waits := !r.ended && !r.streamed && len(r.tries) == 1 && t.open
			if waits && t.waited(g.now) < deadAfter*cl.lat {
				break
			}
			cl.first[0], cl.first = nil, cl.first[1:]
			inTime := (r.due - g.now).Seconds() > 2*cl.lat
			if waits && inTime && g.set.CanCancel && g.spare >= 1 && g.choose(r) != nil {
				g.spare--
				t.off = true
				g.act(Cancel{Request: r.id})
			}
		}
	}
}

// strike makes a backend dearer after an attempt there was called off. One may be its connection's fault, so the
// backend is soon tried again; it gets twice as dear with each further one until an answer comes.
func (g *Gateway) strike(b *backend) {
	b.owed = min(b.owed, quietFor+min(mostStrike, math.Ldexp(1, b.strikes)))
	b.strikes++
}

// onStood takes what a standstill of this process took off what was out meanwhile: it tells of no backend.
func (g *Gateway) onStood(d time.Duration) {
	for _, r := range g.requests { // sets only: the order reaches no action
		for i := range r.tries {
			r.tries[i].stood += d
		}
	}
	for _, b := range g.backends {
		b.owedAt = min(g.now, b.owedAt+d)
	}
	g.tickAt, g.splitAt = min(g.now, g.tickAt+d), min(g.now, g.splitAt+d)
}

// waited is how long an answer has been waited for, in seconds.
func (t *attempt) waited(now time.Duration) float64 { return (now - t.sent - t.stood).Seconds() }
