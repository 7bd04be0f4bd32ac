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

// ServeFile serves by an operator's file until ctx ends. At each value of hup it reads the file
// again by reload, and puts its routes, identities and certificates in force; everything else in the
// file is for the next start. A nil hup means never.
func ServeFile(ctx context.Context, f operatorconfig.File, reload func() (operatorconfig.File, error),
	hup <-chan struct{}) error {
	slog.SetDefault(slog.With("door", f.Gateway.Settings.GatewayIndex))
	sources, err := newSources(&f)
	if err != nil {
		return err
	}
	gateway, http, err := newFileGateway(&f, sources)
	if err != nil {
		return err
	}
	serve := httplistener.NewServer(gateway, f.MaxClientConns, f.Gateway.Settings.LongestDeadline(), slog.Default(),
		httplistener.Options{}).Run
	if http != nil {
		if serve, err = http.newServe(gateway, f); err != nil {
			_ = gateway.Close(ctx) // err says why nothing is served
			return err
		}
		defer http.startWatching(f, reload, hup)()
	}
	beside, stopStatus, err := listenBeside(gateway, &f)
	defer stopStatus()
	if err != nil {
		_ = gateway.Close(ctx) // err says why nothing is served
		return err
	}
	if f.Consul != nil && f.Consul.Registration != nil {
		var deregister func()
		ctx, deregister = registered(ctx, sources.consul, f.Consul)
		defer deregister()
	}
	return serveAll(ctx, gateway, "", f.Listen, serve, beside...)
}

// newFileGateway returns the gateway of an operator's file, and what serves its HTTP routes; nil
// means that it has none. The backends that the file lists are known when it returns.
func newFileGateway(f *operatorconfig.File, sources *sources) (*pumicecroft.Gateway, *httpServer, error) {
	options := slices.Concat(sources.options, []pumicecroft.Option{pumicecroft.WithLogger(slog.Default())})
	if f.GRPC != nil {
		f.GRPC.Backends.Log = slog.Default()
		options = append(options, grpcproxy.WithBackends(f.GRPC.Backends))
	}
	var http *httpServer
	if f.HTTP != nil {
		var err error
		if http, err = newHTTPServer(*f); err != nil {
			return nil, nil, err
		}
		options = append(options, http.options...)
	}
	gateway, err := pumicecroft.New(f.Gateway, options...)
	if err != nil {
		return nil, nil, err
	}
	if slices.Contains(f.Sources, operatorconfig.SourceFile) {
		<-sources.fileReported
	}
	return gateway, http, nil
}

// listenBeside opens the file's other listeners: that of backends' status, which stopStatus closes,
// and that of gRPC, which servers serve. stopStatus is to be called after an error, too.
func listenBeside(gateway *pumicecroft.Gateway,
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

// listenGRPC returns the file's gRPC proxy, which listens and does not serve yet.
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

// registered registers a gateway in Consul's catalog. The context that it returns ends DrainNotice
// after ctx: a gateway in the catalog goes on serving until those who look there know that it drains.
func registered(ctx context.Context, client *consul.Client,
	c *operatorconfig.Consul) (serving context.Context, deregister func()) {
	serving, stop := context.WithCancel(context.WithoutCancel(ctx))
	end := register(client, *c.Registration, ctx.Done())
	go func() {
		select {
		case <-ctx.Done():
			time.Sleep(c.DrainNotice)
			stop()
		case <-serving.Done():
		}
	}()
	return serving, func() {
		end()
		stop()
	}
}

// register keeps a gateway in the catalog until end is called. It is critical there from draining on.
func register(client *consul.Client, r consul.Registration, draining <-chan struct{}) (end func()) {
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
