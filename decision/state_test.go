package decision

import (
	"cmp"
	"math"
	"slices"
	"strconv"
	"testing"
	"time"
)

func stateSettings(spent bool) Settings {
	return Settings{GatewayCount: 2, MaxAttempts: 1, CanCancel: true, MaxRetryAfter: time.Second,
		UsagePeriod: 500 * time.Millisecond, AssumeQuotaSpent: spent,
		Classes: []Class{{Name: "look", LatencyObjective: time.Second, Deadline: 2 * time.Second, PriorityWeight: 1}},
		Plans:   []Plan{{Name: "shop", Rate: 4, Burst: 24, Price: 1}}}
}

// forwardedAtOnce is how many of n requests an engine forwards in one moment, with a response to
// each at once.
func forwardedAtOnce(t *testing.T, g *Engine, now time.Duration, customer CustomerID, n int,
	first RequestID) (sent int) {
	t.Helper()
	for i := range n {
		id := first + RequestID(i)
		for _, a := range g.Handle(now, Request{ID: id, Customer: customer, Class: "look", Plan: "shop",
			Cost: 1, Timeout: time.Second, GatewaySpread: 2}, nil) {
			if _, ok := a.(StartAttempt); ok {
				sent++
				g.Handle(now, Outcome{Request: id, Backend: 1, Result: Succeeded, Latency: time.Millisecond,
					Final: true}, nil)
			}
		}
	}
	return sent
}

func newRestoredEngine(t *testing.T, spent bool, now time.Duration, states []CustomerState) *Engine {
	t.Helper()
	g, err := New(stateSettings(spent), 1, now)
	if err != nil {
		t.Fatal(err)
	}
	if over := g.Restore(now, states); over > 0 {
		t.Fatalf("%d are ignored", over)
	}
	g.Handle(now, EndpointUpdate{Kind: UpdateFull, Endpoints: []Endpoint{{ID: 1}}}, nil)
	return g
}

// With AssumeQuotaSpent an engine that has just started gives nobody a burst, and their rate from
// then on; else all of it.
func TestAssumeQuotaSpent(t *testing.T) {
	fresh := forwardedAtOnce(t, newRestoredEngine(t, false, time.Hour, nil), time.Hour, 7, 40, 1)
	g := newRestoredEngine(t, true, time.Hour, nil)
	none, later := forwardedAtOnce(t, g, time.Hour, 7, 40, 1), 0
	for s := range 8 {
		later += forwardedAtOnce(t, g, time.Hour+time.Duration(s+1)*time.Second, 7, 40, RequestID(1000*(s+1)))
	}
	if fresh < 8 || none != 0 || later < 8 || later > 8*4 {
		t.Errorf("%d at once with a burst, %d without, and %d in 8 s, where 4 a second are allowed", fresh,
			none, later)
	}
	if late := forwardedAtOnce(t, newRestoredEngine(t, true, time.Hour, nil), time.Hour+time.Minute, 7, 40,
		1); late != fresh {
		t.Errorf("%d of a customer that is met a minute after the start, %d before", late, fresh)
	}
}

// customersInDebt are the customers that have a debt, the largest first.
func customersInDebt(g *Engine) (out []CustomerState) {
	for s, owes := range g.Customers() {
		if owes {
			out = append(out, s)
		}
	}
	slices.SortFunc(out, func(a, b CustomerState) int {
		return cmp.Compare(b.QuotaDebt(g.plans[b.Plan]), a.QuotaDebt(g.plans[a.Plan]))
	})
	return out
}

// What one engine knew of its customers another one knows from its states. States that make no
// sense are ignored.
func TestRestore_CustomersRoundTrip(t *testing.T) {
	g := newRestoredEngine(t, false, time.Hour, nil)
	for c := range CustomerID(5) {
		forwardedAtOnce(t, g, time.Hour, c, int(c)*2, RequestID(100*c+1))
	}
	for i := range 4 { // usage reports say that 9 uses far too much
		now := time.Hour + time.Duration(i+1)*600*time.Millisecond
		id := RequestID(9000 + i)
		g.Handle(now, Request{ID: id, Customer: 9, Class: "look", Plan: "shop", Cost: 1, Timeout: time.Second,
			GatewaySpread: 2}, nil)
		g.Handle(now, Outcome{Request: id, Backend: 1, Result: Succeeded, Final: true, HasUsage: true,
			Usage: 5000}, nil)
	}
	now := time.Hour + 3*time.Second
	g.Handle(now, Timer{Token: 77}, nil)
	all := customersInDebt(g)
	if len(all) == 0 || all[0].ID != 9 || all[0].AdmitProbability >= 1 || slices.ContainsFunc(all,
		func(s CustomerState) bool { return s.ID == 0 }) {
		t.Fatalf("%+v", all)
	}
	next := newRestoredEngine(t, false, now, all)
	again := customersInDebt(next)
	for i, s := range all {
		if o := again[i]; o.ID != s.ID || math.Abs(o.MissingTokens-s.MissingTokens) > 1e-6 ||
			o.AdmitProbability != s.AdmitProbability || o.MeteredUsage != s.MeteredUsage {
			t.Errorf("%+v was %+v", o, s)
		}
	}
	if n := forwardedAtOnce(t, next, now, 9, 40, 1); n > forwardedAtOnce(t, newRestoredEngine(t, false, now,
		nil), now, 9, 40, 1)/2 {
		t.Errorf("a customer that is held down gets %d", n)
	}
	bad := all[0]
	for name, change := range map[string]func(*CustomerState){
		"no such plan":        func(s *CustomerState) { s.Plan = "gone" },
		"more gateways":       func(s *CustomerState) { s.Gateways = 3 },
		"no gateways":         func(s *CustomerState) { s.Gateways = 0 },
		"no number":           func(s *CustomerState) { s.MissingTokens = math.NaN() },
		"below nothing":       func(s *CustomerState) { s.MeteredUsage = -1 },
		"without end":         func(s *CustomerState) { s.MeteredSeconds = math.Inf(1) },
		"a share over 1":      func(s *CustomerState) { s.AdmitProbability = 2 },
		"a share that is NaN": func(s *CustomerState) { s.AdmitProbability = math.NaN() },
	} {
		s := bad
		change(&s)
		g, err := New(stateSettings(false), 1, now)
		if err != nil {
			t.Fatal(err)
		}
		if over := g.Restore(now, []CustomerState{s, all[1]}); over != 1 {
			t.Errorf("%s: %d are ignored, want 1", name, over)
		}
	}
	if over := next.Restore(now, all); over != len(all) {
		t.Errorf("%d of %d are ignored by a gateway that has begun", over, len(all))
	}
}

// A customer of which an earlier process had usage reports is no newcomer after a restart, also at
// one of many gateways: it has the tokens that it had.
func TestRestore_CustomerIsNoNewcomer(t *testing.T) {
	set := stateSettings(false)
	set.GatewayCount = 300
	g, err := New(set, 1, time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	plan := &g.settings.Plans[0]
	state := CustomerState{ID: 7, Plan: plan.Name, Gateways: 300, UsesThisGateway: true, MissingTokens: 10,
		AdmitProbability: 1, MeteredUsage: 50, OwnUsage: 1, MeteredSeconds: 1}
	if over := g.Restore(time.Hour, []CustomerState{state}); over != 0 {
		t.Fatal("the customer is ignored")
	}
	if c := g.customers[7]; math.Abs(c.tokens-(c.burstTokens()-10)) > 1e-9 || c.isNewcomer() {
		t.Errorf("%v tokens of %v less 10, newcomer: %t", c.tokens, c.burstTokens(), c.isNewcomer())
	}
}

// BenchmarkCustomers measures a snapshot's walk, which holds the gateway's lock, over customers of
// which a tenth have a debt.
func BenchmarkCustomers(b *testing.B) {
	for _, n := range []int{1_000, 100_000, 1_000_000} {
		b.Run(strconv.Itoa(n), func(b *testing.B) {
			g, err := New(stateSettings(false), 1, time.Hour)
			if err != nil {
				b.Fatal(err)
			}
			for i := range n {
				c := g.customerFor(Request{Customer: CustomerID(i), Cost: 1, GatewaySpread: 2}, &g.settings.Plans[0])
				if i%10 == 0 {
					c.tokens /= float64(1 + i%7)
				}
			}
			for b.Loop() {
				for range g.Customers() {
				}
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*n), "ns/customer")
		})
	}
}
