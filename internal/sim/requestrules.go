package sim

import (
	"strconv"
	"strings"

	"pumicecroft/internal/lifecycle"
)

// onFinal records and checks a request's final answer. effect is nil if the answer does not come from
// the lifecycle machine.
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

// checkFinal checks a final answer and reports only the first rule that it breaks.
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

// isOwnResponse reports whether a body belongs to a response to this request. A response that was
// replayed or shared by key belongs to the request that was executed for the key.
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

// onResponseStarted records and checks that a response begins to be streamed to its client.
func (c *checker) onResponseStarted(attempt *attempt) {
	request := attempt.request
	if request.finalCount > 0 || request.streamedAttempt > 0 {
		c.world.violatef(ruleNothingAfterFinal, "the response of %d/%d begins after %d final answers, with %d begun",
			request.number, attempt.number, request.finalCount, request.streamedAttempt)
	}
	request.streamedAttempt = attempt.number + 1
	c.world.tracef("the answer of %d/%d begins", request.number, attempt.number)
}

// onAttemptStarted records and checks an attempt that the lifecycle machine starts. The first attempt
// of a request counts as usage.
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

// onAttemptSent checks an attempt when a gateway sends its first byte. Nothing may be sent for a client
// that has disconnected. A process that is paused notices a disconnect only after the pause.
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

// onExecuted records and checks that a backend has executed a request.
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

// countEffectOfID counts an effect by request id. A process remembers ids and rejects a reused id that
// may have been executed, so there must be one effect per id and process, unless ids are evicted early.
func (c *checker) countEffectOfID(request *clientRequest) {
	id := effectID{request.id, request.gateway, request.gatewayEpoch}
	c.effectsByID[id]++
	if n := c.effectsByID[id]; request.idReused && n > 1 && !c.runner.config.evictsIDs {
		c.world.violatef(ruleSingleEffect, "id %x has had its effect %d times, the last as request %d",
			request.id, n, request.number)
	}
}

// countEffectOfRetries counts an effect by key, for keys whose client only retries after a rejection.
func (c *checker) countEffectOfRetries(request *clientRequest) {
	c.effectsByKey[request.key]++
	if c.effectsByKey[request.key] > 1 && request.effectCount == 1 {
		c.world.violatef(ruleHarmlessRejection, "request %d, a retry of a rejected one, has its effect once more",
			request.number)
	}
}

// countEffectOfKey counts an effect by key at a gateway that deduplicates all keys: there must be one,
// however often the key is sent. With a journal this holds across restarts, except for keys that were
// not durable in time.
func (c *checker) countEffectOfKey(request *clientRequest) {
	id := effectID{mix(request.key ^ uint64(request.customer)<<40), request.gateway, request.gatewayEpoch}
	if c.runner.config.journalsKeys && !c.volatileKeys[request.key] {
		id.epoch = 0
	}
	c.effectsPerDedupScope[id]++
	if n := c.effectsPerDedupScope[id]; n > 1 {
		c.world.violatef(ruleSingleEffect, "the key of request %d has had its effect %d times",
			request.number, n)
	}
}

// checkDeadlines checks that unanswered requests are within their timeout, unless their gateway was
// paused. Requests whose gateway process has ended count as lost with it.
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
