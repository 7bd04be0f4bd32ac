package recovery

import (
	"cmp"
	"time"
)

// DefaultCheckInterval is how often a process that does nothing else is to look at its clock, so that one that does not can be told, where backends that drain
// may be sent to for 2 s or more.
const DefaultCheckInterval = 1250 * time.Millisecond

// DefaultTolerance is how much later than it was due something may happen in a process that does not stand still: processors are busy, and
// collecting garbage takes its time. What a door did not notice as a standstill is shorter than Pulse and Late together, which is less
// than half a second short of the grace for drains (2 s): what came meanwhile is read before that is over.
const DefaultTolerance = 250 * time.Millisecond

const (
	defaultDrainGrace = 2 * time.Second        // that Pulse and Late are for
	minDrainGrace     = 400 * time.Millisecond // a shorter one is too close to what busy processors do to be told from a standstill
)

// Deadlines are how soon a process must notice what it did not see, and hear of it, for nothing to leave later than a backend's grace after its
// drain was told: of the grace, five eighths until its next look at the clock, an eighth for being late, and a quarter in which what came is
// read; that much may also have passed since what leaves was decided. What is 0 takes the figures for a grace of 2 s.
type Deadlines struct {
	CheckInterval, Tolerance time.Duration // see there
	MaxDecisionAge           time.Duration // what was decided longer ago is asked for once more when it leaves
	SyncTimeout              time.Duration // what the sources are given to take in what has arrived
}

// DeadlinesFor are the times for a grace; 0, or more than 2 s: for 2 s. One below 0.4 s is taken for 0.4 s.
func DeadlinesFor(grace time.Duration) Deadlines {
	if grace <= 0 {
		grace = defaultDrainGrace
	}
	grace = max(minDrainGrace, min(grace, defaultDrainGrace))
	return Deadlines{CheckInterval: grace * 5 / 8, Tolerance: grace / 8, MaxDecisionAge: grace / 4, SyncTimeout: grace / 4}
}

// PauseDetector tells whether a process stood still: by a stop, a paused machine, or a processor that somebody else had. What was due
// meanwhile did not happen, and what arrived waits unread, so what is decided next would be decided by an old view. The zero value has
// seen nothing.
type PauseDetector struct {
	Deadlines Deadlines     // set before it is used
	lastSeen  time.Duration // when something happened last
	started   bool
}

// NextCheck is when the process has to look at its clock at the latest.
func (s *PauseDetector) NextCheck() time.Duration { return s.lastSeen + s.checkInterval() }

func (s *PauseDetector) checkInterval() time.Duration {
	return cmp.Or(s.Deadlines.CheckInterval, DefaultCheckInterval)
}

// Observe is something that happens now; due is what was waited for before it, if anything was. It tells for how long the process may
// have stood still until now; 0: it did not.
func (s *PauseDetector) Observe(now, due time.Duration, waited bool) time.Duration {
	last, begun := s.lastSeen, s.started
	s.lastSeen, s.started = max(now, last), true
	by := last + s.checkInterval()
	if waited {
		by = max(last, min(by, due))
	}
	if !begun || now-by <= cmp.Or(s.Deadlines.Tolerance, DefaultTolerance) {
		return 0
	}
	return now - last
}
