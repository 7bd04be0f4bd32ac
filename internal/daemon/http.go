package daemon

import (
	"context"
	"crypto/tls"
	"log/slog"
	"net"
	"os"
	"reflect"
	"sync"
	"time"

	"pumicecroft"
	"pumicecroft/httpproxy"
	"pumicecroft/internal/certs"
	"pumicecroft/internal/httplistener"
	"pumicecroft/internal/httpproxyconfig"
	"pumicecroft/internal/operatorconfig"
)

// Limits on request headers. They suit ordinary clients: headers may be as large as common servers
// accept, and arrive over a slow network.
const (
	httpHeaderTimeout  = 10 * time.Second
	httpMaxHeaderBytes = 128 << 10
)

// httpServer serves the HTTP routes of an operator's file. It is created in two steps, as the gateway
// needs options, and the proxy needs the gateway.
type httpServer struct {
	options      []pumicecroft.Option // for the gateway
	rules        httpproxy.Rules
	tls          *tls.Config      // nil: plain text
	certificates *certs.Store     // nil: plain text
	proxy        *httpproxy.Proxy // nil until newServeFunc
}

// newHTTPServer creates a server for an operator's file. It reads the files that the file names:
// certificates, keys and secrets.
func newHTTPServer(f operatorconfig.File) (*httpServer, error) {
	s := &httpServer{}
	for _, service := range f.HTTP.Services {
		c, err := httpproxyconfig.Service(service, os.ReadFile, slog.Default())
		if err != nil {
			return nil, err
		}
		s.options = append(s.options, httpproxy.WithService(c))
	}
	var err error
	if s.rules, err = httpproxyconfig.Rules(&f, os.ReadFile); err != nil {
		return nil, err
	}
	s.tls, s.certificates, err = httpproxyconfig.ListenerTLS(&f, os.ReadFile, time.Now, slog.Default())
	return s, err
}

// CheckHTTP checks the files that an operator's file names. It returns warnings about configuration
// that is valid but probably not intended.
func CheckHTTP(f operatorconfig.File) (warnings []string, err error) {
	s, err := newHTTPServer(f)
	if err != nil {
		return nil, err
	}
	return httpproxyconfig.Warnings(&f, s.certificates, time.Now()), nil
}

// NewOfflineProxy returns the proxy of an operator's file, on a gateway without sources of backends. It
// can tell how a request would be handled, but sends none. The second result closes both.
func NewOfflineProxy(f operatorconfig.File) (*httpproxy.Proxy, func(), error) {
	s, err := newHTTPServer(f)
	if err != nil {
		return nil, nil, err
	}
	f.Gateway.IdempotencyJournal, f.Gateway.StateDir = nil, ""
	gateway, err := pumicecroft.New(f.Gateway, s.options...)
	if err != nil {
		return nil, nil, err
	}
	closeGateway := func() { _ = gateway.Close(context.Background()) } // can't fail without open requests
	if _, err = s.newServeFunc(gateway, f); err != nil {
		closeGateway()
		return nil, nil, err
	}
	return s.proxy, closeGateway, nil
}

// newServeFunc creates the proxy, and returns the function that serves it on a listener.
func (s *httpServer) newServeFunc(gateway *pumicecroft.Gateway,
	f operatorconfig.File) (func(context.Context, net.Listener) error, error) {
	c := f.HTTP.Proxy
	c.Rules, c.Log = s.rules, slog.Default()
	var err error
	if s.proxy, err = httpproxy.New(gateway, c); err != nil {
		return nil, err
	}
	server := httplistener.NewServer(s.proxy, f.MaxClientConns, f.Gateway.Settings.LongestDeadline(), slog.Default(),
		httplistener.Options{
			TLS:            s.tls,
			GeneralPurpose: true,
			HeaderTimeout:  httpHeaderTimeout,
			MaxHeaderBytes: httpMaxHeaderBytes,
		})
	return server.Run, nil
}

// startWatching runs watch in the background until stop is called.
func (s *httpServer) startWatching(f operatorconfig.File, reload func() (operatorconfig.File, error),
	hup <-chan struct{}) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { s.watch(ctx, f, reload, hup) })
	return func() {
		cancel()
		running.Wait()
	}
}

// watch reloads certificates when their files change, and the operator's file at each value of hup.
func (s *httpServer) watch(ctx context.Context, f operatorconfig.File, reload func() (operatorconfig.File, error),
	hup <-chan struct{}) {
	if s.certificates != nil {
		go s.certificates.Watch(ctx, f.HTTP.TLS.ReloadInterval)
	}
	for {
		select {
		case <-ctx.Done():
			return
		case <-hup:
		}
		if err := s.reload(f, reload); err != nil {
			slog.Warn("invalid configuration ignored", "err", err)
			continue
		}
		slog.Info("configuration reloaded")
	}
}

// reload applies the routes, identities and certificates that the file names now. It logs a warning if
// the file has other changes, which take effect at the next start.
func (s *httpServer) reload(old operatorconfig.File, read func() (operatorconfig.File, error)) error {
	f, err := read()
	if err != nil {
		return err
	}
	if f.HTTP == nil {
		return httpproxy.ErrInvalidRules
	}
	rules, err := httpproxyconfig.Rules(&f, os.ReadFile)
	if err != nil {
		return err
	}
	if err := s.proxy.SetRules(rules); err != nil {
		return err
	}
	if s.certificates != nil {
		if err := s.certificates.Reload(); err != nil {
			slog.Error("invalid certificate ignored", "err", err)
		}
	}
	if !reflect.DeepEqual(f.Gateway.Settings, old.Gateway.Settings) || !reflect.DeepEqual(f.Backends, old.Backends) ||
		!reflect.DeepEqual(f.HTTP.Services, old.HTTP.Services) {
		slog.Warn("changes other than to routes, identities and certificates take effect at the next start")
	}
	return nil
}
