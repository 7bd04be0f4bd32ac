package recovery

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"pumicecroft/decision"
)

// fleet is a set of gateways, each with a decision engine, whose processes are killed and restarted. Its meter, like
// the platform's, reports each customer's usage over all gateways in the last period.
type fleet struct {
	t        *rapid.T
	rng      *rand.Rand
	settings decision.Settings
	gateways []*gatewayProcess
	now      time.Duration
	id       decision.RequestID
	usage    map[decision.CustomerID]*[2]float64 // in the current and the last period
}

type gatewayProcess struct {
	engine            *decision.Engine
	downUntil         time.Duration // the process is down until then
	snapshot          *Snapshot
	assumedQuotaSpent bool
	startedAt         time.Duration
}

const meterPeriod = 500 * time.Millisecond

// startGateway starts a process, with the state from its snapshot if there is one.
func (f *fleet) startGateway(gateway *gatewayProcess, index int) {
	settings := f.settings
	settings.GatewayIndex, settings.AssumeQuotaSpent = index, true
	restored := RestoreWithoutSnapshot(nil)
	if gateway.snapshot != nil {
		info := GatewayInfo{Index: index, Count: settings.GatewayCount, Plans: settings.Plans}
		restored = Restore(gateway.snapshot, info, time.Unix(0, 0).Add(f.now))
		settings.AssumeQuotaSpent = restored.AssumeQuotaSpent
	}
	engine, err := decision.New(settings, f.rng.Uint64(), f.now)
	if err != nil {
		f.t.Fatal(err)
	}
	engine.Restore(f.now, restored.Customers)
	engine.Handle(f.now, decision.EndpointUpdate{Kind: decision.UpdateFull, Endpoints: []decision.Endpoint{{ID: 1}}}, nil)
	gateway.engine, gateway.assumedQuotaSpent, gateway.startedAt = engine, settings.AssumeQuotaSpent, f.now
}

// takeSnapshot takes a snapshot of a running process.
func (f *fleet) takeSnapshot(gateway *gatewayProcess, index int) {
	debts := NewQuotaDebts(f.settings.Plans, MaxCustomers)
	gateway.engine.Handle(f.now, decision.Timer{Token: 1 << 40}, nil) // sets the engine's clock
	for c, owes := range gateway.engine.Customers() {
		if owes {
			debts.Add(c)
		}
	}
	s := &Snapshot{GatewayIndex: index, GatewayCount: f.settings.GatewayCount, TakenAt: time.Unix(0, 0).Add(f.now)}
	s.Customers, s.Complete = debts.Largest()
	s.Complete = s.Complete && (!gateway.assumedQuotaSpent || f.now-gateway.startedAt >= RefillTime(f.settings.Plans))
	gateway.snapshot = s
}

// request sends a request to a gateway and reports whether an attempt was started. The attempt succeeds at once, and
// its outcome reports the customer's usage in the last period.
func (f *fleet) request(gateway *gatewayProcess, c decision.CustomerID) bool {
	f.id++
	sent := false
	request := decision.Request{ID: f.id, Customer: c, Class: "look", Plan: "shop", Cost: 1, Timeout: time.Second,
		GatewaySpread: len(f.gateways)}
	for _, a := range gateway.engine.Handle(f.now, request, nil) {
		_, ok := a.(decision.StartAttempt)
		sent = sent || ok
	}
	if !sent {
		return false
	}
	usage := f.usage[c]
	if usage == nil {
		usage = &[2]float64{}
		f.usage[c] = usage
	}
	usage[0]++
	gateway.engine.Handle(f.now, decision.Outcome{Request: f.id, Backend: 1, Result: decision.Succeeded,
		Latency: time.Millisecond, Final: true, HasUsage: true,
		Usage: 100 * usage[1] / (f.settings.Plans[0].Rate * meterPeriod.Seconds())}, nil)
	return true
}

// Gateways are killed at random times, together or one after another, some with snapshots and some without. Restarts
// must not grant further bursts. A customer that sends five times its plan's rate may get at most the sum of:
//   - 1.15 times what it gets without kills, or what its plan allows if that is more;
//   - one burst, however many kills there are, as it earns tokens while gateways are down;
//   - for each kill, one unit and what it got at that gateway in the second before.
//
// Of the requests of customers at half of their plan's rate that come more than two seconds after the last kill, at
// least 95 % must be served over all runs.
func TestRestartsGrantNoExtraBurst(t *testing.T) {
	const length, step = 24 * time.Second, 10 * time.Millisecond
	run := func(t *rapid.T, seed uint64, n int, rate, burst float64, kills map[time.Duration][]int, takesSnapshots []bool,
	) (overQuotaServed, servedBeforeKills float64, withinPlanServed, withinPlanSent int, killed int) {
		f := &fleet{t: t, rng: rand.New(rand.NewPCG(seed, 1)), usage: map[decision.CustomerID]*[2]float64{},
			settings: decision.Settings{GatewayCount: n, MaxAttempts: 1, CanCancel: true, MaxRetryAfter: time.Second,
				UsagePeriod: meterPeriod, MaxCost: 1,
				Classes: []decision.Class{{Name: "look", LatencyObjective: time.Second, Deadline: 2 * time.Second,
					PriorityWeight: 1}},
				Plans: []decision.Plan{{Name: "shop", Rate: rate, Burst: burst, Price: 1}}}}
		load := rand.New(rand.NewPCG(seed, 2)) // the same requests with and without kills
		for i := range n {
			gateway := &gatewayProcess{}
			f.gateways = append(f.gateways, gateway)
			f.startGateway(gateway, i)
		}
		lastKill := time.Duration(0)
		servedAt := make([][]time.Duration, n) // when requests over the quota were served, by gateway
		for f.now = 0; f.now < length; f.now += step {
			if f.now%meterPeriod == 0 {
				for _, m := range f.usage {
					m[1], m[0] = m[0], 0
				}
			}
			for i, gateway := range f.gateways {
				if gateway.engine == nil && f.now >= gateway.downUntil {
					f.startGateway(gateway, i)
				}
				if gateway.engine != nil && takesSnapshots[i] && (f.now+time.Duration(i)*step)%time.Second == 0 {
					f.takeSnapshot(gateway, i)
				}
			}
			for _, i := range kills[f.now] {
				if gateway := f.gateways[i]; gateway.engine != nil {
					gateway.engine, gateway.downUntil, lastKill = nil, f.now+time.Duration(f.rng.Int64N(int64(time.Second))), f.now
					killed++
					for _, at := range servedAt[i] {
						if f.now-at <= time.Second {
							servedBeforeKills++
						}
					}
				}
			}
			for c, rateFactor := range []float64{5, 0.5, 0.5, 0.5} {
				for p := rateFactor * rate * step.Seconds(); load.Float64() < p; p-- {
					i := load.IntN(n)
					gateway := f.gateways[i]
					if gateway.engine == nil {
						continue
					}
					ok := f.request(gateway, decision.CustomerID(c))
					switch {
					case c == 0 && ok:
						overQuotaServed++
						servedAt[i] = append(servedAt[i], f.now)
					case c > 0 && lastKill > 0 && f.now > lastKill+2*time.Second:
						withinPlanSent++
						if ok {
							withinPlanServed++
						}
					}
				}
			}
		}
		return overQuotaServed, servedBeforeKills, withinPlanServed, withinPlanSent, killed
	}
	var withinPlanServed, withinPlanSent int
	rapid.Check(t, func(t *rapid.T) {
		seed, n := rapid.Uint64().Draw(t, "seed"), rapid.IntRange(1, 6).Draw(t, "gateways")
		rate := rapid.Float64Range(2, 20).Draw(t, "rate")
		burst := rate * rapid.Float64Range(2, 10).Draw(t, "seconds of burst")
		kills, takesSnapshots := map[time.Duration][]int{}, make([]bool, n)
		for i := range takesSnapshots {
			takesSnapshots[i] = rapid.Bool().Draw(t, "takes snapshots")
		}
		at := 3 * time.Second
		for range rapid.IntRange(0, 8).Draw(t, "kills") {
			at += time.Duration(rapid.IntRange(0, 300).Draw(t, "steps until kill")) * step
			for i := range n {
				if rapid.IntRange(0, 2).Draw(t, "killed") > 0 {
					kills[at] = append(kills[at], i)
				}
			}
		}
		withoutKills, _, _, _, _ := run(t, seed, n, rate, burst, nil, make([]bool, n))
		got, servedBeforeKills, served, sent, killed := run(t, seed, n, rate, burst, kills, takesSnapshots)
		withinPlanServed, withinPlanSent = withinPlanServed+served, withinPlanSent+sent
		if most := 1.15*max(withoutKills, rate*length.Seconds()) + burst + float64(killed) + servedBeforeKills; got > most {
			t.Fatalf("%v served with %d kills, want at most %v; %v without kills, %v by the plan",
				got, killed, most, withoutKills, rate*length.Seconds())
		}
	})
	if float64(withinPlanServed) < 0.95*float64(withinPlanSent) {
		t.Errorf("%d of %d requests within the plan are served, want at least 95 %%", withinPlanServed, withinPlanSent)
	}
	t.Logf("%d of %d requests within the plan are served", withinPlanServed, withinPlanSent)
}
