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

// The agent fails under load, in one way or another. Its last list stays in force, no request is lost, and
// when the agent is back only the changes are applied.
func TestFailingAgentLosesNoRequest(t *testing.T) {
	for name, c := range map[string]struct {
		fault fakes.ConsulFault
		mode  Consistency
	}{
		"refuses":              {fault: fakes.ConsulRefusesConnections},
		"is silent":            {fault: fakes.ConsulSilent},
		"answers 500":          {fault: fakes.ConsulServerError},
		"cuts its answers":     {fault: fakes.ConsulTruncates},
		"has no leader":        {fault: fakes.ConsulNoLeader},
		"no leader, stale":     {fault: fakes.ConsulNoLeader, mode: Stale},
		"empty, and no leader": {fault: fakes.ConsulEmptyNoLeader},
		"emptied by ACLs":      {fault: fakes.ConsulACLFiltered},
		"answers no JSON":      {fault: fakes.ConsulGarbled},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := newFixture(t, func(cfg *Config) { cfg.Consistency = c.mode })
			for range 4 {
				r.start(nil)
			}
			d := r.gateway(4, nil)
			before := statusesOf(d)
			l := r.load(4, "pay", time.Millisecond, d)
			if err := r.agent.SetFault(c.fault); err != nil {
				t.Fatal(err)
			}
			r.await(d, "stale statuses", func(ms statuses) bool { return ms["b1"].Stale })
			served := l.served.Load()
			r.agent.Remove("n1", "b0") // nobody knows yet; its process goes on, as one that drains
			b4 := r.start(nil)
			for l.served.Load() < served+200 {
				time.Sleep(time.Millisecond)
			}
			known := slices.Sorted(maps.Keys(statusesOf(d)))
			if c.fault != fakes.ConsulNoLeader && !slices.Equal(known, []string{"b0", "b1", "b2", "b3"}) {
				t.Errorf("while the agent fails the gateway knows %q", known)
			}
			if err := r.agent.SetFault(fakes.ConsulHealthy); err != nil {
				t.Fatal(err)
			}
			r.wantState(d, "b0", "gone")
			r.await(d, "b4", func(ms statuses) bool { return ms[b4].State == "ready" && !ms["b1"].Stale })
			r.wantNoLoss(l)
			after := statusesOf(d)
			for _, id := range []string{"b1", "b2", "b3"} {
				if b, a := before[id], after[id]; !a.Since.Equal(b.Since) || a.State != "ready" {
					t.Errorf("%s was touched: %+v, then %+v", id, b, a)
				}
			}
		})
	}
}

// The agent's servers lose their data: the list is empty and its index lower. No node is removed by that.
// Those that register again are the same as before; one that does not is removed in the end.
func TestAgentLostItsData(t *testing.T) {
	t.Parallel()
	r := newFixture(t, nil)
	for range 5 {
		r.start(nil)
	}
	d := r.gateway(5, func(c *pumicecroft.Config) { c.Membership.FullRemovalDelay = 3 * time.Second })
	before := statusesOf(d)
	l := r.load(4, "pay", time.Millisecond, d)
	r.agent.Reset()
	r.await(d, "the empty list", func(ms statuses) bool {
		return strings.Contains(ms["b1"].Explanation, "lacks it")
	})
	for _, id := range []string{"b0", "b1", "b2", "b3"} { // as agents' anti-entropy brings them back, one after another
		r.agent.Register(r.instance(id))
		r.await(d, id+" to be listed", func(ms statuses) bool {
			return !strings.Contains(ms[id].Explanation, "lacks it")
		})
		if n := len(statusesOf(d)); n != 5 {
			t.Errorf("%d nodes are known", n)
		}
	}
	r.wantState(d, "b4", "gone")
	after := statusesOf(d)
	for _, id := range []string{"b0", "b1", "b2", "b3"} {
		if b, a := before[id], after[id]; !a.Since.Equal(b.Since) || a.State != "ready" {
			t.Errorf("%s was touched: %+v, then %+v", id, b, a)
		}
	}
	r.wantNoLoss(l)
}

// Most nodes are deregistered at once. They are removed once a further response has confirmed it.
func TestMassDeregistration(t *testing.T) {
	t.Parallel()
	r := newFixture(t, nil)
	for range 6 {
		r.start(nil)
	}
	d := r.gateway(6, func(c *pumicecroft.Config) { c.Membership.MassRemovalDelay = 0 }) // the default
	l := r.load(4, "look", time.Millisecond, d)
	asked := len(r.agent.Queries())
	for _, id := range []string{"b0", "b1", "b2", "b3", "b4"} {
		r.agent.Remove("n1", id)
	}
	r.await(d, "five to go", func(ms statuses) bool { return len(ms) == 1 })
	// The time is membership's: its TestMassRemoval holds it to the millisecond.
	if n := len(r.agent.Queries()) - asked; n < 2 {
		t.Errorf("removed after %d queries", n)
	}
	r.wantNoLoss(l)
}

// The agent responds to each query at once, or always with index 0. It is not queried in a loop, and changes
// are seen all the same.
func TestAgentThatDoesNotHoldQueries(t *testing.T) {
	for name, fault := range map[string]fakes.ConsulFault{"index 0": fakes.ConsulZeroIndex, "whatever the index": fakes.ConsulImmediate} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := newFixture(t, func(c *Config) { c.Wait = 10 * time.Second })
			r.start(nil)
			r.start(nil)
			if err := r.agent.SetFault(fault); err != nil {
				t.Fatal(err)
			}
			d := r.gateway(2, nil)
			start, before := time.Now(), len(r.agent.Queries())
			time.Sleep(2 * time.Second) // the rate over this time is checked
			if n := len(r.agent.Queries()) - before; float64(n) > 2*(2*time.Since(start).Seconds()+2) {
				t.Errorf("%d queries in %v", n, time.Since(start))
			}
			r.agent.SetCheck("n1", "b0", fakes.Check{ID: "web", Status: "critical"})
			r.wantState(d, "b0", "draining")
		})
	}
}

// A node's check flaps. The node gets nothing while it fails, is not taken back each time, and the others
// serve all requests.
func TestFlappingNode(t *testing.T) {
	t.Parallel()
	r := newFixture(t, nil)
	for range 3 {
		r.start(nil)
	}
	d := r.gateway(3, func(c *pumicecroft.Config) {
		c.Membership.ProbationMin, c.Membership.ProbationMax = 300*time.Millisecond, 5*time.Second
	})
	l := r.load(4, "pay", time.Millisecond, d)
	type span struct{ from, to time.Time }
	var failing []span
	taken := 0
	for range 20 {
		r.agent.SetCheck("n1", "b0", fakes.Check{ID: "web", Status: "critical", Output: "refused"})
		r.wantState(d, "b0", "draining")
		from := time.Now()
		time.Sleep(50 * time.Millisecond) // a flap's turn
		failing = append(failing, span{from, time.Now()})
		r.agent.SetCheck("n1", "b0", fakes.Check{ID: "web", Status: "passing"})
		r.await(d, "b0 to be on probation", func(ms statuses) bool { return ms["b0"].State != "draining" })
		time.Sleep(50 * time.Millisecond)
		if statusesOf(d)["b0"].State == "ready" {
			taken++
		}
	}
	r.wantNoLoss(l)
	if m := statusesOf(d)["b0"]; taken > 0 || m.State != "suspect" || time.Until(m.Until) < time.Second {
		t.Errorf("taken back %d times, and now %+v", taken, m)
	}
	for _, a := range r.attempts("b0") {
		for _, s := range failing {
			if a.At.After(s.from.Add(20*time.Millisecond)) && a.At.Before(s.to) { // what was in flight then had begun before
				t.Errorf("an attempt %v after it had failed", a.At.Sub(s.from))
			}
		}
	}
}

// A node warms up if its registration is new, or made anew under the same ID and address, or under another ID
// at the same address, or if its process is new; not if its check failed and passes again.
func TestNewNodesStartSlowly(t *testing.T) {
	t.Parallel()
	r := newFixture(t, nil)
	for range 4 {
		r.start(nil)
	}
	d := r.gateway(4, func(c *pumicecroft.Config) { c.Membership.WarmupWindow = time.Hour })
	for id, m := range statusesOf(d) {
		if m.State != "ready" {
			t.Errorf("%s was registered before and is %s", id, m.State)
		}
	}
	late := r.start(nil)
	r.wantState(d, late, "cold")
	r.agent.Remove("n1", "b0")
	r.wantState(d, "b0", "gone")
	r.agent.Register(r.instance("b0"))
	r.wantState(d, "b0", "cold")
	other := r.instance("b1")
	r.agent.Remove("n1", "b1")
	other.ID = "x1"
	r.agent.Register(other)
	r.wantState(d, "x1", "cold")
	again := r.instance("b2")
	again.Meta = map[string]string{"boot": "2"}
	r.agent.Register(again)
	r.wantState(d, "b2", "cold")
	r.agent.SetCheck("n1", "b3", fakes.Check{ID: "web", Status: "critical"})
	r.wantState(d, "b3", "draining")
	r.agent.SetCheck("n1", "b3", fakes.Check{ID: "web", Status: "passing"})
	r.wantState(d, "b3", "ready")
}

// A backend that was just registered fails if it gets too much. Two gateways together must not overload it.
func TestNewNodeIsNotOverloaded(t *testing.T) {
	t.Parallel()
	limits := func(c *fakes.BackendConfig) {
		c.Capacity, c.WorkTime = 400, func(string) time.Duration { return 25 * time.Millisecond }
		c.SlowStartMinCapacity, c.SlowStartWindow, c.OverloadFactor, c.OverloadDuration = 0.2, 6*time.Second, 0.15, 500*time.Millisecond
	}
	r := newFixture(t, nil)
	for range 3 {
		r.start(limits)
	}
	gateway := func(index int) *pumicecroft.Gateway {
		return r.gateway(3, func(c *pumicecroft.Config) {
			s := &c.Settings
			s.GatewayCount, s.GatewayIndex = 2, index
			s.SlowStartMinCapacity, s.SlowStartWindow = 0.2, 6*time.Second
			s.OverloadFactor, s.OverloadDuration = 0.15, 500*time.Millisecond
		})
	}
	a, b := gateway(0), gateway(1)
	l := r.load(16, "look", 28*time.Millisecond, a, b) // some 75 a second for each that can do 400
	for l.served.Load() < 100 {
		time.Sleep(time.Millisecond)
	}
	added := r.start(func(c *fakes.BackendConfig) { limits(c); c.StartCold = true })
	r.wantState(a, added, "cold")
	r.wantState(b, added, "cold")
	served := l.served.Load()
	for l.served.Load() < served+600 || r.ledger.Arrivals(added).Count == 0 { // it is not left out either
		time.Sleep(10 * time.Millisecond)
	}
	r.wantNoLoss(l)
	all := int(l.served.Load() - served)
	if n := r.ledger.Arrivals(added).Count; r.backends[added].Overloaded() || n*4 > all {
		t.Errorf("the new backend got %d attempts of %d, fallen: %v", n, all, r.backends[added].Overloaded())
	}
}

// A node turns critical with requests in flight. They complete, and it gets no new ones.
func TestCriticalNodeDrains(t *testing.T) {
	t.Parallel()
	r := newFixture(t, nil)
	slow := r.start(func(c *fakes.BackendConfig) {
		c.WorkTime = func(string) time.Duration { return 700 * time.Millisecond }
	})
	d := r.gateway(1, nil)
	l := r.load(10, "pay", time.Hour, d) // one each
	r.ledger.Await(hosttest.WaitTimeout, func(as []fakes.Attempt) bool { return len(as) == 10 })
	r.agent.SetCheck("n1", slow, fakes.Check{ID: "web", Status: "critical", Output: "503"})
	r.wantState(d, slow, "draining")
	const explanation = "consul:identity says that it takes nothing new; critical: web: 503"
	if m := statusesOf(d)[slow]; m.Explanation != explanation || m.Source != "consul:identity" {
		t.Errorf("%+v", m)
	}
	request := pumicecroft.Request{Class: "pay", Plan: "shop", Customer: 99, IdempotencyKey: "new"}
	if _, err := d.Do(t.Context(), request); !errors.Is(err, pumicecroft.ErrRejected) {
		t.Errorf("a new request: %v", err)
	}
	for l.sent.Load() < 10 {
		time.Sleep(time.Millisecond)
	}
	if l.served.Load() != 10 || len(r.attempts(slow)) != 10 || len(r.ledger.RepeatedEffects()) > 0 {
		t.Errorf("%v, %d attempts, doubled %q", l, len(r.attempts(slow)), r.ledger.RepeatedEffects())
	}
}

// Consul is merged with another source: a node that only one knows, and one on which they disagree, are as
// membership.Table has it.
func TestTwoSources(t *testing.T) {
	t.Parallel()
	r := newFixture(t, nil)
	r.start(nil)
	r.start(nil)
	own := membership.Update{Full: true, Nodes: []membership.Node{
		{Name: "n1/b1", Addr: r.backends["b1"].Addr()},
		{Name: "n1/own", Addr: "127.0.0.1:9"},
	}}
	d := r.gateway(3, func(c *pumicecroft.Config) { c.InitialEndpoints = own })
	m := statusesOf(d)
	if m["own"].Source != "own" || m["b0"].Source != "consul:identity" || m["b1"].Source != "consul:identity" {
		t.Errorf("%+v", m)
	}
	own.Nodes[0].State = 1 // draining, by the other source
	d.Update(own)
	r.wantState(d, "b1", "draining")
	if m := statusesOf(d)["b1"]; m.Source != "own" {
		t.Errorf("%+v", m)
	}
	r.agent.Remove("n1", "b1")
	own.Nodes[0].State = 0
	d.Update(own)
	r.await(d, "b1 by the other source alone", func(ms statuses) bool {
		return ms["b1"].State == "ready" && ms["b1"].Source == "own"
	})
}

// A gateway starts while its agent can't be reached. It serves by the cached list, marked as stale, and
// applies the changes when the agent is back.
func TestCachedEndpoints(t *testing.T) {
	t.Parallel()
	r := newFixture(t, nil)
	for range 3 {
		r.start(nil)
	}
	dir := t.TempDir()
	with := func(c *pumicecroft.Config) { c.StateDir, c.Membership.WarmupWindow = dir, time.Hour }
	first := r.gateway(3, with)
	added := r.start(nil) // warming up, and still so for the next gateway
	r.wantState(first, added, "cold")
	if err := first.Close(context.Background()); err != nil {
		t.Fatal(err)
	}
	r.agent.Remove("n1", "b0") // while no gateway runs
	if err := r.agent.SetFault(fakes.ConsulRefusesConnections); err != nil {
		t.Fatal(err)
	}
	second := r.gateway(4, with)
	if m := statusesOf(second); !m["b1"].Stale || m["b1"].State != "ready" || m[added].State != "cold" {
		t.Errorf("%+v", m)
	}
	l := r.load(4, "pay", time.Millisecond, second)
	for l.served.Load() < 100 {
		time.Sleep(time.Millisecond)
	}
	if err := r.agent.SetFault(fakes.ConsulHealthy); err != nil {
		t.Fatal(err)
	}
	r.wantState(second, "b0", "gone")
	if m := statusesOf(second); m["b1"].Stale || m["b1"].State != "ready" || m[added].State != "cold" {
		t.Errorf("when the agent is back: %+v", m)
	}
	r.wantNoLoss(l)

	// A file that is truncated, or not such a file, is rejected, and the gateway serves by what the agent has.
	path := endpointcache.Path(dir, "consul:identity")
	for name, spoil := range map[string]func([]byte) []byte{
		"truncated":    func(b []byte) []byte { return b[:len(b)/2] },
		"another form": func([]byte) []byte { return []byte("[1,2,3]\n") },
	} {
		if err := second.Close(context.Background()); err != nil {
			t.Fatal(err)
		}
		text, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, spoil(text), 0o600); err != nil {
			t.Fatal(err)
		}
		second = r.gateway(3, with)
		if _, err := second.Do(t.Context(), pumicecroft.Request{Class: "look", Plan: "shop"}); err != nil {
			t.Errorf("%s: %v", name, err)
		}
		for end := time.Now().Add(hosttest.WaitTimeout); ; time.Sleep(10 * time.Millisecond) { // and the file is good again
			if nodes, _, err := endpointcache.Read(dir, "consul:identity"); err == nil && len(nodes) == 3 {
				break
			}
			if time.Now().After(end) {
				t.Fatalf("%s: the file stays bad", name)
			}
		}
	}
	if left, _ := filepath.Glob(filepath.Join(dir, "*")); len(left) != 3 { // and the gateway's snapshot, with its lock
		t.Errorf("kept: %q", left)
	}
}
