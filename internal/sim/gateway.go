package sim

import (
	"time"

	"pumicecroft/decision"
	"pumicecroft/idempotency"
	"pumicecroft/internal/lifecycle"
	"pumicecroft/internal/platformhttp"
	"pumicecroft/membership"
)

// gateway simulates one gateway: its host, which outlives processes, and the process that currently
// runs on it. The production packages make all decisions; this type executes them, delivers bytes and
// timers, and serializes events.
type gateway struct {
	world  *world
	check  *checker
	runner *runner
	number int

	// State of the host and its network.
	journal          gatewayJournal
	endpoints        endpointSources
	maxDescriptors   int                        // connections that a process may have open
	partitionedUntil map[*backend]time.Duration // by backend: when the last partition from it ends
	discoveryLag     time.Duration              // additional delay of discovery's updates
	usageHidden      bool                       // responses don't report usage
	pauses           [][2]time.Duration         // start and end of each pause
	killPoints       [killPointCount]func()     // called once when the kill point is next reached; nil: none

	// State of the process.
	epoch       int // incremented by every start and end of a process
	up          bool
	closing     bool // it accepts no new requests
	pausedUntil time.Duration
	deferred    []deferredEvent       // arrived during the current pause
	lastByOrder map[any]time.Duration // by order key: when its last event is scheduled after a pause
	wakeups     [wakeupCount]time.Duration
	machine     *lifecycle.Machine
	table       *membership.Table
	httpPool    *platformhttp.BackendSet
	attempts    map[*attempt]bool
	conns       map[*conn]bool
	openConns   int
	dialCount   uint64
	dedup       *idempotency.Store                   // nil: it does not deduplicate requests
	leaderByKey map[idempotency.Entry]*clientRequest // the leader: the request that is executed for all with its key
}

// deferredEvent is an event that arrived at a paused process.
type deferredEvent struct {
	orderKey any // events with the same key are handled in order; nil: in any order
	run      func()
}

// Kill points: moments at which a fault can kill a gateway.
const (
	atAttemptStart = iota // the lifecycle machine has counted an attempt that was not sent yet
	atAttemptEnd          // an attempt has ended, and the lifecycle machine has not yet been told
	killPointCount
)

// Parts of a process that request wakeups.
const (
	wakeupMachine = iota
	wakeupTable
	wakeupPool
	wakeupDedup
	wakeupJournal
	wakeupCount
)

const (
	connectTimeout = 250 * time.Millisecond
	probeTimeout   = time.Second
	idRetention    = 15 * time.Second // how long a gateway remembers request ids
	keyRetention   = time.Hour        // how long a gateway remembers idempotency keys
)

// resumeDelay is the maximum time after a pause until the process has handled the events that arrived
// during the pause.
const resumeDelay = 20 * time.Millisecond

// startProcess starts a process with the endpoints and keys that the previous one has stored.
func (g *gateway) startProcess() {
	g.up, g.closing, g.pausedUntil = true, false, 0
	g.epoch++
	config := &g.runner.config
	settings := g.runner.engineSettings(g.number)
	seed := mix(g.world.seed ^ uint64(g.number) ^ uint64(g.epoch)<<8)
	var engine lifecycle.DecisionEngine
	engine, err := decision.New(settings, seed, g.world.now)
	if err != nil {
		panic(err) // engineSettings returns valid settings
	}
	if config.perturbsEngine {
		rng := g.world.newRand(9, uint64(g.number), uint64(g.epoch))
		engine = &perturbedEngine{engine, rng, len(g.runner.backends), &g.runner.clientsStopped}
	}
	g.machine = lifecycle.New(engine, settings.Classes, lifecycle.Limits{
		MaxOpenRequests: config.maxOpenRequests, MaxAttempts: config.maxAttempts,
		MaxRememberedIDs: config.maxRequestIDs,
		IDRetention:      idRetention, DetectPauses: true, DrainGrace: config.drainGrace,
	}, g.world.now)
	g.httpPool = platformhttp.NewBackendSet(config.maxConns, config.idleTimeout, nil)
	g.attempts, g.conns, g.openConns = map[*attempt]bool{}, map[*conn]bool{}, 0
	g.deferred, g.wakeups = nil, [wakeupCount]time.Duration{}
	g.leaderByKey = map[idempotency.Entry]*clientRequest{}
	g.dedup, g.journal.log = nil, nil
	if config.dedupBytes > 0 {
		g.dedup = idempotency.New(idempotency.Limits{MaxBytes: config.dedupBytes, TTL: keyRetention}, g.world.now)
		if config.journalsKeys {
			g.openJournal()
		}
	}
	g.startSources()
}

// kill ends the process at once. Its requests are lost, but what it has already sent to backends
// arrives.
func (g *gateway) kill() {
	g.up = false
	g.epoch++
	g.deferred = nil
	for _, c := range sortedConns(g.conns) {
		c.gatewayClosed = true
		c.deliver(&c.toBackend, 0, c.onGatewayClosed)
	}
}

// shutdown stops the process gracefully: it accepts no new requests, open requests have a grace period,
// and those still open after it are aborted. onStopped is called when the process has ended.
func (g *gateway) shutdown(grace time.Duration, onStopped func()) {
	if !g.up || g.closing {
		return
	}
	epoch := g.epoch
	g.enqueue(epoch, nil, func() {
		g.closing = true
		g.machine.Close()
		g.world.scheduleAfter(grace, func() {
			g.enqueue(epoch, nil, func() {
				g.execute(g.machine.Abort(g.world.now))
				g.closeJournal()
				g.httpPool.Close()
				g.closeDiscarded()
				g.check.onGatewayStopped(g)
				g.kill()
				onStopped()
			})
		})
	})
}

// pause suspends the process. Afterwards the events that arrived during the pause are handled in random
// order, except that events with the same order key, such as those of one source, stay in order: a
// process reads its sockets in any order. Timers that became due fire then.
func (g *gateway) pause(length time.Duration) {
	if !g.up || g.world.now < g.pausedUntil {
		return
	}
	g.pausedUntil = g.world.now + length
	g.pauses = append(g.pauses, [2]time.Duration{g.world.now, g.pausedUntil})
	epoch := g.epoch
	g.world.scheduleAfter(length, func() {
		if epoch == g.epoch {
			g.resume(epoch)
		}
	})
}

// resume schedules the events that arrived during a pause.
func (g *gateway) resume(epoch int) {
	deferred := g.deferred
	g.deferred, g.lastByOrder = nil, map[any]time.Duration{}
	rng := g.world.newRand(8, uint64(g.number), uint64(g.world.now))
	for _, event := range deferred {
		at := g.world.now + randDuration(rng, 0, resumeDelay)
		if event.orderKey != nil {
			at = max(at, g.lastByOrder[event.orderKey]+1)
			g.lastByOrder[event.orderKey] = at
		}
		g.world.scheduleAt(at, func() { g.dispatch(epoch, event.orderKey, event.run) })
	}
}

// pausedDuring reports whether the process was paused, or was within resumeDelay after a pause, at any
// time of an interval.
func (g *gateway) pausedDuring(from, to time.Duration) bool {
	for _, interval := range g.pauses {
		if interval[0] <= to && interval[1]+resumeDelay >= from {
			return true
		}
	}
	return false
}

// enqueue makes the process with this epoch handle an event now or, if it is paused, after its pause.
// The event is dropped if that process has ended. Events with the same order key are handled in the
// order of the calls.
func (g *gateway) enqueue(epoch int, orderKey any, event func()) {
	last := g.lastByOrder[orderKey]
	if orderKey != nil && last >= g.world.now && g.up && g.world.now >= g.pausedUntil {
		// An earlier event with this key was deferred by a pause and is still scheduled.
		g.lastByOrder[orderKey] = last + 1
		g.world.scheduleAt(last+1, func() { g.dispatch(epoch, orderKey, event) })
		return
	}
	g.dispatch(epoch, orderKey, event)
}

// dispatch handles an event, defers it if the process is paused, or drops it if the process has ended.
func (g *gateway) dispatch(epoch int, orderKey any, event func()) {
	switch {
	case !g.up || epoch != g.epoch:
	case g.world.now < g.pausedUntil:
		g.deferred = append(g.deferred, deferredEvent{orderKey, event})
	default:
		event()
	}
}

// triggerKillPoint schedules the kill that waits for this kill point, if any, at the current time: it
// occurs in random order with the other events of that time.
func (g *gateway) triggerKillPoint(point int) {
	if kill := g.killPoints[point]; kill != nil {
		g.killPoints[point] = nil
		g.world.scheduleAfter(0, kill)
	}
}

// scheduleWakeups schedules the next wakeup of each part of the process.
func (g *gateway) scheduleWakeups() {
	at, ok := g.machine.Next()
	g.scheduleWakeup(wakeupMachine, at, ok, func() { g.execute(g.machine.Tick(g.world.now)) })
	at, ok = g.table.Next()
	g.scheduleWakeup(wakeupTable, at, ok, func() { g.applyChanges(decision.UpdateDelta, g.table.Tick(g.world.now)) })
	at, ok = g.httpPool.Pool.NextExpiry()
	g.scheduleWakeup(wakeupPool, at, ok, func() {
		g.httpPool.Pool.CloseExpired(g.world.now)
		g.closeDiscarded()
	})
	if g.dedup != nil {
		at, ok = g.dedup.Next()
		g.scheduleWakeup(wakeupDedup, at, ok, func() { g.answerWaiters(g.dedup.Tick(g.world.now), verdictLate) })
	}
	g.startJournalOp()
}

// scheduleWakeup schedules a part's wakeup, unless an earlier one is scheduled already. ok is false if
// the part needs none.
func (g *gateway) scheduleWakeup(part int, at time.Duration, ok bool, wake func()) {
	if !ok || g.wakeups[part] > g.world.now && g.wakeups[part] <= at {
		return
	}
	at = max(at, g.world.now)
	g.wakeups[part] = at
	epoch := g.epoch
	g.world.scheduleAt(at, func() {
		g.enqueue(epoch, nil, func() {
			if g.wakeups[part] == at {
				g.wakeups[part] = 0
			}
			wake()
			g.scheduleWakeups()
		})
	})
}

// closeDiscarded closes the connections that the pool has discarded.
func (g *gateway) closeDiscarded() {
	for _, discarded := range g.httpPool.Pool.TakeDiscarded() {
		discarded.Owner.(*conn).closeByGateway()
	}
	g.check.checkBounds(g)
}
