// Package httpproxy is a front for ordinary HTTP: whatever a server behind a reverse proxy may be asked, it is asked through a Door, which
// decides which backend, whether again, and what is refused. A Front is an http.Handler for HTTP/1.1 and HTTP/2, in any server.
//
// Routes say which service a request is for and what it may cost; an identity.Resolver says who asks; the request's method says what a repeat
// would do. What a client may not say for itself is removed. Path, fields, body and trailers go on as they came, and so does the answer.
//
// webfront.go is the configuration, serve.go a request's way, final.go the answers that are the door's own, sink.go an answer that is passed
// on as it comes.
package httpproxy

import (
	"cmp"
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"pumicecroft"
	"pumicecroft/decision"
	"pumicecroft/identity"
	"pumicecroft/internal/http1proxy"
	"pumicecroft/internal/httpproxytransport"
	"pumicecroft/routes"
)

// Statuses say what the statuses of a route's backends mean: Answered, Refused (harmless to try elsewhere) or Failed (it may have run). The
// zero value has the usual meaning, which the page for operators tells.
type Statuses = http1proxy.Statuses

// ForwardedStyle is how backends are told where a request came from.
type ForwardedStyle = http1proxy.ForwardedStyle

// The styles.
const (
	XForwarded    = http1proxy.XForwarded
	Forwarded     = http1proxy.Forwarded
	ForwardedNone = http1proxy.ForwardedNone
)

// ServiceConfig says how a service's backends are reached. What is 0 takes the default.
type ServiceConfig struct {
	Name                string
	MaxConns            int           // connections to all of its backends together; 256
	ConnectTimeout      time.Duration // a connection that is not up by then counts as failed; 250 ms, with TLS 1 s
	IdleTimeout         time.Duration // a backend may close a connection that was idle for this long; 15 s
	ResponseBufferBytes int           // an answer of known length up to this is held until it is whole, so that one that is cut can be made up for; 64 KiB; below 0: none is
	TLS                 *tls.Config   // nil: plain
	HTTP2               bool          // backends speak HTTP/2, without TLS by prior knowledge
	MaxHTTP2Conns       int           // to one backend; 2
	RewriteHost         func(addr string) string
	Log                 *slog.Logger
	Dial                func(ctx context.Context, network, addr string) (net.Conn, error)
}

// Protocol is what a service's backends speak, as membership.Node has it: a name of the service's own.
func Protocol(service string) string { return httpproxytransport.Protocol(service) }

// WithService lets a Door reach a service's backends: those whose Protocol is that of its name.
func WithService(c ServiceConfig) pumicecroft.Option {
	return pumicecroft.WithProtocol(Protocol(c.Name), httpproxytransport.New(httpproxytransport.Config{Service: c.Name, MaxConns: c.MaxConns, ConnectTimeout: c.ConnectTimeout, IdleTimeout: c.IdleTimeout,
		ResponseBufferBytes: c.ResponseBufferBytes, TLS: c.TLS, HTTP2: c.HTTP2, MaxHTTP2Conns: c.MaxHTTP2Conns, RewriteHost: c.RewriteHost, Log: c.Log, Dial: c.Dial}))
}

// Classes are a Door's classes for one kind of traffic, by what a repeat may do. An empty one: such requests go by the next of Keyed, Unsafe, Safe
// that is there, in this order, so that nothing is repeated more freely than it may be.
type Classes struct{ Idempotent, IdempotentByKey, NonIdempotent string }

// forIdempotency gives the class for an effect.
func (c *Classes) forIdempotency(e decision.Idempotency) string {
	switch {
	case e == decision.Idempotent && c.Idempotent != "":
		return c.Idempotent
	case e != decision.NonIdempotent && c.IdempotentByKey != "":
		return c.IdempotentByKey
	case c.NonIdempotent != "":
		return c.NonIdempotent
	case c.IdempotentByKey != "":
		return c.IdempotentByKey
	}
	return c.Idempotent
}

// Route is what becomes of the requests that take it.
type Route struct {
	Service string
	Class   Classes
	// Idempotency, if it is not nil, is what repeats of its requests may do, whatever their methods.
	Idempotency  *decision.Idempotency
	Cost         float64       // what a request costs of its customer's quota; 0: 1
	Timeout      time.Duration // at the most; 0: the class's deadline
	MaxBodyBytes int64         // of a request, in bytes; 0: 1 MiB
	Statuses     Statuses
	RejectStatus int // a status by which its requests are refused; 0: they are not
}

// Rules are what a Front goes by. They may be swapped as a whole; a request goes by the ones that were there when it came.
type Rules struct {
	Routes   *routes.Table[*Route]
	Resolver *identity.Resolver
	// RemoveHeaders are fields that never go on to backends, such as an API key's; canonical names.
	RemoveHeaders []string
}

// Config is what a Front is made of. What is 0 takes the default.
type Config struct {
	Rules           Rules
	BodyReadTimeout time.Duration // for a request's body to come whole; 10 s
	MaxBodyMemory   int64         // bytes of all requests' bodies that are held at once; 64 MiB. A request that finds no room is refused
	ForwardedStyle  ForwardedStyle
	Via             string // the name in Via; pumicecroft
	// TimeoutHeader is a field in which clients may say how long they wait, in seconds or as "250ms"; empty: none is looked at. LeftIn is one in
	// which backends are told how long that still is, in seconds.
	TimeoutHeader, RemainingTimeoutHeader string
	// RequestIDHeader is the field of a request's id, which is made where the client brings none; X-Request-Id.
	RequestIDHeader string
	// Strict says that clients are the platform's: each request brings an id of 16 hex digits, new with each try, so that one that comes again
	// is a replay; it brings its time, and a trusted peer its units; and Retry-After may have decimals.
	Strict                     bool
	IdempotencyKeyHeader       string // the field of the idempotency key; Idempotency-Key
	MaxIdempotentResponseBytes int    // bytes of an answer to a request with a key, which is held whole; 1 MiB
	Log                        *slog.Logger
}

// Proxy takes requests for a Door. It is safe for concurrent use.
type Proxy struct {
	gateway        *pumicecroft.Gateway
	config         Config
	settings       decision.Settings
	plans          map[string]*decision.Plan
	classes        map[string]*decision.Class
	rules          atomic.Pointer[compiledRules]
	bodyMemoryUsed atomic.Int64 // bytes that are held
	logger         *slog.Logger
	rejectLogLimit rate.Sometimes
}

// compiledRules are Rules with what follows from them.
type compiledRules struct {
	Rules
	headers http1proxy.HeaderForwarder
}

// ErrInvalidRules says that rules can't be gone by: they name what the Door does not have.
var ErrInvalidRules = errors.New("webfront: rules that don't fit")

// New makes a Front of a Door that has the options of its services. The error is an ErrRules.
func New(door *pumicecroft.Gateway, c Config) (*Proxy, error) {
	if c.BodyReadTimeout <= 0 {
		c.BodyReadTimeout = 10 * time.Second
	}
	if c.MaxBodyMemory <= 0 {
		c.MaxBodyMemory = 64 << 20
	}
	if c.MaxIdempotentResponseBytes <= 0 {
		c.MaxIdempotentResponseBytes = 1 << 20
	}
	c.Via, c.RequestIDHeader, c.IdempotencyKeyHeader = cmp.Or(c.Via, "pumicecroft"), cmp.Or(c.RequestIDHeader, "X-Request-Id"), cmp.Or(c.IdempotencyKeyHeader, "Idempotency-Key")
	for _, name := range []*string{&c.RequestIDHeader, &c.IdempotencyKeyHeader, &c.TimeoutHeader, &c.RemainingTimeoutHeader} {
		*name = http1proxy.CanonicalHeaderName(*name)
	}
	if c.Log == nil {
		c.Log = slog.New(slog.DiscardHandler)
	}
	f := &Proxy{gateway: door, config: c, settings: door.Settings(), plans: map[string]*decision.Plan{}, classes: map[string]*decision.Class{}, logger: c.Log,
		rejectLogLimit: rate.Sometimes{First: 10, Interval: time.Second}}
	for i := range f.settings.Plans {
		f.plans[f.settings.Plans[i].Name] = &f.settings.Plans[i]
	}
	for i := range f.settings.Classes {
		f.classes[f.settings.Classes[i].Name] = &f.settings.Classes[i]
	}
	if err := f.SetRules(c.Rules); err != nil {
		return nil, err
	}
	return f, nil
}

// maxViaEntries is how often a request may have come through doors of one name.
const maxViaEntries = 8

// SetRules puts other rules in force, whole, for requests that come from now on. On an error, an ErrRules, the ones before stay.
func (f *Proxy) SetRules(r Rules) error {
	if r.Routes == nil || r.Resolver == nil {
		return fmt.Errorf("%w: there are no routes, or nothing says who asks", ErrInvalidRules)
	}
	var bad error
	for rule := range r.Routes.Rules() {
		to := rule.Target
		if to.RejectStatus != 0 {
			continue
		}
		for _, class := range []string{to.Class.Idempotent, to.Class.IdempotentByKey, to.Class.NonIdempotent} {
			if class != "" && f.classes[class] == nil {
				bad = errors.Join(bad, fmt.Errorf("%w: route %q has class %q, which the door does not have", ErrInvalidRules, rule.Name, class))
			}
		}
		if to.Class.forIdempotency(decision.NonIdempotent) == "" {
			bad = errors.Join(bad, fmt.Errorf("%w: route %q has no class", ErrInvalidRules, rule.Name))
		}
		if !f.gateway.SupportsProtocol(Protocol(to.Service)) {
			bad = errors.Join(bad, fmt.Errorf("%w: route %q has service %q, which the door does not reach", ErrInvalidRules, rule.Name, to.Service))
		}
		if err := to.Statuses.Validate(); err != nil {
			bad = errors.Join(bad, fmt.Errorf("%w: route %q: %w", ErrInvalidRules, rule.Name, err))
		}
	}
	for _, plan := range r.Resolver.Plans() {
		if f.plans[plan] == nil {
			bad = errors.Join(bad, fmt.Errorf("%w: identities have plan %q, which the door does not have", ErrInvalidRules, plan))
		}
	}
	if bad != nil {
		return bad
	}
	f.rules.Store(&compiledRules{r, http1proxy.HeaderForwarder{ForwardedStyle: f.config.ForwardedStyle, ViaName: f.config.Via, MaxViaEntries: maxViaEntries, Remove: r.RemoveHeaders, TrustedOnly: r.Resolver.AssertedHeaders()}})
	return nil
}

var _ http.Handler = (*Proxy)(nil)
