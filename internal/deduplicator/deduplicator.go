// Package deduplicator runs an idempotency.Store on the system clock. It owns the store's lock and
// timer, and executes each request whose verdict is Proceed (the first with its key) in its own
// goroutine, so that the request continues for other waiting clients when its own client has
// disconnected. With a journal, the execution waits until the request's record is durable; if that
// fails, JournalConfig.RejectOnFailure decides whether the request is executed. No code blocks while
// it holds the lock.
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

// ErrClosed is returned for a request that arrived after Close, or that was waiting for its journal
// record when Close cancelled it. The request was not executed.
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
	journalConfig  *JournalConfig // nil: keys are kept in memory only

	mu      sync.Mutex
	store   *idempotency.Store
	timer   *time.Timer                              // nil: not created yet
	timerAt time.Duration                            // when timer fires; 0: it is not set
	cancels map[idempotency.Entry]context.CancelFunc // of requests being executed
	closed  bool
	idle    chan struct{} // closed when closed is set and nothing is being executed

	// With a journal:
	journal         *journal.Log[idempotency.Entry]
	runner          *logfile.Runner[idempotency.Entry]
	awaitingDurable []recordWaiter // by ascending record number; see journal.Log.Durable
	awaitingWritten []recordWaiter // by ascending record number; see journal.Log.Written
	journalFailed   bool           // whether the last message about the journal's state said that it failed
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

// Do deduplicates one request. If the store's verdict is Proceed, run is called at most once, in a
// separate goroutine. The context of run has the values of ctx and is cancelled when no client waits
// for the request any more.
//
// Do blocks until the request has ended, for at most timeout if it waits for another one with its key.
// The verdict Replay, with the response, means that the request succeeded, now or earlier. If the
// execution of this request or of the one that it waited for failed, Do returns another verdict with
// the execution's Result.Err. When ctx ends first, Do returns its cause and no verdict.
func (d *Deduplicator) Do(ctx context.Context, customer decision.CustomerID, key string,
	fingerprint idempotency.Fingerprint, timeout time.Duration,
	run func(context.Context) Result) (idempotency.Decision, error) {
	if ctx.Err() != nil { // otherwise run would start before the cancellation is noticed
		return idempotency.Decision{}, context.Cause(ctx)
	}
	w := &waiter{done: make(chan completion, 1)}
	decided, err := d.begin(ctx, customer, key, fingerprint, timeout, w, run)
	if err != nil || decided.Ticket == nil {
		return decided, err
	}
	select {
	case c := <-w.done:
		return c.Decision, c.err
	case <-ctx.Done():
		d.abandon(decided.Ticket)
		return idempotency.Decision{}, context.Cause(ctx)
	}
}

// begin asks the store about a request, and starts the request's execution if the verdict is Proceed.
func (d *Deduplicator) begin(ctx context.Context, customer decision.CustomerID, key string,
	fingerprint idempotency.Fingerprint, timeout time.Duration, w *waiter,
	run func(context.Context) Result) (idempotency.Decision, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed {
		return idempotency.Decision{Verdict: idempotency.Rejected}, ErrClosed
	}
	now := d.now()
	deadline := now + timeout
	decided, completions := d.store.Begin(now, customer, key, fingerprint, w, deadline)
	if decided.Verdict == idempotency.Proceed {
		runCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
		d.cancels[decided.Ticket.Entry()] = cancel
		var durable chan bool // nil: there is no journal
		if d.journal != nil {
			durable = d.watchRecord(&d.awaitingDurable, decided.Ticket.Seq())
		}
		go d.execute(runCtx, decided.Ticket, deadline, durable, run)
	}
	d.deliver(completions, nil)
	return decided, nil
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

// execute runs a request whose verdict was Proceed, once its record is durable, and delivers the
// outcome to all callers that wait for it.
func (d *Deduplicator) execute(ctx context.Context, t *idempotency.Ticket, deadline time.Duration,
	durable chan bool, run func(context.Context) Result) {
	var r Result
	switch {
	case durable == nil || d.awaitRecord(ctx, durable, deadline):
		r = run(ctx)
	case ctx.Err() != nil: // Close cancelled it, or no client waits for it any more and none gets the error
		r = Result{Outcome: idempotency.NotExecuted, Err: ErrClosed}
	case d.journalConfig.RejectOnFailure:
		r = Result{Outcome: idempotency.NotExecuted, Err: ErrNotPersisted}
	default:
		r = run(ctx)
	}
	if d.journal != nil && r.Outcome == idempotency.Succeeded {
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
// requests whose callers wait: for their own execution or for that of another request.
func (d *Deduplicator) Stats() (bytes, keys, waiting int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.store.Bytes(), d.store.Len(), d.store.Waiting()
}

// Close waits until all requests being executed have ended, and then writes and syncs the rest of the
// journal for at most JournalConfig.WriteTimeout. The caller must make sure that the requests end.
// When ctx ends first, Close cancels them; those that wait for their journal records end with
// ErrClosed. An error means that the journal may be incomplete. Close must be called once. Later
// requests are rejected with ErrClosed.
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
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), d.journalConfig.WriteTimeout)
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
