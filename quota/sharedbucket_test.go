package quota

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// hardLimitAccount is the token bucket of a hard limit as the platform keeps it, from which the costs of
// all gateways' requests are subtracted.
type hardLimitAccount struct {
	tokens float64
	at     time.Duration
}

func (a *hardLimitAccount) take(now time.Duration, rate, burst, cost float64) float64 {
	a.tokens = min(burst, a.tokens+rate*(now-a.at).Seconds()) - cost
	a.at = now
	return a.tokens
}

// Gateways share a hard limit by a bucket on a counter that loses calls, results and keys at random. Together they
// must never forward more than the hard limit, however the requests are spread over them.
func TestGatewaysNeverExceedHardLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		gateways := rapid.SampledFrom([]int{2, 3, 17, 80}).Draw(t, "gateways")
		faults := rapid.Float64Range(0, 0.5).Draw(t, "faults")
		hot := rapid.Float64Range(0, 1).Draw(t, "hot")
		rate := rapid.Float64Range(1, 50).Draw(t, "rate")
		burst := rapid.Float64Range(8, 200).Draw(t, "burst")
		const maxCost = 3.0
		type gatewayShare struct {
			tokens float64
			at     time.Duration
			bucket SharedBucket
		}
		shares := make([]gatewayShare, gateways)
		for i := range shares {
			shares[i].bucket = NewSharedBucket(7, "flagship", burst, gateways, maxCost)
		}
		account := hardLimitAccount{tokens: burst}
		total, now := 0.0, time.Duration(0)
		createdTokens := 0.0 // put back after the key was lost
		// call calls the counter. It returns the total, and whether a result arrived.
		call := func(amount, putBack float64) (float64, bool) {
			if rng.Float64() < faults/4 {
				total = 0 // the key is lost
				createdTokens += putBack
			}
			if rng.Float64() < faults/2 {
				return 0, false // rejected
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
			gateway := &shares[i]
			limit := gateway.bucket.LocalShare()
			gateway.tokens = min(limit, gateway.tokens+rate/float64(gateways)*(now-gateway.at).Seconds())
			gateway.at = now
			if surplus := gateway.bucket.Surplus(now); surplus > 0 && gateway.tokens >= limit && rng.Float64() < 0.3 {
				gateway.tokens -= surplus
				if newTotal, ok := call(surplus, 0); ok {
					if correction := gateway.bucket.Deposited(now, newTotal, rng.Float64()); correction != 0 {
						call(correction, 0)
					}
				}
				continue
			}
			cost := 1 + rng.Float64()*(maxCost-1)
			if gateway.tokens >= cost {
				gateway.tokens -= cost
			} else {
				newTotal, ok := call(-cost, 0)
				if !ok {
					continue
				}
				granted, correction := gateway.bucket.Withdrawn(cost, newTotal)
				if correction != 0 {
					call(correction, max(0, correction))
				}
				if !granted {
					continue
				}
			}
			if left := account.take(now, rate, burst, cost); left < -0.01-createdTokens {
				t.Fatalf("at %v the hard limit is overdrawn: %.2f of %.0f tokens, with %.2f put back after losses",
					now, left, burst, createdTokens)
			}
		}
	})
}

// Withdrawn must tell from the total after a withdrawal whether the bucket held enough tokens.
func TestWithdrawn(t *testing.T) {
	for _, c := range []struct {
		name        string
		cost, total float64
		granted     bool
		correction  float64
	}{
		{"enough tokens", 3, 10, true, 0},
		{"exactly enough tokens", 3, 0, true, 0},
		{"within the rounding error", 3, -0.0004, true, 0},
		{"too few tokens", 3, -1, false, 3},
		{"new key", 3, -3, false, 3},
		{"full bucket", 3, 47, true, 0},
		{"over its capacity by less than the cost", 3, 49, false, -2 + 3},
		{"over its capacity by more than the cost", 3, 60, false, -10},
	} {
		bucket := NewSharedBucket(1, "x", 100, 10, 3)
		granted, correction := bucket.Withdrawn(c.cost, c.total)
		if granted != c.granted || math.Abs(correction-c.correction) > 1e-9 {
			t.Errorf("%s: Withdrawn returns %v, %v, want %v, %v", c.name, granted, correction, c.granted, c.correction)
		}
	}
}

// Deposits to a full bucket back off; a bucket that is no longer full is deposited to within a second.
func TestSurplus_BacksOffWhileFull(t *testing.T) {
	bucket, now := NewSharedBucket(1, "x", 100, 10, 3), time.Duration(0)
	var at []time.Duration
	for now < 60*time.Second {
		if bucket.Surplus(now) > 0 {
			at = append(at, now)
			bucket.Deposited(now, 50, 0.5)
		}
		now += 100 * time.Millisecond
	}
	if n := len(at); n < 8 || n > 14 {
		t.Errorf("%d deposits to a full bucket in a minute, want 8 to 14: %v", n, at)
	}
	bucket.Deposited(now, 10, 0.5)
	if bucket.Surplus(now+time.Second) == 0 {
		t.Error("Surplus is 0 a second after the bucket was not full, want more")
	}
	if correction := bucket.Deposited(now, 52, 0); math.Abs(correction+2) > 1e-9 {
		t.Errorf("correction of a deposit that exceeds the capacity by 2 is %v, want -2", correction)
	}
	none := SharedBucket{}
	if none.Exists() || none.Surplus(now) != 0 {
		t.Errorf("zero value: Exists is %v and Surplus is %v, want false and 0", none.Exists(), none.Surplus(now))
	}
}

// A counter that is down is probed by one call at a time, with exponential backoff. A counter that rejects calls is
// called for fewer customers.
func TestCounterLink(t *testing.T) {
	link, now, bucket := NewCounterLink(), time.Duration(0), NewSharedBucket(1, "x", 100, 10, 3)
	calls := 0
	for ; now < 60*time.Second; now += 50 * time.Millisecond {
		if link.Allow(now, &bucket) {
			link.CallStarted()
			calls++
			if link.failures >= downThreshold && link.Allow(now, &bucket) {
				t.Fatal("a second probe is allowed while one is in flight")
			}
			link.CallFailed(now, 0.5)
		}
	}
	if calls < 15 || calls > 30 {
		t.Errorf("%d calls in a minute to a counter that is down, want 15 to 30", calls)
	}
	link.CallStarted()
	link.CallSucceeded()
	if !link.Allow(now, &bucket) {
		t.Error("Allow is false after a successful call, want true")
	}
	link = NewCounterLink()
	for range 20 {
		link.CallStarted()
		link.CallRejected(now, 0.5)
		link.CallStarted()
		link.CallSucceeded()
	}
	allowed := 0
	for c := range 1000 {
		other := NewSharedBucket(uint64(c), "x", 100, 10, 3)
		if link.Allow(now, &other) {
			allowed++
		}
	}
	if allowed < 2 || allowed > 100 {
		t.Errorf("%d of 1,000 customers are allowed after 20 rejected calls, want 2 to 100", allowed)
	}
	link = NewCounterLink()
	for range maxCallsInFlight {
		link.CallStarted()
	}
	if link.Allow(now, &bucket) {
		t.Errorf("Allow is true with %d calls in flight, want false", maxCallsInFlight)
	}
}

// The gateways' local shares and the capacity of the shared bucket must add up to the hard limit's burst. A local
// share must cover the largest request if an even share of the burst does.
func TestNewSharedBucket_SharesAddUpToBurst(t *testing.T) {
	for _, c := range []struct {
		burst           float64
		gateways        int
		largest         float64
		share, capacity float64
		exists, covers  bool
	}{
		{100, 10, 3, 5, 50, true, true},
		{60, 12, 3, 3, 24, true, true},  // half a share is 2.5
		{60, 20, 3, 3, 0, false, true},  // the local shares take the whole burst
		{60, 30, 3, 1, 30, true, false}, // a whole share is 2
		{68, 200, 3, 0.17, 34, true, false},
		{5, 2, 3, 1.25, 2.5, false, false}, // the bucket could not hold the cost of one request
	} {
		bucket := NewSharedBucket(1, "x", c.burst, c.gateways, c.largest)
		if !c.exists {
			c.share = c.burst / float64(c.gateways)
		}
		wrongCapacity := bucket.Exists() && math.Abs(bucket.capacity-c.capacity) > 1e-9
		if bucket.Exists() != c.exists || bucket.LocalShare() != c.share || wrongCapacity ||
			bucket.Surplus(0) > bucket.LocalShare() {
			t.Errorf("%+v: exists %v, local share %v, capacity %v, surplus %v",
				c, bucket.Exists(), bucket.LocalShare(), bucket.capacity, bucket.Surplus(0))
		}
		if bucket.Exists() && math.Abs(bucket.LocalShare()*float64(c.gateways)+bucket.capacity-c.burst) > 1e-9 {
			t.Errorf("%+v: local share %v and capacity %v do not add up to the burst", c, bucket.LocalShare(), bucket.capacity)
		}
		if c.covers && bucket.LocalShare() < c.largest {
			t.Errorf("%+v: local share %v does not cover the largest request", c, bucket.LocalShare())
		}
	}
}
