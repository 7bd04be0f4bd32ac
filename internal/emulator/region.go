package emulator

import (
	"time"

	"pumicecroft/decision"
	"pumicecroft/internal/eventqueue"
)

// Region is one run. The package's comment says which calls may run at once.
type Region struct {
	config    Config
	seed      uint64
	shards    []*shard
	gateways  []*gateway
	backends  []*backend
	discovery discovery
	counter   counter
	service   sampler
	profile   rateProfile
	planOf    []uint8       // by customer; nil: all have the first
	window    time.Duration // its end

	period     int64     // counts usage periods that have ended
	usage      []float32 // by customer, as the counter has it for the last period
	lastUsed   []int32   // customers whose usage is not 0
	quota      quotaAccounts
	meanWeight float64 // of a unit of cost, over the classes as they are asked for
}

// New prepares a run. Its error says what does not make sense.
func New(config Config, seed uint64) (*Region, error) {
	if config.Settings.GatewayCount == 0 {
		config.Settings.GatewayCount = config.Gateways
	}
	if err := config.Validate(); err != nil {
		return nil, err
	}
	config.resolveShares()
	config.Settings.HasSharedCounter = config.Counter.Rate > 0
	config.Settings.MaxCost = max(config.Settings.MaxCost, config.Clients.Cost)
	for _, arrival := range config.Arrivals.Trace {
		config.Settings.MaxCost = max(config.Settings.MaxCost, arrival.Cost)
	}
	r := &Region{
		config: config, seed: seed,
		service: newSampler(config.Backends.Service), profile: newRateProfile(&config, seed),
		usage: make([]float32, config.Clients.Customers), quota: newQuotaAccounts(&config),
		meanWeight: config.meanWeight(),
	}
	shards := config.shardCount()
	for number := range shards {
		r.shards = append(r.shards, newShard(r, number, shards))
	}
	r.drawPlans()
	if err := r.populate(); err != nil {
		return nil, err
	}
	r.scheduleFaults()
	r.startArrivals()
	r.shards[0].schedule(config.UpdateInterval, message{kind: msgPublish})
	return r, nil
}

// maxShards bounds the shards that a region's size asks for.
const maxShards = 16

// shardCount is into how many shards a region is divided: a window should have some hundred events
// in each, to be worth the synchronisation.
func (c *Config) shardCount() int {
	switch {
	case c.Shards > 0:
		return c.Shards
	case len(c.Arrivals.Trace) > 0:
		return 1
	}
	byRate := int(c.Arrivals.Rate * 6 * c.Network.MinDelay.Seconds() / 2)
	return max(1, min(maxShards, c.Gateways, byRate, c.Backends.Count))
}

// meanWeight is the priority weight of a unit of cost, over the classes as they are asked for.
func (c *Config) meanWeight() float64 {
	sum, total := 0.0, 0.0
	for i, share := range c.Clients.Classes {
		total += share.Weight
		sum += share.Weight * c.Settings.Classes[c.classIndex[i]].PriorityWeight
	}
	return sum / total
}

// drawPlans gives each customer a plan.
func (r *Region) drawPlans() {
	if len(r.config.Clients.Plans) < 2 {
		return
	}
	picker := sharePicker(r.config.Clients.Plans)
	r.planOf = make([]uint8, r.config.Clients.Customers)
	for customer := range r.planOf {
		draw := eventqueue.RandFloat64(r.seed, purposePlan, uint64(customer))
		r.planOf[customer] = r.config.planIndex[picker.Pick(draw)]
	}
}

// populate makes the backends, discovery, the counter and the gateways.
func (r *Region) populate() error {
	for number := range r.config.Backends.Count {
		r.backends = append(r.backends, newBackend(r, number))
	}
	r.discovery = discovery{shard: r.shards[0], changed: map[int32]decision.Endpoint{}}
	r.counter = counter{shard: r.shards[0], values: map[uint64]*counterValue{}}
	endpoints := make([]decision.Endpoint, len(r.backends))
	for i, backend := range r.backends {
		endpoints[i] = backend.endpoint()
	}
	for number := range r.config.Gateways {
		g := &gateway{region: r, number: int32(number), shard: r.shards[number%len(r.shards)]}
		if err := g.boot(endpoints); err != nil {
			return err
		}
		r.gateways = append(r.gateways, g)
	}
	return nil
}

// startArrivals starts each shard's streams: the usual one, and one for each flood.
func (r *Region) startArrivals() {
	for number, s := range r.shards {
		for fault := noFault; fault < len(r.config.Faults); fault++ {
			if fault == noFault || r.config.Faults[fault].Kind == Flood {
				s.scheduleArrival(newArrivalStream(&r.config, &r.profile, r.seed, number, len(r.shards), fault))
			}
		}
	}
}

// Shards is how many shards there are.
func (r *Region) Shards() int { return len(r.shards) }

// NextWindow opens the next window, or gives false if the run is over. No other call may run beside
// it.
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
	for period := int64(first / usagePeriod); r.period < period; { // also those in which nothing happened
		r.closeUsagePeriod()
	}
	r.window = min(first+r.config.Network.MinDelay, time.Duration(r.period+1)*usagePeriod)
	return true
}

// settleTime is how long a run goes on after its last call: all tries end meanwhile.
func (r *Region) settleTime() time.Duration { return r.config.Settings.LongestDeadline() + time.Second }

// RunShard has a shard handle its messages in the window.
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

// DeliverTo gives a shard what others have sent to it. It may begin once all calls of RunShard have
// ended.
func (r *Region) DeliverTo(number int) {
	to := r.shards[number]
	for _, from := range r.shards {
		box := from.outbox[number]
		for i := range box {
			to.queue.Push(box[i].at, box[i].order, box[i].message)
			box[i] = outgoing{} // lets go of what the message refers to
		}
		from.outbox[number] = box[:0]
	}
}
