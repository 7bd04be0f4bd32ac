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

// The kinds of faults. Those of connections and of backends' responses hold for a while and meet a
// share of what passes.
const (
	ConnRefused            FaultKind = iota // connections to a backend are refused
	ConnHangs                               // connections to a backend never come up
	ConnLostBeforeRequest                   // connections are reset before the backend has the whole request
	ConnLostAfterExecution                  // connections are reset after execution, before the response or within it
	NoResponse                              // responses never come
	DelayedResponse                         // responses come late, and out of order
	SlowBytes                               // requests and responses come in small pieces, some too slowly
	InvalidResponse                         // responses are no HTTP, or not usable
	TrailingBytes                           // bytes come behind a response: noise, or the response once more
	ErrorResponses                          // the backend responds with an error
	BackendRejects                          // the backend rejects requests unexecuted
	SlowExecution                           // execution takes many times as long
	Partition                               // nothing passes between a backend and a gateway until it ends
	NoDescriptors                           // a gateway has no descriptors for further connections
	DrainBackend                            // the sources say that a backend drains, and later that it is ready
	RestartBackend                          // a backend's process ends, and a new one warms up
	MoveBackend                             // the same, at another address
	DeregisterBackend                       // a backend is removed from the sources, and added later as a new process
	PauseGateway                            // a gateway's process is paused
	KillGateway                             // a gateway's process is killed, and starts with its cached endpoints
	KillAtAttemptStart                      // the same when its next attempt is counted
	KillAtAttemptEnd                        // the same when its next attempt has ended
	ShutdownGateway                         // a gateway is told to stop, and starts again
	DiscoveryLag                            // discovery's updates come late to a gateway
	CatalogUnreachable                      // the agent refuses a gateway, is silent, has no leader, or is stale
	CatalogLoss                             // the catalog loses most entries, all of them, or begins anew
	UsageLoss                               // responses through a gateway don't report usage
	Flood                                   // a customer sends far beyond its plan
	ClientDisconnects                       // clients disconnect early
	CounterLoss                             // the counter of usage loses a share of what it has, and of what is added
	DuplicateRequests                       // clients send the same key once more to the same gateway, at once or later
	ReusedIDs                               // clients send a request id that they have used
	DiskFault                               // the disk of a gateway's journal fails, is full, or is slow
	ConnLate                                // connections come up late, some after their attempt was given up
	faultKindCount
)

// faultKindNames are the kinds' names in the corpus and in traces.
var faultKindNames = [faultKindCount]string{
	"refuse-conn", "hang-conn", "break-unheard", "break-ran", "silence", "delay", "dribble", "spoil", "behind", "errors",
	"turn-away", "slow", "partition", "descriptors", "drain", "restart", "move", "deregister", "pause", "kill",
	"kill-counting", "kill-answering", "shutdown", "list-lag", "list-fail", "list-loss", "meter-loss", "flood", "leaving",
	"counter-loss", "press", "replay", "disk", "late-conn",
}

// String is the kind's name.
func (k FaultKind) String() string { return faultKindNames[k] }

// faultTarget is what a fault's Target numbers.
type faultTarget uint8

const (
	targetNone faultTarget = iota
	targetBackend
	targetGateway
	targetCustomer
)

func (k FaultKind) target() faultTarget {
	switch k {
	case PauseGateway, KillGateway, KillAtAttemptStart, KillAtAttemptEnd, ShutdownGateway, NoDescriptors,
		DiscoveryLag, CatalogUnreachable, UsageLoss, DiskFault:
		return targetGateway
	case Flood, ClientDisconnects, DuplicateRequests, ReusedIDs:
		return targetCustomer
	case CounterLoss:
		return targetNone
	default:
		return targetBackend
	}
}

// Fault is one line of a script.
type Fault struct {
	At       time.Duration // from the run's start
	Duration time.Duration
	Kind     FaultKind
	Target   int     // number of a backend, a gateway or a customer, by the kind; taken modulo their number
	Variant  int     // of the kind; a partition's gateway
	Share    float64 // of what passes that the fault meets, 0 to 1
}

// String is the fault in a line.
func (f Fault) String() string {
	return fmt.Sprintf("%.3f for %.3f: %v of %d, variant %d, share %.2f",
		f.At.Seconds(), f.Duration.Seconds(), f.Kind, f.Target, f.Variant, f.Share)
}

// Script is all faults of a run.
type Script []Fault

// String is the script, a line each.
func (s Script) String() string {
	var b strings.Builder
	for _, fault := range s {
		fmt.Fprintln(&b, "  ", fault)
	}
	return b.String()
}

// faultVariants bounds Fault.Variant: kinds have 2, 3, 4, 6 or 12 variants.
const faultVariants = 12

// drawScript draws a script: about half of the kinds are off, so that those left meet each other
// more often (swarm testing).
func drawScript(rng *rand.Rand, config *runConfig) Script {
	var enabled []FaultKind
	for kind := range faultKindCount {
		if rng.IntN(2) == 0 {
			enabled = append(enabled, kind)
		}
	}
	if len(enabled) == 0 {
		return nil
	}
	var script Script
	for range 2 + rng.IntN(16) {
		var fault Fault
		fault.Kind = oneOf(rng, enabled...)
		fault.At = randDuration(rng, 0, config.duration*4/5)
		fault.Duration = randDuration(rng, 10*time.Millisecond, 4*time.Second)
		fault.Variant = rng.IntN(faultVariants)
		fault.Share = oneOf(rng, 0.1, 0.5, 1)
		switch fault.Kind.target() {
		case targetGateway:
			fault.Target = rng.IntN(config.gateways)
		case targetCustomer:
			fault.Target = rng.IntN(config.customers)
		case targetBackend:
			fault.Target = rng.IntN(config.backends)
		}
		script = append(script, fault)
	}
	slices.SortStableFunc(script, func(a, b Fault) int { return int(a.At - b.At) })
	return script
}

// randDuration draws a time from least to most.
func randDuration(rng *rand.Rand, least, most time.Duration) time.Duration {
	return least + time.Duration(rng.Int64N(int64(most-least)+1))
}
