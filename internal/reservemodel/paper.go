package reservemodel

// Case is one of the paper's loads, with what its Figs. 5 and 6 say of the best splits.
type Case struct {
	Name                string
	N                   int
	Load                Load
	PaperWithout        Split // without sub-rating
	PaperWithoutPayoff  float64
	PaperSubRated       Split
	PaperSubRatedPayoff float64
}

// Cases are the paper's: (lambda_h, lambda_l, mu, v_h, v_l, q_h, q_l) for 16 slots, and twice the rates for 32.
func Cases() (out []Case) {
	figures := map[int][]struct {
		no    Split
		noPay float64
		sub   Split
		pay   float64
	}{
		16: {{Split{2, 14, 0}, 14.25, Split{0, 16, 0}, 16.07}, {Split{9, 7, 0}, 13.59, Split{0, 16, 0}, 18.14}, {Split{16, 0, 0}, 11.32, Split{0, 16, 0}, 14.34},
			{Split{5, 11, 0}, 27.77, Split{8, 8, 0}, 34.32}, {Split{13, 3, 0}, 40.26, Split{8, 8, 0}, 49.64}, {Split{16, 0, 0}, 49.82, Split{10, 6, 0}, 50.68},
			{Split{7, 9, 0}, 51.28, Split{0, 16, 0}, 56.01}, {Split{15, 1, 0}, 87.67, Split{0, 16, 0}, 92.90}, {Split{16, 0, 0}, 113.97, Split{16, 0, 0}, 113.97}},
		32: {{Split{5, 27, 0}, 32.41, Split{0, 32, 0}, 34.67}, {Split{19, 13, 0}, 32.00, Split{0, 32, 0}, 40.26}, {Split{31, 1, 10}, 28.46, Split{0, 32, 0}, 34.17},
			{Split{10, 22, 0}, 60.58, Split{15, 13, 4}, 73.46}, {Split{24, 8, 0}, 87.42, Split{17, 15, 0}, 111.14}, {Split{32, 0, 0}, 109.78, Split{24, 8, 0}, 112.34},
			{Split{12, 20, 0}, 108.69, Split{0, 32, 0}, 114.67}, {Split{27, 5, 0}, 183.86, Split{0, 32, 0}, 197.30}, {Split{32, 0, 0}, 245.34, Split{32, 0, 0}, 245.34}},
	}
	for _, n := range []int{16, 32} {
		for i, f := range figures[n] {
			scale := float64(n / 16)
			l := Load{LambdaH: []float64{5, 10, 15}[i%3] * scale, LambdaL: 10 * scale, Mu: 1, VH: []float64{2, 5, 10}[i/3], VL: 1, QH: 2, QL: 1}
			out = append(out, Case{string(rune('A' + i)), n, l, f.no, f.noPay, f.sub, f.pay})
		}
	}
	return out
}

// SearchResult is what exhaustive search finds for a load.
type SearchResult struct {
	Without, SubRated             Split // the best
	WithoutPayoff, SubRatedPayoff float64
	GainMean, GainBest            float64    // of sub-rating at the same split, over all splits
	Chosen                        [2]Split   // by Methods I and II
	ChosenPayoff                  [2]float64 // what these come to, with sub-rating
	PaperSplitPayoff              float64    // the payoff of the split that the paper names for sub-rating
}

// Search solves all splits of a case. do runs a job for each number below n, at once if it likes.
func Search(c Case, do func(n int, job func(i int))) (SearchResult, error) {
	all := Splits(c.N)
	no, sub := make([]float64, len(all)), make([]float64, len(all))
	errs := make([]error, len(all))
	do(len(all), func(i int) {
		a, err := Exact(c.Load, all[i], false)
		b, err2 := Exact(c.Load, all[i], true)
		no[i], sub[i] = a.Payoff, b.Payoff
		if errs[i] = err; err == nil {
			errs[i] = err2
		}
	})
	f := SearchResult{WithoutPayoff: -1e9, SubRatedPayoff: -1e9, GainBest: -1e9}
	best := [2]float64{-1e9, -1e9}
	for i, s := range all {
		if errs[i] != nil {
			return f, errs[i]
		}
		if no[i] > f.WithoutPayoff+1e-9 {
			f.Without, f.WithoutPayoff = s, no[i]
		}
		if sub[i] > f.SubRatedPayoff+1e-9 {
			f.SubRated, f.SubRatedPayoff = s, sub[i]
		}
		gain := (sub[i] - no[i]) / no[i]
		f.GainMean += gain / float64(len(all))
		f.GainBest = max(f.GainBest, gain)
		for m := range best {
			if v := Approximate(c.Load, s, m+1); v > best[m]+1e-9 {
				best[m], f.Chosen[m], f.ChosenPayoff[m] = v, s, sub[i]
			}
		}
		if s == c.PaperSubRated {
			f.PaperSplitPayoff = sub[i]
		}
	}
	return f, nil
}
