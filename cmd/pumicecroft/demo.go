package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"log/slog"
	"time"

	"pumicecroft/internal/demo"
)

var errDemo = errors.New("the demo lost or duplicated requests")

func runDemo(ctx context.Context, args []string, out io.Writer) error {
	flags := flag.NewFlagSet("demo", flag.ContinueOnError)
	flags.SetOutput(out)
	duration := flags.Duration("duration", 10*time.Second, "how long clients ask")
	addr := flags.String("addr", "127.0.0.1:0", "where the door listens")
	seed := flags.Uint64("seed", 1, "of the clients' chance")
	if err := flags.Parse(args); err != nil {
		return err
	}
	if flags.NArg() > 0 || *duration <= 0 {
		return fmt.Errorf("demo takes -duration (above 0), -addr and -seed, not %q", flags.Args())
	}
	slog.SetDefault(slog.New(slog.DiscardHandler)) // the demo has its own lines
	counts, err := demo.Run(ctx, demo.Options{Duration: *duration, Addr: *addr, Out: out, Seed: *seed})
	if err != nil {
		return err
	}
	if !counts.OK() {
		return errDemo
	}
	return nil
}
