package membership

import (
	"cmp"
	"container/heap"
	"fmt"
	"slices"
	"strings"
	"time"

	"pumicecroft/decision"
)

// State is what a Table believes of a node.
type State uint8

// The states. Only Cold and Ready nodes are sent anything new. Suspect is one that has been out and says that it is
// well again, until it has earned that; Draining ends what it has.
const (
	Unknown   State = iota // no source has named it
	WarmingUp              // it started, or was registered, within Rules.ColdFor
	Ready
	Probation
	Draining
	Removed
)

// String is the state's name.
func (s State) String() string {
	return [...]string{"unknown", "cold", "ready", "suspect", "draining", "gone"}[s]
}

// Policy say how reports are weighed. What is 0 takes the default.
type Policy struct {
	// Coming back has to be earned: a node that was out and says that it is ready is taken back once it has said so
	// for HoldFirst, twice as long for each further time that it was out, HoldMost at the most. A time counts until
	// the node has been well for Forget; then one is forgotten, and so on.
	ProbationMin   time.Duration // 1 s
	ProbationMax   time.Duration // 1 min
	ProbationReset time.Duration // 1 min
	// WarmupWindow is how long a started node is called cold. It is a name only: the decision module has figures of its
	// own for what a cold backend is sent.
	WarmupWindow time.Duration // 15 s
	// MaxNodes is how many nodes are kept, over all sources; one more is passed over until another is gone. As many that
	// are gone are remembered for a while, so that one that comes and goes has to earn its place too.
	MaxNodes int // DefaultMost
	// A whole list that lacks more than LossShare of what its source had listed, LossLeast nodes at the least, is more
	// often the failure of a source than that of so many nodes. What it lacks is let go once the source has said so
	// for LossFor and says so again then, without failing meanwhile. If it lists nothing at all, or began anew with
	// other data, that takes LossAll: nodes come back to an emptied catalogue within minutes, and until then a node
	// that is really gone costs an attempt that provably never ran, where an emptied list costs every request.
	MassRemovalRatio float64       // 0.5
	MassRemovalMin   int           // 3
	MassRemovalDelay time.Duration // 1.5 s
	FullRemovalDelay time.Duration // 5 min
}

// DefaultMaxNodes is how many nodes a Table keeps unless its Rules say otherwise.
const DefaultMaxNodes = 20_000

// maxTimerLateness is how late a loss may come due. For one that comes later, as this process stood still, all begins again.
const maxTimerLateness = 150 * time.Millisecond

// tombstoneResets is for how many times Forget a node that is gone is remembered.
const tombstoneResets = 5

// SourceInfo is a source as a Table knows it.
type SourceInfo struct {
	Name string
	// Trusted says that its word is taken as it stands: coming back need not be earned, and a list that lacks most
	// nodes is believed at once. It suits a list that a person or the program itself has made.
	Trusted bool
}

func (r Policy) withDefaults() Policy {
	for _, d := range []struct {
		v  *time.Duration
		is time.Duration
	}{{&r.ProbationMin, time.Second}, {&r.ProbationMax, time.Minute}, {&r.ProbationReset, time.Minute}, {&r.WarmupWindow, 15 * time.Second},
		{&r.MassRemovalDelay, 1500 * time.Millisecond}, {&r.FullRemovalDelay, 5 * time.Minute}} {
		if *d.v <= 0 {
			*d.v = d.is
		}
	}
	if r.MaxNodes <= 0 {
		r.MaxNodes = DefaultMaxNodes
	}
	if r.MassRemovalRatio <= 0 {
		r.MassRemovalRatio = 0.5
	}
	if r.MassRemovalMin <= 0 {
		r.MassRemovalMin = 3
	}
	return r
}

// Change is what the decision module and the connections must learn of one node. State is Ready, Draining or Gone.
type Change struct {
	decision.Endpoint
	Name     string
	Addr     string
	Replaced bool // what was at its address before, or at another, is a different process: connections lead nowhere
}

// NodeStatus is what a Table believes of a node, for people.
type NodeStatus struct {
	Node
	ID                decision.BackendID
	EffectiveState    State
	Since             time.Duration // of Belief
	ProbationUntil    time.Duration // a Suspect is taken back then
	RecentOutages     int           // that it was out lately
	Source            string        // whose word decided
	Stale             bool          // that source has failed since, or has only told what was saved before a restart
	MissingFromUpdate bool          // its source's last list lacks it, and is not believed yet
	Reason            string        // in words
}

// member is one node.
type member struct {
	name           string
	id             decision.BackendID
	reports        []report // the last word of each source that knows it, by precedence
	emitted        Change   // what was emitted last
	state          State
	since          time.Duration
	decidedBy      int  // whose word decided
	outByTrusted   bool // the word that put it out was a plain source's
	probationUntil time.Duration
	outages        int
	healthySince   time.Duration // since when it has been well
	queueIndex     int           // in the heap, from 1; 0: it waits for nothing
	evaluateAt     time.Duration
}

// report is what a source says of a node. Most nodes are known to one source of many, so only these are kept.
type report struct {
	sourceIndex  int
	memberSlot   int // in what its source knows
	node         *Node
	started      time.Duration // node.Started in the table's time
	updateNumber uint64        // which of the table's lists named it last,
	entryIndex   int           // and at which place of its
}

// findReport gives the place of a source's word, or where it would be.
func (m *member) findReport(source int) (int, bool) {
	return slices.BinarySearchFunc(m.reports, source, func(w report, s int) int { return cmp.Compare(w.sourceIndex, s) })
}

// nodeFrom is a source's word, or nil.
func (m *member) nodeFrom(source int) *Node {
	if i, ok := m.findReport(source); ok {
		return m.reports[i].node
	}
	return nil
}

// Table merges what several sources report. It is pure: reports and times go in, changes come out. It is not safe
// for concurrent use. The sources stand in order of precedence:
//
//   - What a node is (address, zone, cell, model, weight) is the word of the first source that knows it.
//   - Whether it may be sent anything is the most careful word of all sources that know it: one that says draining
//     is believed at once, whatever the others say. A source that does not know a node says nothing of it.
//   - It started, or was registered anew, when the latest of them says.
//   - A node is gone when no source knows it any more.
//   - A source that fails keeps its last words; they are marked old.
//   - A list that lacks most nodes at once is believed by Rules.LossShare and what follows there.
//
// A change touches what it names: its cost does not grow with the number of nodes, but for a whole list, which is
// compared with what its source said before. A long list may be taken in steps: see Steps.
type Table struct {
	policy         Policy
	sources        []source
	now            time.Duration
	lastID         decision.BackendID
	members        map[string]*member
	queue          evaluationQueue
	tombstones     map[string]tombstone
	updateCount    uint64   // reports that have begun
	tombstoneOrder []string // names of ghosts, the first to be forgotten first; some may have come back or gone again
	skipped        int      // reports of nodes that had no room
	changes        []Change
}

// source is a source with what is kept of it.
type source struct {
	SourceInfo
	failed   bool
	cached   bool                    // it has told what was saved, and nothing since
	members  []*member               // that it has a word on
	version  uint64                  // how often a word of it changed
	missing  map[string]*massRemoval // what its last whole list lacked and is not believed to be gone yet
	removals []*massRemoval          // the same, the oldest first
}

// massRemoval is what one whole list lacked that the one before it did not, while that is doubted. Each counts for itself: a source that
// loses its nodes little by little has lost as many in the end.
type massRemoval struct {
	remaining     int           // so many names of it are lacked still
	since         time.Duration // it is lacked since then, as far as this source was heard
	delay         time.Duration // for how long it must be lacked
	confirmations int           // lists that lacked it
	confirmedAt   time.Duration // when they were two
	elapsed       bool          // it was lacked for long enough, and this was noticed in time
}

// tombstone is what is remembered of a node that is gone.
type tombstone struct {
	outages   int
	removedAt time.Duration
}

// NewTable starts a table of sources, the first to be believed first.
func NewTable(rules Policy, sources ...SourceInfo) *Table {
	t := &Table{policy: rules.withDefaults(), members: map[string]*member{}, tombstones: map[string]tombstone{}}
	for _, o := range sources {
		t.sources = append(t.sources, source{SourceInfo: o, missing: map[string]*massRemoval{}})
	}
	return t
}

// sourceIndex finds a source by name, or gives -1.
func (t *Table) sourceIndex(name string) int {
	return slices.IndexFunc(t.sources, func(o source) bool { return o.Name == name })
}

// clearMissing notes that a source's list has a name, or that it has said that the node is gone.
func (o *source) clearMissing(name string) {
	l := o.missing[name]
	if l == nil {
		return
	}
	delete(o.missing, name)
	if l.remaining--; l.remaining == 0 {
		o.removals = slices.DeleteFunc(o.removals, func(other *massRemoval) bool { return other == l })
	}
}

// recordMissing deals with what a source's whole list lacks and was not lacked before. What is doubted already counts in: a list that lacks
// most nodes does so however many of them the one before had lost. It gives what is to be dropped.
func (t *Table) recordMissing(s int, missing []string, l *Update) []string {
	o := &t.sources[s]
	for _, known := range o.removals {
		if known.confirmations++; known.confirmations == 2 {
			known.confirmedAt = t.now
		}
	}
	if len(missing) == 0 {
		return nil
	}
	empty := len(l.Nodes) == 0 || l.SourceReset
	lacks := len(missing) + len(o.missing)
	doubtful := empty || lacks >= t.policy.MassRemovalMin && float64(lacks) > t.policy.MassRemovalRatio*float64(len(o.members)) // few, but all, or in a list of other data
	if o.Trusted || !doubtful {
		return missing
	}
	fresh := &massRemoval{remaining: len(missing), since: t.now, delay: t.policy.MassRemovalDelay, confirmations: 1}
	for _, name := range missing {
		o.missing[name] = fresh
	}
	o.removals = append(o.removals, fresh)
	if empty {
		for _, each := range o.removals {
			each.delay = t.policy.FullRemovalDelay
		}
	}
	return nil
}

// removeReport takes a source's word on a node back.
func (t *Table) removeReport(s int, name string) {
	t.applyReport(s, Node{Name: name, State: decision.Removed}, 0)
}

// due is when a loss is believed, if nothing else happens.
func (l *massRemoval) due(o *source) (time.Duration, bool) {
	return max(l.since+l.delay, l.confirmedAt), l.confirmations >= 2 && !o.failed
}

// settleRemovals lets go what a source has lacked for long enough and says once more that it lacks. heard: it has said something just
// now, and is not only silent.
func (t *Table) settleRemovals(o *source, heard bool) {
	var ripe []*massRemoval
	for _, l := range o.removals {
		at, ok := l.due(o)
		early := time.Duration(0)
		if heard { // the next word may come much later
			early = maxTimerLateness
		}
		switch {
		case !ok || t.now < at-early:
		case t.now-at > maxTimerLateness && !l.elapsed: // this process stood still: what it hears now may be old, and what was said since is not heard yet
			l.since, l.confirmations = t.now, 0
		case !heard:
			l.elapsed = true
		default:
			ripe = append(ripe, l)
		}
	}
	if len(ripe) == 0 {
		return
	}
	var names []string
	for name, l := range o.missing {
		if slices.Contains(ripe, l) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	for _, name := range names {
		t.removeReport(t.sourceIndex(o.Name), name)
	}
}

// markFailed notes that a source can't be heard. Its last words stay.
func (t *Table) markFailed(s int) {
	o := &t.sources[s]
	o.failed = true
	for _, l := range o.removals { // what it lacked counts from when it is heard again
		l.since, l.confirmations, l.elapsed = t.now, 0, false
	}
}

// Tick lets what has come due happen. Next tells when that is.
func (t *Table) Tick(now time.Duration) []Change {
	t.advance(now, -1)
	return t.changes
}

// Next is when Tick wants to be called, if anything waits.
func (t *Table) Next() (at time.Duration, ok bool) {
	if len(t.queue) > 0 {
		at, ok = t.queue[0].evaluateAt, true
	}
	for i := range t.sources {
		for _, l := range t.sources[i].removals {
			if due, waits := l.due(&t.sources[i]); waits && !l.elapsed && (!ok || due < at) {
				at, ok = due, true
			}
		}
	}
	return at, ok
}

// NodesFrom gives the nodes that a source has a word on, by name, as it said last, and a number that is another whenever
// they have changed.
func (t *Table) NodesFrom(source string) (nodes []Node, version uint64) {
	s := t.sourceIndex(source)
	if s < 0 {
		return nil, 0
	}
	known := slices.Clone(t.sources[s].members)
	slices.SortFunc(known, func(a, b *member) int { return cmp.Compare(a.name, b.name) })
	for _, m := range known {
		nodes = append(nodes, *m.nodeFrom(s))
	}
	return nodes, t.sources[s].version
}

// SourceVersion is the number that Words gives.
func (t *Table) SourceVersion(source string) uint64 {
	if s := t.sourceIndex(source); s >= 0 {
		return t.sources[s].version
	}
	return 0
}

// Len is how many nodes are kept.
func (t *Table) Len() int { return len(t.members) }

// SkippedEntries is how many reports were passed over for want of room.
func (t *Table) SkippedEntries() int { return t.skipped }

// Statuses gives what is believed of all nodes, by name.
func (t *Table) Statuses() []NodeStatus {
	var out []NodeStatus
	for _, m := range t.members {
		w, o := m.reports[0].node, &t.sources[m.decidedBy]
		v := NodeStatus{Node: *w, ID: m.id, EffectiveState: m.state, Since: m.since, RecentOutages: m.outages, Source: o.Name,
			Stale: o.failed || o.cached}
		for s := range t.sources {
			v.MissingFromUpdate = v.MissingFromUpdate || t.sources[s].missing[m.name] != nil
		}
		if m.state == Probation {
			v.ProbationUntil = m.probationUntil
		}
		if v.EffectiveState == Ready && m.emitted.StartedAt > 0 && t.now-m.emitted.StartedAt < t.policy.WarmupWindow {
			v.EffectiveState = WarmingUp
		}
		v.Reason = describe(v, m.nodeFrom(m.decidedBy))
		out = append(out, v)
	}
	slices.SortFunc(out, func(a, b NodeStatus) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// describe says in words what a view rests on. w is the word that decided.
func describe(v NodeStatus, w *Node) string {
	var parts []string
	add := func(format string, args ...any) { parts = append(parts, fmt.Sprintf(format, args...)) }
	switch v.EffectiveState {
	case Probation:
		add("%s says that it is well again; it was out %d times lately", v.Source, v.RecentOutages)
	case Draining:
		add("%s says that it takes nothing new", v.Source)
	case WarmingUp:
		add("it started or was registered lately")
	default:
		add("%s says that it is ready", v.Source)
	}
	if w != nil && w.Note != "" {
		add("%s", w.Note)
	}
	if v.MissingFromUpdate {
		add("the last list lacks it and most others, and is not believed yet")
	}
	if v.Stale {
		add("%s has not been heard since", v.Source)
	}
	return strings.Join(parts, "; ")
}

// advance is the start of each call. What a source has lacked for long enough is let go, but for that of the source which is
// about to say something: it is heard first.
func (t *Table) advance(now time.Duration, reports int) {
	t.now, t.changes = max(t.now, now), t.changes[:0]
	for i := range t.sources {
		if i != reports {
			t.settleRemovals(&t.sources[i], false)
		}
	}
	for len(t.tombstoneOrder) > 0 {
		g, ok := t.tombstones[t.tombstoneOrder[0]]
		if ok && t.now-g.removedAt < tombstoneResets*t.policy.ProbationReset && len(t.tombstoneOrder) <= t.policy.MaxNodes {
			break
		}
		if ok && (t.now-g.removedAt >= tombstoneResets*t.policy.ProbationReset || len(t.tombstoneOrder) > t.policy.MaxNodes) {
			delete(t.tombstones, t.tombstoneOrder[0])
		}
		t.tombstoneOrder = t.tombstoneOrder[1:]
	}
	for len(t.queue) > 0 && t.queue[0].evaluateAt <= t.now {
		m := heap.Pop(&t.queue).(*member)
		t.evaluate(m, m.emitted.StartedAt)
	}
}

// applyReport takes in one source's word on one node. There may be no room for it.
func (t *Table) applyReport(s int, n Node, started time.Duration) (room bool) {
	m := t.members[n.Name]
	if m == nil {
		if n.State == decision.Removed {
			return true // never named, or forgotten
		}
		if len(t.members) >= t.policy.MaxNodes {
			t.skipped++
			return false
		}
		t.lastID++
		m = &member{name: n.Name, id: t.lastID, since: t.now, healthySince: t.now}
		t.members[n.Name] = m
		if g, ok := t.tombstones[n.Name]; ok { // it was here before
			m.outages = g.outages - int((t.now-g.removedAt)/t.policy.ProbationReset)
			if m.outages > 0 && !t.sources[s].Trusted {
				m.state = Draining
			}
			m.outages = max(0, m.outages)
			delete(t.tombstones, n.Name)
		}
	}
	o := &t.sources[s]
	switch i, knows := m.findReport(s); {
	case n.State == decision.Removed:
		if knows {
			t.unlink(s, m.reports[i].memberSlot)
			m.reports = slices.Delete(m.reports, i, i+1)
			o.version++
		}
		o.clearMissing(n.Name)
	case !knows:
		m.reports = slices.Insert(m.reports, i, report{sourceIndex: s, memberSlot: len(o.members), node: &n, started: started})
		o.members = append(o.members, m)
		o.version++
	default:
		if n.Addr == "" {
			n.Addr = m.reports[i].node.Addr
		}
		if *m.reports[i].node != n {
			o.version++
			m.reports[i].node = &n
		}
		m.reports[i].started = started
	}
	latest := time.Duration(0)
	for _, w := range m.reports {
		latest = max(latest, w.started)
	}
	t.evaluate(m, latest)
	return true
}

// unlink lets go what a source knows at a slot, whose place the last one takes.
func (t *Table) unlink(s, slot int) {
	o := &t.sources[s]
	end := len(o.members) - 1
	last := o.members[end]
	if i, ok := last.findReport(s); ok {
		last.reports[i].memberSlot = slot
	}
	o.members[slot], o.members[end] = last, nil
	o.members = o.members[:end]
}

// evaluate says what a member is by now, and emits what that changes.
func (t *Table) evaluate(m *member, started time.Duration) {
	if len(m.reports) == 0 {
		t.unschedule(m)
		delete(t.members, m.name)
		if m.emitted.ID != 0 {
			gone := m.emitted
			gone.State, gone.Replaced = decision.Removed, false
			t.changes = append(t.changes, gone)
		}
		if m.state != Draining {
			m.outages++
		}
		if !t.sources[m.decidedBy].Trusted && m.emitted.ID != 0 {
			t.tombstones[m.name] = tombstone{m.outages, t.now}
			t.tombstoneOrder = append(t.tombstoneOrder, m.name)
		}
		return
	}
	out := -1 // the first source that says that it must not be sent anything new
	for _, w := range m.reports {
		if w.node.State != decision.Ready && out < 0 {
			out = w.sourceIndex
		}
	}
	state, source := Ready, m.reports[0].sourceIndex
	switch {
	case out >= 0:
		state, source = Draining, out
		if m.state != Draining && m.state != Unknown { // it was in, or on its way
			m.outages++
		}
		m.outByTrusted = t.sources[out].Trusted
	case m.state == Draining && !m.outByTrusted:
		m.healthySince = t.now
		m.probationUntil = t.now + t.probation(m)
		state = Probation
	case m.state == Probation && t.now < m.probationUntil:
		state = Probation
	}
	if state != m.state {
		m.state, m.since = state, t.now
	}
	m.decidedBy = source
	t.unschedule(m)
	switch {
	case state == Probation:
		t.schedule(m, m.probationUntil)
	case state == Ready && m.outages > 0:
		for m.outages > 0 && t.now-m.healthySince >= t.policy.ProbationReset {
			m.outages--
			m.healthySince += t.policy.ProbationReset
		}
		if m.outages > 0 {
			t.schedule(m, m.healthySince+t.policy.ProbationReset)
		}
	}
	t.emit(m, *m.reports[0].node, started)
}

// probation is how long a member must be well before it is taken back.
func (t *Table) probation(m *member) time.Duration {
	d := t.policy.ProbationMin
	for range m.outages - 1 {
		if d *= 2; d >= t.policy.ProbationMax {
			return t.policy.ProbationMax
		}
	}
	return min(d, t.policy.ProbationMax)
}

// emit appends a change if there is one.
func (t *Table) emit(m *member, n Node, started time.Duration) {
	c := Change{Name: m.name, Addr: n.Addr, Endpoint: decision.Endpoint{ID: m.id, State: decision.Ready, Zone: n.Zone,
		InstanceType: n.InstanceType, Cell: n.Cell, StartedAt: started, Weight: n.Weight, Protocol: n.Protocol}}
	if m.state != Ready {
		c.State = decision.Draining
	}
	known := m.emitted.ID != 0
	if known && c.Endpoint == m.emitted.Endpoint && c.Addr == m.emitted.Addr {
		return
	}
	c.Replaced = known && (c.Addr != m.emitted.Addr || c.StartedAt != m.emitted.StartedAt || c.Protocol != m.emitted.Protocol)
	m.emitted = c
	t.changes = append(t.changes, c)
}

// evaluationQueue is a heap of members by the time at which they want to be judged again, then by id.
type evaluationQueue []*member

func (h evaluationQueue) Len() int { return len(h) }

func (h evaluationQueue) Less(i, j int) bool {
	return h[i].evaluateAt < h[j].evaluateAt || h[i].evaluateAt == h[j].evaluateAt && h[i].id < h[j].id
}

func (h evaluationQueue) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].queueIndex, h[j].queueIndex = i+1, j+1
}

func (h *evaluationQueue) Push(x any) {
	m := x.(*member)
	*h = append(*h, m)
	m.queueIndex = len(*h)
}

func (h *evaluationQueue) Pop() any {
	last := len(*h) - 1
	m := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	m.queueIndex = 0
	return m
}

func (t *Table) schedule(m *member, at time.Duration) {
	m.evaluateAt = at
	heap.Push(&t.queue, m)
}

func (t *Table) unschedule(m *member) {
	if m.queueIndex > 0 {
		heap.Remove(&t.queue, m.queueIndex-1)
	}
}
