// Package membership says which backends there are. It holds the form in which any source (the platform's
// discovery, a file, a program's own list) reports them; a source only reports, and never learns what is made
// of it. The package is pure: it does no I/O and reads no clock.
package membership

import (
	"fmt"
	"time"

	"pumicecroft/decision"
)

// Node is one backend.
type Node struct {
	Name         string // the same for as long as this is the same machine, whatever its address
	Addr         string // host:port to connect to; may be empty of a node that is gone
	Zone         string
	InstanceType string // the model of the machine
	// Protocol is what it speaks: ProtocolHTTP, ProtocolGRPC; empty: what the Door takes it to be.
	Protocol  string
	Cell      int // backends of one cell drop each other's repeats
	State     decision.BackendState
	Weight    float64
	StartedAt time.Time // when its process last started, or was registered; the zero time: long ago
	Note      string    // why its source says so, for people
}

// The protocols that a node may speak.
const (
	ProtocolHTTP = "http"
	ProtocolGRPC = "grpc"
)

// Update is news of the nodes.
type Update struct {
	Full        bool // these are all nodes, and what is missing is gone; else only these have changed
	Cached      bool // with Whole: it is the list as last held before a restart, and may be old
	SourceReset bool // with Whole: its source began anew with other data; what it lacks may only not have come back yet
	Nodes       []Node
	// Invalid names nodes of which the list says something that makes no sense: they stay as they were.
	Invalid []string
	// DrainsOnly says that a list which names these as draining has begun and not ended. The nodes that are known drain from now on, whether
	// or not it ends; the rest of it comes when it has.
	DrainsOnly bool
	// Err says that the source can't be heard, and why; nothing else is looked at. What it said stays.
	Err error
}

// Check tells what is wrong with a node, or nil.
func (n Node) Check() error {
	switch {
	case n.Name == "":
		return fmt.Errorf("a node without a name, at %q", n.Addr)
	case n.State > decision.Removed:
		return fmt.Errorf("node %q has no state that is known", n.Name)
	case n.Addr == "" && n.State != decision.Removed:
		return fmt.Errorf("node %q has no address", n.Name)
	}
	return nil
}
