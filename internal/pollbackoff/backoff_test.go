package pollbackoff

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const second = time.Second

// Where calls cost nothing, a gateway calls at once, and again every minDelay.
func TestNoDelayWhereCallsCostNothing(t *testing.T) {
	b := New(0, 1)
	for range 5 {
		if first, next := b.First(second), b.AfterLoss(false, 0); first != 0 || next != minDelay {
			t.Fatalf("first call after %v, the next after %v", first, next)
		}
	}
}

// Whatever happens, a gateway calls within its interval, and within what is left of the 5 s since when it may
// have missed a change. The first call after a change of address comes soon, however long the interval is.
func TestDelaysAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		span := func(most time.Duration, label string) time.Duration {
			return time.Duration(rapid.Int64Range(0, int64(most)).Draw(t, label))
		}
		interval := span(time.Hour, "interval")
		b := New(interval, rapid.Uint64().Draw(t, "seed"))
		for range rapid.IntRange(1, 40).Draw(t, "calls") {
			var delay, most time.Duration
			granted, unsure := rapid.Bool().Draw(t, "granted"), span(7*second, "unsure")
			switch rapid.IntRange(0, 2).Draw(t, "what") {
			case 0:
				wanted := span(2*interval, "wanted")
				delay, most = b.First(wanted), max(wanted*4/5, second)
			case 1:
				delay, most = b.AfterLoss(granted, unsure), max(5*second-unsure, minDelay)
			case 2:
				delay, most = b.AfterInvalid(granted, unsure), max(5*second-unsure, minDelay)
			}
			if interval > 0 {
				most = min(most, interval*4/5)
			}
			if delay < 0 || delay > most {
				t.Fatalf("delay %v, at most %v", delay, most)
			}
		}
	})
}

// After repeated failures the delays double up to the bound; a granted call resets them. The same holds for
// invalid updates where calls cost nothing.
func TestDelaysDouble(t *testing.T) {
	for _, c := range []struct {
		name     string
		interval time.Duration
		next     func(b *Backoff, granted bool, unsure time.Duration) time.Duration
		first    time.Duration
	}{
		{"rejected", 10 * second, (*Backoff).AfterLoss, second},
		{"invalid", 10 * second, (*Backoff).AfterInvalid, second},
		{"invalid, at no cost", 0, (*Backoff).AfterInvalid, minDelay},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := New(c.interval, 1)
			for round := range 3 {
				least, most := c.first/2, c.first
				for i := range 20 {
					if delay := c.next(b, false, 0); delay < least || delay > most {
						t.Errorf("round %d: delay %v after %d failures, want %v to %v", round, delay, i+1, least, most)
					}
					most = min(2*most, 5*second)
					least = most - min(most/2, maxJitter)
				}
				b.AfterLoss(true, 0)
				if b.interval == 0 {
					b.First(0)
				}
			}
		})
	}
}

// All gateways lose their watches at one moment while discovery is down, in one of the ways in which calls
// and watches end then. Whenever it is back, each must know its changes within 6 s; meanwhile their calls
// must be spread, and bounded as docs/measurements/0013-poll-backoff.md has it.
func TestChangeVisibleInTime(t *testing.T) {
	for _, gateways := range []int{1, 2, 8, 80, 300, 2800} {
		worst, peak, calls, seconds := time.Duration(0), 0, 0, 0.0
		for seed := range uint64(max(3, 3000/gateways)) {
			outage := simulateOutage(seed, gateways)
			worst = max(worst, outage.worst)
			for s, n := range outage.callsPerSecond {
				peak = max(peak, n)
				if s >= 15 { // by then all have backed off
					calls, seconds = calls+n, seconds+1
				}
			}
		}
		mean := float64(calls) / seconds
		t.Logf("%d gateways: a change is known after %v at most; %.1f calls a second, %d at most in one, %d without backoff",
			gateways, worst, mean, peak, 10*gateways)
		if worst > visibilityDeadline {
			t.Errorf("%d gateways: a change is known after %v", gateways, worst)
		}
		if mean > float64(gateways)/4 {
			t.Errorf("%d gateways: %.1f calls a second once all have backed off", gateways, mean)
		}
		if most := float64(gateways); float64(peak) > most+math.Sqrt(most)+1 {
			t.Errorf("%d gateways: %d calls in a second", gateways, peak)
		}
	}
}

// outage is what came of a simulated outage of discovery.
type outage struct {
	worst          time.Duration // from discovery's return to the last gateway's response
	callsPerSecond []int         // while it lasted
}

// simulateOutage has gateways lose their watches at one moment and call until discovery is back.
func simulateOutage(seed uint64, gateways int) outage {
	const responseTime = second // the longest that a call takes which succeeds
	rng := rand.New(rand.NewPCG(seed, uint64(gateways)))
	back := time.Duration(rng.Int64N(int64(40 * second)))
	silent := rng.IntN(2) == 0 // the watches fell silent, or were reset
	failures := []time.Duration{0, 3 * second, second, time.Duration(rng.Int64N(int64(3 * second)))}
	only := rng.IntN(len(failures) + 1) // the one way in which calls fail; len(failures) for all of them
	result := outage{}
	perSecond := make([]int, 60)
	for i := range gateways {
		b := New(10*second, seed<<16+uint64(i))
		unsure := time.Duration(rng.Int64N(int64(2 * second))) // since the last empty line
		at := unsure
		if silent {
			unsure, at = 3*second, 3*second
		}
		for at += b.AfterLoss(true, unsure); at < back; {
			perSecond[at/second]++
			took := failures[rng.IntN(len(failures))]
			if only < len(failures) {
				took = failures[only]
			}
			var delay time.Duration
			if rng.IntN(4) == 0 {
				delay = b.AfterInvalid(false, took)
			} else {
				delay = b.AfterLoss(false, took)
			}
			at += took + delay
		}
		result.worst = max(result.worst, at+responseTime-back)
	}
	result.callsPerSecond = perSecond[:back/second]
	return result
}

// queueingServer serves calls in turn. Callers give up after timeout, but it works on their calls all the
// same. It rejects calls at once while its queue is longer than maxQueuedTimeouts timeouts.
type queueingServer struct {
	serviceTime, timeout, busyUntil time.Duration
	maxQueuedTimeouts               time.Duration
}

// call returns when the server responds to a call, and whether it does so with the list.
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

// Gateways that start at one moment must all get their lists in time, whatever their number, if discovery
// can serve a call of each in most of their interval. Those that lose discovery, or find it back, at one
// moment must call within 5 s, so it must serve a call of each in that. If it needs 8 s for them, all still
// get their lists: if it rejects what it can't serve in time, or if they are many.
//
// With some ten gateways, 8 s and a queue of two timeouts, all its work may go into responses that nobody
// waits for any more, for minutes: no backoff that keeps to 6 s is slow enough. After a start that happens
// with seed 1, so the first row has seed 0 alone.
func TestHerdsGetTheirLists(t *testing.T) {
	for _, c := range []struct {
		state             string
		serveAll          time.Duration // in which discovery serves one call of each gateway
		maxQueuedTimeouts time.Duration
		gateways          []int
		seeds             uint64
		within            time.Duration // until all have their lists
		calls             float64       // of each gateway, at most
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
					t.Errorf("%s, %v for all, %d timeouts, %d gateways, seed %d: %d have their lists after %v and %d calls",
						c.state, c.serveAll, c.maxQueuedTimeouts, gateways, seed, served, last, calls)
				}
			}
		}
	}
}

// herd is a number of gateways with the times of their next calls.
type herd []struct {
	backoff *Backoff
	at      time.Duration
}

// newHerd returns gateways that have just started ("started"), have lost discovery ("lost"), or were
// rejected by one that is back now ("back"), and the time from which their delays count.
func newHerd(state string, gateways int, seed uint64) (h herd, begun time.Duration) {
	h = make(herd, gateways)
	for i := range h {
		gateway := &h[i]
		gateway.backoff = New(10*second, seed<<16+uint64(i))
		switch state {
		case "started":
			gateway.at = gateway.backoff.First(10 * second)
		case "lost":
			gateway.at = gateway.backoff.AfterLoss(true, 0)
		case "back":
			for begun = 20 * second; gateway.at < begun; {
				gateway.at += gateway.backoff.AfterLoss(false, 0)
			}
		}
	}
	return h, begun
}

// callUntilServed has the gateways call in the order of their times until all have their lists, or have
// called 100 times on average.
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
			gateway.at = at + gateway.backoff.AfterLoss(false, at-gateway.at)
			continue
		}
		gateway.at, last = time.Hour, max(last, at-begun)
		served++
	}
	return served, calls, last
}
