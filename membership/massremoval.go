package membership

import (
	"slices"
	"time"
)

// massRemoval is the set of nodes that one full update lacked and the one before it did not, while that
// is in doubt. Each update's set has its own delay: a source that loses its nodes little by little has
// lost as many in the end.
type massRemoval struct {
	remaining     int           // nodes of the set that are still missing
	since         time.Duration // when they went missing, or when the source failed or the process paused since
	delay         time.Duration // how long they must be missing
	confirmations int           // full updates that lacked them since then
	confirmedAt   time.Duration // when there were confirmationsNeeded
	elapsed       bool          // the delay has passed, and this was noticed in time
}

// confirmationsNeeded is how many full updates must lack a node before its removal can come due.
const confirmationsNeeded = 2

// maxTimerLateness is how late a removal that came due may be noticed. A longer gap means that this
// process was paused: updates that are read after it may be older than the pause, so they confirm
// nothing, and the delay starts anew.
const maxTimerLateness = 150 * time.Millisecond

// restart has the removal wait for its whole delay again, from now on.
func (r *massRemoval) restart(now time.Duration) {
	r.since = now
	r.confirmations = 0
	r.elapsed = false
}

// due returns when the removal may be believed, and false while the source has not confirmed it.
func (r *massRemoval) due(src *source) (time.Duration, bool) {
	return max(r.since+r.delay, r.confirmedAt), r.confirmations >= confirmationsNeeded && !src.failed
}

// recordMissing takes in what a source's full update lacks and the one before did not, and returns what
// is to be removed now. In a mass removal that is nothing: its nodes are kept until settleRemovals.
// Nodes whose removal is in doubt count as missing, so the doubt does not end as further nodes follow.
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
	emptied := len(update.Nodes) == 0 || update.SourceReset
	total := len(missing) + len(src.missing)
	if src.Trusted || !emptied && !t.isMassRemoval(total, len(src.members)) {
		return missing
	}
	removal := &massRemoval{remaining: len(missing), since: t.now, delay: t.policy.MassRemovalDelay, confirmations: 1}
	for _, name := range missing {
		src.missing[name] = removal
	}
	src.removals = append(src.removals, removal)
	if emptied {
		for _, each := range src.removals {
			each.delay = t.policy.FullRemovalDelay
		}
	}
	return nil
}

// isMassRemoval reports whether an update that lacks this many of a source's nodes is in doubt.
func (t *Table) isMassRemoval(missing, known int) bool {
	return missing >= t.policy.MassRemovalMin && float64(missing) > t.policy.MassRemovalRatio*float64(known)
}

// clearMissing notes that a source has named a node again, or has reported its removal.
func (s *source) clearMissing(name string) {
	removal := s.missing[name]
	if removal == nil {
		return
	}
	delete(s.missing, name)
	removal.remaining--
	if removal.remaining == 0 {
		s.removals = slices.DeleteFunc(s.removals, func(other *massRemoval) bool { return other == removal })
	}
}

// settleRemovals removes what a source has lacked for long enough. confirmed means that the source has
// just sent a full update. Silence confirms nothing: without an update, a removal that comes due is only
// marked as elapsed, and the next update decides.
func (t *Table) settleRemovals(src *source, confirmed bool) {
	var settled []*massRemoval
	for _, removal := range src.removals {
		if t.isSettled(src, removal, confirmed) {
			settled = append(settled, removal)
		}
	}
	if len(settled) == 0 {
		return
	}
	var names []string
	for name, removal := range src.missing {
		if slices.Contains(settled, removal) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	index := t.sourceIndex(src.Name)
	for _, name := range names {
		t.removeReport(index, name)
	}
}

// isSettled reports whether a removal is to be believed now. A confirmation counts up to
// maxTimerLateness early, as the next update may come much later.
func (t *Table) isSettled(src *source, removal *massRemoval, confirmed bool) bool {
	due, counting := removal.due(src)
	earliest := due
	if confirmed {
		earliest -= maxTimerLateness
	}
	switch {
	case !counting || t.now < earliest:
		return false
	case t.now-due > maxTimerLateness && !removal.elapsed:
		removal.restart(t.now)
		return false
	case !confirmed:
		removal.elapsed = true
		return false
	}
	return true
}
