// Package idempotency settles what becomes of requests that bring an idempotency key: whether one goes on, waits for the answer of
// another that is on its way, is given an answer that was given before, or is refused as conflicting or undecided. It keeps what
// that takes in a budget of bytes that is fair by customer.
//
// The package is pure: events and times in, decisions out. It does no I/O, reads no clock, takes no lock and starts no goroutine;
// a Store is owned by its driver, which lets one caller in at a time. Times are durations on one clock; one before an earlier
// one counts as that, so that a clock that jumps back expires nothing twice.
package idempotency

import (
	"container/heap"
	"time"

	"pumicecroft/decision"
	"pumicecroft/internal/journal"
	"pumicecroft/internal/timerwheel"
)

// MaxKeyBytes is the most bytes that a key may have.
const MaxKeyBytes = 255

// Fingerprint tells requests apart that bring the same key: a keyed digest of method, path, class and body, the caller's to make.
type Fingerprint [16]byte

// Response is an answer as it was given, and is given again.
type Response struct {
	Status      int
	ContentType string
	Body        []byte // not to be changed
}

// Verdict is what becomes of a request.
type Verdict uint8

// The verdicts.
const (
	// Proceed: it goes on. Its Ticket is owed one call of Ended.
	Proceed Verdict = iota
	// Join: one with its key is on its way; it waits for that one's end, until its own time is up or it leaves.
	Join
	// Replay: it is given Answer, which its key's request was given.
	Replay
	// ResponseNotStored: its key's request was answered well, and the answer was too large to be kept.
	ResponseNotStored
	// Conflict: its key belongs to another request: other method, path, class or body.
	Conflict
	// OutcomeUnknown: its key's request may have run, and what came of it is not known. Trying again before RetryAfter is over is
	// answered alike; later the key is forgotten, and nothing is promised any more.
	OutcomeUnknown
	// Busy: its customer has as much in flight as it may, or there is no room that is not others'. Trying again after RetryAfter is harmless.
	Busy
	// InvalidKey: the key is empty, too long, or has bytes that a key must not have.
	InvalidKey
	// Rejected: the request that it waited for has provably never run. Trying again is harmless.
	Rejected
	// DeadlineExceeded: its time is up before the one that it waited for has ended.
	DeadlineExceeded
)

// String is the verdict's name.
func (v Verdict) String() string {
	return [...]string{"pass", "join", "replay", "done", "conflict", "undecided", "busy", "bad key", "refused", "late"}[v]
}

// Limits bound a Store. What is 0 takes the default.
type Limits struct {
	MaxBytes         int           // of all entries together, by Cost; 64 MiB
	MaxResponseBytes int           // bytes of an answer that is kept, its type among them; 64 KiB, 8 MiB at the most
	TTL              time.Duration // for how long an answer is given again; 24 h
	UnknownTTL       time.Duration // for how long a key whose request may have run is undecided; Keep
	RetryAfter       time.Duration // RetryAfter of Busy and Refused; 1 s
}

func (l Limits) withDefaults() Limits {
	if l.MaxBytes <= 0 {
		l.MaxBytes = 64 << 20
	}
	if l.MaxResponseBytes <= 0 {
		l.MaxResponseBytes = 64 << 10
	}
	l.MaxResponseBytes = min(l.MaxResponseBytes, maxStoredResponse)
	if l.TTL <= 0 {
		l.TTL = 24 * time.Hour
	}
	if l.UnknownTTL <= 0 {
		l.UnknownTTL = l.TTL
	}
	if l.RetryAfter <= 0 {
		l.RetryAfter = time.Second
	}
	return l
}

// Decision is what becomes of one request.
type Decision struct {
	Verdict    Verdict
	Ticket     *Ticket  // of Pass and Join
	Response   Response // of Replay
	RetryAfter time.Duration
}

// Completion is the end of one that waited.
type Completion struct {
	Tag any // what Ask was given
	Decision
}

// Outcome is how a request that went on ended.
type Outcome uint8

// The ends.
const (
	Succeeded   Outcome = iota // well: it ran, and its answer is its key's from now on
	NotExecuted                // provably: refused, or no attempt ever left
	Unknown                    // it may have run
)

// Entry is what all requests of one key share, for a driver to know what is in flight by. It is comparable.
type Entry struct{ e *entry }

// Entry is the ticket's.
func (t *Ticket) Entry() Entry { return Entry{t.entry} }

// Ticket is one request that the Store waits with: one that went on, or waits for one.
type Ticket struct {
	tag    any
	entry  *entry
	leader bool
	timer  timerwheel.Timer[*timerTarget]
	target timerTarget
	next   *Ticket // of those that wait with it
	prev   *Ticket
	seq    uint64 // of the record that its entry is in flight
}

type state uint8

const (
	stateInFlight state = iota
	stateCompleted
	stateUnknown
)

// entryID is what an entry is found by.
type entryID struct {
	customer decision.CustomerID
	key      string
}

// entry is one key of one customer.
type entry struct {
	id               entryID
	customer         *customer
	fingerprint      Fingerprint
	state            state
	responseStored   bool // of answered: the answer is here
	response         Response
	cost             int
	waiters          *Ticket // a ring; nil: nobody waits
	timer            timerwheel.Timer[*timerTarget]
	target           timerTarget
	older            *entry // among its owner's that may be evicted
	younger          *entry
	expiresAt        time.Duration
	responseRecorded bool // of one in flight: it has its answer, which its log is to have before anybody does
	slot             journal.Slot[Entry]
}

// timerTarget is what a timer is for.
type timerTarget struct {
	entry  *entry
	ticket *Ticket
}

// customer is one that has entries.
type customer struct {
	id                         decision.CustomerID
	inFlightBytes, storedBytes int    // bytes of what is in flight, and of what may be evicted
	oldest, newest             *entry // of the latter
	heapIndex                  int    // in the heap
	pinned                     bool   // room is made for it: it stays, whatever of it makes room
}

// The cost of an entry beside its key and answer, and of one that waits, in bytes of memory: what the benchmark measures, rounded up.
const (
	entryOverhead  = 496
	ticketOverhead = 192
)

// Store holds keys. See the package's comment for who may call it.
type Store struct {
	limits        Limits
	now           time.Duration
	entries       map[entryID]*entry
	customers     map[decision.CustomerID]*customer
	evictionOrder customerHeap // customers, the one with the most bytes that may be evicted first
	timers        *timerwheel.Wheel[*timerTarget]
	inFlightBytes int // bytes in flight
	bytes         int // all
	waiting       int
	completions   []Completion
	log           *journal.Log[Entry] // nil: nothing is logged
	epoch         time.Duration       // Unix time at the store's time 0
	interrupted   []*entry            // that were in flight when the log was last written
	recordBuf     []byte
}

// timerResolution is how finely times are told apart.
const timerResolution = time.Millisecond

// New makes an empty one.
func New(l Limits, now time.Duration) *Store {
	return &Store{limits: l.withDefaults(), now: now, entries: map[entryID]*entry{}, customers: map[decision.CustomerID]*customer{},
		timers: timerwheel.New[*timerTarget](timerResolution, now)}
}

// Len is how many keys are held, Bytes what they cost, Customers whose they are.
func (s *Store) Len() int { return len(s.entries) }

// Waiting is how many requests have a ticket and no end: those that went on, if their clients have not left, and those that joined.
func (s *Store) Waiting() int { return s.waiting }

// Bytes is what all entries cost together.
func (s *Store) Bytes() int { return s.bytes }

// Customers is how many customers have entries.
func (s *Store) Customers() int { return len(s.customers) }

// Next is when Tick wants to be called at the latest.
func (s *Store) Next() (at time.Duration, ok bool) { return s.timers.Next() }

// Tick lets what has come due happen: keys are forgotten, and who has waited for too long is given Late. What it returns, as of
// the other methods, is good until the next call.
func (s *Store) Tick(now time.Duration) []Completion {
	s.advance(now)
	return s.completions
}

func (s *Store) advance(now time.Duration) {
	s.now, s.completions = max(s.now, now), s.completions[:0]
	s.timers.Advance(s.now, func(t *timerwheel.Timer[*timerTarget]) {
		switch it := t.Value; {
		case it.ticket != nil:
			s.removeWaiter(it.ticket)
			s.completions = append(s.completions, Completion{it.ticket.tag, Decision{Verdict: DeadlineExceeded}})
		default:
			s.removeEntry(it.entry)
		}
	})
}

// isValidKey tells whether a key is one: visible ASCII and spaces, as the draft's structured string is.
func isValidKey(key string) bool {
	for i := range len(key) {
		if key[i] < ' ' || key[i] > '~' {
			return false
		}
	}
	return len(key) > 0 && len(key) <= MaxKeyBytes
}

// Begin says what becomes of a request. tag names it in what Tick and Ended give; it is answered by until, if it waits.
func (s *Store) Begin(now time.Duration, who decision.CustomerID, key string, digest Fingerprint, tag any, until time.Duration) (Decision, []Completion) {
	s.advance(now)
	if !isValidKey(key) {
		return Decision{Verdict: InvalidKey}, s.completions
	}
	e := s.entries[entryID{who, key}]
	switch {
	case e == nil:
		return s.admit(who, key, digest, tag), s.completions
	case e.fingerprint != digest:
		return Decision{Verdict: Conflict}, s.completions
	case e.state == stateCompleted && e.responseStored:
		return Decision{Verdict: Replay, Response: e.response}, s.completions
	case e.state == stateCompleted:
		return Decision{Verdict: ResponseNotStored}, s.completions
	case e.state == stateUnknown:
		return Decision{Verdict: OutcomeUnknown, RetryAfter: e.expiresAt - s.now}, s.completions
	}
	if !s.withinShare(e.customer, ticketOverhead) || !s.makeRoom(e.customer, ticketOverhead) {
		return Decision{Verdict: Busy, RetryAfter: s.limits.RetryAfter}, s.completions
	}
	t := &Ticket{tag: tag, entry: e}
	s.addWaiter(t)
	s.addCost(e, ticketOverhead)
	t.target.ticket = t
	t.timer.Value = &t.target
	s.timers.Add(&t.timer, until)
	return Decision{Verdict: Join, Ticket: t}, s.completions
}

// admit takes a new key in.
func (s *Store) admit(who decision.CustomerID, key string, digest Fingerprint, tag any) Decision {
	c := s.customerFor(who)
	cost := entryOverhead + ticketOverhead + len(key)
	c.pinned = true
	has := s.withinShare(c, cost) && s.makeRoom(c, cost)
	c.pinned = false
	if !has {
		s.releaseCustomer(c)
		return Decision{Verdict: Busy, RetryAfter: s.limits.RetryAfter}
	}
	e := s.addEntry(c, key, digest)
	s.addCost(e, cost)
	t := &Ticket{tag: tag, entry: e, leader: true}
	s.addWaiter(t)
	t.seq = s.appendRecord(e)
	return Decision{Verdict: Proceed, Ticket: t}
}

// customerFor gives a customer, who is not forgotten before letGo.
func (s *Store) customerFor(who decision.CustomerID) *customer {
	c := s.customers[who]
	if c == nil {
		c = &customer{id: who, heapIndex: -1}
		s.customers[who] = c
		heap.Push(&s.evictionOrder, c)
	}
	return c
}

// addEntry makes an entry, which costs nothing yet.
func (s *Store) addEntry(c *customer, key string, digest Fingerprint) *entry {
	e := &entry{id: entryID{c.id, key}, customer: c, fingerprint: digest}
	e.target.entry = e
	e.timer.Value = &e.target
	e.slot.Value = Entry{e}
	s.entries[e.id] = e
	return e
}

// Abandon says that the client of a ticket is gone. nobody tells that none waits for its request any more: what it does then may be
// called off, and its Ended is still owed, of the ticket that passed.
func (s *Store) Abandon(now time.Duration, t *Ticket) (nobody bool, given []Completion) {
	s.advance(now)
	if t.next == nil { // it has its end
		return false, s.completions
	}
	s.removeWaiter(t)
	return t.entry.state == stateInFlight && t.entry.waiters == nil, s.completions
}

// Complete says how the request of a ticket that passed ended, and gives all that waited for it what comes of that; the ticket's
// own client among them, if it has not left. A second word on one request is passed over.
func (s *Store) Complete(now time.Duration, t *Ticket, end Outcome, a Response) []Completion {
	s.advance(now)
	e := t.entry
	if !t.leader || e.state != stateInFlight || s.entries[e.id] != e {
		return s.completions
	}
	d := Decision{Verdict: OutcomeUnknown, RetryAfter: s.limits.UnknownTTL}
	switch end {
	case Succeeded:
		d = Decision{Verdict: Replay, Response: a}
	case NotExecuted:
		d = Decision{Verdict: Rejected, RetryAfter: s.limits.RetryAfter}
	}
	for e.waiters != nil {
		w := e.waiters
		s.removeWaiter(w)
		s.completions = append(s.completions, Completion{w.tag, d})
	}
	s.addCost(e, -ticketOverhead) // of the one that passed, whether it has left or not
	if end == NotExecuted {
		s.appendRemoval(e)
		s.removeEntry(e)
		return s.completions
	}
	logged := e.responseRecorded && end == Succeeded
	cost, size := e.cost, len(a.Body)+len(a.ContentType)
	s.addCost(e, -cost)
	e.state, e.expiresAt = stateUnknown, s.now+s.limits.UnknownTTL
	if end == Succeeded {
		e.state, e.expiresAt = stateCompleted, s.now+s.limits.TTL
	}
	s.addCost(e, cost)
	e.responseRecorded, e.responseStored, e.response = false, false, Response{}
	if end == Succeeded && s.storable(a) && s.makeRoom(e.customer, size) { // it is not evicted for its own answer: not yet
		e.responseStored, e.response = true, a
		s.addCost(e, size)
	}
	s.addEvictable(e)
	s.timers.Add(&e.timer, e.expiresAt)
	if !logged {
		s.appendRecord(e)
	}
	return s.completions
}

// mostAnswer and mostType are what a record has room for.
const (
	maxStoredResponse = 8 << 20
	maxContentType    = 1 << 15
)

// storable tells whether an answer may be kept.
func (s *Store) storable(a Response) bool {
	return len(a.Body)+len(a.ContentType) <= s.limits.MaxResponseBytes && len(a.ContentType) <= maxContentType
}

// withinShare tells whether a customer may have so many more bytes in flight: no more than are left to all others then, for whatever
// they begin next. One flooder gets half of the memory, two a third each, and there is always room for one more. That is
// Choudhury and Hahne's dynamic threshold for shared buffers (1998), with their factor at 1.
func (s *Store) withinShare(c *customer, bytes int) bool {
	return c.inFlightBytes+bytes <= s.limits.MaxBytes-s.inFlightBytes-bytes
}

// makeRoom makes room for a customer, or says that there is none. Who holds more than an even share of the memory makes it among its own,
// the oldest first; who holds less takes it from whoever has the most that may be evicted, if that one is over its share.
// What is in flight stays.
func (s *Store) makeRoom(c *customer, bytes int) bool {
	for s.bytes+bytes > s.limits.MaxBytes {
		from, share := c, s.limits.MaxBytes/max(1, len(s.customers))
		if c.bytes()+bytes <= share {
			if from = s.evictionOrder[0]; from.bytes() <= share {
				from = c
			}
		}
		if from.oldest == nil {
			return false
		}
		s.removeEntry(from.oldest)
	}
	return true
}

func (c *customer) bytes() int { return c.inFlightBytes + c.storedBytes }

// addCost adds to an entry's cost.
func (s *Store) addCost(e *entry, bytes int) {
	e.cost += bytes
	s.bytes += bytes
	if e.state == stateInFlight {
		e.customer.inFlightBytes += bytes
		s.inFlightBytes += bytes
		return
	}
	e.customer.storedBytes += bytes
	heap.Fix(&s.evictionOrder, e.customer.heapIndex)
}

// addEvictable puts an entry that is not in flight any more among those that may be evicted, as the newest.
func (s *Store) addEvictable(e *entry) {
	c := e.customer
	e.older = c.newest
	if c.newest != nil {
		c.newest.younger = e
	} else {
		c.oldest = e
	}
	c.newest = e
}

// removeEntry lets go of an entry.
func (s *Store) removeEntry(e *entry) {
	c := e.customer
	if e.state != stateInFlight {
		if e.older != nil {
			e.older.younger = e.younger
		} else {
			c.oldest = e.younger
		}
		if e.younger != nil {
			e.younger.older = e.older
		} else {
			c.newest = e.older
		}
		e.older, e.younger = nil, nil
	}
	s.timers.Remove(&e.timer)
	e.slot.Drop()
	delete(s.entries, e.id)
	s.addCost(e, -e.cost)
	s.releaseCustomer(c)
}

// releaseCustomer forgets a customer that has no entries.
func (s *Store) releaseCustomer(c *customer) {
	if c.bytes() == 0 && !c.pinned && c.heapIndex >= 0 {
		heap.Remove(&s.evictionOrder, c.heapIndex)
		delete(s.customers, c.id)
	}
}

// addWaiter puts a ticket among those that wait for its entry.
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

// removeWaiter takes it out again, once.
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
		s.addCost(e, -ticketOverhead)
	}
}

// customerHeap is a heap of customers, the one with the most that may be evicted first; among equals the lower number.
type customerHeap []*customer

func (h customerHeap) Len() int { return len(h) }

func (h customerHeap) Less(i, j int) bool {
	return h[i].storedBytes > h[j].storedBytes || h[i].storedBytes == h[j].storedBytes && h[i].id < h[j].id
}

func (h customerHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

func (h *customerHeap) Push(x any) {
	c := x.(*customer)
	c.heapIndex = len(*h)
	*h = append(*h, c)
}

func (h *customerHeap) Pop() any {
	last := len(*h) - 1
	c := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	c.heapIndex = -1
	return c
}
