package idempotency

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"pumicecroft/decision"
)

// modelKey is the model's state of one key.
type modelKey struct {
	fingerprint Fingerprint
	state       state
	response    Response
	expiresAt   time.Duration
	leader      *Ticket
	deadlines   map[int]time.Duration // of waiting requests, by tag; 0 for the leader, which has none
}

// model is a simple reference implementation of a store without a memory limit, and the store under test.
type model struct {
	limits Limits
	store  *Store
	now    time.Duration

	keys     map[entryID]*modelKey
	lastTag  int
	tickets  map[int]*Ticket
	waiting  map[int]bool // tags whose completion is still to come
	verdicts map[Verdict]int
}

// expire removes what has expired by now from the model, and returns the completions that the store must return.
func (m *model) expire() map[int]Verdict {
	due := map[int]Verdict{}
	for id, k := range m.keys {
		for tag, deadline := range k.deadlines {
			if deadline > 0 && deadline <= m.now {
				due[tag] = DeadlineExceeded
				delete(k.deadlines, tag)
			}
		}
		if k.state != stateInFlight && k.expiresAt <= m.now {
			delete(m.keys, id)
		}
	}
	return due
}

// checkCompletions compares the completions that a call returned with those that it must return.
func (m *model) checkCompletions(t *rapid.T, completions []Completion, want map[int]Verdict) {
	t.Helper()
	got := map[int]Verdict{}
	for _, c := range completions {
		tag := c.Tag.(int)
		if !m.waiting[tag] {
			t.Fatalf("completion for tag %d with verdict %v, which is not waiting", tag, c.Verdict)
		}
		delete(m.waiting, tag)
		got[tag] = c.Verdict
		m.verdicts[c.Verdict]++
	}
	if !maps.Equal(got, want) {
		t.Fatalf("verdicts of completions by tag: %v, want %v", got, want)
	}
}

// verdict returns the expected verdict for a request with a key. k is the key's state, nil if it has none.
func (m *model) verdict(key string, k *modelKey, fingerprint Fingerprint) Verdict {
	switch {
	case !isValidKey(key):
		return InvalidKey
	case k == nil:
		return Proceed
	case k.fingerprint != fingerprint:
		return Conflict
	case k.state == stateInFlight:
		return Join
	case k.state == stateOutcomeUnknown:
		return OutcomeUnknown
	case len(k.response.Body) > m.limits.MaxResponseBytes:
		return ResponseNotStored
	}
	return Replay
}

func (m *model) begin(t *rapid.T) {
	id := entryID{
		customer: decision.CustomerID(rapid.IntRange(1, 2).Draw(t, "customer")),
		key:      rapid.SampledFrom([]string{"a", "b", "", "\x01", strings.Repeat("k", 256)}).Draw(t, "key"),
	}
	fingerprint := Fingerprint{byte(rapid.IntRange(0, 9).Draw(t, "fingerprint") / 9)}
	deadline := m.now + time.Duration(rapid.IntRange(1, 40).Draw(t, "timeout"))*time.Millisecond
	due := m.expire()
	m.lastTag++
	d, completions := m.store.Begin(m.now, id.customer, id.key, fingerprint, m.lastTag, deadline)
	m.checkCompletions(t, completions, due)
	m.verdicts[d.Verdict]++
	k := m.keys[id]
	want := m.verdict(id.key, k, fingerprint)
	switch {
	case d.Verdict != want,
		want == Replay && string(d.Response.Body) != string(k.response.Body),
		want == OutcomeUnknown && d.RetryAfter != k.expiresAt-m.now,
		(d.Ticket != nil) != (want == Proceed || want == Join):
		t.Fatalf("Begin returned %+v, want verdict %v", d, want)
	}
	switch want {
	case Proceed:
		m.keys[id] = &modelKey{fingerprint: fingerprint, leader: d.Ticket,
			deadlines: map[int]time.Duration{m.lastTag: 0}}
	case Join:
		k.deadlines[m.lastTag] = deadline
	default:
		return
	}
	m.tickets[m.lastTag], m.waiting[m.lastTag] = d.Ticket, true
}

func (m *model) abandon(t *rapid.T) {
	if len(m.waiting) == 0 {
		t.Skip("no request is waiting")
	}
	tag := rapid.SampledFrom(slices.Sorted(maps.Keys(m.waiting))).Draw(t, "tag")
	due := m.expire()
	unwanted, completions := m.store.Abandon(m.now, m.tickets[tag])
	m.checkCompletions(t, completions, due)
	if !m.waiting[tag] {
		return // its deadline had passed
	}
	delete(m.waiting, tag)
	want := false
	for _, k := range m.keys {
		if _, waits := k.deadlines[tag]; waits {
			delete(k.deadlines, tag)
			want = len(k.deadlines) == 0
		}
	}
	if unwanted != want {
		t.Fatalf("Abandon returned unwanted = %v, want %v", unwanted, want)
	}
	if again, _ := m.store.Abandon(m.now, m.tickets[tag]); again {
		t.Fatalf("second Abandon of a ticket returned unwanted = %v, want false", again)
	}
}

// inFlight returns the keys in flight, sorted.
func (m *model) inFlight() []entryID {
	var ids []entryID
	for id, k := range m.keys {
		if k.state == stateInFlight {
			ids = append(ids, id)
		}
	}
	slices.SortFunc(ids, func(a, b entryID) int {
		return cmp.Or(cmp.Compare(a.customer, b.customer), strings.Compare(a.key, b.key))
	})
	return ids
}

func (m *model) complete(t *rapid.T) {
	inFlight := m.inFlight()
	if len(inFlight) == 0 {
		t.Skip("no request is in flight")
	}
	id := rapid.SampledFrom(inFlight).Draw(t, "key")
	k, outcome := m.keys[id], Outcome(rapid.IntRange(0, 2).Draw(t, "outcome"))
	want := m.expire()
	size := rapid.SampledFrom([]int{0, 10, 11}).Draw(t, "size")
	response := Response{Status: 200, Body: make([]byte, size)}
	verdict := map[Outcome]Verdict{Succeeded: Replay, NotExecuted: Rejected, Unknown: OutcomeUnknown}[outcome]
	for tag := range k.deadlines {
		want[tag] = verdict
	}
	m.checkCompletions(t, m.store.Complete(m.now, k.leader, outcome, response), want)
	m.checkCompletions(t, m.store.Complete(m.now, k.leader, Unknown, response), nil)
	k.deadlines, k.response = nil, response
	switch outcome {
	case Succeeded:
		k.state, k.expiresAt = stateCompleted, m.now+m.limits.TTL
	case NotExecuted:
		delete(m.keys, id)
	case Unknown:
		k.state, k.expiresAt = stateOutcomeUnknown, m.now+m.limits.UnknownTTL
	}
}

func (m *model) advanceTime(t *rapid.T) {
	m.now += time.Duration(rapid.IntRange(0, 30).Draw(t, "duration")) * time.Millisecond
	m.checkCompletions(t, m.store.Tick(m.now), m.expire())
}

// checkSums compares the store's number of keys and byte totals with its entries.
func (m *model) checkSums(t *rapid.T) {
	bytes, inFlightBytes := 0, 0
	for id, e := range m.store.entries {
		if m.keys[id] == nil {
			t.Fatalf("the store holds key %v, want it removed", id)
		}
		bytes += e.bytes
		if e.state == stateInFlight {
			inFlightBytes += e.bytes
		}
	}
	s := m.store
	if s.Len() != len(m.keys) || s.Bytes() != bytes || s.inFlightBytes != inFlightBytes ||
		len(s.evictionOrder) != s.Customers() {
		t.Fatalf("%d keys, want %d; %d bytes, want %d; %d bytes in flight, want %d; %d customers in the heap, want %d",
			s.Len(), len(m.keys), s.Bytes(), bytes, s.inFlightBytes, inFlightBytes, len(s.evictionOrder), s.Customers())
	}
}

// checkEmptyAfterExpiry completes all requests, lets all keys expire, and checks that the store is empty.
func (m *model) checkEmptyAfterExpiry(t *rapid.T) {
	for id, k := range m.keys {
		if k.state == stateInFlight {
			m.store.Complete(m.now, k.leader, NotExecuted, Response{})
			delete(m.keys, id)
		}
	}
	s := m.store
	s.Tick(m.now + time.Hour)
	if s.Len() != 0 || s.Bytes() != 0 || s.Customers() != 0 || s.timers.Len() != 0 || s.inFlightBytes != 0 {
		t.Fatalf("%d keys, %d bytes, %d customers, %d timers, %d bytes in flight, want 0 of each", s.Len(), s.Bytes(),
			s.Customers(), s.timers.Len(), s.inFlightBytes)
	}
}

// Requests begin, end and are abandoned in random order and at random times, with enough memory. The store
// must return the verdicts of the model, each waiting request must be completed exactly once, and the store
// must be empty when all keys have expired.
func TestStore_AgainstModel(t *testing.T) {
	verdicts := map[Verdict]int{}
	rapid.Check(t, func(t *rapid.T) {
		limits := Limits{TTL: 50 * time.Millisecond, UnknownTTL: 20 * time.Millisecond, MaxResponseBytes: 10,
			RetryAfter: time.Second}
		m := &model{limits: limits, store: New(limits, time.Second), now: time.Second, keys: map[entryID]*modelKey{},
			tickets: map[int]*Ticket{}, waiting: map[int]bool{}, verdicts: verdicts}
		t.Repeat(map[string]func(*rapid.T){
			"begin":    m.begin,
			"abandon":  m.abandon,
			"complete": m.complete,
			"wait":     m.advanceTime,
			"":         m.checkSums,
		})
		m.checkEmptyAfterExpiry(t)
	})
	for v := range DeadlineExceeded + 1 {
		if v != Busy && verdicts[v] == 0 {
			t.Errorf("verdict %v was never returned", v)
		}
	}
}
