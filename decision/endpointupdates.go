package decision

import (
	"time"

	"pumicecroft/internal/endpointindex"
)

// backend is this gateway's state of a backend.
type backend struct {
	Endpoint
	// entry is its position in the index: in the pool of its protocol, in this gateway's own random
	// order.
	entry    endpointindex.Entry[*backend]
	inFlight int // attempts of this gateway

	// Measured from responses: see outliers.go.
	latencyRatio      float64       // moving average of latency relative to the class's mean; 1 is normal
	overdueResponses  float64       // see updateOverdueResponses; as of overdueAt
	overdueAt         time.Duration // when overdueResponses was last updated
	holdUntil         time.Duration // no attempts before this time, as it was full or unreachable
	connectFailures   int           // consecutive
	cancelledAttempts int           // consecutive attempts cancelled as slow

	// Slow start: see slowstart.go.
	warmingSince   time.Duration // when it started, as far as known
	warmingUp      bool
	warmupTokens   float64 // attempts allowed in slow start, as of warmupTokensAt
	warmupTokensAt time.Duration
}

// onEndpointUpdate applies a change of the set of backends. From then on no new attempts are sent
// to backends that are draining or removed. A failed update changes no backend; the Engine subscribes
// again if it has to.
func (e *Engine) onEndpointUpdate(event EndpointUpdate) {
	if event.Kind == UpdateFailed {
		if e.settings.SubscribeToEndpoints {
			e.emit(Subscribe{})
		}
		return
	}
	if event.Kind != UpdateDelta {
		for _, backend := range e.backends { // independent of the map's order
			backend.State = Removed
			e.index.MarkDirty(&backend.entry)
		}
	}
	for _, endpoint := range event.Endpoints {
		e.updateEndpoint(endpoint)
	}
	e.index.Reconcile(e.reconcile)
	e.index.Advance(e.now)
}

// updateEndpoint applies one entry of an update. If the backend's process has started later than
// known so far, which a new backend's has if its start is given, the backend is put into slow start,
// and its latency ratio, overdue responses and hold are reset. Its counts of consecutive failures and
// cancelled attempts stay.
func (e *Engine) updateEndpoint(endpoint Endpoint) {
	known := e.backends[endpoint.ID]
	if known == nil {
		if endpoint.State == Removed {
			return
		}
		known = &backend{latencyRatio: 1, overdueAt: e.now, warmupTokensAt: e.now}
		known.entry = endpointindex.Entry[*backend]{
			Value:      known,
			Rank:       e.rng.Uint64(),
			TieBreaker: uint32(endpoint.ID),
		}
		e.backends[endpoint.ID] = known
	}
	if endpoint.StartedAt > known.warmingSince && endpoint.StartedAt > 0 {
		known.latencyRatio, known.overdueResponses, known.holdUntil = 1, 0, 0
		e.startWarmup(known, endpoint.StartedAt)
	}
	known.Endpoint = endpoint
	e.index.MarkDirty(&known.entry)
}

// reconcile removes a backend that is in state Removed and has no attempt in flight; any other
// backend is updated in the index. It returns false for a backend in state Removed that still has
// attempts in flight, which is visited again after the next update.
func (e *Engine) reconcile(backend *backend) bool {
	if backend.State == Removed && backend.inFlight == 0 {
		e.index.Remove(&backend.entry)
		delete(e.backends, backend.ID)
		return true
	}
	pool := e.pools[backend.Protocol]
	if pool == nil {
		pool = &protocolPool{Group: e.index.NewGroup(), sendRate: initialSendRate}
		e.pools[backend.Protocol] = pool
	}
	warming := e.warmupFraction(backend) < 1
	backend.entry.Put(&pool.Group, backend.State == Ready, warming, backend.warmingSince)
	return backend.State != Removed
}
