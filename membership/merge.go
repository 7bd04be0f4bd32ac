package membership

import (
	"math"
	"slices"
	"time"

	"pumicecroft/decision"
)

// Merge applies one source's update to a Table in steps. Other sources' updates and ticks may come between
// two steps; two updates of one source must not overlap.
//
// Between two steps, each node is either as its source reported it before the update or as the update
// reports it. Known nodes that the update reports as draining or removed are merged first, so that they
// stop being Ready before anything else changes. Nodes that a full update lacks are removed last. A request
// that is routed between two steps therefore goes only to nodes that the old state or the update allows; at
// worst, new nodes are not used yet.
//
// If an update names a node more than once, the last entry counts.
type Merge struct {
	table          *Table
	sourceIndex    int
	update         Update
	startOffset    func(time.Time) time.Duration
	updateNumber   uint64
	stage          stage
	position       int            // index in the list that the current stage iterates over
	removedIndex   map[string]int // known nodes removed by this update so far, with the index of the removing entry
	skippedEntries []int          // indexes of entries skipped because the table was full
	toRemove       []string       // nodes that the update lacks and that are removed without confirmation
	invalid        []error        // errors of the current call of Next
}

// stage is a part of a merge.
type stage uint8

const (
	stageStart   stage = iota
	stageDrains        // entries that report known nodes as draining or removed
	stageEntries       // all entries
	stageMissing       // nodes that a full update lacks
	stageSkipped       // entries that were skipped because the table was full
	stageDone
)

// BeginMerge begins to merge an update. startOffset converts a node's start to the table's time. The
// update's nodes must not change before the merge is done.
func (t *Table) BeginMerge(source string, update Update, startOffset func(time.Time) time.Duration) *Merge {
	t.mergeCount++
	return &Merge{
		table:        t,
		sourceIndex:  t.sourceIndex(source),
		update:       update,
		startOffset:  startOffset,
		updateNumber: t.mergeCount,
	}
}

// Report merges a whole update. Invalid entries are ignored and returned as errors; valid ones are merged
// all the same. An update of a source that the table does not have is ignored. The changes are valid until
// the table's next call.
func (t *Table) Report(now time.Duration, source string, update Update,
	startOffset func(time.Time) time.Duration) (changes []Change, invalid []error) {
	changes, invalid, _ = t.BeginMerge(source, update, startOffset).Next(now, math.MaxInt)
	return changes, invalid
}

// Next merges up to the given number of entries and reports whether the merge has more to do. It merges
// nothing if the table does not have the source. The changes are valid until the table's next call.
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

// step moves on by one position, or to the next stage, and reports whether it merged an entry.
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
	case stageSkipped:
		return m.stepSkipped()
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

// stepDrains merges an entry if it reports a known node as draining or removed. With DrainsOnly, an entry
// whose State is Ready is left to stepEntries, which drains its node all the same.
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
			m.toRemove = m.table.recordMissing(m.sourceIndex, m.findMissing(), &m.update)
		}
		return false
	}
	m.applyEntry(m.position)
	m.position++
	return true
}

func (m *Merge) stepMissing() (merged bool) {
	if m.position == len(m.toRemove) {
		m.nextStage()
		return false
	}
	m.table.removeReport(m.sourceIndex, m.toRemove[m.position])
	m.position++
	return true
}

func (m *Merge) stepSkipped() (merged bool) {
	t := m.table
	if m.position == len(m.skippedEntries) {
		m.nextStage()
		t.processRemovals(&t.sources[m.sourceIndex], m.update.Full)
		return false
	}
	index := m.skippedEntries[m.position]
	m.position++
	if len(t.members) >= t.policy.MaxNodes {
		return false
	}
	t.skipped--
	m.applyEntry(index)
	return true
}

// applyEntry merges one entry, unless a later entry for the same node has already been merged.
func (m *Merge) applyEntry(index int) {
	node := m.update.Nodes[index]
	if m.update.DrainsOnly {
		known := m.table.members[node.Name]
		if known == nil {
			return
		}
		node = m.asDraining(known)
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
	accepted := m.table.applyReport(m.sourceIndex, node, m.startOffset(node.StartedAt))
	switch {
	case !accepted:
		if m.stage == stageEntries {
			m.skippedEntries = append(m.skippedEntries, index)
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

// asDraining returns this source's report on a known node, or else the first source's, with its state set
// to Draining.
func (m *Merge) asDraining(known *member) Node {
	node := *known.reports[0].node
	if own := known.nodeFrom(m.sourceIndex); own != nil {
		node = *own
	}
	node.State = decision.Draining
	return node
}

// isKnown reports whether the table has a node, or had it before an earlier entry of this update removed it.
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

// markNamed records that the update names a node without a valid entry, so that the node does not count as
// missing.
func (m *Merge) markNamed(name string) {
	if r := m.report(name); r != nil && r.updateNumber != m.updateNumber {
		r.updateNumber, r.entryIndex = m.updateNumber, -1
	}
}

// findMissing returns the nodes that the update does not name and that were not missing before. They are
// sorted, so that the order of changes does not depend on the order of source.members. This is the only
// place that iterates over all nodes of a source.
func (m *Merge) findMissing() []string {
	src := &m.table.sources[m.sourceIndex]
	var missing []string
	for _, known := range src.members {
		i, _ := known.findReport(m.sourceIndex)
		if known.reports[i].updateNumber != m.updateNumber && src.removalByNode[known.name] == nil {
			missing = append(missing, known.name)
		}
	}
	slices.Sort(missing)
	return missing
}
