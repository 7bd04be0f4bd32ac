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

// run plays the scenario. It returns how near any backend came to failing: a backend that warms up
// bears N + 2 * sqrt(N) + 2 attempts in OverloadDuration from all gateways together, N being what
// the settings allow it then. It counts if over two thirds of the attempts came from gateways that
// had been told of the start.
func (r warmupScenario) run(t *testing.T, s Settings, seed uint64) (worst float64, sends int, report string) {
	rng := rand.New(rand.NewPCG(seed, 9))
	all := testEndpoints(r.backends)
	s.GatewayCount = r.gateways
	capacity := r.perBackend / r.utilization // of a warm one, a second
	c := newGatewayFleet(t, s, r.gateways, all)
	for d := range c.gateways { // seeds of their own
		c.start(t, s, d, rng.Uint64(), all)
	}
	born, known := map[BackendID]time.Duration{}, make([]map[BackendID]time.Duration, r.gateways)
	for d := range known {
		known[d] = map[BackendID]time.Duration{}
	}
	warmth := func(b BackendID) float64 {
		at, ok := born[b]
		if !ok {
			return 1
		}
		return min(1, s.SlowStartMinCapacity+(1-s.SlowStartMinCapacity)*float64(c.now-at)/float64(s.SlowStartWindow))
	}
	sent := map[BackendID][]warmupSend{}
	queue, queueAt := map[BackendID]float64{}, map[BackendID]time.Duration{}
	c.latency = func(b BackendID, now time.Duration) time.Duration {
		w := warmth(b)
		if !r.slowWhileWarming && w < 1 {
			return durationOf(0.05 + 0.1*rng.ExpFloat64())
		}
		can := capacity * w
		queue[b] = max(0, queue[b]-can*(now-queueAt[b]).Seconds()) + 1
		queueAt[b] = now
		if r.hangingBackends && born[b] == 0 && len(born) > 0 && b%8 == 0 {
			return 3 * second
		}
		return durationOf(0.1*rng.ExpFloat64()+0.05/w) + durationOf(queue[b]/can)
	}
	c.onAttempt = func(gateway int, b BackendID) {
		w := warmth(b)
		if w >= 1 {
			return
		}
		sends++
		sent[b] = append(sent[b], warmupSend{c.now, known[gateway][b] == born[b]})
		in := sent[b]
		for c.now-in[0].at > s.OverloadDuration {
			in = in[1:]
		}
		sent[b] = in
		told := 0
		for _, x := range in {
			told += boolToInt(x.gatewayKnew)
		}
		n := s.OverloadFactor * w * capacity * s.OverloadDuration.Seconds()
		bound := n + 2*math.Sqrt(n) + 2
		if 3*told <= 2*len(in) {
			return
		}
		if near := float64(len(in)) / bound; near > worst {
			worst, report = near,
				fmt.Sprintf("backend %d, %.1f s old, had %d in %v, %d of them from gateways that knew; it bears %.1f", b,
					(c.now-born[b]).Seconds(), len(in), s.OverloadDuration, told, bound)
		}
	}
	weights, sum := make([]float64, r.gateways), 0.0 // a gateway's and those before it
	deal := func() {
		sum = 0
		for d := range weights {
			w := 1.0
			if r.uneven {
				w = []float64{0.02, 0.2, 0.5, 0.5, 1, 1, 1, 1, 3, 6}[rng.IntN(10)]
			}
			sum += w
			weights[d] = sum
		}
	}
	deal()
	type telling struct {
		at      time.Duration
		gateway int
		b       Endpoint
	}
	var news []telling
	begin := func(b BackendID) {
		born[b], sent[b], queue[b] = c.now, nil, 0
		info := all[b-1]
		info.StartedAt = c.now
		all[b-1] = info
		for d := range c.gateways {
			news = append(news, telling{c.now + time.Duration(rng.Int64N(int64(r.updateSpread)+1)), d, info})
		}
	}
	tell := func() {
		news = slices.DeleteFunc(news, func(n telling) bool {
			if n.at > c.now {
				return false
			}
			if known[n.gateway][n.b.ID] < n.b.StartedAt {
				known[n.gateway][n.b.ID] = n.b.StartedAt
				c.handle(n.gateway, EndpointUpdate{Kind: UpdateDelta, Endpoints: []Endpoint{n.b}})
			}
			return true
		})
	}
	play := func(d time.Duration, times float64, each func()) {
		next := c.now
		for end := c.now + d; c.now < end; {
			if each != nil && c.now >= next {
				next += 100 * ms
				each()
			}
			c.advance(durationOf(rng.ExpFloat64() / (r.perBackend * float64(r.backends) * times)))
			tell()
			c.lastRequest++
			gateway, _ := slices.BinarySearch(weights, rng.Float64()*sum)
			c.handle(min(gateway, r.gateways-1), Request{ID: c.lastRequest,
				Customer: CustomerID(c.lastRequest), Class: "safe", Plan: "wide", Cost: 1, Timeout: 3 * second,
				GatewaySpread: r.gateways})
		}
	}
	play(12*second, 1, nil)
	for b := range r.starting {
		begin(BackendID(b + 1))
	}
	started := c.now
	nextGateway, redone, dealt := 0, !r.startTwice, 0
	anew := func(gateway int) {
		maps.Copy(known[gateway], born) // its endpoints are up to date
		c.start(t, s, gateway, rng.Uint64(), all)
	}
	during := func() {
		age := c.now - started
		for ; r.gatewaysRestart && nextGateway < r.gateways &&
			age.Seconds() > 0.5+10*float64(nextGateway)/float64(r.gateways); nextGateway++ {
			anew(nextGateway)
		}
		if r.gatewaysKilled && age > second {
			r.gatewaysKilled = false
			for d := range c.gateways {
				if rng.IntN(10) < 7 {
					anew(d)
				}
			}
		}
		if r.shifts && age > time.Duration(dealt)*2*second {
			dealt++
			deal()
		}
		if !redone && age > 4*second {
			redone = true
			for b := range (r.starting + 1) / 2 {
				begin(BackendID(b + 1))
			}
		}
	}
	times := max(1, r.burst)
	play(second, 1, during)
	play(4*second, times, during)
	play(s.SlowStartWindow, 1, during)
	return worst, sends, report
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
