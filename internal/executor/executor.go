// Package executor runs a lifecycle.Machine, the state machine of all requests, on the system clock. It passes events
// to the Machine one at a time, under a lock, and carries out the effects that the Machine returns. Attempts are made
// by a Transport. No I/O is done while the lock is held.
//
// A request is served by the goroutine of its caller. If the decision engine cancels the attempts of a request that has
// ended, that goroutine also makes the request's attempts one after another, and only an attempt that is concurrent
// with another gets a goroutine of its own. Otherwise every attempt gets its own goroutine, so that an attempt that is
// still running does not delay the answer. Probes and syncs always have their own goroutine.
//
// executor.go contains the Executor and the serving of requests, effects.go carries out effects, attempt.go is the
// Transport's view of an attempt, contextwatch.go detects that clients disconnect, transport.go and transportmux.go
// define the transports, and clock.go converts times.
package executor

import (
	"context"
	"sync"
	"time"

	"pumicecroft/decision"
	"pumicecroft/internal/lifecycle"
	"pumicecroft/recovery"
)

// Result is the final answer to a request.
type Result struct {
	Verdict    lifecycle.Verdict
	RetryAfter time.Duration   // of a rejection; 0: the client is not told when to retry
	Reason     decision.Reason // of a rejection
	// Response is set if the request was served, or failed and the last attempt got an error response.
	Response Response
	Attempts int // number of attempts that were started
}

// openRequest is a request that is being served. Its fields are guarded by Executor.mu.
type openRequest struct {
	executor       *Executor
	id             decision.RequestID
	payload        any
	inline         bool      // the serving goroutine makes the attempts
	attemptRunning bool      // the serving goroutine is making an attempt; startAttempt starts others in goroutines
	waiting        bool      // the serving goroutine waits on wake
	wake           chan bool // buffered, for one value
	done           bool      // result is final
	result         Result
	pending        []*Attempt // attempts for the serving goroutine to make
	attempts       []*Attempt // by attempt number; nil if the machine did not start that attempt
	firstAttempt   Attempt    // storage of the first attempt, which saves most requests an allocation
	attemptsBuf    [1]*Attempt
	pendingBuf     [1]*Attempt

	ctx              context.Context // the client's
	arrivedAt        time.Duration
	contextTracked   bool         // ctx is watched, or its watch is scheduled
	stopContextWatch func() bool  // ends the watch of ctx; nil if it has not begun
	prev, next       *openRequest // neighbours in the list of requests whose ctx is not watched yet
}

// Executor runs a Machine. It is safe for concurrent use.
type Executor struct {
	clock       Clock
	transport   Transport
	counter     Counter // nil: each AddToCounter ends as NotSent
	syncSources func(ctx context.Context, pausedFor time.Duration)
	inline      bool
	pauseLimits recovery.Deadlines
	ctx         context.Context // ends at Stop
	cancel      context.CancelFunc

	mu             sync.Mutex
	machine        *lifecycle.Machine
	timer          *time.Timer
	timerAt        time.Duration // when timer fires; 0: not set
	idle           chan struct{} // closed once no request is open; nil if no Drain is waiting
	stopped        bool
	probesInFlight int

	unwatchedHead, unwatchedTail *openRequest  // requests whose ctx is not watched yet, oldest first
	nextContextWatchAt           time.Duration // when the watch of the oldest of them begins; 0: none
}

// New returns an Executor for a Machine that uses the same clock. canCancel is whether the decision engine cancels the
// attempts of a request that has ended. If not, each attempt gets its own goroutine; see the package comment.
func New(clock Clock, machine *lifecycle.Machine, transport Transport, canCancel bool) *Executor {
	e := &Executor{
		clock:       clock,
		machine:     machine,
		transport:   transport,
		inline:      canCancel,
		pauseLimits: machine.Deadlines(),
	}
	e.ctx, e.cancel = context.WithCancel(context.Background())
	return e
}

// SetCounter sets the counter that all gateways share. It must be called before the first request.
func (e *Executor) SetCounter(counter Counter) { e.counter = counter }

// SetSyncSources sets the function that makes all endpoint sources apply the updates that they have received, after the
// process was paused for pausedFor. The function returns when they have done so or ctx ends. SetSyncSources must be
// called before the first request. Without it, a sync completes at once.
func (e *Executor) SetSyncSources(sync func(ctx context.Context, pausedFor time.Duration)) {
	e.syncSources = sync
}

// Clock returns the clock of the Executor and its Machine.
func (e *Executor) Clock() Clock { return e.clock }

// OpenRequests returns the number of requests that have no answer yet or still have an attempt in flight.
func (e *Executor) OpenRequests() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.machine.OpenRequests()
}

// Inspect calls read with the lock held, so that read can access the state of the Machine and the decision engine. read
// must not block.
func (e *Executor) Inspect(read func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	read()
}

// UpdateEndpoints passes an endpoint update to the Machine.
func (e *Executor) UpdateEndpoints(update decision.EndpointUpdate) {
	e.handleEvent(func(now time.Duration) []lifecycle.Effect { return e.machine.UpdateEndpoints(now, update) })
}

// Serve submits a request and waits for its final answer. responseTimeout is passed to Machine.Submit, which limits the
// wait to it. If ctx ends first, the request ends as ClientDisconnected and the decision engine may cancel its
// attempts. An error is that of Machine.Submit.
func (e *Executor) Serve(ctx context.Context, event decision.Request,
	responseTimeout time.Duration, payload any) (Result, error) {
	request := &openRequest{executor: e, id: event.ID, payload: payload, inline: e.inline, ctx: ctx}
	request.attempts, request.pending = request.attemptsBuf[:0], request.pendingBuf[:0]
	e.mu.Lock() // no deferred unlock: a transport, which may panic, runs without the lock
	effects, err := e.machine.Submit(e.clock.Now(), request, event, responseTimeout)
	e.executeEffects(effects)
	if err != nil {
		e.mu.Unlock()
		return Result{}, err
	}
	if !request.done && ctx.Done() != nil {
		e.trackContext(request)
		e.armTimer()
	}
	for {
		switch {
		case len(request.pending) > 0:
			e.runPendingAttempt(request)
		case request.done:
			result := request.result
			e.untrackContext(request)
			e.mu.Unlock()
			return result, nil
		default:
			e.waitForWakeUp(request)
		}
	}
}

// runPendingAttempt makes the first pending attempt of a request. The caller holds the lock, which is released while
// the attempt runs.
func (e *Executor) runPendingAttempt(request *openRequest) {
	attempt := request.pending[0]
	request.pending = request.pending[:copy(request.pending, request.pending[1:])]
	request.attemptRunning = true
	e.mu.Unlock()
	response := e.roundTrip(attempt)
	e.mu.Lock()
	request.attemptRunning = false
	e.attemptEnded(attempt, response)
}

// waitForWakeUp waits for a call of wakeUp. The caller holds the lock, which is released while waiting.
func (e *Executor) waitForWakeUp(request *openRequest) {
	request.waiting = true
	if request.wake == nil {
		request.wake = make(chan bool, 1)
	}
	e.mu.Unlock()
	<-request.wake
	e.mu.Lock()
}

// wakeUp makes the serving goroutine check its request again. The caller holds the lock.
func (r *openRequest) wakeUp() {
	if r.waiting {
		r.waiting = false
		r.wake <- true
	}
}

// handleEvent calls event, which passes an event to the machine, and carries out the effects.
func (e *Executor) handleEvent(event func(now time.Duration) []lifecycle.Effect) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.executeEffects(event(e.clock.Now()))
}

// armTimer sets the timer to the earlier of the machine's next tick and the next start of a context watch. The caller
// holds the lock.
func (e *Executor) armTimer() {
	at, ok := e.machine.Next()
	if e.nextContextWatchAt > 0 && (!ok || e.nextContextWatchAt < at) {
		at, ok = e.nextContextWatchAt, true
	}
	switch {
	case !ok || e.stopped:
		if e.timer != nil {
			e.timer.Stop()
		}
		e.timerAt = 0
	case at == e.timerAt:
	case e.timer == nil:
		e.timerAt = at
		e.timer = time.AfterFunc(time.Until(e.clock.ToWallTime(at)), e.tick)
	default:
		e.timerAt = at
		e.timer.Reset(time.Until(e.clock.ToWallTime(at)))
	}
}

func (e *Executor) tick() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.timerAt = 0
	now := e.clock.Now()
	e.watchContexts(now)
	e.executeEffects(e.machine.Tick(now))
}

// Drain makes the Machine reject new requests, and waits until no request is open or ctx ends. It returns the number of
// requests that still have no answer.
func (e *Executor) Drain(ctx context.Context) (unanswered int) {
	e.mu.Lock()
	e.machine.Close()
	if e.machine.OpenRequests() == 0 {
		e.mu.Unlock()
		return 0
	}
	if e.idle == nil {
		e.idle = make(chan struct{})
	}
	idle := e.idle
	e.mu.Unlock()
	select {
	case <-idle:
	case <-ctx.Done():
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.machine.Unanswered()
}

// Stop answers all unanswered requests as Aborted, cancels all attempts, and stops the timer. Later calls of Serve
// return an error. Stop does not wait for the cancelled attempts to end.
func (e *Executor) Stop() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stopped = true
	e.cancel()
	e.executeEffects(e.machine.Abort(e.clock.Now()))
}
