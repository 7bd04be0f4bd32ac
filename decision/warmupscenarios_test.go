package decision

import (
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"testing"
	"time"
)

// warmupScenario is backends some of which start anew, and what befalls them and the gateways while
// they warm up.
type warmupScenario struct {
	gateways, backends, starting int
	perBackend, utilization      float64       // requests a second to a backend; the share of what a warm one can do
	uneven                       bool          // some gateways get several times the mean, some hardly anything
	shifts                       bool          // which ones changes every two seconds
	gatewaysRestart              bool          // the gateways start anew, one after another, over ten seconds
	gatewaysKilled               bool          // seven in ten gateways start anew at once
	startTwice                   bool          // half of the starting backends start once more while they warm up
	updateSpread                 time.Duration // the time in which gateways learn of a start
	hangingBackends              bool          // one in eight of the warm backends hangs
	burst                        float64       // times the load, for four seconds; 0: none
	// backends that warm up are slower; else nothing but their failure shows it
	slowWhileWarming bool
}

// warmupSend is one attempt at a backend that is warming up.
type warmupSend struct {
	at          time.Duration
	gatewayKnew bool
}

// endpointNews is an update that one gateway will get.
type endpointNews struct {
	at       time.Duration
	gateway  int
	endpoint Endpoint
}

// warmupRun is a scenario that is being played.
type warmupRun struct {
	warmupScenario
	t         *testing.T
	settings  Settings
	rng       *rand.Rand
	fleet     *gatewayFleet
	endpoints []Endpoint
	capacity  float64 // of a warm backend, attempts a second

	startedAt map[BackendID]time.Duration   // of the backends that have started anew
	known     []map[BackendID]time.Duration // the same, as each gateway knows it
	news      []endpointNews
	sent      map[BackendID][]warmupSend // those within OverloadDuration
	queue     map[BackendID]float64      // attempts waiting, as of queueAt
	queueAt   map[BackendID]time.Duration
	weights   []float64 // cumulative: a gateway's and those before it

	// What befalls while backends warm up.
	warmupBegan time.Duration
	nextGateway int // the next to restart
	dealt       int // times that weights were dealt anew
	startedOnce bool

	worst  float64
	sends  int
	report string
}

// run plays the scenario. It returns how near any backend came to failing: a backend that warms up
// bears N + 2 * sqrt(N) + 2 attempts in OverloadDuration from all gateways together, N being what
// the settings allow it then. It counts if over two thirds of the attempts came from gateways that
// had been told of the start.
func (r warmupScenario) run(t *testing.T, s Settings, seed uint64) (worst float64, sends int, report string) {
	s.GatewayCount = r.gateways
	w := &warmupRun{
		warmupScenario: r, t: t, settings: s,
		rng:       rand.New(rand.NewPCG(seed, 9)),
		endpoints: testEndpoints(r.backends),
		capacity:  r.perBackend / r.utilization,
		startedAt: map[BackendID]time.Duration{},
		known:     make([]map[BackendID]time.Duration, r.gateways),
		sent:      map[BackendID][]warmupSend{},
		queue:     map[BackendID]float64{},
		queueAt:   map[BackendID]time.Duration{},
		weights:   make([]float64, r.gateways),
	}
	w.fleet = newGatewayFleet(t, s, r.gateways, w.endpoints)
	for gateway := range w.known { // seeds of their own
		w.known[gateway] = map[BackendID]time.Duration{}
		w.fleet.start(t, s, gateway, w.rng.Uint64(), w.endpoints)
	}
	w.fleet.latency, w.fleet.onAttempt = w.latency, w.onAttempt
	w.dealWeights()

	w.play(12*second, 1, nil)
	for b := range r.starting {
		w.startBackend(BackendID(b + 1))
	}
	w.warmupBegan = w.fleet.now
	w.play(second, 1, w.befall)
	w.play(4*second, max(1, r.burst), w.befall)
	w.play(s.SlowStartWindow, 1, w.befall)
	return w.worst, w.sends, w.report
}

// fraction is the share of its capacity that a backend has.
func (w *warmupRun) fraction(b BackendID) float64 {
	at, ok := w.startedAt[b]
	if !ok {
		return 1
	}
	least := w.settings.SlowStartMinCapacity
	return min(1, least+(1-least)*float64(w.fleet.now-at)/float64(w.settings.SlowStartWindow))
}

// latency is how long a backend takes for an attempt that comes now.
func (w *warmupRun) latency(b BackendID, now time.Duration) time.Duration {
	fraction := w.fraction(b)
	if !w.slowWhileWarming && fraction < 1 {
		return durationOf(0.05 + 0.1*w.rng.ExpFloat64())
	}
	capacity := w.capacity * fraction
	w.queue[b] = max(0, w.queue[b]-capacity*(now-w.queueAt[b]).Seconds()) + 1
	w.queueAt[b] = now
	if w.hangingBackends && w.startedAt[b] == 0 && len(w.startedAt) > 0 && b%8 == 0 {
		return 3 * second
	}
	return durationOf(0.1*w.rng.ExpFloat64()+0.05/fraction) + durationOf(w.queue[b]/capacity)
}

// onAttempt counts an attempt at a backend that warms up against what it bears.
func (w *warmupRun) onAttempt(gateway int, b BackendID) {
	fraction := w.fraction(b)
	if fraction >= 1 {
		return
	}
	w.sends++
	now := w.fleet.now
	w.sent[b] = append(w.sent[b], warmupSend{now, w.known[gateway][b] == w.startedAt[b]})
	recent := w.sent[b]
	for now-recent[0].at > w.settings.OverloadDuration {
		recent = recent[1:]
	}
	w.sent[b] = recent
	knew := 0
	for _, send := range recent {
		knew += boolToInt(send.gatewayKnew)
	}
	n := w.settings.OverloadFactor * fraction * w.capacity * w.settings.OverloadDuration.Seconds()
	bound := n + 2*math.Sqrt(n) + 2
	if 3*knew <= 2*len(recent) {
		return
	}
	if near := float64(len(recent)) / bound; near > w.worst {
		w.worst = near
		w.report = fmt.Sprintf("backend %d, %.1f s old, had %d in %v, %d of them from gateways that knew; "+
			"it bears %.1f", b, (now - w.startedAt[b]).Seconds(), len(recent), w.settings.OverloadDuration, knew, bound)
	}
}

// dealWeights gives each gateway its part of the requests.
func (w *warmupRun) dealWeights() {
	sum := 0.0
	for gateway := range w.weights {
		weight := 1.0
		if w.uneven {
			weight = []float64{0.02, 0.2, 0.5, 0.5, 1, 1, 1, 1, 3, 6}[w.rng.IntN(10)]
		}
		sum += weight
		w.weights[gateway] = sum
	}
}

// startBackend has a backend's process start anew, of which each gateway is told at a time of its own.
func (w *warmupRun) startBackend(b BackendID) {
	now := w.fleet.now
	w.startedAt[b], w.sent[b], w.queue[b] = now, nil, 0
	w.endpoints[b-1].StartedAt = now
	for gateway := range w.known {
		at := now + time.Duration(w.rng.Int64N(int64(w.updateSpread)+1))
		w.news = append(w.news, endpointNews{at, gateway, w.endpoints[b-1]})
	}
}

// deliverNews gives gateways the updates that are due.
func (w *warmupRun) deliverNews() {
	w.news = slices.DeleteFunc(w.news, func(n endpointNews) bool {
		if n.at > w.fleet.now {
			return false
		}
		known := w.known[n.gateway]
		if known[n.endpoint.ID] < n.endpoint.StartedAt {
			known[n.endpoint.ID] = n.endpoint.StartedAt
			w.fleet.handle(n.gateway, EndpointUpdate{Kind: UpdateDelta, Endpoints: []Endpoint{n.endpoint}})
		}
		return true
	})
}

// play has requests come for a while, at a multiple of the load, and calls each every 100 ms.
func (w *warmupRun) play(d time.Duration, times float64, each func()) {
	next := w.fleet.now
	for end := w.fleet.now + d; w.fleet.now < end; {
		if each != nil && w.fleet.now >= next {
			next += 100 * ms
			each()
		}
		w.fleet.advance(durationOf(w.rng.ExpFloat64() / (w.perBackend * float64(w.backends) * times)))
		w.deliverNews()
		w.fleet.lastRequest++
		sum := w.weights[len(w.weights)-1]
		gateway, _ := slices.BinarySearch(w.weights, w.rng.Float64()*sum)
		w.fleet.handle(min(gateway, w.gateways-1), Request{
			ID: w.fleet.lastRequest, Customer: CustomerID(w.fleet.lastRequest),
			Class: "safe", Plan: "wide", Cost: 1, Timeout: 3 * second, GatewaySpread: w.gateways,
		})
	}
}

// restartGateway starts a gateway anew, with endpoints that are up to date.
func (w *warmupRun) restartGateway(gateway int) {
	maps.Copy(w.known[gateway], w.startedAt)
	w.fleet.start(w.t, w.settings, gateway, w.rng.Uint64(), w.endpoints)
}

// befall has happen what is due by the time since the backends started.
func (w *warmupRun) befall() {
	age := w.fleet.now - w.warmupBegan
	for ; w.gatewaysRestart && w.nextGateway < w.gateways &&
		age.Seconds() > 0.5+10*float64(w.nextGateway)/float64(w.gateways); w.nextGateway++ {
		w.restartGateway(w.nextGateway)
	}
	if w.gatewaysKilled && age > second {
		w.gatewaysKilled = false
		for gateway := range w.known {
			if w.rng.IntN(10) < 7 {
				w.restartGateway(gateway)
			}
		}
	}
	if w.shifts && age > time.Duration(w.dealt)*2*second {
		w.dealt++
		w.dealWeights()
	}
	if w.startTwice && !w.startedOnce && age > 4*second {
		w.startedOnce = true
		for b := range (w.starting + 1) / 2 {
			w.startBackend(BackendID(b + 1))
		}
	}
}

// drawWarmupScenario draws a scenario and settings within the range of deployments. Each of the
// first seeds has one thing befall it for certain.
func drawWarmupScenario(seed uint64, gateways int) (warmupScenario, Settings) {
	rng := rand.New(rand.NewPCG(seed, uint64(gateways)))
	some := func(certain uint64) bool { return rng.Float64() < 0.35 || seed == certain }
	r := warmupScenario{gateways: gateways, backends: []int{6, 12, 30, 60, 100}[rng.IntN(5)],
		perBackend: []float64{3, 8, 14}[rng.IntN(3)], utilization: 0.5 + 0.5*rng.Float64(),
		uneven: some(0) || some(1), shifts: some(1), gatewaysRestart: some(2), gatewaysKilled: some(3),
		startTwice: some(4), hangingBackends: some(5), slowWhileWarming: some(6)}
	r.starting = max(1, r.backends*[]int{0, 3, 5, 6, 9}[rng.IntN(5)]/10)
	if some(4) || some(5) {
		r.updateSpread = durationOf(0.5 + 3*rng.Float64())
	}
	if some(0) || some(3) {
		r.burst = 1.2 + 0.5*rng.Float64()
	}
	s := testSettings()
	s.OverloadFactor, s.OverloadDuration = []float64{2.5, 3, 4}[rng.IntN(3)], time.Duration(1+rng.IntN(3))*second
	s.SlowStartMinCapacity, s.SlowStartWindow = 0.15+0.35*rng.Float64(), durationOf(5+15*rng.Float64())
	return r, s
}

// Whatever befalls gateways and backends while some of these warm up, what all gateways send
// together to such a one is within what it bears in every window of OverloadDuration. Each gateway
// knows only what it sends itself, and how many gateways there are.
func TestSlowStart_AllGatewaysStayWithinCapacity(t *testing.T) {
	var all atomic.Int64
	t.Run("ramps", func(t *testing.T) {
		for _, gateways := range []int{1, 3, 8, 20, 30, 80, 300} {
			for seed := range uint64(7) {
				t.Run(fmt.Sprintf("%d gateways, seed %d", gateways, seed), func(t *testing.T) {
					t.Parallel()
					r, s := drawWarmupScenario(seed, gateways)
					worst, sends, report := r.run(t, s, seed)
					if worst > 1 {
						t.Errorf("%+v, capacity from %.2f within %v, fails at %.1f times: %s", r,
							s.SlowStartMinCapacity, s.SlowStartWindow, s.OverloadFactor, report)
					}
					t.Logf("at most %.2f of what a backend bears, %d attempts at warming ones", worst, sends)
					all.Add(int64(sends))
				})
			}
		}
	})
	if n := all.Load(); n < 10_000 {
		t.Errorf("%d attempts at warming backends tell nothing", n)
	}
}
