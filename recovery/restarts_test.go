package recovery

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"pumicecroft/decision"
)

// fleet is a set of decision engines whose processes are killed and restarted, with a meter that tells what customers
// used over all gateways in the last half second, as the platform's does.
type fleet struct {
	t        *rapid.T
	rng      *rand.Rand
	settings decision.Settings
	gateways []*gatewayProcess
	now      time.Duration
	id       decision.RequestID
	usage    map[decision.CustomerID]*[2]float64 // of this period and the last one
}

type gatewayProcess struct {
	engine            *decision.Engine
	downUntil         time.Duration // it is not running until then
	snapshot          *Snapshot
	assumedQuotaSpent bool
	startedAt         time.Duration
}

const period = 500 * time.Millisecond

func (f *fleet) startGateway(d *gatewayProcess, me int) {
	set := f.settings
	set.GatewayIndex, set.AssumeQuotaSpent = me, true
	b := RestoreNothing(nil)
	if d.snapshot != nil {
		b = Restore(d.snapshot, GatewayInfo{Index: me, Count: set.GatewayCount, Plans: set.Plans}, time.Unix(0, 0).Add(f.now))
		set.AssumeQuotaSpent = b.AssumeQuotaSpent
	}
	g, err := decision.New(set, f.rng.Uint64(), f.now)
	if err != nil {
		f.t.Fatal(err)
	}
	g.Restore(f.now, b.Customers)
	g.Handle(f.now, decision.EndpointUpdate{Kind: decision.UpdateFull, Endpoints: []decision.Endpoint{{ID: 1}}}, nil)
	d.engine, d.assumedQuotaSpent, d.startedAt = g, set.AssumeQuotaSpent, f.now
}

func (f *fleet) takeSnapshot(d *gatewayProcess, me int) {
	debtors := NewQuotaDebts(f.settings.Plans, MaxCustomers)
	d.engine.Handle(f.now, decision.Timer{Token: 1 << 40}, nil) // sets its clock
	for c, owes := range d.engine.Customers() {
		if owes {
			debtors.Add(c)
		}
	}
	s := &Snapshot{GatewayIndex: me, GatewayCount: f.settings.GatewayCount, TakenAt: time.Unix(0, 0).Add(f.now)}
	s.Customers, s.Complete = debtors.Largest()
	s.Complete = s.Complete && (!d.assumedQuotaSpent || f.now-d.startedAt >= RefillTime(f.settings.Plans))
	d.snapshot = s
}

// request makes a request at a gateway and tells whether it was sent; it succeeds at once, with the meter's reading.
func (f *fleet) request(d *gatewayProcess, c decision.CustomerID) bool {
	f.id++
	sent := false
	for _, a := range d.engine.Handle(f.now, decision.Request{ID: f.id, Customer: c, Class: "look", Plan: "shop", Cost: 1, Timeout: time.Second, GatewaySpread: len(f.gateways)}, nil) {
		_, ok := a.(decision.StartAttempt)
		sent = sent || ok
	}
	if !sent {
		return false
	}
	m := f.usage[c]
	if m == nil {
		m = &[2]float64{}
		f.usage[c] = m
	}
	m[0]++
	d.engine.Handle(f.now, decision.Outcome{Request: f.id, Backend: 1, Result: decision.Succeeded, Latency: time.Millisecond, Final: true, HasUsage: true,
		Usage: 100 * m[1] / (f.settings.Plans[0].Rate * period.Seconds())}, nil)
	return true
}

// Restarts must not grant fresh bursts, whatever is killed when, with snapshots or without, at once, one after another or
// in a loop. A customer at five times its plan gets at most: what the same fleet grants without kills, or its plan if
// that is more; one burst, however many kills there are (while gateways are away it earns what it may use later); and for
// each kill one unit and what it used at that gateway in the second before. Those at half of their plans are served
// nearly all from a second after the last kill on.
func TestRestartsGrantNoExtraBurst(t *testing.T) {
	const length, step = 24 * time.Second, 10 * time.Millisecond
	run := func(t *rapid.T, seed uint64, n int, rate, burst float64, kills map[time.Duration][]int, keeps []bool) (flood, lastSecond float64, honest, asked int, killed int) {
		f := &fleet{t: t, rng: rand.New(rand.NewPCG(seed, 1)), usage: map[decision.CustomerID]*[2]float64{},
			settings: decision.Settings{GatewayCount: n, MaxAttempts: 1, CanCancel: true, MaxRetryAfter: time.Second, UsagePeriod: period, MaxCost: 1,
				Classes: []decision.Class{{Name: "look", LatencyObjective: time.Second, Deadline: 2 * time.Second, PriorityWeight: 1}},
				Plans:   []decision.Plan{{Name: "shop", Rate: rate, Burst: burst, Price: 1}}}}
		load := rand.New(rand.NewPCG(seed, 2)) // the same with kills and without
		for i := range n {
			d := &gatewayProcess{}
			f.gateways = append(f.gateways, d)
			f.startGateway(d, i)
		}
		last := time.Duration(0)
		recent := make([][]time.Duration, n) // of the flood's, by door
		for f.now = 0; f.now < length; f.now += step {
			if f.now%period == 0 {
				for _, m := range f.usage {
					m[1], m[0] = m[0], 0
				}
			}
			for i, d := range f.gateways {
				if d.engine == nil && f.now >= d.downUntil {
					f.startGateway(d, i)
				}
				if d.engine != nil && keeps[i] && (f.now+time.Duration(i)*step)%time.Second == 0 {
					f.takeSnapshot(d, i)
				}
			}
			for _, i := range kills[f.now] {
				if d := f.gateways[i]; d.engine != nil {
					d.engine, d.downUntil, last = nil, f.now+time.Duration(f.rng.Int64N(int64(time.Second))), f.now
					killed++
					for _, at := range recent[i] {
						if f.now-at <= time.Second {
							lastSecond++
						}
					}
				}
			}
			for c, much := range []float64{5, 0.5, 0.5, 0.5} {
				for p := much * rate * step.Seconds(); load.Float64() < p; p-- {
					i := load.IntN(n)
					d := f.gateways[i]
					if d.engine == nil {
						continue
					}
					ok := f.request(d, decision.CustomerID(c))
					switch {
					case c == 0 && ok:
						flood++
						recent[i] = append(recent[i], f.now)
					case c > 0 && last > 0 && f.now > last+2*time.Second:
						asked++
						if ok {
							honest++
						}
					}
				}
			}
		}
		return flood, lastSecond, honest, asked, killed
	}
	var honest, asked int
	rapid.Check(t, func(t *rapid.T) {
		seed, n := rapid.Uint64().Draw(t, "seed"), rapid.IntRange(1, 6).Draw(t, "doors")
		rate := rapid.Float64Range(2, 20).Draw(t, "rate")
		burst := rate * rapid.Float64Range(2, 10).Draw(t, "seconds of burst")
		kills, keeps := map[time.Duration][]int{}, make([]bool, n)
		for i := range keeps {
			keeps[i] = rapid.Bool().Draw(t, "keeps")
		}
		at := 3 * time.Second
		for range rapid.IntRange(0, 8).Draw(t, "kills") {
			at += time.Duration(rapid.IntRange(0, 300).Draw(t, "after")) * step
			for i := range n {
				if rapid.IntRange(0, 2).Draw(t, "killed") > 0 {
					kills[at] = append(kills[at], i)
				}
			}
		}
		plain, _, _, _, _ := run(t, seed, n, rate, burst, nil, make([]bool, n))
		got, lastSecond, h, a, killed := run(t, seed, n, rate, burst, kills, keeps)
		honest, asked = honest+h, asked+a
		if most := 1.15*max(plain, rate*length.Seconds()) + burst + float64(killed) + lastSecond; got > most {
			t.Fatalf("%v served with %d kills, %v without, the plan is %v: more than %v", got, killed, plain, rate*length.Seconds(), most)
		}
	})
	if float64(honest) < 0.95*float64(asked) {
		t.Errorf("%d of %d within their plans are served", honest, asked)
	}
	t.Logf("%d of %d within their plans are served", honest, asked)
}
