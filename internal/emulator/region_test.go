package emulator

import (
	"math"
	"reflect"
	"testing"
	"time"

	"pumicecroft/decision"

	"github.com/HdrHistogram/hdrhistogram-go"
	"pgregory.net/rapid"
)

// smallConfig returns a region that is emulated within a second.
func smallConfig() Config {
	return Config{Gateways: 4, Policy: PolicyEngine, Duration: 20 * time.Second, Warmup: 2 * time.Second, UpdateInterval: 500 * time.Millisecond,
		Settings: decision.Settings{MaxAttempts: 3, CanCancel: true, MaxRetryAfter: time.Second, UsagePeriod: 500 * time.Millisecond, DrainGrace: 2 * time.Second,
			SlowStartMinCapacity: 0.2, SlowStartWindow: 10 * time.Second, OverloadFactor: 4, OverloadDuration: 3 * time.Second, ResponseGrace: 50 * time.Millisecond,
			Classes: []decision.Class{{Name: "look", LatencyObjective: 500 * time.Millisecond, Deadline: 2 * time.Second, PriorityWeight: 1},
				{Name: "pay", Idempotency: decision.IdempotentByKey, DedupScope: decision.DedupScopeCell, DedupWindow: 5 * time.Second, LatencyObjective: 500 * time.Millisecond, Deadline: 2 * time.Second, PriorityWeight: 3},
				{Name: "once", Idempotency: decision.NonIdempotent, LatencyObjective: 500 * time.Millisecond, Deadline: 2 * time.Second, PriorityWeight: 3}},
			Plans: []decision.Plan{{Name: "shop", Rate: 20, Burst: 40, Price: 1}, {Name: "flagship", Rate: 40, Burst: 60, Price: 2, HardLimitRate: 50, HardLimitBurst: 60, HardLimitOverdraft: 5}}},
		Network:  Network{MinDelay: 250 * time.Microsecond, MeanExtraDelay: 250 * time.Microsecond},
		Backends: Backends{Count: 20, Zones: 2, Cells: 4, Concurrency: 4, MaxQueue: 16, ServiceTime: Distribution{Shape: Exponential, Mean: 40 * time.Millisecond}, ConnectTimeout: 250 * time.Millisecond, RestartTime: time.Second},
		Clients: Clients{Customers: 200, GatewaySpread: 2, Cost: 1, MaxTries: 3, FollowRetryAfter: 1, Backoff: 100 * time.Millisecond,
			Classes: []Share{{"look", 2}, {"pay", 1}, {"once", 1}}, Plans: []Share{{"shop", 4}, {"flagship", 1}}},
		Arrivals: Arrivals{Rate: 800}}
}

// runRegion runs a region on the calling goroutine.
func runRegion(t testing.TB, c Config, seed uint64) Result {
	t.Helper()
	r, err := New(c, seed)
	if err != nil {
		t.Fatal(err)
	}
	n := r.Shards()
	each := func(do func(int)) {
		for i := range n {
			do(i)
		}
	}
	for r.NextWindow() {
		each(r.RunShard)
		each(r.DeliverTo)
	}
	return r.Result()
}

// With any policy and size, each call ends exactly once, and the result does not depend on the order
// in which shards run.
func TestRegion_ResultDependsOnlyOnSeed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := smallConfig()
		c.Policy = rapid.SampledFrom(Policies).Draw(t, "policy")
		c.RateLimit = 500
		c.Duration, c.Warmup = 2*time.Second, 200*time.Millisecond
		c.Shards = rapid.IntRange(1, 7).Draw(t, "shards")
		c.Gateways = rapid.IntRange(1, 6).Draw(t, "gateways")
		c.Arrivals.Rate = rapid.SampledFrom([]float64{50, 300, 1000}).Draw(t, "rate")
		c.Backends.ServiceTime = rapid.SampledFrom([]Distribution{{Constant, 30 * time.Millisecond, 0, 0}, {Exponential, 30 * time.Millisecond, 0, 0},
			{LogNormal, 30 * time.Millisecond, 1, 0}, {Pareto, 30 * time.Millisecond, 1.5, 50}}).Draw(t, "service")
		for range rapid.IntRange(0, 3).Draw(t, "faults") {
			c.Faults = append(c.Faults, Fault{Kind: FaultKind(rapid.IntRange(0, len(FaultKindNames)-1).Draw(t, "kind")), At: 500 * time.Millisecond, Duration: time.Duration(rapid.IntRange(1, 3).Draw(t, "for")) * 400 * time.Millisecond,
				Zone: rapid.IntRange(0, 1).Draw(t, "zone"), Magnitude: 2, Share: 0.5})
		}
		seed := rapid.Uint64().Draw(t, "seed")
		run := func(backwards bool) Result {
			r, err := New(c, seed)
			if err != nil {
				t.Fatal(err)
			}
			for n := r.Shards(); r.NextWindow(); {
				for i := range 2 * n {
					j := i % n
					if backwards {
						j = n - 1 - j
					}
					if i < n {
						r.RunShard(j)
					} else {
						r.DeliverTo(j)
					}
				}
			}
			for _, g := range r.gateways {
				if len(g.requests) > 0 || g.up && g.machine.OpenRequests() > 0 {
					t.Fatalf("gateway %d has %d open requests, its lifecycle machine %d, want 0",
						g.number, len(g.requests), g.machine.OpenRequests())
				}
			}
			return r.Result()
		}
		a, b := run(false), run(true)
		if !reflect.DeepEqual(a.Counts, b.Counts) || a.Events != b.Events || !a.Latency.Equals(b.Latency) || !reflect.DeepEqual(a.Seconds, b.Seconds) {
			t.Fatalf("results depend on the order of shards:\n%+v, %d events, forwards\n%+v, %d events, backwards",
				a.Counts, a.Events, b.Counts, b.Events)
		}
		if a.Served+a.Rejected+a.Failed != a.Offered || a.InObjective > a.Served || a.Attempts < a.Tries || a.Latency.TotalCount()+int64(a.OutOfRange) != int64(a.Served) {
			t.Fatalf("inconsistent counts: %+v, %d latencies, %d out of range",
				a.Counts, a.Latency.TotalCount(), a.OutOfRange)
		}
	})
}

// The calls of a seed and their service times are the same under any policy, so that runs of one
// seed can be compared in pairs.
func TestRegion_PoliciesShareRandomness(t *testing.T) {
	offered := map[float64]bool{}
	var latencies []*hdrhistogram.Histogram
	for _, p := range []string{PolicyEngine, PolicyRoundRobin, PolicyTwoChoices} {
		c := smallConfig()
		c.Policy = p
		c.Backends.Concurrency = 100 // so that no attempt waits in a queue
		r := runRegion(t, c, 5)
		offered[r.WeightOffered] = true
		latencies = append(latencies, r.Latency)
	}
	if len(offered) != 1 {
		t.Errorf("the weight of the offered calls differs between policies: %v", offered)
	}
	for _, q := range []float64{10, 50, 90, 99} {
		a, b := float64(latencies[1].ValueAtQuantile(q)), float64(latencies[2].ValueAtQuantile(q))
		if math.Abs(a-b) > 0.002*a+100 {
			t.Errorf("latency quantile %v differs between policies without queues: %v and %v us", q, a, b)
		}
	}
}

// For each shape, samples have the configured mean and are within the cutoff.
func TestSampler_MeanAndCutoff(t *testing.T) {
	const n = 200_000
	for _, d := range []Distribution{{Constant, time.Second, 0, 0}, {Exponential, time.Second, 0, 0}, {LogNormal, time.Second, 0.5, 0}, {LogNormal, time.Second, 1.5, 0},
		{Pareto, time.Second, 1.5, 0}, {Pareto, time.Second, 1.1, 50}, {Pareto, time.Second, 3, 10}} {
		s := newSampler(d)
		sum, largest := 0.0, 0.0
		for i := range n { // evenly spaced quantiles instead of random ones
			x := s.sample((float64(i) + 0.5) / n).Seconds()
			sum, largest = sum+x, max(largest, x)
		}
		if mean := sum / n; math.Abs(mean-1) > 0.01 {
			t.Errorf("%+v: got mean %v, want 1", d, mean)
		}
		if d.Shape == Pareto && largest > s.cutoff*s.scale+1e-6 {
			t.Errorf("%+v: largest sample is %v, want at most %v", d, largest, s.cutoff*s.scale)
		}
	}
}

// Arrivals have the configured average rate, also with bursts and a periodic rate, and the most
// popular customer has a plausible share of them.
func TestArrivalStream_RateAndPopularity(t *testing.T) {
	for name, c := range map[string]struct {
		a    Arrivals
		want float64
	}{
		"constant": {Arrivals{Rate: 1000}, 1},
		"periodic": {Arrivals{Rate: 1000, Period: 20 * time.Second, Amplitude: 0.9}, 1},
		"bursts":   {Arrivals{Rate: 1000, BurstFactor: 5, MeanBurst: 100 * time.Millisecond, MeanBurstGap: 300 * time.Millisecond}, 2},
	} {
		cfg := smallConfig()
		cfg.Arrivals, cfg.Duration = c.a, 100*time.Second
		cfg.Clients.ZipfExponent, cfg.Clients.UniformShare = 1.2, 0.1
		cfg.resolveShares()
		profile := newRateProfile(&cfg, 3)
		n, first := 0, 0
		for i := range 2 {
			stream := newArrivalStream(&cfg, &profile, 3, i, 2, -1)
			for call, ok := stream.next(); ok; call, ok = stream.next() {
				n++
				if call.customer == 0 {
					first++
				}
			}
		}
		if got := float64(n) / 100_000; math.Abs(got/c.want-1) > 0.1 {
			t.Errorf("%s: got %v times the rate, want %v", name, got, c.want)
		}
		if part := float64(first) / float64(n); part < 0.15 || part > 0.4 {
			t.Errorf("%s: the first customer sends %v of all calls, want 0.15 to 0.4", name, part)
		}
	}
}

// Each fault has its effect, which a run without it doesn't show, and policies differ in how they
// cope with it.
func TestFaults_EffectByPolicy(t *testing.T) {
	base := smallConfig()
	base.Arrivals.Rate = 1200
	at := func(f Fault) []Fault {
		f.At, f.Duration = 5*time.Second, max(f.Duration, 5*time.Second)
		return []Fault{f}
	}
	for name, c := range map[string]struct {
		policy string
		change func(c *Config)
		effect func(healthy, r *Result) bool
	}{
		"a zone is lost, under round-robin": {PolicyRoundRobin, func(c *Config) { c.Faults = at(Fault{Kind: ZoneLoss, Zone: 1}) },
			func(healthy, r *Result) bool { return r.Failed > 1000 && healthy.Failed == 0 }},
		"a zone is lost": {PolicyEngine, func(c *Config) { c.Faults = at(Fault{Kind: ZoneLoss, Zone: 1}) },
			func(healthy, r *Result) bool {
				return r.Served < healthy.Served && float64(r.Served) > 0.85*float64(r.Offered)
			}},
		"a zone is slow": {PolicyRoundRobin, func(c *Config) { c.Faults = at(Fault{Kind: ZoneSlow, Magnitude: 5}) },
			func(healthy, r *Result) bool {
				return r.Latency.ValueAtQuantile(95) > 2*healthy.Latency.ValueAtQuantile(95)
			}},
		"all backends are deployed": {PolicyEngine, func(c *Config) {
			c.Faults = []Fault{{Kind: Deploy, At: 3 * time.Second, Duration: 3 * time.Second, Magnitude: 4}}
			c.Arrivals.Rate = 500
		}, func(healthy, r *Result) bool {
			return r.ToWarming > 0 && healthy.ToWarming == 0 && r.ToDraining == 0 && r.Overloads == 0 && float64(r.Served) > 0.97*float64(r.Offered)
		}},
		"retry storm": {PolicyRoundRobin, func(c *Config) {
			c.Arrivals.Rate = 3000
			c.Faults = at(Fault{Kind: RetryStorm, Magnitude: 10})
		}, func(_, r *Result) bool { return r.Tries > 3*r.Offered/2 }},
		"flood by one customer": {PolicyEngine, func(c *Config) { c.Faults = at(Fault{Kind: Flood, Magnitude: 1, Share: 1}) },
			func(healthy, r *Result) bool { return r.Offered > healthy.Offered+5000 && r.Rejected > 4000 }},
		"flood by one customer, without quotas": {PolicyTwoChoices, func(c *Config) { c.Faults = at(Fault{Kind: Flood, Magnitude: 1, Share: 1}) },
			func(_, r *Result) bool { return r.CostOverQuota > 4000 && r.Rejected < 2000 }},
		"gateways restart": {PolicyEngine, func(c *Config) {
			c.Faults = []Fault{{Kind: GatewayRestart, At: 5 * time.Second, Duration: time.Second, Magnitude: 1}}
		},
			func(healthy, r *Result) bool {
				return r.Events != healthy.Events && float64(r.Served) > 0.97*float64(r.Offered)
			}},
		"the counter loses usage": {PolicyEngine, func(c *Config) {
			c.Arrivals.Rate, c.Clients.Customers = 1500, 40
			c.Faults = at(Fault{Kind: CounterLoss, Share: 0.9, Duration: 15 * time.Second})
		}, func(healthy, r *Result) bool { return r.CostOverQuota > 2*healthy.CostOverQuota+50 }},
		"blind retries repeat effects": {PolicyBlindRetry, func(c *Config) { c.Faults = at(Fault{Kind: ZoneSlow, Magnitude: 30}) },
			func(healthy, r *Result) bool { return r.RepeatedEffects > 20 && healthy.RepeatedEffects == 0 }},
		"the engine's retries repeat no effect": {PolicyEngine, func(c *Config) { c.Faults = at(Fault{Kind: ZoneSlow, Magnitude: 30}) },
			func(_, r *Result) bool { return r.RepeatedEffects == 0 && r.Attempts > r.Tries }},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			with, without := base, base
			with.Policy, without.Policy = c.policy, c.policy
			c.change(&with)
			c.change(&without)
			without.Faults = nil
			healthy, r := runRegion(t, without, 9), runRegion(t, with, 9)
			if !c.effect(&healthy, &r) {
				t.Errorf("without the fault: %+v p95 %d\nwith the fault:    %+v p95 %d",
					healthy.Counts, healthy.Latency.ValueAtQuantile(95), r.Counts, r.Latency.ValueAtQuantile(95))
			}
		})
	}
}

// With a trace, the calls are exactly its arrivals, at their times. An arrival after the run's end is
// not sent.
func TestArrivalStream_Trace(t *testing.T) {
	c := smallConfig()
	c.Warmup = 0
	c.Arrivals.Trace = []Arrival{{0, 1, "look", 1}, {time.Second, 2, "pay", 2}, {time.Second, 2, "once", 1}, {time.Hour, 3, "look", 1}}
	r := runRegion(t, c, 1)
	if r.Offered != 3 || r.Served != 3 || r.Seconds[0].Offered != 1 || r.Seconds[1].Offered != 2 {
		t.Errorf("%+v, %d and %d calls in the first seconds, want 3 offered and served, 1 and 2 in the first seconds",
			r.Counts, r.Seconds[0].Offered, r.Seconds[1].Offered)
	}
}

// chargeQuota agrees with plain arithmetic for buckets that are full, exceeded and idle.
func TestChargeQuota(t *testing.T) {
	c := smallConfig()
	c.Clients.Plans = []Share{{"flagship", 1}} // rate 40, burst 60; hard limit: rate 50, burst 60, overdraft 5
	r, err := New(c, 1)
	if err != nil {
		t.Fatal(err)
	}
	use := func(cost float32) (over, overshoot float64) {
		var counts shardCounts
		r.period++
		r.usage[7] = cost
		r.chargeQuota(&counts, 7, true)
		const price = 2
		if math.Abs(r.meanWeight-(2*1+1*3+1*3)/4.0) > 1e-9 {
			t.Fatalf("mean weight of the classes is %v, want %v", r.meanWeight, (2*1+1*3+1*3)/4.0)
		}
		if weight := counts.CostOverQuota * r.meanWeight * price; math.Abs(counts.WeightOverQuota-weight) > 1e-6 {
			t.Fatalf("weight over quota is %v, want %v", counts.WeightOverQuota, weight)
		}
		return counts.CostOverQuota, counts.MaxOvershoot
	}
	for i, step := range []struct{ cost, over float64 }{
		{80, 0},   // burst of 60 and the refill of 20
		{20, 0},   // the refill
		{21, 1},   // one more than the refill
		{0, 0},    // idle: 20 tokens are left
		{45, 5},   // 20 left and the refill of 20, and 5 over
		{100, 80}, // the refill of 20, and 80 over
	} {
		over, overshoot := use(float32(step.cost))
		if math.Abs(over-step.over) > 1e-3 {
			t.Errorf("step %d: cost over quota is %v, want %v", i, over, step.over)
		}
		if want := max(0, -hardLimitLeft(i)-5); math.Abs(overshoot-want) > 1e-3 {
			t.Errorf("step %d: overshoot of the hard limit is %v, want %v", i, overshoot, want)
		}
	}
}

// hardLimitLeft returns the tokens of the hard limit that are left after a step of TestChargeQuota.
func hardLimitLeft(step int) float64 {
	left := 60.0
	for i, used := range []float64{80, 20, 21, 0, 45, 100}[:step+1] {
		left += 25 - used
		if i < step {
			left = min(60, left)
		}
	}
	return left
}

// New returns an error for each invalid configuration.
func TestNew_InvalidConfig(t *testing.T) {
	for name, change := range map[string]func(c *Config){
		"no gateways":         func(c *Config) { c.Gateways = 0 },
		"an unknown policy":   func(c *Config) { c.Policy = "luck" },
		"no rate limit":       func(c *Config) { c.Policy = PolicyRateLimit },
		"warm-up to the end":  func(c *Config) { c.Warmup = c.Duration },
		"no network delay":    func(c *Config) { c.Network.MinDelay = 0 },
		"no backends":         func(c *Config) { c.Backends.Count = 0 },
		"no customers":        func(c *Config) { c.Clients.Customers = 0 },
		"Zipf exponent 1":     func(c *Config) { c.Clients.ZipfExponent = 1 },
		"a share above 1":     func(c *Config) { c.Clients.FollowRetryAfter = 1.1 },
		"no rate":             func(c *Config) { c.Arrivals.Rate = 0 },
		"NaN as rate":         func(c *Config) { c.Arrivals.Rate = math.NaN() },
		"an unknown class":    func(c *Config) { c.Clients.Classes[0].Name = "x" },
		"no plan has a share": func(c *Config) { c.Clients.Plans = []Share{{"shop", 0}} },
		"Pareto exponent 1":   func(c *Config) { c.Backends.ServiceTime = Distribution{Pareto, time.Second, 1, 0} },
		"an unordered trace":  func(c *Config) { c.Arrivals.Trace = []Arrival{{2, 1, "look", 1}, {1, 1, "look", 1}} },
		"an unknown zone":     func(c *Config) { c.Faults = []Fault{{Kind: ZoneLoss, Duration: 1, Zone: 2}} },
		"a deploy of 0":       func(c *Config) { c.Faults = []Fault{{Kind: Deploy, Duration: 1}} },
		"invalid settings":    func(c *Config) { c.Settings.MaxAttempts = 0 },
	} {
		c := smallConfig()
		change(&c)
		if _, err := New(c, 1); err == nil {
			t.Errorf("%s: New returned no error", name)
		}
	}
	if _, err := New(smallConfig(), 1); err != nil {
		t.Errorf("valid configuration: %v", err)
	}
}

// A request costs more than one gateway's share of a hard limit. Gateways transfer shares through the
// shared counter, so more requests are served within the limit. The limit is never exceeded, even if
// the counter loses half of its calls, is overloaded, or gateways restart after withdrawing shares.
func TestSharedCounter_TransfersHardLimitShares(t *testing.T) {
	base := smallConfig()
	base.Gateways, base.Clients.GatewaySpread = 30, 30 // a gateway's share is 2, and a request's cost 3
	base.Clients.Customers, base.Clients.ZipfExponent, base.Clients.UniformShare = 12, 1.2, 0
	base.Settings.Plans = []decision.Plan{{Name: "flagship", Rate: 100, Burst: 400, Price: 1, HardLimitRate: 30, HardLimitBurst: 60, HardLimitOverdraft: 5}}
	base.Clients.Plans, base.Clients.Cost = []Share{{"flagship", 1}}, 3
	base.Arrivals = Arrivals{Rate: 60, BurstFactor: 2, MeanBurst: time.Second, MeanBurstGap: 4 * time.Second}
	without := runRegion(t, base, 5)
	for name, change := range map[string]func(*Config){
		"no fault":            func(*Config) {},
		"half the calls lost": func(c *Config) { c.CounterLoss = 0.5 },
		"overloaded counter":  func(c *Config) { c.Counter.Rate = 20 },
		"gateways restart": func(c *Config) {
			c.Faults = []Fault{{Kind: GatewayRestart, At: 5 * time.Second, Duration: time.Second, Magnitude: 3}}
		},
	} {
		c := base
		c.Counter = Counter{Rate: 600, MaxWait: 30 * time.Millisecond, Timeout: 100 * time.Millisecond}
		change(&c)
		r := runRegion(t, c, 5)
		if r.PeriodsOverHardLimit > 0 || r.CounterCalls == 0 || r.CounterCallsLost > r.CounterCalls*3/4 {
			t.Errorf("%s: %d periods over the hard limit, want 0; %d of %d counter calls lost, "+
				"want some calls and at most 3/4 lost: %+v", name, r.PeriodsOverHardLimit, r.CounterCallsLost, r.CounterCalls, r.Counts)
		}
		if name == "no fault" && r.Served < without.Served+without.Offered/4 {
			t.Errorf("served %d of %d with the counter and %d without, want %d or more with it",
				r.Served, r.Offered, without.Served, without.Served+without.Offered/4)
		}
		t.Logf("%s: served %d of %d (%d without a counter); counter: %d calls, %d lost",
			name, r.Served, r.Offered, without.Served, r.CounterCalls, r.CounterCallsLost)
	}
}
