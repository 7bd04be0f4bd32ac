package sim

import "time"

// The platform's figures (BRIEF 8, PROTOCOL).
const (
	drainGrace    = 2 * time.Second
	coldFrom      = 0.2
	warmWithin    = 14 * time.Second
	keyWindow     = 5 * time.Second
	ceilingRate   = 20.0
	ceilingBurst  = 30.0
	ceilingSlack  = 3.0
	flagshipAsker = 0 // the customer whose plan has a ceiling
)

// ask is one try of a client, and what has become of it.
type ask struct {
	id       uint64
	class    string
	key      uint64 // of the client's request, over its tries
	customer int
	door     *door
	epoch    int // of the door's process that took it
	arrived  time.Duration
	timeout  time.Duration
	finals   int
	verdict  string
	runs     int // attempts that ran
	effects  int
	sent     int
}

// check holds the five rules against what happens.
type check struct {
	w     *world
	asks  []*ask
	store struct { // of the flagship's ceiling
		has   float64
		at    time.Duration
		begun bool
	}
	served, refused, failed, lost int
	counted, gone                 int // attempts
}

// final is the one final answer to an ask.
func (c *check) final(a *ask, verdict string) {
	a.finals++
	a.verdict = verdict
	late := c.w.now > a.arrived+a.timeout
	switch {
	case a.finals > 1:
		c.w.broken("one final answer", "ask %x has %d", a.id, a.finals)
	case late && verdict != "left" && !a.door.stood(a.arrived, c.w.now):
		c.w.broken("answers in time", "ask %x was answered %s %v after its arrival, its client waits %v", a.id, verdict, c.w.now-a.arrived, a.timeout)
	case verdict == "refused" && a.class != "look" && a.runs > 0:
		c.w.broken("a refusal is harmless", "ask %x of class %s was refused and has run %d times", a.id, a.class, a.runs)
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

// started is an attempt that leaves a door.
func (c *check) started(try *attempt) {
	a, d, b := try.ask, try.door, try.backend
	a.sent++
	c.counted++
	if a.finals > 0 {
		c.w.broken("nothing follows the final answer", "ask %x is sent to %d after it was answered %s", a.id, b.number, a.verdict)
	}
	if told, out := d.told[try.id]; out && c.w.now > told+drainGrace {
		c.w.broken("drains are honoured", "door %d sends ask %x to backend %d, of which it was told %v before that it drains or is gone", d.number, a.id,
			b.number, c.w.now-told)
	}
	if a.customer == flagshipAsker && a.sent == 1 {
		s := &c.store
		if !s.begun {
			s.begun, s.has, s.at = true, ceilingBurst, c.w.now
		}
		s.has = min(ceilingBurst, s.has+ceilingRate*(c.w.now-s.at).Seconds()) - 1
		s.at = c.w.now
		if s.has < -ceilingSlack {
			c.w.broken("ceilings hold", "ask %x takes the flagship's store to %.2f", a.id, s.has)
		}
	}
}

// ran is an attempt that a backend has run.
func (c *check) ran(try *attempt, b *backend) {
	a := try.ask
	a.runs++
	effect := a.class != "look"
	if a.class == "pay" {
		effect = b.cell.first(a.key, c.w.now)
	}
	if effect {
		a.effects++
	}
	c.w.tell("backend %d ran %x/%d", b.number, a.id, try.number)
	if a.effects > 1 {
		c.w.broken("effects stay single", "ask %x of class %s had its effect %d times", a.id, a.class, a.effects)
	}
	if a.finals > 0 && a.verdict == "refused" && a.class != "look" {
		c.w.broken("a refusal is harmless", "ask %x of class %s runs after it was refused", a.id, a.class)
	}
}

// fell is a cold backend that was sent too much.
func (c *check) fell(b *backend, n int) {
	c.w.broken("cold backends are spared", "backend %d, started %v ago, was sent %d in %v", b.number, c.w.now-b.born, n, b.fallFor)
}

// owed looks for asks whose time is up and that have no answer, at doors that could have given it.
func (c *check) owed() {
	open := c.asks[:0]
	for _, a := range c.asks {
		switch {
		case a.finals > 0:
		case a.epoch != a.door.epoch: // the door was killed with it: it is left to its client
			c.lost++
		case c.w.now > a.arrived+a.timeout && !a.door.stood(a.arrived, c.w.now):
			c.w.broken("one final answer", "ask %x has none %v after its arrival", a.id, c.w.now-a.arrived)
		default:
			open = append(open, a)
		}
	}
	clear(c.asks[len(open):])
	c.asks = open
}

// atRest looks at what is left once all has ended.
func (c *check) atRest(doors []*door) {
	for _, d := range doors {
		if n := d.core.Open(); n > 0 || len(d.out) > 0 {
			c.w.broken("everything is given back", "door %d keeps %d requests and %d attempts when nothing is asked any more", d.number, n, len(d.out))
		}
		if n := d.core.Strays(); n > 0 {
			c.w.broken("every action fits", "%d actions of door %d's decision module fit no request", n, d.number)
		}
	}
	if len(c.asks) > 0 {
		c.w.broken("everything is accounted for", "%d asks have no end", len(c.asks))
	}
}
