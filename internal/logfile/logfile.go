// Package logfile keeps package journal's logs in a directory of files and carries out their operations, in one goroutine each. It
// knows files and their locks, and nothing of what a log is for. A directory is one log's, and one process's at a time.
package logfile

import (
	"cmp"
	"context"
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"

	"pumicecroft/internal/atomicfile"
	"pumicecroft/internal/journal"
)

// ErrInUse says that another process has the directory.
var ErrInUse = errors.New("another process keeps its log there")

// SegmentStore is what a log's operations are carried out on. One caller at a time uses it.
type SegmentStore interface {
	// Do carries out an operation. Whatever it has left undone is its error.
	Do(journal.Op) error
	// List names the segments that are there.
	List() ([]uint64, error)
	// Load reads the first bytes of a segment, most at the most.
	Load(number uint64, most int64) ([]byte, error)
	Close() error
}

const (
	segmentSuffix = ".journal"
	lockName      = "lock"
)

// Dir is a directory on disk. It is not safe for concurrent use.
type Dir struct {
	path       string
	lock       *atomicfile.Lock
	openNumber uint64
	openFile   *os.File // of number; nil: none is open
}

// OpenDir takes a directory, which it makes if it is not there, for this process.
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

func (d *Dir) segmentPath(n uint64) string {
	return filepath.Join(d.path, fmt.Sprintf("%016x%s", n, segmentSuffix))
}

// List names the segments; other files are passed over.
func (d *Dir) List() (numbers []uint64, err error) {
	entries, err := os.ReadDir(d.path)
	if err != nil {
		return nil, err
	}
	for _, e := range entries {
		text, ok := strings.CutSuffix(e.Name(), segmentSuffix)
		if n, err := strconv.ParseUint(text, 16, 64); ok && err == nil && len(text) == 16 && e.Type().IsRegular() {
			numbers = append(numbers, n)
		}
	}
	return numbers, nil
}

// Load reads the first bytes of a segment.
func (d *Dir) Load(number uint64, most int64) ([]byte, error) {
	f, err := os.Open(d.segmentPath(number))
	if err != nil {
		return nil, err
	}
	defer f.Close()
	st, err := f.Stat()
	if err != nil {
		return nil, err
	}
	b := make([]byte, min(st.Size(), most))
	n, err := io.ReadFull(f, b)
	if errors.Is(err, io.ErrUnexpectedEOF) { // it is shorter than it was a moment ago: what is there counts
		err = nil
	}
	return b[:n], err
}

// Do carries out an operation.
func (d *Dir) Do(op journal.Op) error {
	switch op.Kind {
	case journal.Create:
		f, err := os.OpenFile(d.segmentPath(op.Segment), os.O_CREATE|os.O_EXCL|os.O_WRONLY, 0o600)
		if err != nil {
			return err
		}
		d.setOpen(op.Segment, f)
		_, err = f.Write(op.Data)
		return err
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
		f, err := os.Open(d.path)
		if err != nil {
			return err
		}
		return cmp.Or(f.Sync(), f.Close())
	case journal.Remove:
		if err := os.Remove(d.segmentPath(op.Segment)); err != nil && !errors.Is(err, fs.ErrNotExist) {
			return err
		}
	}
	return nil
}

// openSegment has the file of a segment open. It is opened once and kept until another is wanted, as an error of writing back shows at one
// descriptor only once.
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
	if d.openFile != nil {
		d.openFile.Close() // what it has to say of it was said by Sync
	}
	d.openNumber, d.openFile = number, f
}

// Close lets go of the directory.
func (d *Dir) Close() error {
	if d.openFile != nil {
		d.openFile.Close()
	}
	return d.lock.Close()
}

// NewLogID draws what a new log is known by.
func NewLogID() uint64 {
	var b [8]byte
	_, _ = rand.Read(b[:]) // it never fails
	return binary.LittleEndian.Uint64(b[:])
}

// Runner carries out a log's operations, in a goroutine of its own, while others append under the lock that it shares with them.
// Nothing is done on files under that lock.
type Runner[T any] struct {
	mu         sync.Locker
	log        *journal.Log[T]
	files      SegmentStore
	clock      func() time.Duration
	onProgress func()
	wake       chan struct{}
	done       chan struct{}
}

// Run begins. each is called under the lock after each operation, and when the log wakes by itself: to see what is durable or
// lost, and to append what is stale. clock is the log's.
func Run[T any](mu sync.Locker, log *journal.Log[T], files SegmentStore, clock func() time.Duration, each func()) *Runner[T] {
	r := &Runner[T]{mu: mu, log: log, files: files, clock: clock, onProgress: each, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go r.run()
	return r
}

// Wake says that something was appended. It does not wait.
func (r *Runner[T]) Wake() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

func (r *Runner[T]) run() {
	defer close(r.done)
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		r.mu.Lock()
		r.onProgress()
		op := r.log.Next(r.clock())
		at, wakes := r.log.NextWake()
		closed := r.log.Closed()
		r.mu.Unlock()
		switch {
		case op.Kind != journal.None:
			err := r.files.Do(op)
			r.mu.Lock()
			r.log.Done(r.clock(), err)
			r.mu.Unlock()
			continue
		case closed:
			return
		case !wakes:
			<-r.wake
			continue
		}
		timer.Reset(max(0, at-r.clock()))
		select {
		case <-r.wake:
		case <-timer.C:
		}
	}
}

// Close has the log write and sync what it has, and lets go of the files; the lock must not be held. The error tells that something was not
// written. When ctx ends before, as the disk hangs, it is ctx's, and the files are left to the operation that is under way.
func (r *Runner[T]) Close(ctx context.Context) error {
	r.mu.Lock()
	r.log.Close()
	r.mu.Unlock()
	r.Wake()
	select {
	case <-r.done:
	case <-ctx.Done():
		return context.Cause(ctx)
	}
	r.mu.Lock()
	err := r.log.Err()
	r.mu.Unlock()
	return cmp.Or(err, r.files.Close())
}
