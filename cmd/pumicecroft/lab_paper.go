package main

import (
	"fmt"
	"io"
	"strings"

	"pumicecroft/internal/reservemodel"

	"golang.org/x/sync/errgroup"
)

type labPaper struct {
	Jobs int `name:"jobs" short:"j" default:"${jobs}" help:"Processors to use."`
	Most int `name:"most" default:"32" enum:"16,32" help:"16 solves the loads of 16 slots alone."`
}

// paperColumns are the columns of the table that Run prints.
var paperColumns = []string{"load", "N", "without: split, payoff", "paper", "with: split, payoff", "paper",
	"the paper's split, solved", "gain mean, best %", "Method I: split, loss %", "Method II: split, loss %"}

// loadsOfOneSize is how many of the paper's loads there are of each number of slots.
const loadsOfOneSize = 9

// Run solves the paper's loads and prints the solutions beside the paper's own figures, as Markdown.
func (c *labPaper) Run(out io.Writer) error {
	fmt.Fprintf(out, "| %s |\n|%s\n", strings.Join(paperColumns, " | "), strings.Repeat(" --- |", len(paperColumns)))
	meanLoss := map[int][2]float64{} // of both methods, by the number of slots, in percent
	for _, load := range reservemodel.Cases() {
		if load.N > c.Most {
			continue
		}
		solved, err := reservemodel.Search(load, c.parallel)
		if err != nil {
			return err
		}
		var loss [2]float64 // percent of the best payoff
		for method := range loss {
			loss[method] = 100 * (1 - solved.ChosenPayoff[method]/solved.SubRatedPayoff)
			mean := meanLoss[load.N]
			mean[method] += loss[method] / loadsOfOneSize
			meanLoss[load.N] = mean
		}
		fmt.Fprintf(out, "| %s | %d | %s %.2f | %s %.2f | %s %.2f | %s %.2f | %.2f | %.1f, %.1f | %s %.2f | %s %.2f |\n",
			load.Name, load.N,
			formatSplit(solved.Without), solved.WithoutPayoff,
			formatSplit(load.PaperWithout), load.PaperWithoutPayoff,
			formatSplit(solved.SubRated), solved.SubRatedPayoff,
			formatSplit(load.PaperSubRated), load.PaperSubRatedPayoff,
			solved.PaperSplitPayoff, 100*solved.GainMean, 100*solved.GainBest,
			formatSplit(solved.Chosen[0]), loss[0], formatSplit(solved.Chosen[1]), loss[1])
	}
	for _, n := range []int{16, 32} {
		if mean, ok := meanLoss[n]; ok {
			fmt.Fprintf(out, "\nN = %d: Method I loses %.2f%% of the best payoff on average, Method II %.2f%%.\n", n,
				mean[0], mean[1])
		}
	}
	return nil
}

// parallel runs n jobs on the processors of the command.
func (c *labPaper) parallel(n int, job func(int)) {
	var running errgroup.Group
	running.SetLimit(max(1, c.Jobs))
	for i := range n {
		running.Go(func() error {
			job(i)
			return nil
		})
	}
	_ = running.Wait() // no job fails
}

func formatSplit(s reservemodel.Split) string { return fmt.Sprintf("%d,%d,%d", s.High, s.Pool, s.Low) }
