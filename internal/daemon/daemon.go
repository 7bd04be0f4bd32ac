// Package daemon runs a gateway as a program: by the platform's configuration (Serve) or by an
// operator's file (ServeFile). It connects the library to sockets, files and the log; command lines
// are package main's.
//
// The files: daemon.go serves the platform, servefile.go an operator's file, sources.go makes the
// file's sources of backends, http.go its HTTP proxy, status.go tells of its backends.
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

// counterTimeoutFactor is how many of the platform's time limits for the shared counter a call may
// take. On sockets a late reply is still useful, and no worse for the client than a rejection.
const counterTimeoutFactor = 4

// Serve serves as one gateway of the platform, by the file at path, until ctx ends. A value from hup
// makes it read the file again and follow the discovery and the counter that it names then.
func Serve(ctx context.Context, path string, hup <-chan struct{}) error {
	config, err := platform.LoadConfig(path)
	if err != nil {
		return err
	}
	slog.SetDefault(slog.With("door", config.Name))
	setLimits(config.Limits)
	discoveryAddrs := make(chan string)
	options := []pumicecroft.Option{
		pumicecroft.WithLogger(slog.Default()),
		pumicecroft.WithSource(newDiscovery(config, discoveryAddrs)),
	}
	setCounterAddr := func(string) {}
	if config.Settings.HasSharedCounter {
		counter := counterclient.New(counterclient.Config{
			Addr:           config.Counter,
			Timeout:        counterTimeoutFactor * config.Conns.CounterTimeout,
			ConnectTimeout: config.Conns.ConnectTimeout,
		})
		defer counter.Close()
		setCounterAddr = counter.SetAddr
		options = append(options, pumicecroft.WithCounter(counter))
	}
	gateway, err := pumicecroft.New(GatewayConfig(config), options...)
	if err != nil {
		return err
	}
	following, stop := context.WithCancel(context.Background())
	defer stop()
	go followConfig(following, path, hup, discoveryAddrs, setCounterAddr)
	server := httplistener.NewServer(gateway, config.Limits.ClientConns(), config.Settings.LongestDeadline(),
		slog.Default(),
		httplistener.Options{})
	return serveAll(ctx, gateway, config.Name, config.Listen, server.Run)
}

// setLimits holds the process to its cores and memory. A quarter of the memory is left for stacks,
// sockets and the program.
func setLimits(limits platform.Limits) {
	runtime.GOMAXPROCS(max(1, int(math.Ceil(limits.Cores))))
	debug.SetMemoryLimit(limits.MemoryMB << 20 / 4 * 3)
}

// newDiscovery returns the platform's source of backends. addrs tells it of new addresses.
func newDiscovery(config platform.Config, addrs <-chan string) *platform.Discovery {
	return &platform.Discovery{
		Addr:        config.Discovery,
		FromVersion: config.Known.Seq,
		AddrChanges: addrs,
		PollWithin:  config.Conns.SubscribeWithin,
		Seed:        config.Seed,
		DrainGrace:  config.Settings.DrainGrace,
		MaxEntries:  config.Limits.MaxBackends(),
	}
}

// serveFunc serves clients until ctx ends, and then until all accepted requests have their response.
type serveFunc func(ctx context.Context) error

// serveAll serves a gateway on the address listen, beside servers that listen already, until ctx
// ends or one of them fails, and all accepted requests have their response. It closes the gateway.
func serveAll(ctx context.Context, gateway *pumicecroft.Gateway, name, listen string,
	serveOn func(context.Context, net.Listener) error,
	beside ...serveFunc) error {
	defer closeGateway(gateway)
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		stop() // ends the others at once
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
		stop() // without one server the others are not what was configured
	}
	slog.Info("ended", "err", err)
	return err
}

// closeGateway closes a gateway whose servers have waited for all accepted requests.
func closeGateway(gateway *pumicecroft.Gateway) {
	now, cancel := context.WithCancel(context.Background())
	cancel()
	if err := gateway.Close(now); err != nil {
		slog.Warn("ended with open requests", "err", err)
	}
}

// GatewayConfig returns the platform's configuration as the library takes it.
func GatewayConfig(c platform.Config) pumicecroft.Config {
	return pumicecroft.Config{
		Settings:         c.Settings,
		Seed:             c.Seed,
		InitialEndpoints: c.Known.Membership(),
		Membership:       membership.Policy{MaxNodes: c.Limits.MaxBackends()},
		MaxBackendConns:  c.Limits.BackendConns(),
		ConnectTimeout:   c.Conns.ConnectTimeout,
		IdleTimeout:      c.Conns.IdleTimeout,
	}
}

// followConfig reads the platform's file again at each value of hup, and passes on where discovery
// and the counter are now. An invalid file changes nothing; everything else in the file is for the
// next start.
func followConfig(ctx context.Context, path string, hup <-chan struct{}, discoveryAddrs chan<- string,
	setCounterAddr func(addr string)) {
	for {
		select {
		case <-hup:
		case <-ctx.Done():
			return
		}
		config, err := platform.LoadConfig(path)
		if err != nil {
			slog.Warn("invalid configuration ignored", "err", err)
			continue
		}
		slog.Info("configuration reloaded", "discovery", config.Discovery)
		setCounterAddr(config.Counter)
		select {
		case discoveryAddrs <- config.Discovery:
		case <-ctx.Done():
			return
		}
	}
}

// NotifyHangup returns a channel that tells of SIGHUP until ctx ends. A value that waits stands for
// all signals since, as the file is read after it is received.
func NotifyHangup(ctx context.Context) <-chan struct{} {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	hangups := make(chan struct{})
	go func() {
		for {
			select {
			case <-signals:
			case <-ctx.Done():
				return
			}
			select {
			case hangups <- struct{}{}:
			case <-ctx.Done():
				return
			}
		}
	}()
	return hangups
}
