// Package grpcproxy is a reverse proxy for unary and server-streaming gRPC calls. It passes calls
// through a Gateway, which sends their attempts to backends that speak gRPC, with the same decisions
// and the same quotas as for requests over HTTP. The proxy does not decode messages, so it can forward
// the calls of any service; it is configured with the names of the methods.
//
// WithBackends is the option that lets a Gateway send attempts to gRPC backends. A Proxy serves the
// calls of clients: as the handler for unknown services or as an interceptor in the embedding program's
// own grpc.Server, or by Serve in a server of its own. The proxy does not translate between HTTP and
// gRPC: gRPC calls go to gRPC backends only.
//
// The package makes no decisions about calls, and keeps no state between them. Its files:
//
//   - proxy.go: the configuration
//   - request.go: reading a call's metadata
//   - serve.go: the handling of one call
//   - message.go: receiving and sending messages
//   - status.go: the statuses that clients receive
//   - metadata.go: the conversion of metadata
//   - server.go: the codec, which passes messages through as bytes, and a server with its limits
package grpcproxy

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math"
	"net"
	"slices"
	"strings"
	"time"

	"pumicecroft"
	"pumicecroft/decision"
	"pumicecroft/internal/grpctransport"
	"pumicecroft/membership"
)

// BackendConfig configures the connections to backends. A zero field takes its default.
type BackendConfig struct {
	// MaxConnsPerBackend limits the connections to one backend. Connections that are draining do not
	// count, but the total including them is at most twice this limit. Default 2.
	MaxConnsPerBackend int
	// MaxStreamsPerConn limits the concurrent calls on one connection, in addition to the backend's
	// own limit. Default 100.
	MaxStreamsPerConn int
	// ConnectTimeout limits the time to open a connection. Default 250 ms.
	ConnectTimeout time.Duration
	// IdleTimeout is the time after which a backend may close an idle connection. A connection that
	// has been idle for 60% of it is not used any more. Default 15 s.
	IdleTimeout time.Duration
	// MaxMessageBytes limits each message of a response. Default 4 MiB.
	MaxMessageBytes int
	// LoadReportFields are the names of the fields in the load reports that backends send in the
	// metadata "server-load". Empty means that backends do not report their load.
	LoadReportFields []string
	// Log receives failed attempts at debug level. nil discards them.
	Log *slog.Logger
	// Dial opens connections. nil means a net.Dialer without keep-alive probes.
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)
}

// WithBackends lets a Gateway send attempts to backends that speak gRPC. Each attempt is sent once;
// only the Gateway retries.
func WithBackends(c BackendConfig) pumicecroft.Option {
	transport := grpctransport.New(grpctransport.Config{
		MaxConnsPerBackend: c.MaxConnsPerBackend,
		MaxStreamsPerConn:  c.MaxStreamsPerConn,
		ConnectTimeout:     c.ConnectTimeout,
		IdleTimeout:        c.IdleTimeout,
		MaxMessageBytes:    c.MaxMessageBytes,
		LoadReportFields:   c.LoadReportFields,
		Log:                c.Log,
		Dial:               c.Dial,
	})
	return pumicecroft.WithProtocol(membership.ProtocolGRPC, transport)
}

// Method configures how calls of a method are handled.
type Method struct {
	Class     string // the request class, one of those in the Gateway's settings
	Streaming bool   // the method is server-streaming, or bidirectional with a single request message
}

// MetadataNames are the names of the metadata from which the proxy reads the properties of a call. The
// comments give the format of the values. Metadata with an empty name is not read.
type MetadataNames struct {
	Customer       string // the customer's ID: 16 hex digits, or any text if Config.CustomerText is set
	Plan           string // name of a plan
	Cost           string // a positive number
	ID             string // 16 hex digits; the client sends a new one with each retry. Generated if missing
	IdempotencyKey string // any text
	Terms          string // cost, and the gateways that the customer uses, as in "units=2,spread=3,first=1"
}

// PlatformNames are the metadata names that the platform's clients use.
var PlatformNames = MetadataNames{
	Customer:       "x-api-key",
	Plan:           "x-tier",
	ID:             "request-id",
	IdempotencyKey: "idempotency-key",
	Terms:          "x-call-terms",
}

// Config configures a Proxy. A zero field takes its default.
type Config struct {
	// Methods maps the full names of the proxied methods, such as "/shop.Desk/Activate", to their
	// configuration. "/shop.Desk/*" matches all methods of a service that have no entry of their own.
	// It must not be empty.
	Methods map[string]Method
	// Names are the metadata names to read. If all are empty, PlatformNames is used.
	Names MetadataNames
	// Strict requires calls to have what the platform's clients send: an ID, a deadline, the terms if
	// Names.Terms is set, and no idempotency key if the class is idempotent. If Strict is not set, an
	// ID is generated for a call without one, the class's deadline replaces a missing one, and for a
	// call without cost or terms the cost is 1 and the customer may use all gateways.
	Strict bool
	// CustomerText accepts any text as a customer. The customer's ID is then the first 8 bytes of the
	// text's SHA-256.
	CustomerText bool
	// ReadTimeout limits the time to receive the request message of a call. Default 1 s.
	ReadTimeout time.Duration
	// MaxMessageBytes limits the request message of a call. Default 4 MiB.
	MaxMessageBytes int
	// Log receives invalid calls at debug level. nil discards them.
	Log *slog.Logger

	// MaxClientConns limits the client connections of Serve. A further connection takes the place of the one that has had
	// no open call for longest, or waits until one has none.
	// Default 400.
	MaxClientConns int
	// MaxStreamsPerConn limits the concurrent calls on one client connection, for Serve and
	// ServerOptions. Default 1000.
	MaxStreamsPerConn int
}

// Defaults of Config.
const (
	defaultReadTimeout       = time.Second
	defaultMaxMessageBytes   = 4 << 20
	defaultMaxClientConns    = 400
	defaultMaxStreamsPerConn = 1000
)

// Proxy passes gRPC calls through a Gateway. It is safe for concurrent use.
type Proxy struct {
	gateway     *pumicecroft.Gateway
	config      Config
	settings    decision.Settings               // settings of the Gateway
	idempotency map[string]decision.Idempotency // idempotency of each class, by its name
	logger      *slog.Logger
}

// New returns a Proxy for a Gateway that was created with the option WithBackends. The error wraps
// pumicecroft.ErrConfig.
func New(gateway *pumicecroft.Gateway, c Config) (*Proxy, error) {
	if err := setDefaults(&c); err != nil {
		return nil, configError(err)
	}
	if err := c.Validate(gateway.ClassNames()); err != nil {
		return nil, configError(err)
	}
	p := &Proxy{
		gateway:     gateway,
		config:      c,
		settings:    gateway.Settings(),
		idempotency: map[string]decision.Idempotency{},
		logger:      c.Log,
	}
	for _, class := range p.settings.Classes {
		p.idempotency[class.Name] = class.Idempotency
	}
	return p, nil
}

func configError(err error) error {
	return fmt.Errorf("%w: grpcproxy: %w", pumicecroft.ErrConfig, err)
}

// setDefaults replaces zero fields by their defaults. It returns an error if a limit is out of range.
func setDefaults(c *Config) error {
	if c.ReadTimeout < 0 || c.MaxMessageBytes < 0 || c.MaxClientConns < 0 || c.MaxStreamsPerConn < 0 ||
		c.MaxMessageBytes > math.MaxInt32 || c.MaxStreamsPerConn > math.MaxInt32 {
		return errors.New("a timeout or limit is negative, or a limit exceeds 2147483647")
	}
	c.ReadTimeout = cmp.Or(c.ReadTimeout, defaultReadTimeout)
	c.MaxMessageBytes = cmp.Or(c.MaxMessageBytes, defaultMaxMessageBytes)
	c.MaxClientConns = cmp.Or(c.MaxClientConns, defaultMaxClientConns)
	c.MaxStreamsPerConn = cmp.Or(c.MaxStreamsPerConn, defaultMaxStreamsPerConn)
	c.Names = cmp.Or(c.Names, PlatformNames)
	if c.Log == nil {
		c.Log = slog.New(slog.DiscardHandler)
	}
	return nil
}

// Validate returns an error if a method or metadata name is invalid. classes are the names of the
// classes that methods may have.
func (c Config) Validate(classes []string) error {
	if len(c.Methods) == 0 {
		return errors.New("no methods are configured")
	}
	for name, method := range c.Methods {
		if err := ValidateMethod(name); err != nil {
			return err
		}
		if !slices.Contains(classes, method.Class) {
			return fmt.Errorf("method %s has unknown class %q", name, method.Class)
		}
	}
	seen := map[string]bool{}
	for _, name := range c.Names.list() {
		if err := ValidateMetadataName(name); err != nil {
			return err
		}
		if name != "" && seen[name] {
			return fmt.Errorf("metadata name %q is used twice", name)
		}
		seen[name] = true
	}
	return nil
}

// ValidateMethod returns an error unless name is the full name of a method, or matches all methods of a
// service.
func ValidateMethod(name string) error {
	service, method, ok := strings.Cut(strings.TrimPrefix(name, "/"), "/")
	if !ok || !strings.HasPrefix(name, "/") || service == "" || method == "" ||
		strings.ContainsAny(service+method, "/ \t\r\n") || method != "*" && strings.Contains(service+method, "*") {
		return fmt.Errorf("%q is not of the form /package.Service/Method or /package.Service/*", name)
	}
	return nil
}

// ValidateMetadataName returns an error unless name is empty or a valid entry of MetadataNames.
func ValidateMetadataName(name string) error {
	invalid := strings.ContainsFunc(name, func(r rune) bool {
		return (r < 'a' || r > 'z') && (r < '0' || r > '9') && r != '-' && r != '_' && r != '.'
	})
	if invalid || strings.HasPrefix(name, "grpc-") || strings.HasSuffix(name, "-bin") || isHopByHop(name) {
		return fmt.Errorf("invalid metadata name %q: use a-z, 0-9, -, _ and ., no reserved name and no suffix -bin",
			name)
	}
	return nil
}

// list returns all names.
func (n MetadataNames) list() []string {
	return []string{n.Customer, n.Plan, n.Cost, n.ID, n.IdempotencyKey, n.Terms}
}

// methodFor returns the configuration of a method, and whether calls of it are proxied.
func (p *Proxy) methodFor(fullName string) (Method, bool) {
	method, ok := p.config.Methods[fullName]
	if !ok {
		method, ok = p.config.Methods[fullName[:strings.LastIndexByte(fullName, '/')+1]+"*"]
	}
	return method, ok
}
