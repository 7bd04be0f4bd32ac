package quota

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// hardLimitAccount is a hard limit's token bucket as the platform keeps it: what all gateways forward
// is taken off it.
type hardLimitAccount struct {
	left float64
	at   time.Duration
}

func (a *hardLimitAccount) take(now time.Duration, rate, burst, cost float64) float64 {
	a.left = min(burst, a.left+rate*(now-a.at).Seconds()) - cost
	a.at = now
	return a.left
}

// Gateways with halves of their shares and a shared bucket, on a counter that loses calls, results and
// keys at any moment, never forward more than the hard limit together, wherever requests come.
func TestGatewaysNeverExceedHardLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		gateways := rapid.SampledFrom([]int{2, 3, 17, 80}).Draw(t, "gateways")
		faults := rapid.Float64Range(0, 0.5).Draw(t, "faults")
		hot := rapid.Float64Range(0, 1).Draw(t, "hot")
		rate := rapid.Float64Range(1, 50).Draw(t, "rate")
		burst := rapid.Float64Range(8, 200).Draw(t, "burst")
		const most = 3.0
		type share struct {
			tokens float64
			at     time.Duration
			bucket SharedBucket
		}
		all := make([]share, gateways)
		for i := range all {
			all[i].bucket = NewSharedBucket(7, "flagship", burst, gateways, most)
		}
		truth := hardLimitAccount{left: burst}
		total, now := 0.0, time.Duration(0)
		crossed := 0.0 // put back after the key was lost
		// call is one call. It returns the total, and whether the result came.
		call := func(amount, putBack float64) (float64, bool) {
			if rng.Float64() < faults/4 {
				total = 0 // the key is forgotten
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
				i = rng.IntN(gateways)
			}
			d := &all[i]
			limit := d.bucket.LocalShare()
			d.tokens = min(limit, d.tokens+rate/float64(gateways)*(now-d.at).Seconds())
			d.at = now
			if surplus := d.bucket.Surplus(now); surplus > 0 && d.tokens >= limit && rng.Float64() < 0.3 {
				d.tokens -= surplus
				if sum, ok := call(surplus, 0); ok {
					if back := d.bucket.Deposited(now, sum, rng.Float64()); back != 0 {
						call(back, 0)
					}
				}
				continue
			}
			cost := 1 + rng.Float64()*(most-1)
			if d.tokens >= cost {
				d.tokens -= cost
			} else {
				sum, ok := call(-cost, 0)
				if !ok {
					continue
				}
				got, back := d.bucket.Withdrawn(cost, sum)
				if back != 0 {
					call(back, max(0, back))
				}
				if !got {
					continue
				}
			}
			if left := truth.take(now, rate, burst, cost); left < -0.01-crossed {
				t.Fatalf("at %v the hard limit's tokens are at %.2f, of %.0f, with %.2f put back after losses", now, left, burst, crossed)
			}
		}
	})
}

// What a total after a withdrawal says of the tokens that were asked for.
func TestWithdrawn(t *testing.T) {
	for _, c := range []struct {
		name        string
		cost, total float64
		got         bool
		back        float64
	}{
		{"it was there", 3, 10, true, 0},
		{"just so", 3, 0, true, 0},
		{"by seven digits", 3, -0.0004, true, 0},
		{"it was not", 3, -1, false, 3},
		{"a key that has begun anew", 3, -3, false, 3},
		{"a full bucket", 3, 47, true, 0},
		{"over its capacity by a deposit", 3, 49, false, -2 + 3},
		{"over its capacity by more", 3, 60, false, -10},
	} {
		p := NewSharedBucket(1, "x", 100, 10, 3)
		if got, back := p.Withdrawn(c.cost, c.total); got != c.got || math.Abs(back-c.back) > 1e-9 {
			t.Errorf("%s: %v, back %v; want %v, %v", c.name, got, back, c.got, c.back)
		}
	}
}

// A full bucket is deposited to ever more seldom; one that was emptied soon again.
func TestSurplus_IsPaced(t *testing.T) {
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
		t.Errorf("%d deposits in a minute to a full bucket: %v", n, at)
	}
	p.Deposited(now, 10, 0.5)
	if p.Surplus(now+time.Second) == 0 {
		t.Error("no surplus a second after the bucket was seen to be low")
	}
	if back := p.Deposited(now, 52, 0); math.Abs(back+2) > 1e-9 {
		t.Errorf("a deposit that is 2 too many takes back %v", back)
	}
	none := SharedBucket{}
	if none.Exists() || none.Surplus(now) != 0 {
		t.Error("the zero value is a bucket")
	}
}

// A counter that is gone is called by one call at a time, and ever more seldom; one that is crowded is
// called for fewer customers.
func TestCounterLink(t *testing.T) {
	l, now, p := NewCounterLink(), time.Duration(0), NewSharedBucket(1, "x", 100, 10, 3)
	asked := 0
	for ; now < 60*time.Second; now += 50 * time.Millisecond {
		if l.Allow(now, &p) {
			l.CallStarted()
			asked++
			if l.failures >= downThreshold && l.Allow(now, &p) {
				t.Fatal("two probes at once")
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
		t.Error("a success does not bring it back")
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
		t.Errorf("%d of 1,000 customers are allowed after 20 rejected calls", may)
	}
	l = NewCounterLink()
	for range maxCallsInFlight {
		l.CallStarted()
	}
	if l.Allow(now, &p) {
		t.Error("more calls in flight than the bound")
	}
}

// What gateways hold and what the shared bucket may hold are the hard limit's burst together, at any
// size. A gateway holds what its largest request takes where a share can bear that.
func TestNewSharedBucket_SharesAreTheWhole(t *testing.T) {
	for _, c := range []struct {
		burst           float64
		gateways        int
		largest         float64
		share, capacity float64
		lends, bears    bool
	}{
		{100, 10, 3, 5, 50, true, true},
		{60, 12, 3, 3, 24, true, true},  // a half share is 2.5
		{60, 20, 3, 3, 0, false, true},  // all of it
		{60, 30, 3, 1, 30, true, false}, // a whole share is 2
		{68, 200, 3, 0.17, 34, true, false},
		{5, 2, 3, 1.25, 2.5, false, false}, // the bucket could not lend one
	} {
		p := NewSharedBucket(1, "x", c.burst, c.gateways, c.largest)
		if !c.lends {
			c.share = c.burst / float64(c.gateways)
		}
		wrongCapacity := p.Exists() && math.Abs(p.capacity-c.capacity) > 1e-9
		if p.Exists() != c.lends || p.LocalShare() != c.share || wrongCapacity || p.Surplus(0) > p.LocalShare() {
			t.Errorf("%+v: holds %v, bucket of %v, deposits of %v", c, p.LocalShare(), p.capacity, p.Surplus(0))
		}
		if p.Exists() && math.Abs(p.LocalShare()*float64(c.gateways)+p.capacity-c.burst) > 1e-9 {
			t.Errorf("%+v: shares are not the whole", c)
		}
		if c.bears && p.LocalShare() < c.largest {
			t.Errorf("%+v: a gateway can forward nothing by itself", c)
		}
	}
}
