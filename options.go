package pumicecroft

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"time"

	"pumicecroft/internal/executor"
	"pumicecroft/membership"
)

// Source supplies endpoints: a discovery service's client, a file, a program's own list.
type Source interface {
	// Run calls update with what it learns until ctx ends, and returns then. A source that cannot be reached may
	// call it with the Update's Err alone; its earlier endpoints stay. (Package consul does; the platform's discovery
	// only logs that its watch ended.) Run is called once, in a goroutine of its own;
	// update may be called from any goroutine, and blocks while an update of the same source is taken in.
	Run(ctx context.Context, update func(membership.Update))
}

// Syncer is a Source that knows when it has reported all that had arrived when it was asked. After a pause of the
// process (it was stopped, or its machine was) the Gateway calls Sync of each, and sends nothing before they have
// returned, for half a second at the most: an update that arrived during the pause is still unread, and a backend
// that it drains must not be sent to. Behind a Source that is no Syncer, the first decisions after a pause may rest
// on its endpoints from before.
type Syncer interface {
	Source
	// Sync returns nil when all that had arrived is reported, and an error if the source cannot be reached or ctx
	// ends. A source that has been unreachable since before since, when the process was last seen running, need not
	// be waited for. Sync may be called by several goroutines at once, and before Run.
	Sync(ctx context.Context, since time.Time) error
}

// Mapper reads a host's request as a Request, without its body, which the Gateway reads. An error is answered as a
// bad request, unless it is another one of this package.
type Mapper func(*http.Request) (Request, error)

// Option changes how New makes a Gateway.
type Option func(*Gateway)

// WithSource adds a source of endpoints, which runs until the Gateway is closed. There may be several; each update
// counts as one by Gateway.Update: it is trusted as it is.
func WithSource(source Source) Option {
	return WithNamedSource(membership.SourceInfo{Name: ownSource, Trusted: true}, source)
}

// WithNamedSource adds a source of endpoints under a name of its own. Sources of several names are merged as
// membership.Table does it, and the order of these options is their precedence; Update and WithSource come last,
// unless a WithSource stands before. Two sources of one name are one source; both are trusted, or neither.
func WithNamedSource(info membership.SourceInfo, source Source) Option {
	return func(g *Gateway) { g.sources = append(g.sources, namedSource{info, source}) }
}

// WithDeployment makes the Gateway one of a deployment's, in which each index can be claimed once.
func WithDeployment(deployment *Deployment) Option {
	return func(g *Gateway) { g.deployment = deployment }
}

// WithMapper sets how ServeHTTP reads a request. Default: the Gateway's PlatformRequest.
func WithMapper(mapper Mapper) Option { return func(g *Gateway) { g.mapper = mapper } }

// WithProtocol lets the Gateway reach backends over a protocol beside HTTP/1.1, by its name in membership.Node.
// Transports are made by packages of this module: see grpcproxy and httpproxy.
func WithProtocol(name string, transport executor.BackendTransport) Option {
	return func(g *Gateway) { g.transports[name] = transport }
}

// WithCounter sets the counter that Settings.HasSharedCounter is about: over it, gateways lend each other shares of
// customers' hard limits. The program closes the counter after the Gateway.
func WithCounter(counter executor.Counter) Option { return func(g *Gateway) { g.counter = counter } }

// WithLogger sets where the Gateway logs bad requests and failing backends and sources, a few lines a second at the
// most. Default: nothing is logged.
func WithLogger(logger *slog.Logger) Option { return func(g *Gateway) { g.log = logger } }

// WithDialer sets how connections to backends are made. Default: TCP from any address.
func WithDialer(dial func(ctx context.Context, network, addr string) (net.Conn, error)) Option {
	return func(g *Gateway) { g.dial = dial }
}
