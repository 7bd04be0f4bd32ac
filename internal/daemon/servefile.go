package daemon

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"pumicecroft"
	"pumicecroft/consul"
	"pumicecroft/grpcproxy"
	"pumicecroft/internal/httplistener"
	"pumicecroft/internal/operatorconfig"
	"pumicecroft/internal/platform"
	"pumicecroft/membership"
)

// staticSource is a source whose list does not change.
type staticSource struct {
	endpoints membership.Update
	reported  chan struct{} // closed when it has reported
}

func (f staticSource) Run(_ context.Context, update func(membership.Update)) {
	update(f.endpoints)
	close(f.reported)
}

// protocolSource is a source whose nodes speak what it does not say.
type protocolSource struct {
	pumicecroft.Source
	protocol string
}

func (s protocolSource) Run(ctx context.Context, update func(membership.Update)) {
	s.Source.Run(ctx, func(l membership.Update) {
		if s.protocol != "" {
			l.Nodes = slices.Clone(l.Nodes)
			for i := range l.Nodes {
				l.Nodes[i].Protocol = s.protocol
			}
		}
		update(l)
	})
}

// Sync is the source's, if it has one.
func (s protocolSource) Sync(ctx context.Context, since time.Time) error {
	if c, ok := s.Source.(pumicecroft.Syncer); ok {
		return c.Sync(ctx, since)
	}
	return nil
}

// newSources are a file's, by precedence, with Consul's client if there is one; told is closed when what the file itself lists is known.
func newSources(f operatorconfig.File, told chan struct{}) (options []pumicecroft.Option, client *consul.Client, err error) {
	for _, name := range f.Sources {
		switch name {
		case operatorconfig.SourceConsul:
			if client, err = consul.New(f.Consul.Config); err != nil {
				return nil, nil, err
			}
			for _, s := range f.Consul.Services {
				w := client.Service(s)
				options = append(options, pumicecroft.WithNamedSource(w.SourceInfo(), w))
			}
		case operatorconfig.SourceDiscovery:
			options = append(options, pumicecroft.WithNamedSource(membership.SourceInfo{Name: name, Trusted: true},
				protocolSource{&platform.Discovery{Addr: f.DiscoveryAddr, FromVersion: platform.FromFullUpdate, DrainGrace: f.Gateway.Settings.DrainGrace,
					MaxEntries: f.Gateway.Membership.MaxNodes}, f.DiscoveryProtocol}))
		case operatorconfig.SourceFile:
			options = append(options, pumicecroft.WithNamedSource(membership.SourceInfo{Name: name, Trusted: true}, staticSource{f.Backends, told}))
		}
	}
	return options, client, nil
}

// ServeFile is one front door of an installation without the platform: it serves by an operator's file until ctx
// ends. At each value of hup it reads the file again, by again, and goes by the routes, the identities and the certificates that it names
// then; nil: it does not. What else the file holds is for the next start.
func ServeFile(ctx context.Context, f operatorconfig.File, again func() (operatorconfig.File, error), hup <-chan struct{}) error {
	slog.SetDefault(slog.With("door", f.Gateway.Settings.GatewayIndex))
	told := make(chan struct{})
	options, client, err := newSources(f, told)
	if err != nil {
		return err
	}
	options = append(options, pumicecroft.WithLogger(slog.Default()))
	if f.GRPC != nil {
		f.GRPC.Backends.Log = slog.Default()
		options = append(options, grpcproxy.WithBackends(f.GRPC.Backends))
	}
	var w *httpServer
	if f.HTTP != nil {
		if w, err = newHTTPServer(f); err != nil {
			return err
		}
		options = append(options, w.options...)
	}
	door, err := pumicecroft.New(f.Gateway, options...)
	if err != nil {
		return err
	}
	if slices.Contains(f.Sources, operatorconfig.SourceFile) {
		<-told // before the first client comes
	}
	serve := httplistener.NewServer(door, f.MaxClientConns, f.Gateway.Settings.LongestDeadline(), slog.Default(), httplistener.Options{}).Run
	if w != nil {
		if serve, err = w.newServe(door, f); err != nil {
			_ = door.Close(ctx) // err says why nothing is served
			return err
		}
		watching, stop := context.WithCancel(context.Background())
		var ran sync.WaitGroup
		defer ran.Wait()
		defer stop()
		ran.Go(func() { w.watch(watching, f, again, hup) })
	}
	if f.StatusAddr != "" {
		stop, err := serveBackendStatus(door, f.StatusAddr)
		if err != nil {
			_ = door.Close(ctx) // err says why nothing is served
			return err
		}
		defer stop()
	}
	var beside []serveFunc
	if f.GRPC != nil {
		serve, err := listenGRPC(door, f)
		if err != nil {
			_ = door.Close(ctx) // err says why nothing is served
			return err
		}
		beside = append(beside, serve)
	}
	if f.Consul != nil && f.Consul.Registration != nil {
		serving, stop := context.WithCancel(context.WithoutCancel(ctx))
		defer stop()
		defer register(client, *f.Consul.Registration, ctx.Done())()
		asked, notice := ctx.Done(), f.Consul.DrainNotice
		go func() { // a door that stands in the catalogue goes on until those who look there know that it drains
			select {
			case <-asked:
				time.Sleep(notice)
				stop()
			case <-serving.Done():
			}
		}()
		ctx = serving
	}
	return serveAll(ctx, door, "", f.Listen, serve, beside...)
}

// listenGRPC makes a file's gRPC front, which listens and does not serve yet.
func listenGRPC(door *pumicecroft.Gateway, f operatorconfig.File) (serveFunc, error) {
	c := f.GRPC.Proxy
	c.Log = slog.Default()
	front, err := grpcproxy.New(door, c)
	if err != nil {
		return nil, err
	}
	ln, err := net.Listen("tcp", f.GRPC.Listen)
	if err != nil {
		return nil, err
	}
	slog.Info("grpc", "listen", ln.Addr().String())
	return func(ctx context.Context) error { return front.Serve(ctx, ln) }, nil
}

// register keeps a door in the catalogue until the function that it gives is called.
func register(client *consul.Client, r consul.Registration, draining <-chan struct{}) (end func()) {
	ctx, stop := context.WithCancel(context.Background())
	r.OnResult = func(err error) {
		if err != nil {
			slog.Warn("consul: the door's registration", "err", err)
		} else {
			slog.Info("consul: the door is registered")
		}
	}
	var ran sync.WaitGroup
	ran.Go(func() {
		if err := client.Register(ctx, r, draining); err != nil {
			slog.Warn("consul: the door was not deregistered", "err", err)
		}
	})
	return func() { stop(); ran.Wait() }
}

// serveBackendStatus answers who asks what a door believes of its backends.
func serveBackendStatus(door *pumicecroft.Gateway, addr string) (stop func(), err error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /members", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(door.Backends()) // the client has gone
	})
	s := &http.Server{Handler: mux, ReadTimeout: 5 * time.Second, WriteTimeout: 10 * time.Second, MaxHeaderBytes: 8 << 10}
	go func() { _ = s.Serve(ln) }()
	slog.Info("members", "listen", ln.Addr().String())
	return func() { s.Close() }, nil
}

// FetchBackendStatus asks a running door at its address for members.
func FetchBackendStatus(ctx context.Context, addr string) ([]pumicecroft.BackendStatus, error) {
	ctx, cancel := context.WithTimeout(ctx, 10*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/members", nil)
	if err != nil {
		return nil, err
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, fmt.Errorf("no door answers for members: %w", err)
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("%s answered %s", addr, res.Status)
	}
	var out []pumicecroft.BackendStatus
	if err := json.NewDecoder(res.Body).Decode(&out); err != nil {
		return nil, fmt.Errorf("%s answered what is no list of members: %w", addr, err)
	}
	return out, nil
}
