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

// Options are a log's. What is 0 takes the default.
type Options struct {
	// SegmentBytes is how large a segment may grow before the next one is begun; 16 MiB. A group that is larger has one of its own.
	SegmentBytes int64
	// GroupCommitDelay is how long the first record of a group waits for others before the group is written, if the disk is not busy anyway.
	// 0: it does not wait.
	GroupCommitDelay time.Duration
	// SyncInterval is how long what was written may stay unsynced. 0: each group is synced, and durable once it is. Else a group is
	// called durable as soon as it is written, which a crash of the process does not undo, and one of the machine may.
	SyncInterval time.Duration
	// MaxPending bounds the bytes that wait to be written; 4 MiB. What comes when that is full is put off as if the disk had failed.
	MaxPending int
	// RetryDelay is how long after a failure the log is tried again, doubled with each one in a row, a minute at the most; 1 s.
	RetryDelay time.Duration
}

func (r Options) withDefaults() Options {
	if r.SegmentBytes <= 0 {
		r.SegmentBytes = 16 << 20
	}
	r.SegmentBytes = min(r.SegmentBytes, maxSegmentBytes/2)
	if r.MaxPending <= 0 {
		r.MaxPending = 4 << 20
	}
	r.MaxPending = min(r.MaxPending, maxSegmentBytes/2)
	if r.RetryDelay <= 0 {
		r.RetryDelay = time.Second
	}
	return r
}

const maxRetryDelay = time.Minute

// OpKind is what an Op does.
type OpKind uint8

// The kinds.
const (
	None    OpKind = iota
	Create         // the file of Segment, which must not exist, with Data in it
	Write          // Data at Offset of Segment, which is its end
	Sync           // what was written to Segment
	SyncDir        // which files there are
	Remove         // the file of Segment; that it is not there is no error
)

// String is the kind's name.
func (k OpKind) String() string {
	return [...]string{"nothing", "create", "write", "sync", "syncdir", "remove"}[k]
}

// Op is one operation on files.
type Op struct {
	Kind    OpKind
	Segment uint64
	Offset  int64
	Data    []byte // not to be changed, and good until Done
}

// Slot is what records are of: it has one record that counts, the last one. Its zero value has none. It belongs to its owner, who
// appends for it and drops it, and must not be copied then.
type Slot[T any] struct {
	Value      T
	segment    *segment[T]
	size       int64
	seq        uint64
	prev, next *Slot[T]
}

// HasRecord tells whether the slot has a record, written or about to be.
func (s *Slot[T]) HasRecord() bool { return s.segment != nil }

// segment is one file, with the slots whose records are in it, in the order of these.
type segment[T any] struct {
	number      uint64 // 0: of what is not on disk
	size        int64
	synced      int64
	syncFailed  bool  // it failed: that a later sync succeeds says nothing
	liveBytes   int64 // bytes of records that count
	first, last *Slot[T]
}

func (g *segment[T]) add(s *Slot[T], size int64, seq uint64) {
	s.segment, s.size, s.seq, s.prev = g, size, seq, g.last
	if g.last != nil {
		g.last.next = s
	} else {
		g.first = s
	}
	g.last = s
	g.liveBytes += size
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
	g.liveBytes -= s.size
	s.segment, s.prev, s.next = nil, nil, nil
}

// Log is a log. See the package's comment for who may call it.
type Log[T any] struct {
	options       Options
	id            uint64
	segments      []*segment[T] // the oldest first
	active        *segment[T]   // the last of them, if it may be written to
	unwritten     segment[T]    // the slots whose records are not on disk and should be
	pendingSlots  segment[T]    // those of what is pending
	writingSlots  segment[T]    // those of what is being written
	pending       []byte        // the next group: room for a frame's head, and records
	spare         []byte        // room of a group that was written
	pendingSince  time.Duration // when its first record came
	lastSeq       uint64        // of the last record that was appended
	writingSeq    uint64        // of the last that is being written
	writtenSeq    uint64        // of the last that was written
	syncedSeq     uint64        // of the last that was synced
	durableSeq    uint64        // of the last that is called durable
	lostSeq       uint64        // all up to it that are not durable never will be
	unsyncedSince time.Duration // since when current has something that is not synced, if it has
	segmentOps    []Op          // what a new segment needs, in order
	runningOp     Op            // which is being done
	lastSegment   uint64        // number of the last segment that was ever begun
	orphans       []uint64      // files that never were segments
	dirUnsynced   bool          // a file was removed, and that is not synced yet
	barrierSet    bool          // the oldest segment may be removed when barrier is synced
	barrierSeq    uint64
	closing       bool
	closed        bool // its last frame was given out
	failed        bool
	failures      int // in a row
	retryAt       time.Duration
	removeAt      time.Duration // when the next file may be removed, after a failure
	cause         error
}

// Usage is what a log takes.
type Usage struct {
	Segments       int
	Bytes          int64 // of all of them
	LiveBytes      int64 // of records that count, on disk or on their way
	PendingBytes   int   // bytes that wait to be written
	UnwrittenBytes int64 // bytes of records that are not on disk and should be
}

// Usage gives it.
func (l *Log[T]) Usage() Usage {
	u := Usage{Segments: len(l.segments), PendingBytes: max(0, len(l.pending)-frameHeaderLen), UnwrittenBytes: l.unwritten.liveBytes, LiveBytes: l.pendingSlots.liveBytes + l.writingSlots.liveBytes}
	for _, g := range l.segments {
		u.Bytes += g.size
		u.LiveBytes += g.liveBytes
	}
	return u
}

// Err tells why the log takes nothing, or gives nil.
func (l *Log[T]) Err() error {
	if !l.failed {
		return nil
	}
	return l.cause
}

// Durable is the number up to which all is durable, Lost the one up to which what is not will not be: who waited for
// it waits in vain.
func (l *Log[T]) Durable() uint64 { return l.durableSeq }

// Written is the number up to which all is with the operating system: it outlives the process, and not always the machine.
func (l *Log[T]) Written() uint64 { return l.writtenSeq }

// Lost is told with Durable and Written.
func (l *Log[T]) Lost() uint64 { return l.lostSeq }

// MaxRecord is the most bytes of a record. A longer one is never taken, and its slot has none then.
func (l *Log[T]) MaxRecord() int { return l.options.MaxPending / 2 }

// Append puts a record into the next group, as the one that counts for its slot, if it is one's. The number that it gives is
// what Durable reaches when the record is. 0: the log takes nothing now, and will ask for the slot, as Stale, when it does; what is
// nobody's is not written then.
func (l *Log[T]) Append(now time.Duration, s *Slot[T], rec []byte) uint64 {
	size := int64(len(rec)) + 4
	s.Drop()
	if len(rec) > l.MaxRecord() {
		return 0
	}
	if l.failed || l.closing || len(l.pending)+len(rec) > l.options.MaxPending {
		if s != nil {
			l.unwritten.add(s, size, 0)
		}
		return 0
	}
	if len(l.pending) == 0 {
		l.pending, l.spare = append(l.spare[:0], make([]byte, frameHeaderLen)...), nil
		l.pendingSince = now
	}
	l.pending = appendRecord(l.pending, rec)
	l.lastSeq++
	if s != nil {
		l.pendingSlots.add(s, size, l.lastSeq)
	}
	return l.lastSeq
}

// Drop says that the slot's record counts no more. It may be read again all the same.
func (s *Slot[T]) Drop() {
	if s != nil && s.segment != nil {
		s.segment.remove(s)
	}
}

// moveAll moves all slots to another segment, in their order.
func (g *segment[T]) moveAll(to *segment[T]) {
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
	if l.failed || l.closing || len(l.pending) > l.options.MaxPending/4 {
		return nil
	}
	if l.unwritten.first != nil {
		return l.unwritten.first
	}
	if len(l.segments) < 2 {
		return nil
	}
	u := l.Usage()
	if oldest := l.segments[0]; u.Bytes > 2*u.LiveBytes+2*l.options.SegmentBytes {
		return oldest.first
	}
	return nil
}

// NextWake is when Next wants to be called, if nothing is being done and nothing is appended before.
func (l *Log[T]) NextWake() (at time.Duration, ok bool) {
	first := func(t time.Duration) {
		if !ok || t < at {
			at, ok = t, true
		}
	}
	switch {
	case l.runningOp.Kind != None || l.closed:
		return 0, false
	case l.failed:
		return l.retryAt, !l.closing
	case len(l.segmentOps) > 0 || l.active == nil || l.closing:
		return 0, true
	}
	if len(l.pending) > 0 {
		first(l.pendingSince + l.options.GroupCommitDelay)
	}
	if l.active.size > l.active.synced {
		first(l.unsyncedSince + l.options.SyncInterval)
	}
	if l.dirUnsynced || len(l.orphans) > 0 || l.oldestRemovable() {
		first(l.removeAt)
	}
	return at, ok
}

// oldestRemovable tells whether nobody needs the oldest segment any more: none of its records counts, and those that count in their place
// are synced. What came before this was seen is, once all that had been appended by then is.
func (l *Log[T]) oldestRemovable() bool {
	if len(l.segments) < 2 || l.segments[0].first != nil || l.unwritten.first != nil {
		return false
	}
	if !l.barrierSet {
		l.barrierSet, l.barrierSeq = true, l.lastSeq
	}
	return l.syncedSeq >= l.barrierSeq || len(l.pending) == 0 && l.active.size == l.active.synced
}

// Next is what is to be done now; it must be done, and Done called, before Next gives more.
func (l *Log[T]) Next(now time.Duration) Op {
	if l.runningOp.Kind == None {
		l.runningOp = l.nextOp(now)
		return l.runningOp
	}
	return Op{}
}

func (l *Log[T]) nextOp(now time.Duration) Op {
	switch {
	case l.closed || l.failed && (l.closing || now < l.retryAt):
	case len(l.segmentOps) > 0:
		return l.segmentOps[0]
	case l.active == nil:
		return l.beginSegment()
	case l.active.size > l.active.synced && (now >= l.unsyncedSince+l.options.SyncInterval || l.closing):
		return Op{Kind: Sync, Segment: l.active.number}
	case len(l.pending) > 0 && (now >= l.pendingSince+l.options.GroupCommitDelay || len(l.pending) > l.options.MaxPending/4 || l.closing):
		if l.active.size > headerLen && l.active.size+int64(len(l.pending)) > l.options.SegmentBytes {
			return l.beginSegment()
		}
		l.pendingSlots.moveAll(&l.writingSlots)
		l.writingSeq = l.lastSeq
		return l.writePending()
	case l.closing: // an empty frame says that all before it was synced
		l.closed = true
		l.pending = make([]byte, frameHeaderLen)
		return l.writePending()
	case now < l.removeAt:
	case l.dirUnsynced:
		return Op{Kind: SyncDir}
	case len(l.orphans) > 0:
		return Op{Kind: Remove, Segment: l.orphans[0]}
	case l.oldestRemovable():
		return Op{Kind: Remove, Segment: l.segments[0].number}
	}
	return Op{}
}

// writePending makes a frame of what is pending.
func (l *Log[T]) writePending() Op {
	text, g := l.pending, l.active
	finishFrame(text, l.id, g.number, g.size, g.synced)
	l.pending = nil
	return Op{Kind: Write, Segment: g.number, Offset: g.size, Data: text}
}

// beginSegment begins a new segment, behind the last one as far as that counts.
func (l *Log[T]) beginSegment() Op {
	l.lastSegment++
	h := segmentHeader{number: l.lastSegment, logID: l.id}
	l.segmentOps = nil
	if n := len(l.segments); n > 0 {
		g := l.segments[n-1]
		h.previous, h.previousSynced = g.number, g.synced
		if g.size > g.synced && !g.syncFailed {
			h.previousSynced = g.size // as the new one is not made before it is so
			l.segmentOps = append(l.segmentOps, Op{Kind: Sync, Segment: g.number})
		}
	}
	l.active = nil
	l.segmentOps = append(l.segmentOps, Op{Kind: Create, Segment: h.number, Data: h.encode()}, Op{Kind: Sync, Segment: h.number}, Op{Kind: SyncDir, Segment: h.number})
	return l.segmentOps[0]
}

// Done says how the operation that Next gave has ended. What it was about is durable, or lost, by Durable and Lost.
func (l *Log[T]) Done(now time.Duration, err error) {
	op := l.runningOp
	l.runningOp = Op{}
	if err != nil {
		l.fail(now, op, err)
		return
	}
	switch {
	case len(l.segmentOps) > 0:
		l.segmentOpDone(op)
	case op.Kind == Write:
		g := l.active
		if g.size == g.synced {
			l.unsyncedSince = now
		}
		g.size += int64(len(op.Data))
		l.writingSlots.moveAll(g)
		l.writtenSeq = max(l.writtenSeq, l.writingSeq)
		if l.options.SyncInterval > 0 {
			l.durableSeq, l.failures = l.writtenSeq, 0
		}
		if cap(op.Data) <= 256<<10 {
			l.spare = op.Data
		}
	case op.Kind == Sync:
		l.active.synced = l.active.size
		l.syncedSeq, l.durableSeq, l.failures = l.writtenSeq, l.writtenSeq, 0
	case op.Kind == SyncDir:
		l.dirUnsynced = false
	case op.Kind == Remove:
		l.dirUnsynced, l.barrierSet = true, false
		if len(l.orphans) > 0 {
			l.orphans = l.orphans[1:]
		} else {
			l.segments = l.segments[1:]
		}
	}
}

// segmentOpDone takes in one of the operations that a new segment needs. With the last of them it is there, and the log takes records again
// if it did not.
func (l *Log[T]) segmentOpDone(op Op) {
	if op.Kind == Sync && op.Segment != l.lastSegment {
		g := l.segments[len(l.segments)-1]
		g.synced = g.size
		l.syncedSeq, l.durableSeq = l.writtenSeq, l.writtenSeq
	}
	if l.segmentOps = l.segmentOps[1:]; len(l.segmentOps) == 0 {
		l.active = &segment[T]{number: l.lastSegment, size: headerLen, synced: headerLen}
		l.segments = append(l.segments, l.active)
		l.failed, l.cause = false, nil
	}
}

// fail deals with an operation that did not do what it should. What a failed write or sync has left in its file is not known, and a
// later sync that succeeds says nothing of it: what was not synced before counts as not on disk, though it may be.
func (l *Log[T]) fail(now time.Duration, op Op, err error) {
	l.cause = err
	beginning := len(l.segmentOps) > 0
	if !beginning && (op.Kind == Remove || op.Kind == SyncDir) { // it takes room, and does no harm
		l.removeAt = now + l.options.RetryDelay
		return
	}
	if n := len(l.segments); n > 0 && !l.segments[n-1].syncFailed {
		g := l.segments[n-1]
		g.syncFailed = true
		g.moveFrom(&l.unwritten, l.syncedSeq+1)
	}
	if beginning && l.segmentOps[0].Segment != l.lastSegment {
		l.lastSegment-- // it was not tried
	} else if beginning {
		l.orphans = append(l.orphans, l.lastSegment)
	}
	l.writingSlots.moveAll(&l.unwritten)
	l.pendingSlots.moveAll(&l.unwritten)
	l.pending, l.segmentOps, l.active = nil, nil, nil
	l.writtenSeq, l.lostSeq = l.syncedSeq, l.lastSeq
	l.failed, l.barrierSet = true, false
	l.failures++
	l.retryAt = now + backoff.Exponential{Initial: l.options.RetryDelay, Max: maxRetryDelay}.Delay(min(l.failures-1, 10))
}

// Close takes nothing more; what is pending is written and synced as Next has it, until Closed.
func (l *Log[T]) Close() { l.closing = true }

// Closed tells whether a log that was closed has nothing left to do.
func (l *Log[T]) Closed() bool {
	return l.closing && l.runningOp.Kind == None && (l.closed || l.failed)
}
