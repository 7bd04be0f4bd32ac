// Package simdisk simulates a disk in memory, with its faults. After a crash, each sector that was
// not synced is lost or kept at random. Operations may fail, and a failed sync leaves its data
// unsynced for good, whatever later syncs report. A Disk performs the operations of package journal.
// It is pure: the caller provides the randomness and serializes all calls.
package simdisk

import (
	"errors"
	"maps"
	"math/rand/v2"
	"slices"

	"pumicecroft/internal/journal"
)

// Sector is the number of bytes that a disk writes atomically.
const Sector = 512

// Errors of operations.
var (
	ErrFull             = errors.New("no space left on the disk")
	ErrIO               = errors.New("input/output error")
	errInvalidOperation = errors.New("simdisk: operation does not match the state of its file")
)

// file is the file of one segment.
type file struct {
	content    []byte
	synced     []byte // the part of content that is certain to survive a crash
	syncFailed bool   // later syncs make no more of it durable
	nameSynced bool   // its directory entry survives a crash
}

func (f *file) clone() *file {
	c := *f
	c.content, c.synced = append([]byte(nil), f.content...), append([]byte(nil), f.synced...)
	return &c
}

// Disk is a directory of segment files.
type Disk struct {
	// Capacity is the size of the disk in bytes; 0: unlimited.
	Capacity int
	// Fault is called before each operation and may return an error for the operation to fail with.
	// nil: no operation fails.
	Fault func(journal.Op) error
	// PartialWrite returns how many of n bytes a failed write leaves in its file; nil: all.
	PartialWrite func(n int) int

	files   map[uint64]*file
	removed map[uint64]*file // may reappear after a crash, as their removal was not synced
}

// New returns an empty disk.
func New() *Disk { return &Disk{files: map[uint64]*file{}, removed: map[uint64]*file{}} }

// List returns the numbers of the existing segments, in no particular order.
func (d *Disk) List() (numbers []uint64) {
	for n := range d.files {
		numbers = append(numbers, n)
	}
	return numbers
}

// Load reads the first bytes of a segment, at most limit of them.
func (d *Disk) Load(number uint64, limit int64) ([]byte, error) {
	f := d.files[number]
	if f == nil {
		return nil, errInvalidOperation
	}
	return append([]byte(nil), f.content[:min(int64(len(f.content)), limit)]...), nil
}

// Bytes returns the total size of all files.
func (d *Disk) Bytes() (n int) {
	for _, f := range d.files {
		n += len(f.content)
	}
	return n
}

// Do performs an operation. A failed write may leave a part of its data in the file.
func (d *Disk) Do(op journal.Op) error {
	var err error
	if d.Fault != nil {
		err = d.Fault(op)
	}
	f := d.files[op.Segment]
	switch op.Kind {
	case journal.Create:
		if f != nil {
			return errInvalidOperation
		}
		if err != nil {
			return err
		}
		d.files[op.Segment] = &file{}
		return d.write(d.files[op.Segment], 0, op.Data, nil)
	case journal.Write:
		if f == nil || op.Offset != int64(len(f.content)) {
			return errInvalidOperation
		}
		return d.write(f, op.Offset, op.Data, err)
	case journal.Sync:
		switch {
		case f == nil:
			return errInvalidOperation
		case err != nil:
			f.syncFailed = true
		case !f.syncFailed:
			f.synced = append([]byte(nil), f.content...)
		}
	case journal.SyncDir:
		if err == nil {
			for _, f := range d.files {
				f.nameSynced = true
			}
			clear(d.removed)
		}
	case journal.Remove:
		if err == nil && f != nil {
			delete(d.files, op.Segment)
			if f.nameSynced {
				d.removed[op.Segment] = f
			}
		}
	}
	return err
}

// write writes data at the end of a file, as far as the capacity allows. err is the injected fault
// that it returns, if any.
func (d *Disk) write(f *file, offset int64, data []byte, err error) error {
	if free := d.Capacity - d.Bytes(); err == nil && d.Capacity > 0 && len(data) > free {
		data, err = data[:max(0, free)], ErrFull
	} else if err != nil && d.PartialWrite != nil {
		data = data[:d.PartialWrite(len(data))]
	}
	f.content = append(f.content[:offset], data...)
	return err
}

// Crash simulates a crash of the machine: data that was not synced is lost or kept at random. The
// remaining data is synced.
func (d *Disk) Crash(rng *rand.Rand) {
	for _, n := range sortedNumbers(d.removed) {
		if f := d.removed[n]; rng.IntN(2) == 0 {
			d.files[n] = f
		}
	}
	clear(d.removed)
	for _, n := range sortedNumbers(d.files) {
		f := d.files[n]
		if !f.nameSynced && rng.IntN(2) == 0 {
			delete(d.files, n)
			continue
		}
		length := len(f.synced)
		if len(f.content) > length {
			length += rng.IntN(len(f.content) - length + 1)
		}
		kept := make([]byte, length)
		copy(kept, f.synced)
		odds := rng.IntN(4) // from a quarter of the sectors to all are kept
		for offset := len(f.synced) / Sector * Sector; offset < length; offset += Sector {
			if rng.IntN(4) <= odds {
				from := max(offset, len(f.synced)) // the synced part of the sector stays as it is
				copy(kept[from:min(offset+Sector, length)], f.content[from:])
			}
		}
		d.files[n] = &file{content: kept, synced: append([]byte(nil), kept...), nameSynced: true}
	}
}

// Clone returns a copy of the disk's files, without its capacity and faults.
func (d *Disk) Clone() *Disk {
	c := New()
	for n, f := range d.files {
		c.files[n] = f.clone()
	}
	for n, f := range d.removed {
		c.removed[n] = f.clone()
	}
	return c
}

// Corrupt flips the bits of mask in a byte of a segment. It reports whether the byte exists and mask
// is not 0.
func (d *Disk) Corrupt(number uint64, offset int64, mask byte) bool {
	f := d.files[number]
	if f == nil || offset >= int64(len(f.content)) || mask == 0 {
		return false
	}
	f.content[offset] ^= mask
	return true
}

// Segment returns the content of a segment's file, which must not be modified; nil if there is none.
func (d *Disk) Segment(number uint64) []byte {
	if f := d.files[number]; f != nil {
		return f.content
	}
	return nil
}

func sortedNumbers(m map[uint64]*file) []uint64 { return slices.Sorted(maps.Keys(m)) }
