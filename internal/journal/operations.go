package journal

import (
	"time"

	"pumicecroft/internal/backoff"
)

const (
	maxSpareBytes     = 256 << 10 // a larger buffer is not kept for a later frame
	maxRetryDoublings = 10        // of Options.RetryDelay, within maxRetryDelay
)

// NextWake returns when Next must be called next if no operation is running and nothing is appended
// before. ok is false if there is no such time.
func (l *Log[T]) NextWake() (at time.Duration, ok bool) {
	earliest := func(t time.Duration) {
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
		earliest(l.pendingSince + l.options.GroupCommitDelay)
	}
	if l.active.size > l.active.synced {
		earliest(l.unsyncedSince + l.options.SyncInterval)
	}
	if l.dirUnsynced || len(l.orphans) > 0 || l.oldestRemovable() {
		earliest(l.removeAt)
	}
	return at, ok
}

// Next returns the operation to perform now. Its result must be passed to Done before Next returns
// another one; until then, and if there is nothing to do, Next returns an Op of kind None.
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
	case l.syncDue(now):
		return Op{Kind: Sync, Segment: l.active.number}
	case l.writeDue(now):
		if l.active.size > headerLen && l.active.size+int64(len(l.pending)) > l.options.SegmentBytes {
			return l.beginSegment()
		}
		l.pendingSlots.moveAllTo(&l.writingSlots)
		l.writingSeq = l.lastSeq
		return l.writePending()
	case l.closing: // the final empty frame records that everything before it was synced
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

func (l *Log[T]) syncDue(now time.Duration) bool {
	return l.active.size > l.active.synced &&
		(now >= l.unsyncedSince+l.options.SyncInterval || l.closing)
}

func (l *Log[T]) writeDue(now time.Duration) bool {
	return len(l.pending) > 0 && (now >= l.pendingSince+l.options.GroupCommitDelay ||
		len(l.pending) > l.options.MaxPending/4 || l.closing)
}

// writePending returns the operation that writes the pending group as a frame of the active segment.
func (l *Log[T]) writePending() Op {
	frame, g := l.pending, l.active
	finishFrame(frame, l.id, g.number, g.size, g.synced)
	l.pending = nil
	return Op{Kind: Write, Segment: g.number, Offset: g.size, Data: frame}
}

// beginSegment plans the operations for a new segment and returns the first. The segment's header
// names the previous segment and how much of that is known to be synced.
func (l *Log[T]) beginSegment() Op {
	l.lastSegment++
	h := segmentHeader{number: l.lastSegment, logID: l.id}
	l.segmentOps = nil
	if n := len(l.segments); n > 0 {
		g := l.segments[n-1]
		h.previous, h.previousSynced = g.number, g.synced
		if g.size > g.synced && !g.syncFailed {
			h.previousSynced = g.size // the new segment is created after this sync
			l.segmentOps = append(l.segmentOps, Op{Kind: Sync, Segment: g.number})
		}
	}
	l.active = nil
	l.segmentOps = append(l.segmentOps,
		Op{Kind: Create, Segment: h.number, Data: h.encode()},
		Op{Kind: Sync, Segment: h.number},
		Op{Kind: SyncDir, Segment: h.number})
	return l.segmentOps[0]
}

// Done passes the result of the operation that Next returned to the log. Afterwards, Durable and Lost
// return which records are durable and which are lost.
func (l *Log[T]) Done(now time.Duration, err error) {
	op := l.runningOp
	l.runningOp = Op{}
	if err != nil {
		l.opFailed(now, op, err)
		return
	}
	switch {
	case len(l.segmentOps) > 0:
		l.segmentOpDone(op)
	case op.Kind == Write:
		l.writeDone(now, op)
	case op.Kind == Sync:
		l.active.synced = l.active.size
		l.syncedSeq, l.durableSeq, l.consecutiveFailures = l.writtenSeq, l.writtenSeq, 0
	case op.Kind == SyncDir:
		l.dirUnsynced = false
	case op.Kind == Remove:
		l.removeDone()
	}
}

func (l *Log[T]) writeDone(now time.Duration, op Op) {
	g := l.active
	if g.size == g.synced {
		l.unsyncedSince = now
	}
	g.size += int64(len(op.Data))
	l.writingSlots.moveAllTo(g)
	l.writtenSeq = max(l.writtenSeq, l.writingSeq)
	if l.options.SyncInterval > 0 {
		l.durableSeq, l.consecutiveFailures = l.writtenSeq, 0
	}
	if cap(op.Data) <= maxSpareBytes {
		l.spareBuf = op.Data
	}
}

func (l *Log[T]) removeDone() {
	l.dirUnsynced, l.removableAfterSet = true, false
	if len(l.orphans) > 0 {
		l.orphans = l.orphans[1:]
	} else {
		l.segments = l.segments[1:]
	}
}

// segmentOpDone handles the success of one of the operations for a new segment. After the last of them
// the segment becomes the active one, and a log that had failed accepts records again.
func (l *Log[T]) segmentOpDone(op Op) {
	if op.Kind == Sync && op.Segment != l.lastSegment {
		g := l.segments[len(l.segments)-1]
		g.synced = g.size
		l.syncedSeq, l.durableSeq = l.writtenSeq, l.writtenSeq
	}
	if l.segmentOps = l.segmentOps[1:]; len(l.segmentOps) == 0 {
		l.active = &segment[T]{number: l.lastSegment, size: headerLen, synced: headerLen}
		l.segments = append(l.segments, l.active)
		l.failed, l.lastErr = false, nil
	}
}

// opFailed handles an operation that failed. What a failed write or sync has left in its file is not
// known, and a later sync that succeeds proves nothing about it, as the operating system may have
// dropped the dirty pages. So data that was not synced before is treated as not on disk, although it
// may be.
func (l *Log[T]) opFailed(now time.Duration, op Op, err error) {
	l.lastErr = err
	beginningSegment := len(l.segmentOps) > 0
	if !beginningSegment && (op.Kind == Remove || op.Kind == SyncDir) { // harmless: only disk space is not freed
		l.removeAt = now + l.options.RetryDelay
		return
	}
	if n := len(l.segments); n > 0 && !l.segments[n-1].syncFailed {
		g := l.segments[n-1]
		g.syncFailed = true
		g.moveTailTo(&l.toRewrite, l.syncedSeq+1)
	}
	if beginningSegment && l.segmentOps[0].Segment != l.lastSegment {
		l.lastSegment-- // its file was not created
	} else if beginningSegment {
		l.orphans = append(l.orphans, l.lastSegment)
	}
	l.writingSlots.moveAllTo(&l.toRewrite)
	l.pendingSlots.moveAllTo(&l.toRewrite)
	l.pending, l.segmentOps, l.active = nil, nil, nil
	l.writtenSeq, l.lostSeq = l.syncedSeq, l.lastSeq
	l.failed, l.removableAfterSet = true, false
	l.consecutiveFailures++
	retry := backoff.Exponential{Initial: l.options.RetryDelay, Max: maxRetryDelay}
	l.retryAt = now + retry.Delay(min(l.consecutiveFailures-1, maxRetryDoublings))
}
