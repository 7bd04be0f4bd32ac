package journal_test

import (
	"errors"
	"slices"
	"strconv"
	"testing"

	"pumicecroft/internal/journal"
	"pumicecroft/internal/simdisk"
)

// applyOps performs operations on a disk.
func applyOps(t *testing.T, disk *simdisk.Disk, ops ...journal.Op) {
	t.Helper()
	for _, op := range ops {
		if err := disk.Do(op); err != nil {
			t.Fatal(err)
		}
	}
}

// sortedSegments returns the numbers of a disk's segments, and fails the test if there are fewer than atLeast.
func sortedSegments(t *testing.T, disk *simdisk.Disk, atLeast int) []uint64 {
	t.Helper()
	segments := slices.Sorted(slices.Values(disk.List()))
	if len(segments) < atLeast {
		t.Fatalf("%d segments, want at least %d", len(segments), atLeast)
	}
	return segments
}

// A crash truncates the only segment, at each byte in turn. Recover must return all complete frames and no
// error, and the log must accept records again.
func TestRecover_TruncatedAtEveryByte(t *testing.T) {
	disk := simdisk.New()
	o := newOwner(t, disk)
	o.putMany(12, func() { o.step() })
	whole := disk.Segment(1)
	last := 0
	for cut := range len(whole) + 1 {
		torn := simdisk.New()
		applyOps(t, torn, journal.Op{Kind: journal.Create, Segment: 1, Data: whole[:cut]},
			journal.Op{Kind: journal.Sync, Segment: 1}, journal.Op{Kind: journal.SyncDir})
		second, err := openOwner(torn, testOptions, 0)
		if err != nil {
			t.Fatalf("truncated to %d of %d bytes: %v", cut, len(whole), err)
		}
		if len(second.values) < last {
			t.Fatalf("truncated to %d bytes: %d records, want at least the %d of one byte less", cut,
				len(second.values), last)
		}
		last = len(second.values)
		second.put("new", 1)
		second.settle()
		if third, err := openOwner(torn, testOptions, 0); err != nil || len(third.values) != last+1 {
			t.Fatalf("truncated to %d bytes, reopened: %d records, want %d, error %v", cut, len(third.values), last+1, err)
		}
	}
	if last == 0 {
		t.Fatal("no records were recovered from the whole segment")
	}
}

// Each byte of a synced log is corrupted in turn. Recover must return an error that names the segment and an
// offset at or before the byte. Only damage to the last group can't be told from a crash, unless the log was
// closed.
func TestRecover_EveryByteCorrupted(t *testing.T) {
	for _, closed := range []bool{false, true} {
		t.Run("closed "+strconv.FormatBool(closed), func(t *testing.T) { testEveryByteCorrupted(t, closed) })
	}
}

func testEveryByteCorrupted(t *testing.T, closed bool) {
	const records = 30
	disk := simdisk.New()
	o := newOwner(t, disk)
	o.putMany(records, o.settle)
	if closed {
		o.log.Close()
		o.settle()
		if !o.log.Closed() {
			t.Fatal("Closed returned false after Close and all operations")
		}
	}
	segments := sortedSegments(t, disk, 2)
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
					t.Fatalf("corrupted byte %d of segment %d: error %v, want ErrCorrupt at or before the byte", offset, n, err)
				}
			case errors.Is(err, journal.ErrForeign): // its header names another log
			case err != nil:
				t.Fatalf("corrupted byte %d of segment %d: error %v, want ErrCorrupt or ErrForeign", offset, n, err)
			default:
				missed++
				if n != lastSegment || closed && len(next.values) < records || len(next.values) < records-1 {
					t.Fatalf("corrupted byte %d of segment %d of %d: no error, and %d of %d records", offset, n,
						len(segments), len(next.values), records)
				}
			}
		}
	}
	t.Logf("%d bytes whose corruption was taken for the effect of a crash", missed)
}

// foreignSegment returns the first segment of another log.
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

// Segment files are missing, renamed, or belong to another log. Recover must return an error. Only a file whose
// header was never completed is accepted: it is removed, and its number is not reused.
func TestRecover_InvalidFileSet(t *testing.T) {
	disk := simdisk.New()
	o := newOwner(t, disk)
	o.putMany(60, o.settle)
	segments := sortedSegments(t, disk, 3)
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
			applyOps(t, changed, c.ops...)
			if _, err := openOwner(changed, testOptions, 0); !errors.Is(err, c.want) {
				t.Errorf("Recover returned error %v, want %v", err, c.want)
			}
		})
	}
	changed := disk.Clone()
	applyOps(t, changed, unfinished)
	next, err := openOwner(changed, testOptions, 0)
	if err != nil {
		t.Fatal(err)
	}
	next.settle()
	if changed.Segment(99) != nil || changed.Segment(100) == nil {
		t.Errorf("segment 99, with an unfinished header, exists: %v, want false; its successor 100 exists: %v, want true",
			changed.Segment(99) != nil, changed.Segment(100) != nil)
	}
}

// Two segment files have arbitrary contents. Recover must return an error, or a log that accepts records.
func FuzzRecover(f *testing.F) {
	disk := simdisk.New()
	o := newOwner(f, disk)
	o.putMany(5, o.settle)
	f.Add(disk.Segment(1), disk.Segment(1)[:44])
	f.Add(disk.Segment(1)[:44], []byte("\x70\x6a\x48\x31"))
	f.Fuzz(func(t *testing.T, one, two []byte) {
		disk := simdisk.New()
		applyOps(t, disk, journal.Op{Kind: journal.Create, Segment: 1, Data: one},
			journal.Op{Kind: journal.Create, Segment: 2, Data: two})
		bytes := 0
		restore := func(record []byte) (*slot, error) { bytes += len(record); return nil, nil }
		log, err := journal.Recover(testOptions, testLogID, disk.List(), disk.Load, restore)
		if err != nil {
			if !errors.Is(err, journal.ErrCorrupt) && !errors.Is(err, journal.ErrForeign) {
				t.Fatalf("Recover returned error %v, want ErrCorrupt or ErrForeign", err)
			}
			return
		}
		if bytes > len(one)+len(two) {
			t.Fatalf("recovered %d bytes of records from %d bytes of files", bytes, len(one)+len(two))
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
