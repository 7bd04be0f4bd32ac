package region

import (
	"time"

	"pumicecroft/internal/core"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Second is what the calls that began in one second came to. Its tags are the form of results on disk.
type Second struct {
	Offered      int     `json:"Offered"`
	Served       int     `json:"Served"`
	Refused      int     `json:"Refused"`
	Failed       int     `json:"Failed"`
	WorthOffered float64 `json:"WorthOffered"`
	WorthServed  float64 `json:"WorthServed"`
}

// Counts are what a run counts. All but Falls leave out what began in the warm-up. Its tags are the form of results on disk.
type Counts struct {
	Offered      int     `json:"Offered"` // calls, by their ends
	Served       int     `json:"Served"`
	InAim        int     `json:"InAim"`
	Refused      int     `json:"Refused"`
	Failed       int     `json:"Failed"`
	WorthOffered float64 `json:"WorthOffered"`
	WorthServed  float64 `json:"WorthServed"`
	Tries        int     `json:"Tries"`     // of clients that went on to a backend
	Attempts     int     `json:"Attempts"`  // at backends, from doors
	Cold         int     `json:"Cold"`      // attempts that came to a backend while it was cold
	Draining     int     `json:"Draining"`  // attempts that came to one when it had drained for longer than the grace
	Doubled      int     `json:"Doubled"`   // effects that happened again
	Falls        int     `json:"Falls"`     // cold backends that were sent too much
	Calls        int     `json:"Calls"`     // of the counter, from the start on
	CallsLost    int     `json:"CallsLost"` // those with no answer in time, or turned away
	Units        float64 `json:"Units"`
	UnitsOver    float64 `json:"UnitsOver"`
	WorthOver    float64 `json:"WorthOver"`   // what was earned with units beyond quotas, and is not worth that by the plans
	Overshoot    float64 `json:"Overshoot"`   // the most that a customer was beyond its ceiling and the slack, in units
	PastCeiling  int     `json:"PastCeiling"` // periods in which one was
}

// Result is what came of a run.
type Result struct {
	Counts
	Latency *hdrhistogram.Histogram // of calls that were served, from their beginning, in microseconds
	Beyond  int                     // of these, above its range
	Seconds []Second
	Jain    float64 // fairness of the served share over customers with 5 calls or more; 0: there was none
	Events  uint64
	Shards  int
}

// tally is what a shard counts.
type tally struct {
	Counts
	latency *hdrhistogram.Histogram
	beyond  int
	seconds []Second
	asked   []uint16 // calls, by customer
	got     []uint16 // that were served
}

// longest is the histogram's range.
const longest = 10 * time.Minute

func (t *tally) begin(c *Config) {
	t.latency = hdrhistogram.New(1, longest.Microseconds(), 3)
	t.seconds = make([]Second, int((c.Length+time.Second-1)/time.Second))
	t.asked, t.got = make([]uint16, c.Clients.Customers), make([]uint16, c.Clients.Customers)
}

// counts tells whether a call is counted.
func (r *Region) counts(k *call) bool { return k.begun >= r.c.Warmup }

// worth is what a call earns within its aim.
func (r *Region) worth(k *call) float64 {
	return r.c.Settings.Classes[k.class].Worth * r.plan(k.customer).Price * float64(k.units)
}

func (t *tally) second(k *call) *Second { return &t.seconds[int(k.begun/time.Second)] }

func plus(v []uint16, i int32) {
	if v[i] < 1<<16-1 {
		v[i]++
	}
}

func (t *tally) offered(r *Region, k *call) {
	if !r.counts(k) {
		return
	}
	worth := r.worth(k)
	t.Offered++
	t.WorthOffered += worth
	s := t.second(k)
	s.Offered++
	s.WorthOffered += worth
	plus(t.asked, k.customer)
}

func (t *tally) served(r *Region, k *call, seen time.Duration) {
	if !r.counts(k) {
		return
	}
	class := &r.c.Settings.Classes[k.class]
	worth := r.worth(k)
	if seen-k.begun <= class.Aim {
		t.InAim++
	} else {
		worth *= class.LateWorth
	}
	t.Served++
	t.WorthServed += worth
	s := t.second(k)
	s.Served++
	s.WorthServed += worth
	plus(t.got, k.customer)
	if t.latency.RecordValue((seen - k.begun).Microseconds()) != nil {
		t.beyond++
	}
}

func (t *tally) unserved(r *Region, k *call, v core.Verdict) {
	if !r.counts(k) {
		return
	}
	if s := t.second(k); v == core.Refused {
		t.Refused++
		s.Refused++
	} else {
		t.Failed++
		s.Failed++
	}
}

func (t *tally) attempt(r *Region, k *call) {
	if r.counts(k) {
		t.Attempts++
	}
}

func (t *tally) came(r *Region, m *message, cold, draining bool) {
	if !r.counts(&m.call) {
		return
	}
	if cold {
		t.Cold++
	}
	if draining {
		t.Draining++
	}
}

// count counts a try that goes on, for its customer's use.
func (s *shard) count(k *call) {
	if s.r.counts(k) {
		s.tally.Tries++
	}
	if s.meter[k.customer] == 0 {
		s.met = append(s.met, k.customer)
	}
	s.meter[k.customer] += k.units
}

// quotas holds what customers use against what they have, period by period, as a judge that sees all doors does.
type quotas struct {
	left, ceiling []float32 // of the stores
	at            []int32   // the period of both
}

func newQuotas(c *Config) quotas {
	n := c.Clients.Customers
	return quotas{make([]float32, n), make([]float32, n), make([]int32, n)}
}

// sum ends a period of the meter: what all doors have sent on in it is each customer's use.
func (r *Region) sum() {
	for _, c := range r.lastMet {
		r.use[c] = 0
	}
	r.lastMet = r.lastMet[:0]
	for _, s := range r.shards {
		for _, c := range s.met {
			if r.use[c] == 0 {
				r.lastMet = append(r.lastMet, c)
			}
			r.use[c] += s.meter[c]
			s.meter[c] = 0
		}
		s.met = s.met[:0]
	}
	r.period++
	t := &r.shards[0].tally
	counted := time.Duration(r.period)*meterPeriod > r.c.Warmup
	for _, c := range r.lastMet {
		r.judge(t, c, counted)
	}
	if lost := float32(r.lostCounts(time.Duration(r.period) * meterPeriod)); lost > 0 {
		for _, c := range r.lastMet {
			r.use[c] *= 1 - lost
		}
	}
}

// judge holds one customer's use in the period that has ended against its plan. A period's refill counts as there from its
// beginning, so what is within a store for a moment of the period only is not told from what is for all of it.
func (r *Region) judge(t *tally, c int32, counted bool) {
	p, q := r.plan(c), &r.quota
	used := float64(r.use[c])
	idle := (time.Duration(r.period-int64(q.at[c])-1) * meterPeriod).Seconds()
	first := q.at[c] == 0
	q.at[c] = int32(r.period)
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
		left := store(q.left[c], p.Rate, p.Burst)
		over = max(0, -left)
		q.left[c] = float32(max(0, min(p.Burst, left)))
	}
	if p.CeilingRate > 0 {
		left := store(q.ceiling[c], p.CeilingRate, p.CeilingBurst)
		past = max(0, -left-p.CeilingSlack)
		q.ceiling[c] = float32(min(p.CeilingBurst, left))
	}
	if counted {
		t.Units += used
		t.UnitsOver += over
		t.WorthOver += over * r.meanWorth * p.Price * (1 - p.OverWorth + p.OverCost)
		if t.Overshoot = max(t.Overshoot, past); past > 1e-3 {
			t.PastCeiling++
		}
	}
}

// told is the meter's word on a customer: its use in the last period, in percent of its rate.
func (r *Region) told(customer int32) (percent float64, has bool) {
	p := r.plan(customer)
	if r.c.Settings.MeterPeriod <= 0 || p.Rate <= 0 {
		return 0, false
	}
	return 100 * float64(r.use[customer]) / (p.Rate * meterPeriod.Seconds()), true
}

// Result adds up what the shards have counted. The run must be over.
func (r *Region) Result() Result {
	out := Result{Latency: hdrhistogram.New(1, longest.Microseconds(), 3), Seconds: make([]Second, len(r.shards[0].tally.seconds)), Shards: len(r.shards)}
	asked, got := make([]int, r.c.Clients.Customers), make([]int, r.c.Clients.Customers)
	for _, s := range r.shards {
		t := &s.tally
		out.add(&t.Counts)
		out.Latency.Merge(t.latency)
		out.Beyond += t.beyond
		out.Events += s.events
		for i, v := range t.seconds {
			o := &out.Seconds[i]
			o.Offered, o.Served, o.Refused, o.Failed = o.Offered+v.Offered, o.Served+v.Served, o.Refused+v.Refused, o.Failed+v.Failed
			o.WorthOffered, o.WorthServed = o.WorthOffered+v.WorthOffered, o.WorthServed+v.WorthServed
		}
		for i := range asked {
			asked[i] += int(t.asked[i])
			got[i] += int(t.got[i])
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
		out.Jain = sum * sum / (n * squares)
	}
	return out
}

func (c *Counts) add(o *Counts) {
	c.Offered, c.Served, c.InAim, c.Refused, c.Failed = c.Offered+o.Offered, c.Served+o.Served, c.InAim+o.InAim, c.Refused+o.Refused, c.Failed+o.Failed
	c.WorthOffered, c.WorthServed = c.WorthOffered+o.WorthOffered, c.WorthServed+o.WorthServed
	c.Tries, c.Attempts, c.Cold, c.Draining = c.Tries+o.Tries, c.Attempts+o.Attempts, c.Cold+o.Cold, c.Draining+o.Draining
	c.Calls, c.CallsLost = c.Calls+o.Calls, c.CallsLost+o.CallsLost
	c.Doubled, c.Falls, c.PastCeiling = c.Doubled+o.Doubled, c.Falls+o.Falls, c.PastCeiling+o.PastCeiling
	c.Units, c.UnitsOver, c.WorthOver, c.Overshoot = c.Units+o.Units, c.UnitsOver+o.UnitsOver, c.WorthOver+o.WorthOver, max(c.Overshoot, o.Overshoot)
}
