package journal

import "time"

// Log is a write-ahead log of records. It is not safe for concurrent use: its driver serializes all
// calls.
type Log[T any] struct {
	options Options
	id      uint64 // the same in all segments of the log

	segments    []*segment[T] // on disk, the oldest first
	active      *segment[T]   // the last of segments, if it may be written to
	lastSegment uint64        // highest segment number ever used
	orphans     []uint64      // numbers of files that are not part of the log and are to be removed
	dirUnsynced bool          // a file was removed since the directory was synced

	pending      []byte        // the next frame, which is one group of records: space for its header, then the records
	pendingSince time.Duration // when its first record was appended
	spareBuf     []byte        // buffer of a written frame, reused for a later one

	// Lists of slots whose records are in no file; as a segment, each has no number.
	pendingSlots segment[T] // of the records in pending
	writingSlots segment[T] // of the records that are being written
	toRewrite    segment[T] // of live records that must be appended again: they are not on disk, or perhaps not synced

	// Numbers of records: lastSeq >= writingSeq >= writtenSeq >= syncedSeq. A record is durable once it is
	// synced or, with Options.SyncInterval, once it is written. When an operation fails, writtenSeq goes
	// back to syncedSeq, and all records up to lastSeq that are not durable are lost.
	lastSeq       uint64        // of the last record appended
	writingSeq    uint64        // of the last record that is being written
	writtenSeq    uint64        // of the last record written
	syncedSeq     uint64        // of the last record synced
	durableSeq    uint64        // of the last record reported durable
	lostSeq       uint64        // records up to this one are durable or lost
	unsyncedSince time.Duration // when the active segment last began to have unsynced bytes

	runningOp  Op   // returned by Next, not Done yet
	segmentOps []Op // operations still to do to begin a new segment

	removableAfterSet bool // the oldest segment may be removed once record removableAfterSeq is synced
	removableAfterSeq uint64

	failed              bool  // the log accepts no records
	lastErr             error // of the last failed operation
	consecutiveFailures int
	retryAt             time.Duration // when a failed log begins a new segment
	removeAt            time.Duration // when the next file may be removed, after a removal failed

	closing bool // Close was called
	closed  bool // Next has returned the operation that writes the final frame
}

// Usage returns the space that the log uses.
func (l *Log[T]) Usage() Usage {
	u := Usage{
		Segments:       len(l.segments),
		PendingBytes:   max(0, len(l.pending)-frameHeaderLen),
		UnwrittenBytes: l.toRewrite.liveBytes,
		LiveBytes:      l.pendingSlots.liveBytes + l.writingSlots.liveBytes,
	}
	for _, g := range l.segments {
		u.Bytes += g.size
		u.LiveBytes += g.liveBytes
	}
	return u
}

// Err returns the error because of which the log has failed and accepts no records at the moment. It is
// nil if the log has not failed, also if Append accepts no record because the log is closing or too many
// bytes are pending.
func (l *Log[T]) Err() error {
	if !l.failed {
		return nil
	}
	return l.lastErr
}

// Durable returns the number up to which all records are durable, except those that were lost.
func (l *Log[T]) Durable() uint64 { return l.durableSeq }

// Written returns the number up to which all records were passed to the operating system: they
// survive a crash of the process, but not always of the machine.
func (l *Log[T]) Written() uint64 { return l.writtenSeq }

// Lost returns the number up to which all records that are not durable are lost. It advances when an
// operation fails.
func (l *Log[T]) Lost() uint64 { return l.lostSeq }

// MaxRecord returns the largest size of a record in bytes. A larger one is never accepted, and leaves
// its slot without a record.
func (l *Log[T]) MaxRecord() int { return l.options.MaxPending / 2 }

// Append adds a record to the next group and makes it the live record of its slot, instead of the one
// before; s may be nil. It returns the record's number, which Durable reaches when the record is durable.
// It returns 0 in two cases. If the log accepts no records at the moment, Stale returns the slot when it
// accepts records again, and a record without a slot is discarded. If the record is larger than MaxRecord,
// it is discarded, and Stale does not return its slot.
func (l *Log[T]) Append(now time.Duration, s *Slot[T], record []byte) uint64 {
	size := int64(len(record)) + recordOverhead
	s.Drop()
	if len(record) > l.MaxRecord() {
		return 0
	}
	if l.failed || l.closing || len(l.pending)+len(record) > l.options.MaxPending {
		if s != nil {
			l.toRewrite.add(s, size, 0)
		}
		return 0
	}
	if len(l.pending) == 0 {
		l.pending, l.spareBuf = l.spareBuf[:0], nil
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

// Stale returns a slot whose record the caller must append again: one that is not on disk, or perhaps
// not synced, or one of the oldest segment when that is to be removed. It returns nil if there is none,
// or if the disk does not keep up with the pending records: the caller calls it again after each Done.
func (l *Log[T]) Stale() *Slot[T] {
	if l.failed || l.closing || len(l.pending) > l.options.MaxPending/4 {
		return nil
	}
	if l.toRewrite.first != nil {
		return l.toRewrite.first
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

// oldestRemovable reports whether the oldest segment can be removed: none of its records is live, and
// the records that replaced them are synced. The log does not track which records those are, so all
// records up to removableAfterSeq must be synced: the last one appended when the segment was first found
// without a live record. If nothing is pending or unsynced, the replacements are synced too, also when
// records up to removableAfterSeq were lost. It must be called only between operations, with an active
// segment.
func (l *Log[T]) oldestRemovable() bool {
	if len(l.segments) < 2 || l.segments[0].first != nil || l.toRewrite.first != nil {
		return false
	}
	if !l.removableAfterSet {
		l.removableAfterSet, l.removableAfterSeq = true, l.lastSeq
	}
	return l.syncedSeq >= l.removableAfterSeq || len(l.pending) == 0 && l.active.size == l.active.synced
}

// Close stops the log from accepting records. Next returns the operations that write and sync the
// pending records, until Closed reports true.
func (l *Log[T]) Close() { l.closing = true }

// Closed reports whether Close was called and nothing is left to do.
func (l *Log[T]) Closed() bool {
	return l.closing && l.runningOp.Kind == None && (l.closed || l.failed)
}
