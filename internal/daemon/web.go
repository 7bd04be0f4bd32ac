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
	webHead    = 10 * time.Second
	webMaxHead = 128 << 10
)

// web is a file's ordinary HTTP.
type web struct {
	options []pumicecroft.Option
	rules   httpproxy.Rules
	tls     *tls.Config
	store   *certs.Store
	door    *httpproxy.Front
}

// newWeb reads the files that a file names.
func newWeb(f operatorconfig.File) (*web, error) {
	w := &web{}
	for _, s := range f.Web.Services {
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
	w.tls, w.store, err = httpproxyconfig.Listener(&f, os.ReadFile, time.Now, slog.Default())
	return w, err
}

// CheckWeb reads the files that a file names, and tells what an operator should know of them.
func CheckWeb(f operatorconfig.File) (warnings []string, err error) {
	w, err := newWeb(f)
	if err != nil {
		return nil, err
	}
	return httpproxyconfig.Warnings(&f, w.store, time.Now()), nil
}

// FrontOf makes a file's front on a door that reaches no backends, for who asks what would become of a request.
func FrontOf(f operatorconfig.File) (*httpproxy.Front, func(), error) {
	w, err := newWeb(f)
	if err != nil {
		return nil, nil, err
	}
	f.Door.IdempotencyJournal, f.Door.StateDir = nil, ""
	door, err := pumicecroft.New(f.Door, w.options...)
	if err != nil {
		return nil, nil, err
	}
	end := func() { _ = door.Close(context.Background()) }
	if _, err = w.front(door, f); err != nil {
		end()
		return nil, nil, err
	}
	return w.door, end, nil
}

// front makes the front, and what serves it on a listener.
func (w *web) front(door *pumicecroft.Gateway, f operatorconfig.File) (func(context.Context, net.Listener) error, error) {
	c := f.Web.Front
	c.Rules, c.Log = w.rules, slog.Default()
	var err error
	if w.door, err = httpproxy.New(door, c); err != nil {
		return nil, err
	}
	return httplistener.NewServer(w.door, f.ClientConns, f.Door.Settings.LongestDeadline(), slog.Default(),
		httplistener.Options{TLS: w.tls, GeneralPurpose: true, HeaderTimeout: webHead, MaxHeaderBytes: webMaxHead}).Run, nil
}

// watch reads certificates again as they change, and the file at each value of hup.
func (w *web) watch(ctx context.Context, f operatorconfig.File, again func() (operatorconfig.File, error), hup <-chan struct{}) {
	if w.store != nil {
		go w.store.Watch(ctx, f.Web.TLS.Every)
	}
	for {
		select {
		case <-ctx.Done():
			return
		case <-hup:
		}
		if err := w.reread(f, again); err != nil {
			slog.Warn("the new file is no good, the old one stays", "err", err)
			continue
		}
		slog.Info("configured anew")
	}
}

// reread goes by the routes, identities and certificates that the file names now.
func (w *web) reread(old operatorconfig.File, again func() (operatorconfig.File, error)) error {
	f, err := again()
	if err != nil {
		return err
	}
	if f.Web == nil {
		return httpproxy.ErrRules
	}
	rules, err := httpproxyconfig.Rules(&f, os.ReadFile)
	if err != nil {
		return err
	}
	if err := w.door.Swap(rules); err != nil {
		return err
	}
	if w.store != nil {
		if err := w.store.Reload(); err != nil {
			slog.Error("a certificate that can't be used: the one before stays in force", "err", err)
		}
	}
	if !reflect.DeepEqual(f.Door.Settings, old.Door.Settings) || !reflect.DeepEqual(f.Backends, old.Backends) || !reflect.DeepEqual(f.Web.Services, old.Web.Services) {
		slog.Warn("what has changed beside routes, identities and certificates holds from the next start")
	}
	return nil
}
