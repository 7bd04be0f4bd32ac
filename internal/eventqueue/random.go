package eventqueue

import "math/rand/v2"

// WeightedPicker picks an index at random with probabilities proportional to weights.
type WeightedPicker struct{ cumulative []float64 }

// NewWeightedPicker returns a picker for the given weights. None may be negative, and at least one must
// be above 0.
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

// Pick returns the index for a random number u, from 0 to below 1.
func (p *WeightedPicker) Pick(u float64) int {
	for i, limit := range p.cumulative {
		if u < limit {
			return i
		}
	}
	return len(p.cumulative) - 1
}

// Mix is the output function of splitmix64, a bijection that maps similar numbers to dissimilar ones.
func Mix(z uint64) uint64 {
	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9
	z = (z ^ (z >> 27)) * 0x94d049bb133111eb
	return z ^ (z >> 31)
}

// SeedPair hashes a seed and a purpose into the two seeds of a PCG generator.
func SeedPair(seed uint64, purpose ...uint64) (a, b uint64) {
	const goldenRatio = 0x9e3779b97f4a7c15 // splitmix64's increment
	a, b = seed, goldenRatio
	for _, v := range purpose {
		a, b = Mix(a^v), Mix(b+v)
	}
	return a, b
}

// NewRand returns a generator that depends only on the seed and the purpose, so that removing one part of
// a simulation does not change the random numbers of the other parts.
func NewRand(seed uint64, purpose ...uint64) *rand.Rand {
	return rand.New(rand.NewPCG(SeedPair(seed, purpose...)))
}

// RandFloat64 returns a random number from 0 to below 1 that depends only on the seed and the purpose,
// without the cost of creating a generator.
func RandFloat64(seed uint64, purpose ...uint64) float64 {
	a, b := SeedPair(seed, purpose...)
	return float64(Mix(a^b)>>11) / (1 << 53)
}
