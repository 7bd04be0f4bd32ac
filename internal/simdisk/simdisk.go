// Package simdisk is a disk in memory that loses what disks lose: after a crash, what was not
// synced is there or not, sector by sector; an operation may fail, and a sync that failed leaves
// its data unsynced for good, whatever later ones report. It carries out package journal's
// operations. It is pure: randomness is the caller's, and there is one caller at a time.
package simdisk

import (
	"errors"
	"maps"
	"math/rand/v2"
	"slices"

	"pumicecroft/internal/journal"
)

// Sector is how many bytes a disk writes as a whole or not at all.
const Sector = 512

// How operations end.
var (
	ErrFull             = errors.New("no space left on the disk")
	ErrIO               = errors.New("input/output error")
	errInvalidOperation = errors.New("simdisk: the operation does not fit what is there")
)

// file is one segment's file.
type file struct {
	content    []byte
	synced     []byte // what of content survives a crash for sure
	syncFailed bool   // no later sync makes more of it durable
	nameSynced bool   // its directory entry survives a crash
}

func (f *file) clone() *file {
	c := *f
	c.content, c.synced = append([]byte(nil), f.content...), append([]byte(nil), f.synced...)
	return &c
}

// Disk is one directory of segments' files.
type Disk struct {
	// Capacity is in bytes; 0: without a bound.
	Capacity int
	// Fault is called before each operation, and may give the error that it ends with; nil: none
	// fails.
	Fault func(journal.Op) error
	// PartialWrite tells how many of n bytes a failed write leaves in its file; nil: all.
	PartialWrite func(n int) int

	files   map[uint64]*file
	removed map[uint64]*file // may be back after a crash, as their removal is not synced
}

// New makes an empty disk.
func New() *Disk { return &Disk{files: map[uint64]*file{}, removed: map[uint64]*file{}} }

// List gives the numbers of the segments that are there, in no order.
func (d *Disk) List() (numbers []uint64) {
	for n := range d.files {
		numbers = append(numbers, n)
	}
	return numbers
}

// Load reads the first bytes of a segment, most of them at most.
func (d *Disk) Load(number uint64, most int64) ([]byte, error) {
	f := d.files[number]
	if f == nil {
		return nil, errInvalidOperation
	}
	return append([]byte(nil), f.content[:min(int64(len(f.content)), most)]...), nil
}

// Bytes is the size of all files.
func (d *Disk) Bytes() (n int) {
	for _, f := range d.files {
		n += len(f.content)
	}
	return n
}

// Do carries out an operation. A write that fails may leave a part of its data.
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

// write appends to a file, as far as there is room. err is the fault that it ends with.
func (d *Disk) write(f *file, at int64, data []byte, err error) error {
	if room := d.Capacity - d.Bytes(); err == nil && d.Capacity > 0 && len(data) > room {
		data, err = data[:max(0, room)], ErrFull
	} else if err != nil && d.PartialWrite != nil {
		data = data[:d.PartialWrite(len(data))]
	}
	f.content = append(f.content[:at], data...)
	return err
}

// Crash stops the machine: what was not synced is there or not, as rng has it. What is left is
// synced.
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
		odds := rng.IntN(4) // a few sectors, or most
		for at := len(f.synced) / Sector * Sector; at < length; at += Sector {
			if rng.IntN(4) <= odds {
				from := max(at, len(f.synced)) // what was synced is not written anew
				copy(kept[from:min(at+Sector, length)], f.content[from:])
			}
		}
		d.files[n] = &file{content: kept, synced: append([]byte(nil), kept...), nameSynced: true}
	}
}

// Clone makes another disk with the same files, without faults.
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

// Corrupt changes a byte of a segment, and tells whether there is one to change.
func (d *Disk) Corrupt(number uint64, at int64, by byte) bool {
	f := d.files[number]
	if f == nil || at >= int64(len(f.content)) || by == 0 {
		return false
	}
	f.content[at] ^= by
	return true
}

// Segment gives the content of a segment's file, which must not be changed; nil: there is none.
func (d *Disk) Segment(number uint64) []byte {
	if f := d.files[number]; f != nil {
		return f.content
	}
	return nil
}

func sortedNumbers(m map[uint64]*file) []uint64 { return slices.Sorted(maps.Keys(m)) }
