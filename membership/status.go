package membership

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"pumicecroft/decision"
)

// State is a Table's verdict on a node.
type State uint8

// The states. Only WarmingUp and Ready nodes are sent new requests.
const (
	Unknown   State = iota // no source has named it
	WarmingUp              // ready, and started or registered within Policy.WarmupWindow
	Ready
	Probation // was out and reports ready, for less than its probation
	Draining  // finishes what it has
	Removed
)

// stateNames are what the states are called in command output, JSON and traces.
var stateNames = [...]string{
	Unknown:   "unknown",
	WarmingUp: "cold",
	Ready:     "ready",
	Probation: "suspect",
	Draining:  "draining",
	Removed:   "gone",
}

// String returns the name of the state, as it stands in command output.
func (s State) String() string { return stateNames[s] }

// NodeStatus is a Table's view of one node, for people.
type NodeStatus struct {
	Node
	ID                decision.BackendID
	EffectiveState    State
	Since             time.Duration // of EffectiveState, but for WarmingUp, which is Ready with a recent start
	ProbationUntil    time.Duration // when a node in Probation is taken back; otherwise 0
	RecentOutages     int
	Source            string // the source whose report decided
	Stale             bool   // that source has failed since its last report, or has only sent a cached update
	MissingFromUpdate bool   // a source's last full update lacks the node, as part of a mass removal in doubt
	Reason            string // in words
}

// Statuses returns the view of all nodes, sorted by name.
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
		if t.sources[i].missing[m.name] != nil {
			status.MissingFromUpdate = true
		}
	}
	if m.state == Probation {
		status.ProbationUntil = m.probationUntil
	}
	startedAt := m.emitted.StartedAt
	if m.state == Ready && startedAt > 0 && t.now-startedAt < t.policy.WarmupWindow {
		status.EffectiveState = WarmingUp
	}
	status.Reason = describe(status, m.nodeFrom(m.decidedBy))
	return status
}

// describe explains a status in words. decisive is the report that decided.
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
