package recovery

import "time"

// Pulse is how often a process that does nothing else is to look at its clock, so that one that does not can be told.
const Pulse = 1250 * time.Millisecond

// Late is how much later than it was due something may happen in a process that does not stand still: processors are busy, and
// collecting garbage takes its time. What a door did not notice as a standstill is shorter than Pulse and Late together, which is less
// than half a second short of the grace for drains (2 s): what came meanwhile is read before that is over.
const Late = 250 * time.Millisecond

// Standstill tells whether a process stood still: by a stop, a paused machine, or a processor that somebody else had. What was due
// meanwhile did not happen, and what arrived waits unread, so what is decided next would be decided by an old view. The zero value has
// seen nothing.
type Standstill struct {
	seen  time.Duration // when something happened last
	begun bool
}

// Next is when the process has to look at its clock at the latest.
func (s *Standstill) Next() time.Duration { return s.seen + Pulse }

// Seen is something that happens now; due is what was waited for before it, if anything was. It tells for how long the process may
// have stood still until now; 0: it did not.
func (s *Standstill) Seen(now, due time.Duration, waited bool) time.Duration {
	last, begun := s.seen, s.begun
	s.seen, s.begun = max(now, last), true
	by := last + Pulse
	if waited {
		by = max(last, min(by, due))
	}
	if !begun || now-by <= Late {
		return 0
	}
	return now - last
}
