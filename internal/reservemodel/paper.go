package reservemodel

import "math"

// Case is one of the paper's loads, with the best splits and their payoffs according to its Figs. 5 and 6.
type Case struct {
	Name                        string
	N                           int
	Load                        Load
	PaperWithoutSubRating       Split
	PaperWithoutSubRatingPayoff float64
	PaperSubRated               Split
	PaperSubRatedPayoff         float64
}

// Cases returns the paper's cases: nine loads for 16 slots, and the same loads with twice the rates for 32 slots.
func Cases() (cases []Case) {
	figures := map[int][]struct {
		withoutSubRating       Split
		withoutSubRatingPayoff float64
		subRated               Split
		subRatedPayoff         float64
	}{
		16: {
			{Split{2, 14, 0}, 14.25, Split{0, 16, 0}, 16.07},
			{Split{9, 7, 0}, 13.59, Split{0, 16, 0}, 18.14},
			{Split{16, 0, 0}, 11.32, Split{0, 16, 0}, 14.34},
			{Split{5, 11, 0}, 27.77, Split{8, 8, 0}, 34.32},
			{Split{13, 3, 0}, 40.26, Split{8, 8, 0}, 49.64},
			{Split{16, 0, 0}, 49.82, Split{10, 6, 0}, 50.68},
			{Split{7, 9, 0}, 51.28, Split{0, 16, 0}, 56.01},
			{Split{15, 1, 0}, 87.67, Split{0, 16, 0}, 92.90},
			{Split{16, 0, 0}, 113.97, Split{16, 0, 0}, 113.97},
		},
		32: {
			{Split{5, 27, 0}, 32.41, Split{0, 32, 0}, 34.67},
			{Split{19, 13, 0}, 32.00, Split{0, 32, 0}, 40.26},
			{Split{31, 1, 10}, 28.46, Split{0, 32, 0}, 34.17},
			{Split{10, 22, 0}, 60.58, Split{15, 13, 4}, 73.46},
			{Split{24, 8, 0}, 87.42, Split{17, 15, 0}, 111.14},
			{Split{32, 0, 0}, 109.78, Split{24, 8, 0}, 112.34},
			{Split{12, 20, 0}, 108.69, Split{0, 32, 0}, 114.67},
			{Split{27, 5, 0}, 183.86, Split{0, 32, 0}, 197.30},
			{Split{32, 0, 0}, 245.34, Split{32, 0, 0}, 245.34},
		},
	}
	for _, n := range []int{16, 32} {
		for i, figure := range figures[n] {
			scale := float64(n / 16)
			load := Load{
				LambdaH: []float64{5, 10, 15}[i%3] * scale, LambdaL: 10 * scale, Mu: 1,
				VH: []float64{2, 5, 10}[i/3], VL: 1, QH: 2, QL: 1,
			}
			cases = append(cases, Case{
				Name: string(rune('A' + i)), N: n, Load: load,
				PaperWithoutSubRating:       figure.withoutSubRating,
				PaperWithoutSubRatingPayoff: figure.withoutSubRatingPayoff,
				PaperSubRated:               figure.subRated,
				PaperSubRatedPayoff:         figure.subRatedPayoff,
			})
		}
	}
	return cases
}

// SearchResult is the result of an exhaustive search over all splits of a case.
type SearchResult struct {
	WithoutSubRating, SubRated             Split // the best splits, without and with sub-rating
	WithoutSubRatingPayoff, SubRatedPayoff float64
	GainMean, GainBest                     float64    // relative gain of sub-rating at the same split, over all splits
	Chosen                                 [2]Split   // the best splits by Methods 1 and 2
	ChosenPayoff                           [2]float64 // the exact payoffs of Chosen, with sub-rating
	PaperSplitPayoff                       float64    // the exact payoff of Case.PaperSubRated, with sub-rating
}

// payoffTolerance is how much larger a payoff must be to count as better than another.
const payoffTolerance = 1e-9

// Search solves all splits of a case. parallel must call job for each i from 0 to n-1, in any order and
// with any concurrency, and return after all calls have returned.
func Search(c Case, parallel func(n int, job func(i int))) (SearchResult, error) {
	all := Splits(c.N)
	without, subRated := make([]float64, len(all)), make([]float64, len(all))
	errs := make([]error, len(all))
	parallel(len(all), func(i int) {
		a, err := Exact(c.Load, all[i], false)
		b, err2 := Exact(c.Load, all[i], true)
		without[i], subRated[i] = a.Payoff, b.Payoff
		if errs[i] = err; err == nil {
			errs[i] = err2
		}
	})
	result := SearchResult{WithoutSubRatingPayoff: math.Inf(-1), SubRatedPayoff: math.Inf(-1), GainBest: math.Inf(-1)}
	best := [2]float64{math.Inf(-1), math.Inf(-1)}
	for i, s := range all {
		if errs[i] != nil {
			return result, errs[i]
		}
		if without[i] > result.WithoutSubRatingPayoff+payoffTolerance {
			result.WithoutSubRating, result.WithoutSubRatingPayoff = s, without[i]
		}
		if subRated[i] > result.SubRatedPayoff+payoffTolerance {
			result.SubRated, result.SubRatedPayoff = s, subRated[i]
		}
		gain := (subRated[i] - without[i]) / without[i]
		result.GainMean += gain / float64(len(all))
		result.GainBest = max(result.GainBest, gain)
		for method := range best {
			if payoff := Approximate(c.Load, s, method+1); payoff > best[method]+payoffTolerance {
				best[method], result.Chosen[method], result.ChosenPayoff[method] = payoff, s, subRated[i]
			}
		}
		if s == c.PaperSubRated {
			result.PaperSplitPayoff = subRated[i]
		}
	}
	return result, nil
}
