// Command pumicecroft runs the gateway as a daemon and provides its command-line tools, each in a
// file of its own; "pumicecroft --help" lists them. Without arguments it serves with the
// configuration file that NODE_CONFIG names, until SIGTERM or SIGINT. SIGHUP makes it read that file
// again and apply the addresses of discovery and of the shared counter.
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

// usageError is an invalid command line.
type usageError struct{ error }

func (e usageError) Unwrap() error { return e.error }

// exitCode returns 0 for success, 2 for an invalid command line, as shell builtins do, and 1 for any
// other failure.
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

// commandLine holds the global flags and all commands. Names of commands and flags are set by
// struct tags, so renaming a Go field doesn't change the command line.
type commandLine struct {
	LogFormat string `name:"log-format" enum:"text,json" default:"text" placeholder:"text|json" help:"Format of log lines on standard error."`
	LogLevel  string `name:"log-level" enum:"debug,info,warn,error" default:"info" placeholder:"LEVEL" help:"Lowest level that is logged: debug, info, warn or error."`

	Serve   serveCommand   `cmd:"" name:"serve" help:"Run the gateway with an operator's file until SIGTERM. SIGHUP reloads routes, identities and certificates."`
	Check   checkCommand   `cmd:"" name:"check" help:"Check an operator's file and print each error with its key and line."`
	Routes  routesCommand  `cmd:"" name:"routes" help:"Print how a request would be routed, identified and classified, or why it would be rejected. No request is sent."`
	Members membersCommand `cmd:"" name:"members" help:"Print the state of each backend, and the reason for it, as seen by the running gateway of an operator's file."`
	State   stateCommand   `cmd:"" name:"state" help:"Print the saved state that a gateway would restore at startup: its age, its contents and how it would be used."`
	Demo    demoCommand    `cmd:"" name:"demo" help:"Run a complete deployment on the loopback interface for a short time."`
	Sim     simCommand     `cmd:"" name:"sim" help:"Run gateways in a deterministic, seeded simulation that checks the five correctness rules."`
	Load    loadCommand    `cmd:"" name:"load" help:"Send open-loop load to a gateway or a backend and measure the responses."`
	Lab     labCommand     `cmd:"" name:"lab" help:"Run experiments in an emulated region, compare their results and write reports."`
	Version versionCommand `cmd:"" name:"version" help:"Print the version and revision of this build."`

	Completion kongcompletion.Completion `cmd:"" name:"completion" help:"Print the shell code that enables command completion."`
}

// jobs is a command's degree of parallelism: the number of jobs that it runs at a time, or the number of
// processors that it uses.
type jobs int

// Validate is called by kong after parsing.
func (j jobs) Validate() error {
	if j < 1 {
		return fmt.Errorf("%d is below 1", j)
	}
	return nil
}

// errHelpPrinted is the panic value that stops parsing once kong has printed the help.
var errHelpPrinted = errors.New("help printed")

const description = "A gateway that enforces each customer's plan on a shared set of backends. " +
	"Without a command, it serves with the configuration file that NODE_CONFIG names."

// newParser returns the parser of the command line. It passes ctx and out to the Run methods of
// commands.
func newParser(ctx context.Context, c *commandLine, out io.Writer) (*kong.Kong, error) {
	return kong.New(c,
		kong.Name("pumicecroft"),
		kong.Description(description),
		kong.Writers(out, out),
		kong.Exit(func(int) { panic(errHelpPrinted) }), // in place of os.Exit; run recovers from it
		kong.ConfigureHelp(kong.HelpOptions{Compact: true}),
		kong.BindTo(ctx, (*context.Context)(nil)),
		kong.BindTo(out, (*io.Writer)(nil)),
		kong.Vars{"corpus": corpusFile, "jobs": strconv.Itoa(runtime.GOMAXPROCS(0))})
}

// run parses and runs a command line.
func run(ctx context.Context, args []string, out io.Writer) (err error) {
	if path := os.Getenv("NODE_CONFIG"); len(args) == 0 && path != "" {
		// SIGHUP is handled until the process ends: open requests may need a new discovery address
		// after ctx is canceled.
		return daemon.Serve(ctx, path, daemon.NotifyHangup(context.WithoutCancel(ctx)))
	}
	var c commandLine
	parser, err := newParser(ctx, &c, out)
	if err != nil {
		return err
	}
	defer func() {
		p := recover()
		if printed, ok := p.(error); ok && errors.Is(printed, errHelpPrinted) {
			err = nil
		} else if p != nil {
			panic(p)
		}
	}()
	kongcompletion.Register(parser)
	if len(args) == 0 {
		return usageError{errors.New(
			"NODE_CONFIG names no file; see pumicecroft --help, and pumicecroft demo for the program at work")}
	}
	command, err := parser.Parse(args)
	if err != nil {
		return usageError{err}
	}
	c.setUpLogging()
	return command.Run()
}

// setUpLogging sets the format and level of the log on standard error.
func (c *commandLine) setUpLogging() {
	var level slog.Level
	_ = level.UnmarshalText([]byte(c.LogLevel)) // kong has validated it
	options := &slog.HandlerOptions{Level: level}
	if c.LogFormat == "json" {
		slog.SetDefault(slog.New(slog.NewJSONHandler(os.Stderr, options)))
	} else {
		slog.SetDefault(slog.New(slog.NewTextHandler(os.Stderr, options)))
	}
}

type versionCommand struct{}

// Run prints the version and revision of the build.
func (versionCommand) Run(out io.Writer) error {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return errors.New("the binary contains no build information")
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
	_, err := fmt.Fprintf(out, "pumicecroft %s, revision %s%s%s, %s\n",
		info.Main.Version, revision, at, changed, info.GoVersion)
	return err
}
