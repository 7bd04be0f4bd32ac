// Command pumicecroft is the front door as a daemon.
//
//	pumicecroft              serve, configured by the file that NODE_CONFIG names, until SIGTERM; SIGHUP makes it
//	                         read the file again and follow the discovery that it names then
//	pumicecroft serve FILE   serve, configured by an operator's file, until SIGTERM; SIGHUP makes it read routes,
//	                         identities and certificates again
//	pumicecroft check FILE   check an operator's file and name key and line of each error
//	pumicecroft routes FILE METHOD URL
//	                         print what would become of a request, and why: see routes -h
//	pumicecroft members FILE print what the door that serves by a file believes of each backend, and why
//	pumicecroft demo         run a whole deployment on loopback for a short while: see demo -h
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"pumicecroft/internal/daemon"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := run(ctx, os.Args[1:], os.Stdout); err != nil && !errors.Is(err, flag.ErrHelp) {
		fmt.Fprintln(os.Stderr, "pumicecroft:", err)
		os.Exit(1)
	}
}

func run(ctx context.Context, args []string, out io.Writer) error {
	if len(args) == 0 {
		path := os.Getenv("NODE_CONFIG")
		if path == "" {
			return errors.New("NODE_CONFIG names no file; to see the program at work: pumicecroft demo")
		}
		return daemon.Serve(ctx, path, daemon.Hangups(ctx))
	}
	switch args[0] {
	case "check":
		return check(args[1:], out)
	case "demo":
		return runDemo(ctx, args[1:], out)
	case "members":
		return members(ctx, args[1:], out)
	case "routes":
		return showRoute(args[1:], out)
	case "serve":
		return serveFile(ctx, args[1:])
	}
	return fmt.Errorf("there is no command %q; there are serve, check, routes, members and demo, and without a command it serves as NODE_CONFIG says", args[0])
}
