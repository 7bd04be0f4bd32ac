package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"
	"time"
	"unicode"

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
	var warnings []string
	if f.Web != nil {
		if warnings, err = daemon.CheckWeb(f); err != nil {
			return fmt.Errorf("%s:\n%w", args[0], err)
		}
	}
	for _, w := range warnings {
		fmt.Fprintf(out, "%s: warning: %s\n", args[0], w)
	}
	fmt.Fprintf(out, "%s is good: door %d of %d, %d classes, %d plans, %d backends, sources %s, to listen on %s\n", args[0],
		f.Door.Settings.Me, f.Door.Settings.FrontDoors, len(f.Door.Settings.Classes), len(f.Door.Settings.Plans),
		len(f.Backends.Nodes), strings.Join(f.Sources, ", "), f.Listen)
	return nil
}

// members prints what a running door believes of its backends.
func members(ctx context.Context, args []string, out io.Writer) error {
	f, err := readFile(args)
	if err != nil {
		return err
	}
	if f.Members == "" {
		return fmt.Errorf(`%s: it names no address to ask at: members = "127.0.0.1:PORT"`, args[0])
	}
	all, err := daemon.AskMembers(ctx, f.Members)
	if err != nil {
		return err
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "NODE\tADDRESS\tSTATE\tSINCE\tSOURCE\tWHY")
	for _, m := range all {
		state := m.State
		if m.Old {
			state += " (old)"
		}
		since := m.Since.Format(time.DateTime)
		if !m.Until.IsZero() {
			since += ", until " + m.Until.Format(time.TimeOnly)
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\n", printable(m.Name), printable(m.Addr), state, since, m.Source, printable(m.Why))
	}
	return w.Flush()
}

// printable keeps what a source says from doing anything to a terminal.
func printable(s string) string {
	return strings.Map(func(r rune) rune {
		if !unicode.IsPrint(r) {
			return ' '
		}
		return r
	}, s)
}

// serveFile serves by an operator's file until ctx ends.
func serveFile(ctx context.Context, args []string) error {
	f, err := readFile(args)
	if err != nil {
		return err
	}
	return daemon.ServeFile(ctx, f, func() (operator.File, error) { return readFile(args) }, daemon.Hangups(ctx))
}
