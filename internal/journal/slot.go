package journal

// recordOverhead is the estimated size in bytes that a record takes in addition to its data.
const recordOverhead = 4

// Slot tracks the live record of one of the caller's items: the last one that was appended for it.
// Its zero value has no record. It must not be copied while it has a record.
type Slot[T any] struct {
	Value      T // for the caller's use
	segment    *segment[T]
	size       int64
	seq        uint64 // number of its record; after Recover, offset of the record's frame
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
	number      uint64 // 0: a list of slots whose records are in no file
	size        int64
	synced      int64
	syncFailed  bool // a later sync that succeeds proves nothing
	liveBytes   int64
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

// moveAll moves all slots to another segment, in their order.
func (g *segment[T]) moveAll(to *segment[T]) {
	for s := g.first; s != nil; s = g.first {
		size, seq := s.size, s.seq
		g.remove(s)
		to.add(s, size, seq)
	}
}

// moveFrom moves the slots with numbers from seq on to an unordered segment, and clears their numbers.
func (g *segment[T]) moveFrom(to *segment[T], seq uint64) {
	for s := g.last; s != nil && s.seq >= seq; s = g.last {
		size := s.size
		g.remove(s)
		to.add(s, size, 0)
	}
}
