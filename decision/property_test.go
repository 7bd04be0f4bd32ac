package decision

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"strings"
	"testing"
	"time"
)

// The property tests feed several doors random but legal events and check the five rules on what they do. The
// events know nothing of queues or load: this is a checker, no model of a back end.

type seenTry struct {
	door, try int
	backend   BackendID
	sent      time.Duration
	open      bool
	result    Result
}

type seenRequest struct {
	door    int
	req     Request
	due     time.Duration
	class   Class
	tries   []*seenTry
	ended   bool
	endedAt time.Duration
}

type pendingTimer struct {
	at    time.Duration
	token uint64
	life  int
}

type checker struct {
	t        *testing.T
	set      Settings
	rng      *rand.Rand
	now      time.Duration
	doors    []*Engine
	lives    []int
	timers   [][]pendingTimer
	told     []map[BackendID]Endpoint
	requests map[RequestID]*seenRequest
	order    []RequestID
	next     RequestID
	ceiling  map[CustomerID]float64
	ceilAt   map[CustomerID]time.Duration
	cold     map[BackendID][]time.Duration
	log      []string
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

func (k *checker) give(door int, ev Event) {
	for _, a := range k.doors[door].Handle(k.now, ev, nil) {
		k.log = append(k.log, fmt.Sprintf("%d %s", door, encodeAction(a)))
		k.see(door, a)
	}
}

// see checks one action against the rules.
func (k *checker) see(door int, a Action) {
	final := func(id RequestID, refusal bool) {
		r := k.requests[id]
		if r == nil || r.door != door || r.ended {
			k.fail("a second or stray final answer for %d", id)
		}
		if k.now > r.due+k.set.ResponseGrace {
			k.fail("request %d answered %v late", id, k.now-r.due)
		}
		for _, t := range r.tries {
			if refusal && r.class.Idempotency != Idempotent && (t.open || !neverRan(t.result)) &&
				(r.class.Idempotency == NonIdempotent || r.class.DedupScope != DedupScopeAll) {
				k.fail("%s request %d refused though it may have run", r.class.Name, id)
			}
		}
		r.ended, r.endedAt = true, k.now
	}
	switch a := a.(type) {
	case StartAttempt:
		k.seeSend(door, a)
	case Reject:
		final(a.Request, true)
	case Fail:
		final(a.Request, false)
	case CancelAttempt:
		if r := k.requests[a.Request]; r == nil || a.Attempt < 0 || a.Attempt >= len(r.tries) {
			k.fail("an attempt never made called off: %+v", a)
		}
	case SetTimer:
		k.timers[door] = append(k.timers[door], pendingTimer{k.now + a.After, a.Token, k.lives[door]})
	}
}

func (k *checker) seeSend(door int, a StartAttempt) {
	r := k.requests[a.Request]
	if r == nil || r.door != door || r.ended {
		k.fail("a send for request %d, which has ended", a.Request)
	}
	b, known := k.told[door][a.Backend]
	if !known || b.State != Ready {
		k.fail("a send to backend %d, told to drain or gone", a.Backend)
	}
	if len(r.tries) >= k.set.MaxAttempts {
		k.fail("too many attempts for request %d", a.Request)
	}
	for _, t := range r.tries {
		if t.open && !k.set.AllowHedging {
			k.fail("two attempts of request %d out together", a.Request)
		}
		if !t.open && neverRan(t.result) || r.class.Idempotency == Idempotent {
			continue
		}
		o := k.told[door][t.backend]
		if r.class.Idempotency == NonIdempotent || k.now-t.sent > r.class.DedupWindow ||
			r.class.DedupScope == DedupScopeZone && o.Zone != b.Zone || r.class.DedupScope == DedupScopeCell && o.Cell != b.Cell {
			k.fail("%s request %d sent again where it may run twice", r.class.Name, a.Request)
		}
	}
	if p := k.plan(r.req.Plan); len(r.tries) == 0 && p.HardLimitRate > 0 {
		c := r.req.Customer
		have, ok := k.ceiling[c]
		if !ok {
			have = p.HardLimitBurst
		}
		have = min(p.HardLimitBurst, have+p.HardLimitRate*(k.now-k.ceilAt[c]).Seconds()) - r.req.Cost
		if k.ceiling[c], k.ceilAt[c] = have, k.now; have < -p.HardLimitOverdraft {
			k.fail("customer %d passes its ceiling: store at %v", c, have)
		}
	}
	r.tries = append(r.tries, &seenTry{door: door, try: len(r.tries), backend: a.Backend, sent: k.now, open: true})
	if b.StartedAt > 0 && k.now-b.StartedAt < k.set.SlowStartWindow/2 {
		k.cold[a.Backend] = append(k.cold[a.Backend], k.now)
		in := 0
		for _, at := range k.cold[a.Backend] {
			in += boolToInt(k.now-at <= k.set.OverloadDuration)
		}
		// over all doors, no more than what the doors together may send to one warm backend, and one each
		if most := len(k.doors) + int(1.5*arrivalsPerSecond/3); in > most {
			k.fail("%d sends in %v to backend %d, which has just started; at most %d", in, k.set.OverloadDuration, b.ID, most)
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

func (k *checker) start(door int) {
	k.set.GatewayIndex = door
	g, err := New(k.set, k.rng.Uint64(), k.now)
	if err != nil {
		k.t.Fatal(err)
	}
	k.doors[door] = g
	k.lives[door]++
	list := EndpointUpdate{Kind: UpdateCached}
	for id := BackendID(1); id < 100; id++ {
		if b, ok := k.told[door][id]; ok && b.State != Removed {
			list.Endpoints = append(list.Endpoints, b)
		}
	}
	k.give(door, list)
}

func (k *checker) step() {
	k.now += time.Duration(k.rng.IntN(int(2*second/arrivalsPerSecond/2))) + 1
	for door := range k.doors {
		keep := k.timers[door][:0:0]
		due := []pendingTimer{}
		for _, t := range k.timers[door] {
			if t.life != k.lives[door] {
				continue
			} else if t.at <= k.now {
				due = append(due, t)
			} else {
				keep = append(keep, t)
			}
		}
		k.timers[door] = keep
		for _, t := range due {
			k.give(door, Timer{Token: t.token})
		}
	}
	keep := k.order[:0]
	for _, id := range k.order { // end attempts at random, and those whose client's time is up
		r := k.requests[id]
		for _, t := range r.tries {
			if !t.open || k.rng.IntN(25) != 0 && k.now < r.due+200*ms && !r.ended {
				continue
			}
			res := Result(k.rng.IntN(int(Unknown) + 1))
			if k.rng.IntN(20) != 0 {
				res = Succeeded
			}
			if k.now >= r.due {
				res = TimedOut
			}
			if res == Succeeded && !r.ended {
				r.ended, r.endedAt = true, k.now
			}
			t.open, t.result = false, res
			k.give(r.door, Outcome{Request: id, Backend: t.backend, Attempt: t.try, Result: res, Latency: k.now - t.sent,
				Final: r.ended, HasUsage: k.rng.IntN(2) == 0, Usage: float64(k.rng.IntN(300))})
		}
		if !r.ended && k.now > r.due+k.set.ResponseGrace {
			k.fail("request %d of class %s has no final answer %v after its deadline", id, r.class.Name, k.now-r.due)
		}
		open := false
		for _, t := range r.tries {
			open = open || t.open
		}
		if open || !r.ended {
			keep = append(keep, id)
		}
	}
	k.order = keep
	switch door := k.rng.IntN(len(k.doors)); k.rng.IntN(60) {
	case 0: // the door is killed and comes back; its requests are void
		for _, id := range k.order {
			if r := k.requests[id]; r.door == door {
				r.ended = true
				r.tries = nil
			}
		}
		k.start(door)
	case 1, 2: // a backend drains, goes, or starts
		b := Endpoint{ID: BackendID(1 + k.rng.IntN(8)), State: BackendState(k.rng.IntN(3)), Zone: "z"}
		b.Cell = int(b.ID) % 2
		b.Zone = fmt.Sprint("z", b.Cell)
		if b.State == Ready {
			b.StartedAt = k.now
		}
		for d := range k.doors {
			k.told[d][b.ID] = b
			k.give(d, EndpointUpdate{Kind: UpdateDelta, Endpoints: []Endpoint{b}})
		}
	case 3:
		if len(k.order) > 0 {
			id := k.order[k.rng.IntN(len(k.order))]
			k.requests[id].ended = true
			k.give(k.requests[id].door, ClientDisconnected{Request: id})
		}
	default:
		k.next++
		q := Request{ID: k.next, Customer: CustomerID(k.rng.IntN(6)), Cost: 1,
			Class: k.set.Classes[k.rng.IntN(len(k.set.Classes))].Name, GatewaySpread: min(len(k.doors), 4), FirstGateway: len(k.doors) - 2}
		q.Plan = k.set.Plans[int(q.Customer)%len(k.set.Plans)].Name
		q.Timeout = second + time.Duration(k.rng.IntN(int(5*second)))
		k.requests[q.ID] = &seenRequest{door: door, req: q, class: k.class(q.Class), due: k.now + q.Timeout}
		k.order = append(k.order, q.ID)
		k.give(door, q)
	}
}

func runChecker(t *testing.T, seed uint64, doors int, parallel bool, steps int) []string {
	s := testSettings()
	s.GatewayCount, s.AllowHedging, s.ResponseGrace = doors, parallel, 80*ms
	k := &checker{t: t, set: s, rng: rand.New(rand.NewPCG(seed, 1)), now: 500 * second, doors: make([]*Engine, doors),
		lives: make([]int, doors), timers: make([][]pendingTimer, doors), requests: map[RequestID]*seenRequest{},
		ceiling: map[CustomerID]float64{}, ceilAt: map[CustomerID]time.Duration{}, cold: map[BackendID][]time.Duration{}}
	for d := range k.doors {
		k.told = append(k.told, map[BackendID]Endpoint{})
		for _, b := range fleet(6) {
			k.told[d][b.ID] = b
		}
	}
	for d := range k.doors {
		k.start(d)
	}
	for range steps {
		k.step()
	}
	return k.log
}

func TestRulesUnderRandomEvents(t *testing.T) {
	for seed := uint64(1); seed <= 12; seed++ {
		sent, doors, least := 0, 3, 120
		if seed > 8 { // many doors, each of which sees a request or two a second; rules 4 and 5 are over all
			doors, least = 40, 60
		}
		for _, l := range runChecker(t, seed, doors, seed%2 == 0, 15000) {
			if strings.HasPrefix(l[2:], "send ") { // by the first ten doors
				sent++
			}
		}
		if sent < least {
			t.Errorf("seed %d: only %d sends, too few to tell anything", seed, sent)
		}
	}
}

func TestSameEventsSameActions(t *testing.T) {
	if a, b := runChecker(t, 5, 3, true, 2000), runChecker(t, 5, 3, true, 2000); !reflect.DeepEqual(a, b) {
		t.Error("two runs over the same events differ")
	}
}
