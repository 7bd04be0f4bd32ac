package platformhttp

import (
	"time"

	"pumicecroft/decision"
	"pumicecroft/internal/connpool"
	"pumicecroft/internal/loadreport"
	"pumicecroft/membership"
)

// A kept connection is dropped when it has been idle for this share of the time after which the backend may
// close it: a request that crosses the close may have run.
const idleFraction = 0.6

// RestTime is how long a kept connection rests after an answer; see connpool.Limits. A backend may answer a second time some milliseconds
// behind the first (5 at the most, where it was measured), and what is on its way when the next request is written is taken for its answer.
// LeastRest is what is left of that where no further connection may be opened.
const (
	ReuseDelay    = 25 * time.Millisecond
	MinReuseDelay = 6 * time.Millisecond
)

// backend is one that is known.
type backend struct {
	state       decision.BackendState
	destination *connpool.Destination
}

// BackendSet is who the backends are and the connections to them. It is not safe for concurrent use: its driver lets one caller
// in at a time, with those methods of an Exchange among them that say so.
type BackendSet struct {
	Pool       *connpool.Pool
	loadReader loadreport.Reader
	byID       map[decision.BackendID]*backend // until it is gone
}

// NewBackendSet knows no backends yet. conns bounds the connections to all of them together, idle ones among them; a backend
// closes one that was idle for so long; the columns are the settings' names of load figures.
func NewBackendSet(conns int, idle time.Duration, loadColumns []string) *BackendSet {
	kept := time.Duration(idleFraction * float64(idle))
	rest := min(ReuseDelay, kept/4) // a connection that is never used again costs more
	return &BackendSet{byID: map[decision.BackendID]*backend{}, loadReader: loadreport.New(loadColumns),
		Pool: connpool.New(connpool.Limits{MaxConns: conns, IdleTimeout: kept, ReuseDelay: rest, MinReuseDelay: min(MinReuseDelay, rest)})}
}

// Apply takes in what has changed about backends. It holds for every attempt that begins after it returns.
func (f *BackendSet) Apply(changes []membership.Change) {
	for _, c := range changes {
		be := f.byID[c.ID]
		switch {
		case c.State == decision.Removed:
			if be != nil {
				f.Pool.CloseDestination(be.destination)
				delete(f.byID, c.ID)
			}
			continue
		case be == nil:
			be = &backend{}
			f.byID[c.ID] = be
		case c.Replaced:
			f.Pool.CloseDestination(be.destination) // its connections lead to what was there before
			be.destination = nil
		}
		if be.destination == nil {
			be.destination = &connpool.Destination{Addr: c.Addr}
		}
		be.state = c.State
	}
}

// readyDestination gives the place of a backend that may be sent something now, else nil.
func (f *BackendSet) readyDestination(id decision.BackendID) *connpool.Destination {
	if be := f.byID[id]; be != nil && be.state == decision.Ready {
		return be.destination
	}
	return nil
}

// Len is how many backends are known.
func (f *BackendSet) Len() int { return len(f.byID) }

// LoadReader is the reader of what backends tell of their load.
func (f *BackendSet) LoadReader() loadreport.Reader { return f.loadReader }

// Close closes the connections that are idle; one in use is closed when its attempt ends. No further attempt is made.
func (f *BackendSet) Close() {
	clear(f.byID)
	f.Pool.Close()
}
