package sim

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// FaultKind is what goes wrong.
type FaultKind uint8

// The kinds of faults. Those of the network and of backends hold for a while and meet a share of what passes.
const (
	ConnRefused            FaultKind = iota // connections to a backend are refused
	ConnHangs                               // or come up never
	ConnLostBeforeRequest                   // connections break with a part of the request on its way, which the backend never has whole
	ConnLostAfterExecution                  // connections break after it has run, before the answer or anywhere within
	NoResponse                              // answers never come
	DelayedResponse                         // answers come late, and out of order
	SlowBytes                               // requests and answers come in small pieces, some of them too slowly
	InvalidResponse                         // answers are noise
	TrailingBytes                           // something comes behind an answer: noise, or an answer once more
	ErrorResponses                          // the backend answers with an error
	BackendRejects                          // the backend turns away unrun
	SlowExecution                           // work takes many times as long
	Partition                               // nothing passes between a backend and a door, what was sent comes when that is over
	NoDescriptors                           // a door has no descriptors for further connections
	DrainBackend                            // all lists say that a backend drains, and later that it is back
	RestartBackend                          // a backend dies and is back cold
	MoveBackend                             // the same, at another address
	DeregisterBackend                       // a backend is taken out of all lists, and put in again later as a new process
	PauseGateway                            // a door's process stands still
	KillGateway                             // a door is killed and is back with its last lists
	KillAtAttemptStart                      // the same at the instant at which its next attempt is counted, before that leaves or after
	KillAtAttemptEnd                        // or at which its next answer has come, before that is accounted for or after
	ShutdownGateway                         // a door is told to end: it takes nothing more, ends what it has, and what is left after a while at once
	DiscoveryLag                            // discovery's word comes late to a door
	CatalogUnreachable                      // a door's catalogue can't be heard: refused, silent, without a leader, or stale
	CatalogLoss                             // the catalogue loses most of its entries, all of them, or begins anew
	UsageLoss                               // answers tell no use
	Flood                                   // a customer asks far beyond its plan
	ClientDisconnects                       // clients leave early
	CounterLoss                             // the shared counter behind the meter loses a part of its counts at once, and of those that come
	DuplicateRequests                       // clients press twice: the same key once more, at the same door, at once or later
	ReusedIDs                               // clients ask with an id that they have used
	DiskFault                               // the disk of a door's journal fails, is full, or is slow
	ConnLate                                // connections come up late, some after their attempt was given up
	faultKindCount
)

var faultKindNames = [faultKindCount]string{"refuse-conn", "hang-conn", "break-unheard", "break-ran", "silence", "delay", "dribble", "spoil", "behind", "errors",
	"turn-away", "slow", "partition", "descriptors", "drain", "restart", "move", "deregister", "pause", "kill", "kill-counting", "kill-answering",
	"shutdown", "list-lag", "list-fail", "list-loss", "meter-loss", "flood", "leaving", "counter-loss", "press", "replay", "disk", "late-conn"}

// String is the kind's name.
func (k FaultKind) String() string { return faultKindNames[k] }

// Fault is one line of a script.
type Fault struct {
	At, Duration time.Duration // from the run's start
	Kind         FaultKind
	Target       int     // a backend, a door or a customer, by its number
	Variant      int     // of a partition the door; of others a variant
	Share        float64 // of what passes that it meets
}

// String is the fault in a line.
func (f Fault) String() string {
	return fmt.Sprintf("%.3f for %.3f: %v of %d, variant %d, share %.2f", f.At.Seconds(), f.Duration.Seconds(), f.Kind, f.Target, f.Variant, f.Share)
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

// drawScript draws a script: a swarm's seed turns about half of the kinds off, so that those left meet more often.
func drawScript(rng *rand.Rand, c *runConfig) Script {
	var on []FaultKind
	for k := range faultKindCount {
		if rng.IntN(2) == 0 {
			on = append(on, k)
		}
	}
	if len(on) == 0 {
		return nil
	}
	var s Script
	for range 2 + rng.IntN(16) {
		f := Fault{Kind: on[rng.IntN(len(on))], At: randDuration(rng, 0, c.duration*4/5), Duration: randDuration(rng, 10*time.Millisecond, 4*time.Second),
			Variant: rng.IntN(12), Share: []float64{0.1, 0.5, 1}[rng.IntN(3)]}
		switch f.Kind {
		case PauseGateway, KillGateway, KillAtAttemptStart, KillAtAttemptEnd, ShutdownGateway, DiscoveryLag, CatalogUnreachable, NoDescriptors, UsageLoss, DiskFault:
			f.Target = rng.IntN(c.gateways)
		case Flood, ClientDisconnects, DuplicateRequests, ReusedIDs:
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

func randDuration(rng *rand.Rand, least, most time.Duration) time.Duration {
	return least + time.Duration(rng.Int64N(int64(most-least)+1))
}
