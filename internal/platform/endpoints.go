package platform

import (
	"fmt"
	"log/slog"
	"time"

	"pumicecroft/decision"
	"pumicecroft/membership"
)

// EndpointUpdate is a full list of endpoints, or a change of it, in the protocol's form. The struct tags are
// the protocol's names.
type EndpointUpdate struct {
	Seq       int64      `json:"seq"`   // version of the list after this update
	Full      bool       `json:"whole"` // the list is complete: backends that it lacks are removed
	Endpoints []Endpoint `json:"hosts"`

	// DrainsOnly marks an update that holds only the draining endpoints of an update that is still being
	// received and may never be completed: see membership.Update.
	DrainsOnly bool `json:"-"`
	// MergedUpdates is the number of received updates that were merged into this one.
	MergedUpdates int `json:"-"`
}

// Endpoint is the endpoint of one backend in the protocol's form.
type Endpoint struct {
	Name         string  `json:"host"`
	Addr         string  `json:"dial"` // host:port
	Zone         string  `json:"site"`
	InstanceType string  `json:"class"`
	Cell         int     `json:"block"`
	Health       string  `json:"health"` // a key of statesByHealth
	Weight       float64 `json:"share"`
	StartedAtMS  int64   `json:"born_ms"` // Unix time in milliseconds; 0 if it started long ago
}

// healthTerminating is the health of a draining backend.
const healthTerminating = "Terminating"

// statesByHealth maps the protocol's health values to backend states.
var statesByHealth = map[string]decision.BackendState{
	"Ready":           decision.Ready,
	healthTerminating: decision.Draining,
	"Gone":            decision.Removed,
}

// Membership converts the update to the library's type. The names of invalid entries are logged and
// collected in Update.Invalid, so that their backends keep their previous state.
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

// node converts the endpoint to the library's type. It returns false if the health or the start time is
// invalid; the library validates the other fields.
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
		OwnsAddr:     true,
		Weight:       e.Weight,
	}
	if e.StartedAtMS != 0 {
		node.StartedAt = time.UnixMilli(e.StartedAtMS)
	}
	return node, true
}
