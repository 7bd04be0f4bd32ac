// Package journal implements a write-ahead log in segment files. Appended records are written and
// synced in groups. A record may belong to a Slot: then it is live until a later record is appended
// for the Slot or the Slot is dropped, and garbage afterwards. When the log is larger than two
// segments and twice its live records together, the live records of the oldest segment are appended
// again and the segment is removed.
//
// Guarantees after a crash of the process or of the machine:
//
//   - Recover reads each record that was reported durable, in the order of appending, unless its Slot
//     was dropped or has a later record. Recover may also read dropped records, so a record must not
//     depend on others.
//   - A record without a Slot is kept for as long as any record that was appended before it.
//   - Recover may or may not read a record that was not reported durable, but within one segment it
//     never reads a later record without the earlier ones.
//   - For damage to synced data, Recover returns a CorruptError that names segment and offset, and
//     changes no file. Damage to the last group of the last segment can't be told from a crash.
//   - When the disk fails or is full, the log reports it (Err) and accepts no records until it has
//     begun a new segment. Then it returns the slots whose records are not on disk (Stale). Callers
//     that wait for a record are told that it is lost (Lost); the log never blocks.
//
// The package is pure: appends and times go in, file operations come out (Next), and their results go
// back in (Done), one at a time. It does no I/O, reads no clock, takes no lock and starts no
// goroutine. A Log belongs to its driver, which serializes all calls: package logfile for real files,
// package sim for a simulated disk that loses and reorders unsynced data.
package journal

import "time"

// Options configures a Log. A zero field takes its default.
type Options struct {
	// SegmentBytes is the size at which the next segment is begun. A larger group gets a segment of
	// its own. Default 16 MiB.
	SegmentBytes int64
	// GroupCommitDelay is how long the first record of a group waits for others, if the disk is idle.
	// Default 0: not at all.
	GroupCommitDelay time.Duration
	// SyncInterval is how long written records may stay unsynced. If it is set, records are durable
	// once they are written: they survive a crash of the process, but not always of the machine.
	// Default 0: each group is synced, and its records are durable only then.
	SyncInterval time.Duration
	// MaxPending bounds the bytes that wait to be written. Records beyond it are not accepted, as
	// after a failure of the disk. Default 4 MiB.
	MaxPending int
	// RetryDelay is the pause after a failure. It doubles with each consecutive failure, up to a
	// minute. Default 1 s.
	RetryDelay time.Duration
}

func (o Options) withDefaults() Options {
	if o.SegmentBytes <= 0 {
		o.SegmentBytes = 16 << 20
	}
	o.SegmentBytes = min(o.SegmentBytes, maxSegmentBytes/2)
	if o.MaxPending <= 0 {
		o.MaxPending = 4 << 20
	}
	o.MaxPending = min(o.MaxPending, maxSegmentBytes/2)
	if o.RetryDelay <= 0 {
		o.RetryDelay = time.Second
	}
	return o
}

const maxRetryDelay = time.Minute

// OpKind is the kind of an Op.
type OpKind uint8

// The kinds of operations.
const (
	None    OpKind = iota // nothing to do
	Create                // create the file of Segment, which must not exist, with Data
	Write                 // write Data at Offset of Segment, which is its end
	Sync                  // sync what was written to Segment
	SyncDir               // sync the directory
	Remove                // remove the file of Segment, if it exists
)

// String returns the kind's name.
func (k OpKind) String() string {
	return [...]string{"nothing", "create", "write", "sync", "syncdir", "remove"}[k]
}

// Op is one operation on files.
type Op struct {
	Kind    OpKind
	Segment uint64
	Offset  int64
	Data    []byte // must not be modified; valid until Done
}

// Usage is the space that a log uses on disk and in memory.
type Usage struct {
	Segments       int
	Bytes          int64 // of all segments
	LiveBytes      int64 // of live records that are on disk, pending or being written
	PendingBytes   int   // that wait to be written
	UnwrittenBytes int64 // of live records that are not on disk and must be appended again
}
