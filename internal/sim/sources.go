package sim

import (
	"cmp"
	"errors"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"pumicecroft/decision"
	"pumicecroft/internal/blockingquery"
	"pumicecroft/internal/consulcatalog"
	"pumicecroft/internal/lifecycle"
	"pumicecroft/membership"
)

// The sources of lists.
const (
	discoverySource = "discovery" // the platform's: it pushes what changes, late
	catalogSource   = "consul:backends"
)

// endpointSources is what a door's process knows of the backends beside its table, and what is kept of it.
type endpointSources struct {
	lastDiscovery   membership.Update // as discovery told last
	lastDiscoveryAt time.Duration     // when its last word comes
	cachedCatalog   []membership.Node
	cachedAt        time.Duration
	startTimes      *membership.StartTimes
	watch           *catalogWatch
	reports         map[string]map[string]decision.BackendState // by node, by source, as told last
	lastFull        map[string]map[string]bool                  // by source, what its last whole list named
	drainKnownSince map[string]time.Duration                    // since when it has been told that a node drains or is gone
	drainArrivedAt  map[string]time.Duration                    // the same, of what came while it stood still and is not read
	latestStart     map[string]time.Duration                    // the latest start of a node that it has been told of
	nameByID        map[decision.BackendID]string
}

// sinceEpoch is the run's clock for a time of day.
func sinceEpoch(t time.Time) time.Duration {
	if t.IsZero() {
		return 0
	}
	return max(0, t.Sub(time.Unix(0, 0)))
}

// wallTime is a time of day for the run's clock.
func wallTime(d time.Duration) time.Time {
	if d == 0 {
		return time.Time{}
	}
	return time.Unix(0, 0).Add(d)
}

// startSources starts a process's lists: what was kept, and then what its sources say.
func (d *gateway) startSources() {
	k := &d.endpoints
	k.reports, k.lastFull, k.drainKnownSince, k.nameByID = map[string]map[string]decision.BackendState{}, map[string]map[string]bool{}, map[string]time.Duration{}, map[decision.BackendID]string{}
	k.latestStart, k.drainArrivedAt = map[string]time.Duration{}, map[string]time.Duration{}
	var origins []membership.SourceInfo
	if d.runner.config.usesCatalog {
		origins = append(origins, membership.SourceInfo{Name: catalogSource})
	}
	if d.runner.config.usesDiscovery {
		origins = append(origins, membership.SourceInfo{Name: discoverySource, Trusted: true})
	}
	d.table = membership.NewTable(membership.Policy{}, origins...)
	epoch := d.epoch
	saved := membership.Update{Full: true, Cached: true}
	if d.runner.config.usesDiscovery {
		saved.Nodes = k.lastDiscovery.Nodes
	}
	d.onUpdate(discoverySource, saved)
	if d.runner.config.usesDiscovery {
		d.world.scheduleAt(d.nextDiscoveryAt(), func() { d.enqueue(epoch, discoverySource, func() { d.onDiscoveryUpdate(d.runner.fullUpdate()) }) })
	}
	if !d.runner.config.usesCatalog {
		return
	}
	k.startTimes = nil
	if d.runner.config.cachesCatalog {
		if k.cachedAt > 0 {
			d.onUpdate(catalogSource, membership.Update{Full: true, Cached: true, Nodes: k.cachedCatalog})
			k.startTimes = membership.NewStartTimes(k.cachedCatalog, wallTime(k.cachedAt))
		}
		d.cacheCatalog(epoch, 0)
	}
	k.watch = &catalogWatch{gateway: d, epoch: epoch, catalog: consulcatalog.NewCatalog(consulcatalog.Mapping{Name: "name", Cell: "cell", Zone: "zone", Started: "started"}, true)}
	for i := range k.watch.loops {
		k.watch.loops[i] = blockingquery.New(blockingquery.Policy{}, mix(d.world.seed^uint64(d.number)<<20^uint64(d.epoch)<<4^uint64(i)))
		k.watch.query(i)
	}
}

// cacheCatalog writes the catalogue's list every second, if it has changed.
func (d *gateway) cacheCatalog(epoch int, version uint64) {
	d.world.scheduleAfter(time.Second, func() {
		d.enqueue(epoch, nil, func() {
			nodes, now := d.table.NodesFrom(catalogSource)
			if now != version {
				d.endpoints.cachedCatalog, d.endpoints.cachedAt = nodes, d.world.now
			}
			d.cacheCatalog(epoch, now)
		})
	})
}

// nextDiscoveryAt is when discovery's next word comes to a door: late, and never before the one before.
func (d *gateway) nextDiscoveryAt() time.Duration {
	late := d.world.now + randDuration(d.world.newRand(6, uint64(d.number), uint64(d.world.now)), 5*time.Millisecond, 300*time.Millisecond) + d.discoveryLag
	d.endpoints.lastDiscoveryAt = max(d.endpoints.lastDiscoveryAt+1, late)
	return d.endpoints.lastDiscoveryAt
}

// onDiscoveryUpdate is discovery's word.
func (d *gateway) onDiscoveryUpdate(news membership.Update) {
	k := &d.endpoints
	k.lastDiscovery = mergeNodes(k.lastDiscovery, news)
	d.onUpdate(discoverySource, news)
}

// mergeNodes keeps what is known of all nodes.
func mergeNodes(all, news membership.Update) membership.Update {
	var out []membership.Node
	named := func(name string) func(membership.Node) bool {
		return func(n membership.Node) bool { return n.Name == name }
	}
	for _, n := range all.Nodes {
		if !news.Full && !slices.ContainsFunc(news.Nodes, named(n.Name)) {
			out = append(out, n)
		}
	}
	for _, n := range news.Nodes {
		if n.State != decision.Removed {
			out = append(out, n)
		}
	}
	return membership.Update{Nodes: out}
}

// onUpdate passes a list on to the table and what has changed to the connections and the core.
func (d *gateway) onUpdate(source string, l membership.Update) {
	if source == catalogSource && d.endpoints.startTimes != nil {
		d.endpoints.startTimes.FillIn(&l)
	}
	d.recordReport(source, l)
	d.world.tracef("door %d hears %d nodes of %s, %s", d.number, len(l.Nodes), source, cmp.Or(errorText(l), "well"))
	changes, bad := d.table.Report(d.world.now, source, l, sinceEpoch)
	if len(bad) > 0 {
		d.world.violatef("lists make sense", "%v", bad)
	}
	kind := decision.UpdateDelta
	if l.Cached && source == discoverySource {
		kind = decision.UpdateCached
	}
	d.applyChanges(kind, changes)
}

func errorText(l membership.Update) string {
	if l.Err != nil {
		return l.Err.Error()
	}
	return ""
}

// recordReport notes for the rules what a process has been told, whatever its table makes of it.
func (d *gateway) recordReport(source string, l membership.Update) {
	k := &d.endpoints
	if l.Err != nil {
		return
	}
	if l.Full {
		k.lastFull[source] = map[string]bool{}
	}
	for _, n := range l.Nodes {
		k.latestStart[n.Name] = max(k.latestStart[n.Name], sinceEpoch(n.StartedAt))
		if k.lastFull[source] != nil {
			k.lastFull[source][n.Name] = true
		}
		words := k.reports[n.Name]
		if words == nil {
			words = map[string]decision.BackendState{}
			k.reports[n.Name] = words
		}
		if words[source] = n.State; n.State == decision.Removed {
			delete(words, source)
		}
		arrived, came := k.drainArrivedAt[n.Name]
		if !came {
			arrived = d.world.now
		}
		if _, known := k.drainKnownSince[n.Name]; !known && n.State == decision.Draining {
			k.drainKnownSince[n.Name] = arrived
		}
		if n.State == decision.Draining || !d.reportedDraining(n.Name) { // it is read, or what was said since is
			delete(k.drainArrivedAt, n.Name)
		}
	}
}

// noteDrainArrived notes for the rules that a process has been told that a node drains, whether or not it has read that: it may stand still.
func (d *gateway) noteDrainArrived(name string) {
	if _, known := d.endpoints.drainArrivedAt[name]; !known && d.world.now < d.pausedUntil {
		d.endpoints.drainArrivedAt[name] = d.world.now
	}
}

// noteHealthArrived is arrives, of an answer on health.
func (d *gateway) noteHealthArrived(entries []consulcatalog.Entry) {
	for _, e := range entries {
		if name := e.Meta["name"]; e.Checks[0].Status != "passing" && (d.endpoints.lastFull[catalogSource] == nil || d.endpoints.lastFull[catalogSource][name]) {
			d.noteDrainArrived(name)
		}
	}
}

// recordCatalogEntries notes for the rules what the catalogue's entries say by themselves.
func (d *gateway) recordCatalogEntries(entries []consulcatalog.Entry, whole bool) {
	l := membership.Update{Full: whole}
	for _, e := range entries {
		n := membership.Node{Name: e.Meta["name"]}
		n.StartedAt, _ = time.Parse(time.RFC3339Nano, e.Meta["started"]) // the zero time is long ago
		if e.Checks[0].Status != "passing" {
			n.State = decision.Draining
		}
		known := d.endpoints.lastFull[catalogSource] == nil || d.endpoints.lastFull[catalogSource][n.Name] // else it may be older than what took it out
		if whole || known && n.State == decision.Draining {
			l.Nodes = append(l.Nodes, n)
		}
	}
	d.recordReport(catalogSource+", raw", l)
}

// applyChanges passes on what has changed.
func (d *gateway) applyChanges(kind decision.UpdateKind, changes []membership.Change) {
	if len(changes) == 0 && kind != decision.UpdateCached {
		d.scheduleWakeups()
		return
	}
	k := &d.endpoints
	news := decision.EndpointUpdate{Kind: kind}
	for i := range changes {
		c := &changes[i]
		c.Protocol = membership.ProtocolHTTP
		k.nameByID[c.ID] = c.Name
		d.world.tracef("door %d takes %s for %d", d.number, c.Name, int(c.State))
		switch {
		case c.State == decision.Ready && !d.reportedDraining(c.Name):
			delete(k.drainKnownSince, c.Name)
		case c.State == decision.Removed:
			d.check.onBackendRemoved(d, c.Name)
			if _, known := k.drainKnownSince[c.Name]; !known {
				k.drainKnownSince[c.Name] = d.world.now
			}
		}
		news.Endpoints = append(news.Endpoints, c.Endpoint)
	}
	d.httpPool.Apply(changes)
	d.closeDiscarded()
	d.execute(d.machine.UpdateEndpoints(d.world.now, news))
}

// reportedDraining tells whether any source that knows a node says that it drains. One that has told of all nodes without it does not
// know it any more, unless that list lacks so much that it is doubted.
func (d *gateway) reportedDraining(name string) bool {
	k := &d.endpoints
	lacked := slices.ContainsFunc(d.table.Statuses(), func(v membership.NodeStatus) bool { return v.Name == name && v.MissingFromUpdate })
	for source, state := range k.reports[name] {
		if state == decision.Draining && (lacked || k.lastFull[source] == nil || k.lastFull[source][name]) {
			return true
		}
	}
	return false
}

// publishBackend has the lists tell of a backend: discovery a little late, later where it lags, and the catalogue at its next answer.
func (r *runner) publishBackend(b *backend) {
	n := b.node()
	for _, d := range r.gateways {
		if epoch := d.epoch; r.config.usesDiscovery && d.up {
			r.scheduleAt(d.nextDiscoveryAt(), func() {
				if epoch == d.epoch && n.State == decision.Draining {
					d.noteDrainArrived(n.Name)
				}
				d.enqueue(epoch, discoverySource, func() { d.onDiscoveryUpdate(membership.Update{Nodes: []membership.Node{n}}) })
			})
		}
	}
	r.agent.bumpIndex()
}

// fullUpdate is the whole of discovery's list.
func (r *runner) fullUpdate() membership.Update {
	l := membership.Update{Full: true}
	for _, b := range r.backends {
		if b.listed {
			l.Nodes = append(l.Nodes, b.node())
		}
	}
	return l
}

// catalogWatch is a door's watch of the catalogue: two blocking queries, for health and for what exists, that fill one book.
type catalogWatch struct {
	gateway       *gateway
	epoch         int
	catalog       *consulcatalog.Catalog
	loops         [2]*blockingquery.Loop // of health, of the catalogue
	querySerial   [2]int                 // how often each was asked
	failingSince  [2]time.Duration       // since when it fails; 0: it does not
	waiters       [2][]func()            // wait for the end of a question that is asked from now on
	requery       [2]bool                // the next one is
	arrivedSerial [2]int                 // the last question whose answer has arrived
}

var (
	errAgentUnreachable = errors.New("the agent can't be reached")
	errAgentTimeout     = errors.New("the agent is silent")
	errPartialResponse  = errors.New("an answer that is not believed in whole")
)

// query asks a question when it is due, and again when it has an end.
func (s *catalogWatch) query(i int) {
	d, loop := s.gateway, s.loops[i]
	q := loop.Next()
	s.querySerial[i]++
	number := s.querySerial[i] // a later one takes its place
	d.world.scheduleAt(q.NotBefore, func() {
		d.enqueue(s.epoch, s, func() {
			if s.querySerial[i] != number {
				return
			}
			loop.Sent(d.world.now)
			end := func(a blockingquery.Response, entries []consulcatalog.Entry, err error) {
				if err == nil && s.querySerial[i] == number {
					if s.arrivedSerial[i] = number; i == 0 {
						d.noteHealthArrived(entries)
					}
				}
				d.enqueue(s.epoch, s, func() {
					if s.querySerial[i] == number {
						s.onResponse(i, a, entries, err)
						wanted := s.waiters[i]
						if s.requery[i] { // it was asked before they wanted it
							s.loops[i].Refresh(d.world.now)
							wanted = nil
						} else {
							s.waiters[i] = nil
						}
						s.requery[i] = false
						s.query(i)
						for _, w := range wanted {
							w()
						}
					}
				})
			}
			d.world.scheduleAfter(q.Timeout, func() { end(blockingquery.Response{}, nil, errAgentTimeout) })
			d.runner.agent.query(d, i, q, end)
		})
	})
}

// sync asks anew, and has done called when that has an end. What failed since before a time is not waited for.
func (s *catalogWatch) sync(since time.Duration, done func()) {
	left := 1
	end := func() {
		if left--; left == 0 {
			done()
		}
	}
	for i := range s.loops {
		if s.failingSince[i] > 0 && s.failingSince[i] < since {
			continue
		}
		left++
		s.waiters[i] = append(s.waiters[i], end)
		if s.arrivedSerial[i] == s.querySerial[i] { // what has come is told, whatever becomes of the next question
			s.requery[i] = true
			continue
		}
		s.loops[i].Refresh(s.gateway.world.now)
		s.query(i)
	}
	end()
}

// onResponse takes in what came of a question.
func (s *catalogWatch) onResponse(i int, a blockingquery.Response, entries []consulcatalog.Entry, err error) {
	d, now, health := s.gateway, wallTime(s.gateway.world.now), i == 0
	tell := func(anew bool) {
		if l := s.catalog.UnlistedDrains(); len(l.Nodes) > 0 {
			d.onUpdate(catalogSource, l)
		}
		if l, ok := s.catalog.Update(now); ok {
			l.SourceReset = anew
			d.onUpdate(catalogSource, l)
		}
	}
	if err != nil {
		s.loops[i].Failed(d.world.now)
		s.failingSince[i] = cmp.Or(s.failingSince[i], d.world.now)
		switch {
		case health:
			d.onUpdate(catalogSource, membership.Update{Err: err})
		case s.catalog.ServicesFailed():
			tell(false)
		}
		return
	}
	v := s.loops[i].Answered(d.world.now, a)
	s.failingSince[i] = 0
	switch {
	case health:
		d.recordCatalogEntries(entries, v.Full)
		if errs := s.catalog.UpdateHealth(now, entries, v.Full, v.IndexReset); len(errs) > 0 {
			d.world.violatef("lists make sense", "%v", errs)
		}
	case !v.Full:
		return // health says so too, and the list as it was is no news
	default:
		var names []string
		for _, e := range entries {
			names = append(names, consulcatalog.Name(e.Node, e.ID))
		}
		s.catalog.UpdateServices(names)
	}
	tell(v.IndexReset)
	if health && !v.Full {
		d.onUpdate(catalogSource, membership.Update{Err: errPartialResponse})
	}
}

// agent is Consul's: it holds a question until something has changed.
type agent struct {
	runner      *runner
	index       uint64
	waiting     []*pendingQuery
	missing     [2]func(*backend) bool // what the answers on health and on the catalogue lack now
	restoredAt  time.Duration          // when they came back last, or what was deregistered did
	failureMode map[*gateway]int       // how it fails for a door, from 1
}

type pendingQuery struct {
	gateway *gateway
	index   uint64
	done    bool
	respond func()
}

// bumpIndex is news of anything.
func (a *agent) bumpIndex() {
	a.index++
	waiting := a.waiting
	a.waiting = nil
	for _, q := range waiting {
		if q.index < a.index {
			q.respond()
		} else {
			a.waiting = append(a.waiting, q)
		}
	}
}

// query takes a question of a door.
func (a *agent) query(d *gateway, i int, q blockingquery.Query, end func(blockingquery.Response, []consulcatalog.Entry, error)) {
	w := a.runner.world
	w.seq++
	way := randDuration(w.newRand(11, w.seq), 200*time.Microsecond, 5*time.Millisecond)
	asked := &pendingQuery{gateway: d, index: q.Index}
	asked.respond = func() {
		if asked.done {
			return
		}
		asked.done = true
		head := blockingquery.Response{Index: a.index, KnownLeader: true}
		entries := a.entries(i)
		switch a.failureMode[d] {
		case 1:
			w.scheduleAfter(way, func() { end(head, nil, errAgentUnreachable) })
			return
		case 2: // silent
			return
		case 3:
			head.KnownLeader, entries = false, nil
		case 4:
			head.LastContact = time.Minute
		}
		head.Entries = len(entries)
		w.scheduleAfter(way, func() { end(head, entries, nil) })
	}
	w.scheduleAfter(way, func() {
		if q.Index == 0 || q.Index != a.index || a.failureMode[d] > 0 {
			asked.respond()
			return
		}
		a.waiting = append(a.waiting, asked)
		w.scheduleAfter(q.Wait, asked.respond)
	})
}

// entries is what an answer lists.
func (a *agent) entries(i int) (out []consulcatalog.Entry) {
	for _, b := range a.runner.backends {
		if !b.listed || a.missing[i] != nil && a.missing[i](b) {
			continue
		}
		e := consulcatalog.Entry{Node: "machine-" + b.name(), ID: "backend", Host: b.name(), Port: 1, Addr: b.addr(), PassingWeight: 1, CreateIndex: b.createIndex,
			Meta:   map[string]string{"name": b.name(), "cell": strconv.Itoa(b.cell), "zone": b.zone},
			Checks: []consulcatalog.Check{{ID: "alive", Status: "passing"}}}
		if b.startedAt > 0 {
			e.Meta["started"] = wallTime(b.startedAt).UTC().Format(time.RFC3339Nano)
		}
		if n := b.node(); n.State == decision.Draining {
			e.Checks[0].Status = "critical"
		}
		out = append(out, e)
	}
	return out
}

// startFailure has the agent fail for a door.
func (a *agent) startFailure(d *gateway, how int) {
	a.failureMode[d] = 1 + how%4
	waiting := a.waiting
	a.waiting = nil
	for _, q := range waiting { // what is held breaks with it, or stays without an answer
		if q.gateway == d {
			q.respond()
		} else {
			a.waiting = append(a.waiting, q)
		}
	}
}

// startLoss has the catalogue lose most of its entries, all of them, those of its health alone, or begin anew.
func (a *agent) startLoss(how int) (over func()) {
	if a.missing[0] != nil || a.restoredAt > 0 && a.runner.now < a.restoredAt+2*time.Second { // it does already, or two would look like one long one
		return func() {}
	}
	first := slices.IndexFunc(a.runner.backends, func(b *backend) bool { return b.listed })
	second := 1 + first + slices.IndexFunc(a.runner.backends[1+first:], func(b *backend) bool { return b.listed })
	some := func(b *backend) bool { return b.number != first }
	all := func(*backend) bool { return true }
	n := 0
	for _, b := range a.runner.backends {
		if b.listed {
			n++
		}
	}
	switch {
	case how%4 == 0 && n < 4: // fewer may be believed to be gone at once
	case how%4 == 0:
		left := 1
		lacks := func(b *backend) bool { return some(b) && (left == 1 || b.number != second) }
		if how > 0 && n > 4 && a.runner.now > start+time.Second { // little by little, once all doors know what there was
			left = 2
			processes := a.processSum()
			a.runner.scheduleAfter(300*time.Millisecond, func() {
				if a.processSum() == processes { // to one that knows two nodes, one of them is not most
					left = 1
					a.bumpIndex()
				}
			})
		}
		a.missing = [2]func(*backend) bool{lacks, lacks}
	case how%4 == 1:
		a.missing = [2]func(*backend) bool{all, nil}
	case how%4 == 2:
		a.index %= 7
		for _, b := range a.runner.backends {
			b.createIndex = a.index + 1
		}
		fallthrough
	default:
		a.missing = [2]func(*backend) bool{all, all}
	}
	a.bumpIndex()
	return func() {
		a.missing, a.restoredAt = [2]func(*backend) bool{}, a.runner.now
		a.bumpIndex()
	}
}

// processSum tells sets of doors' processes apart.
func (a *agent) processSum() (n int) {
	for _, d := range a.runner.gateways {
		if d.up {
			n += 1 + d.epoch
		}
	}
	return n
}

// perturbedEngine makes more of the decision module's word than it says, within what its interface allows: attempts that end
// earlier than their clients' time, and probes.
type perturbedEngine struct {
	lifecycle.DecisionEngine
	rng      *rand.Rand
	backends int
	stopped  *bool // nothing is asked any more
}

// Handle passes an event on.
func (r *perturbedEngine) Handle(now time.Duration, ev decision.Event, actions []decision.Action) []decision.Action {
	actions = r.DecisionEngine.Handle(now, ev, actions)
	for i, a := range actions {
		if s, ok := a.(decision.StartAttempt); ok && r.rng.IntN(3) == 0 {
			s.Timeout = randDuration(r.rng, 20*time.Millisecond, 900*time.Millisecond)
			actions[i] = s
		}
	}
	if t, ok := ev.(decision.Timer); ok && t.Token == 0 && !*r.stopped {
		actions = append(actions, decision.Probe{Backend: decision.BackendID(1 + r.rng.IntN(r.backends))})
	}
	return actions
}
