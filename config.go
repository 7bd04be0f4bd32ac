package pumicecroft

import (
	"cmp"
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"time"

	"pumicecroft/decision"
	"pumicecroft/idempotency"
	"pumicecroft/internal/executor"
	"pumicecroft/membership"
)

// Config is what a Door is made of. Settings must name at least one class and one plan; of the rest, what is 0
// takes the default that is given.
type Config struct {
	// Settings are the facts that the decisions rest on: classes, plans, the number of front doors and which one
	// this is. FrontDoors and MaxAttempts are 1 and 3 if they are 0.
	Settings decision.Settings
	// Seed makes the decisions' random numbers. Two Doors with one seed draw alike. 0: one at random.
	Seed uint64
	// InitialEndpoints is the list of backends as last held, from before a restart say; Update's lists take its place.
	InitialEndpoints membership.Update
	// Membership says how the reports of several sources are weighed.
	Membership membership.Policy
	// StateDir is a directory that outlives the process. Lists of members are kept there, what sources that are not plain have told, and
	// are what a Door begins with until they are heard; and, each second, which customers owe or are held down, so that a restart
	// gives nobody a fresh burst (package recovery; of whom nothing is known has used up its burst: Settings.StartSpent is set by what is
	// found there). Empty: nothing is kept, and Settings.StartSpent stays as it is.
	StateDir string

	// Protocol is what backends speak of whom no source says it: ProtocolHTTP of package membership if it is empty.
	Protocol string

	MaxBackendConns int           // connections to all backends together, idle ones among them; 256
	ConnectTimeout  time.Duration // a connection that is not up by then counts as failed; 250 ms
	IdleTimeout     time.Duration // a backend may close a connection that was idle for this long; 15 s
	MaxOpenRequests int           // requests open at once; one more is refused; 4,096
	BodyReadTimeout time.Duration // for a request's body to come whole, over HTTP; 1 s

	// Idempotency has the Door recognise idempotency keys, of requests by Do, over HTTP and of unary calls over gRPC whose class is not safe to repeat: a repeat
	// waits for the first one's answer or is given it again. nil: it does not.
	Idempotency *idempotency.Limits
	// IdempotencyJournal keeps them on disk, so that they outlive the process. nil: they are held in memory alone.
	IdempotencyJournal *IdempotencyJournal
}

// IdempotencyJournal says how idempotency keys are kept on disk. A request with a key goes on once it is on disk that it may have run, and its
// answer is given when that is written.
type IdempotencyJournal struct {
	// Dir is a directory of this Door's alone, which is made if it is not there.
	Dir string
	// GroupCommitDelay is how long a record waits for others to be written with it, if the disk is idle; 0: it does not wait. While the disk is
	// busy, records gather by themselves.
	GroupCommitDelay time.Duration
	// SyncInterval is how far syncs are apart. 0: each group of records is synced before its requests go on, and no crash takes a key
	// away. Else they go on when it is written, which outlives the process, and not always the machine.
	SyncInterval time.Duration
	// WriteTimeout is how long a request waits for the disk; 1 s.
	WriteTimeout time.Duration
	// RejectOnFailure has requests with keys refused that the disk does not take, as it is full or fails or takes longer than Patience. Else they
	// go on, with their keys in memory alone until the disk takes them.
	RejectOnFailure bool
}

// The defaults of Config.
const (
	defaultMaxBackendConns     = 256
	defaultConnectTimeout      = 250 * time.Millisecond
	defaultIdleTimeout         = 15 * time.Second
	defaultMaxOpenRequests     = 4096
	defaultBodyReadTimeout     = time.Second
	defaultMaxAttempts         = 3
	defaultJournalWriteTimeout = time.Second
)

func (c Config) withDefaults() (Config, error) {
	err := cmp.Or(setDefault("ConnectTimeout", &c.ConnectTimeout, defaultConnectTimeout),
		setDefault("IdleTimeout", &c.IdleTimeout, defaultIdleTimeout),
		setDefault("BodyTimeout", &c.BodyReadTimeout, defaultBodyReadTimeout),
		setDefault("BackendConns", &c.MaxBackendConns, defaultMaxBackendConns),
		setDefault("MaxOpen", &c.MaxOpenRequests, defaultMaxOpenRequests),
		setDefault("Settings.FrontDoors", &c.Settings.GatewayCount, 1),
		setDefault("Settings.MaxAttempts", &c.Settings.MaxAttempts, defaultMaxAttempts))
	if err != nil {
		return Config{}, err
	}
	if me, of := c.Settings.GatewayIndex, c.Settings.GatewayCount; me < 0 || me >= of {
		return Config{}, fmt.Errorf("%w: Settings.Me is %d, of %d front doors", ErrConfig, me, of)
	}
	if c.Protocol == "" {
		c.Protocol = membership.ProtocolHTTP
	}
	if c.IdempotencyJournal != nil {
		j := *c.IdempotencyJournal
		err := cmp.Or(setDefault("KeysJournal.Patience", &j.WriteTimeout, defaultJournalWriteTimeout), setDefault("KeysJournal.Gather", &j.GroupCommitDelay, 0),
			setDefault("KeysJournal.SyncEvery", &j.SyncInterval, 0))
		switch {
		case err != nil:
			return Config{}, err
		case c.Idempotency == nil:
			return Config{}, fmt.Errorf("%w: KeysJournal is set, and Keys is not", ErrConfig)
		case j.Dir == "":
			return Config{}, fmt.Errorf("%w: KeysJournal.Dir is empty", ErrConfig)
		}
		c.IdempotencyJournal = &j
	}
	if err := c.Settings.Validate(); err != nil {
		return Config{}, fmt.Errorf("%w: %w", ErrConfig, err)
	}
	return c, nil
}

// setDefault gives a setting that is 0 its default; one below 0 is an error.
func setDefault[T int | time.Duration](name string, v *T, is T) error {
	if *v < 0 {
		return fmt.Errorf("%w: %s is %v", ErrConfig, name, *v)
	}
	if *v == 0 {
		*v = is
	}
	return nil
}

// Source supplies the list of backends: a discovery service's client, a file, a program's own list. Run reports
// what it learns by update until ctx ends, and returns then; a source that fails reports nothing but that
// (List.Failed), and what it said stays. It is run in a goroutine of its own; update may be called from any, and
// does not wait.
type Source interface {
	Run(ctx context.Context, update func(membership.Update))
}

// Syncer is a Source that can tell when it has reported all that had arrived when it was asked. After the process stood still (it was
// stopped, or its machine was), the Door asks each of them and sends nothing before they have answered, for half a second at the most: what
// a source was told meanwhile waits unread, and a backend that drains by it must not be sent to. Of a source that is none, what is decided
// first after a standstill may rest on what it said before.
type Syncer interface {
	Source
	// Sync returns when all that had arrived is reported, or ctx ends, or the error tells why nothing can be heard; one that could not
	// be heard since before the time since, when the process was last seen to go on, need not be waited for. It may be called by several
	// goroutines at once, and before Run.
	Sync(ctx context.Context, since time.Time) error
}

// Mapper turns a host's request into a Request, without its body, which the Door reads. An error is answered as a
// bad request, unless it is one of this package's that says otherwise.
type Mapper func(*http.Request) (Request, error)

// Option changes how a Door is made.
type Option func(*Gateway)

// WithSource lets a source supply the list of backends until the Door is closed. There may be several; each
// list counts as if it came by Update, and is taken as it stands.
func WithSource(s Source) Option {
	return WithNamedSource(membership.SourceInfo{Name: ownSource, Trusted: true}, s)
}

// WithNamedSource lets a source of a name of its own supply backends. Sources of several names are merged as
// membership.Table does it, and the order of these options is their precedence; Update and WithSource come last
// where WithSource does not say otherwise. Two sources of one name are one source; both are plain, or neither.
func WithNamedSource(o membership.SourceInfo, s Source) Option {
	return func(d *Gateway) { d.sources = append(d.sources, namedSource{o, s}) }
}

// WithDeployment makes the Door one of a deployment's, which lets each number be claimed once.
func WithDeployment(dep *Deployment) Option { return func(d *Gateway) { d.deployment = dep } }

// WithMapper says how ServeHTTP reads a request; the default is the Door's PlatformRequest.
func WithMapper(m Mapper) Option { return func(d *Gateway) { d.mapper = m } }

// WithProtocol lets the Door reach backends over a protocol beside HTTP/1.1, by its name in membership.Node. What reaches
// them is made by packages of this module: see package grpcfront.
func WithProtocol(name string, b executor.BackendTransport) Option {
	return func(d *Gateway) { d.transports[name] = b }
}

// WithCounter names the counter that Settings.SharedCounter speaks of: doors lend each other parts of customers' ceilings
// over it. The program closes it when the Door is closed.
func WithCounter(c executor.Counter) Option { return func(d *Gateway) { d.counter = c } }

// WithLogger takes what the Door has to say about bad input and broken backends, a few lines a second at the
// most. The default is silence.
func WithLogger(l *slog.Logger) Option { return func(d *Gateway) { d.log = l } }

// WithDialer says how connections to backends are made, in place of TCP from any address.
func WithDialer(dial func(ctx context.Context, network, addr string) (net.Conn, error)) Option {
	return func(d *Gateway) { d.dial = dial }
}
