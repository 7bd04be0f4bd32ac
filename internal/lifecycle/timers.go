package lifecycle

import (
	"container/heap"
	"maps"
	"slices"

	"pumicecroft/decision"
)

// timerHeap is a heap by time and, among equal times, by the order in which they were set. Timers of requests that
// have ended are taken out at once, so it holds a few for each open request and one of the decision module's own.
type timerHeap []*timer

func (h timerHeap) Len() int { return len(h) }

func (h timerHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}

func (h timerHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i+1, j+1
}

func (h *timerHeap) Push(x any) {
	t := x.(*timer)
	*h = append(*h, t)
	t.index = len(*h)
}

func (h *timerHeap) Pop() any {
	last := len(*h) - 1
	t := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	t.index = 0
	return t
}

// setTimer puts a timer into the heap; it must not be there.
func (c *Machine) setTimer(t *timer, as timer) {
	c.seq++
	*t = as
	t.seq = c.seq
	heap.Push(&c.timers, t)
}

func (c *Machine) clearTimer(t *timer) {
	if t.index > 0 {
		heap.Remove(&c.timers, t.index-1)
	}
}

// setEngineTimer sets a timer of the decision module. One that belongs to a request that has ended is not set: the
// module would pass over it.
func (c *Machine) setEngineTimer(a decision.SetTimer) {
	t := timer{at: c.now + max(a.After, 0), token: a.Token, kind: timerEngine}
	if a.Token == 0 {
		c.setTimer(new(timer), t)
		return
	}
	k := c.calls[a.Request]
	if k == nil || k.answered {
		return
	}
	t.call = k
	if k.engineTimer.index == 0 {
		c.setTimer(&k.engineTimer, t)
		return
	}
	c.setExtraTimer(k, t)
}

// setExtraTimer sets one more timer of a request, in the place of one that has come if there is one.
func (c *Machine) setExtraTimer(k *call, as timer) {
	for _, t := range k.extraTimers {
		if t.index == 0 {
			c.setTimer(t, as)
			return
		}
	}
	t := new(timer)
	k.extraTimers = append(k.extraTimers, t)
	c.setTimer(t, as)
}

// sortedIDs gives the ids of a table in an order of their own, so that what is done to each does not depend on
// the map's.
func sortedIDs(calls map[decision.RequestID]*call) []decision.RequestID {
	return slices.Sorted(maps.Keys(calls))
}
