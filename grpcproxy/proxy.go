// Package grpcproxy is the reverse proxy for gRPC: a Gateway takes unary and server-streaming calls
// and makes its attempts at backends that speak gRPC, by the same decisions and out of the same
// quotas as its requests over HTTP. It knows no message types: any service is carried, by the names
// of its methods.
//
// WithBackends, an option of the Gateway, is how attempts are made. A Proxy answers calls: as the
// handler of unknown services or as an interceptor in a host's own grpc.Server, or by Serve in a
// server of its own. There is no translation between HTTP and gRPC: a call goes to backends that
// speak gRPC alone.
//
// The files: proxy.go has the configuration, request.go reads a call's metadata, serve.go carries
// one call, status.go has what clients are told, metadata.go converts metadata, server.go is a server
// with its limits. The package decides nothing about calls, and holds no state but grpc's.
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

// BackendConfig says how backends are reached over gRPC. A zero field takes its default.
type BackendConfig struct {
	// MaxConnsPerBackend limits the connections to one backend. As many again may be draining.
	// Default 2.
	MaxConnsPerBackend int
	// MaxStreamsPerConn limits the calls on one connection, in addition to the backend's own limit.
	// Default 100.
	MaxStreamsPerConn int
	// ConnectTimeout limits connecting. Default 250 ms.
	ConnectTimeout time.Duration
	// IdleTimeout is the time after which a backend may close an idle connection. A connection is
	// not used any more when it has been idle for 60% of it. Default 15 s.
	IdleTimeout time.Duration
	// MaxMessageBytes limits a message of a response. Default 4 MiB.
	MaxMessageBytes int
	// LoadReportFields are the names of the load figures, where backends report their load in the
	// metadata "server-load". None means that they don't.
	LoadReportFields []string
	// Log receives failed attempts at level debug. nil discards them.
	Log *slog.Logger
	// Dial opens connections. nil means a net.Dialer without keep-alive probes.
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)
}

// WithBackends lets a Gateway reach backends that speak gRPC. An attempt is sent once and never
// retried below the Gateway.
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

// Method says how calls of a method are carried.
type Method struct {
	Class     string // the request class, of the Gateway's settings
	Streaming bool   // the method is server-streaming, or bidirectional with a single request message
}

// MetadataNames are the names of the metadata by which calls describe themselves. Metadata whose
// name is empty is not read.
type MetadataNames struct {
	Customer       string // 16 hex digits, or any text: see Config.CustomerText
	Plan           string
	Cost           string // a number
	ID             string // 16 hex digits, new in each retry; it is generated for a call without one, and sent to backends
	IdempotencyKey string
	Terms          string // cost and gateways as the platform writes them: "units=2,spread=3,first=1"
}

// PlatformNames are the names of the platform's own headers.
var PlatformNames = MetadataNames{
	Customer:       "x-api-key",
	Plan:           "x-tier",
	ID:             "request-id",
	IdempotencyKey: "idempotency-key",
	Terms:          "x-call-terms",
}

// Config configures a Proxy. A zero field takes its default.
type Config struct {
	// Methods are the methods that are carried, by full names such as "/shop.Desk/Activate".
	// "/shop.Desk/*" stands for all methods of a service that are not named. It is required.
	Methods map[string]Method
	// Names are the names of metadata. Default PlatformNames, if all of them are empty.
	Names MetadataNames
	// Strict requires what the platform's clients send: an ID, a deadline, the terms if they have a
	// name, and an idempotency key only if the class is not idempotent. Otherwise an ID is
	// generated, the class's deadline holds, and a call costs 1 and may use all gateways.
	Strict bool
	// CustomerText takes any text as a customer's name. The customer's number is the beginning of
	// its SHA-256.
	CustomerText bool
	// ReadTimeout limits receiving a call's message. Default 1 s.
	ReadTimeout time.Duration
	// MaxMessageBytes limits a call's message. Default 4 MiB.
	MaxMessageBytes int
	// Log receives calls that are not accepted at level debug. nil discards them.
	Log *slog.Logger

	// MaxClientConns limits the connections of clients, for Serve. Further ones wait to be accepted.
	// Default 400.
	MaxClientConns int
	// MaxStreamsPerConn limits the open calls on one connection of a client, for Serve and
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

// Proxy carries calls through a Gateway. It is safe for concurrent use.
type Proxy struct {
	gateway     *pumicecroft.Gateway
	config      Config
	settings    decision.Settings               // the Gateway's
	idempotency map[string]decision.Idempotency // by class
	logger      *slog.Logger
}

// New returns a Proxy for a Gateway that was made with WithBackends. The error is a
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

// setDefaults sets the defaults. The error names a limit that is out of range.
func setDefaults(c *Config) error {
	if c.ReadTimeout < 0 || c.MaxMessageBytes < 0 || c.MaxClientConns < 0 || c.MaxStreamsPerConn < 0 ||
		c.MaxMessageBytes > math.MaxInt32 || c.MaxStreamsPerConn > math.MaxInt32 {
		return errors.New("a limit is negative, or over 2 GiB")
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

// Validate returns an error if a method or name is invalid, given the classes that there are.
func (c Config) Validate(classes []string) error {
	if len(c.Methods) == 0 {
		return errors.New("no methods")
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
			return fmt.Errorf("the metadata name %q is used twice", name)
		}
		seen[name] = true
	}
	return nil
}

// ValidateMethod returns an error unless name is the full name of a method, or of all methods of a
// service.
func ValidateMethod(name string) error {
	service, method, ok := strings.Cut(strings.TrimPrefix(name, "/"), "/")
	if !ok || !strings.HasPrefix(name, "/") || service == "" || method == "" ||
		strings.ContainsAny(service+method, "/ \t\r\n") || method != "*" && strings.Contains(service+method, "*") {
		return fmt.Errorf("%q is no method such as /package.Service/Method or /package.Service/*", name)
	}
	return nil
}

// ValidateMetadataName returns an error unless name is empty or may name metadata.
func ValidateMetadataName(name string) error {
	invalid := strings.ContainsFunc(name, func(r rune) bool {
		return (r < 'a' || r > 'z') && (r < '0' || r > '9') && r != '-' && r != '_' && r != '.'
	})
	if invalid || strings.HasPrefix(name, "grpc-") || strings.HasSuffix(name, "-bin") || isHopByHop(name) {
		return fmt.Errorf("%q can't name metadata here: lower-case letters, digits, - _ and ., not gRPC's own and not -bin", name)
	}
	return nil
}

// list returns all names.
func (n MetadataNames) list() []string {
	return []string{n.Customer, n.Plan, n.Cost, n.ID, n.IdempotencyKey, n.Terms}
}

// methodFor returns how calls of a method are carried; false means that they are not.
func (p *Proxy) methodFor(fullName string) (Method, bool) {
	method, ok := p.config.Methods[fullName]
	if !ok {
		method, ok = p.config.Methods[fullName[:strings.LastIndexByte(fullName, '/')+1]+"*"]
	}
	return method, ok
}
