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
const Most = 64

// Shape is a deployment.
type Shape struct {
	Seed             uint64
	Dir              string // for the doors' files
	Doors, Backends  int
	Sites            int           // 0: one; door and backend i are in site i modulo that
	Work             time.Duration // of a request, at a warm backend
	Slots, Queue     int           // of a backend
	Rate, Burst      float64       // of the plan "shop"; "big" is without bounds
	Ceiling          float64       // units a second of the plan "flagship", and twice that at once; 0: no such plan
	Counter, Meter   bool
	Warm             time.Duration // until a backend that has started has all of its capacity; 0: at once
	Relayed          bool          // doors reach backends, discovery and counter over relays
	MaxRetryAfter    time.Duration
	Aim, Deadline    time.Duration
	Descriptors, MiB int
	Keeps            bool // doors serve by an operator's file, and keep their state in a directory each
}

// Door is one door of a fleet.
type Door struct {
	Number  int
	Name    string
	Site    int
	Addr    string // where its clients reach it; the same for each of its processes
	Config  string // its file
	State   string // its directory for state; empty: it has none
	Process *Process
	Agent   *fakes.Discovery
	Watch   *Relay   // to its agent; nil if nothing is relayed
	Tally   *Relay   // to the counter
	To      []*Relay // to each backend
}

// Fleet is a deployment that runs.
type Fleet struct {
	Shape    Shape
	Doors    []*Door
	Backends []*fakes.Backend
	Ledger   *fakes.Ledger
	Counter  *fakes.Counter
	Meter    *fakes.Meter
	// Meanwhile is done while doors that were killed are away, before they are back.
	Meanwhile func(f *Fleet) error
	begun     time.Time
	playedAt  time.Time // when Play began

	mu      sync.Mutex
	trace   []string
	told    map[string]time.Time // since when a backend has been told to drain, or to be gone, by name
	drained []drained            // those that are over
	in      map[int]bool         // doors that clients are sent to
	back    time.Time            // when the last process that was started had its first client
	ends    []load.End
	closers []func()
}

// drained is a time in which a backend was told to drain.
type drained struct {
	backend  string
	from, to time.Time
}

// New puts a deployment together, and starts no door.
func New(s Shape) (f *Fleet, err error) {
	if s.Doors < 1 || s.Doors > Most || s.Backends < 1 {
		return nil, fmt.Errorf("rig: %d doors and %d backends", s.Doors, s.Backends)
	}
	s.Sites = max(1, s.Sites)
	f = &Fleet{Shape: s, Ledger: &fakes.Ledger{}, begun: time.Now(), told: map[string]time.Time{}, in: map[int]bool{}}
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
	for i := range s.Doors {
		d := &Door{Number: i, Name: fmt.Sprint("door-", i), Site: i % s.Sites}
		f.Doors = append(f.Doors, d)
		if d.Addr, err = free(f.host(d)); err != nil {
			return nil, err
		}
		if d.Agent, err = fakes.StartDiscovery(); err != nil {
			return nil, err
		}
		f.closers = append(f.closers, d.Agent.Close)
		if s.Relayed {
			if d.Watch, err = f.relay(d, d.Agent.Addr()); err != nil {
				return nil, err
			}
			for _, b := range f.Backends {
				r, err := f.relay(d, b.Addr())
				if err != nil {
					return nil, err
				}
				d.To = append(d.To, r)
			}
			if f.Counter != nil {
				if d.Tally, err = f.relay(d, f.Counter.Addr()); err != nil {
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
func (f *Fleet) host(d *Door) string {
	return fmt.Sprintf("127.%d.%d.%d", 20+d.Site, 1+d.Number/200, 2+d.Number%200)
}

// free finds a port that is free at a host, which nobody else uses.
func free(host string) (string, error) {
	ln, err := net.Listen("tcp", host+":0")
	if err != nil {
		return "", err
	}
	defer ln.Close()
	return ln.Addr().String(), nil
}

func (f *Fleet) relay(d *Door, target string) (*Relay, error) {
	r, err := NewRelay(f.host(d), target, f.Shape.Seed+uint64(len(f.closers)))
	if err == nil {
		f.closers = append(f.closers, r.Close)
	}
	return r, err
}

func backendName(i int) string { return fmt.Sprint("b", i) }

// addBackend starts backend i, in place of the one before it if there was one.
func (f *Fleet) addBackend(i int, cold bool) error {
	s := f.Shape
	b, err := fakes.StartBackend(fakes.BackendConfig{Name: backendName(i), Zone: fmt.Sprint("site-", i%s.Sites), Kind: "m", Cell: &fakes.Cell{Number: i, Window: 5 * time.Second},
		Slots: s.Slots, Queue: s.Queue, Work: func(string) time.Duration { return s.Work }, Keyed: func(class string) bool { return class == "pay" },
		ColdFrom: 0.2, WarmWithin: s.Warm, FallMultiple: 4, FallFor: time.Second, Cold: cold, Ledger: f.Ledger, Meter: f.Meter})
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
func (f *Fleet) endpoint(d *Door, i int, health string) platform.Endpoint {
	e := f.Backends[i].Endpoint()
	e.Health = health
	if f.Shape.Relayed {
		e.Addr = d.To[i].Addr()
	}
	return e
}

// discovery is where a door finds its agent.
func (d *Door) discovery() string {
	if d.Watch != nil {
		return d.Watch.Addr()
	}
	return d.Agent.Addr()
}

// config is a door's file as the platform writes it.
func (f *Fleet) config(d *Door) ([]byte, error) {
	s := f.Shape
	us := func(t time.Duration) int64 { return t.Microseconds() }
	type object = map[string]any
	tariffs := []object{{"name": "shop", "units_per_s": s.Rate, "burst": s.Burst, "value_factor": 1}, {"name": "big", "value_factor": 1}}
	if s.Ceiling > 0 {
		tariffs = append(tariffs, object{"name": "flagship", "units_per_s": s.Ceiling, "burst": 2 * s.Ceiling, "value_factor": 2, "ceiling_rate": s.Ceiling,
			"never_over_depth": 2 * s.Ceiling, "cap_slack": s.Ceiling / 4})
	}
	family := object{"largest": 1}
	counter := ""
	if f.Meter != nil {
		family["meter_period_us"] = 500_000
	}
	if f.Counter != nil {
		family["has_counter"], family["count_limit_us"], counter = true, 30_000, f.Counter.Addr()
	}
	if d.Tally != nil {
		counter = d.Tally.Addr()
	}
	lane := func(name, effect string, gain float64) object {
		return object{"name": name, "effect": effect, "group": "cell", "key_ttl_us": 5_000_000, "goal_time_us": us(s.Aim), "deadline_us": us(s.Deadline), "gain": gain}
	}
	list := d.Agent.List()
	return json.MarshalIndent(object{"name": d.Name, "listen": d.Addr, "discovery": d.discovery(), "counter": counter, "seed": strconv.FormatUint(s.Seed<<8+uint64(d.Number)+1, 16),
		"limits": object{"cores": 1, "memory_mb": s.MiB, "sockets": s.Descriptors}, "known": list,
		"settings": object{"balancers": s.Doors, "me": d.Number, "discovery": "pushed", "lanes": []object{lane("look", "retryable", 1), lane("pay", "dedup", 5)}, "tariffs": tariffs, "family_info": family,
			"policy_limits": object{"cancel": true, "max_attempts": 3, "retry_after": true, "max_retry_after_us": us(s.MaxRetryAfter), "conn_idle_us": 15_000_000, "connect_timeout_us": 250_000},
			"obligations":   object{"grace_to_answer_us": 50_000, "stop_sending_within_us": us(Grace), "cold_from": 0.2, "warm_within_us": us(s.Warm), "fall_multiple": 4, "fall_us": 1_000_000}}}, "", " ")
}

// file is a door's file as an operator writes it.
func (f *Fleet) file(d *Door) ([]byte, error) {
	s := f.Shape
	if d.State == "" {
		d.State = filepath.Join(s.Dir, "state-"+d.Name)
	}
	type object = map[string]any
	class := func(name, effect string, worth float64) object {
		c := object{"name": name, "effect": effect, "aim": s.Aim.String(), "deadline": s.Deadline.String(), "worth": worth}
		if effect == "keyed" {
			c["group"], c["key_window"] = "cell", "5s"
		}
		return c
	}
	plans := []object{{"name": "shop", "rate": s.Rate, "burst": s.Burst, "price": 1.0}, {"name": "big", "price": 1.0}}
	if s.Ceiling > 0 {
		plans = append(plans, object{"name": "flagship", "rate": s.Ceiling, "burst": 2 * s.Ceiling, "price": 2.0, "ceiling_rate": s.Ceiling, "ceiling_burst": 2 * s.Ceiling,
			"ceiling_slack": s.Ceiling / 4})
	}
	door := object{"number": d.Number, "of": s.Doors, "max_retry_after": s.MaxRetryAfter.String(), "largest_units": 1.0, "drain_grace": Grace.String(), "warm_within": s.Warm.String(),
		"fall_multiple": 4.0, "fall_for": "1s"}
	if f.Meter != nil {
		door["meter_period"] = "500ms"
	}
	return toml.Marshal(object{"listen": d.Addr, "state_dir": d.State, "sources": []string{"discovery"}, "door": door, "discovery": object{"address": d.discovery()},
		"class": []object{class("look", "safe", 1), class("pay", "keyed", 5)}, "plan": plans})
}

// Grace is how long sends to a draining backend may go on after its door was told, and Slack what sockets add to it.
const (
	Grace = 2 * time.Second
	Slack = 50 * time.Millisecond
)

// Start starts doors, all at once, and waits until each answers /ready.
func (f *Fleet) Start(doors ...*Door) error {
	errs := make(chan error, len(doors))
	for _, d := range doors {
		go func() { errs <- f.start(d) }()
	}
	var err error
	for range doors {
		err = errors.Join(err, <-errs)
	}
	return err
}

func (f *Fleet) start(d *Door) error {
	write, args, env := f.config, []string(nil), []string(nil)
	if f.Shape.Keeps {
		write = f.file
	}
	text, err := write(d)
	if err != nil {
		return err
	}
	if d.Config = filepath.Join(f.Shape.Dir, d.Name+".conf"); f.Shape.Keeps {
		args = []string{"serve", d.Config}
		err = os.MkdirAll(d.State, 0o700)
	} else {
		env = []string{"NODE_CONFIG=" + d.Config}
	}
	if err := errors.Join(err, os.WriteFile(d.Config, text, 0o600)); err != nil {
		return err
	}
	p, err := start(f.Shape.Descriptors, env, args...)
	if err != nil {
		return err
	}
	f.mu.Lock()
	d.Process = p
	f.mu.Unlock()
	if _, err := p.Await("listen=" + d.Addr); err != nil {
		return fmt.Errorf("%s: %w", d.Name, err)
	}
	client := &http.Client{Timeout: patience, Transport: &http.Transport{DisableKeepAlives: true}}
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
	f.in[d.Number] = true
	f.back = time.Now()
	return nil
}

// backAt is when the last door came back.
func (f *Fleet) backAt() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.back
}

// Kill kills doors in one moment.
func (f *Fleet) Kill(doors ...*Door) {
	f.out(doors...)
	for _, d := range doors {
		d.Process.Signal(syscall.SIGKILL)
	}
	for _, d := range doors {
		<-d.Process.gone
	}
}

func (f *Fleet) out(doors ...*Door) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, d := range doors {
		delete(f.in, d.Number)
	}
}

// Tell has all agents tell of backends: Ready, Terminating or Gone.
func (f *Fleet) Tell(health string, backends ...int) {
	f.mu.Lock()
	for _, i := range backends {
		name := backendName(i)
		if from, known := f.told[name]; known && health == "Ready" {
			f.drained = append(f.drained, drained{name, from, time.Now()})
			delete(f.told, name)
		} else if health == "Ready" {
			continue
		} else if _, known := f.told[name]; !known {
			f.told[name] = time.Now().Add(Slack) // until the last agent has told it
		}
	}
	f.mu.Unlock()
	for _, d := range f.Doors {
		for _, i := range backends {
			d.Agent.Set(f.endpoint(d, i, health))
		}
	}
}

// Close ends all that runs.
func (f *Fleet) Close() {
	for _, d := range f.Doors {
		if d.Process != nil && d.Process.Alive() {
			d.Process.Kill()
		}
	}
	for _, c := range slices.Backward(f.closers) {
		c()
	}
}

// note puts a line into the trace.
func (f *Fleet) note(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.trace = append(f.trace, fmt.Sprintf("%8.3f ", time.Since(f.begun).Seconds())+fmt.Sprintf(format, args...))
}

// Trace is what has happened, a line each.
func (f *Fleet) Trace() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return strings.Join(f.trace, "\n")
}

// Stale are the attempts that reached backends later than the grace after their drain was told, and before it was over.
func (f *Fleet) Stale() (out []fakes.Attempt) {
	f.mu.Lock()
	all := slices.Clone(f.drained)
	for name, from := range f.told {
		all = append(all, drained{name, from, time.Now()})
	}
	f.mu.Unlock()
	for _, a := range f.Ledger.Attempts() {
		if slices.ContainsFunc(all, func(d drained) bool {
			return d.backend == a.Backend && a.At.After(d.from.Add(Grace+Slack)) && a.At.Before(d.to)
		}) {
			out = append(out, a)
		}
	}
	return out
}

// Fallen is how many backends were sent too much while they were cold.
func (f *Fleet) Fallen() (n int) {
	for _, b := range f.Backends {
		if b.Fallen() {
			n++
		}
	}
	return n
}
