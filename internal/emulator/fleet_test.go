package emulator

import (
	"testing"
	"time"

	"pumicecroft/decision"
)

// largeConfig returns a region of 300 gateways and 200 backends. The shared counter's rate is lower
// than that of requests.
func largeConfig() Config {
	c := smallConfig()
	c.Gateways, c.Duration, c.Warmup, c.Shards = 300, 14*time.Second, time.Second, 4
	c.Settings.Plans = []decision.Plan{{Name: "shop", Rate: 4, Burst: 13, Price: 1},
		{Name: "flagship", Rate: 60, Burst: 120, Price: 2, HardLimitRate: 12, HardLimitBurst: 40, HardLimitOverdraft: 5}}
	c.Backends = Backends{Count: 200, Zones: 3, Cells: 50, Concurrency: 1, MaxQueue: 16, ServiceTime: Distribution{Shape: Exponential, Mean: 150 * time.Millisecond},
		ConnectTimeout: 250 * time.Millisecond, RestartTime: time.Second}
	c.Clients.Customers, c.Clients.GatewaySpread, c.Clients.ZipfExponent, c.Clients.UniformShare = 300, 200, 1.1, 0.3
	c.Arrivals = Arrivals{Rate: 500}
	c.Counter = Counter{Rate: 300, MaxWait: 30 * time.Millisecond, Timeout: 120 * time.Millisecond}
	return c
}

// Under various faults at 300 gateways, each call ends exactly once, no effect is repeated, no
// attempt reaches a draining backend after its drain grace, no hard limit is exceeded over all
// gateways, and a share of the load is served. No backend is overloaded during its warm-up, except
// for a few where the slow start begins at a tenth of the capacity.
func TestManyGateways_Faults(t *testing.T) {
	const at, downtime = 4 * time.Second, time.Second
	for name, scenario := range map[string]struct {
		minServed float64 // share of the offered calls; 0 means that costs within and over quotas are checked
		faults    []Fault
		change    func(*Config)
	}{
		"no fault": {0, nil, func(c *Config) {
			c.Arrivals.BurstFactor, c.Arrivals.MeanBurst, c.Arrivals.MeanBurstGap = 1.5, 2*time.Second, 4*time.Second
		}},
		"rolling restarts": {0.5, []Fault{
			{Kind: GatewayRestart, At: at, Duration: downtime, Magnitude: 30},
			{Kind: Deploy, At: at, Duration: 4 * time.Second, Magnitude: 100},
		},
			func(c *Config) { c.Settings.DrainGrace = 1500 * time.Millisecond }},
		"most gateways restart during a deploy": {0.3, []Fault{
			{Kind: Deploy, At: at, Duration: 2 * time.Second, Magnitude: 60},
			{Kind: GatewayRestart, At: at + 3*time.Second, Duration: 1500 * time.Millisecond, Magnitude: 210},
		},
			func(c *Config) { c.UpdateInterval = 4 * time.Second; c.Settings.DrainGrace = 5 * time.Second }},
		"zones lost and slow": {0.4, []Fault{
			{Kind: ZoneLoss, At: at, Duration: 5 * time.Second, Zone: 1},
			{Kind: ZoneSlow, At: at, Duration: 6 * time.Second, Zone: 2, Magnitude: 4},
		}, nil},
		"zone and counter lost": {0.4, []Fault{
			{Kind: ZoneLoss, At: at, Duration: 6 * time.Second, Zone: 1},
			{Kind: CounterLoss, At: at, Duration: 6 * time.Second, Share: 1},
		},
			func(c *Config) { c.UpdateInterval = 3 * time.Second; c.Settings.DrainGrace = 4 * time.Second }},
		"slow start of most backends": {0.3, []Fault{
			{Kind: Deploy, At: at, Duration: 2 * time.Second, Magnitude: 120},
			{Kind: RetryStorm, At: at, Duration: 2 * time.Second, Magnitude: 2},
		},
			func(c *Config) {
				c.Settings.SlowStartMinCapacity, c.Settings.SlowStartWindow, c.Arrivals.Rate = 0.1, time.Minute, 700
			}},
		"counter always down": {0.5, []Fault{
			{Kind: CounterLoss, At: 0, Duration: time.Hour, Share: 1},
			{Kind: Flood, At: at, Duration: 8 * time.Second, Magnitude: 20, Share: 0.5},
		}, nil},
		"retry storm": {0.5, []Fault{
			{Kind: RetryStorm, At: at, Duration: 8 * time.Second, Magnitude: 10},
			{Kind: ZoneSlow, At: at, Duration: 4 * time.Second, Zone: 0, Magnitude: 10},
		}, nil},
		"all gateways restart at once": {0.4, []Fault{{Kind: GatewayRestart, At: at, Duration: downtime, Magnitude: 300}}, nil},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := largeConfig()
			c.Faults = scenario.faults
			if scenario.change != nil {
				scenario.change(&c)
			}
			r := runRegion(t, c, 7)
			if r.Offered != r.Served+r.Rejected+r.Failed {
				t.Errorf("%d calls were offered, but %d were served, rejected or failed", r.Offered, r.Served+r.Rejected+r.Failed)
			}
			// With SlowStartMinCapacity 0.1, a backend that has just started can handle 0.7 requests
			// a second. It occasionally gets four times as many within 3 s by chance.
			if r.RepeatedEffects > 0 || r.ToDraining > 0 || r.Overloads > c.Backends.Count/13 ||
				c.Settings.SlowStartMinCapacity > 0.1 && r.Overloads > 0 ||
				r.PeriodsOverHardLimit > 0 {
				t.Errorf("got %d repeated effects, %d attempts at draining backends, "+
					"%d periods over hard limits (by up to %.1f), want 0; "+
					"%d overloads, want at most %d, and 0 with SlowStartMinCapacity %v above 0.1",
					r.RepeatedEffects, r.ToDraining, r.PeriodsOverHardLimit, r.MaxOvershoot,
					r.Overloads, c.Backends.Count/13, c.Settings.SlowStartMinCapacity)
			}
			// Without faults, most of the offered cost must be forwarded within quotas, and little of
			// the forwarded cost may be over quota.
			if inside, over := (r.Cost-r.CostOverQuota)/float64(r.Offered), r.CostOverQuota/r.Cost; scenario.minServed == 0 &&
				(inside < 0.51 || over > 0.145) {
				t.Errorf("of the cost %d that was offered, %.3f was forwarded within quotas, want 0.51 or more; "+
					"of the forwarded cost, %.3f was over quota, want 0.145 or less", r.Offered, inside, over)
			}
			if share := float64(r.Served) / float64(r.Offered); share < scenario.minServed {
				t.Errorf("served %.2f of %d calls, want %.2f", share, r.Offered, scenario.minServed)
			} else {
				t.Logf("served %.2f of the calls; counter: %d calls, %d lost; %d attempts at backends in their warm-up",
					share, r.CounterCalls, r.CounterCallsLost, r.ToWarming)
			}
		})
	}
}
