// Command pumicecroft is one real front door. It is configured by the file that NODE_CONFIG names and serves
// until SIGTERM.
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

	"cypresstrack/internal/frontdoor"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := run(ctx, os.Getenv("NODE_CONFIG")); err != nil {
		fmt.Fprintln(os.Stderr, "pumicecroft:", err)
		os.Exit(1)
	}
}

func run(ctx context.Context, path string) error {
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
	go frontdoor.Watch(watching, config.Discovery, config.Known.Seq, loop.Update)
	slog.Info("serving", "name", config.Name, "listen", config.Listen, "backends", len(config.Known.Hosts))
	err = frontdoor.NewClients(config.Settings, loop).Run(ctx, listener)
	slog.Info("ended", "err", err)
	return err
}
