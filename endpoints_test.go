package pumicecroft

import (
	"context"
	"fmt"
	"testing"

	"pumicecroft/decision"
	"pumicecroft/internal/testkit"
	"pumicecroft/membership"
)

// manyNodes is an update with n ready backends.
func manyNodes(n int) membership.Update {
	l := membership.Update{Full: true}
	for i := range n {
		l.Nodes = append(l.Nodes, membership.Node{Name: fmt.Sprintf("n-%04d", i), Addr: "h:1", Weight: 1})
	}
	return l
}

// recordUpdates is an engine that passes on the endpoint updates that it handles.
func recordUpdates(on func(decision.EndpointUpdate)) *testkit.ScriptedEngine {
	return &testkit.ScriptedEngine{Events: make(chan decision.Event, 1000), Respond: func(ev decision.Event) []decision.Action {
		if l, ok := ev.(decision.EndpointUpdate); ok {
			on(l)
		}
		return nil
	}}
}

// However long an update is, a cached one and what the table removes at once too, the engine gets it in steps.
func TestLongUpdateIsPublishedInSteps(t *testing.T) {
	const n = 10*entriesPerStep + 7
	steps, most, total := 0, 0, map[decision.BackendID]decision.BackendState{}
	config := testConfig()
	config.InitialEndpoints = manyNodes(n)
	gateway, err := newGateway(config, recordUpdates(func(l decision.EndpointUpdate) {
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
	defer func() {
		if err := gateway.Close(t.Context()); err != nil {
			t.Error(err)
		}
	}()
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
	gateway.Update(l)
	want("moved", 12, n, decision.Ready)
	gateway.Update(membership.Update{Full: true})
	want("gone", 12, n, decision.Removed)
}

// A drain by another source must not wait for a long update: it is taken in between two of its steps.
func TestDrainBetweenTwoSteps(t *testing.T) {
	const n = 4 * entriesPerStep
	var order []string
	config := testConfig()
	config.InitialEndpoints = membership.Update{Nodes: []membership.Node{{Name: "old", Addr: "h:1", Weight: 1}}}
	gateway, err := newGateway(config, recordUpdates(func(l decision.EndpointUpdate) {
		for _, b := range l.Endpoints {
			order = append(order, fmt.Sprint(b.ID, b.State))
		}
	}), []Option{WithNamedSource(membership.SourceInfo{Name: "other", Trusted: true}, silentSource{})})
	if err != nil {
		t.Fatal(err)
	}
	defer func() {
		if err := gateway.Close(t.Context()); err != nil {
			t.Error(err)
		}
	}()
	list := manyNodes(n)
	list.Full = false
	steps := gateway.membershipTable.BeginMerge(ownSource, list, gateway.executor.Clock().FromWallTime)
	gateway.updateMu.Lock()
	more := gateway.applyStep(steps, ownSource)
	gateway.updateMu.Unlock()
	if !more || len(order) != 1+entriesPerStep {
		t.Fatalf("%d of %d nodes after one step", len(order), n)
	}
	gateway.applyUpdate("other", membership.Update{Nodes: []membership.Node{{Name: "old", Addr: "h:1", State: decision.Draining}}})
	if last := order[len(order)-1]; len(order) != 2+entriesPerStep || last != fmt.Sprint(1, decision.Draining) {
		t.Errorf("%d nodes, the last of them %s", len(order), last)
	}
	for more {
		gateway.updateMu.Lock()
		more = gateway.applyStep(steps, ownSource)
		gateway.updateMu.Unlock()
	}
	if len(order) != 2+n {
		t.Errorf("%d nodes in the end", len(order))
	}
}

// silentSource is a source that reports nothing.
type silentSource struct{}

func (silentSource) Run(ctx context.Context, _ func(membership.Update)) { <-ctx.Done() }

// A Gateway that is closed in the middle of an update does not take in the rest of it.
func TestCloseDuringUpdate(t *testing.T) {
	heard, gateway := 0, (*Gateway)(nil)
	gateway, err := newGateway(testConfig(), recordUpdates(func(l decision.EndpointUpdate) {
		if heard += len(l.Endpoints); heard > 0 {
			gateway.cancel()
		}
	}), nil)
	if err != nil {
		t.Fatal(err)
	}
	gateway.Update(manyNodes(4 * entriesPerStep))
	if heard != entriesPerStep {
		t.Errorf("%d nodes were taken", heard)
	}
	if err := gateway.Close(t.Context()); err != nil {
		t.Error(err)
	}
	gateway.Update(manyNodes(1))
	if heard != entriesPerStep {
		t.Errorf("%d nodes were taken after the end", heard)
	}
}
