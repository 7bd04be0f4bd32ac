package idempotency

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"pumicecroft/decision"
)

// floodTest is a store with a small budget, used by one customer that floods it and by others.
type floodTest struct {
	t        *testing.T
	store    *Store
	now      time.Duration
	verdicts map[Verdict]int // of the flooder
}

const (
	floodBytes      = 1 << 20 // the store's budget
	floodRequests   = 100_000
	otherCustomers  = 20
	keysPerCustomer = 30
)

// request begins a request with a key, completes it if it proceeds and complete is set, and checks the
// budget.
func (f *floodTest) request(who decision.CustomerID, key string, complete bool) Verdict {
	f.t.Helper()
	d, _ := f.store.Begin(f.now, who, key, Fingerprint{}, nil, f.now+time.Hour)
	if d.Verdict == Proceed && complete {
		f.store.Complete(f.now, d.Ticket, Succeeded, Response{Status: 200, Body: make([]byte, 300)})
	}
	if f.store.Bytes() > floodBytes {
		f.t.Fatalf("%d bytes", f.store.Bytes())
	}
	return d.Verdict
}

// otherRequest is request number n of the other customers.
func (f *floodTest) otherRequest(n int) Verdict {
	f.t.Helper()
	return f.request(decision.CustomerID(2+n%otherCustomers), fmt.Sprint("o", n/otherCustomers), true)
}

// flood makes the flooder's requests, and those of the other customers in between. It returns how many of
// the latter there were.
func (f *floodTest) flood(complete bool) (others int) {
	f.t.Helper()
	for i := range floodRequests {
		f.now += 10 * time.Microsecond
		f.verdicts[f.request(1, fmt.Sprint("f", i), complete)]++
		if i%100 == 99 && others < otherCustomers*keysPerCustomer {
			if v := f.otherRequest(others); v != Proceed {
				f.t.Fatalf("another customer's request %d: %v", others, v)
			}
			others++
		}
	}
	return others
}

// One customer floods the store, with requests that complete or that stay in flight. It must evict its own
// entries, the oldest first, and never another customer's nor any in flight; the budget must hold after
// each request, and other customers must find room.
func TestStore_FloodingCustomerEvictsOnlyItself(t *testing.T) {
	for _, c := range []struct {
		name     string
		complete bool
	}{
		{"of completed requests", true},
		{"of requests in flight", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := &floodTest{t: t, store: New(Limits{MaxBytes: floodBytes, MaxResponseBytes: 1 << 10}, 0),
				verdicts: map[Verdict]int{}}
			others := f.flood(c.complete)
			for i := range others {
				if v := f.otherRequest(i); v != Replay {
					t.Errorf("another customer's key %d: %v", i, v)
				}
			}
			proceeded, busy := f.verdicts[Proceed], f.verdicts[Busy]
			if c.complete != (busy == 0) || others != otherCustomers*keysPerCustomer ||
				c.complete && f.request(1, "f99999", true) != Replay {
				t.Errorf("%d of the flooder's proceeded, %d were busy; %d of others", proceeded, busy, others)
			}
			if !c.complete && (proceeded == 0 || f.store.inFlightBytes > floodBytes/2+entryOverhead) {
				t.Errorf("%d bytes in flight", f.store.inFlightBytes)
			}
			t.Logf("%d proceeded, %d busy, %d keys in %d bytes", proceeded, busy, f.store.Len(), f.store.Bytes())
		})
	}
}

// The only customer has one entry, which is evicted for its next one. The customer's account must survive
// that.
func TestStore_CustomerSurvivesEvictionOfItsOnlyEntry(t *testing.T) {
	s := New(Limits{MaxBytes: 1400}, 0)
	for i := range 5 {
		d, _ := s.Begin(0, 1, fmt.Sprint(i), Fingerprint{}, nil, time.Second)
		if d.Verdict != Proceed {
			t.Fatalf("%d: %v", i, d.Verdict)
		}
		s.Complete(0, d.Ticket, Succeeded, Response{Body: make([]byte, 700)})
		if s.Len() != 1 || s.Customers() != 1 || s.Bytes() > 1400 || len(s.evictionOrder) != 1 {
			t.Errorf("%d: %d keys of %d customers in %d bytes", i, s.Len(), s.Customers(), s.Bytes())
		}
	}
}

const ms = time.Millisecond

// beginTwo begins a request and one that joins it, with deadlines at 5 ms; a key's TTLs are 10 ms.
func beginTwo() (s *Store, leader, joined *Ticket) {
	s = New(Limits{TTL: 10 * ms, UnknownTTL: 10 * ms}, 0)
	first, _ := s.Begin(0, 1, "k", Fingerprint{}, "first", 5*ms)
	second, _ := s.Begin(0, 1, "k", Fingerprint{}, "second", 5*ms)
	return s, first.Ticket, second.Ticket
}

func describe(completions []Completion) (out string) {
	for _, c := range completions {
		out += fmt.Sprintf("%v:%v ", c.Tag, c.Verdict)
	}
	return strings.TrimSpace(out)
}

// A response comes at the instant of a deadline, and a request at the instant of an expiry. Each order must
// have its meaning, and none may end a request twice.
func TestStore_EventsAtTheSameInstant(t *testing.T) {
	s, leader, _ := beginTwo()
	if got := describe(s.Complete(5*ms-1, leader, Succeeded, Response{})); got != "first:replay second:replay" {
		t.Errorf("just before the deadline: %s", got)
	}
	s, leader, joined := beginTwo()
	if got := describe(s.Complete(5*ms, leader, Succeeded, Response{})); got != "second:late first:replay" {
		t.Errorf("at the deadline: %s", got)
	}
	if unwanted, completions := s.Abandon(5*ms, joined); unwanted || len(completions) > 0 {
		t.Error("a request is abandoned after its end")
	}
	if d, _ := s.Begin(15*ms-1, 1, "k", Fingerprint{}, nil, 0); d.Verdict != Replay {
		t.Errorf("just before the expiry: %v", d.Verdict)
	}
	if d, _ := s.Begin(15*ms, 1, "k", Fingerprint{}, nil, 0); d.Verdict != Proceed {
		t.Errorf("at the expiry: %v", d.Verdict)
	}
}

// The client of the leader disconnects, then that of the request that joined. Only then the execution is
// unwanted. A repeat joins it all the same, and gets its late response.
func TestStore_RepeatJoinsAbandonedExecution(t *testing.T) {
	s, leader, joined := beginTwo()
	if unwanted, _ := s.Abandon(ms, leader); unwanted {
		t.Error("unwanted, and the second request waits")
	}
	if unwanted, _ := s.Abandon(ms, joined); !unwanted {
		t.Error("wanted, and nobody waits")
	}
	if d, _ := s.Begin(2*ms, 1, "k", Fingerprint{}, "third", 9*ms); d.Verdict != Join {
		t.Errorf("%v", d.Verdict)
	}
	if got := describe(s.Complete(8*ms, leader, Succeeded, Response{})); got != "third:replay" {
		t.Error(got)
	}
	// A clock that steps back expires nothing, and keeps nothing for longer.
	if s.Tick(0); s.Len() != 1 {
		t.Error("a key expired when the clock stepped back")
	}
	if s.Tick(18 * ms); s.Len() != 0 {
		t.Error("a key is kept for longer")
	}
}
