package main

import (
	"fmt"
	"io"
	"maps"
	"runtime/debug"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"pumicecroft/internal/sim"
)

// seedRange is a range of seeds, including both ends.
type seedRange struct{ first, last uint64 }

// UnmarshalText parses A..B.
func (s *seedRange) UnmarshalText(text []byte) (err error) {
	from, to, ok := strings.Cut(string(text), "..")
	if s.first, err = strconv.ParseUint(from, 10, 64); err == nil {
		s.last, err = strconv.ParseUint(to, 10, 64)
	}
	if !ok || err != nil || s.last < s.first {
		return fmt.Errorf("%q is not a range A..B of seeds", text)
	}
	return nil
}

type runCommand struct {
	Seeds seedRange `name:"seeds" default:"0..999" help:"Seeds to run, A..B."`
	Jobs  jobs      `name:"jobs" default:"${jobs}" help:"Number of parallel runs."`
	First bool      `name:"first" help:"Stop at the first seed that violates a rule."`
}

// Run runs all seeds of the range, and prints the violated rules, each with its first seeds.
func (c *runCommand) Run(out io.Writer) error {
	// Runs are short and all their memory is garbage afterwards, so fewer collections save time.
	defer debug.SetGCPercent(debug.SetGCPercent(400))
	started := time.Now()
	totals := newRunTotals(c.Seeds)
	var running sync.WaitGroup
	for range c.Jobs {
		running.Go(func() { totals.runSeeds(c.Seeds.last, c.First) })
	}
	running.Wait()
	totals.print(out, time.Since(started).Seconds(), int(c.Jobs))
	if len(totals.broken) > 0 {
		return errRuleBroken
	}
	return nil
}

// runTotals distributes seeds to workers and adds up the results of their runs. All methods but print
// are safe for concurrent use; print must be called after all runs.
type runTotals struct {
	next        atomic.Uint64 // the seed to run next
	firstBroken atomic.Uint64 // the lowest seed that violated a rule

	mu        sync.Mutex
	runs      int
	steps     int
	simulated time.Duration
	hash      uint64              // of the traces of all runs, whatever their order
	broken    map[string][]uint64 // by rule, the seeds that violated it
}

func newRunTotals(seeds seedRange) *runTotals {
	t := &runTotals{broken: map[string][]uint64{}}
	t.next.Store(seeds.first)
	t.firstBroken.Store(seeds.last + 2)
	return t
}

// runSeeds runs seeds until none is left or, with stopAtFirst, up to the first that violates a rule.
func (t *runTotals) runSeeds(last uint64, stopAtFirst bool) {
	for {
		seed := t.next.Add(1) - 1
		if seed > last || stopAtFirst && seed >= t.firstBroken.Load() {
			return
		}
		t.add(seed, sim.Run(seed, sim.Options{}))
	}
}

func (t *runTotals) add(seed uint64, r sim.Result) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.runs++
	t.steps += r.Steps
	t.simulated += r.Simulated
	t.hash ^= r.Hash + seed
	for _, v := range r.Violations {
		t.broken[v.Rule] = append(t.broken[v.Rule], seed)
		t.firstBroken.Store(min(t.firstBroken.Load(), seed))
	}
}

// maxPrintedSeeds is the number of seeds printed for each violated rule.
const maxPrintedSeeds = 5

func (t *runTotals) print(out io.Writer, seconds float64, jobs int) {
	fmt.Fprintf(out, "%d seeds in %.1f s with %d jobs: %.0f a second for each; "+
		"%d steps a seed, %.1f h simulated; all traces %016x\n",
		t.runs, seconds, jobs, float64(t.runs)/seconds/float64(jobs),
		t.steps/max(1, t.runs), t.simulated.Hours(), t.hash)
	for _, rule := range slices.Sorted(maps.Keys(t.broken)) {
		seeds := t.broken[rule]
		slices.Sort(seeds)
		fmt.Fprintf(out, "BROKEN %s: %d seeds, %v the first\n",
			rule, len(seeds), seeds[:min(maxPrintedSeeds, len(seeds))])
	}
}
