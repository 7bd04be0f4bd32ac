// Package lifecycle is the life of a request: it arrives, the decision module says what becomes of it, attempts
// start and end, timers come due, attempts are called off, and it gets one final answer.
//
// The package is pure. Events and times go in by the methods of Core, effects come out as values, and a driver
// carries them out at once and in order: over sockets, in memory, or in a simulated world. It opens nothing,
// reads no clock, starts no goroutine and takes no lock; a Core is owned by its driver, which lets one caller in
// at a time. It depends on package decision alone. The shape is that of etcd's raft library.
//
// Three promises hold for whatever a driver does in whatever order, and are what the tests check: each request
// that was let in gets exactly one Final; each Start is followed by exactly one outcome at the decision module;
// and once a request has its Final and its attempts have ended, nothing of it is kept, but for the bounded
// memory of ids whose effects must not happen again.
package lifecycle

import (
	"container/heap"
	"errors"
	"time"

	"pumicecroft/decision"
	"pumicecroft/recovery"
)

// Why a request is not let in. None of these has led to an attempt.
var (
	ErrDuplicateID     = errors.New("a request with this id is open")
	ErrReplayed        = errors.New("a request with this id may have run already")
	ErrTooManyRequests = errors.New("as many requests as may be are open")
	ErrClosed          = errors.New("no further requests are taken")
)

// A caller's time counts from when it asked, which over a network is before we see it, and its answer must reach it before
// that time is up. So the decision module is told of less time by PatienceMargin, and the last moment, at which a request
// without an answer is answered here, lies LastMargin before the end.
const (
	TimeoutMargin  = 40 * time.Millisecond
	ResponseMargin = 20 * time.Millisecond
)

// DecisionEngine decides. *decision.Gateway is the one that ships; tests script others.
type DecisionEngine interface {
	Handle(now time.Duration, ev decision.Event, actions []decision.Action) []decision.Action
}

// Limits bound what a core keeps. What is 0 takes the default.
type Limits struct {
	MaxOpenRequests  int           // requests that are open at once, those with only an attempt left among them; 16,384
	MaxAttempts      int           // attempts that one request may have; 16
	MaxRememberedIDs int           // ids remembered so that their effects do not happen again; 4,096
	IDRetention      time.Duration // how long such an id is remembered; 10 s
	// DetectPauses has the core notice that its process stood still, and hold attempts back until what has arrived meanwhile has been
	// taken in (CatchUp). Next is then never further away than Times().Pulse.
	DetectPauses bool
	// DrainGrace is for how long a backend that drains may be sent to; how soon a standstill is noticed follows from it. 0: 2 s.
	DrainGrace time.Duration
}

func (l Limits) withDefaults() Limits {
	if l.MaxOpenRequests <= 0 {
		l.MaxOpenRequests = 16 << 10
	}
	if l.MaxAttempts <= 0 {
		l.MaxAttempts = 16
	}
	if l.MaxRememberedIDs <= 0 {
		l.MaxRememberedIDs = 4 << 10
	}
	if l.IDRetention <= 0 {
		l.IDRetention = 10 * time.Second
	}
	return l
}

// EffectKind says what an effect asks of the driver.
type EffectKind uint8

// The kinds of effects.
const (
	StartAttempt  EffectKind = iota // start attempt Attempt at Backend; it ends by Due. Owed: one call of Ended
	CancelAttempt                   // end that attempt now; its Ended still follows
	Respond                         // the request's one final answer: Verdict, with RetryAfter or with Attempt's answer
	ProbeBackend                    // ask Backend for its load. Owed: one call of Probed
	Subscribe                       // ask for changes of the list of backends
	AddToCounter                    // ask the counter of all front doors as Counting says. Owed: one call of Counted
	SyncSources                     // have all sources take in what has arrived. Owed: one call of CaughtUp with Serial
)

// Verdict is how a request ended.
type Verdict uint8

// The verdicts.
const (
	Served             Verdict = iota // with the answer of Attempt
	Rejected                          // trying again is harmless
	Failed                            // nothing is promised
	DeadlineExceeded                  // the last moment came before any other answer; nothing is promised
	ClientDisconnected                // the client went away; nobody is owed anything
	Aborted                           // the core was shut before the request had another answer; nothing is promised
)

// Effect is one thing that the driver must do. Which fields count depends on the kind.
type Effect struct {
	Kind       EffectKind
	Tag        any // what Arrive was given, for Start, CallOff and Final
	Request    decision.RequestID
	Attempt    int
	Backend    decision.BackendID
	Deadline   time.Duration       // of a Start
	DecidedAt  time.Duration       // of a Start: when it was decided
	NotAfter   time.Duration       // of a Start: it must not leave after that; 0: none
	TimedOut   bool                // of a CallOff: the attempt's time is up
	Verdict    Verdict             // of a Final
	RetryAfter time.Duration       // of a Final that refuses; 0: no advice
	Reason     decision.Reason     // of a Final that refuses
	CounterAdd decision.CounterAdd // of a Count
	SyncID     uint64              // of a CatchUp
	PausedFor  time.Duration       // of a CatchUp: for how long the process may have stood still
}

// Outcome is how an attempt ended, as its driver saw it.
type Outcome struct {
	Result      decision.Result
	HasUsage    bool
	Usage       float64 // percent; see decision.Outcome
	SettledCost float64
	LoadReport  []float64
}

// attempt is one attempt.
type attempt struct {
	backend      decision.BackendID
	startedAt    time.Duration
	deadline     time.Duration
	open         bool
	cancelled    bool
	awaitingSync bool          // its Start waits until the core has caught up
	drained      bool          // its backend has been told to drain, or is gone, since it was chosen
	pausedFor    time.Duration // for how long the process stood still while it was out
	result       decision.Result
	prev         attemptRef // among those that are open at the backend
	next         attemptRef
}

// attemptRef names a try, as tries move in memory.
type attemptRef struct {
	call   *call
	number int
}

func (r attemptRef) attempt() *attempt { return &r.call.attempts[r.number] }

// call is a request that was let in, until it has its Final and all of its attempts have ended.
type call struct {
	id                decision.RequestID
	tag               any
	idempotency       decision.Idempotency
	deadline          time.Duration // attempts end by then
	responseDeadline  time.Duration // and this is when the request is answered if nothing else has been
	answered          bool
	respondingAttempt int // the attempt whose answer is being passed on, counted from 1; 0: none
	inFlight          int // attempts that have not ended
	attempts          []attempt
	deadlineTimer     timer // at due, then at last
	engineTimer       timer // the first that the decision module set for it
	extraTimers       []*timer
	attemptsBuf       [2]attempt // what tries begins with
}

// timer is an entry of the heap.
type timer struct {
	at      time.Duration
	seq     uint64 // among equal times the one that was set first comes first
	index   int    // in the heap, from 1; 0: not set
	call    *call  // nil: the decision module's own
	token   uint64
	kind    timerKind
	attempt int
}

type timerKind uint8

const (
	timerEngine timerKind = iota
	timerDeadline
	timerAttempt
)

// Machine runs the requests of one front door. It is not safe for concurrent use. Each method that returns effects
// returns them in a slice that is good until the next call. Times are durations on one clock whose origin does
// not matter; a time before an earlier one counts as that.
type Machine struct {
	engine       DecisionEngine
	limits       Limits
	idempotency  map[string]decision.Idempotency // of the classes
	now          time.Duration
	calls        map[decision.RequestID]*call
	openAttempts map[decision.BackendID]attemptRef // the latest try that is open at a backend
	timers       timerHeap
	seq          uint64
	events       []decision.Event // not yet handled; an action may add to them
	handling     bool             // they are being handled
	actions      []decision.Action
	effects      []Effect
	closed       bool
	unmatched    uint64

	pauses      recovery.PauseDetector
	pendingSync uint64 // the serial of the CatchUp that is owed its answer; 0: none
	lastSync    uint64
	heldStarts  []heldStart

	rememberedIDs   map[decision.RequestID]bool
	rememberedOrder []rememberedID // oldest first
}

type rememberedID struct {
	id    decision.RequestID
	until time.Duration
}

// New starts a core on a decision module that has heard nothing yet. The classes tell which effects must stay
// single.
func New(d DecisionEngine, classes []decision.Class, limits Limits, now time.Duration) *Machine {
	c := &Machine{engine: d, limits: limits.withDefaults(), now: now, calls: map[decision.RequestID]*call{}, openAttempts: map[decision.BackendID]attemptRef{},
		idempotency: map[string]decision.Idempotency{}, rememberedIDs: map[decision.RequestID]bool{},
		pauses: recovery.PauseDetector{Deadlines: recovery.DeadlinesFor(limits.DrainGrace)}}
	for _, cl := range classes {
		c.idempotency[cl.Name] = cl.Idempotency
	}
	return c
}

// Deadlines are how old what leaves may be, and how long the sources have to catch up. They do not change.
func (c *Machine) Deadlines() recovery.Deadlines { return c.pauses.Deadlines }

// OpenRequests is how many requests are kept: without a Final, or with an attempt that has not ended.
func (c *Machine) OpenRequests() int { return len(c.calls) }

// Unanswered is how many requests have no Final yet.
func (c *Machine) Unanswered() int {
	n := 0
	for _, k := range c.calls { // counts only
		if !k.answered {
			n++
		}
	}
	return n
}

// PendingTimers is how many things are waited for: the decision module's, and those of requests that are open.
func (c *Machine) PendingTimers() int { return len(c.timers) }

// RememberedIDs is how many ids are remembered so that their effects do not happen again.
func (c *Machine) RememberedIDs() int { return len(c.rememberedOrder) }

// UnmatchedOutcomes is how many actions the decision module asked for that fit no request here. Any is an error of that
// module; they are passed over.
func (c *Machine) UnmatchedOutcomes() uint64 { return c.unmatched }

// Next is when Tick wants to be called, if nothing else happens before.
func (c *Machine) Next() (at time.Duration, ok bool) {
	at, ok = c.nextTimer()
	if pulse := c.pauses.NextCheck(); c.limits.DetectPauses && (!ok || pulse < at) {
		return pulse, true
	}
	return at, ok
}

// nextTimer is the first time that anything waits for.
func (c *Machine) nextTimer() (at time.Duration, ok bool) {
	if len(c.timers) == 0 {
		return 0, false
	}
	return c.timers[0].at, true
}

// Tick lets what has come due happen. Calling it early or late does no harm: timers never come early, and those
// that are late come in the order of their times.
func (c *Machine) Tick(now time.Duration) []Effect {
	c.advance(now)
	return c.effects
}

// Submit lets a request in, or says why not. Attempts end by req.Patience from now; last is how long from now
// until it is answered as Late at the latest.
func (c *Machine) Submit(now time.Duration, tag any, req decision.Request, last time.Duration) ([]Effect, error) {
	c.advance(now)
	effect, known := c.idempotency[req.Class]
	switch {
	case c.closed:
		return c.effects, ErrClosed
	case c.calls[req.ID] != nil:
		return c.effects, ErrDuplicateID
	case len(c.calls) >= c.limits.MaxOpenRequests:
		return c.effects, ErrTooManyRequests
	case known && effect != decision.Idempotent && c.isRemembered(req.ID):
		return c.effects, ErrReplayed
	}
	k := &call{id: req.ID, tag: tag, idempotency: effect, deadline: c.now + req.Timeout, responseDeadline: c.now + max(last, req.Timeout, 0)}
	k.attempts = k.attemptsBuf[:0]
	c.calls[k.id] = k
	c.dispatch(req)
	if c.calls[k.id] == k {
		c.setTimer(&k.deadlineTimer, timer{at: max(k.deadline, c.now), call: k, kind: timerDeadline})
	}
	return c.effects, nil
}

// Disconnect tells that the client of a request is gone. Without an open request of that id, or with one that another
// Arrive let in (its tag differs), nothing happens.
func (c *Machine) Disconnect(now time.Duration, tag any, id decision.RequestID) []Effect {
	c.advance(now)
	if k := c.calls[id]; k != nil && !k.answered && k.tag == tag {
		c.abandon(k, ClientDisconnected)
	}
	return c.effects
}

// ResponseStarted asks whether an attempt's answer may begin to be passed on before it is whole. If so the request belongs to that
// attempt: other attempts are called off, no further one is made, and the attempt's end is the request's. It may not once
// the request has ended, the attempt is called off, or another one's answer has begun.
func (c *Machine) ResponseStarted(now time.Duration, id decision.RequestID, attempt int) (effects []Effect, may bool) {
	c.advance(now)
	k := c.calls[id]
	if k == nil || k.answered || attempt < 0 || attempt >= len(k.attempts) || !k.attempts[attempt].open || k.attempts[attempt].cancelled || k.respondingAttempt > 0 {
		return c.effects, false
	}
	k.respondingAttempt = attempt + 1
	c.dispatch(decision.ResponseStarted{Request: id, Attempt: attempt})
	for i := range k.attempts {
		if i != attempt {
			c.cancelAttempt(k, i, false)
		}
	}
	return c.effects, !k.answered && !k.attempts[attempt].cancelled // the decision module may have ended it
}

// AttemptEnded tells how an attempt ended. The first good answer of a request is served. A second word on one attempt
// is passed over.
func (c *Machine) AttemptEnded(now time.Duration, id decision.RequestID, attempt int, o Outcome) []Effect {
	c.advance(now)
	k := c.calls[id]
	if k == nil || attempt < 0 || attempt >= len(k.attempts) || !k.attempts[attempt].open {
		return c.effects
	}
	t := &k.attempts[attempt]
	t.result = o.Result
	c.attemptClosed(k, attempt)
	switch mine := k.respondingAttempt == attempt+1; {
	case k.respondingAttempt > 0 && !mine: // it was called off for the one that has begun
	case o.Result == decision.Succeeded:
		c.finish(k, Effect{Verdict: Served, Attempt: attempt})
	case mine && o.Result == decision.TimedOut:
		c.finish(k, Effect{Verdict: DeadlineExceeded})
	case mine: // part of its answer is with the client: there is nothing to make again
		c.finish(k, Effect{Verdict: Failed})
	}
	told := decision.Outcome{Request: id, Backend: t.backend, Attempt: attempt, Result: o.Result,
		Latency: c.now - t.startedAt, Final: k.answered, HasUsage: o.HasUsage, Usage: o.Usage, SettledCost: o.SettledCost, LoadReport: o.LoadReport}
	if t.pausedFor > 0 {
		told = discountPause(told, t.pausedFor)
	}
	c.dispatch(told)
	c.releaseIfDone(k)
	return c.effects
}

// UpdateEndpoints passes on news of the backends.
func (c *Machine) UpdateEndpoints(now time.Duration, list decision.EndpointUpdate) []Effect {
	c.advance(now)
	c.markDrained(&list)
	c.dispatch(list)
	return c.effects
}

// ProbeAnswered passes on the end of a probe.
func (c *Machine) ProbeAnswered(now time.Duration, p decision.ProbeResult) []Effect {
	c.advance(now)
	c.dispatch(p)
	return c.effects
}

// CounterAnswered passes on the answer to a Count.
func (c *Machine) CounterAnswered(now time.Duration, a decision.CounterResult) []Effect {
	c.advance(now)
	c.dispatch(a)
	return c.effects
}

// Close stops Arrive from letting anything in. What is open goes on.
func (c *Machine) Close() { c.closed = true }

// Abort ends all that has no Final yet, and calls off all attempts. It is the end of a driver's patience.
func (c *Machine) Abort(now time.Duration) []Effect {
	c.closed = true
	c.advance(now)
	for _, id := range sortedIDs(c.calls) {
		k := c.calls[id]
		if k == nil {
			continue
		}
		if !k.answered {
			c.abandon(k, Aborted)
		}
		for i := range k.attempts {
			c.cancelAttempt(k, i, false)
		}
	}
	return c.effects
}

// advance is the start of each event: what was due before it happens before it.
func (c *Machine) advance(now time.Duration) {
	c.now, c.effects = max(c.now, now), c.effects[:0]
	if c.limits.DetectPauses {
		due, waited := c.nextTimer()
		if d := c.pauses.Observe(c.now, due, waited); d > 0 {
			c.onPause(d)
		}
	}
	// A timer set from here on waits for the next call, so that none can keep this one from ending.
	for before := c.seq; len(c.timers) > 0 && c.timers[0].at <= c.now && c.timers[0].seq <= before; {
		t := heap.Pop(&c.timers).(*timer)
		switch t.kind {
		case timerEngine:
			c.dispatch(decision.Timer{Token: t.token})
		case timerAttempt:
			c.cancelAttempt(t.call, t.attempt, true)
		case timerDeadline:
			c.onDeadline(t.call)
		}
	}
}

// onDeadline ends the attempts of a request at its due time, and at its last moment the request itself.
func (c *Machine) onDeadline(k *call) {
	for i := range k.attempts {
		c.cancelAttempt(k, i, true)
	}
	if k.answered {
		return
	}
	if c.now < k.responseDeadline {
		c.setTimer(&k.deadlineTimer, timer{at: k.responseDeadline, call: k, kind: timerDeadline})
		return
	}
	c.abandon(k, DeadlineExceeded)
}

// abandon ends a request without the decision module's word.
func (c *Machine) abandon(k *call, v Verdict) {
	c.finish(k, Effect{Verdict: v})
	c.dispatch(decision.ClientDisconnected{Request: k.id})
	c.releaseIfDone(k)
}

// dispatch passes one event to the decision module, and then those that its actions led to.
func (c *Machine) dispatch(ev decision.Event) {
	c.events = append(c.events, ev)
	c.drainEvents()
}

// drainEvents passes on what waits, unless that is being done.
func (c *Machine) drainEvents() {
	if c.handling {
		return
	}
	c.handling = true
	defer func() { c.handling = false }()
	for i := 0; i < len(c.events); i++ {
		c.actions = c.engine.Handle(c.now, c.events[i], c.actions[:0])
		for _, a := range c.actions {
			c.apply(a)
		}
	}
	clear(c.events)
	c.events = c.events[:0]
}

func (c *Machine) apply(a decision.Action) {
	switch a := a.(type) {
	case decision.StartAttempt:
		c.startAttempt(a)
	case decision.Reject:
		c.respond(a.Request, Effect{Verdict: Rejected, RetryAfter: a.RetryAfter, Reason: a.Reason})
	case decision.Fail:
		c.respond(a.Request, Effect{Verdict: Failed})
	case decision.CancelAttempt:
		if k := c.calls[a.Request]; k != nil && a.Attempt >= 0 && a.Attempt < len(k.attempts) {
			c.cancelAttempt(k, a.Attempt, c.now >= k.attempts[a.Attempt].deadline)
		}
	case decision.SetTimer:
		c.setEngineTimer(a)
	case decision.Probe:
		c.effects = append(c.effects, Effect{Kind: ProbeBackend, Backend: a.Backend})
	case decision.Subscribe:
		c.effects = append(c.effects, Effect{Kind: Subscribe})
	case decision.CounterAdd:
		c.effects = append(c.effects, Effect{Kind: AddToCounter, CounterAdd: a})
	default:
		c.unmatched++
	}
}

// startAttempt starts an attempt. One for a request that has its final answer, or too many attempts, is not made, and the
// decision module hears so.
func (c *Machine) startAttempt(a decision.StartAttempt) {
	k := c.calls[a.Request]
	if k == nil {
		c.unmatched++
		return
	}
	n := len(k.attempts)
	t := attempt{backend: a.Backend, startedAt: c.now, deadline: k.deadline}
	if k.answered || k.respondingAttempt > 0 || n >= c.limits.MaxAttempts {
		t.result = decision.NotSent
		k.attempts = append(k.attempts, t)
		c.events = append(c.events, decision.Outcome{Request: k.id, Backend: a.Backend, Attempt: n,
			Result: decision.NotSent, Final: k.answered})
		return
	}
	if a.Timeout > 0 && c.now+a.Timeout < k.deadline {
		t.deadline = c.now + a.Timeout
		c.setExtraTimer(k, timer{at: t.deadline, call: k, kind: timerAttempt, attempt: n})
	}
	t.awaitingSync = c.pendingSync > 0
	k.attempts = append(k.attempts, t)
	c.attemptOpened(k, n)
	if t.awaitingSync {
		c.heldStarts = append(c.heldStarts, heldStart{k, n, a.NotAfter})
		return
	}
	c.effects = append(c.effects, Effect{Kind: StartAttempt, Tag: k.tag, Request: k.id, Attempt: n, Backend: a.Backend, Deadline: t.deadline, DecidedAt: c.now, NotAfter: a.NotAfter})
}

// attemptOpened has a try be found by its backend until close.
func (c *Machine) attemptOpened(k *call, n int) {
	k.inFlight++
	t, me := &k.attempts[n], attemptRef{k, n}
	t.open, t.next = true, c.openAttempts[t.backend]
	if t.next.call != nil {
		t.next.attempt().prev = me
	}
	c.openAttempts[t.backend] = me
}

func (c *Machine) attemptClosed(k *call, n int) {
	k.inFlight--
	t := &k.attempts[n]
	switch {
	case t.prev.call != nil:
		t.prev.attempt().next = t.next
	case t.next.call != nil:
		c.openAttempts[t.backend] = t.next
	default:
		delete(c.openAttempts, t.backend)
	}
	if t.next.call != nil {
		t.next.attempt().prev = t.prev
	}
	t.open, t.prev, t.next = false, attemptRef{}, attemptRef{}
}

// cancelAttempt ends the wait for an attempt, once.
func (c *Machine) cancelAttempt(k *call, n int, timedOut bool) {
	t := &k.attempts[n]
	if !t.open || t.cancelled {
		return
	}
	t.cancelled = true
	if t.awaitingSync { // nobody else has heard of it
		c.endHeldAttempt(k, n)
		return
	}
	c.effects = append(c.effects, Effect{Kind: CancelAttempt, Tag: k.tag, Request: k.id, Attempt: n, Backend: t.backend,
		TimedOut: timedOut})
}

// respond gives a request the final answer that the decision module chose. Only the first one counts.
func (c *Machine) respond(id decision.RequestID, e Effect) {
	k := c.calls[id]
	if k == nil || k.answered {
		c.unmatched++
		return
	}
	if k.respondingAttempt > 0 { // what is half with the client is not refused
		e = Effect{Verdict: Failed}
	}
	c.finish(k, e)
	c.releaseIfDone(k)
}

func (c *Machine) finish(k *call, e Effect) {
	if k.answered {
		return
	}
	k.answered = true
	e.Kind, e.Tag, e.Request = Respond, k.tag, k.id
	c.effects = append(c.effects, e)
	// Timers of attempts stay until these have ended.
	c.clearTimer(&k.engineTimer)
	for _, t := range k.extraTimers {
		if t.kind == timerEngine {
			c.clearTimer(t)
		}
	}
}

// releaseIfDone drops a request of which nothing is left.
func (c *Machine) releaseIfDone(k *call) {
	if !k.answered || k.inFlight > 0 || c.calls[k.id] != k {
		return
	}
	delete(c.calls, k.id)
	c.clearTimer(&k.deadlineTimer)
	c.clearTimer(&k.engineTimer)
	for _, t := range k.extraTimers {
		c.clearTimer(t)
	}
	if k.idempotency != decision.Idempotent && k.mayHaveExecuted() {
		c.remember(k.id)
	}
}

func (k *call) mayHaveExecuted() bool {
	for _, t := range k.attempts {
		switch t.result {
		case decision.Rejected, decision.ConnectFailed, decision.NotSent:
		default:
			return true
		}
	}
	return false
}

// isRemembered tells whether an id's request may have run lately, and lets go of ids that are old.
func (c *Machine) isRemembered(id decision.RequestID) bool {
	for len(c.rememberedOrder) > 0 && c.rememberedOrder[0].until <= c.now {
		c.forgetOldestID()
	}
	return c.rememberedIDs[id]
}

func (c *Machine) remember(id decision.RequestID) {
	if c.isRemembered(id) {
		return
	}
	if len(c.rememberedOrder) >= c.limits.MaxRememberedIDs {
		c.forgetOldestID()
	}
	c.rememberedIDs[id] = true
	c.rememberedOrder = append(c.rememberedOrder, rememberedID{id, c.now + c.limits.IDRetention})
}

func (c *Machine) forgetOldestID() {
	delete(c.rememberedIDs, c.rememberedOrder[0].id)
	c.rememberedOrder = c.rememberedOrder[1:]
}
