package logfile

import (
	"cmp"
	"context"
	"sync"
	"time"

	"pumicecroft/internal/journal"
)

// Runner performs a log's operations in a goroutine of its own, while others append to the log under
// the lock that they share with it. It never touches files while it holds that lock.
type Runner[T any] struct {
	mu         sync.Locker
	log        *journal.Log[T]
	store      SegmentStore
	clock      func() time.Duration
	onProgress func()
	wake       chan struct{}
	done       chan struct{}
}

// Run starts a runner. onProgress is called with the lock held after each operation, and whenever the
// log wakes by itself: there the owner learns what is durable or lost, and appends what is stale.
// clock is the log's.
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

// Wake tells the runner that something was appended. It does not block.
func (r *Runner[T]) Wake() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// step is what the log wants done next.
type step struct {
	op     journal.Op
	wakeAt time.Duration
	wakes  bool // the log has something to do at wakeAt, whether or not anything is appended
	closed bool // the log was closed and everything is done
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

// Close has the log write and sync what it holds, then releases the store. The lock must not be held.
// The error says that something was not written. If ctx ends first, because the disk hangs, the error
// is ctx's cause, and the store is left to the operation that is under way.
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
