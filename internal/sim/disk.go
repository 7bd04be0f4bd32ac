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
func (d *gateway) openJournal() {
	j := &d.journal
	if j.disk == nil {
		j.disk, j.mustReplay = simdisk.New(), map[string]string{}
	}
	j.busy, j.awaitingDurable, j.awaitingWritten = false, nil, nil
	rng := d.world.newRand(21, uint64(d.number), uint64(d.epoch))
	j.disk.PartialWrite = func(n int) int { return rng.IntN(n + 1) }
	j.disk.Fault = func(journal.Op) error {
		if j.fault != nil && rng.IntN(3) > 0 {
			return j.fault
		}
		return nil
	}
	var err error
	j.log, err = journal.Recover(journalPolicy, mix(d.world.seed^uint64(d.number)), j.disk.List(), j.disk.Load, func(rec []byte) (*journal.Slot[idempotency.Entry], error) {
		return d.dedup.Restore(d.world.now, 0, rec)
	})
	if err != nil {
		d.world.violatef("the journal is read again", "door %d: %v", d.number, err)
		j.log = nil
		return
	}
	u := j.log.Usage()
	d.world.tracef("door %d reads %d keys of %d bytes in %d segments", d.number, d.dedup.Len(), u.Bytes, u.Segments)
	d.dedup.AttachLog(j.log, 0)
}

// pumpJournal carries out the journal's next operation. What it does to the disk it does when it ends, or half-way: a process that is killed
// meanwhile leaves it done or not.
func (d *gateway) pumpJournal() {
	j := &d.journal
	if j.log == nil || j.busy {
		return
	}
	d.dedup.RewriteStale(d.world.now)
	op := j.log.Next(d.world.now)
	if op.Kind == journal.None {
		at, ok := j.log.NextWake()
		d.scheduleWakeup(4, at, ok, d.pumpJournal)
		return
	}
	j.busy = true
	epoch, log := d.epoch, j.log
	rng := d.world.newRand(22, uint64(d.number), uint64(epoch), uint64(d.world.now), uint64(op.Kind))
	d.world.scheduleAfter(randDuration(rng, 20*time.Microsecond, max(3*time.Millisecond, j.maxLatency)), func() {
		if epoch != d.epoch && rng.IntN(2) == 0 {
			return // the process was killed before the system took it
		}
		if epoch != d.epoch && d.up { // a later one has the disk: whatever the earlier had begun is done or not by then
			return
		}
		err := j.disk.Do(op)
		d.enqueue(epoch, nil, func() {
			j.busy = false
			log.Done(d.world.now, err)
			if u := log.Usage(); u.PendingBytes > journalPolicy.MaxPending {
				d.world.violatef("everything has its bound", "door %d's journal has %d bytes pending", d.number, u.PendingBytes)
			}
			j.awaitingDurable = notifyUpTo(j.awaitingDurable, log.Durable(), log.Lost())
			j.awaitingWritten = notifyUpTo(j.awaitingWritten, log.Written(), log.Lost())
			d.scheduleWakeups()
		})
	})
}

// notifyUpTo tells those whose records are there or lost, and gives the rest.
func notifyUpTo(waits []recordWait, there, lost uint64) []recordWait {
	n := 0
	for n < len(waits) && waits[n].seq <= max(there, lost) {
		n++
	}
	now := waits[:n:n]
	for _, w := range now {
		w.done(w.seq <= there)
	}
	return waits[n:]
}

// whenDurable has an ask go on when it is durable that its key passed, or when it has waited for long enough.
func (d *gateway) whenDurable(a *clientRequest, goOn func()) {
	seq, epoch, over := a.ticket.Seq(), d.epoch, false
	told := func(there bool) {
		if over {
			return
		}
		if over = true; !there {
			d.check.volatileKeys[a.key] = true // as is stated: it goes on with its key in memory alone
		}
		goOn()
	}
	if seq == 0 {
		told(false)
		return
	}
	d.journal.awaitingDurable = append(d.journal.awaitingDurable, recordWait{seq, told})
	d.world.scheduleAfter(min(diskTimeout, a.timeout), func() { d.enqueue(epoch, nil, func() { told(false) }) })
}

// whenWritten has something happen when an ask's answer is written, or when its client would wait for too long.
func (d *gateway) whenWritten(a *clientRequest, then func()) {
	seq, epoch, over := d.dedup.RecordResponse(d.world.now, a.ticket, idempotency.Response{Body: a.response.Body}), d.epoch, false
	told := func(there bool) {
		if over {
			return
		}
		if over = true; there && len(a.response.Body) < d.journal.log.MaxRecord()-300 { // a larger one is told as answered, and not again
			d.journal.mustReplay[a.dedupIdentity()] = string(a.response.Body)
		}
		then()
	}
	if seq == 0 {
		told(false)
		return
	}
	d.journal.awaitingWritten = append(d.journal.awaitingWritten, recordWait{seq, told})
	d.world.scheduleAfter(max(0, min(diskTimeout, a.arrivedAt+a.giveUpAfter()-d.world.now)), func() { d.enqueue(epoch, nil, func() { told(false) }) })
	d.scheduleWakeups()
}

// closeJournal is a process that ends by itself: who waits for the disk is told, and what the log has is written.
func (d *gateway) closeJournal() {
	j := &d.journal
	for _, w := range append(j.awaitingDurable, j.awaitingWritten...) {
		w.done(false)
	}
	j.awaitingDurable, j.awaitingWritten = nil, nil
	if j.log == nil {
		return
	}
	j.log.Close()
	for op := j.log.Next(d.world.now); op.Kind != journal.None; op = j.log.Next(d.world.now) {
		j.log.Done(d.world.now, j.disk.Do(op))
	}
	j.log = nil
}

// crash is a machine that stops: what was not synced is there or not.
func (d *gateway) crash() {
	j := &d.journal
	if j.disk != nil {
		j.disk.Crash(d.world.newRand(23, uint64(d.number), uint64(d.epoch)))
		clear(j.mustReplay) // what was written and not synced may be undecided now
	}
}
