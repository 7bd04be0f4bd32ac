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
	File       string `arg:"" name:"file" help:"Variants: edits of the program's files, in the form of internal/sim/testdata/mutants.toml."`
	Experiment string `arg:"" name:"experiment" help:"An experiment's file."`
	Dir        string `name:"dir" short:"d" required:"" help:"Where results are kept, a directory for each variant."`
	Root       string `name:"root" default:"." help:"The module's folder."`
	Jobs       int    `name:"jobs" short:"j" default:"${jobs}" help:"Processors to use."`
}

var unsafePathChars = regexp.MustCompile(`[^A-Za-z0-9._-]+`)

// Run builds the program as it is and with each variant, runs the experiment with all of them, and compares. The tree stays as it is.
func (c *labVariants) Run(ctx context.Context, out io.Writer) error {
	list, err := readMutants(c.File)
	if err != nil {
		return err
	}
	root, err := filepath.Abs(c.Root)
	if err != nil {
		return err
	}
	asItIs := mutant{Name: "as it is"}
	for _, m := range append([]mutant{asItIs}, list...) {
		if err := c.run(ctx, m, root, out); err != nil {
			return fmt.Errorf("%s: %w", m.Name, err)
		}
	}
	a, err := lab.Read(c.dir(asItIs))
	if err != nil {
		return err
	}
	figures, err := c.selectedFigures(a.Experiment)
	if err != nil {
		return err
	}
	var told []lab.Comparison
	for _, m := range list {
		b, err := lab.Read(c.dir(m))
		if err != nil {
			return err
		}
		more, err := lab.CompareResults(a, b, asItIs.Name, m.Name, figures, c.pairedOptions())
		if err != nil {
			return err
		}
		told = append(told, more...)
	}
	return printComparisons(told, out)
}

func (c *labVariants) dir(m mutant) string {
	return filepath.Join(c.Dir, unsafePathChars.ReplaceAllString(m.Name, "-"))
}

// run builds one variant, and runs the experiment by it.
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
	cmd := exec.CommandContext(ctx, program, "lab", "run", c.Experiment, "-d", c.dir(m), "-j", strconv.Itoa(max(1, c.Jobs)))
	cmd.Cancel = func() error { return cmd.Process.Signal(os.Interrupt) } // it keeps what it has
	cmd.Stdout, cmd.Stderr = io.Discard, out
	if err := cmd.Run(); err != nil {
		return errors.Join(err, ctx.Err())
	}
	return nil
}
