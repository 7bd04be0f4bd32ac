// Package membership merges the reports of several sources, such as the platform's discovery, a service
// catalog, a file or a program's own list, and decides which backends exist and which of them may be sent
// requests.
//
// A Table merges the sources' updates and owns all state derived from them. It never calls a source, so
// sources get no feedback. The package is pure: updates and times go in, changes come out. It does no I/O
// and reads no clock.
package membership

import (
	"fmt"
	"time"

	"pumicecroft/decision"
)

// Node is one backend as a source reports it.
type Node struct {
	Name         string // identifies the node; stays the same when its address changes
	Addr         string // host:port to connect to; may be empty if State is Removed
	Zone         string
	InstanceType string
	// Protocol is the node's protocol: ProtocolHTTP, ProtocolGRPC or the name of another transport. Empty
	// means the gateway's default.
	Protocol string
	Cell     int // backends of one cell deduplicate idempotency keys together
	State    decision.BackendState
	// OwnsAddr means that Addr leads to the node's process alone and that StartedAt is when that process started. A
	// node that started earlier and owns the same address is drained: its process is gone.
	OwnsAddr  bool
	Weight    float64
	StartedAt time.Time // when its process started or was registered; zero: unknown, taken as long ago
	Note      string    // human-readable reason for the reported state
}

// Protocols that a node may speak.
const (
	ProtocolHTTP = "http"
	ProtocolGRPC = "grpc"
)

// Update is what a source reports at one time: all its nodes, or those that changed.
type Update struct {
	// Full means that Nodes lists all nodes of the source, so a node that is missing is removed. Otherwise
	// nodes that are not listed are unchanged.
	Full bool
	// Cached marks a Full update that was stored before a restart and may be out of date.
	Cached bool
	// SourceReset marks a Full update of a source that has lost its earlier data: a missing node may just
	// not have registered again yet.
	SourceReset bool
	Nodes       []Node
	// Invalid names nodes whose entries could not be read. Their previous reports stay in force.
	Invalid []string
	// DrainsOnly marks a partial update that lists the draining nodes of an update which is still being
	// received. Known nodes among them drain from now on, even if the rest never arrives. No field but the
	// name is used.
	DrainsOnly bool
	// Err means that the source can't be reached. The rest of the update is ignored, and the source's
	// previous reports stay in force.
	Err error
}

// Check returns an error if the node is not valid.
func (n Node) Check() error {
	switch {
	case n.Name == "":
		return fmt.Errorf("membership: node without a name at %q", n.Addr)
	case n.State > decision.Removed:
		return fmt.Errorf("membership: node %q has an unknown state", n.Name)
	case n.Addr == "" && n.State != decision.Removed:
		return fmt.Errorf("membership: node %q has no address", n.Name)
	}
	return nil
}
