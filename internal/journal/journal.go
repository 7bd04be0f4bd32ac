// Package journal is a log of records in files that survives crashes: what is appended is grouped, written, synced and, once nobody
// needs it any more, removed. A record is of a Slot, whose last one counts; the others are dead weight. When they are half of the
// log, what is alive in its oldest segment is written again at its end, and the segment is removed.
//
// What holds, whatever stops the process or the machine at whatever moment:
//
//   - What was said to be durable is read again by Recover, in the order of its appending, unless its Slot was dropped or has a later
//     record. What was dropped may come back, so a record must stand for itself.
//   - A record that is nobody's (a nil Slot) is read again as long as any record that was appended before it.
//   - What was not said to be durable may be read again or not, but in order: never a later one of one segment without an earlier one.
//   - Damage to what had been synced is an error that names segment and offset, and nothing is lost by it. One case can't be told from
//     a crash: damage to the last group of the last segment.
//   - When the disk fails or is full, the log says so and takes nothing more, until it has begun a new segment; then it asks for what
//     is not on disk, as Stale. Nothing that waits for it waits for longer than its own time.
//
// The package is pure: appends and times in, operations on files out (Next), and how they ended in again (Done), one at a time. It does
// no I/O, reads no clock, takes no lock and starts no goroutine. A Log is owned by its driver, which lets one caller in at a time
// (package logfile is one; the seeded world is another, which cuts, loses and reorders what was not synced).
package journal

import (
	"time"

	"pumicecroft/internal/backoff"
)

// Rules are a log's. What is 0 takes the default.
type Rules struct {
	// SegmentBytes is how large a segment may grow before the next one is begun; 16 MiB. A group that is larger has one of its own.
	SegmentBytes int64
	// Gather is how long the first record of a group waits for others before the group is written, if the disk is not busy anyway.
	// 0: it does not wait.
	Gather time.Duration
	// SyncEvery is how long what was written may stay unsynced. 0: each group is synced, and durable once it is. Else a group is
	// called durable as soon as it is written, which a crash of the process does not undo, and one of the machine may.
	SyncEvery time.Duration
	// MostPending bounds the bytes that wait to be written; 4 MiB. What comes when that is full is put off as if the disk had failed.
	MostPending int
	// Retry is how long after a failure the log is tried again, doubled with each one in a row, a minute at the most; 1 s.
	Retry time.Duration
}

func (r Rules) withDefaults() Rules {
	if r.SegmentBytes <= 0 {
		r.SegmentBytes = 16 << 20
	}
	r.SegmentBytes = min(r.SegmentBytes, maxSegment/2)
	if r.MostPending <= 0 {
		r.MostPending = 4 << 20
	}
	r.MostPending = min(r.MostPending, maxSegment/2)
	if r.Retry <= 0 {
		r.Retry = time.Second
	}
	return r
}

const mostRetry = time.Minute

// Kind is what an Op does.
type Kind uint8

// The kinds.
const (
	Nothing Kind = iota
	Create       // the file of Segment, which must not exist, with Data in it
	Write        // Data at Offset of Segment, which is its end
	Sync         // what was written to Segment
	SyncDir      // which files there are
	Remove       // the file of Segment; that it is not there is no error
)

// String is the kind's name.
func (k Kind) String() string {
	return [...]string{"nothing", "create", "write", "sync", "syncdir", "remove"}[k]
}

// Op is one operation on files.
type Op struct {
	Kind    Kind
	Segment uint64
	Offset  int64
	Data    []byte // not to be changed, and good until Done
}

// Slot is what records are of: it has one record that counts, the last one. Its zero value has none. It belongs to its owner, who
// appends for it and drops it, and must not be copied then.
type Slot[T any] struct {
	Value      T
	seg        *segment[T]
	size       int64
	seq        uint64
	prev, next *Slot[T]
}

// Logged tells whether the slot has a record, written or about to be.
func (s *Slot[T]) Logged() bool { return s.seg != nil }

// segment is one file, with the slots whose records are in it, in the order of these.
type segment[T any] struct {
	number      uint64 // 0: of what is not on disk
	size        int64
	synced      int64
	doubted     bool  // it failed: that a later sync succeeds says nothing
	live        int64 // bytes of records that count
	first, last *Slot[T]
}

func (g *segment[T]) add(s *Slot[T], size int64, seq uint64) {
	s.seg, s.size, s.seq, s.prev = g, size, seq, g.last
	if g.last != nil {
		g.last.next = s
	} else {
		g.first = s
	}
	g.last = s
	g.live += size
}

func (g *segment[T]) remove(s *Slot[T]) {
	if s.prev != nil {
		s.prev.next = s.next
	} else {
		g.first = s.next
	}
	if s.next != nil {
		s.next.prev = s.prev
	} else {
		g.last = s.prev
	}
	g.live -= s.size
	s.seg, s.prev, s.next = nil, nil, nil
}

// Log is a log. See the package's comment for who may call it.
type Log[T any] struct {
	rules    Rules
	id       uint64
	segments []*segment[T] // the oldest first
	current  *segment[T]   // the last of them, if it may be written to
	off      segment[T]    // the slots whose records are not on disk and should be
	group    segment[T]    // those of what is pending
	out      segment[T]    // those of what is being written
	pending  []byte        // the next group: room for a frame's head, and records
	spare    []byte        // room of a group that was written
	since    time.Duration // when its first record came
	seq      uint64        // of the last record that was appended
	outSeq   uint64        // of the last that is being written
	written  uint64        // of the last that was written
	synced   uint64        // of the last that was synced
	durable  uint64        // of the last that is called durable
	lost     uint64        // all up to it that are not durable never will be
	unsynced time.Duration // since when current has something that is not synced, if it has
	todo     []Op          // what a new segment needs, in order
	op       Op            // which is being done
	last     uint64        // number of the last segment that was ever begun
	void     []uint64      // files that never were segments
	unlisted bool          // a file was removed, and that is not synced yet
	barred   bool          // the oldest segment may be removed when barrier is synced
	barrier  uint64
	closing  bool
	closed   bool // its last frame was given out
	down     bool
	failures int // in a row
	retryAt  time.Duration
	sweepAt  time.Duration // when the next file may be removed, after a failure
	cause    error
}

// Usage is what a log takes.
type Usage struct {
	Segments int
	Bytes    int64 // of all of them
	Live     int64 // of records that count, on disk or on their way
	Pending  int   // bytes that wait to be written
	Off      int64 // bytes of records that are not on disk and should be
}

// Usage gives it.
func (l *Log[T]) Usage() Usage {
	u := Usage{Segments: len(l.segments), Pending: max(0, len(l.pending)-frameLen), Off: l.off.live, Live: l.group.live + l.out.live}
	for _, g := range l.segments {
		u.Bytes += g.size
		u.Live += g.live
	}
	return u
}

// Down tells why the log takes nothing, or gives nil.
func (l *Log[T]) Down() error {
	if !l.down {
		return nil
	}
	return l.cause
}

// Durable is the number up to which all is durable, Lost the one up to which what is not will not be: who waited for
// it waits in vain.
func (l *Log[T]) Durable() uint64 { return l.durable }

// Written is the number up to which all is with the operating system: it outlives the process, and not always the machine.
func (l *Log[T]) Written() uint64 { return l.written }

// Lost is told with Durable and Written.
func (l *Log[T]) Lost() uint64 { return l.lost }

// MostRecord is the most bytes of a record. A longer one is never taken, and its slot has none then.
func (l *Log[T]) MostRecord() int { return l.rules.MostPending / 2 }

// Append puts a record into the next group, as the one that counts for its slot, if it is one's. The number that it gives is
// what Durable reaches when the record is. 0: the log takes nothing now, and will ask for the slot, as Stale, when it does; what is
// nobody's is not written then.
func (l *Log[T]) Append(now time.Duration, s *Slot[T], rec []byte) uint64 {
	size := int64(len(rec)) + 4
	s.Drop()
	if len(rec) > l.MostRecord() {
		return 0
	}
	if l.down || l.closing || len(l.pending)+len(rec) > l.rules.MostPending {
		if s != nil {
			l.off.add(s, size, 0)
		}
		return 0
	}
	if len(l.pending) == 0 {
		l.pending, l.spare = append(l.spare[:0], make([]byte, frameLen)...), nil
		l.since = now
	}
	l.pending = appendRecord(l.pending, rec)
	l.seq++
	if s != nil {
		l.group.add(s, size, l.seq)
	}
	return l.seq
}

// Drop says that the slot's record counts no more. It may be read again all the same.
func (s *Slot[T]) Drop() {
	if s != nil && s.seg != nil {
		s.seg.remove(s)
	}
}

// moveTo moves all slots to another segment, in their order.
func (g *segment[T]) moveTo(to *segment[T]) {
	for s := g.first; s != nil; s = g.first {
		size, seq := s.size, s.seq
		g.remove(s)
		to.add(s, size, seq)
	}
}

// moveFrom moves those from a number on to a segment that keeps no order, without their numbers.
func (g *segment[T]) moveFrom(to *segment[T], seq uint64) {
	for s := g.last; s != nil && s.seq >= seq; s = g.last {
		size := s.size
		g.remove(s)
		to.add(s, size, 0)
	}
}

// Stale is a slot that its owner must append once more, nil: there is none now. It is one that is not on disk, or one of the oldest
// segment, which is to be removed. It asks for no more at once than the disk takes: its owner asks again after each Done.
func (l *Log[T]) Stale() *Slot[T] {
	if l.down || l.closing || len(l.pending) > l.rules.MostPending/4 {
		return nil
	}
	if l.off.first != nil {
		return l.off.first
	}
	if len(l.segments) < 2 {
		return nil
	}
	u := l.Usage()
	if oldest := l.segments[0]; u.Bytes > 2*u.Live+2*l.rules.SegmentBytes {
		return oldest.first
	}
	return nil
}

// Wake is when Next wants to be called, if nothing is being done and nothing is appended before.
func (l *Log[T]) Wake() (at time.Duration, ok bool) {
	first := func(t time.Duration) {
		if !ok || t < at {
			at, ok = t, true
		}
	}
	switch {
	case l.op.Kind != Nothing || l.closed:
		return 0, false
	case l.down:
		return l.retryAt, !l.closing
	case len(l.todo) > 0 || l.current == nil || l.closing:
		return 0, true
	}
	if len(l.pending) > 0 {
		first(l.since + l.rules.Gather)
	}
	if l.current.size > l.current.synced {
		first(l.unsynced + l.rules.SyncEvery)
	}
	if l.unlisted || len(l.void) > 0 || l.spent() {
		first(l.sweepAt)
	}
	return at, ok
}

// spent tells whether nobody needs the oldest segment any more: none of its records counts, and those that count in their place
// are synced. What came before this was seen is, once all that had been appended by then is.
func (l *Log[T]) spent() bool {
	if len(l.segments) < 2 || l.segments[0].first != nil || l.off.first != nil {
		return false
	}
	if !l.barred {
		l.barred, l.barrier = true, l.seq
	}
	return l.synced >= l.barrier || len(l.pending) == 0 && l.current.size == l.current.synced
}

// Next is what is to be done now; it must be done, and Done called, before Next gives more.
func (l *Log[T]) Next(now time.Duration) Op {
	if l.op.Kind == Nothing {
		l.op = l.next(now)
		return l.op
	}
	return Op{}
}

func (l *Log[T]) next(now time.Duration) Op {
	switch {
	case l.closed || l.down && (l.closing || now < l.retryAt):
	case len(l.todo) > 0:
		return l.todo[0]
	case l.current == nil:
		return l.begin()
	case l.current.size > l.current.synced && (now >= l.unsynced+l.rules.SyncEvery || l.closing):
		return Op{Kind: Sync, Segment: l.current.number}
	case len(l.pending) > 0 && (now >= l.since+l.rules.Gather || len(l.pending) > l.rules.MostPending/4 || l.closing):
		if l.current.size > headLen && l.current.size+int64(len(l.pending)) > l.rules.SegmentBytes {
			return l.begin()
		}
		l.group.moveTo(&l.out)
		l.outSeq = l.seq
		return l.write()
	case l.closing: // an empty frame says that all before it was synced
		l.closed = true
		l.pending = make([]byte, frameLen)
		return l.write()
	case now < l.sweepAt:
	case l.unlisted:
		return Op{Kind: SyncDir}
	case len(l.void) > 0:
		return Op{Kind: Remove, Segment: l.void[0]}
	case l.spent():
		return Op{Kind: Remove, Segment: l.segments[0].number}
	}
	return Op{}
}

// write makes a frame of what is pending.
func (l *Log[T]) write() Op {
	text, g := l.pending, l.current
	finish(text, l.id, g.number, g.size, g.synced)
	l.pending = nil
	return Op{Kind: Write, Segment: g.number, Offset: g.size, Data: text}
}

// begin begins a new segment, behind the last one as far as that counts.
func (l *Log[T]) begin() Op {
	l.last++
	h := head{number: l.last, log: l.id}
	l.todo = nil
	if n := len(l.segments); n > 0 {
		g := l.segments[n-1]
		h.before, h.good = g.number, g.synced
		if g.size > g.synced && !g.doubted {
			h.good = g.size // as the new one is not made before it is so
			l.todo = append(l.todo, Op{Kind: Sync, Segment: g.number})
		}
	}
	l.current = nil
	l.todo = append(l.todo, Op{Kind: Create, Segment: h.number, Data: h.text()}, Op{Kind: Sync, Segment: h.number}, Op{Kind: SyncDir, Segment: h.number})
	return l.todo[0]
}

// Done says how the operation that Next gave has ended. What it was about is durable, or lost, by Durable and Lost.
func (l *Log[T]) Done(now time.Duration, err error) {
	op := l.op
	l.op = Op{}
	if err != nil {
		l.fail(now, op, err)
		return
	}
	switch {
	case len(l.todo) > 0:
		l.begun(op)
	case op.Kind == Write:
		g := l.current
		if g.size == g.synced {
			l.unsynced = now
		}
		g.size += int64(len(op.Data))
		l.out.moveTo(g)
		l.written = max(l.written, l.outSeq)
		if l.rules.SyncEvery > 0 {
			l.durable, l.failures = l.written, 0
		}
		if cap(op.Data) <= 256<<10 {
			l.spare = op.Data
		}
	case op.Kind == Sync:
		l.current.synced = l.current.size
		l.synced, l.durable, l.failures = l.written, l.written, 0
	case op.Kind == SyncDir:
		l.unlisted = false
	case op.Kind == Remove:
		l.unlisted, l.barred = true, false
		if len(l.void) > 0 {
			l.void = l.void[1:]
		} else {
			l.segments = l.segments[1:]
		}
	}
}

// begun takes in one of the operations that a new segment needs. With the last of them it is there, and the log takes records again
// if it did not.
func (l *Log[T]) begun(op Op) {
	if op.Kind == Sync && op.Segment != l.last {
		g := l.segments[len(l.segments)-1]
		g.synced = g.size
		l.synced, l.durable = l.written, l.written
	}
	if l.todo = l.todo[1:]; len(l.todo) == 0 {
		l.current = &segment[T]{number: l.last, size: headLen, synced: headLen}
		l.segments = append(l.segments, l.current)
		l.down, l.cause = false, nil
	}
}

// fail deals with an operation that did not do what it should. What a failed write or sync has left in its file is not known, and a
// later sync that succeeds says nothing of it: what was not synced before counts as not on disk, though it may be.
func (l *Log[T]) fail(now time.Duration, op Op, err error) {
	l.cause = err
	beginning := len(l.todo) > 0
	if !beginning && (op.Kind == Remove || op.Kind == SyncDir) { // it takes room, and does no harm
		l.sweepAt = now + l.rules.Retry
		return
	}
	if n := len(l.segments); n > 0 && !l.segments[n-1].doubted {
		g := l.segments[n-1]
		g.doubted = true
		g.moveFrom(&l.off, l.synced+1)
	}
	if beginning && l.todo[0].Segment != l.last {
		l.last-- // it was not tried
	} else if beginning {
		l.void = append(l.void, l.last)
	}
	l.out.moveTo(&l.off)
	l.group.moveTo(&l.off)
	l.pending, l.todo, l.current = nil, nil, nil
	l.written, l.lost = l.synced, l.seq
	l.down, l.barred = true, false
	l.failures++
	l.retryAt = now + backoff.Exponential{Initial: l.rules.Retry, Max: mostRetry}.Delay(min(l.failures-1, 10))
}

// Close takes nothing more; what is pending is written and synced as Next has it, until Closed.
func (l *Log[T]) Close() { l.closing = true }

// Closed tells whether a log that was closed has nothing left to do.
func (l *Log[T]) Closed() bool { return l.closing && l.op.Kind == Nothing && (l.closed || l.down) }
