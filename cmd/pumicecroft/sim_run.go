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

// seedRange is a range of seeds.
type seedRange struct{ first, last uint64 }

// UnmarshalText reads A..B.
func (s *seedRange) UnmarshalText(text []byte) (err error) {
	from, to, ok := strings.Cut(string(text), "..")
	if s.first, err = strconv.ParseUint(from, 10, 64); err == nil {
		s.last, err = strconv.ParseUint(to, 10, 64)
	}
	if !ok || err != nil || s.last < s.first {
		return fmt.Errorf("%q is no A..B", text)
	}
	return nil
}

type runCommand struct {
	Seeds seedRange `name:"seeds" default:"0..999" help:"Seeds to run, A..B."`
	Jobs  jobs      `name:"jobs" default:"${jobs}" help:"Runs at once."`
	First bool      `name:"first" help:"End at the first seed that breaks a rule."`
}

// Run runs all seeds of the range, and says what broke, by rule, with the first seeds.
func (c *runCommand) Run(out io.Writer) error {
	var next, broken atomic.Uint64 // broken: the lowest seed that broke a rule, and one
	next.Store(c.Seeds.first)
	broken.Store(c.Seeds.last + 2)
	var mu sync.Mutex
	rules := map[string][]uint64{}
	ran, steps, simulated, hash := 0, 0, time.Duration(0), uint64(0)
	defer debug.SetGCPercent(debug.SetGCPercent(400)) // runs are short and let go of all that they made
	begun := time.Now()
	var running sync.WaitGroup
	for range c.Jobs {
		running.Go(func() {
			for seed := next.Add(1) - 1; seed <= c.Seeds.last && (!c.First || seed < broken.Load()); seed = next.Add(1) - 1 {
				r := sim.Run(seed, sim.Options{})
				mu.Lock()
				ran, steps, simulated, hash = ran+1, steps+r.Steps, simulated+r.Simulated, hash^(r.Hash+seed)
				for _, v := range r.Violations {
					rules[v.Rule] = append(rules[v.Rule], seed)
					broken.Store(min(broken.Load(), seed))
				}
				mu.Unlock()
			}
		})
	}
	running.Wait()
	took := time.Since(begun).Seconds()
	fmt.Fprintf(out, "%d seeds in %.1f s with %d jobs: %.0f a second for each; %d steps a seed, %.1f h simulated; all traces %016x\n", ran, took, c.Jobs,
		float64(ran)/took/float64(c.Jobs), steps/max(1, ran), simulated.Hours(), hash)
	for _, rule := range slices.Sorted(maps.Keys(rules)) {
		broke := rules[rule]
		slices.Sort(broke)
		fmt.Fprintf(out, "BROKEN %s: %d seeds, %v the first\n", rule, len(broke), broke[:min(5, len(broke))])
	}
	if len(rules) > 0 {
		return errRuleBroken
	}
	return nil
}
