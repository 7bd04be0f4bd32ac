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
func (c *checker) onFinal(a *clientRequest, verdict string, e *lifecycle.Effect) {
	a.finalCount++
	a.verdict = verdict
	late := c.world.now > a.arrivedAt+a.timeout
	switch {
	case a.finalCount > 1:
		c.world.violatef("one final answer", "ask %d has %d", a.number, a.finalCount)
	case late && verdict != "left" && !a.gateway.pausedDuring(a.arrivedAt, c.world.now):
		c.world.violatef("answers in time", "ask %d was answered %s %v after its arrival, its client waits %v", a.number, verdict, c.world.now-a.arrivedAt, a.timeout)
	case verdict == "left" && !a.disconnected:
		c.world.violatef("answers are their own", "ask %d ends as left, and its client is there", a.number)
	case verdict == "refused" && a.executions > 0 && (a.class == "once" || a.class == "pay" && c.runner.config.dedupScope != decision.DedupScopeAll):
		c.world.violatef("a refusal is harmless", "ask %d of class %s was refused and has run %d times", a.number, a.class, a.executions)
	case verdict == "refused" && a.streamedAttempt > 0:
		c.world.violatef("a refusal is harmless", "ask %d was refused with a part of its answer at its client", a.number)
	case verdict == "served" && (a.response == nil || e != nil && a.responseAttempt != e.Attempt || !c.isOwnResponse(a, string(a.response.Body), e == nil)):
		c.world.violatef("answers are their own", "ask %d was served with what is not its answer", a.number)
	case verdict == "served" && e != nil && a.streamedAttempt > 0 && a.streamedAttempt != e.Attempt+1:
		c.world.violatef("answers are their own", "ask %d has the beginning of attempt %d and was served by %d", a.number, a.streamedAttempt-1, e.Attempt)
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
func (c *checker) isOwnResponse(a *clientRequest, body string, byKey bool) bool {
	if !byKey {
		return body == a.expectedBody()
	}
	text, _, _ := strings.Cut(strings.TrimPrefix(body, "ask="), ";")
	n, err := strconv.Atoi(text)
	if err != nil || n < 0 || n >= len(c.runner.requests) {
		return false
	}
	first := c.runner.requests[n]
	return first.key == a.key && first.class == a.class && first.customer == a.customer && first.digest == a.digest && body == first.expectedBody()
}

// onResponseStarted is an answer that begins to be passed on.
func (c *checker) onResponseStarted(try *attempt) {
	a := try.request
	if a.finalCount > 0 || a.streamedAttempt > 0 {
		c.world.violatef("nothing follows the final answer", "the answer of %d/%d begins after it had %d answers and another's beginning %d", a.number, try.number,
			a.finalCount, a.streamedAttempt)
	}
	a.streamedAttempt = try.number + 1
	c.world.tracef("the answer of %d/%d begins", a.number, try.number)
}

// onAttemptStarted is an attempt that leaves a door's core.
func (c *checker) onAttemptStarted(d *gateway, try *attempt) {
	a := try.request
	if a.sentCount++; a.sentCount == 1 {
		c.runner.recordUsage(a) // what is sent on counts, once
	}
	c.attemptsStarted++
	name := d.endpoints.nameByID[try.backend]
	if a.finalCount > 0 && !d.runsForKey(a) {
		c.world.violatef("nothing follows the final answer", "ask %d is sent to %s after it was answered %s", a.number, name, a.verdict)
	}
	if a.notAdmitted {
		c.world.violatef("nothing follows the final answer", "ask %d is sent to %s after it was turned away", a.number, name)
	}
	c.checkDrain(d, try, 0)
	if a.customer == flagshipCustomer && a.sentCount == 1 {
		s := &c.hardLimit
		if !s.started {
			s.started, s.tokens, s.at = true, hardLimitBurst, c.world.now
		}
		s.tokens = min(hardLimitBurst, s.tokens+hardLimitRate*(c.world.now-s.at).Seconds()) - a.cost
		s.at = c.world.now
		if s.tokens < -hardLimitOverdraft {
			c.world.violatef("ceilings hold", "ask %d takes the flagship's store to %.2f", a.number, s.tokens)
		}
	}
}

// onAttemptSent is an attempt whose first byte leaves a door.
func (c *checker) onAttemptSent(d *gateway, try *attempt) {
	c.checkDrain(d, try, sendTolerance)
	a := try.request
	if a == nil || !a.disconnected || d.runsForKey(a) {
		return
	}
	since := a.disconnectedAt
	for _, s := range d.pauses { // a process that stood still learns of it once it goes on
		if s[0] <= since+disconnectTolerance {
			since = max(since, s[1])
		}
	}
	if c.world.now > since+disconnectTolerance {
		c.world.violatef("who has left is sent nothing", "door %d sends ask %d %v after its client has left", d.number, a.number, c.world.now-a.disconnectedAt)
	}
}

// disconnectTolerance is how long a request may still leave once its client has.
const disconnectTolerance = 300 * time.Millisecond

// sendTolerance is what sockets add to the limit.
const sendTolerance = 50 * time.Millisecond

func (c *checker) checkDrain(d *gateway, try *attempt, slack time.Duration) {
	name := d.endpoints.nameByID[try.backend]
	told, out := d.endpoints.drainKnownSince[name]
	if at, came := d.endpoints.drainArrivedAt[name]; came && (!out || at < told) {
		told, out = at, true
	}
	if out && c.world.now > told+c.runner.config.drainGrace+slack {
		c.world.violatef("drains are honoured", "door %d sends ask %d to %s, of which it was told %v before that it drains or is gone", d.number, try.request.number,
			name, c.world.now-told)
	}
}

// onExecuted is an attempt that a backend has run.
func (c *checker) onExecuted(j *receivedRequest, b *backend) {
	a := j.request
	a.executions++
	if !a.idempotent() && (a.class == "once" || j.keyIsNew) {
		a.effectCount++
		of := effectID{a.id, a.gateway, a.gatewayEpoch}
		c.effectsByID[of]++
		if a.idReused && c.effectsByID[of] > 1 && !c.runner.config.forgetsIDs {
			c.world.violatef("effects stay single", "id %x has had its effect %d times, the last as ask %d", a.id, c.effectsByID[of], a.number)
		}
	}
	if a.class == "pay" && j.keyIsNew && !a.keyReused { // clients try again what was refused, and nothing else
		if c.effectsByKey[a.key]++; c.effectsByKey[a.key] > 1 && a.effectCount == 1 {
			c.world.violatef("a refusal is harmless", "ask %d, which was tried again after a refusal, has its effect once more", a.number)
		}
	}
	// Where the door recognises keys and has room for all, a key has its effect once, whoever asks how often.
	if !a.idempotent() && c.runner.config.dedupBytes >= 1<<20 && (a.class == "once" || j.keyIsNew) {
		of := effectID{mix(a.key ^ uint64(a.customer)<<40), a.gateway, a.gatewayEpoch}
		if c.runner.config.journalsKeys && !c.volatileKeys[a.key] {
			of.epoch = 0
		}
		if c.effectsPerProcess[of]++; c.effectsPerProcess[of] > 1 {
			c.world.violatef("effects stay single", "the key of ask %d has had its effect %d times", a.number, c.effectsPerProcess[of])
		}
	}
	c.world.tracef("backend %d ran %d", b.number, a.number)
	if a.effectCount > 1 {
		c.world.violatef("effects stay single", "ask %d of class %s had its effect %d times", a.number, a.class, a.effectCount)
	}
	if a.finalCount > 0 && a.verdict == "refused" && (a.class == "once" || a.class == "pay" && c.runner.config.dedupScope != decision.DedupScopeAll) {
		c.world.violatef("a refusal is harmless", "ask %d of class %s runs after it was refused", a.number, a.class)
	}
}

// onOverload is a cold backend that was sent too much.
func (c *checker) onOverload(b *backend, n int) {
	c.world.violatef("cold backends are spared", "backend %d, started %v ago, was sent %d in %v", b.number, c.world.now-b.startedAt, n, b.overloadDuration)
}

// onBackendRemoved is a node that a door's table lets go of.
func (c *checker) onBackendRemoved(d *gateway, name string) {
	b := c.runner.byName[name]
	if b.listed && (b.listedAt == 0 || c.world.now-b.listedAt > 5*time.Second && !d.pausedDuring(b.listedAt, c.world.now)) {
		c.world.violatef("the last list is kept", "door %d lets go of %s, which no list has lost for good", d.number, name)
	}
}

// checkBounds holds the bounds on what a door keeps.
func (c *checker) checkBounds(d *gateway) {
	if n := d.httpPool.Pool.Count(); n > c.runner.config.maxConns || n < 0 {
		c.world.violatef("everything has its bound", "door %d has %d connections, %d at the most", d.number, n, c.runner.config.maxConns)
	}
	if d.dedup != nil && d.dedup.Bytes() > c.runner.config.dedupBytes {
		c.world.violatef("everything has its bound", "door %d keeps %d bytes of keys, %d at the most", d.number, d.dedup.Bytes(), c.runner.config.dedupBytes)
	}
	if n := d.machine.RememberedIDs(); n > c.runner.config.maxRequestIDs {
		c.world.violatef("everything has its bound", "door %d remembers %d ids, %d at the most", d.number, n, c.runner.config.maxRequestIDs)
	}
	if n := d.machine.OpenRequests(); n > c.runner.config.maxOpenRequests {
		c.world.violatef("everything has its bound", "door %d keeps %d requests, %d at the most", d.number, n, c.runner.config.maxOpenRequests)
	}
}

// checkTimers holds the bound on what a core waits for: nothing of an ended request.
func (c *checker) checkTimers(d *gateway) {
	if n, most := d.machine.PendingTimers(), 1+d.machine.OpenRequests()*2*(1+c.runner.config.maxAttempts); n > most {
		c.world.violatef("everything has its bound", "door %d has %d timers for %d requests", d.number, n, d.machine.OpenRequests())
	}
}

// onGatewayStopped is a door that ends by itself: nothing that it has taken is left without an answer.
func (c *checker) onGatewayStopped(d *gateway) {
	for _, a := range c.unanswered {
		if a.gateway == d && a.gatewayEpoch == d.epoch && a.finalCount == 0 {
			c.world.violatef("one final answer", "ask %d has none, and its door ends", a.number)
		}
	}
	if n := d.httpPool.Pool.Idle(); n > 0 {
		c.world.violatef("everything is given back", "door %d ends with %d idle connections", d.number, n)
	}
}

// checkDeadlines looks for asks whose time is up and that have no answer, at doors that could have given it.
func (c *checker) checkDeadlines() {
	open := c.unanswered[:0]
	for _, a := range c.unanswered {
		switch {
		case a.finalCount > 0:
		case a.gatewayEpoch != a.gateway.epoch: // the door was killed with it: it is left to its client
			c.lostWithGateway++
		case c.world.now > a.arrivedAt+a.timeout && !a.gateway.pausedDuring(a.arrivedAt, c.world.now):
			c.world.violatef("one final answer", "ask %d has none %v after its arrival", a.number, c.world.now-a.arrivedAt)
		default:
			open = append(open, a)
		}
	}
	clear(c.unanswered[len(open):])
	c.unanswered = open
}

// checkAtRest looks at what is left once all has ended.
func (c *checker) checkAtRest(doors []*gateway) {
	for _, d := range doors {
		if !d.up {
			continue
		}
		if n := d.machine.OpenRequests(); n > 0 || len(d.attempts) > 0 {
			c.world.violatef("everything is given back", "door %d keeps %d requests and %d attempts when nothing is asked any more", d.number, n, len(d.attempts))
		}
		if n := d.machine.UnmatchedOutcomes(); n > 0 {
			c.world.violatef("every action fits", "%d actions of door %d's decision module fit no request", n, d.number)
		}
		if n := d.machine.PendingTimers(); n != 1 { // the decision module's own
			c.world.violatef("everything is given back", "door %d keeps %d timers when nothing is asked any more", d.number, n)
		}
		if n := d.httpPool.Pool.Count(); n != d.httpPool.Pool.Idle() || n != d.openConns {
			c.world.violatef("everything is given back", "door %d has %d connections open, counts %d and has %d idle when nothing is asked any more", d.number,
				d.openConns, n, d.httpPool.Pool.Idle())
		}
		if d.dedup != nil && (d.dedup.Waiting() > 0 || len(d.requestByKey) > 0) {
			c.world.violatef("everything is given back", "at door %d %d wait with a key and %d are in flight by one", d.number, d.dedup.Waiting(), len(d.requestByKey))
		}
		if log := d.journal.log; log != nil {
			if u := log.Usage(); log.Err() != nil || u.UnwrittenBytes > 0 || u.PendingBytes > 0 || u.Bytes > 2*u.LiveBytes+4*journalPolicy.SegmentBytes {
				c.world.violatef("everything is given back", "door %d's journal ends as %+v, %v", d.number, u, log.Err())
			}
		}
		known := map[string]bool{}
		for _, v := range d.table.Statuses() {
			b := c.runner.byName[v.Name]
			if known[v.Name] = true; v.EffectiveState == membership.Draining || v.Addr != b.addr() {
				c.world.violatef("lists come true", "door %d believes %s to be %v at %s (%s), and it is well at %s", d.number, v.Name, v.EffectiveState, v.Addr, v.Reason, b.addr())
			}
		}
		for _, b := range c.runner.backends {
			if !known[b.name()] {
				c.world.violatef("lists come true", "door %d does not know %s", d.number, b.name())
			}
		}
	}
	if len(c.unanswered) > 0 {
		c.world.violatef("everything is accounted for", "%d asks have no end", len(c.unanswered))
	}
}
