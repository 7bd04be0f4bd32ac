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

// testSettings returns the settings of a deployment of two gateways, with classes of each
// idempotency and plans with each kind of limit.
func testSettings() Settings {
	return Settings{GatewayCount: 2, Zone: "z1", UsagePeriod: second, MaxCost: 2, MaxAttempts: 3,
		AllowHedging: true, CanCancel: true, ResponseGrace: 16 * ms, DrainGrace: second, SlowStartMinCapacity: 0.2,
		SlowStartWindow: 10 * second, OverloadFactor: 2.5, OverloadDuration: second, MaxRetryAfter: second,
		Classes: []Class{
			{Name: "safe", Idempotency: Idempotent, LatencyObjective: 2 * second, Deadline: 6 * second,
				PriorityWeight: 1},
			{Name: "important", Idempotency: Idempotent, LatencyObjective: 2 * second, Deadline: 6 * second,
				PriorityWeight: 5},
			{Name: "nonidempotent", Idempotency: NonIdempotent, LatencyObjective: 2 * second, Deadline: 6 * second,
				PriorityWeight: 3},
			{Name: "keyed", Idempotency: IdempotentByKey, DedupScope: DedupScopeAll, DedupWindow: 3 * second,
				LatencyObjective: 2 * second,
				Deadline:         6 * second, PriorityWeight: 3},
			{Name: "keyed-cell", Idempotency: IdempotentByKey, DedupScope: DedupScopeCell, DedupWindow: 3 * second,
				LatencyObjective: 2 * second,
				Deadline:         6 * second, PriorityWeight: 3},
			{Name: "keyed-zone", Idempotency: IdempotentByKey, DedupScope: DedupScopeZone, DedupWindow: 3 * second,
				LatencyObjective: 2 * second,
				Deadline:         6 * second, PriorityWeight: 3},
		},
		Plans: []Plan{
			{Name: "large", Rate: 1000, Burst: 1000, Price: 1},
			{Name: "small", Rate: 2, Burst: 4, Price: 1},
			{Name: "hardlimited", Rate: 100, Burst: 100, Price: 1, HardLimitRate: 4, HardLimitBurst: 8,
				HardLimitOverdraft: 1},
			{Name: "inflight", MaxInFlight: 4, Price: 1},
		}}
}

// slotsInUse returns how many slots are in use.
func slotsInUse(engine *Engine) int {
	inUse := &engine.partitionInUse
	return inUse[partitionHigh] + inUse[partitionLow] + inUse[partitionShared]
}

// harness passes events to one engine.
type harness struct {
	t           *testing.T
	engine      *Engine
	now         time.Duration
	lastRequest RequestID
}

func newHarness(t *testing.T, settings Settings, backends ...Endpoint) *harness {
	t.Helper()
	h := &harness{t: t, now: 1000 * second}
	engine, err := New(settings, 7, h.now)
	if err != nil {
		t.Fatal(err)
	}
	h.engine = engine
	h.handle(EndpointUpdate{Kind: UpdateCached, Endpoints: backends})
	return h
}

// testEndpoints returns n endpoints with IDs from 1, in two zones and two cells.
func testEndpoints(n int) (out []Endpoint) {
	for i := 1; i <= n; i++ {
		out = append(out, Endpoint{ID: BackendID(i), Zone: "z" + string(rune('0'+i%2)), Cell: i % 2})
	}
	return out
}

// knownBackends returns the backends of an engine, ordered by ID.
func knownBackends(engine *Engine) []*backend {
	return slices.SortedFunc(maps.Values(engine.backends), func(a, b *backend) int { return cmp.Compare(a.ID, b.ID) })
}

func (h *harness) handle(event Event) []Action { return h.engine.Handle(h.now, event, nil) }

func (h *harness) request(class, plan string, customer CustomerID) (RequestID, []Action) {
	h.lastRequest++
	return h.lastRequest, h.handle(Request{ID: h.lastRequest, Customer: customer, Class: class, Plan: plan, Cost: 1,
		Timeout: 6 * second, GatewaySpread: 2})
}

// startedAttempts returns the StartAttempts among actions.
func startedAttempts(actions []Action) (out []StartAttempt) {
	for _, a := range actions {
		if s, ok := a.(StartAttempt); ok {
			out = append(out, s)
		}
	}
	return out
}

// finalAnswers counts the Rejects and Fails among actions.
func finalAnswers(actions []Action) (rejected, failed int) {
	for _, a := range actions {
		switch a.(type) {
		case Reject:
			rejected++
		case Fail:
			failed++
		}
	}
	return
}

func (h *harness) outcome(id RequestID, backend BackendID, attempt int, result Result) []Action {
	return h.handle(Outcome{Request: id, Backend: backend, Attempt: attempt, Result: result, Latency: 100 * ms,
		Final: result == Succeeded})
}
