// Package deduplicator drives a keys.Store under the system's clock: one lock, one timer, and a goroutine for each request that
// passes, so that it goes on for whoever waits when its own client has left. With a journal, a request goes on once it is on disk that it
// may have run. Nothing waits under the lock.
package deduplicator

import (
	"context"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"fmt"
	"io/fs"
	"log/slog"
	"os"
	"path/filepath"
	"sync"
	"time"

	"pumicecroft/decision"
	"pumicecroft/idempotency"
	"pumicecroft/internal/journal"
	"pumicecroft/internal/logfile"
)

// JournalConfig says how keys are kept on disk.
type JournalConfig struct {
	Dir              string        // this process's alone
	GroupCommitDelay time.Duration // how long a record waits for others that are written with it
	SyncInterval     time.Duration // 0: a request goes on when its record is synced; else when it is written, and syncs are so far apart
	WriteTimeout     time.Duration // how long a request waits for the disk
	// RejectOnFailure says what becomes of a request whose record the disk does not take: it is refused, or goes on with its key in memory alone.
	RejectOnFailure bool
	Log             *slog.Logger
	files           logfile.SegmentStore // in place of Dir's, of tests
}

// ErrNotPersisted is why a request was refused that the journal did not take. It has never run.
var ErrNotPersisted = errors.New("its key can't be kept on disk")

// ErrClosed is why a request was refused that came after Close.
var ErrClosed = errors.New("the keeper of keys was closed")

// Deduplicator keeps keys. It is safe for concurrent use.
type Deduplicator struct {
	start          time.Time
	fingerprintKey [32]byte       // so that nobody can make two requests of one digest
	journal        *JournalConfig // nil: there is none

	mu              sync.Mutex
	store           *idempotency.Store
	timer           *time.Timer
	timerAt         time.Duration // when it comes; 0: it does not
	closed          bool
	idle            chan struct{}                            // closed when it has ended and nothing is in flight
	cancels         map[idempotency.Entry]context.CancelFunc // of what is in flight
	log             *journal.Log[idempotency.Entry]
	runner          *logfile.Runner[idempotency.Entry]
	awaitingDurable []recordWaiter // for records to be durable, in the order of their numbers
	awaitingWritten []recordWaiter // for records to be written
	journalFailed   bool           // it was told that the disk fails
}

// recordWaiter is one that waits for a record.
type recordWaiter struct {
	seq  uint64
	done chan bool // holds one: whether it is there
}

// New makes an empty one.
func New(l idempotency.Limits) *Deduplicator {
	k := &Deduplicator{start: time.Now(), store: idempotency.New(l, 0), idle: make(chan struct{}), cancels: map[idempotency.Entry]context.CancelFunc{}}
	_, _ = rand.Read(k.fingerprintKey[:]) // it never fails
	return k
}

// Open makes one with what its journal holds. An error leaves the journal as it is.
func Open(l idempotency.Limits, j JournalConfig) (*Deduplicator, error) {
	k := New(l)
	k.journal = &j
	files := j.files
	if files == nil {
		dir, err := logfile.OpenDir(j.Dir)
		if err != nil {
			return nil, err
		}
		files = dir
	}
	if err := k.recoverJournal(files); err != nil {
		return nil, errors.Join(fmt.Errorf("the journal of keys in %s: %w", j.Dir, err), files.Close())
	}
	return k, nil
}

func (k *Deduplicator) recoverJournal(files logfile.SegmentStore) error {
	numbers, err := files.List()
	if err != nil {
		return err
	}
	if k.journal.Dir != "" {
		if err := k.loadFingerprintKey(len(numbers) == 0); err != nil {
			return err
		}
	}
	epoch := time.Duration(k.start.UnixNano())
	k.log, err = journal.Recover(journal.Options{GroupCommitDelay: k.journal.GroupCommitDelay, SyncInterval: k.journal.SyncInterval}, logfile.NewLogID(), numbers, files.Load,
		func(rec []byte) (*journal.Slot[idempotency.Entry], error) {
			return k.store.Restore(k.now(), epoch, rec)
		})
	if err != nil {
		return err
	}
	k.store.AttachLog(k.log, epoch)
	k.runner = logfile.Run(&k.mu, k.log, files, k.now, k.onJournalProgress)
	return nil
}

// loadFingerprintKey reads the secret of digests that lies beside the journal, or makes it with a new journal: without it, no repeat
// would be known for one.
func (k *Deduplicator) loadFingerprintKey(fresh bool) error {
	path := filepath.Join(k.journal.Dir, "secret")
	b, err := os.ReadFile(path)
	switch {
	case err == nil && len(b) == len(k.fingerprintKey):
		copy(k.fingerprintKey[:], b)
		return nil
	case err == nil && !fresh:
		return fmt.Errorf("%s has %d bytes, not %d", path, len(b), len(k.fingerprintKey))
	case err != nil && !errors.Is(err, fs.ErrNotExist):
		return err
	case !fresh:
		return fmt.Errorf("%s is missing, and the journal's digests were made with it", path)
	}
	f, err := os.OpenFile(path, os.O_CREATE|os.O_WRONLY|os.O_TRUNC, 0o600)
	if err != nil {
		return err
	}
	_, err = f.Write(k.fingerprintKey[:])
	return errors.Join(err, f.Sync(), f.Close()) // its name is synced with the first segment's
}

// Fingerprint is a keyed digest of a request's parts, each in its own bounds.
func (k *Deduplicator) Fingerprint(parts ...[]byte) (d idempotency.Fingerprint) {
	h := hmac.New(sha256.New, k.fingerprintKey[:])
	var size [8]byte
	for _, p := range parts {
		binary.BigEndian.PutUint64(size[:], uint64(len(p)))
		h.Write(size[:])
		h.Write(p)
	}
	copy(d[:], h.Sum(nil))
	return d
}

// Result is what a request that passed came to.
type Result struct {
	Outcome  idempotency.Outcome
	Response idempotency.Response // of one that was answered
	Err      error                // of another: all that wait for it get this one
}

// waiter is one that waits for a Result. Its request's ticket holds it as its tag.
type waiter struct {
	done chan completion // holds one
}

type completion struct {
	idempotency.Decision
	err error
}

// Do settles a request. If it is to go on, run is called, once, in a goroutine of its own; its context ends when nobody waits for it
// any more, and has ctx's values. What comes back is Replay with an answer, or another verdict, with the error that run gave if it
// was run, for this request or for one that it waited for. When ctx ends first that is ctx's error, and no verdict.
func (k *Deduplicator) Do(ctx context.Context, who decision.CustomerID, key string, digest idempotency.Fingerprint, timeout time.Duration,
	run func(context.Context) Result) (idempotency.Decision, error) {
	if ctx.Err() != nil { // what it began would run a little before its end is heard
		return idempotency.Decision{}, context.Cause(ctx)
	}
	w := &waiter{done: make(chan completion, 1)}
	k.mu.Lock()
	if k.closed {
		k.mu.Unlock()
		return idempotency.Decision{Verdict: idempotency.Rejected}, ErrClosed
	}
	now := k.now()
	d, given := k.store.Begin(now, who, key, digest, w, now+timeout)
	if d.Verdict == idempotency.Proceed {
		going, stop := context.WithCancel(context.WithoutCancel(ctx))
		k.cancels[d.Ticket.Entry()] = stop
		var kept chan bool // nil: nothing is kept
		if k.log != nil {
			kept = k.watchRecord(&k.awaitingDurable, d.Ticket.Seq())
		}
		go k.execute(going, d.Ticket, now+timeout, kept, run)
	}
	k.deliver(given, nil)
	k.mu.Unlock()
	if d.Ticket == nil {
		return d, nil
	}
	select {
	case e := <-w.done:
		return e.Decision, e.err
	case <-ctx.Done():
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	nobody, given := k.store.Abandon(k.now(), d.Ticket)
	k.deliver(given, nil)
	if stop := k.cancels[d.Ticket.Entry()]; nobody && stop != nil {
		stop()
	}
	return idempotency.Decision{}, context.Cause(ctx)
}

// watchRecord gives what tells, once, whether a record is there, in one of the lists of those that wait; one that the log did not take is not. It
// wants the lock.
func (k *Deduplicator) watchRecord(waits *[]recordWaiter, seq uint64) chan bool {
	told := make(chan bool, 1)
	if seq == 0 {
		told <- false
		return told
	}
	*waits = append(*waits, recordWaiter{seq, told})
	k.runner.Wake()
	return told
}

// notifyRecordWaiters tells those that wait what has become of their records, up to one number or another, and gives the rest.
func notifyRecordWaiters(waits []recordWaiter, there, lost uint64) []recordWaiter {
	n := 0
	for ; n < len(waits) && waits[n].seq <= max(there, lost); n++ {
		waits[n].done <- waits[n].seq <= there
	}
	return waits[n:]
}

// onJournalProgress is called after each operation on the journal's files, with the lock held.
func (k *Deduplicator) onJournalProgress() {
	k.awaitingDurable = notifyRecordWaiters(k.awaitingDurable, k.log.Durable(), k.log.Lost())
	k.awaitingWritten = notifyRecordWaiters(k.awaitingWritten, k.log.Written(), k.log.Lost())
	k.store.RewriteStale(k.now())
	if err := k.log.Err(); (err != nil) != k.journalFailed {
		k.journalFailed = err != nil
		go k.logJournalState(err) // a log may wait for its reader, and this has the lock
	}
}

// logJournalState says that the disk fails, or that it is well again.
func (k *Deduplicator) logJournalState(err error) {
	switch log := k.journal.Log; {
	case log == nil:
	case err == nil:
		log.Info("keys are kept on disk again")
	case k.journal.RejectOnFailure:
		log.Error("keys can't be kept on disk, requests with keys are refused", "err", err)
	default:
		log.Error("keys can't be kept on disk, requests with keys go on with them in memory", "err", err)
	}
}

// execute makes a request that passed, and gives its end to all that wait for it.
func (k *Deduplicator) execute(ctx context.Context, t *idempotency.Ticket, until time.Duration, kept chan bool, run func(context.Context) Result) {
	var r Result
	if kept == nil || k.awaitRecord(ctx, kept, until) || ctx.Err() == nil && !k.journal.RejectOnFailure {
		r = run(ctx)
	} else if r = (Result{Outcome: idempotency.NotExecuted, Err: ErrNotPersisted}); ctx.Err() != nil {
		r.Err = ErrClosed // nobody waits for it any more, or the Keeper was closed
	}
	if k.log != nil && r.Outcome == idempotency.Succeeded {
		k.recordResponse(ctx, t, r.Response, until)
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.cancels[t.Entry()]()
	delete(k.cancels, t.Entry())
	k.deliver(k.store.Complete(k.now(), t, r.Outcome, r.Response), r.Err)
	if k.runner != nil {
		k.runner.Wake()
	}
	if k.closed && len(k.cancels) == 0 {
		close(k.idle)
	}
}

// recordResponse has an answer written before anybody is given it, so that a process that is killed right behind it is asked in vain for another.
// Those that joined are told by themselves when they are late.
func (k *Deduplicator) recordResponse(ctx context.Context, t *idempotency.Ticket, a idempotency.Response, until time.Duration) {
	k.mu.Lock()
	written := k.watchRecord(&k.awaitingWritten, k.store.RecordResponse(k.now(), t, a))
	k.mu.Unlock()
	k.awaitRecord(ctx, written, until)
}

// awaitRecord waits until a record is there, and tells whether it is: for no longer than the disk is waited for, nor than the client waits.
func (k *Deduplicator) awaitRecord(ctx context.Context, told chan bool, until time.Duration) bool {
	patience := time.NewTimer(min(k.journal.WriteTimeout, until-k.now()))
	defer patience.Stop()
	select {
	case there := <-told:
		return there
	case <-patience.C:
	case <-ctx.Done():
	}
	return false
}

// deliver tells those that have their end, and waits for the next; it wants the lock. err goes with what is not an answer and not
// only late.
func (k *Deduplicator) deliver(given []idempotency.Completion, err error) {
	for _, g := range given {
		e := completion{g.Decision, err}
		if g.Verdict == idempotency.Replay || g.Verdict == idempotency.DeadlineExceeded {
			e.err = nil
		}
		g.Tag.(*waiter).done <- e
	}
	at, ok := k.store.Next()
	switch {
	case !ok || k.closed || at == k.timerAt:
	case k.timer == nil:
		k.timerAt, k.timer = at, time.AfterFunc(at-k.now(), k.onTimer)
	default:
		k.timerAt = at
		k.timer.Reset(at - k.now())
	}
}

func (k *Deduplicator) onTimer() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.timerAt = 0
	k.deliver(k.store.Tick(k.now()), nil)
}

func (k *Deduplicator) now() time.Duration { return time.Since(k.start) }

// Stats is what all keys cost, how many there are, and how many requests wait.
func (k *Deduplicator) Stats() (bytes, held, waiting int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.store.Bytes(), k.store.Len(), k.store.Waiting()
}

// JournalUsage tells what the journal takes on disk, and why it takes nothing, if it does not.
func (k *Deduplicator) JournalUsage() (journal.Usage, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.log == nil {
		return journal.Usage{}, nil
	}
	return k.log.Usage(), k.log.Err()
}

// Close waits for the ends of what is in flight, which its caller has seen to, and writes what is to be written. When ctx ends first, what
// still waits for the disk to begin ends as never run (ErrEnded), and the disk has the journal's patience for the rest; the error tells if that was
// not enough. It is called once, and what is asked of the Keeper later is refused.
func (k *Deduplicator) Close(ctx context.Context) error {
	k.mu.Lock()
	if k.closed = true; k.timer != nil {
		k.timer.Stop()
	}
	if len(k.cancels) == 0 {
		close(k.idle)
	}
	k.mu.Unlock()
	select {
	case <-k.idle:
	case <-ctx.Done():
		k.mu.Lock()
		for _, stop := range k.cancels {
			stop()
		}
		k.mu.Unlock()
		<-k.idle
	}
	if k.runner == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), k.journal.WriteTimeout)
	defer cancel()
	return k.runner.Close(ctx)
}
