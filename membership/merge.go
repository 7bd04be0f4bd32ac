package membership

import (
	"math"
	"slices"
	"time"

	"pumicecroft/decision"
)

// Merge takes one source's update into a Table in steps. Other sources' updates and ticks may come
// between two steps; two updates of one source must not overlap.
//
// Between two steps, each node stands either as its source reported it before the update, or as the
// update reports it. Nodes that the update has draining or removed are taken first, so that from the
// first steps on nothing is Ready that the update takes out. Nodes that a full update lacks are removed
// last. Whoever decides by a state between two steps therefore sends nothing that neither the old state
// nor the update allows, and at worst does not know a new node yet.
//
// If an update names a node more than once, the last entry counts.
type Merge struct {
	table        *Table
	sourceIndex  int
	update       Update
	startOffset  func(time.Time) time.Duration
	updateNumber uint64
	stage        stage
	position     int            // in what the stage goes through
	removedIndex map[string]int // known nodes that the update has removed so far, by the entry that did
	overflow     []int          // entries for which there was no room
	missing      []string       // what the update lacks and is to be removed
	invalid      []error        // of the current step
}

// stage is a part of a merge.
type stage uint8

const (
	stageStart    stage = iota
	stageDrains         // entries that take known nodes out
	stageEntries        // all entries
	stageMissing        // nodes that a full update lacks
	stageOverflow       // entries for which there may be room by now
	stageDone
)

// BeginMerge begins to merge an update. startOffset turns a node's start into the table's time. The
// update's nodes must not change before the merge is done.
func (t *Table) BeginMerge(source string, update Update, startOffset func(time.Time) time.Duration) *Merge {
	t.updateCount++
	return &Merge{
		table:        t,
		sourceIndex:  t.sourceIndex(source),
		update:       update,
		startOffset:  startOffset,
		updateNumber: t.updateCount,
	}
}

// Report merges an update at once. Invalid entries change nothing and are returned as errors; the others
// count. The changes are valid until the table's next call.
func (t *Table) Report(now time.Duration, source string, update Update,
	startOffset func(time.Time) time.Duration) (changes []Change, invalid []error) {
	changes, invalid, _ = t.BeginMerge(source, update, startOffset).Next(now, math.MaxInt)
	return changes, invalid
}

// Next merges up to a number of entries and reports whether there are more. The changes are valid until
// the table's next call.
func (m *Merge) Next(now time.Duration, entries int) (changes []Change, invalid []error, more bool) {
	t := m.table
	t.advance(now, m.sourceIndex)
	if m.sourceIndex == noSource || m.stage == stageDone {
		return t.changes, nil, false
	}
	if m.update.Err != nil {
		t.markFailed(m.sourceIndex)
		m.stage = stageDone
		return t.changes, nil, false
	}
	m.invalid = nil
	for entries > 0 && m.stage < stageDone {
		if m.step() {
			entries--
		}
	}
	return t.changes, m.invalid, m.stage < stageDone
}

// step goes one position on, or to the next stage, and reports whether that took in an entry.
func (m *Merge) step() (merged bool) {
	switch m.stage {
	case stageStart:
		m.start()
	case stageDrains:
		return m.stepDrains()
	case stageEntries:
		return m.stepEntries()
	case stageMissing:
		return m.stepMissing()
	case stageOverflow:
		return m.stepOverflow()
	}
	return false
}

func (m *Merge) nextStage() {
	m.stage++
	m.position = 0
}

func (m *Merge) start() {
	src := &m.table.sources[m.sourceIndex]
	src.failed = false
	if m.update.Full {
		src.cached = m.update.Cached
	}
	for _, name := range m.update.Invalid {
		m.markNamed(name)
	}
	m.nextStage()
}

func (m *Merge) stepDrains() (merged bool) {
	if m.position == len(m.update.Nodes) {
		m.nextStage()
		return false
	}
	index := m.position
	m.position++
	node := &m.update.Nodes[index]
	if node.State == decision.Ready || !m.isKnown(node.Name) || !m.update.DrainsOnly && node.Check() != nil {
		return false
	}
	m.applyEntry(index)
	return true
}

func (m *Merge) stepEntries() (merged bool) {
	if m.position == len(m.update.Nodes) {
		m.nextStage()
		if m.update.Full {
			m.missing = m.table.recordMissing(m.sourceIndex, m.findMissing(), &m.update)
		}
		return false
	}
	m.applyEntry(m.position)
	m.position++
	return true
}

func (m *Merge) stepMissing() (merged bool) {
	if m.position == len(m.missing) {
		m.nextStage()
		return false
	}
	m.table.removeReport(m.sourceIndex, m.missing[m.position])
	m.position++
	return true
}

func (m *Merge) stepOverflow() (merged bool) {
	t := m.table
	if m.position == len(m.overflow) {
		m.nextStage()
		t.settleRemovals(&t.sources[m.sourceIndex], m.update.Full)
		return false
	}
	index := m.overflow[m.position]
	m.position++
	if len(t.members) >= t.policy.MaxNodes {
		return false
	}
	t.skipped--
	m.applyEntry(index)
	return true
}

// applyEntry merges one entry, unless a later one on the same node has been merged before.
func (m *Merge) applyEntry(index int) {
	node := m.update.Nodes[index]
	if m.update.DrainsOnly {
		known := m.table.members[node.Name]
		if known == nil {
			return
		}
		node = m.drained(known)
	}
	if err := node.Check(); err != nil {
		m.invalid = append(m.invalid, err)
		m.markNamed(node.Name)
		return
	}
	previous := m.report(node.Name)
	reported := previous != nil
	removedBy, removed := m.removedIndex[node.Name]
	if removed && index <= removedBy {
		return
	}
	if reported && previous.updateNumber == m.updateNumber && index <= previous.entryIndex {
		return
	}
	m.table.sources[m.sourceIndex].clearMissing(node.Name)
	room := m.table.applyReport(m.sourceIndex, node, m.startOffset(node.StartedAt))
	switch {
	case !room:
		if m.stage == stageEntries {
			m.overflow = append(m.overflow, index)
		}
	case node.State == decision.Removed && (reported || removed):
		if m.removedIndex == nil {
			m.removedIndex = map[string]int{}
		}
		m.removedIndex[node.Name] = index
	default:
		if current := m.report(node.Name); current != nil {
			current.updateNumber, current.entryIndex = m.updateNumber, index
		}
	}
}

// drained returns a known node as the source, or else the first source, reported it, but draining.
func (m *Merge) drained(known *member) Node {
	node := *known.reports[0].node
	if own := known.nodeFrom(m.sourceIndex); own != nil {
		node = *own
	}
	node.State = decision.Draining
	return node
}

// isKnown reports whether any source knew a node when the merge began, or does now.
func (m *Merge) isKnown(name string) bool {
	_, removed := m.removedIndex[name]
	return removed || m.table.members[name] != nil
}

// report returns the source's report on a node, or nil.
func (m *Merge) report(name string) *report {
	known := m.table.members[name]
	if known == nil {
		return nil
	}
	i, ok := known.findReport(m.sourceIndex)
	if !ok {
		return nil
	}
	return &known.reports[i]
}

// markNamed notes that the update names a node, so that it is not missing, without a valid entry for it.
func (m *Merge) markNamed(name string) {
	if r := m.report(name); r != nil && r.updateNumber != m.updateNumber {
		r.updateNumber, r.entryIndex = m.updateNumber, -1
	}
}

// findMissing returns the nodes that the update does not name and that were not missing before, sorted,
// so that the order of changes does not depend on the table's history. It alone goes through all nodes
// of a source.
func (m *Merge) findMissing() []string {
	src := &m.table.sources[m.sourceIndex]
	var missing []string
	for _, known := range src.members {
		i, _ := known.findReport(m.sourceIndex)
		if known.reports[i].updateNumber != m.updateNumber && src.missing[known.name] == nil {
			missing = append(missing, known.name)
		}
	}
	slices.Sort(missing)
	return missing
}
