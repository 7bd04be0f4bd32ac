package lab

import (
	"bytes"
	"fmt"
	"html/template"
	"image/color"
	"math"
	"slices"
	"strconv"
	"strings"

	"pumicecroft/internal/paired"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

// palette is that of Okabe and Ito, whose colors are distinguishable with color blindness.
var palette = []color.Color{
	color.RGBA{0, 114, 178, 255}, color.RGBA{213, 94, 0, 255}, color.RGBA{0, 158, 115, 255},
	color.RGBA{204, 121, 167, 255}, color.RGBA{230, 159, 0, 255}, color.RGBA{86, 180, 233, 255},
	color.RGBA{0, 0, 0, 255},
}

// dashes are the dash patterns of lines.
var dashes = [][]vg.Length{nil, {6, 3}, {2, 2}, {8, 2, 2, 2}}

// plot draws the plots of a section.
func (s *section) plot() error {
	if !slices.ContainsFunc(s.Levels, func(l levelSummary) bool { return l.Runs > 0 }) {
		return nil
	}
	cdf, err := s.lineChart("Latency of served calls", "ms", "share at or below", func(l *levelSummary) plotter.XYs {
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
	weight, err := s.lineChart("Served share of the offered worth", "s", "share", func(l *levelSummary) plotter.XYs {
		return l.series(func(s secondMeans) float64 { return s.weightServed })
	}, false)
	if err != nil {
		return err
	}
	notServed, err := s.lineChart("Calls not served", "s", "share", func(l *levelSummary) plotter.XYs {
		return l.series(func(s secondMeans) float64 { return s.notServed })
	}, false)
	if err != nil {
		return err
	}
	s.Plots = []template.HTML{cdf, weight, notServed}
	return nil
}

// series returns one of the means over time, without the warm-up.
func (l *levelSummary) series(value func(secondMeans) float64) (out plotter.XYs) {
	for i, s := range l.seconds {
		if s.offered {
			out = append(out, plotter.XY{X: float64(i), Y: value(s)})
		}
	}
	return out
}

// styleLine styles the i-th line of a plot so that it is visible where lines overlap.
func styleLine(line *plotter.Line, i int) {
	line.Color, line.Dashes = palette[i%len(palette)], dashes[i%len(dashes)]
	line.Width = vg.Points(1.6 - 0.1*float64(min(i, 6)))
}

// renderSVG renders a plot as an SVG element.
func renderSVG(p *plot.Plot, w, h vg.Length) (template.HTML, error) {
	p.Title.TextStyle.Font.Size, p.Legend.TextStyle.Font.Size = 13, 10
	canvas := vgsvg.New(w, h)
	p.Draw(draw.New(canvas))
	var b bytes.Buffer
	if _, err := canvas.WriteTo(&b); err != nil {
		return "", err
	}
	text := b.String()
	if i := strings.Index(text, "<svg"); i >= 0 { // without the XML declaration
		text = text[i:]
	}
	return template.HTML(text), nil // names of levels are escaped by the canvas
}

// compactTicks labels an axis with at most four significant digits.
type compactTicks struct{ plot.DefaultTicks }

// Ticks implements plot.Ticker.
func (t compactTicks) Ticks(low, high float64) []plot.Tick {
	ticks := t.DefaultTicks.Ticks(low, high)
	for i := range ticks {
		if ticks[i].Label != "" {
			ticks[i].Label = strconv.FormatFloat(ticks[i].Value, 'g', 4, 64)
		}
	}
	return ticks
}

// lineChart draws a plot with one line for each level.
func (s *section) lineChart(
	title, x, y string, values func(l *levelSummary) plotter.XYs, logarithmic bool,
) (template.HTML, error) {
	c := plot.New()
	c.Title.Text, c.X.Label.Text, c.Y.Label.Text = title, x, y
	c.X.Tick.Marker = compactTicks{}
	c.Add(plotter.NewGrid())
	minX, maxX, minY, maxY := math.Inf(1), 0.0, 1.0, 0.0
	for i := range s.Levels {
		xys := values(&s.Levels[i])
		if len(xys) == 0 {
			continue
		}
		line, err := plotter.NewLine(xys)
		if err != nil {
			return "", err
		}
		styleLine(line, i)
		c.Add(line)
		c.Legend.Add(s.Levels[i].Name, line)
		minX, maxX = min(minX, xys[0].X), max(maxX, xys[len(xys)-1].X)
		for _, v := range xys {
			minY, maxY = min(minY, v.Y), max(maxY, v.Y)
		}
	}
	c.Y.Min, c.Y.Max = 0, max(1e-3, 1.05*maxY)
	if minY > 0.5 {
		c.Y.Min = minY - 0.05
	}
	c.Legend.Top, c.Legend.Left = logarithmic, logarithmic
	c.Legend.ThumbnailWidth = vg.Points(24)
	if logarithmic && maxX > minX && minX > 0 {
		c.X.Scale, c.X.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
		c.X.Min = math.Pow(10, math.Floor(math.Log10(minX)))
		c.X.Max = math.Pow(10, math.Ceil(math.Log10(maxX)))
	}
	return renderSVG(c, 15*vg.Centimeter, 8*vg.Centimeter)
}

// overview draws one plot for each figure, over the levels, with one line for each section. If the names of all levels
// are positive numbers, these are their positions on a logarithmic axis.
func (r *report) overview() (out []template.HTML, err error) {
	if len(r.Sections) == 0 || len(r.Sections[0].Levels) < 2 {
		return nil, nil
	}
	ticks, numbers := levelTicks(r.Sections[0].Levels)
	for i, figure := range r.Figures {
		c, err := r.figureChart(i, figure, ticks)
		if err != nil {
			return nil, err
		}
		if numbers {
			c.X.Scale = plot.LogScale{}
		} else {
			c.X.Min, c.X.Max = -0.3, float64(len(ticks))-0.7
		}
		svg, err := renderSVG(c, 12*vg.Centimeter, 7*vg.Centimeter)
		if err != nil {
			return nil, err
		}
		out = append(out, svg)
	}
	return out, nil
}

// levelTicks returns the positions and labels of levels. numbers is true if the names of all levels are positive
// numbers, which are then their positions.
func levelTicks(levels []levelSummary) (ticks []plot.Tick, numbers bool) {
	var sizes []float64
	for _, l := range levels {
		v, err := strconv.ParseFloat(strings.ReplaceAll(l.Name, ",", ""), 64)
		if err == nil && v > 0 {
			sizes = append(sizes, v)
		}
	}
	numbers = len(sizes) == len(levels)
	for i, l := range levels {
		x := float64(i)
		if numbers {
			x = sizes[i]
		}
		ticks = append(ticks, plot.Tick{Value: x, Label: wrapLabel(l.Name, 64/len(levels))})
	}
	return ticks, numbers
}

// figureChart draws the i-th figure over the levels at ticks.
func (r *report) figureChart(i int, figure *Figure, ticks []plot.Tick) (*plot.Plot, error) {
	c := plot.New()
	c.Title.Text, c.X.Label.Text = figure.Name, r.Factor
	c.Add(plotter.NewGrid())
	maxY := 0.0
	for n, s := range r.Sections {
		var points meansWithErrors
		for j, l := range s.Levels {
			mean, stdDev := l.Means[i], l.StdDevs[i]
			if math.IsNaN(mean) {
				continue
			}
			if math.IsNaN(stdDev) {
				stdDev = 0
			}
			points.XYs = append(points.XYs, plotter.XY{X: ticks[j].Value, Y: mean})
			points.YErrors = append(points.YErrors, struct{ Low, High float64 }{stdDev, stdDev})
			maxY = max(maxY, mean+stdDev)
		}
		if len(points.XYs) == 0 {
			continue
		}
		line, err := plotter.NewLine(points.XYs)
		if err != nil {
			return nil, err
		}
		bars, err := plotter.NewYErrorBars(points)
		if err != nil {
			return nil, err
		}
		styleLine(line, n)
		bars.Color = line.Color
		c.Add(line, bars)
		if s.Label != "" {
			c.Legend.Add(s.Label, line)
		}
	}
	c.Y.Min, c.Y.Max = 0, max(1e-6, (1.1+0.09*float64(len(r.Sections)))*maxY) // leaves space for the legend
	c.X.Tick.Marker = plot.ConstantTicks(ticks)
	c.Legend.Top = true
	c.Legend.ThumbnailWidth = vg.Points(24)
	return c, nil
}

// wrapLabel breaks a label between words into lines of about width characters.
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

// meansWithErrors are means with their standard deviations.
type meansWithErrors struct {
	plotter.XYs
	plotter.YErrors
}

// Plot returns one figure over the levels of a factor as SVG, with one line for each combination of the other factors.
func Plot(r *Results, by, figure string, options paired.Options) ([]byte, error) {
	r.Figures = []string{figure}
	report, err := buildReport(r, by, options)
	if err != nil {
		return nil, err
	}
	plots, err := report.overview()
	if err != nil {
		return nil, err
	}
	if len(plots) == 0 {
		return nil, fmt.Errorf("%w: a plot requires a factor with at least two levels", ErrUnknownFactorOrLevel)
	}
	return []byte(plots[0]), nil
}
