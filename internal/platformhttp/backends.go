package platformhttp

import (
	"time"

	"pumicecroft/decision"
	"pumicecroft/internal/connpool"
	"pumicecroft/internal/loadreport"
	"pumicecroft/membership"
)

// idleFraction is the part of the backends' idle timeout after which this side closes a connection. A
// request that is written while the backend closes its connection may have been executed.
const idleFraction = 0.6

const (
	// ReuseDelay is how long a connection rests after a response, see connpool.Limits. A backend may
	// send surplus bytes some milliseconds behind a response, and what arrives after the next request
	// was written is taken for its response.
	ReuseDelay = 25 * time.Millisecond
	// MinReuseDelay takes its place where no further connection may be opened.
	MinReuseDelay = 6 * time.Millisecond
)

// maxReuseDelayDivisor limits the rest of a connection to this part (a quarter) of its idle timeout: a
// connection that rests for longer would hardly be used again.
const maxReuseDelayDivisor = 4

// backend is a known backend.
type backend struct {
	state       decision.BackendState
	destination *connpool.Destination
}

// BackendSet holds the backends and the connections to them. It is not safe for concurrent use: its
// driver serializes all calls, with those of an Exchange that say that they use it.
type BackendSet struct {
	Pool       *connpool.Pool
	loadReader loadreport.Reader
	byID       map[decision.BackendID]*backend
}

// NewBackendSet returns an empty set. maxConns bounds the connections to all backends together, idle ones
// included. idleTimeout is how long a backend keeps an idle connection. loadFields are the settings' names
// of load figures; none: there are no load reports.
func NewBackendSet(maxConns int, idleTimeout time.Duration, loadFields []string) *BackendSet {
	maxIdle := time.Duration(idleFraction * float64(idleTimeout))
	reuseDelay := min(ReuseDelay, maxIdle/maxReuseDelayDivisor)
	return &BackendSet{
		byID:       map[decision.BackendID]*backend{},
		loadReader: loadreport.New(loadFields),
		Pool: connpool.New(connpool.Limits{
			MaxConns:      maxConns,
			IdleTimeout:   maxIdle,
			ReuseDelay:    reuseDelay,
			MinReuseDelay: min(MinReuseDelay, reuseDelay),
		}),
	}
}

// Apply takes in changes of backends. It holds for every attempt that starts after it returns.
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
		s.Pool.CloseDestination(b.destination) // its connections lead to the process before
		b.destination = nil
	}
	if b.destination == nil {
		b.destination = &connpool.Destination{Addr: c.Addr}
	}
	b.state = c.State
}

// readyDestination returns the destination of a backend that may be sent requests now, otherwise nil.
func (s *BackendSet) readyDestination(id decision.BackendID) *connpool.Destination {
	if b := s.byID[id]; b != nil && b.state == decision.Ready {
		return b.destination
	}
	return nil
}

// Len returns the number of known backends.
func (s *BackendSet) Len() int { return len(s.byID) }

// LoadReader returns the reader of the backends' load reports.
func (s *BackendSet) LoadReader() loadreport.Reader { return s.loadReader }

// Close forgets the backends, so no further attempt starts, and closes the idle connections. One in use
// is closed when its attempt ends.
func (s *BackendSet) Close() {
	clear(s.byID)
	s.Pool.Close()
}
