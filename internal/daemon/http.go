package daemon

import (
	"context"
	"crypto/tls"
	"log/slog"
	"net"
	"os"
	"reflect"
	"time"

	"pumicecroft"
	"pumicecroft/httpproxy"
	"pumicecroft/internal/certs"
	"pumicecroft/internal/httplistener"
	"pumicecroft/internal/httpproxyconfig"
	"pumicecroft/internal/operatorconfig"
)

// Of ordinary clients: a head may be as large as common servers take, and come over a slow network.
const (
	httpHeaderTimeout  = 10 * time.Second
	httpMaxHeaderBytes = 128 << 10
)

// httpServer is a file's ordinary HTTP.
type httpServer struct {
	options      []pumicecroft.Option
	rules        httpproxy.Rules
	tls          *tls.Config
	certificates *certs.Store
	proxy        *httpproxy.Proxy
}

// newHTTPServer reads the files that a file names.
func newHTTPServer(f operatorconfig.File) (*httpServer, error) {
	w := &httpServer{}
	for _, s := range f.HTTP.Services {
		c, err := httpproxyconfig.Service(s, os.ReadFile, slog.Default())
		if err != nil {
			return nil, err
		}
		w.options = append(w.options, httpproxy.WithService(c))
	}
	var err error
	if w.rules, err = httpproxyconfig.Rules(&f, os.ReadFile); err != nil {
		return nil, err
	}
	w.tls, w.certificates, err = httpproxyconfig.Listener(&f, os.ReadFile, time.Now, slog.Default())
	return w, err
}

// CheckHTTP reads the files that a file names, and tells what an operator should know of them.
func CheckHTTP(f operatorconfig.File) (warnings []string, err error) {
	w, err := newHTTPServer(f)
	if err != nil {
		return nil, err
	}
	return httpproxyconfig.Warnings(&f, w.certificates, time.Now()), nil
}

// NewOfflineProxy makes a file's front on a door that reaches no backends, for who asks what would become of a request.
func NewOfflineProxy(f operatorconfig.File) (*httpproxy.Proxy, func(), error) {
	w, err := newHTTPServer(f)
	if err != nil {
		return nil, nil, err
	}
	f.Gateway.IdempotencyJournal, f.Gateway.StateDir = nil, ""
	door, err := pumicecroft.New(f.Gateway, w.options...)
	if err != nil {
		return nil, nil, err
	}
	end := func() { _ = door.Close(context.Background()) }
	if _, err = w.newServe(door, f); err != nil {
		end()
		return nil, nil, err
	}
	return w.proxy, end, nil
}

// newServe makes the front, and what serves it on a listener.
func (w *httpServer) newServe(door *pumicecroft.Gateway, f operatorconfig.File) (func(context.Context, net.Listener) error, error) {
	c := f.HTTP.Proxy
	c.Rules, c.Log = w.rules, slog.Default()
	var err error
	if w.proxy, err = httpproxy.New(door, c); err != nil {
		return nil, err
	}
	return httplistener.NewServer(w.proxy, f.MaxClientConns, f.Gateway.Settings.LongestDeadline(), slog.Default(),
		httplistener.Options{TLS: w.tls, GeneralPurpose: true, HeaderTimeout: httpHeaderTimeout, MaxHeaderBytes: httpMaxHeaderBytes}).Run, nil
}

// watch reads certificates again as they change, and the file at each value of hup.
func (w *httpServer) watch(ctx context.Context, f operatorconfig.File, again func() (operatorconfig.File, error), hup <-chan struct{}) {
	if w.certificates != nil {
		go w.certificates.Watch(ctx, f.HTTP.TLS.ReloadInterval)
	}
	for {
		select {
		case <-ctx.Done():
			return
		case <-hup:
		}
		if err := w.reload(f, again); err != nil {
			slog.Warn("the new file is no good, the old one stays", "err", err)
			continue
		}
		slog.Info("configured anew")
	}
}

// reload goes by the routes, identities and certificates that the file names now.
func (w *httpServer) reload(old operatorconfig.File, again func() (operatorconfig.File, error)) error {
	f, err := again()
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
	if err := w.proxy.SetRules(rules); err != nil {
		return err
	}
	if w.certificates != nil {
		if err := w.certificates.Reload(); err != nil {
			slog.Error("a certificate that can't be used: the one before stays in force", "err", err)
		}
	}
	if !reflect.DeepEqual(f.Gateway.Settings, old.Gateway.Settings) || !reflect.DeepEqual(f.Backends, old.Backends) || !reflect.DeepEqual(f.HTTP.Services, old.HTTP.Services) {
		slog.Warn("what has changed beside routes, identities and certificates holds from the next start")
	}
	return nil
}
