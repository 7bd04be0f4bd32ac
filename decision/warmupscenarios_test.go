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

// warmupScenario describes backends, some of which restart, and the faults and load changes while
// they are in slow start.
type warmupScenario struct {
	gateways, backends, restarting int
	requestRatePerBackend          float64       // requests a second to each backend
	utilization                    float64       // the share of a warm backend's capacity that these use
	unevenLoad                     bool          // some gateways get several times the mean load, some hardly any
	loadShifts                     bool          // the load of each gateway changes every two seconds
	rollingGatewayRestart          bool          // the gateways restart one after another over ten seconds
	massGatewayRestart             bool          // seven in ten gateways restart at once
	restartTwice                   bool          // half of the restarting backends restart again during slow start
	updateSpread                   time.Duration // the longest delay until a gateway is informed of a restart
	hangingBackends                bool          // one in eight of the warm backends hangs
	burstFactor                    float64       // factor of the load for four seconds; 0: no burst
	// Backends in slow start respond more slowly. Otherwise only their failure shows that they are
	// overloaded.
	slowWhileWarming bool
}

// warmupAttempt is one attempt at a backend in slow start.
type warmupAttempt struct {
	at              time.Duration
	gatewayInformed bool // the gateway had been informed of the backend's restart
}

// scheduledUpdate is an update that one gateway will get at a later time.
type scheduledUpdate struct {
	at       time.Duration
	gateway  int
	endpoint Endpoint
}

// warmupRun is the state of a running scenario.
type warmupRun struct {
	warmupScenario
	t         *testing.T
	settings  Settings
	rng       *rand.Rand
	fleet     *gatewayFleet
	endpoints []Endpoint
	capacity  float64 // capacity of a warm backend, attempts a second

	startedAt      map[BackendID]time.Duration   // last start of the backends that have restarted
	reportedStarts []map[BackendID]time.Duration // the same, as each gateway has been informed
	pendingUpdates []scheduledUpdate
	recentAttempts map[BackendID][]warmupAttempt // attempts within the last OverloadDuration
	queue          map[BackendID]float64         // attempts waiting, as of queueAt
	queueAt        map[BackendID]time.Duration
	cumulativeLoad []float64 // cumulative sum of the gateways' shares of the load

	// Progress of the faults during slow start.
	warmupStartedAt time.Duration
	nextGateway     int // the next gateway to restart
	redistributions int // how often the load has been redistributed
	restartedAgain  bool

	worstLoadRatio  float64
	warmupAttempts  int
	worstLoadReport string
}

// run runs the scenario. It returns the highest load of any backend, relative to the load at which
// it fails: a backend in slow start bears N + 2 * sqrt(N) + 2 attempts in OverloadDuration from all
// gateways together, where N is OverloadFactor times what its present capacity serves in that time;
// the rest is a margin for chance.
// A window counts only if more than two thirds of its attempts came from gateways that had been
// informed of the restart.
func (r warmupScenario) run(t *testing.T, settings Settings, seed uint64) (worst float64, attempts int, report string) {
	settings.GatewayCount = r.gateways
	w := &warmupRun{
		warmupScenario: r, t: t, settings: settings,
		rng:            rand.New(rand.NewPCG(seed, 9)),
		endpoints:      testEndpoints(r.backends),
		capacity:       r.requestRatePerBackend / r.utilization,
		startedAt:      map[BackendID]time.Duration{},
		reportedStarts: make([]map[BackendID]time.Duration, r.gateways),
		recentAttempts: map[BackendID][]warmupAttempt{},
		queue:          map[BackendID]float64{},
		queueAt:        map[BackendID]time.Duration{},
		cumulativeLoad: make([]float64, r.gateways),
	}
	w.fleet = newGatewayFleet(t, settings, r.gateways, w.endpoints)
	for gateway := range w.reportedStarts { // restart each gateway with a seed of its own
		w.reportedStarts[gateway] = map[BackendID]time.Duration{}
		w.fleet.startGateway(t, settings, gateway, w.rng.Uint64(), w.endpoints)
	}
	w.fleet.latency, w.fleet.onAttempt = w.latency, w.onAttempt
	w.redistributeLoad()

	w.sendRequests(12*second, 1, nil)
	for b := range r.restarting {
		w.restartBackend(BackendID(b + 1))
	}
	w.warmupStartedAt = w.fleet.now
	w.sendRequests(second, 1, w.injectFaults)
	w.sendRequests(4*second, max(1, r.burstFactor), w.injectFaults)
	w.sendRequests(settings.SlowStartWindow, 1, w.injectFaults)
	return w.worstLoadRatio, w.warmupAttempts, w.worstLoadReport
}

// fraction returns the present share of its capacity that a backend has.
func (w *warmupRun) fraction(b BackendID) float64 {
	at, ok := w.startedAt[b]
	if !ok {
		return 1
	}
	least := w.settings.SlowStartMinCapacity
	return min(1, least+(1-least)*float64(w.fleet.now-at)/float64(w.settings.SlowStartWindow))
}

// latency returns how long a backend takes for an attempt that arrives now.
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

// onAttempt compares the recent attempts at a backend in slow start with what it bears.
func (w *warmupRun) onAttempt(gateway int, b BackendID) {
	fraction := w.fraction(b)
	if fraction >= 1 {
		return
	}
	w.warmupAttempts++
	now := w.fleet.now
	w.recentAttempts[b] = append(w.recentAttempts[b], warmupAttempt{now, w.reportedStarts[gateway][b] == w.startedAt[b]})
	recent := w.recentAttempts[b]
	for now-recent[0].at > w.settings.OverloadDuration {
		recent = recent[1:]
	}
	w.recentAttempts[b] = recent
	informed := 0
	for _, send := range recent {
		informed += boolToInt(send.gatewayInformed)
	}
	n := w.settings.OverloadFactor * fraction * w.capacity * w.settings.OverloadDuration.Seconds()
	bound := n + 2*math.Sqrt(n) + 2
	if 3*informed <= 2*len(recent) {
		return
	}
	if ratio := float64(len(recent)) / bound; ratio > w.worstLoadRatio {
		w.worstLoadRatio = ratio
		w.worstLoadReport = fmt.Sprintf("backend %d, %.1f s after its start, got %d attempts in %v, "+
			"%d of them from informed gateways; it bears %.1f", b, (now - w.startedAt[b]).Seconds(), len(recent),
			w.settings.OverloadDuration, informed, bound)
	}
}

// redistributeLoad sets each gateway's share of the requests.
func (w *warmupRun) redistributeLoad() {
	total := 0.0
	for gateway := range w.cumulativeLoad {
		weight := 1.0
		if w.unevenLoad {
			weight = []float64{0.02, 0.2, 0.5, 0.5, 1, 1, 1, 1, 3, 6}[w.rng.IntN(10)]
		}
		total += weight
		w.cumulativeLoad[gateway] = total
	}
}

// restartBackend restarts a backend's process. Each gateway is informed after a random delay.
func (w *warmupRun) restartBackend(b BackendID) {
	now := w.fleet.now
	w.startedAt[b], w.recentAttempts[b], w.queue[b] = now, nil, 0
	w.endpoints[b-1].StartedAt = now
	for gateway := range w.reportedStarts {
		at := now + time.Duration(w.rng.Int64N(int64(w.updateSpread)+1))
		w.pendingUpdates = append(w.pendingUpdates, scheduledUpdate{at, gateway, w.endpoints[b-1]})
	}
}

// deliverDueUpdates passes the updates that are due to their gateways.
func (w *warmupRun) deliverDueUpdates() {
	w.pendingUpdates = slices.DeleteFunc(w.pendingUpdates, func(n scheduledUpdate) bool {
		if n.at > w.fleet.now {
			return false
		}
		known := w.reportedStarts[n.gateway]
		if known[n.endpoint.ID] < n.endpoint.StartedAt {
			known[n.endpoint.ID] = n.endpoint.StartedAt
			w.fleet.handle(n.gateway, EndpointUpdate{Kind: UpdateDelta, Endpoints: []Endpoint{n.endpoint}})
		}
		return true
	})
}

// sendRequests sends requests for a duration, at a multiple of the load. Every 100 ms it calls the
// function each, if it is not nil.
func (w *warmupRun) sendRequests(d time.Duration, loadFactor float64, each func()) {
	next := w.fleet.now
	for end := w.fleet.now + d; w.fleet.now < end; {
		if each != nil && w.fleet.now >= next {
			next += 100 * ms
			each()
		}
		w.fleet.advance(durationOf(w.rng.ExpFloat64() / (w.requestRatePerBackend * float64(w.backends) * loadFactor)))
		w.deliverDueUpdates()
		w.fleet.lastRequest++
		sum := w.cumulativeLoad[len(w.cumulativeLoad)-1]
		gateway, _ := slices.BinarySearch(w.cumulativeLoad, w.rng.Float64()*sum)
		w.fleet.handle(min(gateway, w.gateways-1), Request{
			ID: w.fleet.lastRequest, Customer: CustomerID(w.fleet.lastRequest),
			Class: "safe", Plan: "large", Cost: 1, Timeout: 3 * second, GatewaySpread: w.gateways,
		})
	}
}

// restartGateway restarts a gateway, which starts with up-to-date endpoints.
func (w *warmupRun) restartGateway(gateway int) {
	maps.Copy(w.reportedStarts[gateway], w.startedAt)
	w.fleet.startGateway(w.t, w.settings, gateway, w.rng.Uint64(), w.endpoints)
}

// injectFaults triggers the restarts and load changes that are due by the time since the backends
// restarted.
func (w *warmupRun) injectFaults() {
	age := w.fleet.now - w.warmupStartedAt
	for ; w.rollingGatewayRestart && w.nextGateway < w.gateways &&
		age.Seconds() > 0.5+10*float64(w.nextGateway)/float64(w.gateways); w.nextGateway++ {
		w.restartGateway(w.nextGateway)
	}
	if w.massGatewayRestart && age > second {
		w.massGatewayRestart = false
		for gateway := range w.reportedStarts {
			if w.rng.IntN(10) < 7 {
				w.restartGateway(gateway)
			}
		}
	}
	if w.loadShifts && age > time.Duration(w.redistributions)*2*second {
		w.redistributions++
		w.redistributeLoad()
	}
	if w.restartTwice && !w.restartedAgain && age > 4*second {
		w.restartedAgain = true
		for b := range (w.restarting + 1) / 2 {
			w.restartBackend(BackendID(b + 1))
		}
	}
}

// randomWarmupScenario returns a random scenario and settings within the range of deployments. For
// each of the seeds 0 to 6 at least one fault or load change is always enabled.
func randomWarmupScenario(seed uint64, gateways int) (warmupScenario, Settings) {
	rng := rand.New(rand.NewPCG(seed, uint64(gateways)))
	enabled := func(certainSeed uint64) bool { return rng.Float64() < 0.35 || seed == certainSeed }
	r := warmupScenario{gateways: gateways, backends: []int{6, 12, 30, 60, 100}[rng.IntN(5)],
		requestRatePerBackend: []float64{3, 8, 14}[rng.IntN(3)], utilization: 0.5 + 0.5*rng.Float64(),
		unevenLoad: enabled(0) || enabled(1), loadShifts: enabled(1),
		rollingGatewayRestart: enabled(2), massGatewayRestart: enabled(3),
		restartTwice: enabled(4), hangingBackends: enabled(5), slowWhileWarming: enabled(6)}
	r.restarting = max(1, r.backends*[]int{0, 3, 5, 6, 9}[rng.IntN(5)]/10)
	if enabled(4) || enabled(5) {
		r.updateSpread = durationOf(0.5 + 3*rng.Float64())
	}
	if enabled(0) || enabled(3) {
		r.burstFactor = 1.2 + 0.5*rng.Float64()
	}
	settings := testSettings()
	settings.OverloadFactor = []float64{2.5, 3, 4}[rng.IntN(3)]
	settings.OverloadDuration = time.Duration(1+rng.IntN(3)) * second
	settings.SlowStartMinCapacity, settings.SlowStartWindow = 0.15+0.35*rng.Float64(), durationOf(5+15*rng.Float64())
	return r, settings
}

// Whatever restarts and load changes happen while backends are in slow start, the attempts of all
// gateways together at such a backend must stay within what it bears in every window of
// OverloadDuration. Each gateway knows only its own attempts and the number of gateways.
func TestSlowStart_AllGatewaysStayWithinCapacity(t *testing.T) {
	var totalAttempts atomic.Int64
	t.Run("scenarios", func(t *testing.T) {
		for _, gateways := range []int{1, 3, 8, 20, 30, 80, 300} {
			for seed := range uint64(7) {
				t.Run(fmt.Sprintf("%d gateways, seed %d", gateways, seed), func(t *testing.T) {
					t.Parallel()
					r, settings := randomWarmupScenario(seed, gateways)
					worst, attempts, report := r.run(t, settings, seed)
					if worst > 1 {
						t.Errorf("%+v, slow start from %.2f in %v, overload factor %.1f: load ratio %.2f, want 1 at most: %s", r,
							settings.SlowStartMinCapacity, settings.SlowStartWindow, settings.OverloadFactor, worst, report)
					}
					t.Logf("highest load ratio %.2f, %d attempts at backends in slow start", worst, attempts)
					totalAttempts.Add(int64(attempts))
				})
			}
		}
	})
	if n := totalAttempts.Load(); n < 10_000 {
		t.Errorf("%d attempts at backends in slow start, want at least 10,000 for a meaningful test", n)
	}
}
