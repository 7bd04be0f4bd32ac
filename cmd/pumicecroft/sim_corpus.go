package main

import (
	"errors"
	"fmt"
	"io"
	"os"

	"pumicecroft/internal/sim"
)

// corpusFile is the default corpus file, relative to the module's root.
const corpusFile = "internal/sim/testdata/corpus.toml"

type corpusCommand struct {
	File string `name:"file" default:"${corpus}" help:"The corpus file."`
}

// Run runs all cases of the corpus.
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
	for _, c := range cases {
		fmt.Fprintf(out, "%s (%s):\n", c.Cause, c.Rule)
		broken = errors.Join(broken, printRun(sim.Run(c.Seed, sim.Options{Script: &c.Script}), out))
	}
	return broken
}
