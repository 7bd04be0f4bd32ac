package idempotency

import (
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"runtime"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"pumicecroft/decision"
	"pumicecroft/internal/journal"
	"pumicecroft/internal/simdisk"
)

// model is a store without a bound, as plainly as it can be said.
type model struct {
	limits Limits
	keys   map[entryID]*known
}

type known struct {
	digest  Fingerprint
	state   state
	answer  Response
	until   time.Duration
	first   *Ticket
	waiting map[int]time.Duration // by tag, until when; the first's own: never
}

// Whatever is asked, left and ended, in whatever order and at whatever times, the store says what the model says while there is
// room; each that waits gets one end; and when all keys are forgotten nothing is left.
func TestAgainstAModel(t *testing.T) {
	met := map[Verdict]int{}
	rapid.Check(t, func(t *rapid.T) {
		limits := Limits{TTL: 50 * time.Millisecond, UnknownTTL: 20 * time.Millisecond, MaxResponseBytes: 10, RetryAfter: time.Second}
		now := time.Second
		s := New(limits, now)
		m := model{limits, map[entryID]*known{}}
		tags := 0
		tickets, owed := map[int]*Ticket{}, map[int]bool{}
		take := func(given []Completion, want map[int]Verdict) {
			t.Helper()
			got := map[int]Verdict{}
			for _, g := range given {
				tag := g.Tag.(int)
				if !owed[tag] {
					t.Fatalf("%d is given %v and is owed nothing", tag, g.Verdict)
				}
				delete(owed, tag)
				got[tag] = g.Verdict
				met[g.Verdict]++
			}
			if !maps.Equal(got, want) {
				t.Fatalf("given %v, want %v", got, want)
			}
		}
		due := func() map[int]Verdict { // what the passing of time has done
			late := map[int]Verdict{}
			for n, k := range m.keys {
				for tag, until := range k.waiting {
					if until > 0 && until <= now {
						late[tag] = DeadlineExceeded
						delete(k.waiting, tag)
					}
				}
				if k.state != stateInFlight && k.until <= now {
					delete(m.keys, n)
				}
			}
			return late
		}
		t.Repeat(map[string]func(*rapid.T){
			"ask": func(t *rapid.T) {
				n := entryID{decision.CustomerID(rapid.IntRange(1, 2).Draw(t, "who")), rapid.SampledFrom([]string{"a", "b", "", "\x01", strings.Repeat("k", 256)}).Draw(t, "key")}
				digest := Fingerprint{byte(rapid.IntRange(0, 9).Draw(t, "digest") / 9)}
				until := now + time.Duration(rapid.IntRange(1, 40).Draw(t, "for"))*time.Millisecond
				late := due()
				tags++
				d, given := s.Begin(now, n.customer, n.key, digest, tags, until)
				take(given, late)
				met[d.Verdict]++
				k := m.keys[n]
				want := Proceed
				switch {
				case !isValidKey(n.key):
					want = InvalidKey
				case k == nil:
				case k.digest != digest:
					want = Conflict
				case k.state == stateInFlight:
					want = Join
				case k.state == stateUnknown:
					want = OutcomeUnknown
				case len(k.answer.Body) > limits.MaxResponseBytes:
					want = ResponseNotStored
				default:
					want = Replay
				}
				if d.Verdict != want || want == Replay && string(d.Response.Body) != string(k.answer.Body) || want == OutcomeUnknown && d.RetryAfter != k.until-now ||
					(d.Ticket != nil) != (want == Proceed || want == Join) {
					t.Fatalf("%+v, want %v", d, want)
				}
				switch want {
				case Proceed:
					m.keys[n] = &known{digest: digest, first: d.Ticket, waiting: map[int]time.Duration{tags: 0}}
				case Join:
					k.waiting[tags] = until
				default:
					return
				}
				tickets[tags], owed[tags] = d.Ticket, true
			},
			"leave": func(t *rapid.T) {
				if len(owed) == 0 {
					t.Skip("nobody waits")
				}
				tag := rapid.SampledFrom(slices.Sorted(maps.Keys(owed))).Draw(t, "tag")
				late := due()
				nobody, given := s.Abandon(now, tickets[tag])
				take(given, late)
				if !owed[tag] {
					return // it was late
				}
				delete(owed, tag)
				want := false
				for _, k := range m.keys {
					if _, waits := k.waiting[tag]; waits {
						delete(k.waiting, tag)
						want = len(k.waiting) == 0
					}
				}
				if nobody != want {
					t.Fatalf("nobody waits: %v, want %v", nobody, want)
				}
				if again, _ := s.Abandon(now, tickets[tag]); again {
					t.Fatal("it leaves twice")
				}
			},
			"end": func(t *rapid.T) {
				var all []entryID
				for n, k := range m.keys {
					if k.state == stateInFlight {
						all = append(all, n)
					}
				}
				if len(all) == 0 {
					t.Skip("none is in flight")
				}
				slices.SortFunc(all, func(a, b entryID) int { return strings.Compare(fmt.Sprint(a), fmt.Sprint(b)) })
				n := rapid.SampledFrom(all).Draw(t, "key")
				k, end := m.keys[n], Outcome(rapid.IntRange(0, 2).Draw(t, "end"))
				want := due()
				a := Response{Status: 200, Body: make([]byte, rapid.SampledFrom([]int{0, 10, 11}).Draw(t, "size"))}
				for tag := range k.waiting {
					want[tag] = map[Outcome]Verdict{Succeeded: Replay, NotExecuted: Rejected, Unknown: OutcomeUnknown}[end]
				}
				take(s.Complete(now, k.first, end, a), want)
				take(s.Complete(now, k.first, Unknown, a), nil)
				k.waiting, k.answer = nil, a
				switch end {
				case Succeeded:
					k.state, k.until = stateCompleted, now+limits.TTL
				case NotExecuted:
					delete(m.keys, n)
				case Unknown:
					k.state, k.until = stateUnknown, now+limits.UnknownTTL
				}
			},
			"wait": func(t *rapid.T) {
				now += time.Duration(rapid.IntRange(0, 30).Draw(t, "for")) * time.Millisecond
				take(s.Tick(now), due())
			},
			"": func(t *rapid.T) {
				sum, flight := 0, 0
				for n, e := range s.entries {
					if m.keys[n] == nil {
						t.Fatalf("%v is kept", n)
					}
					sum += e.cost
					if e.state == stateInFlight {
						flight += e.cost
					}
				}
				if s.Len() != len(m.keys) || s.Bytes() != sum || s.inFlightBytes != flight || len(s.evictionOrder) != s.Customers() {
					t.Fatalf("%d keys of %d, %d bytes of %d, %d in flight of %d", s.Len(), len(m.keys), s.Bytes(), sum, s.inFlightBytes, flight)
				}
			},
		})
		for n, k := range m.keys {
			if k.state == stateInFlight {
				s.Complete(now, k.first, NotExecuted, Response{})
				delete(m.keys, n)
			}
		}
		if s.Tick(now + time.Hour); s.Len() != 0 || s.Bytes() != 0 || s.Customers() != 0 || s.timers.Len() != 0 || s.inFlightBytes != 0 {
			t.Fatalf("left: %d keys, %d bytes, %d customers, %d timers", s.Len(), s.Bytes(), s.Customers(), s.timers.Len())
		}
	})
	for v := range DeadlineExceeded + 1 {
		if v != Busy && met[v] == 0 {
			t.Errorf("never met: %v", v)
		}
	}
}

// A flooder evicts its own, the oldest first, and never another's nor what is in flight; the budget holds at each step; and who
// comes late finds room.
func TestAFlooder(t *testing.T) {
	for _, c := range []struct {
		name string
		ends bool // the flooder's requests end; else all stay in flight
	}{{"of answers", true}, {"of requests in flight", false}} {
		t.Run(c.name, func(t *testing.T) {
			const others, each = 20, 30
			s := New(Limits{MaxBytes: 1 << 20, MaxResponseBytes: 1 << 10}, 0)
			body := Response{Status: 200, Body: make([]byte, 300)}
			serve := func(now time.Duration, who decision.CustomerID, key string, ends bool) Verdict {
				d, _ := s.Begin(now, who, key, Fingerprint{}, nil, now+time.Hour)
				if d.Verdict == Proceed && ends {
					s.Complete(now, d.Ticket, Succeeded, body)
				}
				if s.Bytes() > 1<<20 {
					t.Fatalf("%d bytes", s.Bytes())
				}
				return d.Verdict
			}
			now, passed, busy, kept := time.Duration(0), 0, 0, 0
			for i := range 100_000 {
				now += 10 * time.Microsecond
				switch serve(now, 1, fmt.Sprint("f", i), c.ends) {
				case Proceed:
					passed++
				case Busy:
					busy++
				}
				if i%100 == 99 && kept < others*each { // the others come while it floods
					if v := serve(now, decision.CustomerID(2+kept%others), fmt.Sprint("o", kept/others), true); v != Proceed {
						t.Fatalf("another customer's request %d: %v", kept, v)
					}
					kept++
				}
			}
			for i := range kept {
				if v := serve(now, decision.CustomerID(2+i%others), fmt.Sprint("o", i/others), true); v != Replay {
					t.Errorf("another customer's key %d: %v", i, v)
				}
			}
			if c.ends != (busy == 0) || kept != others*each || c.ends && serve(now, 1, "f99999", true) != Replay {
				t.Errorf("%d of the flooder's passed, %d were refused; %d of others", passed, busy, kept)
			}
			if !c.ends && (passed == 0 || s.inFlightBytes > 1<<19+entryOverhead) {
				t.Errorf("%d bytes in flight", s.inFlightBytes)
			}
			t.Logf("%d passed, %d refused, %d keys in %d bytes", passed, busy, s.Len(), s.Bytes())
		})
	}
}

// A lone customer whose one entry makes room for its next one is still there.
func TestALoneCustomer(t *testing.T) {
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

// At the same instant as an answer, an expiry and a deadline, each order has its meaning and none gives two ends.
func TestTheSameInstant(t *testing.T) {
	const ms = time.Millisecond
	begin := func() (*Store, *Ticket, *Ticket) {
		s := New(Limits{TTL: 10 * ms, UnknownTTL: 10 * ms}, 0)
		first, _ := s.Begin(0, 1, "k", Fingerprint{}, "first", 5*ms)
		second, _ := s.Begin(0, 1, "k", Fingerprint{}, "second", 5*ms)
		return s, first.Ticket, second.Ticket
	}
	tell := func(given []Completion) (out string) {
		for _, g := range given {
			out += fmt.Sprintf("%v:%v ", g.Tag, g.Verdict)
		}
		return strings.TrimSpace(out)
	}
	s, first, _ := begin()
	if got := tell(s.Complete(5*ms-1, first, Succeeded, Response{})); got != "first:replay second:replay" {
		t.Errorf("just before the deadline: %s", got)
	}
	s, first, second := begin()
	if got := tell(s.Complete(5*ms, first, Succeeded, Response{})); got != "second:late first:replay" {
		t.Errorf("at the deadline: %s", got)
	}
	if nobody, given := s.Abandon(5*ms, second); nobody || len(given) > 0 {
		t.Error("it leaves after its end")
	}
	if d, _ := s.Begin(15*ms-1, 1, "k", Fingerprint{}, nil, 0); d.Verdict != Replay {
		t.Errorf("just before the expiry: %v", d.Verdict)
	}
	if d, _ := s.Begin(15*ms, 1, "k", Fingerprint{}, nil, 0); d.Verdict != Proceed {
		t.Errorf("at the expiry: %v", d.Verdict)
	}
	// The first client's leaving does not end what the second waits for; the second's does.
	s, first, second = begin()
	if nobody, _ := s.Abandon(ms, first); nobody {
		t.Error("the second waits")
	}
	if nobody, _ := s.Abandon(ms, second); !nobody {
		t.Error("nobody waits")
	}
	// And a repeat that comes then waits for it again, and gets the late answer.
	if d, _ := s.Begin(2*ms, 1, "k", Fingerprint{}, "third", 9*ms); d.Verdict != Join {
		t.Errorf("%v", d.Verdict)
	}
	if got := tell(s.Complete(8*ms, first, Succeeded, Response{})); got != "third:replay" {
		t.Error(got)
	}
	// A clock that goes back expires nothing and keeps nothing longer.
	if s.Tick(0); s.Len() != 1 {
		t.Error("the clock went back")
	}
	if s.Tick(18 * ms); s.Len() != 0 {
		t.Error("it is kept for longer")
	}
}

// BenchmarkKeyed is a keyed request with its end, with n keys held, without a log and with one whose disk takes no time; and what an entry
// takes of memory beside what it is charged.
func BenchmarkKeyed(b *testing.B) {
	for _, n := range []int{1, 1000, 1_000_000} {
		for _, logged := range []bool{false, true} {
			b.Run(fmt.Sprintf("%d,log=%v", n, logged), func(b *testing.B) { benchmarkKeyed(b, n, logged) })
		}
	}
}

func benchmarkKeyed(b *testing.B, n int, logged bool) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	s := New(Limits{MaxBytes: 4 << 30, TTL: time.Duration(n) * time.Microsecond}, 0)
	var log *journal.Log[Entry]
	if logged {
		log, _ = journal.Recover[Entry](journal.Options{}, 1, nil, nil, nil)
		s.AttachLog(log, 0)
	}
	now, rng := time.Duration(0), rand.New(rand.NewPCG(1, 2))
	body := Response{Status: 200, Body: []byte("done")}
	asked := 0
	one := func() {
		now += time.Microsecond
		key := fmt.Sprintf("%016x", rng.Uint64())
		if d, _ := s.Begin(now, decision.CustomerID(rng.IntN(1000)), key, Fingerprint{}, nil, now+time.Second); d.Verdict == Proceed {
			s.Complete(now, d.Ticket, Succeeded, body)
		}
		if asked++; logged && asked%64 == 0 { // a group
			s.RewriteStale(now)
			for op := log.Next(now); op.Kind != journal.None; op = log.Next(now) {
				log.Done(now, nil)
				s.RewriteStale(now)
			}
		}
	}
	for range n {
		one()
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	held, charged := float64(max(1, s.Len())), float64(s.Bytes())
	b.ReportAllocs()
	for b.Loop() {
		one()
	}
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/held, "B/entry")
	b.ReportMetric(charged/held, "charged/entry")
}

// Bytes that nobody wrote are an error or an entry that is within its bounds, and never bring the store down.
func FuzzRestore(f *testing.F) {
	s := New(Limits{}, 0)
	s.AttachLog(first(journal.Recover[Entry](journal.Options{}, 1, nil, nil, nil)), 0)
	d, _ := s.Begin(0, 7, "key", Fingerprint{1}, nil, time.Second)
	f.Add(append([]byte(nil), s.encodeRecord(recordInFlight, d.Ticket.entry)...))
	d.Ticket.entry.response = Response{200, "text/plain", []byte("done")}
	f.Add(append([]byte(nil), s.encodeRecord(recordResponse, d.Ticket.entry)...))
	f.Fuzz(func(t *testing.T, rec []byte) {
		s := New(Limits{MaxBytes: 4096}, 0)
		for range 2 { // the second takes the place of the first
			slot, err := s.Restore(time.Second, 0, rec)
			if err != nil && !errors.Is(err, ErrInvalidRecord) || (slot != nil) != (s.Len() == 1) || s.Bytes() > 4096 || s.Len() > 1 {
				t.Fatalf("%v, %v: %d keys of %d bytes", slot, err, s.Len(), s.Bytes())
			}
		}
		if at, ok := s.Next(); ok != (s.Len() == 1) || ok && at > time.Second+s.limits.TTL+time.Minute {
			t.Fatalf("%d keys, and the next end is at %v", s.Len(), at)
		}
	})
}

func first[T any](v T, _ error) T { return v }

// Whatever becomes of keys, a store that reads the log of another knows of each key what that knew, or, of one in flight, that nothing
// is known; and what was let go for room or time at the most.
func TestRestoredLikeItWas(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		rng := rand.New(rand.NewPCG(seed, 3))
		limits := Limits{MaxBytes: 64 << 10, MaxResponseBytes: 200, TTL: 500 * time.Millisecond, UnknownTTL: 300 * time.Millisecond}
		disk, rules := simdisk.New(), journal.Options{SegmentBytes: 4 << 10, MaxPending: 8 << 10}
		begin := func(now time.Duration) (*Store, *journal.Log[Entry]) {
			s := New(limits, now)
			log, err := journal.Recover(rules, 1, disk.List(), disk.Load, func(rec []byte) (*journal.Slot[Entry], error) { return s.Restore(now, time.Hour, rec) })
			if err != nil {
				t.Fatal(err)
			}
			s.AttachLog(log, time.Hour)
			return s, log
		}
		now := time.Duration(0)
		s, log := begin(now)
		flush := func() {
			s.RewriteStale(now)
			for op := log.Next(now); op.Kind != journal.None; op = log.Next(now) {
				log.Done(now, disk.Do(op))
				s.RewriteStale(now)
			}
		}
		var flying []*Ticket
		for range rapid.IntRange(10, 300).Draw(t, "steps") {
			now += time.Duration(rng.IntN(4)) * time.Millisecond
			switch n := rng.IntN(10); {
			case n < 5:
				d, _ := s.Begin(now, decision.CustomerID(rng.IntN(3)), fmt.Sprint("k", rng.IntN(40)), Fingerprint{}, nil, now+time.Second)
				if d.Verdict == Proceed {
					flying = append(flying, d.Ticket)
				}
			case n < 8 && len(flying) > 0:
				i := rng.IntN(len(flying))
				a := Response{Status: 200, Body: make([]byte, rng.IntN(300))}
				if rng.IntN(2) == 0 {
					s.RecordResponse(now, flying[i], a)
				}
				s.Complete(now, flying[i], Outcome(rng.IntN(3)), a)
				flying = slices.Delete(flying, i, i+1)
			case n < 9:
				flush()
			default:
				flush()
				again, other := begin(now)
				s.Tick(now)
				for who := range 3 {
					for k := range 40 {
						id := entryID{decision.CustomerID(who), fmt.Sprint("k", k)}
						was, is := s.entries[id], again.entries[id]
						switch {
						case was == nil: // let go of, or not known: it may be known still
						case is == nil:
							t.Fatalf("seed %d: %v was %d, and is not known", seed, id, was.state)
						case was.state == stateInFlight && is.state != stateUnknown, was.state != stateInFlight && (is.state != was.state || is.responseStored != was.responseStored || len(is.response.Body) != len(was.response.Body)):
							t.Fatalf("seed %d: %v was %d and is %d, kept %v and %v", seed, id, was.state, is.state, was.responseStored, is.responseStored)
						case was.state != stateInFlight && (is.expiresAt > was.expiresAt || was.expiresAt-is.expiresAt > time.Millisecond):
							t.Fatalf("seed %d: %v ends at %v, and ended at %v", seed, id, is.expiresAt, was.expiresAt)
						}
					}
				}
				if again.Bytes() > limits.MaxBytes {
					t.Fatalf("seed %d: %d bytes", seed, again.Bytes())
				}
				s, log, flying = again, other, nil
			}
		}
	})
}

// A clock that was put back over a restart lets keys live for Keep from then at the most, one that was put forward lets them be
// forgotten early; what was in flight is undecided for KeepDoubt from the restart whatever the clock says. Within a process a
// clock that jumps back expires nothing twice.
func TestAClockThatJumps(t *testing.T) {
	limits := Limits{TTL: time.Hour, UnknownTTL: time.Minute}
	for _, c := range []struct {
		name  string
		jump  time.Duration
		until time.Duration // of what was answered, by the later process's clock; 0: it is forgotten
	}{{"none", 0, time.Hour}, {"back", -24 * time.Hour, time.Hour}, {"forward", 30 * time.Minute, 30 * time.Minute}, {"far forward", 24 * time.Hour, 0}} {
		t.Run(c.name, func(t *testing.T) {
			var log [][]byte
			s := New(limits, 0)
			s.epoch = 100 * time.Hour
			for i, end := range []bool{true, false} {
				d, _ := s.Begin(0, 1, fmt.Sprint("k", i), Fingerprint{}, nil, time.Minute)
				if end {
					s.Complete(0, d.Ticket, Succeeded, Response{Status: 200})
					log = append(log, slices.Clone(s.encodeRecord(recordResponse, d.Ticket.entry)))
				} else {
					log = append(log, slices.Clone(s.encodeRecord(recordInFlight, d.Ticket.entry)))
				}
			}
			later := New(limits, 0)
			for _, rec := range log {
				if _, err := later.Restore(0, s.epoch+c.jump, rec); err != nil {
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
			if got := verdict(0, "k0"); (got == Replay) != (c.until > 0) {
				t.Errorf("what was answered: %v", got)
			}
			for _, at := range []struct {
				at   time.Duration
				key  string
				want Verdict
			}{{time.Minute - timerResolution, "k1", OutcomeUnknown}, {time.Minute, "k1", Proceed}, {30 * time.Second, "k1", Proceed}, {c.until - timerResolution, "k0", Replay}, {c.until, "k0", Proceed}} {
				if at.at > 0 {
					if got := verdict(at.at, at.key); got != at.want {
						t.Errorf("%s at %v: %v, want %v", at.key, at.at, got, at.want)
					}
				}
			}
		})
	}
}
