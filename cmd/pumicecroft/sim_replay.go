package main

import (
	"fmt"
	"io"

	"pumicecroft/internal/sim"
)

type replayCommand struct {
	Seed  uint64 `name:"seed" required:"" help:"The seed to run."`
	Trace bool   `name:"trace" help:"Print each line of the trace."`
}

// Run runs one seed and prints its result.
func (c *replayCommand) Run(out io.Writer) error {
	var o sim.Options
	if c.Trace {
		o.Trace = func(l string) { fmt.Fprintln(out, l) }
	}
	return printRun(sim.Run(c.Seed, o), out)
}

type shrinkCommand struct {
	Seed uint64 `name:"seed" required:"" help:"The seed whose script is shrunk."`
}

// Run shrinks the script of a seed that violates a rule, and prints it as an entry for the corpus.
func (c *shrinkCommand) Run(out io.Writer) error {
	res := sim.Shrink(sim.Run(c.Seed, sim.Options{}), sim.Options{})
	err := printRun(res, out)
	if err != nil {
		text, err := sim.Case{Seed: res.Seed, Cause: "?", Rule: res.Violations[0].Rule,
			Script: res.Script}.MarshalTOML()
		if err != nil {
			return err
		}
		fmt.Fprintf(out, "\n%s", text)
	}
	return err
}
