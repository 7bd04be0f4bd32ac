package idempotency

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"pumicecroft/decision"
	"pumicecroft/internal/journal"
	"pumicecroft/internal/simdisk"
)

// emptyLog returns a log that has no segments yet.
func emptyLog(t testing.TB) *journal.Log[Entry] {
	t.Helper()
	log, err := journal.Recover[Entry](journal.Options{}, 1, nil, nil, nil)
	if err != nil {
		t.Fatal(err)
	}
	return log
}

// Bytes that nobody wrote come as records. Each must be an error or an entry within the store's bounds.
func FuzzRestore(f *testing.F) {
	s := New(Limits{}, 0)
	s.AttachLog(emptyLog(f), 0)
	d, _ := s.Begin(0, 7, "key", Fingerprint{1}, nil, time.Second)
	f.Add(slices.Clone(s.encodeRecord(recordInFlight, d.Ticket.entry)))
	d.Ticket.entry.response = Response{200, "text/plain", []byte("done")}
	f.Add(slices.Clone(s.encodeRecord(recordResponse, d.Ticket.entry)))
	f.Fuzz(func(t *testing.T, record []byte) {
		s := New(Limits{MaxBytes: 4096}, 0)
		for range 2 { // the second replaces the first
			slot, err := s.Restore(time.Second, 0, record)
			if err != nil && !errors.Is(err, ErrInvalidRecord) || (slot != nil) != (s.Len() == 1) ||
				s.Bytes() > 4096 || s.Len() > 1 {
				t.Fatalf("%v, %v: %d keys of %d bytes", slot, err, s.Len(), s.Bytes())
			}
		}
		if at, ok := s.Next(); ok != (s.Len() == 1) || ok && at > time.Second+s.limits.TTL+time.Minute {
			t.Fatalf("%d keys, and the next expiry is at %v", s.Len(), at)
		}
	})
}

// restartTest is a store with a log on a simulated disk, restarted now and then.
type restartTest struct {
	seed     uint64
	rng      *rand.Rand
	disk     *simdisk.Disk
	now      time.Duration
	store    *Store
	log      *journal.Log[Entry]
	inFlight []*Ticket
}

var restartLimits = Limits{MaxBytes: 64 << 10, MaxResponseBytes: 200, TTL: 500 * time.Millisecond,
	UnknownTTL: 300 * time.Millisecond}

const (
	restartEpoch     = time.Hour
	restartCustomers = 3
	restartKeys      = 40 // of a customer
)

// recoverStore makes a store from what is on the disk.
func (r *restartTest) recoverStore(t *rapid.T) (*Store, *journal.Log[Entry]) {
	t.Helper()
	s := New(restartLimits, r.now)
	options := journal.Options{SegmentBytes: 4 << 10, MaxPending: 8 << 10}
	restore := func(record []byte) (*journal.Slot[Entry], error) {
		return s.Restore(r.now, restartEpoch, record)
	}
	log, err := journal.Recover(options, 1, r.disk.List(), r.disk.Load, restore)
	if err != nil {
		t.Fatal(err)
	}
	s.AttachLog(log, restartEpoch)
	return s, log
}

func (r *restartTest) flush() {
	r.store.RewriteStale(r.now)
	for op := r.log.Next(r.now); op.Kind != journal.None; op = r.log.Next(r.now) {
		r.log.Done(r.now, r.disk.Do(op))
		r.store.RewriteStale(r.now)
	}
}

func (r *restartTest) begin() {
	who := decision.CustomerID(r.rng.IntN(restartCustomers))
	key := fmt.Sprint("k", r.rng.IntN(restartKeys))
	d, _ := r.store.Begin(r.now, who, key, Fingerprint{}, nil, r.now+time.Second)
	if d.Verdict == Proceed {
		r.inFlight = append(r.inFlight, d.Ticket)
	}
}

func (r *restartTest) complete() {
	i := r.rng.IntN(len(r.inFlight))
	response := Response{Status: 200, Body: make([]byte, r.rng.IntN(300))}
	if r.rng.IntN(2) == 0 {
		r.store.RecordResponse(r.now, r.inFlight[i], response)
	}
	r.store.Complete(r.now, r.inFlight[i], Outcome(r.rng.IntN(3)), response)
	r.inFlight = slices.Delete(r.inFlight, i, i+1)
}

// restart recovers another store from the disk, compares it with the present one, and goes on with it.
func (r *restartTest) restart(t *rapid.T) {
	t.Helper()
	r.flush()
	restored, log := r.recoverStore(t)
	r.store.Tick(r.now)
	for who := range restartCustomers {
		for k := range restartKeys {
			id := entryID{decision.CustomerID(who), fmt.Sprint("k", k)}
			r.compare(t, id, r.store.entries[id], restored.entries[id])
		}
	}
	if restored.Bytes() > restartLimits.MaxBytes {
		t.Fatalf("seed %d: %d bytes", r.seed, restored.Bytes())
	}
	r.store, r.log, r.inFlight = restored, log, nil
}

// compare compares an entry before and after a restart.
func (r *restartTest) compare(t *rapid.T, id entryID, before, after *entry) {
	t.Helper()
	if before == nil { // it was removed or evicted, or never existed; the log may still have it
		return
	}
	if after == nil {
		t.Fatalf("seed %d: %v was in state %d, and is not known", r.seed, id, before.state)
	}
	if before.state == stateInFlight {
		if after.state != stateUnknown {
			t.Fatalf("seed %d: %v was in flight, and is in state %d", r.seed, id, after.state)
		}
		return
	}
	if after.state != before.state || after.responseStored != before.responseStored ||
		len(after.response.Body) != len(before.response.Body) {
		t.Fatalf("seed %d: %v was in state %d and is in %d, response stored %v and %v", r.seed, id,
			before.state, after.state, before.responseStored, after.responseStored)
	}
	if after.expiresAt > before.expiresAt || before.expiresAt-after.expiresAt > time.Millisecond {
		t.Fatalf("seed %d: %v expires at %v, and expired at %v", r.seed, id, after.expiresAt, before.expiresAt)
	}
}

// Requests begin and end, and now and then another store recovers the log. It must know of each key what the
// store before it knew: with the same state, response and expiry, and a request in flight as one of unknown
// outcome.
func TestRestore_KnowsWhatTheStoreBeforeKnew(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		r := &restartTest{seed: seed, rng: rand.New(rand.NewPCG(seed, 3)), disk: simdisk.New()}
		r.store, r.log = r.recoverStore(t)
		for range rapid.IntRange(10, 300).Draw(t, "steps") {
			r.now += time.Duration(r.rng.IntN(4)) * time.Millisecond
			switch n := r.rng.IntN(10); {
			case n < 5:
				r.begin()
			case n < 8 && len(r.inFlight) > 0:
				r.complete()
			case n < 9:
				r.flush()
			default:
				r.restart(t)
			}
		}
	})
}

// records of one key that succeeded, "done", and one in flight, "open", written at the epoch.
func recordsBeforeRestart(limits Limits, epoch time.Duration) [][]byte {
	s := New(limits, 0)
	s.epoch = epoch
	done, _ := s.Begin(0, 1, "done", Fingerprint{}, nil, time.Minute)
	s.Complete(0, done.Ticket, Succeeded, Response{Status: 200})
	open, _ := s.Begin(0, 1, "open", Fingerprint{}, nil, time.Minute)
	return [][]byte{
		slices.Clone(s.encodeRecord(recordResponse, done.Ticket.entry)),
		slices.Clone(s.encodeRecord(recordInFlight, open.Ticket.entry)),
	}
}

// The system's clock is set during a restart. Set back, keys live for TTL from the restart at most; set
// forward, they may be forgotten early. A request that was in flight has an unknown outcome for UnknownTTL
// from the restart, whatever the clock says. Within a process, a clock that steps back expires nothing twice.
func TestRestore_ClockWasSet(t *testing.T) {
	limits := Limits{TTL: time.Hour, UnknownTTL: time.Minute}
	for _, c := range []struct {
		name      string
		jump      time.Duration
		expiresAt time.Duration // of "done", by the later process's clock; 0: it is forgotten
	}{
		{"not at all", 0, time.Hour},
		{"back", -24 * time.Hour, time.Hour},
		{"forward", 30 * time.Minute, 30 * time.Minute},
		{"far forward", 24 * time.Hour, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			const epoch = 100 * time.Hour
			later := New(limits, 0)
			for _, record := range recordsBeforeRestart(limits, epoch) {
				if _, err := later.Restore(0, epoch+c.jump, record); err != nil {
					t.Fatal(err)
				}
			}
			verdict := func(now time.Duration, key string) Verdict {
				d, _ := later.Begin(now, 1, key, Fingerprint{}, nil, now+time.Minute)
				if d.Verdict == Proceed {
					later.Complete(now, d.Ticket, NotExecuted, Response{})
				}
				return d.Verdict
			}
			if got := verdict(0, "done"); (got == Replay) != (c.expiresAt > 0) {
				t.Errorf("the key that succeeded: %v", got)
			}
			for _, step := range []struct {
				at   time.Duration
				key  string
				want Verdict
			}{
				{time.Minute - timerResolution, "open", OutcomeUnknown},
				{time.Minute, "open", Proceed},
				{30 * time.Second, "open", Proceed},
				{c.expiresAt - timerResolution, "done", Replay},
				{c.expiresAt, "done", Proceed},
			} {
				if step.at <= 0 {
					continue
				}
				if got := verdict(step.at, step.key); got != step.want {
					t.Errorf("%s at %v: %v, want %v", step.key, step.at, got, step.want)
				}
			}
		})
	}
}
