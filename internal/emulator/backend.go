package emulator

import (
	"slices"
	"time"

	"pumicecroft/decision"
	"pumicecroft/internal/eventqueue"
)

// backend executes a limited number of requests at once, queues further ones and rejects those that
// exceed the queue. During its warm-up it is slower, and restarts if it is overloaded.
type backend struct {
	region     *Region
	number     int32
	shard      *shard
	zone, cell int32
	capacity   float64 // requests per second after the warm-up

	epoch          int32 // number of processes that have ended
	up             bool
	draining       bool
	drainedAt      time.Duration // when draining began
	warm           bool          // true if the process has run since before the region's start
	startedAt      time.Duration // of the process, unless it is warm
	running        []message     // attempts that are being executed
	queue          []message
	recentArrivals []time.Duration // during the warm-up, within OverloadDuration
}

func newBackend(r *Region, number int) *backend {
	c := &r.config.Backends
	return &backend{
		region: r, number: int32(number), shard: r.shards[number%len(r.shards)],
		zone: int32(number % c.Zones), cell: int32(number % c.Cells),
		capacity: float64(c.Concurrency) / c.ServiceTime.Mean.Seconds(), up: true, warm: true,
	}
}

// endpoint returns the backend's endpoint as discovery publishes it.
func (b *backend) endpoint() decision.Endpoint {
	endpoint := decision.Endpoint{
		ID: decision.BackendID(b.number), Zone: zoneName(b.zone), Cell: int(b.cell), Weight: 1,
	}
	if !b.warm {
		endpoint.StartedAt = clockStart + b.startedAt
	}
	if b.draining || !b.up {
		endpoint.State = decision.Draining
	}
	return endpoint
}

// zoneName returns a zone's name, which has two letters.
func zoneName(z int32) string { return string('a'+z%26) + string('a'+z/26%26) }

// publish sends the backend's endpoint to discovery.
func (b *backend) publish() {
	changed := []decision.Endpoint{b.endpoint()}
	arrival := b.shard.now + b.region.config.Network.MinDelay
	b.shard.send(b.region.discovery.shard, arrival,
		message{kind: msgBackendChanged, backend: b.number, endpoints: &changed})
}

// minWarmupFraction limits how long an execution takes if SlowStartMinCapacity is 0.
const minWarmupFraction = 1e-3

// warmupFraction returns the share of its capacity that the backend has now.
func (b *backend) warmupFraction() float64 {
	settings := &b.region.config.Settings
	if b.warm || settings.SlowStartWindow <= 0 {
		return 1
	}
	age := b.shard.now - b.startedAt
	if age >= settings.SlowStartWindow {
		return 1
	}
	least := settings.SlowStartMinCapacity
	return max(minWarmupFraction, least+(1-least)*age.Seconds()/settings.SlowStartWindow.Seconds())
}

// onAttempt executes, queues or rejects an attempt. In a lost zone the backend doesn't respond.
// Attempts get no result as long as gateways use connections from before the loss, see
// staleConnectionsFor; later ones fail to connect.
func (b *backend) onAttempt(m *message) {
	s := b.shard
	if lost, since := b.region.zoneLost(b.zone, s.now); lost {
		if s.now-since > staleConnectionsFor {
			b.respond(m, decision.ConnectFailed, s.now+b.region.config.Backends.ConnectTimeout)
		}
		return
	}
	if !b.up {
		b.respond(m, decision.ConnectFailed, s.now)
		return
	}
	fraction := b.warmupFraction()
	pastGrace := b.draining && s.now-b.drainedAt > b.region.config.Settings.DrainGrace
	s.counts.recordArrival(b.region, m, fraction < 1, pastGrace)
	if fraction < 1 && b.overloaded(fraction) {
		s.counts.Overloads++
		b.stop()
		s.schedule(s.now+b.region.config.Backends.RestartTime, message{kind: msgFunc, run: b.start})
		b.respond(m, decision.ConnectionLost, s.now)
		return
	}
	switch {
	case len(b.running) < b.region.config.Backends.Concurrency:
		b.execute(m, fraction)
	case len(b.queue) < b.region.config.Backends.MaxQueue:
		b.queue = append(b.queue, *m)
	default:
		b.respond(m, decision.Rejected, s.now)
	}
}

// overloaded records an arrival during the warm-up, and reports whether the process has run for more
// than OverloadDuration and, within that time, got more attempts than OverloadFactor times its
// present capacity.
func (b *backend) overloaded(fraction float64) bool {
	settings := &b.region.config.Settings
	if settings.OverloadFactor <= 0 || settings.OverloadDuration <= 0 {
		return false
	}
	now := b.shard.now
	for len(b.recentArrivals) > 0 && now-b.recentArrivals[0] > settings.OverloadDuration {
		b.recentArrivals = b.recentArrivals[1:]
	}
	b.recentArrivals = append(b.recentArrivals, now)
	limit := settings.OverloadFactor * fraction * b.capacity * settings.OverloadDuration.Seconds()
	return now-b.startedAt > settings.OverloadDuration && float64(len(b.recentArrivals)) > limit
}

// execute starts to execute an attempt. The random part of its duration is keyed by call, try and
// attempt, not by the gateway or the time.
func (b *backend) execute(m *message, fraction float64) {
	s, r := b.shard, b.region
	draw := eventqueue.RandFloat64(r.seed, purposeService, m.call.number, m.requestID&maxTryNumber, uint64(m.attempt))
	duration := time.Duration(float64(r.serviceTime.sample(draw)) * r.slowdown(b.zone, s.now) / fraction)
	b.running = append(b.running, *m)
	s.schedule(s.now+duration, message{
		kind: msgDone, backend: b.number, epoch: b.epoch, requestID: m.requestID, attempt: m.attempt,
	})
	if r.config.Settings.Classes[m.call.class].Idempotency != decision.Idempotent {
		arrival := s.now + r.delay(m.requestID, uint64(m.attempt), delayExecution)
		s.send(r.gateways[m.gateway].shard, arrival, message{
			kind: msgExecution, gateway: m.gateway, backend: b.number,
			requestID: m.requestID, attempt: m.attempt, at: s.now, call: m.call,
		})
	}
}

// isAttempt reports whether two messages concern the same attempt.
func (m *message) isAttempt(other *message) bool {
	return m.requestID == other.requestID && m.attempt == other.attempt
}

// onDone ends an execution and starts that of the next attempt in the queue. An execution of a
// process that has ended is ignored.
func (b *backend) onDone(m *message) {
	if m.epoch != b.epoch {
		return
	}
	index := slices.IndexFunc(b.running, func(running message) bool { return running.isAttempt(m) })
	b.respond(&b.running[index], decision.Succeeded, b.shard.now)
	b.running[index] = b.running[len(b.running)-1]
	b.running = b.running[:len(b.running)-1]
	if len(b.queue) > 0 {
		next := b.queue[0]
		b.queue = b.queue[1:]
		b.execute(&next, b.warmupFraction())
	}
}

// onCancel removes an attempt from the queue. An execution that has started continues.
func (b *backend) onCancel(m *message) {
	b.queue = slices.DeleteFunc(b.queue, func(queued message) bool { return queued.isAttempt(m) })
}

// respond sends an attempt's result to its gateway. In a lost zone only ConnectFailed is sent: the
// gateway finds that out by itself.
func (b *backend) respond(m *message, result decision.Result, at time.Duration) {
	s, r := b.shard, b.region
	if lost, _ := r.zoneLost(b.zone, s.now); lost && result != decision.ConnectFailed {
		return
	}
	arrival := at + r.delay(m.requestID, uint64(m.attempt), delayOutcome)
	s.send(r.gateways[m.gateway].shard, arrival, message{
		kind: msgOutcome, result: result, gateway: m.gateway, requestID: m.requestID, attempt: m.attempt,
	})
}

// drain announces that the backend should get no new attempts.
func (b *backend) drain() {
	b.draining, b.drainedAt = true, b.shard.now
	b.publish()
}

// stop ends the process. Attempts that it executes or queues fail with ConnectionLost.
func (b *backend) stop() {
	if !b.up {
		return
	}
	for _, m := range slices.Concat(b.running, b.queue) {
		b.respond(&m, decision.ConnectionLost, b.shard.now)
	}
	b.up, b.running, b.queue, b.recentArrivals = false, nil, nil, nil
	b.epoch++
	b.publish()
}

// start starts a new process, which begins its warm-up.
func (b *backend) start() {
	b.up, b.draining, b.warm, b.startedAt = true, false, false, b.shard.now
	b.publish()
}
