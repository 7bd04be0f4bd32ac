package idempotency

import (
	"errors"
	"fmt"
	"time"

	"pumicecroft/decision"
	"pumicecroft/internal/journal"

	"golang.org/x/crypto/cryptobyte"
)

// What is in the log of a store that has one: of each key its last record. All numbers are big-endian, and what has a length has it in
// front.
//
//	form[1] kind[1] customer[8] key[1+n] digest[16] expires[8] status[2] type[2+n] body[3+n]
//
// expires is Unix time in milliseconds, 0 of what is in flight. Status, type and body are those of an answer that is kept.
const recordVersion = 1

// The kinds of records.
const (
	recordInFlight  = 1 + iota // it passed, and may have run from then on
	recordResponse             // it was answered
	recordCompleted            // it was answered, and the answer is not here
	recordUnknown              // it may have run
	recordRemoved              // it never ran: the key is forgotten
)

// ErrInvalidRecord is what Restore says of a record that makes no sense.
var ErrInvalidRecord = errors.New("a record of a key that makes no sense")

// Seq is the number in the store's log of the record that the ticket's request passed: it must not go on before that is durable.
// 0: the log takes nothing now, or there is none.
func (t *Ticket) Seq() uint64 { return t.seq }

// RecordResponse says that the request of a ticket that passed was answered, for the store's log alone: it has the answer then before
// Ended gives it to anybody, which is owed as before. It gives the number of its record; 0: there is none.
func (s *Store) RecordResponse(now time.Duration, t *Ticket, a Response) uint64 {
	s.now = max(s.now, now)
	e := t.entry
	if s.log == nil || !t.leader || e.state != stateInFlight || s.entries[e.id] != e {
		return 0
	}
	e.responseRecorded, e.expiresAt = true, s.now+s.limits.TTL
	if e.responseStored = s.storable(a); e.responseStored {
		e.response = a
	}
	return s.appendRecord(e)
}

// Restore takes in a record of the store's log, which is being recovered, in the order of the records; epoch is the Unix time
// at the store's time 0. What was in flight when the process ended may have run: it is undecided, for KeepDoubt from now. A time of expiry that
// is later than it can have been made is the work of a clock that was put back, and counts as Keep from now. What has expired is
// passed over; what there is no room for goes by the rules of the store, the oldest of whoever has most first.
func (s *Store) Restore(now, epoch time.Duration, rec []byte) (*journal.Slot[Entry], error) {
	s.advance(now)
	var form, kind uint8
	var who, expires uint64
	var key, typ, body cryptobyte.String
	var digest Fingerprint
	var status uint16
	in := cryptobyte.String(rec)
	if !in.ReadUint8(&form) || form != recordVersion || !in.ReadUint8(&kind) || !in.ReadUint64(&who) || !in.ReadUint8LengthPrefixed(&key) ||
		!in.CopyBytes(digest[:]) || !in.ReadUint64(&expires) || !in.ReadUint16(&status) || !in.ReadUint16LengthPrefixed(&typ) ||
		!in.ReadUint24LengthPrefixed(&body) || !in.Empty() || kind < recordInFlight || kind > recordRemoved || !isValidKey(string(key)) {
		return nil, fmt.Errorf("%w: %d bytes of form %d", ErrInvalidRecord, len(rec), form)
	}
	if old := s.entries[entryID{decision.CustomerID(who), string(key)}]; old != nil {
		s.removeEntry(old)
	}
	e := &entry{state: stateCompleted, expiresAt: min(time.Duration(expires)*time.Millisecond-epoch, s.now+s.limits.TTL)}
	switch kind {
	case recordRemoved:
		return nil, nil
	case recordInFlight:
		e.state, e.expiresAt = stateUnknown, s.now+s.limits.UnknownTTL
	case recordUnknown:
		e.state, e.expiresAt = stateUnknown, min(e.expiresAt, s.now+s.limits.UnknownTTL)
	}
	if e.expiresAt <= s.now {
		return nil, nil
	}
	cost, size := entryOverhead+len(key), 0
	if kind == recordResponse && len(typ)+len(body) <= s.limits.MaxResponseBytes {
		size = len(typ) + len(body)
	}
	c := s.customerFor(decision.CustomerID(who))
	c.pinned = true
	has := s.makeRoom(c, cost)
	c.pinned = false
	if !has {
		s.releaseCustomer(c)
		return nil, nil
	}
	state, expireAt := e.state, e.expiresAt
	e = s.addEntry(c, string(key), digest)
	e.state, e.expiresAt = state, expireAt
	s.addCost(e, cost)
	if kind == recordResponse && size > 0 && s.makeRoom(c, size) || kind == recordResponse && size == 0 && len(typ)+len(body) == 0 {
		e.responseStored, e.response = true, Response{Status: int(status), ContentType: string(typ), Body: append([]byte(nil), body...)}
		s.addCost(e, size)
	}
	s.addEvictable(e)
	s.timers.Add(&e.timer, e.expiresAt)
	if kind == recordInFlight {
		s.interrupted = append(s.interrupted, e)
	}
	return &e.slot, nil
}

// AttachLog has the store write what becomes of keys to a log, that was recovered with Restore, from now on. What was in flight then is written
// as undecided.
func (s *Store) AttachLog(log *journal.Log[Entry], epoch time.Duration) {
	s.log, s.epoch = log, epoch
	for _, e := range s.interrupted {
		if s.entries[e.id] == e {
			s.appendRecord(e)
		}
	}
	s.interrupted = nil
}

// RewriteStale writes once more what the log asks for. It is to be called whenever the log may have room: after each of its operations.
func (s *Store) RewriteStale(now time.Duration) {
	s.now = max(s.now, now)
	for slot := s.log.Stale(); slot != nil; slot = s.log.Stale() {
		s.appendRecord(slot.Value.e)
	}
}

// appendRecord writes an entry's state to the log.
func (s *Store) appendRecord(e *entry) uint64 {
	if s.log == nil {
		return 0
	}
	kind := uint8(recordInFlight)
	switch {
	case e.state == stateInFlight && e.responseRecorded, e.state == stateCompleted:
		if kind = recordCompleted; e.responseStored {
			kind = recordResponse
		}
	case e.state == stateUnknown:
		kind = recordUnknown
	}
	rec := s.encodeRecord(kind, e)
	if len(rec) > s.log.MaxRecord() && kind == recordResponse { // it is told from then on that it was answered
		rec = s.encodeRecord(recordCompleted, e)
	}
	return s.log.Append(s.now, &e.slot, rec)
}

// appendRemoval writes that an entry is nothing, if the log has more of it.
func (s *Store) appendRemoval(e *entry) {
	if s.log != nil && e.slot.HasRecord() {
		s.log.Append(s.now, nil, s.encodeRecord(recordRemoved, e))
	}
}

func (s *Store) encodeRecord(kind uint8, e *entry) []byte {
	expires := uint64(0)
	if e.state != stateInFlight || e.responseRecorded {
		expires = uint64((e.expiresAt + s.epoch) / time.Millisecond)
	}
	var a Response
	if kind == recordResponse {
		a = e.response
	}
	b := cryptobyte.NewBuilder(s.recordBuf[:0])
	b.AddUint8(recordVersion)
	b.AddUint8(kind)
	b.AddUint64(uint64(e.id.customer))
	b.AddUint8LengthPrefixed(func(b *cryptobyte.Builder) { b.AddBytes([]byte(e.id.key)) })
	b.AddBytes(e.fingerprint[:])
	b.AddUint64(expires)
	b.AddUint16(uint16(a.Status))
	b.AddUint16LengthPrefixed(func(b *cryptobyte.Builder) { b.AddBytes([]byte(a.ContentType)) })
	b.AddUint24LengthPrefixed(func(b *cryptobyte.Builder) { b.AddBytes(a.Body) })
	s.recordBuf = b.BytesOrPanic() // its parts are within their lengths: a key has MaxKey bytes, an answer what MostAnswer allows
	return s.recordBuf
}
