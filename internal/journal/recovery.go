package journal

import (
	"errors"
	"fmt"
	"slices"
)

// Loader returns the first bytes of a segment's file, at most limit of them.
type Loader func(segment uint64, limit int64) ([]byte, error)

// Recover reads a log and continues it. Its first operations begin a new segment; segments that exist
// are not written to again. segments are the numbers of the files that exist, in any order; load reads
// one. restore is called with each record, in order, and returns the slot that the record is of, or
// nil. A record is valid until restore returns. If there is no log, Recover begins one with the given
// id.
//
// No file is changed before Recover returns, nor if it fails: with an error of load or restore, a
// CorruptError, or an error that wraps ErrForeign.
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
		mustHave := int64(headerLen)
		if i+1 < len(chain) {
			mustHave = max(mustHave, chain[i+1].previousSynced)
		}
		g, err := loadSegment(h, mustHave, load, restore)
		if err != nil {
			return nil, err
		}
		l.segments = append(l.segments, g)
	}
	l.dropEmptySegments()
	l.findOrphans(segments)
	// What a segment holds beyond the part known to be synced may exist in memory only, and a sync that
	// succeeds now proves nothing if an earlier one failed: it is written again.
	for _, g := range l.segments {
		g.moveFrom(&l.unwritten, uint64(g.synced))
	}
	return l, nil
}

// dropEmptySegments forgets segments without frames at the end: their headers may never have been
// synced.
func (l *Log[T]) dropEmptySegments() {
	for n := len(l.segments); n > 0 && l.segments[n-1].size == headerLen; n-- {
		l.segments = l.segments[:n-1]
	}
}

// findOrphans notes the files that are no part of the log, to remove them.
func (l *Log[T]) findOrphans(segments []uint64) {
	for _, n := range segments {
		used := func(g *segment[T]) bool { return g.number == n }
		if !slices.ContainsFunc(l.segments, used) {
			l.orphans = append(l.orphans, n)
		}
	}
}

// loadHeaders reads the headers of segments. A file that ends within its header has none.
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
			return nil, &CorruptError{n, 0, "invalid header with data behind it"}
		}
	}
	return headers, nil
}

// loadSegment reads the frames of a segment, of which at least mustHave bytes had been synced.
func loadSegment[T any](h segmentHeader, mustHave int64, load Loader,
	restore func(record []byte) (*Slot[T], error)) (*segment[T], error) {
	b, err := load(h.number, maxSegmentBytes)
	if err != nil {
		return nil, fmt.Errorf("journal: segment %d: %w", h.number, err)
	}
	g := &segment[T]{number: h.number, syncFailed: true} // whether a sync of it failed is not known
	g.size, g.synced, err = scanFrames(b, h, mustHave, func(offset int64, payload []byte) error {
		return eachRecord(payload, func(record []byte) error {
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
// last one that was begun and those that its header leads back to. A segment that was given up before
// anything was written to it is skipped by the one after it.
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
			return nil, foreignError(last.number, "its header leads back to segment %d", h.number)
		}
		chain = append(chain, h)
	}
	slices.Reverse(chain)
	return chain, checkLogID(chain)
}

// checkChainStart returns an error if the segment that the oldest one leads back to was lost, instead
// of removed. Segments are removed in order, so an older one can't be there any more.
func checkChainStart(missing uint64, segments []uint64, headers map[uint64]segmentHeader) error {
	if slices.Contains(segments, missing) {
		return &CorruptError{missing, 0, "invalid header, and the segment was in use"}
	}
	for _, n := range segments {
		if n < missing && headers[n].number == n {
			return &CorruptError{missing, 0, fmt.Sprintf("it is missing, and the older segment %d exists", n)}
		}
	}
	return nil
}

// checkLogID returns an error if a segment belongs to another log than the oldest one.
func checkLogID(chain []segmentHeader) error {
	for _, h := range chain {
		if first := chain[0].logID; h.logID != first {
			return foreignError(h.number, "it is of log %x, and those before it are of %x", h.logID, first)
		}
	}
	return nil
}
