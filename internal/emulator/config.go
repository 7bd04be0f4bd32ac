package emulator

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"time"

	"pumicecroft/decision"
)

// Config is a region: its doors, backends, customers and what befalls them. Times are durations from its start.
type Config struct {
	Gateways       int
	Policy         string // what decides at each door: one of Policies
	Settings       decision.Settings
	Duration       time.Duration // how long clients ask
	Warmup         time.Duration // from the start, of which nothing is counted
	Network        Network
	Backends       Backends
	Clients        Clients
	Arrivals       Arrivals
	UpdateInterval time.Duration // how often a door hears what has changed about backends
	CounterLoss    float64       // the share of counts, and of calls, that the counter loses
	Counter        Counter       // that doors may ask
	RateLimit      float64       // of PolicyLimit: requests a second that all doors together let through
	Faults         []Fault
	Shards         int // that it is divided into; 0: by its size

	classIndex, planIndex []uint8 // of the shares in Clients, their numbers in Settings
}

// Network is how long a message takes one way: Least, and an exponential part of the mean More on top.
type Network struct{ MinDelay, MeanExtraDelay time.Duration }

// Backends are alike but for their zones, cells and what befalls them.
type Backends struct {
	Count, Zones, Cells int
	Concurrency         int // requests that one works at, at once
	MaxQueue            int // that wait; one more is refused
	Service             Distribution
	ConnectTimeout      time.Duration // after which a door gives up on one that is not there
	RestartTime         time.Duration // that one is down for, by a fall or a deploy
}

// Shape is how service times are distributed.
type Shape uint8

// The shapes.
const (
	Constant Shape = iota
	Exponential
	LogNormal // Spread is the standard deviation of the time's logarithm
	Pareto    // Spread is the tail's exponent, above 1; times end at Cut means
)

// Distribution is a distribution of times.
type Distribution struct {
	Shape  Shape
	Mean   time.Duration // of what is drawn, cut and all
	Spread float64
	Cutoff float64 // of Pareto, in means before the cut; 0: 100
}

// Clients are who asks.
type Clients struct {
	Customers        int
	ZipfExponent     float64 // exponent of their popularity, above 1; 0: all alike
	UniformShare     float64 // the share of asks whose customer is drawn from all alike: most were never met
	GatewaySpread    int     // doors that a customer uses
	Classes          []Share // of classes
	Plans            []Share // of customers
	Cost             float64 // an ask's
	MaxTries         int     // that a client makes at the most
	FollowRetryAfter float64 // the share of clients that follow advice
	Backoff          time.Duration
}

// Share is how much of something there is.
type Share struct {
	Name   string
	Weight float64
}

// Arrivals are when clients ask, all together.
type Arrivals struct {
	Rate float64 // a second
	// Bursts: the rate is Burst times as high for BurstFor on average, after Calm on average, by exponential times. 0: none.
	BurstFactor         float64
	MeanBurst, MeanCalm time.Duration
	// Period: the rate swings by Depth of itself with this period, and begins in its mean. 0: it does not.
	Period    time.Duration
	Amplitude float64
	Trace     []Arrival // in place of all that; in their order
}

// Arrival is one ask of a trace.
type Arrival struct {
	At       time.Duration
	Customer int
	Class    string
	Cost     float64
}

// FaultKind is what befalls a region.
type FaultKind uint8

// The kinds of faults.
const (
	ZoneLoss       FaultKind = iota // nothing reaches a zone's backends, and nothing comes from there
	ZoneSlow                        // a zone's backends take By times as long
	Deploy                          // all backends are drained and started anew, By of them at once
	RetryStorm                      // clients that are not served ask By times more, at once, whatever they were told
	Flood                           // the first By customers ask for Share of the usual rate more
	GatewayRestart                  // doors end one after another, By at once, and come back having forgotten all
	CounterLoss                     // the counter loses Share of its counts, and of the calls that doors make
)

// FaultKindNames are the kinds' names.
var FaultKindNames = []string{"zone-loss", "zone-slow", "deploy", "retry-storm", "flood", "door-restart", "counter-loss"}

// Fault is one.
type Fault struct {
	Kind         FaultKind
	At, Duration time.Duration
	Zone         int
	Magnitude    float64
	Share        float64
}

// maxSeconds bounds what a run counts by the second.
const maxSeconds = 24 * 3600

// Validate tells what can't be emulated.
func (c *Config) Validate() error {
	bad := func(v, least, most float64) bool { return !(v >= least) || v > most }
	switch b, k, a := &c.Backends, &c.Clients, &c.Arrivals; {
	case c.Gateways < 1 || c.Gateways > 4096:
		return fmt.Errorf("%d doors: 1 to 4,096", c.Gateways)
	case !knownPolicy(c.Policy):
		return fmt.Errorf("policy %q is none of %v", c.Policy, Policies)
	case c.Policy == PolicyRateLimit && !(c.RateLimit > 0):
		return errors.New("policy \"limit\" wants a ceiling above 0")
	case c.Duration <= 0 || c.Duration > maxSeconds*time.Second || c.Warmup < 0 || c.Warmup >= c.Duration:
		return fmt.Errorf("length %v with a warm-up of %v", c.Duration, c.Warmup)
	case c.Network.MinDelay < 10*time.Microsecond || c.Network.MeanExtraDelay < 0:
		return fmt.Errorf("the network takes %v at the least: 10us or more", c.Network.MinDelay)
	case b.Count < 1 || b.Count > 100_000 || b.Zones < 1 || b.Zones > b.Count || b.Cells < 1 || b.Cells > b.Count || b.Concurrency < 1 || b.MaxQueue < 0:
		return fmt.Errorf("backends %+v", *b)
	case b.ConnectTimeout <= 0 || b.RestartTime <= 0:
		return errors.New("backends without connect or restart")
	case k.Customers < 1 || k.Customers > 10_000_000 || k.GatewaySpread < 1 || k.MaxTries < 1 || k.MaxTries > 100 || k.Backoff < 0 || !(k.Cost > 0):
		return fmt.Errorf("clients %+v", *k)
	case k.ZipfExponent != 0 && !(k.ZipfExponent > 1 && k.ZipfExponent < 10):
		return fmt.Errorf("a Zipf exponent of %v: above 1, or 0 for customers that are alike", k.ZipfExponent)
	case bad(k.UniformShare, 0, 1) || bad(k.FollowRetryAfter, 0, 1) || bad(c.CounterLoss, 0, 1) || bad(a.Amplitude, 0, 1):
		return errors.New("a share that is not from 0 to 1")
	case len(a.Trace) == 0 && (bad(a.Rate, 1e-6, 1e7) || bad(a.BurstFactor, 0, 1000)):
		return fmt.Errorf("a rate of %v a second, in bursts %v times that", a.Rate, a.BurstFactor)
	case a.BurstFactor > 0 && (a.MeanBurst <= 0 || a.MeanCalm <= 0):
		return errors.New("bursts without a time for them and between them")
	case !c.Counter.valid():
		return fmt.Errorf("counter %+v", c.Counter)
	case c.Shards < 0 || c.Shards > 1024:
		return fmt.Errorf("%d shards", c.Shards)
	case c.UpdateInterval <= 0:
		return errors.New("doors that never hear of backends")
	}
	if len(c.Settings.Classes) > 255 || len(c.Settings.Plans) > 255 {
		return errors.New("more than 255 classes or plans")
	}
	if err := c.Settings.Validate(); err != nil {
		return err
	}
	if err := c.Backends.Service.validate(); err != nil {
		return err
	}
	classes, plans := map[string]bool{}, map[string]bool{}
	for _, v := range c.Settings.Classes {
		classes[v.Name] = true
	}
	for _, v := range c.Settings.Plans {
		plans[v.Name] = true
	}
	for what, of := range map[string]struct {
		shares []Share
		known  map[string]bool
	}{"class": {c.Clients.Classes, classes}, "plan": {c.Clients.Plans, plans}} {
		sum := 0.0
		for _, s := range of.shares {
			if !of.known[s.Name] || bad(s.Weight, 0, 1e9) {
				return fmt.Errorf("a share %v of %s %q", s.Weight, what, s.Name)
			}
			sum += s.Weight
		}
		if !(sum > 0) {
			return fmt.Errorf("no %s has a share", what)
		}
	}
	last := time.Duration(0)
	for i, t := range c.Arrivals.Trace {
		if t.At < last || t.Customer < 0 || t.Customer >= c.Clients.Customers || !classes[t.Class] || !(t.Cost > 0) || math.IsInf(t.Cost, 0) {
			return fmt.Errorf("arrival %d of the trace: %+v", i, t)
		}
		last = t.At
	}
	for i, f := range c.Faults {
		if f.At < 0 || f.Duration <= 0 || int(f.Kind) >= len(FaultKindNames) || f.Zone < 0 || f.Zone >= c.Backends.Zones || bad(f.Magnitude, 0, 1e6) || bad(f.Share, 0, 1000) {
			return fmt.Errorf("fault %d: %+v", i, f)
		}
		if (f.Kind == ZoneSlow || f.Kind == Deploy || f.Kind == Flood || f.Kind == GatewayRestart) && f.Magnitude < 1 {
			return fmt.Errorf("fault %d: %s wants by, 1 or more", i, FaultKindNames[f.Kind])
		}
	}
	return nil
}

// resolveShares notes which classes and plans shares stand for.
func (c *Config) resolveShares() {
	c.classIndex, c.planIndex = nil, nil
	for _, s := range c.Clients.Classes {
		i := slices.IndexFunc(c.Settings.Classes, func(v decision.Class) bool { return v.Name == s.Name })
		c.classIndex = append(c.classIndex, uint8(i))
	}
	for _, s := range c.Clients.Plans {
		i := slices.IndexFunc(c.Settings.Plans, func(v decision.Plan) bool { return v.Name == s.Name })
		c.planIndex = append(c.planIndex, uint8(i))
	}
}

func (d Distribution) validate() error {
	switch {
	case d.Mean <= 0:
		return fmt.Errorf("service times of the mean %v", d.Mean)
	case d.Shape > Pareto, d.Shape == LogNormal && !(d.Spread > 0 && d.Spread < 10), d.Shape == Pareto && !(d.Spread > 1 && d.Spread < 100),
		d.Cutoff < 0, d.Shape == Pareto && d.Cutoff > 0 && d.Cutoff <= 1, math.IsNaN(d.Cutoff):
		return fmt.Errorf("service times by %+v", d)
	}
	return nil
}
