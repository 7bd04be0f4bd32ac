package pumicecroft

import (
	"context"
	"sync"
	"time"

	"pumicecroft/decision"
	"pumicecroft/membership"
)

// An update is merged in steps of entriesPerMergeStep entries. The changes of each merge step are published in batches
// of changesPerBatch changes, so that the executor's lock is held for well under a millisecond at a time. Between two
// merge steps applyUpdate sleeps for mergeStepPause. runtime.Gosched would not be enough: with GOMAXPROCS=1 the runtime
// seldom polls sockets while a goroutine is runnable, and requests would be read late. An update that takes one merge
// step does not sleep.
const (
	entriesPerMergeStep = 256
	changesPerBatch     = 128
	mergeStepPause      = 50 * time.Microsecond
)

// Update applies an update of the backends, as a trusted source. The update is in effect for every attempt that begins
// after Update returns, except for changes that the membership table delays. Invalid entries are ignored.
func (g *Gateway) Update(update membership.Update) { g.applyUpdate(hostSource, update) }

// applyUpdate applies an update of a source in steps. Updates of other sources may be applied between two steps;
// membership.Merge documents the state between steps. If the Gateway is closed meanwhile, the remaining steps are
// skipped.
func (g *Gateway) applyUpdate(source string, update membership.Update) {
	lock := g.sourceLocks[source]
	lock.Lock()
	defer lock.Unlock()
	var merge *membership.Merge
	for more := true; more && g.ctx.Err() == nil; {
		g.updateMu.Lock()
		if merge == nil {
			merge = g.beginMerge(source, &update)
		}
		more = g.applyMergeStep(merge, source)
		g.updateMu.Unlock()
		if more {
			time.Sleep(mergeStepPause)
		}
	}
	if update.Err != nil {
		g.endpointLog.Do(func() {
			g.log.Warn("endpoint source unreachable; keeping its endpoints", "source", source, "err", update.Err)
		})
	}
}

// beginMerge starts the merge of an update, and drops the update's reference to its nodes, which only the merge needs
// from then on. Start times that the update lacks are filled in from the source's endpoint cache. The caller holds
// updateMu.
func (g *Gateway) beginMerge(source string, update *membership.Update) *membership.Merge {
	if cache := g.endpointCaches[source]; cache != nil && cache.startTimes != nil {
		cache.startTimes.FillIn(update)
	}
	merge := g.membershipTable.BeginMerge(source, *update, g.executor.Clock().FromWallTime)
	update.Nodes = nil
	return merge
}

// applyMergeStep performs one step of a merge and reports whether more steps remain. The caller holds updateMu.
func (g *Gateway) applyMergeStep(merge *membership.Merge, source string) (more bool) {
	if g.closed {
		return false
	}
	skipped := g.membershipTable.SkippedEntries()
	changes, invalid, more := merge.Next(g.executor.Clock().Now(), entriesPerMergeStep)
	if skipped = g.membershipTable.SkippedEntries() - skipped; skipped > 0 {
		g.endpointLog.Do(func() {
			g.log.Warn("too many backends; new ones ignored",
				"source", source, "ignored", skipped, "backends", g.membershipTable.Len())
		})
	}
	g.publishChanges(decision.UpdateDelta, changes, invalid)
	return more
}

// syncSources calls Sync of every source that is a Syncer, after a pause of the process. It returns when all calls
// have returned; they end with ctx at the latest.
func (g *Gateway) syncSources(ctx context.Context, pausedFor time.Duration) {
	g.pauseLog.Do(func() { g.log.Info("process paused", "paused_for", pausedFor) })
	var syncs sync.WaitGroup
	since := time.Now().Add(-pausedFor)
	for _, source := range g.sources {
		syncer, ok := source.implementation.(Syncer)
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

// onMembershipTimer publishes the changes that the membership table has delayed and that are now due.
func (g *Gateway) onMembershipTimer() {
	g.updateMu.Lock()
	defer g.updateMu.Unlock()
	if !g.closed {
		g.publishChanges(decision.UpdateDelta, g.membershipTable.Tick(g.executor.Clock().Now()), nil)
	}
}

// publishChanges passes changes to the transports and then to the executor, and sets the timer for delayed changes.
// An UpdateCached is published even if it is empty. The caller holds updateMu.
func (g *Gateway) publishChanges(kind decision.UpdateKind, changes []membership.Change, invalid []error) {
	for _, err := range invalid {
		g.endpointLog.Do(func() { g.log.Warn("invalid endpoint ignored", "err", err) })
	}
	for kind == decision.UpdateCached || len(changes) > 0 {
		batch := changes[:min(len(changes), changesPerBatch)]
		changes = changes[len(batch):]
		g.publishBatch(kind, batch)
		kind = decision.UpdateDelta // a second UpdateCached would replace the endpoints of the first
	}
	if g.membershipTimer != nil {
		g.membershipTimer.Stop()
	}
	if at, ok := g.membershipTable.Next(); ok {
		g.membershipTimer = time.AfterFunc(max(0, at-g.executor.Clock().Now()), g.onMembershipTimer)
	}
}

func (g *Gateway) publishBatch(kind decision.UpdateKind, changes []membership.Change) {
	update := decision.EndpointUpdate{Kind: kind, Endpoints: make([]decision.Endpoint, len(changes))}
	var replaced []decision.Endpoint
	for i := range changes {
		if changes[i].Protocol == "" {
			changes[i].Protocol = g.config.Protocol
		}
		update.Endpoints[i] = changes[i].Endpoint
		if changes[i].Replaced && changes[i].State == decision.Ready {
			replaced = append(replaced, changes[i].Endpoint)
		}
	}
	g.transport.Apply(changes)
	g.drainReplaced(replaced)
	g.executor.UpdateEndpoints(update)
}

// drainReplaced publishes endpoints as draining whose process has been replaced. Attempts that were decided for the old
// process, and are held back or wait to be sent, are thereby dropped: the new one may be in another cell, or be cold.
func (g *Gateway) drainReplaced(replaced []decision.Endpoint) {
	if len(replaced) == 0 {
		return
	}
	for i := range replaced {
		replaced[i].State = decision.Draining
	}
	g.executor.UpdateEndpoints(decision.EndpointUpdate{Kind: decision.UpdateDelta, Endpoints: replaced})
}

// BackendStatus describes a backend as the Gateway sees it, with the source and the reason of its state. The JSON names
// are stable, so some of them differ from the fields' names.
type BackendStatus struct {
	Name         string    `json:"name"`
	Addr         string    `json:"address"`
	Zone         string    `json:"zone,omitempty"`
	InstanceType string    `json:"model,omitempty"`
	Cell         int       `json:"cell"`
	Weight       float64   `json:"weight"`
	State        string    `json:"state"`          // cold, ready, suspect or draining
	Since        time.Time `json:"since"`          // when the backend entered State
	Until        time.Time `json:"until,omitzero"` // when the probation of a suspect backend ends, if it stays healthy
	Source       string    `json:"source"`         // the source whose report determines State
	Stale        bool      `json:"old,omitempty"`  // Source has been unreachable since its report
	Explanation  string    `json:"why"`            // human-readable reason for State
}

// Backends returns the status of each backend, sorted by name.
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
