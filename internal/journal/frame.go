package journal

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"math"
)

// A segment is a file: a header, then frames. A frame is a group of records that was written at once.
// Integers are little-endian.
//
//	header: magic[4] version[4] number[8] logID[8] previous[8] previousSynced[8] checksum[4]
//	frame:  magic[4] length[4] synced[4] checksum[4] payload[length]
//	payload: records, each a uvarint of its length and its bytes
//
// checksum is CRC-32C over the bytes before it in the header or frame. For a frame it also covers the
// log's ID, the segment's number, the frame's offset and the payload, so that a frame is valid only
// where it was written. synced is the number of bytes of the segment that had been synced when the
// frame was written; a crash can't damage those.
const (
	headerLen       = 44
	frameHeaderLen  = 16
	headerMagic     = 0x31486a70 // "pjH1"
	frameMagic      = 0x31466a70 // "pjF1"
	formatVersion   = 1
	maxSegmentBytes = math.MaxUint32 // offset and synced of a frame have 32 bits
)

// Errors of Recover, wrapped with the segment and the offset.
var (
	// ErrCorrupt: synced data is missing or was changed.
	ErrCorrupt = errors.New("corrupt")
	// ErrForeign: a segment belongs to another log, or has another format version.
	ErrForeign = errors.New("not of this log")
)

// errIncomplete is returned for a header or record that is truncated or invalid.
var errIncomplete = errors.New("incomplete")

// CorruptError says where a log is corrupt. It wraps ErrCorrupt.
type CorruptError struct {
	Segment uint64
	Offset  int64
	Reason  string
}

// Error implements error.
func (e *CorruptError) Error() string {
	return fmt.Sprintf("journal: segment %d is corrupt at offset %d: %s", e.Segment, e.Offset, e.Reason)
}

// Unwrap returns ErrCorrupt.
func (e *CorruptError) Unwrap() error { return ErrCorrupt }

// foreignError wraps ErrForeign.
func foreignError(segment uint64, format string, args ...any) error {
	return fmt.Errorf("journal: segment %d: %w: %s", segment, ErrForeign, fmt.Sprintf(format, args...))
}

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// segmentHeader is the header at the start of a segment.
type segmentHeader struct {
	number         uint64
	logID          uint64 // the same in all segments of one log, chosen at random when the log was created
	previous       uint64 // number of the previous segment; 0: this is the first
	previousSynced int64  // number of bytes of the previous segment that had been synced
}

// encode returns the header as it is stored.
func (h segmentHeader) encode() []byte {
	b := make([]byte, 0, headerLen)
	b = binary.LittleEndian.AppendUint32(b, headerMagic)
	b = binary.LittleEndian.AppendUint32(b, formatVersion)
	for _, v := range []uint64{h.number, h.logID, h.previous, uint64(h.previousSynced)} {
		b = binary.LittleEndian.AppendUint64(b, v)
	}
	return binary.LittleEndian.AppendUint32(b, crc32.Checksum(b, castagnoli))
}

// decodeHeader decodes the header of the segment with the given number. It returns errIncomplete for
// a header that is truncated or has a wrong checksum, which is normal only for a segment that was
// never used; other errors wrap ErrForeign.
func decodeHeader(number uint64, b []byte) (h segmentHeader, err error) {
	if len(b) < headerLen || binary.LittleEndian.Uint32(b) != headerMagic ||
		binary.LittleEndian.Uint32(b[headerLen-4:]) != crc32.Checksum(b[:headerLen-4], castagnoli) {
		return h, errIncomplete
	}
	if v := binary.LittleEndian.Uint32(b[4:]); v != formatVersion {
		return h, foreignError(number, "format version is %d, this program reads %d", v, formatVersion)
	}
	h = segmentHeader{
		number:         binary.LittleEndian.Uint64(b[8:]),
		logID:          binary.LittleEndian.Uint64(b[16:]),
		previous:       binary.LittleEndian.Uint64(b[24:]),
		previousSynced: int64(binary.LittleEndian.Uint64(b[32:])),
	}
	if h.number != number {
		return h, foreignError(number, "it was written as segment %d", h.number)
	}
	return h, nil
}

// frameChecksum returns the checksum of a frame: of the first 12 bytes of its header, its position in
// the log and its payload.
func frameChecksum(logID, segment uint64, offset int64, header12, payload []byte) uint32 {
	var position [24]byte
	binary.LittleEndian.PutUint64(position[:], logID)
	binary.LittleEndian.PutUint64(position[8:], segment)
	binary.LittleEndian.PutUint64(position[16:], uint64(offset))
	sum := crc32.Checksum(header12, castagnoli)
	sum = crc32.Update(sum, castagnoli, position[:])
	return crc32.Update(sum, castagnoli, payload)
}

// finishFrame fills in the header of a frame. b is space for the header, followed by the payload.
func finishFrame(b []byte, logID, segment uint64, offset, synced int64) {
	binary.LittleEndian.PutUint32(b, frameMagic)
	binary.LittleEndian.PutUint32(b[4:], uint32(len(b)-frameHeaderLen))
	binary.LittleEndian.PutUint32(b[8:], uint32(synced))
	binary.LittleEndian.PutUint32(b[12:], frameChecksum(logID, segment, offset, b[:12], b[frameHeaderLen:]))
}

// decodeFrame decodes the frame at an offset of a segment. ok is false if it is truncated, damaged, or
// was written at another position.
func decodeFrame(b []byte, logID, segment uint64, offset int64) (payload []byte, synced int64, ok bool) {
	b = b[offset:]
	if len(b) < frameHeaderLen || binary.LittleEndian.Uint32(b) != frameMagic {
		return nil, 0, false
	}
	n := int64(binary.LittleEndian.Uint32(b[4:]))
	if int64(len(b))-frameHeaderLen < n {
		return nil, 0, false
	}
	payload = b[frameHeaderLen : frameHeaderLen+n]
	synced = int64(binary.LittleEndian.Uint32(b[8:]))
	checksum := binary.LittleEndian.Uint32(b[12:])
	return payload, synced, checksum == frameChecksum(logID, segment, offset, b[:12], payload)
}

// forEachRecord calls f with each record of a payload. It returns errIncomplete if the payload can't
// be decoded. As the payload's checksum is right, that means corruption and not a partial write.
func forEachRecord(payload []byte, f func(record []byte) error) error {
	for len(payload) > 0 {
		n, width := binary.Uvarint(payload)
		if width <= 0 || n > uint64(len(payload)-width) {
			return errIncomplete
		}
		if err := f(payload[width : width+int(n)]); err != nil {
			return err
		}
		payload = payload[width+int(n):]
	}
	return nil
}

func appendRecord(b, record []byte) []byte {
	return append(binary.AppendUvarint(b, uint64(len(record))), record...)
}

// scanFrames calls f with the offset and payload of each frame of a segment, up to the first that is
// not valid. It returns the end of the valid frames, and how much of the segment is known to have been
// synced: at least minSynced, which the next segment's header says.
//
// A crash may truncate a segment anywhere beyond its synced part, and may leave any part of the rest.
// So an invalid frame ends the segment, unless a later frame or segment says that it had been synced:
// then the segment is corrupt.
func scanFrames(b []byte, h segmentHeader, minSynced int64,
	f func(offset int64, payload []byte) error) (end, synced int64, err error) {
	end, synced = headerLen, max(minSynced, headerLen)
	for end < int64(len(b)) {
		payload, frameSynced, ok := decodeFrame(b, h.logID, h.number, end)
		if !ok {
			break
		}
		if err := f(end, payload); errors.Is(err, errIncomplete) {
			return 0, 0, &CorruptError{h.number, end, "a record is invalid"}
		} else if err != nil {
			return 0, 0, err
		}
		synced = max(synced, frameSynced)
		end += frameHeaderLen + int64(len(payload))
	}
	if end < minSynced {
		reason := fmt.Sprintf("invalid frame, although %d bytes of the segment had been synced", minSynced)
		return 0, 0, &CorruptError{h.number, end, reason}
	}
	if later, found := laterSyncedFrame(b, h, end); found {
		reason := fmt.Sprintf("invalid frame, although the frame at offset %d says that it had been synced", later)
		return 0, 0, &CorruptError{h.number, end, reason}
	}
	return end, synced, nil
}

// laterSyncedFrame looks for a valid frame after an offset which says that the data at the offset had
// been synced. It returns that frame's offset, and whether there is one.
func laterSyncedFrame(b []byte, h segmentHeader, offset int64) (int64, bool) {
	for later := offset + 1; later+frameHeaderLen <= int64(len(b)); later++ {
		if _, synced, ok := decodeFrame(b, h.logID, h.number, later); ok && synced > offset {
			return later, true
		}
	}
	return 0, false
}
