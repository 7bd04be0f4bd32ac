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

// Records are arbitrary bytes. Restore must return an error, or restore an entry within the store's limits.
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
				t.Fatalf("Restore returned %v, %v; the store has %d keys of %d bytes", slot, err, s.Len(), s.Bytes())
			}
		}
		if at, ok := s.Next(); ok != (s.Len() == 1) || ok && at > time.Second+s.limits.TTL+time.Minute {
			t.Fatalf("%d keys, next expiry at %v, %v; want an expiry within the TTL if there is a key", s.Len(), at, ok)
		}
	})
}

// restartTest is a store with a log on a simulated disk, which is restarted at random.
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
	restartKeys      = 40 // per customer
)

// recoverStore recovers a store from the disk.
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

// restart recovers another store from the disk, compares it with the current one, and replaces that.
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
		t.Fatalf("seed %d: the restored store has %d bytes, limit %d", r.seed, restored.Bytes(), restartLimits.MaxBytes)
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
		t.Fatalf("seed %d: key %v, in state %d before the restart, was not restored", r.seed, id, before.state)
	}
	if before.state == stateInFlight {
		if after.state != stateOutcomeUnknown {
			t.Fatalf("seed %d: key %v, in flight before the restart, has state %d, want %d", r.seed, id, after.state,
				stateOutcomeUnknown)
		}
		return
	}
	if after.state != before.state || after.responseStored != before.responseStored ||
		len(after.response.Body) != len(before.response.Body) {
		t.Fatalf("seed %d: key %v has state %d, want %d; response stored: %v, want %v; body of %d bytes, want %d",
			r.seed, id, after.state, before.state, after.responseStored, before.responseStored,
			len(after.response.Body), len(before.response.Body))
	}
	if after.expiresAt > before.expiresAt || before.expiresAt-after.expiresAt > time.Millisecond {
		t.Fatalf("seed %d: key %v expires at %v, want %v", r.seed, id, after.expiresAt, before.expiresAt)
	}
}

// Requests begin and end, and at random times another store recovers the log. It must restore each key that
// the previous store held, with the same state, response and expiry; requests in flight get an unknown outcome.
func TestRestore_MatchesStoreBeforeRestart(t *testing.T) {
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

// recordsBeforeRestart returns the records of a key that succeeded, "done", and of one in flight, "open", both
// written at the epoch.
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

// The system clock is changed during a restart. If it is set back, keys live for at most TTL from the restart;
// if it is set forward, they may expire early. A request that was in flight has an unknown outcome for
// UnknownTTL from the restart in either case. Within a process, a clock that steps back changes no expiry.
func TestRestore_ClockChangedDuringRestart(t *testing.T) {
	limits := Limits{TTL: time.Hour, UnknownTTL: time.Minute}
	for _, c := range []struct {
		name      string
		jump      time.Duration
		expiresAt time.Duration // of "done", by the later process's clock; 0: it has expired
	}{
		{"unchanged", 0, time.Hour},
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
				t.Errorf("verdict for the succeeded key after the restart: %v; replay wanted: %v", got, c.expiresAt > 0)
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
					t.Errorf("verdict for key %q at %v: %v, want %v", step.key, step.at, got, step.want)
				}
			}
		})
	}
}
