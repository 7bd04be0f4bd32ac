package paired

import (
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"
)

// Of two ways that are the same, 94 in 100 comparisons or more must say that they can't tell,
// whatever the chance looks like. A true difference of one standard deviation is told by 20 pairs
// nearly always, the right way round.
func TestCompare_Verdicts(t *testing.T) {
	shapes := map[string]func(r *rand.Rand) float64{
		"normal":      (*rand.Rand).NormFloat64,
		"uniform":     func(r *rand.Rand) float64 { return r.Float64() },
		"leaning":     func(r *rand.Rand) float64 { return math.Exp(r.NormFloat64() / 2) },
		"many ties":   func(r *rand.Rand) float64 { return float64(r.IntN(4)) },
		"seldom much": func(r *rand.Rand) float64 { return r.NormFloat64() * math.Exp(r.NormFloat64()) },
	}
	for name, draw := range shapes {
		for _, n := range []int{5, 10, 30} {
			t.Run(fmt.Sprintf("%s/%d", name, n), func(t *testing.T) {
				t.Parallel()
				verdicts(t, n, draw)
			})
		}
	}
}

func verdicts(t *testing.T, n int, draw func(r *rand.Rand) float64) {
	rng := rand.New(rand.NewPCG(1, uint64(n)))
	const tries = 400
	told, wrong := 0, 0
	for i := range tries {
		a, b, c := make([]float64, n), make([]float64, n), make([]float64, n)
		for j := range a {
			a[j], b[j] = draw(rng), draw(rng)
			c[j] = a[j] + 1.5*(1+0.5*rng.NormFloat64())
		}
		if d, err := Compare(a, b, true, Options{Seed: uint64(i), Resamples: 400}); err != nil || d.Verdict == Better || d.Verdict == Worse {
			told++
		}
		if d, err := Compare(a, c, false, Options{Seed: uint64(i), Resamples: 400}); err != nil || n > 5 && d.Verdict != Worse || d.Verdict == Better {
			wrong++
		}
	}
	if told > tries*6/100 {
		t.Errorf("of %d comparisons of the same %d were told", tries, told)
	}
	if wrong > tries*2/100 {
		t.Errorf("of %d comparisons of what is worse %d said otherwise", tries, wrong)
	}
}

func TestCompare_Edges(t *testing.T) {
	nan, inf := math.NaN(), math.Inf(1)
	for _, c := range []struct {
		name string
		a, b []float64
		err  error
		want Verdict
		more func(int) bool
	}{
		{"none", nil, nil, ErrEmpty, 0, nil},
		{"not paired", []float64{1}, []float64{1, 2}, ErrUnpaired, 0, nil},
		{"no number", []float64{1, nan}, []float64{1, 2}, ErrNaN, 0, nil},
		{"no end", []float64{1, 3}, []float64{1, inf}, ErrNaN, 0, nil},
		{"one", []float64{1}, []float64{2}, nil, Inconclusive, func(n int) bool { return n == 4 }},
		{"too few", []float64{1, 1, 1}, []float64{2, 2.1, 2}, nil, Inconclusive, func(n int) bool { return n == 2 }},
		{"ties", []float64{1, 2, 3, 4, 5}, []float64{1, 2, 3, 4, 5}, nil, Same, func(n int) bool { return n == 0 }},
		{"the same difference", []float64{1, 2, 3, 4, 5}, []float64{2, 3, 4, 5, 6}, nil, Better, func(n int) bool { return n == 0 }},
		{"no difference in the mean", []float64{0, 0, 0, 0, 0, 0}, []float64{1, -1, 1, -1, 1, -1}, nil, Inconclusive, func(n int) bool { return n == -1 }},
		{"a little", []float64{0, 0, 0, 0, 0, 0}, []float64{1, -1, 1.5, -1, 1.5, -1}, nil, Inconclusive, func(n int) bool { return n > 100 && n < 1000 }},
	} {
		d, err := Compare(c.a, c.b, true, Options{})
		if !errors.Is(err, c.err) || err == nil && (d.Verdict != c.want || !c.more(d.MorePairs)) {
			t.Errorf("%s: %+v, %v", c.name, d, err)
		}
	}
	if d, _ := Compare([]float64{1, 2, 3, 4, 5}, []float64{2, 3, 4, 5, 6.1}, true, Options{MinDifference: 2}); d.Verdict != Inconclusive {
		t.Errorf("below the floor: %+v", d)
	}
}

// Turned round, a comparison says the opposite of the same size; and scaled, the same.
func TestCompare_Symmetry(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 12).Draw(t, "n")
		a := rapid.SliceOfN(rapid.Float64Range(-10, 10), n, n).Draw(t, "a")
		b := rapid.SliceOfN(rapid.Float64Range(-10, 10), n, n).Draw(t, "b")
		d, err := Compare(a, b, true, Options{Resamples: 200})
		e, err2 := Compare(b, a, false, Options{Resamples: 200})
		if err != nil || err2 != nil || d.Mean != -e.Mean || !(d.Low <= d.Mean && d.Mean <= d.High) || d.Pairs != e.Pairs || d.MeanA != e.MeanB {
			t.Fatalf("%+v %+v %v %v", d, e, err, err2)
		}
	})
}
