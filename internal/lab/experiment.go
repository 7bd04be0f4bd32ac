// Package lab shows what a change does: it runs experiments in an emulated region (internal/region), many at once, keeps what came
// of each run, compares ways in pairs (internal/paired), and reports with plots. experiment.go reads an experiment's file, emulate.go
// runs one region, runs.go all runs of an experiment, rows.go keeps what came of them, compare.go and report.go read them.
//
// It touches files in the directory that it is given, and processors. What a run comes to hangs on its cell and seed alone.
package lab

import (
	"encoding/json"
	"fmt"
	"maps"
	"math"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"pumicecroft/decision"
	"pumicecroft/internal/emulator"
	"pumicecroft/internal/eventqueue"
	"pumicecroft/internal/settings"

	"github.com/cespare/xxhash/v2"
)

// Factor is something that differs between runs.
type Factor struct {
	Name   string
	Levels []Level
}

// Level is one of the ways that a factor may be: keys of [region] and their values.
type Level struct {
	Name string
	Set  map[string]any
}

// Cell is one level of each factor.
type Cell struct {
	Levels []string // by factor
	Config emulator.Config
}

// Experiment is what an experiment's file says.
type Experiment struct {
	Name        string
	Seed        uint64
	Repetitions int
	Figures     []string // that are shown first
	Factors     []Factor
	Cells       []Cell // every combination, the last factor's levels in turn
	Digest      string // of all but the repetitions: runs of another one are not of this experiment

	text   []byte
	traces map[string][]byte // by the path that the file names
}

// mostCells bounds an experiment.
const maxCells = 10_000

// SeedOf is a repetition's, the same in all cells: differences between them are paired.
func (e *Experiment) SeedOf(repetition int) uint64 {
	return eventqueue.Mix(e.Seed + uint64(repetition))
}

// Parse reads an experiment's file. trace gives what a trace's file holds; all that is wrong comes in one error, settings.Problems.
func Parse(text []byte, trace func(path string) ([]byte, error)) (*Experiment, error) {
	d, err := settings.Parse(text)
	if err != nil {
		return nil, err
	}
	top := d.Top()
	e := &Experiment{Name: top.Text("name", true), Seed: uint64(top.Int("seed", 1, 0, math.MaxInt)), Repetitions: top.Int("repetitions", 10, 1, 100_000), text: text}
	e.Figures = top.Texts("figures")
	for _, name := range e.Figures {
		if FigureByName(name) == nil {
			d.Problemf("", "figures", "%q is none of %s", name, strings.Join(FigureNames(), ", "))
		}
	}
	if len(e.Figures) == 0 {
		e.Figures = defaultFigures
	}
	seen := map[string]bool{}
	cells := 1
	for _, f := range top.List("factor") {
		out := Factor{Name: f.Text("name", true)}
		if seen[out.Name] {
			d.Problemf(f.Path, "name", "%q is there twice", out.Name)
		}
		seen[out.Name] = true
		levels := map[string]bool{}
		for _, l := range f.List("level") {
			v := Level{Name: l.Text("name", true)}
			if levels[v.Name] {
				d.Problemf(l.Path, "name", "%q is there twice", v.Name)
			}
			levels[v.Name] = true
			set := l.Table("set")
			if v.Set = set.Keys; v.Set == nil {
				v.Set = map[string]any{}
			}
			l.RejectUnknownKeys()
			out.Levels = append(out.Levels, v)
		}
		if len(out.Levels) == 0 {
			d.Problemf(f.Path, "level", "there is none: [[factor.level]] with a name and what it sets")
		}
		f.RejectUnknownKeys()
		e.Factors = append(e.Factors, out)
		if cells *= max(1, len(out.Levels)); cells > maxCells {
			d.Problemf(f.Path, "level", "more than %d cells", maxCells)
			return nil, d.Err()
		}
	}
	top.Table("region")
	top.RejectUnknownKeys()
	if err := d.Err(); err != nil {
		return nil, err
	}
	e.traces = map[string][]byte{}
	sums := map[string]uint64{}
	arrivals := map[string][]emulator.Arrival{}
	read := func(path string) (out []emulator.Arrival, err error) {
		if out, there := arrivals[path]; there {
			return out, nil
		}
		text, err := trace(path)
		if err == nil {
			out, err = ReadTrace(text)
		}
		if err == nil {
			arrivals[path], e.traces[path], sums[path] = out, text, xxhash.Sum64(text)
		}
		return out, err
	}
	for n := range cells {
		if err := e.addCell(text, n, read); err != nil {
			return nil, err
		}
	}
	digest := maps.Clone(d.Root)
	delete(digest, "repetitions")
	digest["traces"] = sums
	canonical, err := json.Marshal(digest) // keys come sorted
	if err != nil {
		return nil, fmt.Errorf("an experiment that can't be told from others: %w", err)
	}
	e.Digest = fmt.Sprintf("%016x", xxhash.Sum64(canonical))
	return e, nil
}

// cell reads the region of one combination of levels. What a level sets stands where the file has the level.
func (e *Experiment) addCell(text []byte, n int, trace func(path string) ([]emulator.Arrival, error)) error {
	d, err := settings.Parse(text)
	if err != nil {
		return err
	}
	c := Cell{Levels: make([]string, len(e.Factors))}
	base, _ := d.Root["region"].(map[string]any)
	if base == nil {
		base = map[string]any{}
		d.Root["region"] = base
	}
	for i := len(e.Factors) - 1; i >= 0; i-- {
		f := e.Factors[i]
		j := n % len(f.Levels)
		n /= len(f.Levels)
		l := f.Levels[j]
		c.Levels[i] = l.Name
		at := fmt.Sprintf("factor[%d].level[%d]", i, j)
		for _, key := range slices.Sorted(maps.Keys(l.Set)) {
			if err := setPath(base, strings.Split(key, "."), l.Set[key]); err != nil {
				d.Problemf(at, "set", "%s: %v", key, err)
				continue
			}
			line := d.Line(at + ".set")
			if line == 0 {
				line = d.Line(at)
			}
			d.SetLine("region."+key, line)
		}
	}
	readRegion(d, d.Top().Table("region"), &c.Config, trace)
	if err := d.Err(); err != nil {
		return err
	}
	if err := c.Config.Validate(); err != nil {
		d.Problemf("region", "", "%v", err)
		return d.Err()
	}
	e.Cells = append(e.Cells, c)
	return nil
}

// put sets a value by its path.
func setPath(m map[string]any, path []string, v any) error {
	for i, p := range path[:len(path)-1] {
		next, there := m[p]
		if !there {
			next = map[string]any{}
			m[p] = next
		}
		table, ok := next.(map[string]any)
		if !ok {
			return fmt.Errorf("%s is no table", strings.Join(path[:i+1], "."))
		}
		m = table
	}
	m[path[len(path)-1]] = v
	return nil
}

const (
	unbounded = 1 << 40
	day       = 24 * time.Hour
)

// readRegion reads [region].
func readRegion(d *settings.Document, s *settings.Section, c *emulator.Config, trace func(path string) ([]emulator.Arrival, error)) {
	c.Gateways = s.Int("doors", 10, 1, 4096)
	c.Policy = emulator.Policies[s.OneOf("policy", emulator.PolicyEngine, emulator.Policies...)]
	c.Duration = s.Duration("length", time.Minute, time.Second, day)
	c.Warmup = s.Duration("warmup", 10*time.Second, 0, day)
	c.UpdateInterval = s.Duration("lists", 500*time.Millisecond, time.Millisecond, time.Hour)
	c.CounterLoss = s.Float("counter_loss", 0, 0, 1)
	c.RateLimit = s.Float("limit", 0, 0, unbounded)
	y := s.Table("counter")
	c.Counter = emulator.Counter{Rate: y.Float("rate", 0, 0, 1e9), MaxWait: y.Duration("queue", 30*time.Millisecond, 0, time.Minute),
		Timeout: y.Duration("patience", 100*time.Millisecond, time.Millisecond, time.Minute)}
	y.RejectUnknownKeys()
	n := s.Table("network")
	c.Network = emulator.Network{MinDelay: n.Duration("least", 250*time.Microsecond, 10*time.Microsecond, time.Second), MeanExtraDelay: n.Duration("more", 250*time.Microsecond, 0, time.Second)}
	n.RejectUnknownKeys()
	b := s.Table("backends")
	c.Backends = emulator.Backends{Count: b.Int("count", 100, 1, 100_000), Zones: b.Int("zones", 2, 1, 1000), Concurrency: b.Int("slots", 8, 1, 100_000),
		MaxQueue: b.Int("queue", 32, 0, 100_000), ConnectTimeout: b.Duration("connect", 250*time.Millisecond, time.Millisecond, time.Minute),
		RestartTime: b.Duration("restart", 5*time.Second, time.Millisecond, time.Hour)}
	c.Backends.Cells = b.Int("cells", max(1, c.Backends.Count/8), 1, 100_000)
	c.Backends.Service = emulator.Distribution{Shape: emulator.Shape(b.OneOf("service", "exponential", "constant", "exponential", "lognormal", "pareto")),
		Mean: b.Duration("mean", 40*time.Millisecond, time.Microsecond, time.Hour), Spread: b.Float("spread", 0, 0, 100), Cutoff: b.Float("cut", 0, 0, 1e6)}
	b.RejectUnknownKeys()
	k := s.Table("clients")
	c.Clients = emulator.Clients{Customers: k.Int("customers", 1000, 1, 10_000_000), ZipfExponent: k.Float("zipf", 0, 0, 10), UniformShare: k.Float("strangers", 0, 0, 1),
		GatewaySpread: k.Int("spread", 2, 1, 4096), Cost: k.Float("units", 1, 1e-6, 1e6), MaxTries: k.Int("tries", 3, 1, 100), FollowRetryAfter: k.Float("follow", 1, 0, 1),
		Backoff: k.Duration("backoff", 100*time.Millisecond, 0, time.Minute)}
	k.RejectUnknownKeys()
	a := s.Table("arrivals")
	c.Arrivals = emulator.Arrivals{Rate: a.Float("rate", 1000, 1e-6, 1e7), BurstFactor: a.Float("burst", 0, 0, 1000), MeanBurst: a.Duration("burst_for", time.Second, time.Millisecond, day),
		MeanCalm: a.Duration("calm", 10*time.Second, time.Millisecond, day), Period: a.Duration("day", 0, 0, day), Amplitude: a.Float("depth", 0, 0, 1)}
	path := a.Text("trace", false)
	a.RejectUnknownKeys()
	readSettings(s, c)
	for _, f := range s.List("fault") {
		kind := emulator.FaultKind(f.OneOf("kind", "", emulator.FaultKindNames...))
		if _, there := f.Get("kind"); !there {
			d.Problemf(f.Path, "kind", "it is missing")
		}
		c.Faults = append(c.Faults, emulator.Fault{Kind: kind, At: f.Duration("at", 0, 0, day), Duration: f.Duration("for", 10*time.Second, time.Millisecond, day),
			Zone: f.Int("zone", 0, 0, 1000), Magnitude: f.Float("by", 1, 0, 1e6), Share: f.Float("share", 0, 0, 1000)})
		f.RejectUnknownKeys()
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

// readRules reads classes, plans and what else the decision module is told.
func readSettings(s *settings.Section, c *emulator.Config) {
	g := s.Table("settings")
	set := &c.Settings
	*set = decision.Settings{GatewayCount: c.Gateways, CanCancel: g.Bool("can_cancel", true), MaxAttempts: g.Int("max_attempts", 3, 1, 100),
		MaxRetryAfter: g.Duration("max_retry_after", time.Second, 0, time.Hour), ResponseGrace: 50 * time.Millisecond,
		DrainGrace: g.Duration("drain_grace", 2*time.Second, 0, time.Hour), SlowStartMinCapacity: g.Float("cold_from", 0.2, 0, 1),
		SlowStartWindow: g.Duration("warm_within", 14*time.Second, 0, time.Hour), OverloadFactor: g.Float("fall_multiple", 4, 0, 1000),
		OverloadDuration: g.Duration("fall_for", 3*time.Second, 0, time.Hour)}
	if g.Bool("meter", true) {
		set.UsagePeriod = 500 * time.Millisecond
	}
	g.RejectUnknownKeys()
	for _, e := range s.List("class") {
		k := decision.Class{Name: e.Text("name", true), Idempotency: decision.Idempotency(e.OneOf("effect", "safe", "safe", "keyed", "unsafe")),
			DedupScope: decision.DedupScope(e.OneOf("group", "all", "all", "zone", "cell")), DedupWindow: e.Duration("key_window", 0, 0, day),
			Deadline: e.Duration("deadline", 3*time.Second, time.Millisecond, time.Hour), PriorityWeight: e.Float("worth", 1, 0, unbounded), LateWeightFactor: e.Float("late_worth", 0, 0, 1)}
		k.LatencyObjective = e.Duration("aim", k.Deadline/3, time.Millisecond, time.Hour)
		set.Classes = append(set.Classes, k)
		c.Clients.Classes = append(c.Clients.Classes, emulator.Share{Name: k.Name, Weight: e.Float("share", 1, 0, 1e6)})
		e.RejectUnknownKeys()
	}
	for _, e := range s.List("plan") {
		p := decision.Plan{Name: e.Text("name", true), Rate: e.Float("rate", 0, 0, unbounded), Burst: e.Float("burst", 0, 0, unbounded), Price: e.Float("price", 1, 0, unbounded),
			OverQuotaWeightFactor: e.Float("over_worth", 0, 0, 1), OverQuotaCostFactor: e.Float("over_cost", 0, 0, 1000),
			HardLimitRate: e.Float("ceiling_rate", 0, 0, unbounded), HardLimitBurst: e.Float("ceiling_burst", 0, 0, unbounded), HardLimitOverdraft: e.Float("ceiling_slack", 0, 0, unbounded)}
		set.Plans = append(set.Plans, p)
		c.Clients.Plans = append(c.Clients.Plans, emulator.Share{Name: p.Name, Weight: e.Float("share", 1, 0, 1e6)})
		e.RejectUnknownKeys()
	}
	if len(set.Classes) == 0 {
		set.Classes, c.Clients.Classes = []decision.Class{{Name: "look", LatencyObjective: time.Second, Deadline: 3 * time.Second, PriorityWeight: 1}}, []emulator.Share{{Name: "look", Weight: 1}}
	}
	if len(set.Plans) == 0 {
		set.Plans, c.Clients.Plans = []decision.Plan{{Name: "everyone", Price: 1}}, []emulator.Share{{Name: "everyone", Weight: 1}}
	}
}

// ReadFile reads an experiment's file; traces are found beside it.
func ReadFile(path string) (*Experiment, error) {
	return read(path, readTraceBeside(filepath.Dir(path)))
}

func read(path string, trace func(string) ([]byte, error)) (*Experiment, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	e, err := Parse(text, trace)
	if err != nil {
		return nil, fmt.Errorf("%s:\n%w", path, err)
	}
	return e, nil
}
