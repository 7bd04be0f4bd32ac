package emulator

import (
	"math"
	"time"

	"pumicecroft/internal/lifecycle"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Second counts the calls that began in one second, by how they ended. Its tags are the stored form
// of results.
type Second struct {
	Offered       int     `json:"Offered"`
	Served        int     `json:"Served"`
	Rejected      int     `json:"Refused"`
	Failed        int     `json:"Failed"`
	WeightOffered float64 `json:"WorthOffered"`
	WeightServed  float64 `json:"WorthServed"`
}

// Counts are the counts of a run. All except Overloads, CounterCalls and CounterCallsLost omit what
// began during the warm-up. The tags are the stored form of results.
type Counts struct {
	// Calls by how they ended. InObjective counts those that were served within their class's
	// latency objective.
	Offered     int `json:"Offered"`
	Served      int `json:"Served"`
	InObjective int `json:"InAim"`
	Rejected    int `json:"Refused"`
	Failed      int `json:"Failed"`

	WeightOffered float64 `json:"WorthOffered"` // sum over calls of priority weight times price times cost
	WeightServed  float64 `json:"WorthServed"`  // late calls are reduced by LateWeightFactor

	Tries           int `json:"Tries"`    // clients' tries that were forwarded to a backend
	Attempts        int `json:"Attempts"` // sent by gateways
	ToWarming       int `json:"Cold"`     // attempts that reached a backend during its warm-up
	ToDraining      int `json:"Draining"` // attempts that reached a draining backend after its drain grace
	RepeatedEffects int `json:"Doubled"`  // repeated effects of requests that are not idempotent
	Overloads       int `json:"Falls"`    // restarts of backends that were overloaded during their warm-up

	CounterCalls     int `json:"Calls"`
	CounterCallsLost int `json:"CallsLost"` // rejected, or without a response in time

	Cost          float64 `json:"Units"`     // of forwarded tries
	CostOverQuota float64 `json:"UnitsOver"` // part of Cost beyond the customers' quotas
	// WeightOverQuota is what CostOverQuota takes off WeightServed: its weight times
	// 1 - OverQuotaWeightFactor + OverQuotaCostFactor of the plan.
	WeightOverQuota float64 `json:"WorthOver"`
	// MaxOvershoot is the highest cost of a customer beyond its hard limit and overdraft.
	MaxOvershoot         float64 `json:"Overshoot"`
	PeriodsOverHardLimit int     `json:"PastCeiling"` // usage periods with an overshoot, over all customers
}

// Result is the result of a run.
type Result struct {
	Counts
	Latency    *hdrhistogram.Histogram // of served calls over all their tries, in microseconds
	OutOfRange int                     // served calls above the histogram's range
	Seconds    []Second
	JainIndex  float64 // fairness of the served share over customers with 5 calls or more; 0 if none was served
	Events     uint64  // number of messages handled
	Shards     int
}

// shardCounts are the counts of one shard.
type shardCounts struct {
	Counts
	latency    *hdrhistogram.Histogram
	outOfRange int
	seconds    []Second
	callsBy    []uint16 // calls by customer, at most 65,535 each
	servedBy   []uint16 // served calls by customer, at most 65,535 each
}

const (
	maxLatency      = 10 * time.Minute // the histogram's range
	histogramDigits = 3
)

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxLatency.Microseconds(), histogramDigits)
}

// init allocates the counts of a run.
func (c *shardCounts) init(config *Config) {
	c.latency = newHistogram()
	c.seconds = make([]Second, int((config.Duration+time.Second-1)/time.Second))
	c.callsBy, c.servedBy = make([]uint16, config.Clients.Customers), make([]uint16, config.Clients.Customers)
}

// isCounted reports whether a call began after the warm-up.
func (r *Region) isCounted(call *call) bool { return call.startedAt >= r.config.Warmup }

// weightOf returns the weight of a call that is served within its latency objective.
func (r *Region) weightOf(call *call) float64 {
	weight := r.config.Settings.Classes[call.class].PriorityWeight
	return weight * r.customerPlan(call.customer).Price * float64(call.cost)
}

// secondOf returns the counts of the second in which a call began.
func (c *shardCounts) secondOf(call *call) *Second {
	return &c.seconds[int(call.startedAt/time.Second)]
}

// increment increments a counter, unless it has its largest value.
func increment(counters []uint16, index int32) {
	if counters[index] < math.MaxUint16 {
		counters[index]++
	}
}

// recordOffered counts a call that begins.
func (c *shardCounts) recordOffered(r *Region, call *call) {
	if !r.isCounted(call) {
		return
	}
	weight := r.weightOf(call)
	c.Offered++
	c.WeightOffered += weight
	s := c.secondOf(call)
	s.Offered++
	s.WeightOffered += weight
	increment(c.callsBy, call.customer)
}

// recordServed counts a call whose client got the response at seenAt.
func (c *shardCounts) recordServed(r *Region, call *call, seenAt time.Duration) {
	if !r.isCounted(call) {
		return
	}
	class := &r.config.Settings.Classes[call.class]
	weight := r.weightOf(call)
	if seenAt-call.startedAt <= class.LatencyObjective {
		c.InObjective++
	} else {
		weight *= class.LateWeightFactor
	}
	c.Served++
	c.WeightServed += weight
	s := c.secondOf(call)
	s.Served++
	s.WeightServed += weight
	increment(c.servedBy, call.customer)
	if c.latency.RecordValue((seenAt - call.startedAt).Microseconds()) != nil {
		c.outOfRange++
	}
}

// recordUnserved counts a call that its client has given up.
func (c *shardCounts) recordUnserved(r *Region, call *call, verdict lifecycle.Verdict) {
	if !r.isCounted(call) {
		return
	}
	if s := c.secondOf(call); verdict == lifecycle.Rejected {
		c.Rejected++
		s.Rejected++
	} else {
		c.Failed++
		s.Failed++
	}
}

// recordAttempt counts an attempt that a gateway sends.
func (c *shardCounts) recordAttempt(r *Region, call *call) {
	if r.isCounted(call) {
		c.Attempts++
	}
}

// recordArrival counts an attempt that arrives at a backend.
func (c *shardCounts) recordArrival(r *Region, m *message, warming, pastGrace bool) {
	if !r.isCounted(&m.call) {
		return
	}
	if warming {
		c.ToWarming++
	}
	if pastGrace {
		c.ToDraining++
	}
}

// jainMinCalls is the number of calls that a customer needs to count in Result.JainIndex.
const jainMinCalls = 5

// Result adds up the counts of all shards. The run must be over.
func (r *Region) Result() Result {
	result := Result{
		Latency: newHistogram(), Shards: len(r.shards),
		Seconds: make([]Second, len(r.shards[0].counts.seconds)),
	}
	customers := r.config.Clients.Customers
	calls, served := make([]int, customers), make([]int, customers)
	for _, s := range r.shards {
		counts := &s.counts
		result.add(&counts.Counts)
		result.Latency.Merge(counts.latency)
		result.OutOfRange += counts.outOfRange
		result.Events += s.events
		for i := range counts.seconds {
			result.Seconds[i].add(&counts.seconds[i])
		}
		for i := range calls {
			calls[i] += int(counts.callsBy[i])
			served[i] += int(counts.servedBy[i])
		}
	}
	result.JainIndex = jainIndex(calls, served)
	return result
}

// jainIndex returns Jain's fairness index of the served share over customers.
func jainIndex(calls, served []int) float64 {
	sum, squares, n := 0.0, 0.0, 0.0
	for i := range calls {
		if calls[i] >= jainMinCalls {
			share := float64(served[i]) / float64(calls[i])
			sum, squares, n = sum+share, squares+share*share, n+1
		}
	}
	if squares == 0 {
		return 0
	}
	return sum * sum / (n * squares)
}

func (s *Second) add(o *Second) {
	s.Offered += o.Offered
	s.Served += o.Served
	s.Rejected += o.Rejected
	s.Failed += o.Failed
	s.WeightOffered += o.WeightOffered
	s.WeightServed += o.WeightServed
}

func (c *Counts) add(o *Counts) {
	c.Offered += o.Offered
	c.Served += o.Served
	c.InObjective += o.InObjective
	c.Rejected += o.Rejected
	c.Failed += o.Failed
	c.WeightOffered += o.WeightOffered
	c.WeightServed += o.WeightServed
	c.Tries += o.Tries
	c.Attempts += o.Attempts
	c.ToWarming += o.ToWarming
	c.ToDraining += o.ToDraining
	c.RepeatedEffects += o.RepeatedEffects
	c.Overloads += o.Overloads
	c.CounterCalls += o.CounterCalls
	c.CounterCallsLost += o.CounterCallsLost
	c.Cost += o.Cost
	c.CostOverQuota += o.CostOverQuota
	c.WeightOverQuota += o.WeightOverQuota
	c.MaxOvershoot = max(c.MaxOvershoot, o.MaxOvershoot)
	c.PeriodsOverHardLimit += o.PeriodsOverHardLimit
}
