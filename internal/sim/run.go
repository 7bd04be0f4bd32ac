package sim

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"pumicecroft/decision"
	"pumicecroft/internal/simdisk"
)

// runConfig is the size of a run.
type runConfig struct {
	gateways, backends, cells, customers        int
	duration                                    time.Duration
	requestRate                                 float64 // asks a second of each customer
	canCancel, reportsUsage                     bool
	overloadFactor                              float64
	overloadDuration                            time.Duration
	dedupScope                                  decision.DedupScope // of the keyed class
	dedupWindow                                 time.Duration
	usesDiscovery, usesCatalog, cachesCatalog   bool // the sources; whether the catalogue's list is kept on disk
	perturbsEngine                              bool // the decision module's word is made more of
	maxConns, maxDescriptors                    int  // that a door may have
	idleTimeout                                 time.Duration
	dropsQueued                                 bool // backends drop what waits when its connection ends
	maxOpenRequests, maxAttempts, maxRequestIDs int
	forgetsIDs                                  bool // so few ids that some are forgotten early
	latencyObjective, deadline                  time.Duration
	dedupBytes                                  int           // bytes for keys at the edge; 0: none are recognised
	journalsKeys                                bool          // they are on disk
	drainGrace                                  time.Duration // for drains
}

// drawConfig draws the size of a run.
func drawConfig(rng *rand.Rand) runConfig {
	s := runConfig{gateways: 1 + rng.IntN(3), backends: 2 + rng.IntN(5), cells: 1 + rng.IntN(2), customers: 2 + rng.IntN(4),
		duration: randDuration(rng, 4*time.Second, 10*time.Second), requestRate: 5 + 20*rng.Float64(), canCancel: rng.IntN(4) > 0, reportsUsage: rng.IntN(2) == 0,
		overloadFactor: platformOverloadFactor, overloadDuration: 3 * time.Second, dedupScope: decision.DedupScope(rng.IntN(3)),
		dedupWindow:    []time.Duration{5 * time.Second, 5 * time.Second, 400 * time.Millisecond, time.Second}[rng.IntN(4)],
		perturbsEngine: rng.IntN(3) == 0, maxConns: []int{4, 16, 64}[rng.IntN(3)], maxDescriptors: 1000, idleTimeout: []time.Duration{15 * time.Second, time.Second}[rng.IntN(2)],
		latencyObjective: time.Second, deadline: 3 * time.Second,
		dropsQueued: rng.IntN(2) == 0, maxOpenRequests: []int{4096, 4096, 30}[rng.IntN(3)], maxAttempts: []int{16, 16, 2}[rng.IntN(3)], maxRequestIDs: 4096}
	s.drainGrace = []time.Duration{defaultDrainGrace, defaultDrainGrace, time.Second, 500 * time.Millisecond}[rng.IntN(4)]
	if rng.IntN(2) == 0 { // a frailer fleet than the platform's
		s.overloadFactor, s.overloadDuration = 2.5, time.Second
	}
	switch rng.IntN(4) {
	case 0:
		s.usesCatalog = true
	case 1:
		s.usesCatalog, s.usesDiscovery = true, true
	default:
		s.usesDiscovery = true
	}
	s.cachesCatalog = rng.IntN(2) == 0
	if rng.IntN(4) == 0 {
		s.maxRequestIDs, s.forgetsIDs = 8, true
	}
	s.dedupBytes = []int{0, 0, 1 << 20, 8 << 10}[rng.IntN(4)]
	s.journalsKeys = s.dedupBytes > 0 && rng.IntN(2) == 0
	return s
}

// Options of a run. The zero value is a run as its seed has it.
type Options struct {
	Script   *Script      // in place of the seed's
	Trace    func(string) // takes each line
	MaxSteps int          // at the most; 200,000
}

// Result is what came of a run.
type Result struct {
	Seed                                      uint64
	Script                                    Script
	Violations                                []Violation // at most one step's
	Hash                                      uint64      // of the trace
	Steps                                     int
	Simulated                                 time.Duration
	Served, Rejected, Failed, LostWithGateway int
	AttemptsStarted, AttemptsSent             int // attempts that a door has counted; that have left it
}

// runner is one run.
type runner struct {
	*world
	check           checker
	config          runConfig
	gateways        []*gateway
	backends        []*backend
	byName          map[string]*backend
	byAddr          map[string]*backend
	agent           *agent
	usageMeters     map[int]*usageMeter
	flooding        map[int]bool
	disconnectShare map[int]float64
	reuseShare      map[int]float64
	duplicateShare  map[int]float64
	counterLoss     float64 // the share of counts that the counter loses now
	requests        []*clientRequest
	lastKey         uint64
	receivedCount   uint64 // that came whole at backends
	stopped         bool   // nothing is asked any more
	backendAction   string // of the first request, for One
}

type usageMeter struct {
	period        int64
	current, last float64
}

// settleTime is long enough after the last ask for everything to end by itself: faults, restarts, the longest deadline, and a question to a
// silent agent, which is given up after 12.6 s, with the next ones.
const settleTime = 25 * time.Second

func newRunner(seed uint64, o Options) *runner {
	r := &runner{world: newWorld(seed, o.Trace), byName: map[string]*backend{}, byAddr: map[string]*backend{}, usageMeters: map[int]*usageMeter{},
		flooding: map[int]bool{}, disconnectShare: map[int]float64{}, reuseShare: map[int]float64{}, duplicateShare: map[int]float64{}}
	r.check.world, r.check.runner, r.check.effectsByID, r.check.effectsByKey, r.check.effectsPerProcess = r.world, r, map[effectID]int{}, map[uint64]int{}, map[effectID]int{}
	r.check.volatileKeys = map[uint64]bool{}
	r.agent = &agent{runner: r, index: 100, failureMode: map[*gateway]int{}}
	return r
}

// Run makes the run of a seed.
func Run(seed uint64, o Options) Result {
	r := newRunner(seed, o)
	rng := r.newRand(0)
	r.config = drawConfig(rng)
	script := drawScript(rng, &r.config)
	if o.Script != nil {
		script = *o.Script
	}
	r.populate(func(i int) int { return i % r.config.cells })
	for _, f := range script {
		r.scheduleAfter(f.At, func() { r.startFault(f) })
	}
	for c := range r.config.customers {
		r.generateRequests(c, r.newRand(3, uint64(c)))
	}
	r.scheduleAfter(r.config.duration, func() { r.stopped = true })
	steps := o.MaxSteps
	if steps <= 0 {
		steps = 200_000
	}
	r.checkPeriodically()
	r.run(start+r.config.duration+settleTime, steps)
	if len(r.violations) == 0 && r.steps < steps {
		r.check.checkAtRest(r.gateways)
	}
	c := &r.check
	return Result{Seed: seed, Script: script, Violations: r.violations, Hash: r.hash.Sum64(), Steps: r.steps, Simulated: r.now - start,
		Served: c.served, Rejected: c.rejected, Failed: c.failed, LostWithGateway: c.lostWithGateway, AttemptsStarted: c.attemptsStarted, AttemptsSent: c.attemptsSent}
}

// populate starts backends, each in a cell, and doors.
func (r *runner) populate(cellOf func(i int) int) {
	memories := map[int]*dedupMemory{}
	for i := range r.config.backends {
		b := &backend{world: r.world, check: &r.check, runner: r, number: i, cell: cellOf(i), zone: []string{"north", "south"}[i/2%2], up: true, listed: true, createIndex: 1,
			conns: map[*conn]bool{}, overloadFactor: r.config.overloadFactor, overloadDuration: r.config.overloadDuration}
		group := [...]int{0, i / 2 % 2, b.cell}[r.config.dedupScope]
		if memories[group] == nil {
			memories[group] = &dedupMemory{map[uint64]time.Duration{}}
		}
		b.dedup = memories[group]
		r.backends, r.byName[b.name()], r.byAddr[b.addr()] = append(r.backends, b), b, b
	}
	for i := range r.config.gateways {
		d := &gateway{world: r.world, check: &r.check, runner: r, number: i, partitionedUntil: map[*backend]time.Duration{}, maxDescriptors: r.config.maxDescriptors}
		d.endpoints.lastDiscovery = r.fullUpdate()
		d.boot()
		r.gateways = append(r.gateways, d)
	}
}

// checkPeriodically looks at what is owed, every few milliseconds.
func (r *runner) checkPeriodically() {
	r.check.checkDeadlines()
	for _, d := range r.gateways {
		if d.up {
			r.check.checkTimers(d)
		}
	}
	r.scheduleAfter(5*time.Millisecond, r.checkPeriodically)
}

// engineSettings are a door's.
func (r *runner) engineSettings(me int) decision.Settings {
	class := func(name string, e decision.Idempotency) decision.Class {
		return decision.Class{Name: name, Idempotency: e, DedupScope: r.config.dedupScope, DedupWindow: r.config.dedupWindow, LatencyObjective: r.config.latencyObjective, Deadline: r.config.deadline, PriorityWeight: 1}
	}
	feed := class("feed", decision.Idempotent)
	feed.Streaming = true
	s := decision.Settings{GatewayCount: r.config.gateways, GatewayIndex: me, MaxAttempts: 3, CanCancel: r.config.canCancel, MaxRetryAfter: time.Second, ResponseGrace: responseGrace,
		DrainGrace: r.config.drainGrace, SlowStartMinCapacity: slowStartMinCapacity, SlowStartWindow: slowStartWindow, OverloadFactor: r.config.overloadFactor, OverloadDuration: r.config.overloadDuration, CanProbe: r.config.perturbsEngine,
		Classes: []decision.Class{class("look", decision.Idempotent), class("pay", decision.IdempotentByKey), class("once", decision.NonIdempotent), feed},
		Plans: []decision.Plan{{Name: "shop", Rate: 40, Burst: 60, Price: 1},
			{Name: "flagship", Rate: 15, Burst: 20, Price: 2, HardLimitRate: hardLimitRate, HardLimitBurst: hardLimitBurst, HardLimitOverdraft: hardLimitOverdraft}}}
	if r.config.reportsUsage {
		s.UsagePeriod = 500 * time.Millisecond
	}
	return s
}

const responseGrace = 50 * time.Millisecond

func (r *runner) planOf(customer int) string {
	if customer == flagshipCustomer {
		return "flagship"
	}
	return "shop"
}

// reportedUsage is the meter's word on a customer.
func (r *runner) reportedUsage(customer int) (percent float64, has bool) {
	if !r.config.reportsUsage {
		return 0, false
	}
	rate := 40.0
	if customer == flagshipCustomer {
		rate = 15
	}
	return 100 * r.meterOf(customer).last / (rate * 0.5), true
}

func (r *runner) meterOf(customer int) *usageMeter {
	m := r.usageMeters[customer]
	if m == nil {
		m = &usageMeter{}
		r.usageMeters[customer] = m
	}
	if p := int64(r.now / (500 * time.Millisecond)); p != m.period {
		m.last = 0
		if p == m.period+1 {
			m.last = m.current
		}
		m.period, m.current = p, 0
	}
	return m
}

// recordUsage has the counter count an ask.
func (r *runner) recordUsage(a *clientRequest) {
	if r.counterLoss == 0 || r.newRand(13, uint64(a.number)).Float64() >= r.counterLoss {
		r.meterOf(a.customer).current += a.cost
	}
}

// sortedConns gives links in an order of their own.
func sortedConns(links map[*conn]bool) []*conn {
	return slices.SortedFunc(maps.Keys(links), func(a, b *conn) int { return int(a.number) - int(b.number) })
}

// startFault begins a fault, and plans its end.
func (r *runner) startFault(f Fault) {
	r.tracef("fault: %v", f)
	switch f.Kind { // a script may be an older world's
	case PauseGateway, KillGateway, KillAtAttemptStart, KillAtAttemptEnd, ShutdownGateway, DiscoveryLag, CatalogUnreachable, NoDescriptors, UsageLoss, DiskFault:
		f.Target %= len(r.gateways)
	case Flood, ClientDisconnects, DuplicateRequests, ReusedIDs, CounterLoss:
	default:
		f.Target %= len(r.backends)
	}
	end := func(do func()) { r.scheduleAfter(f.Duration, func() { r.tracef("over: %v", f); do() }) }
	switch f.Kind {
	case DrainBackend:
		b := r.backends[f.Target]
		b.drainFaults++
		r.publishBackend(b)
		end(func() { b.drainFaults--; r.publishBackend(b) })
	case RestartBackend, MoveBackend, DeregisterBackend:
		r.restartBackend(f, end)
	case PauseGateway:
		r.gateways[f.Target].pause(f.Duration)
	case KillGateway:
		r.killGateway(f)
	case KillAtAttemptStart, KillAtAttemptEnd:
		r.gateways[f.Target].killPoints[f.Kind-KillAtAttemptStart] = func() { r.killGateway(f) }
	case ShutdownGateway:
		d := r.gateways[f.Target]
		d.shutdown([]time.Duration{0, 300 * time.Millisecond, 3 * time.Second}[f.Variant%3], func() { r.bootLater(d, f.Duration) })
	case Partition:
		d := r.gateways[f.Variant%len(r.gateways)]
		d.partitionedUntil[r.backends[f.Target]] = max(d.partitionedUntil[r.backends[f.Target]], r.now+f.Duration)
	case NoDescriptors:
		d := r.gateways[f.Target]
		d.maxDescriptors = f.Variant % 3
		end(func() { d.maxDescriptors = r.config.maxDescriptors })
	case DiscoveryLag:
		d := r.gateways[f.Target]
		d.discoveryLag = f.Duration
		end(func() { d.discoveryLag = 0 })
	case CatalogUnreachable:
		d := r.gateways[f.Target]
		r.agent.startFailure(d, f.Variant)
		end(func() { delete(r.agent.failureMode, d) })
	case CatalogLoss:
		if f.Variant%4 == 0 {
			f.Duration = min(f.Duration, 1200*time.Millisecond) // a part that lacks for longer is believed to be gone
		}
		end(r.agent.startLoss(f.Variant))
	case UsageLoss:
		d := r.gateways[f.Target]
		d.usageHidden = true
		end(func() { d.usageHidden = false })
	case DiskFault:
		j := &r.gateways[f.Target].journal
		if j.disk == nil {
			break
		}
		switch f.Variant % 3 {
		case 0:
			j.fault = simdisk.ErrIO
		case 1:
			j.disk.Capacity = j.disk.Bytes() + f.Variant*100
		default:
			j.maxLatency = 2 * f.Duration
		}
		end(func() { j.fault, j.disk.Capacity, j.maxLatency = nil, 0, 0 })
	case Flood:
		r.flooding[f.Target] = true
		end(func() { r.flooding[f.Target] = false })
	case ClientDisconnects:
		r.disconnectShare[f.Target] = f.Share
		end(func() { r.disconnectShare[f.Target] = 0 })
	case CounterLoss:
		r.counterLoss = f.Share
		for _, m := range r.usageMeters {
			m.current, m.last = m.current*(1-f.Share), m.last*(1-f.Share)
		}
		end(func() { r.counterLoss = 0 })
	case DuplicateRequests:
		r.duplicateShare[f.Target] = f.Share
		end(func() { r.duplicateShare[f.Target] = 0 })
	case ReusedIDs:
		r.reuseShare[f.Target] = f.Share
		end(func() { r.reuseShare[f.Target] = 0 })
	default:
		b := r.backends[f.Target]
		b.faultShares[f.Kind] = f.Share
		end(func() { b.faultShares[f.Kind] = 0 })
	}
}

// restartBackend ends a backend's process; after a while there is a new one, at another address if it moves. One that is deregistered
// is out of the lists until then, and goes on for a moment.
func (r *runner) restartBackend(f Fault, end func(func())) {
	b := r.backends[f.Target]
	if !b.up || !b.listed {
		return
	}
	if f.Kind == DeregisterBackend {
		out := []*backend{b}
		if f.Variant%6 == 0 { // all but one, which a source's failure looks like
			out = slices.DeleteFunc(slices.Clone(r.backends), func(o *backend) bool { return o.number == (f.Target+1)%len(r.backends) || !o.up || !o.listed })
		}
		for _, b := range out {
			b.listed = false
			r.publishBackend(b)
		}
		end(func() {
			for _, b := range out {
				b.stop()
				b.start()
				b.listed, b.listedAt = true, r.now
				b.createIndex = r.agent.index + 1
				r.publishBackend(b)
			}
			r.agent.restoredAt = r.now // a loss right behind it would look like one with it to who has not heard of their return
		})
		return
	}
	b.stop()
	r.publishBackend(b)
	end(func() {
		if f.Kind == MoveBackend {
			delete(r.byAddr, b.addr())
			b.moves++
			r.byAddr[b.addr()] = b
		}
		b.start()
		r.publishBackend(b)
	})
}

// killGateway kills a door, which is back after the fault's time.
func (r *runner) killGateway(f Fault) {
	d := r.gateways[f.Target]
	if !d.up {
		return
	}
	r.tracef("door %d is killed", f.Target)
	r.resendUnanswered(d, f.Duration)
	d.kill()
	if f.Variant%2 == 1 { // its machine with it
		d.crash()
	}
	r.bootLater(d, f.Duration)
}

// resendUnanswered has clients whose asks end with a door's process press once more, at the next one, where that may know of them.
func (r *runner) resendUnanswered(d *gateway, after time.Duration) {
	if d.journal.log == nil {
		return
	}
	for _, a := range r.check.unanswered {
		if a.gateway != d || a.gatewayEpoch != d.epoch || a.finalCount > 0 || a.idempotent() {
			continue
		}
		twin := &clientRequest{class: a.class, key: a.key, customer: a.customer, timeout: a.timeout, cost: a.cost, bodySize: a.bodySize, digest: a.digest, duplicate: true, keyReused: true}
		a.keyReused = true
		r.scheduleAfter(after+randDuration(r.newRand(24, uint64(a.number)), 0, time.Second), func() {
			if !r.stopped {
				r.submit(twin, d.number, len(r.gateways))
			}
		})
	}
}

func (r *runner) bootLater(d *gateway, after time.Duration) {
	r.scheduleAfter(after, func() {
		if !d.up {
			r.tracef("door %d is back", d.number)
			d.boot()
		}
	})
}
