package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"

	"pumicecroft/internal/load"
)

// errInvalidRun ends a run that says nothing of its target.
var errInvalidRun = errors.New("the run is not valid")

type loadCommand struct {
	File     string  `arg:"" name:"file" help:"What to ask, such as lab/load.toml."`
	Target   string  `arg:"" name:"target" help:"Whom: host:port of a door or a backend."`
	Out      string  `name:"out" short:"o" help:"A file for the result, as JSON with its histograms."`
	Rate     float64 `name:"rate" help:"Requests a second, in place of the file's."`
	Duration string  `name:"duration" help:"For how long, in place of the file's, such as 30s."`
	Anywhere bool    `name:"anywhere" help:"Ask also what is not on this machine. Only what is yours to load."`
}

// Run asks in open loop: latencies count from when a request should have been asked. Ended early, it gives what it has.
func (c *loadCommand) Run(ctx context.Context, out io.Writer) error {
	text, err := os.ReadFile(c.File)
	if err != nil {
		return err
	}
	p, err := load.Parse(text)
	if err != nil {
		return fmt.Errorf("%s:\n%w", c.File, err)
	}
	if err := p.Override(c.Rate, c.Duration); err != nil {
		return usageError{err}
	}
	r, err := load.Run(ctx, p, load.Options{Target: c.Target, AllowRemote: c.Anywhere, Progress: out})
	if err != nil {
		if errors.Is(err, load.ErrNotLoopback) {
			err = usageError{fmt.Errorf("%w; --anywhere asks it all the same", err)}
		}
		return err
	}
	fmt.Fprint(out, r)
	if c.Out != "" {
		text, err := r.JSON()
		if err == nil {
			err = os.WriteFile(c.Out, text, 0o644)
		}
		if err != nil {
			return err
		}
	}
	if r.Invalid != "" {
		return fmt.Errorf("%w: %s", errInvalidRun, r.Invalid)
	}
	return nil
}
