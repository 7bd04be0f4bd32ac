package capacitytest

import (
	"slices"
	"testing"
	"time"

	"pumicecroft/decision"
	"pumicecroft/internal/emulator"
	"pumicecroft/internal/pollbackoff"
)

// Measures an increasing number of emulated gateways (lifecycle machine and decision engine), which share one counter
// and the backends. The load of each backend and gateway is the same at every size.
func TestGateways(t *testing.T) {
	ratePerGateway := *gatewayRate
	if *fullSize && *sizes == "" {
		ratePerGateway = min(ratePerGateway, 6)
	}
	for _, n := range sizesFor(t, []int{3, 30}, []int{3, 30, 300, 2800}) {
		c := emulatorConfig(n, ratePerGateway)
		c.Faults = []emulator.Fault{
			{
				Kind: emulator.Deploy, At: 2 * time.Second, Duration: 2 * time.Second,
				Magnitude: float64(max(1, c.Backends.Count/4)),
			},
			{
				Kind: emulator.GatewayRestart, At: 7 * time.Second, Duration: 500 * time.Millisecond,
				Magnitude: float64(max(1, n/10)),
			},
		}
		r, err := emulator.New(c, 7)
		if err != nil {
			t.Fatal(err)
		}
		start := time.Now()
		for r.NextWindow() {
			for i := range r.Shards() {
				r.RunShard(i)
			}
			for i := range r.Shards() {
				r.DeliverTo(i)
			}
		}
		out := r.Result()
		second := c.Duration.Seconds()
		t.Logf("%d gateways with %.0f requests per second each, %d backends: %.0f counter calls per second, "+
			"%.2f per gateway, %d of %d rejected or timed out; %d requests, a share of %.3f served; "+
			"%d attempts to warming backends, %d overloads; %d attempts to draining backends, "+
			"%d periods over a hard limit; emulated in %v",
			n, ratePerGateway, c.Backends.Count, float64(out.CounterCalls)/second, float64(out.CounterCalls)/second/float64(n),
			out.CounterCallsLost, out.CounterCalls, out.Offered, float64(out.Served)/float64(out.Offered), out.ToWarming,
			out.Overloads, out.ToDraining, out.PeriodsOverHardLimit, time.Since(start).Round(time.Millisecond))
		// The tests of package emulator assert the other rules, under more load.
		if out.ToDraining > 0 || out.PeriodsOverHardLimit > 0 {
			t.Errorf("%d gateways: %d attempts to draining backends, %d periods over a hard limit by up to %.1f, "+
				"want none of either", n, out.ToDraining, out.PeriodsOverHardLimit, out.MaxOvershoot)
		}
	}
}

// emulatorConfig returns the configuration of a region with a number of gateways and a request rate for each of them.
func emulatorConfig(gateways int, ratePerGateway float64) emulator.Config {
	backends := max(6, int(float64(gateways)*ratePerGateway/84))
	set := decision.Settings{
		MaxAttempts: 3, CanCancel: true, MaxRetryAfter: time.Second, UsagePeriod: 500 * time.Millisecond,
		DrainGrace:           time.Second, // half as long as a backend drains
		SlowStartMinCapacity: 0.2, SlowStartWindow: 10 * time.Second, OverloadFactor: 4,
		OverloadDuration: 3 * time.Second, ResponseGrace: 50 * time.Millisecond,
		Classes: []decision.Class{
			{Name: "look", LatencyObjective: 500 * time.Millisecond, Deadline: 2 * time.Second, PriorityWeight: 1},
		},
		Plans: []decision.Plan{{Name: "shop", Rate: 4, Burst: 13, Price: 1},
			{Name: "flagship", Rate: 12, Burst: 40, Price: 2, HardLimitRate: 12, HardLimitBurst: 40, HardLimitOverdraft: 5}}}
	return emulator.Config{
		Gateways: gateways, Policy: emulator.PolicyEngine, Duration: 16 * time.Second, Warmup: time.Second,
		UpdateInterval: 500 * time.Millisecond, Settings: set,
		Network: emulator.Network{MinDelay: 250 * time.Microsecond, MeanExtraDelay: 250 * time.Microsecond},
		Backends: emulator.Backends{Count: backends, Zones: min(9, backends), Cells: backends, Concurrency: 8, MaxQueue: 32,
			ServiceTime:    emulator.Distribution{Shape: emulator.Exponential, Mean: 40 * time.Millisecond},
			ConnectTimeout: 250 * time.Millisecond, RestartTime: time.Second},
		Clients: emulator.Clients{
			Customers: gateways * 290, GatewaySpread: 3, Cost: 1, MaxTries: 2, FollowRetryAfter: 1,
			Backoff: 100 * time.Millisecond, ZipfExponent: 1.1, UniformShare: 0.3,
			Classes: []emulator.Share{{Name: "look", Weight: 1}},
			Plans:   []emulator.Share{{Name: "shop", Weight: 9}, {Name: "flagship", Weight: 1}},
		},
		Arrivals: emulator.Arrivals{Rate: ratePerGateway * float64(gateways)},
		Counter:  emulator.Counter{Rate: 600, MaxWait: 30 * time.Millisecond, Timeout: 120 * time.Millisecond}}
}

// An increasing number of gateways lose discovery at the same moment, for some time. Counts the calls that discovery
// gets in its busiest second, and measures the time from its return until the last gateway has called again.
func TestDiscoveryPollRate(t *testing.T) {
	within := 10 * time.Second
	for _, n := range sizesFor(t, []int{3, 300}, []int{3, 30, 300, 2800}) {
		for _, away := range []time.Duration{8 * time.Second, time.Hour} {
			if away > time.Minute && !*fullSize {
				continue
			}
			var calls []time.Duration
			last := time.Duration(0)
			for i := range n {
				p := pollbackoff.New(within, uint64(i)+1)
				at := p.AfterFailure(true, 0)
				for at < away {
					calls = append(calls, at)
					at += p.AfterFailure(false, 0)
				}
				calls = append(calls, at)
				last = max(last, at-away)
			}
			slices.Sort(calls)
			most, from := 0, 0
			for i := range calls {
				for calls[i]-calls[from] >= time.Second {
					from++
				}
				most = max(most, i-from+1)
			}
			t.Logf("%d gateways, discovery unavailable for %v: %d calls in its busiest second, "+
				"%.2f calls per gateway and second on average, last gateway calls %v after its return", n, away, most,
				float64(len(calls))/float64(n)/away.Seconds(), last)
			if limit := 1 + n; most > limit {
				t.Errorf("%d gateways make %d calls in one second, want at most %d", n, most, limit)
			}
			// A response takes up to 1 s, and a gateway counts as notified of a change 6 s after discovery has it.
			if last > 5*time.Second {
				t.Errorf("the last of %d gateways calls %v after discovery's return, want at most 5s", n, last)
			}
		}
	}
}
