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

// Files is what a log's operations are carried out on. One caller at a time uses it.
type Files interface {
	// Do carries out an operation. Whatever it has left undone is its error.
	Do(journal.Op) error
	// List names the segments that are there.
	List() ([]uint64, error)
	// Load reads the first bytes of a segment, most at the most.
	Load(number uint64, most int64) ([]byte, error)
	Close() error
}

const (
	ending   = ".journal"
	lockName = "lock"
)

// Dir is a directory on disk. It is not safe for concurrent use.
type Dir struct {
	path   string
	lock   *atomicfile.Lock
	number uint64
	file   *os.File // of number; nil: none is open
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

func (d *Dir) name(n uint64) string { return filepath.Join(d.path, fmt.Sprintf("%016x%s", n, ending)) }

// List names the segments; other files are passed over.
func (d *Dir) List() (numbers []uint64, err error) {
	entries, err := os.ReadDir(d.path)
	if err != nil {
		return nil, err
	}
	for _, e := range entries {
		text, ok := strings.CutSuffix(e.Name(), ending)
		if n, err := strconv.ParseUint(text, 16, 64); ok && err == nil && len(text) == 16 && e.Type().IsRegular() {
			numbers = append(numbers, n)
		}
	}
	return numbers, nil
}

// Load reads the first bytes of a segment.
func (d *Dir) Load(number uint64, most int64) ([]byte, error) {
	f, err := os.Open(d.name(number))
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
		f, err := os.OpenFile(d.name(op.Segment), os.O_CREATE|os.O_EXCL|os.O_WRONLY, 0o600)
		if err != nil {
			return err
		}
		d.use(op.Segment, f)
		_, err = f.Write(op.Data)
		return err
	case journal.Write:
		if err := d.open(op.Segment); err != nil {
			return err
		}
		_, err := d.file.WriteAt(op.Data, op.Offset)
		return err
	case journal.Sync:
		if err := d.open(op.Segment); err != nil {
			return err
		}
		return d.file.Sync()
	case journal.SyncDir:
		f, err := os.Open(d.path)
		if err != nil {
			return err
		}
		return cmp.Or(f.Sync(), f.Close())
	case journal.Remove:
		if err := os.Remove(d.name(op.Segment)); err != nil && !errors.Is(err, fs.ErrNotExist) {
			return err
		}
	}
	return nil
}

// open has the file of a segment open. It is opened once and kept until another is wanted, as an error of writing back shows at one
// descriptor only once.
func (d *Dir) open(number uint64) error {
	if d.file != nil && d.number == number {
		return nil
	}
	f, err := os.OpenFile(d.name(number), os.O_WRONLY, 0)
	if err == nil {
		d.use(number, f)
	}
	return err
}

func (d *Dir) use(number uint64, f *os.File) {
	if d.file != nil {
		d.file.Close() // what it has to say of it was said by Sync
	}
	d.number, d.file = number, f
}

// Close lets go of the directory.
func (d *Dir) Close() error {
	if d.file != nil {
		d.file.Close()
	}
	return d.lock.Close()
}

// NewID draws what a new log is known by.
func NewID() uint64 {
	var b [8]byte
	_, _ = rand.Read(b[:]) // it never fails
	return binary.LittleEndian.Uint64(b[:])
}

// Runner carries out a log's operations, in a goroutine of its own, while others append under the lock that it shares with them.
// Nothing is done on files under that lock.
type Runner[T any] struct {
	mu    sync.Locker
	log   *journal.Log[T]
	files Files
	clock func() time.Duration
	each  func()
	kick  chan struct{}
	done  chan struct{}
}

// Run begins. each is called under the lock after each operation, and when the log wakes by itself: to see what is durable or
// lost, and to append what is stale. clock is the log's.
func Run[T any](mu sync.Locker, log *journal.Log[T], files Files, clock func() time.Duration, each func()) *Runner[T] {
	r := &Runner[T]{mu: mu, log: log, files: files, clock: clock, each: each, kick: make(chan struct{}, 1), done: make(chan struct{})}
	go r.run()
	return r
}

// Kick says that something was appended. It does not wait.
func (r *Runner[T]) Kick() {
	select {
	case r.kick <- struct{}{}:
	default:
	}
}

func (r *Runner[T]) run() {
	defer close(r.done)
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		r.mu.Lock()
		r.each()
		op := r.log.Next(r.clock())
		at, wakes := r.log.Wake()
		closed := r.log.Closed()
		r.mu.Unlock()
		switch {
		case op.Kind != journal.Nothing:
			err := r.files.Do(op)
			r.mu.Lock()
			r.log.Done(r.clock(), err)
			r.mu.Unlock()
			continue
		case closed:
			return
		case !wakes:
			<-r.kick
			continue
		}
		timer.Reset(max(0, at-r.clock()))
		select {
		case <-r.kick:
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
	r.Kick()
	select {
	case <-r.done:
	case <-ctx.Done():
		return context.Cause(ctx)
	}
	r.mu.Lock()
	err := r.log.Down()
	r.mu.Unlock()
	return cmp.Or(err, r.files.Close())
}
