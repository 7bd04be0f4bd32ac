package sim

import (
	"slices"
	"time"

	"pumicecroft/decision"
	"pumicecroft/internal/core"
	"pumicecroft/internal/httpwire"
	"pumicecroft/keys"
	"pumicecroft/membership"
)

// door is one front door's process. What it does is the shipped packages' word; here that is only carried out: bytes,
// timers, and one event after another.
type door struct {
	w           *world
	c           *check
	r           *runner
	number      int
	core        *core.Core
	fleet       *httpwire.Fleet
	table       *membership.Table
	up          bool
	closing     bool // it takes nothing more
	epoch       int
	paused      time.Duration // until then
	stands      [][2]time.Duration
	held        []held                // what came while it stood still
	lanes       map[any]time.Duration // when the last of it is seen
	out         map[*attempt]bool
	keys        *keys.Store      // nil: it recognises none
	alarms      [5]time.Duration // when core, table, pool, keys and their journal are called next; 0: not planned
	journal     journaled
	open        int // connections
	links       map[*link]bool
	dials       uint64
	descriptors int // connections that it may have
	cutOff      map[*backend]time.Duration
	lag         time.Duration       // of discovery's word
	deaf        bool                // the meter's word does not come
	passed      map[keys.Entry]*ask // what is in flight by keys
	traps       [2]func()           // what happens at the instant of the next attempt, and of the next answer
	lists       lists
}

// held is something that waits for a process that stands still.
type held struct {
	lane any // what has the same one keeps its order
	do   func()
}

// attempt is one attempt on its way, or a probe, which has no ask.
type attempt struct {
	x       httpwire.Exchange
	ask     *ask
	number  int
	backend decision.BackendID
	due     time.Duration
	latest  time.Duration // it must not leave after that; 0: none
	decided time.Duration
	off     httpwire.Off
	cut     func() // ends the wait that it is in
	serial  int    // of the operation that it waits for
	left    bool   // something of it has left
	begun   bool   // its answer is being passed on
	over    func(try *attempt)
}

const (
	connectTimeout = 250 * time.Millisecond
	probeTimeout   = time.Second
)

// boot starts the process with its last lists.
func (d *door) boot() {
	d.up, d.closing, d.paused = true, false, 0
	d.epoch++
	set := d.r.settings(d.number)
	gateway, err := decision.New(set, mix(d.w.seed^uint64(d.number)^uint64(d.epoch)<<8), d.w.now)
	if err != nil {
		panic(err) // the run's own settings
	}
	var decider core.Decider = gateway
	if d.r.shape.restless {
		decider = &restless{gateway, d.w.chance(9, uint64(d.number), uint64(d.epoch)), len(d.r.backends), &d.r.over}
	}
	d.core = core.New(decider, set.Classes, core.Limits{Open: d.r.shape.mostOpen, Attempts: d.r.shape.mostAttempts, Ids: d.r.shape.mostIDs,
		Remember: 15 * time.Second, Standstills: true, Grace: d.r.shape.grace}, d.w.now)
	d.fleet = httpwire.NewFleet(d.r.shape.conns, d.r.shape.idle, nil)
	d.out, d.held, d.links, d.open, d.alarms = map[*attempt]bool{}, nil, map[*link]bool{}, 0, [5]time.Duration{}
	d.passed = map[keys.Entry]*ask{}
	if d.keys = nil; d.r.shape.keys > 0 {
		d.keys = keys.New(keys.Limits{Bytes: d.r.shape.keys, Keep: time.Hour}, d.w.now)
	}
	if d.journal.log = nil; d.keys != nil && d.r.shape.journal {
		d.openJournal()
	}
	d.begin()
}

// kill ends the process at once. What it had taken is its clients' to ask again; what is on its way to backends arrives.
func (d *door) kill() {
	d.up = false
	d.epoch++
	d.held = nil
	for _, l := range sorted(d.links) {
		l.closed = true
		l.arrive(&l.up, 0, l.shut)
	}
}

// stood tells whether the process stood still at any time from one to another.
func (d *door) stood(from, to time.Duration) bool {
	for _, s := range d.stands {
		if s[0] <= to && s[1]+unheld >= from {
			return true
		}
	}
	return false
}

// in lets something happen in a process, or when it goes on; a later process never hears of it. lane keeps an order among
// what waits.
func (d *door) in(epoch int, lane any, f func()) {
	if after := d.lanes[lane]; lane != nil && after >= d.w.now && d.up && d.w.now >= d.paused { // what came before it is not seen yet
		d.lanes[lane] = after + 1
		d.w.at(after+1, func() { d.see(epoch, lane, f) })
		return
	}
	d.see(epoch, lane, f)
}

// see is in, of what is first in its lane.
func (d *door) see(epoch int, lane any, f func()) {
	switch {
	case !d.up || epoch != d.epoch:
	case d.w.now < d.paused:
		d.held = append(d.held, held{lane, f})
	default:
		f()
	}
}

// unheld is how long a process that stood still needs until it has seen all that waits for it.
const unheld = 20 * time.Millisecond

// pause has the process stand still. What has come meanwhile it sees in no order but that of single connections, as a process
// reads its sockets; its timers are all due at once.
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
		waiting, rng := d.held, d.w.chance(8, uint64(d.number), uint64(d.w.now))
		d.held, d.lanes = nil, map[any]time.Duration{}
		for _, h := range waiting {
			at := d.w.now + between(rng, 0, unheld)
			if h.lane != nil {
				at = max(at, d.lanes[h.lane]+1)
				d.lanes[h.lane] = at
			}
			d.w.at(at, func() { d.see(epoch, h.lane, h.do) })
		}
	})
}

// arrive takes a client's ask.
func (d *door) arrive(a *ask) {
	a.epoch, a.arrived = d.epoch, d.w.now
	d.c.owedAsks = append(d.c.owedAsks, a)
	d.w.tell("door %d takes %d, id %x, key %d: %s of customer %d, %v", d.number, a.number, a.id, a.key, a.class, a.customer, a.timeout)
	if !a.safe() && d.keys != nil && !d.asksKey(a) {
		return
	}
	if a.ticket != nil && d.journal.log != nil {
		d.onceKept(a, func() { d.enter(a) })
		d.arm()
		return
	}
	d.enter(a)
}

// enter lets an ask in.
func (d *door) enter(a *ask) {
	left := a.timeout - (d.w.now - a.arrived) // it may have waited for the disk
	if a.ticket != nil && left <= core.PatienceMargin {
		d.endKey(a, keys.NeverRan, "refused")
		return
	}
	effects, err := d.core.Arrive(d.w.now, a, decision.Request{ID: decision.RequestID(a.id), Customer: decision.CustomerID(a.customer), Class: a.class,
		Plan: d.r.plan(a.customer), Units: a.units, Patience: left - core.PatienceMargin, Spread: d.r.shape.doors, Protocol: membership.ProtocolHTTP},
		left-core.LastMargin)
	d.carry(effects)
	if err != nil {
		a.turnedAway = true
		if !d.endKey(a, keys.NeverRan, "turned away") {
			d.c.final(a, "turned away", nil)
		}
	}
}

// carry carries out what the core asks for. What leaves the process leaves it by an event of its own, so that a kill can
// come between.
func (d *door) carry(effects []core.Effect) {
	epoch := d.epoch
	for _, e := range effects {
		switch e.Kind {
		case core.Start:
			try := &attempt{ask: e.Tag.(*ask), number: e.Attempt, backend: e.Backend, due: e.Due, latest: e.NotAfter, decided: d.w.now, over: d.ended}
			try.ask.tries = append(try.ask.tries, try)
			d.out[try] = true
			d.c.started(d, try)
			d.spring(0)
			d.w.after(0, func() { d.in(epoch, nil, func() { d.start(try) }) })
		case core.CallOff:
			for _, try := range e.Tag.(*ask).tries {
				if try.number == e.Attempt {
					why := httpwire.CalledOff
					if e.TimedOut {
						why = httpwire.TimeUp
					}
					try.callOff(why)
				}
			}
		case core.CatchUp:
			d.catchUp(e)
		case core.Final:
			a := e.Tag.(*ask)
			verdict := [...]string{"served", "refused", "failed", "late", "left", "aborted"}[e.Verdict]
			if end := [...]keys.End{keys.Answered, keys.NeverRan, keys.Doubt, keys.Doubt, keys.Doubt, keys.Doubt}[e.Verdict]; d.endKey(a, end, verdict) {
				continue
			}
			d.w.tell("door %d answers %d: %s", d.number, a.number, verdict)
			d.c.final(a, verdict, &e)
			d.r.answered(a, verdict, e.RetryAfter)
		case core.Probe:
			try := &attempt{backend: e.Backend, due: d.w.now + probeTimeout, over: d.probed}
			d.out[try] = true
			d.w.after(probeTimeout, func() { d.in(epoch, nil, func() { try.callOff(httpwire.TimeUp) }) })
			d.w.after(0, func() { d.in(epoch, nil, func() { d.start(try) }) })
		}
	}
	d.arm()
}

// catchUp has the sources take in what has arrived: discovery when its reader has seen all of it, and the catalogue by asking anew; for so
// long as the driver waits for them.
func (d *door) catchUp(e core.Effect) {
	d.w.tell("door %d stood still for %v", d.number, e.Stood)
	epoch, left := d.epoch, 1
	caught := func() {
		d.in(epoch, nil, func() {
			d.w.tell("door %d has caught up", d.number)
			d.carry(d.core.CaughtUp(d.w.now, e.Serial))
		})
	}
	done := func() {
		if left--; left == 0 {
			caught()
		}
	}
	if d.r.shape.discovery {
		left++
		d.w.after(0, func() { d.in(epoch, discovery, done) })
	}
	if d.r.shape.catalogue && d.lists.watch != nil {
		left++
		d.w.after(0, func() { d.in(epoch, nil, func() { d.lists.watch.catchUp(d.w.now-e.Stood, done) }) })
	}
	d.w.after(d.core.Times().CatchUp, func() { d.in(epoch, nil, func() { left = -1; caught() }) })
	done()
}

// asksKey tells whether an ask with a key is to go on; if not, it waits or has its answer.
func (d *door) asksKey(a *ask) bool {
	got, given := d.keys.Ask(d.w.now, decision.CustomerID(a.customer), a.storeKey(), keys.Digest{a.digest}, a, d.w.now+a.timeout-core.LastMargin)
	d.give(given, "late")
	a.ticket = got.Ticket
	d.w.tell("the key of %d: %v", a.number, got.Verdict.String())
	if answer, known := d.journal.known[a.whole()]; known && d.r.shape.keys >= 1<<20 && d.journal.log != nil &&
		(got.Verdict != keys.Replay || string(got.Answer.Body) != answer) {
		d.w.broken("what was answered is answered alike", "door %d had answered the key of ask %d, and says %v", d.number, a.number, got.Verdict)
	}
	switch got.Verdict {
	case keys.Pass:
		d.passed[got.Ticket.Entry()] = a
		return true
	case keys.Join:
		d.arm()
	case keys.Replay:
		a.reply = &httpwire.Answer{Body: got.Answer.Body}
		d.c.final(a, "served", nil)
	case keys.Busy:
		d.c.final(a, "refused", nil)
		d.r.answered(a, "refused", got.RetryAfter)
	default:
		d.c.final(a, got.Verdict.String(), nil)
	}
	return false
}

// goesOn tells whether an ask goes on for whoever waits with its key, whether or not its own client has left.
func (d *door) goesOn(a *ask) bool { return a.ticket != nil && d.passed[a.ticket.Entry()] == a }

// endKey gives the end of a request that passed to all that wait for it; not if it has no key here.
func (d *door) endKey(a *ask, end keys.End, verdict string) bool {
	if !d.goesOn(a) {
		return false
	}
	finish := func() {
		delete(d.passed, a.ticket.Entry())
		var answer keys.Answer
		if end == keys.Answered {
			answer.Body = a.reply.Body
		}
		d.give(d.keys.Ended(d.w.now, a.ticket, end, answer), verdict)
	}
	if end == keys.Answered && d.journal.log != nil {
		d.onceWritten(a, finish)
	} else {
		finish()
	}
	return true
}

// give gives those that waited with a key their end; verdict is that of what they waited for, if it was not answered.
func (d *door) give(given []keys.Given, verdict string) {
	for _, g := range slices.Clone(given) {
		a := g.Tag.(*ask)
		told := verdict
		switch g.Verdict {
		case keys.Replay:
			a.reply, told = &httpwire.Answer{Body: g.Answer.Body}, "served"
		case keys.Late:
			told = "late"
		}
		d.w.tell("door %d answers %d, by its key: %s", d.number, a.number, told)
		d.c.final(a, told, nil)
		d.r.answered(a, told, g.RetryAfter)
	}
	d.arm()
}

// leave is a client that has gone.
func (d *door) leave(a *ask) {
	if a.ticket == nil {
		d.carry(d.core.Leave(d.w.now, a, decision.RequestID(a.id)))
		return
	}
	if a.finals > 0 {
		return
	}
	first := d.passed[a.ticket.Entry()]
	nobody, given := d.keys.Leave(d.w.now, a.ticket)
	d.give(given, "late")
	if a.finals == 0 {
		d.c.final(a, "left", nil)
	}
	if nobody && first != nil {
		d.carry(d.core.Leave(d.w.now, first, decision.RequestID(first.id)))
	}
}

// spring lets a trap happen at this instant, in some order with what else does.
func (d *door) spring(n int) {
	if do := d.traps[n]; do != nil {
		d.traps[n] = nil
		d.w.after(0, do)
	}
}

// arm plans when core, table and pool are called next.
func (d *door) arm() {
	at, ok := d.core.Next()
	d.plan(0, at, ok, func() { d.carry(d.core.Tick(d.w.now)) })
	at, ok = d.table.Next()
	d.plan(1, at, ok, func() { d.changed(decision.ListChanges, d.table.Tick(d.w.now)) })
	at, ok = d.fleet.Pool.Next()
	d.plan(2, at, ok, func() { d.fleet.Pool.Sweep(d.w.now); d.tidy() })
	if d.keys != nil {
		at, ok = d.keys.Next()
		d.plan(3, at, ok, func() { d.give(d.keys.Tick(d.w.now), "late") })
	}
	d.pump()
}

// plan plans one of these calls, in place of a later one.
func (d *door) plan(i int, at time.Duration, ok bool, do func()) {
	if !ok || d.alarms[i] > d.w.now && d.alarms[i] <= at {
		return
	}
	at = max(at, d.w.now)
	d.alarms[i] = at
	epoch := d.epoch
	d.w.at(at, func() {
		d.in(epoch, nil, func() {
			if d.alarms[i] == at {
				d.alarms[i] = 0
			}
			do()
			d.arm()
		})
	})
}

// tidy closes what the pool has let go of.
func (d *door) tidy() {
	for _, c := range d.fleet.Pool.Closes() {
		c.Owner.(*link).close()
	}
	d.c.pool(d)
}

// callOff ends the wait for an attempt.
func (try *attempt) callOff(why httpwire.Off) {
	if try.off == httpwire.On {
		if try.off = why; try.cut != nil {
			try.cut()
		}
	}
}

// start begins to make an attempt.
func (d *door) start(try *attempt) {
	if try.off != httpwire.On {
		try.x.Result.Result = decision.NotSent
		d.run(try, httpwire.End)
		return
	}
	m := &httpwire.Request{Method: "GET", Target: "/health", Host: "world"}
	if try.ask != nil {
		m = try.ask.message()
	}
	d.run(try, try.x.Begin(d.fleet, try.backend, m, try.due, try.latest, d.w.now))
}

// wait gives what must be called when the operation that an attempt waits for has ended: it goes on once, by what then says,
// if its process is there.
func (d *door) wait(try *attempt, then func() httpwire.Op) func() {
	try.serial++
	serial, epoch := try.serial, d.epoch
	return func() {
		d.in(epoch, nil, func() {
			if try.serial == serial {
				try.serial++
				try.cut = nil
				d.run(try, then())
			}
		})
	}
}

// run carries out an attempt's operations until one is to be waited for.
func (d *door) run(try *attempt, op httpwire.Op) {
	x := &try.x
	for {
		d.tidy()
		switch op {
		case httpwire.Look:
			l := x.Conn.Owner.(*link)
			op = x.Looked(d.w.now, len(l.come) == 0 && l.end == nil)
		case httpwire.Dial:
			try.cut = d.dial(x.Addr(), try.key(), func(l *link, err error) {
				d.wait(try, func() httpwire.Op {
					x.CallOff(try.off)
					if err != nil {
						return x.Dialed(d.w.now, nil, err)
					}
					d.links[l] = true
					d.open++
					return x.Dialed(d.w.now, l, nil)
				})()
			})
			return
		case httpwire.Write:
			d.w.after(0, d.wait(try, func() httpwire.Op { return d.write(try) }))
			return
		case httpwire.Read:
			l := x.Conn.Owner.(*link)
			if len(l.come) == 0 && l.end == nil && try.off == httpwire.On {
				done := d.wait(try, func() httpwire.Op { return d.read(try) })
				l.wake, try.cut = done, func() { d.w.after(0, done) }
				if x.Until > 0 {
					d.w.at(x.Until, done)
				}
				return
			}
			op = d.read(try)
		case httpwire.Finish:
			x.CallOff(try.off)
			x.Conn.Owner.(*link).room = x.Kept()
			op = x.Finish(d.w.now)
		case httpwire.End:
			d.tidy()
			d.arm()
			try.over(try)
			return
		}
	}
}

// write puts a request on its way.
func (d *door) write(try *attempt) httpwire.Op {
	x := &try.x
	l, err := x.Conn.Owner.(*link), error(nil)
	b := l.backend
	l.sentAt = d.w.now
	text, late := x.Text(nil, d.w.now)
	if a := try.ask; late == nil && a != nil && d.w.now-try.decided > d.core.Times().Fresh {
		effects, may := d.core.Leaves(d.w.now, decision.RequestID(a.id), try.number)
		if d.carry(effects); !may {
			late = httpwire.ErrStale
		}
	}
	switch {
	case late != nil:
		err = late
	case try.off != httpwire.On:
		err = errCut
	case l.end == errReset:
		err = errReset
	case b.meets(BreakUnheard, try.key()...):
		rng := d.w.chance(append(try.key(), 3)...)
		l.send(text[:rng.IntN(len(text))], 0)
		l.arrive(&l.up, 0, l.breaks)
		if rng.IntN(2) == 0 {
			err = errReset // seen at once; else only when it is read
		}
	default:
		pieces(d.w.chance(append(try.key(), 4)...), text, b.meets(Dribble, try.key()...), l.send)
	}
	if err != nil {
		x.CallOff(try.off)
		return x.Wrote(d.w.now, nil, err)
	}
	if !try.left {
		try.left = true
		d.c.left++
		if try.ask != nil {
			d.c.leaves(d, try)
			d.w.tell("door %d sends %d/%d to backend %d", d.number, try.ask.number, try.number, b.number)
		}
	}
	return x.Wrote(d.w.now, l.room, nil)
}

// read takes in what has come. An answer that streams may begin to be passed on before it is whole.
func (d *door) read(try *attempt) httpwire.Op {
	x := &try.x
	l := x.Conn.Owner.(*link)
	if try.off != httpwire.On {
		return x.Came(d.w.now, 0, errCut)
	}
	if x.Until > 0 && d.w.now >= x.Until {
		return x.Came(d.w.now, 0, errSlow)
	}
	n, err := copy(x.Room(), l.come), error(nil)
	if l.come = l.come[n:]; n == 0 {
		err = l.end
	}
	op := x.Came(d.w.now, n, err)
	if op == httpwire.Read && x.Until > 0 && try.ask != nil && try.ask.class == "feed" && !try.begun {
		effects, may := d.core.Began(d.w.now, decision.RequestID(try.ask.id), try.number)
		if may {
			try.begun = true
			d.c.began(try)
		} else {
			try.callOff(httpwire.CalledOff)
		}
		d.carry(effects)
	}
	return op
}

// ended tells the core how an attempt ended, by an event of its own.
func (d *door) ended(try *attempt) {
	epoch := d.epoch
	d.spring(1)
	d.w.after(0, func() {
		d.in(epoch, nil, func() {
			delete(d.out, try)
			a := try.ask
			if a.finals == 0 || d.goesOn(a) {
				a.reply, a.replyOf = try.x.Answer, try.number
			}
			d.w.tell("door %d: %d/%d ended %d", d.number, a.number, try.number, int(try.x.Result.Result))
			d.carry(d.core.Ended(d.w.now, decision.RequestID(a.id), try.number, try.x.Result))
		})
	})
}

// probed tells the core of a probe's end.
func (d *door) probed(try *attempt) {
	delete(d.out, try)
	d.carry(d.core.Probed(d.w.now, decision.ProbeResult{Backend: try.backend, Result: try.x.Result.Result}))
}

// key is what an attempt's chance hangs on.
func (try *attempt) key() []uint64 {
	if try.ask == nil {
		return []uint64{uint64(try.backend), uint64(try.due)}
	}
	return []uint64{uint64(try.ask.number), uint64(try.number)}
}

// shutdown has the process end: it takes nothing more, what is open has a while, and the rest ends at once.
func (d *door) shutdown(patience time.Duration, back func()) {
	if !d.up || d.closing {
		return
	}
	epoch := d.epoch
	d.in(epoch, nil, func() {
		d.closing = true
		d.core.Close()
		d.w.after(patience, func() {
			d.in(epoch, nil, func() {
				d.carry(d.core.Abort(d.w.now))
				d.endJournal()
				d.fleet.Close()
				d.tidy()
				d.c.shut(d)
				d.kill()
				back()
			})
		})
	})
}
