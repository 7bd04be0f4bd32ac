package consul

import (
	"context"
	"errors"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"pumicecroft"
	"pumicecroft/internal/endpointcache"
	"pumicecroft/internal/fakes"
	"pumicecroft/internal/hosttest"
	"pumicecroft/membership"
)

// The agent fails under load, in another way in each subtest. The gateway must keep the last list of nodes and lose no
// request, and after the recovery of the agent it must apply only the changes.
func TestFailingAgentLosesNoRequest(t *testing.T) {
	for name, c := range map[string]struct {
		fault fakes.ConsulFault
		mode  Consistency
	}{
		"connections refused":       {fault: fakes.ConsulRefusesConnections},
		"no response":               {fault: fakes.ConsulSilent},
		"status 500":                {fault: fakes.ConsulServerError},
		"truncated responses":       {fault: fakes.ConsulTruncates},
		"no leader":                 {fault: fakes.ConsulNoLeader},
		"no leader, stale queries":  {fault: fakes.ConsulNoLeader, mode: Stale},
		"no leader, empty response": {fault: fakes.ConsulEmptyNoLeader},
		"entries removed by ACLs":   {fault: fakes.ConsulACLFiltered},
		"invalid JSON":              {fault: fakes.ConsulGarbled},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t, func(cfg *Config) { cfg.Consistency = c.mode })
			for range 4 {
				f.startBackend(nil)
			}
			gateway := f.startGatewayWithNodes(4, nil)
			before := statusesOf(gateway)
			load := f.startLoad(4, "pay", time.Millisecond, gateway)
			if err := f.agent.SetFault(c.fault); err != nil {
				t.Fatal(err)
			}
			f.waitFor(gateway, "stale statuses", func(nodes statuses) bool { return nodes["b1"].Stale })
			served := load.served.Load()
			f.agent.Remove("n1", "b0") // the gateway can't see this yet; the backend keeps serving, as a draining one would
			b4 := f.startBackend(nil)
			for load.served.Load() < served+200 {
				time.Sleep(time.Millisecond)
			}
			known := slices.Sorted(maps.Keys(statusesOf(gateway)))
			if c.fault != fakes.ConsulNoLeader && !slices.Equal(known, []string{"b0", "b1", "b2", "b3"}) {
				t.Errorf("while the agent fails the gateway knows %q, want b0 to b3", known)
			}
			if err := f.agent.SetFault(fakes.ConsulHealthy); err != nil {
				t.Fatal(err)
			}
			f.waitForState(gateway, "b0", "gone")
			f.waitFor(gateway, "b4", func(nodes statuses) bool { return nodes[b4].State == "ready" && !nodes["b1"].Stale })
			f.stopAndCheckNoLoss(load)
			after := statusesOf(gateway)
			for _, id := range []string{"b1", "b2", "b3"} {
				if b, a := before[id], after[id]; !a.Since.Equal(b.Since) || a.State != "ready" {
					t.Errorf("%s is %+v, want it ready and unchanged since before the failure: %+v", id, a, b)
				}
			}
		})
	}
}

// The Consul servers lose their data: the list becomes empty and its index (X-Consul-Index) goes back. That alone
// must not remove a node. Nodes that register again keep their state; a node that does not is removed after
// FullRemovalDelay.
func TestAgentLosesItsData(t *testing.T) {
	t.Parallel()
	f := newFixture(t, nil)
	for range 5 {
		f.startBackend(nil)
	}
	gateway := f.startGatewayWithNodes(5, func(c *pumicecroft.Config) { c.Membership.FullRemovalDelay = 3 * time.Second })
	before := statusesOf(gateway)
	load := f.startLoad(4, "pay", time.Millisecond, gateway)
	f.agent.Reset()
	f.waitFor(gateway, "the empty list", func(nodes statuses) bool {
		return strings.Contains(nodes["b1"].Explanation, "lacks it")
	})
	for _, id := range []string{"b0", "b1", "b2", "b3"} { // as the agents' anti-entropy does, one after another
		f.agent.Register(f.instance(id))
		f.waitFor(gateway, id+" to be listed", func(nodes statuses) bool {
			return !strings.Contains(nodes[id].Explanation, "lacks it")
		})
		if n := len(statusesOf(gateway)); n != 5 {
			t.Errorf("the gateway knows %d nodes, want 5", n)
		}
	}
	f.waitForState(gateway, "b4", "gone")
	after := statusesOf(gateway)
	for _, id := range []string{"b0", "b1", "b2", "b3"} {
		if b, a := before[id], after[id]; !a.Since.Equal(b.Since) || a.State != "ready" {
			t.Errorf("%s is %+v, want it ready and unchanged since before the reset: %+v", id, a, b)
		}
	}
	f.stopAndCheckNoLoss(load)
}

// Most nodes are deregistered at once. They must be removed only when a further response has confirmed it.
func TestMassDeregistration(t *testing.T) {
	t.Parallel()
	f := newFixture(t, nil)
	for range 6 {
		f.startBackend(nil)
	}
	gateway := f.startGatewayWithNodes(6, func(c *pumicecroft.Config) {
		c.Membership.MassRemovalDelay = 0 // 0: the default delay
	})
	load := f.startLoad(4, "look", time.Millisecond, gateway)
	queriesBefore := len(f.agent.Queries())
	for _, id := range []string{"b0", "b1", "b2", "b3", "b4"} {
		f.agent.Remove("n1", id)
	}
	f.waitFor(gateway, "five nodes to be removed", func(nodes statuses) bool { return len(nodes) == 1 })
	// TestMassRemoval of package membership checks the delay to the millisecond.
	if n := len(f.agent.Queries()) - queriesBefore; n < 2 {
		t.Errorf("removed after %d queries, want at least 2", n)
	}
	f.stopAndCheckNoLoss(load)
}

// The agent does not hold blocking queries: it responds at once, with index 0 or whatever the index is. The client
// must limit its query rate and still see changes.
func TestAgentRespondsWithoutWaiting(t *testing.T) {
	for name, fault := range map[string]fakes.ConsulFault{
		"index 0":   fakes.ConsulZeroIndex,
		"any index": fakes.ConsulImmediate,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t, func(c *Config) { c.Wait = 10 * time.Second })
			f.startBackend(nil)
			f.startBackend(nil)
			if err := f.agent.SetFault(fault); err != nil {
				t.Fatal(err)
			}
			gateway := f.startGatewayWithNodes(2, nil)
			start, before := time.Now(), len(f.agent.Queries())
			time.Sleep(2 * time.Second) // the period over which the query rate is measured
			if n := len(f.agent.Queries()) - before; float64(n) > 2*(2*time.Since(start).Seconds()+2) {
				t.Errorf("%d queries in %v, want at most 2 a second plus 2 for each of the 2 APIs", n, time.Since(start))
			}
			f.agent.SetCheck("n1", "b0", fakes.ConsulCheck{ID: "web", Status: "critical"})
			f.waitForState(gateway, "b0", "draining")
		})
	}
}

// The check of a node flaps. The node must receive no attempts while it fails and must not become ready after each
// recovery, and the other nodes must serve all requests.
func TestFlappingNode(t *testing.T) {
	t.Parallel()
	f := newFixture(t, nil)
	for range 3 {
		f.startBackend(nil)
	}
	gateway := f.startGatewayWithNodes(3, func(c *pumicecroft.Config) {
		c.Membership.ProbationMin, c.Membership.ProbationMax = 300*time.Millisecond, 5*time.Second
	})
	load := f.startLoad(4, "pay", time.Millisecond, gateway)
	type span struct{ from, to time.Time }
	var failing []span
	timesReady := 0
	for range 20 {
		f.agent.SetCheck("n1", "b0", fakes.ConsulCheck{ID: "web", Status: "critical", Output: "refused"})
		f.waitForState(gateway, "b0", "draining")
		from := time.Now()
		time.Sleep(50 * time.Millisecond) // duration of the failure
		failing = append(failing, span{from, time.Now()})
		f.agent.SetCheck("n1", "b0", fakes.ConsulCheck{ID: "web", Status: "passing"})
		f.waitFor(gateway, "b0 to be on probation", func(nodes statuses) bool { return nodes["b0"].State != "draining" })
		time.Sleep(50 * time.Millisecond)
		if statusesOf(gateway)["b0"].State == "ready" {
			timesReady++
		}
	}
	f.stopAndCheckNoLoss(load)
	if m := statusesOf(gateway)["b0"]; timesReady > 0 || m.State != "suspect" || time.Until(m.Until) < time.Second {
		t.Errorf("b0 was ready %d times and is %+v, want 0 times, and suspect for at least 1s more", timesReady, m)
	}
	for _, a := range f.attemptsAt("b0") {
		for _, s := range failing {
			if a.At.After(s.from.Add(20*time.Millisecond)) && a.At.Before(s.to) { // earlier ones were in flight at the failure
				t.Errorf("attempt at b0 %v after it began to drain, want none after 20ms", a.At.Sub(s.from))
			}
		}
	}
}

// A node warms up (state "cold") if its registration is new, also under the same ID and address or under another ID at
// the same address, or if its process is new. It does not warm up if its check fails and passes again.
func TestSlowStartOfNewNodes(t *testing.T) {
	t.Parallel()
	f := newFixture(t, nil)
	for range 4 {
		f.startBackend(nil)
	}
	gateway := f.startGatewayWithNodes(4, func(c *pumicecroft.Config) { c.Membership.WarmupWindow = time.Hour })
	for id, m := range statusesOf(gateway) {
		if m.State != "ready" {
			t.Errorf("%s was registered before the gateway started and is %s, want ready", id, m.State)
		}
	}
	added := f.startBackend(nil)
	f.waitForState(gateway, added, "cold")
	f.agent.Remove("n1", "b0")
	f.waitForState(gateway, "b0", "gone")
	f.agent.Register(f.instance("b0"))
	f.waitForState(gateway, "b0", "cold")
	other := f.instance("b1")
	f.agent.Remove("n1", "b1")
	other.ID = "x1"
	f.agent.Register(other)
	f.waitForState(gateway, "x1", "cold")
	restarted := f.instance("b2")
	restarted.Meta = map[string]string{"boot": "2"}
	f.agent.Register(restarted)
	f.waitForState(gateway, "b2", "cold")
	f.agent.SetCheck("n1", "b3", fakes.ConsulCheck{ID: "web", Status: "critical"})
	f.waitForState(gateway, "b3", "draining")
	f.agent.SetCheck("n1", "b3", fakes.ConsulCheck{ID: "web", Status: "passing"})
	f.waitForState(gateway, "b3", "ready")
}

// A newly registered backend has a reduced capacity and fails when overloaded. Two gateways together must not
// overload it.
func TestNewNodeIsNotOverloaded(t *testing.T) {
	t.Parallel()
	limits := func(c *fakes.BackendConfig) {
		c.Capacity, c.WorkTime = 400, func(string) time.Duration { return 25 * time.Millisecond }
		c.SlowStartMinCapacity, c.SlowStartWindow, c.OverloadFactor, c.OverloadDuration =
			0.2, 6*time.Second, 0.15, 500*time.Millisecond
	}
	f := newFixture(t, nil)
	for range 3 {
		f.startBackend(limits)
	}
	gateway := func(index int) *pumicecroft.Gateway {
		return f.startGatewayWithNodes(3, func(c *pumicecroft.Config) {
			s := &c.Settings
			s.GatewayCount, s.GatewayIndex = 2, index
			s.SlowStartMinCapacity, s.SlowStartWindow = 0.2, 6*time.Second
			s.OverloadFactor, s.OverloadDuration = 0.15, 500*time.Millisecond
		})
	}
	a, b := gateway(0), gateway(1)
	load := f.startLoad(16, "look", 28*time.Millisecond, a, b) // some 75/s for each backend with a capacity of 400/s
	for load.served.Load() < 100 {
		time.Sleep(time.Millisecond)
	}
	added := f.startBackend(func(c *fakes.BackendConfig) { limits(c); c.StartCold = true })
	f.waitForState(a, added, "cold")
	f.waitForState(b, added, "cold")
	served := load.served.Load()
	for load.served.Load() < served+600 || f.ledger.Arrivals(added).Count == 0 { // it must get attempts
		time.Sleep(10 * time.Millisecond)
	}
	f.stopAndCheckNoLoss(load)
	all := int(load.served.Load() - served)
	if n := f.ledger.Arrivals(added).Count; f.backends[added].Overloaded() || n*4 > all {
		t.Errorf("the new backend got %d attempts of %d, want at most a quarter; overloaded: %v, want false",
			n, all, f.backends[added].Overloaded())
	}
}

// A node turns critical with requests in flight. They must complete, and the node must receive no new ones.
func TestCriticalNodeDrains(t *testing.T) {
	t.Parallel()
	f := newFixture(t, nil)
	slow := f.startBackend(func(c *fakes.BackendConfig) {
		c.WorkTime = func(string) time.Duration { return 700 * time.Millisecond }
	})
	gateway := f.startGatewayWithNodes(1, nil)
	load := f.startLoad(10, "pay", time.Hour, gateway) // one request for each client
	f.ledger.Await(hosttest.WaitTimeout, func(as []fakes.Attempt) bool { return len(as) == 10 })
	f.agent.SetCheck("n1", slow, fakes.ConsulCheck{ID: "web", Status: "critical", Output: "503"})
	f.waitForState(gateway, slow, "draining")
	const explanation = "consul:identity says that it takes nothing new; critical: web: 503"
	if m := statusesOf(gateway)[slow]; m.Explanation != explanation || m.Source != "consul:identity" {
		t.Errorf("%s is %+v, want source consul:identity and explanation %q", slow, m, explanation)
	}
	request := pumicecroft.Request{Class: "pay", Plan: "shop", Customer: 99, IdempotencyKey: "new"}
	if _, err := gateway.Do(t.Context(), request); !errors.Is(err, pumicecroft.ErrRejected) {
		t.Errorf("new request: %v, want %v", err, pumicecroft.ErrRejected)
	}
	for load.answered.Load() < 10 {
		time.Sleep(time.Millisecond)
	}
	if load.served.Load() != 10 || len(f.attemptsAt(slow)) != 10 || len(f.ledger.RepeatedEffects()) > 0 {
		t.Errorf("%v, %d attempts, executed twice: %q; want 10 served, 10 attempts, none executed twice",
			load, len(f.attemptsAt(slow)), f.ledger.RepeatedEffects())
	}
}

// A gateway follows Consul and another source: a node that only one of them lists is known, and draining prevails
// where their states differ.
func TestTwoSources(t *testing.T) {
	t.Parallel()
	f := newFixture(t, nil)
	f.startBackend(nil)
	f.startBackend(nil)
	own := membership.Update{Full: true, Nodes: []membership.Node{
		{Name: "n1/b1", Addr: f.backends["b1"].Addr()},
		{Name: "n1/own", Addr: "127.0.0.1:9"},
	}}
	gateway := f.startGatewayWithNodes(3, func(c *pumicecroft.Config) { c.InitialEndpoints = own })
	m := statusesOf(gateway)
	if m["own"].Source != "own" || m["b0"].Source != "consul:identity" || m["b1"].Source != "consul:identity" {
		t.Errorf("statuses %+v, want source own for own and consul:identity for b0 and b1", m)
	}
	own.Nodes[0].State = 1 // decision.Draining: the other source reports b1 as draining
	gateway.Update(own)
	f.waitForState(gateway, "b1", "draining")
	if m := statusesOf(gateway)["b1"]; m.Source != "own" {
		t.Errorf("b1 is %+v, want source own", m)
	}
	f.agent.Remove("n1", "b1")
	own.Nodes[0].State = 0 // decision.Ready
	gateway.Update(own)
	f.waitFor(gateway, "b1 to be ready by the other source alone", func(nodes statuses) bool {
		return nodes["b1"].State == "ready" && nodes["b1"].Source == "own"
	})
}

// A gateway starts while its agent is unreachable. It must serve with the cached list, marked as stale, and apply
// the changes when the agent is back.
func TestCachedEndpoints(t *testing.T) {
	t.Parallel()
	f := newFixture(t, nil)
	for range 3 {
		f.startBackend(nil)
	}
	dir := t.TempDir()
	withStateDir := func(c *pumicecroft.Config) { c.StateDir, c.Membership.WarmupWindow = dir, time.Hour }
	first := f.startGatewayWithNodes(3, withStateDir)
	added := f.startBackend(nil) // must still be warming up for the next gateway
	f.waitForState(first, added, "cold")
	if err := first.Close(context.Background()); err != nil {
		t.Fatal(err)
	}
	f.agent.Remove("n1", "b0") // while no gateway runs
	if err := f.agent.SetFault(fakes.ConsulRefusesConnections); err != nil {
		t.Fatal(err)
	}
	second := f.startGatewayWithNodes(4, withStateDir)
	if m := statusesOf(second); !m["b1"].Stale || m["b1"].State != "ready" || m[added].State != "cold" {
		t.Errorf("while the agent is unreachable: %+v, want b1 stale and ready, %s cold", m, added)
	}
	load := f.startLoad(4, "pay", time.Millisecond, second)
	for load.served.Load() < 100 {
		time.Sleep(time.Millisecond)
	}
	if err := f.agent.SetFault(fakes.ConsulHealthy); err != nil {
		t.Fatal(err)
	}
	f.waitForState(second, "b0", "gone")
	if m := statusesOf(second); m["b1"].Stale || m["b1"].State != "ready" || m[added].State != "cold" {
		t.Errorf("when the agent is back: %+v, want b1 ready and not stale, %s cold", m, added)
	}
	f.stopAndCheckNoLoss(load)

	// A cache file that is truncated or has another format is rejected, and the gateway serves with the agent's list.
	path := endpointcache.Path(dir, "consul:identity")
	for name, corrupt := range map[string]func([]byte) []byte{
		"truncated":      func(b []byte) []byte { return b[:len(b)/2] },
		"another format": func([]byte) []byte { return []byte("[1,2,3]\n") },
	} {
		if err := second.Close(context.Background()); err != nil {
			t.Fatal(err)
		}
		text, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, corrupt(text), 0o600); err != nil {
			t.Fatal(err)
		}
		second = f.startGatewayWithNodes(3, withStateDir)
		if _, err := second.Do(t.Context(), pumicecroft.Request{Class: "look", Plan: "shop"}); err != nil {
			t.Errorf("%s: request failed: %v", name, err)
		}
		for end := time.Now().Add(hosttest.WaitTimeout); ; time.Sleep(10 * time.Millisecond) { // the file is written anew
			if nodes, _, err := endpointcache.Read(dir, "consul:identity"); err == nil && len(nodes) == 3 {
				break
			}
			if time.Now().After(end) {
				t.Fatalf("%s: the cache file was not replaced by a valid one with 3 nodes", name)
			}
		}
	}
	if left, _ := filepath.Glob(filepath.Join(dir, "*")); len(left) != 3 { // the cache, the snapshot and its lock
		t.Errorf("files in the state directory: %q, want 3", left)
	}
}
