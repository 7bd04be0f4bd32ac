package journal

import (
	"errors"
	"fmt"
	"slices"
)

// Recover reads a log, and begins to go on with it: its first operations begin a new segment, as none that was there before is
// written to again. numbers are the segments whose files are there, in any order; load reads the first bytes of one, most at the
// most. each is given all records in their order, and says which slot one is of, or nil: nobody's. A record is good until each
// returns. If there is no log, a new one begins, that is known by id.
//
// Nothing that is on disk is changed before Recover returns, and nothing is if it returns an error: that of load or each, or a
// DamageError, or an ErrForeign.
func Recover[T any](rules Options, id uint64, numbers []uint64, load func(number uint64, most int64) ([]byte, error),
	each func(rec []byte) (*Slot[T], error)) (*Log[T], error) {
	l := &Log[T]{options: rules.withDefaults(), id: id}
	numbers = slices.Sorted(slices.Values(numbers))
	heads := map[uint64]segmentHeader{}
	for _, n := range numbers {
		b, err := load(n, headerLen+1)
		if err != nil {
			return nil, fmt.Errorf("segment %d: %w", n, err)
		}
		h, err := decodeHeader(n, b)
		switch {
		case errors.Is(err, errIncomplete) && len(b) > headerLen: // no frame is written before the head is synced
			return nil, &CorruptError{n, 0, "its head makes no sense, and something stands behind it"}
		case errors.Is(err, errIncomplete):
		case err != nil:
			return nil, err
		default:
			heads[n] = h
		}
		l.lastSegment = max(l.lastSegment, n)
	}
	chain, err := segmentChain(numbers, heads)
	if err != nil {
		return nil, err
	}
	for _, h := range chain {
		if l.id = h.logID; h.logID != chain[0].logID {
			return nil, fmt.Errorf("segment %d: %w: it is one of log %x, and those before it are of %x", h.number, ErrForeign, h.logID, chain[0].logID)
		}
	}
	for i, h := range chain {
		b, err := load(h.number, maxSegmentBytes)
		if err != nil {
			return nil, fmt.Errorf("segment %d: %w", h.number, err)
		}
		must := int64(headerLen)
		if i+1 < len(chain) {
			must = max(must, chain[i+1].previousSynced)
		}
		g := &segment[T]{number: h.number}
		g.size, g.synced, err = scanFrames(b, h, must, func(at int64, payload []byte) error {
			return eachRecord(payload, func(rec []byte) error {
				s, err := each(rec)
				if s.Drop(); s != nil && err == nil {
					g.add(s, int64(len(rec))+4, uint64(at))
				}
				return err
			})
		})
		if err != nil {
			return nil, err
		}
		g.syncFailed = true
		l.segments = append(l.segments, g)
	}
	// The last one's head may never have been synced, if nothing is in it.
	for n := len(l.segments); n > 0 && l.segments[n-1].size == headerLen; n-- {
		l.segments = l.segments[:n-1]
	}
	for _, n := range numbers {
		if !slices.ContainsFunc(l.segments, func(g *segment[T]) bool { return g.number == n }) {
			l.orphans = append(l.orphans, n)
		}
	}
	// What a segment holds behind what is known to have been synced may be there in memory alone, and a sync that succeeds now
	// says nothing if one before it failed: it is written again.
	for _, g := range l.segments {
		g.moveFrom(&l.unwritten, uint64(g.synced))
	}
	return l, nil
}

// segmentChain is the segments that count, the oldest first: the last one that was begun and those that it goes back to. One that was given up
// before anything was written to it is passed over by the one after it.
func segmentChain(numbers []uint64, heads map[uint64]segmentHeader) (chain []segmentHeader, err error) {
	for i := len(numbers) - 1; i >= 0 && len(chain) == 0; i-- {
		if h, ok := heads[numbers[i]]; ok {
			chain = append(chain, h)
		}
	}
	if len(chain) == 0 {
		return nil, nil
	}
	for {
		at := chain[len(chain)-1].previous
		h, ok := heads[at]
		if !ok {
			if slices.Contains(numbers, at) {
				return nil, &CorruptError{at, 0, "its head makes no sense, and it was in use"}
			}
			for _, n := range numbers { // they are removed in their order, so one that is older is not there either
				if n < at && heads[n].number == n {
					return nil, &CorruptError{at, 0, fmt.Sprintf("it is missing, and segment %d, which is older, is there", n)}
				}
			}
			break
		}
		if h.number >= chain[len(chain)-1].number {
			return nil, fmt.Errorf("segment %d: %w: it goes back to segment %d", chain[len(chain)-1].number, ErrForeign, h.number)
		}
		chain = append(chain, h)
	}
	slices.Reverse(chain)
	return chain, nil
}
