package platformhttp

import (
	"time"

	"pumicecroft/decision"
	"pumicecroft/internal/connpool"
	"pumicecroft/internal/loadreport"
	"pumicecroft/membership"
)

// idleFraction is the fraction of the backends' idle timeout after which the gateway closes an idle
// connection, so that the backend does not close it first: a request that is written while the backend
// closes the connection may have been executed.
const idleFraction = 0.6

const (
	// ReuseDelay is how long a connection stays unused after a response, see connpool.Limits. A backend may
	// send surplus bytes some milliseconds after a response; if they arrived after the next request was
	// written, they would be read as its response.
	ReuseDelay = 25 * time.Millisecond
	// MinReuseDelay replaces ReuseDelay when no further connection may be opened.
	MinReuseDelay = 6 * time.Millisecond
)

// maxReuseDelayDivisor limits the reuse delay to a quarter of the time for which idle connections are kept:
// with a longer delay, connections would rarely be reused before they are closed.
const maxReuseDelayDivisor = 4

// backend holds the state of a known backend and the destination of its connections.
type backend struct {
	state       decision.BackendState
	destination *connpool.Destination
}

// BackendSet holds the backends and the connections to them. It is not safe for concurrent use: its driver
// must serialize all calls to it and to those methods of Exchange that are documented to use it.
type BackendSet struct {
	Pool       *connpool.Pool
	loadParser loadreport.Parser
	byID       map[decision.BackendID]*backend
}

// NewBackendSet returns an empty set. maxConns limits the connections to all backends together, idle ones
// included. idleTimeout is how long a backend keeps an idle connection. loadFields are the names of the load
// figures in the settings; if it is empty, load reports are ignored.
func NewBackendSet(maxConns int, idleTimeout time.Duration, loadFields []string) *BackendSet {
	maxIdle := time.Duration(idleFraction * float64(idleTimeout))
	reuseDelay := min(ReuseDelay, maxIdle/maxReuseDelayDivisor)
	return &BackendSet{
		byID:       map[decision.BackendID]*backend{},
		loadParser: loadreport.New(loadFields),
		Pool: connpool.New(connpool.Limits{
			MaxConns:      maxConns,
			IdleTimeout:   maxIdle,
			ReuseDelay:    reuseDelay,
			MinReuseDelay: min(MinReuseDelay, reuseDelay),
		}),
	}
}

// Apply applies changes of backends. They are in effect for every attempt that starts after it returns.
func (s *BackendSet) Apply(changes []membership.Change) {
	for _, c := range changes {
		s.apply(c)
	}
}

func (s *BackendSet) apply(c membership.Change) {
	b := s.byID[c.ID]
	switch {
	case c.State == decision.Removed:
		if b != nil {
			s.Pool.CloseDestination(b.destination)
			delete(s.byID, c.ID)
		}
		return
	case b == nil:
		b = &backend{}
		s.byID[c.ID] = b
	case c.Replaced:
		s.Pool.CloseDestination(b.destination) // its connections lead to the replaced process
		b.destination = nil
	}
	if b.destination == nil {
		b.destination = &connpool.Destination{Addr: c.Addr}
	}
	b.state = c.State
}

// readyDestination returns the backend's destination if the backend is ready for requests, otherwise nil.
func (s *BackendSet) readyDestination(id decision.BackendID) *connpool.Destination {
	if b := s.byID[id]; b != nil && b.state == decision.Ready {
		return b.destination
	}
	return nil
}

// Len returns the number of known backends.
func (s *BackendSet) Len() int { return len(s.byID) }

// LoadParser returns the parser of the backends' load reports.
func (s *BackendSet) LoadParser() loadreport.Parser { return s.loadParser }

// Close removes all backends, so that no further attempt starts, and closes the idle connections. A
// connection in use is closed when its attempt ends.
func (s *BackendSet) Close() {
	clear(s.byID)
	s.Pool.Close()
}
