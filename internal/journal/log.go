package journal

import "time"

// Log is a log of records. The package comment says who may call it.
type Log[T any] struct {
	options Options
	id      uint64 // the same in all segments of the log

	segments    []*segment[T] // on disk, the oldest first
	active      *segment[T]   // the last of segments, if it may be written to
	lastSegment uint64        // highest segment number ever used
	orphans     []uint64      // files to remove that are no part of the log
	dirUnsynced bool          // a file was removed since the directory was synced

	pending      []byte        // the next group: room for a frame's header, and records
	pendingSince time.Duration // when its first record came
	spare        []byte        // buffer of a group that was written

	pendingSlots segment[T] // of the records in pending
	writingSlots segment[T] // of the records that are being written
	unwritten    segment[T] // of records that are not on disk and must be appended again

	lastSeq       uint64        // of the last record appended
	writingSeq    uint64        // of the last record that is being written
	writtenSeq    uint64        // of the last record written
	syncedSeq     uint64        // of the last record synced
	durableSeq    uint64        // of the last record reported durable
	lostSeq       uint64        // records up to it that are not durable never will be
	unsyncedSince time.Duration // when active.size last went beyond active.synced

	runningOp  Op   // given out by Next, not Done yet
	segmentOps []Op // what is left to do for a new segment

	barrierSet bool // the oldest segment may be removed once barrierSeq is synced
	barrierSeq uint64

	failed   bool  // the log accepts nothing
	cause    error // of the last failure
	failures int   // in a row
	retryAt  time.Duration
	removeAt time.Duration // when the next file may be removed, after a removal failed

	closing bool // Close was called
	closed  bool // the final frame was given out
}

// Usage returns what the log takes.
func (l *Log[T]) Usage() Usage {
	u := Usage{
		Segments:       len(l.segments),
		PendingBytes:   max(0, len(l.pending)-frameHeaderLen),
		UnwrittenBytes: l.unwritten.liveBytes,
		LiveBytes:      l.pendingSlots.liveBytes + l.writingSlots.liveBytes,
	}
	for _, g := range l.segments {
		u.Bytes += g.size
		u.LiveBytes += g.liveBytes
	}
	return u
}

// Err returns the error for which the log accepts nothing at the moment; nil if it accepts records.
func (l *Log[T]) Err() error {
	if !l.failed {
		return nil
	}
	return l.cause
}

// Durable returns the number up to which all records are durable, except those that Lost excludes.
func (l *Log[T]) Durable() uint64 { return l.durableSeq }

// Written returns the number up to which all records are with the operating system: they survive a
// crash of the process, and not always one of the machine.
func (l *Log[T]) Written() uint64 { return l.writtenSeq }

// Lost returns the number up to which records that are not durable never will be.
func (l *Log[T]) Lost() uint64 { return l.lostSeq }

// MaxRecord returns the largest size of a record in bytes. A larger one is never accepted, and its
// slot then has no record.
func (l *Log[T]) MaxRecord() int { return l.options.MaxPending / 2 }

// Append adds a record to the next group and makes it the one that counts for its slot; s may be nil.
// It returns the record's number, which Durable reaches when the record is durable. It returns 0 if
// the log accepts nothing at the moment. Then Stale returns the slot when it does again; a record
// without a slot is dropped.
func (l *Log[T]) Append(now time.Duration, s *Slot[T], record []byte) uint64 {
	size := int64(len(record)) + recordOverhead
	s.Drop()
	if len(record) > l.MaxRecord() {
		return 0
	}
	if l.failed || l.closing || len(l.pending)+len(record) > l.options.MaxPending {
		if s != nil {
			l.unwritten.add(s, size, 0)
		}
		return 0
	}
	if len(l.pending) == 0 {
		l.pending, l.spare = l.spare[:0], nil
		l.pending = append(l.pending, make([]byte, frameHeaderLen)...)
		l.pendingSince = now
	}
	l.pending = appendRecord(l.pending, record)
	l.lastSeq++
	if s != nil {
		l.pendingSlots.add(s, size, l.lastSeq)
	}
	return l.lastSeq
}

// Stale returns a slot whose record its owner must append again: one that is not on disk, or one of
// the oldest segment when that is to be removed. It returns nil if there is none now. It returns no
// more slots than the disk keeps up with: the owner calls it again after each Done.
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

// oldestRemovable reports whether nobody needs the oldest segment any more: none of its records
// counts, and the records that replaced them are synced. As the replacing records are not known one
// by one, a barrier is set at the first call: all that was appended until then must be synced.
func (l *Log[T]) oldestRemovable() bool {
	if len(l.segments) < 2 || l.segments[0].first != nil || l.unwritten.first != nil {
		return false
	}
	if !l.barrierSet {
		l.barrierSet, l.barrierSeq = true, l.lastSeq
	}
	return l.syncedSeq >= l.barrierSeq || len(l.pending) == 0 && l.active.size == l.active.synced
}

// Close stops accepting records. What is pending is still written and synced by the operations that
// Next returns, until Closed reports true.
func (l *Log[T]) Close() { l.closing = true }

// Closed reports whether Close was called and nothing is left to do.
func (l *Log[T]) Closed() bool {
	return l.closing && l.runningOp.Kind == None && (l.closed || l.failed)
}
