package journal_test

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"pumicecroft/internal/journal"
	"pumicecroft/internal/simdisk"
)

type slot = journal.Slot[string]

// testOptions make small segments and groups.
var testOptions = journal.Options{SegmentBytes: 4 << 10, MaxPending: 2 << 10, RetryDelay: time.Second}

// testLogID is the ID of the logs in these tests.
const testLogID = 7

// owner stores numbered values by name in a log on a simulated disk, as callers of the package do.
type owner struct {
	log    *journal.Log[string]
	disk   *simdisk.Disk
	now    time.Duration
	slots  map[string]*slot
	values map[string]int // the last value of each name

	pending []pendingValue
	// durable holds the newest durable value of each name that was not dropped: Recover must return it or a
	// later one.
	durable map[string]int
}

// pendingValue is a value whose record is not durable yet.
type pendingValue struct {
	seq   uint64
	name  string
	value int
}

// openOwner returns an owner with the values that are recovered from the disk.
func openOwner(disk *simdisk.Disk, options journal.Options, now time.Duration) (*owner, error) {
	o := &owner{disk: disk, now: now, slots: map[string]*slot{}, values: map[string]int{}, durable: map[string]int{}}
	var err error
	o.log, err = journal.Recover(options, testLogID, disk.List(), disk.Load, o.restore)
	return o, err
}

// newOwner returns an owner with an empty log.
func newOwner(t testing.TB, disk *simdisk.Disk) *owner {
	t.Helper()
	o, err := openOwner(disk, testOptions, 0)
	if err != nil {
		t.Fatal(err)
	}
	return o
}

func (o *owner) restore(record []byte) (*slot, error) {
	name, text, _ := strings.Cut(string(record), "=")
	value, err := strconv.Atoi(strings.TrimRight(text, "."))
	if err != nil {
		return nil, err
	}
	o.values[name] = value
	return o.slot(name), nil
}

// slot returns the slot of a name, which it creates if necessary.
func (o *owner) slot(name string) *slot {
	if o.slots[name] == nil {
		o.slots[name] = &slot{Value: name}
	}
	return o.slots[name]
}

// encodeValue encodes a record, with padding whose length depends on the value.
func encodeValue(name string, value int) []byte {
	return []byte(fmt.Sprintf("%s=%d%s", name, value, strings.Repeat(".", value*37%400)))
}

func (o *owner) put(name string, value int) {
	s := o.slot(name)
	o.values[name] = value
	if seq := o.log.Append(o.now, s, encodeValue(name, value)); seq > 0 {
		o.pending = append(o.pending, pendingValue{seq, name, value})
	}
}

// putMany puts n values with distinct names. It calls after once for each, when it is put.
func (o *owner) putMany(n int, after func()) {
	for i := range n {
		o.put("k"+strconv.Itoa(i), i+1)
		after()
	}
}

func (o *owner) drop(name string) {
	o.slots[name].Drop()
	delete(o.slots, name)
	delete(o.values, name)
	delete(o.durable, name)
	o.pending = slices.DeleteFunc(o.pending, func(p pendingValue) bool { return p.name == name })
}

// step performs one operation, appends stale records again, and reports whether there was an operation.
func (o *owner) step() bool {
	op := o.log.Next(o.now)
	if op.Kind != journal.None {
		o.log.Done(o.now, o.disk.Do(op))
	}
	for len(o.pending) > 0 && o.pending[0].seq <= max(o.log.Durable(), o.log.Lost()) {
		if p := o.pending[0]; p.seq <= o.log.Durable() {
			o.durable[p.name] = max(o.durable[p.name], p.value)
		}
		o.pending = o.pending[1:]
	}
	for s := o.log.Stale(); s != nil; s = o.log.Stale() {
		o.put(s.Value, o.values[s.Value])
	}
	return op.Kind != journal.None
}

// settle performs operations, and advances the time, until there is nothing left to do.
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
			panic("NextWake returned the present time, but there is no operation")
		}
		o.now = at
	}
	panic("the log still has operations to do after 10,000 steps")
}
