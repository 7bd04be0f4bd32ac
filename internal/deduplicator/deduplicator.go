// Package deduplicator runs an idempotency.Store on the system clock. It owns the store's lock and
// timer, and executes each request that proceeds in its own goroutine, so that the request continues
// for other waiting clients when its own client has disconnected. With a journal, a request is
// executed only once its record is on disk. No code blocks while it holds the lock.
package deduplicator

import (
	"context"
	"crypto/rand"
	"errors"
	"sync"
	"time"

	"pumicecroft/decision"
	"pumicecroft/idempotency"
	"pumicecroft/internal/journal"
	"pumicecroft/internal/logfile"
)

// ErrNotPersisted is returned for a request whose record could not be written to the journal in
// time, if JournalConfig.RejectOnFailure is set. The request was not executed.
var ErrNotPersisted = errors.New("deduplicator: idempotency key could not be persisted")

// ErrClosed is returned for a request that arrived after Close, or that Close ended while it waited
// for the disk. The request was not executed.
var ErrClosed = errors.New("deduplicator: closed")

// Result is the result of executing a request.
type Result struct {
	Outcome  idempotency.Outcome
	Response idempotency.Response // with idempotency.Succeeded
	Err      error                // with another outcome: returned to all callers that wait for the request
}

// Deduplicator deduplicates requests by their idempotency keys. It is safe for concurrent use.
type Deduplicator struct {
	start          time.Time // origin of the store's times
	fingerprintKey [fingerprintKeyLen]byte
	journal        *JournalConfig // nil: keys are kept in memory only

	mu      sync.Mutex
	store   *idempotency.Store
	timer   *time.Timer                              // nil: not created yet
	timerAt time.Duration                            // when timer fires; 0: it is not set
	cancels map[idempotency.Entry]context.CancelFunc // of requests being executed
	closed  bool
	idle    chan struct{} // closed when closed is set and nothing is being executed

	// With a journal:
	log             *journal.Log[idempotency.Entry]
	runner          *logfile.Runner[idempotency.Entry]
	awaitingDurable []recordWaiter // by ascending record number
	awaitingWritten []recordWaiter // by ascending record number
	journalFailed   bool           // the state that was logged last
}

// New returns a Deduplicator without a journal.
func New(l idempotency.Limits) *Deduplicator {
	d := &Deduplicator{
		start:   time.Now(),
		store:   idempotency.New(l, 0),
		cancels: map[idempotency.Entry]context.CancelFunc{},
		idle:    make(chan struct{}),
	}
	_, _ = rand.Read(d.fingerprintKey[:]) // crypto/rand.Read never fails
	return d
}

// waiter is a waiting caller of Do. It is the tag of its ticket.
type waiter struct {
	done chan completion // buffered, capacity 1
}

// completion is the result of Do for a waiter.
type completion struct {
	idempotency.Decision
	err error
}

// Do deduplicates one request. If the request proceeds, run is called once, in a separate goroutine.
// The context of run has the values of ctx and is cancelled when no client waits for the request any
// more.
//
// Do returns the decision: Replay with the response if the request succeeded, otherwise another
// verdict, with the error that run returned, for this request or the one it waited for. It blocks
// until the request has ended, for at most timeout if it waits for another one. When ctx ends first,
// Do returns its cause and no verdict.
func (d *Deduplicator) Do(ctx context.Context, who decision.CustomerID, key string,
	fingerprint idempotency.Fingerprint, timeout time.Duration,
	run func(context.Context) Result) (idempotency.Decision, error) {
	if ctx.Err() != nil { // otherwise run would start before the cancellation is noticed
		return idempotency.Decision{}, context.Cause(ctx)
	}
	w := &waiter{done: make(chan completion, 1)}
	got, err := d.begin(ctx, who, key, fingerprint, timeout, w, run)
	if err != nil || got.Ticket == nil {
		return got, err
	}
	select {
	case c := <-w.done:
		return c.Decision, c.err
	case <-ctx.Done():
		d.abandon(got.Ticket)
		return idempotency.Decision{}, context.Cause(ctx)
	}
}

// begin asks the store about a request, and starts the request's execution if it proceeds.
func (d *Deduplicator) begin(ctx context.Context, who decision.CustomerID, key string,
	fingerprint idempotency.Fingerprint, timeout time.Duration, w *waiter,
	run func(context.Context) Result) (idempotency.Decision, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed {
		return idempotency.Decision{Verdict: idempotency.Rejected}, ErrClosed
	}
	now := d.now()
	deadline := now + timeout
	got, completions := d.store.Begin(now, who, key, fingerprint, w, deadline)
	if got.Verdict == idempotency.Proceed {
		runCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
		d.cancels[got.Ticket.Entry()] = cancel
		var durable chan bool // nil: there is no journal
		if d.log != nil {
			durable = d.watchRecord(&d.awaitingDurable, got.Ticket.Seq())
		}
		go d.execute(runCtx, got.Ticket, deadline, durable, run)
	}
	d.deliver(completions, nil)
	return got, nil
}

// abandon removes a request whose client has disconnected, and cancels the execution if no other
// client waits for it.
func (d *Deduplicator) abandon(t *idempotency.Ticket) {
	d.mu.Lock()
	defer d.mu.Unlock()
	unwanted, completions := d.store.Abandon(d.now(), t)
	d.deliver(completions, nil)
	if cancel := d.cancels[t.Entry()]; unwanted && cancel != nil {
		cancel()
	}
}

// execute runs a request that proceeded, once its record is durable, and delivers the outcome to all
// callers that wait for it.
func (d *Deduplicator) execute(ctx context.Context, t *idempotency.Ticket, deadline time.Duration,
	durable chan bool, run func(context.Context) Result) {
	var r Result
	switch {
	case durable == nil || d.awaitRecord(ctx, durable, deadline):
		r = run(ctx)
	case ctx.Err() != nil: // no client waits for it any more, or Close cancelled it
		r = Result{Outcome: idempotency.NotExecuted, Err: ErrClosed}
	case d.journal.RejectOnFailure:
		r = Result{Outcome: idempotency.NotExecuted, Err: ErrNotPersisted}
	default:
		r = run(ctx)
	}
	if d.log != nil && r.Outcome == idempotency.Succeeded {
		d.recordResponse(ctx, t, r.Response, deadline)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.cancels[t.Entry()]()
	delete(d.cancels, t.Entry())
	d.deliver(d.store.Complete(d.now(), t, r.Outcome, r.Response), r.Err)
	if d.runner != nil {
		d.runner.Wake()
	}
	if d.closed && len(d.cancels) == 0 {
		close(d.idle)
	}
}

// deliver passes completions to their waiters and sets the timer for the store's next expiry. err is
// passed on with all verdicts but Replay and DeadlineExceeded, as those are not due to a failure of
// the execution. The caller holds the lock.
func (d *Deduplicator) deliver(completions []idempotency.Completion, err error) {
	for _, c := range completions {
		result := completion{c.Decision, err}
		if c.Verdict == idempotency.Replay || c.Verdict == idempotency.DeadlineExceeded {
			result.err = nil
		}
		c.Tag.(*waiter).done <- result
	}
	at, ok := d.store.Next()
	switch {
	case !ok || d.closed || at == d.timerAt:
	case d.timer == nil:
		d.timerAt, d.timer = at, time.AfterFunc(at-d.now(), d.onTimer)
	default:
		d.timerAt = at
		d.timer.Reset(at - d.now())
	}
}

func (d *Deduplicator) onTimer() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.timerAt = 0
	d.deliver(d.store.Tick(d.now()), nil)
}

// now returns the store's time.
func (d *Deduplicator) now() time.Duration { return time.Since(d.start) }

// Stats returns the accounted memory of all keys in bytes, the number of keys, and the number of
// requests that have not ended.
func (d *Deduplicator) Stats() (bytes, keys, waiting int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.store.Bytes(), d.store.Len(), d.store.Waiting()
}

// Close waits until all requests being executed have ended, and then writes and syncs the rest of the
// journal for at most JournalConfig.WriteTimeout. The caller must make sure that the requests end.
// When ctx ends first, Close cancels them; those that wait for the disk end with ErrClosed. An error
// means that the journal may be incomplete. Close must be called once. Later requests are rejected
// with ErrClosed.
func (d *Deduplicator) Close(ctx context.Context) error {
	d.mu.Lock()
	if d.closed = true; d.timer != nil {
		d.timer.Stop()
	}
	if len(d.cancels) == 0 {
		close(d.idle)
	}
	d.mu.Unlock()
	select {
	case <-d.idle:
	case <-ctx.Done():
		d.cancelAll()
		<-d.idle
	}
	if d.runner == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), d.journal.WriteTimeout)
	defer cancel()
	return d.runner.Close(ctx)
}

func (d *Deduplicator) cancelAll() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, cancel := range d.cancels {
		cancel()
	}
}
