package emulator

import (
	"math"
	"time"

	"pumicecroft/decision"
	"pumicecroft/internal/eventqueue"
)

// messageKind is the kind of a message, which determines its receiver.
type messageKind uint8

const (
	msgArrival        messageKind = iota // to the shard: a call of an arrival stream begins
	msgRequest                           // to a gateway: a client's try
	msgAttempt                           // to a backend: an attempt
	msgCancel                            // to a backend: an attempt is cancelled
	msgDone                              // to a backend: an execution ends
	msgOutcome                           // to a gateway: the result of an attempt
	msgExecution                         // to a gateway: execution of a request that is not idempotent has started
	msgTimer                             // to a gateway: the timer of its lifecycle machine expires
	msgUpdate                            // to a gateway: changed endpoints
	msgBackendChanged                    // to discovery: a backend's endpoint has changed
	msgPublish                           // to discovery: the changes are due to be sent to gateways
	msgCounterCall                       // to the counter: a call
	msgCounterResult                     // to a gateway: the result of a counter call
	msgFunc                              // to any actor: run is called
)

// message is an event of an actor. The kind determines which fields are used.
type message struct {
	kind        messageKind
	result      decision.Result
	tryNumber   uint8
	gateway     int32
	backend     int32
	epoch       int32 // of the receiving process
	requestID   uint64
	attempt     int32
	at          time.Duration
	call        call
	endpoints   *[]decision.Endpoint
	stream      *arrivalStream
	run         func()
	counterCall *counterCall
}

// shard is a part of the region, with its own gateways, backends and arrival streams.
type shard struct {
	region *Region
	number int
	now    time.Duration
	queue  eventqueue.Queue[message]
	seq    uint64       // number of messages sent by this shard
	outbox [][]outgoing // messages for other shards, by shard
	counts shardCounts
	events uint64 // number of messages handled

	// Fields of the current usage period.
	usage           []float32 // cost of the tries that were forwarded, by customer
	activeCustomers []int32   // customers whose usage is not 0
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

// nextOrder returns a unique number, which orders messages of the same time.
func (s *shard) nextOrder() uint64 {
	s.seq++
	return uint64(s.number)<<48 | s.seq
}

// schedule sends a message to an actor of this shard.
func (s *shard) schedule(at time.Duration, m message) {
	s.queue.Push(max(at, s.now), s.nextOrder(), m)
}

// send sends a message to an actor of any shard. At another shard it arrives at the window's end or
// later, as a message takes at least Network.MinDelay.
func (s *shard) send(to *shard, at time.Duration, m message) {
	if to == s {
		s.queue.Push(at, s.nextOrder(), m)
		return
	}
	s.outbox[to.number] = append(s.outbox[to.number], outgoing{max(at, s.region.windowEnd), s.nextOrder(), m})
}

// Purposes of delays, used as the last key of a random draw. The delay of a client's try is keyed by
// its call and try only.
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

// delay draws how long a message takes. The result depends only on the seed and the purpose.
func (r *Region) delay(purpose ...uint64) time.Duration {
	network := r.config.Network
	if network.MeanExtraDelay == 0 {
		return network.MinDelay
	}
	var buffer [4]uint64 // keeps the purpose on the stack, as this is called for every message
	draw := eventqueue.RandFloat64(r.seed, append(append(buffer[:0], purpose...), purposeNetwork)...)
	return network.MinDelay + time.Duration(-math.Log1p(-draw)*float64(network.MeanExtraDelay))
}

// handle dispatches a message to its receiver.
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
