package journal

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"math"
)

// A segment is a file: a head, and frames. A frame is what was written at once: some records. Numbers are little-endian.
//
//	head:  marker[4] form[4] number[8] log[8] before[8] good[8] sum[4]
//	frame: marker[4] length[4] synced[4] sum[4] payload[length]
//	payload: records, each a uvarint of its length and its bytes
//
// sum is CRC-32C over what stands before it, then of a frame over its log, segment and offset and its payload: a frame is one only
// in the place for which it was written. synced is how much of the segment had been synced when the frame was written: what damage
// there is below that was not done by a crash.
const (
	headerLen       = 44
	frameHeaderLen  = 16
	headerMagic     = 0x31486a70 // "pjH1"
	frameMagic      = 0x31466a70 // "pjF1"
	formatVersion   = 1
	maxSegmentBytes = math.MaxUint32 // a frame's offset and synced have 32 bits
)

// Errors of Recover, wrapped with the segment and the offset.
var (
	// ErrCorrupt: what had been synced is not there as it was written.
	ErrCorrupt = errors.New("damaged")
	// ErrForeign: a segment is another log's, or of another form.
	ErrForeign = errors.New("not of this log")
)

// CorruptError says where a log is damaged. It is an ErrDamaged.
type CorruptError struct {
	Segment uint64
	Offset  int64
	Reason  string
}

func (e *CorruptError) Error() string {
	return fmt.Sprintf("segment %d is damaged at offset %d: %s", e.Segment, e.Offset, e.Reason)
}

// Unwrap makes it an ErrDamaged.
func (e *CorruptError) Unwrap() error { return ErrCorrupt }

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// segmentHeader is what a segment begins with.
type segmentHeader struct {
	number         uint64
	logID          uint64 // the same in all segments of one log, drawn when it was made
	previous       uint64 // the segment before it; 0: it is the first
	previousSynced int64  // so much of that had been synced
}

// encode is the head as it stands in the file.
func (h segmentHeader) encode() []byte {
	b := make([]byte, 0, headerLen)
	b = binary.LittleEndian.AppendUint32(b, headerMagic)
	b = binary.LittleEndian.AppendUint32(b, formatVersion)
	for _, v := range []uint64{h.number, h.logID, h.previous, uint64(h.previousSynced)} {
		b = binary.LittleEndian.AppendUint64(b, v)
	}
	return binary.LittleEndian.AppendUint32(b, crc32.Checksum(b, castagnoli))
}

// decodeHeader reads a segment's head. What is not whole is errTorn, which only a segment may have that was never used.
func decodeHeader(number uint64, b []byte) (h segmentHeader, err error) {
	if len(b) < headerLen || binary.LittleEndian.Uint32(b) != headerMagic ||
		binary.LittleEndian.Uint32(b[headerLen-4:]) != crc32.Checksum(b[:headerLen-4], castagnoli) {
		return h, errIncomplete
	}
	if v := binary.LittleEndian.Uint32(b[4:]); v != formatVersion {
		return h, fmt.Errorf("segment %d: %w: it has form %d, and this program reads %d", number, ErrForeign, v, formatVersion)
	}
	h = segmentHeader{binary.LittleEndian.Uint64(b[8:]), binary.LittleEndian.Uint64(b[16:]), binary.LittleEndian.Uint64(b[24:]),
		int64(binary.LittleEndian.Uint64(b[32:]))}
	if h.number != number {
		return h, fmt.Errorf("segment %d: %w: it was written as segment %d", number, ErrForeign, h.number)
	}
	return h, nil
}

var errIncomplete = errors.New("torn")

// frameChecksum is the sum of a frame: of its own head, of where it stands, and of its payload.
func frameChecksum(log, segment uint64, offset int64, first12, payload []byte) uint32 {
	var place [24]byte
	binary.LittleEndian.PutUint64(place[:], log)
	binary.LittleEndian.PutUint64(place[8:], segment)
	binary.LittleEndian.PutUint64(place[16:], uint64(offset))
	sum := crc32.Checksum(first12, castagnoli)
	sum = crc32.Update(sum, castagnoli, place[:])
	return crc32.Update(sum, castagnoli, payload)
}

// finishFrame makes a frame of room for its head and a payload behind it.
func finishFrame(b []byte, log, segment uint64, offset, synced int64) {
	binary.LittleEndian.PutUint32(b, frameMagic)
	binary.LittleEndian.PutUint32(b[4:], uint32(len(b)-frameHeaderLen))
	binary.LittleEndian.PutUint32(b[8:], uint32(synced))
	binary.LittleEndian.PutUint32(b[12:], frameChecksum(log, segment, offset, b[:12], b[frameHeaderLen:]))
}

// decodeFrame reads the frame at an offset of a segment; ok: it is whole and was written there.
func decodeFrame(b []byte, log, segment uint64, offset int64) (payload []byte, synced int64, ok bool) {
	b = b[offset:]
	if len(b) < frameHeaderLen || binary.LittleEndian.Uint32(b) != frameMagic {
		return nil, 0, false
	}
	n := int64(binary.LittleEndian.Uint32(b[4:]))
	if int64(len(b))-frameHeaderLen < n {
		return nil, 0, false
	}
	payload = b[frameHeaderLen : frameHeaderLen+n]
	return payload, int64(binary.LittleEndian.Uint32(b[8:])), binary.LittleEndian.Uint32(b[12:]) == frameChecksum(log, segment, offset, b[:12], payload)
}

// eachRecord gives each record of a payload. A payload whose sum is right was written by appendRecord, so that it reads wrongly is
// as good as impossible; it is damage all the same.
func eachRecord(payload []byte, each func(rec []byte) error) error {
	for len(payload) > 0 {
		n, w := binary.Uvarint(payload)
		if w <= 0 || n > uint64(len(payload)-w) {
			return errIncomplete
		}
		if err := each(payload[w : w+int(n)]); err != nil {
			return err
		}
		payload = payload[w+int(n):]
	}
	return nil
}

func appendRecord(b, rec []byte) []byte {
	return append(binary.AppendUvarint(b, uint64(len(rec))), rec...)
}

// scanFrames gives each payload of a segment and where its frame begins, as far as it is whole, and tells how far that is and how much of it is known to have
// been synced: at least must, which a later segment says.
//
// A crash may cut a segment off anywhere behind what was synced, and of what was not synced any part may be there. So what is not a
// frame there is its end, unless a later frame says that it had been synced: then it is damaged.
func scanFrames(b []byte, h segmentHeader, must int64, each func(at int64, payload []byte) error) (end, synced int64, err error) {
	damaged := func(at int64, what string) (int64, int64, error) { return 0, 0, &CorruptError{h.number, at, what} }
	at := int64(headerLen)
	synced = max(must, headerLen)
	for at < int64(len(b)) {
		payload, claim, ok := decodeFrame(b, h.logID, h.number, at)
		if !ok {
			break
		}
		if err := each(at, payload); err != nil {
			if errors.Is(err, errIncomplete) {
				return damaged(at, "a record there makes no sense")
			}
			return 0, 0, err
		}
		synced = max(synced, claim)
		at += frameHeaderLen + int64(len(payload))
	}
	if at < must {
		return damaged(at, fmt.Sprintf("no whole frame is there, and %d bytes had been synced", must))
	}
	for later := at + 1; later+frameHeaderLen <= int64(len(b)); later++ {
		if _, claim, ok := decodeFrame(b, h.logID, h.number, later); ok && claim > at {
			return damaged(at, fmt.Sprintf("no whole frame is there, and the one at %d says that it had been synced", later))
		}
	}
	return at, synced, nil
}
