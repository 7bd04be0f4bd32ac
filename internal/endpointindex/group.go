package endpointindex

import (
	"iter"
	"time"

	"github.com/tidwall/btree"
)

// Group is a part of an Index's members. Only those that are ready are in its order and count as
// warming.
type Group[T any] struct {
	index *Index[T]
	size  int
	ready *btree.BTreeG[orderedEntry[T]]

	// Start times of the warming members, as of epoch: those after epochAt are upcoming.
	upcoming startTimes
	started  startTimes
	epoch    uint64
	epochAt  time.Duration
	// What Warming returns for that epoch.
	warming    int
	warmingAge time.Duration
}

// orderedEntry has the rank beside the pointer, so that a search reads few other lines of memory.
type orderedEntry[T any] struct {
	rank  uint64
	entry *Entry[T]
}

func less[T any](a, b orderedEntry[T]) bool {
	return a.rank < b.rank || a.rank == b.rank && a.entry.TieBreaker < b.entry.TieBreaker
}

// Len returns how many members are in the group, ready or not.
func (g *Group[T]) Len() int { return g.size }

// ReadyLen returns how many members of the group are ready.
func (g *Group[T]) ReadyLen() int { return g.ready.Len() }

// Ready iterates over the ready members in their order. No member may be put or removed meanwhile.
func (g *Group[T]) Ready() iter.Seq[T] {
	return func(yield func(T) bool) {
		g.ready.Scan(func(e orderedEntry[T]) bool { return yield(e.entry.Value) })
	}
}

// Warming returns how many of the members that were ready at the last Advance were warming then,
// and the sum of the times since they started; a member that starts in the future is warming, and
// adds none. Its cost is that of the members that started, or stopped warming, since it was last
// called for an earlier epoch.
func (g *Group[T]) Warming() (count int, ages time.Duration) {
	if g.epoch == g.index.epoch {
		return g.warming, g.warmingAge
	}
	g.epoch, g.epochAt = g.index.epoch, g.index.epochAt
	for at, members, ok := g.upcoming.counts.Min(); ok && at <= g.epochAt; at, members, ok = g.upcoming.counts.Min() {
		g.upcoming.add(at, -members)
		g.started.add(at, members)
	}
	warmSince := g.epochAt - g.index.warmingPeriod
	for at, members, ok := g.started.counts.Min(); ok && at <= warmSince; at, members, ok = g.started.counts.Min() {
		g.started.add(at, -members)
	}
	g.warming = g.upcoming.total + g.started.total
	g.warmingAge = time.Duration(g.started.total)*g.epochAt - g.started.sum
	return g.warming, g.warmingAge
}

func (g *Group[T]) startTimesFor(startedAt time.Duration) *startTimes {
	if startedAt > g.epochAt {
		return &g.upcoming
	}
	return &g.started
}

// startTimes counts members by their start, with their number and the sum of their starts. The sum
// may overflow: so does what it is taken from, by as much, and the ages that are left are small.
type startTimes struct {
	counts btree.Map[time.Duration, int]
	total  int
	sum    time.Duration
}

// add adds members that started at a time, or takes them away. Members that have stopped warming
// are not there any more, and can't be taken away again.
func (s *startTimes) add(at time.Duration, members int) {
	had, _ := s.counts.Get(at)
	if had+members < 0 {
		return
	}
	s.total, s.sum = s.total+members, s.sum+time.Duration(members)*at
	if had+members == 0 {
		s.counts.Delete(at)
		return
	}
	s.counts.Set(at, had+members)
}
