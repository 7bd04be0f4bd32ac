package sim

import (
	"time"

	"pumicecroft/decision"
	"pumicecroft/internal/core"
	"pumicecroft/membership"
)

// door is one front door's process.
type door struct {
	w      *world
	c      *check
	r      *runner
	number int
	core   *core.Core
	table  *membership.Table
	up     bool
	epoch  int
	paused time.Duration // until then
	stands [][2]time.Duration
	held   []func()                             // what came while it stood still
	told   map[decision.BackendID]time.Duration // since when it knows that a backend drains or is gone
	at     map[decision.BackendID]*backend
	out    map[*attempt]bool
	alarm  time.Duration // the next tick that is planned
	lag    time.Duration // of discovery's word
	deaf   bool          // the meter's word does not come
	last   membership.List
	traps  [2]func() // what happens at the instant of the next attempt, and of the next answer
}

// attempt is one attempt on its way.
type attempt struct {
	door    *door
	epoch   int
	ask     *ask
	number  int
	backend *backend
	id      decision.BackendID
	sent    bool // its last byte has left
	over    bool // its end is on its way to the core, or there
}

// key is what an attempt's chance hangs on.
func (t *attempt) key() []uint64 { return []uint64{t.ask.id, uint64(t.number)} }

const (
	connectTimeout = 250 * time.Millisecond
	patienceMargin = 40 * time.Millisecond
	lastMargin     = 20 * time.Millisecond
	source         = "discovery"
)

// boot starts the process with its last list.
func (d *door) boot() {
	d.up = true
	d.epoch++
	set := d.r.settings(d.number)
	gateway, err := decision.New(set, mix(d.w.seed^uint64(d.number)^uint64(d.epoch)<<8), d.w.now)
	if err != nil {
		panic(err) // the run's own settings
	}
	d.core = core.New(gateway, set.Classes, core.Limits{Attempts: set.MaxAttempts, Remember: 15 * time.Second}, d.w.now)
	d.table = membership.NewTable(membership.Rules{}, membership.Origin{Name: source, Plain: true})
	d.told, d.at, d.out, d.held = map[decision.BackendID]time.Duration{}, map[decision.BackendID]*backend{}, map[*attempt]bool{}, nil
	d.alarm = 0
	list := d.last
	list.Whole, list.Saved = true, true
	d.heard(list)
}

// kill ends the process at once. What it had taken is its clients' to ask again; what is on its way to backends arrives.
func (d *door) kill() {
	d.up = false
	d.epoch++
	d.held = nil
}

// stood tells whether the process stood still at any time from one to another.
func (d *door) stood(from, to time.Duration) bool {
	for _, s := range d.stands {
		if s[0] <= to && s[1] >= from {
			return true
		}
	}
	return false
}

// do lets something happen in the process as it is now, or when it goes on; a later process never hears of it.
func (d *door) do(f func()) {
	switch {
	case !d.up:
	case d.w.now < d.paused:
		d.held = append(d.held, f)
	default:
		f()
	}
}

// pause has the process stand still.
func (d *door) pause(length time.Duration) {
	if !d.up || d.w.now < d.paused {
		return
	}
	d.paused = d.w.now + length
	d.stands = append(d.stands, [2]time.Duration{d.w.now, d.paused})
	epoch := d.epoch
	d.w.after(length, func() {
		if epoch != d.epoch {
			return
		}
		held := d.held
		d.held = nil
		for _, f := range held {
			f()
		}
	})
}

// merge keeps on disk what is known of all nodes.
func merge(all, news membership.List) membership.List {
	var out []membership.Node
	seen := map[string]bool{}
	for _, n := range news.Nodes {
		seen[n.Name] = true
	}
	for _, n := range all.Nodes {
		if !seen[n.Name] {
			out = append(out, n)
		}
	}
	return membership.List{Nodes: append(out, news.Nodes...)}
}

// unix is the run's clock for a time of day.
func unix(t time.Time) time.Duration {
	if t.IsZero() {
		return 0
	}
	return max(0, t.Sub(time.Unix(0, 0)))
}

// day is a time of day for the run's clock.
func day(d time.Duration) time.Time {
	if d == 0 {
		return time.Time{}
	}
	return time.Unix(0, 0).Add(d)
}

// heard passes a list on to the table and what has changed to the core.
func (d *door) heard(l membership.List) {
	if d.r.mutant == "cold clock lost" {
		l.Nodes = append([]membership.Node(nil), l.Nodes...)
		for i := range l.Nodes {
			l.Nodes[i].Started = time.Time{}
		}
	}
	changes, _ := d.table.Report(d.w.now, source, l, unix)
	kind := decision.ListChanges
	if l.Saved {
		kind = decision.ListSaved
	}
	d.changed(kind, changes)
}

func (d *door) changed(kind decision.ListKind, changes []membership.Change) {
	news, late := decision.BackendList{Kind: kind}, decision.BackendList{Kind: decision.ListChanges}
	for _, c := range changes {
		b := d.r.byName[c.Name]
		d.at[c.ID] = b
		if c.State == decision.Ready {
			delete(d.told, c.ID)
		} else if _, known := d.told[c.ID]; !known {
			d.told[c.ID] = d.w.now
		}
		if d.r.mutant == "drain window of 3 s" && c.State != decision.Ready {
			late.Backends = append(late.Backends, c.BackendInfo)
			continue
		}
		news.Backends = append(news.Backends, c.BackendInfo)
	}
	d.carry(d.core.List(d.w.now, news))
	if len(late.Backends) > 0 {
		epoch := d.epoch
		d.w.after(3*time.Second, func() {
			if epoch == d.epoch {
				d.do(func() { d.carry(d.core.List(d.w.now, late)) })
			}
		})
	}
}

// arrive takes a client's ask.
func (d *door) arrive(a *ask) {
	a.epoch, a.arrived = d.epoch, d.w.now
	d.c.asks = append(d.c.asks, a)
	patience, last := a.timeout-patienceMargin, a.timeout-lastMargin
	if d.r.mutant == "deadlines taken as they come, late" {
		patience, last = a.timeout+50*time.Millisecond, a.timeout+50*time.Millisecond
	}
	d.w.tell("door %d takes %x: %s of customer %d, %v", d.number, a.id, a.class, a.customer, a.timeout)
	effects, err := d.core.Arrive(d.w.now, a, decision.Request{ID: decision.RequestID(a.id), Customer: decision.CustomerID(a.customer), Class: a.class,
		Plan: d.r.plan(a.customer), Units: 1, Patience: patience, Spread: d.r.shape.doors}, last)
	d.carry(effects)
	if err != nil {
		d.c.final(a, "turned away")
	}
}

// carry carries out what the core asks for. What leaves the process leaves it by an event of its own, so that a kill can
// come between.
func (d *door) carry(effects []core.Effect) {
	epoch := d.epoch
	for _, e := range effects {
		switch e.Kind {
		case core.Start:
			try := &attempt{door: d, epoch: epoch, ask: e.Tag.(*ask), number: e.Attempt, backend: d.at[e.Backend], id: e.Backend}
			d.out[try] = true
			d.c.started(try)
			d.spring(0)
			d.w.after(0, func() {
				if epoch == d.epoch {
					d.send(try)
				}
			})
		case core.CallOff:
			if d.r.mutant == "call-offs forgotten" {
				continue
			}
			for try := range d.out { // at most one fits
				if try.ask == e.Tag && try.number == e.Attempt {
					d.callOff(try, e.TimedOut)
				}
			}
		case core.Final:
			a := e.Tag.(*ask)
			verdict := [...]string{"served", "refused", "failed", "late", "left", "aborted"}[e.Verdict]
			d.w.tell("door %d answers %x: %s", d.number, a.id, verdict)
			d.c.final(a, verdict)
			d.r.answered(a, verdict, e.RetryAfter)
		}
	}
	d.arm()
}

// spring lets a trap happen at this instant, in some order with what else does.
func (d *door) spring(n int) {
	if do := d.traps[n]; do != nil {
		d.traps[n] = nil
		d.w.after(0, do)
	}
}

// arm plans the next tick.
func (d *door) arm() {
	at, ok := d.core.Next()
	if !ok || d.alarm > d.w.now && d.alarm <= at || d.r.mutant == "timers lost" {
		return
	}
	d.alarm = max(at, d.w.now)
	epoch, alarm := d.epoch, d.alarm
	d.w.after(at-d.w.now, func() {
		if epoch == d.epoch {
			d.do(func() {
				if d.alarm == alarm {
					d.alarm = 0
				}
				d.carry(d.core.Tick(d.w.now))
			})
		}
	})
}

// send puts an attempt on its way over the network.
func (d *door) send(try *attempt) {
	if try.over {
		return // called off before it could leave
	}
	d.c.gone++
	b, rng := try.backend, d.w.chance(append(try.key(), 1)...)
	way := between(rng, 100*time.Microsecond, 2*time.Millisecond)
	d.w.tell("door %d sends %x/%d to backend %d", d.number, try.ask.id, try.number, b.number)
	switch {
	case !b.up || b.meets(RefuseConn, try.key()...):
		d.later(way, try, decision.NoConnection)
	case b.meets(HangConn, try.key()...):
		d.later(connectTimeout, try, decision.NoConnection)
	case b.meets(BreakUnheard, try.key()...):
		d.w.after(way, func() { try.sent = true; d.end(try, decision.Broken) })
	default:
		process := b.epoch
		d.w.after(way, func() {
			if try.over && !try.sent {
				return // called off on its way: its connection was closed before it was whole
			}
			try.sent = true
			if process != b.epoch {
				d.later(way, try, decision.Broken)
				return
			}
			d.r.waiting[b] = append(d.r.waiting[b], try)
			b.arrive(try, func(r decision.Result) { d.answer(try, r, way) })
		})
	}
}

// answer is a backend's answer on its way back.
func (d *door) answer(try *attempt, r decision.Result, way time.Duration) {
	b := try.backend
	if r == decision.Answered {
		switch {
		case b.meets(Silence, try.key()...):
			return
		case b.meets(BreakRan, try.key()...):
			r = decision.Broken
		case b.meets(Spoil, try.key()...):
			r = decision.Unknown
		case b.meets(Errors, try.key()...):
			r = decision.AnsweredErr
		}
		if b.meets(Delay, try.key()...) {
			way += between(d.w.chance(append(try.key(), 2)...), 0, 3*time.Second)
		}
	}
	d.later(way, try, r)
}

// later ends an attempt after a while.
func (d *door) later(way time.Duration, try *attempt, r decision.Result) {
	d.w.after(way, func() { d.end(try, r) })
}

// callOff ends the wait for an attempt.
func (d *door) callOff(try *attempt, timedOut bool) {
	if try.over {
		return
	}
	r := decision.Cancelled
	if timedOut {
		r = decision.TimedOut
	}
	if !try.sent {
		r = decision.NotSent
	}
	d.end(try, r)
}

// end tells the core how an attempt ended, once, by an event of its own.
func (d *door) end(try *attempt, r decision.Result) {
	if try.over || try.epoch != d.epoch {
		return
	}
	try.over = true
	d.spring(1)
	if d.r.mutant == "a broken attempt counts as never sent" && r == decision.Broken {
		r = decision.NotSent
	}
	d.w.after(0, func() {
		if try.epoch != d.epoch {
			return
		}
		d.do(func() {
			delete(d.out, try)
			o := core.Outcome{Result: r}
			if !d.deaf && r == decision.Answered {
				o.Use, o.HasUse = d.r.use(try.ask.customer)
			}
			d.w.tell("door %d: %x/%d ended %d", d.number, try.ask.id, try.number, r)
			d.carry(d.core.Ended(d.w.now, decision.RequestID(try.ask.id), try.number, o))
		})
	})
}
