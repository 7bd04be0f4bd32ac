package sim

import (
	"slices"

	"pumicecroft/decision"
	"pumicecroft/idempotency"
	"pumicecroft/internal/lifecycle"
	"pumicecroft/internal/platformhttp"
	"pumicecroft/membership"
)

// onRequest handles a client's request.
func (g *gateway) onRequest(request *clientRequest) {
	request.gatewayEpoch, request.arrivedAt = g.epoch, g.world.now
	g.check.unanswered = append(g.check.unanswered, request)
	g.world.tracef("door %d takes %d, id %x, key %d: %s of customer %d, %v", g.number, request.number, request.id,
		request.key, request.class, request.customer, request.timeout)
	if !request.idempotent() && g.dedup != nil && !g.checkKey(request) {
		return
	}
	if request.ticket != nil && g.journal.log != nil {
		g.whenDurable(request, func() { g.admit(request) })
		g.scheduleWakeups()
		return
	}
	g.admit(request)
}

// admit submits a request to the lifecycle machine, with the part of its timeout that remains after the
// wait for the disk.
func (g *gateway) admit(request *clientRequest) {
	remaining := request.timeout - (g.world.now - request.arrivedAt)
	if request.ticket != nil && remaining <= lifecycle.TimeoutMargin {
		g.completeKey(request, idempotency.NotExecuted, verdictRejected)
		return
	}
	effects, err := g.machine.Submit(g.world.now, request, decision.Request{
		ID: decision.RequestID(request.id), Customer: decision.CustomerID(request.customer),
		Class: request.class, Plan: planName(request.customer), Cost: request.cost,
		Timeout: remaining - lifecycle.TimeoutMargin, GatewaySpread: g.runner.config.gateways,
		Protocol: membership.ProtocolHTTP,
	}, remaining-lifecycle.ResponseMargin)
	g.execute(effects)
	if err != nil {
		request.notAdmitted = true
		if !g.completeKey(request, idempotency.NotExecuted, verdictNotAdmitted) {
			g.check.onFinal(request, verdictNotAdmitted, nil)
		}
	}
}

// execute executes the effects that the lifecycle machine returns. Everything that leaves the process
// is sent in a separate event, so that a kill can occur before it.
func (g *gateway) execute(effects []lifecycle.Effect) {
	for _, effect := range effects {
		switch effect.Kind {
		case lifecycle.StartAttempt:
			g.startRequestAttempt(effect)
		case lifecycle.CancelAttempt:
			g.cancelAttempt(effect)
		case lifecycle.SyncSources:
			g.syncSources(effect)
		case lifecycle.Respond:
			g.respond(effect)
		case lifecycle.ProbeBackend:
			g.startProbe(effect.Backend)
		}
	}
	g.scheduleWakeups()
}

func (g *gateway) startRequestAttempt(effect lifecycle.Effect) {
	request := effect.Tag.(*clientRequest)
	started := &attempt{
		request: request, number: effect.Attempt, backend: effect.Backend,
		deadline: effect.Deadline, notAfter: effect.NotAfter, decidedAt: g.world.now, onEnd: g.attemptEnded,
	}
	request.attempts = append(request.attempts, started)
	g.attempts[started] = true
	g.check.onAttemptStarted(g, started)
	g.triggerKillPoint(atAttemptStart)
	epoch := g.epoch
	g.world.scheduleAfter(0, func() { g.enqueue(epoch, nil, func() { g.startAttempt(started) }) })
}

func (g *gateway) cancelAttempt(effect lifecycle.Effect) {
	cause := platformhttp.Cancelled
	if effect.TimedOut {
		cause = platformhttp.TimedOut
	}
	for _, attempt := range effect.Tag.(*clientRequest).attempts {
		if attempt.number == effect.Attempt {
			attempt.cancel(cause)
		}
	}
}

func (g *gateway) startProbe(backend decision.BackendID) {
	probe := &attempt{backend: backend, deadline: g.world.now + probeTimeout, onEnd: g.probeEnded}
	g.attempts[probe] = true
	epoch := g.epoch
	g.world.scheduleAfter(probeTimeout, func() {
		g.enqueue(epoch, nil, func() { probe.cancel(platformhttp.TimedOut) })
	})
	g.world.scheduleAfter(0, func() { g.enqueue(epoch, nil, func() { g.startAttempt(probe) }) })
}

// verdictNames maps lifecycle.Verdict to the verdicts of the trace and the checker.
var verdictNames = [...]string{
	lifecycle.Served:             verdictServed,
	lifecycle.Rejected:           verdictRejected,
	lifecycle.Failed:             verdictFailed,
	lifecycle.DeadlineExceeded:   verdictLate,
	lifecycle.ClientDisconnected: verdictDisconnected,
	lifecycle.Aborted:            verdictAborted,
}

// keyOutcome returns the outcome of an idempotency key for the verdict of its request.
func keyOutcome(verdict lifecycle.Verdict) idempotency.Outcome {
	switch verdict {
	case lifecycle.Served:
		return idempotency.Succeeded
	case lifecycle.Rejected:
		return idempotency.NotExecuted
	default:
		return idempotency.Unknown
	}
}

// respond gives a request its final answer. If the request was executed for an idempotency key, all
// requests that wait for the key are answered instead.
func (g *gateway) respond(effect lifecycle.Effect) {
	request := effect.Tag.(*clientRequest)
	verdict := verdictNames[effect.Verdict]
	if g.completeKey(request, keyOutcome(effect.Verdict), verdict) {
		return
	}
	g.world.tracef("door %d answers %d: %s", g.number, request.number, verdict)
	g.check.onFinal(request, verdict, &effect)
	g.runner.maybeRetry(request, verdict, effect.RetryAfter)
}

// onDisconnect handles the disconnect of a request's client. A request with a key continues to be
// executed as long as another client waits for the key.
func (g *gateway) onDisconnect(request *clientRequest) {
	if request.ticket == nil {
		g.execute(g.machine.Disconnect(g.world.now, request, decision.RequestID(request.id)))
		return
	}
	if request.finalCount > 0 {
		return
	}
	leader := g.leaderByKey[request.ticket.Entry()]
	abandoned, completions := g.dedup.Abandon(g.world.now, request.ticket)
	g.answerWaiters(completions, verdictLate)
	if request.finalCount == 0 {
		g.check.onFinal(request, verdictDisconnected, nil)
	}
	if abandoned && leader != nil {
		g.execute(g.machine.Disconnect(g.world.now, leader, decision.RequestID(leader.id)))
	}
}

// syncSources brings the endpoint sources up to date after a pause, and then reports SourcesSynced:
// discovery is in sync once all updates that have arrived are handled, the Consul source after a new query.
// After the lifecycle machine's SyncTimeout it reports SourcesSynced in any case, like the executor of
// a real gateway; the machine ignores a second report of the same SyncID.
func (g *gateway) syncSources(effect lifecycle.Effect) {
	g.world.tracef("door %d stood still for %v", g.number, effect.PausedFor)
	epoch, pending := g.epoch, 1
	synced := func() {
		g.enqueue(epoch, nil, func() {
			g.world.tracef("door %d has caught up", g.number)
			g.execute(g.machine.SourcesSynced(g.world.now, effect.SyncID))
		})
	}
	done := func() {
		if pending--; pending == 0 {
			synced()
		}
	}
	if g.runner.config.usesDiscovery {
		pending++
		g.world.scheduleAfter(0, func() { g.enqueue(epoch, discoverySource, done) })
	}
	if g.runner.config.usesCatalog && g.endpoints.watch != nil {
		pending++
		g.world.scheduleAfter(0, func() {
			g.enqueue(epoch, nil, func() { g.endpoints.watch.sync(g.world.now-effect.PausedFor, done) })
		})
	}
	g.world.scheduleAfter(g.machine.Deadlines().SyncTimeout, func() {
		g.enqueue(epoch, nil, func() {
			pending = -1 // so that done does not call synced again
			synced()
		})
	})
	done()
}

// checkKey looks up a request's key in the deduplication store. It reports whether the request is to be
// executed; otherwise the request waits for another one with its key, or has been answered.
func (g *gateway) checkKey(request *clientRequest) bool {
	deadline := g.world.now + request.timeout - lifecycle.ResponseMargin
	result, completions := g.dedup.Begin(g.world.now, decision.CustomerID(request.customer), request.dedupKey(),
		idempotency.Fingerprint{request.fingerprint}, request, deadline)
	g.answerWaiters(completions, verdictLate)
	request.ticket = result.Ticket
	g.world.tracef("the key of %d: %v", request.number, result.Verdict.String())
	g.checkReplay(request, &result)
	switch result.Verdict {
	case idempotency.Proceed:
		g.leaderByKey[result.Ticket.Entry()] = request
		return true
	case idempotency.Join:
		g.scheduleWakeups()
	case idempotency.Replay:
		request.response = &platformhttp.Response{Body: result.Response.Body}
		g.check.onFinal(request, verdictServed, nil)
	case idempotency.Busy:
		g.check.onFinal(request, verdictRejected, nil)
		g.runner.maybeRetry(request, verdictRejected, result.RetryAfter)
	default:
		g.check.onFinal(request, result.Verdict.String(), nil)
	}
	return false
}

// checkReplay checks that a key is answered with the recorded response by the gateway's process and all
// later ones, if that response was written to the journal.
func (g *gateway) checkReplay(request *clientRequest, result *idempotency.Decision) {
	body, known := g.journal.mustReplay[request.dedupIdentity()]
	if !known || !g.runner.config.deduplicatesAllKeys() || g.journal.log == nil {
		return
	}
	if result.Verdict != idempotency.Replay || string(result.Response.Body) != body {
		g.world.violatef(ruleSameAnswer, "gateway %d had answered the key of request %d, and says %v",
			g.number, request.number, result.Verdict)
	}
}

// isKeyLeader reports whether a request is the leader of its key: it is executed on behalf of all requests
// that wait for the key, even if its own client has disconnected.
func (g *gateway) isKeyLeader(request *clientRequest) bool {
	return request.ticket != nil && g.leaderByKey[request.ticket.Entry()] == request
}

// completeKey answers all requests that wait for the key of a request that has ended: a successful one
// only once its response is written to the journal, if there is one. It does nothing and returns false if
// the request is not a key leader.
func (g *gateway) completeKey(request *clientRequest, outcome idempotency.Outcome, verdict string) bool {
	if !g.isKeyLeader(request) {
		return false
	}
	finish := func() {
		delete(g.leaderByKey, request.ticket.Entry())
		var response idempotency.Response
		if outcome == idempotency.Succeeded {
			response.Body = request.response.Body
		}
		g.answerWaiters(g.dedup.Complete(g.world.now, request.ticket, outcome, response), verdict)
	}
	if outcome == idempotency.Succeeded && g.journal.log != nil {
		g.whenWritten(request, finish)
	} else {
		finish()
	}
	return true
}

// answerWaiters answers requests that waited for a key. verdict applies to completions that have neither a
// response nor a passed deadline: it is that of the key leader if that has ended, else verdictLate.
func (g *gateway) answerWaiters(completions []idempotency.Completion, verdict string) {
	for _, completion := range slices.Clone(completions) {
		request := completion.Tag.(*clientRequest)
		outcome := verdict
		switch completion.Verdict {
		case idempotency.Replay:
			request.response, outcome = &platformhttp.Response{Body: completion.Response.Body}, verdictServed
		case idempotency.DeadlineExceeded:
			outcome = verdictLate
		}
		g.world.tracef("door %d answers %d, by its key: %s", g.number, request.number, outcome)
		g.check.onFinal(request, outcome, nil)
		g.runner.maybeRetry(request, outcome, completion.RetryAfter)
	}
	g.scheduleWakeups()
}
