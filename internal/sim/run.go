package sim

import (
	"time"
)

// Options of a run. The zero value is a run as its seed has it.
type Options struct {
	Script   *Script      // in place of the seed's; nil: the seed's
	Trace    func(string) // takes each line of the trace; nil: none is made
	MaxSteps int          // bounds the run; 0: 200,000
}

const defaultMaxSteps = 200_000

// Result is what came of a run.
type Result struct {
	Seed       uint64
	Script     Script
	Violations []Violation // of the step that broke a rule; none if no rule was broken
	Hash       uint64      // of the trace
	Steps      int
	Simulated  time.Duration

	// Requests by their ends. LostWithGateway are those that ended with their gateway's process.
	Served, Rejected, Failed, LostWithGateway int
	AttemptsStarted                           int // by a gateway's lifecycle machine
	AttemptsSent                              int // of which a byte has left the gateway
}

// runner is one run: the world and all actors in it.
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
	counterLoss     float64             // share of its additions that the counter of usage loses now
	flooding        map[int]bool        // customers that send far beyond their plan now
	disconnectShare map[int]float64     // by customer, of its clients that disconnect early now
	reuseShare      map[int]float64     // by customer, of its requests that reuse an earlier id now
	duplicateShare  map[int]float64     // by customer, of its requests that are sent twice now

	requests       []*clientRequest // by number
	lastKey        uint64
	receivedCount  uint64 // requests that backends have received whole
	clientsStopped bool   // clients send nothing any more
	backendAction  string // what a backend does with the first request, for RunSingleRequest; empty: nothing special
}

// settleTime is long enough after the last request for everything to end by itself: faults,
// restarts, the longest deadline, and blocking queries to an agent that doesn't answer, which are
// given up after 12.6 s, with the next ones.
const settleTime = 25 * time.Second

// checkInterval is how often rules are checked that no event checks.
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
		effectsByID: map[effectID]int{}, effectsByKey: map[uint64]int{}, effectsPerProcess: map[effectID]int{},
		volatileKeys: map[uint64]bool{},
	}
	r.agent = newAgent(r)
	return r
}

// Run makes the run of a seed.
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

// populate starts backends, each in a cell, and gateways. Backends in one deduplication scope share
// what they remember of keys.
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

// checkPeriodically checks deadlines and timers for the rest of the run.
func (r *runner) checkPeriodically() {
	r.check.checkDeadlines()
	for _, g := range r.gateways {
		if g.up {
			r.check.checkTimers(g)
		}
	}
	r.scheduleAfter(checkInterval, r.checkPeriodically)
}
