package sim

import (
	"strconv"
	"strings"

	"pumicecroft/internal/lifecycle"
)

// onFinal is told of a request's final answer. effect is nil if the lifecycle machine did not give
// it.
func (c *checker) onFinal(request *clientRequest, verdict string, effect *lifecycle.Effect) {
	request.finalCount++
	request.verdict = verdict
	c.checkFinal(request, verdict, effect)
	switch verdict {
	case verdictServed:
		c.served++
	case verdictRejected:
		c.rejected++
	default:
		c.failed++
	}
}

// checkFinal checks a final answer; it reports the first rule that is broken.
func (c *checker) checkFinal(request *clientRequest, verdict string, effect *lifecycle.Effect) {
	overdue := c.world.now > request.arrivedAt+request.timeout
	switch {
	case request.finalCount > 1:
		c.world.violatef(ruleOneFinalAnswer, "request %d has %d", request.number, request.finalCount)
	case overdue && verdict != verdictDisconnected && !request.gateway.pausedDuring(request.arrivedAt, c.world.now):
		c.world.violatef(ruleAnswerInTime, "request %d was answered %s %v after its arrival, its client waits %v",
			request.number, verdict, c.world.now-request.arrivedAt, request.timeout)
	case verdict == verdictDisconnected:
		if !request.disconnected {
			c.world.violatef(ruleOwnAnswer, "request %d ends as left, and its client is there", request.number)
		}
	case verdict == verdictRejected:
		c.checkRejection(request)
	case verdict == verdictServed:
		c.checkServed(request, effect)
	}
}

func (c *checker) checkRejection(request *clientRequest) {
	switch {
	case request.executions > 0 && c.rejectionImpliesNotExecuted(request):
		c.world.violatef(ruleHarmlessRejection, "request %d of class %s was rejected and has been executed %d times",
			request.number, request.class, request.executions)
	case request.streamedAttempt > 0:
		c.world.violatef(ruleHarmlessRejection, "request %d was rejected with a part of its response at its client",
			request.number)
	}
}

func (c *checker) checkServed(request *clientRequest, effect *lifecycle.Effect) {
	byKey := effect == nil
	switch {
	case request.response == nil,
		!byKey && request.responseAttempt != effect.Attempt,
		!c.isOwnResponse(request, string(request.response.Body), byKey):
		c.world.violatef(ruleOwnAnswer, "request %d was served with what is not its response", request.number)
	case !byKey && request.streamedAttempt > 0 && request.streamedAttempt != effect.Attempt+1:
		c.world.violatef(ruleOwnAnswer, "request %d has the beginning of attempt %d and was served by %d",
			request.number, request.streamedAttempt-1, effect.Attempt)
	}
}

// isOwnResponse tells whether a body is of a response to this request. A response that is given by
// the key is the one to the first request of that key.
func (c *checker) isOwnResponse(request *clientRequest, body string, byKey bool) bool {
	if !byKey {
		return body == request.expectedBody()
	}
	text, _, _ := strings.Cut(strings.TrimPrefix(body, "ask="), ";")
	number, err := strconv.Atoi(text)
	if err != nil || number < 0 || number >= len(c.runner.requests) {
		return false
	}
	first := c.runner.requests[number]
	return first.key == request.key && first.class == request.class && first.customer == request.customer &&
		first.fingerprint == request.fingerprint && body == first.expectedBody()
}

// onResponseStarted is told of a response that begins to be passed on.
func (c *checker) onResponseStarted(attempt *attempt) {
	request := attempt.request
	if request.finalCount > 0 || request.streamedAttempt > 0 {
		c.world.violatef(ruleNothingAfterFinal, "the response of %d/%d begins after %d final answers, with %d begun",
			request.number, attempt.number, request.finalCount, request.streamedAttempt)
	}
	request.streamedAttempt = attempt.number + 1
	c.world.tracef("the answer of %d/%d begins", request.number, attempt.number)
}

// onAttemptStarted is told of an attempt that the lifecycle machine starts. A request's first
// counts as usage.
func (c *checker) onAttemptStarted(g *gateway, attempt *attempt) {
	request := attempt.request
	request.attemptCount++
	first := request.attemptCount == 1
	if first {
		c.runner.recordUsage(request)
	}
	c.attemptsStarted++
	name := g.endpoints.nameByID[attempt.backend]
	if request.finalCount > 0 && !g.isKeyLeader(request) {
		c.world.violatef(ruleNothingAfterFinal, "request %d is sent to %s after it was answered %s",
			request.number, name, request.verdict)
	}
	if request.notAdmitted {
		c.world.violatef(ruleNothingAfterFinal, "request %d is sent to %s and was not admitted",
			request.number, name)
	}
	c.checkDrain(g, attempt, 0)
	if request.customer == flagshipCustomer && first {
		c.hardLimit.take(c.world.now, request.cost)
		if c.hardLimit.tokens < -hardLimitOverdraft {
			c.world.violatef(ruleHardLimit, "request %d takes the flagship's tokens to %.2f",
				request.number, c.hardLimit.tokens)
		}
	}
}

// onAttemptSent is told of an attempt's first byte that leaves a gateway. Nothing leaves for a
// client that has disconnected; a process that is paused learns of that once it goes on.
func (c *checker) onAttemptSent(g *gateway, attempt *attempt) {
	c.checkDrain(g, attempt, sendTolerance)
	request := attempt.request
	if request == nil || !request.disconnected || g.isKeyLeader(request) {
		return
	}
	noticedAt := request.disconnectedAt
	for _, interval := range g.pauses {
		if interval[0] <= noticedAt+disconnectTolerance {
			noticedAt = max(noticedAt, interval[1])
		}
	}
	if c.world.now > noticedAt+disconnectTolerance {
		c.world.violatef(ruleDisconnected, "gateway %d sends request %d %v after its client has disconnected",
			g.number, request.number, c.world.now-request.disconnectedAt)
	}
}

// onExecuted is told of a request that a backend has executed.
func (c *checker) onExecuted(received *receivedRequest, b *backend) {
	request := received.request
	request.executions++
	hasEffect := request.class == "once" || received.keyIsNew
	if !request.idempotent() && hasEffect {
		request.effectCount++
		c.countEffectOfID(request)
	}
	if request.class == "pay" && received.keyIsNew && !request.keyReused {
		c.countEffectOfRetries(request)
	}
	if !request.idempotent() && hasEffect && c.runner.config.deduplicatesAllKeys() {
		c.countEffectOfKey(request)
	}
	c.world.tracef("backend %d ran %d", b.number, request.number)
	if request.effectCount > 1 {
		c.world.violatef(ruleSingleEffect, "request %d of class %s had its effect %d times",
			request.number, request.class, request.effectCount)
	}
	if request.finalCount > 0 && request.verdict == verdictRejected && c.rejectionImpliesNotExecuted(request) {
		c.world.violatef(ruleHarmlessRejection, "request %d of class %s is executed after its rejection",
			request.number, request.class)
	}
}

// countEffectOfID counts an effect of a request id: a process remembers ids, and rejects one that
// may have been executed.
func (c *checker) countEffectOfID(request *clientRequest) {
	id := effectID{request.id, request.gateway, request.gatewayEpoch}
	c.effectsByID[id]++
	if n := c.effectsByID[id]; request.idReused && n > 1 && !c.runner.config.evictsIDs {
		c.world.violatef(ruleSingleEffect, "id %x has had its effect %d times, the last as request %d",
			request.id, n, request.number)
	}
}

// countEffectOfRetries counts an effect of a key whose clients retry what was rejected, and nothing
// else.
func (c *checker) countEffectOfRetries(request *clientRequest) {
	c.effectsByKey[request.key]++
	if c.effectsByKey[request.key] > 1 && request.effectCount == 1 {
		c.world.violatef(ruleHarmlessRejection, "request %d, a retry of a rejected one, has its effect once more",
			request.number)
	}
}

// countEffectOfKey counts an effect of a key at a gateway that recognises all keys: it has one,
// whoever sends it how often. With a journal that holds over restarts, but for keys that were not
// on disk in time.
func (c *checker) countEffectOfKey(request *clientRequest) {
	id := effectID{mix(request.key ^ uint64(request.customer)<<40), request.gateway, request.gatewayEpoch}
	if c.runner.config.journalsKeys && !c.volatileKeys[request.key] {
		id.epoch = 0
	}
	c.effectsPerProcess[id]++
	if n := c.effectsPerProcess[id]; n > 1 {
		c.world.violatef(ruleSingleEffect, "the key of request %d has had its effect %d times",
			request.number, n)
	}
}

// checkDeadlines looks for requests that have no answer in time, at gateways that could have given
// one. What a gateway's process had when it was killed is left to its clients.
func (c *checker) checkDeadlines() {
	open := c.unanswered[:0]
	for _, request := range c.unanswered {
		g := request.gateway
		switch {
		case request.finalCount > 0:
		case request.gatewayEpoch != g.epoch:
			c.lostWithGateway++
		case c.world.now > request.arrivedAt+request.timeout && !g.pausedDuring(request.arrivedAt, c.world.now):
			c.world.violatef(ruleOneFinalAnswer, "request %d has none %v after its arrival",
				request.number, c.world.now-request.arrivedAt)
		default:
			open = append(open, request)
		}
	}
	clear(c.unanswered[len(open):])
	c.unanswered = open
}
