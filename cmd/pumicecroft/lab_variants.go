package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"

	"pumicecroft/internal/lab"
)

type labVariants struct {
	comparisonOptions
	File       string `arg:"" name:"file" help:"The file of variants: edits of source files, in the format of internal/sim/testdata/mutants.toml."`
	Experiment string `arg:"" name:"experiment" help:"The experiment file."`
	Dir        string `name:"dir" short:"d" required:"" help:"The directory of the results; each variant has a subdirectory."`
	Root       string `name:"root" default:"." help:"The root directory of the module."`
	Jobs       int    `name:"jobs" short:"j" default:"${jobs}" help:"Number of processors to use."`
}

// unsafePathChars are replaced in names of variants, from which names of directories are made.
var unsafePathChars = regexp.MustCompile(`[^A-Za-z0-9._-]+`)

// Run builds the program unchanged and with each variant, runs the experiment with each build, and
// compares the variants with the unchanged program. It doesn't change the source tree.
func (c *labVariants) Run(ctx context.Context, out io.Writer) error {
	list, err := readMutants(c.File)
	if err != nil {
		return err
	}
	root, err := filepath.Abs(c.Root)
	if err != nil {
		return err
	}
	unchanged := mutant{Name: "as it is"}
	for _, m := range append([]mutant{unchanged}, list...) {
		if err := c.run(ctx, m, root, out); err != nil {
			return fmt.Errorf("%s: %w", m.Name, err)
		}
	}
	a, err := lab.Read(c.dir(unchanged))
	if err != nil {
		return err
	}
	figures, err := c.selectedFigures(a.Experiment)
	if err != nil {
		return err
	}
	var comparisons []lab.Comparison
	for _, m := range list {
		b, err := lab.Read(c.dir(m))
		if err != nil {
			return err
		}
		more, err := lab.CompareResults(a, b, unchanged.Name, m.Name, figures, c.pairedOptions())
		if err != nil {
			return err
		}
		comparisons = append(comparisons, more...)
	}
	return printComparisons(comparisons, out)
}

// dir returns the directory of a variant's results.
func (c *labVariants) dir(m mutant) string {
	return filepath.Join(c.Dir, unsafePathChars.ReplaceAllString(m.Name, "-"))
}

// run builds one variant and runs the experiment with it in a process of its own.
func (c *labVariants) run(ctx context.Context, m mutant, root string, out io.Writer) error {
	dir, err := os.MkdirTemp("", "variant")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	program, err := m.build(root, dir)
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "%s:\n", m.Name)
	jobs := strconv.Itoa(max(1, c.Jobs))
	cmd := exec.CommandContext(ctx, program, "lab", "run", c.Experiment, "-d", c.dir(m), "-j", jobs)
	cmd.Cancel = func() error { return cmd.Process.Signal(os.Interrupt) } // results of finished runs are kept
	cmd.Stdout, cmd.Stderr = io.Discard, out
	if err := cmd.Run(); err != nil {
		return errors.Join(err, ctx.Err())
	}
	return nil
}
