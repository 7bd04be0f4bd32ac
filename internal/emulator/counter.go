package emulator

import (
	"time"

	"pumicecroft/decision"
	"pumicecroft/internal/eventqueue"
)

// Counter configures the counter that gateways share. It keeps a sum for each key, and handles one
// call at a time.
type Counter struct {
	Rate    float64       // calls that it handles per second; 0 means no counter
	MaxWait time.Duration // longest wait of a call; one that would wait longer is rejected
	Timeout time.Duration // after which a gateway takes a call as failed
}

// counterCall is a call of the counter, with its result on the way back.
type counterCall struct {
	add    decision.CounterAdd
	result decision.CounterResult
	sentAt time.Duration
}

// counter is the shared counter. It is an actor of the first shard.
type counter struct {
	shard     *shard
	busyUntil time.Duration
	values    map[uint64]*counterValue
}

type counterValue struct {
	total     float64
	expiresAt time.Duration
}

func (c *Counter) valid() bool {
	return c.Rate == 0 || c.Rate > 0 && c.Rate <= 1e9 && c.MaxWait >= 0 && c.Timeout > 0
}

// callCounter sends a gateway's call to the counter.
func (g *gateway) callCounter(add decision.CounterAdd) {
	s, r := g.shard, g.region
	s.counts.CounterCalls++
	arrival := s.now + r.delay(uint64(g.number), add.Ref, delayCounterCall)
	s.send(r.counter.shard, arrival, message{
		kind: msgCounterCall, gateway: g.number, epoch: int32(g.epoch),
		counterCall: &counterCall{add: add, sentAt: s.now},
	})
}

// onCall handles a call. Of the lost calls, half are lost before they reach the counter and have no
// effect. Of the other half, only the results are lost.
func (c *counter) onCall(m *message) {
	s, call := c.shard, m.counterCall
	r := s.region
	config := &r.config.Counter
	call.result = decision.CounterResult{Ref: call.add.Ref, Result: decision.Succeeded}
	at := s.now
	draw := eventqueue.RandFloat64(r.seed, purposeCounter, uint64(m.gateway), call.add.Ref)
	lossShare := r.counterLoss(s.now)
	switch {
	case draw < lossShare/2:
		call.result.Result = decision.TimedOut
	case c.busyUntil-s.now > config.MaxWait:
		call.result.Result = decision.Rejected
	default:
		c.busyUntil = max(c.busyUntil, s.now) + time.Duration(float64(time.Second)/config.Rate)
		at = c.busyUntil
		call.result.Total = c.add(call.add, at)
		if draw < lossShare {
			call.result.Result = decision.TimedOut
		}
	}
	at += r.delay(uint64(m.gateway), call.add.Ref, delayCounterResult)
	deadline := max(call.sentAt+config.Timeout, s.now+r.config.Network.MinDelay)
	if call.result.Result == decision.TimedOut || at > deadline {
		at, call.result = deadline, decision.CounterResult{Ref: call.add.Ref, Result: decision.TimedOut}
	}
	s.send(r.gateways[m.gateway].shard, at,
		message{kind: msgCounterResult, gateway: m.gateway, epoch: m.epoch, counterCall: call})
}

// add adds to a key's sum and returns the sum. A sum starts at 0 again when its TTL has passed.
func (c *counter) add(add decision.CounterAdd, now time.Duration) float64 {
	value := c.values[add.Key]
	if value == nil || now >= value.expiresAt {
		value = &counterValue{expiresAt: now + add.TTL}
		c.values[add.Key] = value
	}
	value.total += add.Amount
	return value.total
}

// onCounterResult handles the result of a counter call, unless the process that made it has ended.
func (g *gateway) onCounterResult(m *message) {
	if !g.up || int32(g.epoch) != m.epoch {
		return
	}
	if m.counterCall.result.Result != decision.Succeeded {
		g.shard.counts.CounterCallsLost++
	}
	g.applyEffects(g.machine.CounterAnswered(g.now(), m.counterCall.result))
}
