package lab

import (
	"context"
	"runtime"
	"sync"
	"sync/atomic"

	"pumicecroft/internal/emulator"
)

// Emulate runs a region to its end, or until ctx is done, on up to workers goroutines. The result doesn't depend on
// their number. A region can be run only once.
func Emulate(ctx context.Context, r *emulator.Region, workers int) error {
	processors := runtime.GOMAXPROCS(0)
	workers = max(1, min(workers, r.Shards(), processors))
	// A window takes only some hundred microseconds, so a worker that has finished spins until the others have.
	var b barrier
	b.parties = int32(workers)
	if 2*workers <= processors { // spin only if that leaves processors for other goroutines and processes
		b.spinLimit = spinLimit
	}
	var running sync.WaitGroup
	var nextRun, nextDelivery atomic.Int32 // next shard to take; shards are taken one by one, as their load differs
	shards := int32(r.Shards())
	over := false // set by worker 0 before a wait, read by all workers after it
	work := func(w int) {
		for n := 0; ; n++ {
			if w == 0 {
				over = !r.NextWindow() || n%1024 == 0 && ctx.Err() != nil
				nextRun.Store(0)
			}
			b.wait()
			if over {
				return
			}
			for i := nextRun.Add(1) - 1; i < shards; i = nextRun.Add(1) - 1 {
				r.RunShard(int(i))
			}
			if w == 0 {
				nextDelivery.Store(0)
			}
			b.wait()
			for i := nextDelivery.Add(1) - 1; i < shards; i = nextDelivery.Add(1) - 1 {
				r.DeliverTo(int(i))
			}
			b.wait()
		}
	}
	for w := 1; w < workers; w++ {
		running.Go(func() { work(w) })
	}
	work(0) // on the caller's goroutine, which can recover from a panic
	running.Wait()
	return ctx.Err()
}

// spinLimit is the number of turns that a worker spins before it yields: some tens of microseconds, as long as most
// windows. With far fewer turns, the scheduler would use a large part of the processor time.
const spinLimit = 20_000

// barrier is a reusable barrier, at which a fixed number of goroutines wait for each other.
type barrier struct {
	parties    int32
	spinLimit  int
	arrived    atomic.Int32
	generation atomic.Uint32
}

// wait returns once all parties have called it. Writes of a party before its call are visible to all after theirs.
func (b *barrier) wait() {
	generation := b.generation.Load()
	if b.arrived.Add(1) == b.parties {
		b.arrived.Store(0)
		b.generation.Add(1)
		return
	}
	for n := 0; b.generation.Load() == generation; n++ {
		if n > b.spinLimit { // a window is long, or there are fewer processors than workers
			runtime.Gosched()
		}
	}
}
