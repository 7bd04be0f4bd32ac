// Package executor runs a lifecycle.Machine under the system's clock: it lets events in one after another, under
// one lock, and carries out the effects. Attempts are made by a Transport. Nothing that happens under the lock
// waits for I/O.
//
// A request is served by its caller's own goroutine, which also makes its attempts one after another; only an
// attempt that runs beside another, or a probe, has a goroutine of its own.
//
// executor.go has the requests, effects.go what the Machine asks for, attempt.go what a Transport sees of an attempt,
// contextwatch.go how it is noticed that a client has gone, transport.go and transportmux.go the Transports, and
// clock.go the clock.
package executor

import (
	"context"
	"sync"
	"time"

	"pumicecroft/decision"
	"pumicecroft/internal/lifecycle"
	"pumicecroft/recovery"
)

// Result is the one final answer to a request.
type Result struct {
	Verdict    lifecycle.Verdict
	RetryAfter time.Duration   // of a rejection; 0: no advice
	Reason     decision.Reason // of a rejection
	// Response is that of a served request, and of a failed one whose last attempt had an error response.
	Response Response
	Attempts int // that were started
}

// openRequest is a request that is being served. Its fields are guarded by Executor.mu.
type openRequest struct {
	executor     *Executor
	id           decision.RequestID
	payload      any
	inline       bool      // the serving goroutine makes the attempts
	attempting   bool      // it is making one
	waiting      bool      // it waits on wake
	wake         chan bool // holds one
	done         bool      // result is set
	result       Result
	pending      []*Attempt // for the serving goroutine to make
	attempts     []*Attempt // all, by their numbers; nil: one that the machine did not start
	firstAttempt Attempt    // the room of the first attempt, so that most requests allocate none
	attemptsBuf  [1]*Attempt
	pendingBuf   [1]*Attempt

	ctx        context.Context // the client's
	arrivedAt  time.Duration
	tracked    bool         // its ctx is watched, or will be
	stopWatch  func() bool  // ends the watch; nil: it has not begun
	prev, next *openRequest // among those whose ctx is not watched yet
}

// Executor runs one Machine. It is safe for concurrent use.
type Executor struct {
	clock       Clock
	transport   Transport
	counter     Counter // nil: each AddToCounter ends as not sent
	syncSources func(ctx context.Context, pausedFor time.Duration)
	inline      bool
	deadlines   recovery.Deadlines
	ctx         context.Context // ends at Stop
	cancel      context.CancelFunc

	mu             sync.Mutex
	machine        *lifecycle.Machine
	timer          *time.Timer
	timerAt        time.Duration // when timer fires; 0: it is not set
	idle           chan struct{} // closed once no request is open; nil: nobody waits for that
	stopped        bool
	probesInFlight int

	unwatchedHead, unwatchedTail *openRequest  // those whose ctx is not watched yet, the oldest first
	nextWatchAt                  time.Duration // when the oldest of them is to be; 0: there is none
}

// New returns an Executor of a Machine on the same clock. canCancel tells whether the decision engine cancels the
// attempts of a request that has ended; if not, each attempt has a goroutine of its own, so that none holds back
// its request's answer.
func New(clock Clock, machine *lifecycle.Machine, transport Transport, canCancel bool) *Executor {
	e := &Executor{
		clock:     clock,
		machine:   machine,
		transport: transport,
		inline:    canCancel,
		deadlines: machine.Deadlines(),
	}
	e.ctx, e.cancel = context.WithCancel(context.Background())
	return e
}

// SetCounter sets the counter that all gateways share. It must be called before anything is served.
func (e *Executor) SetCounter(counter Counter) { e.counter = counter }

// SetSyncSources sets the function that makes all endpoint sources apply what they have received, after the process
// was paused for so long. The function returns when they have or ctx ends. It must be set before anything is served;
// unset, nothing is waited for.
func (e *Executor) SetSyncSources(sync func(ctx context.Context, pausedFor time.Duration)) {
	e.syncSources = sync
}

// Clock is the clock of the Executor and its Machine.
func (e *Executor) Clock() Clock { return e.clock }

// OpenRequests is how many requests the Machine keeps.
func (e *Executor) OpenRequests() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.machine.OpenRequests()
}

// Inspect calls read while nothing else happens, so that it can read what the decisions rest on. read must not
// block.
func (e *Executor) Inspect(read func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	read()
}

// UpdateEndpoints passes an update of the backends on.
func (e *Executor) UpdateEndpoints(update decision.EndpointUpdate) {
	e.handleEvent(func(now time.Duration) []lifecycle.Effect { return e.machine.UpdateEndpoints(now, update) })
}

// Serve submits a request and waits for its final answer, for responseTimeout at the most. When ctx ends first, the
// request ends as ClientDisconnected, and its attempts are cancelled. The error is that of Machine.Submit.
func (e *Executor) Serve(ctx context.Context, event decision.Request,
	responseTimeout time.Duration, payload any) (Result, error) {
	request := &openRequest{executor: e, id: event.ID, payload: payload, inline: e.inline, ctx: ctx}
	request.attempts, request.pending = request.attemptsBuf[:0], request.pendingBuf[:0]
	e.mu.Lock() // unlocked without defer, as it is not held while a transport runs, which may panic
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

// makePending makes the first pending attempt of a request, without the lock, which the caller holds.
func (e *Executor) runPendingAttempt(request *openRequest) {
	attempt := request.pending[0]
	request.pending = request.pending[:copy(request.pending, request.pending[1:])]
	request.attempting = true
	e.mu.Unlock()
	response := e.roundTrip(attempt)
	e.mu.Lock()
	request.attempting = false
	e.attemptEnded(attempt, response)
}

// awaitWake waits for wakeUp, without the lock, which the caller holds.
func (e *Executor) waitForWakeUp(request *openRequest) {
	request.waiting = true
	if request.wake == nil {
		request.wake = make(chan bool, 1)
	}
	e.mu.Unlock()
	<-request.wake
	e.mu.Lock()
}

// wakeUp has the serving goroutine look at its request again. The caller holds the lock.
func (r *openRequest) wakeUp() {
	if r.waiting {
		r.waiting = false
		r.wake <- true
	}
}

// step lets one event in and executes its effects.
func (e *Executor) handleEvent(event func(now time.Duration) []lifecycle.Effect) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.executeEffects(event(e.clock.Now()))
}

// armTimer sets the timer for what the machine or the contexts' watch waits for next. The caller holds the lock.
func (e *Executor) armTimer() {
	at, ok := e.machine.Next()
	if e.nextWatchAt > 0 && (!ok || e.nextWatchAt < at) {
		at, ok = e.nextWatchAt, true
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

// Drain closes the Machine and waits until no request is open, or ctx ends. It returns how many requests have no
// answer then.
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

// Stop answers all requests that have no answer yet as Aborted, and stops the timer. Nothing can be submitted
// afterwards; attempts that are cancelled end by themselves.
func (e *Executor) Stop() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stopped = true
	e.cancel()
	e.executeEffects(e.machine.Abort(e.clock.Now()))
}
