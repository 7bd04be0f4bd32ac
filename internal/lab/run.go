package lab

import (
	"context"
	"errors"
	"fmt"
	"runtime/debug"
	"sync"

	"pumicecroft/internal/emulator"
)

// RunOptions say how an experiment is run.
type RunOptions struct {
	Jobs  int                         // processors to use; 1 at the least
	OnRun func(done, all int, r *Row) // after each run, one at a time; nil: nobody is
}

// Ran is what a run of an experiment did.
type RunSummary struct {
	Total, Existing, Completed, Failed int // runs; those that were there already; that were made; of these, that failed
	Damaged                            []error
}

// ErrAllFailed is an experiment with a cell of which no run came to anything.
var ErrAllFailed = errors.New("all runs failed")

// Run makes all runs of the experiment in a file that its directory lacks. When ctx ends, what is done is kept, and a later Run goes on
// from there. A run that fails is kept with its reason, and made again by the next Run.
func Run(ctx context.Context, file, dir string, o RunOptions) (RunSummary, error) {
	e, err := ReadFile(file)
	if err != nil {
		return RunSummary{}, err
	}
	build, err := executableDigest()
	if err != nil {
		return RunSummary{}, err
	}
	d, err := Open(dir, e)
	if err != nil {
		return RunSummary{}, err
	}
	defer d.Close()
	had, err := Read(dir)
	if err != nil {
		return RunSummary{}, err
	}
	there := map[string]bool{}
	for _, r := range had.Rows {
		if r.Failed != "" {
			continue
		}
		if r.Build != build {
			return RunSummary{}, fmt.Errorf("%s: %w (%s, this is %s): runs by both could not be compared", dir, ErrOtherBuild, r.Build, build)
		}
		there[r.name()] = true
	}
	ran := RunSummary{Total: len(e.Cells) * e.Repetitions, Damaged: had.Damaged}
	type job struct {
		row    Row
		config emulator.Config
	}
	var todo []job
	for rep := range e.Repetitions { // by repetition: what is done when it is ended early can be compared
		for _, c := range e.Cells {
			r := Row{Experiment: e.Digest, Build: build, Cell: c.Levels, Repetition: rep, Seed: e.SeedOf(rep)}
			if there[r.name()] {
				ran.Existing++
				continue
			}
			todo = append(todo, job{r, c.Config})
		}
	}
	defer debug.SetGCPercent(debug.SetGCPercent(400)) // runs let go of all that they made
	jobs := max(1, min(o.Jobs, len(todo)))
	workers := max(1, o.Jobs/jobs)
	var mu sync.Mutex
	var failed error
	next := 0
	var running sync.WaitGroup
	for range jobs {
		running.Go(func() {
			for {
				mu.Lock()
				if next >= len(todo) || failed != nil || ctx.Err() != nil {
					mu.Unlock()
					return
				}
				do := todo[next]
				next++
				mu.Unlock()
				row := do.row
				err := runOne(ctx, do.config, &row, workers)
				if ctx.Err() != nil { // it was cut short
					return
				}
				if err != nil {
					row.Failed = err.Error()
				}
				mu.Lock()
				if err := d.Save(&row); err != nil {
					failed = err
				}
				ran.Completed++
				if row.Failed != "" {
					ran.Failed++
				}
				if o.OnRun != nil {
					o.OnRun(ran.Existing+ran.Completed, ran.Total, &row)
				}
				mu.Unlock()
			}
		})
	}
	running.Wait()
	if failed == nil {
		failed = ctx.Err()
	}
	if failed == nil && ran.Completed > 0 && ran.Failed == ran.Completed && ran.Existing == 0 {
		failed = ErrAllFailed
	}
	return ran, failed
}

// runOne makes one run. A panic is that run's failure alone.
func runOne(ctx context.Context, c emulator.Config, row *Row, workers int) (err error) {
	if workers == 1 {
		defer func() {
			if p := recover(); p != nil {
				err = fmt.Errorf("it panicked: %v", p)
			}
		}()
	}
	r, err := emulator.New(c, row.Seed)
	if err != nil {
		return err
	}
	if err := Emulate(ctx, r, workers); err != nil {
		return err
	}
	result := r.Result()
	return row.setResult(&result)
}
