package membership

import (
	"container/heap"
	"time"

	"pumicecroft/decision"
)

// Change is a change of one node that the decision engine and the transports must apply. Its State is Ready,
// Draining or Removed.
type Change struct {
	decision.Endpoint
	Name string
	Addr string
	// Replaced means that the node's address, start or protocol has changed, so open connections to it must
	// not be used any more.
	Replaced bool
}

// member is a node in the table, with its state.
type member struct {
	name             string
	id               decision.BackendID
	reports          []report // one of each source that knows the node, by precedence
	emitted          Change   // the last change that was emitted; its ID is 0 before the first
	state            State
	since            time.Duration // start of state
	decidedBy        int           // index of the source whose report decided the state
	drainedByTrusted bool          // decidedBy was a trusted source at the last drain, so no probation follows
	probationUntil   time.Duration
	outages          int // recent outages, not counting forgotten ones
	atAddr           addressLinks
	outageForgetBase time.Duration // the next outage is forgotten Policy.ProbationReset after this
	queueIndex       int           // index in Table.queue plus 1; 0 if it is not in the queue
	evaluateAt       time.Duration // when it is due in the queue
}

// Table merges the reports of several sources on nodes. It is not safe for concurrent use. The sources are
// in order of precedence, and reports are merged by these rules:
//
//   - A node's attributes (address, zone, cell, instance type, weight, protocol) come from the first source
//     that knows it.
//   - A node is ready only if all sources that know it report it as ready. Sources that do not know it are
//     not considered. After an outage it must also have passed its probation: see Policy.ProbationMin.
//   - Its start is the latest that any of them reports.
//   - It is drained while another node owns its address and started later: see Node.OwnsAddr.
//   - It is removed when no source knows it any more.
//   - A failed source's last reports stay in force and are marked stale.
//   - The removals of a full update that lacks most nodes must be confirmed: see Policy.MassRemovalRatio.
//
// The cost of one change does not depend on the number of nodes. A full update is compared with all
// previous reports of its source; a Merge does this in steps.
type Table struct {
	policy         Policy
	sources        []source
	now            time.Duration
	lastID         decision.BackendID
	members        map[string]*member
	addresses      addressIndex
	queue          evaluationQueue
	tombstones     map[string]tombstone
	tombstoneOrder []string // names in order of removal; may hold duplicates, and nodes that are back
	mergeCount     uint64   // merges begun so far; the latest is the number of the newest update
	skipped        int      // entries skipped because the table was full, and not merged later
	changes        []Change // changes of the current call
}

// NewTable returns an empty table of sources, in order of precedence.
func NewTable(policy Policy, sources ...SourceInfo) *Table {
	t := &Table{
		policy:     policy.withDefaults(),
		members:    map[string]*member{},
		addresses:  addressIndex{},
		tombstones: map[string]tombstone{},
	}
	for _, info := range sources {
		t.sources = append(t.sources, source{SourceInfo: info, removalByNode: map[string]*massRemoval{}})
	}
	return t
}

// Len returns the number of nodes in the table.
func (t *Table) Len() int { return len(t.members) }

// SkippedEntries returns how many entries of updates were skipped because the table held Policy.MaxNodes nodes. An
// entry that is merged at the end of its update after all does not count.
func (t *Table) SkippedEntries() int { return t.skipped }

// Tick processes everything that is due by now. The changes are valid until the table's next call.
func (t *Table) Tick(now time.Duration) []Change {
	t.advance(now, noSource)
	return t.changes
}

// Next returns when Tick must be called next, and false if nothing is scheduled. A removal that has elapsed
// needs no Tick, as it waits for its source's next full update.
func (t *Table) Next() (at time.Duration, ok bool) {
	if len(t.queue) > 0 {
		at, ok = t.queue[0].evaluateAt, true
	}
	for i := range t.sources {
		src := &t.sources[i]
		for _, removal := range src.removals {
			due, confirmed := removal.due(src)
			if confirmed && !removal.elapsed && (!ok || due < at) {
				at, ok = due, true
			}
		}
	}
	return at, ok
}

// noSource is the source index that stands for none.
const noSource = -1

// advance is the first step of each call: it sets the time and processes everything that is due. It skips
// pending removals of the reporting source, which are processed after the source's update is merged.
func (t *Table) advance(now time.Duration, reporting int) {
	t.now = max(t.now, now)
	t.changes = t.changes[:0]
	for i := range t.sources {
		if i != reporting {
			t.processRemovals(&t.sources[i], false)
		}
	}
	t.expireTombstones()
	for len(t.queue) > 0 && t.queue[0].evaluateAt <= t.now {
		m := heap.Pop(&t.queue).(*member)
		t.evaluate(m, m.emitted.StartedAt)
	}
}

// applyReport stores one source's report on one node and evaluates the node. It returns false if the node is
// new and the table is full.
func (t *Table) applyReport(sourceIndex int, node Node, started time.Duration) (accepted bool) {
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

// removeReport deletes a source's report on a node and evaluates the node.
func (t *Table) removeReport(sourceIndex int, name string) {
	t.applyReport(sourceIndex, Node{Name: name, State: decision.Removed}, 0)
}

// add adds a node under a new ID, with the outages from its tombstone if the node was removed recently. If
// that leaves any outages and the source is not trusted, the node starts as if it had been drained, so that
// evaluate puts it in probation once it is reported ready.
func (t *Table) add(name string, trusted bool) *member {
	t.lastID++
	m := &member{name: name, id: t.lastID, since: t.now, outageForgetBase: t.now}
	t.members[name] = m
	if outages, ok := t.takeTombstone(name); ok {
		if outages > 0 && !trusted {
			m.state = Draining
		}
		m.outages = max(0, outages)
	}
	return m
}

// remove removes a node that no source knows any more. A removal without a drain before it counts as an outage.
func (t *Table) remove(m *member) {
	t.unschedule(m)
	delete(t.members, m.name)
	addr := m.atAddr.addr
	t.addresses.remove(m)
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
		t.addTombstone(m)
	}
	t.reviewAddr(addr, m)
}

// emit appends a Change if the member's state or attributes differ from those last emitted, and the changes of other
// members at its address that follow.
func (t *Table) emit(m *member, node Node, started time.Duration) {
	previousAddr, ownAddr := m.atAddr.addr, ""
	if node.OwnsAddr {
		ownAddr = node.Addr
	}
	t.addresses.move(m, ownAddr)
	change := Change{
		Name: m.name,
		Addr: node.Addr,
		Endpoint: decision.Endpoint{ID: m.id, State: decision.Ready, Zone: node.Zone, InstanceType: node.InstanceType,
			Cell: node.Cell, StartedAt: started, Weight: node.Weight, Protocol: node.Protocol},
	}
	if m.state != Ready || t.superseded(m, started) {
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
	if previousAddr != ownAddr {
		t.reviewAddr(previousAddr, m)
	}
	if previousAddr != ownAddr || change.StartedAt != last.StartedAt {
		t.reviewAddr(ownAddr, m)
	}
}
