// Package keys settles what becomes of requests that bring an idempotency key: whether one goes on, waits for the answer of
// another that is on its way, is given an answer that was given before, or is refused as conflicting or undecided. It keeps what
// that takes in a budget of bytes that is fair by customer.
//
// The package is pure: events and times in, decisions out. It does no I/O, reads no clock, takes no lock and starts no goroutine;
// a Store is owned by its driver, which lets one caller in at a time. Times are durations on one clock; one before an earlier
// one counts as that, so that a clock that jumps back expires nothing twice.
package keys

import (
	"container/heap"
	"time"

	"pumicecroft/decision"
	"pumicecroft/internal/journal"
	"pumicecroft/internal/wheel"
)

// MaxKey is the most bytes that a key may have.
const MaxKey = 255

// Digest tells requests apart that bring the same key: a keyed digest of method, path, class and body, the caller's to make.
type Digest [16]byte

// Answer is an answer as it was given, and is given again.
type Answer struct {
	Status      int
	ContentType string
	Body        []byte // not to be changed
}

// Verdict is what becomes of a request.
type Verdict uint8

// The verdicts.
const (
	// Pass: it goes on. Its Ticket is owed one call of Ended.
	Pass Verdict = iota
	// Join: one with its key is on its way; it waits for that one's end, until its own time is up or it leaves.
	Join
	// Replay: it is given Answer, which its key's request was given.
	Replay
	// Done: its key's request was answered well, and the answer was too large to be kept.
	Done
	// Conflict: its key belongs to another request: other method, path, class or body.
	Conflict
	// Undecided: its key's request may have run, and what came of it is not known. Trying again before RetryAfter is over is
	// answered alike; later the key is forgotten, and nothing is promised any more.
	Undecided
	// Busy: its customer has as much in flight as it may, or there is no room that is not others'. Trying again after RetryAfter is harmless.
	Busy
	// BadKey: the key is empty, too long, or has bytes that a key must not have.
	BadKey
	// Refused: the request that it waited for has provably never run. Trying again is harmless.
	Refused
	// Late: its time is up before the one that it waited for has ended.
	Late
)

// String is the verdict's name.
func (v Verdict) String() string {
	return [...]string{"pass", "join", "replay", "done", "conflict", "undecided", "busy", "bad key", "refused", "late"}[v]
}

// Limits bound a Store. What is 0 takes the default.
type Limits struct {
	Bytes      int           // of all entries together, by Cost; 64 MiB
	MostAnswer int           // bytes of an answer that is kept, its type among them; 64 KiB, 8 MiB at the most
	Keep       time.Duration // for how long an answer is given again; 24 h
	KeepDoubt  time.Duration // for how long a key whose request may have run is undecided; Keep
	Advice     time.Duration // RetryAfter of Busy and Refused; 1 s
}

func (l Limits) withDefaults() Limits {
	if l.Bytes <= 0 {
		l.Bytes = 64 << 20
	}
	if l.MostAnswer <= 0 {
		l.MostAnswer = 64 << 10
	}
	l.MostAnswer = min(l.MostAnswer, mostAnswer)
	if l.Keep <= 0 {
		l.Keep = 24 * time.Hour
	}
	if l.KeepDoubt <= 0 {
		l.KeepDoubt = l.Keep
	}
	if l.Advice <= 0 {
		l.Advice = time.Second
	}
	return l
}

// Decision is what becomes of one request.
type Decision struct {
	Verdict    Verdict
	Ticket     *Ticket // of Pass and Join
	Answer     Answer  // of Replay
	RetryAfter time.Duration
}

// Given is the end of one that waited.
type Given struct {
	Tag any // what Ask was given
	Decision
}

// End is how a request that went on ended.
type End uint8

// The ends.
const (
	Answered End = iota // well: it ran, and its answer is its key's from now on
	NeverRan            // provably: refused, or no attempt ever left
	Doubt               // it may have run
)

// Entry is what all requests of one key share, for a driver to know what is in flight by. It is comparable.
type Entry struct{ e *entry }

// Entry is the ticket's.
func (t *Ticket) Entry() Entry { return Entry{t.entry} }

// Ticket is one request that the Store waits with: one that went on, or waits for one.
type Ticket struct {
	tag   any
	entry *entry
	first bool
	timer wheel.Timer[*item]
	item  item
	next  *Ticket // of those that wait with it
	prev  *Ticket
	seq   uint64 // of the record that its entry is in flight
}

type state uint8

const (
	inFlight state = iota
	answered
	doubtful
)

// name is what an entry is found by.
type name struct {
	customer decision.CustomerID
	key      string
}

// entry is one key of one customer.
type entry struct {
	name     name
	owner    *customer
	digest   Digest
	state    state
	kept     bool // of answered: the answer is here
	answer   Answer
	cost     int
	waiting  *Ticket // a ring; nil: nobody waits
	timer    wheel.Timer[*item]
	item     item
	older    *entry // among its owner's that may be evicted
	younger  *entry
	expireAt time.Duration
	answers  bool // of one in flight: it has its answer, which its log is to have before anybody does
	slot     journal.Slot[Entry]
}

// item is what a timer is for.
type item struct {
	entry  *entry
	ticket *Ticket
}

// customer is one that has entries.
type customer struct {
	id             decision.CustomerID
	flight, stored int    // bytes of what is in flight, and of what may be evicted
	oldest, newest *entry // of the latter
	index          int    // in the heap
	asks           bool   // room is made for it: it stays, whatever of it makes room
}

// The cost of an entry beside its key and answer, and of one that waits, in bytes of memory: what the benchmark measures, rounded up.
const (
	entryCost  = 496
	ticketCost = 192
)

// Store holds keys. See the package's comment for who may call it.
type Store struct {
	limits    Limits
	now       time.Duration
	entries   map[name]*entry
	customers map[decision.CustomerID]*customer
	most      byStored // customers, the one with the most bytes that may be evicted first
	wheel     *wheel.Wheel[*item]
	flight    int // bytes in flight
	bytes     int // all
	waiting   int
	given     []Given
	log       *journal.Log[Entry] // nil: nothing is logged
	epoch     time.Duration       // Unix time at the store's time 0
	undecided []*entry            // that were in flight when the log was last written
	rec       []byte
}

// tick is how finely times are told apart.
const tick = time.Millisecond

// New makes an empty one.
func New(l Limits, now time.Duration) *Store {
	return &Store{limits: l.withDefaults(), now: now, entries: map[name]*entry{}, customers: map[decision.CustomerID]*customer{},
		wheel: wheel.New[*item](tick, now)}
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
func (s *Store) Next() (at time.Duration, ok bool) { return s.wheel.Next() }

// Tick lets what has come due happen: keys are forgotten, and who has waited for too long is given Late. What it returns, as of
// the other methods, is good until the next call.
func (s *Store) Tick(now time.Duration) []Given {
	s.begin(now)
	return s.given
}

func (s *Store) begin(now time.Duration) {
	s.now, s.given = max(s.now, now), s.given[:0]
	s.wheel.Advance(s.now, func(t *wheel.Timer[*item]) {
		switch it := t.Value; {
		case it.ticket != nil:
			s.part(it.ticket)
			s.given = append(s.given, Given{it.ticket.tag, Decision{Verdict: Late}})
		default:
			s.forget(it.entry)
		}
	})
}

// goodKey tells whether a key is one: visible ASCII and spaces, as the draft's structured string is.
func goodKey(key string) bool {
	for i := range len(key) {
		if key[i] < ' ' || key[i] > '~' {
			return false
		}
	}
	return len(key) > 0 && len(key) <= MaxKey
}

// Ask says what becomes of a request. tag names it in what Tick and Ended give; it is answered by until, if it waits.
func (s *Store) Ask(now time.Duration, who decision.CustomerID, key string, digest Digest, tag any, until time.Duration) (Decision, []Given) {
	s.begin(now)
	if !goodKey(key) {
		return Decision{Verdict: BadKey}, s.given
	}
	e := s.entries[name{who, key}]
	switch {
	case e == nil:
		return s.pass(who, key, digest, tag), s.given
	case e.digest != digest:
		return Decision{Verdict: Conflict}, s.given
	case e.state == answered && e.kept:
		return Decision{Verdict: Replay, Answer: e.answer}, s.given
	case e.state == answered:
		return Decision{Verdict: Done}, s.given
	case e.state == doubtful:
		return Decision{Verdict: Undecided, RetryAfter: e.expireAt - s.now}, s.given
	}
	if !s.admits(e.owner, ticketCost) || !s.room(e.owner, ticketCost) {
		return Decision{Verdict: Busy, RetryAfter: s.limits.Advice}, s.given
	}
	t := &Ticket{tag: tag, entry: e}
	s.join(t)
	s.charge(e, ticketCost)
	t.item.ticket = t
	t.timer.Value = &t.item
	s.wheel.Add(&t.timer, until)
	return Decision{Verdict: Join, Ticket: t}, s.given
}

// pass takes a new key in.
func (s *Store) pass(who decision.CustomerID, key string, digest Digest, tag any) Decision {
	c := s.customer(who)
	cost := entryCost + ticketCost + len(key)
	c.asks = true
	has := s.admits(c, cost) && s.room(c, cost)
	c.asks = false
	if !has {
		s.letGo(c)
		return Decision{Verdict: Busy, RetryAfter: s.limits.Advice}
	}
	e := s.enter(c, key, digest)
	s.charge(e, cost)
	t := &Ticket{tag: tag, entry: e, first: true}
	s.join(t)
	t.seq = s.logs(e)
	return Decision{Verdict: Pass, Ticket: t}
}

// customer gives a customer, who is not forgotten before letGo.
func (s *Store) customer(who decision.CustomerID) *customer {
	c := s.customers[who]
	if c == nil {
		c = &customer{id: who, index: -1}
		s.customers[who] = c
		heap.Push(&s.most, c)
	}
	return c
}

// enter makes an entry, which costs nothing yet.
func (s *Store) enter(c *customer, key string, digest Digest) *entry {
	e := &entry{name: name{c.id, key}, owner: c, digest: digest}
	e.item.entry = e
	e.timer.Value = &e.item
	e.slot.Value = Entry{e}
	s.entries[e.name] = e
	return e
}

// Leave says that the client of a ticket is gone. nobody tells that none waits for its request any more: what it does then may be
// called off, and its Ended is still owed, of the ticket that passed.
func (s *Store) Leave(now time.Duration, t *Ticket) (nobody bool, given []Given) {
	s.begin(now)
	if t.next == nil { // it has its end
		return false, s.given
	}
	s.part(t)
	return t.entry.state == inFlight && t.entry.waiting == nil, s.given
}

// Ended says how the request of a ticket that passed ended, and gives all that waited for it what comes of that; the ticket's
// own client among them, if it has not left. A second word on one request is passed over.
func (s *Store) Ended(now time.Duration, t *Ticket, end End, a Answer) []Given {
	s.begin(now)
	e := t.entry
	if !t.first || e.state != inFlight || s.entries[e.name] != e {
		return s.given
	}
	d := Decision{Verdict: Undecided, RetryAfter: s.limits.KeepDoubt}
	switch end {
	case Answered:
		d = Decision{Verdict: Replay, Answer: a}
	case NeverRan:
		d = Decision{Verdict: Refused, RetryAfter: s.limits.Advice}
	}
	for e.waiting != nil {
		w := e.waiting
		s.part(w)
		s.given = append(s.given, Given{w.tag, d})
	}
	s.charge(e, -ticketCost) // of the one that passed, whether it has left or not
	if end == NeverRan {
		s.logsNeverRan(e)
		s.forget(e)
		return s.given
	}
	logged := e.answers && end == Answered
	cost, size := e.cost, len(a.Body)+len(a.ContentType)
	s.charge(e, -cost)
	e.state, e.expireAt = doubtful, s.now+s.limits.KeepDoubt
	if end == Answered {
		e.state, e.expireAt = answered, s.now+s.limits.Keep
	}
	s.charge(e, cost)
	e.answers, e.kept, e.answer = false, false, Answer{}
	if end == Answered && s.fits(a) && s.room(e.owner, size) { // it is not evicted for its own answer: not yet
		e.kept, e.answer = true, a
		s.charge(e, size)
	}
	s.retire(e)
	s.wheel.Add(&e.timer, e.expireAt)
	if !logged {
		s.logs(e)
	}
	return s.given
}

// mostAnswer and mostType are what a record has room for.
const (
	mostAnswer = 8 << 20
	mostType   = 1 << 15
)

// fits tells whether an answer may be kept.
func (s *Store) fits(a Answer) bool {
	return len(a.Body)+len(a.ContentType) <= s.limits.MostAnswer && len(a.ContentType) <= mostType
}

// admits tells whether a customer may have so many more bytes in flight: no more than are left to all others then, for whatever
// they begin next. One flooder gets half of the memory, two a third each, and there is always room for one more. That is
// Choudhury and Hahne's dynamic threshold for shared buffers (1998), with their factor at 1.
func (s *Store) admits(c *customer, bytes int) bool {
	return c.flight+bytes <= s.limits.Bytes-s.flight-bytes
}

// room makes room for a customer, or says that there is none. Who holds more than an even share of the memory makes it among its own,
// the oldest first; who holds less takes it from whoever has the most that may be evicted, if that one is over its share.
// What is in flight stays.
func (s *Store) room(c *customer, bytes int) bool {
	for s.bytes+bytes > s.limits.Bytes {
		from, share := c, s.limits.Bytes/max(1, len(s.customers))
		if c.bytes()+bytes <= share {
			if from = s.most[0]; from.bytes() <= share {
				from = c
			}
		}
		if from.oldest == nil {
			return false
		}
		s.forget(from.oldest)
	}
	return true
}

func (c *customer) bytes() int { return c.flight + c.stored }

// charge adds to an entry's cost.
func (s *Store) charge(e *entry, bytes int) {
	e.cost += bytes
	s.bytes += bytes
	if e.state == inFlight {
		e.owner.flight += bytes
		s.flight += bytes
		return
	}
	e.owner.stored += bytes
	heap.Fix(&s.most, e.owner.index)
}

// retire puts an entry that is not in flight any more among those that may be evicted, as the newest.
func (s *Store) retire(e *entry) {
	c := e.owner
	e.older = c.newest
	if c.newest != nil {
		c.newest.younger = e
	} else {
		c.oldest = e
	}
	c.newest = e
}

// forget lets go of an entry.
func (s *Store) forget(e *entry) {
	c := e.owner
	if e.state != inFlight {
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
	s.wheel.Remove(&e.timer)
	e.slot.Drop()
	delete(s.entries, e.name)
	s.charge(e, -e.cost)
	s.letGo(c)
}

// letGo forgets a customer that has no entries.
func (s *Store) letGo(c *customer) {
	if c.bytes() == 0 && !c.asks && c.index >= 0 {
		heap.Remove(&s.most, c.index)
		delete(s.customers, c.id)
	}
}

// join puts a ticket among those that wait for its entry.
func (s *Store) join(t *Ticket) {
	s.waiting++
	if first := t.entry.waiting; first != nil {
		t.next, t.prev = first, first.prev
		first.prev.next, first.prev = t, t
		return
	}
	t.next, t.prev = t, t
	t.entry.waiting = t
}

// part takes it out again, once.
func (s *Store) part(t *Ticket) {
	s.waiting--
	e := t.entry
	if t.next == t {
		e.waiting = nil
	} else {
		t.prev.next, t.next.prev = t.next, t.prev
		if e.waiting == t {
			e.waiting = t.next
		}
	}
	t.next, t.prev = nil, nil
	s.wheel.Remove(&t.timer)
	if !t.first {
		s.charge(e, -ticketCost)
	}
}

// byStored is a heap of customers, the one with the most that may be evicted first; among equals the lower number.
type byStored []*customer

func (h byStored) Len() int { return len(h) }

func (h byStored) Less(i, j int) bool {
	return h[i].stored > h[j].stored || h[i].stored == h[j].stored && h[i].id < h[j].id
}

func (h byStored) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

func (h *byStored) Push(x any) {
	c := x.(*customer)
	c.index = len(*h)
	*h = append(*h, c)
}

func (h *byStored) Pop() any {
	last := len(*h) - 1
	c := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	c.index = -1
	return c
}
