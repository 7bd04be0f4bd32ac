package membership

import (
	"slices"
	"time"
)

// massRemoval is a pending removal of the nodes that first went missing in one full update. The nodes are
// kept until the removal is confirmed. Each full update has its own pending removal with its own delay, so
// nodes that go missing later, after a mass removal has begun, wait for their own full delay.
type massRemoval struct {
	remaining     int           // nodes of this removal that are still missing
	since         time.Duration // start of the delay; the latest restart if the source failed or the process was paused
	delay         time.Duration // how long the nodes must be missing
	confirmations int           // full updates that lacked the nodes; a restart sets it to 0
	confirmedAt   time.Duration // when confirmations reached confirmationsNeeded
	elapsed       bool          // the delay has passed, and a call noticed it within maxTimerLateness
}

// confirmationsNeeded is how many full updates must lack a node before its removal can come due.
const confirmationsNeeded = 2

// maxTimerLateness is how late the table may notice that a removal is due. A longer gap is taken to mean
// that the process was paused, also if the caller was just late with Tick: updates read after a pause may
// have been sent before it, so they do not confirm the removal, and its delay starts over.
const maxTimerLateness = 150 * time.Millisecond

// restart starts the removal's delay over and discards its confirmations.
func (r *massRemoval) restart(now time.Duration) {
	r.since = now
	r.confirmations = 0
	r.elapsed = false
}

// due returns when the removal is due; the source's next full update from about then on carries it out. due
// returns false while the removal lacks confirmations or its source is failed.
func (r *massRemoval) due(src *source) (time.Duration, bool) {
	return max(r.since+r.delay, r.confirmedAt), r.confirmations >= confirmationsNeeded && !src.failed
}

// recordMissing handles the nodes that a source's full update lacks and that were not missing before, and
// returns those to remove now. In a mass removal it returns none: processRemovals removes them later. Nodes
// of pending removals count as missing, so that a source which loses its nodes in several updates is still
// recognized.
func (t *Table) recordMissing(sourceIndex int, missing []string, update *Update) []string {
	src := &t.sources[sourceIndex]
	for _, removal := range src.removals {
		removal.confirmations++
		if removal.confirmations == confirmationsNeeded {
			removal.confirmedAt = t.now
		}
	}
	if len(missing) == 0 {
		return nil
	}
	useLongDelay := len(update.Nodes) == 0 || update.SourceReset
	total := len(missing) + len(src.removalByNode)
	if src.Trusted || !useLongDelay && !t.isMassRemoval(total, len(src.members)) {
		return missing
	}
	removal := &massRemoval{remaining: len(missing), since: t.now, delay: t.policy.MassRemovalDelay, confirmations: 1}
	for _, name := range missing {
		src.removalByNode[name] = removal
	}
	src.removals = append(src.removals, removal)
	if useLongDelay {
		for _, each := range src.removals {
			each.delay = t.policy.FullRemovalDelay
		}
	}
	return nil
}

// isMassRemoval reports whether so many missing nodes, out of a source's known nodes, are a mass removal.
func (t *Table) isMassRemoval(missing, known int) bool {
	return missing >= t.policy.MassRemovalMin && float64(missing) > t.policy.MassRemovalRatio*float64(known)
}

// clearMissing takes a node out of its pending removal: the source has named the node again or has
// reported its removal.
func (s *source) clearMissing(name string) {
	removal := s.removalByNode[name]
	if removal == nil {
		return
	}
	delete(s.removalByNode, name)
	removal.remaining--
	if removal.remaining == 0 {
		s.removals = slices.DeleteFunc(s.removals, func(other *massRemoval) bool { return other == removal })
	}
}

// processRemovals processes a source's pending removals that are due. afterFullUpdate means that the source
// has just sent a full update, which still lacks their nodes: the removals are carried out. Otherwise they
// are only marked as elapsed, and the source's next full update decides.
func (t *Table) processRemovals(src *source, afterFullUpdate bool) {
	var confirmed []*massRemoval
	for _, removal := range src.removals {
		if t.evaluateRemoval(src, removal, afterFullUpdate) {
			confirmed = append(confirmed, removal)
		}
	}
	if len(confirmed) == 0 {
		return
	}
	var names []string
	for name, removal := range src.removalByNode {
		if slices.Contains(confirmed, removal) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	index := t.sourceIndex(src.Name)
	for _, name := range names {
		t.removeReport(index, name)
	}
}

// evaluateRemoval reports whether a pending removal is to be carried out now. If not, it marks the removal
// as elapsed where that applies, or restarts it after a pause. A full update may confirm a removal up to
// maxTimerLateness before it is due, as the next update may come much later.
func (t *Table) evaluateRemoval(src *source, removal *massRemoval, afterFullUpdate bool) bool {
	due, confirmed := removal.due(src)
	earliest := due
	if afterFullUpdate {
		earliest -= maxTimerLateness
	}
	switch {
	case !confirmed || t.now < earliest:
		return false
	case t.now-due > maxTimerLateness && !removal.elapsed:
		removal.restart(t.now)
		return false
	case !afterFullUpdate:
		removal.elapsed = true
		return false
	}
	return true
}
