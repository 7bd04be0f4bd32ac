// Package lifecycle implements the state machine of a request: the request is submitted, the decision engine decides
// how to handle it, attempts start, end or are cancelled, timers fire, and the request gets exactly one final answer.
//
// The package does no I/O. Events and times are passed to the methods of Machine, which return effects as values. An
// executor carries out the effects immediately and in order: over sockets, in memory, or in a simulation. The package
// reads no clock, starts no goroutine and takes no lock; the executor that owns a Machine serializes the calls to it.
// The design follows etcd's raft library.
//
// Three invariants hold for any order of calls, and the tests check them:
//   - Each request that Submit accepted gets exactly one Respond effect.
//   - Each StartAttempt action for an open request is followed by exactly one outcome event to the decision engine.
//   - Once a request is answered and its attempts have ended, all its state is released, except for its id where the
//     request must not execute again. The number of such ids is bounded.
//
// machine.go contains the handling common to all events, requests.go and attempts.go the state machines of requests
// and attempts, effects.go the effects, pause.go the handling of process pauses, replays.go the remembered ids, and
// timers.go the timer heap.
package lifecycle

import (
	"container/heap"
	"time"

	"pumicecroft/decision"
	"pumicecroft/recovery"
)

// DecisionEngine decides how requests are handled. *decision.Engine implements it; tests use scripted engines. Handle
// appends the resulting actions to actions. It is never called concurrently and must not block. The engine must not
// depend on timers of requests that are answered or unknown: the Machine does not fire them.
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

// Limits bounds the state that a Machine keeps. A field that is zero or negative takes its default.
type Limits struct {
	// MaxOpenRequests is the maximum number of open requests, including those that are answered but still have an
	// attempt in flight. Default: 16,384.
	MaxOpenRequests int
	// MaxAttempts is the maximum number of attempts per request. Default: 16.
	MaxAttempts int
	// MaxRememberedIDs is the maximum number of remembered ids of requests that may have executed. Default: 4,096.
	MaxRememberedIDs int
	// IDRetention is how long such an id is remembered. Default: 10 s.
	IDRetention time.Duration
	// DetectPauses makes the Machine detect that its process was paused, and then hold back attempts until the
	// endpoint sources have applied all updates that had arrived by then (see SyncSources). With it, Next is never
	// later than Deadlines().CheckInterval after the last call that passed a time.
	DetectPauses bool
	// DrainGrace is how long a gateway may keep sending to a backend that was told to drain, because it has not
	// received that update yet. The time in which a pause is detected is derived from it.
	// Default: 2 s, which is also the maximum; see recovery.DeadlinesFor.
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

// Machine runs the requests of one gateway. It is not safe for concurrent use. A returned slice of effects is valid
// until the next call. Times are durations since an arbitrary origin; a time that is earlier than the latest one seen
// is replaced by it.
type Machine struct {
	engine           DecisionEngine
	limits           Limits
	idempotency      map[string]decision.Idempotency // by class
	now              time.Duration
	requests         map[decision.RequestID]*openRequest
	openAttempts     map[decision.BackendID]attemptRef // head of each backend's list of open attempts, newest first
	timers           timerHeap
	timerSeq         uint64
	eventQueue       []decision.Event // not yet handled; applying an action may append to it
	handling         bool             // handleQueuedEvents is running
	actions          []decision.Action
	effects          []Effect
	closed           bool
	unmatchedActions uint64

	pauseDetector recovery.PauseDetector
	pendingSyncID uint64 // the SyncID for which SourcesSynced is awaited; 0: none
	lastSyncID    uint64
	heldStarts    []heldStart

	rememberedIDs   map[decision.RequestID]bool
	rememberedOrder []rememberedID // oldest first
}

// New returns a Machine for an engine that has not handled any event yet. The classes determine which requests must
// not execute twice.
func New(engine DecisionEngine, classes []decision.Class, limits Limits, now time.Duration) *Machine {
	m := &Machine{
		engine:        engine,
		limits:        limits.withDefaults(),
		idempotency:   map[string]decision.Idempotency{},
		now:           now,
		requests:      map[decision.RequestID]*openRequest{},
		openAttempts:  map[decision.BackendID]attemptRef{},
		pauseDetector: recovery.PauseDetector{Deadlines: recovery.DeadlinesFor(limits.DrainGrace)},
		rememberedIDs: map[decision.RequestID]bool{},
	}
	for _, class := range classes {
		m.idempotency[class.Name] = class.Idempotency
	}
	return m
}

// Deadlines returns the time limits for detecting and handling process pauses. They never change.
func (m *Machine) Deadlines() recovery.Deadlines { return m.pauseDetector.Deadlines }

// OpenRequests returns the number of requests that have no answer yet or still have an attempt in flight.
func (m *Machine) OpenRequests() int { return len(m.requests) }

// Unanswered returns the number of requests that have no final answer yet.
func (m *Machine) Unanswered() int {
	n := 0
	for _, request := range m.requests { // only counts, so the map order does not matter
		if !request.answered {
			n++
		}
	}
	return n
}

// PendingTimers returns the number of timers that are set: the engine's own and those of open requests.
func (m *Machine) PendingTimers() int { return len(m.timers) }

// RememberedIDs returns the number of remembered ids of requests that may have executed.
func (m *Machine) RememberedIDs() int { return len(m.rememberedOrder) }

// UnmatchedActions returns the number of actions that were ignored because they start an attempt for an unknown
// request, answer a request that is unknown or already answered, or are of an unknown type. Each is an error of the
// engine. A CancelAttempt or SetTimer for an unknown request is ignored without being counted.
func (m *Machine) UnmatchedActions() uint64 { return m.unmatchedActions }

// Next returns the time by which Tick must be called if no other method is called before. If ok is false, there is no
// such time.
func (m *Machine) Next() (at time.Duration, ok bool) {
	at, ok = m.nextTimer()
	if check := m.pauseDetector.NextCheck(); m.limits.DetectPauses && (!ok || check < at) {
		return check, true
	}
	return at, ok
}

// Tick fires the timers that are due. It may be called early or late: no timer fires early, and overdue timers fire in
// the order of their times.
func (m *Machine) Tick(now time.Duration) []Effect {
	m.advance(now)
	return m.effects
}

// UpdateEndpoints marks the open attempts at backends that an endpoint update drains or removes, and passes the update
// on to the engine.
func (m *Machine) UpdateEndpoints(now time.Duration, update decision.EndpointUpdate) []Effect {
	m.advance(now)
	m.markBackendsNotReady(&update)
	m.dispatch(update)
	return m.effects
}

// ProbeAnswered passes the result of a ProbeBackend effect on to the engine.
func (m *Machine) ProbeAnswered(now time.Duration, result decision.ProbeResult) []Effect {
	m.advance(now)
	m.dispatch(result)
	return m.effects
}

// CounterAnswered passes the result of an AddToCounter effect on to the engine.
func (m *Machine) CounterAnswered(now time.Duration, result decision.CounterResult) []Effect {
	m.advance(now)
	m.dispatch(result)
	return m.effects
}

// Close makes Submit return ErrClosed from now on. Open requests continue.
func (m *Machine) Close() { m.closed = true }

// Abort closes the Machine, answers all unanswered requests as Aborted, and cancels all attempts.
func (m *Machine) Abort(now time.Duration) []Effect {
	m.closed = true
	m.advance(now)
	for _, id := range sortedIDs(m.requests) {
		request := m.requests[id]
		if request == nil { // released by actions of the engine in an earlier iteration
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

// advance prepares the handling of an event: it moves the time on, detects a pause, and fires the timers that are due,
// so that they take effect before the event.
func (m *Machine) advance(now time.Duration) {
	m.now, m.effects = max(m.now, now), m.effects[:0]
	if m.limits.DetectPauses {
		timerAt, hasTimer := m.nextTimer()
		if paused := m.pauseDetector.Observe(m.now, timerAt, hasTimer); paused > 0 {
			m.onPause(paused)
		}
	}
	m.fireTimers()
}

// fireTimers fires the timers that are due. Timers that are set meanwhile wait for the next call; otherwise a timer
// that sets itself again with no delay would keep this loop running forever.
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

// dispatch passes an event to the engine, followed by the events that result from the engine's actions.
func (m *Machine) dispatch(event decision.Event) {
	m.eventQueue = append(m.eventQueue, event)
	m.handleQueuedEvents()
}

// handleQueuedEvents handles the queued events. In a nested call it does nothing, as the outer call handles them.
func (m *Machine) handleQueuedEvents() {
	if m.handling {
		return
	}
	m.handling = true
	defer func() { m.handling = false }()
	for i := 0; i < len(m.eventQueue); i++ {
		m.actions = m.engine.Handle(m.now, m.eventQueue[i], m.actions[:0])
		for _, action := range m.actions {
			m.applyAction(action)
		}
	}
	clear(m.eventQueue)
	m.eventQueue = m.eventQueue[:0]
}

// applyAction applies one action of the engine.
func (m *Machine) applyAction(action decision.Action) {
	switch action := action.(type) {
	case decision.StartAttempt:
		m.startAttempt(action)
	case decision.Reject:
		m.applyFinalAnswer(action.Request, Effect{Verdict: Rejected, RetryAfter: action.RetryAfter, Reason: action.Reason})
	case decision.Fail:
		m.applyFinalAnswer(action.Request, Effect{Verdict: Failed})
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
		m.unmatchedActions++
	}
}

func (m *Machine) emit(effect Effect) { m.effects = append(m.effects, effect) }
