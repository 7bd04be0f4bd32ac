// Package httpproxy is the reverse proxy for ordinary HTTP. A Proxy is an http.Handler for HTTP/1.1
// and HTTP/2 in any server: it passes each request to the backends of a service through a Gateway,
// which selects the backend, retries, and rejects.
//
// Routes say which service a request is for and what it costs, an identity.Resolver says who sent
// it, and the method says whether a retry is safe. Fields that a client may not set for itself are
// removed. Path, other fields, body and trailers are forwarded unchanged, and so is the response.
//
// The files: proxy.go has the configuration, resolve.go decides what becomes of a request, request.go
// makes the request to the backend, body.go reads the client's body, serve.go answers, response.go
// writes a backend's response and problem.go the proxy's own. The package holds no state about
// backends or customers: that is the Gateway's.
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

// Statuses say what a route's backends mean by their statuses: Succeeded, Rejected (not processed,
// so that any other backend may be tried) or Failed (it may have run). The zero value has the usual
// meaning, which docs/operate/http.md lists.
type Statuses = http1proxy.Statuses

// ForwardedStyle selects the header by which backends are told where a request came from.
type ForwardedStyle = http1proxy.ForwardedStyle

// The styles. The default is XForwarded.
const (
	XForwarded    = http1proxy.XForwarded    // X-Forwarded-For, X-Forwarded-Proto and X-Forwarded-Host
	Forwarded     = http1proxy.Forwarded     // Forwarded (RFC 7239)
	ForwardedNone = http1proxy.ForwardedNone // no header; what the client sent of them is removed
)

// ServiceConfig says how the backends of one service are reached. A zero field takes its default.
type ServiceConfig struct {
	// Name is the service's name, as routes and discovery have it. It is required.
	Name string
	// MaxConns limits the connections to all backends of the service together. Default 256.
	MaxConns int
	// ConnectTimeout limits connecting, TLS handshake included. Default 250 ms, with TLS 1 s.
	ConnectTimeout time.Duration
	// IdleTimeout is the time after which a backend may close an idle connection. A connection is
	// not used any more when it has been idle for 60% of it. Default 15 s.
	IdleTimeout time.Duration
	// ResponseBufferBytes is the largest response of known length that is read completely before
	// any of it is forwarded, so that the request can be retried if the response is cut off.
	// Default 64 KiB; negative means that no response is buffered.
	ResponseBufferBytes int
	// TLS configures connections to backends. nil means plain text.
	TLS *tls.Config
	// HTTP2 says that backends speak HTTP/2: by ALPN over TLS, by prior knowledge without.
	HTTP2 bool
	// MaxHTTP2Conns limits the HTTP/2 connections to one backend. Default 2.
	MaxHTTP2Conns int
	// RewriteHost returns the Host for a backend's address. nil forwards the client's.
	RewriteHost func(addr string) string
	// Log receives failed connections and attempts at level debug. nil discards them.
	Log *slog.Logger
	// Dial opens connections. nil means a net.Dialer without keep-alive probes.
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)
}

// Protocol returns the protocol name of a service's backends, as membership.Node.Protocol has it.
func Protocol(service string) string { return httpproxytransport.Protocol(service) }

// WithService lets a Gateway reach the backends of a service: those whose Protocol is that of its
// name.
func WithService(c ServiceConfig) pumicecroft.Option {
	transport := httpproxytransport.New(httpproxytransport.Config{
		Service:             c.Name,
		MaxConns:            c.MaxConns,
		ConnectTimeout:      c.ConnectTimeout,
		IdleTimeout:         c.IdleTimeout,
		ResponseBufferBytes: c.ResponseBufferBytes,
		TLS:                 c.TLS,
		HTTP2:               c.HTTP2,
		MaxHTTP2Conns:       c.MaxHTTP2Conns,
		RewriteHost:         c.RewriteHost,
		Log:                 c.Log,
		Dial:                c.Dial,
	})
	return pumicecroft.WithProtocol(Protocol(c.Name), transport)
}

// Classes name the request classes of one kind of traffic by idempotency. A request whose class is
// empty takes the next of IdempotentByKey, NonIdempotent and Idempotent that is not, in this order,
// so that nothing is retried more freely than it may be.
type Classes struct{ Idempotent, IdempotentByKey, NonIdempotent string }

// forIdempotency returns the class for requests of an idempotency. It is empty only if all are.
func (c *Classes) forIdempotency(i decision.Idempotency) string {
	switch {
	case i == decision.Idempotent && c.Idempotent != "":
		return c.Idempotent
	case i != decision.NonIdempotent && c.IdempotentByKey != "":
		return c.IdempotentByKey
	case c.NonIdempotent != "":
		return c.NonIdempotent
	case c.IdempotentByKey != "":
		return c.IdempotentByKey
	}
	return c.Idempotent
}

// Route says what becomes of the requests that match it.
type Route struct {
	// Service is the name of the service whose backends get the requests.
	Service string
	// Class names the classes of the requests.
	Class Classes
	// Idempotency overrides what the methods of requests say. nil means by method.
	Idempotency *decision.Idempotency
	// Cost is what a request takes of its customer's quota. 0 means 1.
	Cost float64
	// Timeout bounds a request, in addition to its class's deadline. 0 means the deadline alone.
	Timeout time.Duration
	// MaxBodyBytes limits a request's body. 0 means 1 MiB.
	MaxBodyBytes int64
	// Statuses are the meanings of its backends' statuses.
	Statuses Statuses
	// RejectStatus is the status by which requests are rejected. 0 means that they are forwarded.
	RejectStatus int
}

// Rules are the routes and identities of a Proxy. They are replaced as a whole by SetRules; a
// request goes by the ones that were in force when it arrived.
type Rules struct {
	Routes   *routes.Table[*Route]
	Resolver *identity.Resolver
	// RemoveHeaders are canonical names of fields that are never forwarded, such as an API key's.
	RemoveHeaders []string
}

// Config configures a Proxy. A zero field takes its default.
type Config struct {
	// Rules are the first rules. They are required.
	Rules Rules
	// BodyReadTimeout limits reading a request's body. Default 10 s.
	BodyReadTimeout time.Duration
	// MaxBodyMemory limits the memory for the bodies of all open requests together, in bytes.
	// A request that exceeds it is rejected. Default 64 MiB.
	MaxBodyMemory int64
	// ForwardedStyle selects the header that tells where a request came from. Default XForwarded.
	ForwardedStyle ForwardedStyle
	// Via is the proxy's name in the Via field. Default "pumicecroft".
	Via string
	// TimeoutHeader names the field in which clients may say how long they wait, in seconds or as
	// "250ms". Empty means that none is read.
	TimeoutHeader string
	// RemainingTimeoutHeader names the field in which backends are told how many seconds their
	// client still waits. Empty means that they are not told.
	RemainingTimeoutHeader string
	// RequestIDHeader names the field of the request's ID. An ID is generated if the client sends
	// none. Default "X-Request-Id".
	RequestIDHeader string
	// Strict requires what the platform's clients send: an ID of 16 hex digits in each request, new
	// in each retry, so that one that was seen before is a replay; a timeout; and from a trusted
	// peer the cost. Retry-After may have decimals then.
	Strict bool
	// IdempotencyKeyHeader names the field of the idempotency key. Default "Idempotency-Key".
	IdempotencyKeyHeader string
	// MaxIdempotentResponseBytes limits the response to a request with an idempotency key, which is
	// read completely before it is forwarded. Default 1 MiB.
	MaxIdempotentResponseBytes int
	// Log receives requests that are not accepted. nil discards them.
	Log *slog.Logger
}

// Defaults of Config and Route.
const (
	defaultBodyReadTimeout            = 10 * time.Second
	defaultMaxBodyMemory              = 64 << 20 // bytes
	defaultMaxIdempotentResponseBytes = 1 << 20
	defaultMaxBodyBytes               = 1 << 20
	defaultVia                        = "pumicecroft"
	defaultRequestIDHeader            = "X-Request-Id"
	defaultIdempotencyKeyHeader       = "Idempotency-Key"
)

// maxViaEntries is how often a request may have passed proxies of this name before it is taken to
// go in a loop.
const maxViaEntries = 8

// Proxy is an http.Handler that forwards requests through a Gateway. It is safe for concurrent use.
type Proxy struct {
	gateway  *pumicecroft.Gateway
	config   Config
	settings decision.Settings
	plans    map[string]*decision.Plan
	classes  map[string]*decision.Class
	rules    atomic.Pointer[compiledRules]
	// bodyMemoryUsed is the memory for the bodies of open requests, in bytes.
	bodyMemoryUsed atomic.Int64
	logger         *slog.Logger
	rejectLogLimit rate.Sometimes
}

var _ http.Handler = (*Proxy)(nil)

// compiledRules are Rules with the header forwarding that follows from them.
type compiledRules struct {
	Rules
	headers http1proxy.HeaderForwarder
}

// ErrInvalidRules says that rules name a class, plan or service that the Gateway does not have.
var ErrInvalidRules = errors.New("httpproxy: invalid rules")

// New returns a Proxy for a Gateway that was made with WithService for each of its services. The
// error is an ErrInvalidRules.
func New(gateway *pumicecroft.Gateway, c Config) (*Proxy, error) {
	setDefaults(&c)
	p := &Proxy{
		gateway:        gateway,
		config:         c,
		settings:       gateway.Settings(),
		plans:          map[string]*decision.Plan{},
		classes:        map[string]*decision.Class{},
		logger:         c.Log,
		rejectLogLimit: rate.Sometimes{First: 10, Interval: time.Second},
	}
	for i := range p.settings.Plans {
		p.plans[p.settings.Plans[i].Name] = &p.settings.Plans[i]
	}
	for i := range p.settings.Classes {
		p.classes[p.settings.Classes[i].Name] = &p.settings.Classes[i]
	}
	if err := p.SetRules(c.Rules); err != nil {
		return nil, err
	}
	return p, nil
}

func setDefaults(c *Config) {
	if c.BodyReadTimeout <= 0 {
		c.BodyReadTimeout = defaultBodyReadTimeout
	}
	if c.MaxBodyMemory <= 0 {
		c.MaxBodyMemory = defaultMaxBodyMemory
	}
	if c.MaxIdempotentResponseBytes <= 0 {
		c.MaxIdempotentResponseBytes = defaultMaxIdempotentResponseBytes
	}
	c.Via = cmp.Or(c.Via, defaultVia)
	c.RequestIDHeader = http1proxy.CanonicalHeaderName(cmp.Or(c.RequestIDHeader, defaultRequestIDHeader))
	c.IdempotencyKeyHeader = http1proxy.CanonicalHeaderName(cmp.Or(c.IdempotencyKeyHeader, defaultIdempotencyKeyHeader))
	c.TimeoutHeader = http1proxy.CanonicalHeaderName(c.TimeoutHeader)
	c.RemainingTimeoutHeader = http1proxy.CanonicalHeaderName(c.RemainingTimeoutHeader)
	if c.Log == nil {
		c.Log = slog.New(slog.DiscardHandler)
	}
}

// SetRules puts rules in force for requests that arrive from now on. On an error, which joins an
// ErrInvalidRules for each problem, the earlier ones stay in force.
func (p *Proxy) SetRules(r Rules) error {
	if r.Routes == nil || r.Resolver == nil {
		return fmt.Errorf("%w: no routes or no identities", ErrInvalidRules)
	}
	var problems []error
	for rule := range r.Routes.Rules() {
		problems = append(problems, p.checkRoute(rule)...)
	}
	for _, plan := range r.Resolver.Plans() {
		if p.plans[plan] == nil {
			problems = append(problems, fmt.Errorf("%w: identities have unknown plan %q", ErrInvalidRules, plan))
		}
	}
	if len(problems) > 0 {
		return errors.Join(problems...)
	}
	p.rules.Store(&compiledRules{
		Rules: r,
		headers: http1proxy.HeaderForwarder{
			ForwardedStyle: p.config.ForwardedStyle,
			ViaName:        p.config.Via,
			MaxViaEntries:  maxViaEntries,
			Remove:         r.RemoveHeaders,
			TrustedOnly:    r.Resolver.AssertedHeaders(),
		},
	})
	return nil
}

// checkRoute returns an ErrInvalidRules for each name in a route that the Gateway does not have.
func (p *Proxy) checkRoute(rule *routes.Rule[*Route]) (problems []error) {
	target := rule.Target
	if target.RejectStatus != 0 {
		return nil
	}
	for _, class := range []string{target.Class.Idempotent, target.Class.IdempotentByKey, target.Class.NonIdempotent} {
		if class != "" && p.classes[class] == nil {
			problems = append(problems, fmt.Errorf("%w: route %q has unknown class %q", ErrInvalidRules, rule.Name, class))
		}
	}
	if target.Class.forIdempotency(decision.NonIdempotent) == "" {
		problems = append(problems, fmt.Errorf("%w: route %q has no class", ErrInvalidRules, rule.Name))
	}
	if !p.gateway.SupportsProtocol(Protocol(target.Service)) {
		problems = append(problems, fmt.Errorf("%w: route %q has unknown service %q", ErrInvalidRules, rule.Name,
			target.Service))
	}
	if err := target.Statuses.Validate(); err != nil {
		problems = append(problems, fmt.Errorf("%w: route %q: %w", ErrInvalidRules, rule.Name, err))
	}
	return problems
}
