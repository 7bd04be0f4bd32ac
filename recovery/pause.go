package recovery

import (
	"cmp"
	"time"
)

// Defaults for a drain grace of 2 s. An undetected pause is shorter than the sum of both, which leaves half a second of
// the grace to process what arrived during the pause.
const (
	// DefaultCheckInterval is how often an idle process checks its clock.
	DefaultCheckInterval = 1250 * time.Millisecond
	// DefaultTolerance is how late a timer may fire without the process counting as paused; a busy processor or garbage
	// collection can delay it this long.
	DefaultTolerance = 250 * time.Millisecond
)

const (
	defaultDrainGrace = 2 * time.Second
	minDrainGrace     = 400 * time.Millisecond // a shorter pause can't be told from a busy processor
)

// Deadlines are the time limits which ensure that nothing is sent to a backend later than its drain grace after it was
// told to drain. CheckInterval is five eighths of the grace, Tolerance one eighth and SyncTimeout a quarter.
// PauseDetector replaces zero values of the first two with their defaults, which are for a grace of 2 s.
type Deadlines struct {
	CheckInterval  time.Duration // see DefaultCheckInterval
	Tolerance      time.Duration // see DefaultTolerance
	MaxDecisionAge time.Duration // an older decision to start an attempt is confirmed before the attempt is sent
	SyncTimeout    time.Duration // limit for the sources to process what arrived during a pause
}

// DeadlinesFor returns the Deadlines for a drain grace. A grace of 0, below 0 or above 2 s is replaced with 2 s, and
// one between 0 and 0.4 s with 0.4 s.
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

// PauseDetector detects that the process was paused, because it or its machine was stopped or because other processes
// used the processor. During a pause no timer fires and incoming updates stay unread, so the next decisions would be
// based on stale state. The zero value is ready to use, with the default Deadlines.
type PauseDetector struct {
	Deadlines Deadlines // must be set before the first Observe
	lastSeen  time.Duration
	started   bool
}

// NextCheck returns the latest time for the next call of Observe.
func (d *PauseDetector) NextCheck() time.Duration { return d.lastSeen + d.checkInterval() }

func (d *PauseDetector) checkInterval() time.Duration {
	return cmp.Or(d.Deadlines.CheckInterval, DefaultCheckInterval)
}

// Observe records that the process is running now. If waiting, due is when its earliest timer was to fire. Observe
// returns how long the process may have been paused until now, or 0 if it was not.
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
