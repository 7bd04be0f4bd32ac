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
	Where    string // levels of the other factors
	A, B     string
	Figure   *Figure
	Result   paired.Comparison
	Unpaired int   // runs of one side whose pair is missing or failed
	Err      error // why there is no result
}

// Errors of comparisons.
var (
	ErrNoLevel              = errors.New("there is no such level")
	ErrDifferentExperiments = errors.New("experiments that are not alike")
)

// CompareLevels compares levels of a factor of one experiment: each other level, or only the one named with unless that
// is empty, with the level named baseline. An empty baseline means the factor's first level.
func CompareLevels(
	r *Results, factor, baseline, with string, figures []string, options paired.Options,
) ([]Comparison, error) {
	i := slices.IndexFunc(r.Factors, func(f Factor) bool { return f.Name == factor })
	if i < 0 {
		return nil, fmt.Errorf("%w: no factor %q", ErrNoLevel, factor)
	}
	levels := r.Factors[i].Levels
	has := func(name string) bool {
		return slices.ContainsFunc(levels, func(l Level) bool { return l.Name == name })
	}
	if baseline == "" && len(levels) > 0 {
		baseline = levels[0].Name
	}
	if !has(baseline) || with != "" && !has(with) {
		return nil, fmt.Errorf("%w: %q has no %q or no %q", ErrNoLevel, factor, baseline, with)
	}
	var out []Comparison
	for _, l := range levels {
		if l.Name == baseline || with != "" && l.Name != with {
			continue
		}
		a := selectRows(r.Rows, func(c []string) bool { return c[i] == baseline }, i)
		b := selectRows(r.Rows, func(c []string) bool { return c[i] == l.Name }, i)
		out = append(out, compare(r.Experiment, i, a, b, baseline, l.Name, figures, options)...)
	}
	return out, nil
}

// CompareResults compares two directories of results of one experiment, for instance by different builds, cell by cell.
func CompareResults(
	a, b *Results, nameA, nameB string, figures []string, options paired.Options,
) ([]Comparison, error) {
	if a.Digest != b.Digest {
		return nil, fmt.Errorf("%w: %q and %q; what differs between them belongs into a factor",
			ErrDifferentExperiments, a.Name, b.Name)
	}
	all := func([]string) bool { return true }
	rowsA, rowsB := selectRows(a.Rows, all, -1), selectRows(b.Rows, all, -1)
	return compare(a.Experiment, -1, rowsA, rowsB, nameA, nameB, figures, options), nil
}

// pairKey identifies the runs of both sides that are compared with each other.
type pairKey struct {
	where      string
	repetition int
}

// cellLabel names a cell by its levels, without that of one factor; -1 omits none.
func cellLabel(cell []string, omit int) string {
	rest := slices.Clone(cell)
	if omit >= 0 {
		rest = slices.Delete(rest, omit, omit+1)
	}
	return strings.Join(rest, " / ")
}

// selectRows returns the rows of cells that include accepts, by the key without one factor.
func selectRows(rows []*Row, include func(cell []string) bool, omit int) map[pairKey]*Row {
	out := map[pairKey]*Row{}
	for _, r := range rows {
		if include(r.Cell) {
			out[pairKey{cellLabel(r.Cell, omit), r.Repetition}] = r
		}
	}
	return out
}

// compare compares the rows of two sides in all cells, without one factor, and for all figures.
func compare(
	e *Experiment, omit int, a, b map[pairKey]*Row, nameA, nameB string, figures []string, options paired.Options,
) (out []Comparison) {
	var wheres []string
	for _, c := range e.Cells {
		if w := cellLabel(c.Levels, omit); !slices.Contains(wheres, w) {
			wheres = append(wheres, w)
		}
	}
	for _, w := range wheres {
		for _, name := range figures {
			f := FigureByName(name)
			c := Comparison{Where: w, A: nameA, B: nameB, Figure: f}
			var x, y []float64
			for repetition := range e.Repetitions {
				rowA, rowB := a[pairKey{w, repetition}], b[pairKey{w, repetition}]
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

// figure returns a figure of a run. Runs that failed have none, and those of an older build may lack it.
func (r *Row) figure(name string) (v float64, has bool) {
	if r == nil || r.Failed != "" {
		return 0, false
	}
	v, has = r.Figures[name]
	return v, has
}

// Verdict returns the verdict of a comparison in words.
func (c *Comparison) Verdict() string {
	if c.Err != nil {
		return c.Err.Error()
	}
	v := c.Result.Verdict.String()
	switch {
	case c.Result.Verdict != paired.Inconclusive:
	case c.Result.MorePairs > 0:
		v += fmt.Sprintf("; some %d more would", c.Result.MorePairs)
	case c.Result.MorePairs < 0:
		v += "; nor would 100,000 more"
	}
	return v
}
