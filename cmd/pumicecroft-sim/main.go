// Command pumicecroft-sim runs front doors in worlds that seeds decide, and holds them to the five rules.
//
//	pumicecroft-sim run -seeds A..B [-jobs N] [-mutant NAME]   all seeds from A to B: what broke, and how fast it went
//	pumicecroft-sim replay -seed S [-trace] [-mutant NAME]     one seed again, with its script and its trace
//	pumicecroft-sim shrink -seed S [-mutant NAME]              the smallest script by which a seed still breaks its rule
//	pumicecroft-sim mutants                                    the planted bugs
package main

import (
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"pumicecroft/internal/sim"
)

func main() {
	if err := run(os.Args[1:], os.Stdout); err != nil && !errors.Is(err, flag.ErrHelp) {
		fmt.Fprintln(os.Stderr, "pumicecroft-sim:", err)
		os.Exit(1)
	}
}

var errBroken = errors.New("a rule was broken")

func run(args []string, out io.Writer) error {
	if len(args) == 0 {
		return errors.New("there are run, replay, shrink and mutants")
	}
	f := flag.NewFlagSet(args[0], flag.ContinueOnError)
	seeds := f.String("seeds", "0..999", "A..B")
	jobs := f.Int("jobs", runtime.GOMAXPROCS(0), "runs at once")
	seed := f.Uint64("seed", 0, "of one run")
	trace := f.Bool("trace", false, "print each line of it")
	mutant := f.String("mutant", "", "a planted bug")
	if err := f.Parse(args[1:]); err != nil {
		return err
	}
	if f.NArg() > 0 {
		return fmt.Errorf("%q is one word too many", f.Arg(0))
	}
	if *mutant != "" && !slices.Contains(sim.Mutants, *mutant) {
		return fmt.Errorf("there is no mutant %q", *mutant)
	}
	o := sim.Options{Mutant: *mutant}
	switch args[0] {
	case "run":
		return many(*seeds, *jobs, o, out)
	case "replay":
		if *trace {
			o.Trace = func(l string) { fmt.Fprintln(out, l) }
		}
		return tell(sim.Run(*seed, o), out)
	case "shrink":
		return tell(sim.Shrink(sim.Run(*seed, o), o), out)
	case "mutants":
		for _, m := range sim.Mutants {
			fmt.Fprintln(out, m)
		}
		return nil
	}
	return fmt.Errorf("there is no command %q; there are run, replay, shrink and mutants", args[0])
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

// many runs all seeds of a range, and says what broke, by rule, with the first seeds.
func many(seeds string, jobs int, o sim.Options, out io.Writer) error {
	from, to, ok := strings.Cut(seeds, "..")
	first, err := strconv.ParseUint(from, 10, 64)
	last, err2 := strconv.ParseUint(to, 10, 64)
	if !ok || err != nil || err2 != nil || last < first {
		return fmt.Errorf("-seeds %q is no A..B", seeds)
	}
	if jobs < 1 {
		return fmt.Errorf("-jobs %d is below 1", jobs)
	}
	var next atomic.Uint64
	next.Store(first)
	var mu sync.Mutex
	rules := map[string][]uint64{}
	steps, simulated, hash := 0, time.Duration(0), uint64(0)
	begun := time.Now()
	var running sync.WaitGroup
	for range jobs {
		running.Go(func() {
			for seed := next.Add(1) - 1; seed <= last; seed = next.Add(1) - 1 {
				r := sim.Run(seed, o)
				mu.Lock()
				steps, simulated, hash = steps+r.Steps, simulated+r.Simulated, hash^(r.Hash+seed)
				for _, v := range r.Violations {
					rules[v.Rule] = append(rules[v.Rule], seed)
				}
				mu.Unlock()
			}
		})
	}
	running.Wait()
	n := last - first + 1
	took := time.Since(begun).Seconds()
	fmt.Fprintf(out, "%d seeds in %.1f s with %d jobs: %.0f a second for each; %d steps a seed, %.1f h simulated; all traces %016x\n", n, took, jobs,
		float64(n)/took/float64(jobs), steps/int(n), simulated.Hours(), hash)
	for rule, broke := range rules {
		fmt.Fprintf(out, "BROKEN %s: %d seeds, %v among them\n", rule, len(broke), broke[:min(5, len(broke))])
	}
	if len(rules) > 0 {
		return errBroken
	}
	return nil
}
