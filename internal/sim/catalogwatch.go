package sim

import (
	"cmp"
	"errors"
	"time"

	"pumicecroft/internal/blockingquery"
	"pumicecroft/internal/consulcatalog"
	"pumicecroft/membership"
)

// Errors of queries without a usable response. Their texts are part of the trace's hash.
var (
	errAgentUnreachable = errors.New("the agent can't be reached")
	errAgentTimeout     = errors.New("the agent is silent")
	errPartialResponse  = errors.New("an answer that is not believed in whole")
)

// catalogWatch is a gateway process's watch of the Consul catalog: two blocking queries, repeated for
// the life of the process, whose responses are combined in one catalog.
type catalogWatch struct {
	gateway *gateway
	epoch   int
	catalog *consulcatalog.Catalog
	queries [queryKindCount]watchQuery
}

// watchQuery is the state of one of the two queries.
type watchQuery struct {
	loop          *blockingquery.Loop
	serial        int           // number of the latest query
	arrivedSerial int           // number of the last query whose response has arrived, handled or not
	failingSince  time.Duration // 0: the last query did not fail
	waiters       []func()      // called at the end of the next query that is sent after they were added
	requery       bool          // the current query was sent before the waiters were added; they wait for the next one
}

// newCatalogWatch creates the watch of a gateway's current process.
func newCatalogWatch(g *gateway) *catalogWatch {
	mapping := consulcatalog.Mapping{Name: "name", Cell: "cell", Zone: "zone", Started: "started"}
	watch := &catalogWatch{gateway: g, epoch: g.epoch, catalog: consulcatalog.NewCatalog(mapping, true)}
	for kind := range watch.queries {
		seed := mix(g.world.seed ^ uint64(g.number)<<20 ^ uint64(g.epoch)<<4 ^ uint64(kind))
		watch.queries[kind].loop = blockingquery.New(blockingquery.Policy{}, seed)
	}
	return watch
}

// query schedules the next query of a kind. It replaces one that is scheduled or still has no response.
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

// send sends a query to the agent. Its response, error or timeout is handled once, unless another query
// has replaced it by then.
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

// next schedules the next query after one has ended, and notifies the waiters unless they wait for
// that next query.
func (w *catalogWatch) next(kind queryKind) {
	state := &w.queries[kind]
	var waiters []func()
	if state.requery { // the query was sent before the waiters were added
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

// sync sends the queries again and calls done when they have ended. It skips a query that has been
// failing since before the given time, unless its response has arrived.
func (w *catalogWatch) sync(since time.Duration, done func()) {
	pending := 1
	end := func() {
		if pending--; pending == 0 {
			done()
		}
	}
	for kind := range queryKindCount {
		state := &w.queries[kind]
		arrived := state.arrivedSerial == state.serial
		failing := state.failingSince > 0 && state.failingSince < since
		if failing && !arrived {
			continue
		}
		pending++
		state.waiters = append(state.waiters, end)
		if arrived {
			// A response has arrived and its handling is queued: it is handled first, and the waiters
			// wait for the query after it.
			state.requery = true
			continue
		}
		state.loop.Refresh(w.gateway.world.now)
		w.query(kind)
	}
	end()
}

// onResponse handles the response to a query, or its failure.
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
		return // the health query reports the partial response, and the catalog has not changed
	default:
		w.catalog.UpdateFromCatalogAPI(nodeNames(entries))
	}
	w.report(verdict.IndexReset)
	if kind == healthQuery && !verdict.Full {
		g.onUpdate(catalogSource, membership.Update{Err: errPartialResponse})
	}
}

// onFailure handles a query that ended without a response.
func (w *catalogWatch) onFailure(kind queryKind, err error) {
	g, state := w.gateway, &w.queries[kind]
	state.loop.Failed(g.world.now)
	state.failingSince = cmp.Or(state.failingSince, g.world.now)
	switch {
	case kind == healthQuery:
		g.onUpdate(catalogSource, membership.Update{Err: err})
	case w.catalog.RecordCatalogAPIFailure():
		w.report(false)
	}
}

// report passes the catalog's content to the membership table: drains at once, and a full update once
// both queries have had a response.
func (w *catalogWatch) report(reset bool) {
	g := w.gateway
	if update := w.catalog.TakeUnlistedDrains(); len(update.Nodes) > 0 {
		g.onUpdate(catalogSource, update)
	}
	if update, ok := w.catalog.TakeUpdate(wallTime(g.world.now)); ok {
		update.SourceReset = reset
		g.onUpdate(catalogSource, update)
	}
}
