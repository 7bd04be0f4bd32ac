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
	BreakUnheard              // connections break with a request on its way, which the backend never has
	BreakRan                  // connections break after it has run
	Silence                   // answers never come
	Delay                     // answers come late, and out of order
	Spoil                     // answers are noise
	Errors                    // the backend answers with an error
	TurnAway                  // the backend turns away unrun
	Slow                      // work takes many times as long
	Drain                     // discovery says that a backend drains, and later that it is back
	Restart                   // a backend dies and is back cold
	Pause                     // a door's process stands still
	Kill                      // a door is killed and is back with its last list
	KillCounting              // the same at the instant at which its next attempt is counted, before that leaves or after
	KillAnswering             // or at which its next answer has come, before that is accounted for or after
	ListLag                   // discovery's word comes late to a door
	MeterLoss                 // answers tell no use, or an old one
	Flood                     // a customer asks far beyond its plan
	Leaving                   // clients leave early
	kinds
)

var kindNames = [kinds]string{"refuse-conn", "hang-conn", "break-unheard", "break-ran", "silence", "delay", "spoil", "errors", "turn-away", "slow",
	"drain", "restart", "pause", "kill", "kill-counting", "kill-answering", "list-lag", "meter-loss", "flood", "leaving"}

// String is the kind's name.
func (k Kind) String() string { return kindNames[k] }

// Fault is one line of a script.
type Fault struct {
	At, For time.Duration // from the run's start
	Kind    Kind
	Target  int     // a backend, a door or a customer, by its number
	Share   float64 // of what passes that it meets
}

// String is the fault in a line.
func (f Fault) String() string {
	return fmt.Sprintf("%.3f for %.3f: %v of %d, share %.2f", f.At.Seconds(), f.For.Seconds(), f.Kind, f.Target, f.Share)
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
	for range 2 + rng.IntN(14) {
		f := Fault{Kind: on[rng.IntN(len(on))], At: between(rng, 0, c.length*4/5), For: between(rng, 10*time.Millisecond, 4*time.Second),
			Share: []float64{0.1, 0.5, 1}[rng.IntN(3)]}
		switch f.Kind {
		case Pause, Kill, KillCounting, KillAnswering, ListLag, MeterLoss:
			f.Target = rng.IntN(c.doors)
		case Flood, Leaving:
			f.Target = rng.IntN(c.customers)
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
