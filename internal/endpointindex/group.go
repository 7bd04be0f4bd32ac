package endpointindex

import (
	"iter"
	"time"

	"github.com/tidwall/btree"
)

// Group is a subset of an Index's members. Only ready members are ordered and counted as warming.
type Group[T any] struct {
	index *Index[T]
	size  int
	ready *btree.BTreeG[orderedEntry[T]]

	// Start times of the warming members, as of epoch. Those after epochAt are in upcoming, the others
	// in started.
	upcoming startTimes
	started  startTimes
	epoch    uint64
	epochAt  time.Duration
	// The results of Warming for epoch.
	warming       int
	warmingAgeSum time.Duration
}

// orderedEntry stores the rank next to the pointer, so that a search has few cache misses.
type orderedEntry[T any] struct {
	rank  uint64
	entry *Entry[T]
}

func less[T any](a, b orderedEntry[T]) bool {
	return a.rank < b.rank || a.rank == b.rank && a.entry.TieBreaker < b.entry.TieBreaker
}

// Len returns the number of members in the group, ready or not.
func (g *Group[T]) Len() int { return g.size }

// ReadyLen returns the number of ready members in the group.
func (g *Group[T]) ReadyLen() int { return g.ready.Len() }

// Ready iterates over the ready members in order. The group must not be changed during the iteration.
func (g *Group[T]) Ready() iter.Seq[T] {
	return func(yield func(T) bool) {
		g.ready.Scan(func(e orderedEntry[T]) bool { return yield(e.entry.Value) })
	}
}

// Warming returns the number of members that were ready and warming at the last Advance, and the sum
// of their ages then. A member whose start is in the future counts as warming, with an age of 0. The
// cost depends only on how many members started or stopped warming since the epoch of the last call.
func (g *Group[T]) Warming() (count int, ageSum time.Duration) {
	if g.epoch == g.index.epoch {
		return g.warming, g.warmingAgeSum
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
	g.warmingAgeSum = time.Duration(g.started.total)*g.epochAt - g.started.sum
	return g.warming, g.warmingAgeSum
}

func (g *Group[T]) startTimesFor(startedAt time.Duration) *startTimes {
	if startedAt > g.epochAt {
		return &g.upcoming
	}
	return &g.started
}

// startTimes counts members by start time, and keeps their total number and the sum of their start
// times. The sum may overflow. The sum of ages in Warming, total * epochAt - sum, is right all the
// same: the arithmetic is exact modulo 2^64, and the result is small.
type startTimes struct {
	counts btree.Map[time.Duration, int]
	total  int
	sum    time.Duration
}

// add adds a number of members with the same start time, or removes them if the number is negative.
// Removing more members than there are does nothing: detach also removes members that have stopped
// warming, which Warming has removed already.
func (s *startTimes) add(at time.Duration, members int) {
	previous, _ := s.counts.Get(at)
	if previous+members < 0 {
		return
	}
	s.total, s.sum = s.total+members, s.sum+time.Duration(members)*at
	if previous+members == 0 {
		s.counts.Delete(at)
		return
	}
	s.counts.Set(at, previous+members)
}
