package pollbackoff

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const second = time.Second

// If calls cost nothing, a gateway must call at once, and again every minDelay.
func TestNoDelayWhereCallsCostNothing(t *testing.T) {
	b := New(0, 1)
	for range 5 {
		if first, next := b.First(second), b.AfterFailure(false, 0); first != 0 || next != minDelay {
			t.Fatalf("first call after %v, next call after %v, want 0s and %v", first, next, minDelay)
		}
	}
}

// After any sequence of calls, the next one must come within the interval, and within 5 s of the last moment
// at which the gateway's list was certainly up to date. The first call after a change of address must come
// soon, however long the interval is.
func TestDelaysAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		drawDuration := func(limit time.Duration, label string) time.Duration {
			return time.Duration(rapid.Int64Range(0, int64(limit)).Draw(t, label))
		}
		interval := drawDuration(time.Hour, "interval")
		b := New(interval, rapid.Uint64().Draw(t, "seed"))
		for range rapid.IntRange(1, 40).Draw(t, "calls") {
			var delay, limit time.Duration
			served, staleFor := rapid.Bool().Draw(t, "served"), drawDuration(7*second, "staleFor")
			switch rapid.IntRange(0, 2).Draw(t, "method") {
			case 0:
				within := drawDuration(2*interval, "within")
				delay, limit = b.First(within), max(within*4/5, second)
			case 1:
				delay, limit = b.AfterFailure(served, staleFor), max(5*second-staleFor, minDelay)
			case 2:
				delay, limit = b.AfterInvalidUpdate(served, staleFor), max(5*second-staleFor, minDelay)
			}
			if interval > 0 {
				limit = min(limit, interval*4/5)
			}
			if delay < 0 || delay > limit {
				t.Fatalf("got delay %v, want 0 to %v", delay, limit)
			}
		}
	})
}

// After consecutive failures the delays must double up to the limit; a call that is served resets them. The
// same holds for invalid updates if calls cost nothing.
func TestDelaysDouble(t *testing.T) {
	for _, c := range []struct {
		name     string
		interval time.Duration
		next     func(b *Backoff, served bool, staleFor time.Duration) time.Duration
		first    time.Duration
	}{
		{"rejected", 10 * second, (*Backoff).AfterFailure, second},
		{"invalid", 10 * second, (*Backoff).AfterInvalidUpdate, second},
		{"invalid, at no cost", 0, (*Backoff).AfterInvalidUpdate, minDelay},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := New(c.interval, 1)
			for round := range 3 {
				low, high := c.first/2, c.first
				for i := range 20 {
					if delay := c.next(b, false, 0); delay < low || delay > high {
						t.Errorf("round %d: delay %v after %d failures, want %v to %v", round, delay, i+1, low, high)
					}
					high = min(2*high, 5*second)
					low = high - min(high/2, maxJitter)
				}
				b.AfterFailure(true, 0)
				if b.interval == 0 {
					b.First(0)
				}
			}
		})
	}
}

// All gateways lose their watches at the same moment, and their calls fail in various ways while discovery is
// down. Whenever discovery is back, each gateway must know its changes within 6 s. Until then the calls must
// be spread out and limited as docs/measurements/0013-poll-backoff.md states.
func TestChangeVisibleInTime(t *testing.T) {
	for _, gateways := range []int{1, 2, 8, 80, 300, 2800} {
		worst, peak, calls, seconds := time.Duration(0), 0, 0, 0.0
		for seed := range uint64(max(3, 3000/gateways)) {
			outage := simulateOutage(seed, gateways)
			worst = max(worst, outage.worst)
			for s, n := range outage.callsPerSecond {
				peak = max(peak, n)
				if s >= 15 { // all gateways have backed off by then
					calls, seconds = calls+n, seconds+1
				}
			}
		}
		mean := float64(calls) / seconds
		t.Logf("%d gateways: change known after %v at most; %.1f calls per second on average, %d at peak, %d without backoff",
			gateways, worst, mean, peak, 10*gateways)
		if worst > visibilityDeadline {
			t.Errorf("%d gateways: change known after %v, want %v at most", gateways, worst, visibilityDeadline)
		}
		if mean > float64(gateways)/4 {
			t.Errorf("%d gateways: %.1f calls per second once all have backed off, want %.1f at most", gateways, mean,
				float64(gateways)/4)
		}
		if n := float64(gateways); float64(peak) > n+math.Sqrt(n)+1 {
			t.Errorf("%d gateways: %d calls in one second, want %.1f at most", gateways, peak, n+math.Sqrt(n)+1)
		}
	}
}

// outage is the result of a simulated outage of discovery.
type outage struct {
	worst          time.Duration // from the end of the outage to the last gateway's response
	callsPerSecond []int         // during the outage
}

// simulateOutage simulates gateways that lose their watches at the same moment and call until discovery is
// back.
func simulateOutage(seed uint64, gateways int) outage {
	const responseTime = second // the longest duration of a successful call
	rng := rand.New(rand.NewPCG(seed, uint64(gateways)))
	back := time.Duration(rng.Int64N(int64(40 * second)))
	timedOut := rng.IntN(2) == 0 // the watches timed out; otherwise they were reset
	// The durations of failed calls. Calls fail in one way only, or in all of them if only is len(failures).
	failures := []time.Duration{0, 3 * second, second, time.Duration(rng.Int64N(int64(3 * second)))}
	only := rng.IntN(len(failures) + 1)
	result := outage{}
	perSecond := make([]int, 60)
	for i := range gateways {
		b := New(10*second, seed<<16+uint64(i))
		staleFor := time.Duration(rng.Int64N(int64(2 * second))) // since the last empty line
		at := staleFor
		if timedOut {
			staleFor, at = 3*second, 3*second
		}
		for at += b.AfterFailure(true, staleFor); at < back; {
			perSecond[at/second]++
			took := failures[rng.IntN(len(failures))]
			if only < len(failures) {
				took = failures[only]
			}
			var delay time.Duration
			if rng.IntN(4) == 0 {
				delay = b.AfterInvalidUpdate(false, took)
			} else {
				delay = b.AfterFailure(false, took)
			}
			at += took + delay
		}
		result.worst = max(result.worst, at+responseTime-back)
	}
	result.callsPerSecond = perSecond[:back/second]
	return result
}

// queueingServer serves calls one after another. Callers give up after timeout, but the server still works on
// their calls. It rejects calls at once while its queue is longer than maxQueuedTimeouts times timeout.
type queueingServer struct {
	serviceTime, timeout, busyUntil time.Duration
	maxQueuedTimeouts               time.Duration
}

// call returns when a call made at now ends, and whether the server responded to it with the list.
func (s *queueingServer) call(now time.Duration) (at time.Duration, ok bool) {
	s.busyUntil = max(s.busyUntil, now)
	if s.busyUntil-now > s.maxQueuedTimeouts*s.timeout {
		return now, false
	}
	s.busyUntil += s.serviceTime
	if s.busyUntil-now > s.timeout {
		return now + s.timeout, false
	}
	return s.busyUntil, true
}

// A thundering herd: many gateways start at the same moment. Whatever their number, all must get their lists
// in time if discovery can serve one call of each within most of their interval. Gateways that lose discovery
// at the same moment, or that notice at the same moment that it is back, call within 5 s, so discovery must be
// able to serve one call of each in that time. If it needs 8 s instead, all must still get their lists if it
// rejects the calls that it can't serve in time, or if there are many gateways.
//
// With about ten gateways, 8 s and a queue of two timeouts, discovery may spend minutes on responses to calls
// that have already timed out: no backoff that meets the deadline of 6 s is slow enough to prevent that. After
// a start this happens with seed 1, so the first row has only seed 0.
func TestHerdsGetTheirLists(t *testing.T) {
	for _, c := range []struct {
		state             string
		serveAll          time.Duration // in which discovery serves one call of each gateway
		maxQueuedTimeouts time.Duration
		gateways          []int
		seeds             uint64
		within            time.Duration // maximum time until all gateways have their lists
		calls             float64       // maximum number of calls per gateway
	}{
		{"started", 8 * second, 2, []int{10}, 1, 30 * second, 3},
		{"started", 8 * second, 2, []int{2, 80, 300, 2800}, 5, 30 * second, 3},
		{"started", 8 * second, 1, []int{10}, 5, 30 * second, 5},
		{"lost", 5 * second, 2, []int{2, 10, 80, 300, 2800}, 5, 15 * second, 3},
		{"back", 5 * second, 2, []int{2, 10, 80, 300, 2800}, 5, 15 * second, 3},
		{"lost", 8 * second, 1, []int{2, 10, 80, 300, 2800}, 5, 30 * second, 5},
		{"back", 8 * second, 1, []int{2, 10, 80, 300, 2800}, 5, 30 * second, 5},
		{"lost", 8 * second, 2, []int{300, 2800}, 5, 30 * second, 4},
		{"back", 8 * second, 2, []int{300, 2800}, 5, 30 * second, 4},
	} {
		for _, gateways := range c.gateways {
			for seed := range c.seeds {
				server := queueingServer{
					serviceTime:       c.serveAll / time.Duration(gateways),
					timeout:           2 * second,
					maxQueuedTimeouts: c.maxQueuedTimeouts,
				}
				if gateways < 8 {
					server.serviceTime = second // a longer one would exceed every caller's timeout
				}
				herd, begun := newHerd(c.state, gateways, seed)
				served, calls, last := herd.callUntilServed(&server, begun)
				if served < gateways || last > c.within || float64(calls) > c.calls*float64(gateways) {
					t.Errorf("%s, %v for all, queue of %d timeouts, %d gateways, seed %d: "+
						"%d have their lists after %v and %d calls, want all within %v and %v calls", c.state, c.serveAll,
						c.maxQueuedTimeouts, gateways, seed, served, last, calls, c.within, c.calls*float64(gateways))
				}
			}
		}
	}
}

// herd is a group of gateways with the times of their next calls.
type herd []struct {
	backoff *Backoff
	at      time.Duration // of the next call
}

// newHerd returns gateways that have just started ("started"), that have just lost discovery ("lost"), or
// whose calls have failed until now, when discovery is back ("back"), and the time that is now for them.
func newHerd(state string, gateways int, seed uint64) (h herd, begun time.Duration) {
	h = make(herd, gateways)
	for i := range h {
		gateway := &h[i]
		gateway.backoff = New(10*second, seed<<16+uint64(i))
		switch state {
		case "started":
			gateway.at = gateway.backoff.First(10 * second)
		case "lost":
			gateway.at = gateway.backoff.AfterFailure(true, 0)
		case "back":
			for begun = 20 * second; gateway.at < begun; {
				gateway.at += gateway.backoff.AfterFailure(false, 0)
			}
		}
	}
	return h, begun
}

// callUntilServed simulates the gateways' calls in the order of their times, until all gateways have their
// lists or have called 100 times on average. It returns how many gateways were served, the number of calls,
// and the time from begun to the last list.
func (h herd) callUntilServed(server *queueingServer, begun time.Duration) (served, calls int, last time.Duration) {
	for served < len(h) && calls < 100*len(h) {
		next := 0
		for i := range h {
			if h[i].at < h[next].at {
				next = i
			}
		}
		gateway := &h[next]
		calls++
		at, ok := server.call(gateway.at)
		if !ok {
			gateway.at = at + gateway.backoff.AfterFailure(false, at-gateway.at)
			continue
		}
		gateway.at, last = time.Hour, max(last, at-begun)
		served++
	}
	return served, calls, last
}
