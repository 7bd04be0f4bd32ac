package sim

import (
	"cmp"
	"slices"
	"time"

	"pumicecroft/decision"
	"pumicecroft/internal/consulcatalog"
	"pumicecroft/membership"
)

// Names of the endpoint sources.
const (
	discoverySource = "discovery" // the platform's discovery service, which pushes updates with a delay
	catalogSource   = "consul:backends"
	// catalogRawSource stands for the catalog's entries before package consulcatalog interprets them.
	// Only the checker uses it; the membership table does not know it.
	catalogRawSource = catalogSource + ", raw"
)

// endpointSources is the state of a gateway's endpoint sources: the caches that outlive a process, the
// watch of the catalog, and what the checker records of the reports to the current process.
type endpointSources struct {
	lastDiscovery   membership.Update // all nodes as last reported by discovery
	lastDiscoveryAt time.Duration     // arrival time of the last update that discovery has sent
	cachedCatalog   []membership.Node
	cachedAt        time.Duration // 0: the catalog is not cached
	startTimes      *membership.StartTimes
	watch           *catalogWatch

	reports  map[string]map[string]decision.BackendState // by node, then source: last reported state
	lastFull map[string]map[string]bool                  // by source: nodes in its last full update

	// By node:
	drainKnownSince map[string]time.Duration // when the process learned of its drain or removal
	drainArrivedAt  map[string]time.Duration // when its drain arrived during a pause, until it is handled
	latestStart     map[string]time.Duration // latest start time that was reported

	nameByID map[decision.BackendID]string
}

// simTime converts a wall-clock time to the run's clock; the zero time gives 0.
func simTime(t time.Time) time.Duration {
	if t.IsZero() {
		return 0
	}
	return max(0, t.Sub(time.Unix(0, 0)))
}

// wallTime converts a time of the run's clock to wall-clock time; 0 gives the zero time.
func wallTime(d time.Duration) time.Time {
	if d == 0 {
		return time.Time{}
	}
	return time.Unix(0, 0).Add(d)
}

// startSources creates a process's membership table and starts its sources, with cached endpoints if
// there are any.
func (g *gateway) startSources() {
	sources, config := &g.endpoints, &g.runner.config
	sources.reports = map[string]map[string]decision.BackendState{}
	sources.lastFull = map[string]map[string]bool{}
	sources.drainKnownSince = map[string]time.Duration{}
	sources.drainArrivedAt = map[string]time.Duration{}
	sources.latestStart = map[string]time.Duration{}
	sources.nameByID = map[decision.BackendID]string{}
	var infos []membership.SourceInfo
	if config.usesCatalog {
		infos = append(infos, membership.SourceInfo{Name: catalogSource})
	}
	if config.usesDiscovery {
		infos = append(infos, membership.SourceInfo{Name: discoverySource, Trusted: true})
	}
	g.table = membership.NewTable(membership.Policy{}, infos...)
	g.startDiscovery()
	if config.usesCatalog {
		g.startCatalog()
	}
}

// startDiscovery reports discovery's cached endpoints to the table and schedules the first full update.
func (g *gateway) startDiscovery() {
	cached := membership.Update{Full: true, Cached: true}
	if !g.runner.config.usesDiscovery {
		g.onUpdate(discoverySource, cached)
		return
	}
	cached.Nodes = g.endpoints.lastDiscovery.Nodes
	g.onUpdate(discoverySource, cached)
	epoch := g.epoch
	g.world.scheduleAt(g.nextDiscoveryAt(), func() {
		g.enqueue(epoch, discoverySource, func() { g.onDiscoveryUpdate(g.runner.fullDiscoveryUpdate()) })
	})
}

// startCatalog reports the catalog's cached endpoints to the table and starts the watch.
func (g *gateway) startCatalog() {
	sources := &g.endpoints
	sources.startTimes = nil
	if g.runner.config.cachesCatalog {
		if sources.cachedAt > 0 {
			g.onUpdate(catalogSource, membership.Update{Full: true, Cached: true, Nodes: sources.cachedCatalog})
			sources.startTimes = membership.NewStartTimes(sources.cachedCatalog, wallTime(sources.cachedAt))
		}
		g.cacheCatalog(g.epoch, 0)
	}
	sources.watch = newCatalogWatch(g)
	for kind := range queryKindCount {
		sources.watch.query(kind)
	}
}

// catalogCacheInterval is the interval at which changed catalog nodes are written to the cache.
const catalogCacheInterval = time.Second

// cacheCatalog periodically writes the catalog's nodes to the cache if they have changed. version is
// the version that was written last.
func (g *gateway) cacheCatalog(epoch int, version uint64) {
	g.world.scheduleAfter(catalogCacheInterval, func() {
		g.enqueue(epoch, nil, func() {
			nodes, current := g.table.NodesFrom(catalogSource)
			if current != version {
				g.endpoints.cachedCatalog, g.endpoints.cachedAt = nodes, g.world.now
			}
			g.cacheCatalog(epoch, current)
		})
	})
}

// nextDiscoveryAt draws the arrival time of discovery's next update. Updates arrive with a delay, in
// the order in which they were sent.
func (g *gateway) nextDiscoveryAt() time.Duration {
	rng := g.world.newRand(6, uint64(g.number), uint64(g.world.now))
	at := g.world.now + randDuration(rng, 5*time.Millisecond, 300*time.Millisecond) + g.discoveryLag
	g.endpoints.lastDiscoveryAt = max(g.endpoints.lastDiscoveryAt+1, at)
	return g.endpoints.lastDiscoveryAt
}

// onDiscoveryUpdate handles an update from discovery.
func (g *gateway) onDiscoveryUpdate(update membership.Update) {
	g.endpoints.lastDiscovery = mergeNodes(g.endpoints.lastDiscovery, update)
	g.onUpdate(discoverySource, update)
}

// mergeNodes returns all nodes after an update was applied to them.
func mergeNodes(all, update membership.Update) membership.Update {
	var nodes []membership.Node
	named := func(name string) func(membership.Node) bool {
		return func(node membership.Node) bool { return node.Name == name }
	}
	for _, node := range all.Nodes {
		if !update.Full && !slices.ContainsFunc(update.Nodes, named(node.Name)) {
			nodes = append(nodes, node)
		}
	}
	for _, node := range update.Nodes {
		if node.State != decision.Removed {
			nodes = append(nodes, node)
		}
	}
	return membership.Update{Nodes: nodes}
}

// onUpdate reports an update to the membership table, and passes the resulting changes to the
// connection pool and the lifecycle machine.
func (g *gateway) onUpdate(source string, update membership.Update) {
	if source == catalogSource && g.endpoints.startTimes != nil {
		g.endpoints.startTimes.FillIn(&update)
	}
	g.recordReport(source, update)
	g.world.tracef("door %d hears %d nodes of %s, %s", g.number, len(update.Nodes), source,
		cmp.Or(errorText(update.Err), "well"))
	changes, problems := g.table.Report(g.world.now, source, update, simTime)
	if len(problems) > 0 {
		g.world.violatef(ruleUpdatesValid, "%v", problems)
	}
	kind := decision.UpdateDelta
	if update.Cached && source == discoverySource {
		kind = decision.UpdateCached
	}
	g.applyChanges(kind, changes)
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// applyChanges passes the table's changes to the connection pool and the lifecycle machine.
func (g *gateway) applyChanges(kind decision.UpdateKind, changes []membership.Change) {
	if len(changes) == 0 && kind != decision.UpdateCached {
		g.scheduleWakeups()
		return
	}
	update := decision.EndpointUpdate{Kind: kind}
	for i := range changes {
		change := &changes[i]
		change.Protocol = membership.ProtocolHTTP
		g.recordChange(change)
		update.Endpoints = append(update.Endpoints, change.Endpoint)
	}
	g.httpPool.Apply(changes)
	g.closeDiscarded()
	g.execute(g.machine.UpdateEndpoints(g.world.now, update))
}

// recordChange records a change of the membership table for the checker.
func (g *gateway) recordChange(change *membership.Change) {
	sources := &g.endpoints
	sources.nameByID[change.ID] = change.Name
	g.world.tracef("door %d takes %s for %d", g.number, change.Name, int(change.State))
	switch {
	case change.State == decision.Ready && !g.reportedDraining(change.Name):
		delete(sources.drainKnownSince, change.Name)
	case change.State == decision.Removed:
		g.check.onBackendRemoved(g, change.Name)
		if _, known := sources.drainKnownSince[change.Name]; !known {
			sources.drainKnownSince[change.Name] = g.world.now
		}
	}
}

// recordReport records for the checker what a source reported to the process, independently of how the
// membership table interprets it.
func (g *gateway) recordReport(source string, update membership.Update) {
	if update.Err != nil {
		return
	}
	if update.Full {
		g.endpoints.lastFull[source] = map[string]bool{}
	}
	for i := range update.Nodes {
		g.recordNode(source, &update.Nodes[i])
	}
}

// recordNode records what a source reported about one node.
func (g *gateway) recordNode(source string, node *membership.Node) {
	sources, name := &g.endpoints, node.Name
	sources.latestStart[name] = max(sources.latestStart[name], simTime(node.StartedAt))
	if sources.lastFull[source] != nil {
		sources.lastFull[source][name] = true
	}
	bySource := sources.reports[name]
	if bySource == nil {
		bySource = map[string]decision.BackendState{}
		sources.reports[name] = bySource
	}
	if bySource[source] = node.State; node.State == decision.Removed {
		delete(bySource, source)
	}
	arrived, pending := sources.drainArrivedAt[name]
	if !pending {
		arrived = g.world.now
	}
	if _, known := sources.drainKnownSince[name]; !known && node.State == decision.Draining {
		sources.drainKnownSince[name] = arrived
	}
	if node.State == decision.Draining || !g.reportedDraining(name) {
		// The drain that arrived during the pause has been handled, or was superseded by a later
		// report.
		delete(sources.drainArrivedAt, name)
	}
}

// noteDrainArrived records for the checker that the drain of a node has arrived, if the process is
// paused.
func (g *gateway) noteDrainArrived(name string) {
	if _, known := g.endpoints.drainArrivedAt[name]; !known && g.world.now < g.pausedUntil {
		g.endpoints.drainArrivedAt[name] = g.world.now
	}
}

// noteHealthArrived calls noteDrainArrived for the draining nodes in the response to a health query.
func (g *gateway) noteHealthArrived(entries []consulcatalog.Entry) {
	for i := range entries {
		if name := entries[i].Meta["name"]; isDraining(&entries[i]) && g.inCatalog(name) {
			g.noteDrainArrived(name)
		}
	}
}

// inCatalog reports whether the catalog's last full update included a node, or there was none yet. An
// entry for any other node may be older than the update that removed the node.
func (g *gateway) inCatalog(name string) bool {
	full := g.endpoints.lastFull[catalogSource]
	return full == nil || full[name]
}

// recordCatalogEntries records the entries of a health response for the checker, as the source
// catalogRawSource. Of a partial response only drains of nodes in the catalog count.
func (g *gateway) recordCatalogEntries(entries []consulcatalog.Entry, full bool) {
	update := membership.Update{Full: full}
	for i := range entries {
		node := membership.Node{Name: entries[i].Meta["name"]}
		node.StartedAt, _ = time.Parse(time.RFC3339Nano, entries[i].Meta["started"]) // zero if absent: started long ago
		if isDraining(&entries[i]) {
			node.State = decision.Draining
		}
		if full || g.inCatalog(node.Name) && node.State == decision.Draining {
			update.Nodes = append(update.Nodes, node)
		}
	}
	g.recordReport(catalogRawSource, update)
}

// reportedDraining reports whether a source that knows a node last reported it as draining. A source
// whose last full update omitted the node does not know it any more, unless the table has not accepted
// the removal because the update omitted too many nodes.
func (g *gateway) reportedDraining(name string) bool {
	sources := &g.endpoints
	missing := slices.ContainsFunc(g.table.Statuses(), func(status membership.NodeStatus) bool {
		return status.Name == name && status.MissingFromUpdate
	})
	for source, state := range sources.reports[name] {
		full := sources.lastFull[source]
		if state == decision.Draining && (missing || full == nil || full[name]) {
			return true
		}
	}
	return false
}

// publishBackend publishes a backend's current state: discovery sends an update that arrives after a
// delay, and the catalog includes it in its next response.
func (r *runner) publishBackend(b *backend) {
	node := b.node()
	for _, g := range r.gateways {
		if !r.config.usesDiscovery || !g.up {
			continue
		}
		epoch := g.epoch
		r.scheduleAt(g.nextDiscoveryAt(), func() {
			if epoch == g.epoch && node.State == decision.Draining {
				g.noteDrainArrived(node.Name)
			}
			g.enqueue(epoch, discoverySource, func() {
				g.onDiscoveryUpdate(membership.Update{Nodes: []membership.Node{node}})
			})
		})
	}
	r.agent.bumpIndex()
}

// fullDiscoveryUpdate returns a full update from discovery with all listed backends.
func (r *runner) fullDiscoveryUpdate() membership.Update {
	update := membership.Update{Full: true}
	for _, b := range r.backends {
		if b.listed {
			update.Nodes = append(update.Nodes, b.node())
		}
	}
	return update
}
