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

// randomTest is an owner that is driven by random events.
type randomTest struct {
	*owner
	seed      uint64
	rng       *rand.Rand
	options   journal.Options
	fault     error          // not nil: two of three operations fail with it
	lastValue int            // of any name
	written   map[string]int // the last value of each name, including dropped names
}

func newRandomTest(t *rapid.T) *randomTest {
	seed := rapid.Uint64().Draw(t, "seed")
	c := &randomTest{seed: seed, rng: rand.New(rand.NewPCG(seed, 1)), options: testOptions, written: map[string]int{}}
	if c.rng.IntN(3) == 0 {
		c.options.GroupCommitDelay = time.Duration(c.rng.IntN(5)) * time.Millisecond
	}
	o, err := openOwner(simdisk.New(), c.options, 0)
	if err != nil {
		t.Fatal(err)
	}
	c.owner = o
	c.injectFaults()
	return c
}

// injectFaults makes the disk's operations fail at random while fault is set.
func (c *randomTest) injectFaults() {
	c.disk.PartialWrite = func(n int) int { return c.rng.IntN(n + 1) }
	c.disk.Fault = func(journal.Op) error {
		if c.fault != nil && c.rng.IntN(3) > 0 {
			return c.fault
		}
		return nil
	}
}

// randomEvent performs one random event.
func (c *randomTest) randomEvent(t *rapid.T) {
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

// restart ends the process, with or without a crash of the machine, and checks what the next process recovers.
func (c *randomTest) restart(t *rapid.T) {
	t.Helper()
	if c.rng.IntN(2) == 0 {
		c.disk.Crash(c.rng)
	}
	c.disk.Fault, c.disk.PartialWrite = nil, nil
	next, err := openOwner(c.disk, c.options, c.now)
	if err != nil {
		t.Fatalf("seed %d: recovery after a restart: %v", c.seed, err)
	}
	for name, value := range c.durable {
		if next.values[name] < value {
			t.Fatalf("seed %d: recovered %s = %d, want at least the durable value %d", c.seed, name, next.values[name], value)
		}
	}
	for name, value := range next.values {
		if value > c.written[name] {
			t.Fatalf("seed %d: recovered %s = %d, which was never written", c.seed, name, value)
		}
	}
	maps.Copy(next.durable, c.durable)
	c.owner = next
	c.injectFaults()
}

// checkSettled lets the log settle on a working disk, and checks its size and what is recovered after a crash.
func (c *randomTest) checkSettled(t *rapid.T) {
	t.Helper()
	c.disk.Fault = nil
	c.now += 2 * time.Minute
	c.settle()
	u := c.log.Usage()
	if c.log.Err() != nil || u.UnwrittenBytes > 0 || u.PendingBytes > 0 || len(c.pending) > 0 {
		t.Fatalf("seed %d: settled on a working disk: usage %+v, error %v, want nothing pending or unwritten",
			c.seed, u, c.log.Err())
	}
	limit := 2*u.LiveBytes + 4*c.options.SegmentBytes
	if u.Bytes > limit || c.disk.Bytes() > int(limit)+8*44 {
		t.Fatalf("seed %d: %d bytes in %d segments, %d on disk, want at most %d for %d live bytes", c.seed, u.Bytes,
			u.Segments, c.disk.Bytes(), limit, u.LiveBytes)
	}
	c.disk.Crash(c.rng)
	next, err := openOwner(c.disk, c.options, c.now)
	if err != nil {
		t.Fatal(err)
	}
	for name, value := range c.values {
		if next.values[name] != value {
			t.Fatalf("seed %d: recovered %s = %d after the log had settled, want %d", c.seed, name, next.values[name], value)
		}
	}
}

// Values are put and dropped, the disk fails and works again, processes end and the machine crashes, in random
// order. Values that were reported durable must be recovered, or later ones; nothing may be recovered that was
// not written; the log must stay within its size limit, and accept records again once the disk works.
func TestLog_RandomEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newRandomTest(t)
		for range rapid.IntRange(50, 600).Draw(t, "steps") {
			c.randomEvent(t)
		}
		c.checkSettled(t)
	})
}

// The disk is full. The log must report the error, hold no pending bytes, retry with a growing delay, and write
// the missing records once there is space.
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
		t.Fatalf("on a full disk: error %v, usage %+v, durable %v; want ErrFull, no pending bytes, and only a=1 durable",
			o.log.Err(), u, o.durable)
	}
	if at, ok := o.log.NextWake(); !ok || at > o.now+time.Minute {
		t.Fatalf("NextWake at %v: %v, %v, want a time within a minute", o.now, at, ok)
	}
	disk.Capacity = 0
	o.now += time.Minute
	o.settle()
	if o.log.Err() != nil || o.durable["b"] != 2 || o.durable["c"] != 3 {
		t.Fatalf("with free space again: error %v, durable %v, want b=2 and c=3", o.log.Err(), o.durable)
	}
	next, err := openOwner(disk, testOptions, 0)
	if err != nil || !maps.Equal(next.values, map[string]int{"a": 1, "b": 2, "c": 3}) {
		t.Fatalf("recovered %v, error %v, want a=1, b=2, c=3", next.values, err)
	}
}
