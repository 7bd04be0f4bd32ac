package journal_test

import (
	"errors"
	"maps"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"pumicecroft/internal/journal"
	"pumicecroft/internal/simdisk"

	"pgregory.net/rapid"
)

// courseTest is an owner that goes through random events.
type courseTest struct {
	*owner
	seed      uint64
	rng       *rand.Rand
	options   journal.Options
	fault     error          // not nil: two operations of three fail with it
	lastValue int            // of any name
	written   map[string]int // the last value of each name, dropped ones too
}

func newCourse(t *rapid.T) *courseTest {
	seed := rapid.Uint64().Draw(t, "seed")
	c := &courseTest{seed: seed, rng: rand.New(rand.NewPCG(seed, 1)), options: testOptions, written: map[string]int{}}
	if c.rng.IntN(3) == 0 {
		c.options.GroupCommitDelay = time.Duration(c.rng.IntN(5)) * time.Millisecond
	}
	o, err := openOwner(simdisk.New(), c.options, 0)
	if err != nil {
		t.Fatal(err)
	}
	c.owner = o
	c.makeFaulty()
	return c
}

// makeFaulty has the disk's operations fail by chance while there is a fault.
func (c *courseTest) makeFaulty() {
	c.disk.PartialWrite = func(n int) int { return c.rng.IntN(n + 1) }
	c.disk.Fault = func(journal.Op) error {
		if c.fault != nil && c.rng.IntN(3) > 0 {
			return c.fault
		}
		return nil
	}
}

// event lets one random event happen.
func (c *courseTest) event(t *rapid.T) {
	c.now += time.Duration(c.rng.IntN(3)) * time.Millisecond
	name := "k" + strconv.Itoa(c.rng.IntN(20))
	switch n := c.rng.IntN(100); {
	case n < 45:
		c.lastValue++
		c.written[name] = c.lastValue
		c.put(name, c.lastValue)
	case n < 55:
		c.drop(name)
	case n < 56 && c.fault == nil:
		c.fault = simdisk.ErrIO
	case n < 58:
		c.fault = nil
	case n < 59:
		c.now += 3 * time.Second
	case n < 62:
		c.restart(t)
	default:
		c.step()
	}
}

// restart ends the process, with a crash of the machine or without, and checks what the next one reads.
func (c *courseTest) restart(t *rapid.T) {
	t.Helper()
	if c.rng.IntN(2) == 0 {
		c.disk.Crash(c.rng)
	}
	c.disk.Fault, c.disk.PartialWrite = nil, nil
	next, err := openOwner(c.disk, c.options, c.now)
	if err != nil {
		t.Fatalf("seed %d: after a crash: %v", c.seed, err)
	}
	for name, value := range c.durable {
		if next.values[name] < value {
			t.Fatalf("seed %d: %s is %d, and %d was durable", c.seed, name, next.values[name], value)
		}
	}
	for name, value := range next.values {
		if value > c.written[name] {
			t.Fatalf("seed %d: %s is %d, which was never written", c.seed, name, value)
		}
	}
	maps.Copy(next.durable, c.durable)
	c.owner = next
	c.makeFaulty()
}

// checkAtRest lets the log settle on a working disk, and checks its size and what is read after a crash.
func (c *courseTest) checkAtRest(t *rapid.T) {
	t.Helper()
	c.disk.Fault = nil
	c.now += 2 * time.Minute
	c.settle()
	u := c.log.Usage()
	if c.log.Err() != nil || u.UnwrittenBytes > 0 || u.PendingBytes > 0 || len(c.pending) > 0 {
		t.Fatalf("seed %d: with a working disk it ends as %+v, %v", c.seed, u, c.log.Err())
	}
	limit := 2*u.LiveBytes + 4*c.options.SegmentBytes
	if u.Bytes > limit || c.disk.Bytes() > int(limit)+8*44 {
		t.Fatalf("seed %d: %d bytes in %d segments, %d on disk, for %d that count", c.seed, u.Bytes, u.Segments,
			c.disk.Bytes(), u.LiveBytes)
	}
	c.disk.Crash(c.rng)
	next, err := openOwner(c.disk, c.options, c.now)
	if err != nil {
		t.Fatal(err)
	}
	for name, value := range c.values {
		if next.values[name] != value {
			t.Fatalf("seed %d: %s is %d, and %d is read after it was at rest", c.seed, name, value, next.values[name])
		}
	}
}

// Values are put and dropped, the disk fails and works again, processes end and the machine crashes, in any
// order. What was reported durable must be read again, with that value or a later one; nothing may be read
// that was not written; the log must keep within its size, and recover by itself when the disk does.
func TestLog_AnyCourseOfEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCourse(t)
		for range rapid.IntRange(50, 600).Draw(t, "steps") {
			c.event(t)
		}
		c.checkAtRest(t)
	})
}

// The disk is full. The log must report it, hold no bytes, retry ever less often, and write what is not on
// disk as soon as there is room.
func TestLog_FullDisk(t *testing.T) {
	disk := simdisk.New()
	o := newOwner(t, disk)
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
	if !errors.Is(o.log.Err(), simdisk.ErrFull) || u.PendingBytes > 0 || u.UnwrittenBytes == 0 ||
		o.durable["a"] != 1 || len(o.durable) > 1 {
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
	next, err := openOwner(disk, testOptions, 0)
	if err != nil || !maps.Equal(next.values, map[string]int{"a": 1, "b": 2, "c": 3}) {
		t.Fatalf("read again: %v, %v", next.values, err)
	}
}
