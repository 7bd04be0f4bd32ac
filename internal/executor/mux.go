package executor

import (
	"sync"
	"time"

	"pumicecroft/decision"
	"pumicecroft/internal/lifecycle"
	"pumicecroft/membership"
)

// TransportMux is Backends that speak several protocols: an attempt goes to the one that its load names, which must be a Load. It
// is safe for concurrent use, with as many protocols as it was made with.
type TransportMux struct {
	transports map[string]BackendTransport

	mu        sync.Mutex
	protocols map[decision.BackendID]string // of those that are not gone
}

var _ BackendTransport = (*TransportMux)(nil)

// NewTransportMux makes one of Backends by the names of their protocols.
func NewTransportMux(by map[string]BackendTransport) *TransportMux {
	return &TransportMux{transports: by, protocols: map[decision.BackendID]string{}}
}

// RoundTrip makes an attempt. One over a protocol that nothing here speaks is not sent.
func (m *TransportMux) RoundTrip(a *Attempt) Response {
	if b := m.transports[a.Payload.(Payload).Protocol()]; b != nil {
		return b.RoundTrip(a)
	}
	return Response{Outcome: lifecycle.Outcome{Result: decision.NotSent}}
}

// Probe asks a backend over its own protocol.
func (m *TransportMux) Probe(id decision.BackendID, timeout time.Duration) decision.ProbeResult {
	m.mu.Lock()
	b := m.transports[m.protocols[id]]
	m.mu.Unlock()
	if b == nil {
		return decision.ProbeResult{Backend: id, Result: decision.NotSent}
	}
	return b.Probe(id, timeout)
}

// Apply tells each protocol's Backends of theirs. A backend that goes over to another protocol is gone from the first.
func (m *TransportMux) Apply(changes []membership.Change) {
	parts := map[string][]membership.Change{}
	m.mu.Lock()
	for _, c := range changes {
		if was, known := m.protocols[c.ID]; known && was != c.Protocol {
			gone := c
			gone.State = decision.Removed
			parts[was] = append(parts[was], gone)
		}
		parts[c.Protocol] = append(parts[c.Protocol], c)
		if m.protocols[c.ID] = c.Protocol; c.State == decision.Removed {
			delete(m.protocols, c.ID)
		}
	}
	m.mu.Unlock()
	for protocol, part := range parts {
		if b := m.transports[protocol]; b != nil {
			b.Apply(part)
		}
	}
}

// Close closes all.
func (m *TransportMux) Close() {
	for _, b := range m.transports {
		b.Close()
	}
}
