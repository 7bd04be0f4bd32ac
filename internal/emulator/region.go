// Package emulator emulates a region: up to hundreds of doors, ten thousand backends and a million customers, under load and
// failures that a seed decides, and counts what came of it. Where the seeded world (internal/sim) looks for broken rules byte by
// byte in small worlds, this one has an event for a message instead, so that what a change does can be seen at large size. Both
// stand on the same clock and chance (internal/virtual), and at each door runs what ships: the core and, unless another policy is
// to be compared with it, the decision module.
//
// A region is divided into shards, by its size alone. A shard has its own queue of events, and each message between actors takes
// at least Network.Least; so all shards can go on for that long without hearing of each other, at once on as many cores as there
// are (Fujimoto, Parallel Discrete Event Simulation, 1990: a conservative, synchronous window). What comes of it hangs on Config and seed
// alone, not on who runs the shards: orders among events of one instant are by who sent them.
//
// region.go is the windows and the whole, door.go a door and its clients, backend.go a backend, fault.go what befalls them,
// draw.go chance, counter.go the counter that doors share, policy.go what the decision module is compared with, and result.go what
// is counted. The package is pure. A
// runner calls Next, then Step for each shard, then Take for each shard, over and over; Steps may run at once, and so may Takes.
package emulator

import (
	"math"
	"time"

	"pumicecroft/decision"
	"pumicecroft/internal/eventqueue"
)

// messageKind a message is.
type messageKind uint8

const (
	msgRequest        messageKind = iota // a client's try comes to a door
	msgArrival                           // a client's next call, at its stream
	msgAttempt                           // comes to a backend
	msgCancel                            // an attempt was called off
	msgOutcome                           // an attempt's outcome comes to its door
	msgExecution                         // an attempt of an effect has begun at a backend
	msgDone                              // a backend ends a request that it works at
	msgTimer                             // a door's timers
	msgUpdate                            // of backends, to a door
	msgBackendChanged                    // news of a backend, on its way to discovery
	msgPublish                           // discovery's word goes to all doors
	msgFunc                              // what befalls an actor begins or ends
	msgCounterCall                       // a call comes to the counter
	msgCounterResult                     // what became of it, to its door
)

// message is one event, or one on its way from shard to shard.
type message struct {
	kind      messageKind
	result    decision.Result
	tryNumber uint8 // of a try
	gateway   int32
	backend   int32
	epoch     int32 // of the backend's process
	requestID uint64
	attempt   int32
	at        time.Duration // of what it tells
	call      call
	endpoints *[]decision.Endpoint
	stream    *arrivalStream
	run       func()
	// of a call of the counter
	counterCall *counterCall
}

// shard is a part of the region, with its doors, backends and streams of clients.
type shard struct {
	region *Region
	number int
	now    time.Duration
	queue  eventqueue.Queue[message]
	seq    uint64
	outbox [][]outgoing // by shard that they are for
	counts shardCounts
	usage  []float32 // units counted in this period, by customer
	usedBy []int32   // customers that were counted
	events uint64
}

type outgoing struct {
	at      time.Duration
	order   uint64
	message message
}

// Region is one run. See the package for who may call what at once.
type Region struct {
	config     Config
	seed       uint64
	shards     []*shard
	gateways   []*gateway
	backends   []*backend
	planOf     []uint8 // by customer; nil: all have the first
	service    sampler
	profile    rateProfile
	window     time.Duration // its end
	period     int64         // of the meter
	usage      []float32     // by customer, units in the last period that the meter has summed
	lastUsed   []int32       // whose use is not 0
	quota      quotaAccounts
	meanWeight float64 // of a unit, over the classes as they are asked for
	discovery  discovery
	counter    counter
}

const meterPeriod = 500 * time.Millisecond

// New prepares a run. What does not make sense is said by an error.
func New(c Config, seed uint64) (*Region, error) {
	if c.Settings.GatewayCount == 0 {
		c.Settings.GatewayCount = c.Gateways
	}
	if err := c.Validate(); err != nil {
		return nil, err
	}
	c.resolveShares()
	c.Settings.HasSharedCounter = c.Counter.Rate > 0
	c.Settings.MaxCost = max(c.Settings.MaxCost, c.Clients.Cost)
	for _, a := range c.Arrivals.Trace {
		c.Settings.MaxCost = max(c.Settings.MaxCost, a.Cost)
	}
	r := &Region{config: c, seed: seed, service: newSampler(c.Backends.Service), profile: newRateProfile(&c, seed)}
	// Some hundred events or more to a window and shard are worth the waiting for each other.
	n := max(1, min(16, c.Gateways, int(c.Arrivals.Rate*6*c.Network.MinDelay.Seconds()/2), c.Backends.Count))
	if len(c.Arrivals.Trace) > 0 {
		n = 1
	}
	if c.Shards > 0 {
		n = c.Shards
	}
	for i := range n {
		s := &shard{region: r, number: i, outbox: make([][]outgoing, n), usage: make([]float32, c.Clients.Customers)}
		s.counts.init(&c)
		r.shards = append(r.shards, s)
	}
	r.usage = make([]float32, c.Clients.Customers)
	r.quota = newQuotas(&c)
	parts := 0.0
	for i, share := range c.Clients.Classes {
		parts += share.Weight
		r.meanWeight += share.Weight * c.Settings.Classes[c.classIndex[i]].PriorityWeight
	}
	r.meanWeight /= parts
	if len(c.Clients.Plans) > 1 {
		pick := sharePicker(c.Clients.Plans)
		r.planOf = make([]uint8, c.Clients.Customers)
		for i := range r.planOf {
			r.planOf[i] = c.planIndex[pick.Pick(eventqueue.RandFloat64(seed, purposePlan, uint64(i)))]
		}
	}
	for i := range c.Backends.Count {
		r.backends = append(r.backends, newBackend(r, i))
	}
	r.discovery = discovery{shard: r.shards[0], changed: map[int32]decision.Endpoint{}}
	r.counter = counter{shard: r.shards[0], values: map[uint64]*counterValue{}}
	all := make([]decision.Endpoint, len(r.backends))
	for i, b := range r.backends {
		all[i] = b.endpoint()
	}
	for i := range c.Gateways {
		d := &gateway{region: r, number: int32(i), shard: r.shards[i%n]}
		if err := d.boot(all); err != nil {
			return nil, err
		}
		r.gateways = append(r.gateways, d)
	}
	r.scheduleFaults()
	for i, s := range r.shards {
		for f := -1; f < len(c.Faults); f++ {
			if f < 0 || c.Faults[f].Kind == Flood {
				s.scheduleArrival(newArrivalStream(&r.config, &r.profile, seed, i, n, f))
			}
		}
	}
	r.shards[0].schedule(c.UpdateInterval, message{kind: msgPublish})
	return r, nil
}

// Shards is how many there are.
func (r *Region) Shards() int { return len(r.shards) }

// NextWindow opens the next window, unless the run is over. It waits for all Takes, and no other call may run beside it.
func (r *Region) NextWindow() bool {
	first, found := time.Duration(0), false
	for _, s := range r.shards {
		if at, ok := s.queue.Next(); ok && (!found || at < first) {
			first, found = at, true
		}
	}
	if !found || first >= r.config.Duration+r.settleTime() {
		return false
	}
	for p := int64(first / meterPeriod); r.period < p; { // what nothing happened in passes as well
		r.closeUsagePeriod()
	}
	r.window = min(first+r.config.Network.MinDelay, time.Duration(r.period+1)*meterPeriod)
	return true
}

// settleTime is what a run goes on for after its last call: all tries end meanwhile.
func (r *Region) settleTime() time.Duration { return r.config.Settings.LongestDeadline() + time.Second }

// RunShard has what a shard does in the window happen.
func (r *Region) RunShard(number int) {
	s := r.shards[number]
	for {
		at, ok := s.queue.Next()
		if !ok || at >= r.window {
			return
		}
		var m message
		s.now, m = s.queue.Pop()
		s.events++
		s.handle(&m)
	}
}

// DeliverTo gives a shard what others have for it. It waits for all Steps.
func (r *Region) DeliverTo(number int) {
	to := r.shards[number]
	for _, from := range r.shards {
		box := from.outbox[number]
		for i := range box {
			to.queue.Push(box[i].at, box[i].order, box[i].message)
			box[i] = outgoing{}
		}
		from.outbox[number] = box[:0]
	}
}

// nextOrder is a number that no other message has.
func (s *shard) nextOrder() uint64 {
	s.seq++
	return uint64(s.number)<<48 | s.seq
}

// schedule is for the shard itself.
func (s *shard) schedule(at time.Duration, m message) { s.queue.Push(max(at, s.now), s.nextOrder(), m) }

// send sends to an actor of any shard; at is not before the window's end, as a message takes Network.Least at the least.
func (s *shard) send(to *shard, at time.Duration, m message) {
	if to == s {
		s.queue.Push(at, s.nextOrder(), m)
		return
	}
	s.outbox[to.number] = append(s.outbox[to.number], outgoing{max(at, s.region.window), s.nextOrder(), m})
}

// delay is how long a message takes, by chance that hangs on it alone.
func (r *Region) delay(of ...uint64) time.Duration {
	n := r.config.Network
	if n.MeanExtraDelay == 0 {
		return n.MinDelay
	}
	var all [4]uint64 // room for them on the stack: this is for every message
	u := eventqueue.RandFloat64(r.seed, append(append(all[:0], of...), purposeNetwork)...)
	return n.MinDelay + time.Duration(-math.Log1p(-u)*float64(n.MeanExtraDelay))
}

// handle has one thing happen.
func (s *shard) handle(m *message) {
	r := s.region
	switch m.kind {
	case msgArrival:
		s.counts.recordOffered(r, &m.call)
		s.sendTry(&m.call, 0, s.now)
		s.scheduleArrival(m.stream)
	case msgRequest:
		r.gateways[m.gateway].onRequest(m)
	case msgAttempt:
		r.backends[m.backend].onAttempt(m)
	case msgCancel:
		r.backends[m.backend].onCancel(m)
	case msgDone:
		r.backends[m.backend].onDone(m)
	case msgOutcome:
		r.gateways[m.gateway].onOutcome(m)
	case msgExecution:
		r.gateways[m.gateway].onExecution(m)
	case msgTimer:
		r.gateways[m.gateway].onTimer(m)
	case msgUpdate:
		r.gateways[m.gateway].onUpdate(m)
	case msgBackendChanged:
		r.discovery.onChange(m)
	case msgPublish:
		r.discovery.publish()
	case msgCounterCall:
		r.counter.onCall(m)
	case msgCounterResult:
		r.gateways[m.gateway].onCounterResult(m)
	case msgFunc:
		m.run()
	}
}

// scheduleArrival lets a stream's clients ask, one after another.
func (s *shard) scheduleArrival(st *arrivalStream) {
	k, ok := st.next()
	if !ok {
		return
	}
	s.schedule(k.startedAt, message{kind: msgArrival, call: k, stream: st})
}

// sendTry sends a client's try to one of its customer's doors.
func (s *shard) sendTry(k *call, try uint8, at time.Duration) {
	r := s.region
	first, spread := r.gatewaysOf(k.customer)
	d := r.gateways[(first+int(eventqueue.RandFloat64(r.seed, purposeClient, k.number, uint64(try))*float64(spread)))%r.config.Gateways]
	s.send(d.shard, at+r.delay(k.number, uint64(try)), message{kind: msgRequest, gateway: d.number, call: *k, tryNumber: try})
}

// gatewaysOf are the doors that a customer uses: some in a row.
func (r *Region) gatewaysOf(customer int32) (first, spread int) {
	return int(eventqueue.Mix(uint64(customer)+r.seed) % uint64(r.config.Gateways)), min(r.config.Clients.GatewaySpread, r.config.Gateways)
}

// customerPlan is a customer's.
func (r *Region) customerPlan(customer int32) *decision.Plan {
	if r.planOf == nil {
		return &r.config.Settings.Plans[r.config.planIndex[0]]
	}
	return &r.config.Settings.Plans[r.planOf[customer]]
}
