package idempotency

import (
	"time"

	"pumicecroft/decision"
	"pumicecroft/internal/journal"
	"pumicecroft/internal/timerwheel"
)

// timerResolution is the granularity of expiry times and deadlines.
const timerResolution = time.Millisecond

// Store holds the entries of all keys. It is not safe for concurrent use; see the package comment.
type Store struct {
	limits    Limits
	now       time.Duration
	entries   map[entryID]*entry
	customers map[decision.CustomerID]*customer
	timers    *timerwheel.Wheel[*timerTarget]
	waiting   int // tickets whose requests have not ended

	evictionOrder customerHeap // all customers, the one with the most evictable bytes first
	inFlightBytes int
	bytes         int // of all entries

	completions []Completion // returned by the current call; reused by the next

	log         *journal.Log[Entry] // nil: entries are kept in memory only
	epoch       time.Duration       // Unix time at the store's time 0
	interrupted []*entry            // restored entries that were in flight when the log ended
	recordBuf   []byte              // encodeRecord's buffer
}

// Entry identifies the state that all requests with one key share, for callers that track requests
// in flight. It is comparable.
type Entry struct{ e *entry }

// state is the state of an entry.
type state uint8

const (
	stateInFlight state = iota
	stateCompleted
	stateOutcomeUnknown
)

// entryID is the map key of an entry.
type entryID struct {
	customer decision.CustomerID
	key      string
}

// entry is one key of one customer.
type entry struct {
	id          entryID
	customer    *customer
	fingerprint Fingerprint
	state       state
	bytes       int // memory accounted for it, in bytes
	expiresAt   time.Duration
	timer       timerwheel.Timer[*timerTarget]
	timerTarget timerTarget

	responseStored   bool // in stateCompleted: response is set
	responseRecorded bool // in stateInFlight: the response is in the log, but not sent to any client yet
	response         Response

	waiters        *Ticket // circular list; nil: empty
	older, younger *entry  // neighbours among the customer's evictable entries
	slot           journal.Slot[Entry]
}

// timerTarget is the object of a timer: an entry that expires, or a ticket whose deadline passes.
type timerTarget struct {
	entry  *entry
	ticket *Ticket
}

// New returns an empty Store with its clock at now.
func New(l Limits, now time.Duration) *Store {
	return &Store{
		limits:    l.withDefaults(),
		now:       now,
		entries:   map[entryID]*entry{},
		customers: map[decision.CustomerID]*customer{},
		timers:    timerwheel.New[*timerTarget](timerResolution, now),
	}
}

// Len returns the number of keys held.
func (s *Store) Len() int { return len(s.entries) }

// Waiting returns the number of tickets whose requests have not ended: requests that proceeded and
// whose clients are still connected, and requests that joined.
func (s *Store) Waiting() int { return s.waiting }

// Bytes returns the accounted memory of all entries, in bytes.
func (s *Store) Bytes() int { return s.bytes }

// Customers returns the number of customers that have entries.
func (s *Store) Customers() int { return len(s.customers) }

// Next returns the time by which Tick must be called. ok is false if no timer is set.
func (s *Store) Next() (at time.Duration, ok bool) { return s.timers.Next() }

// Tick removes expired keys and ends waiting requests whose deadline has passed. As with the other
// methods, the returned slice is valid until the next call.
func (s *Store) Tick(now time.Duration) []Completion {
	s.advance(now)
	return s.completions
}

// advance sets the clock and fires the timers that are due. Each exported method that returns
// completions begins with it.
func (s *Store) advance(now time.Duration) {
	s.now, s.completions = max(s.now, now), s.completions[:0]
	s.timers.Advance(s.now, func(t *timerwheel.Timer[*timerTarget]) {
		target := t.Value
		if target.ticket == nil {
			s.removeEntry(target.entry)
			return
		}
		s.removeWaiter(target.ticket)
		s.complete(target.ticket, Decision{Verdict: DeadlineExceeded})
	})
}

// complete adds a completion for a ticket that was removed from its entry's waiters.
func (s *Store) complete(t *Ticket, d Decision) {
	s.completions = append(s.completions, Completion{t.tag, d})
}

// addEntry adds an entry in flight. The caller accounts its memory with addBytes.
func (s *Store) addEntry(c *customer, key string, fingerprint Fingerprint) *entry {
	e := &entry{id: entryID{c.id, key}, customer: c, fingerprint: fingerprint}
	e.timerTarget.entry = e
	e.timer.Value = &e.timerTarget
	e.slot.Value = Entry{e}
	s.entries[e.id] = e
	return e
}

// removeEntry removes an entry, and its customer's account if that was its last entry.
func (s *Store) removeEntry(e *entry) {
	if e.state != stateInFlight {
		e.customer.removeEvictable(e)
	}
	s.timers.Remove(&e.timer)
	e.slot.Drop()
	delete(s.entries, e.id)
	s.addBytes(e, -e.bytes)
	s.releaseCustomer(e.customer)
}
