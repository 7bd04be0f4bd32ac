package membership

import (
	"cmp"
	"slices"
	"time"
)

// SourceInfo describes a source to a Table.
type SourceInfo struct {
	Name string
	// Trusted means that the source's reports are taken as they stand: no probation, and no doubt about a
	// mass removal. It suits a list that a person or the program itself has made.
	Trusted bool
}

// source is a source with its state.
type source struct {
	SourceInfo
	failed   bool      // its last update was an error
	cached   bool      // it has only sent a cached update so far
	members  []*member // those that it has a report on, in no order
	version  uint64    // counts changes of its reports
	missing  map[string]*massRemoval
	removals []*massRemoval // those of missing, the oldest first
}

// report is the last report of one source on one node. Few nodes are known to more than one source, so
// a member holds only those that exist.
type report struct {
	sourceIndex  int
	memberSlot   int // index in source.members
	node         *Node
	started      time.Duration // node.StartedAt in the table's time
	updateNumber uint64        // the update that named the node last
	entryIndex   int           // and the index of its entry in that; -1 if the entry was invalid
}

// findReport returns the index of a source's report, or where it would be inserted.
func (m *member) findReport(sourceIndex int) (int, bool) {
	return slices.BinarySearchFunc(m.reports, sourceIndex, func(r report, index int) int {
		return cmp.Compare(r.sourceIndex, index)
	})
}

// nodeFrom returns a source's report on a node, or nil.
func (m *member) nodeFrom(sourceIndex int) *Node {
	if i, ok := m.findReport(sourceIndex); ok {
		return m.reports[i].node
	}
	return nil
}

// sourceIndex finds a source by name. It returns -1 if there is none.
func (t *Table) sourceIndex(name string) int {
	return slices.IndexFunc(t.sources, func(s source) bool { return s.Name == name })
}

// markFailed notes that a source can't be reached. Its reports stay in force. A mass removal in doubt
// has to be confirmed anew once the source is back.
func (t *Table) markFailed(sourceIndex int) {
	src := &t.sources[sourceIndex]
	src.failed = true
	for _, removal := range src.removals {
		removal.restart(t.now)
	}
}

// setReport stores a source's report on a node, or replaces the one before.
func (t *Table) setReport(sourceIndex int, m *member, node Node, started time.Duration) {
	src := &t.sources[sourceIndex]
	i, known := m.findReport(sourceIndex)
	if !known {
		added := report{sourceIndex: sourceIndex, memberSlot: len(src.members), node: &node, started: started}
		m.reports = slices.Insert(m.reports, i, added)
		src.members = append(src.members, m)
		src.version++
		return
	}
	current := &m.reports[i]
	if node.Addr == "" {
		node.Addr = current.node.Addr
	}
	if *current.node != node {
		src.version++
		current.node = &node
	}
	current.started = started
}

// deleteReport drops a source's report on a node, if it has one.
func (t *Table) deleteReport(sourceIndex int, m *member) {
	src := &t.sources[sourceIndex]
	if i, known := m.findReport(sourceIndex); known {
		src.removeSlot(sourceIndex, m.reports[i].memberSlot)
		m.reports = slices.Delete(m.reports, i, i+1)
		src.version++
	}
	src.clearMissing(m.name)
}

// removeSlot removes the member at a slot. The last member takes its place, so that the cost does not
// grow with the number of members.
func (s *source) removeSlot(sourceIndex, slot int) {
	end := len(s.members) - 1
	last := s.members[end]
	if i, ok := last.findReport(sourceIndex); ok {
		last.reports[i].memberSlot = slot
	}
	s.members[slot], s.members[end] = last, nil
	s.members = s.members[:end]
}

// NodesFrom returns the nodes that a source has a report on, sorted by name, as it reported them last,
// and a version that differs whenever they have changed. An unknown source has none.
func (t *Table) NodesFrom(source string) (nodes []Node, version uint64) {
	index := t.sourceIndex(source)
	if index < 0 {
		return nil, 0
	}
	src := &t.sources[index]
	known := slices.Clone(src.members)
	slices.SortFunc(known, func(a, b *member) int { return cmp.Compare(a.name, b.name) })
	for _, m := range known {
		nodes = append(nodes, *m.nodeFrom(index))
	}
	return nodes, src.version
}

// SourceVersion returns the version that NodesFrom gives, without the nodes.
func (t *Table) SourceVersion(source string) uint64 {
	if index := t.sourceIndex(source); index >= 0 {
		return t.sources[index].version
	}
	return 0
}
