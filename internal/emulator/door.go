package emulator

import (
	"maps"
	"slices"
	"time"

	"pumicecroft/decision"
	"pumicecroft/internal/eventqueue"
	"pumicecroft/internal/lifecycle"
)

// clockStart is where doors' clocks stand at the region's start: late enough for backends that have run for long.
const clockStart = time.Hour

// gateway is one front door: the shipped core on a policy, and what its clients do with its answers.
type gateway struct {
	region         *Region
	number         int32
	shard          *shard
	machine        *lifecycle.Machine
	up             bool
	epoch          int
	wakeAt         time.Duration // the wake that is planned; 0: none
	requests       map[decision.RequestID]*request
	endpoints      []decision.Endpoint    // the last that it heard of all; kept only where doors restart
	executions     map[uint64][]execution // of effects, by try
	executionOrder []uint64               // these tries, by when the first of each ran
	cancellations  []cancellation
}

// request is a try that a door has.
type request struct {
	call     call
	try      uint8
	counted  bool
	backends []int32 // the backends of its attempts
}

type execution struct {
	at         time.Duration
	cell, zone int32
}

// cancellation is an attempt whose wait was ended.
type cancellation struct {
	request  *request
	id       decision.RequestID
	attempt  int
	timedOut bool
}

// tryID names a client's try to the decision module.
func tryID(k *call, try uint8) decision.RequestID {
	return decision.RequestID(k.number<<7 | uint64(try))
}

func (d *gateway) now() time.Duration { return clockStart + d.shard.now }

// boot starts the door's process, which knows a list and nothing else.
func (d *gateway) boot(list []decision.Endpoint) error {
	set := d.region.config.Settings
	set.GatewayIndex = int(d.number)
	seed := eventqueue.Mix(d.region.seed ^ uint64(d.number)<<20 ^ uint64(d.epoch))
	decider, err := newPolicy(&d.region.config, set, seed, d.now())
	if err != nil {
		return err
	}
	d.machine = lifecycle.New(decider, set.Classes, lifecycle.Limits{MaxOpenRequests: 1 << 20, IDRetention: set.LongestDeadline()}, d.now())
	d.up, d.wakeAt = true, 0
	d.requests = map[decision.RequestID]*request{}
	if d.executions == nil {
		d.executions = map[uint64][]execution{}
	}
	if d.endpoints == nil && d.region.gatewaysRestart() {
		d.endpoints = slices.Clone(list)
	}
	d.execute(d.machine.UpdateEndpoints(d.now(), decision.EndpointUpdate{Kind: decision.UpdateFull, Endpoints: list}))
	return nil
}

// stop ends the process: whoever waits for an answer sees its connection break.
func (d *gateway) stop() {
	if !d.up {
		return
	}
	d.up = false
	d.epoch++
	for _, id := range slices.Sorted(maps.Keys(d.requests)) {
		a := d.requests[id]
		for i, b := range a.backends {
			d.cancelAttempt(id, i, b)
		}
		d.finishTry(a, lifecycle.Aborted, 0)
	}
	clear(d.requests)
}

// onRequest is a client's try.
func (d *gateway) onRequest(m *message) {
	a := &request{call: m.call, try: m.tryNumber}
	if !d.up {
		d.finishTry(a, lifecycle.Aborted, 0)
		return
	}
	set := &d.region.config.Settings
	class, plan := &set.Classes[m.call.class], d.region.customerPlan(m.call.customer)
	left := class.Deadline - (d.shard.now - m.call.startedAt)
	if left <= lifecycle.TimeoutMargin {
		d.finishTry(a, lifecycle.DeadlineExceeded, 0)
		return
	}
	id := tryID(&m.call, m.tryNumber)
	first, spread := d.region.gatewaysOf(m.call.customer)
	d.requests[id] = a
	effects, err := d.machine.Submit(d.now(), a, decision.Request{ID: id, Customer: decision.CustomerID(m.call.customer), Class: class.Name, Plan: plan.Name,
		Cost: float64(m.call.cost), Timeout: left - lifecycle.TimeoutMargin, FirstGateway: first, GatewaySpread: spread}, left-lifecycle.ResponseMargin)
	if err != nil {
		delete(d.requests, id)
		d.finishTry(a, lifecycle.Rejected, 0)
		return
	}
	d.execute(effects)
}

// onTimer has timers come.
func (d *gateway) onTimer(m *message) {
	if !d.up || m.at != d.wakeAt {
		return
	}
	d.wakeAt = 0
	d.execute(d.machine.Tick(d.now()))
}

// onUpdate is what discovery tells.
func (d *gateway) onUpdate(m *message) {
	if d.endpoints != nil {
		for _, info := range *m.endpoints {
			d.endpoints[info.ID] = info
		}
	}
	if d.up {
		d.execute(d.machine.UpdateEndpoints(d.now(), decision.EndpointUpdate{Kind: decision.UpdateDelta, Endpoints: *m.endpoints}))
	}
}

// onOutcome is an attempt's outcome, as it comes from its backend.
func (d *gateway) onOutcome(m *message) {
	id := decision.RequestID(m.requestID)
	if !d.up {
		return
	}
	o := lifecycle.Outcome{Result: m.result}
	if a := d.requests[id]; a != nil && m.result == decision.Succeeded {
		o.Usage, o.HasUsage = d.region.reportedUsage(a.call.customer)
	}
	d.execute(d.machine.AttemptEnded(d.now(), id, int(m.attempt), o))
}

// execute does what the core asks for.
func (d *gateway) execute(effects []lifecycle.Effect) {
	for {
		for i := range effects {
			e := &effects[i]
			a, _ := e.Tag.(*request)
			switch e.Kind {
			case lifecycle.StartAttempt:
				d.startAttempt(a, e)
			case lifecycle.CancelAttempt:
				d.cancellations = append(d.cancellations, cancellation{a, e.Request, e.Attempt, e.TimedOut})
			case lifecycle.AddToCounter:
				d.callCounter(e.CounterAdd)
			case lifecycle.Respond:
				if d.requests[e.Request] == a {
					delete(d.requests, e.Request)
					d.finishTry(a, e.Verdict, e.RetryAfter)
				}
			}
		}
		if len(d.cancellations) == 0 {
			break
		}
		o := d.cancellations[0]
		d.cancellations = d.cancellations[1:]
		out := lifecycle.Outcome{Result: decision.Cancelled}
		if o.timedOut {
			out.Result = decision.TimedOut
		}
		d.cancelAttempt(o.id, o.attempt, o.request.backends[o.attempt])
		effects = d.machine.AttemptEnded(d.now(), o.id, o.attempt, out)
	}
	if at, ok := d.machine.Next(); ok && (d.wakeAt == 0 || at-clockStart < d.wakeAt) {
		d.wakeAt = max(at-clockStart, d.shard.now+1)
		if d.wakeAt <= d.region.config.Duration+d.region.settleTime() {
			d.shard.schedule(d.wakeAt, message{kind: msgTimer, gateway: d.number, at: d.wakeAt})
		}
	}
}

// startAttempt sends an attempt, which is counted at its request's first.
func (d *gateway) startAttempt(a *request, e *lifecycle.Effect) {
	s := d.shard
	for len(a.backends) < e.Attempt {
		a.backends = append(a.backends, -1)
	}
	a.backends = append(a.backends, int32(e.Backend))
	if !a.counted {
		a.counted = true
		s.recordUsage(&a.call)
	}
	s.counts.recordAttempt(s.region, &a.call)
	to := s.region.backends[e.Backend]
	s.send(to.shard, s.now+s.region.delay(uint64(e.Request), uint64(e.Attempt), 1),
		message{kind: msgAttempt, backend: int32(e.Backend), gateway: d.number, requestID: uint64(e.Request), attempt: int32(e.Attempt), call: a.call})
}

// cancelAttempt tells a backend that nobody waits any more.
func (d *gateway) cancelAttempt(id decision.RequestID, n int, backend int32) {
	if backend < 0 {
		return
	}
	s := d.shard
	s.send(s.region.backends[backend].shard, s.now+s.region.delay(uint64(id), uint64(n), 2), message{kind: msgCancel, backend: backend, requestID: uint64(id), attempt: int32(n)})
}

// finishTry is what a client does with its try's end.
func (d *gateway) finishTry(a *request, v lifecycle.Verdict, retryAfter time.Duration) {
	s, r := d.shard, d.region
	k := &a.call
	seen := s.now + r.delay(k.number, uint64(a.try), 3)
	if v == lifecycle.Served {
		s.counts.recordServed(r, k, seen)
		return
	}
	class := &r.config.Settings.Classes[k.class]
	most, storm := r.config.Clients.MaxTries, r.retryStorm(seen)
	if storm != nil {
		most += int(storm.Magnitude)
	}
	u := eventqueue.RandFloat64(r.seed, purposeClient, k.number, uint64(a.try), 1)
	wait := time.Duration((0.5 + u) * float64(r.config.Clients.Backoff<<min(a.try, 20)))
	switch {
	case storm != nil:
		wait = time.Duration(u * float64(50*time.Millisecond))
	case v != lifecycle.Rejected && class.Idempotency == decision.NonIdempotent: // it may have happened, and a client that is sane does not ask again
		most = 0
	case retryAfter > 0 && eventqueue.RandFloat64(r.seed, purposeClient, uint64(k.customer)) < r.config.Clients.FollowRetryAfter:
		wait = retryAfter
	}
	if int(a.try)+1 >= min(most, 127) || seen+wait >= k.startedAt+class.Deadline {
		s.counts.recordUnserved(r, k, v)
		return
	}
	s.sendTry(k, a.try+1, seen+wait)
}

// onExecution is that an attempt whose effect matters has begun. One more of the same try has doubled it, unless its backend's group still
// knows the first one's key.
func (d *gateway) onExecution(m *message) {
	b := d.region.backends[m.backend]
	class := &d.region.config.Settings.Classes[m.call.class]
	doubled := false
	for _, one := range d.executions[m.requestID] {
		same := class.Idempotency == decision.IdempotentByKey && m.at-one.at < class.DedupWindow &&
			(class.DedupScope != decision.DedupScopeZone || one.zone == b.zone) && (class.DedupScope != decision.DedupScopeCell || one.cell == b.cell)
		doubled = doubled || !same
	}
	if doubled && d.region.isCounted(&m.call) {
		d.shard.counts.RepeatedEffects++
	}
	if d.executions[m.requestID] == nil {
		d.executionOrder = append(d.executionOrder, m.requestID)
	}
	d.executions[m.requestID] = append(d.executions[m.requestID], execution{m.at, b.cell, b.zone})
	for len(d.executionOrder) > 0 && d.shard.now-d.executions[d.executionOrder[0]][0].at > 2*d.region.config.Settings.LongestDeadline() {
		delete(d.executions, d.executionOrder[0])
		d.executionOrder = d.executionOrder[1:]
	}
}
