package journal

import (
	"errors"
	"fmt"
	"slices"
)

// Loader reads the first bytes of a segment's file, at most limit of them.
type Loader func(segment uint64, limit int64) ([]byte, error)

// Recover reads a log and returns a Log that continues it in a new segment; existing segments are not
// written to again. segments are the numbers of the existing files, in any order; load reads one.
// restore is called with each record, in order, and returns the slot that the record belongs to, or
// nil. A record is valid until restore returns. If there is no log, Recover begins one with the given
// id.
//
// Recover itself changes no file. It returns an error of load or restore, a CorruptError, or an error
// that wraps ErrForeign.
func Recover[T any](options Options, id uint64, segments []uint64, load Loader,
	restore func(record []byte) (*Slot[T], error)) (*Log[T], error) {
	l := &Log[T]{options: options.withDefaults(), id: id}
	segments = slices.Sorted(slices.Values(segments))
	if n := len(segments); n > 0 {
		l.lastSegment = segments[n-1]
	}
	headers, err := loadHeaders(segments, load)
	if err != nil {
		return nil, err
	}
	chain, err := segmentChain(segments, headers)
	if err != nil {
		return nil, err
	}
	if len(chain) > 0 {
		l.id = chain[0].logID
	}
	for i, h := range chain {
		minSynced := int64(headerLen)
		if i+1 < len(chain) {
			minSynced = max(minSynced, chain[i+1].previousSynced)
		}
		g, err := loadSegment(h, minSynced, load, restore)
		if err != nil {
			return nil, err
		}
		l.segments = append(l.segments, g)
	}
	l.dropEmptySegments()
	l.findOrphans(segments)
	// Records beyond the part of a segment that is known to be synced may exist only in the page cache,
	// and a sync that succeeds now proves nothing if an earlier one failed: they are appended again. Here
	// positions of slots are offsets in the file.
	for _, g := range l.segments {
		g.moveTailTo(&l.toRewrite, uint64(g.synced))
	}
	return l, nil
}

// dropEmptySegments removes trailing segments without frames from the list: their headers may never
// have been synced.
func (l *Log[T]) dropEmptySegments() {
	for n := len(l.segments); n > 0 && l.segments[n-1].size == headerLen; n-- {
		l.segments = l.segments[:n-1]
	}
}

// findOrphans lists the files that are not part of the log, so that they are removed.
func (l *Log[T]) findOrphans(segments []uint64) {
	for _, n := range segments {
		used := func(g *segment[T]) bool { return g.number == n }
		if !slices.ContainsFunc(l.segments, used) {
			l.orphans = append(l.orphans, n)
		}
	}
}

// loadHeaders reads the headers of segments. A file with an incomplete header is left out.
func loadHeaders(segments []uint64, load Loader) (map[uint64]segmentHeader, error) {
	headers := map[uint64]segmentHeader{}
	for _, n := range segments {
		b, err := load(n, headerLen+1)
		if err != nil {
			return nil, fmt.Errorf("journal: segment %d: %w", n, err)
		}
		h, err := decodeHeader(n, b)
		switch {
		case err == nil:
			headers[n] = h
		case !errors.Is(err, errIncomplete):
			return nil, err
		case len(b) > headerLen: // no frame is written before the header is synced
			return nil, &CorruptError{n, 0, "invalid header followed by data"}
		}
	}
	return headers, nil
}

// loadSegment reads the frames of a segment, of which at least minSynced bytes had been synced.
func loadSegment[T any](h segmentHeader, minSynced int64, load Loader,
	restore func(record []byte) (*Slot[T], error)) (*segment[T], error) {
	b, err := load(h.number, maxSegmentBytes)
	if err != nil {
		return nil, fmt.Errorf("journal: segment %d: %w", h.number, err)
	}
	g := &segment[T]{number: h.number, syncFailed: true} // assumed: an earlier process may have had a failed sync
	g.size, g.synced, err = scanFrames(b, h, minSynced, func(offset int64, payload []byte) error {
		return forEachRecord(payload, func(record []byte) error {
			s, err := restore(record)
			if s.Drop(); s != nil && err == nil {
				g.add(s, int64(len(record))+recordOverhead, uint64(offset))
			}
			return err
		})
	})
	if err != nil {
		return nil, err
	}
	return g, nil
}

// segmentChain returns the headers of the segments that are part of the log, the oldest first: the
// newest segment with a header, and those that are reached from it through the field previous of the
// headers. A segment that was abandoned before a frame was written to it is not reached, as the next
// one refers to the segment before it.
func segmentChain(segments []uint64, headers map[uint64]segmentHeader) ([]segmentHeader, error) {
	var chain []segmentHeader
	for _, n := range slices.Backward(segments) {
		if h, ok := headers[n]; ok {
			chain = append(chain, h)
			break
		}
	}
	if len(chain) == 0 {
		return nil, nil
	}
	for {
		last := chain[len(chain)-1]
		h, ok := headers[last.previous]
		if !ok {
			if err := checkChainStart(last.previous, segments, headers); err != nil {
				return nil, err
			}
			break
		}
		if h.number >= last.number {
			return nil, foreignError(last.number, "its header names segment %d as the previous one", h.number)
		}
		chain = append(chain, h)
	}
	slices.Reverse(chain)
	return chain, checkLogID(chain)
}

// checkChainStart returns an error if the log itself has not removed the missing segment that the oldest
// one refers to. The log removes segments in order, so no older one may exist.
func checkChainStart(missing uint64, segments []uint64, headers map[uint64]segmentHeader) error {
	if slices.Contains(segments, missing) {
		return &CorruptError{missing, 0, "invalid header, although the segment was in use"}
	}
	for _, n := range segments {
		if n < missing && headers[n].number == n { // n has a valid header
			return &CorruptError{missing, 0, fmt.Sprintf("segment is missing, although the older segment %d exists", n)}
		}
	}
	return nil
}

// checkLogID returns an error if a segment belongs to another log than the oldest one.
func checkLogID(chain []segmentHeader) error {
	for _, h := range chain {
		if first := chain[0].logID; h.logID != first {
			return foreignError(h.number, "log ID is %x, that of the oldest segment is %x", h.logID, first)
		}
	}
	return nil
}
