package sim

import (
	"time"

	"pumicecroft/idempotency"
	"pumicecroft/internal/journal"
	"pumicecroft/internal/simdisk"
)

// gatewayJournal is a door's journal of keys: the disk, which outlives processes, and what a process knows of it.
type gatewayJournal struct {
	disk            *simdisk.Disk
	log             *journal.Log[idempotency.Entry] // nil: the process has none
	busy            bool                            // an operation is under way
	awaitingDurable []recordWait                    // until they are durable
	awaitingWritten []recordWait                    // until they are written
	maxLatency      time.Duration                   // an operation takes so long at the most
	fault           error                           // what operations end with, by chance
	mustReplay      map[string]string               // answers that clients have, by key, and that every later process must give again
}

// recordWait is something that waits for a record.
type recordWait struct {
	seq  uint64
	done func(there bool)
}

// diskTimeout is how long requests wait for the disk.
const diskTimeout = 300 * time.Millisecond

var journalPolicy = journal.Options{SegmentBytes: 8 << 10, MaxPending: 16 << 10, RetryDelay: 200 * time.Millisecond}

// openJournal has a door's process read its journal.
func (g *gateway) openJournal() {
	keyJournal := &g.journal
	if keyJournal.disk == nil {
		keyJournal.disk, keyJournal.mustReplay = simdisk.New(), map[string]string{}
	}
	keyJournal.busy, keyJournal.awaitingDurable, keyJournal.awaitingWritten = false, nil, nil
	rng := g.world.newRand(21, uint64(g.number), uint64(g.epoch))
	keyJournal.disk.PartialWrite = func(n int) int { return rng.IntN(n + 1) }
	keyJournal.disk.Fault = func(journal.Op) error {
		if keyJournal.fault != nil && rng.IntN(3) > 0 {
			return keyJournal.fault
		}
		return nil
	}
	var err error
	keyJournal.log, err = journal.Recover(journalPolicy, mix(g.world.seed^uint64(g.number)), keyJournal.disk.List(), keyJournal.disk.Load, func(rec []byte) (*journal.Slot[idempotency.Entry], error) {
		return g.dedup.Restore(g.world.now, 0, rec)
	})
	if err != nil {
		g.world.violatef("the journal is read again", "door %d: %v", g.number, err)
		keyJournal.log = nil
		return
	}
	usage := keyJournal.log.Usage()
	g.world.tracef("door %d reads %d keys of %d bytes in %d segments", g.number, g.dedup.Len(), usage.Bytes, usage.Segments)
	g.dedup.AttachLog(keyJournal.log, 0)
}

// pumpJournal carries out the journal's next operation. What it does to the disk it does when it ends, or half-way: a process that is killed
// meanwhile leaves it done or not.
func (g *gateway) pumpJournal() {
	keyJournal := &g.journal
	if keyJournal.log == nil || keyJournal.busy {
		return
	}
	g.dedup.RewriteStale(g.world.now)
	op := keyJournal.log.Next(g.world.now)
	if op.Kind == journal.None {
		at, ok := keyJournal.log.NextWake()
		g.scheduleWakeup(4, at, ok, g.pumpJournal)
		return
	}
	keyJournal.busy = true
	epoch, log := g.epoch, keyJournal.log
	rng := g.world.newRand(22, uint64(g.number), uint64(epoch), uint64(g.world.now), uint64(op.Kind))
	g.world.scheduleAfter(randDuration(rng, 20*time.Microsecond, max(3*time.Millisecond, keyJournal.maxLatency)), func() {
		if epoch != g.epoch && rng.IntN(2) == 0 {
			return // the process was killed before the system took it
		}
		if epoch != g.epoch && g.up { // a later one has the disk: whatever the earlier had begun is done or not by then
			return
		}
		err := keyJournal.disk.Do(op)
		g.enqueue(epoch, nil, func() {
			keyJournal.busy = false
			log.Done(g.world.now, err)
			if usage := log.Usage(); usage.PendingBytes > journalPolicy.MaxPending {
				g.world.violatef("everything has its bound", "door %d's journal has %d bytes pending", g.number, usage.PendingBytes)
			}
			keyJournal.awaitingDurable = notifyUpTo(keyJournal.awaitingDurable, log.Durable(), log.Lost())
			keyJournal.awaitingWritten = notifyUpTo(keyJournal.awaitingWritten, log.Written(), log.Lost())
			g.scheduleWakeups()
		})
	})
}

// notifyUpTo tells those whose records are there or lost, and gives the rest.
func notifyUpTo(waiting []recordWait, durable, lost uint64) []recordWait {
	n := 0
	for n < len(waiting) && waiting[n].seq <= max(durable, lost) {
		n++
	}
	ready := waiting[:n:n]
	for _, wait := range ready {
		wait.done(wait.seq <= durable)
	}
	return waiting[n:]
}

// whenDurable has an ask go on when it is durable that its key passed, or when it has waited for long enough.
func (g *gateway) whenDurable(request *clientRequest, next func()) {
	seq, epoch, called := request.ticket.Seq(), g.epoch, false
	done := func(there bool) {
		if called {
			return
		}
		if called = true; !there {
			g.check.volatileKeys[request.key] = true // as is stated: it goes on with its key in memory alone
		}
		next()
	}
	if seq == 0 {
		done(false)
		return
	}
	g.journal.awaitingDurable = append(g.journal.awaitingDurable, recordWait{seq, done})
	g.world.scheduleAfter(min(diskTimeout, request.timeout), func() { g.enqueue(epoch, nil, func() { done(false) }) })
}

// whenWritten has something happen when an ask's answer is written, or when its client would wait for too long.
func (g *gateway) whenWritten(request *clientRequest, next func()) {
	seq, epoch, called := g.dedup.RecordResponse(g.world.now, request.ticket, idempotency.Response{Body: request.response.Body}), g.epoch, false
	done := func(there bool) {
		if called {
			return
		}
		if called = true; there && len(request.response.Body) < g.journal.log.MaxRecord()-300 { // a larger one is told as answered, and not again
			g.journal.mustReplay[request.dedupIdentity()] = string(request.response.Body)
		}
		next()
	}
	if seq == 0 {
		done(false)
		return
	}
	g.journal.awaitingWritten = append(g.journal.awaitingWritten, recordWait{seq, done})
	g.world.scheduleAfter(max(0, min(diskTimeout, request.arrivedAt+request.giveUpAfter()-g.world.now)), func() { g.enqueue(epoch, nil, func() { done(false) }) })
	g.scheduleWakeups()
}

// closeJournal is a process that ends by itself: who waits for the disk is told, and what the log has is written.
func (g *gateway) closeJournal() {
	keyJournal := &g.journal
	for _, wait := range append(keyJournal.awaitingDurable, keyJournal.awaitingWritten...) {
		wait.done(false)
	}
	keyJournal.awaitingDurable, keyJournal.awaitingWritten = nil, nil
	if keyJournal.log == nil {
		return
	}
	keyJournal.log.Close()
	for op := keyJournal.log.Next(g.world.now); op.Kind != journal.None; op = keyJournal.log.Next(g.world.now) {
		keyJournal.log.Done(g.world.now, keyJournal.disk.Do(op))
	}
	keyJournal.log = nil
}

// crash is a machine that stops: what was not synced is there or not.
func (g *gateway) crash() {
	keyJournal := &g.journal
	if keyJournal.disk != nil {
		keyJournal.disk.Crash(g.world.newRand(23, uint64(g.number), uint64(g.epoch)))
		clear(keyJournal.mustReplay) // what was written and not synced may be undecided now
	}
}
