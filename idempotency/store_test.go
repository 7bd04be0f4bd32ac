package idempotency

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"pumicecroft/decision"
)

// floodTest is a store with a small memory budget, used by one flooding customer and by others.
type floodTest struct {
	t        *testing.T
	store    *Store
	now      time.Duration
	verdicts map[Verdict]int // of the flooding customer
}

const (
	floodBytes      = 1 << 20 // the store's budget
	floodRequests   = 100_000
	otherCustomers  = 20
	keysPerCustomer = 30
)

// request begins a request with a key, completes it if it proceeds and complete is set, and checks that the
// store is within its budget.
func (f *floodTest) request(who decision.CustomerID, key string, complete bool) Verdict {
	f.t.Helper()
	d, _ := f.store.Begin(f.now, who, key, Fingerprint{}, nil, f.now+time.Hour)
	if d.Verdict == Proceed && complete {
		f.store.Complete(f.now, d.Ticket, Succeeded, Response{Status: 200, Body: make([]byte, 300)})
	}
	if f.store.Bytes() > floodBytes {
		f.t.Fatalf("the store has %d bytes, limit %d", f.store.Bytes(), floodBytes)
	}
	return d.Verdict
}

// otherRequest makes request number n of the other customers.
func (f *floodTest) otherRequest(n int) Verdict {
	f.t.Helper()
	return f.request(decision.CustomerID(2+n%otherCustomers), fmt.Sprint("o", n/otherCustomers), true)
}

// flood makes the flooding customer's requests, and those of the other customers in between. It returns the
// number of the latter.
func (f *floodTest) flood(complete bool) (others int) {
	f.t.Helper()
	for i := range floodRequests {
		f.now += 10 * time.Microsecond
		f.verdicts[f.request(1, fmt.Sprint("f", i), complete)]++
		if i%100 == 99 && others < otherCustomers*keysPerCustomer {
			if v := f.otherRequest(others); v != Proceed {
				f.t.Fatalf("another customer's request %d: verdict %v, want %v", others, v, Proceed)
			}
			others++
		}
	}
	return others
}

// One customer floods the store, with requests that complete or that stay in flight. It must evict its own
// entries, the oldest first, and never another customer's nor any in flight. The store must stay within its
// budget after each request, and requests of other customers must proceed.
func TestStore_FloodingCustomerEvictsOnlyItself(t *testing.T) {
	for _, c := range []struct {
		name     string
		complete bool
	}{
		{"completed requests", true},
		{"requests in flight", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := &floodTest{t: t, store: New(Limits{MaxBytes: floodBytes, MaxResponseBytes: 1 << 10}, 0),
				verdicts: map[Verdict]int{}}
			others := f.flood(c.complete)
			for i := range others {
				if v := f.otherRequest(i); v != Replay {
					t.Errorf("another customer's key %d: verdict %v, want %v", i, v, Replay)
				}
			}
			proceeded, busy := f.verdicts[Proceed], f.verdicts[Busy]
			if c.complete != (busy == 0) || others != otherCustomers*keysPerCustomer ||
				c.complete && f.request(1, "f99999", true) != Replay {
				t.Errorf("flooding customer: %d requests proceeded, %d busy (busy wanted: %v); %d requests of others, want %d",
					proceeded, busy, !c.complete, others, otherCustomers*keysPerCustomer)
			}
			if !c.complete && (proceeded == 0 || f.store.inFlightBytes > floodBytes/2+entryOverhead) {
				t.Errorf("%d bytes in flight of %d requests, want at most %d", f.store.inFlightBytes, proceeded,
					floodBytes/2+entryOverhead)
			}
			t.Logf("%d proceeded, %d busy, %d keys in %d bytes", proceeded, busy, f.store.Len(), f.store.Bytes())
		})
	}
}

// The only customer has a single entry, which is evicted to make room for its next one. The customer's account
// must not be removed with it.
func TestStore_CustomerSurvivesEvictionOfItsOnlyEntry(t *testing.T) {
	s := New(Limits{MaxBytes: 1400}, 0)
	for i := range 5 {
		d, _ := s.Begin(0, 1, fmt.Sprint(i), Fingerprint{}, nil, time.Second)
		if d.Verdict != Proceed {
			t.Fatalf("request %d: verdict %v, want %v", i, d.Verdict, Proceed)
		}
		s.Complete(0, d.Ticket, Succeeded, Response{Body: make([]byte, 700)})
		if s.Len() != 1 || s.Customers() != 1 || s.Bytes() > 1400 || len(s.evictionOrder) != 1 {
			t.Errorf("request %d: %d keys and %d customers (%d in the heap), want 1; %d bytes, want at most 1400", i,
				s.Len(), s.Customers(), len(s.evictionOrder), s.Bytes())
		}
	}
}

const ms = time.Millisecond

// beginLeaderAndWaiter begins a request and one that joins it, with deadlines at 5 ms. TTL and UnknownTTL are
// 10 ms.
func beginLeaderAndWaiter() (s *Store, leader, joined *Ticket) {
	s = New(Limits{TTL: 10 * ms, UnknownTTL: 10 * ms}, 0)
	first, _ := s.Begin(0, 1, "k", Fingerprint{}, "first", 5*ms)
	second, _ := s.Begin(0, 1, "k", Fingerprint{}, "second", 5*ms)
	return s, first.Ticket, second.Ticket
}

func describeCompletions(completions []Completion) (out string) {
	for _, c := range completions {
		out += fmt.Sprintf("%v:%v ", c.Tag, c.Verdict)
	}
	return strings.TrimSpace(out)
}

// A response arrives at the instant of a deadline, and a request at the instant of an expiry. The deadline and
// the expiry come first, and no request may be completed twice.
func TestStore_EventsAtTheSameInstant(t *testing.T) {
	s, leader, _ := beginLeaderAndWaiter()
	if got := describeCompletions(s.Complete(5*ms-1, leader, Succeeded, Response{})); got != "first:replay second:replay" {
		t.Errorf("completions just before the deadline: %s, want first:replay second:replay", got)
	}
	s, leader, joined := beginLeaderAndWaiter()
	if got := describeCompletions(s.Complete(5*ms, leader, Succeeded, Response{})); got != "second:late first:replay" {
		t.Errorf("completions at the deadline: %s, want second:late first:replay", got)
	}
	if unwanted, completions := s.Abandon(5*ms, joined); unwanted || len(completions) > 0 {
		t.Errorf("Abandon of a completed request returned %v, %v; want false and no completions", unwanted, completions)
	}
	if d, _ := s.Begin(15*ms-1, 1, "k", Fingerprint{}, nil, 0); d.Verdict != Replay {
		t.Errorf("just before the expiry: verdict %v, want %v", d.Verdict, Replay)
	}
	if d, _ := s.Begin(15*ms, 1, "k", Fingerprint{}, nil, 0); d.Verdict != Proceed {
		t.Errorf("at the expiry: verdict %v, want %v", d.Verdict, Proceed)
	}
}

// The client of the leader disconnects, then that of the request that joined it. Only then is the execution
// unwanted. A repeated request still joins the execution and gets its response.
func TestStore_RepeatJoinsAbandonedExecution(t *testing.T) {
	s, leader, joined := beginLeaderAndWaiter()
	if unwanted, _ := s.Abandon(ms, leader); unwanted {
		t.Errorf("Abandon of the leader returned unwanted = %v while another request waits, want false", unwanted)
	}
	if unwanted, _ := s.Abandon(ms, joined); !unwanted {
		t.Errorf("Abandon of the last waiting request returned unwanted = %v, want true", unwanted)
	}
	if d, _ := s.Begin(2*ms, 1, "k", Fingerprint{}, "third", 9*ms); d.Verdict != Join {
		t.Errorf("verdict for the repeated request: %v, want %v", d.Verdict, Join)
	}
	if got := describeCompletions(s.Complete(8*ms, leader, Succeeded, Response{})); got != "third:replay" {
		t.Errorf("completions: %s, want third:replay", got)
	}
	// A clock that steps back neither expires a key nor extends its life.
	if s.Tick(0); s.Len() != 1 {
		t.Errorf("%d keys after the clock stepped back, want 1", s.Len())
	}
	if s.Tick(18 * ms); s.Len() != 0 {
		t.Errorf("%d keys after the expiry, want 0", s.Len())
	}
}
