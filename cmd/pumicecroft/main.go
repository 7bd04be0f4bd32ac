// Command pumicecroft is the front door as a daemon. Without an argument it is configured by the file that
// NODE_CONFIG names and serves until SIGTERM; SIGHUP makes it read the file again and follow the discovery that
// it names then.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := run(ctx, os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "pumicecroft:", err)
		os.Exit(1)
	}
}

func run(ctx context.Context, args []string) error {
	return serve(ctx, os.Getenv("NODE_CONFIG"), hangups(ctx))
}

// hangups tells of SIGHUP. One that waits stands for all that came since: the file is read after it.
func hangups(ctx context.Context) <-chan struct{} {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	told := make(chan struct{})
	go func() {
		for {
			select {
			case <-signals:
			case <-ctx.Done():
				return
			}
			select {
			case told <- struct{}{}:
			case <-ctx.Done():
				return
			}
		}
	}()
	return told
}
