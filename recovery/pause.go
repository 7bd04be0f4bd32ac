package recovery

import (
	"cmp"
	"time"
)

// Time limits for a drain grace of 2 s. A pause that is not noticed is shorter than both together, which leaves half a
// second of the grace to read what arrived meanwhile.
const (
	// DefaultCheckInterval is how often a process that has nothing to do looks at its clock.
	DefaultCheckInterval = 1250 * time.Millisecond
	// DefaultTolerance is how late a timer may be in a process that was not paused: processors are busy, and garbage
	// collection takes its time.
	DefaultTolerance = 250 * time.Millisecond
)

const (
	defaultDrainGrace = 2 * time.Second
	minDrainGrace     = 400 * time.Millisecond // a shorter pause cannot be told from a busy processor
)

// Deadlines are the time limits by which nothing is sent to a backend later than its drain grace after it was told to
// drain. Of the grace, five eighths are CheckInterval, one eighth Tolerance and a quarter SyncTimeout. A field that is
// zero counts as its default for a grace of 2 s.
type Deadlines struct {
	CheckInterval  time.Duration // see DefaultCheckInterval
	Tolerance      time.Duration // see DefaultTolerance
	MaxDecisionAge time.Duration // an attempt that was decided longer ago is confirmed before it is sent
	SyncTimeout    time.Duration // for the sources to take in what has arrived
}

// DeadlinesFor returns the Deadlines for a drain grace. Zero or below, and more than 2 s, count as 2 s; less than 0.4 s
// counts as 0.4 s.
func DeadlinesFor(grace time.Duration) Deadlines {
	if grace <= 0 {
		grace = defaultDrainGrace
	}
	grace = max(minDrainGrace, min(grace, defaultDrainGrace))
	return Deadlines{
		CheckInterval:  grace * 5 / 8,
		Tolerance:      grace / 8,
		MaxDecisionAge: grace / 4,
		SyncTimeout:    grace / 4,
	}
}

// PauseDetector notices that a process was paused: it was stopped, its machine was, or another process had the
// processor. Timers did not fire meanwhile, and what arrived is unread, so what is decided next would rest on an old
// view. The zero value is ready, with the default Deadlines.
type PauseDetector struct {
	Deadlines Deadlines // set before the first Observe
	lastSeen  time.Duration
	started   bool
}

// NextCheck is when Observe must be called at the latest.
func (d *PauseDetector) NextCheck() time.Duration { return d.lastSeen + d.checkInterval() }

func (d *PauseDetector) checkInterval() time.Duration {
	return cmp.Or(d.Deadlines.CheckInterval, DefaultCheckInterval)
}

// Observe notes that something happens now. due is when the first timer was to fire, if waiting. It returns how long
// the process may have been paused until now; 0: it was not.
func (d *PauseDetector) Observe(now, due time.Duration, waiting bool) time.Duration {
	last, started := d.lastSeen, d.started
	d.lastSeen, d.started = max(now, last), true
	expected := last + d.checkInterval()
	if waiting {
		expected = max(last, min(expected, due))
	}
	if !started || now-expected <= cmp.Or(d.Deadlines.Tolerance, DefaultTolerance) {
		return 0
	}
	return now - last
}
