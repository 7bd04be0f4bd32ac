// Package membership decides which backends exist and which of them may be sent requests, by what
// several sources report: the platform's discovery, a service catalog, a file, or a program's own
// list.
//
// A Table merges the sources' updates and owns all that is kept of them. Sources only report and
// never learn what became of a report. The package is pure: updates and times go in, changes come
// out. It does no I/O and reads no clock.
package membership

import (
	"fmt"
	"time"

	"pumicecroft/decision"
)

// Node is one backend as a source reports it.
type Node struct {
	Name         string // identity: the same for as long as it is the same machine, whatever its address
	Addr         string // host:port to connect to; may be empty in a removed node
	Zone         string
	InstanceType string
	// Protocol is what the node speaks: ProtocolHTTP, ProtocolGRPC or the name of another transport.
	// Empty means the gateway's default.
	Protocol  string
	Cell      int // backends of one cell share their deduplication of idempotency keys
	State     decision.BackendState
	Weight    float64
	StartedAt time.Time // when its process started or was registered; zero means long ago
	Note      string    // why the source reports this state, for people
}

// Protocols that a node may speak.
const (
	ProtocolHTTP = "http"
	ProtocolGRPC = "grpc"
)

// Update is what a source reports: all its nodes, or those that changed.
type Update struct {
	// Full means that Nodes are all the source has, so a node that is missing is removed. Otherwise
	// nodes that are not named stay as they were.
	Full bool
	// Cached marks a Full update that was stored before a restart and may be out of date.
	Cached bool
	// SourceReset marks a Full update of a source that restarted with other data: a missing node may
	// only not have registered again yet.
	SourceReset bool
	Nodes       []Node
	// Invalid names nodes whose entries made no sense. They stay as they were.
	Invalid []string
	// DrainsOnly marks the part of an unfinished update that names draining nodes. Those that are known
	// drain from now on, whether or not the update is ever completed; nothing else is taken from it.
	DrainsOnly bool
	// Err means that the source can't be reached. The rest of the update is ignored, and what the source
	// reported before stays in force.
	Err error
}

// Check returns what is wrong with a node, or nil.
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
