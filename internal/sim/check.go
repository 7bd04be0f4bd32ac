package sim

import (
	"strconv"
	"strings"
	"time"

	"pumicecroft/decision"
	"pumicecroft/internal/core"
	"pumicecroft/membership"
)

// The platform's figures (BRIEF 8, PROTOCOL).
const (
	usualGrace    = 2 * time.Second
	coldFrom      = 0.2
	warmWithin    = 14 * time.Second
	platformFall  = 4.0
	ceilingRate   = 20.0
	ceilingBurst  = 30.0
	ceilingSlack  = 3.0
	flagshipAsker = 0 // the customer whose plan has a ceiling
)

// check holds the five rules against what happens, and that nothing is lost or kept for good.
type check struct {
	w        *world
	r        *runner
	owedAsks []*ask   // taken, without a final answer
	store    struct { // of the flagship's ceiling
		has   float64
		at    time.Duration
		begun bool
	}
	effects                       map[effectOf]int
	keys                          map[uint64]int   // effects of each
	once                          map[effectOf]int // effects of each key at a process, or at a door with a journal
	loose                         map[uint64]bool  // keys that went on with nothing on disk, as is stated
	served, refused, failed, lost int
	counted, left                 int // attempts
}

// effectOf names what must have its effect once: an id at a process that remembers it.
type effectOf struct {
	id    uint64
	door  *door
	epoch int
}

// final is the one final answer to an ask. e is nil if it was not let in.
func (c *check) final(a *ask, verdict string, e *core.Effect) {
	a.finals++
	a.verdict = verdict
	late := c.w.now > a.arrived+a.timeout
	switch {
	case a.finals > 1:
		c.w.broken("one final answer", "ask %d has %d", a.number, a.finals)
	case late && verdict != "left" && !a.door.stood(a.arrived, c.w.now):
		c.w.broken("answers in time", "ask %d was answered %s %v after its arrival, its client waits %v", a.number, verdict, c.w.now-a.arrived, a.timeout)
	case verdict == "left" && !a.leaves:
		c.w.broken("answers are their own", "ask %d ends as left, and its client is there", a.number)
	case verdict == "refused" && a.runs > 0 && (a.class == "once" || a.class == "pay" && c.r.shape.group != decision.GroupAll):
		c.w.broken("a refusal is harmless", "ask %d of class %s was refused and has run %d times", a.number, a.class, a.runs)
	case verdict == "refused" && a.streams > 0:
		c.w.broken("a refusal is harmless", "ask %d was refused with a part of its answer at its client", a.number)
	case verdict == "served" && (a.reply == nil || e != nil && a.replyOf != e.Attempt || !c.own(a, string(a.reply.Body), e == nil)):
		c.w.broken("answers are their own", "ask %d was served with what is not its answer", a.number)
	case verdict == "served" && e != nil && a.streams > 0 && a.streams != e.Attempt+1:
		c.w.broken("answers are their own", "ask %d has the beginning of attempt %d and was served by %d", a.number, a.streams-1, e.Attempt)
	}
	switch verdict {
	case "served":
		c.served++
	case "refused":
		c.refused++
	default:
		c.failed++
	}
}

// own tells whether an answer is an ask's own; by its key that is the one of the ask that its key's first was.
func (c *check) own(a *ask, body string, byKey bool) bool {
	if !byKey {
		return body == a.answer()
	}
	text, _, _ := strings.Cut(strings.TrimPrefix(body, "ask="), ";")
	n, err := strconv.Atoi(text)
	if err != nil || n < 0 || n >= len(c.r.asks) {
		return false
	}
	first := c.r.asks[n]
	return first.key == a.key && first.class == a.class && first.customer == a.customer && first.digest == a.digest && body == first.answer()
}

// began is an answer that begins to be passed on.
func (c *check) began(try *attempt) {
	a := try.ask
	if a.finals > 0 || a.streams > 0 {
		c.w.broken("nothing follows the final answer", "the answer of %d/%d begins after it had %d answers and another's beginning %d", a.number, try.number,
			a.finals, a.streams)
	}
	a.streams = try.number + 1
	c.w.tell("the answer of %d/%d begins", a.number, try.number)
}

// started is an attempt that leaves a door's core.
func (c *check) started(d *door, try *attempt) {
	a := try.ask
	if a.sent++; a.sent == 1 {
		c.r.count(a) // what is sent on counts, once
	}
	c.counted++
	name := d.lists.byID[try.backend]
	if a.finals > 0 && !d.goesOn(a) {
		c.w.broken("nothing follows the final answer", "ask %d is sent to %s after it was answered %s", a.number, name, a.verdict)
	}
	if a.turnedAway {
		c.w.broken("nothing follows the final answer", "ask %d is sent to %s after it was turned away", a.number, name)
	}
	c.drains(d, try, 0)
	if a.customer == flagshipAsker && a.sent == 1 {
		s := &c.store
		if !s.begun {
			s.begun, s.has, s.at = true, ceilingBurst, c.w.now
		}
		s.has = min(ceilingBurst, s.has+ceilingRate*(c.w.now-s.at).Seconds()) - a.units
		s.at = c.w.now
		if s.has < -ceilingSlack {
			c.w.broken("ceilings hold", "ask %d takes the flagship's store to %.2f", a.number, s.has)
		}
	}
}

// leaves is an attempt whose first byte leaves a door.
func (c *check) leaves(d *door, try *attempt) {
	c.drains(d, try, sendSlack)
	a := try.ask
	if a == nil || !a.leaves || d.goesOn(a) {
		return
	}
	since := a.leftAt
	for _, s := range d.stands { // a process that stood still learns of it once it goes on
		if s[0] <= since+leaverSlack {
			since = max(since, s[1])
		}
	}
	if c.w.now > since+leaverSlack {
		c.w.broken("who has left is sent nothing", "door %d sends ask %d %v after its client has left", d.number, a.number, c.w.now-a.leftAt)
	}
}

// leaverSlack is how long a request may still leave once its client has.
const leaverSlack = 300 * time.Millisecond

// sendSlack is what sockets add to the limit.
const sendSlack = 50 * time.Millisecond

func (c *check) drains(d *door, try *attempt, slack time.Duration) {
	name := d.lists.byID[try.backend]
	told, out := d.lists.told[name]
	if at, came := d.lists.arrived[name]; came && (!out || at < told) {
		told, out = at, true
	}
	if out && c.w.now > told+c.r.shape.grace+slack {
		c.w.broken("drains are honoured", "door %d sends ask %d to %s, of which it was told %v before that it drains or is gone", d.number, try.ask.number,
			name, c.w.now-told)
	}
}

// ran is an attempt that a backend has run.
func (c *check) ran(j *job, b *backend) {
	a := j.ask
	a.runs++
	if !a.safe() && (a.class == "once" || j.first) {
		a.effects++
		of := effectOf{a.id, a.door, a.epoch}
		c.effects[of]++
		if a.again && c.effects[of] > 1 && !c.r.shape.forgets {
			c.w.broken("effects stay single", "id %x has had its effect %d times, the last as ask %d", a.id, c.effects[of], a.number)
		}
	}
	if a.class == "pay" && j.first && !a.tainted { // clients try again what was refused, and nothing else
		if c.keys[a.key]++; c.keys[a.key] > 1 && a.effects == 1 {
			c.w.broken("a refusal is harmless", "ask %d, which was tried again after a refusal, has its effect once more", a.number)
		}
	}
	// Where the door recognises keys and has room for all, a key has its effect once, whoever asks how often.
	if !a.safe() && c.r.shape.keys >= 1<<20 && (a.class == "once" || j.first) {
		of := effectOf{mix(a.key ^ uint64(a.customer)<<40), a.door, a.epoch}
		if c.r.shape.journal && !c.loose[a.key] {
			of.epoch = 0
		}
		if c.once[of]++; c.once[of] > 1 {
			c.w.broken("effects stay single", "the key of ask %d has had its effect %d times", a.number, c.once[of])
		}
	}
	c.w.tell("backend %d ran %d", b.number, a.number)
	if a.effects > 1 {
		c.w.broken("effects stay single", "ask %d of class %s had its effect %d times", a.number, a.class, a.effects)
	}
	if a.finals > 0 && a.verdict == "refused" && (a.class == "once" || a.class == "pay" && c.r.shape.group != decision.GroupAll) {
		c.w.broken("a refusal is harmless", "ask %d of class %s runs after it was refused", a.number, a.class)
	}
}

// fell is a cold backend that was sent too much.
func (c *check) fell(b *backend, n int) {
	c.w.broken("cold backends are spared", "backend %d, started %v ago, was sent %d in %v", b.number, c.w.now-b.born, n, b.fallFor)
}

// letGo is a node that a door's table lets go of.
func (c *check) letGo(d *door, name string) {
	b := c.r.byName[name]
	if b.listed && (b.listedAt == 0 || c.w.now-b.listedAt > 5*time.Second && !d.stood(b.listedAt, c.w.now)) {
		c.w.broken("the last list is kept", "door %d lets go of %s, which no list has lost for good", d.number, name)
	}
}

// pool holds the bounds on what a door keeps.
func (c *check) pool(d *door) {
	if n := d.fleet.Pool.Count(); n > c.r.shape.conns || n < 0 {
		c.w.broken("everything has its bound", "door %d has %d connections, %d at the most", d.number, n, c.r.shape.conns)
	}
	if d.keys != nil && d.keys.Bytes() > c.r.shape.keys {
		c.w.broken("everything has its bound", "door %d keeps %d bytes of keys, %d at the most", d.number, d.keys.Bytes(), c.r.shape.keys)
	}
	if n := d.core.Remembered(); n > c.r.shape.mostIDs {
		c.w.broken("everything has its bound", "door %d remembers %d ids, %d at the most", d.number, n, c.r.shape.mostIDs)
	}
	if n := d.core.Open(); n > c.r.shape.mostOpen {
		c.w.broken("everything has its bound", "door %d keeps %d requests, %d at the most", d.number, n, c.r.shape.mostOpen)
	}
}

// timers holds the bound on what a core waits for: nothing of an ended request.
func (c *check) timers(d *door) {
	if n, most := d.core.Timers(), 1+d.core.Open()*2*(1+c.r.shape.mostAttempts); n > most {
		c.w.broken("everything has its bound", "door %d has %d timers for %d requests", d.number, n, d.core.Open())
	}
}

// shut is a door that ends by itself: nothing that it has taken is left without an answer.
func (c *check) shut(d *door) {
	for _, a := range c.owedAsks {
		if a.door == d && a.epoch == d.epoch && a.finals == 0 {
			c.w.broken("one final answer", "ask %d has none, and its door ends", a.number)
		}
	}
	if n := d.fleet.Pool.Idle(); n > 0 {
		c.w.broken("everything is given back", "door %d ends with %d idle connections", d.number, n)
	}
}

// owed looks for asks whose time is up and that have no answer, at doors that could have given it.
func (c *check) owed() {
	open := c.owedAsks[:0]
	for _, a := range c.owedAsks {
		switch {
		case a.finals > 0:
		case a.epoch != a.door.epoch: // the door was killed with it: it is left to its client
			c.lost++
		case c.w.now > a.arrived+a.timeout && !a.door.stood(a.arrived, c.w.now):
			c.w.broken("one final answer", "ask %d has none %v after its arrival", a.number, c.w.now-a.arrived)
		default:
			open = append(open, a)
		}
	}
	clear(c.owedAsks[len(open):])
	c.owedAsks = open
}

// atRest looks at what is left once all has ended.
func (c *check) atRest(doors []*door) {
	for _, d := range doors {
		if !d.up {
			continue
		}
		if n := d.core.Open(); n > 0 || len(d.out) > 0 {
			c.w.broken("everything is given back", "door %d keeps %d requests and %d attempts when nothing is asked any more", d.number, n, len(d.out))
		}
		if n := d.core.Strays(); n > 0 {
			c.w.broken("every action fits", "%d actions of door %d's decision module fit no request", n, d.number)
		}
		if n := d.core.Timers(); n != 1 { // the decision module's own
			c.w.broken("everything is given back", "door %d keeps %d timers when nothing is asked any more", d.number, n)
		}
		if n := d.fleet.Pool.Count(); n != d.fleet.Pool.Idle() || n != d.open {
			c.w.broken("everything is given back", "door %d has %d connections open, counts %d and has %d idle when nothing is asked any more", d.number,
				d.open, n, d.fleet.Pool.Idle())
		}
		if d.keys != nil && (d.keys.Waiting() > 0 || len(d.passed) > 0) {
			c.w.broken("everything is given back", "at door %d %d wait with a key and %d are in flight by one", d.number, d.keys.Waiting(), len(d.passed))
		}
		if log := d.journal.log; log != nil {
			if u := log.Usage(); log.Down() != nil || u.Off > 0 || u.Pending > 0 || u.Bytes > 2*u.Live+4*journalRules.SegmentBytes {
				c.w.broken("everything is given back", "door %d's journal ends as %+v, %v", d.number, u, log.Down())
			}
		}
		known := map[string]bool{}
		for _, v := range d.table.Views() {
			b := c.r.byName[v.Name]
			if known[v.Name] = true; v.Belief == membership.Draining || v.Addr != b.addr() {
				c.w.broken("lists come true", "door %d believes %s to be %v at %s (%s), and it is well at %s", d.number, v.Name, v.Belief, v.Addr, v.Why, b.addr())
			}
		}
		for _, b := range c.r.backends {
			if !known[b.name()] {
				c.w.broken("lists come true", "door %d does not know %s", d.number, b.name())
			}
		}
	}
	if len(c.owedAsks) > 0 {
		c.w.broken("everything is accounted for", "%d asks have no end", len(c.owedAsks))
	}
}
