package eventqueue

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// binaryHeap is an event queue on top of container/heap, for comparison.
type binaryHeap []entry[uint64]

func (q binaryHeap) Len() int           { return len(q) }
func (q binaryHeap) Less(i, j int) bool { return q[i].before(&q[j]) }
func (q binaryHeap) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *binaryHeap) Push(x any)        { *q = append(*q, x.(entry[uint64])) }
func (q *binaryHeap) Pop() any {
	e := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return e
}

// For any sequence of pushes and pops, events must be popped by time, and by order where times are equal.
func TestQueue_PopsByTimeThenOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var q Queue[uint64]
		var model []entry[uint64]
		order := uint64(0)
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			if len(model) > 0 && rapid.IntRange(0, 2).Draw(t, "take") == 0 {
				slices.SortFunc(model, func(a, b entry[uint64]) int {
					if a.before(&b) {
						return -1
					}
					return 1
				})
				next, ok := q.Next()
				if at, v := q.Pop(); at != model[0].at || v != model[0].value || next != at || !ok {
					t.Fatalf("Pop returns %v, %d and Next returned %v, %v, want %v", at, v, next, ok, model[0])
				}
				model = model[1:]
			} else {
				order++
				e := entry[uint64]{time.Duration(rapid.IntRange(0, 9).Draw(t, "at")), Mix(order), order}
				q.Push(e.at, e.order, e.value)
				model = append(model, e)
			}
			if q.Len() != len(model) {
				t.Fatalf("Len is %d, want %d", q.Len(), len(model))
			}
		}
	})
	if _, ok := new(Queue[int]).Next(); ok {
		t.Error("Next of an empty queue returns true, want false")
	}
}

// Random numbers must depend on all of seed and purpose and on nothing else, and must be evenly distributed.
func TestRandom_DependsOnPurposeAndIsEven(t *testing.T) {
	if NewRand(1, 2, 3).Uint64() != NewRand(1, 2, 3).Uint64() ||
		NewRand(1, 2, 3).Uint64() == NewRand(1, 3, 2).Uint64() ||
		NewRand(1, 2).Uint64() == NewRand(2, 2).Uint64() {
		t.Error("random numbers differ for equal seeds and purposes, or are equal for different ones")
	}
	var counts [10]int
	for i := range uint64(100_000) {
		counts[int(10*RandFloat64(7, i))]++
	}
	for i, n := range counts {
		if n < 9_700 || n > 10_300 {
			t.Errorf("%d of 100,000 numbers in interval %d of 10, want 9,700 to 10,300", n, i)
		}
	}
}

// BenchmarkQueue measures a pop followed by a push of a later event, with n events in the queue.
func BenchmarkQueue(b *testing.B) {
	for _, n := range []int{100, 10_000, 1_000_000} {
		rng := rand.New(rand.NewPCG(1, 1))
		name := map[int]string{100: "100", 10_000: "10,000", 1_000_000: "1,000,000"}[n]
		b.Run("4-ary/"+name, func(b *testing.B) {
			var q Queue[uint64]
			for i := range uint64(n) {
				q.Push(time.Duration(rng.IntN(n)), i, i)
			}
			order := uint64(n)
			for b.Loop() {
				at, v := q.Pop()
				order++
				q.Push(at+time.Duration(rng.IntN(n)), order, v)
			}
		})
		b.Run("container-heap/"+name, func(b *testing.B) {
			q := &binaryHeap{}
			for i := range uint64(n) {
				heap.Push(q, entry[uint64]{time.Duration(rng.IntN(n)), i, i})
			}
			order := uint64(n)
			for b.Loop() {
				e := heap.Pop(q).(entry[uint64])
				order++
				heap.Push(q, entry[uint64]{e.at + time.Duration(rng.IntN(n)), order, e.value})
			}
		})
	}
}
