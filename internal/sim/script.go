package sim

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// Kind is what goes wrong.
type Kind uint8

// The kinds of faults. Those of the network and of backends hold for a while and meet a share of what passes.
const (
	RefuseConn    Kind = iota // connections to a backend are refused
	HangConn                  // or come up never
	BreakUnheard              // connections break with a part of the request on its way, which the backend never has whole
	BreakRan                  // connections break after it has run, before the answer or anywhere within
	Silence                   // answers never come
	Delay                     // answers come late, and out of order
	Dribble                   // requests and answers come in small pieces, some of them too slowly
	Spoil                     // answers are noise
	Behind                    // something comes behind an answer: noise, or an answer once more
	Errors                    // the backend answers with an error
	TurnAway                  // the backend turns away unrun
	Slow                      // work takes many times as long
	Partition                 // nothing passes between a backend and a door, what was sent comes when that is over
	Descriptors               // a door has no descriptors for further connections
	Drain                     // all lists say that a backend drains, and later that it is back
	Restart                   // a backend dies and is back cold
	Move                      // the same, at another address
	Deregister                // a backend is taken out of all lists, and put in again later as a new process
	Pause                     // a door's process stands still
	Kill                      // a door is killed and is back with its last lists
	KillCounting              // the same at the instant at which its next attempt is counted, before that leaves or after
	KillAnswering             // or at which its next answer has come, before that is accounted for or after
	Shutdown                  // a door is told to end: it takes nothing more, ends what it has, and what is left after a while at once
	ListLag                   // discovery's word comes late to a door
	ListFail                  // a door's catalogue can't be heard: refused, silent, without a leader, or stale
	ListLoss                  // the catalogue loses most of its entries, all of them, or begins anew
	MeterLoss                 // answers tell no use
	Flood                     // a customer asks far beyond its plan
	Leaving                   // clients leave early
	CounterLoss               // the shared counter behind the meter loses a part of its counts at once, and of those that come
	Press                     // clients press twice: the same key once more, at the same door, at once or later
	Replay                    // clients ask with an id that they have used
	Disk                      // the disk of a door's journal fails, is full, or is slow
	LateConn                  // connections come up late, some after their attempt was given up
	kinds
)

var kindNames = [kinds]string{"refuse-conn", "hang-conn", "break-unheard", "break-ran", "silence", "delay", "dribble", "spoil", "behind", "errors",
	"turn-away", "slow", "partition", "descriptors", "drain", "restart", "move", "deregister", "pause", "kill", "kill-counting", "kill-answering",
	"shutdown", "list-lag", "list-fail", "list-loss", "meter-loss", "flood", "leaving", "counter-loss", "press", "replay", "disk", "late-conn"}

// String is the kind's name.
func (k Kind) String() string { return kindNames[k] }

// Fault is one line of a script.
type Fault struct {
	At, For time.Duration // from the run's start
	Kind    Kind
	Target  int     // a backend, a door or a customer, by its number
	Other   int     // of a partition the door; of others a variant
	Share   float64 // of what passes that it meets
}

// String is the fault in a line.
func (f Fault) String() string {
	return fmt.Sprintf("%.3f for %.3f: %v of %d, variant %d, share %.2f", f.At.Seconds(), f.For.Seconds(), f.Kind, f.Target, f.Other, f.Share)
}

// Script is all that a run's faults are.
type Script []Fault

// String is the script, a line each.
func (s Script) String() string {
	var b strings.Builder
	for _, f := range s {
		fmt.Fprintln(&b, "  ", f)
	}
	return b.String()
}

// draw draws a script: a swarm's seed turns about half of the kinds off, so that those left meet more often.
func draw(rng *rand.Rand, c *shape) Script {
	var on []Kind
	for k := range kinds {
		if rng.IntN(2) == 0 {
			on = append(on, k)
		}
	}
	if len(on) == 0 {
		return nil
	}
	var s Script
	for range 2 + rng.IntN(16) {
		f := Fault{Kind: on[rng.IntN(len(on))], At: between(rng, 0, c.length*4/5), For: between(rng, 10*time.Millisecond, 4*time.Second),
			Other: rng.IntN(12), Share: []float64{0.1, 0.5, 1}[rng.IntN(3)]}
		switch f.Kind {
		case Pause, Kill, KillCounting, KillAnswering, Shutdown, ListLag, ListFail, Descriptors, MeterLoss, Disk:
			f.Target = rng.IntN(c.doors)
		case Flood, Leaving, Press, Replay:
			f.Target = rng.IntN(c.customers)
		case CounterLoss:
		default:
			f.Target = rng.IntN(c.backends)
		}
		s = append(s, f)
	}
	slices.SortStableFunc(s, func(a, b Fault) int { return int(a.At - b.At) })
	return s
}

func between(rng *rand.Rand, least, most time.Duration) time.Duration {
	return least + time.Duration(rng.Int64N(int64(most-least)+1))
}
