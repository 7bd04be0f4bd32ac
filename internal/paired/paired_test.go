package paired

import (
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"
)

// Of comparisons of two equal variants, at least 94 in 100 must be inconclusive, for any distribution.
// A variant that is worse by two standard deviations of the difference must almost always be called
// worse with 10 or more pairs, and almost never better.
func TestCompare_Verdicts(t *testing.T) {
	shapes := map[string]func(r *rand.Rand) float64{
		"normal":      (*rand.Rand).NormFloat64,
		"uniform":     func(r *rand.Rand) float64 { return r.Float64() },
		"skewed":      func(r *rand.Rand) float64 { return math.Exp(r.NormFloat64() / 2) },
		"many ties":   func(r *rand.Rand) float64 { return float64(r.IntN(4)) },
		"heavy tails": func(r *rand.Rand) float64 { return r.NormFloat64() * math.Exp(r.NormFloat64()) },
	}
	for name, draw := range shapes {
		for _, n := range []int{5, 10, 30} {
			t.Run(fmt.Sprintf("%s/%d", name, n), func(t *testing.T) {
				t.Parallel()
				checkVerdicts(t, n, draw)
			})
		}
	}
}

// checkVerdicts compares samples of n pairs, of equal variants and of variants with a difference.
func checkVerdicts(t *testing.T, n int, draw func(r *rand.Rand) float64) {
	rng := rand.New(rand.NewPCG(1, uint64(n)))
	const tries = 400
	falsePositives, wrong := 0, 0
	for i := range tries {
		a, b, c := make([]float64, n), make([]float64, n), make([]float64, n)
		for j := range a {
			a[j], b[j] = draw(rng), draw(rng)
			c[j] = a[j] + 1.5*(1+0.5*rng.NormFloat64())
		}
		if d, err := Compare(a, b, true, Options{Seed: uint64(i), Resamples: 400}); err != nil || d.Verdict == Better || d.Verdict == Worse {
			falsePositives++
		}
		if d, err := Compare(a, c, false, Options{Seed: uint64(i), Resamples: 400}); err != nil || n > 5 && d.Verdict != Worse || d.Verdict == Better {
			wrong++
		}
	}
	if falsePositives > tries*6/100 {
		t.Errorf("%d of %d comparisons of equal variants failed or got a verdict, want at most %d",
			falsePositives, tries, tries*6/100)
	}
	if wrong > tries*2/100 {
		t.Errorf("%d of %d comparisons with a worse variant failed or got a wrong verdict, want at most %d",
			wrong, tries, tries*2/100)
	}
}

func TestCompare_EdgeCases(t *testing.T) {
	nan, inf := math.NaN(), math.Inf(1)
	for _, c := range []struct {
		name string
		a, b []float64
		err  error
		want Verdict
		more func(int) bool
	}{
		{"no pairs", nil, nil, ErrEmpty, 0, nil},
		{"different lengths", []float64{1}, []float64{1, 2}, ErrUnpaired, 0, nil},
		{"NaN", []float64{1, nan}, []float64{1, 2}, ErrNotFinite, 0, nil},
		{"infinity", []float64{1, 3}, []float64{1, inf}, ErrNotFinite, 0, nil},
		{"one pair", []float64{1}, []float64{2}, nil, Inconclusive, func(n int) bool { return n == 4 }},
		{"too few pairs", []float64{1, 1, 1}, []float64{2, 2.1, 2}, nil, Inconclusive, func(n int) bool { return n == 2 }},
		{"equal pairs", []float64{1, 2, 3, 4, 5}, []float64{1, 2, 3, 4, 5}, nil, Same, func(n int) bool { return n == 0 }},
		{"the same difference in all pairs", []float64{1, 2, 3, 4, 5}, []float64{2, 3, 4, 5, 6}, nil, Better,
			func(n int) bool { return n == 0 }},
		{"no difference in the mean", []float64{0, 0, 0, 0, 0, 0}, []float64{1, -1, 1, -1, 1, -1}, nil, Inconclusive,
			func(n int) bool { return n == -1 }},
		{"a small difference", []float64{0, 0, 0, 0, 0, 0}, []float64{1, -1, 1.5, -1, 1.5, -1}, nil, Inconclusive,
			func(n int) bool { return n > 100 && n < 1000 }},
	} {
		d, err := Compare(c.a, c.b, true, Options{})
		if !errors.Is(err, c.err) || err == nil && (d.Verdict != c.want || !c.more(d.MorePairs)) {
			t.Errorf("%s: got %+v with an unexpected verdict or MorePairs, or error %v; want verdict %q, error %v",
				c.name, d, err, c.want, c.err)
		}
	}
	if d, _ := Compare([]float64{1, 2, 3, 4, 5}, []float64{2, 3, 4, 5, 6.1}, true, Options{MinDifference: 2}); d.Verdict != Inconclusive {
		t.Errorf("difference below MinDifference: got %+v, want verdict %q", d, Inconclusive)
	}
}

// With the variants swapped and the lower value being better, the mean difference has the opposite
// sign and the same size.
func TestCompare_Symmetry(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 12).Draw(t, "n")
		a := rapid.SliceOfN(rapid.Float64Range(-10, 10), n, n).Draw(t, "a")
		b := rapid.SliceOfN(rapid.Float64Range(-10, 10), n, n).Draw(t, "b")
		d, err := Compare(a, b, true, Options{Resamples: 200})
		e, err2 := Compare(b, a, false, Options{Resamples: 200})
		if err != nil || err2 != nil || d.Mean != -e.Mean || !(d.Low <= d.Mean && d.Mean <= d.High) || d.Pairs != e.Pairs || d.MeanA != e.MeanB {
			t.Fatalf("a and b: %+v, error %v; b and a: %+v, error %v", d, err, e, err2)
		}
	})
}
