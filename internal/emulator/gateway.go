package emulator

import (
	"maps"
	"slices"
	"time"

	"pumicecroft/decision"
	"pumicecroft/internal/eventqueue"
	"pumicecroft/internal/lifecycle"
)

// clockStart is the time on gateways' clocks at the start of the emulated Region: late enough that backends started
// at time 0 have finished their warm-up.
const clockStart = time.Hour

// maxOpenRequests is the limit on a gateway's open requests. It is too high to be reached.
const maxOpenRequests = 1 << 20

// gateway is one emulated gateway. It runs the lifecycle machine of real gateways, with the decision engine or
// another policy (newPolicy).
type gateway struct {
	region *Region
	number int32
	shard  *shard

	// State of the process.
	epoch         int // number of processes that have ended
	up            bool
	machine       *lifecycle.Machine
	wakeAt        time.Duration // of the scheduled timer; 0 means that there is none
	requests      map[decision.RequestID]*request
	cancellations []cancellation // to be handled by applyEffects

	// State that outlives processes. Executions take place at backends; they are collected at the gateway of
	// the request, as only its requests have these IDs.
	endpoints      []decision.Endpoint    // all endpoints as last updated; nil if no fault restarts gateways
	executions     map[uint64][]execution // of requests that are not idempotent, by request ID
	executionOrder []uint64               // the IDs, in the order of their first executions
}

// request is what a client sends to a gateway: one try of a call. The gateway makes attempts of it at backends.
type request struct {
	call         call
	tryNumber    uint8
	usageCounted bool    // whether its cost was added to its customer's usage
	backends     []int32 // backends of the attempts, by attempt number; -1 means no such attempt
}

// execution is one execution of a request: its time, and the cell (deployment unit) and zone of its backend.
type execution struct {
	at         time.Duration
	cell, zone int32
}

// cancellation is an attempt that the lifecycle machine has cancelled and that is not reported as ended yet.
type cancellation struct {
	request  *request
	id       decision.RequestID
	attempt  int
	timedOut bool
}

// now returns the time on the gateway's clock.
func (g *gateway) now() time.Duration { return clockStart + g.shard.now }

// startProcess starts a process without state, except the endpoints.
func (g *gateway) startProcess(endpoints []decision.Endpoint) error {
	settings := g.region.config.Settings
	settings.GatewayIndex = int(g.number)
	seed := eventqueue.Mix(g.region.seed ^ uint64(g.number)<<20 ^ uint64(g.epoch))
	engine, err := newPolicy(&g.region.config, settings, seed, g.now())
	if err != nil {
		return err
	}
	// Each try has its own request ID, so no repeats arrive that would need a longer retention.
	limits := lifecycle.Limits{MaxOpenRequests: maxOpenRequests, IDRetention: settings.LongestDeadline()}
	g.machine = lifecycle.New(engine, settings.Classes, limits, g.now())
	g.up, g.wakeAt = true, 0
	g.requests = map[decision.RequestID]*request{}
	if g.executions == nil {
		g.executions = map[uint64][]execution{}
	}
	if g.endpoints == nil && g.region.gatewaysRestart() {
		g.endpoints = slices.Clone(endpoints)
	}
	update := decision.EndpointUpdate{Kind: decision.UpdateFull, Endpoints: endpoints}
	g.applyEffects(g.machine.UpdateEndpoints(g.now(), update))
	return nil
}

// killProcess ends the process. Its clients lose their connections, and backends see those of its attempts
// close, which cancels the attempts.
func (g *gateway) killProcess() {
	if !g.up {
		return
	}
	g.up = false
	g.epoch++
	for _, id := range slices.Sorted(maps.Keys(g.requests)) {
		request := g.requests[id]
		for attempt, backend := range request.backends {
			g.cancelAttempt(id, attempt, backend)
		}
		g.finishTry(request, lifecycle.Aborted, 0)
	}
	clear(g.requests)
}

// startProcessIfDown starts a process, unless one is running.
func (g *gateway) startProcessIfDown() {
	if !g.up {
		_ = g.startProcess(g.endpoints) // the settings were valid at the first start
	}
}

// handle handles a message to the gateway.
func (g *gateway) handle(m *message) {
	switch m.kind {
	case msgRequest:
		g.onRequest(m)
	case msgOutcome:
		g.onOutcome(m)
	case msgExecution:
		g.onExecution(m)
	case msgTimer:
		g.onTimer(m)
	case msgUpdate:
		g.onUpdate(m)
	case msgCounterResult:
		g.onCounterResult(m)
	}
}

// onRequest handles a client's try.
func (g *gateway) onRequest(m *message) {
	request := &request{call: m.call, tryNumber: m.tryNumber}
	if !g.up {
		g.finishTry(request, lifecycle.Aborted, 0)
		return
	}
	class := &g.region.config.Settings.Classes[m.call.class]
	remaining := class.Deadline - (g.shard.now - m.call.startedAt)
	if remaining <= lifecycle.TimeoutMargin {
		g.finishTry(request, lifecycle.DeadlineExceeded, 0)
		return
	}
	id := requestID(&m.call, m.tryNumber)
	first, spread := g.region.gatewaysOf(m.call.customer)
	g.requests[id] = request
	effects, err := g.machine.Submit(g.now(), request, decision.Request{
		ID: id, Customer: decision.CustomerID(m.call.customer), Class: class.Name,
		Plan: g.region.customerPlan(m.call.customer).Name, Cost: float64(m.call.cost),
		Timeout: remaining - lifecycle.TimeoutMargin, FirstGateway: first, GatewaySpread: spread,
	}, remaining-lifecycle.ResponseMargin)
	if err != nil {
		delete(g.requests, id)
		g.finishTry(request, lifecycle.Rejected, 0)
		return
	}
	g.applyEffects(effects)
}

// onTimer calls the lifecycle machine, unless the timer was replaced by an earlier one.
func (g *gateway) onTimer(m *message) {
	if !g.up || m.at != g.wakeAt {
		return
	}
	g.wakeAt = 0
	g.applyEffects(g.machine.Tick(g.now()))
}

// onUpdate handles an update of changed endpoints.
func (g *gateway) onUpdate(m *message) {
	if g.endpoints != nil {
		for _, endpoint := range *m.endpoints {
			g.endpoints[endpoint.ID] = endpoint
		}
	}
	if g.up {
		update := decision.EndpointUpdate{Kind: decision.UpdateDelta, Endpoints: *m.endpoints}
		g.applyEffects(g.machine.UpdateEndpoints(g.now(), update))
	}
}

// onOutcome handles the result of an attempt.
func (g *gateway) onOutcome(m *message) {
	if !g.up {
		return
	}
	id := decision.RequestID(m.requestID)
	outcome := lifecycle.Outcome{Result: m.result}
	if request := g.requests[id]; request != nil && m.result == decision.Succeeded {
		outcome.Usage, outcome.HasUsage = g.region.reportedUsage(request.call.customer)
	}
	g.applyEffects(g.machine.AttemptEnded(g.now(), id, int(m.attempt), outcome))
}

// applyEffects applies effects of the lifecycle machine, and the cancellations among them. A cancelled
// attempt is reported to the machine as ended at once, which can cause further effects and
// cancellations.
func (g *gateway) applyEffects(effects []lifecycle.Effect) {
	g.applyWithoutCancellations(effects)
	for len(g.cancellations) > 0 {
		cancelled := g.cancellations[0]
		g.cancellations = g.cancellations[1:]
		outcome := lifecycle.Outcome{Result: decision.Cancelled}
		if cancelled.timedOut {
			outcome.Result = decision.TimedOut
		}
		g.cancelAttempt(cancelled.id, cancelled.attempt, cancelled.request.backends[cancelled.attempt])
		g.applyWithoutCancellations(g.machine.AttemptEnded(g.now(), cancelled.id, cancelled.attempt, outcome))
	}
	g.scheduleTimer()
}

// applyWithoutCancellations applies effects, but only adds the attempts to be cancelled to cancellations.
func (g *gateway) applyWithoutCancellations(effects []lifecycle.Effect) {
	for i := range effects {
		effect := &effects[i]
		request, _ := effect.Tag.(*request)
		switch effect.Kind {
		case lifecycle.StartAttempt:
			g.startAttempt(request, effect)
		case lifecycle.CancelAttempt:
			cancelled := cancellation{request, effect.Request, effect.Attempt, effect.TimedOut}
			g.cancellations = append(g.cancellations, cancelled)
		case lifecycle.AddToCounter:
			g.callCounter(effect.CounterAdd)
		case lifecycle.Respond:
			if g.requests[effect.Request] == request {
				delete(g.requests, effect.Request)
				g.finishTry(request, effect.Verdict, effect.RetryAfter)
			}
		}
	}
}

// scheduleTimer schedules the lifecycle machine's next tick, unless an earlier timer is scheduled.
func (g *gateway) scheduleTimer() {
	at, ok := g.machine.Next()
	at -= clockStart
	if !ok || g.wakeAt != 0 && at >= g.wakeAt {
		return
	}
	g.wakeAt = max(at, g.shard.now+1)
	if g.wakeAt <= g.region.config.Duration+g.region.settleTime() {
		g.shard.schedule(g.wakeAt, message{kind: msgTimer, gateway: g.number, at: g.wakeAt})
	}
}

// startAttempt sends an attempt. The first attempt of a request adds to its customer's usage.
func (g *gateway) startAttempt(request *request, effect *lifecycle.Effect) {
	s, r := g.shard, g.region
	for len(request.backends) < effect.Attempt {
		request.backends = append(request.backends, -1)
	}
	request.backends = append(request.backends, int32(effect.Backend))
	if !request.usageCounted {
		request.usageCounted = true
		s.recordUsage(&request.call)
	}
	s.counts.recordAttempt(r, &request.call)
	arrival := s.now + r.delay(uint64(effect.Request), uint64(effect.Attempt), delayAttempt)
	s.send(r.backends[effect.Backend].shard, arrival, message{
		kind: msgAttempt, backend: int32(effect.Backend), gateway: g.number,
		requestID: uint64(effect.Request), attempt: int32(effect.Attempt), call: request.call,
	})
}

// cancelAttempt sends a cancellation to an attempt's backend.
func (g *gateway) cancelAttempt(id decision.RequestID, attempt int, backend int32) {
	if backend < 0 {
		return
	}
	s, r := g.shard, g.region
	arrival := s.now + r.delay(uint64(id), uint64(attempt), delayCancel)
	s.send(r.backends[backend].shard, arrival, message{
		kind: msgCancel, backend: backend, requestID: uint64(id), attempt: int32(attempt),
	})
}

// onExecution records that a backend has started to execute a request that is not idempotent. A further
// execution counts as a repeated effect, unless idempotency keys deduplicate it against each earlier one.
func (g *gateway) onExecution(m *message) {
	backend := g.region.backends[m.backend]
	class := &g.region.config.Settings.Classes[m.call.class]
	latest := execution{m.at, backend.cell, backend.zone}
	repeated := slices.ContainsFunc(g.executions[m.requestID], func(earlier execution) bool {
		return !deduplicated(class, earlier, latest)
	})
	if repeated && g.region.isCounted(&m.call) {
		g.shard.counts.RepeatedEffects++
	}
	if g.executions[m.requestID] == nil {
		g.executionOrder = append(g.executionOrder, m.requestID)
	}
	g.executions[m.requestID] = append(g.executions[m.requestID], latest)
	g.forgetExecutions()
}

// deduplicated reports whether the latest execution has no effect because its backend deduplicates by
// idempotency key and shares the keys with the backend of the given earlier execution.
func deduplicated(class *decision.Class, earlier, latest execution) bool {
	if class.Idempotency != decision.IdempotentByKey || latest.at-earlier.at >= class.DedupWindow {
		return false
	}
	switch class.DedupScope {
	case decision.DedupScopeZone:
		return earlier.zone == latest.zone
	case decision.DedupScopeCell:
		return earlier.cell == latest.cell
	default:
		return true
	}
}

// forgetExecutions drops the executions of requests that can't be executed any more.
func (g *gateway) forgetExecutions() {
	retention := 2 * g.region.config.Settings.LongestDeadline()
	for len(g.executionOrder) > 0 && g.shard.now-g.executions[g.executionOrder[0]][0].at > retention {
		delete(g.executions, g.executionOrder[0])
		g.executionOrder = g.executionOrder[1:]
	}
}
