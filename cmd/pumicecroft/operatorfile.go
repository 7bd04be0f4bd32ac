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

// fileArg is the argument that names an operator's file.
type fileArg struct {
	File string `arg:"" name:"file" help:"The operator's file, such as deploy/pumicecroft.toml."`
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

// Run checks an operator's file and the files that it names, and prints warnings and a summary.
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
	set := &f.Gateway.Settings
	fmt.Fprintf(out,
		"%s is valid: gateway %d of %d, %d classes, %d plans, %d backends, sources %s, listen address %s\n",
		c.File, set.GatewayIndex, set.GatewayCount, len(set.Classes), len(set.Plans),
		len(f.Backends.Nodes), strings.Join(f.Sources, ", "), f.Listen)
	return nil
}

type membersCommand struct{ fileArg }

// Run prints the status of each backend of a running gateway.
func (c *membersCommand) Run(ctx context.Context, out io.Writer) error {
	f, err := c.read()
	if err != nil {
		return err
	}
	if f.StatusAddr == "" {
		return fmt.Errorf(`%s: the gateway's status address is missing: members = "127.0.0.1:PORT"`, c.File)
	}
	backends, err := daemon.FetchBackendStatus(ctx, f.StatusAddr)
	if err != nil {
		return err
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "NODE\tADDRESS\tSTATE\tSINCE\tSOURCE\tWHY")
	for _, b := range backends {
		state := b.State
		if b.Stale {
			state += " (old)"
		}
		since := b.Since.Format(time.DateTime)
		if !b.Until.IsZero() {
			since += ", until " + b.Until.Format(time.TimeOnly)
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\n",
			printable(b.Name), printable(b.Addr), state, since, b.Source, printable(b.Explanation))
	}
	return w.Flush()
}

// printable replaces non-printable characters by spaces, so that texts from sources and requests
// can't control the terminal.
func printable(s string) string {
	return strings.Map(func(r rune) rune {
		if !unicode.IsPrint(r) {
			return ' '
		}
		return r
	}, s)
}

type serveCommand struct{ fileArg }

// Run serves with the file until ctx ends. SIGHUP is handled until open requests have their responses.
func (c *serveCommand) Run(ctx context.Context) error {
	f, err := c.read()
	if err != nil {
		return err
	}
	return daemon.ServeFile(ctx, f, c.read, daemon.NotifyHangup(context.WithoutCancel(ctx)))
}
