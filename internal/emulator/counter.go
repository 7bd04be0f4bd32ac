package emulator

import (
	"time"

	"pumicecroft/decision"
	"pumicecroft/internal/eventqueue"
)

// Counter is the counter that doors share: numbers by name, one call after another.
type Counter struct {
	Rate    float64       // calls that it takes a second; 0: there is none
	MaxWait time.Duration // a call that would wait for longer is turned away
	Timeout time.Duration // after which a door counts a call as lost
}

// counterCall is one call of the counter, on its way there and back.
type counterCall struct {
	count  decision.CounterAdd
	result decision.CounterResult
	sentAt time.Duration // when it left its door
}

// counter is the actor. It stands at the first shard.
type counter struct {
	shard     *shard
	busyUntil time.Duration // until then
	values    map[uint64]*counterValue
}

type counterValue struct {
	total     float64
	expiresAt time.Duration
}

// callCounter sends a door's call.
func (d *gateway) callCounter(c decision.CounterAdd) {
	s := d.shard
	s.counts.CounterCalls++
	s.send(s.region.counter.shard, s.now+s.region.delay(uint64(d.number), c.Ref, 8),
		message{kind: msgCounterCall, gateway: d.number, epoch: int32(d.epoch), counterCall: &counterCall{count: c, sentAt: s.now}})
}

// onCall adds what a call says when its turn comes. A call that is lost was lost on its way there or on its way back.
func (y *counter) onCall(m *message) {
	s, c := y.shard, m.counterCall
	r := s.region
	set := &r.config.Counter
	patient := max(c.sentAt+set.Timeout, s.now+r.config.Network.MinDelay)
	c.result = decision.CounterResult{Ref: c.count.Ref, Result: decision.Succeeded}
	at := s.now
	u := eventqueue.RandFloat64(r.seed, purposeCounter, uint64(m.gateway), c.count.Ref)
	lost := r.counterLoss(s.now)
	switch {
	case u < lost/2:
		c.result.Result = decision.TimedOut
	case y.busyUntil-s.now > set.MaxWait:
		c.result.Result = decision.Rejected
	default:
		y.busyUntil = max(y.busyUntil, s.now) + time.Duration(float64(time.Second)/set.Rate)
		at = y.busyUntil
		c.result.Total = y.add(c.count, at)
		if u < lost {
			c.result.Result = decision.TimedOut
		}
	}
	if at += r.delay(uint64(m.gateway), c.count.Ref, 9); c.result.Result == decision.TimedOut || at > patient {
		at, c.result = patient, decision.CounterResult{Ref: c.count.Ref, Result: decision.TimedOut}
	}
	s.send(r.gateways[m.gateway].shard, at, message{kind: msgCounterResult, gateway: m.gateway, epoch: m.epoch, counterCall: c})
}

func (y *counter) add(c decision.CounterAdd, now time.Duration) float64 {
	n := y.values[c.Key]
	if n == nil || now >= n.expiresAt {
		n = &counterValue{expiresAt: now + c.TTL}
		y.values[c.Key] = n
	}
	n.total += c.Amount
	return n.total
}

// onCounterResult is what became of a call, at the door that made it.
func (d *gateway) onCounterResult(m *message) {
	if !d.up || int32(d.epoch) != m.epoch {
		return
	}
	if m.counterCall.result.Result != decision.Succeeded {
		d.shard.counts.CounterCallsLost++
	}
	d.execute(d.machine.CounterAnswered(d.now(), m.counterCall.result))
}

func (c *Counter) valid() bool {
	return c.Rate == 0 || c.Rate > 0 && c.Rate <= 1e9 && c.MaxWait >= 0 && c.Timeout > 0
}
