package sim

import (
	"time"

	"pumicecroft/idempotency"
	"pumicecroft/internal/journal"
	"pumicecroft/internal/simdisk"
)

// gatewayJournal is a gateway's journal of idempotency keys: the disk, which outlives processes,
// and the process's state.
type gatewayJournal struct {
	disk        *simdisk.Disk
	maxLatency  time.Duration     // of an operation, while the disk is slow
	injectedErr error             // that operations end with at random; nil: the disk works
	mustReplay  map[string]string // by dedupIdentity: bodies that every later process must replay

	log             *journal.Log[idempotency.Entry] // nil: the process has none
	busy            bool                            // an operation is under way
	awaitingDurable []recordWaiter
	awaitingWritten []recordWaiter
}

// recordWait is a wait for a record to be durable or written.
type recordWaiter struct {
	seq  uint64
	done func(ok bool) // false: the record is lost
}

const (
	diskTimeout           = 300 * time.Millisecond // bounds the wait of requests for the disk
	minDiskLatency        = 20 * time.Microsecond
	defaultMaxDiskLatency = 3 * time.Millisecond
	// recordOverhead is room in a record beside the response's body. A larger response is recorded
	// as given, and not replayed.
	recordOverhead = 300
)

var journalOptions = journal.Options{SegmentBytes: 8 << 10, MaxPending: 16 << 10, RetryDelay: 200 * time.Millisecond}

// openJournal has a process read its journal.
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

// pumpJournal begins the journal's next operation, if none is under way. The disk changes when the
// operation ends: a process that is killed meanwhile leaves it done or not.
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
			return // before the system took the operation
		}
		if killed && g.up {
			return // a later process has the disk: the operation was done or not before it read the journal
		}
		err := j.disk.Do(op)
		g.enqueue(epoch, nil, func() { g.onDiskDone(log, err) })
	})
}

// onDiskDone takes in the end of a journal's operation.
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

// notifyUpTo ends the waits for records up to reached, and as lost those up to lost. It gives the
// rest.
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

// once gives a function that calls f at its first call alone.
func once(f func(ok bool)) func(ok bool) {
	called := false
	return func(ok bool) {
		if !called {
			called = true
			f(ok)
		}
	}
}

// whenDurable calls next once the record of a request's key is durable, or after a timeout: the
// request is then executed with its key in memory alone, as is documented.
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

// whenWritten calls next once a request's response is written, or when its client would wait for
// too long.
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
	patience := max(0, min(diskTimeout, request.arrivedAt+request.responseTimeout()-g.world.now))
	g.world.scheduleAfter(patience, func() { g.enqueue(epoch, nil, func() { done(false) }) })
	g.scheduleWakeups()
}

// closeJournal writes what the log still has, for a process that stops by itself. Waits for the
// disk end.
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

// crash stops the machine: what was not synced is on its disk or not, so no replay is certain any
// more.
func (g *gateway) crashHost() {
	j := &g.journal
	if j.disk != nil {
		j.disk.Crash(g.world.newRand(23, uint64(g.number), uint64(g.epoch)))
		clear(j.mustReplay)
	}
}
