package sim

import (
	"strconv"
	"time"

	"pumicecroft/decision"
	"pumicecroft/internal/blockingquery"
	"pumicecroft/internal/consulcatalog"
)

// queryKind is one of the two blocking queries of a watch.
type queryKind int

const (
	healthQuery   queryKind = iota // instances with their checks
	servicesQuery                  // which instances exist
	queryKindCount
)

// agentFailure is how the agent fails for a gateway.
type agentFailure int

const (
	agentRefuses      agentFailure = 1 + iota // connections
	agentSilent                               // queries have no response
	agentNoLeader                             // responses are empty and say that there is no leader
	agentStale                                // responses are a minute old
	agentFailureCount = iota
)

// agent is a Consul agent. It holds a blocking query until something has changed.
type agent struct {
	runner     *runner
	index      uint64
	waiting    []*pendingQuery
	missing    [queryKindCount]func(*backend) bool // tells what responses lack now; nil: nothing
	restoredAt time.Duration                       // when nothing was missing again, or deregistered backends were back
	failures   map[*gateway]agentFailure
}

// pendingQuery is a query that has no response yet.
type pendingQuery struct {
	gateway *gateway
	index   uint64
	done    bool
	respond func()
}

// responseFunc takes a query's response, or the error that it ended with.
type responseFunc func(blockingquery.Response, []consulcatalog.Entry, error)

func newAgent(r *runner) *agent {
	return &agent{runner: r, index: 100, failures: map[*gateway]agentFailure{}}
}

// bumpIndex says that something has changed: queries that wait for that are answered.
func (a *agent) bumpIndex() {
	a.index++
	a.respondTo(func(query *pendingQuery) bool { return query.index < a.index })
}

// respondTo answers waiting queries of a kind.
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

// query takes a gateway's query. onResponse is called at most once.
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

// respond answers a query as the agent's failure for the gateway has it.
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

// entries is what a response lists.
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

// startFailure has the agent fail for a gateway. Its waiting queries break with that, or stay
// without a response.
func (a *agent) startFailure(g *gateway, variant int) {
	a.failures[g] = agentRefuses + agentFailure(variant%agentFailureCount)
	a.respondTo(func(query *pendingQuery) bool { return query.gateway == g })
}

// Variants of a catalog's loss.
const (
	loseMost       = iota // all entries but one
	loseHealth            // all entries of the health query alone
	loseAndRestart        // all entries, and the index begins anew
	loseAll
	lossVariantCount
)

// minLossInterval is between two losses: closer ones look like one long loss.
const minLossInterval = 2 * time.Second

// startLoss has the catalog lose entries. restore puts them back.
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

// loseMost has the catalog lose all entries but the first, in most variants the second one a little
// later. Of fewer than four entries nothing is lost: so few may be taken to be removed at once.
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
	spared := 1
	isMissing := func(b *backend) bool {
		return b.number != listed[0] && (spared == 1 || b.number != listed[1])
	}
	// Little by little, once all gateways know what there was.
	if variant > 0 && len(listed) > 4 && a.runner.now > startTime+time.Second {
		spared = 2
		before := a.processGeneration()
		a.runner.scheduleAfter(300*time.Millisecond, func() {
			// To a process that started since and knows two nodes, one of them is not most.
			if a.processGeneration() == before {
				spared = 1
				a.bumpIndex()
			}
		})
	}
	a.missing = [queryKindCount]func(*backend) bool{isMissing, isMissing}
}

// processSum differs between sets of gateway processes.
func (a *agent) processGeneration() (sum int) {
	for _, g := range a.runner.gateways {
		if g.up {
			sum += 1 + g.epoch
		}
	}
	return sum
}

// isDraining tells whether an entry's check says that its backend drains.
func isDraining(entry *consulcatalog.Entry) bool { return entry.Checks[0].Status != "passing" }

// nodeNames gives the names under which a catalog knows entries.
func nodeNames(entries []consulcatalog.Entry) (names []string) {
	for _, entry := range entries {
		names = append(names, consulcatalog.Name(entry.Node, entry.ID))
	}
	return names
}
