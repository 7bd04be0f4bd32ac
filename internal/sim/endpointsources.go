package sim

import (
	"cmp"
	"slices"
	"time"

	"pumicecroft/decision"
	"pumicecroft/internal/consulcatalog"
	"pumicecroft/membership"
)

// Sources of endpoints, by the names that the membership table has for them.
const (
	discoverySource  = "discovery" // the platform's: it pushes updates, late
	catalogSource    = "consul:backends"
	catalogRawSource = catalogSource + ", raw" // what the catalog's entries say before the catalog package reads them
)

// endpointSources are a gateway's sources of endpoints: what is cached between processes, the
// catalog's watch, and what the checker needs to know of what a process was told.
type endpointSources struct {
	lastDiscovery   membership.Update // all nodes as discovery told of them last
	lastDiscoveryAt time.Duration     // when its last update arrives
	cachedCatalog   []membership.Node
	cachedAt        time.Duration // 0: nothing is cached
	startTimes      *membership.StartTimes
	watch           *catalogWatch

	reports         map[string]map[string]decision.BackendState // by node, then source: the last that was told
	lastFull        map[string]map[string]bool                  // by source: the nodes that its last full update named
	drainKnownSince map[string]time.Duration                    // by node: since when its drain or removal is known
	drainArrivedAt  map[string]time.Duration                    // the same of what arrived during a pause
	latestStart     map[string]time.Duration                    // by node: the latest start that was told
	nameByID        map[decision.BackendID]string
}

// sinceEpoch gives the run's clock for a time of day; 0 for the zero time.
func simTime(t time.Time) time.Duration {
	if t.IsZero() {
		return 0
	}
	return max(0, t.Sub(time.Unix(0, 0)))
}

// wallTime gives a time of day for the run's clock; the zero time for 0.
func wallTime(d time.Duration) time.Time {
	if d == 0 {
		return time.Time{}
	}
	return time.Unix(0, 0).Add(d)
}

// startSources starts a process's table with what is cached, and its sources.
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

// startDiscovery gives the table discovery's cached endpoints, and schedules its first full update.
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

// startCatalog gives the table the catalog's cached endpoints, and starts the watch.
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

// catalogCacheInterval is how often the catalog's nodes are written to the cache, if they have
// changed.
const catalogCacheInterval = time.Second

// cacheCatalog keeps writing the catalog's nodes to the cache; version is what was written last.
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

// nextDiscoveryAt draws when discovery's next update arrives: late, and never before the one before
// it.
func (g *gateway) nextDiscoveryAt() time.Duration {
	rng := g.world.newRand(6, uint64(g.number), uint64(g.world.now))
	at := g.world.now + randDuration(rng, 5*time.Millisecond, 300*time.Millisecond) + g.discoveryLag
	g.endpoints.lastDiscoveryAt = max(g.endpoints.lastDiscoveryAt+1, at)
	return g.endpoints.lastDiscoveryAt
}

// onDiscoveryUpdate takes an update of discovery's.
func (g *gateway) onDiscoveryUpdate(update membership.Update) {
	g.endpoints.lastDiscovery = mergeNodes(g.endpoints.lastDiscovery, update)
	g.onUpdate(discoverySource, update)
}

// mergeNodes gives all nodes after an update.
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

// onUpdate passes an update to the table, and what it changes to the connection pool and the
// lifecycle machine.
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

// applyChanges passes the table's changes on.
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

// recordChange notes a change of the table's for the checker.
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

// recordReport notes for the checker what a process was told, whatever its table makes of it.
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

// recordNode notes what a source tells of one node.
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
		// It is handled, or what was told since is.
		delete(sources.drainArrivedAt, name)
	}
}

// noteDrainArrived notes for the checker that a node's drain has arrived at a process that is
// paused.
func (g *gateway) noteDrainArrived(name string) {
	if _, known := g.endpoints.drainArrivedAt[name]; !known && g.world.now < g.pausedUntil {
		g.endpoints.drainArrivedAt[name] = g.world.now
	}
}

// noteHealthArrived is noteDrainArrived, of a response to a health query.
func (g *gateway) noteHealthArrived(entries []consulcatalog.Entry) {
	for i := range entries {
		if name := entries[i].Meta["name"]; isDraining(&entries[i]) && g.inCatalog(name) {
			g.noteDrainArrived(name)
		}
	}
}

// inCatalog tells whether the catalog's last full update named a node, or there was none yet. An
// entry of another node may be older than the update that removed it.
func (g *gateway) inCatalog(name string) bool {
	full := g.endpoints.lastFull[catalogSource]
	return full == nil || full[name]
}

// recordCatalogEntries notes for the checker what a health response's entries say by themselves.
func (g *gateway) recordCatalogEntries(entries []consulcatalog.Entry, full bool) {
	update := membership.Update{Full: full}
	for i := range entries {
		node := membership.Node{Name: entries[i].Meta["name"]}
		node.StartedAt, _ = time.Parse(time.RFC3339Nano, entries[i].Meta["started"]) // the zero time is long ago
		if isDraining(&entries[i]) {
			node.State = decision.Draining
		}
		if full || g.inCatalog(node.Name) && node.State == decision.Draining {
			update.Nodes = append(update.Nodes, node)
		}
	}
	g.recordReport(catalogRawSource, update)
}

// reportedDraining tells whether a source that knows a node says that it drains. A source whose
// last full update left the node out does not know it any more, unless the table doubts that update
// because it left out so much.
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

// publishBackend has the sources tell of a backend: discovery a little later, and the catalog in
// its next response.
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

// fullUpdate is discovery's full update.
func (r *runner) fullDiscoveryUpdate() membership.Update {
	update := membership.Update{Full: true}
	for _, b := range r.backends {
		if b.listed {
			update.Nodes = append(update.Nodes, b.node())
		}
	}
	return update
}
