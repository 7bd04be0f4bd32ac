// Package logfile stores the logs of package journal in directories of files and performs their
// operations, each log's in a goroutine of its own. It knows files and locks, and nothing of what a
// log is for. A directory belongs to one log, and to one process at a time.
package logfile

import (
	"crypto/rand"
	"encoding/binary"

	"pumicecroft/internal/journal"
)

// SegmentStore is where a log's segments are kept. A Runner is its only caller, from one goroutine at
// a time; every method may block for as long as the disk takes.
type SegmentStore interface {
	// Do performs an operation. The error says that a part of it, or all of it, was not done.
	Do(journal.Op) error
	// List returns the numbers of the segments that exist.
	List() ([]uint64, error)
	// Load reads a segment's first bytes, at most maxBytes of them.
	Load(number uint64, maxBytes int64) ([]byte, error)
	// Close releases the store. Nothing is called after it.
	Close() error
}

// NewLogID returns a random identifier for a new log.
func NewLogID() uint64 {
	var b [8]byte
	_, _ = rand.Read(b[:]) // crypto/rand.Read never fails
	return binary.LittleEndian.Uint64(b[:])
}
