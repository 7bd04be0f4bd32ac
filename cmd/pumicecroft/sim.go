package main

import (
	"errors"
	"fmt"
	"io"

	"pumicecroft/internal/sim"
)

// errRuleBroken is the error of a command that found a violation of a rule, or didn't catch a planted
// bug.
var errRuleBroken = errors.New("a rule was broken")

// simCommand runs gateways in a deterministic simulation of their clients, backends and network.
type simCommand struct {
	Run     runCommand     `cmd:"" name:"run" help:"Run all seeds of a range and print violated rules and the speed of the runs."`
	Replay  replayCommand  `cmd:"" name:"replay" help:"Run one seed and print its script and, with --trace, its trace."`
	Shrink  shrinkCommand  `cmd:"" name:"shrink" help:"Find the smallest script with which a seed still violates its rule."`
	Corpus  corpusCommand  `cmd:"" name:"corpus" help:"Run the corpus: scripts that once violated a rule."`
	Mutants mutantsCommand `cmd:"" name:"mutants" help:"Build the simulation with one planted bug at a time and run seeds until the bug is caught."`
}

// printRun prints the result of one run. It returns errRuleBroken if a rule was broken.
func printRun(r sim.Result, out io.Writer) error {
	fmt.Fprintf(out,
		"seed %d: %d steps, %.1f s, trace %016x; served %d, refused %d, failed %d, lost with their doors %d\n%v",
		r.Seed, r.Steps, r.Simulated.Seconds(), r.Hash, r.Served, r.Rejected, r.Failed, r.LostWithGateway, r.Script)
	for _, v := range r.Violations {
		fmt.Fprintln(out, "BROKEN", v)
	}
	if len(r.Violations) > 0 {
		return errRuleBroken
	}
	return nil
}
