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
var page string

// colours are told apart also by who does not see all of them (Okabe and Ito).
var colours = []color.Color{color.RGBA{0, 114, 178, 255}, color.RGBA{213, 94, 0, 255}, color.RGBA{0, 158, 115, 255}, color.RGBA{204, 121, 167, 255},
	color.RGBA{230, 159, 0, 255}, color.RGBA{86, 180, 233, 255}, color.RGBA{0, 0, 0, 255}}

var dashes = [][]vg.Length{nil, {6, 3}, {2, 2}, {8, 2, 2, 2}}

// part is what a report says of the cells that differ in one factor alone.
type part struct {
	Where  string
	Levels []level
	Told   []Comparison
	Plots  []template.HTML
}

// level is one of them.
type level struct {
	Name         string
	Runs, Failed int
	Why          string // of the first that failed
	Means        []float64
	Spreads      []float64 // standard deviations; NaN of one run
	Beyond       int
	latency      *hdrhistogram.Histogram
	seconds      []secondMeans
}

type secondMeans struct {
	offered        bool
	worth, refused float64
}

// report gathers what a report says, by the levels of a factor.
type report struct {
	*Experiment
	Rows, Failed int
	Builds       []string
	Torn         []error
	By           string
	Parts        []part
	Figures      []*Figure
	Overview     []template.HTML
}

// gather puts a report together; by names the factor whose levels stand side by side, the first if it is empty.
func gather(r *Results, by string, rules paired.Options) (*report, error) {
	out := &report{Experiment: r.Experiment, Rows: len(r.Rows), Torn: r.Torn}
	for _, name := range r.Figures {
		out.Figures = append(out.Figures, FigureOf(name))
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
		if told, err = Within(r, by, "", "", r.Figures, rules); err != nil {
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
		w := where(c.Levels, i)
		if slices.ContainsFunc(out.Parts, func(p part) bool { return p.Where == w }) {
			continue
		}
		p := part{Where: w}
		for _, name := range levels {
			l, err := gatherLevel(r, out.Figures, name, func(cell []string) bool { return where(cell, i) == w && (i < 0 || cell[i] == name) })
			if err != nil {
				return nil, err
			}
			p.Levels = append(p.Levels, l)
		}
		for _, c := range told {
			if c.Where == w {
				p.Told = append(p.Told, c)
			}
		}
		out.Parts = append(out.Parts, p)
	}
	return out, nil
}

func gatherLevel(r *Results, figures []*Figure, name string, in func(cell []string) bool) (level, error) {
	l := level{Name: name}
	values := make([][]float64, len(figures))
	for _, row := range r.Rows {
		if !in(row.Cell) {
			continue
		}
		if row.Failed != "" {
			l.Failed++
			if l.Why == "" {
				l.Why = row.Failed
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
			l.seconds[i].worth += share(s.WeightServed, s.WeightOffered)
			l.seconds[i].refused += share(float64(s.Rejected+s.Failed), float64(s.Offered))
		}
	}
	for i := range l.seconds {
		l.seconds[i].worth /= float64(l.Runs)
		l.seconds[i].refused /= float64(l.Runs)
	}
	for _, v := range values {
		mean, sd := math.NaN(), math.NaN()
		if len(v) > 0 {
			mean = stat.Mean(v, nil)
		}
		if len(v) > 1 {
			sd = stat.StdDev(v, nil)
		}
		l.Means, l.Spreads = append(l.Means, mean), append(l.Spreads, sd)
	}
	return l, nil
}

// number writes a figure as people read it.
func number(v float64) string {
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
	rep, err := gather(r, by, rules)
	if err != nil {
		return nil, err
	}
	for i := range rep.Parts {
		if err := rep.Parts[i].draw(); err != nil {
			return nil, err
		}
	}
	if rep.Overview, err = rep.overview(); err != nil {
		return nil, err
	}
	t, err := template.New("report").Funcs(template.FuncMap{"number": number, "signed": signed}).Parse(page)
	if err != nil {
		return nil, err
	}
	var b bytes.Buffer
	err = t.Execute(&b, rep)
	return b.Bytes(), err
}

func signed(v float64) string {
	if v > 0 {
		return "+" + number(v)
	}
	return number(v)
}

// Markdown is a report without its plots.
func Markdown(r *Results, by string, rules paired.Options) ([]byte, error) {
	rep, err := gather(r, by, rules)
	if err != nil {
		return nil, err
	}
	var b bytes.Buffer
	cell := func(s string) string { return strings.ReplaceAll(s, "|", "\\|") }
	fmt.Fprintf(&b, "# %s\n\n%d runs, %d failed, seed %d, %d repetitions, experiment %s, build %s.\n", rep.Name, rep.Rows, rep.Failed, rep.Seed, rep.Repetitions, rep.Digest,
		strings.Join(rep.Builds, ", "))
	for _, err := range rep.Torn {
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
				fmt.Fprintf(&b, " %s", number(l.Means[i]))
				if !math.IsNaN(l.Spreads[i]) {
					fmt.Fprintf(&b, " ± %s", number(l.Spreads[i]))
				}
				b.WriteString(" |")
			}
			b.WriteString("\n")
		}
		for _, l := range p.Levels {
			if l.Failed > 0 {
				fmt.Fprintf(&b, "\n%s: %d runs failed: %s\n", l.Name, l.Failed, l.Why)
			}
			if l.Beyond > 0 {
				fmt.Fprintf(&b, "\n%s: %d latencies are beyond the histogram's range, and in no quantile.\n", l.Name, l.Beyond)
			}
		}
		if len(p.Told) > 0 {
			b.WriteString("\n| against " + cell(p.Told[0].A) + " | figure | difference | 95% interval | verdict |\n| --- | --- | --- | --- | --- |\n")
			for _, c := range p.Told {
				fmt.Fprintf(&b, "| %s | %s | %s | %s to %s | %s |\n", cell(c.B), c.Figure.Name, signed(c.Told.Mean), signed(c.Told.Low), signed(c.Told.High), c.Verdict())
			}
		}
	}
	return b.Bytes(), nil
}

// draw makes a part's plots.
func (p *part) draw() error {
	some := slices.ContainsFunc(p.Levels, func(l level) bool { return l.Runs > 0 })
	if !some {
		return nil
	}
	cdf, err := p.chart("Latency of served calls", "ms", "share at or below", func(l *level) plotter.XYs {
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
	worth, err := p.chart("Worth served, of offered", "s", "share", func(l *level) plotter.XYs {
		return l.series(func(s secondMeans) float64 { return s.worth })
	}, false)
	if err != nil {
		return err
	}
	refused, err := p.chart("Calls not served", "s", "share", func(l *level) plotter.XYs {
		return l.series(func(s secondMeans) float64 { return s.refused })
	}, false)
	if err != nil {
		return err
	}
	p.Plots = []template.HTML{cdf, worth, refused}
	return nil
}

func (l *level) series(of func(secondMeans) float64) (out plotter.XYs) {
	for i, s := range l.seconds {
		if s.offered { // not of the warm-up
			out = append(out, plotter.XY{X: float64(i), Y: of(s)})
		}
	}
	return out
}

// line styles a series so that it is told apart where others lie on it.
func style(line *plotter.Line, i int) {
	line.Color, line.Width, line.Dashes = colours[i%len(colours)], vg.Points(1.6-0.1*float64(min(i, 6))), dashes[i%len(dashes)]
}

// svg draws a plot.
func svg(p *plot.Plot, w, h vg.Length) (template.HTML, error) {
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
type wholeTicks struct{ plot.DefaultTicks }

// Ticks is plot.Ticker's.
func (t wholeTicks) Ticks(least, most float64) []plot.Tick {
	ticks := t.DefaultTicks.Ticks(least, most)
	for i := range ticks {
		if ticks[i].Label != "" {
			ticks[i].Label = strconv.FormatFloat(ticks[i].Value, 'g', 4, 64)
		}
	}
	return ticks
}

// chart draws a line for each level.
func (p *part) chart(title, x, y string, of func(l *level) plotter.XYs, logarithmic bool) (template.HTML, error) {
	c := plot.New()
	c.Title.Text, c.X.Label.Text, c.Y.Label.Text = title, x, y
	c.X.Tick.Marker = wholeTicks{}
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
		style(line, i)
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
	return svg(c, 15*vg.Centimeter, 8*vg.Centimeter)
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
			ticks = append(ticks, plot.Tick{Value: x, Label: wrapped(names[i].Name, 64/len(names))})
		}
		for i, p := range r.Parts {
			var xys errorXYs
			for j, l := range p.Levels {
				if mean, sd := l.Means[f], l.Spreads[f]; !math.IsNaN(mean) {
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
			style(line, i)
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
		text, err := svg(c, 12*vg.Centimeter, 7*vg.Centimeter)
		if err != nil {
			return nil, err
		}
		out = append(out, text)
	}
	return out, nil
}

// wrapped breaks a label into lines of about so many letters, between words.
func wrapped(label string, width int) string {
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
type errorXYs struct {
	plotter.XYs
	plotter.YErrors
}

// Plot is one figure over the levels of a factor, a line for each place, as SVG.
func Plot(r *Results, by, figure string, rules paired.Options) ([]byte, error) {
	r.Figures = []string{figure}
	rep, err := gather(r, by, rules)
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
