// Package executor runs one core under the system's clock: it lets events in one after another, under one lock, and
// carries out the effects. Attempts are made by a Carrier. Nothing that happens under the lock waits for I/O.
//
// A request is served by its caller's own goroutine, which also makes its attempts one after another; only an
// attempt that runs beside another, or a probe, has a goroutine of its own.
package executor

import (
	"context"
	"errors"
	"sync"
	"time"

	"pumicecroft/decision"
	"pumicecroft/internal/lifecycle"
	"pumicecroft/membership"
	"pumicecroft/recovery"
)

// clockOrigin is how far before the driver's start its clock begins, so that a backend's start before ours is still a
// time above 0. One that started even earlier started long ago.
const clockOrigin = 24 * time.Hour

// Clock turns times into the core's: durations since origin, by the monotonic clock.
type Clock struct{ start time.Time }

// NewClock starts a clock.
func NewClock() Clock { return Clock{time.Now()} }

// Now is the present on the core's clock.
func (c Clock) Now() time.Duration { return clockOrigin + time.Since(c.start) }

// ToWallTime is the system's time for one of the core's.
func (c Clock) ToWallTime(d time.Duration) time.Time { return c.start.Add(d - clockOrigin) }

// FromWallTime turns a wall-clock time into the core's; the zero time stays "long ago", as does all before origin.
func (c Clock) FromWallTime(t time.Time) time.Duration {
	if t.IsZero() {
		return 0
	}
	return max(0, clockOrigin+t.Round(0).Sub(c.start.Round(0)))
}

// Response is how an attempt ended and, if it was answered, with what.
type Response struct {
	lifecycle.Outcome
	Body any // the carrier's; it goes to the caller of Serve untouched
}

// Transport makes attempts. Carry makes one and returns when it has ended; it never makes it twice. It must end
// soon once the attempt is called off. Carry and Probe are called without a lock held, by many goroutines at once.
type Transport interface {
	RoundTrip(a *Attempt) Response
	Probe(id decision.BackendID, timeout time.Duration) decision.ProbeResult
}

// BackendTransport is a Carrier that is told of the backends which it is to reach.
type BackendTransport interface {
	Transport
	// Apply takes in what has changed; it holds for every attempt that begins after it returns.
	Apply(changes []membership.Change)
	// Close lets go of all connections. Attempts that are out end by themselves.
	Close()
}

// Payload is what an attempt carries, over the protocol that it names.
type Payload interface{ Protocol() string }

// Counter is the numbers that all front doors share. Add must not wait: it calls done once, from a goroutine of its own,
// when the call was answered or its time is up.
type Counter interface {
	Add(c decision.CounterAdd, done func(decision.CounterResult))
}

// Attempt is one attempt that a Carrier makes.
type Attempt struct {
	Backend  decision.BackendID
	Deadline time.Time // it is called off then
	// NotAfter is when it must not leave any more: the carrier looks when it is about to, and ends it as not sent. Zero: none.
	NotAfter time.Time
	Payload  any // what Serve was given

	call        *call
	number      int
	decidedAt   time.Time
	mu          sync.Mutex
	cancelCause error  // why it was called off
	onCancel    func() // ends the wait that the carrier is in
}

// Why an attempt was called off.
var (
	ErrCancelled        = errors.New("the attempt was called off")
	ErrDeadlineExceeded = errors.New("the attempt's time is up")
)

// NewAttempt makes an attempt that belongs to no request, as probes and tests do.
func NewAttempt(id decision.BackendID, due time.Time, load any) *Attempt {
	return &Attempt{Backend: id, Deadline: due, Payload: load}
}

// Cancel ends the wait for an attempt, for one of the reasons above.
func (a *Attempt) Cancel(why error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.cancelCause != nil {
		return
	}
	a.cancelCause = why
	if a.onCancel != nil {
		a.onCancel()
	}
}

// CancelCause tells why the attempt was called off, or nil.
func (a *Attempt) CancelCause() error {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.cancelCause
}

// OnCancel names what ends the wait that the carrier is about to begin; nil: it waits no more. If the attempt is
// called off already it is not kept, and the reason comes back. stop runs once at most, under a lock of the
// attempt: it must not wait.
func (a *Attempt) OnCancel(stop func()) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.cancelCause == nil {
		a.onCancel = stop
	}
	return a.cancelCause
}

// SendForbidden tells whether the attempt must not leave any more: it was called off, its client has gone, its time is over, or it was decided a while
// ago and the core says no. A carrier looks right before the first byte leaves, without a lock that CallOff's stop takes.
func (a *Attempt) SendForbidden() bool { return a.SendForbiddenAt(time.Now()) }

// SendForbiddenAt is TooLate for who has just looked at the clock.
func (a *Attempt) SendForbiddenAt(now time.Time) bool {
	if !a.NotAfter.IsZero() && now.After(a.NotAfter) {
		return true
	}
	k := a.call
	if k == nil {
		return a.CancelCause() != nil
	}
	d := k.executor
	if k.ctx.Err() != nil { // its end may not be heard yet, and an attempt that was held back may be older than the look at it
		d.clientDisconnected(k)
		return true
	}
	if a.CancelCause() != nil {
		return true
	}
	if now.Sub(a.decidedAt) <= d.deadlines.MaxDecisionAge {
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	effects, may := d.machine.ConfirmSend(d.clock.Now(), k.id, a.number)
	d.execute(effects)
	return !may
}

// IfActive runs do if the attempt is not called off, and keeps it from being so meanwhile. do must not wait.
func (a *Attempt) IfActive(do func()) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.cancelCause == nil {
		do()
	}
	return a.cancelCause
}

// StartResponse asks whether the attempt's answer may begin to be passed on before it is whole; see core.Core.Began. A carrier
// calls it at most once, without a lock that CallOff's stop takes, and ends an attempt that may not as called off.
func (a *Attempt) StartResponse() bool {
	k := a.call
	if k == nil { // it belongs to no request
		return a.CancelCause() == nil
	}
	d := k.executor
	d.mu.Lock()
	defer d.mu.Unlock()
	effects, may := d.machine.ResponseStarted(d.clock.Now(), k.id, a.number)
	d.execute(effects)
	return may
}

// Result is the one final answer to a request.
type Result struct {
	Verdict    lifecycle.Verdict
	RetryAfter time.Duration   // of a refusal; 0: no advice
	Reason     decision.Reason // of a refusal
	Response   Response        // of a served request, and of a failed one whose last attempt was answered with an error
	Attempts   int             // that were made
}

// call is a request that is being served.
type call struct {
	executor     *Executor
	id           decision.RequestID
	payload      any
	inline       bool      // the serving goroutine makes the attempts
	attempting   bool      // it is making one
	waiting      bool      // it waits on wake
	wake         chan bool // holds one
	done         bool      // answer is there
	result       Result
	pending      []*Attempt  // for the serving goroutine
	attempts     []*Attempt  // all
	firstAttempt Attempt     // the room of the first one
	attemptsBuf  [1]*Attempt // of tries
	pendingBuf   [1]*Attempt // of todo

	ctx        context.Context // the client's
	arrivedAt  time.Duration
	tracked    bool        // its ctx is watched, or will be
	stopWatch  func() bool // ends the watch; nil: not yet
	prev, next *call       // among Driver.fresh
}

// contextWatchDelay is how old a request is when its ctx begins to be watched. Most are answered by then, and to watch one costs as much as a tenth of
// what the door does for it; a client that leaves sooner is noticed then.
const contextWatchDelay = 2 * time.Millisecond

// Executor runs one core. It is safe for concurrent use.
type Executor struct {
	clock       Clock
	transport   Transport
	counter     Counter                              // nil: there is none, and each call ends as not sent
	syncSources func(context.Context, time.Duration) // nil: there is nothing to wait for
	inline      bool
	deadlines   recovery.Deadlines
	ctx         context.Context // until Stop
	cancel      context.CancelFunc

	mu             sync.Mutex
	machine        *lifecycle.Machine
	timer          *time.Timer
	timerAt        time.Duration // when the timer comes
	idle           chan struct{} // closed when nothing is open, if somebody waits for that
	stopped        bool          // by Stop
	probesInFlight int           // that are out

	unwatchedHead, unwatchedTail *call         // whose ctx is not watched yet, the oldest first
	nextWatch                    time.Duration // when the oldest of them is to be; 0: there is none
}

// New starts a driver. canCancel tells whether the decision module calls attempts off whose request has ended; if
// not, each attempt has a goroutine of its own, so that none holds back its request's answer.
func New(clock Clock, c *lifecycle.Machine, carrier Transport, canCancel bool) *Executor {
	d := &Executor{clock: clock, machine: c, transport: carrier, inline: canCancel, deadlines: c.Deadlines()}
	d.ctx, d.cancel = context.WithCancel(context.Background())
	return d
}

// SetCounter names the counter; it is called before anything is served.
func (d *Executor) SetCounter(c Counter) { d.counter = c }

// SetSyncSources names what has all sources of lists take in what has arrived, where the process stood still for so long, and returns when they
// have or ctx ends. It is called before anything is served.
func (d *Executor) SetSyncSources(with func(ctx context.Context, stood time.Duration)) {
	d.syncSources = with
}

func (d *Executor) runSync(serial uint64, stood time.Duration) {
	if d.syncSources != nil {
		ctx, cancel := context.WithTimeout(d.ctx, d.deadlines.SyncTimeout)
		defer cancel()
		d.syncSources(ctx, stood)
	}
	d.step(func(now time.Duration) []lifecycle.Effect { return d.machine.SourcesSynced(now, serial) })
}

// Clock is the driver's clock.
func (d *Executor) Clock() Clock { return d.clock }

// step lets one event in and carries out what comes of it.
func (d *Executor) step(event func(now time.Duration) []lifecycle.Effect) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.execute(event(d.clock.Now()))
}

// Inspect lets what the decisions rest on be read, while nothing happens. It must not wait.
func (d *Executor) Inspect(read func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	read()
}

// UpdateEndpoints passes on news of the backends.
func (d *Executor) UpdateEndpoints(list decision.EndpointUpdate) {
	d.step(func(now time.Duration) []lifecycle.Effect { return d.machine.UpdateEndpoints(now, list) })
}

// Serve passes a request to the core and waits for its final answer. last is how long from now it may take at
// the most. When ctx ends first, the request ends as Left, and what is out for it is called off. An error means
// that the request was not let in.
func (d *Executor) Serve(ctx context.Context, req decision.Request, last time.Duration, load any) (Result, error) {
	k := &call{executor: d, id: req.ID, payload: load, inline: d.inline, ctx: ctx}
	k.attempts, k.pending = k.attemptsBuf[:0], k.pendingBuf[:0]
	d.mu.Lock()
	effects, err := d.machine.Submit(d.clock.Now(), k, req, last)
	d.execute(effects)
	if err != nil {
		d.mu.Unlock()
		return Result{}, err
	}
	if !k.done && ctx.Done() != nil {
		d.track(k)
		d.armTimer()
	}
	for {
		if len(k.pending) > 0 {
			a := k.pending[0]
			k.pending = k.pending[:copy(k.pending, k.pending[1:])]
			k.attempting = true
			d.mu.Unlock()
			r := d.roundTrip(a)
			d.mu.Lock()
			k.attempting = false
			d.attemptEnded(a, r)
			continue
		}
		if k.done {
			answer := k.result
			d.untrack(k)
			d.mu.Unlock()
			return answer, nil
		}
		k.waiting = true
		if k.wake == nil {
			k.wake = make(chan bool, 1)
		}
		d.mu.Unlock()
		<-k.wake
		d.mu.Lock()
	}
}

// track notes a request whose ctx is to be watched if it lasts; it wants the lock.
func (d *Executor) track(k *call) {
	k.arrivedAt, k.tracked = d.clock.Now(), true
	if k.prev = d.unwatchedTail; k.prev != nil {
		k.prev.next = k
	} else {
		d.unwatchedHead = k
	}
	d.unwatchedTail = k
	if d.nextWatch == 0 {
		d.nextWatch = k.arrivedAt + contextWatchDelay
	}
}

// untrack ends what enter and watch began; it wants the lock.
func (d *Executor) untrack(k *call) {
	switch {
	case !k.tracked:
	case k.stopWatch != nil:
		k.stopWatch()
	default:
		d.unlinkUnwatched(k)
	}
	k.tracked = false
}

func (d *Executor) unlinkUnwatched(k *call) {
	if k.prev != nil {
		k.prev.next = k.next
	} else {
		d.unwatchedHead = k.next
	}
	if k.next != nil {
		k.next.prev = k.prev
	} else {
		d.unwatchedTail = k.prev
	}
	k.prev, k.next = nil, nil
}

// watchContexts watches the ctx of each request that is old enough; it wants the lock.
func (d *Executor) watchContexts(now time.Duration) {
	if d.nextWatch == 0 || now < d.nextWatch {
		return
	}
	for k := d.unwatchedHead; k != nil && k.arrivedAt+contextWatchDelay <= now; k = d.unwatchedHead {
		d.unlinkUnwatched(k)
		k.stopWatch = context.AfterFunc(k.ctx, func() { d.clientDisconnected(k) })
	}
	if d.nextWatch = 0; d.unwatchedHead != nil {
		d.nextWatch = d.unwatchedHead.arrivedAt + contextWatchDelay
	}
}

// roundTrip makes an attempt, unless it was called off before it began.
func (d *Executor) roundTrip(a *Attempt) Response {
	if a.CancelCause() != nil {
		return Response{Outcome: lifecycle.Outcome{Result: decision.NotSent}}
	}
	return d.transport.RoundTrip(a)
}

// attemptEnded tells of an attempt's end; it wants the lock.
func (d *Executor) attemptEnded(a *Attempt, r Response) {
	k := a.call
	if !k.done {
		k.result.Response = r // kept if the core makes it the answer
	}
	d.execute(d.machine.AttemptEnded(d.clock.Now(), k.id, a.number, r.Outcome))
}

func (d *Executor) clientDisconnected(k *call) {
	d.step(func(now time.Duration) []lifecycle.Effect { return d.machine.Disconnect(now, k, k.id) })
}

// execute does what the core asks for, in order; it wants the lock.
func (d *Executor) execute(effects []lifecycle.Effect) {
	for i := range effects {
		e := &effects[i]
		switch e.Kind {
		case lifecycle.StartAttempt:
			d.startAttempt(e)
		case lifecycle.CancelAttempt:
			why := ErrCancelled
			if e.TimedOut {
				why = ErrDeadlineExceeded
			}
			e.Tag.(*call).attempts[e.Attempt].Cancel(why)
		case lifecycle.Respond:
			k := e.Tag.(*call)
			k.done, k.result.Verdict, k.result.RetryAfter, k.result.Reason = true, e.Verdict, e.RetryAfter, e.Reason
			if e.Verdict != lifecycle.Served && (e.Verdict != lifecycle.Failed || k.result.Response.Result != decision.ErrorResponse) {
				k.result.Response = Response{}
			}
			k.wakeUp()
		case lifecycle.ProbeBackend:
			d.probesInFlight++
			go d.probe(e.Backend, d.probesInFlight <= maxProbes)
		case lifecycle.AddToCounter:
			if d.counter == nil {
				go d.counterAnswered(decision.CounterResult{Ref: e.CounterAdd.Ref, Result: decision.NotSent})
				continue
			}
			d.counter.Add(e.CounterAdd, d.counterAnswered)
		case lifecycle.SyncSources:
			go d.runSync(e.SyncID, e.PausedFor)
		case lifecycle.Subscribe: // whoever supplies the list does so anyway
		}
	}
	d.armTimer()
	if d.idle != nil && d.machine.OpenRequests() == 0 {
		close(d.idle)
		d.idle = nil
	}
}

const (
	probeTimeout = time.Second
	maxProbes    = 64 // that are out at once; one more ends as not sent
)

func (d *Executor) probe(id decision.BackendID, may bool) {
	p := decision.ProbeResult{Backend: id, Result: decision.NotSent}
	if may {
		p = d.transport.Probe(id, probeTimeout)
	}
	d.step(func(now time.Duration) []lifecycle.Effect {
		d.probesInFlight--
		return d.machine.ProbeAnswered(now, p)
	})
}

func (d *Executor) counterAnswered(c decision.CounterResult) {
	d.step(func(now time.Duration) []lifecycle.Effect { return d.machine.CounterAnswered(now, c) })
}

func (d *Executor) startAttempt(e *lifecycle.Effect) {
	k := e.Tag.(*call)
	a := &k.firstAttempt
	if len(k.attempts) > 0 {
		a = &Attempt{}
	}
	a.Backend, a.Deadline, a.Payload, a.call, a.number, a.decidedAt = e.Backend, d.clock.ToWallTime(e.Deadline), k.payload, k, e.Attempt, d.clock.ToWallTime(e.DecidedAt)
	if e.NotAfter > 0 {
		a.NotAfter = d.clock.ToWallTime(e.NotAfter)
	}
	for len(k.attempts) < e.Attempt { // numbers of attempts that the core did not make
		k.attempts = append(k.attempts, nil)
	}
	k.attempts = append(k.attempts, a)
	k.result.Attempts++
	if k.inline && !k.attempting && len(k.pending) == 0 {
		k.pending = append(k.pending, a)
		k.wakeUp()
		return
	}
	go func() {
		r := d.roundTrip(a)
		d.mu.Lock()
		defer d.mu.Unlock()
		d.attemptEnded(a, r)
	}()
}

func (k *call) wakeUp() {
	if k.waiting {
		k.waiting = false
		k.wake <- true
	}
}

// armTimer sets the timer for what the core waits for next; it wants the lock.
func (d *Executor) armTimer() {
	at, ok := d.machine.Next()
	if d.nextWatch > 0 && (!ok || d.nextWatch < at) {
		at, ok = d.nextWatch, true
	}
	switch {
	case !ok || d.stopped:
		if d.timer != nil {
			d.timer.Stop()
		}
		d.timerAt = 0
	case at == d.timerAt:
	case d.timer == nil:
		d.timerAt = at
		d.timer = time.AfterFunc(time.Until(d.clock.ToWallTime(at)), d.tick)
	default:
		d.timerAt = at
		d.timer.Reset(time.Until(d.clock.ToWallTime(at)))
	}
}

func (d *Executor) tick() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.timerAt = 0
	now := d.clock.Now()
	d.watchContexts(now)
	d.execute(d.machine.Tick(now))
}

// OpenRequests is how many requests the core keeps.
func (d *Executor) OpenRequests() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.machine.OpenRequests()
}

// Drain lets no further request in and waits until none is open, or ctx ends. It tells how many were owed an
// answer then.
func (d *Executor) Drain(ctx context.Context) (owed int) {
	d.mu.Lock()
	d.machine.Close()
	if d.machine.OpenRequests() == 0 {
		d.mu.Unlock()
		return 0
	}
	if d.idle == nil {
		d.idle = make(chan struct{})
	}
	idle := d.idle
	d.mu.Unlock()
	select {
	case <-idle:
	case <-ctx.Done():
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.machine.Unanswered()
}

// Stop ends all that is still open, each with its final answer, and the driver's timer. Nothing is let in
// afterwards; attempts that are called off end by themselves.
func (d *Executor) Stop() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.stopped = true
	d.cancel()
	d.execute(d.machine.Abort(d.clock.Now()))
}
