package sim

import (
	"strconv"
	"strings"
	"time"

	"pumicecroft/decision"
	"pumicecroft/internal/lifecycle"
	"pumicecroft/membership"
)

// The platform's figures (BRIEF 8, PROTOCOL).
const (
	defaultDrainGrace      = 2 * time.Second
	slowStartMinCapacity   = 0.2
	slowStartWindow        = 14 * time.Second
	platformOverloadFactor = 4.0
	hardLimitRate          = 20.0
	hardLimitBurst         = 30.0
	hardLimitOverdraft     = 3.0
	flagshipCustomer       = 0 // the customer whose plan has a ceiling
)

// checker holds the five rules against what happens, and that nothing is lost or kept for good.
type checker struct {
	world      *world
	runner     *runner
	unanswered []*clientRequest // taken, without a final answer
	hardLimit  struct {         // of the flagship's ceiling
		tokens  float64
		at      time.Duration
		started bool
	}
	effectsByID                               map[effectID]int
	effectsByKey                              map[uint64]int   // effects of each
	effectsPerProcess                         map[effectID]int // effects of each key at a process, or at a door with a journal
	volatileKeys                              map[uint64]bool  // keys that went on with nothing on disk, as is stated
	served, rejected, failed, lostWithGateway int
	attemptsStarted, attemptsSent             int // attempts
}

// effectID names what must have its effect once: an id at a process that remembers it.
type effectID struct {
	id      uint64
	gateway *gateway
	epoch   int
}

// onFinal is the one final answer to an ask. e is nil if it was not let in.
func (c *checker) onFinal(request *clientRequest, verdict string, effect *lifecycle.Effect) {
	request.finalCount++
	request.verdict = verdict
	overdue := c.world.now > request.arrivedAt+request.timeout
	switch {
	case request.finalCount > 1:
		c.world.violatef("one final answer", "ask %d has %d", request.number, request.finalCount)
	case overdue && verdict != "left" && !request.gateway.pausedDuring(request.arrivedAt, c.world.now):
		c.world.violatef("answers in time", "ask %d was answered %s %v after its arrival, its client waits %v", request.number, verdict, c.world.now-request.arrivedAt, request.timeout)
	case verdict == "left" && !request.disconnected:
		c.world.violatef("answers are their own", "ask %d ends as left, and its client is there", request.number)
	case verdict == "refused" && request.executions > 0 && (request.class == "once" || request.class == "pay" && c.runner.config.dedupScope != decision.DedupScopeAll):
		c.world.violatef("a refusal is harmless", "ask %d of class %s was refused and has run %d times", request.number, request.class, request.executions)
	case verdict == "refused" && request.streamedAttempt > 0:
		c.world.violatef("a refusal is harmless", "ask %d was refused with a part of its answer at its client", request.number)
	case verdict == "served" && (request.response == nil || effect != nil && request.responseAttempt != effect.Attempt || !c.isOwnResponse(request, string(request.response.Body), effect == nil)):
		c.world.violatef("answers are their own", "ask %d was served with what is not its answer", request.number)
	case verdict == "served" && effect != nil && request.streamedAttempt > 0 && request.streamedAttempt != effect.Attempt+1:
		c.world.violatef("answers are their own", "ask %d has the beginning of attempt %d and was served by %d", request.number, request.streamedAttempt-1, effect.Attempt)
	}
	switch verdict {
	case "served":
		c.served++
	case "refused":
		c.rejected++
	default:
		c.failed++
	}
}

// isOwnResponse tells whether an answer is an ask's own; by its key that is the one of the ask that its key's first was.
func (c *checker) isOwnResponse(request *clientRequest, body string, byKey bool) bool {
	if !byKey {
		return body == request.expectedBody()
	}
	text, _, _ := strings.Cut(strings.TrimPrefix(body, "ask="), ";")
	number, err := strconv.Atoi(text)
	if err != nil || number < 0 || number >= len(c.runner.requests) {
		return false
	}
	original := c.runner.requests[number]
	return original.key == request.key && original.class == request.class && original.customer == request.customer && original.digest == request.digest && body == original.expectedBody()
}

// onResponseStarted is an answer that begins to be passed on.
func (c *checker) onResponseStarted(attempt *attempt) {
	request := attempt.request
	if request.finalCount > 0 || request.streamedAttempt > 0 {
		c.world.violatef("nothing follows the final answer", "the answer of %d/%d begins after it had %d answers and another's beginning %d", request.number, attempt.number,
			request.finalCount, request.streamedAttempt)
	}
	request.streamedAttempt = attempt.number + 1
	c.world.tracef("the answer of %d/%d begins", request.number, attempt.number)
}

// onAttemptStarted is an attempt that leaves a door's core.
func (c *checker) onAttemptStarted(g *gateway, attempt *attempt) {
	request := attempt.request
	if request.sentCount++; request.sentCount == 1 {
		c.runner.recordUsage(request) // what is sent on counts, once
	}
	c.attemptsStarted++
	name := g.endpoints.nameByID[attempt.backend]
	if request.finalCount > 0 && !g.runsForKey(request) {
		c.world.violatef("nothing follows the final answer", "ask %d is sent to %s after it was answered %s", request.number, name, request.verdict)
	}
	if request.notAdmitted {
		c.world.violatef("nothing follows the final answer", "ask %d is sent to %s after it was turned away", request.number, name)
	}
	c.checkDrain(g, attempt, 0)
	if request.customer == flagshipCustomer && request.sentCount == 1 {
		hardLimit := &c.hardLimit
		if !hardLimit.started {
			hardLimit.started, hardLimit.tokens, hardLimit.at = true, hardLimitBurst, c.world.now
		}
		hardLimit.tokens = min(hardLimitBurst, hardLimit.tokens+hardLimitRate*(c.world.now-hardLimit.at).Seconds()) - request.cost
		hardLimit.at = c.world.now
		if hardLimit.tokens < -hardLimitOverdraft {
			c.world.violatef("ceilings hold", "ask %d takes the flagship's store to %.2f", request.number, hardLimit.tokens)
		}
	}
}

// onAttemptSent is an attempt whose first byte leaves a door.
func (c *checker) onAttemptSent(g *gateway, attempt *attempt) {
	c.checkDrain(g, attempt, sendTolerance)
	request := attempt.request
	if request == nil || !request.disconnected || g.runsForKey(request) {
		return
	}
	noticed := request.disconnectedAt
	for _, interval := range g.pauses { // a process that stood still learns of it once it goes on
		if interval[0] <= noticed+disconnectTolerance {
			noticed = max(noticed, interval[1])
		}
	}
	if c.world.now > noticed+disconnectTolerance {
		c.world.violatef("who has left is sent nothing", "door %d sends ask %d %v after its client has left", g.number, request.number, c.world.now-request.disconnectedAt)
	}
}

// disconnectTolerance is how long a request may still leave once its client has.
const disconnectTolerance = 300 * time.Millisecond

// sendTolerance is what sockets add to the limit.
const sendTolerance = 50 * time.Millisecond

func (c *checker) checkDrain(g *gateway, attempt *attempt, slack time.Duration) {
	name := g.endpoints.nameByID[attempt.backend]
	knownSince, draining := g.endpoints.drainKnownSince[name]
	if at, arrived := g.endpoints.drainArrivedAt[name]; arrived && (!draining || at < knownSince) {
		knownSince, draining = at, true
	}
	if draining && c.world.now > knownSince+c.runner.config.drainGrace+slack {
		c.world.violatef("drains are honoured", "door %d sends ask %d to %s, of which it was told %v before that it drains or is gone", g.number, attempt.request.number,
			name, c.world.now-knownSince)
	}
}

// onExecuted is an attempt that a backend has run.
func (c *checker) onExecuted(received *receivedRequest, b *backend) {
	request := received.request
	request.executions++
	if !request.idempotent() && (request.class == "once" || received.keyIsNew) {
		request.effectCount++
		effect := effectID{request.id, request.gateway, request.gatewayEpoch}
		c.effectsByID[effect]++
		if request.idReused && c.effectsByID[effect] > 1 && !c.runner.config.forgetsIDs {
			c.world.violatef("effects stay single", "id %x has had its effect %d times, the last as ask %d", request.id, c.effectsByID[effect], request.number)
		}
	}
	if request.class == "pay" && received.keyIsNew && !request.keyReused { // clients try again what was refused, and nothing else
		if c.effectsByKey[request.key]++; c.effectsByKey[request.key] > 1 && request.effectCount == 1 {
			c.world.violatef("a refusal is harmless", "ask %d, which was tried again after a refusal, has its effect once more", request.number)
		}
	}
	// Where the door recognises keys and has room for all, a key has its effect once, whoever asks how often.
	if !request.idempotent() && c.runner.config.dedupBytes >= 1<<20 && (request.class == "once" || received.keyIsNew) {
		effect := effectID{mix(request.key ^ uint64(request.customer)<<40), request.gateway, request.gatewayEpoch}
		if c.runner.config.journalsKeys && !c.volatileKeys[request.key] {
			effect.epoch = 0
		}
		if c.effectsPerProcess[effect]++; c.effectsPerProcess[effect] > 1 {
			c.world.violatef("effects stay single", "the key of ask %d has had its effect %d times", request.number, c.effectsPerProcess[effect])
		}
	}
	c.world.tracef("backend %d ran %d", b.number, request.number)
	if request.effectCount > 1 {
		c.world.violatef("effects stay single", "ask %d of class %s had its effect %d times", request.number, request.class, request.effectCount)
	}
	if request.finalCount > 0 && request.verdict == "refused" && (request.class == "once" || request.class == "pay" && c.runner.config.dedupScope != decision.DedupScopeAll) {
		c.world.violatef("a refusal is harmless", "ask %d of class %s runs after it was refused", request.number, request.class)
	}
}

// onOverload is a cold backend that was sent too much.
func (c *checker) onOverload(b *backend, requests int) {
	c.world.violatef("cold backends are spared", "backend %d, started %v ago, was sent %d in %v", b.number, c.world.now-b.startedAt, requests, b.overloadDuration)
}

// onBackendRemoved is a node that a door's table lets go of.
func (c *checker) onBackendRemoved(g *gateway, name string) {
	b := c.runner.byName[name]
	if b.listed && (b.listedAt == 0 || c.world.now-b.listedAt > 5*time.Second && !g.pausedDuring(b.listedAt, c.world.now)) {
		c.world.violatef("the last list is kept", "door %d lets go of %s, which no list has lost for good", g.number, name)
	}
}

// checkBounds holds the bounds on what a door keeps.
func (c *checker) checkBounds(g *gateway) {
	if n := g.httpPool.Pool.Count(); n > c.runner.config.maxConns || n < 0 {
		c.world.violatef("everything has its bound", "door %d has %d connections, %d at the most", g.number, n, c.runner.config.maxConns)
	}
	if g.dedup != nil && g.dedup.Bytes() > c.runner.config.dedupBytes {
		c.world.violatef("everything has its bound", "door %d keeps %d bytes of keys, %d at the most", g.number, g.dedup.Bytes(), c.runner.config.dedupBytes)
	}
	if n := g.machine.RememberedIDs(); n > c.runner.config.maxRequestIDs {
		c.world.violatef("everything has its bound", "door %d remembers %d ids, %d at the most", g.number, n, c.runner.config.maxRequestIDs)
	}
	if n := g.machine.OpenRequests(); n > c.runner.config.maxOpenRequests {
		c.world.violatef("everything has its bound", "door %d keeps %d requests, %d at the most", g.number, n, c.runner.config.maxOpenRequests)
	}
}

// checkTimers holds the bound on what a core waits for: nothing of an ended request.
func (c *checker) checkTimers(g *gateway) {
	if n, most := g.machine.PendingTimers(), 1+g.machine.OpenRequests()*2*(1+c.runner.config.maxAttempts); n > most {
		c.world.violatef("everything has its bound", "door %d has %d timers for %d requests", g.number, n, g.machine.OpenRequests())
	}
}

// onGatewayStopped is a door that ends by itself: nothing that it has taken is left without an answer.
func (c *checker) onGatewayStopped(g *gateway) {
	for _, request := range c.unanswered {
		if request.gateway == g && request.gatewayEpoch == g.epoch && request.finalCount == 0 {
			c.world.violatef("one final answer", "ask %d has none, and its door ends", request.number)
		}
	}
	if n := g.httpPool.Pool.Idle(); n > 0 {
		c.world.violatef("everything is given back", "door %d ends with %d idle connections", g.number, n)
	}
}

// checkDeadlines looks for asks whose time is up and that have no answer, at doors that could have given it.
func (c *checker) checkDeadlines() {
	open := c.unanswered[:0]
	for _, request := range c.unanswered {
		switch {
		case request.finalCount > 0:
		case request.gatewayEpoch != request.gateway.epoch: // the door was killed with it: it is left to its client
			c.lostWithGateway++
		case c.world.now > request.arrivedAt+request.timeout && !request.gateway.pausedDuring(request.arrivedAt, c.world.now):
			c.world.violatef("one final answer", "ask %d has none %v after its arrival", request.number, c.world.now-request.arrivedAt)
		default:
			open = append(open, request)
		}
	}
	clear(c.unanswered[len(open):])
	c.unanswered = open
}

// checkAtRest looks at what is left once all has ended.
func (c *checker) checkAtRest(doors []*gateway) {
	for _, g := range doors {
		if !g.up {
			continue
		}
		if n := g.machine.OpenRequests(); n > 0 || len(g.attempts) > 0 {
			c.world.violatef("everything is given back", "door %d keeps %d requests and %d attempts when nothing is asked any more", g.number, n, len(g.attempts))
		}
		if n := g.machine.UnmatchedOutcomes(); n > 0 {
			c.world.violatef("every action fits", "%d actions of door %d's decision module fit no request", n, g.number)
		}
		if n := g.machine.PendingTimers(); n != 1 { // the decision module's own
			c.world.violatef("everything is given back", "door %d keeps %d timers when nothing is asked any more", g.number, n)
		}
		if n := g.httpPool.Pool.Count(); n != g.httpPool.Pool.Idle() || n != g.openConns {
			c.world.violatef("everything is given back", "door %d has %d connections open, counts %d and has %d idle when nothing is asked any more", g.number,
				g.openConns, n, g.httpPool.Pool.Idle())
		}
		if g.dedup != nil && (g.dedup.Waiting() > 0 || len(g.requestByKey) > 0) {
			c.world.violatef("everything is given back", "at door %d %d wait with a key and %d are in flight by one", g.number, g.dedup.Waiting(), len(g.requestByKey))
		}
		if log := g.journal.log; log != nil {
			if usage := log.Usage(); log.Err() != nil || usage.UnwrittenBytes > 0 || usage.PendingBytes > 0 || usage.Bytes > 2*usage.LiveBytes+4*journalPolicy.SegmentBytes {
				c.world.violatef("everything is given back", "door %d's journal ends as %+v, %v", g.number, usage, log.Err())
			}
		}
		known := map[string]bool{}
		for _, status := range g.table.Statuses() {
			backend := c.runner.byName[status.Name]
			if known[status.Name] = true; status.EffectiveState == membership.Draining || status.Addr != backend.addr() {
				c.world.violatef("lists come true", "door %d believes %s to be %v at %s (%s), and it is well at %s", g.number, status.Name, status.EffectiveState, status.Addr, status.Reason, backend.addr())
			}
		}
		for _, backend := range c.runner.backends {
			if !known[backend.name()] {
				c.world.violatef("lists come true", "door %d does not know %s", g.number, backend.name())
			}
		}
	}
	if len(c.unanswered) > 0 {
		c.world.violatef("everything is accounted for", "%d asks have no end", len(c.unanswered))
	}
}
