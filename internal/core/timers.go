package core

import (
	"container/heap"
	"maps"
	"slices"

	"pumicecroft/decision"
)

// timers is a heap by time and, among equal times, by the order in which they were set. Timers of requests that
// have ended are taken out at once, so it holds a few for each open request and one of the decision module's own.
type timers []*timer

func (h timers) Len() int { return len(h) }

func (h timers) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}

func (h timers) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i+1, j+1
}

func (h *timers) Push(x any) {
	t := x.(*timer)
	*h = append(*h, t)
	t.index = len(*h)
}

func (h *timers) Pop() any {
	last := len(*h) - 1
	t := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	t.index = 0
	return t
}

// set puts a timer into the heap; it must not be there.
func (c *Core) set(t *timer, as timer) {
	c.seq++
	*t = as
	t.seq = c.seq
	heap.Push(&c.timers, t)
}

func (c *Core) unset(t *timer) {
	if t.index > 0 {
		heap.Remove(&c.timers, t.index-1)
	}
}

// setToken sets a timer of the decision module. One that belongs to a request that has ended is not set: the
// module would pass over it.
func (c *Core) setToken(a decision.SetTimer) {
	t := timer{at: c.now + max(a.After, 0), token: a.Token, kind: tokenTimer}
	if a.Token == 0 {
		c.set(new(timer), t)
		return
	}
	k := c.calls[a.Request]
	if k == nil || k.ended {
		return
	}
	t.call = k
	if k.token.index == 0 {
		c.set(&k.token, t)
		return
	}
	c.setMore(k, t)
}

// setMore sets one more timer of a request, in the place of one that has come if there is one.
func (c *Core) setMore(k *call, as timer) {
	for _, t := range k.more {
		if t.index == 0 {
			c.set(t, as)
			return
		}
	}
	t := new(timer)
	k.more = append(k.more, t)
	c.set(t, as)
}

// sortedIDs gives the ids of a table in an order of their own, so that what is done to each does not depend on
// the map's.
func sortedIDs(calls map[decision.RequestID]*call) []decision.RequestID {
	return slices.Sorted(maps.Keys(calls))
}
