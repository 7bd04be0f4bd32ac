package daemon

import (
	"context"
	"log/slog"
	"net"
	"slices"
	"sync"
	"time"

	"pumicecroft"
	"pumicecroft/consul"
	"pumicecroft/grpcproxy"
	"pumicecroft/internal/httplistener"
	"pumicecroft/internal/operatorconfig"
)

// ServeFile runs a gateway with an operator's file until ctx ends and all accepted requests have their
// responses. If the file has HTTP services, each value of hup makes it read the file again with reload
// and apply its routes, identities and certificates; other changes take effect at the next start. A nil
// hup never reloads.
func ServeFile(ctx context.Context, f operatorconfig.File, reload func() (operatorconfig.File, error),
	hup <-chan struct{}) error {
	slog.SetDefault(slog.With("door", f.Gateway.Settings.GatewayIndex))
	sources, err := newSources(&f)
	if err != nil {
		return err
	}
	gateway, proxyServer, err := newFileGateway(&f, sources)
	if err != nil {
		return err
	}
	serve := httplistener.NewServer(gateway, f.MaxClientConns, f.Gateway.Settings.LongestDeadline(), slog.Default(),
		httplistener.Options{}).Run
	if proxyServer != nil {
		if serve, err = proxyServer.newServeFunc(gateway, f); err != nil {
			_ = gateway.Close(ctx) // err is returned; it matters more than the error of Close
			return err
		}
		defer proxyServer.startWatching(f, reload, hup)() // starts now, stops at the return
	}
	auxiliary, stopStatus, err := startAuxiliaryListeners(gateway, &f)
	defer stopStatus()
	if err != nil {
		_ = gateway.Close(ctx) // err is returned; it matters more than the error of Close
		return err
	}
	if f.Consul != nil && f.Consul.Registration != nil {
		var deregister func()
		ctx, deregister = registerWhileServing(ctx, sources.consul, f.Consul)
		defer deregister()
	}
	return serveAll(ctx, gateway, "", f.Listen, serve, auxiliary...)
}

// newFileGateway creates the gateway of an operator's file and the server of its HTTP routes, which is
// nil if it has none. When it returns, the gateway knows the backends that the file lists.
func newFileGateway(f *operatorconfig.File, sources *sources) (*pumicecroft.Gateway, *httpServer, error) {
	options := slices.Concat(sources.options, []pumicecroft.Option{pumicecroft.WithLogger(slog.Default())})
	if f.GRPC != nil {
		f.GRPC.Backends.Log = slog.Default()
		options = append(options, grpcproxy.WithBackends(f.GRPC.Backends))
	}
	var proxyServer *httpServer
	if f.HTTP != nil {
		var err error
		if proxyServer, err = newHTTPServer(*f); err != nil {
			return nil, nil, err
		}
		options = append(options, proxyServer.options...)
	}
	gateway, err := pumicecroft.New(f.Gateway, options...)
	if err != nil {
		return nil, nil, err
	}
	if slices.Contains(f.Sources, operatorconfig.SourceFile) {
		<-sources.fileReported // the gateway has the backends that the file lists
	}
	return gateway, proxyServer, nil
}

// startAuxiliaryListeners opens the listeners for the status of backends and for gRPC, as far as they are
// configured. The status is served from now on, until the caller calls stopStatus, which it must do also
// after an error. servers serve gRPC once the caller runs them.
func startAuxiliaryListeners(gateway *pumicecroft.Gateway,
	f *operatorconfig.File) (servers []serveFunc, stopStatus func(), err error) {
	stopStatus = func() {}
	if f.StatusAddr != "" {
		stop, err := serveBackendStatus(gateway, f.StatusAddr)
		if err != nil {
			return nil, stopStatus, err
		}
		stopStatus = stop
	}
	if f.GRPC != nil {
		serve, err := listenGRPC(gateway, f)
		if err != nil {
			return nil, stopStatus, err
		}
		servers = append(servers, serve)
	}
	return servers, stopStatus, nil
}

// listenGRPC opens the listener of the file's gRPC proxy, and returns the function that serves it.
func listenGRPC(gateway *pumicecroft.Gateway, f *operatorconfig.File) (serveFunc, error) {
	c := f.GRPC.Proxy
	c.Log = slog.Default()
	proxy, err := grpcproxy.New(gateway, c)
	if err != nil {
		return nil, err
	}
	ln, err := net.Listen("tcp", f.GRPC.Listen)
	if err != nil {
		return nil, err
	}
	slog.Info("grpc", "listen", ln.Addr().String())
	return func(ctx context.Context) error { return proxy.Serve(ctx, ln) }, nil
}

// registerWhileServing registers a gateway in Consul's catalog until deregister is called. The returned
// context ends c.DrainNotice after ctx does: meanwhile the gateway still serves, and clients that read
// the catalog see that it is draining.
func registerWhileServing(ctx context.Context, client *consul.Client,
	c *operatorconfig.Consul) (serving context.Context, deregister func()) {
	serving, stop := context.WithCancel(context.WithoutCancel(ctx))
	stopRegistration := startRegistration(client, *c.Registration, ctx.Done())
	go func() {
		select {
		case <-ctx.Done():
			time.Sleep(c.DrainNotice)
			stop()
		case <-serving.Done():
		}
	}()
	return serving, func() {
		stopRegistration()
		stop()
	}
}

// startRegistration keeps a gateway registered in the catalog until deregister is called, which waits
// for the deregistration. Once draining is closed, the gateway's health check is reported as critical.
func startRegistration(client *consul.Client, r consul.Registration, draining <-chan struct{}) (deregister func()) {
	ctx, stop := context.WithCancel(context.Background())
	r.OnResult = func(err error) {
		if err != nil {
			slog.Warn("consul: registration failed", "err", err)
		} else {
			slog.Info("consul: registered")
		}
	}
	var running sync.WaitGroup
	running.Go(func() {
		if err := client.Register(ctx, r, draining); err != nil {
			slog.Warn("consul: deregistration failed", "err", err)
		}
	})
	return func() {
		stop()
		running.Wait()
	}
}
