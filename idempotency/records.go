package idempotency

import (
	"errors"
	"fmt"
	"time"

	"pumicecroft/decision"

	"golang.org/x/crypto/cryptobyte"
)

// A Store with a log appends a record for each change of a key; the last one describes the key.
// Integers are big-endian. [1+n] is a length field of 1 byte, followed by n bytes.
//
//	version[1] kind[1] customer[8] key[1+n] fingerprint[16] expires[8] status[2] type[2+n] body[3+n]
//
// expires is Unix time in milliseconds, 0 while the request is in flight. Status, type and body are
// those of a stored response, otherwise empty.
const recordVersion = 1

// The kinds of records. Their numbers are stored.
const (
	recordInFlight  = 1 + iota // the request proceeded, and may have been executed from then on
	recordResponse             // the request succeeded, and its response is stored
	recordCompleted            // the request succeeded, and its response is not stored
	recordUnknown              // the request may have been executed
	recordRemoved              // the request was not executed: the key is removed
)

// ErrInvalidRecord is returned by Restore for a record that can't be decoded.
var ErrInvalidRecord = errors.New("idempotency: invalid record")

// record is a decoded log record. Its slices point into the encoded one.
type record struct {
	kind        uint8
	id          entryID
	fingerprint Fingerprint
	expires     time.Duration // Unix time; 0: none
	response    Response
}

// decodeRecord decodes a record. Errors wrap ErrInvalidRecord.
func decodeRecord(b []byte) (record, error) {
	var r record
	var version uint8
	var customer, expires uint64
	var status uint16
	var key, contentType, body cryptobyte.String
	in := cryptobyte.String(b)
	ok := in.ReadUint8(&version) && version == recordVersion &&
		in.ReadUint8(&r.kind) &&
		in.ReadUint64(&customer) &&
		in.ReadUint8LengthPrefixed(&key) &&
		in.CopyBytes(r.fingerprint[:]) &&
		in.ReadUint64(&expires) &&
		in.ReadUint16(&status) &&
		in.ReadUint16LengthPrefixed(&contentType) &&
		in.ReadUint24LengthPrefixed(&body) &&
		in.Empty()
	if !ok || r.kind < recordInFlight || r.kind > recordRemoved || !isValidKey(string(key)) {
		return record{}, fmt.Errorf("%w: %d bytes, format version %d", ErrInvalidRecord, len(b), version)
	}
	r.id = entryID{decision.CustomerID(customer), string(key)}
	r.expires = time.Duration(expires) * time.Millisecond
	r.response = Response{Status: int(status), ContentType: string(contentType), Body: body}
	return r, nil
}

// encodeRecord encodes an entry as a record of a kind. The result is valid until the next call.
func (s *Store) encodeRecord(kind uint8, e *entry) []byte {
	expires := uint64(0)
	if e.state != stateInFlight || e.responseRecorded {
		expires = uint64((e.expiresAt + s.epoch) / time.Millisecond)
	}
	var r Response
	if kind == recordResponse {
		r = e.response
	}
	b := cryptobyte.NewBuilder(s.recordBuf[:0])
	b.AddUint8(recordVersion)
	b.AddUint8(kind)
	b.AddUint64(uint64(e.id.customer))
	b.AddUint8LengthPrefixed(func(b *cryptobyte.Builder) { b.AddBytes([]byte(e.id.key)) })
	b.AddBytes(e.fingerprint[:])
	b.AddUint64(expires)
	b.AddUint16(uint16(r.Status))
	b.AddUint16LengthPrefixed(func(b *cryptobyte.Builder) { b.AddBytes([]byte(r.ContentType)) })
	b.AddUint24LengthPrefixed(func(b *cryptobyte.Builder) { b.AddBytes(r.Body) })
	s.recordBuf = b.BytesOrPanic() // can't panic: MaxKeyBytes and storable bound each variable-length field
	return s.recordBuf
}

// recordKind returns the kind of record that describes an entry's current state.
func (e *entry) recordKind() uint8 {
	switch {
	case e.state == stateOutcomeUnknown:
		return recordUnknown
	case e.state == stateInFlight && !e.responseRecorded:
		return recordInFlight
	case e.responseStored:
		return recordResponse
	}
	return recordCompleted
}

// appendRecord appends an entry's state to the log and returns the record's number; 0 if there is no
// log or it doesn't accept the record. A response that is too large for the log is left out of it.
func (s *Store) appendRecord(e *entry) uint64 {
	if s.log == nil {
		return 0
	}
	kind := e.recordKind()
	b := s.encodeRecord(kind, e)
	if len(b) > s.log.MaxRecord() && kind == recordResponse {
		b = s.encodeRecord(recordCompleted, e)
	}
	return s.log.Append(s.now, &e.slot, b)
}

// appendRemoval appends that an entry's request was not executed, if the log has a record of it.
func (s *Store) appendRemoval(e *entry) {
	if s.log != nil && e.slot.HasRecord() {
		s.log.Append(s.now, nil, s.encodeRecord(recordRemoved, e))
	}
}
