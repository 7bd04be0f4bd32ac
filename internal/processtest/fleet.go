// Package processtest runs deployments of real processes of the program on loopback, with faults between them, for tests: doors, each with an
// agent of discovery of its own; stand-in backends with one ledger; the shared counter; relays between any two of them; and clients in
// open loop. What happens is a script (script.go), which is data; what is judged are counts, rules and ratios within one run.
//
// fleet.go puts a deployment together, process.go is one process, relay.go what stands between two, clients.go who asks. The package
// starts processes, listens on loopback, and writes only into the directory that it is given.
package processtest

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pelletier/go-toml/v2"

	"pumicecroft/internal/fakes"
	"pumicecroft/internal/load"
	"pumicecroft/internal/platform"
)

// Most is how many processes a rig starts at the most.
const MaxProcesses = 64

// Shape is a deployment.
type Config struct {
	Seed                       uint64
	Dir                        string // for the doors' files
	Gateways, Backends         int
	Zones                      int           // 0: one; door and backend i are in site i modulo that
	WorkTime                   time.Duration // of a request, at a warm backend
	Slots, Queue               int           // of a backend
	Rate, Burst                float64       // of the plan "shop"; "big" is without bounds
	HardLimitRate              float64       // units a second of the plan "flagship", and twice that at once; 0: no such plan
	Counter, Meter             bool
	SlowStartWindow            time.Duration // until a backend that has started has all of its capacity; 0: at once
	Relayed                    bool          // doors reach backends, discovery and counter over relays
	MaxRetryAfter              time.Duration
	LatencyObjective, Deadline time.Duration
	Descriptors, MemoryMB      int
	PersistState               bool // doors serve by an operator's file, and keep their state in a directory each
}

// Door is one door of a fleet.
type Gateway struct {
	Number         int
	Name           string
	Zone           int
	Addr           string // where its clients reach it; the same for each of its processes
	ConfigPath     string // its file
	StateDir       string // its directory for state; empty: it has none
	Process        *Process
	Agent          *fakes.Discovery
	DiscoveryRelay *Relay   // to its agent; nil if nothing is relayed
	CounterRelay   *Relay   // to the counter
	BackendRelays  []*Relay // to each backend
}

// Fleet is a deployment that runs.
type Fleet struct {
	Config   Config
	Gateways []*Gateway
	Backends []*fakes.Backend
	Ledger   *fakes.Ledger
	Counter  *fakes.Counter
	Meter    *fakes.Meter
	// Meanwhile is done while doors that were killed are away, before they are back.
	WhileStopped    func(f *Fleet) error
	startedAt       time.Time
	scriptStartedAt time.Time // when Play began

	mu            sync.Mutex
	trace         []string
	drainingSince map[string]time.Time // since when a backend has been told to drain, or to be gone, by name
	pastDrains    []drainPeriod        // those that are over
	routable      map[int]bool         // doors that clients are sent to
	lastStart     time.Time            // when the last process that was started had its first client
	outcomes      []load.Outcome
	closers       []func()
}

// drained is a time in which a backend was told to drain.
type drainPeriod struct {
	backend  string
	from, to time.Time
}

// New puts a deployment together, and starts no door.
func New(s Config) (f *Fleet, err error) {
	if s.Gateways < 1 || s.Gateways > MaxProcesses || s.Backends < 1 {
		return nil, fmt.Errorf("rig: %d doors and %d backends", s.Gateways, s.Backends)
	}
	s.Zones = max(1, s.Zones)
	f = &Fleet{Config: s, Ledger: &fakes.Ledger{}, startedAt: time.Now(), drainingSince: map[string]time.Time{}, routable: map[int]bool{}}
	defer func() {
		if err != nil {
			f.Close()
		}
	}()
	if s.Meter {
		f.Meter = &fakes.Meter{}
	}
	if s.Counter {
		if f.Counter, err = fakes.StartCounter(); err != nil {
			return nil, err
		}
		f.closers = append(f.closers, f.Counter.Close)
	}
	for i := range s.Backends {
		if err := f.addBackend(i, false); err != nil {
			return nil, err
		}
	}
	for i := range s.Gateways {
		d := &Gateway{Number: i, Name: fmt.Sprint("door-", i), Zone: i % s.Zones}
		f.Gateways = append(f.Gateways, d)
		if d.Addr, err = freeAddr(f.loopbackHost(d)); err != nil {
			return nil, err
		}
		if d.Agent, err = fakes.StartDiscovery(); err != nil {
			return nil, err
		}
		f.closers = append(f.closers, d.Agent.Close)
		if s.Relayed {
			if d.DiscoveryRelay, err = f.addRelay(d, d.Agent.Addr()); err != nil {
				return nil, err
			}
			for _, b := range f.Backends {
				r, err := f.addRelay(d, b.Addr())
				if err != nil {
					return nil, err
				}
				d.BackendRelays = append(d.BackendRelays, r)
			}
			if f.Counter != nil {
				if d.CounterRelay, err = f.addRelay(d, f.Counter.Addr()); err != nil {
					return nil, err
				}
			}
		}
		for i := range f.Backends {
			d.Agent.Set(f.endpoint(d, i, "Ready"))
		}
	}
	return f, nil
}

// host is a loopback address of a door's own, in its site's range.
func (f *Fleet) loopbackHost(d *Gateway) string {
	return fmt.Sprintf("127.%d.%d.%d", 20+d.Zone, 1+d.Number/200, 2+d.Number%200)
}

// free finds a port that is free at a host, which nobody else uses.
func freeAddr(host string) (string, error) {
	ln, err := net.Listen("tcp", host+":0")
	if err != nil {
		return "", err
	}
	defer ln.Close()
	return ln.Addr().String(), nil
}

func (f *Fleet) addRelay(d *Gateway, target string) (*Relay, error) {
	r, err := NewRelay(f.loopbackHost(d), target, f.Config.Seed+uint64(len(f.closers)))
	if err == nil {
		f.closers = append(f.closers, r.Close)
	}
	return r, err
}

func backendName(i int) string { return fmt.Sprint("b", i) }

// addBackend starts backend i, in place of the one before it if there was one.
func (f *Fleet) addBackend(i int, cold bool) error {
	s := f.Config
	b, err := fakes.StartBackend(fakes.BackendConfig{Name: backendName(i), Zone: fmt.Sprint("site-", i%s.Zones), InstanceType: "m", Cell: &fakes.Cell{Number: i, Window: 5 * time.Second},
		Slots: s.Slots, Queue: s.Queue, WorkTime: func(string) time.Duration { return s.WorkTime }, IdempotentByKey: func(class string) bool { return class == "pay" },
		SlowStartMinCapacity: 0.2, SlowStartWindow: s.SlowStartWindow, OverloadFactor: 4, OverloadDuration: time.Second, StartCold: cold, Ledger: f.Ledger, Meter: f.Meter})
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

// endpoint is backend i's entry in a door's list.
func (f *Fleet) endpoint(d *Gateway, i int, health string) platform.Endpoint {
	e := f.Backends[i].Endpoint()
	e.Health = health
	if f.Config.Relayed {
		e.Addr = d.BackendRelays[i].Addr()
	}
	return e
}

// discovery is where a door finds its agent.
func (d *Gateway) discoveryAddr() string {
	if d.DiscoveryRelay != nil {
		return d.DiscoveryRelay.Addr()
	}
	return d.Agent.Addr()
}

// config is a door's file as the platform writes it.
func (f *Fleet) platformConfig(d *Gateway) ([]byte, error) {
	s := f.Config
	us := func(t time.Duration) int64 { return t.Microseconds() }
	type object = map[string]any
	tariffs := []object{{"name": "shop", "units_per_s": s.Rate, "burst": s.Burst, "value_factor": 1}, {"name": "big", "value_factor": 1}}
	if s.HardLimitRate > 0 {
		tariffs = append(tariffs, object{"name": "flagship", "units_per_s": s.HardLimitRate, "burst": 2 * s.HardLimitRate, "value_factor": 2, "ceiling_rate": s.HardLimitRate,
			"never_over_depth": 2 * s.HardLimitRate, "cap_slack": s.HardLimitRate / 4})
	}
	family := object{"largest": 1}
	counter := ""
	if f.Meter != nil {
		family["meter_period_us"] = 500_000
	}
	if f.Counter != nil {
		family["has_counter"], family["count_limit_us"], counter = true, 30_000, f.Counter.Addr()
	}
	if d.CounterRelay != nil {
		counter = d.CounterRelay.Addr()
	}
	lane := func(name, effect string, gain float64) object {
		return object{"name": name, "effect": effect, "group": "cell", "key_ttl_us": 5_000_000, "goal_time_us": us(s.LatencyObjective), "deadline_us": us(s.Deadline), "gain": gain}
	}
	list := d.Agent.List()
	return json.MarshalIndent(object{"name": d.Name, "listen": d.Addr, "discovery": d.discoveryAddr(), "counter": counter, "seed": strconv.FormatUint(s.Seed<<8+uint64(d.Number)+1, 16),
		"limits": object{"cores": 1, "memory_mb": s.MemoryMB, "sockets": s.Descriptors}, "known": list,
		"settings": object{"balancers": s.Gateways, "me": d.Number, "discovery": "pushed", "lanes": []object{lane("look", "retryable", 1), lane("pay", "dedup", 5)}, "tariffs": tariffs, "family_info": family,
			"policy_limits": object{"cancel": true, "max_attempts": 3, "retry_after": true, "max_retry_after_us": us(s.MaxRetryAfter), "conn_idle_us": 15_000_000, "connect_timeout_us": 250_000},
			"obligations":   object{"grace_to_answer_us": 50_000, "stop_sending_within_us": us(DrainGrace), "cold_from": 0.2, "warm_within_us": us(s.SlowStartWindow), "fall_multiple": 4, "fall_us": 1_000_000}}}, "", " ")
}

// file is a door's file as an operator writes it.
func (f *Fleet) operatorConfig(d *Gateway) ([]byte, error) {
	s := f.Config
	if d.StateDir == "" {
		d.StateDir = filepath.Join(s.Dir, "state-"+d.Name)
	}
	type object = map[string]any
	class := func(name, effect string, worth float64) object {
		c := object{"name": name, "effect": effect, "aim": s.LatencyObjective.String(), "deadline": s.Deadline.String(), "worth": worth}
		if effect == "keyed" {
			c["group"], c["key_window"] = "cell", "5s"
		}
		return c
	}
	plans := []object{{"name": "shop", "rate": s.Rate, "burst": s.Burst, "price": 1.0}, {"name": "big", "price": 1.0}}
	if s.HardLimitRate > 0 {
		plans = append(plans, object{"name": "flagship", "rate": s.HardLimitRate, "burst": 2 * s.HardLimitRate, "price": 2.0, "ceiling_rate": s.HardLimitRate, "ceiling_burst": 2 * s.HardLimitRate,
			"ceiling_slack": s.HardLimitRate / 4})
	}
	door := object{"number": d.Number, "of": s.Gateways, "max_retry_after": s.MaxRetryAfter.String(), "largest_units": 1.0, "drain_grace": DrainGrace.String(), "warm_within": s.SlowStartWindow.String(),
		"fall_multiple": 4.0, "fall_for": "1s"}
	if f.Meter != nil {
		door["meter_period"] = "500ms"
	}
	return toml.Marshal(object{"listen": d.Addr, "state_dir": d.StateDir, "sources": []string{"discovery"}, "door": door, "discovery": object{"address": d.discoveryAddr()},
		"class": []object{class("look", "safe", 1), class("pay", "keyed", 5)}, "plan": plans})
}

// Grace is how long sends to a draining backend may go on after its door was told, and Slack what sockets add to it.
const (
	DrainGrace  = 2 * time.Second
	SocketSlack = 50 * time.Millisecond
)

// Start starts doors, all at once, and waits until each answers /ready.
func (f *Fleet) Start(doors ...*Gateway) error {
	errs := make(chan error, len(doors))
	for _, d := range doors {
		go func() { errs <- f.startGateway(d) }()
	}
	var err error
	for range doors {
		err = errors.Join(err, <-errs)
	}
	return err
}

func (f *Fleet) startGateway(d *Gateway) error {
	write, args, env := f.platformConfig, []string(nil), []string(nil)
	if f.Config.PersistState {
		write = f.operatorConfig
	}
	text, err := write(d)
	if err != nil {
		return err
	}
	if d.ConfigPath = filepath.Join(f.Config.Dir, d.Name+".conf"); f.Config.PersistState {
		args = []string{"serve", d.ConfigPath}
		err = os.MkdirAll(d.StateDir, 0o700)
	} else {
		env = []string{"NODE_CONFIG=" + d.ConfigPath}
	}
	if err := errors.Join(err, os.WriteFile(d.ConfigPath, text, 0o600)); err != nil {
		return err
	}
	p, err := startProcess(f.Config.Descriptors, env, args...)
	if err != nil {
		return err
	}
	f.mu.Lock()
	d.Process = p
	f.mu.Unlock()
	if _, err := p.Await("listen=" + d.Addr); err != nil {
		return fmt.Errorf("%s: %w", d.Name, err)
	}
	client := &http.Client{Timeout: waitTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := client.Get("http://" + d.Addr + "/ready")
	if err != nil {
		return fmt.Errorf("%s: %w", d.Name, err)
	}
	res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: /ready answers %s", d.Name, res.Status)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.routable[d.Number] = true
	f.lastStart = time.Now()
	return nil
}

// backAt is when the last door came back.
func (f *Fleet) lastStartedAt() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lastStart
}

// Kill kills doors in one moment.
func (f *Fleet) Kill(doors ...*Gateway) {
	f.stopRouting(doors...)
	for _, d := range doors {
		d.Process.Signal(syscall.SIGKILL)
	}
	for _, d := range doors {
		<-d.Process.exited
	}
}

func (f *Fleet) stopRouting(doors ...*Gateway) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, d := range doors {
		delete(f.routable, d.Number)
	}
}

// Tell has all agents tell of backends: Ready, Terminating or Gone.
func (f *Fleet) SetHealth(health string, backends ...int) {
	f.mu.Lock()
	for _, i := range backends {
		name := backendName(i)
		if from, known := f.drainingSince[name]; known && health == "Ready" {
			f.pastDrains = append(f.pastDrains, drainPeriod{name, from, time.Now()})
			delete(f.drainingSince, name)
		} else if health == "Ready" {
			continue
		} else if _, known := f.drainingSince[name]; !known {
			f.drainingSince[name] = time.Now().Add(SocketSlack) // until the last agent has told it
		}
	}
	f.mu.Unlock()
	for _, d := range f.Gateways {
		for _, i := range backends {
			d.Agent.Set(f.endpoint(d, i, health))
		}
	}
}

// Close ends all that runs.
func (f *Fleet) Close() {
	for _, d := range f.Gateways {
		if d.Process != nil && d.Process.Alive() {
			d.Process.Kill()
		}
	}
	for _, c := range slices.Backward(f.closers) {
		c()
	}
}

// note puts a line into the trace.
func (f *Fleet) tracef(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.trace = append(f.trace, fmt.Sprintf("%8.3f ", time.Since(f.startedAt).Seconds())+fmt.Sprintf(format, args...))
}

// Trace is what has happened, a line each.
func (f *Fleet) Trace() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return strings.Join(f.trace, "\n")
}

// Stale are the attempts that reached backends later than the grace after their drain was told, and before it was over.
func (f *Fleet) StaleAttempts() (out []fakes.Attempt) {
	f.mu.Lock()
	all := slices.Clone(f.pastDrains)
	for name, from := range f.drainingSince {
		all = append(all, drainPeriod{name, from, time.Now()})
	}
	f.mu.Unlock()
	for _, a := range f.Ledger.Attempts() {
		if slices.ContainsFunc(all, func(d drainPeriod) bool {
			return d.backend == a.Backend && a.At.After(d.from.Add(DrainGrace+SocketSlack)) && a.At.Before(d.to)
		}) {
			out = append(out, a)
		}
	}
	return out
}

// Fallen is how many backends were sent too much while they were cold.
func (f *Fleet) OverloadedBackends() (n int) {
	for _, b := range f.Backends {
		if b.Overloaded() {
			n++
		}
	}
	return n
}
