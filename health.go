package cypresstrack

import "time"

// What a door notices of its backends before the list tells.

const (
	firstHold   = 125 * time.Millisecond
	longestHold = second
	downAfter   = 3 // failed connections in a row
)

// noConnection holds sends to a backend that could not be reached, for longer each time in a row. Only where that
// goes on is its process taken to be down, and then it will be cold by the list's next word: a single connection
// that breaks tells nothing of the rest.
func (g *Gateway) noConnection(b *backend) {
	b.holdUntil = g.now + min(firstHold<<b.unreached, longestHold)
	if b.unreached++; b.unreached >= downAfter {
		b.cold, b.coldSince, b.tokens = true, g.now, 0
		b.unreached = downAfter
	}
}

// owes brings up to now how many mean answers the backend owes since its last one: whatever makes it go
// silent (hang, pause, lost network) shows without a time-out. A few long requests can raise it wrongly, so
// it only raises the cost; with nothing out it fades by one a second, until the backend is tried again.
func (g *Gateway) owes(b *backend) float64 {
	dt := (g.now - b.owedAt).Seconds()
	b.owedAt = g.now
	if b.out == 0 {
		b.owed = max(0, b.owed-dt)
	}
	b.owed += float64(b.out) * dt / (g.meanLat * max(1, b.slow))
	return b.owed
}
