package idempotency

import (
	"container/heap"

	"pumicecroft/decision"
)

// Accounted memory in bytes of an entry without its key and response, and of a ticket.
// BenchmarkStore compares the accounted memory with the heap.
const (
	entryOverhead  = 496
	ticketOverhead = 192
)

// Largest response and content type that are stored, in bytes. They fit the length fields of a log
// record.
const (
	maxStoredResponse = 8 << 20
	maxContentType    = 1 << 15
)

// customer accounts for the memory of one customer's entries.
type customer struct {
	id             decision.CustomerID
	inFlightBytes  int
	storedBytes    int    // of evictable entries
	oldest, newest *entry // ends of the list of evictable entries
	heapIndex      int    // in Store.evictionOrder; -1: not in the heap
	pinned         bool   // set while makeRoom runs for it: the account stays when its last entry is evicted
}

func (c *customer) totalBytes() int { return c.inFlightBytes + c.storedBytes }

// addEvictable appends an entry that is no longer in flight, as the newest.
func (c *customer) addEvictable(e *entry) {
	e.older = c.newest
	if c.newest != nil {
		c.newest.younger = e
	} else {
		c.oldest = e
	}
	c.newest = e
}

// removeEvictable removes an entry added by addEvictable.
func (c *customer) removeEvictable(e *entry) {
	if e.older != nil {
		e.older.younger = e.younger
	} else {
		c.oldest = e.younger
	}
	if e.younger != nil {
		e.younger.older = e.older
	} else {
		c.newest = e.older
	}
	e.older, e.younger = nil, nil
}

// customerFor returns a customer's account and creates it if necessary. A new account that gets no
// entry must be released with releaseCustomer.
func (s *Store) customerFor(id decision.CustomerID) *customer {
	c := s.customers[id]
	if c == nil {
		c = &customer{id: id, heapIndex: -1}
		s.customers[id] = c
		heap.Push(&s.evictionOrder, c)
	}
	return c
}

// releaseCustomer removes a customer's account if it has no entries.
func (s *Store) releaseCustomer(c *customer) {
	if c.totalBytes() == 0 && !c.pinned && c.heapIndex >= 0 {
		heap.Remove(&s.evictionOrder, c.heapIndex)
		delete(s.customers, c.id)
	}
}

// storable reports whether a response is small enough to be stored.
func (s *Store) storable(r Response) bool {
	return r.size() <= s.limits.MaxResponseBytes && len(r.ContentType) <= maxContentType
}

// size returns the memory that a stored response accounts for, in bytes.
func (r Response) size() int { return len(r.Body) + len(r.ContentType) }

// withinMemoryShare reports whether a customer's requests in flight may use another bytes. The limit is the
// part of the budget that no request in flight would then use: one flooding customer gets half of the
// budget, two get a third each, and a new customer always finds room. This is the dynamic threshold
// for shared buffers of Choudhury and Hahne (1998) with alpha = 1.
func (s *Store) withinMemoryShare(c *customer, bytes int) bool {
	return c.inFlightBytes+bytes <= s.limits.MaxBytes-s.inFlightBytes-bytes
}

// makeRoom evicts entries until another bytes fit into the budget for customer c, and reports whether
// they do. Entries in flight are never evicted. A customer above an even share of the budget evicts
// its own entries, the oldest first. A customer below it evicts those of the customer with the most
// evictable bytes if that customer is above its share, and otherwise its own.
func (s *Store) makeRoom(c *customer, bytes int) bool {
	for s.bytes+bytes > s.limits.MaxBytes {
		victim := s.victimFor(c, bytes)
		if victim.oldest == nil {
			return false
		}
		s.removeEntry(victim.oldest)
	}
	return true
}

// victimFor returns the customer whose oldest entry is evicted next to make room for c.
func (s *Store) victimFor(c *customer, bytes int) *customer {
	share := s.limits.MaxBytes / max(1, len(s.customers))
	if c.totalBytes()+bytes > share {
		return c
	}
	if largest := s.evictionOrder[0]; largest.totalBytes() > share {
		return largest
	}
	return c
}

// addBytes adds to the accounted memory of an entry, and to the totals of its customer and of the store. By the
// entry's state it counts as in flight or as stored.
func (s *Store) addBytes(e *entry, bytes int) {
	e.bytes += bytes
	s.bytes += bytes
	if e.state == stateInFlight {
		e.customer.inFlightBytes += bytes
		s.inFlightBytes += bytes
		return
	}
	e.customer.storedBytes += bytes
	heap.Fix(&s.evictionOrder, e.customer.heapIndex)
}

// customerHeap is a heap of customers, the one with the most evictable bytes first; among equals the
// one with the lower id.
type customerHeap []*customer

// Len implements heap.Interface.
func (h customerHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h customerHeap) Less(i, j int) bool {
	if h[i].storedBytes != h[j].storedBytes {
		return h[i].storedBytes > h[j].storedBytes
	}
	return h[i].id < h[j].id
}

// Swap implements heap.Interface.
func (h customerHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

// Push implements heap.Interface.
func (h *customerHeap) Push(x any) {
	c := x.(*customer)
	c.heapIndex = len(*h)
	*h = append(*h, c)
}

// Pop implements heap.Interface.
func (h *customerHeap) Pop() any {
	last := len(*h) - 1
	c := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	c.heapIndex = -1
	return c
}
