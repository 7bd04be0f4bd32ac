package membership

import (
	"cmp"
	"container/heap"
	"slices"
	"time"

	"pumicecroft/decision"
)

// State is what a Table believes of a node.
type State uint8

// The states. Only Cold and Ready nodes are sent anything new. Suspect is one that has been out and says that it is
// well again, until it has earned that; Draining ends what it has.
const (
	Unknown State = iota // no source has named it
	Cold                 // it started, or was registered, within Rules.ColdFor
	Ready
	Suspect
	Draining
	Gone
)

// String is the state's name.
func (s State) String() string {
	return [...]string{"unknown", "cold", "ready", "suspect", "draining", "gone"}[s]
}

// Rules say how reports are weighed. What is 0 takes the default.
type Rules struct {
	// Coming back has to be earned: a node that was out and says that it is ready is taken back once it has said so
	// for HoldFirst, twice as long for each further time that it was out, HoldMost at the most. A time counts until
	// the node has been well for Forget; then one is forgotten, and so on.
	HoldFirst time.Duration // 1 s
	HoldMost  time.Duration // 1 min
	Forget    time.Duration // 1 min
	// ColdFor is how long a started node is called cold. It is a name only: the decision module has figures of its
	// own for what a cold backend is sent.
	ColdFor time.Duration // 15 s
	// Most is how many nodes are kept, over all sources; one more is passed over until another is gone.
	Most int // 20,000
}

func (r Rules) withDefaults() Rules {
	for _, d := range []struct {
		v  *time.Duration
		is time.Duration
	}{{&r.HoldFirst, time.Second}, {&r.HoldMost, time.Minute}, {&r.Forget, time.Minute}, {&r.ColdFor, 15 * time.Second}} {
		if *d.v <= 0 {
			*d.v = d.is
		}
	}
	if r.Most <= 0 {
		r.Most = 20_000
	}
	return r
}

// Change is what the decision module and the connections must learn of one node. State is Ready, Draining or Gone.
type Change struct {
	decision.BackendInfo
	Name  string
	Addr  string
	Moved bool // what was at its address before, or at another, is a different process: connections lead nowhere
}

// View is what a Table believes of a node, for people.
type View struct {
	Node
	ID     decision.BackendID
	Belief State
	Since  time.Duration // of Belief
	Until  time.Duration // a Suspect is taken back then
	Times  int           // that it was out lately
	Source string        // whose word decided
	Old    bool          // that source has failed since
}

// member is one node.
type member struct {
	name   string
	id     decision.BackendID
	words  []*Node // each source's last word; nil: that one does not know it
	told   Change  // what was emitted last
	state  State
	since  time.Duration
	source int // whose word decided
	until  time.Duration
	times  int
	wellAt time.Duration // since when it has been well
	index  int           // in the heap, from 1; 0: it waits for nothing
	at     time.Duration
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
//
// A change touches what it names: its cost does not grow with the number of nodes, but for a whole list, which is
// compared with what its source said before.
type Table struct {
	rules   Rules
	sources []string
	failed  []bool
	now     time.Duration
	lastID  decision.BackendID
	members map[string]*member
	waits   waits
	passed  int // reports of nodes that had no room
	out     []Change
}

// NewTable starts a table of sources, the first to be believed first.
func NewTable(rules Rules, sources ...string) *Table {
	return &Table{rules: rules.withDefaults(), sources: sources, failed: make([]bool, len(sources)), members: map[string]*member{}}
}

// Report takes in what a source says. started turns a node's start into the table's time. Entries that make no
// sense are passed over, and come back in bad; the rest counts. The changes are good until the next call.
func (t *Table) Report(now time.Duration, source string, l List, started func(time.Time) time.Duration) (changes []Change, bad []error) {
	t.begin(now)
	s := slices.Index(t.sources, source)
	if s < 0 {
		return t.out, nil
	}
	t.failed[s] = false
	listed := map[string]bool{}
	for _, n := range l.Nodes {
		if err := n.Check(); err != nil {
			bad = append(bad, err)
			continue
		}
		if l.Whole {
			listed[n.Name] = true
		}
		t.say(s, n, started)
	}
	if l.Whole {
		var missing []string
		for name, m := range t.members {
			if m.words[s] != nil && !listed[name] {
				missing = append(missing, name)
			}
		}
		slices.Sort(missing) // so that what comes out does not hang on the map's order
		for _, name := range missing {
			t.say(s, Node{Name: name, State: decision.Gone}, started)
		}
	}
	return t.out, bad
}

// Fail tells that a source can't be heard. Its last words stay.
func (t *Table) Fail(now time.Duration, source string) []Change {
	t.begin(now)
	if s := slices.Index(t.sources, source); s >= 0 {
		t.failed[s] = true
	}
	return t.out
}

// Tick lets what has come due happen. Next tells when that is.
func (t *Table) Tick(now time.Duration) []Change {
	t.begin(now)
	return t.out
}

// Next is when Tick wants to be called, if anything waits.
func (t *Table) Next() (at time.Duration, ok bool) {
	if len(t.waits) == 0 {
		return 0, false
	}
	return t.waits[0].at, true
}

// Len is how many nodes are kept.
func (t *Table) Len() int { return len(t.members) }

// Passed is how many reports were passed over for want of room.
func (t *Table) Passed() int { return t.passed }

// Views gives what is believed of all nodes, by name.
func (t *Table) Views() []View {
	var out []View
	for _, m := range t.members {
		w := m.words[m.first()]
		v := View{Node: *w, ID: m.id, Belief: m.state, Since: m.since, Times: m.times, Source: t.sources[m.source],
			Old: t.failed[m.source]}
		if m.state == Suspect {
			v.Until = m.until
		}
		if v.Belief == Ready && m.told.Started > 0 && t.now-m.told.Started < t.rules.ColdFor {
			v.Belief = Cold
		}
		out = append(out, v)
	}
	slices.SortFunc(out, func(a, b View) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

func (t *Table) begin(now time.Duration) {
	t.now, t.out = max(t.now, now), t.out[:0]
	for len(t.waits) > 0 && t.waits[0].at <= t.now {
		m := heap.Pop(&t.waits).(*member)
		t.judge(m, m.told.Started)
	}
}

// say takes in one source's word on one node.
func (t *Table) say(s int, n Node, started func(time.Time) time.Duration) {
	m := t.members[n.Name]
	if m == nil {
		if n.State == decision.Gone {
			return // never named, or forgotten
		}
		if len(t.members) >= t.rules.Most {
			t.passed++
			return
		}
		t.lastID++
		m = &member{name: n.Name, id: t.lastID, words: make([]*Node, len(t.sources)), since: t.now, wellAt: t.now}
		t.members[n.Name] = m
	}
	if n.State == decision.Gone {
		m.words[s] = nil
	} else {
		if n.Addr == "" && m.words[s] != nil {
			n.Addr = m.words[s].Addr
		}
		m.words[s] = &n
	}
	latest := time.Duration(0)
	for _, w := range m.words {
		if w != nil {
			latest = max(latest, started(w.Started))
		}
	}
	t.judge(m, latest)
}

// first is the first source that knows a member, or -1.
func (m *member) first() int {
	return slices.IndexFunc(m.words, func(w *Node) bool { return w != nil })
}

// judge says what a member is by now, and emits what that changes.
func (t *Table) judge(m *member, started time.Duration) {
	first := m.first()
	if first < 0 {
		t.unwait(m)
		delete(t.members, m.name)
		if m.state != Unknown {
			gone := m.told
			gone.State, gone.Moved = decision.Gone, false
			t.out = append(t.out, gone)
		}
		return
	}
	out := -1 // the first source that says that it must not be sent anything new
	for s, w := range m.words {
		if w != nil && w.State != decision.Ready && out < 0 {
			out = s
		}
	}
	state, source := Ready, first
	switch {
	case out >= 0:
		state, source = Draining, out
		if m.state != Draining && m.state != Unknown { // it was in, or on its way
			m.times++
		}
	case m.state == Draining:
		m.wellAt = t.now
		m.until = t.now + t.hold(m)
		state = Suspect
	case m.state == Suspect && t.now < m.until:
		state = Suspect
	}
	if state != m.state {
		m.state, m.since = state, t.now
	}
	m.source = source
	t.unwait(m)
	switch {
	case state == Suspect:
		t.wait(m, m.until)
	case state == Ready && m.times > 0:
		for m.times > 0 && t.now-m.wellAt >= t.rules.Forget {
			m.times--
			m.wellAt += t.rules.Forget
		}
		if m.times > 0 {
			t.wait(m, m.wellAt+t.rules.Forget)
		}
	}
	t.emit(m, *m.words[first], started)
}

// hold is how long a member must be well before it is taken back.
func (t *Table) hold(m *member) time.Duration {
	d := t.rules.HoldFirst
	for range m.times - 1 {
		if d *= 2; d >= t.rules.HoldMost {
			return t.rules.HoldMost
		}
	}
	return min(d, t.rules.HoldMost)
}

// emit appends a change if there is one.
func (t *Table) emit(m *member, n Node, started time.Duration) {
	c := Change{Name: m.name, Addr: n.Addr, BackendInfo: decision.BackendInfo{ID: m.id, State: decision.Ready, Zone: n.Zone,
		Kind: n.Kind, Cell: n.Cell, Started: started, Weight: n.Weight}}
	if m.state != Ready {
		c.State = decision.Draining
	}
	known := m.told.ID != 0
	if known && c.BackendInfo == m.told.BackendInfo && c.Addr == m.told.Addr {
		return
	}
	c.Moved = known && (c.Addr != m.told.Addr || c.Started != m.told.Started)
	m.told = c
	t.out = append(t.out, c)
}

// waits is a heap of members by the time at which they want to be judged again, then by id.
type waits []*member

func (h waits) Len() int { return len(h) }

func (h waits) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].id < h[j].id
}

func (h waits) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i+1, j+1
}

func (h *waits) Push(x any) {
	m := x.(*member)
	*h = append(*h, m)
	m.index = len(*h)
}

func (h *waits) Pop() any {
	last := len(*h) - 1
	m := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	m.index = 0
	return m
}

func (t *Table) wait(m *member, at time.Duration) {
	m.at = at
	heap.Push(&t.waits, m)
}

func (t *Table) unwait(m *member) {
	if m.index > 0 {
		heap.Remove(&t.waits, m.index-1)
	}
}
