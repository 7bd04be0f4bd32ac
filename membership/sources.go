package membership

import (
	"cmp"
	"slices"
	"time"
)

// SourceInfo describes a source to a Table.
type SourceInfo struct {
	Name string
	// Trusted means that the source's reports apply at once: its nodes are not put in probation, and a
	// mass removal needs no confirmation. It suits a list that a person or the program itself maintains.
	Trusted bool
}

// source is a source with its state.
type source struct {
	SourceInfo
	failed        bool                    // its last update was an error
	cached        bool                    // its last full update was a cached one
	members       []*member               // members that the source reports, in no particular order
	version       uint64                  // counts changes of its reports
	removalByNode map[string]*massRemoval // nodes kept although its last full update lacked them, by name
	removals      []*massRemoval          // the distinct values of removalByNode, oldest first
}

// report is the last report of one source on one node. Few nodes are known to more than one source, so a
// member stores only the reports that exist.
type report struct {
	sourceIndex  int
	memberSlot   int // index in source.members
	node         *Node
	started      time.Duration // node.StartedAt in the table's time
	updateNumber uint64        // the last update that named the node
	entryIndex   int           // index of the node's entry in that update; -1 if it has no valid entry there
}

// findReport returns the index of a source's report, and false with the index at which to insert it if
// there is none.
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

// sourceIndex returns the index of the source with this name, or noSource.
func (t *Table) sourceIndex(name string) int {
	return slices.IndexFunc(t.sources, func(s source) bool { return s.Name == name })
}

// markFailed records that a source can't be reached. Its reports stay in force. Pending removals must be
// confirmed again, for their full delay, once the source is back.
func (t *Table) markFailed(sourceIndex int) {
	src := &t.sources[sourceIndex]
	src.failed = true
	for _, removal := range src.removals {
		removal.restart(t.now)
	}
}

// setReport stores a source's report on a node in place of the previous one.
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

// removeSlot removes the member at a slot and moves the last member there, so that the cost does not depend
// on the number of members.
func (s *source) removeSlot(sourceIndex, slot int) {
	end := len(s.members) - 1
	last := s.members[end]
	if i, ok := last.findReport(sourceIndex); ok {
		last.reports[i].memberSlot = slot
	}
	s.members[slot], s.members[end] = last, nil
	s.members = s.members[:end]
}

// NodesFrom returns a source's last reports, sorted by node name, and a version that changes whenever they
// do. An unknown source has no nodes and version 0.
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

// SourceVersion returns the same version as NodesFrom, without the cost of copying the nodes.
func (t *Table) SourceVersion(source string) uint64 {
	if index := t.sourceIndex(source); index >= 0 {
		return t.sources[index].version
	}
	return 0
}
