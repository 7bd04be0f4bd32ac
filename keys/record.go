package keys

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
const recordForm = 1

// The kinds of records.
const (
	recFlight  = 1 + iota // it passed, and may have run from then on
	recKept               // it was answered
	recDone               // it was answered, and the answer is not here
	recDoubt              // it may have run
	recNothing            // it never ran: the key is forgotten
)

// ErrRecord is what Restore says of a record that makes no sense.
var ErrRecord = errors.New("a record of a key that makes no sense")

// Seq is the number in the store's log of the record that the ticket's request passed: it must not go on before that is durable.
// 0: the log takes nothing now, or there is none.
func (t *Ticket) Seq() uint64 { return t.seq }

// Answers says that the request of a ticket that passed was answered, for the store's log alone: it has the answer then before
// Ended gives it to anybody, which is owed as before. It gives the number of its record; 0: there is none.
func (s *Store) Answers(now time.Duration, t *Ticket, a Answer) uint64 {
	s.now = max(s.now, now)
	e := t.entry
	if s.log == nil || !t.first || e.state != inFlight || s.entries[e.name] != e {
		return 0
	}
	e.answers, e.expireAt = true, s.now+s.limits.Keep
	if e.kept = s.fits(a); e.kept {
		e.answer = a
	}
	return s.logs(e)
}

// Restore takes in a record of the store's log, which is being recovered, in the order of the records; epoch is the Unix time
// at the store's time 0. What was in flight when the process ended may have run: it is undecided, for KeepDoubt from now. A time of expiry that
// is later than it can have been made is the work of a clock that was put back, and counts as Keep from now. What has expired is
// passed over; what there is no room for goes by the rules of the store, the oldest of whoever has most first.
func (s *Store) Restore(now, epoch time.Duration, rec []byte) (*journal.Slot[Entry], error) {
	s.begin(now)
	var form, kind uint8
	var who, expires uint64
	var key, typ, body cryptobyte.String
	var digest Digest
	var status uint16
	in := cryptobyte.String(rec)
	if !in.ReadUint8(&form) || form != recordForm || !in.ReadUint8(&kind) || !in.ReadUint64(&who) || !in.ReadUint8LengthPrefixed(&key) ||
		!in.CopyBytes(digest[:]) || !in.ReadUint64(&expires) || !in.ReadUint16(&status) || !in.ReadUint16LengthPrefixed(&typ) ||
		!in.ReadUint24LengthPrefixed(&body) || !in.Empty() || kind < recFlight || kind > recNothing || !goodKey(string(key)) {
		return nil, fmt.Errorf("%w: %d bytes of form %d", ErrRecord, len(rec), form)
	}
	if old := s.entries[name{decision.CustomerID(who), string(key)}]; old != nil {
		s.forget(old)
	}
	e := &entry{state: answered, expireAt: min(time.Duration(expires)*time.Millisecond-epoch, s.now+s.limits.Keep)}
	switch kind {
	case recNothing:
		return nil, nil
	case recFlight:
		e.state, e.expireAt = doubtful, s.now+s.limits.KeepDoubt
	case recDoubt:
		e.state, e.expireAt = doubtful, min(e.expireAt, s.now+s.limits.KeepDoubt)
	}
	if e.expireAt <= s.now {
		return nil, nil
	}
	cost, size := entryCost+len(key), 0
	if kind == recKept && len(typ)+len(body) <= s.limits.MostAnswer {
		size = len(typ) + len(body)
	}
	c := s.customer(decision.CustomerID(who))
	c.asks = true
	has := s.room(c, cost)
	c.asks = false
	if !has {
		s.letGo(c)
		return nil, nil
	}
	state, expireAt := e.state, e.expireAt
	e = s.enter(c, string(key), digest)
	e.state, e.expireAt = state, expireAt
	s.charge(e, cost)
	if kind == recKept && size > 0 && s.room(c, size) || kind == recKept && size == 0 && len(typ)+len(body) == 0 {
		e.kept, e.answer = true, Answer{Status: int(status), ContentType: string(typ), Body: append([]byte(nil), body...)}
		s.charge(e, size)
	}
	s.retire(e)
	s.wheel.Add(&e.timer, e.expireAt)
	if kind == recFlight {
		s.undecided = append(s.undecided, e)
	}
	return &e.slot, nil
}

// Logs has the store write what becomes of keys to a log, that was recovered with Restore, from now on. What was in flight then is written
// as undecided.
func (s *Store) Logs(log *journal.Log[Entry], epoch time.Duration) {
	s.log, s.epoch = log, epoch
	for _, e := range s.undecided {
		if s.entries[e.name] == e {
			s.logs(e)
		}
	}
	s.undecided = nil
}

// Relog writes once more what the log asks for. It is to be called whenever the log may have room: after each of its operations.
func (s *Store) Relog(now time.Duration) {
	s.now = max(s.now, now)
	for slot := s.log.Stale(); slot != nil; slot = s.log.Stale() {
		s.logs(slot.Value.e)
	}
}

// logs writes an entry's state to the log.
func (s *Store) logs(e *entry) uint64 {
	if s.log == nil {
		return 0
	}
	kind := uint8(recFlight)
	switch {
	case e.state == inFlight && e.answers, e.state == answered:
		if kind = recDone; e.kept {
			kind = recKept
		}
	case e.state == doubtful:
		kind = recDoubt
	}
	rec := s.record(kind, e)
	if len(rec) > s.log.MostRecord() && kind == recKept { // it is told from then on that it was answered
		rec = s.record(recDone, e)
	}
	return s.log.Append(s.now, &e.slot, rec)
}

// logsNeverRan writes that an entry is nothing, if the log has more of it.
func (s *Store) logsNeverRan(e *entry) {
	if s.log != nil && e.slot.Logged() {
		s.log.Append(s.now, nil, s.record(recNothing, e))
	}
}

func (s *Store) record(kind uint8, e *entry) []byte {
	expires := uint64(0)
	if e.state != inFlight || e.answers {
		expires = uint64((e.expireAt + s.epoch) / time.Millisecond)
	}
	var a Answer
	if kind == recKept {
		a = e.answer
	}
	b := cryptobyte.NewBuilder(s.rec[:0])
	b.AddUint8(recordForm)
	b.AddUint8(kind)
	b.AddUint64(uint64(e.name.customer))
	b.AddUint8LengthPrefixed(func(b *cryptobyte.Builder) { b.AddBytes([]byte(e.name.key)) })
	b.AddBytes(e.digest[:])
	b.AddUint64(expires)
	b.AddUint16(uint16(a.Status))
	b.AddUint16LengthPrefixed(func(b *cryptobyte.Builder) { b.AddBytes([]byte(a.ContentType)) })
	b.AddUint24LengthPrefixed(func(b *cryptobyte.Builder) { b.AddBytes(a.Body) })
	s.rec = b.BytesOrPanic() // its parts are within their lengths: a key has MaxKey bytes, an answer what MostAnswer allows
	return s.rec
}
