package deduplicator

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"time"

	"pumicecroft/idempotency"
	"pumicecroft/internal/journal"
	"pumicecroft/internal/logfile"
)

// JournalConfig configures the journal, which stores keys on disk.
type JournalConfig struct {
	// Dir is the journal's directory. No other process may use it.
	Dir string
	// GroupCommitDelay is how long a record waits for others to be written with it. 0: not at all.
	GroupCommitDelay time.Duration
	// SyncInterval is the time between syncs. If it is set, a request is executed once its record is
	// written. 0: each group of records is synced, and a request is executed only after that.
	SyncInterval time.Duration
	// WriteTimeout is how long a request waits for the disk.
	WriteTimeout time.Duration
	// DeadlineMargin is how long before its deadline a request stops waiting for the disk, so that its
	// result can still be delivered in time.
	DeadlineMargin time.Duration
	// RejectOnFailure rejects a request whose record is not on disk within WriteTimeout. Otherwise
	// the request is executed with its key in memory only.
	RejectOnFailure bool
	// Log receives messages when the journal fails and when it recovers; nil: none.
	Log *slog.Logger

	files logfile.SegmentStore // if set, used instead of Dir, in tests
}

// recordWaiter waits until a record of the journal is durable or written.
type recordWaiter struct {
	seq  uint64
	done chan bool // buffered, capacity 1: receives whether the record is durable or written
}

// Open returns a Deduplicator with the keys of its journal. If it fails, the segments of the journal
// are unchanged.
func Open(l idempotency.Limits, j JournalConfig) (*Deduplicator, error) {
	d := New(l)
	d.journalConfig = &j
	files := j.files
	if files == nil {
		dir, err := logfile.OpenDir(j.Dir)
		if err != nil {
			return nil, err
		}
		files = dir
	}
	if err := d.recoverJournal(files); err != nil {
		return nil, errors.Join(fmt.Errorf("deduplicator: journal %s: %w", j.Dir, err), files.Close())
	}
	return d, nil
}

func (d *Deduplicator) recoverJournal(files logfile.SegmentStore) error {
	segments, err := files.List()
	if err != nil {
		return err
	}
	if d.journalConfig.Dir != "" {
		if err := d.loadFingerprintKey(len(segments) == 0); err != nil {
			return err
		}
	}
	epoch := time.Duration(d.start.UnixNano())
	options := journal.Options{
		GroupCommitDelay: d.journalConfig.GroupCommitDelay,
		SyncInterval:     d.journalConfig.SyncInterval,
	}
	restore := func(record []byte) (*journal.Slot[idempotency.Entry], error) {
		return d.store.Restore(d.now(), epoch, record)
	}
	d.journal, err = journal.Recover(options, logfile.NewLogID(), segments, files.Load, restore)
	if err != nil {
		return err
	}
	d.store.AttachLog(d.journal, epoch)
	d.runner = logfile.Run(&d.mu, d.journal, files, d.now, d.onJournalProgress)
	return nil
}

// onJournalProgress is called by the runner, with the lock held, whenever the state of the journal may
// have changed.
func (d *Deduplicator) onJournalProgress() {
	d.awaitingDurable = notifyRecordWaiters(d.awaitingDurable, d.journal.Durable(), d.journal.Lost())
	d.awaitingWritten = notifyRecordWaiters(d.awaitingWritten, d.journal.Written(), d.journal.Lost())
	d.store.RewriteStale(d.now())
	if err := d.journal.Err(); (err != nil) != d.journalFailed {
		d.journalFailed = err != nil
		go d.logJournalState(err) // a log handler may block, and the lock is held here
	}
}

// logJournalState logs that the journal has failed, or if err is nil, that it has recovered.
func (d *Deduplicator) logJournalState(err error) {
	switch log := d.journalConfig.Log; {
	case log == nil:
	case err == nil:
		log.Info("idempotency journal recovered")
	case d.journalConfig.RejectOnFailure:
		log.Error("idempotency journal failed", "requests_with_keys", "rejected", "err", err)
	default:
		log.Error("idempotency journal failed", "requests_with_keys", "kept in memory only", "err", err)
	}
}

// watchRecord adds a waiter for a record to a list and returns its channel, which receives true when
// the record is durable or written, depending on the list, and false if it is lost. A seq of 0 means
// that the log did not accept the record. The caller holds the lock.
func (d *Deduplicator) watchRecord(waiters *[]recordWaiter, seq uint64) chan bool {
	done := make(chan bool, 1)
	if seq == 0 {
		done <- false
		return done
	}
	*waiters = append(*waiters, recordWaiter{seq, done})
	d.runner.Wake()
	return done
}

// notifyRecordWaiters sends true to the waiters of all records up to reached, and false to those of
// the other records up to lost. It returns the remaining waiters.
func notifyRecordWaiters(waiters []recordWaiter, reached, lost uint64) []recordWaiter {
	n := 0
	for ; n < len(waiters) && waiters[n].seq <= max(reached, lost); n++ {
		waiters[n].done <- waiters[n].seq <= reached
	}
	return waiters[n:]
}

// recordResponse writes a response to the journal before any client gets it. Otherwise, if the process
// were killed right after sending the response, a repeated request would get OutcomeUnknown instead of
// the response. Requests that joined keep their own deadlines meanwhile.
func (d *Deduplicator) recordResponse(ctx context.Context, t *idempotency.Ticket,
	r idempotency.Response, deadline time.Duration) {
	d.mu.Lock()
	written := d.watchRecord(&d.awaitingWritten, d.store.RecordResponse(d.now(), t, r))
	d.mu.Unlock()
	d.awaitRecord(ctx, written, deadline)
}

// awaitRecord waits for a channel of watchRecord and returns the value that it receives. It waits for
// at most WriteTimeout, until DeadlineMargin before the request's deadline, and not beyond the end of
// ctx; then it returns false.
func (d *Deduplicator) awaitRecord(ctx context.Context, done chan bool, deadline time.Duration) bool {
	remaining := deadline - d.journalConfig.DeadlineMargin - d.now()
	timeout := time.NewTimer(min(d.journalConfig.WriteTimeout, remaining))
	defer timeout.Stop()
	select {
	case ok := <-done:
		return ok
	case <-timeout.C:
	case <-ctx.Done():
	}
	return false
}

// JournalUsage returns the space that the journal uses, and the error because of which it accepts no
// records at the moment. Both are zero without a journal.
func (d *Deduplicator) JournalUsage() (journal.Usage, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.journal == nil {
		return journal.Usage{}, nil
	}
	return d.journal.Usage(), d.journal.Err()
}
