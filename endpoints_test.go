package pumicecroft

import (
	"context"
	"fmt"
	"testing"

	"pumicecroft/decision"
	"pumicecroft/internal/testkit"
	"pumicecroft/membership"
)

// manyNodes returns a full update with n ready backends.
func manyNodes(n int) membership.Update {
	update := membership.Update{Full: true}
	for i := range n {
		update.Nodes = append(update.Nodes, membership.Node{Name: fmt.Sprintf("n-%04d", i), Addr: "h:1", Weight: 1})
	}
	return update
}

// recordUpdates returns an engine that calls record with each endpoint update that it handles.
func recordUpdates(record func(decision.EndpointUpdate)) *testkit.ScriptedEngine {
	respond := func(ev decision.Event) []decision.Action {
		if update, ok := ev.(decision.EndpointUpdate); ok {
			record(update)
		}
		return nil
	}
	return &testkit.ScriptedEngine{Events: make(chan decision.Event, 1000), Respond: respond}
}

// The engine must get a long update in steps, also a cached one and removals that the table makes all at once.
func TestLongUpdateIsPublishedInSteps(t *testing.T) {
	const n = 10*entriesPerStep + 7
	steps, longestStep, states := 0, 0, map[decision.BackendID]decision.BackendState{}
	config := testConfig()
	config.InitialEndpoints = manyNodes(n)
	gateway, err := newGateway(config, recordUpdates(func(update decision.EndpointUpdate) {
		if cached := update.Kind == decision.UpdateCached; cached != (steps == 0) {
			t.Errorf("step %d has kind %v, want UpdateCached (%v) for step 0 alone", steps, update.Kind, decision.UpdateCached)
		}
		steps, longestStep = steps+1, max(longestStep, len(update.Endpoints))
		for _, b := range update.Endpoints {
			states[b.ID] = b.State
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
	check := func(name string, minSteps, wantNodes int, state decision.BackendState) {
		t.Helper()
		nodes := 0
		for _, s := range states {
			if s == state {
				nodes++
			}
		}
		if longestStep > changesPerStep || steps < minSteps || nodes != wantNodes {
			t.Errorf("%s: %d steps of up to %d changes, %d nodes in state %v; want at least %d steps of up to %d, and %d nodes",
				name, steps, longestStep, nodes, state, minSteps, changesPerStep, wantNodes)
		}
		steps, longestStep = 1, 0
	}
	check("cached", 11, n, decision.Ready)
	update := manyNodes(n)
	for i := range update.Nodes {
		update.Nodes[i].Addr = "h:2"
	}
	gateway.Update(update)
	check("new addresses", 12, n, decision.Ready)
	gateway.Update(membership.Update{Full: true})
	check("removed", 12, n, decision.Removed)
}

// A drain reported by another source must not wait for a long update: it is applied between two steps of that update.
func TestDrainBetweenTwoSteps(t *testing.T) {
	const n = 4 * entriesPerStep
	var published []string
	config := testConfig()
	config.InitialEndpoints = membership.Update{Nodes: []membership.Node{{Name: "old", Addr: "h:1", Weight: 1}}}
	gateway, err := newGateway(config, recordUpdates(func(update decision.EndpointUpdate) {
		for _, b := range update.Endpoints {
			published = append(published, fmt.Sprint(b.ID, b.State))
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
	update := manyNodes(n)
	update.Full = false
	merge := gateway.membershipTable.BeginMerge(ownSource, update, gateway.executor.Clock().FromWallTime)
	gateway.updateMu.Lock()
	more := gateway.applyStep(merge, ownSource)
	gateway.updateMu.Unlock()
	if !more || len(published) != 1+entriesPerStep {
		t.Fatalf("after one step: %d changes published, want %d; more steps: %v, want true",
			len(published), 1+entriesPerStep, more)
	}
	gateway.applyUpdate("other", membership.Update{
		Nodes: []membership.Node{{Name: "old", Addr: "h:1", State: decision.Draining}}})
	last := published[len(published)-1]
	if want := fmt.Sprint(1, decision.Draining); len(published) != 2+entriesPerStep || last != want {
		t.Errorf("after the drain: %d changes published, the last is %q; want %d, the last %q",
			len(published), last, 2+entriesPerStep, want)
	}
	for more {
		gateway.updateMu.Lock()
		more = gateway.applyStep(merge, ownSource)
		gateway.updateMu.Unlock()
	}
	if len(published) != 2+n {
		t.Errorf("after all steps: %d changes published, want %d", len(published), 2+n)
	}
}

// silentSource is a source that reports nothing.
type silentSource struct{}

func (silentSource) Run(ctx context.Context, _ func(membership.Update)) { <-ctx.Done() }

// A Gateway that is closed during an update must not apply the remaining steps, nor later updates.
func TestCloseDuringUpdate(t *testing.T) {
	applied, gateway := 0, (*Gateway)(nil)
	gateway, err := newGateway(testConfig(), recordUpdates(func(update decision.EndpointUpdate) {
		if applied += len(update.Endpoints); applied > 0 {
			gateway.cancel()
		}
	}), nil)
	if err != nil {
		t.Fatal(err)
	}
	gateway.Update(manyNodes(4 * entriesPerStep))
	if applied != entriesPerStep {
		t.Errorf("%d nodes were applied, want %d", applied, entriesPerStep)
	}
	if err := gateway.Close(t.Context()); err != nil {
		t.Error(err)
	}
	gateway.Update(manyNodes(1))
	if applied != entriesPerStep {
		t.Errorf("%d nodes were applied in all after Close, want still %d", applied, entriesPerStep)
	}
}
