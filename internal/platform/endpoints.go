package platform

import (
	"fmt"
	"log/slog"
	"time"

	"pumicecroft/decision"
	"pumicecroft/membership"
)

// EndpointUpdate is the list of backends, or a change of it, in the protocol's form. The tags are the
// protocol's names; the Go names are the usual ones.
type EndpointUpdate struct {
	Seq       int64      `json:"seq"`   // version of the list that the update leads to
	Full      bool       `json:"whole"` // backends that are missing are gone
	Endpoints []Endpoint `json:"hosts"`

	// DrainsOnly marks the drains of an update that has not ended yet and may never end: see
	// membership.Update.
	DrainsOnly bool `json:"-"`
	// MergedUpdates is how many updates that arrived together this one stands for.
	MergedUpdates int `json:"-"`
}

// Endpoint is one backend in the protocol's form.
type Endpoint struct {
	Name         string  `json:"host"`
	Addr         string  `json:"dial"` // host:port
	Zone         string  `json:"site"`
	InstanceType string  `json:"class"`
	Cell         int     `json:"block"`
	Health       string  `json:"health"` // a key of statesByHealth
	Weight       float64 `json:"share"`
	StartedAtMS  int64   `json:"born_ms"` // Unix time in milliseconds; 0 means long ago
}

// healthTerminating is the health of a backend that drains.
const healthTerminating = "Terminating"

var statesByHealth = map[string]decision.BackendState{
	"Ready":           decision.Ready,
	healthTerminating: decision.Draining,
	"Gone":            decision.Removed,
}

// Membership returns the update in the library's terms. Invalid entries become Update.Invalid, so that
// their backends stay as they were; they are logged.
func (u EndpointUpdate) Membership() membership.Update {
	update := membership.Update{
		Full:       u.Full,
		DrainsOnly: u.DrainsOnly,
		Nodes:      make([]membership.Node, 0, len(u.Endpoints)),
	}
	for _, e := range u.Endpoints {
		if node, ok := e.node(); ok {
			update.Nodes = append(update.Nodes, node)
		} else {
			update.Invalid = append(update.Invalid, e.Name)
		}
	}
	if len(update.Invalid) > 0 && !u.DrainsOnly {
		slog.Warn("invalid endpoint entries", "entries", len(update.Invalid), "seq", u.Seq,
			"first_host", fmt.Sprintf("%.80q", update.Invalid[0]))
	}
	return update
}

// node returns the backend in the library's terms, and false if its health or start is invalid. The
// library checks the rest.
func (e Endpoint) node() (membership.Node, bool) {
	state, known := statesByHealth[e.Health]
	if !known || e.StartedAtMS < 0 {
		return membership.Node{}, false
	}
	node := membership.Node{
		Name:         e.Name,
		Addr:         e.Addr,
		Zone:         e.Zone,
		InstanceType: e.InstanceType,
		Cell:         e.Cell,
		State:        state,
		Weight:       e.Weight,
	}
	if e.StartedAtMS != 0 {
		node.StartedAt = time.UnixMilli(e.StartedAtMS)
	}
	return node, true
}
