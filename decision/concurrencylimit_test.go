package decision

import (
	"fmt"
	"math"
	"testing"
	"time"
)

// Each row is one second at a gateway of many attempts, with outcomes and a sustainable
// concurrency, and the limit after it.
func TestAdjustConcurrencyLimit(t *testing.T) {
	press := func(n, bad, ended float64, sick int, flow float64) float64 {
		r := newHarness(t, testSettings(), testEndpoints(3)...)
		g := r.engine
		g.concurrencyLimit, g.partitionSize, g.endedAttempts, g.badOutcomes = n, [3]float64{0, 0, n}, ended, bad
		g.partitionInUse[partitionShared], g.sendRate = 50, 50 // many sends: a second is weighed by a half
		g.sustainableConcurrency, g.sustainableSum, g.sustainableWeight = flow, flow, 1
		for _, b := range knownBackends(g)[:sick] {
			g.index.RecordFailure(&b.entry, g.now)
		}
		g.adjustConcurrencyLimit(1)
		return g.concurrencyLimit
	}
	inf := math.Inf(1)
	for _, c := range []struct {
		name          string
		n, bad, ended float64
		sick          int
		flow, want    float64
	}{
		{"over 5 in 100", inf, 12, 100, 3, 80, 45},
		{"just 5 in 100", 500, 5, 100, 3, 600, 550},
		{"over 5 in 100, but not more than by chance", 500, 11, 100, 3, 600, 550},
		{"more than by chance of many", 500, 73, 1000, 3, 600, 300},
		{"one sick backend of three", 500, 30, 100, 1, 600, 550},
		{"one bad one is too few to tell", 100, 1, 2, 3, 150, 110},
		{"good seconds grow it a tenth", 60, 0, 100, 0, 100, 66},
		{"a cut never raises it", 20, 50, 100, 3, 30, 18},
		{"never under one a backend from all gateways", 0.5, 50, 100, 3, 0, 1.5},
		{"few bad outcomes, but none on the same backend", inf, 3, 4, 3, 80, 45},
		{"at once to what answers can carry in time", inf, 50, 100, 3, 40, 40},
		{"also while nothing presses", inf, 0, 100, 0, 40, 40},
		{"not under what they carry in half that", 4, 50, 100, 3, 40, 20},
		{"no answers yet: it stays unbounded", inf, 0, 0, 0, 0, inf},
	} {
		if got := press(c.n, c.bad, c.ended, c.sick, c.flow); math.Abs(got-c.want) > 1e-9 && got != c.want {
			t.Errorf("%s: N %v, want %v", c.name, got, c.want)
		}
	}
}

// In a jam subrated requests hold more slots than the limit has. A cut by the number in flight
// would then raise the limit; they count as the slots that they were squeezed from.
func TestAdjustConcurrencyLimit_SubratedAttemptsDoNotRaiseIt(t *testing.T) {
	r := newHarness(t, testSettings(), testEndpoints(3)...)
	g := r.engine
	g.concurrencyLimit, g.partitionSize, g.subratedSlots, g.endedAttempts, g.badOutcomes,
		g.sustainableConcurrency = 100, [3]float64{0, 0, 100}, 60, 100, 50, 180
	g.partitionInUse[partitionShared] = 130
	for _, b := range knownBackends(g) {
		g.index.RecordFailure(&b.entry, g.now)
	}
	if g.adjustConcurrencyLimit(1); g.concurrencyLimit != 90 {
		t.Errorf("N %v, want 90", g.concurrencyLimit)
	}
}

// Thirty attempts are in flight past half their latency objective and none has ended. The limit
// must be cut without any outcome: the clients' own time-outs come only in a standing jam.
func TestAdjustConcurrencyLimit_LateAttemptsInFlightCutIt(t *testing.T) {
	r := newHarness(t, testSettings(), testEndpoints(3)...)
	for i := range 30 {
		r.request("safe", "wide", CustomerID(i))
	}
	r.now += 1100 * ms
	r.handle(Timer{Token: 0})
	if math.IsInf(r.engine.concurrencyLimit, 1) {
		t.Error("N stayed unbounded with 30 attempts past half their latency objective")
	}
}

// After a second with thirty responses a burst of 200 requests comes. The limit must not wait until
// they are late: what a second's responses cannot carry in time will be late already.
func TestAdjustConcurrencyLimit_BoundsBurstBeforeItIsLate(t *testing.T) {
	r := newHarness(t, testSettings(), testEndpoints(3)...)
	for i := range 30 {
		id, as := r.request("safe", "wide", CustomerID(i))
		r.outcome(id, startedAttempts(as)[0].Backend, 0, Succeeded)
	}
	for i := range 200 {
		r.request("safe", "wide", CustomerID(i))
	}
	r.now += 300 * ms // nothing is late yet
	r.handle(Timer{Token: 0})
	if r.engine.concurrencyLimit > 30 {
		t.Errorf("N %v after a second with 30 responses and 200 attempts in flight", r.engine.concurrencyLimit)
	}
}

// An attempt is late by its class's best latency, but never inside a 64th of the latency objective,
// and always after half of it.
func TestLateAfter(t *testing.T) {
	c := class{Class: Class{LatencyObjective: 4 * second}, bestLatency: 0.1}
	if got := c.lateAfter(); math.Abs(got-lateLatencyFactor*0.1) > 1e-9 {
		t.Errorf("late from %v s, want %v times the best latency", got, lateLatencyFactor)
	}
	if c.bestLatency = 0.001; c.lateAfter() != 4.0/64 {
		t.Errorf("late from %v s, want a 64th of the objective", c.lateAfter())
	}
	if c.bestLatency = 3; c.lateAfter() != 2 {
		t.Errorf("late from %v s, want half the objective", c.lateAfter())
	}
}

// Sixty-four clients keep a fast backend busy, and its latency of a millisecond is ten times its
// best one. That says nothing of a queue there, so nothing must be rejected.
func TestAdjustConcurrencyLimit_FastBackendsAreNotLimited(t *testing.T) {
	r := newHarness(t, testSettings(), testEndpoints(1)...)
	type out struct {
		id RequestID
		b  BackendID
		at time.Duration
	}
	rejected, asked := 0, 0
	var flying []out
	ask := func() bool {
		asked++
		id, as := r.request("safe", "wide", CustomerID(asked)) // each has quota enough
		for _, s := range startedAttempts(as) {
			flying = append(flying, out{id, s.Backend, r.now})
			return true
		}
		rejected++
		return false
	}
	answer := func(took time.Duration) {
		for len(flying) > 0 && r.now-flying[0].at >= took {
			o := flying[0]
			flying = flying[1:]
			r.handle(Outcome{Request: o.id, Backend: o.b, Result: Succeeded, Latency: took, Final: true})
		}
	}
	for range 4 { // seconds
		for step := range 10_000 { // of 0.1 ms
			r.now += ms / 10
			if step%300 < 100 { // a lull, in which a response takes 0.1 ms
				answer(ms / 10)
				ask()
				continue
			}
			answer(ms) // 64 clients, each with a new request after its response
			for open := true; open && len(flying) < 64; {
				open = ask()
			}
		}
		r.handle(Timer{Token: 0})
	}
	if rejected > 0 {
		t.Errorf("%d of %d were rejected, N is %v", rejected, asked, r.engine.concurrencyLimit)
	}
}

// With 600 gateways a least limit of one attempt at each would be a jam by itself, for good. The
// limit of one gateway falls to a fraction.
func TestAdjustConcurrencyLimit_FractionAtManyGateways(t *testing.T) {
	s := testSettings()
	s.GatewayCount = 600
	r := newHarness(t, s, testEndpoints(60)...)
	var out [][]Action
	for i := range 90 { // no request gets a response; the clients leave after six seconds
		for range 3 {
			_, as := r.request("safe", "wide", CustomerID(i))
			out = append(out, as)
		}
		r.now += second
		for _, as := range out[max(0, len(out)-21):max(0, len(out)-18)] {
			for _, a := range startedAttempts(as) {
				r.handle(Outcome{Request: a.Request, Backend: a.Backend, Result: TimedOut, Latency: 6 * second,
					Final: true})
			}
		}
		r.handle(Timer{Token: 0})
	}
	if r.engine.concurrencyLimit > 1.5 || r.engine.concurrencyLimit < 60.0/600 {
		t.Errorf("N %v after 90 s without a response, want about one", r.engine.concurrencyLimit)
	}
}

// A gateway that has just started has no responses in its first second, and must not take that for
// what the backends can do. Of a load that they bear at once hardly any is rejected, by one gateway
// or by 300.
func TestNewGatewaysRejectNothingAsOverloaded(t *testing.T) {
	for _, gateways := range []int{1, 2, 10, 80, 300} {
		t.Run(fmt.Sprint(gateways), func(t *testing.T) {
			c := newGatewayFleet(t, testSettings(), gateways, testEndpoints(60))
			c.latency = func(BackendID, time.Duration) time.Duration { return 300 * ms }
			c.run(600, 4*second)
			if room, most := c.rejections[Overloaded.String()], 600*4/20; room > most {
				t.Errorf("%d of %d rejected as overloaded in the first 4 s, want %d at most", room, 600*4, most)
			}
		})
	}
}
