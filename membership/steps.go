package membership

import (
	"math"
	"slices"
	"time"

	"pumicecroft/decision"
)

// Merge is one source's report, which a Table takes in step by step. What comes between two steps, other sources' reports and the table's time,
// is dealt with as if the report came by itself: only two reports of one source must not mix.
//
// Between two steps the table holds a state in which each node stands either as its source had it before the list, or as the list has it. What
// the list has draining or gone comes first, in front of all else: from the first steps on, nothing is Ready that the list takes out. What a
// whole list does not name stays until all that it names has been taken. So whoever decides by such a state sends nothing that it could not have
// sent either by the list before, or by this one; and a node that is new is only missing for a while.
//
// A list that names a node more than once is taken by its words in their order; what comes first of a node that drains does not undo that, if
// its draining comes behind it in the list.
type Merge struct {
	table        *Table
	sourceIndex  int
	update       Update
	startOffset  func(time.Time) time.Duration
	updateNumber uint64 // of the list
	stage        stage
	position     int            // in the stage's entries
	removedIndex map[string]int // the places at which nodes that were known have gone
	overflow     []int          // the places of those for which there was no room
	missing      []string       // what the list does not name, and is to be dropped
	invalid      []error
}

type stage uint8

const (
	stageStart    stage = iota // nothing is taken
	stageDrains                // what takes nothing new any more, of the nodes that are known
	stageEntries               // all else
	stageMissing               // what is not named
	stageOverflow              // what found no room: there may be some now
	stageDone
)

// BeginMerge begins a report, of which Next takes in as much as it is told. started turns a node's start into the table's time. The list's nodes must
// not change before the report ends.
func (t *Table) BeginMerge(source string, l Update, started func(time.Time) time.Duration) *Merge {
	t.updateCount++
	return &Merge{table: t, sourceIndex: t.sourceIndex(source), update: l, startOffset: started, updateNumber: t.updateCount}
}

// Report takes in at once what a source says. Entries that make no sense change nothing, and come back in bad; the rest counts. The changes are
// good until the next call.
func (t *Table) Report(now time.Duration, source string, l Update, started func(time.Time) time.Duration) (changes []Change, bad []error) {
	changes, bad, _ = t.BeginMerge(source, l, started).Next(now, math.MaxInt)
	return changes, bad
}

// Next takes in so many entries, or what is left, and tells whether there is more. The changes are good until the table's next call.
func (s *Merge) Next(now time.Duration, entries int) (changes []Change, bad []error, more bool) {
	t := s.table
	t.advance(now, s.sourceIndex)
	switch {
	case s.sourceIndex < 0 || s.stage == stageDone:
		return t.changes, nil, false
	case s.update.Err != nil:
		t.markFailed(s.sourceIndex)
		s.stage = stageDone
		return t.changes, nil, false
	}
	o := &t.sources[s.sourceIndex]
	s.invalid = nil
	for entries > 0 && s.stage < stageDone {
		switch s.stage {
		case stageStart:
			o.failed, o.cached = false, s.update.Full && s.update.Cached || o.cached && !s.update.Full
			for _, name := range s.update.Invalid {
				s.markNamed(name)
			}
			s.nextStage()
		case stageDrains:
			if s.position == len(s.update.Nodes) {
				s.nextStage()
				continue
			}
			if n := &s.update.Nodes[s.position]; n.State != decision.Ready && s.isKnown(n.Name) && (s.update.DrainsOnly || n.Check() == nil) {
				s.applyEntry(s.position)
				entries--
			}
			s.position++
		case stageEntries:
			if s.position == len(s.update.Nodes) {
				s.nextStage()
				if s.update.Full {
					s.missing = t.recordMissing(s.sourceIndex, s.findMissing(), &s.update)
				}
				continue
			}
			s.applyEntry(s.position)
			entries--
			s.position++
		case stageMissing:
			if s.position == len(s.missing) {
				s.nextStage()
				continue
			}
			t.removeReport(s.sourceIndex, s.missing[s.position])
			entries--
			s.position++
		case stageOverflow:
			if s.position == len(s.overflow) {
				s.nextStage()
				t.settleRemovals(o, s.update.Full)
				continue
			}
			if len(t.members) < t.policy.MaxNodes {
				t.skipped--
				s.applyEntry(s.overflow[s.position])
				entries--
			}
			s.position++
		}
	}
	return t.changes, s.invalid, s.stage < stageDone
}

// nextStage goes on to the next stage.
func (s *Merge) nextStage() {
	s.stage++
	s.position = 0
}

// applyEntry takes in one entry, unless a later one on the same node has been.
func (s *Merge) applyEntry(i int) {
	t, n := s.table, s.update.Nodes[i]
	if s.update.DrainsOnly {
		known := t.members[n.Name]
		if known == nil {
			return
		}
		if n = *known.reports[0].node; known.nodeFrom(s.sourceIndex) != nil {
			n = *known.nodeFrom(s.sourceIndex)
		}
		n.State = decision.Draining
	}
	if err := n.Check(); err != nil {
		s.invalid = append(s.invalid, err)
		s.markNamed(n.Name) // it stays as it was
		return
	}
	w := s.report(n.Name)
	known := w != nil
	at, went := s.removedIndex[n.Name]
	if went && i <= at || known && w.updateNumber == s.updateNumber && i <= w.entryIndex {
		return
	}
	t.sources[s.sourceIndex].clearMissing(n.Name)
	switch room := t.applyReport(s.sourceIndex, n, s.startOffset(n.StartedAt)); {
	case !room:
		if s.stage == stageEntries {
			s.overflow = append(s.overflow, i)
		}
	case n.State == decision.Removed && (known || went):
		if s.removedIndex == nil {
			s.removedIndex = map[string]int{}
		}
		s.removedIndex[n.Name] = i
	default:
		if w := s.report(n.Name); w != nil {
			w.updateNumber, w.entryIndex = s.updateNumber, i
		}
	}
}

// isKnown tells whether a node was known when the list began, or is by now.
func (s *Merge) isKnown(name string) bool {
	_, went := s.removedIndex[name]
	return went || s.table.members[name] != nil
}

// report is what the source says of a node, or nil.
func (s *Merge) report(name string) *report {
	if m := s.table.members[name]; m != nil {
		if i, ok := m.findReport(s.sourceIndex); ok {
			return &m.reports[i]
		}
	}
	return nil
}

// markNamed notes that the list names a node, and says nothing of it.
func (s *Merge) markNamed(name string) {
	if w := s.report(name); w != nil && w.updateNumber != s.updateNumber {
		w.updateNumber, w.entryIndex = s.updateNumber, -1
	}
}

// findMissing gives what the list does not name and was not lacked before. This alone looks at all that the source has a word on.
func (s *Merge) findMissing() []string {
	o := &s.table.sources[s.sourceIndex]
	var missing []string
	for _, m := range o.members {
		if i, _ := m.findReport(s.sourceIndex); m.reports[i].updateNumber != s.updateNumber && o.missing[m.name] == nil {
			missing = append(missing, m.name)
		}
	}
	slices.Sort(missing) // so that what comes out does not hang on what came and went before
	return missing
}
