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

// Source supplies endpoints, for instance from a discovery service, a file or a list in the program.
type Source interface {
	// Run calls update with each update that it receives, and returns when ctx ends. A source that cannot be reached
	// may pass an Update with only Err set; the source's earlier endpoints are kept. (Package consul does so; the
	// platform's discovery only logs that its watch ended.) Run is called once, in its own goroutine. update may be
	// called from any goroutine, and blocks while another update of the same source is being applied.
	Run(ctx context.Context, update func(membership.Update))
}

// Syncer is a Source whose Sync waits until every update that arrived before the call is applied. After a pause of the
// process (the process or its machine was stopped) the Gateway calls Sync of every Syncer, and sends nothing until all
// calls have returned or a quarter of Settings.DrainGrace has passed (half a second by default). An update that arrived
// during the pause is still unread then, and may say that a backend is draining, which must get no new requests. With a
// Source that is not a Syncer, the first decisions after a pause may use its endpoints from before the pause.
type Syncer interface {
	Source
	// Sync returns nil after every update that had arrived when it was called is applied, and an error if the source
	// cannot be reached or ctx ends. since is when the process was last known to run: Sync need not wait for a
	// source that was already unreachable at that time. Sync may be called concurrently, and before Run.
	Sync(ctx context.Context, since time.Time) error
}

// Mapper converts an HTTP request that the host program has received to a Request, without the body, which the Gateway
// reads. An error that is not an ErrRejected or an ErrFailed is answered as an ErrBadRequest.
type Mapper func(*http.Request) (Request, error)

// Option configures a Gateway in New.
type Option func(*Gateway)

// WithSource adds a source of endpoints, which runs until the Gateway is closed. It may be given several times. The
// source's updates are trusted, as if they were passed to Gateway.Update.
func WithSource(source Source) Option {
	return WithNamedSource(membership.SourceInfo{Name: hostSource, Trusted: true}, source)
}

// WithNamedSource adds a source of endpoints under the given name. membership.Table merges the sources; those of
// earlier options take precedence. The sources of WithSource share one name with Update, which has the place of the
// first WithSource, or the last place if there is none. Sources with the same name count as one, and must be all
// trusted or all untrusted. A trusted source's reports apply at once; see membership.SourceInfo. The endpoints of an
// untrusted one are kept in Config.StateDir.
func WithNamedSource(info membership.SourceInfo, source Source) Option {
	return func(g *Gateway) { g.sources = append(g.sources, namedSource{info, source}) }
}

// WithDeployment adds the Gateway to a deployment, in which no two gateways may have the same index.
func WithDeployment(deployment *Deployment) Option {
	return func(g *Gateway) { g.deployment = deployment }
}

// WithMapper sets how ServeHTTP reads a request. Default: the Gateway's PlatformRequest.
func WithMapper(mapper Mapper) Option { return func(g *Gateway) { g.mapper = mapper } }

// WithProtocol adds a transport for backends that speak another protocol than HTTP/1.1. name is the protocol's name
// in membership.Node. Packages grpcproxy and httpproxy of this module provide such transports.
func WithProtocol(name string, transport executor.BackendTransport) Option {
	return func(g *Gateway) { g.transports[name] = transport }
}

// WithCounter sets the shared counter, which is used if Settings.HasSharedCounter is set. Through it, gateways lend
// each other shares of customers' hard limits (quota.SharedBucket). The caller closes the counter after the Gateway.
func WithCounter(counter executor.Counter) Option { return func(g *Gateway) { g.counter = counter } }

// WithLogger sets the logger. It gets messages about bad requests, missed deadlines, failing backends and sources,
// pauses of the process, snapshots and the idempotency journal. At most a few lines a second are logged: of each group
// of frequent messages the first ten, then one a second. Default: nothing is logged.
func WithLogger(logger *slog.Logger) Option { return func(g *Gateway) { g.log = logger } }

// WithDialer sets the function that opens connections to backends. Default: TCP from any local address.
func WithDialer(dial func(ctx context.Context, network, addr string) (net.Conn, error)) Option {
	return func(g *Gateway) { g.dial = dial }
}
