// Package daemon runs a gateway as a process, with the platform's configuration (Serve) or with an
// operator's file (ServeFile). It connects the library to sockets, files and the log. The command
// line is parsed by package main.
//
// daemon.go has Serve and what it shares with ServeFile, servefile.go has ServeFile, sources.go creates
// the sources of backends, http.go the HTTP proxy, and status.go reports the status of backends.
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

// counterTimeoutFactor multiplies the platform's timeout for calls of the shared counter. Over real
// sockets a late reply is still useful, and no worse for the client than a rejection.
const counterTimeoutFactor = 4

// Serve runs one gateway of the platform, with the configuration file at path, until ctx ends and all
// accepted requests have their responses. At each value of hup it reads the file again and applies the
// addresses of discovery and of the shared counter.
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
	reloadCtx, stop := context.WithCancel(context.Background()) // ends the goroutines that are started below
	defer stop()
	go followConfig(reloadCtx, path, hup, discoveryAddrs, setCounterAddr)
	go watchMemory(reloadCtx, config.Limits.MemoryMB<<20, gateway.OpenRequests)
	server := httplistener.NewServer(gateway, config.Limits.ClientConns(), config.Settings.LongestDeadline(),
		slog.Default(),
		httplistener.Options{})
	return serveAll(ctx, gateway, config.Name, config.Listen, server.Run)
}

// setLimits limits the process to its cores and memory. The Go runtime gets three quarters of the memory;
// the rest is for what its limit doesn't count: thread stacks, socket buffers and the binary.
func setLimits(limits platform.Limits) {
	runtime.GOMAXPROCS(max(1, int(math.Ceil(limits.Cores))))
	debug.SetMemoryLimit(limits.MemoryMB << 20 / 4 * 3)
}

// newDiscovery returns the platform's source of backends. addrs delivers new addresses of discovery.
func newDiscovery(config platform.Config, addrs <-chan string) *platform.Discovery {
	return &platform.Discovery{
		Addr:        config.Discovery,
		FromVersion: config.InitialEndpoints.Seq,
		AddrChanges: addrs,
		PollWithin:  config.Conns.SubscribeWithin,
		Seed:        config.Seed,
		DrainGrace:  config.Settings.DrainGrace,
		MaxEntries:  config.Limits.MaxBackends(),
	}
}

// serveFunc serves clients until ctx ends and all accepted requests have their responses.
type serveFunc func(ctx context.Context) error

// serveAll serves a gateway with serveOn at the address listen, and also runs servers, whose
// listeners are open already. When ctx ends or one server fails, it stops all of them, waits until all
// accepted requests have their responses, and closes the gateway.
func serveAll(ctx context.Context, gateway *pumicecroft.Gateway, name, listen string,
	serveOn func(context.Context, net.Listener) error,
	servers ...serveFunc) error {
	defer closeGateway(gateway)
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		stop() // the servers shut down as soon as they start
	} else {
		slog.Info("serving", "name", name, "listen", listener.Addr().String())
		servers = append(servers, func(ctx context.Context) error { return serveOn(ctx, listener) })
	}
	errs := make(chan error, len(servers))
	for _, serve := range servers {
		go func() { errs <- serve(ctx) }()
	}
	for range servers {
		err = errors.Join(err, <-errs)
		stop() // if one server ends, all do: the process must not run with part of its configuration
	}
	slog.Info("ended", "err", err)
	return err
}

// closeGateway closes a gateway. Close gets a canceled context because there is nothing to wait for: the
// servers return only when all accepted requests have their responses.
func closeGateway(gateway *pumicecroft.Gateway) {
	canceled, cancel := context.WithCancel(context.Background())
	cancel()
	if err := gateway.Close(canceled); err != nil {
		slog.Warn("gateway closed with open requests", "err", err)
	}
}

// GatewayConfig converts the platform's configuration to that of the library.
func GatewayConfig(c platform.Config) pumicecroft.Config {
	settings := c.Settings
	settings.MaxCustomers = c.Limits.MaxCustomers()
	return pumicecroft.Config{
		Settings:         settings,
		Seed:             c.Seed,
		InitialEndpoints: c.InitialEndpoints.Membership(),
		Membership:       membership.Policy{MaxNodes: c.Limits.MaxBackends()},
		MaxBackendConns:  c.Limits.BackendConns(),
		ConnectTimeout:   c.Conns.ConnectTimeout,
		IdleTimeout:      c.Conns.IdleTimeout,
	}
}

// followConfig reads the platform's file again at each value of hup, and applies the addresses of
// discovery and of the shared counter. Other changes in the file take effect at the next start. An
// invalid file changes nothing.
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

// NotifyHangup returns a channel that gets a value for one or more SIGHUPs until ctx ends. Signals that
// arrive while a value is pending are merged with it: nothing is lost, as receivers read the file after
// receiving.
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
