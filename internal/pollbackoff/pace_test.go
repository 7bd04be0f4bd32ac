package pollbackoff

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const second = time.Second

// Where calls cost nothing a door asks at once, and again ten times a second.
func TestWithoutCostThereIsNoWait(t *testing.T) {
	p := New(0, 1)
	for range 5 {
		if b, l := p.First(second), p.AfterLoss(false, 0); b != 0 || l != minDelay {
			t.Fatalf("first call after %v, the next after %v", b, l)
		}
	}
}

// Whatever comes, a door asks within the time that it may go without asking, and within what is left of the 5 s since when it may have missed
// something; a move's first call comes soon however long the door may go without.
func TestADoorAsksInTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		span := func(most time.Duration, label string) time.Duration {
			return time.Duration(rapid.Int64Range(0, int64(most)).Draw(t, label))
		}
		within := span(time.Hour, "within")
		p := New(within, rapid.Uint64().Draw(t, "seed"))
		for range rapid.IntRange(1, 40).Draw(t, "calls") {
			var wait, most time.Duration
			switch granted, unsure := rapid.Bool().Draw(t, "granted"), span(7*second, "unsure"); rapid.IntRange(0, 2).Draw(t, "what") {
			case 0:
				wanted := span(2*within, "wanted")
				wait, most = p.First(wanted), max(wanted*4/5, second)
			case 1:
				wait, most = p.AfterLoss(granted, unsure), max(5*second-unsure, minDelay)
			case 2:
				wait, most = p.AfterInvalid(granted, unsure), max(5*second-unsure, minDelay)
			}
			if within > 0 {
				most = min(most, within*4/5)
			}
			if wait < 0 || wait > most {
				t.Fatalf("waits %v, may wait %v", wait, most)
			}
		}
	})
}

// Whoever is turned away again and again asks less and less often, up to the bound, and whoever was granted something begins anew: also where calls
// cost nothing, and it is lists that can't be taken.
func TestBackingOff(t *testing.T) {
	for _, c := range []struct {
		name   string
		within time.Duration
		next   func(p *Backoff, granted bool, unsure time.Duration) time.Duration
		first  time.Duration
	}{{"turned away", 10 * second, (*Backoff).AfterLoss, second}, {"spoilt", 10 * second, (*Backoff).AfterInvalid, second}, {"spoilt, at no cost", 0, (*Backoff).AfterInvalid, minDelay}} {
		p := New(c.within, 1)
		for round := range 3 {
			least, most := c.first/2, c.first
			for k := range 20 {
				if w := c.next(p, false, 0); w < least || w > most {
					t.Errorf("%s, round %d: waits %v after %d failures, not %v to %v", c.name, round, w, k+1, least, most)
				}
				most = min(2*most, 5*second)
				least = most - min(most/2, maxJitter)
			}
			p.AfterLoss(true, 0)
			if p.interval == 0 {
				p.First(0)
			}
		}
	}
}

// All doors lose their watches at some moment while discovery is down, in one of the ways in which calls and watches end then, and whenever it is back, each
// has heard what it has within 6 s; meanwhile their calls are spread, and fewer than without pacing by the figures in the package's comment.
func TestAChangeIsHeardInTime(t *testing.T) {
	const answered = second // the longest that a call takes which is answered
	for _, doors := range []int{1, 2, 8, 80, 300, 2800} {
		worst, peak, calls, length := time.Duration(0), 0, 0, 0.0
		for seed := range uint64(max(3, 3000/doors)) {
			rng := rand.New(rand.NewPCG(seed, uint64(doors)))
			back := time.Duration(rng.Int64N(int64(40 * second)))
			silent := rng.IntN(2) == 0 // the watches fell silent, or were reset
			ways := []time.Duration{0, 3 * second, second, time.Duration(rng.Int64N(int64(3 * second)))}
			one := rng.IntN(len(ways) + 1) // how calls fail, or in all ways
			perSecond := make([]int, 60)
			for i := range doors {
				p := New(10*second, seed<<16+uint64(i))
				unsure := time.Duration(rng.Int64N(int64(2 * second))) // since the last empty line
				at := unsure
				if silent {
					unsure, at = 3*second, 3*second
				}
				for at += p.AfterLoss(true, unsure); at < back; {
					perSecond[at/second]++
					way := ways[rng.IntN(len(ways))]
					if one < len(ways) {
						way = ways[one]
					}
					wait := time.Duration(0)
					if rng.IntN(4) == 0 {
						wait = p.AfterInvalid(false, way)
					} else {
						wait = p.AfterLoss(false, way)
					}
					at += way + wait
				}
				worst = max(worst, at+answered-back)
			}
			for s, n := range perSecond[:back/second] {
				if peak = max(peak, n); s >= 15 { // by then all have backed off
					calls, length = calls+n, length+1
				}
			}
		}
		mean := float64(calls) / length
		t.Logf("%d doors: a change is heard %v after it could be at the latest; %.1f calls a second, %d at most in one, %d without pacing", doors, worst, mean, peak, 10*doors)
		if worst > visibilityDeadline {
			t.Errorf("%d doors: one hears %v after it could", doors, worst)
		}
		if mean > float64(doors)/4 {
			t.Errorf("%d doors: %.1f calls a second once all have backed off", doors, mean)
		}
		if most := float64(doors); float64(peak) > most+math.Sqrt(most)+1 {
			t.Errorf("%d doors: %d calls in a second", doors, peak)
		}
	}
}

// queueingServer takes calls in turn, each in so long, and has those wait in vain that it can't answer within patience: what it was
// asked it works on all the same, and what it could not answer in so many times that it turns away at once.
type queueingServer struct {
	serviceTime, timeout, busyUntil time.Duration
	maxQueuedTimeouts               time.Duration
}

// call tells when it answers, and whether with the list.
func (d *queueingServer) call(now time.Duration) (at time.Duration, ok bool) {
	d.busyUntil = max(d.busyUntil, now)
	if d.busyUntil-now > d.maxQueuedTimeouts*d.timeout {
		return now, false
	}
	d.busyUntil += d.serviceTime
	if d.busyUntil-now > d.timeout {
		return now + d.timeout, false
	}
	return d.busyUntil, true
}

// Doors that start in one instant all have their lists within the time they may go without, whatever their number, as long as discovery can take a call of
// each in most of that time. With a retry ten times a second a fifth has it. Those that lose discovery in one instant, or are turned away by one that is back
// at last, have to ask within 5 s, so it has to take a call of each in that. If it takes 8 s for them it still comes to all of them: if it turns away what it
// can't answer in time whatever their number, and else if they are many. (At some ten doors, 8 s and a queue of two time-outs, all its work may be at
// answers that nobody waits for any more, for minutes: no pace that keeps to 6 s is slow enough. With seed 1 it is so after a start.)
func TestHerdsGetTheirLists(t *testing.T) {
	for _, c := range []struct {
		state string
		all   time.Duration // in which it takes one call of each
		times time.Duration
		doors []int
		seeds uint64
		most  time.Duration // until all have their lists
		calls float64       // of each door, at most
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
		for _, doors := range c.doors {
			for seed := range c.seeds {
				d := queueingServer{serviceTime: c.all / time.Duration(doors), timeout: 2 * second, maxQueuedTimeouts: c.times}
				if doors < 8 {
					d.serviceTime = second // a call that takes longer than anyone waits is never answered
				}
				type door struct {
					pace *Backoff
					at   time.Duration // of its next call
				}
				all := make([]door, doors)
				begun := time.Duration(0)
				for i := range all {
					n := &all[i]
					n.pace = New(10*second, seed<<16+uint64(i))
					switch c.state {
					case "started":
						n.at = n.pace.First(10 * second)
					case "lost":
						n.at = n.pace.AfterLoss(true, 0)
					case "back":
						for begun = 20 * second; n.at < begun; {
							n.at += n.pace.AfterLoss(false, 0)
						}
					}
				}
				got, calls, last := 0, 0, time.Duration(0)
				for got < doors && calls < 100*doors {
					next := 0
					for i := range all {
						if all[i].at < all[next].at {
							next = i
						}
					}
					n := &all[next]
					calls++
					if at, ok := d.call(n.at); !ok {
						n.at = at + n.pace.AfterLoss(false, at-n.at)
					} else {
						n.at, last = time.Hour, max(last, at-begun)
						got++
					}
				}
				if got < doors || last > c.most || float64(calls) > c.calls*float64(doors) {
					t.Errorf("%s, %v for all, %d time-outs, %d doors, seed %d: %d have their lists after %v and %d calls", c.state, c.all, c.times, doors, seed, got, last, calls)
				}
			}
		}
	}
}
