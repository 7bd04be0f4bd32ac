package eventqueue

import "math/rand/v2"

// WeightedPicker picks an index by weight.
type WeightedPicker struct{ cumulative []float64 }

// NewWeightedPicker makes a picker among weights of 0 or more, of which one is above 0.
func NewWeightedPicker(weights ...float64) WeightedPicker {
	p, sum := WeightedPicker{make([]float64, len(weights))}, 0.0
	for i, weight := range weights {
		sum += weight
		p.cumulative[i] = sum
	}
	for i := range p.cumulative {
		p.cumulative[i] /= sum
	}
	return p
}

// Pick gives the index for u, from 0 to below 1.
func (p *WeightedPicker) Pick(u float64) int {
	for i, limit := range p.cumulative {
		if u < limit {
			return i
		}
	}
	return len(p.cumulative) - 1
}

// Mix is the finish of splitmix64: a bijection that spreads similar numbers.
func Mix(z uint64) uint64 {
	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9
	z = (z ^ (z >> 27)) * 0x94d049bb133111eb
	return z ^ (z >> 31)
}

// SeedPair folds a seed and a purpose into the two seeds of a generator.
func SeedPair(seed uint64, purpose ...uint64) (a, b uint64) {
	const goldenRatio = 0x9e3779b97f4a7c15 // splitmix64's increment
	a, b = seed, goldenRatio
	for _, v := range purpose {
		a, b = Mix(a^v), Mix(b+v)
	}
	return a, b
}

// NewRand gives a generator that depends on the seed and the purpose alone: what is taken out of a
// world leaves all other draws as they were.
func NewRand(seed uint64, purpose ...uint64) *rand.Rand {
	return rand.New(rand.NewPCG(SeedPair(seed, purpose...)))
}

// RandFloat64 gives one number from 0 to below 1 that depends on the seed and the purpose alone,
// without a generator.
func RandFloat64(seed uint64, purpose ...uint64) float64 {
	a, b := SeedPair(seed, purpose...)
	return float64(Mix(a^b)>>11) / (1 << 53)
}
