// Package journal is a log of records in files that survives crashes. Appended records are grouped,
// written and synced; a file is removed when nobody needs its records any more. Each record belongs to
// a Slot, of which the last record counts and earlier ones are garbage. When more than half of the log
// is garbage, the live records of the oldest segment are appended again and the segment is removed.
//
// Guarantees, whenever the process or the machine stops:
//
//   - A record that was reported durable is read again by Recover, in the order of appending, unless
//     its Slot was dropped or has a later record. Dropped records may come back, so a record must not
//     depend on others.
//   - A record without a Slot is read again as long as any record that was appended before it.
//   - A record that was not reported durable may be read again or not, but in order: of one segment,
//     never a later record without the earlier ones.
//   - Damage to synced data is a CorruptError that names segment and offset, and changes no file. One
//     case can't be told from a crash: damage to the last group of the last segment.
//   - When the disk fails or is full, the log reports it (Err) and accepts nothing until it has begun a
//     new segment. Then it asks for the records that are not on disk (Stale). Callers that wait for a
//     record learn that it is lost; the log never blocks.
//
// The package is pure: appends and times go in, file operations come out (Next), and their results go
// back in (Done), one at a time. It does no I/O, reads no clock, takes no lock and starts no
// goroutine. A Log belongs to its driver, which serializes all calls: package logfile for real files,
// package sim for a simulated disk that loses and reorders what was not synced.
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
	// SyncInterval is how long written records may stay unsynced; records are durable once they are
	// written, which survives a crash of the process but not always of the machine. Default 0: each
	// group is synced, and durable only then.
	SyncInterval time.Duration
	// MaxPending bounds the bytes that wait to be written. Records beyond it are treated as if the
	// disk had failed. Default 4 MiB.
	MaxPending int
	// RetryDelay is the pause after a failure, doubled with each further one up to a minute. Default
	// 1 s.
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
	Remove                // remove the file of Segment; it is no error if it does not exist
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

// Usage is what a log takes, on disk and in memory.
type Usage struct {
	Segments       int
	Bytes          int64 // of all segments
	LiveBytes      int64 // of records that count, on disk or on their way there
	PendingBytes   int   // that wait to be written
	UnwrittenBytes int64 // of records that count, but are not on disk and must be appended again
}
