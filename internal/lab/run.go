package lab

import (
	"context"
	"errors"
	"fmt"
	"runtime/debug"
	"sync"

	"pumicecroft/internal/emulator"
)

// RunOptions configure Run.
type RunOptions struct {
	Jobs  int                         // number of processors to use; values below 1 mean 1
	OnRun func(done, all int, r *Row) // called after each run, never concurrently; may be nil
}

// RunSummary counts what Run did.
type RunSummary struct {
	Total     int // runs of the experiment
	Existing  int // runs whose results were stored before
	Completed int // runs that were made now, including failed ones
	Failed    int // runs that were made now and failed
	Damaged   []error
}

// ErrAllFailed is returned if all runs failed and there are no results of earlier ones.
var ErrAllFailed = errors.New("all runs failed")

// gcPercent is the garbage collector's target during runs. It is higher than the default, as almost everything that a
// run allocates is garbage soon.
const gcPercent = 400

// Run makes those runs of an experiment file whose results are missing in dir. When ctx is done, the results so far are
// kept, and a later Run continues from there. A failed run is stored with its reason, and repeated by the next Run.
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
	results, err := Read(dir)
	if err != nil {
		return RunSummary{}, err
	}
	existing, err := existingRuns(results, dir, build)
	if err != nil {
		return RunSummary{}, err
	}
	r := &runner{dir: d, options: o}
	r.summary = RunSummary{Total: len(e.Cells) * e.Repetitions, Damaged: results.Damaged}
	r.schedule(e, build, existing)
	defer debug.SetGCPercent(debug.SetGCPercent(gcPercent))
	err = r.run(ctx)
	return r.summary, err
}

// existingRuns returns the file names of the successful runs in dir, which must be of this build.
func existingRuns(results *Results, dir, build string) (map[string]bool, error) {
	existing := map[string]bool{}
	for _, r := range results.Rows {
		if r.FailureReason != "" {
			continue
		}
		if r.Build != build {
			return nil, fmt.Errorf("%s: %w (%s, not %s): runs of different builds cannot be compared",
				dir, ErrOtherBuild, r.Build, build)
		}
		existing[r.name()] = true
	}
	return existing, nil
}

// job is a run to make.
type job struct {
	row    Row
	config emulator.Config
}

// runner makes the runs of an experiment on several goroutines.
type runner struct {
	dir     *Dir
	options RunOptions
	jobs    []job

	mu      sync.Mutex
	next    int // index of the next job
	err     error
	summary RunSummary
}

// schedule collects the runs that are missing, one repetition of all cells after the other, so that cells can be
// compared even if Run ends early.
func (r *runner) schedule(e *Experiment, build string, existing map[string]bool) {
	for repetition := range e.Repetitions {
		for _, c := range e.Cells {
			row := Row{
				Experiment: e.Digest, Build: build, Cell: c.Levels, Repetition: repetition, Seed: e.SeedOf(repetition),
			}
			if existing[row.name()] {
				r.summary.Existing++
				continue
			}
			r.jobs = append(r.jobs, job{row, c.Config})
		}
	}
}

// run makes all scheduled runs. Each run gets several workers if there are more processors than runs.
func (r *runner) run(ctx context.Context) error {
	concurrency := max(1, min(r.options.Jobs, len(r.jobs)))
	workers := max(1, r.options.Jobs/concurrency)
	var running sync.WaitGroup
	for range concurrency {
		running.Go(func() {
			for r.runNext(ctx, workers) {
			}
		})
	}
	running.Wait()
	if r.err == nil {
		r.err = ctx.Err()
	}
	if r.err == nil && r.summary.Completed > 0 && r.summary.Failed == r.summary.Completed && r.summary.Existing == 0 {
		r.err = ErrAllFailed
	}
	return r.err
}

// runNext makes the next run and stores its result. It returns false if there is none, or if Run is to end.
func (r *runner) runNext(ctx context.Context, workers int) bool {
	r.mu.Lock()
	if r.next >= len(r.jobs) || r.err != nil || ctx.Err() != nil {
		r.mu.Unlock()
		return false
	}
	next := r.jobs[r.next]
	r.next++
	r.mu.Unlock()
	row := next.row
	err := runOne(ctx, next.config, &row, workers)
	if ctx.Err() != nil { // the run is incomplete
		return false
	}
	if err != nil {
		row.FailureReason = err.Error()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.dir.Save(&row); err != nil {
		r.err = err
	}
	r.summary.Completed++
	if row.FailureReason != "" {
		r.summary.Failed++
	}
	if r.options.OnRun != nil {
		r.options.OnRun(r.summary.Existing+r.summary.Completed, r.summary.Total, &row)
	}
	return true
}

// runOne makes one run and sets the row's result. With one worker, a panic fails only this run.
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
