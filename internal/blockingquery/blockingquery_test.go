package blockingquery

import (
	"testing"
	"time"
)

const ms = time.Millisecond

// complete returns the head of a complete response.
func complete(index uint64, entries int) Response {
	return Response{Index: index, KnownLeader: true, Entries: entries}
}

// step responds to the next query after some time, and returns the verdict and the query after it.
func step(l *Loop, now *time.Duration, took time.Duration, response Response) (Verdict, Query) {
	q := l.Next()
	*now = max(*now, q.NotBefore)
	l.Sent(*now)
	*now += took
	v := l.Answered(*now, response)
	return v, l.Next()
}

// Each query waits for a change of the last response's index. An index that goes back, or is 0, starts anew.
func TestIndexIsFollowed(t *testing.T) {
	l := New(Policy{}, 1)
	now := time.Duration(0)
	if q := l.Next(); q.NotBefore != 0 || q.Index != 0 || q.Wait != 10*time.Second || q.Timeout != 12625*ms {
		t.Errorf("first %+v", q)
	}
	v, q := step(l, &now, 5*ms, complete(41, 3))
	if !v.Full || v.IndexReset || q.Index != 41 || q.NotBefore != now {
		t.Errorf("%+v %+v at %v", v, q, now)
	}
	if v, q = step(l, &now, 3*time.Second, complete(44, 3)); !v.Full || q.Index != 44 || q.NotBefore != now {
		t.Errorf("changed: %+v %+v", v, q)
	}
	if v, q = step(l, &now, 10*time.Second, complete(44, 3)); !v.Full || q.Index != 44 || q.NotBefore != now {
		t.Errorf("held to the end: %+v %+v at %v", v, q, now)
	}
	v, q = step(l, &now, time.Second, complete(12, 3))
	if !v.Full || !v.IndexReset || q.Index != 0 || q.NotBefore != now+500*ms {
		t.Errorf("gone back: %+v %+v at %v", v, q, now)
	}
	if v, q = step(l, &now, 5*ms, complete(12, 3)); !v.Full || v.IndexReset || q.Index != 12 {
		t.Errorf("and on from there: %+v %+v", v, q)
	}
	if v, q = step(l, &now, 5*ms, complete(0, 3)); !v.Full || v.IndexReset || q.Index != 0 || q.NotBefore != now+500*ms {
		t.Errorf("index 0: %+v %+v at %v", v, q, now)
	}
}

// A server that does not hold queries, or at which something changes all the time, is not queried in a loop.
func TestRateIsBounded(t *testing.T) {
	for name, c := range map[string]struct {
		response func(i int) Response
		most     int // queries in a minute
		least    int
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
		if n > c.most || n < c.least {
			t.Errorf("%s: %d queries in a minute", name, n)
		}
	}
}

// Delays after failures grow, are bounded, and differ between gateways.
func TestRetryDelays(t *testing.T) {
	delays := map[time.Duration]bool{}
	for seed := range uint64(20) {
		l := New(Policy{}, seed)
		now := time.Duration(0)
		for i := range 40 {
			l.Sent(now)
			l.Failed(now)
			delay := l.Next().NotBefore - now
			most := min(5*time.Second, 100*ms<<min(i, 16))
			if delay > most || delay < most/2 {
				t.Fatalf("seed %d: delay %d is %v, want half to all of %v", seed, i, delay, most)
			}
			if i == 9 {
				delays[delay] = true
			}
			now += delay
		}
		if _, q := step(l, &now, ms, complete(3, 1)); q.NotBefore != now {
			t.Errorf("after a response: %+v at %v", q, now)
		}
		l.Failed(now)
		if delay := l.Next().NotBefore - now; delay > 100*ms {
			t.Errorf("the first delay after the next failure is %v", delay)
		}
	}
	if len(delays) < 15 {
		t.Errorf("20 gateways have %d delays", len(delays))
	}
}

// A response that is not complete is told apart, its index is not followed, and the query is repeated soon.
func TestIncompleteResponses(t *testing.T) {
	for name, response := range map[string]Response{
		"no leader": {Index: 9, Entries: 3},
		"too old":   {Index: 9, KnownLeader: true, LastContact: 10*time.Second + 1, Entries: 3},
		"filtered":  {Index: 9, KnownLeader: true, Filtered: true},
	} {
		l := New(Policy{}, 1)
		now := time.Duration(0)
		step(l, &now, ms, complete(8, 3))
		v, q := step(l, &now, ms, response)
		if v.Full || v.Reason == "" || q.Index != 0 || q.NotBefore <= now || q.NotBefore > now+100*ms {
			t.Errorf("%s: %+v %+v at %v", name, v, q, now)
		}
		if v, _ := step(l, &now, ms, complete(9, 3)); !v.Full || v.IndexReset {
			t.Errorf("%s: then %+v", name, v)
		}
	}
	l := New(Policy{}, 1)
	now := time.Duration(0)
	if v, _ := step(l, &now, ms, Response{Index: 9, KnownLeader: true, LastContact: 10 * time.Second}); !v.Full {
		t.Errorf("just not too old: %+v", v)
	}
}

// A response that lost most entries is queried again a few times, so that the membership table has it
// confirmed.
func TestRemovalIsQueriedAgain(t *testing.T) {
	l := New(Policy{}, 1)
	now := time.Duration(0)
	step(l, &now, ms, complete(8, 10))
	if _, q := step(l, &now, time.Second, complete(9, 4)); q.Index != 0 || q.NotBefore != now+500*ms {
		t.Errorf("after the removal: %+v at %v", q, now)
	}
	for range repeatsAfterRemoval - 1 {
		if _, q := step(l, &now, ms, complete(9, 4)); q.Index != 0 {
			t.Errorf("once more: %+v", q)
		}
	}
	if _, q := step(l, &now, ms, complete(9, 4)); q.Index != 9 {
		t.Errorf("and then as always: %+v", q)
	}
	if _, q := step(l, &now, time.Second, complete(10, 2)); q.Index != 10 {
		t.Errorf("half is not repeated: %+v", q)
	}
}
