package sim

import (
	"time"

	"pumicecroft/decision"
	"pumicecroft/idempotency"
	"pumicecroft/internal/lifecycle"
	"pumicecroft/internal/platformhttp"
	"pumicecroft/membership"
)

// gateway is one gateway: its machine, which outlives processes, and the process that runs on it
// now. What it does is decided by the shipped packages; here it is only carried out: bytes, timers,
// and one event after another.
type gateway struct {
	world  *world
	check  *checker
	runner *runner
	number int

	// Of the machine and its network.
	journal          gatewayJournal
	endpoints        endpointSources
	maxDescriptors   int                        // connections that a process may have open
	partitionedUntil map[*backend]time.Duration // nothing passes to or from a backend until then
	discoveryLag     time.Duration              // added to the way of discovery's updates
	usageHidden      bool                       // responses don't report usage
	pauses           [][2]time.Duration         // beginning and end of each
	killPoints       [killPointCount]func()     // called once, at the next event of that kind

	// Of the process.
	epoch       int // counts processes and their ends
	up          bool
	closing     bool // it takes no new requests
	pausedUntil time.Duration
	deferred    []deferredEvent       // arrived while it was paused
	lastByOrder map[any]time.Duration // when the last event of an order key is handled
	wakeups     [wakeupCount]time.Duration
	machine     *lifecycle.Machine
	table       *membership.Table
	httpPool    *platformhttp.BackendSet
	attempts    map[*attempt]bool
	conns       map[*conn]bool
	openConns   int
	dialCount   uint64
	dedup       *idempotency.Store // nil: it recognises no keys
	leaderByKey map[idempotency.Entry]*clientRequest
}

// deferredEvent is an event for a process that is paused.
type deferredEvent struct {
	orderKey any // events of one key keep their order; nil: none
	run      func()
}

// Instants at which a script may have a gateway killed.
const (
	atAttemptStart = iota // the lifecycle machine has counted an attempt that has not left yet
	atAttemptEnd          // an attempt's end has come and is not accounted for yet
	killPointCount
)

// Parts of a process that ask to be called at a time.
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
	idRetention    = 15 * time.Second // of request ids at a gateway
	keyRetention   = time.Hour        // of idempotency keys at a gateway
)

// resumeDelay bounds how long a process needs after a pause until it has handled what arrived
// meanwhile.
const resumeDelay = 20 * time.Millisecond

// boot starts a process with the endpoints that its machine knew last.
func (g *gateway) startProcess() {
	g.up, g.closing, g.pausedUntil = true, false, 0
	g.epoch++
	config := &g.runner.config
	settings := g.runner.engineSettings(g.number)
	seed := mix(g.world.seed ^ uint64(g.number) ^ uint64(g.epoch)<<8)
	var engine lifecycle.DecisionEngine
	engine, err := decision.New(settings, seed, g.world.now)
	if err != nil {
		panic(err) // the settings are the run's own
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

// kill ends the process at once. Requests that it had are lost to their clients; what is on its way
// to backends arrives.
func (g *gateway) kill() {
	g.up = false
	g.epoch++
	g.deferred = nil
	for _, c := range sortedConns(g.conns) {
		c.gatewayClosed = true
		c.deliver(&c.toBackend, 0, c.onGatewayClosed)
	}
}

// shutdown has the process end by itself: it takes no new requests, open ones have a grace, and the
// rest is aborted. onStopped is called when it has ended.
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

// pause has the process stand still. Afterwards it handles what arrived meanwhile in a random order
// that keeps only that of single connections and sources, as a process reads its sockets; its
// timers are all due at once.
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

// resume schedules what was deferred by a pause.
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

// pausedDuring tells whether the process was paused, or not over a pause yet, at any time of an
// interval.
func (g *gateway) pausedDuring(from, to time.Duration) bool {
	for _, interval := range g.pauses {
		if interval[0] <= to && interval[1]+resumeDelay >= from {
			return true
		}
	}
	return false
}

// enqueue has a process handle an event now, or after its pause; a later process never handles it.
// Events of one order key are handled in the order of the calls.
func (g *gateway) enqueue(epoch int, orderKey any, event func()) {
	last := g.lastByOrder[orderKey]
	if orderKey != nil && last >= g.world.now && g.up && g.world.now >= g.pausedUntil {
		// The event before it is still to come, after a pause.
		g.lastByOrder[orderKey] = last + 1
		g.world.scheduleAt(last+1, func() { g.dispatch(epoch, orderKey, event) })
		return
	}
	g.dispatch(epoch, orderKey, event)
}

// dispatch handles an event whose predecessors are handled.
func (g *gateway) dispatch(epoch int, orderKey any, event func()) {
	switch {
	case !g.up || epoch != g.epoch:
	case g.world.now < g.pausedUntil:
		g.deferred = append(g.deferred, deferredEvent{orderKey, event})
	default:
		event()
	}
}

// triggerKillPoint has a kill that waits for this instant happen, in random order with the
// instant's other events.
func (g *gateway) triggerKillPoint(point int) {
	if kill := g.killPoints[point]; kill != nil {
		g.killPoints[point] = nil
		g.world.scheduleAfter(0, kill)
	}
}

// scheduleWakeups schedules the next call of each part of the process that asks for one.
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

// scheduleWakeup schedules a part's call, unless an earlier one is scheduled. ok tells whether the
// part asks for one.
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

// closeDiscarded closes connections that the pool has let go of.
func (g *gateway) closeDiscarded() {
	for _, discarded := range g.httpPool.Pool.TakeDiscarded() {
		discarded.Owner.(*conn).closeByGateway()
	}
	g.check.checkBounds(g)
}
