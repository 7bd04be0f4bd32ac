package httpwire

import (
	"time"

	"pumicecroft/decision"
	"pumicecroft/internal/connpool"
	"pumicecroft/internal/readings"
	"pumicecroft/membership"
)

// A kept connection is dropped when it has been idle for this share of the time after which the backend may
// close it: a request that crosses the close may have run.
const idleShare = 0.6

// RestTime is how long a kept connection rests after an answer; see connpool.Limits. A backend may answer a second time some milliseconds
// behind the first (5 at the most, where it was measured), and what is on its way when the next request is written is taken for its answer.
// LeastRest is what is left of that where no further connection may be opened.
const (
	RestTime  = 25 * time.Millisecond
	LeastRest = 6 * time.Millisecond
)

// backend is one that is known.
type backend struct {
	state decision.BackendState
	place *connpool.Place
}

// Fleet is who the backends are and the connections to them. It is not safe for concurrent use: its driver lets one caller
// in at a time, with those methods of an Exchange among them that say so.
type Fleet struct {
	Pool     *connpool.Pool
	readings readings.Reader
	byID     map[decision.BackendID]*backend // until it is gone
}

// NewFleet knows no backends yet. conns bounds the connections to all of them together, idle ones among them; a backend
// closes one that was idle for so long; the columns are the settings' names of load figures.
func NewFleet(conns int, idle time.Duration, loadColumns []string) *Fleet {
	kept := time.Duration(idleShare * float64(idle))
	rest := min(RestTime, kept/4) // a connection that is never used again costs more
	return &Fleet{byID: map[decision.BackendID]*backend{}, readings: readings.New(loadColumns),
		Pool: connpool.New(connpool.Limits{Most: conns, IdleFor: kept, Rest: rest, Least: min(LeastRest, rest)})}
}

// Apply takes in what has changed about backends. It holds for every attempt that begins after it returns.
func (f *Fleet) Apply(changes []membership.Change) {
	for _, c := range changes {
		be := f.byID[c.ID]
		switch {
		case c.State == decision.Gone:
			if be != nil {
				f.Pool.Clear(be.place)
				delete(f.byID, c.ID)
			}
			continue
		case be == nil:
			be = &backend{}
			f.byID[c.ID] = be
		case c.Moved:
			f.Pool.Clear(be.place) // its connections lead to what was there before
			be.place = nil
		}
		if be.place == nil {
			be.place = &connpool.Place{Addr: c.Addr}
		}
		be.state = c.State
	}
}

// ready gives the place of a backend that may be sent something now, else nil.
func (f *Fleet) ready(id decision.BackendID) *connpool.Place {
	if be := f.byID[id]; be != nil && be.state == decision.Ready {
		return be.place
	}
	return nil
}

// Known is how many backends are known.
func (f *Fleet) Known() int { return len(f.byID) }

// Readings is the reader of what backends tell of their load.
func (f *Fleet) Readings() readings.Reader { return f.readings }

// Close closes the connections that are idle; one in use is closed when its attempt ends. No further attempt is made.
func (f *Fleet) Close() {
	clear(f.byID)
	f.Pool.End()
}
