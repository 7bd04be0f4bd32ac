package quota

import (
	"math"
	"math/rand/v2"
	"testing"
)

// newcomerStats are those of a plan of whose newcomers a share is over its rate. Half of its
// requests cost 1 at a weight of 3 a unit, half cost 2 at a weight of 1.
func newcomerStats(over float64) *NewcomerStats {
	n, rng := &NewcomerStats{}, rand.New(rand.NewPCG(1, 1))
	for i := range 2000 {
		n.RecordRequest(float64(3-2*(i%2)), float64(1+i%2))
		usage := 50.0
		if rng.Float64() < over {
			usage = 300
		}
		n.RecordFirstUsage(usage)
	}
	return n
}

// Before any newcomer was over its rate, nothing is held against newcomers: a request gains all of
// its weight.
func TestNetGain_FullBeforeAnyNewcomerIsOverQuota(t *testing.T) {
	for name, n := range map[string]*NewcomerStats{"unseen": {}, "inside": newcomerStats(0)} {
		for _, weight := range []float64{0, 0.1, 1, 3} {
			if net := n.NetGain(weight, 4, 2.2); weight > 0 && net != 1 {
				t.Errorf("%s: a request of weight %v gains %v of it, want all", name, weight, net)
			}
		}
	}
}

// Where newcomers are over their rates, a request gains less the more it costs and the less it
// weighs, and all where nothing is lost beyond the quota.
func TestNetGain_LeastForHighCostOrLowWeight(t *testing.T) {
	for _, over := range []float64{0.2, 0.5, 0.9} {
		n := newcomerStats(over)
		if got := n.OverQuotaRatio(); math.Abs(got-over) > 0.25 || got >= 1 {
			t.Errorf("with a share of %v over the rate the ratio is %v", over, got)
		}
		last := 0.0
		for _, cost := range []float64{0, 0.5, 1, 2, 4, 1e6} {
			b := n.OverQuotaProbability(cost)
			if b < last || b > n.OverQuotaRatio() {
				t.Errorf("a cost of %v is beyond the quota with a chance of %v, a lower one with %v, of %v over", cost, b, last, n.OverQuotaRatio())
			}
			last = b
		}
		if less, more := n.NetGain(1, 1, 2.2), n.NetGain(3, 1, 2.2); less >= more {
			t.Errorf("a unit of weight 1 gains %v of it, one of weight 3 %v", less, more)
		}
		if large, small := n.NetGain(3, 4, 2.2), n.NetGain(3, 1, 2.2); large >= small {
			t.Errorf("a cost of 4 gains %v of its weight, a cost of 1 %v", large, small)
		}
		if dear, cheap := n.NetGain(3, 1, 2.2), n.NetGain(3, 1, 0.9); dear >= cheap {
			t.Errorf("where what is beyond costs more a request gains %v, else %v", dear, cheap)
		}
		if free := n.NetGain(1, 4, 0); free != 1 {
			t.Errorf("where nothing is lost beyond the quota a request gains %v of its weight, want all", free)
		}
	}
}

// A plan's customers calm down. What they did before must fade.
func TestNewcomerStats_Fade(t *testing.T) {
	n := newcomerStats(1)
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
		t.Errorf("what all ask for has %v times the mean weight", r)
	}
}

// Extreme figures give finite gains, and none over 1.
func TestNetGain_StaysFinite(t *testing.T) {
	for _, n := range []*NewcomerStats{{}, newcomerStats(0), newcomerStats(1)} {
		for _, weight := range []float64{0, 1e-9, 1, 1e9} {
			for _, cost := range []float64{0, 1e-9, 1, 1e9} {
				for _, loss := range []float64{0, 1, 1001} {
					if v := n.NetGain(weight, cost, loss); math.IsNaN(v) || v > 1 {
						t.Errorf("weight %v, cost %v, loss %v: %v", weight, cost, loss, v)
					}
				}
			}
		}
	}
}
