package emulator

import (
	"slices"
	"time"

	"pumicecroft/decision"
)

// Config is a region: its gateways, backends, clients and faults. Times are from the region's
// start.
type Config struct {
	Gateways       int
	Policy         string // what decides at each gateway: one of Policies
	Settings       decision.Settings
	Duration       time.Duration // clients send calls for this long
	Warmup         time.Duration // calls that begin within it are not counted
	Network        Network
	Backends       Backends
	Clients        Clients
	Arrivals       Arrivals
	UpdateInterval time.Duration // between discovery's updates to gateways
	CounterLoss    float64       // share of its calls, and of the usage it sums, that the counter loses
	Counter        Counter
	RateLimit      float64 // of PolicyRateLimit: requests a second over all gateways
	Faults         []Fault
	Shards         int // 0: by the region's size

	classIndex, planIndex []uint8 // indices in Settings of the shares in Clients
}

// Network is how long a message takes one way: MinDelay, and an exponential part on top.
type Network struct {
	MinDelay       time.Duration
	MeanExtraDelay time.Duration // of the exponential part; 0: there is none
}

// Backends are alike but for their zones, cells and faults.
type Backends struct {
	Count          int
	Zones          int // the backends are spread over them in turn
	Cells          int // as Zones
	Concurrency    int // requests that a backend executes at once
	MaxQueue       int // requests that wait at a backend; one more is rejected
	Service        Distribution
	ConnectTimeout time.Duration // after which a gateway gives up connecting
	RestartTime    time.Duration // that a backend is down for, by an overload or a deploy
}

// Shape is how service times are distributed.
type Shape uint8

// The shapes.
const (
	Constant Shape = iota
	Exponential
	LogNormal // Spread is the standard deviation of the time's logarithm
	Pareto    // Spread is the tail's exponent, above 1; times end at Cutoff means
)

// Distribution is a distribution of times.
type Distribution struct {
	Shape  Shape
	Mean   time.Duration // of what is drawn, after the cutoff
	Spread float64       // by Shape
	Cutoff float64       // of Pareto, in means before the cutoff; 0: 100
}

// Clients are who sends calls.
type Clients struct {
	Customers        int
	ZipfExponent     float64 // of customers' popularity, above 1; 0: all are alike
	UniformShare     float64 // share of calls whose customer is drawn from all alike
	GatewaySpread    int     // gateways that a customer uses
	Classes          []Share // of calls
	Plans            []Share // of customers
	Cost             float64 // of a call
	MaxTries         int     // of a client for a call
	FollowRetryAfter float64 // share of customers whose clients wait as Retry-After says
	Backoff          time.Duration
}

// Share is a share of something that Settings name. Shares of a list are relative to their sum.
type Share struct {
	Name   string
	Weight float64
}

// Arrivals are when calls begin, over all clients.
type Arrivals struct {
	Rate float64 // calls a second, on average outside of bursts

	// In bursts the rate is BurstFactor times as high. They begin after exponential times of the
	// mean MeanCalm, and take exponential times of the mean MeanBurst. BurstFactor 0: there are
	// none.
	BurstFactor         float64
	MeanBurst, MeanCalm time.Duration

	// The rate swings by Amplitude, a share of itself, with this period, and begins at its mean.
	// Period 0: it does not swing.
	Period    time.Duration
	Amplitude float64

	// Trace is all calls, in their order, in place of those at a rate; empty: there is no trace.
	Trace []Arrival
}

// Arrival is one call of a trace.
type Arrival struct {
	At       time.Duration
	Customer int
	Class    string
	Cost     float64
}

// FaultKind is what a fault does.
type FaultKind uint8

// The kinds of faults. By is Fault.Magnitude.
const (
	ZoneLoss       FaultKind = iota // nothing reaches a zone's backends, and nothing comes from there
	ZoneSlow                        // a zone's backends take By times as long
	Deploy                          // all backends drain and restart, By at once
	RetryStorm                      // clients that are not served try By times more, at once
	Flood                           // the first By customers send Share of the usual rate more
	GatewayRestart                  // all gateways restart without their state, By at once
	CounterLoss                     // the counter loses Share of what it is told
)

// FaultKindNames are the kinds' names in files.
var FaultKindNames = []string{
	"zone-loss", "zone-slow", "deploy", "retry-storm", "flood", "door-restart", "counter-loss",
}

// Fault is something that goes wrong for a while.
type Fault struct {
	Kind      FaultKind
	At        time.Duration
	Duration  time.Duration
	Zone      int
	Magnitude float64 // by Kind
	Share     float64 // by Kind, 0 to 1
}

// resolveShares finds the classes and plans that the shares name.
func (c *Config) resolveShares() {
	c.classIndex, c.planIndex = nil, nil
	for _, share := range c.Clients.Classes {
		i := slices.IndexFunc(c.Settings.Classes, func(class decision.Class) bool { return class.Name == share.Name })
		c.classIndex = append(c.classIndex, uint8(i))
	}
	for _, share := range c.Clients.Plans {
		i := slices.IndexFunc(c.Settings.Plans, func(plan decision.Plan) bool { return plan.Name == share.Name })
		c.planIndex = append(c.planIndex, uint8(i))
	}
}
