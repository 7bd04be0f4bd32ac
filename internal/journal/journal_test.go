package journal_test

import (
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"pumicecroft/internal/journal"
	"pumicecroft/internal/simdisk"

	"pgregory.net/rapid"
)

type slot = journal.Slot[string]

// owner keeps values by name in a log on a disk that fails, as any user of the package does, with what it may count on.
type owner struct {
	log   *journal.Log[string]
	disk  *simdisk.Disk
	now   time.Duration
	slots map[string]*slot
	has   map[string]int // the value of each name
	// What must be read again: the newest durable value of each name that was not dropped.
	waits   []wait
	durable map[string]int
}

type wait struct {
	seq   uint64
	name  string
	value int
}

var rules = journal.Options{SegmentBytes: 4 << 10, MaxPending: 2 << 10, RetryDelay: time.Second}

// start begins with what is on the disk.
func start(disk *simdisk.Disk, r journal.Options, now time.Duration) (*owner, error) {
	o := &owner{disk: disk, now: now, slots: map[string]*slot{}, has: map[string]int{}, durable: map[string]int{}}
	var err error
	o.log, err = journal.Recover(r, 7, disk.List(), disk.Load, func(rec []byte) (*slot, error) {
		name, text, _ := strings.Cut(string(rec), "=")
		value, err := strconv.Atoi(strings.TrimRight(text, "."))
		if err != nil {
			return nil, err
		}
		if o.slots[name] == nil {
			o.slots[name] = &slot{Value: name}
		}
		o.has[name] = value
		return o.slots[name], nil
	})
	return o, err
}

// record pads to some length that hangs on the value.
func record(name string, value int) []byte {
	return []byte(fmt.Sprintf("%s=%d%s", name, value, strings.Repeat(".", value*37%400)))
}

func (o *owner) put(name string, value int) {
	if o.slots[name] == nil {
		o.slots[name] = &slot{Value: name}
	}
	o.has[name] = value
	if seq := o.log.Append(o.now, o.slots[name], record(name, value)); seq > 0 {
		o.waits = append(o.waits, wait{seq, name, value})
	}
}

func (o *owner) drop(name string) {
	o.slots[name].Drop()
	delete(o.slots, name)
	delete(o.has, name)
	delete(o.durable, name)
	o.waits = slices.DeleteFunc(o.waits, func(w wait) bool { return w.name == name })
}

// step carries out one operation, and writes again what the log asks for.
func (o *owner) step() bool {
	op := o.log.Next(o.now)
	if op.Kind != journal.None {
		o.log.Done(o.now, o.disk.Do(op))
	}
	for len(o.waits) > 0 && o.waits[0].seq <= max(o.log.Durable(), o.log.Lost()) {
		if w := o.waits[0]; w.seq <= o.log.Durable() {
			o.durable[w.name] = max(o.durable[w.name], w.value)
		}
		o.waits = o.waits[1:]
	}
	for s := o.log.Stale(); s != nil; s = o.log.Stale() {
		o.put(s.Value, o.has[s.Value])
	}
	return op.Kind != journal.None
}

func (o *owner) settle() {
	for range 10_000 {
		if o.step() {
			continue
		}
		at, ok := o.log.NextWake()
		if !ok {
			return
		}
		if at <= o.now {
			panic("it wants to be called now, and has nothing to do")
		}
		o.now = at
	}
	panic("it never settles")
}

// Whatever is appended, dropped, written again, fails and crashes in whatever order: what was called durable is read again, with that
// value or a later one; nothing is read that was not written; the log stays within its size, and comes back by itself when the disk does.
func TestAnyCourse(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		rng := rand.New(rand.NewPCG(seed, 1))
		r := rules
		if rng.IntN(3) == 0 {
			r.GroupCommitDelay = time.Duration(rng.IntN(5)) * time.Millisecond
		}
		disk := simdisk.New()
		o, err := start(disk, r, 0)
		if err != nil {
			t.Fatal(err)
		}
		var fail error
		disk.PartialWrite = func(n int) int { return rng.IntN(n + 1) }
		disk.Fault = func(journal.Op) error {
			if fail != nil && rng.IntN(3) > 0 {
				return fail
			}
			return nil
		}
		value, wrote := 0, map[string]int{}
		crashes, downs := 0, 0
		for range rapid.IntRange(50, 600).Draw(t, "steps") {
			o.now += time.Duration(rng.IntN(3)) * time.Millisecond
			name := "k" + strconv.Itoa(rng.IntN(20))
			switch n := rng.IntN(100); {
			case n < 45:
				value++
				wrote[name] = value
				o.put(name, value)
			case n < 55:
				o.drop(name)
			case n < 56 && fail == nil:
				fail = simdisk.ErrIO
			case n < 58:
				fail = nil
			case n < 59:
				o.now += 3 * time.Second
			case n < 62: // the process ends, the machine with it or not
				crashes++
				if rng.IntN(2) == 0 {
					disk.Crash(rng)
				}
				must := o.durable
				disk.Fault, disk.PartialWrite = nil, nil
				again, err := start(disk, r, o.now)
				if err != nil {
					t.Fatalf("seed %d: after a crash: %v", seed, err)
				}
				for name, v := range must {
					if again.has[name] < v {
						t.Fatalf("seed %d: %s is %d, and %d was durable", seed, name, again.has[name], v)
					}
				}
				for name, v := range again.has {
					if v > wrote[name] {
						t.Fatalf("seed %d: %s is %d, which was never written", seed, name, v)
					}
				}
				maps.Copy(again.durable, must)
				o = again
				disk.PartialWrite = func(n int) int { return rng.IntN(n + 1) }
				disk.Fault = func(journal.Op) error {
					if fail != nil && rng.IntN(3) > 0 {
						return fail
					}
					return nil
				}
			default:
				o.step()
			}
			if o.log.Err() != nil {
				downs++
			}
		}
		disk.Fault = nil
		o.now += 2 * time.Minute
		o.settle()
		u := o.log.Usage()
		if o.log.Err() != nil || u.UnwrittenBytes > 0 || u.PendingBytes > 0 || len(o.waits) > 0 {
			t.Fatalf("seed %d: with a good disk it ends as %+v, %v", seed, u, o.log.Err())
		}
		if most := 2*u.LiveBytes + 4*r.SegmentBytes; u.Bytes > most || disk.Bytes() > int(most)+8*44 {
			t.Fatalf("seed %d: %d bytes in %d segments, %d on disk, for %d that count", seed, u.Bytes, u.Segments, disk.Bytes(), u.LiveBytes)
		}
		disk.Crash(rng)
		again, err := start(disk, r, o.now)
		if err != nil {
			t.Fatal(err)
		}
		for name, v := range o.has {
			if again.has[name] != v {
				t.Fatalf("seed %d: %s is %d, and %d is read of what was at rest", seed, name, v, again.has[name])
			}
		}
	})
}

// What a cut leaves, byte by byte: all frames that are whole, and never an error.
func TestEveryCut(t *testing.T) {
	disk := simdisk.New()
	o, _ := start(disk, rules, 0)
	for i := range 12 {
		o.put("k"+strconv.Itoa(i), i+1)
		o.step()
	}
	whole := disk.Segment(1)
	last := 0
	for cut := range len(whole) + 1 {
		torn := simdisk.New()
		for _, op := range []journal.Op{{Kind: journal.Create, Segment: 1, Data: whole[:cut]}, {Kind: journal.Sync, Segment: 1}, {Kind: journal.SyncDir}} {
			if err := torn.Do(op); err != nil {
				t.Fatal(err)
			}
		}
		again, err := start(torn, rules, 0)
		if err != nil {
			t.Fatalf("cut at %d of %d: %v", cut, len(whole), err)
		}
		if len(again.has) < last {
			t.Fatalf("cut at %d: %d records, and one byte less has %d", cut, len(again.has), last)
		}
		last = len(again.has)
		again.put("new", 1)
		again.settle()
		if third, err := start(torn, rules, 0); err != nil || len(third.has) != last+1 {
			t.Fatalf("cut at %d: begun again: %d records, %v", cut, len(third.has), err)
		}
	}
	if last == 0 {
		t.Fatal("nothing was read at all")
	}
}

// Every byte of what was synced, changed: an error that names the segment and an offset at or before it, and no byte of the disk is another;
// but in the last group of all, which can't be told from a cut one, until the log is closed.
func TestEveryDamage(t *testing.T) {
	for _, closed := range []bool{false, true} {
		disk := simdisk.New()
		o, _ := start(disk, rules, 0)
		for i := range 30 {
			o.put("k"+strconv.Itoa(i), i+1)
			o.settle()
		}
		if closed {
			o.log.Close()
			o.settle()
			if !o.log.Closed() {
				t.Fatal("it does not close")
			}
		}
		numbers := slices.Sorted(slices.Values(disk.List()))
		if len(numbers) < 2 {
			t.Fatalf("%d segments", len(numbers))
		}
		missed := 0
		for _, n := range numbers {
			for at := range len(disk.Segment(n)) {
				hurt := disk.Clone()
				hurt.Corrupt(n, int64(at), 0x40)
				again, err := start(hurt, rules, 0)
				var damage *journal.CorruptError
				switch {
				case errors.As(err, &damage):
					if damage.Segment != n || damage.Offset > int64(at) || !errors.Is(err, journal.ErrCorrupt) {
						t.Fatalf("closed %v: byte %d of segment %d: %v", closed, at, n, err)
					}
				case errors.Is(err, journal.ErrForeign): // its head tells of another log
				case err != nil:
					t.Fatalf("byte %d of segment %d: %v", at, n, err)
				default:
					missed++
					if n != numbers[len(numbers)-1] || closed && len(again.has) < 30 || len(again.has) < 29 {
						t.Fatalf("closed %v: byte %d of segment %d of %d: no error, and %d records", closed, at, n, len(numbers), len(again.has))
					}
				}
			}
		}
		t.Logf("closed %v: %d bytes whose change is taken for a cut", closed, missed)
	}
}

// A segment that is missing from the middle, one of another log, and one under another's name are errors; what never was a segment is removed.
func TestFilesThatDoNotFit(t *testing.T) {
	disk := simdisk.New()
	o, _ := start(disk, rules, 0)
	for i := range 60 {
		o.put("k"+strconv.Itoa(i), i+1)
		o.settle()
	}
	numbers := slices.Sorted(slices.Values(disk.List()))
	if len(numbers) < 3 {
		t.Fatalf("%d segments", len(numbers))
	}
	check := func(what string, want error, change func(d *simdisk.Disk)) {
		t.Helper()
		d := disk.Clone()
		change(d)
		if _, err := start(d, rules, 0); !errors.Is(err, want) {
			t.Errorf("%s: %v", what, err)
		}
	}
	check("whole", nil, func(*simdisk.Disk) {})
	check("the middle is missing", journal.ErrCorrupt, func(d *simdisk.Disk) { _ = d.Do(journal.Op{Kind: journal.Remove, Segment: numbers[1]}) })
	check("under another name", journal.ErrForeign, func(d *simdisk.Disk) {
		_ = d.Do(journal.Op{Kind: journal.Create, Segment: 99, Data: disk.Segment(numbers[1])})
	})
	check("another log's", journal.ErrForeign, func(d *simdisk.Disk) {
		other := simdisk.New()
		l, _ := journal.Recover(rules, 8, nil, other.Load, func([]byte) (*slot, error) { return nil, nil })
		for op := l.Next(0); op.Kind != journal.None; op = l.Next(0) {
			l.Done(0, other.Do(op))
		}
		_ = d.Do(journal.Op{Kind: journal.Remove, Segment: numbers[0]})
		_ = d.Do(journal.Op{Kind: journal.Create, Segment: numbers[0], Data: other.Segment(1)})
	})
	check("a head that was not finished", nil, func(d *simdisk.Disk) {
		_ = d.Do(journal.Op{Kind: journal.Create, Segment: 99, Data: disk.Segment(1)[:20]})
	})
	d := disk.Clone()
	_ = d.Do(journal.Op{Kind: journal.Create, Segment: 99, Data: disk.Segment(1)[:20]})
	again, err := start(d, rules, 0)
	if err != nil {
		t.Fatal(err)
	}
	again.settle()
	if d.Segment(99) != nil || d.Segment(100) == nil {
		t.Error("a file that never was a segment is kept, or its number is used again")
	}
}

// A full disk: the log says so, keeps no bytes, tries again ever more seldom, and writes what is not on disk as soon as there is room.
func TestAFullDisk(t *testing.T) {
	disk := simdisk.New()
	o, _ := start(disk, rules, 0)
	o.put("a", 1)
	o.settle()
	disk.Capacity = disk.Bytes() + 10
	o.put("b", 2)
	for range 1000 {
		o.put("c", 3)
		o.step()
		o.now += 100 * time.Millisecond
	}
	u := o.log.Usage()
	if !errors.Is(o.log.Err(), simdisk.ErrFull) || u.PendingBytes > 0 || u.UnwrittenBytes == 0 || o.durable["a"] != 1 || len(o.durable) > 1 {
		t.Fatalf("%v, %+v, durable %v", o.log.Err(), u, o.durable)
	}
	if at, ok := o.log.NextWake(); !ok || at > o.now+time.Minute {
		t.Fatalf("it wakes at %v, %v, and it is %v", at, ok, o.now)
	}
	disk.Capacity = 0
	o.now += time.Minute
	o.settle()
	if o.log.Err() != nil || o.durable["b"] != 2 || o.durable["c"] != 3 {
		t.Fatalf("with room again: %v, durable %v", o.log.Err(), o.durable)
	}
	again, err := start(disk, rules, 0)
	if err != nil || !maps.Equal(again.has, map[string]int{"a": 1, "b": 2, "c": 3}) {
		t.Fatalf("read again: %v, %v", again.has, err)
	}
}

// Bytes that nobody wrote never bring the reader down, and what it makes of them is an error or records.
func FuzzRecover(f *testing.F) {
	disk := simdisk.New()
	o, _ := start(disk, rules, 0)
	for i := range 5 {
		o.put("k"+strconv.Itoa(i), i+1)
		o.settle()
	}
	f.Add(disk.Segment(1), disk.Segment(1)[:44])
	f.Add(disk.Segment(1)[:44], []byte("\x70\x6a\x48\x31"))
	f.Fuzz(func(t *testing.T, one, two []byte) {
		d := simdisk.New()
		_ = d.Do(journal.Op{Kind: journal.Create, Segment: 1, Data: one})
		_ = d.Do(journal.Op{Kind: journal.Create, Segment: 2, Data: two})
		n := 0
		l, err := journal.Recover(rules, 7, d.List(), d.Load, func(rec []byte) (*slot, error) { n += len(rec); return nil, nil })
		if err != nil {
			if !errors.Is(err, journal.ErrCorrupt) && !errors.Is(err, journal.ErrForeign) {
				t.Fatal(err)
			}
			return
		}
		if n > len(one)+len(two) {
			t.Fatalf("%d bytes of records in %d", n, len(one)+len(two))
		}
		for range 100 {
			if op := l.Next(0); op.Kind != journal.None {
				l.Done(0, d.Do(op))
			}
		}
		if err := l.Err(); err != nil {
			t.Fatal(err)
		}
	})
}
