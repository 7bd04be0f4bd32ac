package idempotency

import (
	"slices"
	"time"

	"pumicecroft/internal/journal"
)

// Restore applies a record of the log that is being recovered. It must be called in the order of the
// records. epoch is the Unix time at the store's time 0. It returns the slot of the record's entry, or
// nil if the key was removed, has expired, or does not fit into the memory budget. Errors wrap
// ErrInvalidRecord.
//
// A request that was in flight when the log ended may have been executed: its outcome is unknown for
// UnknownTTL from now. An expiry that is further away than TTL means that the system clock was set
// back; the entry expires TTL from now instead.
func (s *Store) Restore(now, epoch time.Duration, b []byte) (*journal.Slot[Entry], error) {
	s.advance(now)
	r, err := decodeRecord(b)
	if err != nil {
		return nil, err
	}
	if old := s.entries[r.id]; old != nil {
		s.removeEntry(old)
	}
	state, expiresAt := s.restoredState(r, epoch)
	if r.kind == recordRemoved || expiresAt <= s.now {
		return nil, nil
	}
	e := s.restoreEntry(r, state, expiresAt)
	if e == nil {
		return nil, nil
	}
	if r.kind == recordInFlight {
		s.interrupted = append(s.interrupted, e)
	}
	return &e.slot, nil
}

// restoredState returns the state and the expiry of an entry that is restored from a record.
func (s *Store) restoredState(r record, epoch time.Duration) (state, time.Duration) {
	expiresAt := min(r.expires-epoch, s.now+s.limits.TTL)
	switch r.kind {
	case recordInFlight:
		return stateOutcomeUnknown, s.now + s.limits.UnknownTTL
	case recordUnknown:
		return stateOutcomeUnknown, min(expiresAt, s.now+s.limits.UnknownTTL)
	}
	return stateCompleted, expiresAt
}

// restoreEntry adds the entry of a record, with its response if that is within MaxResponseBytes and
// there is room. It returns nil if there is no room for the entry.
func (s *Store) restoreEntry(r record, state state, expiresAt time.Duration) *entry {
	bytes := entryOverhead + len(r.id.key)
	c := s.customerFor(r.id.customer)
	c.pinned = true
	hasRoom := s.makeRoom(c, bytes)
	c.pinned = false
	if !hasRoom {
		s.releaseCustomer(c)
		return nil
	}
	e := s.addEntry(c, r.id.key, r.fingerprint)
	e.state, e.expiresAt = state, expiresAt
	s.addBytes(e, bytes)
	if size := r.response.size(); r.kind == recordResponse && size <= s.limits.MaxResponseBytes &&
		(size == 0 || s.makeRoom(c, size)) {
		r.response.Body = slices.Clone(r.response.Body)
		e.responseStored, e.response = true, r.response
		s.addBytes(e, size)
	}
	c.addEvictable(e)
	s.timers.Add(&e.timer, e.expiresAt)
	return e
}

// AttachLog makes the store append all changes to a log that was recovered with Restore. Requests
// that were in flight when the log ended are appended with an unknown outcome.
func (s *Store) AttachLog(log *journal.Log[Entry], epoch time.Duration) {
	s.log, s.epoch = log, epoch
	for _, e := range s.interrupted {
		if s.entries[e.id] == e {
			s.appendRecord(e)
		}
	}
	s.interrupted = nil
}

// RewriteStale appends again the records that the log reports as stale. It must be called after each
// operation of the log, which may have made room for more of them.
func (s *Store) RewriteStale(now time.Duration) {
	s.now = max(s.now, now)
	for slot := s.log.Stale(); slot != nil; slot = s.log.Stale() {
		s.appendRecord(slot.Value.e)
	}
}

// RecordResponse appends the response of a request that proceeded to the log, before Complete gives
// it to any client; Complete must still be called. It returns the record's number, or 0 if no record
// was appended.
func (s *Store) RecordResponse(now time.Duration, t *Ticket, r Response) uint64 {
	s.now = max(s.now, now)
	if s.log == nil || !s.executing(t) {
		return 0
	}
	e := t.entry
	e.responseRecorded, e.expiresAt = true, s.now+s.limits.TTL
	if e.responseStored = s.storable(r); e.responseStored {
		e.response = r
	}
	return s.appendRecord(e)
}
