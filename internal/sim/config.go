package sim

import (
	"math/rand/v2"
	"time"

	"pumicecroft/decision"
)

// runConfig is the size of a run and the features that are enabled in it, drawn from the seed.
type runConfig struct {
	gateways  int
	backends  int
	cells     int
	customers int
	duration  time.Duration // clients send requests for this long

	requestRate      float64       // of each customer, in requests per second
	latencyObjective time.Duration // of every class
	deadline         time.Duration // of every class

	canCancel      bool
	reportsUsage   bool // responses report the customer's usage
	perturbsEngine bool // gateways use perturbedEngine

	overloadFactor   float64 // see decision.Settings
	overloadDuration time.Duration
	drainGrace       time.Duration
	dropsQueued      bool // a backend drops queued requests whose connection was closed

	dedupScope  decision.DedupScope // of the class "pay"
	dedupWindow time.Duration       // of the class "pay"

	usesDiscovery bool
	usesCatalog   bool
	cachesCatalog bool // gateways cache the catalog's nodes on disk

	maxConns       int           // in a gateway's connection pool
	maxDescriptors int           // that a gateway process may have open
	idleTimeout    time.Duration // of connections, at both ends

	maxOpenRequests int
	maxAttempts     int
	maxRequestIDs   int
	evictsIDs       bool // maxRequestIDs is so small that ids are evicted before their retention ends

	dedupBytes   int  // memory for idempotency keys at a gateway; 0: gateways do not deduplicate
	journalsKeys bool // gateways also write the keys to a journal on disk
}

// oneOf draws one of the values with equal probability.
func oneOf[T any](rng *rand.Rand, values ...T) T { return values[rng.IntN(len(values))] }

// drawConfig draws the configuration of a run. Changing the order of its draws changes the run of
// every seed.
func drawConfig(rng *rand.Rand) runConfig {
	var c runConfig
	c.gateways = 1 + rng.IntN(3)
	c.backends = 2 + rng.IntN(5)
	c.cells = 1 + rng.IntN(2)
	c.customers = 2 + rng.IntN(4)
	c.duration = randDuration(rng, 4*time.Second, 10*time.Second)
	c.requestRate = 5 + 20*rng.Float64()
	c.canCancel = rng.IntN(4) > 0
	c.reportsUsage = rng.IntN(2) == 0
	c.overloadFactor, c.overloadDuration = platformOverloadFactor, 3*time.Second
	c.dedupScope = decision.DedupScope(rng.IntN(3))
	c.dedupWindow = oneOf(rng, 5*time.Second, 5*time.Second, 400*time.Millisecond, time.Second)
	c.perturbsEngine = rng.IntN(3) == 0
	c.maxConns = oneOf(rng, 4, 16, 64)
	c.maxDescriptors = 1000
	c.idleTimeout = oneOf(rng, 15*time.Second, time.Second)
	c.latencyObjective, c.deadline = time.Second, 3*time.Second
	c.dropsQueued = rng.IntN(2) == 0
	c.maxOpenRequests = oneOf(rng, 4096, 4096, 30)
	c.maxAttempts = oneOf(rng, 16, 16, 2)
	c.maxRequestIDs = 4096
	c.drainGrace = oneOf(rng, defaultDrainGrace, defaultDrainGrace, time.Second, 500*time.Millisecond)
	if rng.IntN(2) == 0 { // backends become overloaded sooner than the platform's do
		c.overloadFactor, c.overloadDuration = 2.5, time.Second
	}
	switch rng.IntN(4) {
	case 0:
		c.usesCatalog = true
	case 1:
		c.usesCatalog, c.usesDiscovery = true, true
	default:
		c.usesDiscovery = true
	}
	c.cachesCatalog = rng.IntN(2) == 0
	if rng.IntN(4) == 0 {
		c.maxRequestIDs, c.evictsIDs = 8, true
	}
	c.dedupBytes = oneOf(rng, 0, 0, 1<<20, 8<<10)
	c.journalsKeys = c.dedupBytes > 0 && rng.IntN(2) == 0
	return c
}

// deduplicatesAllKeys reports whether a gateway has memory for all idempotency keys of a run.
func (c *runConfig) deduplicatesAllKeys() bool { return c.dedupBytes >= 1<<20 }

// responseGrace is the engine's setting ResponseGrace. Backends also use it as the longest network
// delay of a request that gateways have to allow for.
const responseGrace = 50 * time.Millisecond

// Rates of the plans, in cost units per second.
const (
	shopRate     = 40.0
	flagshipRate = 15.0
)

// engineSettings returns the settings of a gateway's decision engine.
func (r *runner) engineSettings(index int) decision.Settings {
	c := &r.config
	newClass := func(name string, idempotency decision.Idempotency) decision.Class {
		return decision.Class{
			Name: name, Idempotency: idempotency, PriorityWeight: 1,
			DedupScope: c.dedupScope, DedupWindow: c.dedupWindow,
			LatencyObjective: c.latencyObjective, Deadline: c.deadline,
		}
	}
	feed := newClass("feed", decision.Idempotent)
	feed.Streaming = true
	settings := decision.Settings{
		GatewayCount: c.gateways, GatewayIndex: index,
		MaxAttempts: 3, CanCancel: c.canCancel, CanProbe: c.perturbsEngine,
		MaxRetryAfter: time.Second, ResponseGrace: responseGrace, DrainGrace: c.drainGrace,
		SlowStartMinCapacity: slowStartMinCapacity, SlowStartWindow: slowStartWindow,
		OverloadFactor: c.overloadFactor, OverloadDuration: c.overloadDuration,
		Classes: []decision.Class{
			newClass("look", decision.Idempotent),
			newClass("pay", decision.IdempotentByKey),
			newClass("once", decision.NonIdempotent),
			feed,
		},
		Plans: []decision.Plan{
			{Name: "shop", Rate: shopRate, Burst: 60, Price: 1},
			{Name: "flagship", Rate: flagshipRate, Burst: 20, Price: 2,
				HardLimitRate: hardLimitRate, HardLimitBurst: hardLimitBurst, HardLimitOverdraft: hardLimitOverdraft},
		},
	}
	if c.reportsUsage {
		settings.UsagePeriod = usagePeriod
	}
	return settings
}

// planName returns the name of a customer's plan.
func planName(customer int) string {
	if customer == flagshipCustomer {
		return "flagship"
	}
	return "shop"
}
