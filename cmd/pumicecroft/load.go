package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"

	"pumicecroft/internal/load"
)

// errInvalidRun is the error of a run whose results say nothing about its target.
var errInvalidRun = errors.New("the run is not valid")

type loadCommand struct {
	File        string  `arg:"" name:"file" help:"The file that describes the load, such as lab/load.toml."`
	Target      string  `arg:"" name:"target" help:"The host:port of a gateway or a backend."`
	Out         string  `name:"out" short:"o" help:"Write the result, with its histograms, to this file as JSON."`
	Rate        float64 `name:"rate" help:"Requests per second; overrides the file."`
	Duration    string  `name:"duration" help:"Duration of the run, such as 30s; overrides the file."`
	AllowRemote bool    `name:"anywhere" help:"Allow a target that is not on this machine. Use it only on systems that you may load."`
}

// Run sends requests in an open loop: latency counts from the scheduled time of a request, not from
// when it was sent. If ctx ends early, Run reports the results so far.
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
	r, err := load.Run(ctx, p, load.Options{Target: c.Target, AllowRemote: c.AllowRemote, Progress: out})
	if err != nil {
		if errors.Is(err, load.ErrNotLoopback) {
			err = usageError{fmt.Errorf("%w; use --anywhere to send load to it", err)}
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
