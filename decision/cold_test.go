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

// ramp is a fleet some of whose backends start anew, and what befalls it while they warm up.
type ramp struct {
	doors, backends, cold int
	each, use             float64       // requests a second for a backend; of what a warm one can do
	uneven                bool          // some doors get several times the mean, some hardly anything
	shifts                bool          // which ones changes every two seconds
	restarts              bool          // the doors start anew, one after another, over ten seconds
	killed                bool          // seven in ten doors start anew at once
	again                 bool          // half of the cold backends start once more while they are cold
	apart                 time.Duration // in which doors are told of a start, one sooner than another
	sick                  bool          // one of eight of the warm backends hangs
	burst                 float64       // times the load, for four seconds; 0: none
	slow                  bool          // cold backends work slower; else nothing but their fall shows that they are cold
}

// coldSend is one send to a cold backend.
type coldSend struct {
	at   time.Duration
	told bool
}

// run plays it. What comes back is how near any backend came to its fall, in sends over those that it bears: a cold one bears N + 2 x root of N + 2
// in the time that the settings name, N being what they allow it then, and all doors send them together. A fall counts if over two
// thirds of them came from doors that had been told of the start.
func (r ramp) run(t *testing.T, s Settings, seed uint64) (worst float64, sends int, report string) {
	rng := rand.New(rand.NewPCG(seed, 9))
	all := fleet(r.backends)
	s.GatewayCount = r.doors
	capacity := r.each / r.use // of a warm one, a second
	c := newCrowd(t, s, r.doors, all)
	for d := range c.doors { // seeds of their own
		c.start(t, s, d, rng.Uint64(), all)
	}
	born, known := map[BackendID]time.Duration{}, make([]map[BackendID]time.Duration, r.doors)
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
	sent := map[BackendID][]coldSend{}
	queue, queueAt := map[BackendID]float64{}, map[BackendID]time.Duration{}
	c.takes = func(b BackendID, now time.Duration) time.Duration {
		w := warmth(b)
		if !r.slow && w < 1 {
			return durationOf(0.05 + 0.1*rng.ExpFloat64())
		}
		can := capacity * w
		queue[b] = max(0, queue[b]-can*(now-queueAt[b]).Seconds()) + 1
		queueAt[b] = now
		if r.sick && born[b] == 0 && len(born) > 0 && b%8 == 0 {
			return 3 * second
		}
		return durationOf(0.1*rng.ExpFloat64()+0.05/w) + durationOf(queue[b]/can)
	}
	c.sees = func(door int, b BackendID) {
		w := warmth(b)
		if w >= 1 {
			return
		}
		sends++
		in := append(sent[b], coldSend{c.now, known[door][b] == born[b]})
		for c.now-in[0].at > s.OverloadDuration {
			in = in[1:]
		}
		sent[b] = in
		told := 0
		for _, x := range in {
			told += boolToInt(x.told)
		}
		n := s.OverloadFactor * w * capacity * s.OverloadDuration.Seconds()
		bound := n + 2*math.Sqrt(n) + 2
		if 3*told <= 2*len(in) {
			return
		}
		if near := float64(len(in)) / bound; near > worst {
			worst, report = near, fmt.Sprintf("backend %d, %.1f s old, had %d in %v, %d of them from doors that knew; it bears %.1f", b,
				(c.now-born[b]).Seconds(), len(in), s.OverloadDuration, told, bound)
		}
	}
	weights, sum := make([]float64, r.doors), 0.0 // a door's and those before it
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
		at   time.Duration
		door int
		b    Endpoint
	}
	var news []telling
	begin := func(b BackendID) {
		born[b], sent[b], queue[b] = c.now, nil, 0
		info := all[b-1]
		info.StartedAt = c.now
		all[b-1] = info
		for d := range c.doors {
			news = append(news, telling{c.now + time.Duration(rng.Int64N(int64(r.apart)+1)), d, info})
		}
	}
	tell := func() {
		news = slices.DeleteFunc(news, func(n telling) bool {
			if n.at > c.now {
				return false
			}
			if known[n.door][n.b.ID] < n.b.StartedAt {
				known[n.door][n.b.ID] = n.b.StartedAt
				c.give(n.door, EndpointUpdate{Kind: UpdateDelta, Endpoints: []Endpoint{n.b}})
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
			c.pass(durationOf(rng.ExpFloat64() / (r.each * float64(r.backends) * times)))
			tell()
			c.next++
			door, _ := slices.BinarySearch(weights, rng.Float64()*sum)
			c.give(min(door, r.doors-1), Request{ID: c.next, Customer: CustomerID(c.next), Class: "safe", Plan: "wide", Cost: 1, Timeout: 3 * second, GatewaySpread: r.doors})
		}
	}
	play(12*second, 1, nil)
	for b := range r.cold {
		begin(BackendID(b + 1))
	}
	started := c.now
	nextDoor, redone, dealt := 0, !r.again, 0
	anew := func(door int) {
		maps.Copy(known[door], born) // its list is fresh
		c.start(t, s, door, rng.Uint64(), all)
	}
	during := func() {
		age := c.now - started
		for ; r.restarts && nextDoor < r.doors && age.Seconds() > 0.5+10*float64(nextDoor)/float64(r.doors); nextDoor++ {
			anew(nextDoor)
		}
		if r.killed && age > second {
			r.killed = false
			for d := range c.doors {
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
			for b := range (r.cold + 1) / 2 {
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

// drawRamp draws a ramp and settings within what the pages say of deployments. Each of the first seeds has one thing befall it for certain.
func drawRamp(seed uint64, doors int) (ramp, Settings) {
	rng := rand.New(rand.NewPCG(seed, uint64(doors)))
	some := func(certain uint64) bool { return rng.Float64() < 0.35 || seed == certain }
	r := ramp{doors: doors, backends: []int{6, 12, 30, 60, 100}[rng.IntN(5)], each: []float64{3, 8, 14}[rng.IntN(3)], use: 0.5 + 0.5*rng.Float64(),
		uneven: some(0) || some(1), shifts: some(1), restarts: some(2), killed: some(3), again: some(4), sick: some(5), slow: some(6)}
	r.cold = max(1, r.backends*[]int{0, 3, 5, 6, 9}[rng.IntN(5)]/10)
	if some(4) || some(5) {
		r.apart = durationOf(0.5 + 3*rng.Float64())
	}
	if some(0) || some(3) {
		r.burst = 1.2 + 0.5*rng.Float64()
	}
	s := testSettings()
	s.OverloadFactor, s.OverloadDuration = []float64{2.5, 3, 4}[rng.IntN(3)], time.Duration(1+rng.IntN(3))*second
	s.SlowStartMinCapacity, s.SlowStartWindow = 0.15+0.35*rng.Float64(), durationOf(5+15*rng.Float64())
	return r, s
}

// Whatever befalls doors and backends while some of these warm up, what all doors send together to a cold one is within its budget in every
// window of the time that the settings name, over the whole ramp: each door knows only what it sends itself, and how many doors there are.

func TestColdBackendsBearWhatAllDoorsSend(t *testing.T) {
	var all atomic.Int64
	t.Run("ramps", func(t *testing.T) {
		for _, doors := range []int{1, 3, 8, 20, 30, 80, 300} {
			for seed := range uint64(7) {
				t.Run(fmt.Sprintf("%d doors, seed %d", doors, seed), func(t *testing.T) {
					t.Parallel()
					r, s := drawRamp(seed, doors)
					worst, sends, report := r.run(t, s, seed)
					if worst > 1 {
						t.Errorf("%+v, cold from %.2f within %v, falls at %.1f times: %s", r, s.SlowStartMinCapacity, s.SlowStartWindow, s.OverloadFactor, report)
					}
					t.Logf("at most %.2f of what a backend bears, %d sends to cold ones", worst, sends)
					all.Add(int64(sends))
				})
			}
		}
	})
	if n := all.Load(); n < 10_000 {
		t.Errorf("%d sends to cold backends tell nothing", n)
	}
}
