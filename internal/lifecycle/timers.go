package lifecycle

import (
	"container/heap"
	"time"

	"pumicecroft/decision"
)

// timer is an entry of the timer heap.
type timer struct {
	at      time.Duration
	seq     uint64       // sequence number; orders timers of the same time by when they were set
	index   int          // position in the heap, counted from 1; 0: not set
	request *openRequest // nil for a timer that the engine sets for itself
	token   uint64       // timerEngine: the token of the decision.Timer event
	kind    timerKind
	attempt int // timerAttempt: number of the attempt
}

// timerKind determines what a timer does when it fires.
type timerKind uint8

const (
	timerEngine   timerKind = iota // passes a decision.Timer to the engine
	timerDeadline                  // runs onDeadline for the request
	timerAttempt                   // cancels the attempt
)

// timerHeap orders timers by time and, for equal times, by when they were set. When a request is released, its timers
// are removed immediately, so the heap holds a few timers for each open request and those that the engine sets for
// itself.
type timerHeap []*timer

// Len implements heap.Interface.
func (h timerHeap) Len() int { return len(h) }

// Less implements heap.Interface. It orders by time, then by when the timers were set.
func (h timerHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}

// Swap implements heap.Interface. It updates the index of both timers.
func (h timerHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i+1, j+1
}

// Push implements heap.Interface. Call setTimer instead.
func (h *timerHeap) Push(x any) {
	t := x.(*timer)
	*h = append(*h, t)
	t.index = len(*h)
}

// Pop implements heap.Interface. Call fireTimers instead.
func (h *timerHeap) Pop() any {
	last := len(*h) - 1
	t := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	t.index = 0
	return t
}

// nextTimer returns when the first timer fires. If ok is false, no timer is set.
func (m *Machine) nextTimer() (at time.Duration, ok bool) {
	if len(m.timers) == 0 {
		return 0, false
	}
	return m.timers[0].at, true
}

// setTimer sets t to value and adds it to the heap. t must not be in the heap already.
func (m *Machine) setTimer(t *timer, value timer) {
	m.timerSeq++
	*t = value
	t.seq = m.timerSeq
	heap.Push(&m.timers, t)
}

// clearTimer removes a timer from the heap, if it is in there.
func (m *Machine) clearTimer(t *timer) {
	if t.index > 0 {
		heap.Remove(&m.timers, t.index-1)
	}
}

// setEngineTimer sets a timer for the engine. A timer for a request that is answered or unknown is not set; see
// DecisionEngine.
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

// setExtraTimer sets an additional timer for a request. It reuses a timer that is no longer set, if there is one.
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

// clearEngineTimers clears all timers that the engine has set for a request.
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
