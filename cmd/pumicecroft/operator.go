package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"

	"pumicecroft/internal/daemon"
	"pumicecroft/internal/operator"
)

func readFile(args []string) (operator.File, error) {
	if len(args) != 1 {
		return operator.File{}, errors.New("name one operator's file, such as deploy/pumicecroft.toml")
	}
	text, err := os.ReadFile(args[0])
	if err != nil {
		return operator.File{}, err
	}
	f, err := operator.Parse(text)
	if err != nil {
		return operator.File{}, fmt.Errorf("%s:\n%w", args[0], err)
	}
	return f, nil
}

// check checks an operator's file.
func check(args []string, out io.Writer) error {
	f, err := readFile(args)
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "%s is good: door %d of %d, %d classes, %d plans, %d backends, to listen on %s\n", args[0],
		f.Door.Settings.Me, f.Door.Settings.FrontDoors, len(f.Door.Settings.Classes), len(f.Door.Settings.Plans),
		len(f.Backends.Nodes), f.Listen)
	return nil
}

// serveFile serves by an operator's file until ctx ends.
func serveFile(ctx context.Context, args []string) error {
	f, err := readFile(args)
	if err != nil {
		return err
	}
	return daemon.ServeFile(ctx, f)
}
