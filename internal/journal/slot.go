package journal

// recordOverhead is the estimated size in bytes that a record takes in addition to its data.
const recordOverhead = 4

// Slot tracks the live record of one of the caller's items: the last one that was appended for it.
// Its zero value has no record. It must not be copied while it has a record.
type Slot[T any] struct {
	Value      T // for the caller's use
	segment    *segment[T]
	size       int64
	position   uint64 // of its record in the segment's list, see segment.add
	prev, next *Slot[T]
}

// HasRecord reports whether the slot has a record, written or pending.
func (s *Slot[T]) HasRecord() bool { return s.segment != nil }

// Drop marks the slot's record as garbage. Recover may still read it. Drop does nothing for a nil
// Slot.
func (s *Slot[T]) Drop() {
	if s != nil && s.segment != nil {
		s.segment.remove(s)
	}
}

// segment is one file, with a list of the slots whose live records are in it, in the order of the
// records.
type segment[T any] struct {
	number      uint64 // 0: only a list of slots whose records are in no file
	size        int64
	synced      int64
	syncFailed  bool // a sync has failed, or may have in an earlier process: a later one that succeeds proves nothing
	liveBytes   int64
	first, last *Slot[T]
}

// add appends a slot to the list. position is the record's number or, for a record that Recover has read,
// the offset of its frame; 0 in Log.toRewrite, which moveTailTo is not called on.
func (g *segment[T]) add(s *Slot[T], size int64, position uint64) {
	s.segment, s.size, s.position, s.prev = g, size, position, g.last
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

// moveAllTo moves all slots to another segment, in their order.
func (g *segment[T]) moveAllTo(to *segment[T]) {
	for s := g.first; s != nil; s = g.first {
		size, position := s.size, s.position
		g.remove(s)
		to.add(s, size, position)
	}
}

// moveTailTo moves the slots from position on to another list, in no particular order, and clears their
// positions.
func (g *segment[T]) moveTailTo(to *segment[T], position uint64) {
	for s := g.last; s != nil && s.position >= position; s = g.last {
		size := s.size
		g.remove(s)
		to.add(s, size, 0)
	}
}
