// Package paired compares two variants by pairs of runs, each pair with the same randomness. It
// computes the mean of the differences, its confidence interval by the studentized bootstrap, a
// verdict, and how many more pairs a verdict would need. The package is pure and keeps no state. Its
// randomness is determined by a seed.
//
// The studentized bootstrap (Efron and Tibshirani, An Introduction to the Bootstrap, 1993, 12.5) is
// used because there are only 5 to 30 pairs. With so few, the intervals of the percentile bootstrap
// are too narrow: they miss the true mean in about 5 more of 100 cases, so that one of two equal
// variants is called better twice as often as the confidence allows. Resampled t statistics keep the
// confidence, also for skewed differences.
package paired

import (
	"errors"
	"fmt"
	"math"
	"slices"

	"pumicecroft/internal/eventqueue"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

// Verdict is the result of comparing variant b with variant a.
type Verdict uint8

// The verdicts.
const (
	Inconclusive Verdict = iota // the interval includes insignificant differences, or there are too few pairs
	Better
	Worse
	Same // the two values of each pair are equal
)

// String returns the verdict as it is shown in reports.
func (v Verdict) String() string {
	return [...]string{"can't tell", "better", "worse", "the same"}[min(v, Same)]
}

// Errors of samples that can't be compared. Reports show these texts.
var (
	ErrEmpty     = errors.New("no pairs to compare")
	ErrNotFinite = errors.New("a value or difference is not a finite number")
	ErrUnpaired  = errors.New("samples differ in length")
)

// Options configure a comparison. Fields that are 0 have their defaults.
type Options struct {
	Confidence float64 // of the interval, above 0 and below 1; default 0.95
	MinPairs   int     // required for a verdict, 2 or more; default 5
	Resamples  int     // of the bootstrap; default 4,000
	Power      float64 // probability of a verdict after MorePairs, for a difference as observed; default 0.8
	Seed       uint64
	// MinDifference is the largest difference that is insignificant, in the samples' unit. A verdict
	// requires that the whole interval lies beyond it.
	MinDifference float64
}

const (
	defaultConfidence = 0.95
	defaultMinPairs   = 5
	defaultResamples  = 4000
	defaultPower      = 0.8
)

// Comparison is the result of Compare.
type Comparison struct {
	Pairs        int
	MeanA, MeanB float64
	Mean         float64 // of b - a
	Low, High    float64 // confidence interval of Mean; infinite with fewer than 2 pairs
	Verdict      Verdict
	// MorePairs is how many further pairs a verdict would need, 0 if there is a verdict, and -1 if
	// more than 100,000 pairs would be needed.
	MorePairs int
}

// Compare compares variant b with variant a, pair by pair. Its errors are ErrEmpty, ErrNotFinite and
// ErrUnpaired.
func Compare(a, b []float64, higherIsBetter bool, options Options) (Comparison, error) {
	if len(a) != len(b) {
		return Comparison{}, fmt.Errorf("%w: %d and %d", ErrUnpaired, len(a), len(b))
	}
	if len(a) == 0 {
		return Comparison{}, ErrEmpty
	}
	diffs := make([]float64, len(a))
	for i := range a {
		if diffs[i] = b[i] - a[i]; math.IsNaN(diffs[i]) || math.IsInf(diffs[i], 0) {
			return Comparison{}, fmt.Errorf("%w: pair %d is %v and %v", ErrNotFinite, i, a[i], b[i])
		}
	}
	options = options.withDefaults()
	mean, deviation := stat.MeanStdDev(diffs, nil)
	c := Comparison{
		Pairs: len(a), MeanA: stat.Mean(a, nil), MeanB: stat.Mean(b, nil),
		Mean: mean, Low: math.Inf(-1), High: math.Inf(1),
	}
	if len(diffs) < 2 {
		c.MorePairs = options.MinPairs - 1
		return c, nil
	}
	if deviation == 0 { // the difference is the same in all pairs
		c.Low, c.High = mean, mean
	} else {
		c.Low, c.High = confidenceInterval(diffs, mean, deviation, options)
	}
	switch enough := c.Pairs >= options.MinPairs; {
	case mean == 0 && deviation == 0:
		c.Verdict = Same
	case enough && c.Low > options.MinDifference:
		c.Verdict = verdictOf(higherIsBetter)
	case enough && c.High < -options.MinDifference:
		c.Verdict = verdictOf(!higherIsBetter)
	default:
		c.MorePairs = morePairs(c.Pairs, math.Abs(mean)-options.MinDifference, deviation, options)
	}
	return c, nil
}

// verdictOf returns the verdict on a significant difference.
func verdictOf(better bool) Verdict {
	if better {
		return Better
	}
	return Worse
}

// withDefaults replaces options that are unset or out of range by their defaults.
func (o Options) withDefaults() Options {
	if o.Confidence <= 0 || o.Confidence >= 1 {
		o.Confidence = defaultConfidence
	}
	if o.MinPairs < 2 {
		o.MinPairs = defaultMinPairs
	}
	if o.Resamples <= 0 {
		o.Resamples = defaultResamples
	}
	if o.Power <= 0 || o.Power >= 1 {
		o.Power = defaultPower
	}
	return o
}

// minRelativeDeviation is the deviation of a resample, relative to that of the samples, up to which it
// counts as 0.
const minRelativeDeviation = 1e-9

// confidenceInterval returns the confidence interval of the mean, by resampled t statistics. The
// statistic of a resample without deviation is undefined. It counts as infinite, alternately positive
// and negative: with few pairs such resamples are frequent, and omitting them would make the interval
// too narrow.
func confidenceInterval(diffs []float64, mean, deviation float64, options Options) (low, high float64) {
	pairs := len(diffs)
	rng := eventqueue.NewRand(options.Seed, uint64(pairs))
	statistics := make([]float64, options.Resamples)
	resample := make([]float64, pairs)
	root := math.Sqrt(float64(pairs))
	for i := range statistics {
		for j := range resample {
			resample[j] = diffs[rng.IntN(pairs)]
		}
		m, s := stat.MeanStdDev(resample, nil)
		if s > minRelativeDeviation*deviation {
			statistics[i] = (m - mean) * root / s
		} else {
			statistics[i] = math.Inf(1 - 2*(i%2))
		}
	}
	slices.Sort(statistics)
	tail := (1 - options.Confidence) / 2
	quantile := func(p float64) float64 {
		i := int(p * float64(len(statistics)))
		return statistics[min(len(statistics)-1, max(0, i))]
	}
	student := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: float64(pairs - 1)}.Quantile(1 - tail)
	low = mean - max(student, quantile(1-tail))*deviation/root
	high = mean - min(-student, quantile(tail))*deviation/root
	return low, high
}

// maxPairs is the largest number of pairs that morePairs considers.
const maxPairs = 100_000

// morePairs returns how many further pairs a verdict on a difference of this size would need, by the t
// distribution and with an error of about 5%. It returns -1 if more than maxPairs would be needed in
// all.
func morePairs(pairs int, size, deviation float64, options Options) int {
	if !(size > 0) {
		return -1
	}
	for want := max(pairs+1, options.MinPairs); want <= maxPairs; want = want + 1 + want/20 {
		t := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: float64(want - 1)}
		needed := t.Quantile(1-(1-options.Confidence)/2) + t.Quantile(options.Power)
		if size*math.Sqrt(float64(want)) >= deviation*needed {
			return want - pairs
		}
	}
	return -1
}
