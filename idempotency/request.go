package idempotency

import (
	"time"

	"pumicecroft/decision"
)

// Begin returns the decision about a new request. tag identifies the request in the Completions of
// later calls. A request that waits for another one with its key ends at deadline at the latest.
func (s *Store) Begin(now time.Duration, who decision.CustomerID, key string, fingerprint Fingerprint,
	tag any, deadline time.Duration) (Decision, []Completion) {
	s.advance(now)
	if !isValidKey(key) {
		return Decision{Verdict: InvalidKey}, s.completions
	}
	e := s.entries[entryID{who, key}]
	switch {
	case e == nil:
		return s.admit(who, key, fingerprint, tag), s.completions
	case e.fingerprint != fingerprint:
		return Decision{Verdict: Conflict}, s.completions
	case e.state == stateCompleted && e.responseStored:
		return Decision{Verdict: Replay, Response: e.response}, s.completions
	case e.state == stateCompleted:
		return Decision{Verdict: ResponseNotStored}, s.completions
	case e.state == stateOutcomeUnknown:
		return Decision{Verdict: OutcomeUnknown, RetryAfter: e.expiresAt - s.now}, s.completions
	}
	return s.join(e, tag, deadline), s.completions
}

// join adds a request to those that wait for the one in flight.
func (s *Store) join(e *entry, tag any, deadline time.Duration) Decision {
	if !s.withinMemoryShare(e.customer, ticketOverhead) || !s.makeRoom(e.customer, ticketOverhead) {
		return Decision{Verdict: Busy, RetryAfter: s.limits.RetryAfter}
	}
	t := &Ticket{tag: tag, entry: e}
	s.addWaiter(t)
	s.addBytes(e, ticketOverhead)
	t.timerTarget.ticket = t
	t.timer.Value = &t.timerTarget
	s.timers.Add(&t.timer, deadline)
	return Decision{Verdict: Join, Ticket: t}
}

// admit lets the first request with a key proceed, if there is memory for its entry.
func (s *Store) admit(who decision.CustomerID, key string, fingerprint Fingerprint, tag any) Decision {
	c := s.customerFor(who)
	bytes := entryOverhead + ticketOverhead + len(key)
	c.pinned = true // so that makeRoom does not delete the customer's account
	hasRoom := s.withinMemoryShare(c, bytes) && s.makeRoom(c, bytes)
	c.pinned = false
	if !hasRoom {
		s.releaseCustomer(c)
		return Decision{Verdict: Busy, RetryAfter: s.limits.RetryAfter}
	}
	e := s.addEntry(c, key, fingerprint)
	s.addBytes(e, bytes)
	t := &Ticket{tag: tag, entry: e, leader: true}
	s.addWaiter(t)
	t.seq = s.appendRecord(e)
	return Decision{Verdict: Proceed, Ticket: t}
}

// Abandon removes a ticket whose client has disconnected. abandoned reports that no request waits for
// the execution any more, so that it may be cancelled; Complete must still be called with the ticket
// that proceeded.
func (s *Store) Abandon(now time.Duration, t *Ticket) (abandoned bool, completions []Completion) {
	s.advance(now)
	if t.next == nil { // removeWaiter was called for it: its request has ended
		return false, s.completions
	}
	s.removeWaiter(t)
	return t.entry.state == stateInFlight && t.entry.waiters == nil, s.completions
}

// Complete ends a request that proceeded, with its outcome. It returns the completions of all
// requests that waited for it, including its own if its client is still connected. A second call for
// the same request does nothing.
func (s *Store) Complete(now time.Duration, t *Ticket, outcome Outcome, r Response) []Completion {
	s.advance(now)
	e := t.entry
	if !s.executing(t) {
		return s.completions
	}
	d := s.decisionFor(outcome, r)
	for e.waiters != nil {
		waiter := e.waiters
		s.removeWaiter(waiter)
		s.complete(waiter, d)
	}
	s.addBytes(e, -ticketOverhead) // the leader's ticket, accounted until here even if its client has disconnected
	if outcome == NotExecuted {
		s.appendRemoval(e)
		s.removeEntry(e)
		return s.completions
	}
	recorded := e.responseRecorded && outcome == Succeeded // RecordResponse has appended the record already
	s.finishEntry(e, outcome, r)
	if !recorded {
		s.appendRecord(e)
	}
	return s.completions
}

// executing reports whether t proceeded and its request is still in flight.
func (s *Store) executing(t *Ticket) bool {
	e := t.entry
	return t.leader && e.state == stateInFlight && s.entries[e.id] == e
}

// decisionFor returns the decision for all requests that waited for an execution with this outcome.
func (s *Store) decisionFor(outcome Outcome, r Response) Decision {
	switch outcome {
	case Succeeded:
		return Decision{Verdict: Replay, Response: r}
	case NotExecuted:
		return Decision{Verdict: Rejected, RetryAfter: s.limits.RetryAfter}
	}
	return Decision{Verdict: OutcomeUnknown, RetryAfter: s.limits.UnknownTTL}
}

// finishEntry ends an entry's time in flight: it sets its final state and expiry, stores its response
// if there is room, and makes the entry evictable. Its bytes are taken off and added again around the
// change of state, as addBytes accounts them as in flight or as stored by the entry's state.
func (s *Store) finishEntry(e *entry, outcome Outcome, r Response) {
	bytes, size := e.bytes, r.size()
	s.addBytes(e, -bytes)
	e.state, e.expiresAt = stateOutcomeUnknown, s.now+s.limits.UnknownTTL
	if outcome == Succeeded {
		e.state, e.expiresAt = stateCompleted, s.now+s.limits.TTL
	}
	s.addBytes(e, bytes)
	e.responseRecorded, e.responseStored, e.response = false, false, Response{}
	// The entry becomes evictable only below, so makeRoom can't evict it for its own response.
	if outcome == Succeeded && s.storable(r) && s.makeRoom(e.customer, size) {
		e.responseStored, e.response = true, r
		s.addBytes(e, size)
	}
	e.customer.addEvictable(e)
	s.timers.Add(&e.timer, e.expiresAt)
}
