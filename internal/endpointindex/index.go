// Package endpointindex finds members of a large set by what changed of them, so that nobody walks all: those of a lane that are open, in an order
// of their own; how many of these are young, and how old they are together; those that are to be looked at again; and those of whom something
// was noted lately. What members and lanes are, and what is noted, is its caller's business: it decides nothing. It is pure.
package endpointindex

import (
	"container/list"
	"iter"
	"time"

	"github.com/tidwall/btree"
)

// Index is a set of members. It is not safe for concurrent use.
type Index[T any] struct {
	warmingPeriod, failureTTL time.Duration
	ready                     int
	epoch                     uint64
	epochAt                   time.Duration // when that was
	dirty                     []*Entry[T]
	failures                  *list.List // of note[T], the latest last
}

// New makes an empty one, whose members are young for so long after they began, and for which what is noted is kept for so long.
func New[T any](young, keep time.Duration) *Index[T] {
	return &Index[T]{warmingPeriod: young, failureTTL: keep, failures: list.New()}
}

// Entry is where a member stands: in one lane at most. One that was never put is in none. Value, Rank and Tie are set once, before that.
type Entry[T any] struct {
	Value      T      // the member
	Rank       uint64 // its place in the order of any lane; members of equal rank need different Ties
	TieBreaker uint32
	ready      bool
	warming    bool
	dirty      bool
	group      *Group[T]
	startedAt  time.Duration // if it is young
	failure    *list.Element // in Roster.noted; nil: there is none
}

type failureRecord[T any] struct {
	entry *Entry[T]
	at    time.Duration
}

// orderedEntry is a place in an order. The rank lies beside the pointer, so that a search reads few other lines of memory.
type orderedEntry[T any] struct {
	rank  uint64
	entry *Entry[T]
}

func less[T any](a, b orderedEntry[T]) bool {
	return a.rank < b.rank || a.rank == b.rank && a.entry.TieBreaker < b.entry.TieBreaker
}

// Group is a part of the members. Some are open: they alone are in its order and counted as young.
type Group[T any] struct {
	index      *Index[T]
	size       int
	ready      *btree.BTreeG[orderedEntry[T]]
	upcoming   startTimes    // when young ones begin that had not begun at the view that Young was asked for last
	started    startTimes    // ... and when the others did
	epoch      uint64        // that one
	epochAt    time.Duration // when it was
	warming    int           // what Young gave
	warmingAge time.Duration
}

// NewGroup makes an empty one.
func (r *Index[T]) NewGroup() Group[T] {
	return Group[T]{index: r, ready: btree.NewBTreeGOptions(less[T], btree.Options{NoLocks: true})}
}

// ReadyLen is how many members are open, in all lanes.
func (r *Index[T]) ReadyLen() int { return r.ready }

// Advance has Young tell of this moment from now on, which is not before an earlier one.
func (r *Index[T]) Advance(now time.Duration) { r.epoch, r.epochAt = r.epoch+1, now }

// Put has a member stand in a lane, and in no other any more: open or not, and if it is young since began. What is so already costs nothing.
func (p *Entry[T]) Put(in *Group[T], open, young bool, began time.Duration) {
	if p.group == in && p.ready == open && p.warming == young && p.startedAt == began {
		return
	}
	p.detach()
	in.size++
	p.group, p.ready, p.warming, p.startedAt = in, open, young, began
	if !open {
		return
	}
	in.Warming() // of which this changes nothing before the next view
	in.index.ready++
	in.ready.Set(orderedEntry[T]{p.Rank, p})
	if young {
		in.startTimesFor(began).add(began, 1)
	}
}

// detach has a member stand nowhere.
func (p *Entry[T]) detach() {
	in := p.group
	if in == nil {
		return
	}
	in.size--
	if p.ready {
		in.Warming()
		in.index.ready--
		in.ready.Delete(orderedEntry[T]{p.Rank, p})
		if p.warming {
			in.startTimesFor(p.startedAt).add(p.startedAt, -1)
		}
	}
	p.group, p.ready = nil, false
}

// Len is how many members are in the lane, open or not.
func (l *Group[T]) Len() int { return l.size }

// ReadyLen is how many members of the lane are open.
func (l *Group[T]) ReadyLen() int { return l.ready.Len() }

// Ready goes through the open members in their order. No member may be put or forgotten meanwhile.
func (l *Group[T]) Ready() iter.Seq[T] {
	return func(yield func(T) bool) {
		l.ready.Scan(func(e orderedEntry[T]) bool { return yield(e.entry.Value) })
	}
}

// Warming is how many of those that were open were young when See was called last: had begun less than the Roster's time ago, or would only
// begin; and the sum of their ages, where one that has not begun has none. It costs what began or stopped being young since it was asked for
// an earlier view.
func (l *Group[T]) Warming() (n int, ages time.Duration) {
	if l.epoch == l.index.epoch {
		return l.warming, l.warmingAge
	}
	l.epoch, l.epochAt = l.index.epoch, l.index.epochAt
	for at, some, ok := l.upcoming.counts.Min(); ok && at <= l.epochAt; at, some, ok = l.upcoming.counts.Min() {
		l.upcoming.add(at, -some)
		l.started.add(at, some)
	}
	for at, some, ok := l.started.counts.Min(); ok && at <= l.epochAt-l.index.warmingPeriod; at, some, ok = l.started.counts.Min() {
		l.started.add(at, -some)
	}
	l.warming, l.warmingAge = l.upcoming.total+l.started.total, time.Duration(l.started.total)*l.epochAt-l.started.sum
	return l.warming, l.warmingAge
}

func (l *Group[T]) startTimesFor(began time.Duration) *startTimes {
	if began > l.epochAt {
		return &l.upcoming
	}
	return &l.started
}

// startTimes are points in time, some of them several times over, with their number and sum. The sum may run over: what it is taken from
// runs over as often, and the ages that are left are small.
type startTimes struct {
	counts btree.Map[time.Duration, int]
	total  int
	sum    time.Duration
}

// add adds a point so many times, or takes it away; what is not there can't be taken away, as it has been already.
func (m *startTimes) add(at time.Duration, some int) {
	had, _ := m.counts.Get(at)
	if had+some < 0 {
		return
	}
	m.total, m.sum = m.total+some, m.sum+time.Duration(some)*at
	if had+some == 0 {
		m.counts.Delete(at)
		return
	}
	m.counts.Set(at, had+some)
}

// MarkDirty has a member looked at by the next Settle.
func (r *Index[T]) MarkDirty(p *Entry[T]) {
	if !p.dirty {
		p.dirty, r.dirty = true, append(r.dirty, p)
	}
}

// Reconcile looks at the members that it was to look at, each once; those with which it is not done are looked at again the next time.
func (r *Index[T]) Reconcile(done func(T) bool) {
	left := r.dirty[:0]
	for _, p := range r.dirty {
		if p.dirty = !done(p.Value); p.dirty {
			left = append(left, p)
		}
	}
	clear(r.dirty[len(left):])
	if r.dirty = left; len(left) == 0 {
		r.dirty = nil // it may have been as long as the set
	}
}

// Remove has a member stand nowhere, and forgets what was noted of it.
func (r *Index[T]) Remove(p *Entry[T]) {
	p.detach()
	r.forgetFailure(p)
}

// RecordFailure takes in that something was noted of a member, not before what was noted earlier of any.
func (r *Index[T]) RecordFailure(p *Entry[T], at time.Duration) {
	r.forgetFailure(p)
	p.failure = r.failures.PushBack(failureRecord[T]{p, at})
	for first := r.failures.Front().Value.(failureRecord[T]); at-first.at >= r.failureTTL; first = r.failures.Front().Value.(failureRecord[T]) {
		r.forgetFailure(first.entry)
	}
}

func (r *Index[T]) forgetFailure(p *Entry[T]) {
	if p.failure != nil {
		r.failures.Remove(p.failure)
		p.failure = nil
	}
}

// RecentFailures is of how many members something was noted less than so long ago, which is not longer than it is kept.
func (r *Index[T]) RecentFailures(now, ago time.Duration) (count int) {
	for e := r.failures.Back(); e != nil && now-e.Value.(failureRecord[T]).at < ago; e = e.Prev() {
		count++
	}
	return count
}
