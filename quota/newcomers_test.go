package quota

import (
	"math"
	"math/rand/v2"
	"testing"
)

// newcomerStats returns the statistics of a plan with a given fraction of newcomers over its rate. Half
// of the requests cost 1 and have a priority weight of 3; the others cost 2 and have a weight of 1.
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

// As long as no newcomer was over its rate, a newcomer's request gains its full weight.
func TestNetGain_FullBeforeAnyNewcomerIsOverQuota(t *testing.T) {
	for name, n := range map[string]*NewcomerStats{"no records": {}, "all within the rate": newcomerStats(0)} {
		for _, weight := range []float64{0, 0.1, 1, 3} {
			if net := n.NetGain(weight, 4, 2.2); weight > 0 && net != 1 {
				t.Errorf("%s: NetGain for weight %v is %v, want 1", name, weight, net)
			}
		}
	}
}

// If some newcomers are over their rates, a request gains less the higher its cost, the lower its weight
// and the higher the loss of a request over the quota. It gains its full weight if there is no such loss.
func TestNetGain_LeastForHighCostOrLowWeight(t *testing.T) {
	for _, over := range []float64{0.2, 0.5, 0.9} {
		n := newcomerStats(over)
		if got := n.OverQuotaRatio(); math.Abs(got-over) > 0.25 || got >= 1 {
			t.Errorf("OverQuotaRatio is %v, want about %v and below 1", got, over)
		}
		last := 0.0
		for _, cost := range []float64{0, 0.5, 1, 2, 4, 1e6} {
			p := n.OverQuotaProbability(cost)
			if p < last || p > n.OverQuotaRatio() {
				t.Errorf("OverQuotaProbability(%v) is %v, want from %v, that of a lower cost, to %v",
					cost, p, last, n.OverQuotaRatio())
			}
			last = p
		}
		if low, high := n.NetGain(1, 1, 2.2), n.NetGain(3, 1, 2.2); low >= high {
			t.Errorf("NetGain for weight 1 is %v, want less than %v, that for weight 3", low, high)
		}
		if large, small := n.NetGain(3, 4, 2.2), n.NetGain(3, 1, 2.2); large >= small {
			t.Errorf("NetGain for cost 4 is %v, want less than %v, that for cost 1", large, small)
		}
		if highLoss, lowLoss := n.NetGain(3, 1, 2.2), n.NetGain(3, 1, 0.9); highLoss >= lowLoss {
			t.Errorf("NetGain for a loss of 2.2 is %v, want less than %v, that for a loss of 0.9", highLoss, lowLoss)
		}
		if noLoss := n.NetGain(1, 4, 0); noLoss != 1 {
			t.Errorf("NetGain without a loss over the quota is %v, want 1", noLoss)
		}
	}
}

// The usage and the weights of a plan's customers change. Older records must lose their influence.
func TestNewcomerStats_OldRecordsFade(t *testing.T) {
	n := newcomerStats(1)
	for range 4 * firstUsageSamples {
		n.RecordFirstUsage(20)
	}
	if n.OverQuotaRatio() > 0.05 {
		t.Errorf("OverQuotaRatio is %v after %d reports within the rate, want at most 0.05",
			n.OverQuotaRatio(), 4*firstUsageSamples)
	}
	for range 8 * requestSamples {
		n.RecordRequest(9, 1)
	}
	if r := n.RelativeWeight(9); math.Abs(r-1) > 0.01 {
		t.Errorf("RelativeWeight of the weight of all recent requests is %v, want about 1", r)
	}
}

// Extreme inputs must give gains that are not NaN and not above 1.
func TestNetGain_ExtremeInputs(t *testing.T) {
	for _, n := range []*NewcomerStats{{}, newcomerStats(0), newcomerStats(1)} {
		for _, weight := range []float64{0, 1e-9, 1, 1e9} {
			for _, cost := range []float64{0, 1e-9, 1, 1e9} {
				for _, loss := range []float64{0, 1, 1001} {
					if v := n.NetGain(weight, cost, loss); math.IsNaN(v) || v > 1 {
						t.Errorf("NetGain for weight %v, cost %v, loss %v is %v, want at most 1", weight, cost, loss, v)
					}
				}
			}
		}
	}
}
