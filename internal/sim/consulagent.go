package sim

import (
	"strconv"
	"time"

	"pumicecroft/decision"
	"pumicecroft/internal/blockingquery"
	"pumicecroft/internal/consulcatalog"
)

// queryKind is the kind of a blocking query. A watch has one query of each kind.
type queryKind int

const (
	healthQuery  queryKind = iota // instances with their health checks
	catalogQuery                  // registered instances, without health checks
	queryKindCount
)

// agentFailure is a way in which the agent fails for a gateway.
type agentFailure int

const (
	agentRefuses      agentFailure = 1 + iota // it refuses connections
	agentSilent                               // it does not respond to queries
	agentNoLeader                             // its responses are empty and report that there is no leader
	agentStale                                // its last contact with the leader was a minute ago
	agentFailureCount = iota
)

// agent simulates a Consul agent. A blocking query is answered when the index has changed or the
// query's wait time is over.
type agent struct {
	runner     *runner
	index      uint64
	waiting    []*pendingQuery
	missing    [queryKindCount]func(*backend) bool // reports whether responses omit a backend now; nil: they omit none
	restoredAt time.Duration                       // when lost entries, or deregistered backends, last came back
	failures   map[*gateway]agentFailure
}

// pendingQuery is a query that has no response yet.
type pendingQuery struct {
	gateway *gateway
	index   uint64
	done    bool
	respond func()
}

// responseFunc receives the response to a query, or the error with which the query ended.
type responseFunc func(blockingquery.Response, []consulcatalog.Entry, error)

func newAgent(r *runner) *agent {
	return &agent{runner: r, index: 100, failures: map[*gateway]agentFailure{}}
}

// bumpIndex records a change of the catalog and answers the queries that wait for one.
func (a *agent) bumpIndex() {
	a.index++
	a.respondTo(func(query *pendingQuery) bool { return query.index < a.index })
}

// respondTo answers the waiting queries that match.
func (a *agent) respondTo(matches func(*pendingQuery) bool) {
	waiting := a.waiting
	a.waiting = nil
	for _, query := range waiting {
		if matches(query) {
			query.respond()
		} else {
			a.waiting = append(a.waiting, query)
		}
	}
}

// query handles a query of a gateway. onResponse is called at most once.
func (a *agent) query(g *gateway, kind queryKind, query blockingquery.Query, onResponse responseFunc) {
	world := a.runner.world
	world.seq++
	delay := randDuration(world.newRand(11, world.seq), 200*time.Microsecond, 5*time.Millisecond)
	pending := &pendingQuery{gateway: g, index: query.Index}
	pending.respond = func() {
		if !pending.done {
			pending.done = true
			a.respond(g, kind, delay, onResponse)
		}
	}
	world.scheduleAfter(delay, func() {
		if query.Index == 0 || query.Index != a.index || a.failures[g] > 0 {
			pending.respond()
			return
		}
		a.waiting = append(a.waiting, pending)
		world.scheduleAfter(query.Wait, pending.respond)
	})
}

// respond answers a query, or fails as the gateway's agentFailure demands.
func (a *agent) respond(g *gateway, kind queryKind, delay time.Duration, onResponse responseFunc) {
	response := blockingquery.Response{Index: a.index, KnownLeader: true}
	entries := a.entries(kind)
	switch a.failures[g] {
	case agentRefuses:
		a.runner.scheduleAfter(delay, func() { onResponse(response, nil, errAgentUnreachable) })
		return
	case agentSilent:
		return
	case agentNoLeader:
		response.KnownLeader, entries = false, nil
	case agentStale:
		response.LastContact = time.Minute
	}
	response.Entries = len(entries)
	a.runner.scheduleAfter(delay, func() { onResponse(response, entries, nil) })
}

// entries returns the entries of a response to a query.
func (a *agent) entries(kind queryKind) (entries []consulcatalog.Entry) {
	for _, b := range a.runner.backends {
		if !b.listed || a.missing[kind] != nil && a.missing[kind](b) {
			continue
		}
		entry := consulcatalog.Entry{
			Node: "machine-" + b.name(), ID: "backend", Host: b.name(), Port: 1, Addr: b.addr(),
			PassingWeight: 1, CreateIndex: b.createIndex,
			Meta:   map[string]string{"name": b.name(), "cell": strconv.Itoa(b.cell), "zone": b.zone},
			Checks: []consulcatalog.Check{{ID: "alive", Status: "passing"}},
		}
		if b.startedAt > 0 {
			entry.Meta["started"] = wallTime(b.startedAt).UTC().Format(time.RFC3339Nano)
		}
		if b.node().State == decision.Draining {
			entry.Checks[0].Status = "critical"
		}
		entries = append(entries, entry)
	}
	return entries
}

// startFailure makes the agent fail for a gateway. The gateway's waiting queries fail in the same way
// at once.
func (a *agent) startFailure(g *gateway, variant int) {
	a.failures[g] = agentRefuses + agentFailure(variant%agentFailureCount)
	a.respondTo(func(query *pendingQuery) bool { return query.gateway == g })
}

// Variants of the fault CatalogLoss.
const (
	loseMost       = iota // all entries but one
	loseHealth            // all entries of the health query, none of the services query
	loseAndRestart        // all entries, and the index restarts at a low value
	loseAll               // all entries
	lossVariantCount
)

// minLossInterval is the minimum time from the end of one loss to the next: to a gateway, losses in
// quicker succession look like one long loss.
const minLossInterval = 2 * time.Second

// startLoss makes the catalog lose entries. restore restores them.
func (a *agent) startLoss(variant int) (restore func()) {
	if a.missing[healthQuery] != nil || a.restoredAt > 0 && a.runner.now < a.restoredAt+minLossInterval {
		return func() {}
	}
	all := func(*backend) bool { return true }
	switch variant % lossVariantCount {
	case loseMost:
		a.loseMost(variant)
	case loseHealth:
		a.missing = [queryKindCount]func(*backend) bool{healthQuery: all}
	case loseAndRestart:
		a.index %= 7
		for _, b := range a.runner.backends {
			b.createIndex = a.index + 1
		}
		fallthrough
	default:
		a.missing = [queryKindCount]func(*backend) bool{all, all}
	}
	a.bumpIndex()
	return func() {
		a.missing, a.restoredAt = [queryKindCount]func(*backend) bool{}, a.runner.now
		a.bumpIndex()
	}
}

// loseMost makes the catalog lose all entries but the first. In most variants the second entry is lost
// a little later than the others. With fewer than four entries nothing is lost, because gateways may
// treat the loss of so few as a removal at once.
func (a *agent) loseMost(variant int) {
	var listed []int
	for _, b := range a.runner.backends {
		if b.listed {
			listed = append(listed, b.number)
		}
	}
	if len(listed) < 4 {
		return
	}
	kept := 1
	isMissing := func(b *backend) bool {
		return b.number != listed[0] && (kept == 1 || b.number != listed[1])
	}
	// A loss in two steps requires that all gateways know the entries: it does not occur in the run's
	// first second.
	if variant > 0 && len(listed) > 4 && a.runner.now > startTime+time.Second {
		kept = 2
		before := a.processGeneration()
		a.runner.scheduleAfter(300*time.Millisecond, func() {
			// A process that has started since knows only two nodes. To it, losing one of them is not
			// the loss of most, so the second entry stays.
			if a.processGeneration() == before {
				kept = 1
				a.bumpIndex()
			}
		})
	}
	a.missing = [queryKindCount]func(*backend) bool{isMissing, isMissing}
}

// processGeneration returns a number that changes when a gateway process starts or ends.
func (a *agent) processGeneration() (sum int) {
	for _, g := range a.runner.gateways {
		if g.up {
			sum += 1 + g.epoch
		}
	}
	return sum
}

// isDraining reports whether an entry's health check marks its backend as draining.
func isDraining(entry *consulcatalog.Entry) bool { return entry.Checks[0].Status != "passing" }

// nodeNames returns the node names that the catalog package gives to entries.
func nodeNames(entries []consulcatalog.Entry) (names []string) {
	for _, entry := range entries {
		names = append(names, consulcatalog.Name(entry.Node, entry.ID))
	}
	return names
}
