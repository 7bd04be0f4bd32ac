package sim

import (
	"time"

	"pumicecroft/idempotency"
	"pumicecroft/internal/journal"
	"pumicecroft/internal/simdisk"
)

// gatewayJournal is a gateway's journal of idempotency keys: the disk, which outlives processes, and
// the journal's state in the current process.
type gatewayJournal struct {
	disk        *simdisk.Disk
	maxLatency  time.Duration     // of an operation while the disk is slow; 0: the disk is not slow
	injectedErr error             // with which operations fail at random; nil: none fail
	mustReplay  map[string]string // by dedupIdentity: response bodies that every later process must replay

	log             *journal.Log[idempotency.Entry] // nil: the process has no journal
	busy            bool                            // an operation is in progress
	awaitingDurable []recordWaiter
	awaitingWritten []recordWaiter
}

// recordWaiter waits for a record to become durable or written.
type recordWaiter struct {
	seq  uint64
	done func(ok bool) // ok is false if the record is lost
}

const (
	diskTimeout           = 300 * time.Millisecond // bounds the wait of requests for the disk
	minDiskLatency        = 20 * time.Microsecond
	defaultMaxDiskLatency = 3 * time.Millisecond
	// recordOverhead is an upper bound, in bytes, of a record's size without the response body. A
	// response that does not fit into a record is recorded without its body and cannot be replayed.
	recordOverhead = 300
)

var journalOptions = journal.Options{SegmentBytes: 8 << 10, MaxPending: 16 << 10, RetryDelay: 200 * time.Millisecond}

// openJournal recovers the journal from the disk for a new process.
func (g *gateway) openJournal() {
	j := &g.journal
	if j.disk == nil {
		j.disk, j.mustReplay = simdisk.New(), map[string]string{}
	}
	j.busy, j.awaitingDurable, j.awaitingWritten = false, nil, nil
	rng := g.world.newRand(21, uint64(g.number), uint64(g.epoch))
	j.disk.PartialWrite = func(n int) int { return rng.IntN(n + 1) }
	j.disk.Fault = func(journal.Op) error {
		if j.injectedErr != nil && rng.IntN(3) > 0 {
			return j.injectedErr
		}
		return nil
	}
	restore := func(record []byte) (*journal.Slot[idempotency.Entry], error) {
		return g.dedup.Restore(g.world.now, 0, record)
	}
	var err error
	id := mix(g.world.seed ^ uint64(g.number))
	j.log, err = journal.Recover(journalOptions, id, j.disk.List(), j.disk.Load, restore)
	if err != nil {
		g.world.violatef(ruleJournalReadable, "gateway %d: %v", g.number, err)
		j.log = nil
		return
	}
	usage := j.log.Usage()
	g.world.tracef("door %d reads %d keys of %d bytes in %d segments", g.number, g.dedup.Len(),
		usage.Bytes, usage.Segments)
	g.dedup.AttachLog(j.log, 0)
}

// startJournalOp starts the journal's next operation if none is in progress. The disk changes when the
// operation ends: if the process is killed before that, the operation may or may not be executed.
func (g *gateway) startJournalOp() {
	j := &g.journal
	if j.log == nil || j.busy {
		return
	}
	g.dedup.RewriteStale(g.world.now)
	op := j.log.Next(g.world.now)
	if op.Kind == journal.None {
		at, ok := j.log.NextWake()
		g.scheduleWakeup(wakeupJournal, at, ok, g.startJournalOp)
		return
	}
	j.busy = true
	epoch, log := g.epoch, j.log
	rng := g.world.newRand(22, uint64(g.number), uint64(epoch), uint64(g.world.now), uint64(op.Kind))
	latency := randDuration(rng, minDiskLatency, max(defaultMaxDiskLatency, j.maxLatency))
	g.world.scheduleAfter(latency, func() {
		killed := epoch != g.epoch
		if killed && rng.IntN(2) == 0 {
			return // the operating system had not accepted the operation
		}
		if killed && g.up {
			return // the next process has already read the journal, so the disk must not change under it
		}
		err := j.disk.Do(op)
		g.enqueue(epoch, nil, func() { g.onDiskDone(log, err) })
	})
}

// onDiskDone handles the end of a journal operation.
func (g *gateway) onDiskDone(log *journal.Log[idempotency.Entry], err error) {
	j := &g.journal
	j.busy = false
	log.Done(g.world.now, err)
	if usage := log.Usage(); usage.PendingBytes > journalOptions.MaxPending {
		g.world.violatef(ruleBounded, "gateway %d's journal has %d bytes pending", g.number, usage.PendingBytes)
	}
	j.awaitingDurable = notifyUpTo(j.awaitingDurable, log.Durable(), log.Lost())
	j.awaitingWritten = notifyUpTo(j.awaitingWritten, log.Written(), log.Lost())
	g.scheduleWakeups()
}

// notifyUpTo notifies the waiters for records up to the number reached, and with ok false those up to
// lost. It returns the remaining waiters.
func notifyUpTo(waiting []recordWaiter, reached, lost uint64) []recordWaiter {
	n := 0
	for n < len(waiting) && waiting[n].seq <= max(reached, lost) {
		n++
	}
	for _, wait := range waiting[:n:n] {
		wait.done(wait.seq <= reached)
	}
	return waiting[n:]
}

// once returns a function that calls f only when it is first called.
func once(f func(ok bool)) func(ok bool) {
	called := false
	return func(ok bool) {
		if !called {
			called = true
			f(ok)
		}
	}
}

// whenDurable calls next once the record of a request's key is durable. If that fails or takes too long,
// next is called too: as documented, the request is then executed with its key only in memory.
func (g *gateway) whenDurable(request *clientRequest, next func()) {
	done := once(func(ok bool) {
		if !ok {
			g.check.volatileKeys[request.key] = true
		}
		next()
	})
	seq := request.ticket.Seq()
	if seq == 0 {
		done(false)
		return
	}
	epoch := g.epoch
	g.journal.awaitingDurable = append(g.journal.awaitingDurable, recordWaiter{seq, done})
	g.world.scheduleAfter(min(diskTimeout, request.timeout), func() { g.enqueue(epoch, nil, func() { done(false) }) })
}

// whenWritten calls next once a request's response is written to the journal, or when that fails, takes
// longer than diskTimeout, or would delay the response beyond responseTimeout.
func (g *gateway) whenWritten(request *clientRequest, next func()) {
	seq := g.dedup.RecordResponse(g.world.now, request.ticket, idempotency.Response{Body: request.response.Body})
	done := once(func(ok bool) {
		body := request.response.Body
		if ok && len(body) < g.journal.log.MaxRecord()-recordOverhead {
			g.journal.mustReplay[request.dedupIdentity()] = string(body)
		}
		next()
	})
	if seq == 0 {
		done(false)
		return
	}
	epoch := g.epoch
	g.journal.awaitingWritten = append(g.journal.awaitingWritten, recordWaiter{seq, done})
	timeout := max(0, min(diskTimeout, request.arrivedAt+request.responseTimeout()-g.world.now))
	g.world.scheduleAfter(timeout, func() { g.enqueue(epoch, nil, func() { done(false) }) })
	g.scheduleWakeups()
}

// closeJournal writes the log's pending records during a graceful shutdown. Requests that wait for the
// disk are notified as if their records were lost.
func (g *gateway) closeJournal() {
	j := &g.journal
	for _, wait := range append(j.awaitingDurable, j.awaitingWritten...) {
		wait.done(false)
	}
	j.awaitingDurable, j.awaitingWritten = nil, nil
	if j.log == nil {
		return
	}
	j.log.Close()
	for op := j.log.Next(g.world.now); op.Kind != journal.None; op = j.log.Next(g.world.now) {
		j.log.Done(g.world.now, j.disk.Do(op))
	}
	j.log = nil
}

// crashHost crashes the gateway's host. Data that was not synced may or may not be on the disk, so no
// response is certain to be replayed any more.
func (g *gateway) crashHost() {
	j := &g.journal
	if j.disk != nil {
		j.disk.Crash(g.world.newRand(23, uint64(g.number), uint64(g.epoch)))
		clear(j.mustReplay)
	}
}
