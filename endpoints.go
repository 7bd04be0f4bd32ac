package pumicecroft

import (
	"context"
	"sync"
	"time"

	"pumicecroft/decision"
	"pumicecroft/membership"
)

// An update is merged in steps of entriesPerStep entries, and published in steps of changesPerStep changes: the
// executor's lock is held for one step at a time, for well under a millisecond. Between two steps the update sleeps
// for stepPause: with one processor, sockets are polled once all goroutines wait, so requests would be read late if
// it only yielded. An update of one step does not sleep.
const (
	entriesPerStep = 256
	changesPerStep = 128
	stepPause      = 50 * time.Microsecond
)

// Update takes in an update of the backends, as a trusted source. It holds for every attempt that begins after it
// returns. Invalid entries are ignored.
func (g *Gateway) Update(update membership.Update) { g.applyUpdate(ownSource, update) }

// applyUpdate takes in an update of a source. Other sources' updates may be taken in between two of its steps; what
// holds meanwhile, membership.Merge says. What is left of it when the Gateway is closed is not taken in.
func (g *Gateway) applyUpdate(source string, update membership.Update) {
	lock := g.reportLocks[source]
	lock.Lock()
	defer lock.Unlock()
	var merge *membership.Merge
	for more := true; more && g.ctx.Err() == nil; {
		g.updateMu.Lock()
		if merge == nil {
			merge = g.beginMerge(source, &update)
		}
		more = g.applyStep(merge, source)
		g.updateMu.Unlock()
		if more {
			time.Sleep(stepPause)
		}
	}
	if update.Err != nil {
		g.endpointLog.Do(func() {
			g.log.Warn("endpoint source unreachable; keeping its endpoints", "source", source, "err", update.Err)
		})
	}
}

// beginMerge begins to merge an update, and releases its nodes. The caller holds updateMu.
func (g *Gateway) beginMerge(source string, update *membership.Update) *membership.Merge {
	if cache := g.endpointCaches[source]; cache != nil && cache.startTimes != nil {
		cache.startTimes.FillIn(update)
	}
	merge := g.membershipTable.BeginMerge(source, *update, g.executor.Clock().FromWallTime)
	update.Nodes = nil
	return merge
}

// applyStep takes one step of a merge and tells whether there is more. The caller holds updateMu.
func (g *Gateway) applyStep(merge *membership.Merge, source string) (more bool) {
	if g.closed {
		return false
	}
	skipped := g.membershipTable.SkippedEntries()
	changes, invalid, more := merge.Next(g.executor.Clock().Now(), entriesPerStep)
	if skipped = g.membershipTable.SkippedEntries() - skipped; skipped > 0 {
		g.endpointLog.Do(func() {
			g.log.Warn("too many backends; new ones ignored",
				"source", source, "ignored", skipped, "backends", g.membershipTable.Len())
		})
	}
	g.publishChanges(decision.UpdateDelta, changes, invalid)
	return more
}

// syncSources makes every source that is a Syncer apply what it has received, after a pause of the process. It
// returns when they have, or ctx ends.
func (g *Gateway) syncSources(ctx context.Context, pausedFor time.Duration) {
	g.pauseLog.Do(func() { g.log.Info("process paused", "paused_for", pausedFor) })
	var syncs sync.WaitGroup
	since := time.Now().Add(-pausedFor)
	for _, source := range g.sources {
		syncer, ok := source.source.(Syncer)
		if !ok {
			continue
		}
		syncs.Go(func() {
			if err := syncer.Sync(ctx, since); err != nil && !g.closing.Load() {
				g.endpointLog.Do(func() {
					g.log.Warn("endpoint source did not sync after a process pause; keeping its endpoints",
						"paused_for", pausedFor, "source", source.Name, "err", err)
				})
			}
		})
	}
	syncs.Wait()
}

// onMembershipTimer publishes what the membership table has delayed until now.
func (g *Gateway) onMembershipTimer() {
	g.updateMu.Lock()
	defer g.updateMu.Unlock()
	if !g.closed {
		g.publishChanges(decision.UpdateDelta, g.membershipTable.Tick(g.executor.Clock().Now()), nil)
	}
}

// publishChanges tells the transports and then the executor of changes, and sets the timer for delayed ones. An
// UpdateCached is published even if it is empty. The caller holds updateMu.
func (g *Gateway) publishChanges(kind decision.UpdateKind, changes []membership.Change, invalid []error) {
	for _, err := range invalid {
		g.endpointLog.Do(func() { g.log.Warn("invalid endpoint ignored", "err", err) })
	}
	for kind == decision.UpdateCached || len(changes) > 0 {
		step := changes[:min(len(changes), changesPerStep)]
		changes = changes[len(step):]
		g.publishStep(kind, step)
		kind = decision.UpdateDelta // a further UpdateCached would say that there is nothing else
	}
	if g.membershipTimer != nil {
		g.membershipTimer.Stop()
	}
	if at, ok := g.membershipTable.Next(); ok {
		g.membershipTimer = time.AfterFunc(max(0, at-g.executor.Clock().Now()), g.onMembershipTimer)
	}
}

func (g *Gateway) publishStep(kind decision.UpdateKind, changes []membership.Change) {
	update := decision.EndpointUpdate{Kind: kind, Endpoints: make([]decision.Endpoint, len(changes))}
	for i := range changes {
		if changes[i].Protocol == "" {
			changes[i].Protocol = g.config.Protocol
		}
		update.Endpoints[i] = changes[i].Endpoint
	}
	g.transport.Apply(changes)
	g.executor.UpdateEndpoints(update)
}

// BackendStatus is what a Gateway knows of a backend, and why.
type BackendStatus struct {
	Name         string    `json:"name"`
	Addr         string    `json:"address"`
	Zone         string    `json:"zone,omitempty"`
	InstanceType string    `json:"model,omitempty"`
	Cell         int       `json:"cell"`
	Weight       float64   `json:"weight"`
	State        string    `json:"state"`          // cold, ready, suspect or draining
	Since        time.Time `json:"since"`          // of State
	Until        time.Time `json:"until,omitzero"` // a suspect is ready then, if it stays well
	Source       string    `json:"source"`         // whose report decided
	Stale        bool      `json:"old,omitempty"`  // the source has been unreachable since
	Explanation  string    `json:"why"`            // for people
}

// Backends is what the Gateway knows of each backend, by name.
func (g *Gateway) Backends() []BackendStatus {
	g.updateMu.Lock()
	defer g.updateMu.Unlock()
	clock := g.executor.Clock()
	var backends []BackendStatus
	for _, node := range g.membershipTable.Statuses() {
		status := BackendStatus{
			Name:         node.Name,
			Addr:         node.Addr,
			Zone:         node.Zone,
			InstanceType: node.InstanceType,
			Cell:         node.Cell,
			Weight:       node.Weight,
			State:        node.EffectiveState.String(),
			Since:        clock.ToWallTime(node.Since),
			Source:       node.Source,
			Stale:        node.Stale,
			Explanation:  node.Reason,
		}
		if node.ProbationUntil > 0 {
			status.Until = clock.ToWallTime(node.ProbationUntil)
		}
		backends = append(backends, status)
	}
	return backends
}
