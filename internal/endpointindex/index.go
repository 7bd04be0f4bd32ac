// Package endpointindex is an incrementally updated index of a large set of members, so that queries
// don't iterate over the whole set. It answers which members of a group are ready, in order; how many
// of these are warming up, and the sum of their ages; which members must be reconciled; and how many
// failed recently. The caller defines what members, groups and failures are. The package does no I/O
// and has no clock; its one caller, the decision engine, owns each Index and all its entries.
package endpointindex

import (
	"container/list"
	"time"

	"github.com/tidwall/btree"
)

// Index is a set of members of type T. It is not safe for concurrent use.
type Index[T any] struct {
	warmingPeriod time.Duration
	failureTTL    time.Duration
	ready         int
	epoch         uint64        // the number of calls of Advance
	epochAt       time.Duration // the time passed to the last Advance
	dirty         []*Entry[T]
	failures      *list.List // of failureRecord[T], oldest first
}

// New returns an empty Index. Members are warming for up to warmingPeriod from their start;
// failures are kept for failureTTL.
func New[T any](warmingPeriod, failureTTL time.Duration) *Index[T] {
	return &Index[T]{warmingPeriod: warmingPeriod, failureTTL: failureTTL, failures: list.New()}
}

// Entry is a member's entry in the Index; the functions that act on a member take its Entry. A member
// is in at most one group, and initially in none. Value, Rank and TieBreaker must be set before the
// first Put and not changed afterwards.
type Entry[T any] struct {
	Value        T      // the member
	Rank         uint64 // the sort key within a group
	TieBreaker   uint32 // orders members of equal Rank, and must differ between them
	ready        bool
	mayBeWarming bool // warming from startedAt until the warming period is over; the flag stays set after that
	dirty        bool
	group        *Group[T]
	startedAt    time.Duration // as passed to Put, which compares it; otherwise used only if mayBeWarming
	failure      *list.Element // the element in Index.failures, or nil
}

type failureRecord[T any] struct {
	entry *Entry[T]
	at    time.Duration
}

// NewGroup returns an empty group of the Index.
func (x *Index[T]) NewGroup() Group[T] {
	return Group[T]{index: x, ready: btree.NewBTreeGOptions(less[T], btree.Options{NoLocks: true})}
}

// ReadyLen returns the number of ready members in all groups.
func (x *Index[T]) ReadyLen() int { return x.ready }

// Advance begins a new epoch and sets the time for which Group.Warming counts. now must not decrease.
func (x *Index[T]) Advance(now time.Duration) { x.epoch, x.epochAt = x.epoch+1, now }

// Put puts a member into a group, and removes it from any other group. A ready member takes part in
// the group's order; one that is ready and warming is counted by Group.Warming, with the given start.
// If nothing changes, Put returns at once.
func (e *Entry[T]) Put(group *Group[T], ready, warming bool, startedAt time.Duration) {
	if e.group == group && e.ready == ready && e.mayBeWarming == warming && e.startedAt == startedAt {
		return
	}
	e.detach()
	group.size++
	e.group, e.ready, e.mayBeWarming, e.startedAt = group, ready, warming, startedAt
	if !ready {
		return
	}
	group.Warming() // caches the result for this epoch, as the change must not count before the next Advance
	group.index.ready++
	group.ready.Set(orderedEntry[T]{e.Rank, e})
	if warming {
		group.startTimesFor(startedAt).add(startedAt, 1)
	}
}

// detach removes a member from its group, if it is in one. Like Put, it first caches the group's
// Warming for this epoch.
func (e *Entry[T]) detach() {
	group := e.group
	if group == nil {
		return
	}
	group.size--
	if e.ready {
		group.Warming()
		group.index.ready--
		group.ready.Delete(orderedEntry[T]{e.Rank, e})
		if e.mayBeWarming {
			group.startTimesFor(e.startedAt).add(e.startedAt, -1)
		}
	}
	e.group, e.ready = nil, false
}

// MarkDirty marks a member for the next Reconcile.
func (x *Index[T]) MarkDirty(entry *Entry[T]) {
	if !entry.dirty {
		entry.dirty, x.dirty = true, append(x.dirty, entry)
	}
}

// Reconcile calls visit, which reconciles the caller's state of a member, for each dirty member in the
// order in which they were marked. Members for which visit returns false stay dirty.
func (x *Index[T]) Reconcile(visit func(T) (done bool)) {
	remaining := x.dirty[:0]
	for _, entry := range x.dirty {
		if entry.dirty = !visit(entry.Value); entry.dirty {
			remaining = append(remaining, entry)
		}
	}
	clear(x.dirty[len(remaining):])
	if x.dirty = remaining; len(remaining) == 0 {
		x.dirty = nil // frees the backing array, which may be as long as the whole set
	}
}

// Remove removes a member from its group and deletes its failure. A dirty member stays dirty, so the
// next Reconcile still visits it.
func (x *Index[T]) Remove(entry *Entry[T]) {
	entry.detach()
	x.forgetFailure(entry)
}

// RecordFailure records a member's failure in place of its previous one, and deletes expired failures.
// at must not be earlier than that of any failure already recorded.
func (x *Index[T]) RecordFailure(entry *Entry[T], at time.Duration) {
	x.forgetFailure(entry)
	entry.failure = x.failures.PushBack(failureRecord[T]{entry, at})
	for {
		oldest := x.failures.Front().Value.(failureRecord[T])
		if at-oldest.at < x.failureTTL {
			return
		}
		x.forgetFailure(oldest.entry)
	}
}

func (x *Index[T]) forgetFailure(entry *Entry[T]) {
	if entry.failure != nil {
		x.failures.Remove(entry.failure)
		entry.failure = nil
	}
}

// RecentFailures returns the number of members whose last failure is less than window ago. window must
// not exceed failureTTL.
func (x *Index[T]) RecentFailures(now, window time.Duration) (count int) {
	for e := x.failures.Back(); e != nil && now-e.Value.(failureRecord[T]).at < window; e = e.Prev() {
		count++
	}
	return count
}
