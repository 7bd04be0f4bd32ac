package pumicecroft

import (
	"context"
	"fmt"
	"testing"

	"pumicecroft/decision"
	"pumicecroft/internal/testkit"
	"pumicecroft/membership"
)

// many are so many backends that are ready.
func manyNodes(n int) membership.Update {
	l := membership.Update{Full: true}
	for i := range n {
		l.Nodes = append(l.Nodes, membership.Node{Name: fmt.Sprintf("n-%04d", i), Addr: "h:1", Weight: 1})
	}
	return l
}

// lists gives the lists that a decision module hears, as they come.
func recordUpdates(on func(decision.EndpointUpdate)) *testkit.ScriptedEngine {
	return &testkit.ScriptedEngine{Events: make(chan decision.Event, 1000), Respond: func(ev decision.Event) []decision.Action {
		if l, ok := ev.(decision.EndpointUpdate); ok {
			on(l)
		}
		return nil
	}}
}

// However long a list is, what was saved one too, or what the table lets go at once, the decision module hears it in steps.
func TestLongUpdateIsPublishedInSteps(t *testing.T) {
	const n = 10*entriesPerStep + 7
	steps, most, total := 0, 0, map[decision.BackendID]decision.BackendState{}
	config := testConfig()
	config.InitialEndpoints = manyNodes(n)
	door, err := newGateway(config, recordUpdates(func(l decision.EndpointUpdate) {
		if saved := l.Kind == decision.UpdateCached; saved != (steps == 0) {
			t.Errorf("step %d is of kind %v", steps, l.Kind)
		}
		steps, most = steps+1, max(most, len(l.Endpoints))
		for _, b := range l.Endpoints {
			total[b.ID] = b.State
		}
	}), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer door.Close(t.Context())
	want := func(what string, leastSteps, known int, state decision.BackendState) {
		t.Helper()
		in := 0
		for _, s := range total {
			if s == state {
				in++
			}
		}
		if most > changesPerStep || steps < leastSteps || in != known {
			t.Errorf("%s: %d steps of %d at the most, %d nodes are so", what, steps, most, in)
		}
		steps, most = 1, 0
	}
	want("saved", 11, n, decision.Ready)
	l := manyNodes(n)
	for i := range l.Nodes {
		l.Nodes[i].Addr = "h:2"
	}
	door.Update(l)
	want("moved", 12, n, decision.Ready)
	door.Update(membership.Update{Full: true})
	want("gone", 12, n, decision.Removed)
}

// Another source's drain is taken between two steps of a list; what one source says next waits until the list is in.
func TestDrainBetweenTwoSteps(t *testing.T) {
	const n = 4 * entriesPerStep
	var order []string
	config := testConfig()
	config.InitialEndpoints = membership.Update{Nodes: []membership.Node{{Name: "old", Addr: "h:1", Weight: 1}}}
	door, err := newGateway(config, recordUpdates(func(l decision.EndpointUpdate) {
		for _, b := range l.Endpoints {
			order = append(order, fmt.Sprint(b.ID, b.State))
		}
	}), []Option{WithNamedSource(membership.SourceInfo{Name: "other", Trusted: true}, silentSource{})})
	if err != nil {
		t.Fatal(err)
	}
	defer door.Close(t.Context())
	list := manyNodes(n)
	list.Full = false
	steps := door.membershipTable.BeginMerge(ownSource, list, door.executor.Clock().FromWallTime)
	door.updateMu.Lock()
	more := door.applyStep(steps, ownSource)
	door.updateMu.Unlock()
	if !more || len(order) != 1+entriesPerStep {
		t.Fatalf("%d of %d nodes after one step", len(order), n)
	}
	door.applyUpdate("other", membership.Update{Nodes: []membership.Node{{Name: "old", Addr: "h:1", State: decision.Draining}}})
	if last := order[len(order)-1]; len(order) != 2+entriesPerStep || last != fmt.Sprint(1, decision.Draining) {
		t.Errorf("%d nodes, the last of them %s", len(order), last)
	}
	for more {
		door.updateMu.Lock()
		more = door.applyStep(steps, ownSource)
		door.updateMu.Unlock()
	}
	if len(order) != 2+n {
		t.Errorf("%d nodes in the end", len(order))
	}
}

// mute is a source that says nothing.
type silentSource struct{}

func (silentSource) Run(ctx context.Context, _ func(membership.Update)) { <-ctx.Done() }

// A Door that ends in the middle of a list does not take the rest of it.
func TestCloseDuringUpdate(t *testing.T) {
	heard, door := 0, (*Gateway)(nil)
	door, err := newGateway(testConfig(), recordUpdates(func(l decision.EndpointUpdate) {
		if heard += len(l.Endpoints); heard > 0 {
			door.cancel()
		}
	}), nil)
	if err != nil {
		t.Fatal(err)
	}
	door.Update(manyNodes(4 * entriesPerStep))
	if heard != entriesPerStep {
		t.Errorf("%d nodes were taken", heard)
	}
	if err := door.Close(t.Context()); err != nil {
		t.Error(err)
	}
	door.Update(manyNodes(1))
	if heard != entriesPerStep {
		t.Errorf("%d nodes were taken after the end", heard)
	}
}
