package lifecycle

import (
	"container/heap"
	"time"

	"pumicecroft/decision"
)

// timer is an entry of the timer heap.
type timer struct {
	at      time.Duration
	seq     uint64       // orders timers of one instant by when they were set
	index   int          // in the heap, from 1; 0: not set
	request *openRequest // nil: the engine's own
	token   uint64       // timerEngine: what the engine is told
	kind    timerKind
	attempt int // timerAttempt: the attempt's number
}

// timerKind says what a timer does when it fires.
type timerKind uint8

const (
	timerEngine timerKind = iota
	timerDeadline
	timerAttempt
)

// timerHeap orders timers by time and, among equal times, by when they were set. Timers of requests that have ended
// are taken out at once, so it holds a few for each open request and one of the engine's own.
type timerHeap []*timer

// Len is heap.Interface's.
func (h timerHeap) Len() int { return len(h) }

// Less orders by time, then by when a timer was set.
func (h timerHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}

// Swap keeps each timer's index.
func (h timerHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i+1, j+1
}

// Push is heap.Interface's: use setTimer.
func (h *timerHeap) Push(x any) {
	t := x.(*timer)
	*h = append(*h, t)
	t.index = len(*h)
}

// Pop is heap.Interface's: use fireTimers.
func (h *timerHeap) Pop() any {
	last := len(*h) - 1
	t := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	t.index = 0
	return t
}

// nextTimer is when the first timer fires; !ok: none is set.
func (m *Machine) nextTimer() (at time.Duration, ok bool) {
	if len(m.timers) == 0 {
		return 0, false
	}
	return m.timers[0].at, true
}

// setTimer sets t to value and puts it into the heap, where it must not be.
func (m *Machine) setTimer(t *timer, value timer) {
	m.timerSeq++
	*t = value
	t.seq = m.timerSeq
	heap.Push(&m.timers, t)
}

// clearTimer takes a timer out of the heap, if it is there.
func (m *Machine) clearTimer(t *timer) {
	if t.index > 0 {
		heap.Remove(&m.timers, t.index-1)
	}
}

// setEngineTimer sets a timer for the engine. One that belongs to a request which is answered is not set: the engine
// would ignore it.
func (m *Machine) setEngineTimer(action decision.SetTimer) {
	t := timer{at: m.now + max(action.After, 0), token: action.Token, kind: timerEngine}
	if action.Token == 0 {
		m.setTimer(new(timer), t)
		return
	}
	request := m.requests[action.Request]
	if request == nil || request.answered {
		return
	}
	t.request = request
	if request.engineTimer.index == 0 {
		m.setTimer(&request.engineTimer, t)
		return
	}
	m.setExtraTimer(request, t)
}

// setExtraTimer sets one more timer of a request, in the place of one that has fired if there is one.
func (m *Machine) setExtraTimer(request *openRequest, value timer) {
	for _, t := range request.extraTimers {
		if t.index == 0 {
			m.setTimer(t, value)
			return
		}
	}
	t := new(timer)
	request.extraTimers = append(request.extraTimers, t)
	m.setTimer(t, value)
}

// clearEngineTimers clears the timers that the engine has set for a request.
func (m *Machine) clearEngineTimers(request *openRequest) {
	m.clearTimer(&request.engineTimer)
	for _, t := range request.extraTimers {
		if t.kind == timerEngine {
			m.clearTimer(t)
		}
	}
}

// clearTimers clears all timers of a request.
func (m *Machine) clearTimers(request *openRequest) {
	m.clearTimer(&request.deadlineTimer)
	m.clearTimer(&request.engineTimer)
	for _, t := range request.extraTimers {
		m.clearTimer(t)
	}
}
