package lab

import (
	"errors"
	"fmt"
	"slices"
	"strings"

	"pumicecroft/internal/paired"
)

// Comparison compares one figure of B with that of A, in cells that are otherwise the same.
type Comparison struct {
	OtherLevels string // levels of the other factors
	A, B        string // names of levels, or of directories of results
	Figure      *Figure
	Result      paired.Comparison
	Unpaired    int   // number of incomplete pairs: a run is missing, failed or lacks the figure
	Err         error // set if there is no result
}

// Errors of comparisons.
var (
	ErrUnknownFactorOrLevel = errors.New("unknown factor or level")
	ErrDifferentExperiments = errors.New("results of different experiments")
)

// CompareLevels compares a level of a factor of one experiment with the level baseline. An empty level means each one
// but the baseline, and an empty baseline the factor's first level.
func CompareLevels(
	r *Results, factor, baseline, level string, figures []string, options paired.Options,
) ([]Comparison, error) {
	factorIndex := slices.IndexFunc(r.Factors, func(f Factor) bool { return f.Name == factor })
	if factorIndex < 0 {
		return nil, fmt.Errorf("%w: no factor %q", ErrUnknownFactorOrLevel, factor)
	}
	levels := r.Factors[factorIndex].Levels
	has := func(name string) bool {
		return slices.ContainsFunc(levels, func(l Level) bool { return l.Name == name })
	}
	if baseline == "" && len(levels) > 0 {
		baseline = levels[0].Name
	}
	if !has(baseline) || level != "" && !has(level) {
		return nil, fmt.Errorf("%w: factor %q lacks the baseline %q or the level %q (empty: any)",
			ErrUnknownFactorOrLevel, factor, baseline, level)
	}
	var out []Comparison
	for _, l := range levels {
		if l.Name == baseline || level != "" && l.Name != level {
			continue
		}
		a := selectRows(r.Rows, func(c []string) bool { return c[factorIndex] == baseline }, factorIndex)
		b := selectRows(r.Rows, func(c []string) bool { return c[factorIndex] == l.Name }, factorIndex)
		out = append(out, compare(r.Experiment, factorIndex, a, b, baseline, l.Name, figures, options)...)
	}
	return out, nil
}

// CompareResults compares two directories of results of one experiment, for instance by different builds, cell by cell.
func CompareResults(
	a, b *Results, nameA, nameB string, figures []string, options paired.Options,
) ([]Comparison, error) {
	if a.Digest != b.Digest {
		return nil, fmt.Errorf("%w: %q and %q; to compare different settings, make them levels of a factor",
			ErrDifferentExperiments, a.Name, b.Name)
	}
	all := func([]string) bool { return true }
	rowsA, rowsB := selectRows(a.Rows, all, -1), selectRows(b.Rows, all, -1)
	return compare(a.Experiment, -1, rowsA, rowsB, nameA, nameB, figures, options), nil
}

// pairKey identifies a pair of runs that are compared with each other.
type pairKey struct {
	label      string // of the cell, see cellLabel
	repetition int
}

// cellLabel returns a cell's levels as a text, without the level of the factor with index omitFactor; -1 omits none.
func cellLabel(cell []string, omitFactor int) string {
	rest := slices.Clone(cell)
	if omitFactor >= 0 {
		rest = slices.Delete(rest, omitFactor, omitFactor+1)
	}
	return strings.Join(rest, " / ")
}

// selectRows returns the rows of the cells for which include returns true. Their keys omit the factor with index
// omitFactor; -1 omits none.
func selectRows(rows []*Row, include func(cell []string) bool, omitFactor int) map[pairKey]*Row {
	out := map[pairKey]*Row{}
	for _, r := range rows {
		if include(r.Cell) {
			out[pairKey{cellLabel(r.Cell, omitFactor), r.Repetition}] = r
		}
	}
	return out
}

// compare compares the rows of two sides for all figures, in each combination of levels of the factors except the one
// with index omitFactor; -1 omits none.
func compare(
	e *Experiment, omitFactor int, a, b map[pairKey]*Row, nameA, nameB string, figures []string, options paired.Options,
) (out []Comparison) {
	var labels []string
	for _, c := range e.Cells {
		if label := cellLabel(c.Levels, omitFactor); !slices.Contains(labels, label) {
			labels = append(labels, label)
		}
	}
	for _, label := range labels {
		for _, name := range figures {
			f := FigureByName(name)
			c := Comparison{OtherLevels: label, A: nameA, B: nameB, Figure: f}
			var x, y []float64
			for repetition := range e.Repetitions {
				rowA, rowB := a[pairKey{label, repetition}], b[pairKey{label, repetition}]
				valueA, hasA := rowA.figure(name)
				valueB, hasB := rowB.figure(name)
				switch {
				case hasA && hasB:
					x, y = append(x, valueA), append(y, valueB)
				case rowA != nil || rowB != nil:
					c.Unpaired++
				}
			}
			c.Result, c.Err = paired.Compare(x, y, f.HigherIsBetter, options)
			out = append(out, c)
		}
	}
	return out
}

// figure returns a figure of a run. It is missing in failed runs, and may be missing in runs of an older build.
func (r *Row) figure(name string) (v float64, has bool) {
	if r == nil || r.FailureReason != "" {
		return 0, false
	}
	v, has = r.Figures[name]
	return v, has
}

// Verdict returns the verdict as text, with the number of further pairs that would be needed if it is inconclusive.
func (c *Comparison) Verdict() string {
	if c.Err != nil {
		return c.Err.Error()
	}
	v := c.Result.Verdict.String()
	switch {
	case c.Result.Verdict != paired.Inconclusive:
	case c.Result.MorePairs > 0:
		v += fmt.Sprintf("; about %d more pairs needed", c.Result.MorePairs)
	case c.Result.MorePairs < 0: // more than maxPairs of package paired
		v += "; more than 100,000 pairs needed"
	}
	return v
}
