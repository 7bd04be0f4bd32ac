package journal_test

import (
	"errors"
	"slices"
	"strconv"
	"testing"

	"pumicecroft/internal/journal"
	"pumicecroft/internal/simdisk"
)

// do carries out operations on a disk.
func do(t *testing.T, disk *simdisk.Disk, ops ...journal.Op) {
	t.Helper()
	for _, op := range ops {
		if err := disk.Do(op); err != nil {
			t.Fatal(err)
		}
	}
}

// segmentsOf are the numbers of a disk's segments, in order, at least so many.
func segmentsOf(t *testing.T, disk *simdisk.Disk, atLeast int) []uint64 {
	t.Helper()
	segments := slices.Sorted(slices.Values(disk.List()))
	if len(segments) < atLeast {
		t.Fatalf("%d segments", len(segments))
	}
	return segments
}

// A crash cuts the only segment off, at each byte in turn. Recover must return all complete frames and no
// error, and the log must go on from there.
func TestRecover_EveryCut(t *testing.T) {
	disk := simdisk.New()
	o := newOwner(t, disk)
	o.fill(12, func() { o.step() })
	whole := disk.Segment(1)
	last := 0
	for cut := range len(whole) + 1 {
		torn := simdisk.New()
		do(t, torn, journal.Op{Kind: journal.Create, Segment: 1, Data: whole[:cut]},
			journal.Op{Kind: journal.Sync, Segment: 1}, journal.Op{Kind: journal.SyncDir})
		second, err := openOwner(torn, testOptions, 0)
		if err != nil {
			t.Fatalf("cut at %d of %d: %v", cut, len(whole), err)
		}
		if len(second.values) < last {
			t.Fatalf("cut at %d: %d records, and one byte less has %d", cut, len(second.values), last)
		}
		last = len(second.values)
		second.put("new", 1)
		second.settle()
		if third, err := openOwner(torn, testOptions, 0); err != nil || len(third.values) != last+1 {
			t.Fatalf("cut at %d, opened again: %d records, %v", cut, len(third.values), err)
		}
	}
	if last == 0 {
		t.Fatal("nothing was read at all")
	}
}

// Each byte of a synced log is damaged in turn. Recover must return an error that names the segment and an
// offset at or before the byte. Only damage to the last group can't be told from a crash, until the log is
// closed.
func TestRecover_EveryDamagedByte(t *testing.T) {
	for _, closed := range []bool{false, true} {
		t.Run("closed "+strconv.FormatBool(closed), func(t *testing.T) { testEveryDamagedByte(t, closed) })
	}
}

func testEveryDamagedByte(t *testing.T, closed bool) {
	const records = 30
	disk := simdisk.New()
	o := newOwner(t, disk)
	o.fill(records, o.settle)
	if closed {
		o.log.Close()
		o.settle()
		if !o.log.Closed() {
			t.Fatal("it does not close")
		}
	}
	segments := segmentsOf(t, disk, 2)
	lastSegment := segments[len(segments)-1]
	missed := 0
	for _, n := range segments {
		for offset := range len(disk.Segment(n)) {
			damaged := disk.Clone()
			damaged.Corrupt(n, int64(offset), 0x40)
			next, err := openOwner(damaged, testOptions, 0)
			var corrupt *journal.CorruptError
			switch {
			case errors.As(err, &corrupt):
				if corrupt.Segment != n || corrupt.Offset > int64(offset) || !errors.Is(err, journal.ErrCorrupt) {
					t.Fatalf("byte %d of segment %d: %v", offset, n, err)
				}
			case errors.Is(err, journal.ErrForeign): // its header names another log
			case err != nil:
				t.Fatalf("byte %d of segment %d: %v", offset, n, err)
			default:
				missed++
				if n != lastSegment || closed && len(next.values) < records || len(next.values) < records-1 {
					t.Fatalf("byte %d of segment %d of %d: no error, and %d records", offset, n, len(segments), len(next.values))
				}
			}
		}
	}
	t.Logf("%d bytes whose damage is taken for a cut", missed)
}

// foreignSegment is the first segment of another log.
func foreignSegment(t *testing.T) []byte {
	t.Helper()
	disk := simdisk.New()
	restore := func([]byte) (*slot, error) { return nil, nil }
	log, err := journal.Recover(testOptions, testLogID+1, nil, disk.Load, restore)
	if err != nil {
		t.Fatal(err)
	}
	for op := log.Next(0); op.Kind != journal.None; op = log.Next(0) {
		log.Done(0, disk.Do(op))
	}
	return disk.Segment(1)
}

// Files are missing, of another log, or renamed. Recover must return an error; but a file that never became a
// segment is removed, and its number not used again.
func TestRecover_WrongFiles(t *testing.T) {
	disk := simdisk.New()
	o := newOwner(t, disk)
	o.fill(60, o.settle)
	segments := segmentsOf(t, disk, 3)
	unfinished := journal.Op{Kind: journal.Create, Segment: 99, Data: disk.Segment(1)[:20]}
	for _, c := range []struct {
		name string
		ops  []journal.Op
		want error
	}{
		{"unchanged", nil, nil},
		{"missing in the middle", []journal.Op{{Kind: journal.Remove, Segment: segments[1]}}, journal.ErrCorrupt},
		{"renamed", []journal.Op{{Kind: journal.Create, Segment: 99, Data: disk.Segment(segments[1])}}, journal.ErrForeign},
		{"of another log", []journal.Op{
			{Kind: journal.Remove, Segment: segments[0]},
			{Kind: journal.Create, Segment: segments[0], Data: foreignSegment(t)},
		}, journal.ErrForeign},
		{"unfinished header", []journal.Op{unfinished}, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			changed := disk.Clone()
			do(t, changed, c.ops...)
			if _, err := openOwner(changed, testOptions, 0); !errors.Is(err, c.want) {
				t.Errorf("%v, want %v", err, c.want)
			}
		})
	}
	changed := disk.Clone()
	do(t, changed, unfinished)
	next, err := openOwner(changed, testOptions, 0)
	if err != nil {
		t.Fatal(err)
	}
	next.settle()
	if changed.Segment(99) != nil || changed.Segment(100) == nil {
		t.Error("a file that never became a segment is kept, or its number is used again")
	}
}

// Bytes that nobody wrote stand in two files. Recover must return an error or records, and the log must work.
func FuzzRecover(f *testing.F) {
	disk := simdisk.New()
	o := newOwner(f, disk)
	o.fill(5, o.settle)
	f.Add(disk.Segment(1), disk.Segment(1)[:44])
	f.Add(disk.Segment(1)[:44], []byte("\x70\x6a\x48\x31"))
	f.Fuzz(func(t *testing.T, one, two []byte) {
		disk := simdisk.New()
		do(t, disk, journal.Op{Kind: journal.Create, Segment: 1, Data: one},
			journal.Op{Kind: journal.Create, Segment: 2, Data: two})
		bytes := 0
		restore := func(record []byte) (*slot, error) { bytes += len(record); return nil, nil }
		log, err := journal.Recover(testOptions, testLogID, disk.List(), disk.Load, restore)
		if err != nil {
			if !errors.Is(err, journal.ErrCorrupt) && !errors.Is(err, journal.ErrForeign) {
				t.Fatal(err)
			}
			return
		}
		if bytes > len(one)+len(two) {
			t.Fatalf("%d bytes of records in %d", bytes, len(one)+len(two))
		}
		for range 100 {
			if op := log.Next(0); op.Kind != journal.None {
				log.Done(0, disk.Do(op))
			}
		}
		if err := log.Err(); err != nil {
			t.Fatal(err)
		}
	})
}
