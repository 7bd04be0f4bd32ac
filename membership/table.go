package membership

import (
	"container/heap"
	"time"

	"pumicecroft/decision"
)

// Change is what the decision engine and the transports must learn of one node. Its State is Ready,
// Draining or Removed.
type Change struct {
	decision.Endpoint
	Name string
	Addr string
	// Replaced means that another process now stands at the node's address, or the same at another
	// address: open connections lead nowhere.
	Replaced bool
}

// member is one node with its state.
type member struct {
	name             string
	id               decision.BackendID
	reports          []report // one of each source that knows the node, by precedence
	emitted          Change   // the last one
	state            State
	since            time.Duration // of state
	decidedBy        int           // index of the source whose report decided
	drainedByTrusted bool          // a trusted source drained the node: it is taken back at once
	probationUntil   time.Duration
	outages          int           // those that are not forgotten
	healthySince     time.Duration // moved on by Policy.ProbationReset for each outage that is forgotten
	queueIndex       int           // in Table.queue, from 1; 0 if it is not there
	evaluateAt       time.Duration // when the queue wants it evaluated
}

// Table merges what several sources report of the nodes. It is not safe for concurrent use. The sources
// stand in order of precedence:
//
//   - What a node is (address, zone, cell, instance type, weight) is taken from the first source that
//     knows it.
//   - A node is ready only if all sources that know it say so. A source that does not know a node has no
//     say in it.
//   - Its start is the latest that any of them reports.
//   - It is removed when no source knows it any more.
//   - A source that fails keeps its last reports; they are marked stale.
//   - A full update that lacks most nodes is doubted: see Policy.MassRemovalRatio.
//
// A change costs the same however many nodes there are. A full update is compared with what its source
// reported before; a Merge takes it in steps.
type Table struct {
	policy         Policy
	sources        []source
	now            time.Duration
	lastID         decision.BackendID
	members        map[string]*member
	queue          evaluationQueue
	tombstones     map[string]tombstone
	tombstoneOrder []string // names in order of removal; some may have come back, or stand here twice
	updateCount    uint64   // merges that have begun
	skipped        int
	changes        []Change // of the current call
}

// NewTable returns an empty table of sources, in order of precedence.
func NewTable(policy Policy, sources ...SourceInfo) *Table {
	t := &Table{policy: policy.withDefaults(), members: map[string]*member{}, tombstones: map[string]tombstone{}}
	for _, info := range sources {
		t.sources = append(t.sources, source{SourceInfo: info, missing: map[string]*massRemoval{}})
	}
	return t
}

// Len returns how many nodes are kept.
func (t *Table) Len() int { return len(t.members) }

// SkippedEntries returns how many entries of updates were skipped because Policy.MaxNodes nodes are kept.
func (t *Table) SkippedEntries() int { return t.skipped }

// Tick does what has come due by now. The changes are valid until the table's next call.
func (t *Table) Tick(now time.Duration) []Change {
	t.advance(now, noSource)
	return t.changes
}

// Next returns when Tick is to be called, and false if nothing waits for it.
func (t *Table) Next() (at time.Duration, ok bool) {
	if len(t.queue) > 0 {
		at, ok = t.queue[0].evaluateAt, true
	}
	for i := range t.sources {
		src := &t.sources[i]
		for _, removal := range src.removals {
			due, counting := removal.due(src)
			if counting && !removal.elapsed && (!ok || due < at) {
				at, ok = due, true
			}
		}
	}
	return at, ok
}

// noSource is the index that no source has.
const noSource = -1

// advance begins each call: it sets the time and does what has come due. Mass removals of the source
// that is reporting are left to its update.
func (t *Table) advance(now time.Duration, reporting int) {
	t.now = max(t.now, now)
	t.changes = t.changes[:0]
	for i := range t.sources {
		if i != reporting {
			t.settleRemovals(&t.sources[i], false)
		}
	}
	t.expireTombstones()
	for len(t.queue) > 0 && t.queue[0].evaluateAt <= t.now {
		m := heap.Pop(&t.queue).(*member)
		t.evaluate(m, m.emitted.StartedAt)
	}
}

// applyReport takes in one source's report on one node. It returns false if there is no room for the node.
func (t *Table) applyReport(sourceIndex int, node Node, started time.Duration) (room bool) {
	m := t.members[node.Name]
	if m == nil {
		if node.State == decision.Removed {
			return true
		}
		if len(t.members) >= t.policy.MaxNodes {
			t.skipped++
			return false
		}
		m = t.add(node.Name, t.sources[sourceIndex].Trusted)
	}
	if node.State == decision.Removed {
		t.deleteReport(sourceIndex, m)
	} else {
		t.setReport(sourceIndex, m, node, started)
	}
	latestStart := time.Duration(0)
	for _, r := range m.reports {
		latestStart = max(latestStart, r.started)
	}
	t.evaluate(m, latestStart)
	return true
}

// removeReport takes back a source's report on a node.
func (t *Table) removeReport(sourceIndex int, name string) {
	t.applyReport(sourceIndex, Node{Name: name, State: decision.Removed}, 0)
}

// add adds a node under an ID that was never used, with the outages of its tombstone if it was here
// before. Unless a trusted source adds it, it then begins in probation.
func (t *Table) add(name string, trusted bool) *member {
	t.lastID++
	m := &member{name: name, id: t.lastID, since: t.now, healthySince: t.now}
	t.members[name] = m
	if outages, ok := t.takeTombstone(name); ok {
		if outages > 0 && !trusted {
			m.state = Draining
		}
		m.outages = max(0, outages)
	}
	return m
}

// remove removes a node that no source knows any more.
func (t *Table) remove(m *member) {
	t.unschedule(m)
	delete(t.members, m.name)
	announced := m.emitted.ID != 0
	if announced {
		removed := m.emitted
		removed.State, removed.Replaced = decision.Removed, false
		t.changes = append(t.changes, removed)
	}
	if m.state != Draining {
		m.outages++
	}
	if announced && !t.sources[m.decidedBy].Trusted {
		t.bury(m)
	}
}

// emit appends the change that a node's state and report make, if there is one.
func (t *Table) emit(m *member, node Node, started time.Duration) {
	change := Change{
		Name: m.name,
		Addr: node.Addr,
		Endpoint: decision.Endpoint{ID: m.id, State: decision.Ready, Zone: node.Zone, InstanceType: node.InstanceType,
			Cell: node.Cell, StartedAt: started, Weight: node.Weight, Protocol: node.Protocol},
	}
	if m.state != Ready {
		change.State = decision.Draining
	}
	last := m.emitted
	announced := last.ID != 0
	if announced && change.Endpoint == last.Endpoint && change.Addr == last.Addr {
		return
	}
	change.Replaced = announced &&
		(change.Addr != last.Addr || change.StartedAt != last.StartedAt || change.Protocol != last.Protocol)
	m.emitted = change
	t.changes = append(t.changes, change)
}
