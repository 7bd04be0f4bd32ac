// Command pumicecroft-sim runs front doors in worlds that seeds decide, and holds them to the five rules. Each sub-command
// is in a file of its own; --help tells of them.
package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"runtime"
	"strconv"

	"pumicecroft/internal/sim"

	"github.com/alecthomas/kong"
)

func main() {
	if err := run(os.Args[1:], os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "pumicecroft-sim:", err)
		os.Exit(1)
	}
}

// errBroken ends a command that found a rule broken, or a planted bug that was not found.
var errBroken = errors.New("a rule was broken")

// commands are the sub-commands.
type commands struct {
	Run     runCommand     `cmd:"" help:"Run all seeds of a range: what broke, and how fast it went."`
	Replay  replayCommand  `cmd:"" help:"Run one seed again, with its script and its trace."`
	Shrink  shrinkCommand  `cmd:"" help:"Find the smallest script by which a seed still breaks its rule."`
	Corpus  corpusCommand  `cmd:"" help:"Run the scripts that broke a rule once."`
	Mutants mutantsCommand `cmd:"" help:"Build the simulation with one planted bug at a time and run seeds until each is caught."`
}

// run parses and runs a command line.
func run(args []string, out io.Writer) error {
	var c commands
	helped := false
	p, err := kong.New(&c, kong.Name("pumicecroft-sim"), kong.Description("Front doors in worlds that seeds decide, held to the five rules."),
		kong.Writers(out, out), kong.Exit(func(int) { helped = true }), kong.BindTo(out, (*io.Writer)(nil)), kong.Vars{"corpus": corpusFile, "jobs": strconv.Itoa(runtime.GOMAXPROCS(0))})
	if err != nil {
		return err
	}
	ctx, err := p.Parse(args)
	if helped {
		return nil
	}
	if err != nil {
		return err
	}
	return ctx.Run()
}

// tell prints what came of one run.
func tell(r sim.Result, out io.Writer) error {
	fmt.Fprintf(out, "seed %d: %d steps, %.1f s, trace %016x; served %d, refused %d, failed %d, lost with their doors %d\n%v", r.Seed, r.Steps,
		r.Simulated.Seconds(), r.Hash, r.Served, r.Refused, r.Failed, r.Lost, r.Script)
	for _, v := range r.Violations {
		fmt.Fprintln(out, "BROKEN", v)
	}
	if len(r.Violations) > 0 {
		return errBroken
	}
	return nil
}
