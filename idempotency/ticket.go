package idempotency

import "pumicecroft/internal/timerwheel"

// Ticket represents a request that proceeded, or that waits for one that did.
type Ticket struct {
	tag         any
	entry       *entry
	leader      bool // its request proceeded: it is executed for all requests with its key
	timer       timerwheel.Timer[*timerTarget]
	timerTarget timerTarget
	next, prev  *Ticket // circular list of its entry's waiters; nil: not in the list any more, its request has ended
	seq         uint64  // number of the log record that says that its request proceeded
}

// Entry returns the entry that the ticket's request belongs to.
func (t *Ticket) Entry() Entry { return Entry{t.entry} }

// Seq returns the number of the log record which says that the ticket's request proceeded. The
// request must not be executed before that record is durable. Seq is 0 if the log accepted no record
// or there is no log.
func (t *Ticket) Seq() uint64 { return t.seq }

// addWaiter adds a ticket to the waiters of its entry.
func (s *Store) addWaiter(t *Ticket) {
	s.waiting++
	if first := t.entry.waiters; first != nil {
		t.next, t.prev = first, first.prev
		first.prev.next, first.prev = t, t
		return
	}
	t.next, t.prev = t, t
	t.entry.waiters = t
}

// removeWaiter removes a ticket from the waiters of its entry. It must be called once per ticket.
func (s *Store) removeWaiter(t *Ticket) {
	s.waiting--
	e := t.entry
	if t.next == t {
		e.waiters = nil
	} else {
		t.prev.next, t.next.prev = t.next, t.prev
		if e.waiters == t {
			e.waiters = t.next
		}
	}
	t.next, t.prev = nil, nil
	s.timers.Remove(&t.timer)
	if !t.leader {
		s.addBytes(e, -ticketOverhead)
	}
}
