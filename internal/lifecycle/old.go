package lifecycle

import (
	"time"

	"pumicecroft/decision"
)

// A process that stood still has clients' requests, backends' answers, timers and the news of its sources before it in no order. What is
// decided before that news is decided by a view as old as the standstill: a backend that was told to drain would be sent to. So from the
// first event on the core has the sources take in what has arrived, and holds back what the decision module sends until they have, or
// can't be heard. Nothing else waits: answers, refusals, timers and calls off go on.
//
// What was out while the process stood still proves nothing of how long it took, and its reading is as old as it may be: neither is
// passed on (old). What was decided before and has not left when the process goes on is asked for once more (Leaves).

// heldStart is an attempt whose Start waits.
type heldStart struct {
	call     *call
	attempt  int
	notAfter time.Duration
}

// onPause takes in that the process may have stood still for so long until now.
func (c *Machine) onPause(d time.Duration) {
	c.lastSync++
	c.pendingSync = c.lastSync
	for _, k := range c.calls { // sets only: the order reaches no effect
		for i := range k.attempts {
			if t := &k.attempts[i]; t.open && !t.awaitingSync {
				t.pausedFor += d
			}
		}
	}
	c.effects = append(c.effects, Effect{Kind: SyncSources, SyncID: c.lastSync, PausedFor: d})
	c.dispatch(decision.ProcessPaused{Duration: d})
}

// SourcesSynced tells that the sources have taken in all that had arrived when CatchUp was asked for, or that they can't be heard. One that
// answers an older CatchUp changes nothing.
func (c *Machine) SourcesSynced(now time.Duration, serial uint64) []Effect {
	c.advance(now)
	if serial != c.pendingSync {
		return c.effects
	}
	c.pendingSync = 0
	held := c.heldStarts
	c.heldStarts = nil
	for _, h := range held {
		t := &h.call.attempts[h.attempt]
		if !t.open || !t.awaitingSync {
			continue
		}
		if t.drained || h.call.answered {
			c.endHeldAttempt(h.call, h.attempt)
			continue
		}
		t.awaitingSync, t.startedAt = false, c.now
		c.effects = append(c.effects, Effect{Kind: StartAttempt, Tag: h.call.tag, Request: h.call.id, Attempt: h.attempt, Backend: t.backend, Deadline: t.deadline, DecidedAt: c.now, NotAfter: h.notAfter})
	}
	return c.effects
}

// Syncing tells whether attempts are held back now.
func (c *Machine) Syncing() bool { return c.pendingSync > 0 }

// ConfirmSend asks whether an attempt whose Start is older than Times().Fresh may still leave. It may not if the process stood still since and has not
// caught up, or if its backend has been told to drain since it was chosen; then it ends as not sent.
func (c *Machine) ConfirmSend(now time.Duration, id decision.RequestID, attempt int) (effects []Effect, may bool) {
	c.advance(now)
	k := c.calls[id]
	if k == nil || attempt < 0 || attempt >= len(k.attempts) {
		return c.effects, false
	}
	t := &k.attempts[attempt]
	return c.effects, t.open && !t.cancelled && !t.drained && c.pendingSync == 0
}

// endHeldAttempt ends an attempt that was held back: it never left.
func (c *Machine) endHeldAttempt(k *call, n int) {
	t := &k.attempts[n]
	t.awaitingSync, t.result = false, decision.NotSent
	c.attemptClosed(k, n)
	c.events = append(c.events, decision.Outcome{Request: k.id, Backend: t.backend, Attempt: n, Result: decision.NotSent, Final: k.answered})
	c.drainEvents()
	c.releaseIfDone(k)
}

// markDrained marks the attempts that are out to backends which a list takes away.
func (c *Machine) markDrained(list *decision.EndpointUpdate) {
	if list.Kind == decision.UpdateFailed || len(c.calls) == 0 {
		return
	}
	ready := map[decision.BackendID]bool{} // of those that are named, by the last word on each
	for _, b := range list.Endpoints {
		ready[b.ID] = b.State == decision.Ready
	}
	if list.Kind != decision.UpdateDelta {
		for id := range c.openAttempts { // sets only: the order reaches no effect
			ready[id] = ready[id]
		}
	}
	for id, is := range ready {
		for r := c.openAttempts[id]; !is && r.call != nil; r = r.attempt().next {
			r.attempt().drained = true
		}
	}
}

// discountPause is what an outcome proves of an attempt that was out while the process stood still for so long.
func discountPause(o decision.Outcome, stood time.Duration) decision.Outcome {
	o.Latency, o.HasUsage = max(0, o.Latency-stood), false
	if o.Result == decision.TimedOut { // by the process's own fault
		o.Result = decision.Unknown
	}
	return o
}
