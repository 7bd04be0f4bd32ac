// Package daemon is the front door as a program: one Door on one socket, configured as the platform does it. It is
// thin on the library; signals and arguments are the command's.
package daemon

import (
	"context"
	"errors"
	"log/slog"
	"math"
	"net"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"pumicecroft"
	"pumicecroft/internal/counterclient"
	"pumicecroft/internal/httplistener"
	"pumicecroft/internal/platform"
	"pumicecroft/membership"
)

// Serve is one real front door of the platform: it reads the file at path and serves until ctx ends. A value from
// hup makes it read the file again and follow the discovery that it names then.
func Serve(ctx context.Context, path string, hup <-chan struct{}) error {
	config, err := platform.LoadConfig(path)
	if err != nil {
		return err
	}
	slog.SetDefault(slog.With("door", config.Name))
	runtime.GOMAXPROCS(max(1, int(math.Ceil(config.Limits.Cores))))
	debug.SetMemoryLimit(config.Limits.MemoryMB << 20 / 4 * 3) // the rest is for stacks, sockets and the program
	moves := make(chan string)
	options := []pumicecroft.Option{pumicecroft.WithLogger(slog.Default()),
		pumicecroft.WithSource(&platform.Discovery{Addr: config.Discovery, FromVersion: config.Known.Seq, AddrChanges: moves,
			PollWithin: config.Conns.SubscribeWithin, Seed: config.Seed, DrainGrace: config.Settings.DrainGrace, MaxEntries: config.Limits.MaxBackends()})}
	moved := func(string) {}
	if config.Settings.HasSharedCounter {
		// on sockets a late answer is still good, and no worse for the client than a refusal
		counter := counterclient.New(counterclient.Config{Addr: config.Counter, Timeout: 4 * config.Conns.CounterTimeout, ConnectTimeout: config.Conns.ConnectTimeout})
		defer counter.Close()
		moved = counter.SetAddr
		options = append(options, pumicecroft.WithCounter(counter))
	}
	door, err := pumicecroft.New(GatewayConfig(config), options...)
	if err != nil {
		return err
	}
	reloading, stop := context.WithCancel(context.Background())
	defer stop()
	go followConfig(reloading, path, hup, moves, moved)
	front := httplistener.NewServer(door, config.Limits.ClientConns(), config.Settings.LongestDeadline(), slog.Default(), httplistener.Options{})
	return serveAll(ctx, door, config.Name, config.Listen, front.Run)
}

// serveFunc serves clients until ctx ends, and then until all that it took has its answer.
type serveFunc func(ctx context.Context) error

// serveAll serves a door on a socket, with servers beside it that listen already, until ctx ends or one of them fails, and all
// that was taken has its answer.
func serveAll(ctx context.Context, door *pumicecroft.Gateway, name, listen string, serveOn func(context.Context, net.Listener) error, beside ...serveFunc) error {
	defer func() {
		now, cancel := context.WithCancel(context.Background())
		cancel()
		if err := door.Close(now); err != nil { // the server has waited for all that it had taken
			slog.Warn("ended with requests open", "err", err)
		}
	}()
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		stop() // those beside it end at once
	} else {
		slog.Info("serving", "name", name, "listen", listener.Addr().String())
		beside = append(beside, func(ctx context.Context) error { return serveOn(ctx, listener) })
	}
	errs := make(chan error, len(beside))
	for _, serve := range beside {
		go func() { errs <- serve(ctx) }()
	}
	for range beside {
		err = errors.Join(err, <-errs)
		stop() // without one of them the others are not what was asked for
	}
	slog.Info("ended", "err", err)
	return err
}

// GatewayConfig is the platform's configuration in the library's terms.
func GatewayConfig(c platform.Config) pumicecroft.Config {
	return pumicecroft.Config{Settings: c.Settings, Seed: c.Seed, InitialEndpoints: c.Known.Membership(),
		Membership:      membership.Policy{MaxNodes: c.Limits.MaxBackends()},
		MaxBackendConns: c.Limits.BackendConns(), ConnectTimeout: c.Conns.ConnectTimeout, IdleTimeout: c.Conns.IdleTimeout}
}

// followConfig reads the file again at each value of hup and tells where discovery and the counter are now. A file that is no
// good changes nothing. What else it holds is for the next start.
func followConfig(ctx context.Context, path string, hup <-chan struct{}, moves chan<- string, counter func(addr string)) {
	for {
		select {
		case <-hup:
		case <-ctx.Done():
			return
		}
		config, err := platform.LoadConfig(path)
		if err != nil {
			slog.Warn("the new configuration is no good, the old one stays", "err", err)
			continue
		}
		slog.Info("configured anew", "discovery", config.Discovery)
		counter(config.Counter)
		select {
		case moves <- config.Discovery:
		case <-ctx.Done():
			return
		}
	}
}

// NotifyHangup tells of SIGHUP. One that waits stands for all that came since: the file is read after it.
func NotifyHangup(ctx context.Context) <-chan struct{} {
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
