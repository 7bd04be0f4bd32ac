package main

import (
	"errors"
	"fmt"
	"io"
	"os"

	"pumicecroft/internal/sim"
)

// corpusFile is where the cases stand in the module.
const corpusFile = "internal/sim/testdata/corpus.toml"

type corpusCommand struct {
	File string `name:"file" default:"${corpus}" help:"The cases."`
}

// Run runs all cases of a corpus.
func (c *corpusCommand) Run(out io.Writer) error {
	text, err := os.ReadFile(c.File)
	if err != nil {
		return err
	}
	cases, err := sim.ReadCorpus(text)
	if err != nil {
		return fmt.Errorf("%s: %w", c.File, err)
	}
	var broken error
	for _, k := range cases {
		fmt.Fprintf(out, "%s (%s):\n", k.Cause, k.Rule)
		broken = errors.Join(broken, printRun(sim.Run(k.Seed, sim.Options{Script: &k.Script}), out))
	}
	return broken
}
