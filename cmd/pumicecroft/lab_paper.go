package main

import (
	"fmt"
	"io"
	"strings"

	"pumicecroft/internal/reservemodel"

	"golang.org/x/sync/errgroup"
)

type labPaper struct {
	Jobs     int `name:"jobs" short:"j" default:"${jobs}" help:"Number of processors to use."`
	MaxSlots int `name:"most" default:"32" enum:"16,32" help:"Solve only cases with at most this many slots: 16 or 32."`
}

// paperColumns are the headings of the table that Run prints.
var paperColumns = []string{"load", "N", "without: split, payoff", "paper", "with: split, payoff", "paper",
	"the paper's split, solved", "gain mean, best %", "Method I: split, loss %", "Method II: split, loss %"}

// casesPerSlotCount is the number of the paper's cases with 16 slots, and with 32 slots.
const casesPerSlotCount = 9

// Run solves the paper's cases and prints the solutions beside the paper's own, as Markdown.
func (c *labPaper) Run(out io.Writer) error {
	fmt.Fprintf(out, "| %s |\n|%s\n", strings.Join(paperColumns, " | "), strings.Repeat(" --- |", len(paperColumns)))
	meanLoss := map[int][2]float64{} // by number of slots; of both methods, in percent
	for _, load := range reservemodel.Cases() {
		if load.N > c.MaxSlots {
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
			mean[method] += loss[method] / casesPerSlotCount
			meanLoss[load.N] = mean
		}
		fmt.Fprintf(out,
			"| %s | %d | %s %.2f | %s %.2f | %s %.2f | %s %.2f | %.2f | %.1f, %.1f | %s %.2f | %s %.2f |\n",
			load.Name, load.N,
			formatSplit(solved.WithoutSubRating), solved.WithoutSubRatingPayoff,
			formatSplit(load.PaperWithoutSubRating), load.PaperWithoutSubRatingPayoff,
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

// parallel calls job for each i from 0 to n-1, on at most c.Jobs goroutines at a time.
func (c *labPaper) parallel(n int, job func(int)) {
	var running errgroup.Group
	running.SetLimit(max(1, c.Jobs))
	for i := range n {
		running.Go(func() error {
			job(i)
			return nil
		})
	}
	_ = running.Wait() // jobs return no error
}

func formatSplit(s reservemodel.Split) string { return fmt.Sprintf("%d,%d,%d", s.High, s.Pool, s.Low) }
