// Package logfile stores the logs of package journal in directories of files. It performs the
// operations of each log in a separate goroutine, and does not interpret the records. A directory
// belongs to one log, and to one process at a time.
package logfile

import (
	"crypto/rand"
	"encoding/binary"

	"pumicecroft/internal/journal"
)

// SegmentStore stores the segments of a log. Its methods are called from one goroutine at a time, and
// may block for as long as the disk takes.
type SegmentStore interface {
	// Do performs an operation. After an error, the operation may have been performed in part.
	Do(journal.Op) error
	// List returns the numbers of the segments that exist.
	List() ([]uint64, error)
	// Load reads a segment's first bytes, at most maxBytes of them.
	Load(number uint64, maxBytes int64) ([]byte, error)
	// Close releases the store. No method is called after it.
	Close() error
}

// NewLogID returns a random identifier for a new log.
func NewLogID() uint64 {
	var b [8]byte
	_, _ = rand.Read(b[:]) // crypto/rand.Read never fails
	return binary.LittleEndian.Uint64(b[:])
}
