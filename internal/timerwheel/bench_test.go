package timerwheel

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// heapTimer is a timer in a timerHeap.
type heapTimer struct {
	at    time.Duration
	index int // index in the heap, for removal; -1 if it is not in the heap
}

// timerHeap is a heap of timers for container/heap.
type timerHeap []*heapTimer

func (h timerHeap) Len() int           { return len(h) }
func (h timerHeap) Less(i, j int) bool { return h[i].at < h[j].at }
func (h timerHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

func (h *timerHeap) Push(x any) {
	t := x.(*heapTimer)
	t.index = len(*h)
	*h = append(*h, t)
}

func (h *timerHeap) Pop() any {
	t := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return t
}

// BenchmarkWheel compares a wheel with a heap, with n timers of about 5 s each. An iteration advances the time by
// 5 s/n and adds one timer, so that about one timer fires, or is removed before it fires.
func BenchmarkWheel(b *testing.B) {
	for _, n := range []int{1000, 100_000, 1_000_000} {
		for _, remove := range []bool{false, true} {
			b.Run(fmt.Sprintf("wheel/%d/remove=%v", n, remove), func(b *testing.B) { benchmarkWheel(b, n, remove) })
			b.Run(fmt.Sprintf("heap/%d/remove=%v", n, remove), func(b *testing.B) { benchmarkHeap(b, n, remove) })
		}
	}
}

// timeout returns a random timeout from 5 s to 6 s.
func timeout(rng *rand.Rand) time.Duration {
	return 5*time.Second + time.Duration(rng.IntN(int(time.Second)))
}

func benchmarkWheel(b *testing.B, n int, remove bool) {
	step, now := 5*time.Second/time.Duration(n), time.Duration(0)
	rng := rand.New(rand.NewPCG(1, 2))
	w := New[int](time.Millisecond, 0)
	timers := make([]Timer[int], n+n/4)
	var free, used []*Timer[int]
	for i := range timers {
		free = append(free, &timers[i])
	}
	fire := func(t *Timer[int]) { free = append(free, t) }
	for i := 0; b.Loop(); i++ {
		now += step
		w.Advance(now, fire)
		if remove && len(used) > n/2 {
			if t := used[i%len(used)]; t.Scheduled() {
				w.Remove(t)
				free = append(free, t)
			}
		}
		if len(free) > 0 {
			t := free[len(free)-1]
			free = free[:len(free)-1]
			w.Add(t, now+timeout(rng))
			if len(used) < n {
				used = append(used, t)
			}
		}
	}
}

func benchmarkHeap(b *testing.B, n int, remove bool) {
	step, now := 5*time.Second/time.Duration(n), time.Duration(0)
	rng := rand.New(rand.NewPCG(1, 2))
	var h timerHeap
	timers := make([]heapTimer, n+n/4)
	var free, used []*heapTimer
	for i := range timers {
		free = append(free, &timers[i])
	}
	release := func(t *heapTimer) {
		t.index = -1
		free = append(free, t)
	}
	for i := 0; b.Loop(); i++ {
		now += step
		for len(h) > 0 && h[0].at <= now {
			release(heap.Pop(&h).(*heapTimer))
		}
		if remove && len(used) > n/2 {
			if t := used[i%len(used)]; t.index >= 0 {
				heap.Remove(&h, t.index)
				release(t)
			}
		}
		if len(free) > 0 {
			t := free[len(free)-1]
			free = free[:len(free)-1]
			t.at = now + timeout(rng)
			heap.Push(&h, t)
			if len(used) < n {
				used = append(used, t)
			}
		}
	}
}
