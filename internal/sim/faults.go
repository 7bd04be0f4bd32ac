package sim

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// FaultKind is a kind of fault.
type FaultKind uint8

// The kinds of faults. Faults of connections and of backends' responses last for their duration and
// affect a share of the connections, requests or responses.
const (
	ConnRefused            FaultKind = iota // connections to a backend are refused
	ConnHangs                               // connections to a backend are never established
	ConnLostBeforeRequest                   // connections are reset before the backend has the complete request
	ConnLostAfterExecution                  // connections are reset after the execution, before or during the response
	NoResponse                              // no response is sent
	DelayedResponse                         // responses are delayed, and so arrive out of order
	SlowBytes                               // requests and responses arrive in small pieces, some of them too late
	InvalidResponse                         // responses are malformed HTTP or unusable
	TrailingBytes                           // a response is followed by garbage or by a copy of itself
	ErrorResponses                          // the backend responds with an error status
	BackendRejects                          // the backend rejects requests without executing them
	SlowExecution                           // executions take slowExecutionFactor times as long
	Partition                               // nothing arrives between a backend and a gateway until the partition ends
	NoDescriptors                           // a gateway has too few file descriptors for further connections
	DrainBackend                            // the sources report that a backend is draining, and later that it is ready
	RestartBackend                          // a backend's process ends, and later a new one starts and warms up
	MoveBackend                             // like RestartBackend, but the new process has another address
	DeregisterBackend                       // a backend is removed from the sources, and added later as a new process
	PauseGateway                            // a gateway's process is paused
	KillGateway                             // a gateway's process is killed; the next one starts with cached endpoints
	KillAtAttemptStart                      // like KillGateway, when the process next starts an attempt
	KillAtAttemptEnd                        // like KillGateway, when the process's next attempt ends
	ShutdownGateway                         // a gateway is shut down, and later started again
	DiscoveryLag                            // discovery's updates reach a gateway with an additional delay
	CatalogUnreachable                      // the Consul agent fails for a gateway, see agentFailure
	CatalogLoss                             // the catalog loses most or all entries, in one variant its index too
	UsageLoss                               // responses through a gateway don't report usage
	Flood                                   // a customer sends far more than its plan allows
	ClientDisconnects                       // clients disconnect before their timeout
	CounterLoss                             // the usage counter loses a share of its value and of what is added to it
	DuplicateRequests                       // clients send a second request with the same key, at once or later
	ReusedIDs                               // clients reuse the id of an earlier request
	DiskFault                               // the disk of a gateway's journal returns errors, is full, or is slow
	ConnLate                                // connections are established late, some after the connect timeout
	faultKindCount
)

// faultKindNames are the names of the kinds in the corpus and in traces.
var faultKindNames = [faultKindCount]string{
	"refuse-conn", "hang-conn", "break-unheard", "break-ran", "silence", "delay", "dribble", "spoil", "behind",
	"errors", "turn-away", "slow", "partition", "descriptors", "drain", "restart", "move", "deregister", "pause",
	"kill", "kill-counting", "kill-answering", "shutdown", "list-lag", "list-fail", "list-loss", "meter-loss",
	"flood", "leaving", "counter-loss", "press", "replay", "disk", "late-conn",
}

// String returns the kind's name.
func (k FaultKind) String() string { return faultKindNames[k] }

// faultTarget is what Fault.Target refers to.
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

// Fault is one fault of a script.
type Fault struct {
	At       time.Duration // since the start of the run
	Duration time.Duration
	Kind     FaultKind
	Target   int     // number of a backend, gateway or customer, depending on the kind
	Variant  int     // selects a variant of the kind; for Partition the gateway
	Share    float64 // of the connections, requests or responses that the fault affects, 0 to 1
}

// String formats the fault on one line.
func (f Fault) String() string {
	return fmt.Sprintf("%.3f for %.3f: %v of %d, variant %d, share %.2f",
		f.At.Seconds(), f.Duration.Seconds(), f.Kind, f.Target, f.Variant, f.Share)
}

// Script is the list of all faults of a run.
type Script []Fault

// String formats the script with one fault per line.
func (s Script) String() string {
	var b strings.Builder
	for _, fault := range s {
		fmt.Fprintln(&b, "  ", fault)
	}
	return b.String()
}

// faultVariants is the number of values of Fault.Variant. It is a multiple of the number of variants of
// each kind: 2, 3, 4, 6 or 12.
const faultVariants = 12

// drawScript draws a script. About half of the kinds are disabled, so that the others coincide more
// often (swarm testing).
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

// randDuration draws a duration from shortest to longest, both included.
func randDuration(rng *rand.Rand, shortest, longest time.Duration) time.Duration {
	return shortest + time.Duration(rng.Int64N(int64(longest-shortest)+1))
}
