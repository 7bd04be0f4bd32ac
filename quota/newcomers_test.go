package quota

import (
	"math"
	"math/rand/v2"
	"testing"
)

// seen is a plan of whose newcomers a share is over its rate, and of whose requests half are of 1
// unit worth 3 and half of 2 units worth 1.
func seen(over float64) *NewcomerStats {
	n, rng := &NewcomerStats{}, rand.New(rand.NewPCG(1, 1))
	for i := range 2000 {
		n.RecordRequest(float64(3-2*(i%2)), float64(1+i%2))
		use := 50.0
		if rng.Float64() < over {
			use = 300
		}
		n.RecordFirstUsage(use)
	}
	return n
}

func TestNothingIsHeldAgainstNewcomersBeforeAnyWasOverItsRate(t *testing.T) {
	for name, n := range map[string]*NewcomerStats{"unseen": {}, "inside": seen(0)} {
		for _, worth := range []float64{0, 0.1, 1, 3} {
			if net := n.NetGain(worth, 4, 2.2); worth > 0 && net != 1 {
				t.Errorf("%s: a request of worth %v gains %v of it, want all", name, worth, net)
			}
		}
	}
}

func TestWhatIsLargeOrWorthLittleGainsLeast(t *testing.T) {
	for _, over := range []float64{0.2, 0.5, 0.9} {
		n := seen(over)
		if got := n.OverQuotaRatio(); math.Abs(got-over) > 0.25 || got >= 1 {
			t.Errorf("of %v over the rate %v are told", over, got)
		}
		last := 0.0
		for _, units := range []float64{0, 0.5, 1, 2, 4, 1e6} {
			b := n.OverQuotaProbability(units)
			if b < last || b > n.OverQuotaRatio() {
				t.Errorf("%v units are beyond with a chance of %v, fewer with %v, of %v over", units, b, last, n.OverQuotaRatio())
			}
			last = b
		}
		if less, more := n.NetGain(1, 1, 2.2), n.NetGain(3, 1, 2.2); less >= more {
			t.Errorf("a unit of worth 1 gains %v of it, one of worth 3 %v", less, more)
		}
		if large, small := n.NetGain(3, 4, 2.2), n.NetGain(3, 1, 2.2); large >= small {
			t.Errorf("4 units gain %v of their worth, 1 unit %v", large, small)
		}
		if dear, cheap := n.NetGain(3, 1, 2.2), n.NetGain(3, 1, 0.9); dear >= cheap {
			t.Errorf("where what is beyond costs more a request gains %v, else %v", dear, cheap)
		}
		if free := n.NetGain(1, 4, 0); free != 1 {
			t.Errorf("where nothing is lost beyond the quota a request gains %v of its worth, want all", free)
		}
	}
}

// What was seen fades: a plan whose customers calm down is not held to what they did.
func TestNewcomersAreForgotten(t *testing.T) {
	n := seen(1)
	for range 4 * firstUsageSamples {
		n.RecordFirstUsage(20)
	}
	if n.OverQuotaRatio() > 0.05 {
		t.Errorf("%v count as over the rate after %d that were not", n.OverQuotaRatio(), 4*firstUsageSamples)
	}
	for range 8 * requestSamples {
		n.RecordRequest(9, 1)
	}
	if r := n.RelativeWeight(9); math.Abs(r-1) > 0.01 {
		t.Errorf("what all ask for is worth %v of the mean", r)
	}
}

func TestFiguresOfNewcomersStayNumbers(t *testing.T) {
	for _, n := range []*NewcomerStats{{}, seen(0), seen(1)} {
		for _, worth := range []float64{0, 1e-9, 1, 1e9} {
			for _, units := range []float64{0, 1e-9, 1, 1e9} {
				for _, cost := range []float64{0, 1, 1001} {
					if v := n.NetGain(worth, units, cost); math.IsNaN(v) || v > 1 {
						t.Errorf("worth %v, %v units, cost %v: %v", worth, units, cost, v)
					}
				}
			}
		}
	}
}
