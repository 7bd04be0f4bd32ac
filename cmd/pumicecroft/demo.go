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

var errDemoFailed = errors.New("the demo lost or duplicated requests")

type demoCommand struct {
	Duration time.Duration `name:"duration" default:"10s" help:"How long clients send requests."`
	Addr     string        `name:"addr" default:"127.0.0.1:0" help:"The address on which the gateway listens."`
	Seed     uint64        `name:"seed" default:"1" help:"Seed of the clients' random numbers."`
}

// Validate is called by kong after parsing.
func (c *demoCommand) Validate() error {
	if c.Duration <= 0 {
		return fmt.Errorf("--duration %v is not above 0", c.Duration)
	}
	return nil
}

// Run runs the demo. It fails if a request was lost or executed twice.
func (c *demoCommand) Run(ctx context.Context, out io.Writer) error {
	slog.SetDefault(slog.New(slog.DiscardHandler)) // the demo prints its own progress
	counts, err := demo.Run(ctx, demo.Options{Duration: c.Duration, Addr: c.Addr, Out: out, Seed: c.Seed})
	if err != nil {
		return err
	}
	if !counts.OK() {
		return errDemoFailed
	}
	return nil
}
