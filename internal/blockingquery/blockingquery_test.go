package blockingquery

import (
	"testing"
	"time"
)

const ms = time.Millisecond

func good(index uint64, size int) Response {
	return Response{Index: index, KnownLeader: true, Entries: size}
}

// step answers a question that took a while and gives the verdict and the next question.
func step(l *Loop, now *time.Duration, took time.Duration, a Response) (Verdict, Query) {
	q := l.Next()
	*now = max(*now, q.NotBefore)
	l.Sent(*now)
	*now += took
	v := l.Answered(*now, a)
	return v, l.Next()
}

func TestTheIndexIsFollowed(t *testing.T) {
	l := New(Policy{}, 1)
	now := time.Duration(0)
	if q := l.Next(); q.NotBefore != 0 || q.Index != 0 || q.Wait != 10*time.Second || q.Timeout != 12625*ms {
		t.Errorf("first %+v", q)
	}
	v, q := step(l, &now, 5*ms, good(41, 3))
	if !v.Full || v.IndexReset || q.Index != 41 || q.NotBefore != now {
		t.Errorf("%+v %+v at %v", v, q, now)
	}
	if v, q = step(l, &now, 3*time.Second, good(44, 3)); !v.Full || q.Index != 44 || q.NotBefore != now {
		t.Errorf("changed: %+v %+v", v, q)
	}
	if v, q = step(l, &now, 10*time.Second, good(44, 3)); !v.Full || q.Index != 44 || q.NotBefore != now {
		t.Errorf("held to the end: %+v %+v at %v", v, q, now)
	}
	if v, q = step(l, &now, time.Second, good(12, 3)); !v.Full || !v.IndexReset || q.Index != 0 || q.NotBefore != now+500*ms {
		t.Errorf("gone back: %+v %+v at %v", v, q, now)
	}
	if v, q = step(l, &now, 5*ms, good(12, 3)); !v.Full || v.IndexReset || q.Index != 12 {
		t.Errorf("and on from there: %+v %+v", v, q)
	}
	if v, q = step(l, &now, 5*ms, good(0, 3)); !v.Full || v.IndexReset || q.Index != 0 || q.NotBefore != now+500*ms {
		t.Errorf("index 0: %+v %+v at %v", v, q, now)
	}
}

// A server that holds nothing back is not asked in a loop, and neither is one that has always changed.
func TestThePaceIsBounded(t *testing.T) {
	for name, c := range map[string]struct {
		answer func(i int) Response
		most   int // questions in a minute
		least  int
	}{
		"answers at once":   {func(int) Response { return good(7, 3) }, 130, 100},
		"index 0":           {func(int) Response { return good(0, 3) }, 130, 100},
		"always changes":    {func(i int) Response { return good(uint64(i+1), 3) }, 650, 500},
		"always goes back":  {func(i int) Response { return good(uint64(100_000-i), 3) }, 130, 100},
		"no leader":         {func(int) Response { return Response{Index: 7} }, 40, 10},
		"loses most always": {func(i int) Response { return good(uint64(i+1), 10*(i%2)) }, 130, 100},
	} {
		l := New(Policy{}, 3)
		now, n := time.Duration(0), 0
		for ; now < time.Minute; n++ {
			step(l, &now, ms, c.answer(n))
		}
		if n > c.most || n < c.least {
			t.Errorf("%s: %d questions in a minute", name, n)
		}
	}
}

// Waits after failures grow, are bounded, and differ between doors.
func TestBackOff(t *testing.T) {
	waits := map[time.Duration]bool{}
	for seed := range uint64(20) {
		l := New(Policy{}, seed)
		now := time.Duration(0)
		for i := range 40 {
			l.Sent(now)
			l.Failed(now)
			wait := l.Next().NotBefore - now
			most := min(5*time.Second, 100*ms<<min(i, 16))
			if wait > most || wait < most/2 {
				t.Fatalf("seed %d: wait %d is %v, want half to all of %v", seed, i, wait, most)
			}
			if i == 9 {
				waits[wait] = true
			}
			now += wait
		}
		if _, q := step(l, &now, ms, good(3, 1)); q.NotBefore != now {
			t.Errorf("after it is back: %+v at %v", q, now)
		}
		l.Failed(now)
		if wait := l.Next().NotBefore - now; wait > 100*ms {
			t.Errorf("the first wait of the next failure is %v", wait)
		}
	}
	if len(waits) < 15 {
		t.Errorf("20 doors have %d waits", len(waits))
	}
}

// What is no whole answer is told apart, its index is not followed, and it is asked for again soon.
func TestAnswersThatAreBelievedInPart(t *testing.T) {
	for name, a := range map[string]Response{
		"no leader": {Index: 9, Entries: 3},
		"too old":   {Index: 9, KnownLeader: true, LastContact: 10*time.Second + 1, Entries: 3},
		"filtered":  {Index: 9, KnownLeader: true, Filtered: true},
	} {
		l := New(Policy{}, 1)
		now := time.Duration(0)
		step(l, &now, ms, good(8, 3))
		v, q := step(l, &now, ms, a)
		if v.Full || v.Reason == "" || q.Index != 0 || q.NotBefore <= now || q.NotBefore > now+100*ms {
			t.Errorf("%s: %+v %+v at %v", name, v, q, now)
		}
		if v, _ := step(l, &now, ms, good(9, 3)); !v.Full || v.IndexReset {
			t.Errorf("%s: then %+v", name, v)
		}
	}
	l := New(Policy{}, 1)
	now := time.Duration(0)
	if v, _ := step(l, &now, ms, Response{Index: 9, KnownLeader: true, LastContact: 10 * time.Second}); !v.Full {
		t.Errorf("just not too old: %+v", v)
	}
}

// A list that has lost most of its entries is asked for again at once, so that who weighs it hears it for a while.
func TestALossIsAskedForAgain(t *testing.T) {
	l := New(Policy{}, 1)
	now := time.Duration(0)
	step(l, &now, ms, good(8, 10))
	if _, q := step(l, &now, time.Second, good(9, 4)); q.Index != 0 || q.NotBefore != now+500*ms {
		t.Errorf("after the loss: %+v at %v", q, now)
	}
	for range repeatsAfterRemoval - 1 {
		if _, q := step(l, &now, ms, good(9, 4)); q.Index != 0 {
			t.Errorf("once more: %+v", q)
		}
	}
	if _, q := step(l, &now, ms, good(9, 4)); q.Index != 9 {
		t.Errorf("and then as always: %+v", q)
	}
	if _, q := step(l, &now, time.Second, good(10, 2)); q.Index != 10 {
		t.Errorf("half is no loss: %+v", q)
	}
}
