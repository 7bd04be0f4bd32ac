package decision

import (
	"fmt"
	"math"
	"testing"
	"time"
)

// Each row is one second at a gateway with many attempts: its limit, outcomes, failing backends and
// sustainable concurrency, and the limit that results.
func TestAdjustConcurrencyLimit(t *testing.T) {
	adjust := func(limit, bad, ended float64, failing int, sustainable float64) float64 {
		h := newHarness(t, testSettings(), testEndpoints(3)...)
		engine := h.engine
		engine.concurrencyLimit, engine.partitionSize = limit, [3]float64{0, 0, limit}
		engine.endedAttempts, engine.badOutcomes = ended, bad
		// At 50 attempts a second, one second has a weight of a half.
		engine.partitionInUse[partitionShared], engine.sendRate = 50, 50
		engine.sustainableConcurrency, engine.sustainableSum, engine.sustainableWeight = sustainable, sustainable, 1
		for _, backend := range knownBackends(engine)[:failing] {
			engine.index.RecordFailure(&backend.entry, engine.now)
		}
		engine.adjustConcurrencyLimit(1)
		return engine.concurrencyLimit
	}
	inf := math.Inf(1)
	for _, c := range []struct {
		name              string
		limit, bad, ended float64
		failing           int
		sustainable, want float64
	}{
		{"over 5% bad", inf, 12, 100, 3, 80, 45},
		{"exactly 5% bad", 500, 5, 100, 3, 600, 550},
		{"over 5% bad, but within chance", 500, 11, 100, 3, 600, 550},
		{"over 5% bad, beyond chance, of many outcomes", 500, 73, 1000, 3, 600, 300},
		{"one failing backend of three", 500, 30, 100, 1, 600, 550},
		{"one bad outcome is not enough", 100, 1, 2, 3, 150, 110},
		{"a good second increases it by a tenth", 60, 0, 100, 0, 100, 66},
		{"a decrease never raises it", 20, 50, 100, 3, 30, 18},
		{"at least one attempt per backend over all gateways", 0.5, 50, 100, 3, 0, 1.5},
		{"few bad outcomes, each at another backend", inf, 3, 4, 3, 80, 45},
		{"lowered at once to the sustainable concurrency", inf, 50, 100, 3, 40, 40},
		{"lowered to the sustainable concurrency without bad outcomes", inf, 0, 100, 0, 40, 40},
		{"at least half of the sustainable concurrency", 4, 50, 100, 3, 40, 20},
		{"no responses yet: stays unlimited", inf, 0, 0, 0, 0, inf},
	} {
		got := adjust(c.limit, c.bad, c.ended, c.failing, c.sustainable)
		if math.Abs(got-c.want) > 1e-9 && got != c.want {
			t.Errorf("%s: limit %v, want %v", c.name, got, c.want)
		}
	}
}

// Under overload, with subrating, more requests are in flight than the limit has slots. A decrease
// computed from that number would raise the limit, so subrated requests must count only as the part
// of a slot that they hold.
func TestAdjustConcurrencyLimit_SubratedAttemptsDoNotRaiseLimit(t *testing.T) {
	h := newHarness(t, testSettings(), testEndpoints(3)...)
	engine := h.engine
	engine.concurrencyLimit, engine.partitionSize, engine.subratedRequests, engine.endedAttempts, engine.badOutcomes,
		engine.sustainableConcurrency = 100, [3]float64{0, 0, 100}, 60, 100, 50, 180
	engine.partitionInUse[partitionShared] = 130
	for _, backend := range knownBackends(engine) {
		engine.index.RecordFailure(&backend.entry, engine.now)
	}
	if engine.adjustConcurrencyLimit(1); engine.concurrencyLimit != 90 {
		t.Errorf("limit %v, want 90", engine.concurrencyLimit)
	}
}

// Thirty attempts are in flight for more than half their latency objective and none has ended. The
// limit must be decreased without any outcome: client timeouts come only after a long overload.
func TestAdjustConcurrencyLimit_LateAttemptsInFlightDecreaseLimit(t *testing.T) {
	h := newHarness(t, testSettings(), testEndpoints(3)...)
	for i := range 30 {
		h.request("safe", "large", CustomerID(i))
	}
	h.now += 1100 * ms
	h.handle(Timer{Token: 0})
	if math.IsInf(h.engine.concurrencyLimit, 1) {
		t.Errorf("limit %v with 30 attempts past half their latency objective, want a finite one", h.engine.concurrencyLimit)
	}
}

// After a second with thirty responses a burst of 200 requests arrives. The limit must not wait
// until they are late: attempts in flight beyond the sustainable concurrency are certain to become
// late.
func TestAdjustConcurrencyLimit_BoundsBurstBeforeAttemptsAreLate(t *testing.T) {
	h := newHarness(t, testSettings(), testEndpoints(3)...)
	for i := range 30 {
		id, actions := h.request("safe", "large", CustomerID(i))
		h.outcome(id, startedAttempts(actions)[0].Backend, 0, Succeeded)
	}
	for i := range 200 {
		h.request("safe", "large", CustomerID(i))
	}
	h.now += 300 * ms // nothing is late yet
	h.handle(Timer{Token: 0})
	if h.engine.concurrencyLimit > 30 {
		t.Errorf("limit %v after a second with 30 responses and 200 attempts in flight, want 30 at most",
			h.engine.concurrencyLimit)
	}
}

// An attempt is late from a multiple of its class's best latency on, but not before a 64th of the
// latency objective, and no later than half of it.
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

// Sixty-four clients keep a fast backend busy, so that its latency of 1 ms is ten times its best
// one. Latencies that short do not show a queue at the backend, so nothing may be rejected.
func TestAdjustConcurrencyLimit_FastBackendsAreNotLimited(t *testing.T) {
	h := newHarness(t, testSettings(), testEndpoints(1)...)
	type sentAttempt struct {
		request RequestID
		backend BackendID
		sentAt  time.Duration
	}
	rejected, requests := 0, 0
	var inFlight []sentAttempt
	sendRequest := func() bool {
		requests++
		id, actions := h.request("safe", "large", CustomerID(requests)) // a customer each, so the quota does not limit them
		for _, s := range startedAttempts(actions) {
			inFlight = append(inFlight, sentAttempt{id, s.Backend, h.now})
			return true
		}
		rejected++
		return false
	}
	respond := func(latency time.Duration) {
		for len(inFlight) > 0 && h.now-inFlight[0].sentAt >= latency {
			first := inFlight[0]
			inFlight = inFlight[1:]
			h.handle(Outcome{Request: first.request, Backend: first.backend, Result: Succeeded, Latency: latency,
				Final: true})
		}
	}
	for range 4 { // seconds
		for step := range 10_000 { // of 0.1 ms
			h.now += ms / 10
			if step%300 < 100 { // low load, at which a response takes 0.1 ms
				respond(ms / 10)
				sendRequest()
				continue
			}
			respond(ms) // 64 clients, each with a new request after its response
			for admitted := true; admitted && len(inFlight) < 64; {
				admitted = sendRequest()
			}
		}
		h.handle(Timer{Token: 0})
	}
	if rejected > 0 {
		t.Errorf("%d of %d requests were rejected, want 0; limit %v", rejected, requests, h.engine.concurrencyLimit)
	}
}

// With 600 gateways, a minimum of one attempt at each would overload the backends permanently. The
// limit of one gateway must be able to fall below one.
func TestAdjustConcurrencyLimit_FractionAtManyGateways(t *testing.T) {
	settings := testSettings()
	settings.GatewayCount = 600
	h := newHarness(t, settings, testEndpoints(60)...)
	var perRequest [][]Action
	for i := range 90 { // no request gets a response; clients time out after six seconds
		for range 3 {
			_, actions := h.request("safe", "large", CustomerID(i))
			perRequest = append(perRequest, actions)
		}
		h.now += second
		// The three requests of seven seconds ago: the last three were sent one second ago.
		for _, actions := range perRequest[max(0, len(perRequest)-21):max(0, len(perRequest)-18)] {
			for _, a := range startedAttempts(actions) {
				h.handle(Outcome{Request: a.Request, Backend: a.Backend, Result: TimedOut, Latency: 6 * second,
					Final: true})
			}
		}
		h.handle(Timer{Token: 0})
	}
	if h.engine.concurrencyLimit > 1.5 || h.engine.concurrencyLimit < 60.0/600 {
		t.Errorf("limit %v after 90 s without a response, want 0.1 to 1.5", h.engine.concurrencyLimit)
	}
}

// A gateway that has just started has no responses in its first second. It must not conclude that
// the backends can serve nothing: hardly any request of a sustainable load may be rejected, with
// one gateway or with 300.
func TestNewGatewaysRejectNothingAsOverloaded(t *testing.T) {
	for _, gateways := range []int{1, 2, 10, 80, 300} {
		t.Run(fmt.Sprint(gateways), func(t *testing.T) {
			fleet := newGatewayFleet(t, testSettings(), gateways, testEndpoints(60))
			fleet.latency = func(BackendID, time.Duration) time.Duration { return 300 * ms }
			fleet.run(600, 4*second)
			if rejected, most := fleet.rejections[Overloaded.String()], 600*4/20; rejected > most {
				t.Errorf("%d of %d rejected as overloaded in the first 4 s, want %d at most", rejected, 600*4, most)
			}
		})
	}
}
