// Package processtest runs deployments of real gateway processes on loopback, with faults between them, for tests. A
// deployment has gateways, each with a discovery agent of its own; fake backends that share one ledger; the shared
// counter; relays between any two of them; and open-loop clients. A Script says what happens. Tests check counts, rules
// and ratios within one run.
//
// The package starts processes, listens on loopback, and writes only into Config.Dir and a temporary directory for the
// program. A Fleet owns all processes and servers of a deployment.
package processtest

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"pumicecroft/internal/fakes"
	"pumicecroft/internal/load"
	"pumicecroft/internal/platform"
)

// Fleet is a running deployment.
type Fleet struct {
	Config   Config
	Gateways []*Gateway
	Backends []*fakes.Backend
	Ledger   *fakes.Ledger
	Counter  *fakes.Counter
	Meter    *fakes.Meter
	// WhileStopped, unless nil, is called after ActionKill has killed gateways, before they are started again.
	WhileStopped func(f *Fleet) error

	startedAt       time.Time
	scriptStartedAt time.Time

	mu            sync.Mutex
	trace         []string
	drainingSince map[string]time.Time // by name of a backend that is draining or removed
	pastDrains    []drainPeriod
	routable      map[int]bool // numbers of the gateways that clients are sent to
	lastStart     time.Time    // when the gateway that was started last became ready
	outcomes      []load.Outcome
	closers       []func()
}

// drainPeriod is a time in which a backend was reported as draining.
type drainPeriod struct {
	backend  string
	from, to time.Time
}

// New starts the servers of a deployment and prepares its gateways, without starting them.
func New(c Config) (f *Fleet, err error) {
	if c.Gateways < 1 || c.Gateways > MaxProcesses || c.Backends < 1 {
		return nil, fmt.Errorf("processtest: %d gateways and %d backends", c.Gateways, c.Backends)
	}
	c.Zones = max(1, c.Zones)
	f = &Fleet{
		Config: c, Ledger: &fakes.Ledger{}, startedAt: time.Now(),
		drainingSince: map[string]time.Time{}, routable: map[int]bool{},
	}
	defer func() {
		if err != nil {
			f.Close()
		}
	}()
	if c.Meter {
		f.Meter = &fakes.Meter{}
	}
	if c.Counter {
		if f.Counter, err = fakes.StartCounter(); err != nil {
			return nil, err
		}
		f.closers = append(f.closers, f.Counter.Close)
	}
	for i := range c.Backends {
		if err := f.startBackend(i, false); err != nil {
			return nil, err
		}
	}
	for i := range c.Gateways {
		if err := f.addGateway(i); err != nil {
			return nil, err
		}
	}
	return f, nil
}

func backendName(i int) string { return fmt.Sprint("b", i) }

// startBackend starts backend i, in place of its predecessor if there was one.
func (f *Fleet) startBackend(i int, cold bool) error {
	c := f.Config
	b, err := fakes.StartBackend(fakes.BackendConfig{
		Name: backendName(i), Zone: fmt.Sprint("site-", i%c.Zones), InstanceType: "m",
		Cell:  &fakes.Cell{Number: i, Window: 5 * time.Second},
		Slots: c.Slots, Queue: c.Queue, WorkTime: func(string) time.Duration { return c.WorkTime },
		IdempotentByKey:      func(class string) bool { return class == "pay" },
		SlowStartMinCapacity: 0.2, SlowStartWindow: c.SlowStartWindow, OverloadFactor: 4, OverloadDuration: time.Second,
		StartCold: cold, Ledger: f.Ledger, Meter: f.Meter,
	})
	if err != nil {
		return err
	}
	f.closers = append(f.closers, b.Kill)
	if i < len(f.Backends) {
		f.Backends[i] = b
	} else {
		f.Backends = append(f.Backends, b)
	}
	return nil
}

// endpoint returns backend i's entry in a gateway's endpoint list.
func (f *Fleet) endpoint(g *Gateway, i int, health string) platform.Endpoint {
	e := f.Backends[i].Endpoint()
	e.Health = health
	if f.Config.Relayed {
		e.Addr = g.BackendRelays[i].Addr()
	}
	return e
}

// SetHealth makes all agents report the health of backends: Ready, Terminating or Gone.
func (f *Fleet) SetHealth(health string, backends ...int) {
	f.mu.Lock()
	for _, i := range backends {
		f.recordHealth(backendName(i), health)
	}
	f.mu.Unlock()
	for _, g := range f.Gateways {
		for _, i := range backends {
			g.Agent.Set(f.endpoint(g, i, health))
		}
	}
}

// recordHealth begins or ends a backend's drain period. f.mu must be held.
func (f *Fleet) recordHealth(name, health string) {
	from, draining := f.drainingSince[name]
	switch {
	case draining && health == "Ready":
		f.pastDrains = append(f.pastDrains, drainPeriod{name, from, time.Now()})
		delete(f.drainingSince, name)
	case !draining && health != "Ready":
		f.drainingSince[name] = time.Now().Add(SocketSlack) // until the last agent has reported it
	}
}

// Close stops everything that runs.
func (f *Fleet) Close() {
	for _, g := range f.Gateways {
		if g.Process != nil && g.Process.Alive() {
			g.Process.Kill()
		}
	}
	for _, closeOne := range slices.Backward(f.closers) {
		closeOne()
	}
}

// tracef adds a line to the trace.
func (f *Fleet) tracef(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	line := fmt.Sprintf("%8.3f ", time.Since(f.startedAt).Seconds()) + fmt.Sprintf(format, args...)
	f.trace = append(f.trace, line)
}

// Trace returns what has happened, one event a line.
func (f *Fleet) Trace() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return strings.Join(f.trace, "\n")
}

// StaleAttempts returns the attempts that reached draining backends after the grace period.
func (f *Fleet) StaleAttempts() (out []fakes.Attempt) {
	f.mu.Lock()
	drains := slices.Clone(f.pastDrains)
	for name, from := range f.drainingSince {
		drains = append(drains, drainPeriod{name, from, time.Now()})
	}
	f.mu.Unlock()
	for _, a := range f.Ledger.Attempts() {
		stale := func(d drainPeriod) bool {
			return d.backend == a.Backend && a.At.After(d.from.Add(DrainGrace+SocketSlack)) && a.At.Before(d.to)
		}
		if slices.ContainsFunc(drains, stale) {
			out = append(out, a)
		}
	}
	return out
}
