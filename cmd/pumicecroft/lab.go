package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"text/tabwriter"
	"time"

	"pumicecroft/internal/lab"
	"pumicecroft/internal/paired"
)

// labCommand runs experiments in an emulated region and evaluates their results.
type labCommand struct {
	Check    labCheck    `cmd:"" name:"check" help:"Check an experiment file and print each error with its key and line."`
	Run      labRun      `cmd:"" name:"run" help:"Run an experiment; runs whose results exist already are skipped."`
	Compare  labCompare  `cmd:"" name:"compare" help:"Compare results in pairs of runs with the same seed, and print which is better."`
	Report   labReport   `cmd:"" name:"report" help:"Write a report on the results in a directory, as an HTML page with plots or as Markdown."`
	Variants labVariants `cmd:"" name:"variants" help:"Build the program with each variant of its source, run an experiment with each build and compare the results."`
	Paper    labPaper    `cmd:"" name:"paper" help:"Solve the cases of the paper on which the design is based, and print the results beside the paper's."`
	Figures  labFigures  `cmd:"" name:"figures" help:"Print the figures by which runs are measured."`
}

type labCheck struct {
	File string `arg:"" name:"file" help:"The experiment file, such as lab/policies.toml."`
}

// Run checks an experiment file.
func (c *labCheck) Run(out io.Writer) error {
	e, err := lab.ReadFile(c.File)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(out, "%s is valid: %d cells of %d runs each\n", c.File, len(e.Cells), e.Repetitions)
	return err
}

type labRun struct {
	File string `arg:"" name:"file" help:"The experiment file."`
	Dir  string `name:"dir" short:"d" help:"The directory of the results; by default results/ followed by the name of the file without its extension."`
	Jobs jobs   `name:"jobs" short:"j" default:"${jobs}" help:"Number of processors to use."`
}

// Run runs an experiment, except for runs whose results are in the directory already. If it is
// interrupted, the results so far are kept, and the next Run continues from there.
func (c *labRun) Run(ctx context.Context, out io.Writer) error {
	if c.Dir == "" {
		c.Dir = filepath.Join("results", strings.TrimSuffix(filepath.Base(c.File), filepath.Ext(c.File)))
	}
	started := time.Now()
	printRow := func(done, all int, r *lab.Row) {
		result := fmt.Sprintf("worth %.4f, %d events", r.Figures["worth"], r.Events)
		if r.FailureReason != "" {
			result = "FAILED: " + r.FailureReason
		}
		fmt.Fprintf(out, "%d of %d: %s, seed %d: %s\n", done, all, strings.Join(r.Cell, " / "), r.Repetition, result)
	}
	ran, err := lab.Run(ctx, c.File, c.Dir, lab.RunOptions{Jobs: int(c.Jobs), OnRun: printRow})
	for _, damaged := range ran.Damaged {
		fmt.Fprintln(out, "repeated a run with a damaged result:", damaged)
	}
	if ran.Total > 0 {
		fmt.Fprintf(out, "%d of %d runs are in %s: %d existed, %d new in %.1f s, %d of the new ones failed\n",
			ran.Existing+ran.Completed-ran.Failed, ran.Total, c.Dir, ran.Existing, ran.Completed,
			time.Since(started).Seconds(), ran.Failed)
	}
	if errors.Is(err, context.Canceled) {
		return fmt.Errorf("interrupted; run the same command again to continue")
	}
	return err
}

// comparisonOptions are the flags of commands that compare results.
type comparisonOptions struct {
	Confidence float64  `name:"level" default:"0.95" help:"Confidence level of the intervals."`
	Figure     []string `name:"figure" short:"f" help:"A figure to compare; by default the figures that the experiment names. May be repeated."`
}

func (c *comparisonOptions) pairedOptions() paired.Options {
	return paired.Options{Confidence: c.Confidence, Seed: 1}
}

// selectedFigures returns the figures to compare, those of the experiment by default.
func (c *comparisonOptions) selectedFigures(e *lab.Experiment) ([]string, error) {
	for _, name := range c.Figure {
		if err := checkFigure(name); err != nil {
			return nil, err
		}
	}
	if len(c.Figure) == 0 {
		return e.Figures, nil
	}
	return c.Figure, nil
}

// checkFigure returns a usageError unless name is the name of a figure.
func checkFigure(name string) error {
	if lab.FigureByName(name) == nil {
		return usageError{fmt.Errorf("%q is not a figure; want one of %s", name, strings.Join(lab.FigureNames(), ", "))}
	}
	return nil
}

type labCompare struct {
	comparisonOptions
	Dir           string `arg:"" name:"dir" help:"The directory of the results."`
	OtherDir      string `arg:"" name:"other" optional:"" help:"The directory of results of the same experiment with another build, to compare with the first."`
	Factor        string `name:"factor" help:"The factor whose levels are compared, if there is one directory; by default the experiment's first."`
	BaseLevel     string `name:"of" help:"The baseline level, A; by default the factor's first."`
	ComparedLevel string `name:"with" help:"The level to compare with the baseline, B; by default each other level."`
}

// Run compares two directories of results, or the levels of a factor in one directory.
func (c *labCompare) Run(out io.Writer) error {
	a, err := lab.Read(c.Dir)
	if err != nil {
		return err
	}
	figures, err := c.selectedFigures(a.Experiment)
	if err != nil {
		return err
	}
	var comparisons []lab.Comparison
	if c.OtherDir != "" {
		b, err := lab.Read(c.OtherDir)
		if err != nil {
			return err
		}
		comparisons, err = lab.CompareResults(a, b, c.Dir, c.OtherDir, figures, c.pairedOptions())
		if err != nil {
			return err
		}
	} else {
		if c.Factor == "" && len(a.Factors) > 0 {
			c.Factor = a.Factors[0].Name
		}
		if comparisons, err = lab.CompareLevels(a, c.Factor, c.BaseLevel, c.ComparedLevel, figures,
			c.pairedOptions()); err != nil {
			return usageError{err}
		}
	}
	return printComparisons(comparisons, out)
}

// printComparisons prints a table of comparisons, each with its verdict on B.
func printComparisons(comparisons []lab.Comparison, out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "WHERE\tA\tB\tFIGURE\tPAIRS\tA'S\tB'S\tDIFFERENCE\tINTERVAL\tB IS")
	for _, c := range comparisons {
		d := c.Result
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%.4g\t%.4g\t%+.3g\t%+.3g to %+.3g\t%s\n",
			c.OtherLevels, c.A, c.B, c.Figure.Name, d.Pairs, d.MeanA, d.MeanB, d.Mean, d.Low, d.High, c.Verdict())
	}
	return w.Flush()
}

type labReport struct {
	comparisonOptions
	Dir      string `arg:"" name:"dir" help:"The directory of the results."`
	GroupBy  string `name:"by" help:"The factor whose levels are shown side by side; by default the experiment's first."`
	Out      string `name:"out" short:"o" help:"The file to write; by default report.html, report.md or FIGURE.svg in the directory."`
	Markdown bool   `name:"markdown" xor:"form" help:"Write Markdown, without plots."`
	Plot     string `name:"plot" xor:"form" placeholder:"FIGURE" help:"Write only a plot of this figure over the levels, as SVG."`
}

// Run writes a report and prints the path of its file.
func (c *labReport) Run(out io.Writer) error {
	r, err := lab.Read(c.Dir)
	if err != nil {
		return err
	}
	if r.Figures, err = c.selectedFigures(r.Experiment); err != nil {
		return err
	}
	write, name := lab.HTML, "report.html"
	if c.Markdown {
		write, name = lab.Markdown, "report.md"
	}
	if c.Plot != "" {
		if err := checkFigure(c.Plot); err != nil {
			return err
		}
		name = c.Plot + ".svg"
		write = func(r *lab.Results, by string, rules paired.Options) ([]byte, error) {
			return lab.Plot(r, by, c.Plot, rules)
		}
	}
	text, err := write(r, c.GroupBy, c.pairedOptions())
	if err != nil {
		return err
	}
	if c.Out == "" {
		c.Out = filepath.Join(c.Dir, name)
	}
	if err := os.WriteFile(c.Out, text, 0o644); err != nil {
		return err
	}
	_, err = fmt.Fprintln(out, c.Out)
	return err
}

type labFigures struct{}

// Run prints each figure, whether lower or higher is better, and its description.
func (labFigures) Run(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	for _, f := range lab.Figures {
		better := "lower is better"
		if f.HigherIsBetter {
			better = "higher is better"
		}
		fmt.Fprintf(w, "%s\t%s\t%s\n", f.Name, better, f.Description)
	}
	return w.Flush()
}
