// Package httpproxy is a reverse proxy for ordinary HTTP. A Proxy is an http.Handler for HTTP/1.1
// and HTTP/2 in any server. It forwards each request to the backends of a service through a Gateway,
// which selects the backend, retries failed attempts and rejects requests over a limit.
//
// A route determines the service and the cost of a request, an identity.Resolver determines its
// customer, and its method determines whether a retry is safe. Hop-by-hop header fields and those that
// clients are not allowed to set are removed; Via and the Forwarded or X-Forwarded-* fields are added.
// The path, all other header fields, the body and the response are forwarded unchanged, and so are the
// trailer fields that may be forwarded.
//
// The files: proxy.go has the configuration, resolve.go finds the route, customer and class of a
// request, request.go creates the request to the backend, body.go reads the client's body, serve.go
// is the HTTP handler, response.go writes responses of backends and problem.go writes those of the
// proxy itself. The package keeps no state about backends or customers; the Gateway does.
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

// Statuses classify the response statuses of a route's backends as Succeeded, Rejected (the request
// was not processed, so another backend may be tried) or Failed (the request may have run). The zero
// value selects the default classification, which docs/operate/http.md lists.
type Statuses = http1proxy.Statuses

// ForwardedStyle selects the header fields that tell backends where a request came from.
type ForwardedStyle = http1proxy.ForwardedStyle

// Values of ForwardedStyle. The default is XForwarded.
const (
	XForwarded    = http1proxy.XForwarded    // X-Forwarded-For, X-Forwarded-Proto and X-Forwarded-Host
	Forwarded     = http1proxy.Forwarded     // Forwarded (RFC 7239)
	ForwardedNone = http1proxy.ForwardedNone // none; those that the client sent are removed too
)

// ServiceConfig configures the connections to the backends of one service. A zero field takes its
// default.
type ServiceConfig struct {
	// Name is the service's name in routes and discovery. It is required.
	Name string
	// MaxConns limits the connections to all backends of the service together. Default 256.
	MaxConns int
	// ConnectTimeout limits the time to connect, including the TLS handshake. Default 250 ms, or 1 s
	// with TLS.
	ConnectTimeout time.Duration
	// IdleTimeout is the time after which a backend may close an idle connection. The proxy stops
	// using a connection that has been idle for 60% of it. Default 15 s.
	IdleTimeout time.Duration
	// ResponseBufferBytes is the largest response of known length that is read completely before
	// any of it is forwarded, so that the request can be retried if the response is truncated.
	// Default 64 KiB; negative means that no response is buffered.
	ResponseBufferBytes int
	// TLS configures connections to backends. nil means plain text.
	TLS *tls.Config
	// HTTP2 selects HTTP/2 for connections to backends: by ALPN with TLS, by prior knowledge without.
	HTTP2 bool
	// MaxHTTP2Conns limits the HTTP/2 connections to one backend. Default 2.
	MaxHTTP2Conns int
	// RewriteHost returns the Host header for a backend's address. nil forwards the client's Host.
	RewriteHost func(addr string) string
	// Log receives failed connections and attempts at debug level. nil discards them.
	Log *slog.Logger
	// Dial opens connections. nil means a net.Dialer without keep-alive probes.
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)
}

// Protocol returns the value of membership.Node.Protocol for the backends of a service. Each service has a
// protocol of its own, so that the Gateway sends its requests to its own backends only.
func Protocol(service string) string { return httpproxytransport.Protocol(service) }

// WithService enables a Gateway to forward to the backends of a service, which are the nodes whose
// Protocol is Protocol(c.Name).
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

// Classes are the names of the request classes of a route, by idempotency. If the class for a request
// is empty, the request takes the next class that is not empty in the order Idempotent,
// IdempotentByKey, NonIdempotent: a later one permits fewer retries, so that a request is not retried
// more freely than its idempotency allows. If no later class is set, it takes the nearest earlier one,
// which SetRules permits only if the idempotency is that of the request's method.
type Classes struct{ Idempotent, IdempotentByKey, NonIdempotent string }

// forIdempotency returns the class for requests of the given idempotency. It is empty only if all
// classes are empty.
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

// Route configures how the requests that match it are forwarded or rejected.
type Route struct {
	// Service is the name of the service that the requests are forwarded to.
	Service string
	// Class has the names of the requests' classes.
	Class Classes
	// Idempotency overrides the idempotency of the request's method. nil means no override. If it is
	// stricter than that of the class that a request would take, the rules are invalid.
	Idempotency *decision.Idempotency
	// Cost is the amount that a request takes from its customer's quota. 0 means 1.
	Cost float64
	// Timeout limits a request, in addition to its class's deadline. 0 means the deadline alone.
	Timeout time.Duration
	// MaxBodyBytes limits a request's body. 0 means 1 MiB.
	MaxBodyBytes int64
	// Statuses classify the response statuses of the service's backends.
	Statuses Statuses
	// RejectStatus is the response status for requests if the route rejects them. 0 means that they
	// are forwarded.
	RejectStatus int
}

// Rules are the routes and identity rules of a Proxy. SetRules replaces them as a whole; a request
// keeps the rules that were in effect when it arrived.
type Rules struct {
	Routes   *routes.Table[*Route]
	Resolver *identity.Resolver
	// RemoveHeaders are the canonical names of header fields that are never forwarded, such as the
	// field of an API key.
	RemoveHeaders []string
}

// Config configures a Proxy. A zero field takes its default.
type Config struct {
	// Rules are the initial rules. They are required.
	Rules Rules
	// BodyReadTimeout limits the time to read a request's body. Default 10 s.
	BodyReadTimeout time.Duration
	// MaxBodyMemory limits the memory for the bodies of all open requests together, in bytes.
	// A request that exceeds it is rejected. Default 64 MiB.
	MaxBodyMemory int64
	// ForwardedStyle selects the fields that tell backends where a request came from. Default
	// XForwarded.
	ForwardedStyle ForwardedStyle
	// Via is the proxy's name in the Via field. Default "pumicecroft".
	Via string
	// TimeoutHeader is the name of the field in which clients may send their timeout, in seconds or
	// with a unit such as "250ms". Empty means that no field is read.
	TimeoutHeader string
	// RemainingTimeoutHeader is the name of the field in which backends receive the seconds that are
	// left of the client's timeout. Empty means that none is sent.
	RemainingTimeoutHeader string
	// RequestIDHeader is the name of the request ID's field. An ID is generated if the client sends
	// none. Default "X-Request-Id".
	RequestIDHeader string
	// Strict enforces the conventions of the platform's clients: each request has a timeout and an ID
	// of 16 hex digits, and a trusted peer also declares the cost. Clients retry with a new ID, so a
	// request with a repeated ID is a replay. Retry-After has decimals in this mode.
	Strict bool
	// IdempotencyKeyHeader is the name of the idempotency key's field. Default "Idempotency-Key".
	IdempotencyKeyHeader string
	// MaxIdempotentResponseBytes limits the response to a request with an idempotency key, which is
	// read completely before it is forwarded. Default 1 MiB.
	MaxIdempotentResponseBytes int
	// Log receives a message for each malformed or unauthenticated request. nil discards them.
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

// maxViaEntries is the number of occurrences of the proxy's name in Via at which a request is
// rejected as a loop.
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
	rejectLogLimit rate.Sometimes // limits the log messages about rejected requests
}

var _ http.Handler = (*Proxy)(nil)

// compiledRules are Rules with the header forwarder that is derived from them.
type compiledRules struct {
	Rules
	headers http1proxy.HeaderForwarder
}

// ErrInvalidRules means that rules are incomplete, have invalid statuses, name a class, plan or service
// that the Gateway does not have, or have a route whose class permits more retries than its Idempotency.
var ErrInvalidRules = errors.New("httpproxy: invalid rules")

// New returns a Proxy for a Gateway that was created with WithService for each service in c.Rules.
// The error wraps ErrInvalidRules.
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

// SetRules replaces the rules for requests that arrive from now on. If the rules are invalid, the
// earlier ones stay in effect, and the error joins one error for each problem; each wraps
// ErrInvalidRules.
func (p *Proxy) SetRules(r Rules) error {
	if r.Routes == nil || r.Resolver == nil {
		return fmt.Errorf("%w: Routes and Resolver are required", ErrInvalidRules)
	}
	var problems []error
	for rule := range r.Routes.Rules() {
		problems = append(problems, p.checkRoute(rule)...)
	}
	for _, plan := range r.Resolver.Plans() {
		if p.plans[plan] == nil {
			problems = append(problems, fmt.Errorf("%w: identity rules have unknown plan %q", ErrInvalidRules, plan))
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

// checkRoute returns an error that wraps ErrInvalidRules for each invalid part of a route.
func (p *Proxy) checkRoute(rule *routes.Rule[*Route]) (problems []error) {
	target := rule.Target
	if target.RejectStatus != 0 {
		return nil
	}
	for _, class := range []string{target.Class.Idempotent, target.Class.IdempotentByKey, target.Class.NonIdempotent} {
		if class != "" && p.classes[class] == nil {
			problems = append(problems,
				fmt.Errorf("%w: route %q has unknown class %q", ErrInvalidRules, rule.Name, class))
		}
	}
	if target.Class.forIdempotency(decision.NonIdempotent) == "" {
		problems = append(problems, fmt.Errorf("%w: route %q has no class", ErrInvalidRules, rule.Name))
	}
	if err := p.checkIdempotency(rule); err != nil {
		problems = append(problems, err)
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

// checkIdempotency returns an error that wraps ErrInvalidRules if a request of a route could take a class
// that permits more retries than Route.Idempotency. Requests without an idempotency key take the class
// NonIdempotent, if it is set.
func (p *Proxy) checkIdempotency(rule *routes.Rule[*Route]) error {
	target := rule.Target
	if target.Idempotency == nil {
		return nil
	}
	for _, name := range []string{target.Class.forIdempotency(*target.Idempotency), target.Class.NonIdempotent} {
		class := p.classes[name]
		if class != nil && class.Idempotency < *target.Idempotency {
			return fmt.Errorf("%w: route %q: class %q permits more retries than the route's idempotency",
				ErrInvalidRules, rule.Name, name)
		}
	}
	return nil
}
