package drive

import (
	"sync"
	"time"

	"pumicecroft/decision"
	"pumicecroft/internal/core"
	"pumicecroft/membership"
)

// Mux is Backends that speak several protocols: an attempt goes to the one that its load names, which must be a Load. It
// is safe for concurrent use, with as many protocols as it was made with.
type Mux struct {
	by map[string]Backends

	mu     sync.Mutex
	speaks map[decision.BackendID]string // of those that are not gone
}

var _ Backends = (*Mux)(nil)

// NewMux makes one of Backends by the names of their protocols.
func NewMux(by map[string]Backends) *Mux {
	return &Mux{by: by, speaks: map[decision.BackendID]string{}}
}

// Carry makes an attempt. One over a protocol that nothing here speaks is not sent.
func (m *Mux) Carry(a *Attempt) Reply {
	if b := m.by[a.Load.(Load).Protocol()]; b != nil {
		return b.Carry(a)
	}
	return Reply{Outcome: core.Outcome{Result: decision.NotSent}}
}

// Probe asks a backend over its own protocol.
func (m *Mux) Probe(id decision.BackendID, timeout time.Duration) decision.ProbeResult {
	m.mu.Lock()
	b := m.by[m.speaks[id]]
	m.mu.Unlock()
	if b == nil {
		return decision.ProbeResult{Backend: id, Result: decision.NotSent}
	}
	return b.Probe(id, timeout)
}

// Apply tells each protocol's Backends of theirs. A backend that goes over to another protocol is gone from the first.
func (m *Mux) Apply(changes []membership.Change) {
	parts := map[string][]membership.Change{}
	m.mu.Lock()
	for _, c := range changes {
		if was, known := m.speaks[c.ID]; known && was != c.Protocol {
			gone := c
			gone.State = decision.Gone
			parts[was] = append(parts[was], gone)
		}
		parts[c.Protocol] = append(parts[c.Protocol], c)
		if m.speaks[c.ID] = c.Protocol; c.State == decision.Gone {
			delete(m.speaks, c.ID)
		}
	}
	m.mu.Unlock()
	for protocol, part := range parts {
		if b := m.by[protocol]; b != nil {
			b.Apply(part)
		}
	}
}

// Close closes all.
func (m *Mux) Close() {
	for _, b := range m.by {
		b.Close()
	}
}
