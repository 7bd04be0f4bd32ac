package emulator

import (
	"time"

	"pumicecroft/internal/lifecycle"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Second is what the calls that began in one second came to. Its tags are the form of results on disk.
type Second struct {
	Offered       int     `json:"Offered"`
	Served        int     `json:"Served"`
	Rejected      int     `json:"Refused"`
	Failed        int     `json:"Failed"`
	WeightOffered float64 `json:"WorthOffered"`
	WeightServed  float64 `json:"WorthServed"`
}

// Counts are what a run counts. All but Falls leave out what began in the warm-up. Its tags are the form of results on disk.
type Counts struct {
	Offered              int     `json:"Offered"` // calls, by their ends
	Served               int     `json:"Served"`
	InObjective          int     `json:"InAim"`
	Rejected             int     `json:"Refused"`
	Failed               int     `json:"Failed"`
	WeightOffered        float64 `json:"WorthOffered"`
	WeightServed         float64 `json:"WorthServed"`
	Tries                int     `json:"Tries"`     // of clients that went on to a backend
	Attempts             int     `json:"Attempts"`  // at backends, from doors
	ToWarming            int     `json:"Cold"`      // attempts that came to a backend while it was cold
	ToDraining           int     `json:"Draining"`  // attempts that came to one when it had drained for longer than the grace
	RepeatedEffects      int     `json:"Doubled"`   // effects that happened again
	Overloads            int     `json:"Falls"`     // cold backends that were sent too much
	CounterCalls         int     `json:"Calls"`     // of the counter, from the start on
	CounterCallsLost     int     `json:"CallsLost"` // those with no answer in time, or turned away
	Cost                 float64 `json:"Units"`
	CostOverQuota        float64 `json:"UnitsOver"`
	WeightOverQuota      float64 `json:"WorthOver"`   // what was earned with units beyond quotas, and is not worth that by the plans
	MaxOvershoot         float64 `json:"Overshoot"`   // the most that a customer was beyond its ceiling and the slack, in units
	PeriodsOverHardLimit int     `json:"PastCeiling"` // periods in which one was
}

// Result is what came of a run.
type Result struct {
	Counts
	Latency    *hdrhistogram.Histogram // of calls that were served, from their beginning, in microseconds
	OutOfRange int                     // of these, above its range
	Seconds    []Second
	JainIndex  float64 // fairness of the served share over customers with 5 calls or more; 0: there was none
	Events     uint64
	Shards     int
}

// shardCounts is what a shard counts.
type shardCounts struct {
	Counts
	latency    *hdrhistogram.Histogram
	outOfRange int
	seconds    []Second
	callsBy    []uint16 // calls, by customer
	servedBy   []uint16 // that were served
}

// maxLatency is the histogram's range.
const maxLatency = 10 * time.Minute

func (t *shardCounts) init(c *Config) {
	t.latency = hdrhistogram.New(1, maxLatency.Microseconds(), 3)
	t.seconds = make([]Second, int((c.Duration+time.Second-1)/time.Second))
	t.callsBy, t.servedBy = make([]uint16, c.Clients.Customers), make([]uint16, c.Clients.Customers)
}

// isCounted tells whether a call is counted.
func (r *Region) isCounted(k *call) bool { return k.startedAt >= r.config.Warmup }

// weightOf is what a call earns within its aim.
func (r *Region) weightOf(k *call) float64 {
	return r.config.Settings.Classes[k.class].PriorityWeight * r.customerPlan(k.customer).Price * float64(k.cost)
}

func (t *shardCounts) secondOf(k *call) *Second { return &t.seconds[int(k.startedAt/time.Second)] }

func increment(v []uint16, i int32) {
	if v[i] < 1<<16-1 {
		v[i]++
	}
}

func (t *shardCounts) recordOffered(r *Region, k *call) {
	if !r.isCounted(k) {
		return
	}
	worth := r.weightOf(k)
	t.Offered++
	t.WeightOffered += worth
	s := t.secondOf(k)
	s.Offered++
	s.WeightOffered += worth
	increment(t.callsBy, k.customer)
}

func (t *shardCounts) recordServed(r *Region, k *call, seen time.Duration) {
	if !r.isCounted(k) {
		return
	}
	class := &r.config.Settings.Classes[k.class]
	worth := r.weightOf(k)
	if seen-k.startedAt <= class.LatencyObjective {
		t.InObjective++
	} else {
		worth *= class.LateWeightFactor
	}
	t.Served++
	t.WeightServed += worth
	s := t.secondOf(k)
	s.Served++
	s.WeightServed += worth
	increment(t.servedBy, k.customer)
	if t.latency.RecordValue((seen - k.startedAt).Microseconds()) != nil {
		t.outOfRange++
	}
}

func (t *shardCounts) recordUnserved(r *Region, k *call, v lifecycle.Verdict) {
	if !r.isCounted(k) {
		return
	}
	if s := t.secondOf(k); v == lifecycle.Rejected {
		t.Rejected++
		s.Rejected++
	} else {
		t.Failed++
		s.Failed++
	}
}

func (t *shardCounts) recordAttempt(r *Region, k *call) {
	if r.isCounted(k) {
		t.Attempts++
	}
}

func (t *shardCounts) recordArrival(r *Region, m *message, cold, draining bool) {
	if !r.isCounted(&m.call) {
		return
	}
	if cold {
		t.ToWarming++
	}
	if draining {
		t.ToDraining++
	}
}

// recordUsage counts a try that goes on, for its customer's use.
func (s *shard) recordUsage(k *call) {
	if s.region.isCounted(k) {
		s.counts.Tries++
	}
	if s.usage[k.customer] == 0 {
		s.usedBy = append(s.usedBy, k.customer)
	}
	s.usage[k.customer] += k.cost
}

// quotaAccounts holds what customers use against what they have, period by period, as a judge that sees all doors does.
type quotaAccounts struct {
	tokens, hardLimitTokens []float32 // of the stores
	period                  []int32   // the period of both
}

func newQuotas(c *Config) quotaAccounts {
	n := c.Clients.Customers
	return quotaAccounts{make([]float32, n), make([]float32, n), make([]int32, n)}
}

// closeUsagePeriod ends a period of the meter: what all doors have sent on in it is each customer's use.
func (r *Region) closeUsagePeriod() {
	for _, c := range r.lastUsed {
		r.usage[c] = 0
	}
	r.lastUsed = r.lastUsed[:0]
	for _, s := range r.shards {
		for _, c := range s.usedBy {
			if r.usage[c] == 0 {
				r.lastUsed = append(r.lastUsed, c)
			}
			r.usage[c] += s.usage[c]
			s.usage[c] = 0
		}
		s.usedBy = s.usedBy[:0]
	}
	r.period++
	t := &r.shards[0].counts
	counted := time.Duration(r.period)*meterPeriod > r.config.Warmup
	for _, c := range r.lastUsed {
		r.accountQuota(t, c, counted)
	}
	if lost := float32(r.counterLoss(time.Duration(r.period) * meterPeriod)); lost > 0 {
		for _, c := range r.lastUsed {
			r.usage[c] *= 1 - lost
		}
	}
}

// accountQuota holds one customer's use in the period that has ended against its plan. A period's refill counts as there from its
// beginning, so what is within a store for a moment of the period only is not told from what is for all of it.
func (r *Region) accountQuota(t *shardCounts, c int32, counted bool) {
	p, q := r.customerPlan(c), &r.quota
	used := float64(r.usage[c])
	idle := (time.Duration(r.period-int64(q.period[c])-1) * meterPeriod).Seconds()
	first := q.period[c] == 0
	q.period[c] = int32(r.period)
	// store gives what is left of one after the period, below 0 if it was used beyond; as it was full at a customer's first.
	store := func(left float32, rate, burst float64) float64 {
		before := min(burst, float64(left)+rate*idle)
		if first {
			before = burst
		}
		return before + rate*meterPeriod.Seconds() - used
	}
	over, past := 0.0, 0.0
	if p.Rate > 0 {
		left := store(q.tokens[c], p.Rate, p.Burst)
		over = max(0, -left)
		q.tokens[c] = float32(max(0, min(p.Burst, left)))
	}
	if p.HardLimitRate > 0 {
		left := store(q.hardLimitTokens[c], p.HardLimitRate, p.HardLimitBurst)
		past = max(0, -left-p.HardLimitOverdraft)
		q.hardLimitTokens[c] = float32(min(p.HardLimitBurst, left))
	}
	if counted {
		t.Cost += used
		t.CostOverQuota += over
		t.WeightOverQuota += over * r.meanWeight * p.Price * (1 - p.OverQuotaWeightFactor + p.OverQuotaCostFactor)
		if t.MaxOvershoot = max(t.MaxOvershoot, past); past > 1e-3 {
			t.PeriodsOverHardLimit++
		}
	}
}

// reportedUsage is the meter's word on a customer: its use in the last period, in percent of its rate.
func (r *Region) reportedUsage(customer int32) (percent float64, has bool) {
	p := r.customerPlan(customer)
	if r.config.Settings.UsagePeriod <= 0 || p.Rate <= 0 {
		return 0, false
	}
	return 100 * float64(r.usage[customer]) / (p.Rate * meterPeriod.Seconds()), true
}

// Result adds up what the shards have counted. The run must be over.
func (r *Region) Result() Result {
	out := Result{Latency: hdrhistogram.New(1, maxLatency.Microseconds(), 3), Seconds: make([]Second, len(r.shards[0].counts.seconds)), Shards: len(r.shards)}
	asked, got := make([]int, r.config.Clients.Customers), make([]int, r.config.Clients.Customers)
	for _, s := range r.shards {
		t := &s.counts
		out.add(&t.Counts)
		out.Latency.Merge(t.latency)
		out.OutOfRange += t.outOfRange
		out.Events += s.events
		for i, v := range t.seconds {
			o := &out.Seconds[i]
			o.Offered, o.Served, o.Rejected, o.Failed = o.Offered+v.Offered, o.Served+v.Served, o.Rejected+v.Rejected, o.Failed+v.Failed
			o.WeightOffered, o.WeightServed = o.WeightOffered+v.WeightOffered, o.WeightServed+v.WeightServed
		}
		for i := range asked {
			asked[i] += int(t.callsBy[i])
			got[i] += int(t.servedBy[i])
		}
	}
	sum, squares, n := 0.0, 0.0, 0.0
	for i := range asked {
		if asked[i] >= 5 {
			x := float64(got[i]) / float64(asked[i])
			sum, squares, n = sum+x, squares+x*x, n+1
		}
	}
	if squares > 0 {
		out.JainIndex = sum * sum / (n * squares)
	}
	return out
}

func (c *Counts) add(o *Counts) {
	c.Offered, c.Served, c.InObjective, c.Rejected, c.Failed = c.Offered+o.Offered, c.Served+o.Served, c.InObjective+o.InObjective, c.Rejected+o.Rejected, c.Failed+o.Failed
	c.WeightOffered, c.WeightServed = c.WeightOffered+o.WeightOffered, c.WeightServed+o.WeightServed
	c.Tries, c.Attempts, c.ToWarming, c.ToDraining = c.Tries+o.Tries, c.Attempts+o.Attempts, c.ToWarming+o.ToWarming, c.ToDraining+o.ToDraining
	c.CounterCalls, c.CounterCallsLost = c.CounterCalls+o.CounterCalls, c.CounterCallsLost+o.CounterCallsLost
	c.RepeatedEffects, c.Overloads, c.PeriodsOverHardLimit = c.RepeatedEffects+o.RepeatedEffects, c.Overloads+o.Overloads, c.PeriodsOverHardLimit+o.PeriodsOverHardLimit
	c.Cost, c.CostOverQuota, c.WeightOverQuota, c.MaxOvershoot = c.Cost+o.Cost, c.CostOverQuota+o.CostOverQuota, c.WeightOverQuota+o.WeightOverQuota, max(c.MaxOvershoot, o.MaxOvershoot)
}
