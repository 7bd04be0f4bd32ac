// Package lifecycle is the state machine of a request: it is submitted, the decision engine says what becomes of
// it, attempts start and end, timers fire, attempts are cancelled, and it gets exactly one final answer.
//
// The package is pure. Events and times go in by the methods of Machine, effects come out as values, and an
// executor carries them out at once and in order: over sockets, in memory, or in a simulated world. The package
// opens nothing, reads no clock, starts no goroutine and takes no lock. A Machine is owned by its executor, which
// lets one caller in at a time. The shape is that of etcd's raft library.
//
// Three invariants hold whatever an executor does in whatever order, and the tests check them: each submitted
// request gets exactly one Respond; each StartAttempt is followed by exactly one outcome at the decision engine;
// and once a request is answered and its attempts have ended, nothing of it is kept but the bounded memory of ids
// that must not execute again.
//
// machine.go has the events' common path, requests.go and attempts.go the two state machines, effects.go what
// comes out, pause.go the pauses of the process, replays.go the memory of ids, timers.go the timer heap.
package lifecycle

import (
	"container/heap"
	"time"

	"pumicecroft/decision"
	"pumicecroft/recovery"
)

// DecisionEngine decides what becomes of requests. *decision.Engine is the one in use; tests script others. Handle
// is called by one caller at a time, appends its actions to actions, and must not block.
type DecisionEngine interface {
	Handle(now time.Duration, event decision.Event, actions []decision.Action) []decision.Action
}

// Defaults of Limits.
const (
	defaultMaxOpenRequests  = 16 << 10
	defaultMaxAttempts      = 16
	defaultMaxRememberedIDs = 4 << 10
	defaultIDRetention      = 10 * time.Second
)

// Limits bound what a Machine keeps. A field that is zero or negative takes its default.
type Limits struct {
	// MaxOpenRequests is how many requests may be open at once, counting those that are answered and still have
	// an attempt in flight. Default: 16,384.
	MaxOpenRequests int
	// MaxAttempts is how many attempts one request may have. Default: 16.
	MaxAttempts int
	// MaxRememberedIDs is how many ids of requests that may have executed are remembered. Default: 4,096.
	MaxRememberedIDs int
	// IDRetention is how long such an id is remembered. Default: 10 s.
	IDRetention time.Duration
	// DetectPauses makes the Machine notice that its process was paused, and hold attempts back until the sources
	// have synced (SyncSources). Next is then never further away than Deadlines().CheckInterval.
	DetectPauses bool
	// DrainGrace is how long after a backend is told to drain a gateway that does not know it yet may still send to
	// it; how soon a pause is noticed follows from it.
	// Default: 2 s, which is also the longest that counts.
	DrainGrace time.Duration
}

func (l Limits) withDefaults() Limits {
	if l.MaxOpenRequests <= 0 {
		l.MaxOpenRequests = defaultMaxOpenRequests
	}
	if l.MaxAttempts <= 0 {
		l.MaxAttempts = defaultMaxAttempts
	}
	if l.MaxRememberedIDs <= 0 {
		l.MaxRememberedIDs = defaultMaxRememberedIDs
	}
	if l.IDRetention <= 0 {
		l.IDRetention = defaultIDRetention
	}
	return l
}

// Machine runs the requests of one gateway. It is not safe for concurrent use. Each method that returns effects
// returns them in a slice that is valid until the next call. Times are durations on one clock whose origin does
// not matter; a time before an earlier one counts as that one.
type Machine struct {
	engine       DecisionEngine
	limits       Limits
	idempotency  map[string]decision.Idempotency // by class
	now          time.Duration
	requests     map[decision.RequestID]*openRequest
	openAttempts map[decision.BackendID]attemptRef // the latest open attempt at a backend
	timers       timerHeap
	timerSeq     uint64
	events       []decision.Event // not yet handled; an action may add to them
	handling     bool             // events are being handled
	actions      []decision.Action
	effects      []Effect
	closed       bool
	unmatched    uint64

	pauses      recovery.PauseDetector
	pendingSync uint64 // the SyncID that awaits SourcesSynced; 0: none
	lastSync    uint64
	heldStarts  []heldStart

	rememberedIDs   map[decision.RequestID]bool
	rememberedOrder []rememberedID // oldest first
}

// New returns a Machine on an engine that has handled nothing yet. The classes tell which requests must not
// execute twice.
func New(engine DecisionEngine, classes []decision.Class, limits Limits, now time.Duration) *Machine {
	m := &Machine{
		engine:        engine,
		limits:        limits.withDefaults(),
		idempotency:   map[string]decision.Idempotency{},
		now:           now,
		requests:      map[decision.RequestID]*openRequest{},
		openAttempts:  map[decision.BackendID]attemptRef{},
		pauses:        recovery.PauseDetector{Deadlines: recovery.DeadlinesFor(limits.DrainGrace)},
		rememberedIDs: map[decision.RequestID]bool{},
	}
	for _, class := range classes {
		m.idempotency[class.Name] = class.Idempotency
	}
	return m
}

// Deadlines are the time limits around a pause of the process. They do not change.
func (m *Machine) Deadlines() recovery.Deadlines { return m.pauses.Deadlines }

// OpenRequests is how many requests are kept: without an answer, or with an attempt in flight.
func (m *Machine) OpenRequests() int { return len(m.requests) }

// Unanswered is how many requests have no final answer yet.
func (m *Machine) Unanswered() int {
	n := 0
	for _, request := range m.requests { // counts only: the order does not matter
		if !request.answered {
			n++
		}
	}
	return n
}

// PendingTimers is how many timers are set: the engine's own, and those of open requests.
func (m *Machine) PendingTimers() int { return len(m.timers) }

// RememberedIDs is how many ids of requests that may have executed are remembered.
func (m *Machine) RememberedIDs() int { return len(m.rememberedOrder) }

// UnmatchedActions is how many actions of the engine matched no request here. Each is an error of the engine;
// they are ignored.
func (m *Machine) UnmatchedActions() uint64 { return m.unmatched }

// Next is when Tick must be called if no other method is called before; !ok: not at all.
func (m *Machine) Next() (at time.Duration, ok bool) {
	at, ok = m.nextTimer()
	if check := m.pauses.NextCheck(); m.limits.DetectPauses && (!ok || check < at) {
		return check, true
	}
	return at, ok
}

// Tick fires the timers that are due. Calling it early or late does no harm: no timer fires early, and those that
// are late fire in the order of their times.
func (m *Machine) Tick(now time.Duration) []Effect {
	m.advance(now)
	return m.effects
}

// UpdateEndpoints passes an update of the backends on to the engine.
func (m *Machine) UpdateEndpoints(now time.Duration, update decision.EndpointUpdate) []Effect {
	m.advance(now)
	m.markDrained(&update)
	m.dispatch(update)
	return m.effects
}

// ProbeAnswered passes the end of a ProbeBackend on to the engine.
func (m *Machine) ProbeAnswered(now time.Duration, result decision.ProbeResult) []Effect {
	m.advance(now)
	m.dispatch(result)
	return m.effects
}

// CounterAnswered passes the answer to an AddToCounter on to the engine.
func (m *Machine) CounterAnswered(now time.Duration, result decision.CounterResult) []Effect {
	m.advance(now)
	m.dispatch(result)
	return m.effects
}

// Close has Submit return ErrClosed from now on. Open requests go on.
func (m *Machine) Close() { m.closed = true }

// Abort closes the Machine, answers all requests that have no answer yet as Aborted, and cancels all attempts.
func (m *Machine) Abort(now time.Duration) []Effect {
	m.closed = true
	m.advance(now)
	for _, id := range sortedIDs(m.requests) {
		request := m.requests[id]
		if request == nil {
			continue
		}
		if !request.answered {
			m.abandon(request, Aborted)
		}
		for i := range request.attempts {
			m.cancelAttempt(request, i, false)
		}
	}
	return m.effects
}

// advance begins each event: a pause is noticed and what was due before the event happens before it.
func (m *Machine) advance(now time.Duration) {
	m.now, m.effects = max(m.now, now), m.effects[:0]
	if m.limits.DetectPauses {
		due, waiting := m.nextTimer()
		if paused := m.pauses.Observe(m.now, due, waiting); paused > 0 {
			m.onPause(paused)
		}
	}
	m.fireTimers()
}

// fireTimers fires the timers that are due. One that is set meanwhile waits for the next call, so that a timer
// which sets itself anew cannot keep this call from ending.
func (m *Machine) fireTimers() {
	newest := m.timerSeq
	for len(m.timers) > 0 && m.timers[0].at <= m.now && m.timers[0].seq <= newest {
		t := heap.Pop(&m.timers).(*timer)
		switch t.kind {
		case timerEngine:
			m.dispatch(decision.Timer{Token: t.token})
		case timerAttempt:
			m.cancelAttempt(t.request, t.attempt, true)
		case timerDeadline:
			m.onDeadline(t.request)
		}
	}
}

// dispatch passes an event to the engine, and then those that its actions led to.
func (m *Machine) dispatch(event decision.Event) {
	m.events = append(m.events, event)
	m.drainEvents()
}

// drainEvents handles the queued events, unless a caller further up does so already.
func (m *Machine) drainEvents() {
	if m.handling {
		return
	}
	m.handling = true
	defer func() { m.handling = false }()
	for i := 0; i < len(m.events); i++ {
		m.actions = m.engine.Handle(m.now, m.events[i], m.actions[:0])
		for _, action := range m.actions {
			m.apply(action)
		}
	}
	clear(m.events)
	m.events = m.events[:0]
}

// apply carries out one action of the engine.
func (m *Machine) apply(action decision.Action) {
	switch action := action.(type) {
	case decision.StartAttempt:
		m.startAttempt(action)
	case decision.Reject:
		m.respond(action.Request, Effect{Verdict: Rejected, RetryAfter: action.RetryAfter, Reason: action.Reason})
	case decision.Fail:
		m.respond(action.Request, Effect{Verdict: Failed})
	case decision.CancelAttempt:
		m.applyCancel(action)
	case decision.SetTimer:
		m.setEngineTimer(action)
	case decision.Probe:
		m.emit(Effect{Kind: ProbeBackend, Backend: action.Backend})
	case decision.Subscribe:
		m.emit(Effect{Kind: Subscribe})
	case decision.CounterAdd:
		m.emit(Effect{Kind: AddToCounter, CounterAdd: action})
	default:
		m.unmatched++
	}
}

func (m *Machine) emit(effect Effect) { m.effects = append(m.effects, effect) }
