package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"time"

	"pumicecroft/internal/demo"
)

var errDemo = errors.New("the demo lost or duplicated requests")

type demoCommand struct {
	Duration time.Duration `name:"duration" default:"10s" help:"How long clients ask."`
	Addr     string        `name:"addr" default:"127.0.0.1:0" help:"Where the door listens."`
	Seed     uint64        `name:"seed" default:"1" help:"Of the clients' chance."`
}

// Validate is called by kong.
func (c *demoCommand) Validate() error {
	if c.Duration <= 0 {
		return fmt.Errorf("--duration %v is not above 0", c.Duration)
	}
	return nil
}

// Run runs the demo. It fails if a request was lost or executed twice.
func (c *demoCommand) Run(ctx context.Context, out io.Writer) error {
	slog.SetDefault(slog.New(slog.DiscardHandler)) // the demo prints lines of its own
	counts, err := demo.Run(ctx, demo.Options{Duration: c.Duration, Addr: c.Addr, Out: out, Seed: c.Seed})
	if err != nil {
		return err
	}
	if !counts.OK() {
		return errDemo
	}
	return nil
}
