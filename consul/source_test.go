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

// However the agent fails, the last list stays, not one request is lost for it, and when it is back only what has
// changed is applied.
func TestAnAgentThatFails(t *testing.T) {
	for name, c := range map[string]struct {
		fault fakes.Fault
		mode  Consistency
	}{
		"refuses":              {fault: fakes.Refusing},
		"is silent":            {fault: fakes.Silent},
		"answers 500":          {fault: fakes.Erring},
		"cuts its answers":     {fault: fakes.Cutting},
		"has no leader":        {fault: fakes.Leaderless},
		"no leader, stale":     {fault: fakes.Leaderless, mode: Stale},
		"empty, and no leader": {fault: fakes.EmptyNoLeader},
		"emptied by ACLs":      {fault: fakes.Filtering},
		"answers no JSON":      {fault: fakes.Garbling},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := newFixture(t, func(cfg *Config) { cfg.Consistency = c.mode })
			for range 4 {
				r.start(nil)
			}
			d := r.door(4, nil)
			before := members(d)
			l := r.load(4, "pay", time.Millisecond, d)
			if err := r.agent.Fail(c.fault); err != nil {
				t.Fatal(err)
			}
			r.await(d, "the agent to be missed", func(ms map[string]pumicecroft.BackendStatus) bool { return ms["b1"].Stale })
			served := l.served.Load()
			r.agent.Remove("n1", "b0") // nobody hears of it yet; its process goes on, as one that drains
			b4 := r.start(nil)
			for l.served.Load() < served+200 {
				time.Sleep(time.Millisecond)
			}
			if got := slices.Sorted(maps.Keys(members(d))); c.fault != fakes.Leaderless && !slices.Equal(got, []string{"b0", "b1", "b2", "b3"}) {
				t.Errorf("while it fails the door knows %q", got)
			}
			if err := r.agent.Fail(fakes.Well); err != nil {
				t.Fatal(err)
			}
			r.state(d, "b0", "gone")
			r.await(d, "b4", func(ms map[string]pumicecroft.BackendStatus) bool { return ms[b4].State == "ready" && !ms["b1"].Stale })
			r.whole(l)
			after := members(d)
			for _, id := range []string{"b1", "b2", "b3"} {
				if b, a := before[id], after[id]; !a.Since.Equal(b.Since) || a.State != "ready" {
					t.Errorf("%s was touched: %+v, then %+v", id, b, a)
				}
			}
		})
	}
}

// An agent whose servers lost their data tells an empty list under a lower index: nothing is emptied. Those that come
// back under new registrations are the same as before; one that does not is let go in the end.
func TestAnAgentThatLostItsData(t *testing.T) {
	t.Parallel()
	r := newFixture(t, nil)
	for range 5 {
		r.start(nil)
	}
	d := r.door(5, func(c *pumicecroft.Config) { c.Membership.FullRemovalDelay = 3 * time.Second })
	before := members(d)
	l := r.load(4, "pay", time.Millisecond, d)
	r.agent.Reset()
	r.await(d, "the empty list", func(ms map[string]pumicecroft.BackendStatus) bool {
		return strings.Contains(ms["b1"].Explanation, "lacks it")
	})
	for _, id := range []string{"b0", "b1", "b2", "b3"} { // as agents' anti-entropy brings them back, one after another
		r.agent.Put(r.instance(id))
		r.await(d, id+" to be listed", func(ms map[string]pumicecroft.BackendStatus) bool {
			return !strings.Contains(ms[id].Explanation, "lacks it")
		})
		if n := len(members(d)); n != 5 {
			t.Errorf("%d nodes are known", n)
		}
	}
	r.state(d, "b4", "gone")
	after := members(d)
	for _, id := range []string{"b0", "b1", "b2", "b3"} {
		if b, a := before[id], after[id]; !a.Since.Equal(b.Since) || a.State != "ready" {
			t.Errorf("%s was touched: %+v, then %+v", id, b, a)
		}
	}
	r.whole(l)
}

// Most nodes deregistered at once are believed to be gone when the list was heard again.
func TestMostAreDeregistered(t *testing.T) {
	t.Parallel()
	r := newFixture(t, nil)
	for range 6 {
		r.start(nil)
	}
	d := r.door(6, func(c *pumicecroft.Config) { c.Membership.MassRemovalDelay = 0 }) // the default
	l := r.load(4, "look", time.Millisecond, d)
	asked := len(r.agent.Questions())
	for _, id := range []string{"b0", "b1", "b2", "b3", "b4"} {
		r.agent.Remove("n1", id)
	}
	r.await(d, "five to go", func(ms map[string]pumicecroft.BackendStatus) bool { return len(ms) == 1 })
	if n := len(r.agent.Questions()) - asked; n < 2 { // when, is membership's business: TestMassRemoval has it to the millisecond
		t.Errorf("they were let go after %d questions", n)
	}
	r.whole(l)
}

// An answer that is always at once, or always of index 0, is not asked for in a loop, and changes are seen all the same.
func TestAnAgentThatHoldsNothingBack(t *testing.T) {
	for name, fault := range map[string]fakes.Fault{"index 0": fakes.ZeroIndex, "whatever the index": fakes.Instant} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := newFixture(t, func(c *Config) { c.Wait = 10 * time.Second })
			r.start(nil)
			r.start(nil)
			if err := r.agent.Fail(fault); err != nil {
				t.Fatal(err)
			}
			d := r.door(2, nil)
			start, before := time.Now(), len(r.agent.Questions())
			time.Sleep(2 * time.Second) // the rate is what is looked at
			if n := len(r.agent.Questions()) - before; float64(n) > 2*(2*time.Since(start).Seconds()+2) {
				t.Errorf("%d questions in %v", n, time.Since(start))
			}
			r.agent.SetCheck("n1", "b0", fakes.Check{ID: "web", Status: "critical"})
			r.state(d, "b0", "draining")
		})
	}
}

// A node that flaps gets nothing while it fails, is not taken back at each turn, and the others serve everything.
func TestANodeThatFlaps(t *testing.T) {
	t.Parallel()
	r := newFixture(t, nil)
	for range 3 {
		r.start(nil)
	}
	d := r.door(3, func(c *pumicecroft.Config) {
		c.Membership.ProbationMin, c.Membership.ProbationMax = 300*time.Millisecond, 5*time.Second
	})
	l := r.load(4, "pay", time.Millisecond, d)
	type span struct{ from, to time.Time }
	var failing []span
	taken := 0
	for range 20 {
		r.agent.SetCheck("n1", "b0", fakes.Check{ID: "web", Status: "critical", Output: "refused"})
		r.state(d, "b0", "draining")
		from := time.Now()
		time.Sleep(50 * time.Millisecond) // a flap's turn
		failing = append(failing, span{from, time.Now()})
		r.agent.SetCheck("n1", "b0", fakes.Check{ID: "web", Status: "passing"})
		r.await(d, "b0 to be suspect", func(ms map[string]pumicecroft.BackendStatus) bool { return ms["b0"].State != "draining" })
		time.Sleep(50 * time.Millisecond)
		if members(d)["b0"].State == "ready" {
			taken++
		}
	}
	r.whole(l)
	if m := members(d)["b0"]; taken > 0 || m.State != "suspect" || time.Until(m.Until) < time.Second {
		t.Errorf("taken back %d times, and now %+v", taken, m)
	}
	for _, a := range r.attempts("b0") {
		for _, s := range failing {
			if a.At.After(s.from.Add(20*time.Millisecond)) && a.At.Before(s.to) { // what was on its way then had begun before
				t.Errorf("an attempt %v into a turn in which it failed", a.At.Sub(s.from))
			}
		}
	}
}

// What is new is cold: a registration that comes later, one made anew under the same id and address, another id at the
// same address, and a new process; a check that failed and passes again is not.
func TestWhatIsNewIsCold(t *testing.T) {
	t.Parallel()
	r := newFixture(t, nil)
	for range 4 {
		r.start(nil)
	}
	d := r.door(4, func(c *pumicecroft.Config) { c.Membership.WarmupWindow = time.Hour })
	for id, m := range members(d) {
		if m.State != "ready" {
			t.Errorf("%s was there before and is %s", id, m.State)
		}
	}
	late := r.start(nil)
	r.state(d, late, "cold")
	r.agent.Remove("n1", "b0")
	r.state(d, "b0", "gone")
	r.agent.Put(r.instance("b0"))
	r.state(d, "b0", "cold")
	other := r.instance("b1")
	r.agent.Remove("n1", "b1")
	other.ID = "x1"
	r.agent.Put(other)
	r.state(d, "x1", "cold")
	again := r.instance("b2")
	again.Meta = map[string]string{"boot": "2"}
	r.agent.Put(again)
	r.state(d, "b2", "cold")
	r.agent.SetCheck("n1", "b3", fakes.Check{ID: "web", Status: "critical"})
	r.state(d, "b3", "draining")
	r.agent.SetCheck("n1", "b3", fakes.Check{ID: "web", Status: "passing"})
	r.state(d, "b3", "ready")
}

// A backend that has just been registered falls if it is sent too much: two doors together spare it.
func TestANewNodeIsSpared(t *testing.T) {
	t.Parallel()
	limits := func(c *fakes.BackendConfig) {
		c.Capacity, c.Work = 400, func(string) time.Duration { return 25 * time.Millisecond }
		c.ColdFrom, c.WarmWithin, c.FallMultiple, c.FallFor = 0.2, 6*time.Second, 0.15, 500*time.Millisecond
	}
	r := newFixture(t, nil)
	for range 3 {
		r.start(limits)
	}
	door := func(me int) *pumicecroft.Gateway {
		return r.door(3, func(c *pumicecroft.Config) {
			s := &c.Settings
			s.GatewayCount, s.GatewayIndex, s.SlowStartMinCapacity, s.SlowStartWindow, s.OverloadFactor, s.OverloadDuration = 2, me, 0.2, 6*time.Second, 0.15, 500*time.Millisecond
		})
	}
	a, b := door(0), door(1)
	l := r.load(16, "look", 28*time.Millisecond, a, b) // some 75 a second for each that can do 400
	for l.served.Load() < 100 {
		time.Sleep(time.Millisecond)
	}
	cold := r.start(func(c *fakes.BackendConfig) { limits(c); c.Cold = true })
	r.state(a, cold, "cold")
	r.state(b, cold, "cold")
	served := l.served.Load()
	for l.served.Load() < served+600 || r.ledger.Reached(cold).Count == 0 { // it is not left out either
		time.Sleep(10 * time.Millisecond)
	}
	r.whole(l)
	all := int(l.served.Load() - served)
	if n := r.ledger.Reached(cold).Count; r.backends[cold].Fallen() || n*4 > all {
		t.Errorf("the new backend got %d attempts of %d, fallen: %v", n, all, r.backends[cold].Fallen())
	}
}

// Requests in flight at a node that turns critical end well, and it gets nothing new.
func TestACriticalNodeDrains(t *testing.T) {
	t.Parallel()
	r := newFixture(t, nil)
	slow := r.start(func(c *fakes.BackendConfig) { c.Work = func(string) time.Duration { return 700 * time.Millisecond } })
	d := r.door(1, nil)
	l := r.load(10, "pay", time.Hour, d) // one each
	r.ledger.Await(hosttest.Patience, func(as []fakes.Attempt) bool { return len(as) == 10 })
	r.agent.SetCheck("n1", slow, fakes.Check{ID: "web", Status: "critical", Output: "503"})
	r.state(d, slow, "draining")
	if m := members(d)[slow]; m.Explanation != "consul:identity says that it takes nothing new; critical: web: 503" || m.Source != "consul:identity" {
		t.Errorf("%+v", m)
	}
	if _, err := d.Do(t.Context(), pumicecroft.Request{Class: "pay", Plan: "shop", Customer: 99, IdempotencyKey: "new"}); !errors.Is(err, pumicecroft.ErrRejected) {
		t.Errorf("a new request: %v", err)
	}
	for l.asked.Load() < 10 {
		time.Sleep(time.Millisecond)
	}
	if l.served.Load() != 10 || len(r.attempts(slow)) != 10 || len(r.ledger.Doubled()) > 0 {
		t.Errorf("%v, %d attempts, doubled %q", l, len(r.attempts(slow)), r.ledger.Doubled())
	}
}

// Two sources: a node that only one knows, and one on which they disagree, is what the table's rules say.
func TestBesideAnotherSource(t *testing.T) {
	t.Parallel()
	r := newFixture(t, nil)
	r.start(nil)
	r.start(nil)
	own := membership.Update{Full: true, Nodes: []membership.Node{{Name: "n1/b1", Addr: r.backends["b1"].Addr()}, {Name: "n1/own", Addr: "127.0.0.1:9"}}}
	d := r.door(3, func(c *pumicecroft.Config) { c.InitialEndpoints = own })
	if m := members(d); m["own"].Source != "own" || m["b0"].Source != "consul:identity" || m["b1"].Source != "consul:identity" {
		t.Errorf("%+v", m)
	}
	own.Nodes[0].State = 1 // draining, by the other source
	d.Update(own)
	r.state(d, "b1", "draining")
	if m := members(d)["b1"]; m.Source != "own" {
		t.Errorf("%+v", m)
	}
	r.agent.Remove("n1", "b1")
	own.Nodes[0].State = 0
	d.Update(own)
	r.await(d, "b1 by the other source alone", func(ms map[string]pumicecroft.BackendStatus) bool {
		return ms["b1"].State == "ready" && ms["b1"].Source == "own"
	})
}

// A door that starts while its agent can't be reached serves from the list that was kept, and says that it is old.
func TestAListThatWasKept(t *testing.T) {
	t.Parallel()
	r := newFixture(t, nil)
	for range 3 {
		r.start(nil)
	}
	dir := t.TempDir()
	with := func(c *pumicecroft.Config) { c.StateDir, c.Membership.WarmupWindow = dir, time.Hour }
	first := r.door(3, with)
	new := r.start(nil) // cold, and still so for the next door
	r.state(first, new, "cold")
	if err := first.Close(context.Background()); err != nil {
		t.Fatal(err)
	}
	r.agent.Remove("n1", "b0") // while no door is there
	if err := r.agent.Fail(fakes.Refusing); err != nil {
		t.Fatal(err)
	}
	second := r.door(4, with)
	if m := members(second); !m["b1"].Stale || m["b1"].State != "ready" || m[new].State != "cold" {
		t.Errorf("%+v", m)
	}
	l := r.load(4, "pay", time.Millisecond, second)
	for l.served.Load() < 100 {
		time.Sleep(time.Millisecond)
	}
	if err := r.agent.Fail(fakes.Well); err != nil {
		t.Fatal(err)
	}
	r.state(second, "b0", "gone")
	if m := members(second); m["b1"].Stale || m["b1"].State != "ready" || m[new].State != "cold" {
		t.Errorf("when the agent is back: %+v", m)
	}
	r.whole(l)

	// A file that is torn, or another's, is refused, and the door serves on what it hears.
	path := endpointcache.Path(dir, "consul:identity")
	for name, spoil := range map[string]func([]byte) []byte{"torn": func(b []byte) []byte { return b[:len(b)/2] },
		"another's": func([]byte) []byte { return []byte("[1,2,3]\n") }} {
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
		second = r.door(3, with)
		if _, err := second.Do(t.Context(), pumicecroft.Request{Class: "look", Plan: "shop"}); err != nil {
			t.Errorf("%s: %v", name, err)
		}
		for end := time.Now().Add(hosttest.Patience); ; time.Sleep(10 * time.Millisecond) { // and the file is good again
			if nodes, _, err := endpointcache.Read(dir, "consul:identity"); err == nil && len(nodes) == 3 {
				break
			}
			if time.Now().After(end) {
				t.Fatalf("%s: the file stays bad", name)
			}
		}
	}
	if left, _ := filepath.Glob(filepath.Join(dir, "*")); len(left) != 3 { // and the door's decisions, with their lock
		t.Errorf("kept: %q", left)
	}
}
