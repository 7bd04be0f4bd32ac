// Command pumicecroft is the front door as a daemon, and what goes with it: "pumicecroft --help" tells of its sub-commands, each of
// which is in a file of its own. Without an argument it serves as the file says that NODE_CONFIG names, until SIGTERM; SIGHUP makes it
// read that file again and follow the discovery that it names then.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"strconv"
	"syscall"

	"pumicecroft/internal/daemon"

	"github.com/alecthomas/kong"
	kongcompletion "github.com/jotaen/kong-completion"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	err := run(ctx, os.Args[1:], os.Stdout)
	if err != nil {
		fmt.Fprintln(os.Stderr, "pumicecroft:", err)
	}
	stop()
	os.Exit(exitCode(err))
}

// usageError is a command line that can't be taken.
type usageError struct{ error }

func (e usageError) Unwrap() error { return e.error }

// exitCode is 2 for a command line that can't be taken, as shells' own commands have it, and 1 for what failed.
func exitCode(err error) int {
	var usage usageError
	switch {
	case err == nil:
		return 0
	case errors.As(err, &usage):
		return 2
	}
	return 1
}

// commandLine is the command line.
type commandLine struct {
	LogFormat string `name:"log-format" enum:"text,json" default:"text" placeholder:"text|json" help:"The form of the program's own words on standard error."`
	LogLevel  string `name:"log-level" enum:"debug,info,warn,error" default:"info" placeholder:"LEVEL" help:"The least of them that are said: debug, info, warn or error."`

	Serve   serveCommand   `cmd:"" name:"serve" help:"Serve by an operator's file, until SIGTERM; SIGHUP has routes, identities and certificates read again."`
	Check   checkCommand   `cmd:"" name:"check" help:"Check an operator's file, and name key and line of each error."`
	Routes  routesCommand  `cmd:"" name:"routes" help:"Print what would become of a request, and why. Nothing is sent."`
	Members membersCommand `cmd:"" name:"members" help:"Print what the door that serves by a file believes of each backend, and why."`
	State   stateCommand   `cmd:"" name:"state" help:"Print what a door would begin with, how old it is, and what becomes of it."`
	Demo    demoCommand    `cmd:"" name:"demo" help:"Run a whole deployment on loopback for a short while."`
	Sim     simCommand     `cmd:"" name:"sim" help:"Run doors in worlds that seeds decide, held to the five rules."`
	Load    loadCommand    `cmd:"" name:"load" help:"Ask a door or a backend in open loop, and measure."`
	Lab     labCommand     `cmd:"" name:"lab" help:"Run experiments in an emulated region, compare and report."`
	Version versionCommand `cmd:"" name:"version" help:"Print which build this is."`

	Completion kongcompletion.Completion `cmd:"" name:"completion" help:"Print how a shell is made to complete this program's commands."`
}

// jobs is how many processors a command uses.
type jobs int

// Validate is kong's.
func (j jobs) Validate() error {
	if j < 1 {
		return fmt.Errorf("%d is below 1", j)
	}
	return nil
}

// errHelpPrinted ends a parser that has printed its help.
var errHelpPrinted = errors.New("helped")

// run parses and runs a command line.
func run(ctx context.Context, args []string, out io.Writer) (err error) {
	if path := os.Getenv("NODE_CONFIG"); len(args) == 0 && path != "" {
		return daemon.Serve(ctx, path, daemon.NotifyHangup(context.WithoutCancel(ctx))) // also while it ends: what it holds is still sent on
	}
	var c commandLine
	parser, err := kong.New(&c, kong.Name("pumicecroft"), kong.Description("A front door that holds every customer of a shared set of backends to its plan. Without a command it serves as the file says that NODE_CONFIG names."),
		kong.Writers(out, out), kong.Exit(func(int) { panic(errHelpPrinted) }), kong.ConfigureHelp(kong.HelpOptions{Compact: true}), kong.BindTo(ctx, (*context.Context)(nil)), kong.BindTo(out, (*io.Writer)(nil)),
		kong.Vars{"corpus": corpusFile, "jobs": strconv.Itoa(runtime.GOMAXPROCS(0))})
	if err != nil {
		return err
	}
	defer func() { // kong ends the process once it has printed its help; this ends the command alone
		p := recover()
		if helped, ok := p.(error); ok && errors.Is(helped, errHelpPrinted) {
			err = nil
		} else if p != nil {
			panic(p)
		}
	}()
	kongcompletion.Register(parser)
	if len(args) == 0 {
		return usageError{errors.New("NODE_CONFIG names no file; see pumicecroft --help, and pumicecroft demo for the program at work")}
	}
	k, err := parser.Parse(args)
	if err != nil {
		return usageError{err}
	}
	c.setUpLogging()
	return k.Run()
}

// setUpLogging sets the form of the program's own words, if another one is wanted than the usual.
func (c *commandLine) setUpLogging() {
	var level slog.Level
	_ = level.UnmarshalText([]byte(c.LogLevel)) // kong has looked
	if c.LogFormat == "json" {
		slog.SetDefault(slog.New(slog.NewJSONHandler(os.Stderr, &slog.HandlerOptions{Level: level})))
	} else {
		slog.SetDefault(slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level})))
	}
}

type versionCommand struct{}

// Run prints what the build knows of itself.
func (versionCommand) Run(out io.Writer) error {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return errors.New("this build knows nothing of itself")
	}
	revision, changed, at := "unknown", "", ""
	for _, s := range info.Settings {
		switch {
		case s.Key == "vcs.revision":
			revision = s.Value
		case s.Key == "vcs.time":
			at = " of " + s.Value
		case s.Key == "vcs.modified" && s.Value == "true":
			changed = ", with changes"
		}
	}
	_, err := fmt.Fprintf(out, "pumicecroft %s, revision %s%s%s, %s\n", info.Main.Version, revision, at, changed, info.GoVersion)
	return err
}
