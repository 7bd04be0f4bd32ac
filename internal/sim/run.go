package sim

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"pumicecroft/decision"
	"pumicecroft/internal/simdisk"
)

// shape is the size of a run.
type shape struct {
	doors, backends, cells, customers int
	length                            time.Duration
	rate                              float64 // asks a second of each customer
	canCancel, meter                  bool
	fallMultiple                      float64
	fallFor                           time.Duration
	group                             decision.Group // of the keyed class
	keyWindow                         time.Duration
	discovery, catalogue, keeps       bool // the sources; whether the catalogue's list is kept on disk
	restless                          bool // the decision module's word is made more of
	conns, descriptors                int  // that a door may have
	idle                              time.Duration
	dropsWaiting                      bool // backends drop what waits when its connection ends
	mostOpen, mostAttempts, mostIDs   int
	forgets                           bool // so few ids that some are forgotten early
	aim, deadline                     time.Duration
	keys                              int           // bytes for keys at the edge; 0: none are recognised
	journal                           bool          // they are on disk
	grace                             time.Duration // for drains
}

// drawShape draws the size of a run.
func drawShape(rng *rand.Rand) shape {
	s := shape{doors: 1 + rng.IntN(3), backends: 2 + rng.IntN(5), cells: 1 + rng.IntN(2), customers: 2 + rng.IntN(4),
		length: between(rng, 4*time.Second, 10*time.Second), rate: 5 + 20*rng.Float64(), canCancel: rng.IntN(4) > 0, meter: rng.IntN(2) == 0,
		fallMultiple: platformFall, fallFor: 3 * time.Second, group: decision.Group(rng.IntN(3)),
		keyWindow: []time.Duration{5 * time.Second, 5 * time.Second, 400 * time.Millisecond, time.Second}[rng.IntN(4)],
		restless:  rng.IntN(3) == 0, conns: []int{4, 16, 64}[rng.IntN(3)], descriptors: 1000, idle: []time.Duration{15 * time.Second, time.Second}[rng.IntN(2)],
		aim: time.Second, deadline: 3 * time.Second,
		dropsWaiting: rng.IntN(2) == 0, mostOpen: []int{4096, 4096, 30}[rng.IntN(3)], mostAttempts: []int{16, 16, 2}[rng.IntN(3)], mostIDs: 4096}
	s.grace = []time.Duration{usualGrace, usualGrace, time.Second, 500 * time.Millisecond}[rng.IntN(4)]
	if rng.IntN(2) == 0 { // a frailer fleet than the platform's
		s.fallMultiple, s.fallFor = 2.5, time.Second
	}
	switch rng.IntN(4) {
	case 0:
		s.catalogue = true
	case 1:
		s.catalogue, s.discovery = true, true
	default:
		s.discovery = true
	}
	s.keeps = rng.IntN(2) == 0
	if rng.IntN(4) == 0 {
		s.mostIDs, s.forgets = 8, true
	}
	s.keys = []int{0, 0, 1 << 20, 8 << 10}[rng.IntN(4)]
	s.journal = s.keys > 0 && rng.IntN(2) == 0
	return s
}

// Options of a run. The zero value is a run as its seed has it.
type Options struct {
	Script *Script      // in place of the seed's
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
	doors    []*door
	backends []*backend
	byName   map[string]*backend
	byAddr   map[string]*backend
	agent    *agent
	meters   map[int]*meter
	floods   map[int]bool
	leaving  map[int]float64
	replays  map[int]float64
	presses  map[int]float64
	loses    float64 // the share of counts that the counter loses now
	asks     []*ask
	keys     uint64
	requests uint64 // that came whole at backends
	over     bool   // nothing is asked any more
	act      string // of the first request, for One
}

type meter struct {
	period    int64
	now, last float64
}

// rest is long enough after the last ask for everything to end by itself: faults, restarts, the longest deadline, and a question to a
// silent agent, which is given up after 12.6 s, with the next ones.
const rest = 25 * time.Second

func newRunner(seed uint64, o Options) *runner {
	r := &runner{world: newWorld(seed, o.Trace), byName: map[string]*backend{}, byAddr: map[string]*backend{}, meters: map[int]*meter{},
		floods: map[int]bool{}, leaving: map[int]float64{}, replays: map[int]float64{}, presses: map[int]float64{}}
	r.check.w, r.check.r, r.check.effects, r.check.keys, r.check.once = r.world, r, map[effectOf]int{}, map[uint64]int{}, map[effectOf]int{}
	r.check.loose = map[uint64]bool{}
	r.agent = &agent{r: r, index: 100, fails: map[*door]int{}}
	return r
}

// Run makes the run of a seed.
func Run(seed uint64, o Options) Result {
	r := newRunner(seed, o)
	rng := r.chance(0)
	r.shape = drawShape(rng)
	script := draw(rng, &r.shape)
	if o.Script != nil {
		script = *o.Script
	}
	r.populate(func(i int) int { return i % r.shape.cells })
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
	r.run(start+r.shape.length+rest, steps)
	if len(r.found) == 0 && r.steps < steps {
		r.check.atRest(r.doors)
	}
	c := &r.check
	return Result{Seed: seed, Script: script, Violations: r.found, Hash: r.hash.Sum64(), Steps: r.steps, Simulated: r.now - start,
		Served: c.served, Refused: c.refused, Failed: c.failed, Lost: c.lost, Counted: c.counted, Left: c.left}
}

// populate starts backends, each in a cell, and doors.
func (r *runner) populate(cellOf func(i int) int) {
	memories := map[int]*memory{}
	for i := range r.shape.backends {
		b := &backend{w: r.world, c: &r.check, r: r, number: i, cell: cellOf(i), zone: []string{"north", "south"}[i/2%2], up: true, listed: true, created: 1,
			links: map[*link]bool{}, fallMultiple: r.shape.fallMultiple, fallFor: r.shape.fallFor}
		group := [...]int{0, i / 2 % 2, b.cell}[r.shape.group]
		if memories[group] == nil {
			memories[group] = &memory{map[uint64]time.Duration{}}
		}
		b.keys = memories[group]
		r.backends, r.byName[b.name()], r.byAddr[b.addr()] = append(r.backends, b), b, b
	}
	for i := range r.shape.doors {
		d := &door{w: r.world, c: &r.check, r: r, number: i, cutOff: map[*backend]time.Duration{}, descriptors: r.shape.descriptors}
		d.lists.last = r.allNodes()
		d.boot()
		r.doors = append(r.doors, d)
	}
}

// watch looks at what is owed, every few milliseconds.
func (r *runner) watch() {
	r.check.owed()
	for _, d := range r.doors {
		if d.up {
			r.check.timers(d)
		}
	}
	r.after(5*time.Millisecond, r.watch)
}

// settings are a door's.
func (r *runner) settings(me int) decision.Settings {
	class := func(name string, e decision.Effect) decision.Class {
		return decision.Class{Name: name, Effect: e, Group: r.shape.group, KeyWindow: r.shape.keyWindow, Aim: r.shape.aim, Deadline: r.shape.deadline, Worth: 1}
	}
	feed := class("feed", decision.Safe)
	feed.Stream = true
	s := decision.Settings{FrontDoors: r.shape.doors, Me: me, MaxAttempts: 3, CanCancel: r.shape.canCancel, MaxRetryAfter: time.Second, AnswerGrace: answerGrace,
		DrainGrace: r.shape.grace, ColdFrom: coldFrom, WarmWithin: warmWithin, FallMultiple: r.shape.fallMultiple, FallFor: r.shape.fallFor, CanProbe: r.shape.restless,
		Classes: []decision.Class{class("look", decision.Safe), class("pay", decision.Keyed), class("once", decision.Unsafe), feed},
		Plans: []decision.Plan{{Name: "shop", Rate: 40, Burst: 60, Price: 1},
			{Name: "flagship", Rate: 15, Burst: 20, Price: 2, CeilingRate: ceilingRate, CeilingBurst: ceilingBurst, CeilingSlack: ceilingSlack}}}
	if r.shape.meter {
		s.MeterPeriod = 500 * time.Millisecond
	}
	return s
}

const answerGrace = 50 * time.Millisecond

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

// count has the counter count an ask.
func (r *runner) count(a *ask) {
	if r.loses == 0 || r.chance(13, uint64(a.number)).Float64() >= r.loses {
		r.meterOf(a.customer).now += a.units
	}
}

// sorted gives links in an order of their own.
func sorted(links map[*link]bool) []*link {
	return slices.SortedFunc(maps.Keys(links), func(a, b *link) int { return int(a.number) - int(b.number) })
}

// begin begins a fault, and plans its end.
func (r *runner) begin(f Fault) {
	r.tell("fault: %v", f)
	switch f.Kind { // a script may be an older world's
	case Pause, Kill, KillCounting, KillAnswering, Shutdown, ListLag, ListFail, Descriptors, MeterLoss, Disk:
		f.Target %= len(r.doors)
	case Flood, Leaving, Press, Replay, CounterLoss:
	default:
		f.Target %= len(r.backends)
	}
	end := func(do func()) { r.after(f.For, func() { r.tell("over: %v", f); do() }) }
	switch f.Kind {
	case Drain:
		b := r.backends[f.Target]
		b.draining++
		r.push(b)
		end(func() { b.draining--; r.push(b) })
	case Restart, Move, Deregister:
		r.restart(f, end)
	case Pause:
		r.doors[f.Target].pause(f.For)
	case Kill:
		r.kill(f)
	case KillCounting, KillAnswering:
		r.doors[f.Target].traps[f.Kind-KillCounting] = func() { r.kill(f) }
	case Shutdown:
		d := r.doors[f.Target]
		d.shutdown([]time.Duration{0, 300 * time.Millisecond, 3 * time.Second}[f.Other%3], func() { r.back(d, f.For) })
	case Partition:
		d := r.doors[f.Other%len(r.doors)]
		d.cutOff[r.backends[f.Target]] = max(d.cutOff[r.backends[f.Target]], r.now+f.For)
	case Descriptors:
		d := r.doors[f.Target]
		d.descriptors = f.Other % 3
		end(func() { d.descriptors = r.shape.descriptors })
	case ListLag:
		d := r.doors[f.Target]
		d.lag = f.For
		end(func() { d.lag = 0 })
	case ListFail:
		d := r.doors[f.Target]
		r.agent.fail(d, f.Other)
		end(func() { delete(r.agent.fails, d) })
	case ListLoss:
		if f.Other%4 == 0 {
			f.For = min(f.For, 1200*time.Millisecond) // a part that lacks for longer is believed to be gone
		}
		end(r.agent.lose(f.Other))
	case MeterLoss:
		d := r.doors[f.Target]
		d.deaf = true
		end(func() { d.deaf = false })
	case Disk:
		j := &r.doors[f.Target].journal
		if j.disk == nil {
			break
		}
		switch f.Other % 3 {
		case 0:
			j.fails = simdisk.ErrIO
		case 1:
			j.disk.Room = j.disk.Bytes() + f.Other*100
		default:
			j.slow = 2 * f.For
		}
		end(func() { j.fails, j.disk.Room, j.slow = nil, 0, 0 })
	case Flood:
		r.floods[f.Target] = true
		end(func() { r.floods[f.Target] = false })
	case Leaving:
		r.leaving[f.Target] = f.Share
		end(func() { r.leaving[f.Target] = 0 })
	case CounterLoss:
		r.loses = f.Share
		for _, m := range r.meters {
			m.now, m.last = m.now*(1-f.Share), m.last*(1-f.Share)
		}
		end(func() { r.loses = 0 })
	case Press:
		r.presses[f.Target] = f.Share
		end(func() { r.presses[f.Target] = 0 })
	case Replay:
		r.replays[f.Target] = f.Share
		end(func() { r.replays[f.Target] = 0 })
	default:
		b := r.backends[f.Target]
		b.faults[f.Kind] = f.Share
		end(func() { b.faults[f.Kind] = 0 })
	}
}

// restart ends a backend's process; after a while there is a new one, at another address if it moves. One that is deregistered
// is out of the lists until then, and goes on for a moment.
func (r *runner) restart(f Fault, end func(func())) {
	b := r.backends[f.Target]
	if !b.up || !b.listed {
		return
	}
	if f.Kind == Deregister {
		out := []*backend{b}
		if f.Other%6 == 0 { // all but one, which a source's failure looks like
			out = slices.DeleteFunc(slices.Clone(r.backends), func(o *backend) bool { return o.number == (f.Target+1)%len(r.backends) || !o.up || !o.listed })
		}
		for _, b := range out {
			b.listed = false
			r.push(b)
		}
		end(func() {
			for _, b := range out {
				b.die()
				b.restart()
				b.listed, b.listedAt = true, r.now
				b.created = r.agent.index + 1
				r.push(b)
			}
			r.agent.found = r.now // a loss right behind it would look like one with it to who has not heard of their return
		})
		return
	}
	b.die()
	r.push(b)
	end(func() {
		if f.Kind == Move {
			delete(r.byAddr, b.addr())
			b.moved++
			r.byAddr[b.addr()] = b
		}
		b.restart()
		r.push(b)
	})
}

// kill kills a door, which is back after the fault's time.
func (r *runner) kill(f Fault) {
	d := r.doors[f.Target]
	if !d.up {
		return
	}
	r.tell("door %d is killed", f.Target)
	r.again(d, f.For)
	d.kill()
	if f.Other%2 == 1 { // its machine with it
		d.crash()
	}
	r.back(d, f.For)
}

// again has clients whose asks end with a door's process press once more, at the next one, where that may know of them.
func (r *runner) again(d *door, after time.Duration) {
	if d.journal.log == nil {
		return
	}
	for _, a := range r.check.owedAsks {
		if a.door != d || a.epoch != d.epoch || a.finals > 0 || a.safe() {
			continue
		}
		twin := &ask{class: a.class, key: a.key, customer: a.customer, timeout: a.timeout, units: a.units, size: a.size, digest: a.digest, pressed: true, tainted: true}
		a.tainted = true
		r.after(after+between(r.chance(24, uint64(a.number)), 0, time.Second), func() {
			if !r.over {
				r.ask(twin, d.number, len(r.doors))
			}
		})
	}
}

func (r *runner) back(d *door, after time.Duration) {
	r.after(after, func() {
		if !d.up {
			r.tell("door %d is back", d.number)
			d.boot()
		}
	})
}
