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

// labCommand is the laboratory.
type labCommand struct {
	Check    labCheck    `cmd:"" name:"check" help:"Check an experiment's file, and name key and line of each error."`
	Run      labRun      `cmd:"" name:"run" help:"Make all runs of an experiment that its directory lacks."`
	Compare  labCompare  `cmd:"" name:"compare" help:"Say which of two ways is better, by runs under the same chance."`
	Report   labReport   `cmd:"" name:"report" help:"Write a directory's results as one page with plots, or as Markdown."`
	Variants labVariants `cmd:"" name:"variants" help:"Build the program with edits of its files, one at a time, and compare what they come to."`
	Paper    labPaper    `cmd:"" name:"paper" help:"Solve the loads of the paper that the design goes back to, and print them beside its own figures."`
	Figures  labFigures  `cmd:"" name:"figures" help:"Print what a run is measured by."`
}

type labCheck struct {
	File string `arg:"" name:"file" help:"An experiment's file, such as lab/policies.toml."`
}

// Run checks a file.
func (c *labCheck) Run(out io.Writer) error {
	e, err := lab.ReadFile(c.File)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(out, "%s is good: %d cells of %d runs each\n", c.File, len(e.Cells), e.Repetitions)
	return err
}

type labRun struct {
	File string `arg:"" name:"file" help:"An experiment's file."`
	Dir  string `name:"dir" short:"d" help:"Where its results are kept; results/ and the file's name, if none is given."`
	Jobs jobs   `name:"jobs" short:"j" default:"${jobs}" help:"Processors to use."`
}

// Run makes what runs are not there yet. Ended early, it keeps what it has, and goes on from there the next time.
func (c *labRun) Run(ctx context.Context, out io.Writer) error {
	if c.Dir == "" {
		c.Dir = filepath.Join("results", strings.TrimSuffix(filepath.Base(c.File), filepath.Ext(c.File)))
	}
	begun := time.Now()
	ran, err := lab.Run(ctx, c.File, c.Dir, lab.RunOptions{Jobs: int(c.Jobs), OnRun: func(done, all int, r *lab.Row) {
		word := fmt.Sprintf("worth %.4f, %d events", r.Figures["worth"], r.Events)
		if r.Failed != "" {
			word = "FAILED: " + r.Failed
		}
		fmt.Fprintf(out, "%d of %d: %s, seed %d: %s\n", done, all, strings.Join(r.Cell, " / "), r.Repetition, word)
	}})
	for _, torn := range ran.Damaged {
		fmt.Fprintln(out, "made again:", torn)
	}
	if ran.Total > 0 {
		fmt.Fprintf(out, "%d of %d runs are in %s: %d were there, %d made in %.1f s, %d of them failed\n", ran.Existing+ran.Completed-ran.Failed, ran.Total, c.Dir, ran.Existing, ran.Completed,
			time.Since(begun).Seconds(), ran.Failed)
	}
	if errors.Is(err, context.Canceled) {
		return fmt.Errorf("ended early; the same command goes on from there")
	}
	return err
}

// comparisonOptions is how verdicts are reached.
type comparisonOptions struct {
	Level  float64  `name:"level" default:"0.95" help:"Of the intervals."`
	Figure []string `name:"figure" short:"f" help:"A figure to compare; those that the experiment names, if none is given. May be repeated."`
}

func (j *comparisonOptions) pairedOptions() paired.Options {
	return paired.Options{Confidence: j.Level, Seed: 1}
}

func (j *comparisonOptions) selectedFigures(e *lab.Experiment) ([]string, error) {
	for _, name := range j.Figure {
		if err := checkFigure(name); err != nil {
			return nil, err
		}
	}
	if len(j.Figure) == 0 {
		return e.Figures, nil
	}
	return j.Figure, nil
}

func checkFigure(name string) error {
	if lab.FigureByName(name) == nil {
		return usageError{fmt.Errorf("%q is none of %s", name, strings.Join(lab.FigureNames(), ", "))}
	}
	return nil
}

type labCompare struct {
	comparisonOptions
	Dir    string `arg:"" name:"dir" help:"Results."`
	Other  string `arg:"" name:"other" optional:"" help:"Results of the same experiment by another build, to compare with the first."`
	Factor string `name:"factor" help:"Within one directory: the factor whose levels are compared; the first, if none is given."`
	Of     string `name:"of" help:"The level that others are compared with; the factor's first."`
	With   string `name:"with" help:"The one to compare with it; all, if none is given."`
}

// Run prints a table of verdicts.
func (c *labCompare) Run(out io.Writer) error {
	a, err := lab.Read(c.Dir)
	if err != nil {
		return err
	}
	figures, err := c.selectedFigures(a.Experiment)
	if err != nil {
		return err
	}
	var told []lab.Comparison
	if c.Other != "" {
		b, err := lab.Read(c.Other)
		if err != nil {
			return err
		}
		told, err = lab.CompareResults(a, b, c.Dir, c.Other, figures, c.pairedOptions())
		if err != nil {
			return err
		}
	} else {
		if c.Factor == "" && len(a.Factors) > 0 {
			c.Factor = a.Factors[0].Name
		}
		if told, err = lab.CompareLevels(a, c.Factor, c.Of, c.With, figures, c.pairedOptions()); err != nil {
			return usageError{err}
		}
	}
	return printComparisons(told, out)
}

// printComparisons prints a table of verdicts.
func printComparisons(told []lab.Comparison, out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "WHERE\tA\tB\tFIGURE\tPAIRS\tA'S\tB'S\tDIFFERENCE\tINTERVAL\tB IS")
	for _, t := range told {
		d := t.Result
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%.4g\t%.4g\t%+.3g\t%+.3g to %+.3g\t%s\n", t.Where, t.A, t.B, t.Figure.Name, d.Pairs, d.MeanA, d.MeanB, d.Mean, d.Low, d.High, t.Verdict())
	}
	return w.Flush()
}

type labReport struct {
	comparisonOptions
	Dir      string `arg:"" name:"dir" help:"Results."`
	By       string `name:"by" help:"The factor whose levels stand side by side; the first, if none is given."`
	Out      string `name:"out" short:"o" help:"The file to write; report.html or report.md in the directory, if none is given."`
	Markdown bool   `name:"markdown" xor:"form" help:"Markdown, without plots."`
	Plot     string `name:"plot" xor:"form" placeholder:"FIGURE" help:"One figure over the levels alone, as SVG."`
}

// Run writes a report.
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
	text, err := write(r, c.By, c.pairedOptions())
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

// Run prints the figures.
func (labFigures) Run(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	for _, f := range lab.Figures {
		better := "less is better"
		if f.HigherIsBetter {
			better = "more is better"
		}
		fmt.Fprintf(w, "%s\t%s\t%s\n", f.Name, better, f.Description)
	}
	return w.Flush()
}
