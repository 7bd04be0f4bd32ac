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

// randomScript drives one engine with random events generated from a seed. Its customers have no
// limits, as quota has tests of its own.
type randomScript struct {
	engine       *Engine
	rng          *rand.Rand
	now          time.Duration
	lastRequest  RequestID
	endpoints    map[BackendID]Endpoint
	ids          []BackendID
	inFlight     []Outcome // attempts in flight, without their results
	attempts     map[RequestID]int
	timers       []pendingEvent // id holds the Token
	attemptCount int
	onActions    func(now time.Duration, actions []Action)
	afterEvent   func(Event) // may be nil
}

// randomScriptSettings returns settings that differ by seed in what affects selection: the numbers
// of gateways and attempts, and the length of slow start.
func randomScriptSettings(rng *rand.Rand) Settings {
	settings := testSettings()
	settings.GatewayCount = []int{1, 3, 40}[rng.IntN(3)]
	settings.MaxAttempts = 1 + rng.IntN(3)
	settings.SlowStartWindow = []time.Duration{second, 10 * second, 30 * second}[rng.IntN(3)]
	settings.SubscribeToEndpoints, settings.UsagePeriod = rng.IntN(2) == 0, 0
	settings.Plans = []Plan{{Name: "free", Price: 1}}
	return settings
}

func newRandomScript(t *testing.T, seed uint64, onActions func(time.Duration, []Action)) *randomScript {
	script := &randomScript{rng: rand.New(rand.NewPCG(seed, 17)), now: 1000 * second, endpoints: map[BackendID]Endpoint{},
		attempts: map[RequestID]int{}, onActions: onActions}
	engine, err := New(randomScriptSettings(script.rng), seed, script.now)
	if err != nil {
		t.Fatal(err)
	}
	script.engine = engine
	first := EndpointUpdate{Kind: UpdateKind(1 + script.rng.IntN(2))}
	for range 1 + script.rng.IntN([]int{4, 40, 400}[script.rng.IntN(3)]) {
		first.Endpoints = append(first.Endpoints, script.randomEndpoint(BackendID(len(script.ids)+1)))
	}
	script.handle(first)
	return script
}

// randomEndpoint returns a random next entry of an update for a backend: a new backend, or a change
// of its process, state or description.
func (script *randomScript) randomEndpoint(id BackendID) Endpoint {
	info, known := script.endpoints[id]
	if !known {
		info = Endpoint{ID: id, Weight: 1, Zone: fmt.Sprint("z", script.rng.IntN(3)), Cell: script.rng.IntN(6),
			Protocol: []string{"", "", "", "grpc", "web/few"}[script.rng.IntN(5)]}
		script.ids = append(script.ids, id)
	}
	info.State = Ready
	switch script.rng.IntN(12) {
	case 0, 1:
		info.State = Draining
	case 2, 3:
		info.State = Removed
	case 4, 5, 6: // its process has restarted, perhaps in the future by this gateway's clock
		info.StartedAt = script.now - time.Duration(script.rng.Int64N(int64(12*second))) + 2*second
	case 7:
		info.Weight = script.rng.Float64()
	case 8:
		info.Zone, info.Cell = fmt.Sprint("z", script.rng.IntN(3)), script.rng.IntN(6)
	case 9:
		info.Protocol = []string{"", "grpc", "web/few", "web/new"}[script.rng.IntN(4)]
	}
	script.endpoints[id] = info
	return info
}

// update applies an endpoint update like those of a real source: mostly a few changes, sometimes
// all endpoints, sometimes a failure.
func (script *randomScript) update() {
	update := EndpointUpdate{}
	switch script.rng.IntN(20) {
	case 0:
		update.Kind = UpdateKind(1 + script.rng.IntN(3)) // full, cached or failed
		for _, id := range script.ids {
			if script.rng.IntN(10) > 0 {
				update.Endpoints = append(update.Endpoints, script.randomEndpoint(id))
			}
		}
	case 1: // a whole zone is restarted, drained or removed
		zone, state, at := fmt.Sprint("z", script.rng.IntN(3)), []BackendState{Ready, Draining,
			Removed}[script.rng.IntN(3)], script.now
		for _, id := range script.ids {
			if info := script.endpoints[id]; info.Zone == zone {
				info.State, info.StartedAt = state, at
				script.endpoints[id] = info
				update.Endpoints = append(update.Endpoints, info)
			}
		}
	default:
		for range 1 + script.rng.IntN(4) {
			id := BackendID(len(script.ids) + 1)
			if script.rng.IntN(3) > 0 {
				id = script.ids[script.rng.IntN(len(script.ids))]
			}
			update.Endpoints = append(update.Endpoints, script.randomEndpoint(id))
		}
	}
	script.handle(update)
}

func (script *randomScript) handle(event Event) {
	actions := script.engine.Handle(script.now, event, nil)
	script.onActions(script.now, actions)
	for _, a := range actions {
		switch a := a.(type) {
		case StartAttempt:
			script.attemptCount++
			script.inFlight = append(script.inFlight, Outcome{Request: a.Request, Backend: a.Backend,
				Attempt: script.attempts[a.Request]})
			script.attempts[a.Request]++
		case SetTimer:
			script.timers = append(script.timers, pendingEvent{at: script.now + a.After, id: RequestID(a.Token)})
		}
	}
	if script.afterEvent != nil {
		script.afterEvent(event)
	}
}

// endAttempt ends the attempt with index i in inFlight with a random result.
func (script *randomScript) endAttempt(i int) {
	o := script.inFlight[i]
	script.inFlight = slices.Delete(script.inFlight, i, i+1)
	o.Result, o.Latency = Succeeded, time.Duration(script.rng.Int64N(int64(second)))
	if script.rng.IntN(3) == 0 {
		o.Result = Result(script.rng.IntN(int(Unknown) + 1))
	}
	if o.Backend%8 == 3 && script.rng.IntN(8) > 0 { // these backends mostly refuse connections
		o.Result = ConnectFailed
	}
	o.Final = o.Result == Succeeded || script.rng.IntN(8) == 0
	script.handle(o)
}

func (script *randomScript) runStep() {
	script.now += time.Duration(script.rng.ExpFloat64() * float64(20*ms))
	for i := 0; i < len(script.timers); i++ {
		if script.timers[i].at <= script.now {
			token := uint64(script.timers[i].id)
			script.timers = slices.Delete(script.timers, i, i+1)
			script.handle(Timer{Token: token})
			i = -1
		}
	}
	switch n := script.rng.IntN(100); {
	case n < 8:
		script.update()
	case n < 50:
		script.lastRequest++
		classes := script.engine.settings.Classes
		script.handle(Request{ID: script.lastRequest, Customer: CustomerID(script.rng.IntN(9)),
			Class: classes[script.rng.IntN(len(classes))].Name, Plan: "free", Cost: 1,
			Timeout: time.Duration(1+script.rng.IntN(3)) * second, GatewaySpread: 3, Protocol: []string{"", "",
				"grpc", "web/few", "web/new", "unknown"}[script.rng.IntN(6)]})
	case n < 95:
		if len(script.inFlight) > 0 {
			script.endAttempt(script.rng.IntN(len(script.inFlight)))
		}
	case n < 97:
		script.handle(ClientDisconnected{RequestID(1 + script.rng.Uint64N(uint64(script.lastRequest)+1))})
	case n < 98:
		script.handle(ResponseStarted{Request: RequestID(1 + script.rng.Uint64N(uint64(script.lastRequest)+1))})
	case n < 99:
		script.now += time.Duration(script.rng.Int64N(int64(3 * second)))
		if script.rng.IntN(2) == 0 {
			script.handle(ProcessPaused{Duration: time.Duration(script.rng.Int64N(int64(3 * second)))})
		}
	default: // an idle period without events
		script.now += time.Duration(script.rng.Int64N(int64(20 * second)))
	}
}

// fingerprint returns a hash of all actions of the engine in the script of a seed.
func fingerprint(t *testing.T, seed uint64, steps int) (hash uint64, attempts int) {
	h := fnv.New64a()
	script := newRandomScript(t, seed, func(now time.Duration, actions []Action) {
		for _, a := range actions {
			fmt.Fprintf(h, "%d %s\n", now, encodeAction(a))
		}
	})
	for range steps {
		script.runStep()
	}
	return h.Sum64(), script.attemptCount
}

var extraSeeds = flag.Int("seeds", 0, "number of additional seeds whose combined fingerprint TestFingerprints prints")

// combinedFingerprint returns a hash of the fingerprints of the seeds in [from, to).
func combinedFingerprint(t *testing.T, from, to uint64) (hash uint64, attempts int) {
	for seed := from; seed < to; seed++ {
		p, n := fingerprint(t, seed, 2500)
		hash, attempts = hash*31+p, attempts+n
	}
	return hash, attempts
}

// fingerprints are the expected hashes of eight seeds each, over encodeAction. A change that
// deliberately alters decisions must update them: go test -run TestFingerprints ./decision prints
// the new values.
var fingerprints = [8]uint64{0x8cd738ae56812300, 0x245e8c684018bf7e, 0x586082985e0b8d70, 0x3c06ac6158da60c,
	0x59ce53590cdebebd, 0x241b383b61665e18, 0xa367f36b1f38f2a8, 0x507a945b6acdbdc2}

// The engine's actions in all scripts must stay the same, unless a change alters decisions
// deliberately.
func TestFingerprints(t *testing.T) {
	if runtime.GOARCH != "amd64" {
		t.Skip("on other architectures Go may fuse multiplications and additions, which changes rounding")
	}
	var got [len(fingerprints)]uint64
	for i := range got {
		p, attempts := combinedFingerprint(t, uint64(8*i)+1, uint64(8*i)+9)
		if got[i] = p; attempts < 1000 {
			t.Errorf("seeds %d to %d: %d attempts, want at least 1000 for a meaningful test", 8*i+1, 8*i+8, attempts)
		}
	}
	if got != fingerprints {
		t.Errorf("the actions have changed: fingerprints\n%#v, want\n%#v", got, fingerprints)
	}
	if *extraSeeds > 0 {
		p, attempts := combinedFingerprint(t, 1000, 1000+uint64(*extraSeeds))
		fmt.Printf("seeds 1000 to %d: %#x over %d attempts\n", 999+*extraSeeds, p, attempts)
	}
}
