package lab

import (
	"bytes"
	_ "embed"
	"fmt"
	"html/template"
	"image/color"
	"math"
	"slices"
	"strconv"
	"strings"

	"pumicecroft/internal/paired"

	"github.com/HdrHistogram/hdrhistogram-go"
	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

//go:embed report.html
var pageTemplate string

// colours are told apart also by who does not see all of them (Okabe and Ito).
var palette = []color.Color{color.RGBA{0, 114, 178, 255}, color.RGBA{213, 94, 0, 255}, color.RGBA{0, 158, 115, 255}, color.RGBA{204, 121, 167, 255},
	color.RGBA{230, 159, 0, 255}, color.RGBA{86, 180, 233, 255}, color.RGBA{0, 0, 0, 255}}

var dashes = [][]vg.Length{nil, {6, 3}, {2, 2}, {8, 2, 2, 2}}

// part is what a report says of the cells that differ in one factor alone.
type section struct {
	Where       string
	Levels      []levelSummary
	Comparisons []Comparison
	Plots       []template.HTML
}

// level is one of them.
type levelSummary struct {
	Name         string
	Runs, Failed int
	FirstFailure string // of the first that failed
	Means        []float64
	StdDevs      []float64 // standard deviations; NaN of one run
	Beyond       int
	latency      *hdrhistogram.Histogram
	seconds      []secondMeans
}

type secondMeans struct {
	offered                 bool
	weightServed, notServed float64
}

// report gathers what a report says, by the levels of a factor.
type report struct {
	*Experiment
	Rows, Failed int
	Builds       []string
	Damaged      []error
	By           string
	Parts        []section
	Figures      []*Figure
	Overview     []template.HTML
}

// gather puts a report together; by names the factor whose levels stand side by side, the first if it is empty.
func buildReport(r *Results, by string, rules paired.Options) (*report, error) {
	out := &report{Experiment: r.Experiment, Rows: len(r.Rows), Damaged: r.Damaged}
	for _, name := range r.Figures {
		out.Figures = append(out.Figures, FigureByName(name))
	}
	i := -1
	if len(r.Factors) > 0 {
		if by == "" {
			by = r.Factors[0].Name
		}
		if i = slices.IndexFunc(r.Factors, func(f Factor) bool { return f.Name == by }); i < 0 {
			return nil, fmt.Errorf("%w: no factor %q", ErrNoLevel, by)
		}
	}
	out.By = by
	levels := []string{"all"}
	if i >= 0 {
		levels = nil
		for _, l := range r.Factors[i].Levels {
			levels = append(levels, l.Name)
		}
	}
	var told []Comparison
	if len(levels) > 1 {
		var err error
		if told, err = CompareLevels(r, by, "", "", r.Figures, rules); err != nil {
			return nil, err
		}
	}
	for _, row := range r.Rows {
		if row.Failed != "" {
			out.Failed++
		}
		if !slices.Contains(out.Builds, row.Build) {
			out.Builds = append(out.Builds, row.Build)
		}
	}
	for _, c := range r.Cells {
		w := cellLabel(c.Levels, i)
		if slices.ContainsFunc(out.Parts, func(p section) bool { return p.Where == w }) {
			continue
		}
		p := section{Where: w}
		for _, name := range levels {
			l, err := summarizeLevel(r, out.Figures, name, func(cell []string) bool { return cellLabel(cell, i) == w && (i < 0 || cell[i] == name) })
			if err != nil {
				return nil, err
			}
			p.Levels = append(p.Levels, l)
		}
		for _, c := range told {
			if c.Where == w {
				p.Comparisons = append(p.Comparisons, c)
			}
		}
		out.Parts = append(out.Parts, p)
	}
	return out, nil
}

func summarizeLevel(r *Results, figures []*Figure, name string, in func(cell []string) bool) (levelSummary, error) {
	l := levelSummary{Name: name}
	values := make([][]float64, len(figures))
	for _, row := range r.Rows {
		if !in(row.Cell) {
			continue
		}
		if row.Failed != "" {
			l.Failed++
			if l.FirstFailure == "" {
				l.FirstFailure = row.Failed
			}
			continue
		}
		l.Runs++
		l.Beyond += row.Beyond
		for i, f := range figures {
			if v, has := row.figure(f.Name); has {
				values[i] = append(values[i], v)
			}
		}
		h, err := row.Histogram()
		if err != nil {
			return l, fmt.Errorf("%s: %w", row.name(), err)
		}
		if l.latency == nil {
			l.latency = h
		} else {
			l.latency.Merge(h)
		}
		for i, s := range row.Seconds {
			if i == len(l.seconds) {
				l.seconds = append(l.seconds, secondMeans{})
			}
			l.seconds[i].offered = l.seconds[i].offered || s.Offered > 0
			l.seconds[i].weightServed += ratio(s.WeightServed, s.WeightOffered)
			l.seconds[i].notServed += ratio(float64(s.Rejected+s.Failed), float64(s.Offered))
		}
	}
	for i := range l.seconds {
		l.seconds[i].weightServed /= float64(l.Runs)
		l.seconds[i].notServed /= float64(l.Runs)
	}
	for _, v := range values {
		mean, sd := math.NaN(), math.NaN()
		if len(v) > 0 {
			mean = stat.Mean(v, nil)
		}
		if len(v) > 1 {
			sd = stat.StdDev(v, nil)
		}
		l.Means, l.StdDevs = append(l.Means, mean), append(l.StdDevs, sd)
	}
	return l, nil
}

// number writes a figure as people read it.
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

// HTML is a report in one file that needs nothing else.
func HTML(r *Results, by string, rules paired.Options) ([]byte, error) {
	rep, err := buildReport(r, by, rules)
	if err != nil {
		return nil, err
	}
	for i := range rep.Parts {
		if err := rep.Parts[i].plot(); err != nil {
			return nil, err
		}
	}
	if rep.Overview, err = rep.overview(); err != nil {
		return nil, err
	}
	t, err := template.New("report").Funcs(template.FuncMap{"number": formatNumber, "signed": formatSigned}).Parse(pageTemplate)
	if err != nil {
		return nil, err
	}
	var b bytes.Buffer
	err = t.Execute(&b, rep)
	return b.Bytes(), err
}

func formatSigned(v float64) string {
	if v > 0 {
		return "+" + formatNumber(v)
	}
	return formatNumber(v)
}

// Markdown is a report without its plots.
func Markdown(r *Results, by string, rules paired.Options) ([]byte, error) {
	rep, err := buildReport(r, by, rules)
	if err != nil {
		return nil, err
	}
	var b bytes.Buffer
	cell := func(s string) string { return strings.ReplaceAll(s, "|", "\\|") }
	fmt.Fprintf(&b, "# %s\n\n%d runs, %d failed, seed %d, %d repetitions, experiment %s, build %s.\n", rep.Name, rep.Rows, rep.Failed, rep.Seed, rep.Repetitions, rep.Digest,
		strings.Join(rep.Builds, ", "))
	for _, err := range rep.Damaged {
		fmt.Fprintf(&b, "\nLeft out: %v.\n", err)
	}
	for _, p := range rep.Parts {
		if p.Where != "" {
			fmt.Fprintf(&b, "\n## %s\n", p.Where)
		}
		fmt.Fprintf(&b, "\n| %s | runs |", cell(rep.By))
		for _, f := range rep.Figures {
			fmt.Fprintf(&b, " %s |", f.Name)
		}
		fmt.Fprintf(&b, "\n| --- | --- |%s\n", strings.Repeat(" --- |", len(rep.Figures)))
		for _, l := range p.Levels {
			fmt.Fprintf(&b, "| %s | %d |", cell(l.Name), l.Runs)
			for i := range l.Means {
				fmt.Fprintf(&b, " %s", formatNumber(l.Means[i]))
				if !math.IsNaN(l.StdDevs[i]) {
					fmt.Fprintf(&b, " ± %s", formatNumber(l.StdDevs[i]))
				}
				b.WriteString(" |")
			}
			b.WriteString("\n")
		}
		for _, l := range p.Levels {
			if l.Failed > 0 {
				fmt.Fprintf(&b, "\n%s: %d runs failed: %s\n", l.Name, l.Failed, l.FirstFailure)
			}
			if l.Beyond > 0 {
				fmt.Fprintf(&b, "\n%s: %d latencies are beyond the histogram's range, and in no quantile.\n", l.Name, l.Beyond)
			}
		}
		if len(p.Comparisons) > 0 {
			b.WriteString("\n| against " + cell(p.Comparisons[0].A) + " | figure | difference | 95% interval | verdict |\n| --- | --- | --- | --- | --- |\n")
			for _, c := range p.Comparisons {
				fmt.Fprintf(&b, "| %s | %s | %s | %s to %s | %s |\n", cell(c.B), c.Figure.Name, formatSigned(c.Result.Mean), formatSigned(c.Result.Low), formatSigned(c.Result.High), c.Verdict())
			}
		}
	}
	return b.Bytes(), nil
}

// draw makes a part's plots.
func (p *section) plot() error {
	some := slices.ContainsFunc(p.Levels, func(l levelSummary) bool { return l.Runs > 0 })
	if !some {
		return nil
	}
	cdf, err := p.lineChart("Latency of served calls", "ms", "share at or below", func(l *levelSummary) plotter.XYs {
		var out plotter.XYs
		if l.latency == nil || l.latency.TotalCount() == 0 {
			return nil
		}
		for q := 0.1; q < 100; q += 0.2 {
			out = append(out, plotter.XY{X: max(1, float64(l.latency.ValueAtQuantile(q))) / 1e3, Y: q / 100})
		}
		return out
	}, true)
	if err != nil {
		return err
	}
	worth, err := p.lineChart("Worth served, of offered", "s", "share", func(l *levelSummary) plotter.XYs {
		return l.series(func(s secondMeans) float64 { return s.weightServed })
	}, false)
	if err != nil {
		return err
	}
	refused, err := p.lineChart("Calls not served", "s", "share", func(l *levelSummary) plotter.XYs {
		return l.series(func(s secondMeans) float64 { return s.notServed })
	}, false)
	if err != nil {
		return err
	}
	p.Plots = []template.HTML{cdf, worth, refused}
	return nil
}

func (l *levelSummary) series(of func(secondMeans) float64) (out plotter.XYs) {
	for i, s := range l.seconds {
		if s.offered { // not of the warm-up
			out = append(out, plotter.XY{X: float64(i), Y: of(s)})
		}
	}
	return out
}

// line styles a series so that it is told apart where others lie on it.
func styleLine(line *plotter.Line, i int) {
	line.Color, line.Width, line.Dashes = palette[i%len(palette)], vg.Points(1.6-0.1*float64(min(i, 6))), dashes[i%len(dashes)]
}

// svg draws a plot.
func renderSVG(p *plot.Plot, w, h vg.Length) (template.HTML, error) {
	p.Title.TextStyle.Font.Size, p.Legend.TextStyle.Font.Size = 13, 10
	canvas := vgsvg.New(w, h)
	p.Draw(draw.New(canvas))
	var b bytes.Buffer
	if _, err := canvas.WriteTo(&b); err != nil {
		return "", err
	}
	text := b.String()
	if i := strings.Index(text, "<svg"); i >= 0 { // the page has its own heading
		text = text[i:]
	}
	return template.HTML(text), nil // names of levels are escaped by the canvas
}

// wholeTicks label an axis without decimals that say nothing.
type integerTicks struct{ plot.DefaultTicks }

// Ticks is plot.Ticker's.
func (t integerTicks) Ticks(least, most float64) []plot.Tick {
	ticks := t.DefaultTicks.Ticks(least, most)
	for i := range ticks {
		if ticks[i].Label != "" {
			ticks[i].Label = strconv.FormatFloat(ticks[i].Value, 'g', 4, 64)
		}
	}
	return ticks
}

// chart draws a line for each level.
func (p *section) lineChart(title, x, y string, of func(l *levelSummary) plotter.XYs, logarithmic bool) (template.HTML, error) {
	c := plot.New()
	c.Title.Text, c.X.Label.Text, c.Y.Label.Text = title, x, y
	c.X.Tick.Marker = integerTicks{}
	c.Add(plotter.NewGrid())
	least, most, low, high := math.Inf(1), 0.0, 1.0, 0.0
	for i := range p.Levels {
		xys := of(&p.Levels[i])
		if len(xys) == 0 {
			continue
		}
		line, err := plotter.NewLine(xys)
		if err != nil {
			return "", err
		}
		styleLine(line, i)
		c.Add(line)
		c.Legend.Add(p.Levels[i].Name, line)
		least, most = min(least, xys[0].X), max(most, xys[len(xys)-1].X)
		for _, v := range xys {
			low, high = min(low, v.Y), max(high, v.Y)
		}
	}
	c.Y.Min, c.Y.Max = 0, max(1e-3, 1.05*high)
	if low > 0.5 {
		c.Y.Min = low - 0.05
	}
	c.Legend.Top, c.Legend.Left = logarithmic, logarithmic
	c.Legend.ThumbnailWidth = vg.Points(24)
	if logarithmic && most > least && least > 0 {
		c.X.Scale, c.X.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
		c.X.Min, c.X.Max = math.Pow(10, math.Floor(math.Log10(least))), math.Pow(10, math.Ceil(math.Log10(most)))
	}
	return renderSVG(c, 15*vg.Centimeter, 8*vg.Centimeter)
}

// overview draws each figure over the levels, a line for each place: against their size, where levels are numbers.
func (r *report) overview() (out []template.HTML, err error) {
	var sizes []float64
	if len(r.Parts) == 0 || len(r.Parts[0].Levels) < 2 {
		return nil, nil
	}
	names := r.Parts[0].Levels
	for _, l := range names {
		if v, err := strconv.ParseFloat(strings.ReplaceAll(l.Name, ",", ""), 64); err == nil && v > 0 {
			sizes = append(sizes, v)
		}
	}
	numbers := len(sizes) == len(names)
	for f, figure := range r.Figures {
		c := plot.New()
		c.Title.Text, c.X.Label.Text = figure.Name, r.By
		c.Add(plotter.NewGrid())
		high := 0.0
		var ticks []plot.Tick
		for i := range names {
			x := float64(i)
			if numbers {
				x = sizes[i]
			}
			ticks = append(ticks, plot.Tick{Value: x, Label: wrapLabel(names[i].Name, 64/len(names))})
		}
		for i, p := range r.Parts {
			var xys meansWithErrors
			for j, l := range p.Levels {
				if mean, sd := l.Means[f], l.StdDevs[f]; !math.IsNaN(mean) {
					if math.IsNaN(sd) {
						sd = 0
					}
					xys.XYs, xys.YErrors = append(xys.XYs, plotter.XY{X: ticks[j].Value, Y: mean}), append(xys.YErrors, struct{ Low, High float64 }{sd, sd})
					high = max(high, mean+sd)
				}
			}
			if len(xys.XYs) == 0 {
				continue
			}
			line, err := plotter.NewLine(xys.XYs)
			if err != nil {
				return nil, err
			}
			bars, err := plotter.NewYErrorBars(xys)
			if err != nil {
				return nil, err
			}
			styleLine(line, i)
			bars.Color = line.Color
			c.Add(line, bars)
			if p.Where != "" {
				c.Legend.Add(p.Where, line)
			}
		}
		c.Y.Min, c.Y.Max = 0, max(1e-6, (1.1+0.09*float64(len(r.Parts)))*high) // room for the legend
		c.X.Tick.Marker = plot.ConstantTicks(ticks)
		c.Legend.Top = true
		c.Legend.ThumbnailWidth = vg.Points(24)
		if numbers {
			c.X.Scale = plot.LogScale{}
		} else {
			c.X.Min, c.X.Max = -0.3, float64(len(names))-0.7
		}
		text, err := renderSVG(c, 12*vg.Centimeter, 7*vg.Centimeter)
		if err != nil {
			return nil, err
		}
		out = append(out, text)
	}
	return out, nil
}

// wrapped breaks a label into lines of about so many letters, between words.
func wrapLabel(label string, width int) string {
	var lines []string
	for _, word := range strings.Fields(label) {
		if last := len(lines) - 1; last >= 0 && len(lines[last])+1+len(word) <= width {
			lines[last] += " " + word
		} else {
			lines = append(lines, word)
		}
	}
	return strings.Join(lines, "\n")
}

// errorXYs are means with their spreads.
type meansWithErrors struct {
	plotter.XYs
	plotter.YErrors
}

// Plot is one figure over the levels of a factor, a line for each place, as SVG.
func Plot(r *Results, by, figure string, rules paired.Options) ([]byte, error) {
	r.Figures = []string{figure}
	rep, err := buildReport(r, by, rules)
	if err != nil {
		return nil, err
	}
	plots, err := rep.overview()
	if err != nil {
		return nil, err
	}
	if len(plots) == 0 {
		return nil, fmt.Errorf("%w: a plot wants a factor with two levels", ErrNoLevel)
	}
	return []byte(plots[0]), nil
}
