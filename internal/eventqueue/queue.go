// Package eventqueue is what simulated worlds stand on: a queue of events in the order of their
// times, and randomness that depends on a seed and a purpose. Packages sim and emulator share it.
// It is pure; its values belong to one caller at a time.
package eventqueue

import "time"

// Queue holds events, the earliest first; of one time, the one of the lowest order first. Events of
// one time must have different orders: then what is taken does not depend on when it was put there.
// The zero value is empty.
//
// It is a heap with four children a node: half as deep as container/heap's, and without an
// interface call for each comparison (BenchmarkQueue compares them).
type Queue[T any] struct{ heap []entry[T] }

type entry[T any] struct {
	at    time.Duration
	order uint64
	value T
}

func (e *entry[T]) before(other *entry[T]) bool {
	return e.at < other.at || e.at == other.at && e.order < other.order
}

// arity is how many children a node of the heap has.
const arity = 4

// Len is how many events the queue holds.
func (q *Queue[T]) Len() int { return len(q.heap) }

// Next gives the time of the earliest event; ok is false if there is none.
func (q *Queue[T]) Next() (at time.Duration, ok bool) {
	if len(q.heap) == 0 {
		return 0, false
	}
	return q.heap[0].at, true
}

// Push adds an event. It takes O(log n).
func (q *Queue[T]) Push(at time.Duration, order uint64, value T) {
	added := entry[T]{at, order, value}
	q.heap = append(q.heap, added)
	heap, i := q.heap, len(q.heap)-1
	for i > 0 {
		parent := (i - 1) / arity
		if !added.before(&heap[parent]) {
			break
		}
		heap[i] = heap[parent]
		i = parent
	}
	heap[i] = added
}

// Pop takes the earliest event. The queue must not be empty. It takes O(log n).
func (q *Queue[T]) Pop() (at time.Duration, value T) {
	heap := q.heap
	first, last := heap[0], heap[len(heap)-1]
	heap[len(heap)-1] = entry[T]{} // lets go of what the value refers to
	q.heap = heap[:len(heap)-1]
	if len(q.heap) > 0 {
		q.siftDown(last)
	}
	return first.at, first.value
}

// siftDown puts an entry into the heap, whose root is free.
func (q *Queue[T]) siftDown(moved entry[T]) {
	heap, i := q.heap, 0
	for {
		least := arity*i + 1
		if least >= len(heap) {
			break
		}
		for child := least + 1; child < min(arity*(i+1)+1, len(heap)); child++ {
			if heap[child].before(&heap[least]) {
				least = child
			}
		}
		if !heap[least].before(&moved) {
			break
		}
		heap[i] = heap[least]
		i = least
	}
	heap[i] = moved
}
