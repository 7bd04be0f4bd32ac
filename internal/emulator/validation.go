package emulator

import (
	"errors"
	"fmt"
	"math"
	"time"
)

// Bounds of a region's configuration.
const (
	maxGateways         = 4096
	maxDuration         = 24 * time.Hour // results have an entry for each second
	minDelay            = 10 * time.Microsecond
	maxBackends         = 100_000
	maxCustomers        = 10_000_000
	maxClasses          = math.MaxUint8 // also of plans; their indices are stored as uint8
	maxTries            = 100
	maxConfiguredShards = 1024
)

// Validate returns an error if the region can't be emulated. Its errors use the names of settings in
// experiment files.
func (c *Config) Validate() error {
	for _, validate := range []func() error{
		c.validateRegion, c.Backends.validate, c.Clients.validate, c.validateShares, c.validateArrivals,
		c.Settings.Validate, c.Backends.ServiceTime.validate, c.validateNames, c.validateTrace, c.validateFaults,
	} {
		if err := validate(); err != nil {
			return err
		}
	}
	return nil
}

// outside reports whether v is not between low and high. NaN is always outside.
func outside(v, low, high float64) bool { return !(v >= low) || v > high }

func (c *Config) validateRegion() error {
	switch {
	case c.Gateways < 1 || c.Gateways > maxGateways:
		return fmt.Errorf("doors: %d is not from 1 to %d", c.Gateways, maxGateways)
	case !knownPolicy(c.Policy):
		return fmt.Errorf("policy %q is none of %v", c.Policy, Policies)
	case c.Policy == PolicyRateLimit && !(c.RateLimit > 0):
		return errors.New("limit: policy \"limit\" requires a limit above 0")
	case c.Duration <= 0 || c.Duration > maxDuration || c.Warmup < 0 || c.Warmup >= c.Duration:
		return fmt.Errorf("length %v with a warm-up of %v", c.Duration, c.Warmup)
	case c.Network.MinDelay < minDelay || c.Network.MeanExtraDelay < 0:
		return fmt.Errorf("network: least %v is below %v, or more is negative", c.Network.MinDelay, minDelay)
	case !c.Counter.valid():
		return fmt.Errorf("counter: invalid rate %v, queue %v or patience %v",
			c.Counter.Rate, c.Counter.MaxWait, c.Counter.Timeout)
	case c.Shards < 0 || c.Shards > maxConfiguredShards:
		return fmt.Errorf("invalid number of shards: %d", c.Shards)
	case c.UpdateInterval <= 0:
		return errors.New("lists: the interval of endpoint updates is not above 0")
	}
	return nil
}

func (b *Backends) validate() error {
	switch {
	case b.Count < 1 || b.Count > maxBackends || b.Zones < 1 || b.Zones > b.Count || b.Cells < 1 || b.Cells > b.Count:
		return fmt.Errorf("backends: invalid count %d, zones %d or cells %d", b.Count, b.Zones, b.Cells)
	case b.Concurrency < 1 || b.MaxQueue < 0:
		return fmt.Errorf("backends: slots %d is below 1, or queue %d is negative", b.Concurrency, b.MaxQueue)
	case b.ConnectTimeout <= 0 || b.RestartTime <= 0:
		return errors.New("backends: connect or restart is not above 0")
	}
	return nil
}

func (k *Clients) validate() error {
	switch {
	case k.Customers < 1 || k.Customers > maxCustomers || k.GatewaySpread < 1:
		return fmt.Errorf("clients: invalid customers %d or spread %d", k.Customers, k.GatewaySpread)
	case k.MaxTries < 1 || k.MaxTries > maxTries || k.Backoff < 0 || !(k.Cost > 0):
		return fmt.Errorf("clients: invalid tries %d, backoff %v or units %v", k.MaxTries, k.Backoff, k.Cost)
	case k.ZipfExponent != 0 && !(k.ZipfExponent > 1 && k.ZipfExponent < 10):
		return fmt.Errorf("clients: zipf %v is not between 1 and 10, nor 0 for equally popular customers",
			k.ZipfExponent)
	}
	return nil
}

func (c *Config) validateShares() error {
	shares := []float64{c.Clients.UniformShare, c.Clients.FollowRetryAfter, c.CounterLoss, c.Arrivals.Amplitude}
	for _, share := range shares {
		if outside(share, 0, 1) {
			return errors.New("strangers, follow, counter_loss or depth is not from 0 to 1")
		}
	}
	return nil
}

func (c *Config) validateArrivals() error {
	a := &c.Arrivals
	switch {
	case len(a.Trace) == 0 && (outside(a.Rate, 1e-6, 1e7) || outside(a.BurstFactor, 0, 1000)):
		return fmt.Errorf("arrivals: invalid rate %v or burst %v", a.Rate, a.BurstFactor)
	case a.BurstFactor > 0 && (a.MeanBurst <= 0 || a.MeanBurstGap <= 0):
		return errors.New("arrivals: burst_for or calm is not above 0")
	case len(c.Settings.Classes) > maxClasses || len(c.Settings.Plans) > maxClasses:
		return fmt.Errorf("more than %d classes or plans", maxClasses)
	}
	return nil
}

func (d Distribution) validate() error {
	valid := d.Mean > 0 && d.Shape <= Pareto && d.Cutoff >= 0
	switch d.Shape {
	case LogNormal:
		valid = valid && d.Spread > 0 && d.Spread < 10
	case Pareto:
		valid = valid && d.Spread > 1 && d.Spread < 100 && (d.Cutoff == 0 || d.Cutoff > 1)
	}
	if !valid {
		return fmt.Errorf("backends: invalid service times: mean %v, spread %v, cut %v", d.Mean, d.Spread, d.Cutoff)
	}
	return nil
}

// validateNames checks that the shares are of classes and plans of the settings.
func (c *Config) validateNames() error {
	plans := map[string]bool{}
	for i := range c.Settings.Plans {
		plans[c.Settings.Plans[i].Name] = true
	}
	if err := validateShareNames("class", c.Clients.Classes, c.classNames()); err != nil {
		return err
	}
	return validateShareNames("plan", c.Clients.Plans, plans)
}

func (c *Config) classNames() map[string]bool {
	names := map[string]bool{}
	for i := range c.Settings.Classes {
		names[c.Settings.Classes[i].Name] = true
	}
	return names
}

func validateShareNames(what string, shares []Share, known map[string]bool) error {
	sum := 0.0
	for _, share := range shares {
		if !known[share.Name] || outside(share.Weight, 0, 1e9) {
			return fmt.Errorf("invalid share %v of %s %q, or unknown name", share.Weight, what, share.Name)
		}
		sum += share.Weight
	}
	if !(sum > 0) {
		return fmt.Errorf("no %s has a share above 0", what)
	}
	return nil
}

func (c *Config) validateTrace() error {
	classes, last := c.classNames(), time.Duration(0)
	for i, a := range c.Arrivals.Trace {
		knownCustomer := a.Customer >= 0 && a.Customer < c.Clients.Customers
		if a.At < last || !knownCustomer || !classes[a.Class] || !(a.Cost > 0) || math.IsInf(a.Cost, 0) {
			return fmt.Errorf("trace: invalid or unordered arrival %d: at %v, customer %d, class %q, units %v",
				i, a.At, a.Customer, a.Class, a.Cost)
		}
		last = a.At
	}
	return nil
}

func (c *Config) validateFaults() error {
	for i, f := range c.Faults {
		if int(f.Kind) >= len(FaultKindNames) {
			return fmt.Errorf("fault %d: unknown kind %d", i, f.Kind)
		}
		name := FaultKindNames[f.Kind]
		if f.At < 0 || f.Duration <= 0 || f.Zone < 0 || f.Zone >= c.Backends.Zones {
			return fmt.Errorf("fault %d: %s: invalid at %v, for %v or zone %d", i, name, f.At, f.Duration, f.Zone)
		}
		if outside(f.Magnitude, 0, 1e6) || outside(f.Share, 0, 1000) {
			return fmt.Errorf("fault %d: %s: invalid by %v or share %v", i, name, f.Magnitude, f.Share)
		}
		if f.Kind.needsMagnitude() && f.Magnitude < 1 {
			return fmt.Errorf("fault %d: %s requires by of 1 or more", i, name)
		}
	}
	return nil
}

// needsMagnitude reports whether Fault.Magnitude must be at least 1.
func (k FaultKind) needsMagnitude() bool {
	return k == ZoneSlow || k == Deploy || k == Flood || k == GatewayRestart
}
