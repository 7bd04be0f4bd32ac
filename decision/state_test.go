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

// countForwarded returns how many of n simultaneous requests an engine forwards. Each forwarded one
// gets its response immediately.
func countForwarded(t *testing.T, engine *Engine, now time.Duration, customer CustomerID, n int,
	first RequestID) (sent int) {
	t.Helper()
	for i := range n {
		id := first + RequestID(i)
		for _, a := range engine.Handle(now, Request{ID: id, Customer: customer, Class: "look", Plan: "shop",
			Cost: 1, Timeout: time.Second, GatewaySpread: 2}, nil) {
			if _, ok := a.(StartAttempt); ok {
				sent++
				engine.Handle(now, Outcome{Request: id, Backend: 1, Result: Succeeded, Latency: time.Millisecond,
					Final: true}, nil)
			}
		}
	}
	return sent
}

func newRestoredEngine(t *testing.T, spent bool, now time.Duration, states []CustomerState) *Engine {
	t.Helper()
	engine, err := New(stateSettings(spent), 1, now)
	if err != nil {
		t.Fatal(err)
	}
	if ignored := engine.Restore(now, states); ignored > 0 {
		t.Fatalf("Restore ignored %d states, want 0", ignored)
	}
	engine.Handle(now, EndpointUpdate{Kind: UpdateFull, Endpoints: []Endpoint{{ID: 1}}}, nil)
	return engine
}

// With AssumeQuotaSpent, customers of a new engine get no burst, but their rate from the start on.
// Without it they get the whole burst.
func TestAssumeQuotaSpent(t *testing.T) {
	fresh := countForwarded(t, newRestoredEngine(t, false, time.Hour, nil), time.Hour, 7, 40, 1)
	engine := newRestoredEngine(t, true, time.Hour, nil)
	none, later := countForwarded(t, engine, time.Hour, 7, 40, 1), 0
	for s := range 8 {
		later += countForwarded(t, engine, time.Hour+time.Duration(s+1)*time.Second, 7, 40, RequestID(1000*(s+1)))
	}
	if fresh < 8 || none != 0 || later < 8 || later > 8*4 {
		t.Errorf("forwarded %d at once with a full burst, want at least 8; %d with the quota assumed spent, want 0; "+
			"then %d in 8 s, want 8 to 32", fresh, none, later)
	}
	if late := countForwarded(t, newRestoredEngine(t, true, time.Hour, nil), time.Hour+time.Minute, 7, 40,
		1); late != fresh {
		t.Errorf("forwarded %d of a customer first seen a minute after the start, want the full burst of %d", late, fresh)
	}
}

// customersInDebt returns the customers that have a debt, the largest first.
func customersInDebt(engine *Engine) (out []CustomerState) {
	for s, worthSaving := range engine.Customers() {
		if worthSaving {
			out = append(out, s)
		}
	}
	slices.SortFunc(out, func(a, b CustomerState) int {
		return cmp.Compare(b.QuotaDebt(engine.plans[b.Plan]), a.QuotaDebt(engine.plans[a.Plan]))
	})
	return out
}

// The saved states of one engine's customers give another engine the same states. Invalid states
// are ignored.
func TestRestore_CustomersRoundTrip(t *testing.T) {
	engine := newRestoredEngine(t, false, time.Hour, nil)
	for c := range CustomerID(5) {
		countForwarded(t, engine, time.Hour, c, int(c)*2, RequestID(100*c+1))
	}
	for i := range 4 { // usage reports far above the rate of customer 9
		now := time.Hour + time.Duration(i+1)*600*time.Millisecond
		id := RequestID(9000 + i)
		engine.Handle(now, Request{ID: id, Customer: 9, Class: "look", Plan: "shop", Cost: 1, Timeout: time.Second,
			GatewaySpread: 2}, nil)
		engine.Handle(now, Outcome{Request: id, Backend: 1, Result: Succeeded, Final: true, HasUsage: true,
			Usage: 5000}, nil)
	}
	now := time.Hour + 3*time.Second
	engine.Handle(now, Timer{Token: 77}, nil)
	all := customersInDebt(engine)
	if len(all) == 0 || all[0].ID != 9 || all[0].AdmitProbability >= 1 || slices.ContainsFunc(all,
		func(s CustomerState) bool { return s.ID == 0 }) {
		t.Fatalf("customers in debt %+v, want customer 9 first, with an admit probability below 1, and not customer 0", all)
	}
	next := newRestoredEngine(t, false, now, all)
	again := customersInDebt(next)
	for i, s := range all {
		if o := again[i]; o.ID != s.ID || math.Abs(o.MissingTokens-s.MissingTokens) > 1e-6 ||
			o.AdmitProbability != s.AdmitProbability || o.MeteredUsage != s.MeteredUsage {
			t.Errorf("restored %+v, want %+v", o, s)
		}
	}
	if n := countForwarded(t, next, now, 9, 40, 1); n > countForwarded(t, newRestoredEngine(t, false, now,
		nil), now, 9, 40, 1)/2 {
		t.Errorf("forwarded %d requests of a restored customer in debt, want at most half of those of a new one", n)
	}
	bad := all[0]
	for name, change := range map[string]func(*CustomerState){
		"unknown plan":        func(s *CustomerState) { s.Plan = "gone" },
		"too many gateways":   func(s *CustomerState) { s.Gateways = 3 },
		"no gateways":         func(s *CustomerState) { s.Gateways = 0 },
		"NaN tokens":          func(s *CustomerState) { s.MissingTokens = math.NaN() },
		"negative usage":      func(s *CustomerState) { s.MeteredUsage = -1 },
		"infinite seconds":    func(s *CustomerState) { s.MeteredSeconds = math.Inf(1) },
		"probability above 1": func(s *CustomerState) { s.AdmitProbability = 2 },
		"probability is NaN":  func(s *CustomerState) { s.AdmitProbability = math.NaN() },
	} {
		s := bad
		change(&s)
		engine, err := New(stateSettings(false), 1, now)
		if err != nil {
			t.Fatal(err)
		}
		if over := engine.Restore(now, []CustomerState{s, all[1]}); over != 1 {
			t.Errorf("%s: Restore ignored %d states, want 1", name, over)
		}
	}
	if over := next.Restore(now, all); over != len(all) {
		t.Errorf("Restore after the first event ignored %d states, want all %d", over, len(all))
	}
}

// A customer whose restored state contains usage reports is not a newcomer, even if it uses many
// gateways: it keeps its tokens.
func TestRestore_CustomerIsNoNewcomer(t *testing.T) {
	settings := stateSettings(false)
	settings.GatewayCount = 300
	engine, err := New(settings, 1, time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	plan := &engine.settings.Plans[0]
	state := CustomerState{ID: 7, Plan: plan.Name, Gateways: 300, UsesThisGateway: true, MissingTokens: 10,
		AdmitProbability: 1, MeteredUsage: 50, OwnUsage: 1, MeteredSeconds: 1}
	if ignored := engine.Restore(time.Hour, []CustomerState{state}); ignored != 0 {
		t.Fatalf("Restore ignored %d states, want 0", ignored)
	}
	if c := engine.customers[7]; math.Abs(c.tokens-(c.burstTokens()-10)) > 1e-9 || c.isNewcomer() {
		t.Errorf("%v tokens, want %v; newcomer %t, want false", c.tokens, c.burstTokens()-10, c.isNewcomer())
	}
}

// BenchmarkCustomers measures a walk over customers of which a tenth have a debt. A snapshot needs such
// a walk; it is made in steps, and the gateway handles no event during a step.
func BenchmarkCustomers(b *testing.B) {
	for _, n := range []int{1_000, 100_000, 1_000_000} {
		b.Run(strconv.Itoa(n), func(b *testing.B) {
			engine, err := New(stateSettings(false), 1, time.Hour)
			if err != nil {
				b.Fatal(err)
			}
			for i := range n {
				c := engine.customerFor(Request{Customer: CustomerID(i), Cost: 1, GatewaySpread: 2}, &engine.settings.Plans[0])
				if i%10 == 0 {
					c.tokens /= float64(1 + i%7)
				}
			}
			for b.Loop() {
				for range engine.Customers() {
				}
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*n), "ns/customer")
		})
	}
}
