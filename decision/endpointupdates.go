package decision

import (
	"time"

	"pumicecroft/internal/endpointindex"
)

// backend is what this gateway knows of a backend.
type backend struct {
	Endpoint
	// entry is its place in the index: in the pool of its protocol, in this gateway's own random order.
	entry    endpointindex.Entry[*backend]
	inFlight int // this gateway's attempts

	// What responses tell: see outliers.go.
	slowness          float64       // running mean of latency over its class's mean; 1 is usual
	overdueResponses  float64       // in mean responses, as of overdueAt
	overdueAt         time.Duration // when overdueResponses was brought up to date
	holdUntil         time.Duration // nothing is sent before: it was full, or could not be reached
	connectFailures   int           // in a row
	cancelledAttempts int           // in a row, as slow

	// Slow start: see slowstart.go.
	warmingSince   time.Duration // when it started, as far as known
	warmingUp      bool
	warmupTokens   float64 // attempts allowed while it warms up, as of warmupTokensAt
	warmupTokensAt time.Duration
}

// onEndpointUpdate takes in a change of the set of backends. From here on nothing new is sent to
// those that drain or are removed. After an update that failed the backends stay as they are.
func (e *Engine) onEndpointUpdate(event EndpointUpdate) {
	if event.Kind == UpdateFailed {
		if e.settings.SubscribeToEndpoints {
			e.emit(Subscribe{})
		}
		return
	}
	if event.Kind != UpdateDelta {
		for _, backend := range e.backends { // sets only: the map's order reaches no action
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

// updateEndpoint takes in one entry of an update. A process that has started anew since the last
// one is put into slow start, and what was known of the one before it is dropped.
func (e *Engine) updateEndpoint(endpoint Endpoint) {
	known := e.backends[endpoint.ID]
	if known == nil {
		if endpoint.State == Removed {
			return
		}
		known = &backend{slowness: 1, overdueAt: e.now, warmupTokensAt: e.now}
		known.entry = endpointindex.Entry[*backend]{
			Value:      known,
			Rank:       e.rng.Uint64(),
			TieBreaker: uint32(endpoint.ID),
		}
		e.backends[endpoint.ID] = known
	}
	if endpoint.StartedAt > known.warmingSince && endpoint.StartedAt > 0 {
		known.slowness, known.overdueResponses, known.holdUntil = 1, 0, 0
		e.startWarmup(known, endpoint.StartedAt)
	}
	known.Endpoint = endpoint
	e.index.MarkDirty(&known.entry)
}

// reconcile forgets a backend that is removed and has no attempt in flight; any other is put into
// the index as it is now. It reports whether that is all: a removed backend is visited again after
// the next update.
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
