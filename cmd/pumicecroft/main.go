// Command pumicecroft is one real front door. It is configured by the file that NODE_CONFIG names and serves
// until SIGTERM. SIGHUP makes it read the file again and follow the discovery that it names then.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"math"
	"net"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"pumicecroft/internal/frontdoor"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	hup := make(chan os.Signal, 1) // one that waits stands for all that came since: the file is read after it
	signal.Notify(hup, syscall.SIGHUP)
	if err := run(ctx, os.Getenv("NODE_CONFIG"), hup); err != nil {
		fmt.Fprintln(os.Stderr, "pumicecroft:", err)
		os.Exit(1)
	}
}

func run(ctx context.Context, path string, hup <-chan os.Signal) error {
	config, err := frontdoor.LoadConfig(path)
	if err != nil {
		return err
	}
	runtime.GOMAXPROCS(max(1, int(math.Ceil(config.Limits.Cores))))
	debug.SetMemoryLimit(config.Limits.MemoryMB << 20 / 4 * 3) // the rest is for stacks, sockets and the program
	backends := frontdoor.NewBackends(config)
	loop, err := frontdoor.NewLoop(config, backends)
	if err != nil {
		return err
	}
	listener, err := net.Listen("tcp", config.Listen)
	if err != nil {
		return err
	}
	watching, stopWatching := context.WithCancel(context.Background())
	defer stopWatching()
	moves := make(chan string)
	go frontdoor.Follow(watching, config.Discovery, config.Known.Seq, moves, loop.Update)
	go reload(watching, path, hup, moves)
	slog.Info("serving", "name", config.Name, "listen", config.Listen, "backends", len(config.Known.Hosts))
	err = frontdoor.NewClients(config, loop).Run(ctx, listener)
	slog.Info("ended", "err", err)
	return err
}

// reload reads the file again at each SIGHUP and tells where discovery is now. A file that is no good changes
// nothing. The counter is not used, and what else the file holds is for the next start.
func reload(ctx context.Context, path string, hup <-chan os.Signal, moves chan<- string) {
	for {
		select {
		case <-hup:
		case <-ctx.Done():
			return
		}
		config, err := frontdoor.LoadConfig(path)
		if err != nil {
			slog.Warn("the new configuration is no good, the old one stays", "err", err)
			continue
		}
		slog.Info("configured anew", "discovery", config.Discovery)
		select {
		case moves <- config.Discovery:
		case <-ctx.Done():
			return
		}
	}
}
