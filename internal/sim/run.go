package sim

import (
	"time"
)

// Options configure a run. With the zero value the seed alone determines the run.
type Options struct {
	Script   *Script      // replaces the script drawn from the seed; nil: not replaced
	Trace    func(string) // receives each line of the trace; nil: lines are not formatted
	MaxSteps int          // maximum number of events to execute; 0: 200,000
}

const defaultMaxSteps = 200_000

// Result is the outcome of a run.
type Result struct {
	Seed       uint64
	Script     Script
	Violations []Violation // recorded by the event that broke a rule; empty if no rule was broken
	Hash       uint64      // of the trace
	Steps      int         // executed events
	Simulated  time.Duration

	// Numbers of requests by outcome. LostWithGateway counts those whose gateway process ended before
	// it answered.
	Served, Rejected, Failed, LostWithGateway int
	AttemptsStarted                           int // by the gateways' lifecycle machines
	AttemptsSent                              int // of which the gateway sent at least one byte
}

// runner holds the state of one run: the world and everything simulated in it.
type runner struct {
	*world
	check          checker
	config         runConfig
	gateways       []*gateway
	backends       []*backend
	backendsByName map[string]*backend
	backendsByAddr map[string]*backend
	agent          *agent

	usageMeters     map[int]*usageMeter // by customer
	counterLoss     float64             // share of additions that the usage counter currently loses
	flooding        map[int]bool        // customers that currently send far more than their plan allows
	disconnectShare map[int]float64     // by customer: share of clients that currently disconnect early
	reuseShare      map[int]float64     // by customer: share of requests that currently reuse an earlier id
	duplicateShare  map[int]float64     // by customer: share of requests that are currently sent twice

	requests       []*clientRequest // by number
	lastKey        uint64           // last idempotency key given to a new request
	receivedCount  uint64           // requests that backends have received completely
	clientsStopped bool             // clients send no more requests
	backendAction  string           // for RunSingleRequest: how a backend handles the first request; empty: as usual
}

// settleTime is how long a run continues after clients have stopped. Within it everything ends that
// ends by itself: faults, restarts, requests with the longest deadline, and blocking queries to an
// agent that doesn't respond, which time out after 12.6 s, together with the queries that follow them.
const settleTime = 25 * time.Second

// checkInterval is the period of checks that no event triggers.
const checkInterval = 5 * time.Millisecond

func newRunner(seed uint64, options Options) *runner {
	r := &runner{
		world:           newWorld(seed, options.Trace),
		backendsByName:  map[string]*backend{},
		backendsByAddr:  map[string]*backend{},
		usageMeters:     map[int]*usageMeter{},
		flooding:        map[int]bool{},
		disconnectShare: map[int]float64{},
		reuseShare:      map[int]float64{},
		duplicateShare:  map[int]float64{},
	}
	r.check = checker{
		world: r.world, runner: r,
		effectsByID: map[effectID]int{}, effectsByKey: map[uint64]int{}, effectsPerDedupScope: map[effectID]int{},
		volatileKeys: map[uint64]bool{},
	}
	r.agent = newAgent(r)
	return r
}

// Run executes the run of a seed.
func Run(seed uint64, options Options) Result {
	r := newRunner(seed, options)
	rng := r.newRand(0)
	r.config = drawConfig(rng)
	script := drawScript(rng, &r.config)
	if options.Script != nil {
		script = *options.Script
	}
	r.populate(func(number int) int { return number % r.config.cells })
	for _, fault := range script {
		r.scheduleAfter(fault.At, func() { r.startFault(fault) })
	}
	for customer := range r.config.customers {
		r.generateRequests(customer, r.newRand(3, uint64(customer)))
	}
	r.scheduleAfter(r.config.duration, func() { r.clientsStopped = true })
	maxSteps := options.MaxSteps
	if maxSteps <= 0 {
		maxSteps = defaultMaxSteps
	}
	r.checkPeriodically()
	r.run(startTime+r.config.duration+settleTime, maxSteps)
	if len(r.violations) == 0 && r.steps < maxSteps {
		r.check.checkAtEnd(r.gateways)
	}
	return r.result(script)
}

func (r *runner) result(script Script) Result {
	return Result{
		Seed: r.seed, Script: script, Violations: r.violations, Hash: r.hash.Sum64(),
		Steps: r.steps, Simulated: r.now - startTime,
		Served: r.check.served, Rejected: r.check.rejected, Failed: r.check.failed,
		LostWithGateway: r.check.lostWithGateway,
		AttemptsStarted: r.check.attemptsStarted, AttemptsSent: r.check.attemptsSent,
	}
}

// populate creates and starts the backends and the gateways. cellOf returns a backend's cell. Backends
// in one deduplication scope share a table of idempotency keys.
func (r *runner) populate(cellOf func(number int) int) {
	dedupMemories := map[int]*dedupTable{}
	for number := range r.config.backends {
		zone := number / 2 % 2
		b := &backend{
			world: r.world, check: &r.check, runner: r, number: number,
			cell: cellOf(number), zone: [...]string{"north", "south"}[zone],
			up: true, listed: true, createIndex: 1, conns: map[*conn]bool{},
			overloadFactor: r.config.overloadFactor, overloadDuration: r.config.overloadDuration,
		}
		scope := [...]int{0, zone, b.cell}[r.config.dedupScope]
		if dedupMemories[scope] == nil {
			dedupMemories[scope] = &dedupTable{map[uint64]time.Duration{}}
		}
		b.dedup = dedupMemories[scope]
		r.backends, r.backendsByName[b.name()], r.backendsByAddr[b.addr()] = append(r.backends, b), b, b
	}
	for number := range r.config.gateways {
		g := &gateway{
			world: r.world, check: &r.check, runner: r, number: number,
			partitionedUntil: map[*backend]time.Duration{}, maxDescriptors: r.config.maxDescriptors,
		}
		g.endpoints.lastDiscovery = r.fullDiscoveryUpdate()
		g.startProcess()
		r.gateways = append(r.gateways, g)
	}
}

// checkPeriodically checks deadlines and timers now, and every checkInterval for the rest of the run.
func (r *runner) checkPeriodically() {
	r.check.checkDeadlines()
	for _, g := range r.gateways {
		if g.up {
			r.check.checkTimers(g)
		}
	}
	r.scheduleAfter(checkInterval, r.checkPeriodically)
}
