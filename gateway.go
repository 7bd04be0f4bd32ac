// Package pumicecroft is a gateway library that enforces each customer's plan on a shared set of backends. A Gateway
// accepts requests (by Do in the same process, by ServeHTTP over HTTP). Its decision engine selects the backend of
// each request and decides which requests are retried or rejected. Each request gets one final answer before its
// timeout.
//
// The Settings define the classes, which say how long requests may take and whether they may be executed twice, and
// the plans, which say how many quota units a customer may use. A hard limit is a limit of a plan that holds for all
// gateways together.
//
// Five rules always hold: each request gets one final answer in time; a request that may have executed is retried
// only if its class permits that; a draining backend gets no new requests; a backend that has just started gets few
// requests; hard limits hold across all gateways.
//
// A source reports backends as nodes (membership.Node). The membership table merges the nodes of all sources; the
// decision engine knows the result as endpoints (decision.Endpoint).
//
// "The platform" is an environment with its own HTTP headers, discovery service and shared counter. PlatformRequest
// reads its headers; other environments set a Mapper and their own Sources.
//
// Packages middleware/nethttp and middleware/gin add a Gateway to the server of a host program. Package decision
// contains the decision engine, and package membership the types that report backends.
package pumicecroft

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"pumicecroft/decision"
	"pumicecroft/internal/deduplicator"
	"pumicecroft/internal/executor"
	"pumicecroft/internal/lifecycle"
	"pumicecroft/internal/platformtransport"
	"pumicecroft/membership"

	"golang.org/x/time/rate"
)

// Gateway forwards requests to backends as its decision engine decides. It is safe for concurrent use. A process may
// have several Gateways; they share nothing, unless they are given the same Deployment.
type Gateway struct {
	config       Config
	classes      map[string]decision.Class // by name
	plans        map[string]bool           // by name
	executor     *executor.Executor
	transports   map[string]executor.BackendTransport // by protocol
	transport    executor.BackendTransport            // dispatches to transports by protocol
	mapper       Mapper
	log          *slog.Logger
	dial         func(ctx context.Context, network, addr string) (net.Conn, error)
	sources      []namedSource
	deployment   *Deployment                // nil: none
	counter      executor.Counter           // nil: none
	deduplicator *deduplicator.Deduplicator // nil: the Gateway does not deduplicate requests by key

	// Each limits the rate of one group of log messages, so that a flood in one group does not suppress the others.
	// The group of endpointLog is all messages about endpoints and snapshots.
	badRequestLog, deadlineLog, rejectLog, disconnectLog, endpointLog, pauseLog rate.Sometimes

	// sourceLocks, by source name, serialize the updates of each source. Lock order: sourceLocks, then updateMu.
	sourceLocks map[string]*sync.Mutex
	// updateMu ensures that changes reach the executor in the order in which they reached the transports. It guards
	// membershipTable, membershipTimer, the fields of each endpointCache, and closed.
	updateMu        sync.Mutex
	membershipTable *membership.Table
	membershipTimer *time.Timer // calls onMembershipTimer
	endpointCaches  map[string]*endpointCache
	closed          bool

	ctx        context.Context // ends when Close has waited for the open requests
	cancel     context.CancelFunc
	background sync.WaitGroup // the goroutines of sources, endpoint caches and snapshots
	closing    atomic.Bool
}

// New returns a running Gateway. It rejects all requests until it knows of a backend. The error is an ErrConfig, an
// ErrJournal or an ErrGatewayIndexTaken.
func New(config Config, options ...Option) (*Gateway, error) { return newGateway(config, nil, options) }

// newGateway is New with the given decision engine; nil selects package decision's.
func newGateway(config Config, engine lifecycle.DecisionEngine, options []Option) (_ *Gateway, err error) {
	if config, err = config.withDefaults(); err != nil {
		return nil, err
	}
	if config.Seed == 0 {
		config.Seed = rand.Uint64()
	}
	g := allocateGateway(config, options)
	sources, err := g.sourceInfos()
	if err != nil {
		return nil, err
	}
	clock := executor.NewClock()
	settings := config.Settings
	settings.HasSharedCounter = settings.HasSharedCounter && g.counter != nil
	// A rejected key is forgotten, and a repeat is a new request then, however late it comes.
	settings.RejectUnexecutedOnly = settings.RejectUnexecutedOnly || config.Idempotency != nil
	var snapshots *snapshotter
	if engine == nil {
		if engine, snapshots, err = g.newEngine(settings, clock); err != nil {
			return nil, err
		}
		defer func() {
			if err != nil {
				snapshots.close() // may be nil
			}
		}()
	}
	if err := g.initTransports(settings); err != nil {
		return nil, err
	}
	g.initExecutor(settings, engine, clock)
	if err := g.claimIndex(); err != nil {
		g.executor.Stop()
		return nil, err
	}
	if err := g.initDeduplicator(); err != nil {
		g.executor.Stop()
		g.releaseIndex()
		return nil, err
	}
	g.initMembership(sources, clock)
	g.startBackground(sources, snapshots)
	return g, nil
}

// allocateGateway returns a Gateway with its options applied, before any of its parts are created.
func allocateGateway(config Config, options []Option) *Gateway {
	g := &Gateway{
		config:         config,
		classes:        map[string]decision.Class{},
		plans:          map[string]bool{},
		transports:     map[string]executor.BackendTransport{},
		endpointCaches: map[string]*endpointCache{},
		sourceLocks:    map[string]*sync.Mutex{},
		log:            slog.New(slog.DiscardHandler),
		badRequestLog:  newLogLimit(),
		deadlineLog:    newLogLimit(),
		rejectLog:      newLogLimit(),
		disconnectLog:  newLogLimit(),
		endpointLog:    newLogLimit(),
		pauseLog:       newLogLimit(),
	}
	g.mapper = g.PlatformRequest
	for _, option := range options {
		option(g)
	}
	for _, class := range config.Settings.Classes {
		g.classes[class.Name] = class
	}
	for _, plan := range config.Settings.Plans {
		g.plans[plan.Name] = true
	}
	return g
}

// newLogLimit permits the first ten lines, then one a second.
func newLogLimit() rate.Sometimes { return rate.Sometimes{First: 10, Interval: time.Second} }

// newEngine returns the decision engine, restored from the snapshot of an earlier process, and the snapshotter that
// writes snapshots for a later one. The snapshotter is nil if Config.StateDir is empty.
func (g *Gateway) newEngine(settings decision.Settings, clock executor.Clock) (*decision.Engine, *snapshotter, error) {
	var snapshots *snapshotter
	var customers []decision.CustomerState
	if g.config.StateDir != "" {
		opened, restored := g.restoreSnapshot(rand.Uint64()) // a boot ID for the snapshots of this process
		snapshots, customers = opened, restored.Customers
		settings.AssumeQuotaSpent = restored.AssumeQuotaSpent
	}
	engine, err := decision.New(settings, g.config.Seed, clock.Now())
	if err != nil {
		snapshots.close() // may be nil
		return nil, nil, fmt.Errorf("%w: %w", ErrConfig, err)
	}
	if snapshots != nil {
		snapshots.engine = engine
		engine.Restore(clock.Now(), customers)
	}
	return engine, snapshots, nil
}

// initTransports adds the HTTP/1.1 transport to those that options have added, in place of one with the same protocol
// name, and creates the transport that dispatches to all of them.
func (g *Gateway) initTransports(settings decision.Settings) error {
	g.transports[membership.ProtocolHTTP] = platformtransport.New(platformtransport.Config{
		MaxConns:         g.config.MaxBackendConns,
		IdleTimeout:      g.config.IdleTimeout,
		ConnectTimeout:   g.config.ConnectTimeout,
		LoadReportFields: settings.LoadReportFields,
		Log:              g.log,
		Dial:             g.dial,
	})
	if g.transports[g.config.Protocol] == nil {
		return fmt.Errorf("%w: no option adds a transport for Protocol %q", ErrConfig, g.config.Protocol)
	}
	g.transport = executor.NewTransportMux(g.transports)
	return nil
}

// initExecutor creates the executor with a new state machine for requests.
func (g *Gateway) initExecutor(settings decision.Settings, engine lifecycle.DecisionEngine, clock executor.Clock) {
	machine := lifecycle.New(engine, settings.Classes, lifecycle.Limits{
		MaxOpenRequests:  g.config.MaxOpenRequests,
		MaxAttempts:      settings.MaxAttempts,
		MaxRememberedIDs: maxRememberedIDs,
		IDRetention:      idRetention(settings.Classes),
		DetectPauses:     true,
		DrainGrace:       settings.DrainGrace,
	}, clock.Now())
	g.executor = executor.New(clock, machine, g.transport, settings.CanCancel)
	g.executor.SetSyncSources(g.syncSources)
	if g.counter != nil {
		g.executor.SetCounter(g.counter)
	}
}

// maxRememberedIDs is the number of IDs of requests that may have executed which the state machine remembers. With a
// retention of 12.5 s, it is enough for 5,200 such requests a second.
const maxRememberedIDs = 64 << 10

// idRetention returns how long the state machine remembers the ID of a request that may have executed: the longest sum
// of deadline and dedup window of any class. A host that runs its handlers again submits the same ID again, and the
// request must not execute a second time. Backends drop only repeats with a key, within DedupScope and DedupWindow.
func idRetention(classes []decision.Class) time.Duration {
	longest := time.Duration(0)
	for i := range classes {
		longest = max(longest, classes[i].Deadline+classes[i].DedupWindow)
	}
	return longest
}

// claimIndex claims the Gateway's index in its deployment, if the Gateway belongs to one.
func (g *Gateway) claimIndex() error {
	if g.deployment == nil {
		return nil
	}
	return g.deployment.claim(g.config.Settings.GatewayIndex, g.config.Settings.GatewayCount)
}

func (g *Gateway) releaseIndex() {
	if g.deployment != nil {
		g.deployment.release(g.config.Settings.GatewayIndex)
	}
}

// initMembership creates the membership table and publishes the endpoints of the configuration. They are marked as
// cached, as they are the last known ones and not a report of a source.
func (g *Gateway) initMembership(sources []membership.SourceInfo, clock executor.Clock) {
	for _, source := range sources {
		g.sourceLocks[source.Name] = &sync.Mutex{}
	}
	g.membershipTable = membership.NewTable(g.config.Membership, sources...)
	initial := g.config.InitialEndpoints
	initial.Full, initial.Cached = true, true
	g.updateMu.Lock()
	defer g.updateMu.Unlock()
	changes, invalid := g.membershipTable.Report(clock.Now(), hostSource, initial, clock.FromWallTime)
	g.publishChanges(decision.UpdateCached, changes, invalid)
}

// startBackground starts the goroutines that run until Close: snapshots, the endpoint caches of sources that are not
// trusted, and the sources. Sources start last, as newEndpointCache reads and applies a source's cache file.
func (g *Gateway) startBackground(sources []membership.SourceInfo, snapshots *snapshotter) {
	ctx, cancel := context.WithCancel(context.Background())
	g.ctx, g.cancel = ctx, cancel
	if snapshots != nil && snapshots.file != nil { // there is no file if it cannot be opened
		g.background.Go(func() { snapshots.run(ctx) })
	}
	if g.config.StateDir != "" {
		for _, source := range sources {
			if !source.Trusted {
				g.startEndpointCache(source.Name)
			}
		}
	}
	for _, source := range g.sources {
		g.background.Go(func() {
			source.implementation.Run(ctx, func(update membership.Update) { g.applyUpdate(source.Name, update) })
		})
	}
}

func (g *Gateway) startEndpointCache(source string) {
	cache := newEndpointCache(g, source)
	g.endpointCaches[source] = cache
	g.background.Go(func() { cache.run(g.ctx) })
}

// namedSource is a Source with its name and trust in the membership table.
type namedSource struct {
	membership.SourceInfo
	implementation Source
}

// hostSource is the source name of the endpoints that the host program supplies by Config.InitialEndpoints, Update and
// WithSource.
const hostSource = "own"

// sourceInfos returns the sources in order of precedence, highest first. Sources with the same name are returned once.
func (g *Gateway) sourceInfos() ([]membership.SourceInfo, error) {
	var infos []membership.SourceInfo
	host := namedSource{SourceInfo: membership.SourceInfo{Name: hostSource, Trusted: true}}
	for _, source := range append(g.sources, host) {
		i := slices.IndexFunc(infos, func(info membership.SourceInfo) bool { return info.Name == source.Name })
		switch {
		case source.Name == "" || i >= 0 && infos[i] != source.SourceInfo:
			return nil, fmt.Errorf("%w: source %q has no name, or is both trusted and untrusted",
				ErrConfig, source.Name)
		case i < 0:
			infos = append(infos, source.SourceInfo)
		}
	}
	return infos, nil
}

// Settings returns the Settings of the Config, with defaults set.
func (g *Gateway) Settings() decision.Settings { return g.config.Settings }

// ClassNames returns the names of the classes, in the order of the Settings.
func (g *Gateway) ClassNames() []string {
	var names []string
	for i := range g.config.Settings.Classes {
		names = append(names, g.config.Settings.Classes[i].Name)
	}
	return names
}

// SupportsProtocol reports whether the Gateway has a transport for a protocol.
func (g *Gateway) SupportsProtocol(protocol string) bool { return g.transports[protocol] != nil }

// OpenRequests returns the number of open requests: those that have no answer yet, and answered ones that still have
// an attempt in flight.
func (g *Gateway) OpenRequests() int { return g.executor.OpenRequests() }

// Close ends new requests with ErrClosed, waits until no request is open (see OpenRequests), and releases the Gateway's
// resources. If ctx ends first, the unanswered requests end with ErrAborted at once, and Close returns an ErrAborted
// that gives their number. A further call returns nil at once, even while the first one is still waiting.
func (g *Gateway) Close(ctx context.Context) error {
	if g.closing.Swap(true) {
		return nil
	}
	unanswered := g.executor.Drain(ctx)
	g.cancel()
	g.executor.Stop()
	if g.deduplicator != nil {
		if err := g.deduplicator.Close(ctx); err != nil {
			g.log.Error("idempotency journal not written completely", "err", err)
		}
	}
	g.background.Wait()
	g.releaseResources()
	if unanswered > 0 {
		return errors.Join(fmt.Errorf("%w: %d requests", ErrAborted, unanswered), context.Cause(ctx))
	}
	return nil
}

// releaseResources stops updates, closes the transports and releases the Gateway's index.
func (g *Gateway) releaseResources() {
	g.updateMu.Lock()
	defer g.updateMu.Unlock()
	g.closed = true
	if g.membershipTimer != nil {
		g.membershipTimer.Stop()
	}
	g.transport.Close()
	g.releaseIndex()
}
