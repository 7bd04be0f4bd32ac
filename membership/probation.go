package membership

import (
	"container/heap"
	"time"

	"pumicecroft/decision"
	"pumicecroft/internal/backoff"
)

// evaluate updates a member's state from its reports and the time, and emits the change if there is one.
func (t *Table) evaluate(m *member, started time.Duration) {
	if len(m.reports) == 0 {
		t.remove(m)
		return
	}
	state, decidedBy := t.nextState(m)
	if state != m.state {
		m.state, m.since = state, t.now
	}
	m.decidedBy = decidedBy
	t.reschedule(m)
	t.emit(m, *m.reports[0].node, started)
}

// nextState returns a member's state by its reports and probation, and the index of the source that
// decided: of several sources that report it as not ready, the first. It counts an outage when one begins,
// and starts probation when one ends, unless the source that decided last was trusted.
func (t *Table) nextState(m *member) (state State, decidedBy int) {
	if index := m.firstNotReady(); index != noSource {
		if m.state != Draining && m.state != Unknown {
			m.outages++
		}
		m.drainedByTrusted = t.sources[index].Trusted
		return Draining, index
	}
	first := m.reports[0].sourceIndex
	switch {
	case m.state == Draining && !m.drainedByTrusted:
		m.outageForgetBase = t.now
		m.probationUntil = t.now + t.probation(m)
		return Probation, first
	case m.state == Probation && t.now < m.probationUntil:
		return Probation, first
	}
	return Ready, first
}

// firstNotReady returns the index of the first source that reports a member as not ready, or noSource. A
// drain that any one source reports must be honored.
func (m *member) firstNotReady() int {
	for _, r := range m.reports {
		if r.node.State != decision.Ready {
			return r.sourceIndex
		}
	}
	return noSource
}

// probation returns how long a member must be reported ready before its state becomes Ready again.
func (t *Table) probation(m *member) time.Duration {
	return backoff.Exponential{Initial: t.policy.ProbationMin, Max: t.policy.ProbationMax}.Delay(m.outages - 1)
}

// reschedule schedules a member's next evaluation, for when its probation ends or its next outage is
// forgotten. It first forgets the outages that are due to be forgotten now.
func (t *Table) reschedule(m *member) {
	t.unschedule(m)
	switch {
	case m.state == Probation:
		t.schedule(m, m.probationUntil)
	case m.state == Ready && m.outages > 0:
		for m.outages > 0 && t.now-m.outageForgetBase >= t.policy.ProbationReset {
			m.outages--
			m.outageForgetBase += t.policy.ProbationReset
		}
		if m.outages > 0 {
			t.schedule(m, m.outageForgetBase+t.policy.ProbationReset)
		}
	}
}

func (t *Table) schedule(m *member, at time.Duration) {
	m.evaluateAt = at
	heap.Push(&t.queue, m)
}

func (t *Table) unschedule(m *member) {
	if m.queueIndex > 0 {
		heap.Remove(&t.queue, m.queueIndex-1)
	}
}

// evaluationQueue is a heap of members by the time of their next evaluation, and by ID where these are
// equal, so that the order of changes does not depend on the order of insertion.
type evaluationQueue []*member

// Len implements heap.Interface.
func (q evaluationQueue) Len() int { return len(q) }

// Less implements heap.Interface.
func (q evaluationQueue) Less(i, j int) bool {
	if q[i].evaluateAt != q[j].evaluateAt {
		return q[i].evaluateAt < q[j].evaluateAt
	}
	return q[i].id < q[j].id
}

// Swap implements heap.Interface.
func (q evaluationQueue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].queueIndex, q[j].queueIndex = i+1, j+1
}

// Push implements heap.Interface.
func (q *evaluationQueue) Push(x any) {
	m := x.(*member)
	*q = append(*q, m)
	m.queueIndex = len(*q)
}

// Pop implements heap.Interface.
func (q *evaluationQueue) Pop() any {
	last := len(*q) - 1
	m := (*q)[last]
	(*q)[last] = nil
	*q = (*q)[:last]
	m.queueIndex = 0
	return m
}
