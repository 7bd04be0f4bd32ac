package decision

import (
	"flag"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"runtime"
	"slices"
	"testing"
	"time"
)

// script is one engine under events that its seed makes. Its customers have no limits: quota has
// tests of its own.
type script struct {
	engine      *Engine
	rng         *rand.Rand
	now         time.Duration
	lastRequest RequestID
	known       map[BackendID]Endpoint
	ids         []BackendID
	inFlight    []Outcome // attempts in flight, without how they end
	attempts    map[RequestID]int
	timers      []pendingEvent
	sends       int
	onActions   func(now time.Duration, actions []Action)
	afterEvent  func(Event) // nil: nothing
}

// scriptSettings differ by seed in what matters to selection: the numbers of gateways and attempts,
// and the length of slow start.
func scriptSettings(rng *rand.Rand) Settings {
	s := testSettings()
	s.GatewayCount = []int{1, 3, 40}[rng.IntN(3)]
	s.MaxAttempts = 1 + rng.IntN(3)
	s.SlowStartWindow = []time.Duration{second, 10 * second, 30 * second}[rng.IntN(3)]
	s.SubscribeToEndpoints, s.UsagePeriod = rng.IntN(2) == 0, 0
	s.Plans = []Plan{{Name: "free", Price: 1}}
	return s
}

func newScript(t *testing.T, seed uint64, see func(time.Duration, []Action)) *script {
	k := &script{rng: rand.New(rand.NewPCG(seed, 17)), now: 1000 * second, known: map[BackendID]Endpoint{},
		attempts: map[RequestID]int{}, onActions: see}
	g, err := New(scriptSettings(k.rng), seed, k.now)
	if err != nil {
		t.Fatal(err)
	}
	k.engine = g
	first := EndpointUpdate{Kind: UpdateKind(1 + k.rng.IntN(2))}
	for range 1 + k.rng.IntN([]int{4, 40, 400}[k.rng.IntN(3)]) {
		first.Endpoints = append(first.Endpoints, k.randomEndpoint(BackendID(len(k.ids)+1)))
	}
	k.handle(first)
	return k
}

// randomEndpoint is what an update may say next of a backend: a new one, or one whose process,
// state or description has changed.
func (k *script) randomEndpoint(id BackendID) Endpoint {
	info, known := k.known[id]
	if !known {
		info = Endpoint{ID: id, Weight: 1, Zone: fmt.Sprint("z", k.rng.IntN(3)), Cell: k.rng.IntN(6),
			Protocol: []string{"", "", "", "grpc", "web/few"}[k.rng.IntN(5)]}
		k.ids = append(k.ids, id)
	}
	info.State = Ready
	switch k.rng.IntN(12) {
	case 0, 1:
		info.State = Draining
	case 2, 3:
		info.State = Removed
	case 4, 5, 6: // its process has started; one gateway's clock may say that it will
		info.StartedAt = k.now - time.Duration(k.rng.Int64N(int64(12*second))) + 2*second
	case 7:
		info.Weight = k.rng.Float64()
	case 8:
		info.Zone, info.Cell = fmt.Sprint("z", k.rng.IntN(3)), k.rng.IntN(6)
	case 9:
		info.Protocol = []string{"", "grpc", "web/few", "web/new"}[k.rng.IntN(4)]
	}
	k.known[id] = info
	return info
}

// update is an endpoint update as sources bring it: mostly a few changes, now and then all, or one
// that failed.
func (k *script) update() {
	l := EndpointUpdate{}
	switch k.rng.IntN(20) {
	case 0:
		l.Kind = UpdateKind(1 + k.rng.IntN(3)) // full, cached or failed
		for _, id := range k.ids {
			if k.rng.IntN(10) > 0 {
				l.Endpoints = append(l.Endpoints, k.randomEndpoint(id))
			}
		}
	case 1: // a zone at once, which is removed or comes back with its processes started
		zone, state, at := fmt.Sprint("z", k.rng.IntN(3)), []BackendState{Ready, Draining,
			Removed}[k.rng.IntN(3)], k.now
		for _, id := range k.ids {
			if info := k.known[id]; info.Zone == zone {
				info.State, info.StartedAt = state, at
				k.known[id] = info
				l.Endpoints = append(l.Endpoints, info)
			}
		}
	default:
		for range 1 + k.rng.IntN(4) {
			id := BackendID(len(k.ids) + 1)
			if k.rng.IntN(3) > 0 {
				id = k.ids[k.rng.IntN(len(k.ids))]
			}
			l.Endpoints = append(l.Endpoints, k.randomEndpoint(id))
		}
	}
	k.handle(l)
}

func (k *script) handle(ev Event) {
	actions := k.engine.Handle(k.now, ev, nil)
	k.onActions(k.now, actions)
	for _, a := range actions {
		switch a := a.(type) {
		case StartAttempt:
			k.sends++
			k.inFlight = append(k.inFlight, Outcome{Request: a.Request, Backend: a.Backend,
				Attempt: k.attempts[a.Request]})
			k.attempts[a.Request]++
		case SetTimer:
			k.timers = append(k.timers, pendingEvent{at: k.now + a.After, id: RequestID(a.Token)})
		}
	}
	if k.afterEvent != nil {
		k.afterEvent(ev)
	}
}

// endAttempt ends one attempt that is in flight.
func (k *script) endAttempt(i int) {
	o := k.inFlight[i]
	k.inFlight = slices.Delete(k.inFlight, i, i+1)
	o.Result, o.Latency = Succeeded, time.Duration(k.rng.Int64N(int64(second)))
	if k.rng.IntN(3) == 0 {
		o.Result = Result(k.rng.IntN(int(Unknown) + 1))
	}
	if o.Backend%8 == 3 && k.rng.IntN(8) > 0 { // nothing listens there, mostly
		o.Result = ConnectFailed
	}
	o.Final = o.Result == Succeeded || k.rng.IntN(8) == 0
	k.handle(o)
}

func (k *script) step() {
	k.now += time.Duration(k.rng.ExpFloat64() * float64(20*ms))
	for i := 0; i < len(k.timers); i++ {
		if k.timers[i].at <= k.now {
			token := uint64(k.timers[i].id)
			k.timers = slices.Delete(k.timers, i, i+1)
			k.handle(Timer{Token: token})
			i = -1
		}
	}
	switch n := k.rng.IntN(100); {
	case n < 8:
		k.update()
	case n < 50:
		k.lastRequest++
		classes := k.engine.settings.Classes
		k.handle(Request{ID: k.lastRequest, Customer: CustomerID(k.rng.IntN(9)),
			Class: classes[k.rng.IntN(len(classes))].Name, Plan: "free", Cost: 1,
			Timeout: time.Duration(1+k.rng.IntN(3)) * second, GatewaySpread: 3, Protocol: []string{"", "",
				"grpc", "web/few", "web/new", "unknown"}[k.rng.IntN(6)]})
	case n < 95:
		if len(k.inFlight) > 0 {
			k.endAttempt(k.rng.IntN(len(k.inFlight)))
		}
	case n < 97:
		k.handle(ClientDisconnected{RequestID(1 + k.rng.Uint64N(uint64(k.lastRequest)+1))})
	case n < 98:
		k.handle(ResponseStarted{Request: RequestID(1 + k.rng.Uint64N(uint64(k.lastRequest)+1))})
	case n < 99:
		k.now += time.Duration(k.rng.Int64N(int64(3 * second)))
		if k.rng.IntN(2) == 0 {
			k.handle(ProcessPaused{Duration: time.Duration(k.rng.Int64N(int64(3 * second)))})
		}
	default: // a quiet time, in which backends get warm and what is idle is forgotten
		k.now += time.Duration(k.rng.Int64N(int64(20 * second)))
	}
}

// fingerprint is one number for all that an engine does in the script of a seed.
func fingerprint(t *testing.T, seed uint64, steps int) (hash uint64, sends int) {
	h := fnv.New64a()
	k := newScript(t, seed, func(now time.Duration, actions []Action) {
		for _, a := range actions {
			fmt.Fprintf(h, "%d %s\n", now, encodeAction(a))
		}
	})
	for range steps {
		k.step()
	}
	return h.Sum64(), k.sends
}

var manySeeds = flag.Int("seeds", 0, "have TestFingerprints print one number for so many further seeds")

// combinedFingerprint is one number for the scripts of some seeds.
func combinedFingerprint(t *testing.T, from, to uint64) (hash uint64, sends int) {
	for seed := from; seed < to; seed++ {
		p, n := fingerprint(t, seed, 2500)
		hash, sends = hash*31+p, sends+n
	}
	return hash, sends
}

// fingerprints are of eight seeds each, by the encoding of actions. A change that is to decide
// otherwise makes them anew: go test -run TestFingerprints ./decision prints those it finds.
var fingerprints = [8]uint64{0x8cd738ae56812300, 0x245e8c684018bf7e, 0x586082985e0b8d70, 0x3c06ac6158da60c,
	0x59ce53590cdebebd, 0x241b383b61665e18, 0xa367f36b1f38f2a8, 0x507a945b6acdbdc2}

// A change that is to decide nothing must not change an action in any script.
func TestFingerprints(t *testing.T) {
	if runtime.GOARCH != "amd64" {
		t.Skip("elsewhere sums may be rounded otherwise, as Go fuses multiplications and additions there")
	}
	var got [len(fingerprints)]uint64
	for i := range got {
		p, sends := combinedFingerprint(t, uint64(8*i)+1, uint64(8*i)+9)
		if got[i] = p; sends < 1000 {
			t.Errorf("%d sends in all, too few to tell anything", sends)
		}
	}
	if got != fingerprints {
		t.Errorf("a gateway acts otherwise than before:\n%#v", got)
	}
	if *manySeeds > 0 {
		p, sends := combinedFingerprint(t, 1000, 1000+uint64(*manySeeds))
		fmt.Printf("seeds 1000 to %d: %#x over %d sends\n", 999+*manySeeds, p, sends)
	}
}
