package sim

import (
	"cmp"
	"errors"
	"time"

	"pumicecroft/internal/blockingquery"
	"pumicecroft/internal/consulcatalog"
	"pumicecroft/membership"
)

// What becomes of queries without a usable response. The trace takes in these texts.
var (
	errAgentUnreachable = errors.New("the agent can't be reached")
	errAgentTimeout     = errors.New("the agent is silent")
	errPartialResponse  = errors.New("an answer that is not believed in whole")
)

// catalogWatch is a process's watch of the catalog: two blocking queries that fill one catalog.
type catalogWatch struct {
	gateway *gateway
	epoch   int
	catalog *consulcatalog.Catalog
	queries [queryKindCount]watchQuery
}

// watchQuery is the course of one of the two queries.
type watchQuery struct {
	loop          *blockingquery.Loop
	serial        int           // counts queries
	arrivedSerial int           // the last query whose response has arrived
	failingSince  time.Duration // 0: it does not fail
	waiters       []func()      // are called at the end of a query that begins from now on
	requery       bool          // the next query counts for the waiters, not the current one
}

// newCatalogWatch makes the watch of a gateway's current process.
func newCatalogWatch(g *gateway) *catalogWatch {
	mapping := consulcatalog.Mapping{Name: "name", Cell: "cell", Zone: "zone", Started: "started"}
	watch := &catalogWatch{gateway: g, epoch: g.epoch, catalog: consulcatalog.NewCatalog(mapping, true)}
	for kind := range watch.queries {
		seed := mix(g.world.seed ^ uint64(g.number)<<20 ^ uint64(g.epoch)<<4 ^ uint64(kind))
		watch.queries[kind].loop = blockingquery.New(blockingquery.Policy{}, seed)
	}
	return watch
}

// query sends a query when it is due, in place of one that is due already, and the next one when it
// has ended.
func (w *catalogWatch) query(kind queryKind) {
	g, state := w.gateway, &w.queries[kind]
	query := state.loop.Next()
	state.serial++
	serial := state.serial
	g.world.scheduleAt(query.NotBefore, func() {
		g.enqueue(w.epoch, w, func() {
			if state.serial == serial {
				w.send(kind, serial, query)
			}
		})
	})
}

// send sends a query to the agent.
func (w *catalogWatch) send(kind queryKind, serial int, query blockingquery.Query) {
	g, state := w.gateway, &w.queries[kind]
	state.loop.Sent(g.world.now)
	end := func(response blockingquery.Response, entries []consulcatalog.Entry, err error) {
		if err == nil && state.serial == serial {
			state.arrivedSerial = serial
			if kind == healthQuery {
				g.noteHealthArrived(entries)
			}
		}
		g.enqueue(w.epoch, w, func() {
			if state.serial == serial {
				w.onResponse(kind, response, entries, err)
				w.next(kind)
			}
		})
	}
	g.world.scheduleAfter(query.Timeout, func() { end(blockingquery.Response{}, nil, errAgentTimeout) })
	g.runner.agent.query(g, kind, query, end)
}

// next begins the next query and calls those that waited for the end of the one before it.
func (w *catalogWatch) next(kind queryKind) {
	state := &w.queries[kind]
	var waiters []func()
	if state.requery { // the query began before they waited
		state.loop.Refresh(w.gateway.world.now)
	} else {
		waiters, state.waiters = state.waiters, nil
	}
	state.requery = false
	w.query(kind)
	for _, notify := range waiters {
		notify()
	}
}

// sync queries anew, and calls done when these queries have ended. Queries that have failed since
// before a time are not waited for.
func (w *catalogWatch) sync(since time.Duration, done func()) {
	pending := 1
	end := func() {
		if pending--; pending == 0 {
			done()
		}
	}
	for kind := range queryKindCount {
		state := &w.queries[kind]
		if state.failingSince > 0 && state.failingSince < since {
			continue
		}
		pending++
		state.waiters = append(state.waiters, end)
		if state.arrivedSerial == state.serial {
			// A response has arrived, and is handled whatever the next query brings.
			state.requery = true
			continue
		}
		state.loop.Refresh(w.gateway.world.now)
		w.query(kind)
	}
	end()
}

// onResponse takes in a query's response, or its failure.
func (w *catalogWatch) onResponse(kind queryKind, response blockingquery.Response,
	entries []consulcatalog.Entry, err error,
) {
	g, state := w.gateway, &w.queries[kind]
	if err != nil {
		w.onFailure(kind, err)
		return
	}
	verdict := state.loop.Answered(g.world.now, response)
	state.failingSince = 0
	switch {
	case kind == healthQuery:
		g.recordCatalogEntries(entries, verdict.Full)
		errs := w.catalog.UpdateHealth(wallTime(g.world.now), entries, verdict.Full, verdict.IndexReset)
		if len(errs) > 0 {
			g.world.violatef(ruleUpdatesValid, "%v", errs)
		}
	case !verdict.Full:
		return // the health query says so too, and nothing has changed
	default:
		w.catalog.UpdateServices(nodeNames(entries))
	}
	w.report(verdict.IndexReset)
	if kind == healthQuery && !verdict.Full {
		g.onUpdate(catalogSource, membership.Update{Err: errPartialResponse})
	}
}

// onFailure takes in that a query had no response.
func (w *catalogWatch) onFailure(kind queryKind, err error) {
	g, state := w.gateway, &w.queries[kind]
	state.loop.Failed(g.world.now)
	state.failingSince = cmp.Or(state.failingSince, g.world.now)
	switch {
	case kind == healthQuery:
		g.onUpdate(catalogSource, membership.Update{Err: err})
	case w.catalog.ServicesFailed():
		w.report(false)
	}
}

// report gives the table what the catalog has: drains at once, and a full update once both queries
// had a response.
func (w *catalogWatch) report(reset bool) {
	g := w.gateway
	if update := w.catalog.UnlistedDrains(); len(update.Nodes) > 0 {
		g.onUpdate(catalogSource, update)
	}
	if update, ok := w.catalog.Update(wallTime(g.world.now)); ok {
		update.SourceReset = reset
		g.onUpdate(catalogSource, update)
	}
}
