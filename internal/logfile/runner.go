package logfile

import (
	"cmp"
	"context"
	"sync"
	"time"

	"pumicecroft/internal/journal"
)

// Runner performs a log's operations in a separate goroutine, while other goroutines append to the log
// under a shared lock. It performs no file operation while it holds that lock.
type Runner[T any] struct {
	mu         sync.Locker
	log        *journal.Log[T]
	store      SegmentStore
	clock      func() time.Duration
	onProgress func()
	wake       chan struct{}
	done       chan struct{}
}

// Run starts a Runner. onProgress is called with the lock held after each operation and whenever the
// runner wakes up: it is where the caller checks which records are durable or lost, and appends stale
// records again. clock returns the log's time.
func Run[T any](
	mu sync.Locker,
	log *journal.Log[T],
	store SegmentStore,
	clock func() time.Duration,
	onProgress func(),
) *Runner[T] {
	r := &Runner[T]{
		mu:         mu,
		log:        log,
		store:      store,
		clock:      clock,
		onProgress: onProgress,
		wake:       make(chan struct{}, 1),
		done:       make(chan struct{}),
	}
	go r.run()
	return r
}

// Wake tells the runner that a record was appended. It does not block.
func (r *Runner[T]) Wake() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// step is the next action of the runner.
type step struct {
	op     journal.Op
	wakeAt time.Duration
	wakes  bool // the log has an operation to do at wakeAt, even if nothing is appended
	closed bool // the log was closed and all its operations are done
}

func (r *Runner[T]) run() {
	defer close(r.done)
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		next := r.nextStep()
		switch {
		case next.op.Kind != journal.None:
			r.perform(next.op)
		case next.closed:
			return
		case !next.wakes:
			<-r.wake
		default:
			timer.Reset(max(0, next.wakeAt-r.clock()))
			select {
			case <-r.wake:
			case <-timer.C:
			}
		}
	}
}

func (r *Runner[T]) nextStep() step {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.onProgress()
	s := step{op: r.log.Next(r.clock())}
	s.wakeAt, s.wakes = r.log.NextWake()
	s.closed = r.log.Closed()
	return s
}

func (r *Runner[T]) perform(op journal.Op) {
	err := r.store.Do(op)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.log.Done(r.clock(), err)
}

// Close writes and syncs the pending records of the log, then closes the store. The caller must not
// hold the lock. An error means that records may not have been written. If ctx ends first, as when the
// disk hangs, the error is the cause of ctx, and the store is not closed, because an operation on it
// may still be running.
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
	return cmp.Or(err, r.store.Close())
}
