package lab

import (
	"context"
	"runtime"
	"sync"
	"sync/atomic"

	"pumicecroft/internal/emulator"
)

// Emulate runs a region to its end on some workers, or until ctx ends. What comes of it does not hang on how many there are. A region
// is not run twice.
func Emulate(ctx context.Context, r *emulator.Region, workers int) error {
	processors := runtime.GOMAXPROCS(0)
	workers = max(1, min(workers, r.Shards(), processors))
	// Windows are some hundred microseconds of work: who is done spins for the others.
	var b barrier
	b.parties = int32(workers)
	if 2*workers <= processors { // what else runs has room beside those that spin
		b.spinLimit = spinLimit
	}
	var running sync.WaitGroup
	var steps, takes atomic.Int32 // the next shard's; who is done takes one more, as shards are never equally busy
	shards := int32(r.Shards())
	over := false // written by the first worker between two waits, read by all after the second
	work := func(w int) {
		for n := 0; ; n++ {
			if w == 0 {
				over = !r.NextWindow() || n%1024 == 0 && ctx.Err() != nil
				steps.Store(0)
			}
			b.wait()
			if over {
				return
			}
			for i := steps.Add(1) - 1; i < shards; i = steps.Add(1) - 1 {
				r.RunShard(int(i))
			}
			if w == 0 {
				takes.Store(0)
			}
			b.wait()
			for i := takes.Add(1) - 1; i < shards; i = takes.Add(1) - 1 {
				r.DeliverTo(int(i))
			}
			b.wait()
		}
	}
	for w := 1; w < workers; w++ {
		running.Go(func() { work(w) })
	}
	work(0) // on the caller's goroutine, who may see what it panics with
	running.Wait()
	return ctx.Err()
}

// spins are some tens of microseconds, as long as most windows take. With 200 of them a third of all CPU was the scheduler's.
const spinLimit = 20_000

// barrier has parties wait for each other, over and over.
type barrier struct {
	parties    int32
	spinLimit  int
	arrived    atomic.Int32
	generation atomic.Uint32
}

// wait returns once all parties are here. What each did before it, all see after it.
func (b *barrier) wait() {
	turn := b.generation.Load()
	if b.arrived.Add(1) == b.parties {
		b.arrived.Store(0)
		b.generation.Add(1)
		return
	}
	for n := 0; b.generation.Load() == turn; n++ {
		if n > b.spinLimit { // somebody's window is long, or there are fewer processors than workers
			runtime.Gosched()
		}
	}
}
