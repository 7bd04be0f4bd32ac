package idempotency

import (
	"time"

	"pumicecroft/decision"
	"pumicecroft/internal/journal"
	"pumicecroft/internal/timerwheel"
)

// timerResolution is how finely expiry times and deadlines are told apart.
const timerResolution = time.Millisecond

// Store holds the entries of all keys. The package comment says who may call it.
type Store struct {
	limits    Limits
	now       time.Duration
	entries   map[entryID]*entry
	customers map[decision.CustomerID]*customer
	timers    *timerwheel.Wheel[*timerTarget]
	waiting   int // tickets without an end

	evictionOrder customerHeap // all customers, the one with the most evictable bytes first
	inFlightBytes int
	bytes         int // of all entries

	completions []Completion // result of the running call; reused by the next

	log         *journal.Log[Entry] // nil: entries are kept in memory only
	epoch       time.Duration       // Unix time at the store's time 0
	interrupted []*entry            // were in flight when the restored log ended
	recordBuf   []byte              // encodeRecord's buffer
}

// Entry identifies what all requests with one key share, for a caller that tracks requests in
// flight. It is comparable.
type Entry struct{ e *entry }

// state is the state of an entry.
type state uint8

const (
	stateInFlight state = iota
	stateCompleted
	stateUnknown
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
	cost        int // bytes of memory that it accounts for
	expiresAt   time.Duration
	timer       timerwheel.Timer[*timerTarget]
	target      timerTarget

	responseStored   bool // in stateCompleted: response is set
	responseRecorded bool // in stateInFlight: the log has the response, no client has it yet
	response         Response

	waiters        *Ticket // ring; nil: nobody waits
	older, younger *entry  // neighbours among the customer's evictable entries
	slot           journal.Slot[Entry]
}

// timerTarget is what a timer fires for: the expiry of an entry, or the deadline of a ticket.
type timerTarget struct {
	entry  *entry
	ticket *Ticket
}

// New returns an empty Store whose clock stands at now.
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

// Waiting returns the number of tickets without an end: requests that proceeded and whose clients
// are still connected, and requests that joined.
func (s *Store) Waiting() int { return s.waiting }

// Bytes returns the accounted cost of all entries.
func (s *Store) Bytes() int { return s.bytes }

// Customers returns the number of customers that have entries.
func (s *Store) Customers() int { return len(s.customers) }

// Next returns the time at which Tick must be called at the latest. ok is false if no timer is set.
func (s *Store) Next() (at time.Duration, ok bool) { return s.timers.Next() }

// Tick removes expired keys and ends requests that waited past their deadline. As with the other
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

// complete adds the end of a ticket that was removed from its entry's waiters.
func (s *Store) complete(t *Ticket, d Decision) {
	s.completions = append(s.completions, Completion{t.tag, d})
}

// addEntry adds an entry in flight. Its cost is still to be added.
func (s *Store) addEntry(c *customer, key string, fingerprint Fingerprint) *entry {
	e := &entry{id: entryID{c.id, key}, customer: c, fingerprint: fingerprint}
	e.target.entry = e
	e.timer.Value = &e.target
	e.slot.Value = Entry{e}
	s.entries[e.id] = e
	return e
}

// removeEntry removes an entry, and its customer if that was the last one.
func (s *Store) removeEntry(e *entry) {
	if e.state != stateInFlight {
		e.customer.removeEvictable(e)
	}
	s.timers.Remove(&e.timer)
	e.slot.Drop()
	delete(s.entries, e.id)
	s.addCost(e, -e.cost)
	s.releaseCustomer(e.customer)
}
