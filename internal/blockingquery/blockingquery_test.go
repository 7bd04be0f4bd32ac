package blockingquery

import (
	"testing"
	"time"
)

const ms = time.Millisecond

// complete returns the metadata of a complete response.
func complete(index uint64, entries int) Response {
	return Response{Index: index, KnownLeader: true, Entries: entries}
}

// step sends the next query, responds to it after a time, and returns the verdict and the query after it.
func step(l *Loop, now *time.Duration, took time.Duration, response Response) (Verdict, Query) {
	q := l.Next()
	*now = max(*now, q.NotBefore)
	l.Sent(*now)
	*now += took
	v := l.Answered(*now, response)
	return v, l.Next()
}

// Each query must have the index of the last response, so that the server holds it until that changes. After
// an index that went back, or of 0, the next query must have index 0.
func TestIndexIsFollowed(t *testing.T) {
	l := New(Policy{}, 1)
	now := time.Duration(0)
	if q := l.Next(); q.NotBefore != 0 || q.Index != 0 || q.Wait != 10*time.Second || q.Timeout != 12625*ms {
		t.Errorf("first query: got %+v, want it due at once, with index 0, wait 10s and timeout 12.625s", q)
	}
	v, q := step(l, &now, 5*ms, complete(41, 3))
	if !v.Full || v.IndexReset || q.Index != 41 || q.NotBefore != now {
		t.Errorf("first response: got %+v, then query %+v at %v, want full, then a query with index 41 at once", v, q, now)
	}
	if v, q = step(l, &now, 3*time.Second, complete(44, 3)); !v.Full || q.Index != 44 || q.NotBefore != now {
		t.Errorf("changed: got %+v, then query %+v at %v, want full, then a query with index 44 at once", v, q, now)
	}
	if v, q = step(l, &now, 10*time.Second, complete(44, 3)); !v.Full || q.Index != 44 || q.NotBefore != now {
		t.Errorf("held for the whole wait: got %+v, then query %+v at %v, want full, then a query with index 44 at once",
			v, q, now)
	}
	v, q = step(l, &now, time.Second, complete(12, 3))
	if !v.Full || !v.IndexReset || q.Index != 0 || q.NotBefore != now+500*ms {
		t.Errorf("index went back: got %+v, then query %+v at %v, want full and reset, then a query with index 0 after 500ms",
			v, q, now)
	}
	if v, q = step(l, &now, 5*ms, complete(12, 3)); !v.Full || v.IndexReset || q.Index != 12 {
		t.Errorf("after the reset: got %+v, then query %+v, want full without reset, then a query with index 12", v, q)
	}
	if v, q = step(l, &now, 5*ms, complete(0, 3)); !v.Full || v.IndexReset || q.Index != 0 || q.NotBefore != now+500*ms {
		t.Errorf("index 0: got %+v, then query %+v at %v, want full without reset, then a query with index 0 after 500ms",
			v, q, now)
	}
}

// The server does not hold queries, or its data changes all the time. The rate of queries must stay limited.
func TestRateIsBounded(t *testing.T) {
	for name, c := range map[string]struct {
		response   func(i int) Response
		maxQueries int // in a minute
		minQueries int
	}{
		"responds at once":  {func(int) Response { return complete(7, 3) }, 130, 100},
		"index 0":           {func(int) Response { return complete(0, 3) }, 130, 100},
		"always changes":    {func(i int) Response { return complete(uint64(i+1), 3) }, 650, 500},
		"always goes back":  {func(i int) Response { return complete(uint64(100_000-i), 3) }, 130, 100},
		"no leader":         {func(int) Response { return Response{Index: 7} }, 40, 10},
		"loses most always": {func(i int) Response { return complete(uint64(i+1), 10*(i%2)) }, 130, 100},
	} {
		l := New(Policy{}, 3)
		now, n := time.Duration(0), 0
		for ; now < time.Minute; n++ {
			step(l, &now, ms, c.response(n))
		}
		if n > c.maxQueries || n < c.minQueries {
			t.Errorf("%s: %d queries in a minute, want %d to %d", name, n, c.minQueries, c.maxQueries)
		}
	}
}

// Delays after failures must grow, be limited, and differ between gateways.
func TestRetryDelays(t *testing.T) {
	delays := map[time.Duration]bool{}
	for seed := range uint64(20) {
		l := New(Policy{}, seed)
		now := time.Duration(0)
		for i := range 40 {
			l.Sent(now)
			l.Failed(now)
			delay := l.Next().NotBefore - now
			limit := min(5*time.Second, 100*ms<<min(i, 16))
			if delay > limit || delay < limit/2 {
				t.Fatalf("seed %d: delay %d is %v, want %v to %v", seed, i, delay, limit/2, limit)
			}
			if i == 9 {
				delays[delay] = true
			}
			now += delay
		}
		if _, q := step(l, &now, ms, complete(3, 1)); q.NotBefore != now {
			t.Errorf("after a response: got query %+v, want it due at %v", q, now)
		}
		l.Failed(now)
		if delay := l.Next().NotBefore - now; delay > 100*ms {
			t.Errorf("the delay after the first failure since a response is %v, want 100ms at most", delay)
		}
	}
	if len(delays) < 15 {
		t.Errorf("20 gateways have %d different delays, want 15 at least", len(delays))
	}
}

// A query fails after a response with an index. The next query must have index 0: with another, the server holds it
// while nothing changes, and for so long the query counts as failing.
func TestQueryAfterFailureIsNotHeld(t *testing.T) {
	l := New(Policy{}, 1)
	now := time.Duration(0)
	step(l, &now, ms, complete(8, 3))
	l.Sent(now)
	l.Failed(now)
	if q := l.Next(); q.Index != 0 {
		t.Errorf("after a failure: got query %+v, want index 0", q)
	}
	if v, q := step(l, &now, ms, complete(8, 3)); !v.Full || v.IndexReset || q.Index != 8 || q.NotBefore != now {
		t.Errorf("response after a failure: got %+v, then query %+v at %v, want full, then index 8 at once", v, q, now)
	}
}

// A response is incomplete. It must be reported as such with a reason, its index must be ignored, and the query
// must be repeated soon.
func TestIncompleteResponses(t *testing.T) {
	for name, response := range map[string]Response{
		"no leader": {Index: 9, Entries: 3},
		"too stale": {Index: 9, KnownLeader: true, LastContact: 10*time.Second + 1, Entries: 3},
		"filtered":  {Index: 9, KnownLeader: true, Filtered: true},
	} {
		l := New(Policy{}, 1)
		now := time.Duration(0)
		step(l, &now, ms, complete(8, 3))
		v, q := step(l, &now, ms, response)
		if v.Full || v.Reason == "" || q.Index != 0 || q.NotBefore <= now || q.NotBefore > now+100*ms {
			t.Errorf("%s: got %+v, then query %+v at %v, want not full, with a reason, then a query with index 0 within 100ms",
				name, v, q, now)
		}
		if v, _ := step(l, &now, ms, complete(9, 3)); !v.Full || v.IndexReset {
			t.Errorf("%s: then a complete response: got %+v, want full without reset", name, v)
		}
	}
	l := New(Policy{}, 1)
	now := time.Duration(0)
	if v, _ := step(l, &now, ms, Response{Index: 9, KnownLeader: true, LastContact: 10 * time.Second}); !v.Full {
		t.Errorf("last contact at the limit: got %+v, want full", v)
	}
}

// A response lacks most of the previous entries. The query must be repeated a few times, as the membership table
// removes so many backends only once further responses have confirmed it.
func TestRemovalIsQueriedAgain(t *testing.T) {
	l := New(Policy{}, 1)
	now := time.Duration(0)
	step(l, &now, ms, complete(8, 10))
	if _, q := step(l, &now, time.Second, complete(9, 4)); q.Index != 0 || q.NotBefore != now+500*ms {
		t.Errorf("after the removal at %v: got query %+v, want index 0 after 500ms", now, q)
	}
	for range repeatsAfterRemoval - 1 {
		if _, q := step(l, &now, ms, complete(9, 4)); q.Index != 0 {
			t.Errorf("repeated query: got %+v, want index 0", q)
		}
	}
	if _, q := step(l, &now, ms, complete(9, 4)); q.Index != 9 {
		t.Errorf("after the repeated queries: got query %+v, want index 9", q)
	}
	if _, q := step(l, &now, time.Second, complete(10, 2)); q.Index != 10 {
		t.Errorf("after half of the entries were removed: got query %+v, want index 10", q)
	}
}
