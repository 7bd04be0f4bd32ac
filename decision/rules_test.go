package decision

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"strings"
	"testing"
	"time"
)

// The property tests feed several engines random but legal events, and check the rules on what they
// do: one final answer in time, no effect twice, no attempt at a draining backend, warming backends
// and hard limits kept. The events know nothing of queues or load: this is a checker, not a model
// of backends.

type seenAttempt struct {
	gateway, number int
	backend         BackendID
	sent            time.Duration
	open            bool
	result          Result
}

type seenRequest struct {
	gateway  int
	request  Request
	deadline time.Duration
	class    Class
	attempts []*seenAttempt
	ended    bool
	endedAt  time.Duration
}

type pendingTimer struct {
	at          time.Duration
	token       uint64
	incarnation int
}

type checker struct {
	t                 *testing.T
	set               Settings
	rng               *rand.Rand
	now               time.Duration
	engines           []*Engine
	incarnations      []int
	timers            [][]pendingTimer
	known             []map[BackendID]Endpoint
	requests          map[RequestID]*seenRequest
	order             []RequestID
	lastRequest       RequestID
	hardLimitTokens   map[CustomerID]float64
	hardLimitTokensAt map[CustomerID]time.Duration
	warmupAttempts    map[BackendID][]time.Duration
	log               []string
}

func (k *checker) fail(format string, args ...any) {
	k.t.Helper()
	k.t.Fatalf("at %v: %s", k.now, fmt.Sprintf(format, args...))
}

func (k *checker) class(name string) Class {
	for _, c := range k.set.Classes {
		if c.Name == name {
			return c
		}
	}
	k.fail("no class %q", name)
	return Class{}
}

func (k *checker) handle(gateway int, ev Event) {
	for _, a := range k.engines[gateway].Handle(k.now, ev, nil) {
		k.log = append(k.log, fmt.Sprintf("%d %s", gateway, encodeAction(a)))
		k.checkAction(gateway, a)
	}
}

// checkAction checks one action against the rules.
func (k *checker) checkAction(gateway int, a Action) {
	final := func(id RequestID, rejection bool) {
		r := k.requests[id]
		if r == nil || r.gateway != gateway || r.ended {
			k.fail("a second or stray final answer for %d", id)
		}
		if k.now > r.deadline+k.set.ResponseGrace {
			k.fail("request %d answered %v late", id, k.now-r.deadline)
		}
		for _, t := range r.attempts {
			if rejection && r.class.Idempotency != Idempotent && (t.open || !neverRan(t.result)) &&
				(r.class.Idempotency == NonIdempotent || r.class.DedupScope != DedupScopeAll) {
				k.fail("%s request %d rejected though it may have run", r.class.Name, id)
			}
		}
		r.ended, r.endedAt = true, k.now
	}
	switch a := a.(type) {
	case StartAttempt:
		k.checkAttempt(gateway, a)
	case Reject:
		final(a.Request, true)
	case Fail:
		final(a.Request, false)
	case CancelAttempt:
		if r := k.requests[a.Request]; r == nil || a.Attempt < 0 || a.Attempt >= len(r.attempts) {
			k.fail("an attempt never made was cancelled: %+v", a)
		}
	case SetTimer:
		k.timers[gateway] = append(k.timers[gateway], pendingTimer{k.now + a.After, a.Token, k.incarnations[gateway]})
	}
}

func (k *checker) checkAttempt(gateway int, a StartAttempt) {
	r := k.requests[a.Request]
	if r == nil || r.gateway != gateway || r.ended {
		k.fail("a send for request %d, which has ended", a.Request)
	}
	b, known := k.known[gateway][a.Backend]
	if !known || b.State != Ready {
		k.fail("a send to backend %d, draining or removed", a.Backend)
	}
	if len(r.attempts) >= k.set.MaxAttempts {
		k.fail("too many attempts for request %d", a.Request)
	}
	for _, t := range r.attempts {
		if t.open && !k.set.AllowHedging {
			k.fail("two attempts of request %d in flight together", a.Request)
		}
		if !t.open && neverRan(t.result) || r.class.Idempotency == Idempotent {
			continue
		}
		o := k.known[gateway][t.backend]
		if r.class.Idempotency == NonIdempotent || k.now-t.sent > r.class.DedupWindow ||
			r.class.DedupScope == DedupScopeZone && o.Zone != b.Zone || r.class.DedupScope == DedupScopeCell &&
			o.Cell != b.Cell {
			k.fail("%s request %d sent again where it may run twice", r.class.Name, a.Request)
		}
	}
	if p := k.plan(r.request.Plan); len(r.attempts) == 0 && p.HardLimitRate > 0 {
		c := r.request.Customer
		have, ok := k.hardLimitTokens[c]
		if !ok {
			have = p.HardLimitBurst
		}
		have = min(p.HardLimitBurst, have+p.HardLimitRate*(k.now-k.hardLimitTokensAt[c]).Seconds()) - r.request.Cost
		if k.hardLimitTokens[c], k.hardLimitTokensAt[c] = have, k.now; have < -p.HardLimitOverdraft {
			k.fail("customer %d exceeds its hard limit: tokens at %v", c, have)
		}
	}
	r.attempts = append(r.attempts, &seenAttempt{gateway: gateway, number: len(r.attempts), backend: a.Backend,
		sent: k.now, open: true})
	if b.StartedAt > 0 && k.now-b.StartedAt < k.set.SlowStartWindow/2 {
		k.warmupAttempts[a.Backend] = append(k.warmupAttempts[a.Backend], k.now)
		in := 0
		for _, at := range k.warmupAttempts[a.Backend] {
			in += boolToInt(k.now-at <= k.set.OverloadDuration)
		}
		// all gateways together: no more than to one warm backend, and one each
		if most := len(k.engines) + int(1.5*arrivalsPerSecond/3); in > most {
			k.fail("%d sends in %v to backend %d, which has just started; at most %d", in,
				k.set.OverloadDuration, b.ID, most)
		}
	}
}

const arrivalsPerSecond = 60

func neverRan(res Result) bool { return res == Rejected || res == ConnectFailed || res == NotSent }

func (k *checker) plan(name string) Plan {
	for _, p := range k.set.Plans {
		if p.Name == name {
			return p
		}
	}
	return Plan{}
}

func (k *checker) start(gateway int) {
	k.set.GatewayIndex = gateway
	g, err := New(k.set, k.rng.Uint64(), k.now)
	if err != nil {
		k.t.Fatal(err)
	}
	k.engines[gateway] = g
	k.incarnations[gateway]++
	list := EndpointUpdate{Kind: UpdateCached}
	for id := BackendID(1); id < 100; id++ {
		if b, ok := k.known[gateway][id]; ok && b.State != Removed {
			list.Endpoints = append(list.Endpoints, b)
		}
	}
	k.handle(gateway, list)
}

// step moves the clock on, lets timers fire, ends some attempts and has one random event happen.
func (k *checker) step() {
	k.now += time.Duration(k.rng.IntN(int(2*second/arrivalsPerSecond/2))) + 1
	k.fireTimers()
	k.endAttempts()
	k.randomEvent()
}

func (k *checker) fireTimers() {
	for gateway := range k.engines {
		keep := k.timers[gateway][:0:0]
		due := []pendingTimer{}
		for _, t := range k.timers[gateway] {
			switch {
			case t.incarnation != k.incarnations[gateway]: // of a process that was killed
			case t.at <= k.now:
				due = append(due, t)
			default:
				keep = append(keep, t)
			}
		}
		k.timers[gateway] = keep
		for _, t := range due {
			k.handle(gateway, Timer{Token: t.token})
		}
	}
}

// endAttempts ends attempts at random, and those whose client's time is up.
func (k *checker) endAttempts() {
	keep := k.order[:0]
	for _, id := range k.order {
		r := k.requests[id]
		for _, t := range r.attempts {
			if !t.open || k.rng.IntN(25) != 0 && k.now < r.deadline+200*ms && !r.ended {
				continue
			}
			res := Result(k.rng.IntN(int(Unknown) + 1))
			if k.rng.IntN(20) != 0 {
				res = Succeeded
			}
			if k.now >= r.deadline {
				res = TimedOut
			}
			if res == Succeeded && !r.ended {
				r.ended, r.endedAt = true, k.now
			}
			t.open, t.result = false, res
			k.handle(r.gateway, Outcome{Request: id, Backend: t.backend, Attempt: t.number, Result: res,
				Latency: k.now - t.sent,
				Final:   r.ended, HasUsage: k.rng.IntN(2) == 0, Usage: float64(k.rng.IntN(300))})
		}
		if !r.ended && k.now > r.deadline+k.set.ResponseGrace {
			k.fail("request %d of class %s has no final answer %v after its deadline", id, r.class.Name,
				k.now-r.deadline)
		}
		open := false
		for _, t := range r.attempts {
			open = open || t.open
		}
		if open || !r.ended {
			keep = append(keep, id)
		}
	}
	k.order = keep
}

// randomEvent is mostly a request at a random gateway.
func (k *checker) randomEvent() {
	switch gateway := k.rng.IntN(len(k.engines)); k.rng.IntN(60) {
	case 0: // the gateway is killed and restarts; its requests are void
		for _, id := range k.order {
			if r := k.requests[id]; r.gateway == gateway {
				r.ended = true
				r.attempts = nil
			}
		}
		k.start(gateway)
	case 1, 2: // a backend drains, is removed, or starts
		b := Endpoint{ID: BackendID(1 + k.rng.IntN(8)), State: BackendState(k.rng.IntN(3)), Zone: "z"}
		b.Cell = int(b.ID) % 2
		b.Zone = fmt.Sprint("z", b.Cell)
		if b.State == Ready {
			b.StartedAt = k.now
		}
		for d := range k.engines {
			k.known[d][b.ID] = b
			k.handle(d, EndpointUpdate{Kind: UpdateDelta, Endpoints: []Endpoint{b}})
		}
	case 3:
		if len(k.order) > 0 {
			id := k.order[k.rng.IntN(len(k.order))]
			k.requests[id].ended = true
			k.handle(k.requests[id].gateway, ClientDisconnected{Request: id})
		}
	default:
		k.lastRequest++
		q := Request{ID: k.lastRequest, Customer: CustomerID(k.rng.IntN(6)), Cost: 1,
			Class: k.set.Classes[k.rng.IntN(len(k.set.Classes))].Name, GatewaySpread: min(len(k.engines), 4),
			FirstGateway: len(k.engines) - 2}
		q.Plan = k.set.Plans[int(q.Customer)%len(k.set.Plans)].Name
		q.Timeout = second + time.Duration(k.rng.IntN(int(5*second)))
		k.requests[q.ID] = &seenRequest{gateway: gateway, request: q, class: k.class(q.Class),
			deadline: k.now + q.Timeout}
		k.order = append(k.order, q.ID)
		k.handle(gateway, q)
	}
}

func runChecker(t *testing.T, seed uint64, gateways int, parallel bool, steps int) []string {
	s := testSettings()
	s.GatewayCount, s.AllowHedging, s.ResponseGrace = gateways, parallel, 80*ms
	k := &checker{t: t, set: s, rng: rand.New(rand.NewPCG(seed, 1)), now: 500 * second,
		engines:      make([]*Engine, gateways),
		incarnations: make([]int, gateways), timers: make([][]pendingTimer, gateways),
		requests:        map[RequestID]*seenRequest{},
		hardLimitTokens: map[CustomerID]float64{}, hardLimitTokensAt: map[CustomerID]time.Duration{},
		warmupAttempts: map[BackendID][]time.Duration{}}
	for d := range k.engines {
		k.known = append(k.known, map[BackendID]Endpoint{})
		for _, b := range testEndpoints(6) {
			k.known[d][b.ID] = b
		}
	}
	for d := range k.engines {
		k.start(d)
	}
	for range steps {
		k.step()
	}
	return k.log
}

// Gateways are killed and started, backends drain, start and are removed, attempts end in every
// way. The rules hold.
func TestRulesUnderRandomEvents(t *testing.T) {
	for seed := uint64(1); seed <= 12; seed++ {
		sent, gateways, least := 0, 3, 120
		if seed > 8 { // many gateways, each of which sees a request or two a second
			gateways, least = 40, 60
		}
		for _, l := range runChecker(t, seed, gateways, seed%2 == 0, 15000) {
			if strings.HasPrefix(l[2:], "send ") { // by the first ten gateways
				sent++
			}
		}
		if sent < least {
			t.Errorf("seed %d: only %d sends, too few to tell anything", seed, sent)
		}
	}
}

// Two runs over the same events are equal, line by line.
func TestSameEventsSameActions(t *testing.T) {
	if a, b := runChecker(t, 5, 3, true, 2000), runChecker(t, 5, 3, true, 2000); !reflect.DeepEqual(a, b) {
		t.Error("two runs over the same events differ")
	}
}
