// Package endpointindex finds members of a large set by what changed of them, so that nobody walks
// over all: the ready members of a group in an order, how many of these are warming up and for how
// long together, members that are to be reconciled, and members that failed lately. It decides
// nothing: what members, groups and failures are is its caller's business. It does no I/O and has
// no clock; its one caller, the decision engine, owns each Index and all its entries.
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
	epochAt       time.Duration // when the last was
	dirty         []*Entry[T]
	failures      *list.List // of failureRecord[T], the latest last
}

// New returns an empty Index. Members are warming for up to warmingPeriod from their start;
// failures are remembered for failureTTL.
func New[T any](warmingPeriod, failureTTL time.Duration) *Index[T] {
	return &Index[T]{warmingPeriod: warmingPeriod, failureTTL: failureTTL, failures: list.New()}
}

// Entry is a member's place in the Index: in one group at most, in none at first. Value, Rank and
// TieBreaker are set once, before the first Put.
type Entry[T any] struct {
	Value      T      // the member
	Rank       uint64 // its place in the order of any group
	TieBreaker uint32 // must differ for members of equal Rank
	ready      bool
	warming    bool
	dirty      bool
	group      *Group[T]
	startedAt  time.Duration // meaningful while warming
	failure    *list.Element // in Index.failures; nil: none
}

type failureRecord[T any] struct {
	entry *Entry[T]
	at    time.Duration
}

// NewGroup returns an empty group of the Index.
func (x *Index[T]) NewGroup() Group[T] {
	return Group[T]{index: x, ready: btree.NewBTreeGOptions(less[T], btree.Options{NoLocks: true})}
}

// ReadyLen returns how many members are ready, in all groups.
func (x *Index[T]) ReadyLen() int { return x.ready }

// Advance sets the time that Group.Warming tells of. It must not go back.
func (x *Index[T]) Advance(now time.Duration) { x.epoch, x.epochAt = x.epoch+1, now }

// Put puts a member into a group, and takes it out of any other. A member that is ready is in the
// group's order; if it is warming too, it counts as warming from startedAt on. It costs nothing
// where all is so already.
func (e *Entry[T]) Put(group *Group[T], ready, warming bool, startedAt time.Duration) {
	if e.group == group && e.ready == ready && e.warming == warming && e.startedAt == startedAt {
		return
	}
	e.detach()
	group.size++
	e.group, e.ready, e.warming, e.startedAt = group, ready, warming, startedAt
	if !ready {
		return
	}
	group.Warming() // before the change, which must not show before the next Advance
	group.index.ready++
	group.ready.Set(orderedEntry[T]{e.Rank, e})
	if warming {
		group.startTimesFor(startedAt).add(startedAt, 1)
	}
}

// detach takes a member out of its group.
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
		if e.warming {
			group.startTimesFor(e.startedAt).add(e.startedAt, -1)
		}
	}
	e.group, e.ready = nil, false
}

// MarkDirty has the next Reconcile visit a member.
func (x *Index[T]) MarkDirty(entry *Entry[T]) {
	if !entry.dirty {
		entry.dirty, x.dirty = true, append(x.dirty, entry)
	}
}

// Reconcile calls visit for each member that is marked dirty, in the order in which they were
// marked. Those for which it returns false are visited by the next Reconcile again.
func (x *Index[T]) Reconcile(visit func(T) (done bool)) {
	left := x.dirty[:0]
	for _, entry := range x.dirty {
		if entry.dirty = !visit(entry.Value); entry.dirty {
			left = append(left, entry)
		}
	}
	clear(x.dirty[len(left):])
	if x.dirty = left; len(left) == 0 {
		x.dirty = nil // it may have been as long as the set
	}
}

// Remove takes a member out of its group and forgets its failures.
func (x *Index[T]) Remove(entry *Entry[T]) {
	entry.detach()
	x.forgetFailure(entry)
}

// RecordFailure records a failure of a member, in place of an earlier one. at must not be before
// that of any failure recorded earlier.
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

// RecentFailures returns how many members failed less than window ago. window must not exceed
// failureTTL.
func (x *Index[T]) RecentFailures(now, window time.Duration) (count int) {
	for e := x.failures.Back(); e != nil && now-e.Value.(failureRecord[T]).at < window; e = e.Prev() {
		count++
	}
	return count
}
