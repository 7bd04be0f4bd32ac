package sim

import (
	"cmp"
	"errors"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"pumicecroft/decision"
	"pumicecroft/internal/blocking"
	"pumicecroft/internal/core"
	"pumicecroft/internal/registry"
	"pumicecroft/membership"
)

// The sources of lists.
const (
	discovery = "discovery" // the platform's: it pushes what changes, late
	catalogue = "consul:backends"
)

// lists is what a door's process knows of the backends beside its table, and what is kept of it.
type lists struct {
	last     membership.List // as discovery told last
	pushedAt time.Duration   // when its last word comes
	kept     []membership.Node
	keptAt   time.Duration
	recall   *membership.Recall
	watch    *watch
	words    map[string]map[string]decision.BackendState // by node, by source, as told last
	whole    map[string]map[string]bool                  // by source, what its last whole list named
	told     map[string]time.Duration                    // since when it has been told that a node drains or is gone
	arrived  map[string]time.Duration                    // the same, of what came while it stood still and is not read
	starts   map[string]time.Duration                    // the latest start of a node that it has been told of
	byID     map[decision.BackendID]string
}

// unix is the run's clock for a time of day.
func unix(t time.Time) time.Duration {
	if t.IsZero() {
		return 0
	}
	return max(0, t.Sub(time.Unix(0, 0)))
}

// day is a time of day for the run's clock.
func day(d time.Duration) time.Time {
	if d == 0 {
		return time.Time{}
	}
	return time.Unix(0, 0).Add(d)
}

// begin starts a process's lists: what was kept, and then what its sources say.
func (d *door) begin() {
	k := &d.lists
	k.words, k.whole, k.told, k.byID = map[string]map[string]decision.BackendState{}, map[string]map[string]bool{}, map[string]time.Duration{}, map[decision.BackendID]string{}
	k.starts, k.arrived = map[string]time.Duration{}, map[string]time.Duration{}
	var origins []membership.Origin
	if d.r.shape.catalogue {
		origins = append(origins, membership.Origin{Name: catalogue})
	}
	if d.r.shape.discovery {
		origins = append(origins, membership.Origin{Name: discovery, Plain: true})
	}
	d.table = membership.NewTable(membership.Rules{}, origins...)
	epoch := d.epoch
	saved := membership.List{Whole: true, Saved: true}
	if d.r.shape.discovery {
		saved.Nodes = k.last.Nodes
	}
	d.heard(discovery, saved)
	if d.r.shape.discovery {
		d.w.at(d.lateness(), func() { d.in(epoch, discovery, func() { d.pushed(d.r.allNodes()) }) })
	}
	if !d.r.shape.catalogue {
		return
	}
	k.recall = nil
	if d.r.shape.keeps {
		if k.keptAt > 0 {
			d.heard(catalogue, membership.List{Whole: true, Saved: true, Nodes: k.kept})
			k.recall = membership.NewRecall(k.kept, day(k.keptAt))
		}
		d.keep(epoch, 0)
	}
	k.watch = &watch{d: d, epoch: epoch, book: registry.NewBook(registry.Mapping{Name: "name", Cell: "cell", Zone: "zone", Started: "started"}, true)}
	for i := range k.watch.loops {
		k.watch.loops[i] = blocking.New(blocking.Rules{}, mix(d.w.seed^uint64(d.number)<<20^uint64(d.epoch)<<4^uint64(i)))
		k.watch.ask(i)
	}
}

// keep writes the catalogue's list every second, if it has changed.
func (d *door) keep(epoch int, version uint64) {
	d.w.after(time.Second, func() {
		d.in(epoch, nil, func() {
			nodes, now := d.table.Words(catalogue)
			if now != version {
				d.lists.kept, d.lists.keptAt = nodes, d.w.now
			}
			d.keep(epoch, now)
		})
	})
}

// lateness is when discovery's next word comes to a door: late, and never before the one before.
func (d *door) lateness() time.Duration {
	late := d.w.now + between(d.w.chance(6, uint64(d.number), uint64(d.w.now)), 5*time.Millisecond, 300*time.Millisecond) + d.lag
	d.lists.pushedAt = max(d.lists.pushedAt+1, late)
	return d.lists.pushedAt
}

// pushed is discovery's word.
func (d *door) pushed(news membership.List) {
	k := &d.lists
	k.last = merge(k.last, news)
	d.heard(discovery, news)
}

// merge keeps what is known of all nodes.
func merge(all, news membership.List) membership.List {
	var out []membership.Node
	named := func(name string) func(membership.Node) bool {
		return func(n membership.Node) bool { return n.Name == name }
	}
	for _, n := range all.Nodes {
		if !news.Whole && !slices.ContainsFunc(news.Nodes, named(n.Name)) {
			out = append(out, n)
		}
	}
	for _, n := range news.Nodes {
		if n.State != decision.Gone {
			out = append(out, n)
		}
	}
	return membership.List{Nodes: out}
}

// heard passes a list on to the table and what has changed to the connections and the core.
func (d *door) heard(source string, l membership.List) {
	if source == catalogue && d.lists.recall != nil {
		d.lists.recall.Heard(&l)
	}
	d.word(source, l)
	d.w.tell("door %d hears %d nodes of %s, %s", d.number, len(l.Nodes), source, cmp.Or(failure(l), "well"))
	changes, bad := d.table.Report(d.w.now, source, l, unix)
	if len(bad) > 0 {
		d.w.broken("lists make sense", "%v", bad)
	}
	kind := decision.ListChanges
	if l.Saved && source == discovery {
		kind = decision.ListSaved
	}
	d.changed(kind, changes)
}

func failure(l membership.List) string {
	if l.Failed != nil {
		return l.Failed.Error()
	}
	return ""
}

// word notes for the rules what a process has been told, whatever its table makes of it.
func (d *door) word(source string, l membership.List) {
	k := &d.lists
	if l.Failed != nil {
		return
	}
	if l.Whole {
		k.whole[source] = map[string]bool{}
	}
	for _, n := range l.Nodes {
		k.starts[n.Name] = max(k.starts[n.Name], unix(n.Started))
		if k.whole[source] != nil {
			k.whole[source][n.Name] = true
		}
		words := k.words[n.Name]
		if words == nil {
			words = map[string]decision.BackendState{}
			k.words[n.Name] = words
		}
		if words[source] = n.State; n.State == decision.Gone {
			delete(words, source)
		}
		arrived, came := k.arrived[n.Name]
		if !came {
			arrived = d.w.now
		}
		if _, known := k.told[n.Name]; !known && n.State == decision.Draining {
			k.told[n.Name] = arrived
		}
		if n.State == decision.Draining || !d.draining(n.Name) { // it is read, or what was said since is
			delete(k.arrived, n.Name)
		}
	}
}

// arrives notes for the rules that a process has been told that a node drains, whether or not it has read that: it may stand still.
func (d *door) arrives(name string) {
	if _, known := d.lists.arrived[name]; !known && d.w.now < d.paused {
		d.lists.arrived[name] = d.w.now
	}
}

// comes is arrives, of an answer on health.
func (d *door) comes(entries []registry.Entry) {
	for _, e := range entries {
		if name := e.Meta["name"]; e.Checks[0].Status != "passing" && (d.lists.whole[catalogue] == nil || d.lists.whole[catalogue][name]) {
			d.arrives(name)
		}
	}
}

// raw notes for the rules what the catalogue's entries say by themselves.
func (d *door) raw(entries []registry.Entry, whole bool) {
	l := membership.List{Whole: whole}
	for _, e := range entries {
		n := membership.Node{Name: e.Meta["name"]}
		n.Started, _ = time.Parse(time.RFC3339Nano, e.Meta["started"]) // the zero time is long ago
		if e.Checks[0].Status != "passing" {
			n.State = decision.Draining
		}
		known := d.lists.whole[catalogue] == nil || d.lists.whole[catalogue][n.Name] // else it may be older than what took it out
		if whole || known && n.State == decision.Draining {
			l.Nodes = append(l.Nodes, n)
		}
	}
	d.word(catalogue+", raw", l)
}

// changed passes on what has changed.
func (d *door) changed(kind decision.ListKind, changes []membership.Change) {
	if len(changes) == 0 && kind != decision.ListSaved {
		d.arm()
		return
	}
	k := &d.lists
	news := decision.BackendList{Kind: kind}
	for i := range changes {
		c := &changes[i]
		c.Protocol = membership.ProtocolHTTP
		k.byID[c.ID] = c.Name
		d.w.tell("door %d takes %s for %d", d.number, c.Name, int(c.State))
		switch {
		case c.State == decision.Ready && !d.draining(c.Name):
			delete(k.told, c.Name)
		case c.State == decision.Gone:
			d.c.letGo(d, c.Name)
			if _, known := k.told[c.Name]; !known {
				k.told[c.Name] = d.w.now
			}
		}
		news.Backends = append(news.Backends, c.BackendInfo)
	}
	d.fleet.Apply(changes)
	d.tidy()
	d.carry(d.core.List(d.w.now, news))
}

// draining tells whether any source that knows a node says that it drains. One that has told of all nodes without it does not
// know it any more, unless that list lacks so much that it is doubted.
func (d *door) draining(name string) bool {
	k := &d.lists
	lacked := slices.ContainsFunc(d.table.Views(), func(v membership.View) bool { return v.Name == name && v.Lacked })
	for source, state := range k.words[name] {
		if state == decision.Draining && (lacked || k.whole[source] == nil || k.whole[source][name]) {
			return true
		}
	}
	return false
}

// push has the lists tell of a backend: discovery a little late, later where it lags, and the catalogue at its next answer.
func (r *runner) push(b *backend) {
	n := b.node()
	for _, d := range r.doors {
		if epoch := d.epoch; r.shape.discovery && d.up {
			r.at(d.lateness(), func() {
				if epoch == d.epoch && n.State == decision.Draining {
					d.arrives(n.Name)
				}
				d.in(epoch, discovery, func() { d.pushed(membership.List{Nodes: []membership.Node{n}}) })
			})
		}
	}
	r.agent.change()
}

// allNodes is the whole of discovery's list.
func (r *runner) allNodes() membership.List {
	l := membership.List{Whole: true}
	for _, b := range r.backends {
		if b.listed {
			l.Nodes = append(l.Nodes, b.node())
		}
	}
	return l
}

// watch is a door's watch of the catalogue: two blocking queries, for health and for what exists, that fill one book.
type watch struct {
	d      *door
	epoch  int
	book   *registry.Book
	loops  [2]*blocking.Loop // of health, of the catalogue
	asked  [2]int            // how often each was asked
	failed [2]time.Duration  // since when it fails; 0: it does not
	wanted [2][]func()       // wait for the end of a question that is asked from now on
	again  [2]bool           // the next one is
	came   [2]int            // the last question whose answer has arrived
}

var (
	errNoAgent = errors.New("the agent can't be reached")
	errSilent  = errors.New("the agent is silent")
	errPartly  = errors.New("an answer that is not believed in whole")
)

// ask asks a question when it is due, and again when it has an end.
func (s *watch) ask(i int) {
	d, loop := s.d, s.loops[i]
	q := loop.Next()
	s.asked[i]++
	number := s.asked[i] // a later one takes its place
	d.w.at(q.At, func() {
		d.in(s.epoch, s, func() {
			if s.asked[i] != number {
				return
			}
			loop.Asked(d.w.now)
			end := func(a blocking.Answer, entries []registry.Entry, err error) {
				if err == nil && s.asked[i] == number {
					if s.came[i] = number; i == 0 {
						d.comes(entries)
					}
				}
				d.in(s.epoch, s, func() {
					if s.asked[i] == number {
						s.answered(i, a, entries, err)
						wanted := s.wanted[i]
						if s.again[i] { // it was asked before they wanted it
							s.loops[i].Refresh(d.w.now)
							wanted = nil
						} else {
							s.wanted[i] = nil
						}
						s.again[i] = false
						s.ask(i)
						for _, w := range wanted {
							w()
						}
					}
				})
			}
			d.w.after(q.Patience, func() { end(blocking.Answer{}, nil, errSilent) })
			d.r.agent.ask(d, i, q, end)
		})
	})
}

// catchUp asks anew, and has done called when that has an end. What failed since before a time is not waited for.
func (s *watch) catchUp(since time.Duration, done func()) {
	left := 1
	end := func() {
		if left--; left == 0 {
			done()
		}
	}
	for i := range s.loops {
		if s.failed[i] > 0 && s.failed[i] < since {
			continue
		}
		left++
		s.wanted[i] = append(s.wanted[i], end)
		if s.came[i] == s.asked[i] { // what has come is told, whatever becomes of the next question
			s.again[i] = true
			continue
		}
		s.loops[i].Refresh(s.d.w.now)
		s.ask(i)
	}
	end()
}

// answered takes in what came of a question.
func (s *watch) answered(i int, a blocking.Answer, entries []registry.Entry, err error) {
	d, now, health := s.d, day(s.d.w.now), i == 0
	tell := func(anew bool) {
		if l := s.book.Drains(); len(l.Nodes) > 0 {
			d.heard(catalogue, l)
		}
		if l, ok := s.book.List(now); ok {
			l.Anew = anew
			d.heard(catalogue, l)
		}
	}
	if err != nil {
		s.loops[i].Failed(d.w.now)
		s.failed[i] = cmp.Or(s.failed[i], d.w.now)
		switch {
		case health:
			d.heard(catalogue, membership.List{Failed: err})
		case s.book.CatalogueFailed():
			tell(false)
		}
		return
	}
	v := s.loops[i].Answered(d.w.now, a)
	s.failed[i] = 0
	switch {
	case health:
		d.raw(entries, v.Whole)
		if errs := s.book.Health(now, entries, v.Whole, v.Anew); len(errs) > 0 {
			d.w.broken("lists make sense", "%v", errs)
		}
	case !v.Whole:
		return // health says so too, and the list as it was is no news
	default:
		var names []string
		for _, e := range entries {
			names = append(names, registry.Name(e.Node, e.ID))
		}
		s.book.Catalogue(names)
	}
	tell(v.Anew)
	if health && !v.Whole {
		d.heard(catalogue, membership.List{Failed: errPartly})
	}
}

// agent is Consul's: it holds a question until something has changed.
type agent struct {
	r       *runner
	index   uint64
	waiting []*question
	lost    [2]func(*backend) bool // what the answers on health and on the catalogue lack now
	found   time.Duration          // when they came back last, or what was deregistered did
	fails   map[*door]int          // how it fails for a door, from 1
}

type question struct {
	door  *door
	index uint64
	over  bool
	give  func()
}

// change is news of anything.
func (a *agent) change() {
	a.index++
	waiting := a.waiting
	a.waiting = nil
	for _, q := range waiting {
		if q.index < a.index {
			q.give()
		} else {
			a.waiting = append(a.waiting, q)
		}
	}
}

// ask takes a question of a door.
func (a *agent) ask(d *door, i int, q blocking.Question, end func(blocking.Answer, []registry.Entry, error)) {
	w := a.r.world
	w.seq++
	way := between(w.chance(11, w.seq), 200*time.Microsecond, 5*time.Millisecond)
	asked := &question{door: d, index: q.Index}
	asked.give = func() {
		if asked.over {
			return
		}
		asked.over = true
		head := blocking.Answer{Index: a.index, KnownLeader: true}
		entries := a.entries(i)
		switch a.fails[d] {
		case 1:
			w.after(way, func() { end(head, nil, errNoAgent) })
			return
		case 2: // silent
			return
		case 3:
			head.KnownLeader, entries = false, nil
		case 4:
			head.LastContact = time.Minute
		}
		head.Size = len(entries)
		w.after(way, func() { end(head, entries, nil) })
	}
	w.after(way, func() {
		if q.Index == 0 || q.Index != a.index || a.fails[d] > 0 {
			asked.give()
			return
		}
		a.waiting = append(a.waiting, asked)
		w.after(q.Wait, asked.give)
	})
}

// entries is what an answer lists.
func (a *agent) entries(i int) (out []registry.Entry) {
	for _, b := range a.r.backends {
		if !b.listed || a.lost[i] != nil && a.lost[i](b) {
			continue
		}
		e := registry.Entry{Node: "machine-" + b.name(), ID: "backend", Host: b.name(), Port: 1, Addr: b.addr(), Passing: 1, Create: b.created,
			Meta:   map[string]string{"name": b.name(), "cell": strconv.Itoa(b.cell), "zone": b.zone},
			Checks: []registry.Check{{ID: "alive", Status: "passing"}}}
		if b.born > 0 {
			e.Meta["started"] = day(b.born).UTC().Format(time.RFC3339Nano)
		}
		if n := b.node(); n.State == decision.Draining {
			e.Checks[0].Status = "critical"
		}
		out = append(out, e)
	}
	return out
}

// fail has the agent fail for a door.
func (a *agent) fail(d *door, how int) {
	a.fails[d] = 1 + how%4
	waiting := a.waiting
	a.waiting = nil
	for _, q := range waiting { // what is held breaks with it, or stays without an answer
		if q.door == d {
			q.give()
		} else {
			a.waiting = append(a.waiting, q)
		}
	}
}

// lose has the catalogue lose most of its entries, all of them, those of its health alone, or begin anew.
func (a *agent) lose(how int) (over func()) {
	if a.lost[0] != nil || a.found > 0 && a.r.now < a.found+2*time.Second { // it does already, or two would look like one long one
		return func() {}
	}
	first := slices.IndexFunc(a.r.backends, func(b *backend) bool { return b.listed })
	second := 1 + first + slices.IndexFunc(a.r.backends[1+first:], func(b *backend) bool { return b.listed })
	some := func(b *backend) bool { return b.number != first }
	all := func(*backend) bool { return true }
	n := 0
	for _, b := range a.r.backends {
		if b.listed {
			n++
		}
	}
	switch {
	case how%4 == 0 && n < 4: // fewer may be believed to be gone at once
	case how%4 == 0:
		left := 1
		lacks := func(b *backend) bool { return some(b) && (left == 1 || b.number != second) }
		if how > 0 && n > 4 && a.r.now > start+time.Second { // little by little, once all doors know what there was
			left = 2
			processes := a.processes()
			a.r.after(300*time.Millisecond, func() {
				if a.processes() == processes { // to one that knows two nodes, one of them is not most
					left = 1
					a.change()
				}
			})
		}
		a.lost = [2]func(*backend) bool{lacks, lacks}
	case how%4 == 1:
		a.lost = [2]func(*backend) bool{all, nil}
	case how%4 == 2:
		a.index = a.index % 7
		for _, b := range a.r.backends {
			b.created = a.index + 1
		}
		fallthrough
	default:
		a.lost = [2]func(*backend) bool{all, all}
	}
	a.change()
	return func() {
		a.lost, a.found = [2]func(*backend) bool{}, a.r.now
		a.change()
	}
}

// processes tells sets of doors' processes apart.
func (a *agent) processes() (n int) {
	for _, d := range a.r.doors {
		if d.up {
			n += 1 + d.epoch
		}
	}
	return n
}

// restless makes more of the decision module's word than it says, within what its interface allows: attempts that end
// earlier than their clients' time, and probes.
type restless struct {
	core.Decider
	rng      *rand.Rand
	backends int
	over     *bool // nothing is asked any more
}

// Handle passes an event on.
func (r *restless) Handle(now time.Duration, ev decision.Event, actions []decision.Action) []decision.Action {
	actions = r.Decider.Handle(now, ev, actions)
	for i, a := range actions {
		if s, ok := a.(decision.Send); ok && r.rng.IntN(3) == 0 {
			s.Timeout = between(r.rng, 20*time.Millisecond, 900*time.Millisecond)
			actions[i] = s
		}
	}
	if t, ok := ev.(decision.Timer); ok && t.Token == 0 && !*r.over {
		actions = append(actions, decision.Probe{Backend: decision.BackendID(1 + r.rng.IntN(r.backends))})
	}
	return actions
}
