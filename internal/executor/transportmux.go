package executor

import (
	"sync"
	"time"

	"pumicecroft/decision"
	"pumicecroft/internal/lifecycle"
	"pumicecroft/membership"
)

// TransportMux is a BackendTransport that combines the transports of several protocols. It passes an attempt to the
// transport of the payload's protocol; each payload must be a Payload. It is safe for concurrent use.
type TransportMux struct {
	transports map[string]BackendTransport // by protocol; never modified

	mu        sync.Mutex
	protocols map[decision.BackendID]string // excludes removed backends
}

var _ BackendTransport = (*TransportMux)(nil)

// NewTransportMux returns a TransportMux for the given transports, keyed by protocol name.
func NewTransportMux(transports map[string]BackendTransport) *TransportMux {
	return &TransportMux{transports: transports, protocols: map[decision.BackendID]string{}}
}

// RoundTrip makes an attempt. If the protocol has no transport, the attempt ends as NotSent.
func (m *TransportMux) RoundTrip(attempt *Attempt) Response {
	if transport := m.transports[attempt.Payload.(Payload).Protocol()]; transport != nil {
		return transport.RoundTrip(attempt)
	}
	return Response{Outcome: lifecycle.Outcome{Result: decision.NotSent}}
}

// Probe asks a backend for its load over the backend's protocol. If that is unknown or has no transport, the probe ends
// as NotSent.
func (m *TransportMux) Probe(id decision.BackendID, timeout time.Duration) decision.ProbeResult {
	m.mu.Lock()
	transport := m.transports[m.protocols[id]]
	m.mu.Unlock()
	if transport == nil {
		return decision.ProbeResult{Backend: id, Result: decision.NotSent}
	}
	return transport.Probe(id, timeout)
}

// Apply passes to each transport the changes of its backends. A backend whose protocol has changed is removed from its
// previous transport.
func (m *TransportMux) Apply(changes []membership.Change) {
	parts := map[string][]membership.Change{}
	m.mu.Lock()
	for _, change := range changes {
		if previous, known := m.protocols[change.ID]; known && previous != change.Protocol {
			removed := change
			removed.State = decision.Removed
			parts[previous] = append(parts[previous], removed)
		}
		parts[change.Protocol] = append(parts[change.Protocol], change)
		if m.protocols[change.ID] = change.Protocol; change.State == decision.Removed {
			delete(m.protocols, change.ID)
		}
	}
	m.mu.Unlock()
	for protocol, part := range parts {
		if transport := m.transports[protocol]; transport != nil {
			transport.Apply(part)
		}
	}
}

// Close closes all transports.
func (m *TransportMux) Close() {
	for _, transport := range m.transports {
		transport.Close()
	}
}
