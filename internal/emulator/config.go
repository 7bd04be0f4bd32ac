package emulator

import (
	"slices"
	"time"

	"pumicecroft/decision"
)

// Config describes a region: its gateways, backends, clients and faults. Times are relative to the
// region's start.
type Config struct {
	Gateways       int
	Policy         string // load-balancing policy of each gateway: one of Policies
	Settings       decision.Settings
	Duration       time.Duration // for which clients send calls
	Warmup         time.Duration // calls that begin during it are not counted
	Network        Network
	Backends       Backends
	Clients        Clients
	Arrivals       Arrivals
	UpdateInterval time.Duration // between updates of endpoints to gateways
	CounterLoss    float64       // share of counter calls and of reported usage that is lost, 0 to 1
	Counter        Counter
	RateLimit      float64 // for PolicyRateLimit: requests per second, over all gateways
	Faults         []Fault
	Shards         int // 0 means a number that suits the region's size

	classIndex, planIndex []uint8 // indices in Settings of Clients.Classes and Clients.Plans
}

// Network configures how long a message takes one way: MinDelay plus an exponentially distributed
// delay.
type Network struct {
	MinDelay       time.Duration
	MeanExtraDelay time.Duration // mean of the exponential part; 0 means none
}

// Backends configures the backends, which differ only in zone, cell and faults.
type Backends struct {
	Count          int
	Zones          int // backends are assigned to zones round-robin
	Cells          int // backends are assigned to cells round-robin
	Concurrency    int // requests that a backend executes at once
	MaxQueue       int // requests that wait at a backend; further ones are rejected
	ServiceTime    Distribution
	ConnectTimeout time.Duration // after which a gateway gives up connecting
	RestartTime    time.Duration // for which a backend is down after an overload or in a deploy
}

// Shape is the type of a distribution.
type Shape uint8

// The shapes.
const (
	Constant Shape = iota
	Exponential
	LogNormal // Spread is the standard deviation of the logarithm
	Pareto    // Spread is the exponent of the tail, above 1; values are limited to Cutoff
)

// Distribution is a distribution of times.
type Distribution struct {
	Shape  Shape
	Mean   time.Duration // of the drawn times, with Cutoff applied
	Spread float64       // depends on Shape
	Cutoff float64       // of Pareto, as a multiple of the mean before the cutoff; 0 means 100
}

// Clients configures the clients, which send calls.
type Clients struct {
	Customers        int
	ZipfExponent     float64 // of customers' popularity, above 1; 0 means that all are equally popular
	UniformShare     float64 // share of calls whose customer is drawn uniformly
	GatewaySpread    int     // number of gateways that a customer uses
	Classes          []Share // of calls
	Plans            []Share // of customers
	Cost             float64 // of a call
	MaxTries         int     // that a client makes for a call, including the first
	FollowRetryAfter float64 // share of customers whose clients wait as Retry-After says
	Backoff          time.Duration
}

// Share is the share of a class or plan of Settings. Weights in a list are relative to their sum.
type Share struct {
	Name   string
	Weight float64
}

// Arrivals configures when calls begin, over all clients.
type Arrivals struct {
	Rate float64 // calls per second, on average outside bursts

	// During bursts the rate is multiplied by BurstFactor; 0 means no bursts. The lengths of bursts
	// and of the gaps between them are exponentially distributed, with means MeanBurst and
	// MeanBurstGap.
	BurstFactor             float64
	MeanBurst, MeanBurstGap time.Duration

	// The rate follows a sine wave of this period, starting at its mean. Amplitude is a share of
	// the mean rate, 0 to 1. Period 0 means a rate without the wave.
	Period    time.Duration
	Amplitude float64

	// Trace lists all calls in order of time and replaces those at Rate; empty means no trace.
	Trace []Arrival
}

// Arrival is one call of a trace.
type Arrival struct {
	At       time.Duration
	Customer int
	Class    string
	Cost     float64
}

// FaultKind is a kind of fault.
type FaultKind uint8

// The kinds of faults, with N for Fault.Magnitude.
const (
	ZoneLoss       FaultKind = iota // no messages reach or leave the backends of a zone
	ZoneSlow                        // backends of a zone take N times as long
	Deploy                          // all backends drain and restart, N at once
	RetryStorm                      // clients that are not served make N more tries, with a short backoff
	Flood                           // the first N customers send Share of the usual rate in addition
	GatewayRestart                  // all gateways restart without their state, N at once
	CounterLoss                     // the counter loses Share of calls and of reported usage
)

// FaultKindNames are the names of the kinds in experiment files.
var FaultKindNames = []string{
	"zone-loss", "zone-slow", "deploy", "retry-storm", "flood", "door-restart", "counter-loss",
}

// Fault is a fault from At on. For Deploy and GatewayRestart, Duration is that of one step: how long
// backends drain, and how long gateways are down.
type Fault struct {
	Kind      FaultKind
	At        time.Duration
	Duration  time.Duration
	Zone      int     // of ZoneLoss and ZoneSlow
	Magnitude float64 // depends on Kind
	Share     float64 // depends on Kind; of Flood it may be above 1
}

// resolveShares sets the indices of the classes and plans that the shares name.
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
