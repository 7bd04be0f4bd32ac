package quota

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// account is a ceiling's store as the platform keeps it: what all doors let in is taken off it.
type account struct {
	left float64
	at   time.Duration
}

func (a *account) take(now time.Duration, rate, burst, units float64) float64 {
	a.left = min(burst, a.left+rate*(now-a.at).Seconds()) - units
	a.at = now
	return a.left
}

// Doors with halves of their parts and a pool, on a counter that loses calls, answers and names at
// any moment, never let in more than the ceiling together, whoever asks where.
func TestDoorsNeverPassTheCeiling(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		doors := rapid.SampledFrom([]int{2, 3, 17, 80}).Draw(t, "doors")
		faults := rapid.Float64Range(0, 0.5).Draw(t, "faults")
		hot := rapid.Float64Range(0, 1).Draw(t, "hot")
		rate := rapid.Float64Range(1, 50).Draw(t, "rate")
		burst := rapid.Float64Range(8, 200).Draw(t, "burst")
		const most = 3.0
		type half struct {
			have float64
			at   time.Duration
			pool SharedBucket
		}
		all := make([]half, doors)
		for i := range all {
			all[i].pool = NewSharedBucket(7, "flagship", burst, doors, most)
		}
		truth := account{left: burst}
		total, now := 0.0, time.Duration(0)
		// call is one call: whether it is added, and whether its answer is heard
		crossed := 0.0 // put back after the name was lost
		call := func(amount, putBack float64) (float64, bool) {
			if rng.Float64() < faults/4 {
				total = 0 // the name is forgotten
				crossed += putBack
			}
			if rng.Float64() < faults/2 {
				return 0, false // turned away
			}
			total = math.Round((total+amount)*1e4) / 1e4
			return total, rng.Float64() >= faults/2
		}
		for range 1500 {
			now += time.Duration(rng.ExpFloat64() * float64(20*time.Millisecond))
			i := 0
			if rng.Float64() > hot {
				i = rng.IntN(doors)
			}
			d := &all[i]
			part := d.pool.LocalShare()
			d.have = min(part, d.have+rate/float64(doors)*(now-d.at).Seconds())
			d.at = now
			if gift := d.pool.Surplus(now); gift > 0 && d.have >= part && rng.Float64() < 0.3 {
				d.have -= gift
				if sum, heard := call(gift, 0); heard {
					if back := d.pool.Deposited(now, sum, rng.Float64()); back != 0 {
						call(back, 0)
					}
				}
				continue
			}
			units := 1 + rng.Float64()*(most-1)
			if d.have >= units {
				d.have -= units
			} else {
				sum, heard := call(-units, 0)
				if !heard {
					continue
				}
				got, back := d.pool.Withdrawn(units, sum)
				if back != 0 {
					call(back, max(0, back))
				}
				if !got {
					continue
				}
			}
			if left := truth.take(now, rate, burst, units); left < -0.01-crossed {
				t.Fatalf("at %v the ceiling's store is at %.2f, of %.0f, with %.2f put back after losses", now, left, burst, crossed)
			}
		}
	})
}

func TestWhatATotalSays(t *testing.T) {
	for _, c := range []struct {
		name         string
		units, total float64
		got          bool
		back         float64
	}{
		{"it was there", 3, 10, true, 0},
		{"just so", 3, 0, true, 0},
		{"by seven digits", 3, -0.0004, true, 0},
		{"it was not", 3, -1, false, 3},
		{"a name that has begun anew", 3, -3, false, 3},
		{"a full pool", 3, 47, true, 0},
		{"over its half by a gift", 3, 49, false, -2 + 3},
		{"over its half by more", 3, 60, false, -10},
	} {
		p := NewSharedBucket(1, "x", 100, 10, 3)
		if got, back := p.Withdrawn(c.units, c.total); got != c.got || math.Abs(back-c.back) > 1e-9 {
			t.Errorf("%s: %v, back %v; want %v, %v", c.name, got, back, c.got, c.back)
		}
	}
}

// A full pool is given to ever more seldom, by each door at moments of its own; one that was
// emptied soon again.
func TestGiftsArePaced(t *testing.T) {
	p, now := NewSharedBucket(1, "x", 100, 10, 3), time.Duration(0)
	var at []time.Duration
	for now < 60*time.Second {
		if p.Surplus(now) > 0 {
			at = append(at, now)
			p.Deposited(now, 50, 0.5)
		}
		now += 100 * time.Millisecond
	}
	if n := len(at); n < 8 || n > 14 {
		t.Errorf("%d gifts in a minute to a full pool: %v", n, at)
	}
	p.Deposited(now, 10, 0.5)
	if p.Surplus(now+time.Second) == 0 {
		t.Error("no gift a second after the pool was seen to be low")
	}
	if back := p.Deposited(now, 52, 0); math.Abs(back+2) > 1e-9 {
		t.Errorf("a gift that is 2 too many takes back %v", back)
	}
	none := SharedBucket{}
	if none.Exists() || none.Surplus(now) != 0 {
		t.Error("the zero value is a pool")
	}
}

// A counter that is gone is asked by one call at a time, and ever more seldom; one that is crowded
// for fewer customers.
func TestLine(t *testing.T) {
	l, now, p := NewCounterLink(), time.Duration(0), NewSharedBucket(1, "x", 100, 10, 3)
	asked := 0
	for ; now < 60*time.Second; now += 50 * time.Millisecond {
		if l.Allow(now, &p) {
			l.CallStarted()
			asked++
			if l.failures >= downThreshold && l.Allow(now, &p) {
				t.Fatal("two trials at once")
			}
			l.CallFailed(now, 0.5)
		}
	}
	if asked < 15 || asked > 30 {
		t.Errorf("%d calls in a minute to a counter that is gone", asked)
	}
	l.CallStarted()
	l.CallSucceeded()
	if !l.Allow(now, &p) {
		t.Error("an answer does not bring it back")
	}
	l = NewCounterLink()
	for range 20 {
		l.CallStarted()
		l.CallRejected(now, 0.5)
		l.CallStarted()
		l.CallSucceeded()
	}
	may := 0
	for c := range 1000 {
		q := NewSharedBucket(uint64(c), "x", 100, 10, 3)
		if l.Allow(now, &q) {
			may++
		}
	}
	if may < 2 || may > 100 {
		t.Errorf("%d of 1,000 customers are asked for after 20 calls turned away", may)
	}
	l = NewCounterLink()
	for range maxCallsInFlight {
		l.CallStarted()
	}
	if l.Allow(now, &p) {
		t.Error("more calls out than the bound")
	}
}

// What doors keep and what the pool may hold are the ceiling's burst together, at any size; a door
// keeps what its largest request takes where a part of its own can bear that.
func TestPartsAreTheWhole(t *testing.T) {
	for _, c := range []struct {
		burst       float64
		doors       int
		largest     float64
		keep, most  float64
		lends, bear bool
	}{
		{100, 10, 3, 5, 50, true, true},
		{60, 12, 3, 3, 24, true, true},  // a half is 2.5
		{60, 20, 3, 3, 0, false, true},  // all of it
		{60, 30, 3, 1, 30, true, false}, // a whole part is 2
		{68, 200, 3, 0.17, 34, true, false},
		{5, 2, 3, 1.25, 2.5, false, false}, // the pool could not lend one
	} {
		p := NewSharedBucket(1, "x", c.burst, c.doors, c.largest)
		if !c.lends {
			c.keep = c.burst / float64(c.doors)
		}
		if p.Exists() != c.lends || p.LocalShare() != c.keep || p.Exists() && math.Abs(p.capacity-c.most) > 1e-9 || p.Surplus(0) > p.LocalShare() {
			t.Errorf("%+v: keeps %v, pool of %v, gifts of %v", c, p.LocalShare(), p.capacity, p.Surplus(0))
		}
		if p.Exists() && math.Abs(p.LocalShare()*float64(c.doors)+p.capacity-c.burst) > 1e-9 {
			t.Errorf("%+v: parts are not the whole", c)
		}
		if c.bear && p.LocalShare() < c.largest {
			t.Errorf("%+v: a door can let in nothing by itself", c)
		}
	}
}
