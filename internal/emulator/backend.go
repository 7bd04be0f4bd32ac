package emulator

import (
	"slices"
	"time"

	"pumicecroft/decision"
	"pumicecroft/internal/eventqueue"
)

// backend works at some requests at once and has others wait; when it is cold it is slower, and falls if it is sent far more than it
// can do.
type backend struct {
	region         *Region
	number         int32
	shard          *shard
	zone, cell     int32
	epoch          int32 // of its process
	up             bool
	draining       bool
	drainedAt      time.Duration
	startedAt      time.Duration // of its process; before the region's start if it is warm from the first
	running        []message     // it works at
	queue          []message
	recentArrivals []time.Duration // arrivals while it is cold
	warm           bool            // for good
	capacity       float64
}

func newBackend(r *Region, i int) *backend {
	b := &backend{region: r, number: int32(i), shard: r.shards[i%len(r.shards)], zone: int32(i % r.config.Backends.Zones), cell: int32(i % r.config.Backends.Cells), up: true, warm: true}
	b.capacity = float64(r.config.Backends.Concurrency) / r.config.Backends.Service.Mean.Seconds()
	return b
}

// endpoint is what discovery says of it.
func (b *backend) endpoint() decision.Endpoint {
	v := decision.Endpoint{ID: decision.BackendID(b.number), Zone: zoneName(b.zone), Cell: int(b.cell), Weight: 1}
	if !b.warm {
		v.StartedAt = clockStart + b.startedAt
	}
	if b.draining || !b.up {
		v.State = decision.Draining
	}
	return v
}

func zoneName(z int32) string { return string('a'+z%26) + string('a'+z/26%26) }

// publish tells discovery.
func (b *backend) publish() {
	info := []decision.Endpoint{b.endpoint()}
	to := b.region.discovery.shard
	b.shard.send(to, b.shard.now+b.region.config.Network.MinDelay, message{kind: msgBackendChanged, backend: b.number, endpoints: &info})
}

// warmupFraction is the share of its capacity that it has.
func (b *backend) warmupFraction() float64 {
	set := &b.region.config.Settings
	if b.warm || set.SlowStartWindow <= 0 {
		return 1
	}
	age := b.shard.now - b.startedAt
	if age >= set.SlowStartWindow {
		return 1
	}
	return max(1e-3, set.SlowStartMinCapacity+(1-set.SlowStartMinCapacity)*age.Seconds()/set.SlowStartWindow.Seconds())
}

// onAttempt is an attempt that has come.
func (b *backend) onAttempt(m *message) {
	s := b.shard
	if lost, since := b.region.zoneLost(b.zone, s.now); lost {
		if s.now-since > staleConnectionsFor { // no connection is left, and none comes up
			b.respond(m, decision.ConnectFailed, s.now+b.region.config.Backends.ConnectTimeout)
		}
		return
	}
	if !b.up {
		b.respond(m, decision.ConnectFailed, s.now)
		return
	}
	w := b.warmupFraction()
	s.counts.recordArrival(b.region, m, w < 1, b.draining && s.now-b.drainedAt > b.region.config.Settings.DrainGrace)
	if w < 1 && b.overloaded(w) {
		s.counts.Overloads++
		b.stop()
		s.schedule(s.now+b.region.config.Backends.RestartTime, message{kind: msgFunc, run: b.start})
		b.respond(m, decision.ConnectionLost, s.now)
		return
	}
	switch {
	case len(b.running) < b.region.config.Backends.Concurrency:
		b.execute(m, w)
	case len(b.queue) < b.region.config.Backends.MaxQueue:
		b.queue = append(b.queue, *m)
	default:
		b.respond(m, decision.Rejected, s.now)
	}
}

// overloaded notes an arrival at a cold backend, and tells whether it was sent too much for too long.
func (b *backend) overloaded(w float64) bool {
	set := &b.region.config.Settings
	if set.OverloadFactor <= 0 || set.OverloadDuration <= 0 {
		return false
	}
	now := b.shard.now
	for len(b.recentArrivals) > 0 && now-b.recentArrivals[0] > set.OverloadDuration {
		b.recentArrivals = b.recentArrivals[1:]
	}
	b.recentArrivals = append(b.recentArrivals, now)
	return now-b.startedAt > set.OverloadDuration && float64(len(b.recentArrivals)) > set.OverloadFactor*w*b.capacity*set.OverloadDuration.Seconds()
}

// execute begins a request. It takes as long as its call's chance has it, whoever sent it when.
func (b *backend) execute(m *message, warmth float64) {
	s, r := b.shard, b.region
	u := eventqueue.RandFloat64(r.seed, purposeService, m.call.number, m.requestID&127, uint64(m.attempt))
	took := time.Duration(float64(r.service.sample(u)) * r.slowdown(b.zone, s.now) / warmth)
	b.running = append(b.running, *m)
	s.schedule(s.now+took, message{kind: msgDone, backend: b.number, epoch: b.epoch, requestID: m.requestID, attempt: m.attempt})
	if r.config.Settings.Classes[m.call.class].Idempotency != decision.Idempotent {
		d := r.gateways[m.gateway]
		s.send(d.shard, s.now+r.delay(m.requestID, uint64(m.attempt), 4), message{kind: msgExecution, gateway: m.gateway, backend: b.number, requestID: m.requestID, attempt: m.attempt, at: s.now, call: m.call})
	}
}

// onDone ends a request, and begins the next.
func (b *backend) onDone(m *message) {
	if m.epoch != b.epoch {
		return
	}
	i := slices.IndexFunc(b.running, func(j message) bool { return j.requestID == m.requestID && j.attempt == m.attempt })
	b.respond(&b.running[i], decision.Succeeded, b.shard.now)
	b.running[i] = b.running[len(b.running)-1]
	b.running = b.running[:len(b.running)-1]
	if len(b.queue) > 0 {
		next := b.queue[0]
		b.queue = b.queue[1:]
		b.execute(&next, b.warmupFraction())
	}
}

// onCancel takes a request that nobody waits for out of the queue. One that has begun goes on.
func (b *backend) onCancel(m *message) {
	b.queue = slices.DeleteFunc(b.queue, func(j message) bool { return j.requestID == m.requestID && j.attempt == m.attempt })
}

// respond sends an outcome back, unless the network is gone.
func (b *backend) respond(m *message, result decision.Result, at time.Duration) {
	s := b.shard
	if lost, _ := b.region.zoneLost(b.zone, s.now); lost && result != decision.ConnectFailed {
		return
	}
	s.send(b.region.gateways[m.gateway].shard, at+b.region.delay(m.requestID, uint64(m.attempt), 5), message{kind: msgOutcome, result: result, gateway: m.gateway, requestID: m.requestID, attempt: m.attempt})
}

// drain has the lists say that it takes nothing new.
func (b *backend) drain() {
	b.draining, b.drainedAt = true, b.shard.now
	b.publish()
}

// stop ends its process, and with it all that it had.
func (b *backend) stop() {
	if !b.up {
		return
	}
	for _, j := range slices.Concat(b.running, b.queue) {
		b.respond(&j, decision.ConnectionLost, b.shard.now)
	}
	b.up, b.running, b.queue, b.recentArrivals = false, nil, nil, nil
	b.epoch++
	b.publish()
}

// start is a new process, which is cold.
func (b *backend) start() {
	b.up, b.draining, b.warm, b.startedAt = true, false, false, b.shard.now
	b.publish()
}
