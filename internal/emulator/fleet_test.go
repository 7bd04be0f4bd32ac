package emulator

import (
	"testing"
	"time"

	"pumicecroft/decision"
)

// largeConfig is 300 gateways over 200 backends, with a counter that has capacity for a call for some
// tries only.
func largeConfig() Config {
	c := smallConfig()
	c.Gateways, c.Duration, c.Warmup, c.Shards = 300, 14*time.Second, time.Second, 4
	c.Settings.Plans = []decision.Plan{{Name: "shop", Rate: 4, Burst: 13, Price: 1},
		{Name: "flagship", Rate: 60, Burst: 120, Price: 2, HardLimitRate: 12, HardLimitBurst: 40, HardLimitOverdraft: 5}}
	c.Backends = Backends{Count: 200, Zones: 3, Cells: 50, Concurrency: 1, MaxQueue: 16, Service: Distribution{Shape: Exponential, Mean: 150 * time.Millisecond},
		ConnectTimeout: 250 * time.Millisecond, RestartTime: time.Second}
	c.Clients.Customers, c.Clients.GatewaySpread, c.Clients.ZipfExponent, c.Clients.UniformShare = 300, 200, 1.1, 0.3
	c.Arrivals = Arrivals{Rate: 500}
	c.Counter = Counter{Rate: 300, MaxWait: 30 * time.Millisecond, Timeout: 120 * time.Millisecond}
	return c
}

// The bench's days, as far as a region has them: whatever fails at 300 gateways, each call has one
// end, no effect is repeated, no draining backend is sent to past its grace, no backend is overloaded
// during its warm-up and no hard limit is exceeded, over all gateways; and some of the load is served.
func TestManyGateways_DaysOfFaults(t *testing.T) {
	const at, first = 4 * time.Second, time.Second
	for name, day := range map[string]struct {
		least  float64 // of what is offered that is served; 0: counted by inside and over
		faults []Fault
		change func(*Config)
	}{
		"calm": {0, nil, func(c *Config) {
			c.Arrivals.BurstFactor, c.Arrivals.MeanBurst, c.Arrivals.MeanCalm = 1.5, 2*time.Second, 4*time.Second
		}},
		"roll": {0.5, []Fault{{Kind: GatewayRestart, At: at, Duration: first, Magnitude: 30}, {Kind: Deploy, At: at, Duration: 4 * time.Second, Magnitude: 100}},
			func(c *Config) { c.Settings.DrainGrace = 1500 * time.Millisecond }},
		"herd": {0.3, []Fault{{Kind: Deploy, At: at, Duration: 2 * time.Second, Magnitude: 60}, {Kind: GatewayRestart, At: at + 3*time.Second, Duration: 1500 * time.Millisecond, Magnitude: 210}},
			func(c *Config) { c.UpdateInterval = 4 * time.Second; c.Settings.DrainGrace = 5 * time.Second }},
		"zone": {0.4, []Fault{{Kind: ZoneLoss, At: at, Duration: 5 * time.Second, Zone: 1}, {Kind: ZoneSlow, At: at, Duration: 6 * time.Second, Zone: 2, Magnitude: 4}}, nil},
		"split": {0.4, []Fault{{Kind: ZoneLoss, At: at, Duration: 6 * time.Second, Zone: 1}, {Kind: CounterLoss, At: at, Duration: 6 * time.Second, Share: 1}},
			func(c *Config) { c.UpdateInterval = 3 * time.Second; c.Settings.DrainGrace = 4 * time.Second }},
		"join": {0.3, []Fault{{Kind: Deploy, At: at, Duration: 2 * time.Second, Magnitude: 120}, {Kind: RetryStorm, At: at, Duration: 2 * time.Second, Magnitude: 2}},
			func(c *Config) {
				c.Settings.SlowStartMinCapacity, c.Settings.SlowStartWindow, c.Arrivals.Rate = 0.1, time.Minute, 700
			}},
		"a counter down all day":   {0.5, []Fault{{Kind: CounterLoss, At: 0, Duration: time.Hour, Share: 1}, {Kind: Flood, At: at, Duration: 8 * time.Second, Magnitude: 20, Share: 0.5}}, nil},
		"clients that come again":  {0.5, []Fault{{Kind: RetryStorm, At: at, Duration: 8 * time.Second, Magnitude: 10}, {Kind: ZoneSlow, At: at, Duration: 4 * time.Second, Zone: 0, Magnitude: 10}}, nil},
		"all doors killed at once": {0.4, []Fault{{Kind: GatewayRestart, At: at, Duration: first, Magnitude: 300}}, nil},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := largeConfig()
			c.Faults = day.faults
			if day.change != nil {
				day.change(&c)
			}
			r := play(t, c, 7)
			if r.Offered != r.Served+r.Rejected+r.Failed {
				t.Errorf("%d calls, %d ends", r.Offered, r.Served+r.Rejected+r.Failed)
			}
			// a cold backend of 0.7 requests a second that it can bear has four times as many in 3
			// s by chance, now and then
			if r.RepeatedEffects > 0 || r.ToDraining > 0 || r.Overloads > c.Backends.Count/13 || c.Settings.SlowStartMinCapacity > 0.1 && r.Overloads > 0 || r.PeriodsOverHardLimit > 0 {
				t.Errorf("doubled %d, sent to draining ones %d, fallen %d, past ceilings %d times by %.1f", r.RepeatedEffects, r.ToDraining, r.Overloads, r.PeriodsOverHardLimit, r.MaxOvershoot)
			}
			// on a calm day what is beyond quotas is no service: of what is offered so much goes
			// inside them, and little of what goes is beyond
			if inside, over := (r.Cost-r.CostOverQuota)/float64(r.Offered), r.CostOverQuota/r.Cost; day.least == 0 && (inside < 0.51 || over > 0.145) {
				t.Errorf("%.3f of %d units sent on inside quotas, want 0.51; of those sent on %.3f beyond, 0.145 at most", inside, r.Offered, over)
			}
			if share := float64(r.Served) / float64(r.Offered); share < day.least {
				t.Errorf("%.2f of %d served, want %.2f", share, r.Offered, day.least)
			} else {
				t.Logf("served %.2f, calls %d, lost %d, cold %d", share, r.CounterCalls, r.CounterCallsLost, r.ToWarming)
			}
		})
	}
}
