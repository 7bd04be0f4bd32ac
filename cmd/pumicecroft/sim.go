package main

import (
	"errors"
	"fmt"
	"io"

	"pumicecroft/internal/sim"
)

// errRuleBroken ends a command that found a rule broken, or a planted bug that was not found.
var errRuleBroken = errors.New("a rule was broken")

// simCommand is seeded runs.
type simCommand struct {
	Run     runCommand     `cmd:"" name:"run" help:"Run all seeds of a range: what broke, and how fast it went."`
	Replay  replayCommand  `cmd:"" name:"replay" help:"Run one seed again, with its script and its trace."`
	Shrink  shrinkCommand  `cmd:"" name:"shrink" help:"Find the smallest script by which a seed still breaks its rule."`
	Corpus  corpusCommand  `cmd:"" name:"corpus" help:"Run the scripts that broke a rule once."`
	Mutants mutantsCommand `cmd:"" name:"mutants" help:"Build the simulation with one planted bug at a time and run seeds until each is caught."`
}

// printRun prints what came of one run.
func printRun(r sim.Result, out io.Writer) error {
	fmt.Fprintf(out, "seed %d: %d steps, %.1f s, trace %016x; served %d, refused %d, failed %d, lost with their doors %d\n%v", r.Seed, r.Steps,
		r.Simulated.Seconds(), r.Hash, r.Served, r.Rejected, r.Failed, r.LostWithGateway, r.Script)
	for _, v := range r.Violations {
		fmt.Fprintln(out, "BROKEN", v)
	}
	if len(r.Violations) > 0 {
		return errRuleBroken
	}
	return nil
}
