package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"
	"time"
	"unicode"

	"pumicecroft/internal/daemon"
	"pumicecroft/internal/operatorconfig"
)

// fileArg is an operator's file.
type fileArg struct {
	File string `arg:"" name:"file" help:"An operator's file, such as deploy/pumicecroft.toml."`
}

func (a fileArg) read() (operatorconfig.File, error) {
	text, err := os.ReadFile(a.File)
	if err != nil {
		return operatorconfig.File{}, err
	}
	f, err := operatorconfig.Parse(text)
	if err != nil {
		return operatorconfig.File{}, fmt.Errorf("%s:\n%w", a.File, err)
	}
	return f, nil
}

type checkCommand struct{ fileArg }

// Run checks an operator's file.
func (c *checkCommand) Run(out io.Writer) error {
	f, err := c.read()
	if err != nil {
		return err
	}
	var warnings []string
	if f.HTTP != nil {
		if warnings, err = daemon.CheckHTTP(f); err != nil {
			return fmt.Errorf("%s:\n%w", c.File, err)
		}
	}
	for _, w := range warnings {
		fmt.Fprintf(out, "%s: warning: %s\n", c.File, w)
	}
	fmt.Fprintf(out, "%s is good: door %d of %d, %d classes, %d plans, %d backends, sources %s, to listen on %s\n", c.File,
		f.Gateway.Settings.GatewayIndex, f.Gateway.Settings.GatewayCount, len(f.Gateway.Settings.Classes), len(f.Gateway.Settings.Plans),
		len(f.Backends.Nodes), strings.Join(f.Sources, ", "), f.Listen)
	return nil
}

type membersCommand struct{ fileArg }

// Run prints what a running door believes of its backends.
func (c *membersCommand) Run(ctx context.Context, out io.Writer) error {
	f, err := c.read()
	if err != nil {
		return err
	}
	if f.StatusAddr == "" {
		return fmt.Errorf(`%s: it names no address to ask at: members = "127.0.0.1:PORT"`, c.File)
	}
	all, err := daemon.FetchBackendStatus(ctx, f.StatusAddr)
	if err != nil {
		return err
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "NODE\tADDRESS\tSTATE\tSINCE\tSOURCE\tWHY")
	for _, m := range all {
		state := m.State
		if m.Stale {
			state += " (old)"
		}
		since := m.Since.Format(time.DateTime)
		if !m.Until.IsZero() {
			since += ", until " + m.Until.Format(time.TimeOnly)
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\n", printable(m.Name), printable(m.Addr), state, since, m.Source, printable(m.Explanation))
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

type serveCommand struct{ fileArg }

// Run serves by an operator's file until ctx ends.
func (c *serveCommand) Run(ctx context.Context) error {
	f, err := c.read()
	if err != nil {
		return err
	}
	return daemon.ServeFile(ctx, f, c.read, daemon.NotifyHangup(context.WithoutCancel(ctx)))
}
