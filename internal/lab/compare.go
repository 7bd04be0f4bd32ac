package lab

import (
	"errors"
	"fmt"
	"slices"
	"strings"

	"pumicecroft/internal/paired"
)

// Comparison is one figure of way B against way A, in the cells that are else alike.
type Comparison struct {
	Where    string // the levels of the other factors
	A, B     string
	Figure   *Figure
	Result   paired.Comparison
	Unpaired int   // runs of one way that the other lacks, or that failed
	Err      error // why it can't be compared
}

// What can't be compared.
var (
	ErrNoLevel              = errors.New("there is no such level")
	ErrDifferentExperiments = errors.New("experiments that are not alike")
)

// Within compares levels of a factor of one experiment: each of the others with the level of; with only the one that with names, if it
// names one.
func CompareLevels(r *Results, factor, of, with string, figures []string, rules paired.Options) ([]Comparison, error) {
	i := slices.IndexFunc(r.Factors, func(f Factor) bool { return f.Name == factor })
	if i < 0 {
		return nil, fmt.Errorf("%w: no factor %q", ErrNoLevel, factor)
	}
	levels := r.Factors[i].Levels
	has := func(name string) bool {
		return slices.ContainsFunc(levels, func(l Level) bool { return l.Name == name })
	}
	if of == "" && len(levels) > 0 {
		of = levels[0].Name
	}
	if !has(of) || with != "" && !has(with) {
		return nil, fmt.Errorf("%w: %q has no %q or no %q", ErrNoLevel, factor, of, with)
	}
	var out []Comparison
	for _, l := range levels {
		if l.Name == of || with != "" && l.Name != with {
			continue
		}
		a := selectRows(r.Rows, func(c []string) bool { return c[i] == of }, i)
		b := selectRows(r.Rows, func(c []string) bool { return c[i] == l.Name }, i)
		out = append(out, compare(r.Experiment, i, a, b, of, l.Name, figures, rules)...)
	}
	return out, nil
}

// Across compares two directories of one experiment, of different builds say, cell by cell.
func CompareResults(a, b *Results, nameA, nameB string, figures []string, rules paired.Options) ([]Comparison, error) {
	if a.Digest != b.Digest {
		return nil, fmt.Errorf("%w: %q and %q; what differs between them belongs into a factor", ErrDifferentExperiments, a.Name, b.Name)
	}
	all := func([]string) bool { return true }
	return compare(a.Experiment, -1, selectRows(a.Rows, all, -1), selectRows(b.Rows, all, -1), nameA, nameB, figures, rules), nil
}

type pairKey struct {
	where      string
	repetition int
}

// where names a cell without one of its factors.
func cellLabel(cell []string, but int) string {
	rest := slices.Clone(cell)
	if but >= 0 {
		rest = slices.Delete(rest, but, but+1)
	}
	return strings.Join(rest, " / ")
}

func selectRows(rows []*Row, in func(cell []string) bool, but int) map[pairKey]*Row {
	out := map[pairKey]*Row{}
	for _, r := range rows {
		if in(r.Cell) {
			out[pairKey{cellLabel(r.Cell, but), r.Repetition}] = r
		}
	}
	return out
}

// compare goes through all cells but for one factor.
func compare(e *Experiment, but int, a, b map[pairKey]*Row, nameA, nameB string, figures []string, rules paired.Options) (out []Comparison) {
	var wheres []string
	for _, c := range e.Cells {
		if w := cellLabel(c.Levels, but); !slices.Contains(wheres, w) {
			wheres = append(wheres, w)
		}
	}
	for _, w := range wheres {
		for _, name := range figures {
			f := FigureByName(name)
			c := Comparison{Where: w, A: nameA, B: nameB, Figure: f}
			var x, y []float64
			for rep := range e.Repetitions {
				ra, rb := a[pairKey{w, rep}], b[pairKey{w, rep}]
				va, hasA := ra.figure(name)
				vb, hasB := rb.figure(name)
				switch {
				case hasA && hasB:
					x, y = append(x, va), append(y, vb)
				case ra != nil || rb != nil:
					c.Unpaired++
				}
			}
			c.Result, c.Err = paired.Compare(x, y, f.HigherIsBetter, rules)
			out = append(out, c)
		}
	}
	return out
}

// figure is one of a run's; an older build's run may lack it, and one that failed has none.
func (r *Row) figure(name string) (v float64, has bool) {
	if r == nil || r.Failed != "" {
		return 0, false
	}
	v, has = r.Figures[name]
	return v, has
}

// Verdict is a comparison's in words.
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
