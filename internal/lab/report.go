package lab

import (
	"bytes"
	_ "embed"
	"fmt"
	"html/template"
	"math"
	"slices"
	"strings"

	"pumicecroft/internal/paired"

	"github.com/HdrHistogram/hdrhistogram-go"
	"gonum.org/v1/gonum/stat"
)

//go:embed report.html
var pageTemplate string

// section is the part of a report on cells that differ only in the report's factor. The template uses its exported
// fields.
type section struct {
	Label       string
	Levels      []levelSummary
	Comparisons []Comparison
	Plots       []template.HTML
}

// levelSummary summarizes the runs of one cell of a section.
type levelSummary struct {
	Name         string
	Runs, Failed int
	FirstFailure string // reason of the first run that failed
	Means        []float64
	StdDevs      []float64 // standard deviations; NaN for a single run
	OutOfRange   int       // latencies above the histogram's range, which are not in it
	latency      *hdrhistogram.Histogram
	seconds      []secondMeans
}

// secondMeans are means over the successful runs for one emulated second. A run that has no such second or was offered
// nothing in it counts as 0.
type secondMeans struct {
	offered                 bool    // whether calls were offered in any run
	weightServed, notServed float64 // shares of the weight and of the number of the calls offered
}

// report is the content of a report. The template uses its exported fields.
type report struct {
	*Experiment
	Rows, Failed int
	Builds       []string
	Damaged      []error // one for each damaged result file, which is not included
	Factor       string
	Sections     []section
	Figures      []*Figure
	Overview     []template.HTML
}

// buildReport collects the content of a report. by is the name of the factor whose levels are compared; empty means the
// first one.
func buildReport(r *Results, by string, options paired.Options) (*report, error) {
	out := &report{Experiment: r.Experiment, Rows: len(r.Rows), Damaged: r.Damaged}
	for _, name := range r.Figures {
		out.Figures = append(out.Figures, FigureByName(name))
	}
	factor := -1
	if len(r.Factors) > 0 {
		if by == "" {
			by = r.Factors[0].Name
		}
		if factor = slices.IndexFunc(r.Factors, func(f Factor) bool { return f.Name == by }); factor < 0 {
			return nil, fmt.Errorf("%w: no factor %q", ErrUnknownFactorOrLevel, by)
		}
	}
	out.Factor = by
	levels := levelNames(r.Experiment, factor)
	var comparisons []Comparison
	if len(levels) > 1 {
		var err error
		if comparisons, err = CompareLevels(r, by, "", "", r.Figures, options); err != nil {
			return nil, err
		}
	}
	for _, row := range r.Rows {
		if row.FailureReason != "" {
			out.Failed++
		}
		if !slices.Contains(out.Builds, row.Build) {
			out.Builds = append(out.Builds, row.Build)
		}
	}
	return out, out.addSections(r, factor, levels, comparisons)
}

// levelNames returns the names of a factor's levels, or only "all" if the experiment has no factor.
func levelNames(e *Experiment, factor int) (names []string) {
	if factor < 0 {
		return []string{"all"}
	}
	for _, l := range e.Factors[factor].Levels {
		names = append(names, l.Name)
	}
	return names
}

// addSections adds a section for each combination of levels of the other factors.
func (r *report) addSections(results *Results, factor int, levels []string, comparisons []Comparison) error {
	for _, c := range results.Cells {
		label := cellLabel(c.Levels, factor)
		if slices.ContainsFunc(r.Sections, func(s section) bool { return s.Label == label }) {
			continue
		}
		s := section{Label: label}
		for _, name := range levels {
			summary, err := summarizeLevel(results, r.Figures, name, func(cell []string) bool {
				return cellLabel(cell, factor) == label && (factor < 0 || cell[factor] == name)
			})
			if err != nil {
				return err
			}
			s.Levels = append(s.Levels, summary)
		}
		for _, comparison := range comparisons {
			if comparison.OtherLevels == label {
				s.Comparisons = append(s.Comparisons, comparison)
			}
		}
		r.Sections = append(r.Sections, s)
	}
	return nil
}

// summarizeLevel summarizes the runs of the cells for which include returns true.
func summarizeLevel(
	r *Results, figures []*Figure, name string, include func(cell []string) bool,
) (levelSummary, error) {
	l := levelSummary{Name: name}
	values := make([][]float64, len(figures))
	for _, row := range r.Rows {
		if !include(row.Cell) {
			continue
		}
		if row.FailureReason != "" {
			l.Failed++
			if l.FirstFailure == "" {
				l.FirstFailure = row.FailureReason
			}
			continue
		}
		for i, f := range figures {
			if v, ok := row.figure(f.Name); ok {
				values[i] = append(values[i], v)
			}
		}
		if err := l.add(row); err != nil {
			return l, err
		}
	}
	for i := range l.seconds {
		l.seconds[i].weightServed /= float64(l.Runs)
		l.seconds[i].notServed /= float64(l.Runs)
	}
	for _, v := range values {
		mean, stdDev := math.NaN(), math.NaN()
		if len(v) > 0 {
			mean = stat.Mean(v, nil)
		}
		if len(v) > 1 {
			stdDev = stat.StdDev(v, nil)
		}
		l.Means, l.StdDevs = append(l.Means, mean), append(l.StdDevs, stdDev)
	}
	return l, nil
}

// add adds the latencies and seconds of a run.
func (l *levelSummary) add(row *Row) error {
	l.Runs++
	l.OutOfRange += row.OutOfRange
	histogram, err := row.Histogram()
	if err != nil {
		return fmt.Errorf("%s: %w", row.name(), err)
	}
	if l.latency == nil {
		l.latency = histogram
	} else {
		l.latency.Merge(histogram)
	}
	for i, s := range row.Seconds {
		if i == len(l.seconds) {
			l.seconds = append(l.seconds, secondMeans{})
		}
		means := &l.seconds[i]
		means.offered = means.offered || s.Offered > 0
		means.weightServed += ratio(s.WeightServed, s.WeightOffered)
		means.notServed += ratio(float64(s.Rejected+s.Failed), float64(s.Offered))
	}
	return nil
}

// formatNumber formats a figure for reports.
func formatNumber(v float64) string {
	switch a := math.Abs(v); {
	case math.IsNaN(v):
		return "-"
	case math.IsInf(v, 1):
		return "inf"
	case math.IsInf(v, -1):
		return "-inf"
	case a >= 100:
		return fmt.Sprintf("%.0f", v)
	case a >= 10:
		return fmt.Sprintf("%.1f", v)
	case a >= 0.1 || a == 0:
		return fmt.Sprintf("%.3f", v)
	}
	return fmt.Sprintf("%.2g", v)
}

// HTML returns a report with plots, as a page without references to other files.
func HTML(r *Results, by string, options paired.Options) ([]byte, error) {
	report, err := buildReport(r, by, options)
	if err != nil {
		return nil, err
	}
	for i := range report.Sections {
		if err := report.Sections[i].plot(); err != nil {
			return nil, err
		}
	}
	if report.Overview, err = report.overview(); err != nil {
		return nil, err
	}
	functions := template.FuncMap{"number": formatNumber, "signed": formatSigned}
	t, err := template.New("report").Funcs(functions).Parse(pageTemplate)
	if err != nil {
		return nil, err
	}
	var b bytes.Buffer
	err = t.Execute(&b, report)
	return b.Bytes(), err
}

// formatSigned formats a difference with its sign.
func formatSigned(v float64) string {
	if v > 0 {
		return "+" + formatNumber(v)
	}
	return formatNumber(v)
}

// Markdown returns a report without plots.
func Markdown(r *Results, by string, options paired.Options) ([]byte, error) {
	report, err := buildReport(r, by, options)
	if err != nil {
		return nil, err
	}
	var b bytes.Buffer
	fmt.Fprintf(&b, "# %s\n\n%d runs, %d failed, seed %d, %d repetitions, experiment %s, build %s.\n", report.Name,
		report.Rows, report.Failed, report.Seed, report.Repetitions, report.Digest, strings.Join(report.Builds, ", "))
	for _, err := range report.Damaged {
		fmt.Fprintf(&b, "\nNot included: %v.\n", err)
	}
	for _, s := range report.Sections {
		if s.Label != "" {
			fmt.Fprintf(&b, "\n## %s\n", s.Label)
		}
		s.writeLevels(&b, report.Factor, report.Figures)
		s.writeComparisons(&b)
	}
	return b.Bytes(), nil
}

// markdownCell escapes a text for a cell of a Markdown table.
func markdownCell(text string) string { return strings.ReplaceAll(text, "|", "\\|") }

// writeLevels writes the table of the levels' figures, and notes on failed runs and on latencies that are not in the
// quantiles.
func (s *section) writeLevels(b *bytes.Buffer, by string, figures []*Figure) {
	fmt.Fprintf(b, "\n| %s | runs |", markdownCell(by))
	for _, f := range figures {
		fmt.Fprintf(b, " %s |", f.Name)
	}
	fmt.Fprintf(b, "\n| --- | --- |%s\n", strings.Repeat(" --- |", len(figures)))
	for _, l := range s.Levels {
		fmt.Fprintf(b, "| %s | %d |", markdownCell(l.Name), l.Runs)
		for i := range l.Means {
			fmt.Fprintf(b, " %s", formatNumber(l.Means[i]))
			if !math.IsNaN(l.StdDevs[i]) {
				fmt.Fprintf(b, " ± %s", formatNumber(l.StdDevs[i]))
			}
			b.WriteString(" |")
		}
		b.WriteString("\n")
	}
	for _, l := range s.Levels {
		if l.Failed > 0 {
			fmt.Fprintf(b, "\n%s: %d runs failed: %s\n", l.Name, l.Failed, l.FirstFailure)
		}
		if l.OutOfRange > 0 {
			fmt.Fprintf(b, "\n%s: %d latencies exceed the histogram's range and are not in the quantiles.\n",
				l.Name, l.OutOfRange)
		}
	}
}

// writeComparisons writes the table of comparisons, if there are any.
func (s *section) writeComparisons(b *bytes.Buffer) {
	if len(s.Comparisons) == 0 {
		return
	}
	b.WriteString("\n| against " + markdownCell(s.Comparisons[0].A) +
		" | figure | difference | 95% interval | verdict |\n| --- | --- | --- | --- | --- |\n")
	for _, c := range s.Comparisons {
		fmt.Fprintf(b, "| %s | %s | %s | %s to %s | %s |\n", markdownCell(c.B), c.Figure.Name,
			formatSigned(c.Result.Mean), formatSigned(c.Result.Low), formatSigned(c.Result.High), c.Verdict())
	}
}
