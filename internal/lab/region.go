package lab

import (
	"time"

	"pumicecroft/decision"
	"pumicecroft/internal/emulator"
	"pumicecroft/internal/settings"
)

const (
	unbounded = 1 << 40
	day       = 24 * time.Hour
)

// readRegion reads [region] into the configuration of one cell.
func readRegion(
	d *settings.Document, s *settings.Section, c *emulator.Config, trace func(path string) ([]emulator.Arrival, error),
) {
	c.Gateways = s.Int("doors", 10, 1, 4096)
	c.Policy = emulator.Policies[s.OneOf("policy", emulator.PolicyEngine, emulator.Policies...)]
	c.Duration = s.Duration("length", time.Minute, time.Second, day)
	c.Warmup = s.Duration("warmup", 10*time.Second, 0, day)
	c.UpdateInterval = s.Duration("lists", 500*time.Millisecond, time.Millisecond, time.Hour)
	c.CounterLoss = s.Float("counter_loss", 0, 0, 1)
	c.RateLimit = s.Float("limit", 0, 0, unbounded)
	c.Counter = readCounter(s.Table("counter"))
	c.Network = readNetwork(s.Table("network"))
	c.Backends = readBackends(s.Table("backends"))
	c.Clients = readClients(s.Table("clients"))
	arrivals := s.Table("arrivals")
	c.Arrivals = readArrivals(arrivals)
	path := arrivals.String("trace", false)
	arrivals.RejectUnknownKeys()
	readSettings(s, c)
	for _, f := range s.List("fault") {
		c.Faults = append(c.Faults, readFault(d, f))
	}
	s.RejectUnknownKeys()
	if path == "" {
		return
	}
	var err error
	if c.Arrivals.Trace, err = trace(path); err != nil {
		d.Problemf("region.arrivals", "trace", "%v", err)
	}
}

// readCounter reads [region.counter].
func readCounter(s *settings.Section) emulator.Counter {
	defer s.RejectUnknownKeys()
	return emulator.Counter{
		Rate:    s.Float("rate", 0, 0, 1e9),
		MaxWait: s.Duration("queue", 30*time.Millisecond, 0, time.Minute),
		Timeout: s.Duration("patience", 100*time.Millisecond, time.Millisecond, time.Minute),
	}
}

// readNetwork reads [region.network].
func readNetwork(s *settings.Section) emulator.Network {
	defer s.RejectUnknownKeys()
	return emulator.Network{
		MinDelay:       s.Duration("least", 250*time.Microsecond, 10*time.Microsecond, time.Second),
		MeanExtraDelay: s.Duration("more", 250*time.Microsecond, 0, time.Second),
	}
}

// readBackends reads [region.backends].
func readBackends(s *settings.Section) emulator.Backends {
	defer s.RejectUnknownKeys()
	b := emulator.Backends{
		Count:          s.Int("count", 100, 1, 100_000),
		Zones:          s.Int("zones", 2, 1, 1000),
		Concurrency:    s.Int("slots", 8, 1, 100_000),
		MaxQueue:       s.Int("queue", 32, 0, 100_000),
		ConnectTimeout: s.Duration("connect", 250*time.Millisecond, time.Millisecond, time.Minute),
		RestartTime:    s.Duration("restart", 5*time.Second, time.Millisecond, time.Hour),
	}
	b.Cells = s.Int("cells", max(1, b.Count/8), 1, 100_000)
	shape := s.OneOf("service", "exponential", "constant", "exponential", "lognormal", "pareto")
	b.ServiceTime = emulator.Distribution{
		Shape:  emulator.Shape(shape),
		Mean:   s.Duration("mean", 40*time.Millisecond, time.Microsecond, time.Hour),
		Spread: s.Float("spread", 0, 0, 100),
		Cutoff: s.Float("cut", 0, 0, 1e6),
	}
	return b
}

// readClients reads [region.clients].
func readClients(s *settings.Section) emulator.Clients {
	defer s.RejectUnknownKeys()
	return emulator.Clients{
		Customers:        s.Int("customers", 1000, 1, 10_000_000),
		ZipfExponent:     s.Float("zipf", 0, 0, 10),
		UniformShare:     s.Float("strangers", 0, 0, 1),
		GatewaySpread:    s.Int("spread", 2, 1, 4096),
		Cost:             s.Float("units", 1, 1e-6, 1e6),
		MaxTries:         s.Int("tries", 3, 1, 100),
		FollowRetryAfter: s.Float("follow", 1, 0, 1),
		Backoff:          s.Duration("backoff", 100*time.Millisecond, 0, time.Minute),
	}
}

// readArrivals reads [region.arrivals], except its trace.
func readArrivals(s *settings.Section) emulator.Arrivals {
	return emulator.Arrivals{
		Rate:         s.Float("rate", 1000, 1e-6, 1e7),
		BurstFactor:  s.Float("burst", 0, 0, 1000),
		MeanBurst:    s.Duration("burst_for", time.Second, time.Millisecond, day),
		MeanBurstGap: s.Duration("calm", 10*time.Second, time.Millisecond, day),
		Period:       s.Duration("day", 0, 0, day),
		Amplitude:    s.Float("depth", 0, 0, 1),
	}
}

// readFault reads one [[region.fault]].
func readFault(d *settings.Document, s *settings.Section) emulator.Fault {
	defer s.RejectUnknownKeys()
	kind := emulator.FaultKind(s.OneOf("kind", "", emulator.FaultKindNames...))
	if _, ok := s.Get("kind"); !ok {
		d.Problemf(s.Path, "kind", "it is missing")
	}
	return emulator.Fault{
		Kind:      kind,
		At:        s.Duration("at", 0, 0, day),
		Duration:  s.Duration("for", 10*time.Second, time.Millisecond, day),
		Zone:      s.Int("zone", 0, 0, 1000),
		Magnitude: s.Float("by", 1, 0, 1e6),
		Share:     s.Float("share", 0, 0, 1000),
	}
}

// readSettings reads the settings, classes and plans of the decision engine, and the shares of classes and plans among
// the clients' requests.
func readSettings(s *settings.Section, c *emulator.Config) {
	c.Settings = readEngineSettings(s.Table("settings"), c.Gateways)
	for _, e := range s.List("class") {
		class, share := readClass(e)
		c.Settings.Classes = append(c.Settings.Classes, class)
		c.Clients.Classes = append(c.Clients.Classes, share)
	}
	for _, e := range s.List("plan") {
		plan, share := readPlan(e)
		c.Settings.Plans = append(c.Settings.Plans, plan)
		c.Clients.Plans = append(c.Clients.Plans, share)
	}
	if len(c.Settings.Classes) == 0 {
		c.Settings.Classes = []decision.Class{
			{Name: "look", LatencyObjective: time.Second, Deadline: 3 * time.Second, PriorityWeight: 1},
		}
		c.Clients.Classes = []emulator.Share{{Name: "look", Weight: 1}}
	}
	if len(c.Settings.Plans) == 0 {
		c.Settings.Plans = []decision.Plan{{Name: "everyone", Price: 1}}
		c.Clients.Plans = []emulator.Share{{Name: "everyone", Weight: 1}}
	}
}

// readEngineSettings reads [region.settings].
func readEngineSettings(s *settings.Section, gateways int) decision.Settings {
	defer s.RejectUnknownKeys()
	out := decision.Settings{
		GatewayCount:         gateways,
		CanCancel:            s.Bool("can_cancel", true),
		MaxAttempts:          s.Int("max_attempts", 3, 1, 100),
		MaxRetryAfter:        s.Duration("max_retry_after", time.Second, 0, time.Hour),
		ResponseGrace:        50 * time.Millisecond,
		DrainGrace:           s.Duration("drain_grace", 2*time.Second, 0, time.Hour),
		SlowStartMinCapacity: s.Float("cold_from", 0.2, 0, 1),
		SlowStartWindow:      s.Duration("warm_within", 14*time.Second, 0, time.Hour),
		OverloadFactor:       s.Float("fall_multiple", 4, 0, 1000),
		OverloadDuration:     s.Duration("fall_for", 3*time.Second, 0, time.Hour),
	}
	if s.Bool("meter", true) {
		out.UsagePeriod = 500 * time.Millisecond
	}
	return out
}

// readClass reads one [[region.class]], with its share of the requests.
func readClass(s *settings.Section) (decision.Class, emulator.Share) {
	defer s.RejectUnknownKeys()
	class := decision.Class{
		Name:             s.String("name", true),
		Idempotency:      decision.Idempotency(s.OneOf("effect", "safe", "safe", "keyed", "unsafe")),
		DedupScope:       decision.DedupScope(s.OneOf("group", "all", "all", "zone", "cell")),
		DedupWindow:      s.Duration("key_window", 0, 0, day),
		Deadline:         s.Duration("deadline", 3*time.Second, time.Millisecond, time.Hour),
		PriorityWeight:   s.Float("worth", 1, 0, unbounded),
		LateWeightFactor: s.Float("late_worth", 0, 0, 1),
	}
	class.LatencyObjective = s.Duration("aim", class.Deadline/3, time.Millisecond, time.Hour)
	return class, emulator.Share{Name: class.Name, Weight: s.Float("share", 1, 0, 1e6)}
}

// readPlan reads one [[region.plan]], with its share of the customers.
func readPlan(s *settings.Section) (decision.Plan, emulator.Share) {
	defer s.RejectUnknownKeys()
	plan := decision.Plan{
		Name:                  s.String("name", true),
		Rate:                  s.Float("rate", 0, 0, unbounded),
		Burst:                 s.Float("burst", 0, 0, unbounded),
		Price:                 s.Float("price", 1, 0, unbounded),
		OverQuotaWeightFactor: s.Float("over_worth", 0, 0, 1),
		OverQuotaCostFactor:   s.Float("over_cost", 0, 0, 1000),
		HardLimitRate:         s.Float("ceiling_rate", 0, 0, unbounded),
		HardLimitBurst:        s.Float("ceiling_burst", 0, 0, unbounded),
		HardLimitOverdraft:    s.Float("ceiling_slack", 0, 0, unbounded),
	}
	return plan, emulator.Share{Name: plan.Name, Weight: s.Float("share", 1, 0, 1e6)}
}
