package logfile

import (
	"cmp"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"strconv"
	"strings"

	"pumicecroft/internal/atomicfile"
	"pumicecroft/internal/journal"
)

// ErrInUse is returned by OpenDir when another process holds the directory.
var ErrInUse = errors.New("logfile: directory in use by another process")

const (
	segmentSuffix = ".journal"
	numberDigits  = 16 // hexadecimal digits of a segment's number in its file name
	lockName      = "lock"
)

// Dir is a SegmentStore in a directory on disk. It is not safe for concurrent use.
type Dir struct {
	path       string
	lock       *atomicfile.Lock
	openNumber uint64   // the segment that openFile is of
	openFile   *os.File // nil: no segment is open
}

// OpenDir locks a directory for this process and creates it if it does not exist. The error wraps
// ErrInUse if another process holds it.
func OpenDir(path string) (*Dir, error) {
	if err := os.MkdirAll(path, 0o700); err != nil {
		return nil, err
	}
	lock, err := atomicfile.TryLock(filepath.Join(path, lockName))
	if errors.Is(err, atomicfile.ErrLocked) {
		err = fmt.Errorf("%s: %w", path, ErrInUse)
	}
	if err != nil {
		return nil, err
	}
	return &Dir{path: path, lock: lock}, nil
}

func (d *Dir) segmentPath(number uint64) string {
	return filepath.Join(d.path, fmt.Sprintf("%0*x%s", numberDigits, number, segmentSuffix))
}

// List returns the numbers of the segments. Other files are ignored.
func (d *Dir) List() (numbers []uint64, err error) {
	entries, err := os.ReadDir(d.path)
	if err != nil {
		return nil, err
	}
	for _, e := range entries {
		digits, ok := strings.CutSuffix(e.Name(), segmentSuffix)
		number, err := strconv.ParseUint(digits, 16, 64)
		if ok && err == nil && len(digits) == numberDigits && e.Type().IsRegular() {
			numbers = append(numbers, number)
		}
	}
	return numbers, nil
}

// Load reads a segment's first bytes, at most maxBytes of them. If the file is truncated during the
// read, Load returns the bytes that were read.
func (d *Dir) Load(number uint64, maxBytes int64) ([]byte, error) {
	f, err := os.Open(d.segmentPath(number))
	if err != nil {
		return nil, err
	}
	defer f.Close() //nolint:errcheck // it was only read
	info, err := f.Stat()
	if err != nil {
		return nil, err
	}
	data := make([]byte, min(info.Size(), maxBytes))
	n, err := io.ReadFull(f, data)
	if errors.Is(err, io.ErrUnexpectedEOF) {
		err = nil
	}
	return data[:n], err
}

// Do performs an operation.
func (d *Dir) Do(op journal.Op) error {
	switch op.Kind {
	case journal.Create:
		return d.createSegment(op)
	case journal.Write:
		if err := d.openSegment(op.Segment); err != nil {
			return err
		}
		_, err := d.openFile.WriteAt(op.Data, op.Offset)
		return err
	case journal.Sync:
		if err := d.openSegment(op.Segment); err != nil {
			return err
		}
		return d.openFile.Sync()
	case journal.SyncDir:
		return d.syncDir()
	case journal.Remove:
		return d.removeSegment(op.Segment)
	}
	return nil
}

func (d *Dir) createSegment(op journal.Op) error {
	f, err := os.OpenFile(d.segmentPath(op.Segment), os.O_CREATE|os.O_EXCL|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	d.setOpen(op.Segment, f)
	_, err = f.Write(op.Data)
	return err
}

// removeSegment removes a segment, if it exists.
func (d *Dir) removeSegment(number uint64) error {
	err := os.Remove(d.segmentPath(number))
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	return err
}

func (d *Dir) syncDir() error {
	f, err := os.Open(d.path)
	if err != nil {
		return err
	}
	return cmp.Or(f.Sync(), f.Close())
}

// openSegment opens a segment's file, if it is not open already. The descriptor is kept until another
// segment is opened: the kernel reports a failed write-back once per descriptor, so a descriptor that
// is opened later would not report it, and lost data would be treated as synced.
func (d *Dir) openSegment(number uint64) error {
	if d.openFile != nil && d.openNumber == number {
		return nil
	}
	f, err := os.OpenFile(d.segmentPath(number), os.O_WRONLY, 0)
	if err == nil {
		d.setOpen(number, f)
	}
	return err
}

func (d *Dir) setOpen(number uint64, f *os.File) {
	d.closeSegment()
	d.openNumber = number
	d.openFile = f
}

func (d *Dir) closeSegment() {
	if d.openFile != nil {
		_ = d.openFile.Close() // a failed write was reported by Sync
	}
}

// Close releases the directory.
func (d *Dir) Close() error {
	d.closeSegment()
	return d.lock.Close()
}
