package sim

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"pumicecroft/decision"
	"pumicecroft/membership"
)

// shape is the size of a run.
type shape struct {
	doors, backends, cells, customers int
	length                            time.Duration
	rate                              float64 // asks a second of each customer
	canCancel, meter                  bool
	fallMultiple                      float64
	fallFor                           time.Duration
}

// Mutants are planted bugs, each of which some invariant must catch.
var Mutants = []string{"drain window of 3 s", "cold clock lost", "deadlines taken as they come, late", "call-offs forgotten", "timers lost",
	"a broken attempt counts as never sent", "keyed repeats anywhere", "no ceiling", "a client's leaving ends twice"}

// Options of a run. The zero value is a run as its seed has it.
type Options struct {
	Script *Script      // in place of the seed's
	Mutant string       // one of Mutants
	Trace  func(string) // takes each line
	Steps  int          // at the most; 200,000
}

// Result is what came of a run.
type Result struct {
	Seed                          uint64
	Script                        Script
	Violations                    []Violation // at most one step's
	Hash                          uint64      // of the trace
	Steps                         int
	Simulated                     time.Duration
	Served, Refused, Failed, Lost int
	Counted, Left                 int // attempts that a door has counted; that have left it
}

// runner is one run.
type runner struct {
	*world
	check    check
	shape    shape
	mutant   string
	doors    []*door
	backends []*backend
	byName   map[string]*backend
	waiting  map[*backend][]*attempt
	meters   map[int]*meter
	floods   map[int]bool
	leaving  map[int]float64
	asked    uint64
	over     bool // nothing is asked any more
}

type meter struct {
	period    int64
	now, last float64
}

// Run makes the run of a seed.
func Run(seed uint64, o Options) Result {
	r := &runner{world: newWorld(seed, o.Trace), mutant: o.Mutant, byName: map[string]*backend{}, waiting: map[*backend][]*attempt{}, meters: map[int]*meter{},
		floods: map[int]bool{}, leaving: map[int]float64{}}
	r.check.w = r.world
	rng := r.chance(0)
	r.shape = shape{doors: 1 + rng.IntN(3), backends: 2 + rng.IntN(5), cells: 1 + rng.IntN(2), customers: 2 + rng.IntN(4),
		length: between(rng, 4*time.Second, 10*time.Second), rate: 5 + 25*rng.Float64(), canCancel: rng.IntN(4) > 0, meter: rng.IntN(2) == 0}
	r.shape.fallMultiple, r.shape.fallFor = 4, 3*time.Second // the platform's, and a frailer fleet
	if rng.IntN(2) == 0 {
		r.shape.fallMultiple, r.shape.fallFor = 2.5, time.Second
	}
	script := draw(rng, &r.shape)
	if o.Script != nil {
		script = *o.Script
	}
	var cells []*cell
	for i := range r.shape.cells {
		cells = append(cells, &cell{number: i, keys: map[uint64]time.Duration{}})
	}
	for i := range r.shape.backends {
		b := &backend{w: r.world, c: &r.check, number: i, cell: cells[i%len(cells)], up: true, fallMultiple: r.shape.fallMultiple, fallFor: r.shape.fallFor}
		r.backends, r.byName[b.name()] = append(r.backends, b), b
	}
	for i := range r.shape.doors {
		d := &door{w: r.world, c: &r.check, r: r, number: i}
		for _, b := range r.backends {
			d.last.Nodes = append(d.last.Nodes, b.node())
		}
		d.boot()
		r.doors = append(r.doors, d)
	}
	for _, f := range script {
		r.after(f.At, func() { r.begin(f) })
	}
	for c := range r.shape.customers {
		r.asking(c, r.chance(3, uint64(c)))
	}
	r.after(r.shape.length, func() { r.over = true })
	steps := o.Steps
	if steps <= 0 {
		steps = 200_000
	}
	r.watch()
	// Long enough after the last ask for everything to end by itself, faults, restarts and the longest deadline among it.
	r.run(start+r.shape.length+15*time.Second, steps)
	if len(r.found) == 0 && r.steps < steps {
		r.check.atRest(r.doors)
	}
	return Result{Seed: seed, Script: script, Violations: r.found, Hash: r.hash, Steps: r.steps, Simulated: r.now - start,
		Served: r.check.served, Refused: r.check.refused, Failed: r.check.failed, Lost: r.check.lost, Counted: r.check.counted, Left: r.check.gone}
}

// watch looks at what is owed, every few milliseconds.
func (r *runner) watch() {
	r.check.owed()
	r.after(5*time.Millisecond, r.watch)
}

func (b *backend) name() string { return fmt.Sprintf("b%d", b.number) }

// node is what discovery says of a backend.
func (b *backend) node() membership.Node {
	n := membership.Node{Name: b.name(), Addr: b.name(), Cell: b.cell.number, Weight: 1, Started: day(b.born)}
	if b.draining || !b.up {
		n.State = decision.Draining
	}
	return n
}

// settings are a door's.
func (r *runner) settings(me int) decision.Settings {
	class := func(name string, e decision.Effect) decision.Class {
		c := decision.Class{Name: name, Effect: e, Group: decision.GroupCell, KeyWindow: keyWindow, Aim: time.Second, Deadline: 3 * time.Second, Worth: 1}
		if r.mutant == "keyed repeats anywhere" {
			c.Group = decision.GroupAll
		}
		return c
	}
	flagship := decision.Plan{Name: "flagship", Rate: 15, Burst: 20, Price: 2, CeilingRate: ceilingRate, CeilingBurst: ceilingBurst, CeilingSlack: ceilingSlack}
	if r.mutant == "no ceiling" {
		flagship = decision.Plan{Name: "flagship", Rate: 1000, Burst: 1000, Price: 2}
	}
	s := decision.Settings{FrontDoors: r.shape.doors, Me: me, MaxAttempts: 3, CanCancel: r.shape.canCancel, MaxRetryAfter: time.Second,
		AnswerGrace: 50 * time.Millisecond, DrainGrace: drainGrace, ColdFrom: coldFrom, WarmWithin: warmWithin, FallMultiple: r.shape.fallMultiple, FallFor: r.shape.fallFor,
		Classes: []decision.Class{class("look", decision.Safe), class("pay", decision.Keyed), class("once", decision.Unsafe)},
		Plans:   []decision.Plan{{Name: "shop", Rate: 40, Burst: 60, Price: 1}, flagship}}
	if r.shape.meter {
		s.MeterPeriod = 500 * time.Millisecond
	}
	return s
}

func (r *runner) plan(customer int) string {
	if customer == flagshipAsker {
		return "flagship"
	}
	return "shop"
}

// use is the meter's word on a customer.
func (r *runner) use(customer int) (percent float64, has bool) {
	if !r.shape.meter {
		return 0, false
	}
	rate := 40.0
	if customer == flagshipAsker {
		rate = 15
	}
	return 100 * r.meterOf(customer).last / (rate * 0.5), true
}

func (r *runner) meterOf(customer int) *meter {
	m := r.meters[customer]
	if m == nil {
		m = &meter{}
		r.meters[customer] = m
	}
	if p := int64(r.now / (500 * time.Millisecond)); p != m.period {
		m.last = 0
		if p == m.period+1 {
			m.last = m.now
		}
		m.period, m.now = p, 0
	}
	return m
}

// asking has a customer's clients ask.
func (r *runner) asking(customer int, rng *rand.Rand) {
	rate := r.shape.rate
	if r.floods[customer] {
		rate *= 12
	}
	r.after(time.Duration(rng.ExpFloat64()/rate*float64(time.Second)), func() {
		if r.over {
			return
		}
		r.asked++
		class := []string{"look", "look", "pay", "once"}[rng.IntN(4)]
		a := &ask{class: class, key: r.asked, customer: customer, timeout: between(rng, 300*time.Millisecond, 2500*time.Millisecond)}
		r.ask(a, rng.IntN(r.shape.doors), 1)
		r.asking(customer, rng)
	})
}

// ask sends a client's try to a door, or another one if that is down.
func (r *runner) ask(a *ask, at, tries int) {
	d := r.doors[at]
	if !d.up {
		if at = (at + 1) % len(r.doors); tries < len(r.doors) {
			r.ask(a, at, tries+1)
		}
		return
	}
	a.id = mix(r.seed ^ r.askID())
	a.door = d
	epoch := d.epoch
	d.do(func() {
		r.meterOf(a.customer).now++
		d.arrive(a)
	})
	if share := r.leaving[a.customer]; share > 0 {
		if rng := r.chance(4, a.id); rng.Float64() < share {
			r.after(between(rng, 0, a.timeout), func() {
				if epoch != d.epoch || a.finals > 0 {
					return
				}
				d.do(func() {
					d.w.tell("the client of %x leaves", a.id)
					d.carry(d.core.Leave(r.now, a, decision.RequestID(a.id)))
					if r.mutant == "a client's leaving ends twice" && a.finals > 0 {
						d.c.final(a, "left")
					}
				})
			})
		}
	}
}

func (r *runner) askID() uint64 {
	r.asked++
	return r.asked << 20
}

// answered is a client that has its answer: a refusal is tried once more, through another door maybe.
func (r *runner) answered(a *ask, verdict string, wait time.Duration) {
	if verdict != "refused" || r.over {
		return
	}
	rng := r.chance(5, a.id)
	if rng.IntN(2) == 0 {
		return
	}
	again := &ask{class: a.class, key: a.key, customer: a.customer, timeout: a.timeout}
	at := rng.IntN(r.shape.doors)
	r.after(wait+between(rng, 0, 20*time.Millisecond), func() {
		if !r.over {
			r.ask(again, at, 1)
		}
	})
}

// begin begins a fault, and plans its end.
func (r *runner) begin(f Fault) {
	r.tell("fault: %v", f)
	end := func(do func()) { r.after(f.For, func() { r.tell("over: %v", f); do() }) }
	switch f.Kind {
	case Drain:
		b := r.backends[f.Target]
		b.draining = true
		r.push(b)
		end(func() { b.draining = false; r.push(b) })
	case Restart:
		b := r.backends[f.Target]
		b.die()
		r.broke(b)
		r.push(b)
		end(func() { b.restart(); r.push(b) })
	case Pause:
		r.doors[f.Target].pause(f.For)
	case Kill:
		r.kill(f)
	case KillCounting, KillAnswering:
		r.doors[f.Target].traps[f.Kind-KillCounting] = func() { r.kill(f) }
	case ListLag:
		d := r.doors[f.Target]
		d.lag = f.For
		end(func() { d.lag = 0 })
	case MeterLoss:
		d := r.doors[f.Target]
		d.deaf = true
		end(func() { d.deaf = false })
	case Flood:
		r.floods[f.Target] = true
		end(func() { r.floods[f.Target] = false })
	case Leaving:
		r.leaving[f.Target] = f.Share
		end(func() { r.leaving[f.Target] = 0 })
	default:
		b := r.backends[f.Target]
		b.faults[f.Kind] = f.Share
		end(func() { b.faults[f.Kind] = 0 })
	}
}

// kill kills a door, which is back after the fault's time.
func (r *runner) kill(f Fault) {
	d := r.doors[f.Target]
	if !d.up {
		return
	}
	r.tell("door %d is killed", f.Target)
	d.kill()
	r.after(f.For, func() { r.tell("door %d is back", f.Target); d.boot() })
}

// broke ends the connections to a process that has died.
func (r *runner) broke(b *backend) {
	for _, try := range r.waiting[b] {
		try.door.later(time.Millisecond, try, decision.Broken)
	}
	r.waiting[b] = nil
}

// push has discovery tell all doors of a backend, a little late, later where it lags.
func (r *runner) push(b *backend) {
	n := b.node()
	for _, d := range r.doors {
		lag := between(r.chance(6, uint64(d.number), uint64(r.now)), 5*time.Millisecond, 300*time.Millisecond) + d.lag
		r.after(lag, func() {
			news := membership.List{Nodes: []membership.Node{n}}
			d.last = merge(d.last, news) // discovery holds it, whoever listens
			d.do(func() { d.heard(news) })
		})
	}
}

// Shrink takes faults out of a failing run's script, and shortens those left, as long as the same rule breaks. It gives the
// smallest that it found.
func Shrink(res Result, o Options) Result {
	if len(res.Violations) == 0 {
		return res
	}
	rule, best := res.Violations[0].Rule, res
	try := func(s Script) bool {
		o.Script = &s
		got := Run(res.Seed, o)
		if len(got.Violations) == 0 || got.Violations[0].Rule != rule {
			return false
		}
		best = got
		return true
	}
	for i := range best.Script {
		for range 4 {
			s := slices.Clone(best.Script)
			s[i].For /= 2
			if !try(s) {
				break
			}
		}
	}
	for size := max(1, len(best.Script)/2); size >= 1; {
		took := false
		for i := 0; i < len(best.Script); {
			if try(slices.Delete(slices.Clone(best.Script), i, min(i+size, len(best.Script)))) {
				took = true
			} else {
				i += size
			}
		}
		if size > 1 || !took { // in the end no single one may be left out
			size /= 2
		}
	}
	return best
}
