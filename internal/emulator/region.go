package emulator

import (
	"time"

	"pumicecroft/decision"
	"pumicecroft/internal/eventqueue"
)

// Region is one run of the emulation. The package comment says which calls may run concurrently.
type Region struct {
	config      Config
	seed        uint64
	shards      []*shard
	gateways    []*gateway
	backends    []*backend
	discovery   discovery
	counter     counter
	serviceTime sampler
	profile     rateProfile
	planOf      []uint8       // by customer; nil means that all have the first of Clients.Plans
	windowEnd   time.Duration // of the current time window

	period            int64     // number of usage periods that have ended
	usage             []float32 // reported usage of the last period, by customer
	reportedCustomers []int32   // customers whose usage is not 0
	quota             quotaBuckets
	meanWeight        float64 // priority weight of a unit of cost, averaged over the classes
}

// New prepares a run. It returns an error if config is invalid.
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
		serviceTime: newSampler(config.Backends.ServiceTime), profile: newRateProfile(&config, seed),
		usage: make([]float32, config.Clients.Customers), quota: newQuotaBuckets(&config),
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

// maxShards is the largest number of shards that is chosen by the region's size.
const maxShards = 16

// shardCount returns the number of shards. Without a configured number, each shard should have some
// hundred events in a window, so that the work outweighs the synchronization.
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

// meanWeight returns the priority weight of a unit of cost, averaged over the classes by their shares
// of the calls.
func (c *Config) meanWeight() float64 {
	sum, total := 0.0, 0.0
	for i, share := range c.Clients.Classes {
		total += share.Weight
		sum += share.Weight * c.Settings.Classes[c.classIndex[i]].PriorityWeight
	}
	return sum / total
}

// drawPlans draws a plan for each customer.
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

// populate creates the backends, discovery, the counter and the gateways.
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
		if err := g.startProcess(endpoints); err != nil {
			return err
		}
		r.gateways = append(r.gateways, g)
	}
	return nil
}

// startArrivals starts the arrival streams of each shard: the regular one, and one for each flood.
func (r *Region) startArrivals() {
	for number, s := range r.shards {
		for fault := noFault; fault < len(r.config.Faults); fault++ {
			if fault == noFault || r.config.Faults[fault].Kind == Flood {
				s.scheduleArrival(newArrivalStream(&r.config, &r.profile, r.seed, number, len(r.shards), fault))
			}
		}
	}
}

// Shards returns the number of shards.
func (r *Region) Shards() int { return len(r.shards) }

// NextWindow opens the next time window, or returns false if the run is over. It must not run
// concurrently with any other call.
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
	for period := int64(first / usagePeriod); r.period < period; { // includes periods without events
		r.closeUsagePeriod()
	}
	r.windowEnd = min(first+r.config.Network.MinDelay, time.Duration(r.period+1)*usagePeriod)
	return true
}

// settleTime returns how long a run continues after Config.Duration, so that all tries end.
func (r *Region) settleTime() time.Duration { return r.config.Settings.LongestDeadline() + time.Second }

// RunShard handles the messages of a shard in the current window.
func (r *Region) RunShard(number int) {
	s := r.shards[number]
	for {
		at, ok := s.queue.Next()
		if !ok || at >= r.windowEnd {
			return
		}
		var m message
		s.now, m = s.queue.Pop()
		s.events++
		s.handle(&m)
	}
}

// DeliverTo moves the messages that other shards have sent to a shard into its queue. It must be
// called after all calls of RunShard have returned.
func (r *Region) DeliverTo(number int) {
	to := r.shards[number]
	for _, from := range r.shards {
		box := from.outbox[number]
		for i := range box {
			to.queue.Push(box[i].at, box[i].order, box[i].message)
			box[i] = outgoing{} // releases what the message refers to
		}
		from.outbox[number] = box[:0]
	}
}
