package decision

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"strings"
	"testing"
	"time"
)

// The property tests pass random but legal events to several engines, and check invariants of the
// actions: one final answer in time, no repeated execution, no attempt at a draining backend, and
// the limits of slow start and hard limits. The events do not simulate queues or load.

type observedAttempt struct {
	gateway, number int
	backend         BackendID
	sent            time.Duration
	inFlight        bool
	result          Result
}

type observedRequest struct {
	gateway  int
	request  Request
	deadline time.Duration
	class    Class
	attempts []*observedAttempt
	ended    bool
	endedAt  time.Duration
}

type pendingTimer struct {
	at          time.Duration
	token       uint64
	incarnation int
}

type ruleChecker struct {
	t                 *testing.T
	settings          Settings
	rng               *rand.Rand
	now               time.Duration
	engines           []*Engine
	incarnations      []int
	timers            [][]pendingTimer
	known             []map[BackendID]Endpoint
	requests          map[RequestID]*observedRequest
	openRequests      []RequestID
	lastRequest       RequestID
	hardLimitTokens   map[CustomerID]float64
	hardLimitTokensAt map[CustomerID]time.Duration
	warmupAttempts    map[BackendID][]time.Duration
	log               []string
}

func (checker *ruleChecker) failf(format string, args ...any) {
	checker.t.Helper()
	checker.t.Fatalf("at %v: %s", checker.now, fmt.Sprintf(format, args...))
}

func (checker *ruleChecker) class(name string) Class {
	for _, c := range checker.settings.Classes {
		if c.Name == name {
			return c
		}
	}
	checker.failf("no class %q", name)
	return Class{}
}

func (checker *ruleChecker) handle(gateway int, event Event) {
	for _, a := range checker.engines[gateway].Handle(checker.now, event, nil) {
		checker.log = append(checker.log, fmt.Sprintf("%d %s", gateway, encodeAction(a)))
		checker.checkAction(gateway, a)
	}
}

// checkAction checks one action against the rules.
func (checker *ruleChecker) checkAction(gateway int, a Action) {
	final := func(id RequestID, rejection bool) {
		r := checker.requests[id]
		if r == nil || r.gateway != gateway || r.ended {
			checker.failf("request %d, which is unknown or has ended, got a final answer", id)
		}
		if checker.now > r.deadline+checker.settings.ResponseGrace {
			checker.failf("request %d got its final answer %v after its deadline", id, checker.now-r.deadline)
		}
		for _, t := range r.attempts {
			if rejection && r.class.Idempotency != Idempotent && (t.inFlight || !neverExecuted(t.result)) &&
				(r.class.Idempotency == NonIdempotent || r.class.DedupScope != DedupScopeAll) {
				checker.failf("%s request %d rejected though it may have run", r.class.Name, id)
			}
		}
		r.ended, r.endedAt = true, checker.now
	}
	switch a := a.(type) {
	case StartAttempt:
		checker.checkAttempt(gateway, a)
	case Reject:
		final(a.Request, true)
	case Fail:
		final(a.Request, false)
	case CancelAttempt:
		if r := checker.requests[a.Request]; r == nil || a.Attempt < 0 || a.Attempt >= len(r.attempts) {
			checker.failf("an attempt that was never started was cancelled: %+v", a)
		}
	case SetTimer:
		timer := pendingTimer{checker.now + a.After, a.Token, checker.incarnations[gateway]}
		checker.timers[gateway] = append(checker.timers[gateway], timer)
	}
}

func (checker *ruleChecker) checkAttempt(gateway int, a StartAttempt) {
	r := checker.requests[a.Request]
	if r == nil || r.gateway != gateway || r.ended {
		checker.failf("an attempt of request %d, which is unknown or has ended", a.Request)
	}
	b, known := checker.known[gateway][a.Backend]
	if !known || b.State != Ready {
		checker.failf("an attempt at backend %d, which is unknown, draining or removed", a.Backend)
	}
	if len(r.attempts) >= checker.settings.MaxAttempts {
		checker.failf("request %d has more than %d attempts", a.Request, checker.settings.MaxAttempts)
	}
	for _, t := range r.attempts {
		if t.inFlight && !checker.settings.AllowHedging {
			checker.failf("request %d has two attempts in flight", a.Request)
		}
		if !t.inFlight && neverExecuted(t.result) || r.class.Idempotency == Idempotent {
			continue
		}
		o := checker.known[gateway][t.backend]
		if r.class.Idempotency == NonIdempotent || checker.now-t.sent > r.class.DedupWindow ||
			r.class.DedupScope == DedupScopeZone && o.Zone != b.Zone || r.class.DedupScope == DedupScopeCell &&
			o.Cell != b.Cell {
			checker.failf("%s request %d retried at backend %d, where it may run twice", r.class.Name, a.Request, a.Backend)
		}
	}
	if p := checker.plan(r.request.Plan); len(r.attempts) == 0 && p.HardLimitRate > 0 {
		c := r.request.Customer
		have, ok := checker.hardLimitTokens[c]
		if !ok {
			have = p.HardLimitBurst
		}
		refill := p.HardLimitRate * (checker.now - checker.hardLimitTokensAt[c]).Seconds()
		have = min(p.HardLimitBurst, have+refill) - r.request.Cost
		if checker.hardLimitTokens[c], checker.hardLimitTokensAt[c] = have, checker.now; have < -p.HardLimitOverdraft {
			checker.failf("customer %d exceeds its hard limit: %v tokens, want at least %v", c, have, -p.HardLimitOverdraft)
		}
	}
	r.attempts = append(r.attempts, &observedAttempt{gateway: gateway, number: len(r.attempts), backend: a.Backend,
		sent: checker.now, inFlight: true})
	if b.StartedAt > 0 && checker.now-b.StartedAt < checker.settings.SlowStartWindow/2 {
		checker.warmupAttempts[a.Backend] = append(checker.warmupAttempts[a.Backend], checker.now)
		in := 0
		for _, at := range checker.warmupAttempts[a.Backend] {
			in += boolToInt(checker.now-at <= checker.settings.OverloadDuration)
		}
		// At most one for each gateway, and one and a half times as many as a warm backend would get
		// from all gateways if three backends shared the load.
		if most := len(checker.engines) + int(1.5*arrivalsPerSecond/3); in > most {
			checker.failf("%d attempts in %v at backend %d, which is in slow start, want %d at most", in,
				checker.settings.OverloadDuration, b.ID, most)
		}
	}
}

const arrivalsPerSecond = 60

func neverExecuted(res Result) bool { return res == Rejected || res == ConnectFailed || res == NotSent }

func (checker *ruleChecker) plan(name string) Plan {
	for _, p := range checker.settings.Plans {
		if p.Name == name {
			return p
		}
	}
	return Plan{}
}

func (checker *ruleChecker) start(gateway int) {
	checker.settings.GatewayIndex = gateway
	engine, err := New(checker.settings, checker.rng.Uint64(), checker.now)
	if err != nil {
		checker.t.Fatal(err)
	}
	checker.engines[gateway] = engine
	checker.incarnations[gateway]++
	update := EndpointUpdate{Kind: UpdateCached}
	for id := BackendID(1); id < 100; id++ {
		if b, ok := checker.known[gateway][id]; ok && b.State != Removed {
			update.Endpoints = append(update.Endpoints, b)
		}
	}
	checker.handle(gateway, update)
}

// step advances the clock, fires the timers that are due, ends some attempts and generates one
// random event.
func (checker *ruleChecker) step() {
	checker.now += time.Duration(checker.rng.IntN(int(2*second/arrivalsPerSecond/2))) + 1
	checker.fireTimers()
	checker.endAttempts()
	checker.randomEvent()
}

func (checker *ruleChecker) fireTimers() {
	for gateway := range checker.engines {
		keep := checker.timers[gateway][:0:0]
		due := []pendingTimer{}
		for _, t := range checker.timers[gateway] {
			switch {
			case t.incarnation != checker.incarnations[gateway]: // set before the gateway was restarted
			case t.at <= checker.now:
				due = append(due, t)
			default:
				keep = append(keep, t)
			}
		}
		checker.timers[gateway] = keep
		for _, t := range due {
			checker.handle(gateway, Timer{Token: t.token})
		}
	}
}

// endAttempts ends random attempts, and all whose client has reached its deadline.
func (checker *ruleChecker) endAttempts() {
	keep := checker.openRequests[:0]
	for _, id := range checker.openRequests {
		r := checker.requests[id]
		for _, t := range r.attempts {
			if !t.inFlight || checker.rng.IntN(25) != 0 && checker.now < r.deadline+200*ms && !r.ended {
				continue
			}
			res := Result(checker.rng.IntN(int(Unknown) + 1))
			if checker.rng.IntN(20) != 0 {
				res = Succeeded
			}
			if checker.now >= r.deadline {
				res = TimedOut
			}
			if res == Succeeded && !r.ended {
				r.ended, r.endedAt = true, checker.now
			}
			t.inFlight, t.result = false, res
			checker.handle(r.gateway, Outcome{Request: id, Backend: t.backend, Attempt: t.number, Result: res,
				Latency: checker.now - t.sent,
				Final:   r.ended, HasUsage: checker.rng.IntN(2) == 0, Usage: float64(checker.rng.IntN(300))})
		}
		if !r.ended && checker.now > r.deadline+checker.settings.ResponseGrace {
			checker.failf("request %d of class %s has no final answer %v after its deadline", id, r.class.Name,
				checker.now-r.deadline)
		}
		open := false
		for _, t := range r.attempts {
			open = open || t.inFlight
		}
		if open || !r.ended {
			keep = append(keep, id)
		}
	}
	checker.openRequests = keep
}

// randomEvent generates an event at a random gateway, mostly a request.
func (checker *ruleChecker) randomEvent() {
	switch gateway := checker.rng.IntN(len(checker.engines)); checker.rng.IntN(60) {
	case 0: // the gateway is killed and restarts; its requests are lost
		for _, id := range checker.openRequests {
			if r := checker.requests[id]; r.gateway == gateway {
				r.ended = true
				r.attempts = nil
			}
		}
		checker.start(gateway)
	case 1, 2: // a backend drains, is removed, or starts
		b := Endpoint{ID: BackendID(1 + checker.rng.IntN(8)), State: BackendState(checker.rng.IntN(3)), Zone: "z"}
		b.Cell = int(b.ID) % 2
		b.Zone = fmt.Sprint("z", b.Cell)
		if b.State == Ready {
			b.StartedAt = checker.now
		}
		for gateway := range checker.engines {
			checker.known[gateway][b.ID] = b
			checker.handle(gateway, EndpointUpdate{Kind: UpdateDelta, Endpoints: []Endpoint{b}})
		}
	case 3:
		if len(checker.openRequests) > 0 {
			id := checker.openRequests[checker.rng.IntN(len(checker.openRequests))]
			checker.requests[id].ended = true
			checker.handle(checker.requests[id].gateway, ClientDisconnected{Request: id})
		}
	default:
		checker.lastRequest++
		q := Request{ID: checker.lastRequest, Customer: CustomerID(checker.rng.IntN(6)), Cost: 1,
			Class:         checker.settings.Classes[checker.rng.IntN(len(checker.settings.Classes))].Name,
			GatewaySpread: min(len(checker.engines), 4),
			FirstGateway:  len(checker.engines) - 2}
		q.Plan = checker.settings.Plans[int(q.Customer)%len(checker.settings.Plans)].Name
		q.Timeout = second + time.Duration(checker.rng.IntN(int(5*second)))
		checker.requests[q.ID] = &observedRequest{gateway: gateway, request: q, class: checker.class(q.Class),
			deadline: checker.now + q.Timeout}
		checker.openRequests = append(checker.openRequests, q.ID)
		checker.handle(gateway, q)
	}
}

func runRuleChecker(t *testing.T, seed uint64, gateways int, allowHedging bool, steps int) []string {
	settings := testSettings()
	settings.GatewayCount, settings.AllowHedging, settings.ResponseGrace = gateways, allowHedging, 80*ms
	checker := &ruleChecker{t: t, settings: settings, rng: rand.New(rand.NewPCG(seed, 1)), now: 500 * second,
		engines:      make([]*Engine, gateways),
		incarnations: make([]int, gateways), timers: make([][]pendingTimer, gateways),
		requests:        map[RequestID]*observedRequest{},
		hardLimitTokens: map[CustomerID]float64{}, hardLimitTokensAt: map[CustomerID]time.Duration{},
		warmupAttempts: map[BackendID][]time.Duration{}}
	for gateway := range checker.engines {
		checker.known = append(checker.known, map[BackendID]Endpoint{})
		for _, b := range testEndpoints(6) {
			checker.known[gateway][b.ID] = b
		}
	}
	for gateway := range checker.engines {
		checker.start(gateway)
	}
	for range steps {
		checker.step()
	}
	return checker.log
}

// The invariants hold while gateways are killed and restarted, backends drain, start and are
// removed, and attempts end with any result.
func TestRulesUnderRandomEvents(t *testing.T) {
	for seed := uint64(1); seed <= 12; seed++ {
		sent, gateways, least := 0, 3, 120
		if seed > 8 { // many gateways, each of which gets a request or two a second
			gateways, least = 40, 60
		}
		for _, line := range runRuleChecker(t, seed, gateways, seed%2 == 0, 15000) {
			if strings.HasPrefix(line[2:], "send ") { // by the first ten gateways
				sent++
			}
		}
		if sent < least {
			t.Errorf("seed %d: %d attempts, want at least %d for a meaningful test", seed, sent, least)
		}
	}
}

// Two runs with the same events must log the same actions.
func TestSameEventsSameActions(t *testing.T) {
	if a, b := runRuleChecker(t, 5, 3, true, 2000), runRuleChecker(t, 5, 3, true, 2000); !reflect.DeepEqual(a, b) {
		t.Errorf("two runs with the same events differ: %d and %d actions", len(a), len(b))
	}
}
