package decision

import (
	"cmp"
	"maps"
	"slices"
	"testing"
	"time"
)

const (
	ms     = time.Millisecond
	second = time.Second
)

// testSettings are two gateways' settings, with a class of each kind and plans with each limit.
func testSettings() Settings {
	return Settings{GatewayCount: 2, Zone: "z1", UsagePeriod: second, MaxCost: 2, MaxAttempts: 3,
		AllowHedging: true, CanCancel: true, ResponseGrace: 16 * ms, DrainGrace: second, SlowStartMinCapacity: 0.2,
		SlowStartWindow: 10 * second, OverloadFactor: 2.5, OverloadDuration: second, MaxRetryAfter: second,
		Classes: []Class{
			{Name: "safe", Idempotency: Idempotent, LatencyObjective: 2 * second, Deadline: 6 * second,
				PriorityWeight: 1},
			{Name: "dear", Idempotency: Idempotent, LatencyObjective: 2 * second, Deadline: 6 * second,
				PriorityWeight: 5},
			{Name: "once", Idempotency: NonIdempotent, LatencyObjective: 2 * second, Deadline: 6 * second,
				PriorityWeight: 3},
			{Name: "keyed", Idempotency: IdempotentByKey, DedupScope: DedupScopeAll, DedupWindow: 3 * second,
				LatencyObjective: 2 * second,
				Deadline:         6 * second, PriorityWeight: 3},
			{Name: "celled", Idempotency: IdempotentByKey, DedupScope: DedupScopeCell, DedupWindow: 3 * second,
				LatencyObjective: 2 * second,
				Deadline:         6 * second, PriorityWeight: 3},
			{Name: "zoned", Idempotency: IdempotentByKey, DedupScope: DedupScopeZone, DedupWindow: 3 * second,
				LatencyObjective: 2 * second,
				Deadline:         6 * second, PriorityWeight: 3},
		},
		Plans: []Plan{
			{Name: "wide", Rate: 1000, Burst: 1000, Price: 1},
			{Name: "rated", Rate: 2, Burst: 4, Price: 1},
			{Name: "capped", Rate: 100, Burst: 100, Price: 1, HardLimitRate: 4, HardLimitBurst: 8,
				HardLimitOverdraft: 1},
			{Name: "open", MaxInFlight: 4, Price: 1},
		}}
}

// slotsInUse is how many slots are held.
func slotsInUse(g *Engine) int {
	return g.partitionInUse[partitionHigh] + g.partitionInUse[partitionLow] + g.partitionInUse[partitionShared]
}

// harness drives one engine by hand-made events.
type harness struct {
	t      *testing.T
	engine *Engine
	now    time.Duration
	next   RequestID
}

func newHarness(t *testing.T, s Settings, backends ...Endpoint) *harness {
	t.Helper()
	r := &harness{t: t, now: 1000 * second}
	g, err := New(s, 7, r.now)
	if err != nil {
		t.Fatal(err)
	}
	r.engine = g
	r.handle(EndpointUpdate{Kind: UpdateCached, Endpoints: backends})
	return r
}

// testEndpoints returns n endpoints, from 1, in two zones and cells.
func testEndpoints(n int) (out []Endpoint) {
	for i := 1; i <= n; i++ {
		out = append(out, Endpoint{ID: BackendID(i), Zone: "z" + string(rune('0'+i%2)), Cell: i % 2})
	}
	return out
}

// knownBackends are the backends that an engine knows, by their ids.
func knownBackends(g *Engine) []*backend {
	return slices.SortedFunc(maps.Values(g.backends), func(a, b *backend) int { return cmp.Compare(a.ID, b.ID) })
}

func (r *harness) handle(ev Event) []Action { return r.engine.Handle(r.now, ev, nil) }

func (r *harness) request(class, plan string, customer CustomerID) (RequestID, []Action) {
	r.next++
	return r.next, r.handle(Request{ID: r.next, Customer: customer, Class: class, Plan: plan, Cost: 1,
		Timeout: 6 * second, GatewaySpread: 2})
}

// startedAttempts are the attempts that actions start.
func startedAttempts(as []Action) (out []StartAttempt) {
	for _, a := range as {
		if s, ok := a.(StartAttempt); ok {
			out = append(out, s)
		}
	}
	return out
}

// finalAnswers counts the rejections and failures in actions.
func finalAnswers(as []Action) (rejected, failed int) {
	for _, a := range as {
		switch a.(type) {
		case Reject:
			rejected++
		case Fail:
			failed++
		}
	}
	return
}

func (r *harness) outcome(id RequestID, b BackendID, try int, res Result) []Action {
	return r.handle(Outcome{Request: id, Backend: b, Attempt: try, Result: res, Latency: 100 * ms,
		Final: res == Succeeded})
}
