package emulator

import (
	"math"
	"time"

	"pumicecroft/decision"
	"pumicecroft/internal/eventqueue"
)

// messageKind is what a message tells, and to whom.
type messageKind uint8

const (
	msgArrival        messageKind = iota // to the shard: a client's next call
	msgRequest                           // to a gateway: a client's try
	msgAttempt                           // to a backend
	msgCancel                            // to a backend: nobody waits for an attempt any more
	msgDone                              // to a backend: an execution ends
	msgOutcome                           // to a gateway: how an attempt ended
	msgExecution                         // to a gateway: an attempt that is not idempotent is executed
	msgTimer                             // to a gateway: its lifecycle machine asked for a call
	msgUpdate                            // to a gateway: changed endpoints
	msgBackendChanged                    // to discovery
	msgPublish                           // to discovery: it is time to tell the gateways
	msgCounterCall                       // to the counter
	msgCounterResult                     // to a gateway: what became of its call
	msgFunc                              // to any actor: run is called
)

// message is one event, or one on its way to another shard. Its kind says which fields count.
type message struct {
	kind        messageKind
	result      decision.Result
	tryNumber   uint8
	gateway     int32
	backend     int32
	epoch       int32 // of the process that it is for
	requestID   uint64
	attempt     int32
	at          time.Duration
	call        call
	endpoints   *[]decision.Endpoint
	stream      *arrivalStream
	run         func()
	counterCall *counterCall
}

// shard is a part of the region, with its gateways, backends and streams of arrivals.
type shard struct {
	region *Region
	number int
	now    time.Duration
	queue  eventqueue.Queue[message]
	seq    uint64       // counts messages of this shard
	outbox [][]outgoing // by the shard that they are for
	counts shardCounts
	events uint64 // handled

	// Of the current usage period.
	usage  []float32 // cost of what was sent on, by customer
	usedBy []int32   // customers whose usage is not 0
}

// outgoing is a message for another shard.
type outgoing struct {
	at      time.Duration
	order   uint64
	message message
}

func newShard(r *Region, number, shards int) *shard {
	s := &shard{
		region: r, number: number, outbox: make([][]outgoing, shards),
		usage: make([]float32, r.config.Clients.Customers),
	}
	s.counts.init(&r.config)
	return s
}

// nextOrder gives a number that no other message has.
func (s *shard) nextOrder() uint64 {
	s.seq++
	return uint64(s.number)<<48 | s.seq
}

// schedule sends a message to an actor of this shard.
func (s *shard) schedule(at time.Duration, m message) {
	s.queue.Push(max(at, s.now), s.nextOrder(), m)
}

// send sends a message to an actor of any shard. To another shard it arrives after the window's
// end: a message takes at least Network.MinDelay.
func (s *shard) send(to *shard, at time.Duration, m message) {
	if to == s {
		s.queue.Push(at, s.nextOrder(), m)
		return
	}
	s.outbox[to.number] = append(s.outbox[to.number], outgoing{max(at, s.region.window), s.nextOrder(), m})
}

// Purposes of delays. The delay of a client's try has the call and the try alone.
const (
	_ uint64 = iota
	delayAttempt
	delayCancel
	delayFinal
	delayExecution
	delayOutcome
	delayUpdate
	_
	delayCounterCall
	delayCounterResult
)

// delay draws how long a message takes. It depends on the purpose alone.
func (r *Region) delay(purpose ...uint64) time.Duration {
	network := r.config.Network
	if network.MeanExtraDelay == 0 {
		return network.MinDelay
	}
	var buffer [4]uint64 // keeps the purpose on the stack, as this is called for every message
	draw := eventqueue.RandFloat64(r.seed, append(append(buffer[:0], purpose...), purposeNetwork)...)
	return network.MinDelay + time.Duration(-math.Log1p(-draw)*float64(network.MeanExtraDelay))
}

// handle has a message's receiver handle it.
func (s *shard) handle(m *message) {
	r := s.region
	switch m.kind {
	case msgArrival:
		s.counts.recordOffered(r, &m.call)
		s.sendTry(&m.call, 0, s.now)
		s.scheduleArrival(m.stream)
	case msgAttempt:
		r.backends[m.backend].onAttempt(m)
	case msgCancel:
		r.backends[m.backend].onCancel(m)
	case msgDone:
		r.backends[m.backend].onDone(m)
	case msgBackendChanged:
		r.discovery.onChange(m)
	case msgPublish:
		r.discovery.publish()
	case msgCounterCall:
		r.counter.onCall(m)
	case msgFunc:
		m.run()
	default:
		r.gateways[m.gateway].handle(m)
	}
}
