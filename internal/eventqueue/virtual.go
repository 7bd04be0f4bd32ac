// Package eventqueue is what emulated worlds stand on: a queue of what will happen, by time, and chance that hangs on a seed and
// on what it is for. The seeded world (internal/sim) and the emulated region (internal/region) use the same. It is pure.
package eventqueue

import (
	"math/rand/v2"
	"time"
)

// Queue holds what will happen, the earliest first; of one instant, the lowest order first. Orders must differ among what is of
// one instant: then what is taken does not hang on when it was put there. The zero value is empty. It is a heap of four children
// a node: half as deep as container/heap's, without an interface's call for each comparison (BenchmarkQueue compares them).
type Queue[T any] struct{ heap []entry[T] }

type entry[T any] struct {
	at    time.Duration
	order uint64
	value T
}

func (a *entry[T]) before(b *entry[T]) bool { return a.at < b.at || a.at == b.at && a.order < b.order }

// Len is how much the queue holds.
func (q *Queue[T]) Len() int { return len(q.heap) }

// Next is the time of the earliest.
func (q *Queue[T]) Next() (at time.Duration, ok bool) {
	if len(q.heap) == 0 {
		return 0, false
	}
	return q.heap[0].at, true
}

// Push puts something there. It costs O(log n).
func (q *Queue[T]) Push(at time.Duration, order uint64, value T) {
	e := entry[T]{at, order, value}
	q.heap = append(q.heap, e)
	h, i := q.heap, len(q.heap)-1
	for i > 0 {
		up := (i - 1) / 4
		if !e.before(&h[up]) {
			break
		}
		h[i] = h[up]
		i = up
	}
	h[i] = e
}

// Pop takes the earliest; the queue must not be empty. It costs O(log n).
func (q *Queue[T]) Pop() (at time.Duration, value T) {
	h := q.heap
	first, last := h[0], h[len(h)-1]
	h[len(h)-1] = entry[T]{} // what it leads to is let go of
	q.heap = h[:len(h)-1]
	h = q.heap
	if len(h) == 0 {
		return first.at, first.value
	}
	i := 0
	for {
		least := 4*i + 1
		if least >= len(h) {
			break
		}
		for c := least + 1; c < min(4*i+5, len(h)); c++ {
			if h[c].before(&h[least]) {
				least = c
			}
		}
		if !h[least].before(&last) {
			break
		}
		h[i] = h[least]
		i = least
	}
	h[i] = last
	return first.at, first.value
}

// WeightedPicker picks by shares.
type WeightedPicker struct{ cumulative []float64 }

// NewWeightedPicker makes one of parts of 0 or more, one of them above 0.
func NewWeightedPicker(parts ...float64) WeightedPicker {
	p, sum := WeightedPicker{make([]float64, len(parts))}, 0.0
	for i, part := range parts {
		sum += part
		p.cumulative[i] = sum
	}
	for i := range p.cumulative {
		p.cumulative[i] /= sum
	}
	return p
}

// Pick is the number of the part that a number from 0 to below 1 falls into.
func (p *WeightedPicker) Pick(u float64) int {
	for i, s := range p.cumulative {
		if u < s {
			return i
		}
	}
	return len(p.cumulative) - 1
}

// Mix is the finish of splitmix64: a bijection, so that different numbers stay so.
func Mix(z uint64) uint64 {
	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9
	z = (z ^ (z >> 27)) * 0x94d049bb133111eb
	return z ^ (z >> 31)
}

// SeedPair makes two numbers of a seed and what chance is for.
func SeedPair(seed uint64, of ...uint64) (a, b uint64) {
	a, b = seed, uint64(0x9e3779b97f4a7c15)
	for _, v := range of {
		a, b = Mix(a^v), Mix(b+v)
	}
	return a, b
}

// NewRand is a source of chance that hangs on the seed and the numbers given alone: what is taken out of a world leaves the chance
// of everything else as it was.
func NewRand(seed uint64, of ...uint64) *rand.Rand {
	return rand.New(rand.NewPCG(SeedPair(seed, of...)))
}

// RandFloat64 is one number from 0 to below 1, for what wants just one.
func RandFloat64(seed uint64, of ...uint64) float64 {
	a, b := SeedPair(seed, of...)
	return float64(Mix(a^b)>>11) / (1 << 53)
}
