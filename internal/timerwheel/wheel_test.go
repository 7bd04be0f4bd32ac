package timerwheel

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Whatever is set, unset and waited for, timers come at the first tick at or after their time and never else, as of a plain list.
func TestAgainstAList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tick := time.Duration(rapid.SampledFrom([]int{1, 3, 1000}).Draw(t, "tick"))
		now := time.Duration(rapid.Int64Range(0, 1<<40).Draw(t, "start"))
		w := New[int](tick, now)
		tickOf := func(d time.Duration) time.Duration { return (d + tick - 1) / tick }
		type set struct {
			t  *Timer[int]
			at time.Duration // tick
		}
		var model []set
		t.Repeat(map[string]func(*rapid.T){
			"set": func(t *rapid.T) {
				after := time.Duration(rapid.Int64Range(-5, 1<<rapid.SampledFrom([]int{2, 7, 13, 20, 45}).Draw(t, "size")).Draw(t, "after"))
				tm := &Timer[int]{Value: len(model)}
				w.Add(tm, now+after)
				model = append(model, set{tm, max(tickOf(max(0, now+after)), now/tick+1)})
			},
			"unset": func(t *rapid.T) {
				if len(model) == 0 {
					t.Skip("none")
				}
				i := rapid.IntRange(0, len(model)-1).Draw(t, "which")
				w.Remove(model[i].t)
				w.Remove(model[i].t)
				model = slices.Delete(model, i, i+1)
			},
			"wait": func(t *rapid.T) {
				now += time.Duration(rapid.Int64Range(0, 1<<rapid.SampledFrom([]int{2, 7, 13, 20, 46}).Draw(t, "size")).Draw(t, "for"))
				if next, ok := w.Next(); ok != (len(model) > 0) || ok && slices.ContainsFunc(model, func(s set) bool { return s.at*tick < next }) {
					t.Fatalf("next at %v, %v", next, ok)
				}
				last := time.Duration(0)
				w.Advance(now, func(tm *Timer[int]) {
					i := slices.IndexFunc(model, func(s set) bool { return s.t == tm })
					if i < 0 || model[i].at > now/tick || model[i].at < last || tm.Scheduled() {
						t.Fatalf("%d comes at %v, in order of %v", tm.Value, now, last)
					}
					last = model[i].at
					model = slices.Delete(model, i, i+1)
				})
				for _, s := range model {
					if s.at <= now/tick || !s.t.Scheduled() {
						t.Fatalf("%d of tick %d has not come at %v", s.t.Value, s.at, now)
					}
				}
			},
			"": func(t *rapid.T) {
				if w.Len() != len(model) {
					t.Fatalf("%d are set, want %d", w.Len(), len(model))
				}
			},
		})
	})
}

// What comes due may set itself again, also for a time that is over: that is the next tick's.
func TestSettingAgain(t *testing.T) {
	w := New[int](10, 0)
	tm, n := &Timer[int]{}, 0
	w.Add(tm, 5)
	for now := time.Duration(0); now <= 100; now += 10 {
		w.Advance(now, func(tm *Timer[int]) {
			n++
			w.Add(tm, now-50)
		})
	}
	if n != 10 || w.Len() != 1 {
		t.Errorf("it came %d times", n)
	}
}

// plain is container/heap's, with an index for unsetting.
type plain []*entry

type entry struct {
	at    time.Duration
	index int
}

func (h plain) Len() int           { return len(h) }
func (h plain) Less(i, j int) bool { return h[i].at < h[j].at }
func (h plain) Swap(i, j int)      { h[i], h[j] = h[j], h[i]; h[i].index, h[j].index = i, j }
func (h *plain) Push(x any)        { e := x.(*entry); e.index = len(*h); *h = append(*h, e) }
func (h *plain) Pop() any {
	e := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return e
}

// BenchmarkWheel has n timers of about 5 s; a step sets one and lets 5 s/n pass, so that one comes due, or is unset before.
func BenchmarkWheel(b *testing.B) {
	for _, n := range []int{1000, 100_000, 1_000_000} {
		step := 5 * time.Second / time.Duration(n)
		rng := rand.New(rand.NewPCG(1, 2))
		for _, unset := range []bool{false, true} {
			b.Run(fmt.Sprintf("wheel/%d/unset=%v", n, unset), func(b *testing.B) {
				now := time.Duration(0)
				w, all, free := New[int](time.Millisecond, 0), make([]Timer[int], n+n/4), []*Timer[int](nil)
				for i := range all {
					free = append(free, &all[i])
				}
				used := []*Timer[int]{}
				due := func(t *Timer[int]) { free = append(free, t) }
				for i := 0; b.Loop(); i++ {
					now += step
					w.Advance(now, due)
					if unset && len(used) > n/2 {
						if t := used[i%len(used)]; t.Scheduled() {
							w.Remove(t)
							free = append(free, t)
						}
					}
					if len(free) > 0 {
						t := free[len(free)-1]
						free = free[:len(free)-1]
						w.Add(t, now+5*time.Second+time.Duration(rng.IntN(int(time.Second))))
						if len(used) < n {
							used = append(used, t)
						}
					}
				}
			})
			b.Run(fmt.Sprintf("heap/%d/unset=%v", n, unset), func(b *testing.B) {
				now := time.Duration(0)
				var h plain
				all, free := make([]entry, n+n/4), []*entry(nil)
				for i := range all {
					free = append(free, &all[i])
				}
				used := []*entry{}
				for i := 0; b.Loop(); i++ {
					now += step
					for len(h) > 0 && h[0].at <= now {
						e := heap.Pop(&h).(*entry)
						e.index = -1
						free = append(free, e)
					}
					if unset && len(used) > n/2 {
						if e := used[i%len(used)]; e.index >= 0 {
							heap.Remove(&h, e.index)
							e.index = -1
							free = append(free, e)
						}
					}
					if len(free) > 0 {
						e := free[len(free)-1]
						free = free[:len(free)-1]
						e.at = now + 5*time.Second + time.Duration(rng.IntN(int(time.Second)))
						heap.Push(&h, e)
						if len(used) < n {
							used = append(used, e)
						}
					}
				}
			})
		}
	}
}
