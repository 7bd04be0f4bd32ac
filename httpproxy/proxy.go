// Package httpproxy is a reverse proxy for ordinary HTTP. A Proxy is an http.Handler for HTTP/1.1
// and HTTP/2 in any server. It forwards each request to the backends of a service through a Gateway,
// which selects the backend, retries failed attempts and rejects requests over a limit.
//
// A route determines the service and the cost of a request, an identity.Resolver determines its
// customer, and its method or its route determines whether a retry is safe. Hop-by-hop header fields
// and those that clients are not allowed to set are removed; Via and the Forwarded or X-Forwarded-*
// fields are added. The path, all other header fields, the body and the response are forwarded
// unchanged, and so are the trailer fields that may be forwarded.
//
// The files: proxy.go has the configuration, rules.go the routes and identity rules, which can be
// replaced, resolve.go finds the route, customer and class of a request, request.go creates the request
// to the backend, body.go reads the client's body, serve.go is the HTTP handler, response.go writes
// responses of backends and problem.go writes those of the proxy itself. The package keeps no state about
// backends or customers; the Gateway does.
package httpproxy

import (
	"cmp"
	"context"
	"crypto/tls"
	"log/slog"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"pumicecroft"
	"pumicecroft/decision"
	"pumicecroft/internal/http1proxy"
	"pumicecroft/internal/httpproxytransport"
)

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
