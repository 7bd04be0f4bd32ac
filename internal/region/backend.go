package region

import (
	"slices"
	"time"

	"pumicecroft/decision"
	"pumicecroft/internal/virtual"
)

// backend works at some requests at once and has others wait; when it is cold it is slower, and falls if it is sent far more than it
// can do.
type backend struct {
	r          *Region
	number     int32
	shard      *shard
	zone, cell int32
	epoch      int32 // of its process
	up         bool
	draining   bool
	drainedAt  time.Duration
	born       time.Duration // of its process; before the region's start if it is warm from the first
	jobs       []message     // it works at
	queue      []message
	recent     []time.Duration // arrivals while it is cold
	warm       bool            // for good
	capacity   float64
}

func newBackend(r *Region, i int) *backend {
	b := &backend{r: r, number: int32(i), shard: r.shards[i%len(r.shards)], zone: int32(i % r.c.Backends.Zones), cell: int32(i % r.c.Backends.Cells), up: true, warm: true}
	b.capacity = float64(r.c.Backends.Slots) / r.c.Backends.Service.Mean.Seconds()
	return b
}

// info is what discovery says of it.
func (b *backend) info() decision.BackendInfo {
	v := decision.BackendInfo{ID: decision.BackendID(b.number), Zone: zoneName(b.zone), Cell: int(b.cell), Weight: 1}
	if !b.warm {
		v.Started = origin + b.born
	}
	if b.draining || !b.up {
		v.State = decision.Draining
	}
	return v
}

func zoneName(z int32) string { return string(rune('a'+z%26)) + string(rune('a'+z/26%26)) }

// changed tells discovery.
func (b *backend) changed() {
	info := []decision.BackendInfo{b.info()}
	to := b.r.discovery.shard
	b.shard.post(to, b.shard.now+b.r.c.Network.Least, message{what: told, backend: b.number, list: &info})
}

// warmth is the share of its capacity that it has.
func (b *backend) warmth() float64 {
	set := &b.r.c.Settings
	if b.warm || set.WarmWithin <= 0 {
		return 1
	}
	age := b.shard.now - b.born
	if age >= set.WarmWithin {
		return 1
	}
	return max(1e-3, set.ColdFrom+(1-set.ColdFrom)*age.Seconds()/set.WarmWithin.Seconds())
}

// arrive is an attempt that has come.
func (b *backend) arrive(m *message) {
	s := b.shard
	if lost, since := b.r.lost(b.zone, s.now); lost {
		if s.now-since > keptFor { // no connection is left, and none comes up
			b.answer(m, decision.NoConnection, s.now+b.r.c.Backends.Connect)
		}
		return
	}
	if !b.up {
		b.answer(m, decision.NoConnection, s.now)
		return
	}
	w := b.warmth()
	s.tally.came(b.r, m, w < 1, b.draining && s.now-b.drainedAt > b.r.c.Settings.DrainGrace)
	if w < 1 && b.pressed(w) {
		s.tally.Falls++
		b.die()
		s.later(s.now+b.r.c.Backends.Restart, message{what: turn, do: b.start})
		b.answer(m, decision.Broken, s.now)
		return
	}
	switch {
	case len(b.jobs) < b.r.c.Backends.Slots:
		b.work(m, w)
	case len(b.queue) < b.r.c.Backends.Queue:
		b.queue = append(b.queue, *m)
	default:
		b.answer(m, decision.Refused, s.now)
	}
}

// pressed notes an arrival at a cold backend, and tells whether it was sent too much for too long.
func (b *backend) pressed(w float64) bool {
	set := &b.r.c.Settings
	if set.FallMultiple <= 0 || set.FallFor <= 0 {
		return false
	}
	now := b.shard.now
	for len(b.recent) > 0 && now-b.recent[0] > set.FallFor {
		b.recent = b.recent[1:]
	}
	b.recent = append(b.recent, now)
	return now-b.born > set.FallFor && float64(len(b.recent)) > set.FallMultiple*w*b.capacity*set.FallFor.Seconds()
}

// work begins a request. It takes as long as its call's chance has it, whoever sent it when.
func (b *backend) work(m *message, warmth float64) {
	s, r := b.shard, b.r
	u := virtual.Unit(r.seed, forService, m.call.number, uint64(m.try&127), uint64(m.attempt))
	took := time.Duration(float64(r.service.at(u)) * r.slowed(b.zone, s.now) / warmth)
	b.jobs = append(b.jobs, *m)
	s.later(s.now+took, message{what: done, backend: b.number, epoch: b.epoch, try: m.try, attempt: m.attempt})
	if r.c.Settings.Classes[m.call.class].Effect != decision.Safe {
		d := r.doors[m.door]
		s.post(d.shard, s.now+r.way(m.try, uint64(m.attempt), 4), message{what: ran, door: m.door, backend: b.number, try: m.try, attempt: m.attempt, at: s.now, call: m.call})
	}
}

// done ends a request, and begins the next.
func (b *backend) done(m *message) {
	if m.epoch != b.epoch {
		return
	}
	i := slices.IndexFunc(b.jobs, func(j message) bool { return j.try == m.try && j.attempt == m.attempt })
	b.answer(&b.jobs[i], decision.Answered, b.shard.now)
	b.jobs[i] = b.jobs[len(b.jobs)-1]
	b.jobs = b.jobs[:len(b.jobs)-1]
	if len(b.queue) > 0 {
		next := b.queue[0]
		b.queue = b.queue[1:]
		b.work(&next, b.warmth())
	}
}

// off takes a request that nobody waits for out of the queue. One that has begun goes on.
func (b *backend) off(m *message) {
	b.queue = slices.DeleteFunc(b.queue, func(j message) bool { return j.try == m.try && j.attempt == m.attempt })
}

// answer sends an outcome back, unless the network is gone.
func (b *backend) answer(m *message, result decision.Result, at time.Duration) {
	s := b.shard
	if lost, _ := b.r.lost(b.zone, s.now); lost && result != decision.NoConnection {
		return
	}
	s.post(b.r.doors[m.door].shard, at+b.r.way(m.try, uint64(m.attempt), 5), message{what: ended, result: result, door: m.door, try: m.try, attempt: m.attempt})
}

// drain has the lists say that it takes nothing new.
func (b *backend) drain() {
	b.draining, b.drainedAt = true, b.shard.now
	b.changed()
}

// die ends its process, and with it all that it had.
func (b *backend) die() {
	if !b.up {
		return
	}
	for _, j := range slices.Concat(b.jobs, b.queue) {
		b.answer(&j, decision.Broken, b.shard.now)
	}
	b.up, b.jobs, b.queue, b.recent = false, nil, nil, nil
	b.epoch++
	b.changed()
}

// start is a new process, which is cold.
func (b *backend) start() {
	b.up, b.draining, b.warm, b.born = true, false, false, b.shard.now
	b.changed()
}
