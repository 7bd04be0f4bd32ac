package membership

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"pumicecroft/decision"
)

// State is the state of a node in a Table, by the reports of all sources.
type State uint8

// The states. Only WarmingUp and Ready nodes are sent new requests. WarmingUp is for display only: the Table
// itself treats such a node as Ready. A node in the table is never Removed, and Unknown only until its first
// report has been evaluated.
const (
	Unknown   State = iota // not reported by any source
	WarmingUp              // ready, and started or registered within Policy.WarmupWindow
	Ready
	Probation // reports ready after an outage, and its probation has not ended
	Draining  // finishes its open requests and gets no new ones
	Removed
)

// stateNames are the names of the states in command output, JSON and traces. Tools read them, so they stay
// as they are even where a constant has another name.
var stateNames = [...]string{
	Unknown:   "unknown",
	WarmingUp: "cold",
	Ready:     "ready",
	Probation: "suspect",
	Draining:  "draining",
	Removed:   "gone",
}

// String returns the name of the state in command output.
func (s State) String() string { return stateNames[s] }

// NodeStatus is the status of one node, for display.
type NodeStatus struct {
	Node
	ID                decision.BackendID
	EffectiveState    State
	Since             time.Duration // start of EffectiveState; for WarmingUp, when the node became Ready
	ProbationUntil    time.Duration // when the probation of a node in Probation ends; otherwise 0
	RecentOutages     int
	Source            string // the source whose report decided the state
	Stale             bool   // that source has failed since its last report, or its last full update was a cached one
	MissingFromUpdate bool   // a source's last full update lacks the node, in a mass removal not yet confirmed
	Reason            string // human-readable reason for the state
}

// Statuses returns the status of all nodes, sorted by name.
func (t *Table) Statuses() []NodeStatus {
	var statuses []NodeStatus
	for _, m := range t.members {
		statuses = append(statuses, t.status(m))
	}
	slices.SortFunc(statuses, func(a, b NodeStatus) int { return cmp.Compare(a.Name, b.Name) })
	return statuses
}

func (t *Table) status(m *member) NodeStatus {
	decider := &t.sources[m.decidedBy]
	status := NodeStatus{
		Node:           *m.reports[0].node,
		ID:             m.id,
		EffectiveState: m.state,
		Since:          m.since,
		RecentOutages:  m.outages,
		Source:         decider.Name,
		Stale:          decider.failed || decider.cached,
	}
	for i := range t.sources {
		if t.sources[i].removalByNode[m.name] != nil {
			status.MissingFromUpdate = true
		}
	}
	if m.state == Probation {
		status.ProbationUntil = m.probationUntil
	}
	startedAt := m.emitted.StartedAt
	superseded := t.superseded(m, startedAt)
	if superseded {
		status.EffectiveState = Draining
	}
	if status.EffectiveState == Ready && startedAt > 0 && t.now-startedAt < t.policy.WarmupWindow {
		status.EffectiveState = WarmingUp
	}
	status.Reason = describe(status, m.nodeFrom(m.decidedBy))
	if superseded {
		status.Reason = "a process that started later has its address"
	}
	return status
}

// describe returns a human-readable reason for a status. decisive is the report that decided the state.
func describe(status NodeStatus, decisive *Node) string {
	var parts []string
	add := func(format string, args ...any) { parts = append(parts, fmt.Sprintf(format, args...)) }
	switch status.EffectiveState {
	case Probation:
		add("%s says that it is well again; it was out %d times lately", status.Source, status.RecentOutages)
	case Draining:
		add("%s says that it takes nothing new", status.Source)
	case WarmingUp:
		add("it started or was registered lately")
	default:
		add("%s says that it is ready", status.Source)
	}
	if decisive != nil && decisive.Note != "" {
		add("%s", decisive.Note)
	}
	if status.MissingFromUpdate {
		add("the last list lacks it and most others, and is not believed yet")
	}
	if status.Stale {
		add("%s has not been heard since", status.Source)
	}
	return strings.Join(parts, "; ")
}
