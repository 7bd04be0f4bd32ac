package sim

import (
	"time"

	"pumicecroft/decision"
	"pumicecroft/membership"
)

// Parameters of the platform: its drain grace, the slow start of backends, and the hard limit of a plan.
const (
	defaultDrainGrace      = 2 * time.Second
	slowStartMinCapacity   = 0.2 // share of a backend's full capacity at its start
	slowStartWindow        = 14 * time.Second
	platformOverloadFactor = 4.0  // multiple of its current capacity that overloads a backend during its warm-up
	hardLimitRate          = 20.0 // quota units a second
	hardLimitBurst         = 30.0 // quota units
	hardLimitOverdraft     = 3.0  // quota units by which the tokens may be negative
	flagshipCustomer       = 0    // the customer whose plan has a hard limit
)

// Names of the rules. The recorded runs in testdata/corpus.toml and the planted bugs in testdata/mutants.toml refer
// to rules by these texts.
const (
	ruleOneFinalAnswer      = "one final answer"
	ruleAnswerInTime        = "answers in time"
	ruleOwnAnswer           = "answers are their own"
	ruleSameAnswer          = "what was answered is answered alike"
	ruleRequestUnchanged    = "requests go on as they came"
	ruleUpdatesValid        = "lists make sense"
	ruleJournalReadable     = "the journal is read again"
	ruleNothingAfterFinal   = "nothing follows the final answer"
	ruleHarmlessRejection   = "a refusal is harmless"
	ruleSingleEffect        = "effects stay single"
	ruleHardLimit           = "ceilings hold"
	ruleDrain               = "drains are honoured"
	ruleDisconnected        = "who has left is sent nothing"
	ruleSlowStart           = "cold backends are spared"
	ruleLastEndpointsKept   = "the last list is kept"
	ruleEndpointsConverge   = "lists come true"
	ruleBounded             = "everything has its bound"
	ruleReleased            = "everything is given back"
	ruleAccounted           = "everything is accounted for"
	ruleActionsMatchRequest = "every action fits"
)

// Verdicts: how requests end, as written to traces. verdictNames maps the lifecycle machine's verdicts.
const (
	verdictServed       = "served"
	verdictRejected     = "refused"
	verdictFailed       = "failed"
	verdictLate         = "late"
	verdictDisconnected = "left"
	verdictAborted      = "aborted"
	verdictNotAdmitted  = "turned away"
)

const (
	// disconnectTolerance is how long after its client's disconnect a request may still be sent.
	disconnectTolerance = 300 * time.Millisecond
	// sendTolerance is added to the drain grace in the check of an attempt's first byte, which is sent
	// later than the decision to send it.
	sendTolerance = 50 * time.Millisecond
	// listedTolerance is how long after a backend was listed again a gateway may still remove it.
	listedTolerance = 5 * time.Second
)

// checker checks the rules during a run, see their names above: the platform's, and that no request is lost
// and no resource leaks.
type checker struct {
	world      *world
	runner     *runner
	unanswered []*clientRequest // received by a gateway, without a final answer
	hardLimit  tokenBucket      // of the flagship customer, across all gateways

	effectsByID          map[effectID]int
	effectsByKey         map[uint64]int   // by key, for keys that a client sends again only after a rejection
	effectsPerDedupScope map[effectID]int // of each key, per process that deduplicates it or, with a journal, per gateway
	volatileKeys         map[uint64]bool  // keys executed without a durable record, which is allowed

	// Numbers of requests by outcome. Those lostWithGateway had no answer when their gateway was killed.
	served, rejected, failed, lostWithGateway int
	attemptsStarted, attemptsSent             int
}

// tokenBucket is the token bucket of a plan's hard limit.
type tokenBucket struct {
	tokens     float64
	refilledAt time.Duration
	started    bool
}

// take refills the bucket and takes a cost out of it. The number of tokens may become negative.
func (b *tokenBucket) take(now time.Duration, cost float64) {
	if !b.started {
		b.started, b.tokens, b.refilledAt = true, hardLimitBurst, now
	}
	b.tokens = min(hardLimitBurst, b.tokens+hardLimitRate*(now-b.refilledAt).Seconds()) - cost
	b.refilledAt = now
}

// effectID identifies something that must have at most one effect: a request id or an idempotency key
// at a gateway process.
type effectID struct {
	id      uint64 // request id, or hash of key and customer
	gateway *gateway
	epoch   int // of the process; 0: all processes of the gateway
}

// rejectionImpliesNotExecuted reports whether a rejection of this request promises that it was not
// executed and never will be. It does so for requests that are not idempotent and that not all
// backends deduplicate by key: clients retry them after a rejection, and the retry may reach a backend
// that does not know the key.
func (c *checker) rejectionImpliesNotExecuted(request *clientRequest) bool {
	return request.class == "once" || request.class == "pay" && c.runner.config.dedupScope != decision.DedupScopeAll
}

// checkDrain checks that nothing is sent to a backend that the process has known to be draining or
// removed for longer than the drain grace. Drains that arrived during a pause count as known.
func (c *checker) checkDrain(g *gateway, attempt *attempt, tolerance time.Duration) {
	name := g.endpoints.nameByID[attempt.backend]
	knownSince, draining := g.endpoints.drainKnownSince[name]
	if at, arrived := g.endpoints.drainArrivedAt[name]; arrived && (!draining || at < knownSince) {
		knownSince, draining = at, true
	}
	if draining && c.world.now > knownSince+c.runner.config.drainGrace+tolerance {
		c.world.violatef(ruleDrain, "gateway %d sends request %d to %s, known to drain or be removed for %v",
			g.number, attempt.request.number, name, c.world.now-knownSince)
	}
}

// onOverload reports a backend that received too many requests during its warm-up.
func (c *checker) onOverload(b *backend, requests int) {
	c.world.violatef(ruleSlowStart, "backend %d, started %v ago, was sent %d requests in %v",
		b.number, c.world.now-b.startedAt, requests, b.overloadDuration)
}

// onBackendRemoved checks that a backend that a gateway's membership table removes is no longer listed
// by the sources, or was listed again only recently. One with listedAt 0 has been listed all along.
func (c *checker) onBackendRemoved(g *gateway, name string) {
	b := c.runner.backendsByName[name]
	if !b.listed {
		return
	}
	if b.listedAt == 0 || c.world.now-b.listedAt > listedTolerance && !g.pausedDuring(b.listedAt, c.world.now) {
		c.world.violatef(ruleLastEndpointsKept, "gateway %d removes %s, which no source has lost for good",
			g.number, name)
	}
}

// checkBounds checks the limits on a gateway's connections, keys, request ids and open requests.
func (c *checker) checkBounds(g *gateway) {
	config := &c.runner.config
	c.checkBound(g, "connections", g.httpPool.Pool.Count(), config.maxConns)
	if g.dedup != nil {
		c.checkBound(g, "bytes of keys", g.dedup.Bytes(), config.dedupBytes)
	}
	c.checkBound(g, "remembered ids", g.machine.RememberedIDs(), config.maxRequestIDs)
	c.checkBound(g, "open requests", g.machine.OpenRequests(), config.maxOpenRequests)
}

func (c *checker) checkBound(g *gateway, what string, n, limit int) {
	if n < 0 || n > limit {
		c.world.violatef(ruleBounded, "gateway %d has %d %s, the limit is %d", g.number, n, what, limit)
	}
}

// checkTimers checks that a lifecycle machine keeps no timers of ended requests: each open request has
// at most two timers, and two per attempt, and the engine has one.
func (c *checker) checkTimers(g *gateway) {
	open := g.machine.OpenRequests()
	perRequest := 2 * (1 + c.runner.config.maxAttempts)
	c.checkBound(g, "timers", g.machine.PendingTimers(), 1+open*perRequest)
}

// onGatewayStopped checks a gateway that has shut down gracefully: every request has an answer and no
// connection is left idle.
func (c *checker) onGatewayStopped(g *gateway) {
	for _, request := range c.unanswered {
		if request.gateway == g && request.gatewayEpoch == g.epoch && request.finalCount == 0 {
			c.world.violatef(ruleOneFinalAnswer, "request %d has none, and its gateway stops", request.number)
		}
	}
	if n := g.httpPool.Pool.Idle(); n > 0 {
		c.world.violatef(ruleReleased, "gateway %d stops with %d idle connections", g.number, n)
	}
}

// checkAtEnd checks the state at the end of a run, settleTime after clients have stopped.
func (c *checker) checkAtEnd(gateways []*gateway) {
	for _, g := range gateways {
		if g.up {
			c.checkRequestsAtEnd(g)
			c.checkStoresAtEnd(g)
			c.checkEndpointsAtEnd(g)
		}
	}
	if len(c.unanswered) > 0 {
		c.world.violatef(ruleAccounted, "%d requests have no end", len(c.unanswered))
	}
}

func (c *checker) checkRequestsAtEnd(g *gateway) {
	if n := g.machine.OpenRequests(); n > 0 || len(g.attempts) > 0 {
		c.world.violatef(ruleReleased, "gateway %d keeps %d requests and %d attempts at rest",
			g.number, n, len(g.attempts))
	}
	if n := g.machine.UnmatchedActions(); n > 0 {
		c.world.violatef(ruleActionsMatchRequest, "%d actions of gateway %d's engine match no request",
			n, g.number)
	}
	if n := g.machine.PendingTimers(); n != 1 { // the engine's own
		c.world.violatef(ruleReleased, "gateway %d keeps %d timers at rest", g.number, n)
	}
	if n, idle := g.httpPool.Pool.Count(), g.httpPool.Pool.Idle(); n != idle || n != g.openConns {
		c.world.violatef(ruleReleased, "gateway %d has %d connections open, counts %d and has %d idle at rest",
			g.number, g.openConns, n, idle)
	}
}

func (c *checker) checkStoresAtEnd(g *gateway) {
	if g.dedup != nil && (g.dedup.Waiting() > 0 || len(g.leaderByKey) > 0) {
		c.world.violatef(ruleReleased, "at gateway %d %d requests wait with a key and %d run for one",
			g.number, g.dedup.Waiting(), len(g.leaderByKey))
	}
	log := g.journal.log
	if log == nil {
		return
	}
	usage := log.Usage()
	large := usage.Bytes > 2*usage.LiveBytes+4*journalOptions.SegmentBytes
	if log.Err() != nil || usage.UnwrittenBytes > 0 || usage.PendingBytes > 0 || large {
		c.world.violatef(ruleReleased, "gateway %d's journal ends as %+v, %v", g.number, usage, log.Err())
	}
}

func (c *checker) checkEndpointsAtEnd(g *gateway) {
	known := map[string]bool{}
	for _, status := range g.table.Statuses() {
		known[status.Name] = true
		addr := c.runner.backendsByName[status.Name].addr()
		if status.EffectiveState == membership.Draining || status.Addr != addr {
			c.world.violatef(ruleEndpointsConverge, "gateway %d takes %s to be %v at %s (%s), and it is ready at %s",
				g.number, status.Name, status.EffectiveState, status.Addr, status.Reason, addr)
		}
	}
	for _, b := range c.runner.backends {
		if !known[b.name()] {
			c.world.violatef(ruleEndpointsConverge, "gateway %d does not know %s", g.number, b.name())
		}
	}
}
