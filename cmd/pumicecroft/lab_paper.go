package main

import (
	"fmt"
	"io"

	"pumicecroft/internal/reservemodel"

	"golang.org/x/sync/errgroup"
)

type labPaper struct {
	Jobs int `name:"jobs" short:"j" default:"${jobs}" help:"Processors to use."`
	Most int `name:"most" default:"32" enum:"16,32" help:"16 solves the loads of 16 slots alone."`
}

// Run solves the paper's loads and prints its comparisons beside the paper's own figures, as Markdown.
func (c *labPaper) Run(out io.Writer) error {
	do := func(n int, job func(int)) {
		var running errgroup.Group
		running.SetLimit(max(1, c.Jobs))
		for i := range n {
			running.Go(func() error {
				job(i)
				return nil
			})
		}
		_ = running.Wait() // no job fails here
	}
	split := func(s reservemodel.Split) string { return fmt.Sprintf("%d,%d,%d", s.High, s.Pool, s.Low) }
	fmt.Fprintln(out, "| load | N | without: split, payoff | paper | with: split, payoff | paper | the paper's split, solved | gain mean, best % | Method I: split, loss % | Method II: split, loss % |\n| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |")
	loss := map[int][2]float64{}
	for _, k := range reservemodel.Cases() {
		if k.N > c.Most {
			continue
		}
		f, err := reservemodel.Search(k, do)
		if err != nil {
			return err
		}
		var lost [2]float64
		for m := range lost {
			lost[m] = 100 * (1 - f.ChosenPayoff[m]/f.SubRatedPayoff)
			sum := loss[k.N]
			sum[m] += lost[m] / 9
			loss[k.N] = sum
		}
		fmt.Fprintf(out, "| %s | %d | %s %.2f | %s %.2f | %s %.2f | %s %.2f | %.2f | %.1f, %.1f | %s %.2f | %s %.2f |\n", k.Name, k.N, split(f.Without), f.WithoutPayoff, split(k.PaperWithout), k.PaperWithoutPayoff,
			split(f.SubRated), f.SubRatedPayoff, split(k.PaperSubRated), k.PaperSubRatedPayoff, f.PaperSplitPayoff, 100*f.GainMean, 100*f.GainBest, split(f.Chosen[0]), lost[0], split(f.Chosen[1]), lost[1])
	}
	for _, n := range []int{16, 32} {
		if sum, there := loss[n]; there {
			fmt.Fprintf(out, "\nN = %d: Method I loses %.2f%% of the best payoff on average, Method II %.2f%%.\n", n, sum[0], sum[1])
		}
	}
	return nil
}
