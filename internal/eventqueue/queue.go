// Package eventqueue provides the basics of a discrete-event simulation: a queue of events ordered by
// time, and random numbers that depend only on a seed and a purpose. Packages sim and emulator use it.
// It is pure, and its values are not safe for concurrent use.
package eventqueue

import "time"

// Queue is a priority queue of events, ordered by time and, for equal times, by order. Events of equal
// time must have different orders, so that the sequence of events does not depend on the sequence of
// Push calls. The zero value is an empty queue.
//
// It is a 4-ary heap: half as deep as container/heap's binary heap, and without an interface call for
// each comparison (BenchmarkQueue compares them).
type Queue[T any] struct{ heap []entry[T] }

type entry[T any] struct {
	at    time.Duration
	order uint64
	value T
}

func (e *entry[T]) before(other *entry[T]) bool {
	return e.at < other.at || e.at == other.at && e.order < other.order
}

// arity is the number of children of each heap node.
const arity = 4

// Len returns the number of events in the queue.
func (q *Queue[T]) Len() int { return len(q.heap) }

// Next returns the time of the earliest event, without removing it; ok is false if the queue is empty.
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

// Pop removes and returns the earliest event. The queue must not be empty. It takes O(log n).
func (q *Queue[T]) Pop() (at time.Duration, value T) {
	heap := q.heap
	first, last := heap[0], heap[len(heap)-1]
	heap[len(heap)-1] = entry[T]{} // so that the garbage collector can free the value
	q.heap = heap[:len(heap)-1]
	if len(q.heap) > 0 {
		q.siftDown(last)
	}
	return first.at, first.value
}

// siftDown inserts an entry at the root, whose previous entry was removed, and restores the heap order.
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
