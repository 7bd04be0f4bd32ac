// Package grpcproxy is the front door for gRPC: a pumicecroft.Door takes unary and server-streaming calls and makes its
// attempts at backends that speak gRPC, by the same decisions, under the same rules and out of the same quotas as its
// requests over HTTP/1.1. It knows no messages: any service is carried, by its methods' names.
//
// WithBackends, an option of the Door's, is how attempts are made. A Front answers calls: as the handler of unknown
// services or as an interceptor in a host's own grpc.Server, next to the host's services, or by Serve in one of its own.
// Crossing HTTP and gRPC is out: a call goes only to backends that speak gRPC.
//
// front.go is one call, final.go what clients are told, server.go a server and its bounds. The package decides nothing
// about calls. Its state is grpc's and the Door's.
package grpcproxy

import (
	"cmp"
	"context"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"fmt"
	"log/slog"
	"math"
	"net"
	"slices"
	"strconv"
	"strings"
	"time"

	"google.golang.org/grpc/metadata"

	"pumicecroft"
	"pumicecroft/decision"
	"pumicecroft/internal/grpctransport"
	"pumicecroft/internal/requestmeta"
	"pumicecroft/membership"
)

// BackendConfig says how backends are reached over gRPC. What is 0 takes the default that is given.
type BackendConfig struct {
	MaxConnsPerBackend int           // connections to one backend; 2. Up to as many again may be ending
	MaxStreamsPerConn  int           // calls on one connection; 100, or fewer if the backend says so
	ConnectTimeout     time.Duration // a connection that is not up by then counts as failed; 250 ms
	IdleTimeout        time.Duration // a backend may close a connection that was idle for this long; 15 s
	MaxMessageBytes    int           // of an answer, in bytes; 4 MiB
	// LoadReportFields are the settings' names of load figures, where backends report their load (metadata server-load).
	LoadReportFields []string
	Log              *slog.Logger // nil: silence
	Dial             func(ctx context.Context, network, addr string) (net.Conn, error)
}

// WithBackends lets a Door reach backends that speak gRPC. They make each attempt once and never again by themselves.
func WithBackends(c BackendConfig) pumicecroft.Option {
	return pumicecroft.WithProtocol(membership.ProtocolGRPC, grpctransport.New(grpctransport.Config{MaxConnsPerBackend: c.MaxConnsPerBackend, MaxStreamsPerConn: c.MaxStreamsPerConn, ConnectTimeout: c.ConnectTimeout,
		IdleTimeout: c.IdleTimeout, MaxMessageBytes: c.MaxMessageBytes, LoadReportFields: c.LoadReportFields, Log: c.Log, Dial: c.Dial}))
}

// Method says what becomes of a method's calls.
type Method struct {
	Class     string // of the Door's settings
	Streaming bool   // it answers with a stream of messages
}

// MetadataNames are the metadata in which calls tell about themselves. A name that is empty is not looked for.
type MetadataNames struct {
	Customer       string // a number as 16 hex digits, or any text: see Config.CustomerText
	Plan           string
	Cost           string // a number
	ID             string // of the try, 16 hex digits; a call without one is given one, which backends see under this name
	IdempotencyKey string // the idempotency key
	Terms          string // the platform's "units=2,spread=3,first=1"
}

// PlatformNames are those of the platform's headers.
var PlatformNames = MetadataNames{Customer: "x-api-key", Plan: "x-tier", ID: "request-id", IdempotencyKey: "idempotency-key", Terms: "x-call-terms"}

// Config is what a Front is made of.
type Config struct {
	// Methods are the methods that are carried, by their full names such as "/shop.Desk/Activate"; "/shop.Desk/*" stands
	// for all of a service that are not named.
	Methods map[string]Method
	// Names are PlatformNames if all of them are empty.
	Names MetadataNames
	// Strict wants each call to bring an id, a deadline and, where they have a name, its terms, and a key only if its class
	// is keyed or unsafe, as the platform does. Else an id is given, the class's deadline holds, and a call takes one unit
	// and may use all doors.
	Strict bool
	// CustomerText takes any text for a customer's name; the number that stands for it is part of its SHA-256.
	CustomerText bool
	// ReadTimeout is for a call's message to come whole; 1 s.
	ReadTimeout time.Duration
	// MaxMessageBytes bounds a call's message, in bytes; 4 MiB.
	MaxMessageBytes int
	Log             *slog.Logger // nil: silence

	// What follows is for Serve and ServerOptions.

	MaxClientConns    int // that clients may hold; further ones wait to be accepted; 400
	MaxStreamsPerConn int // open on one connection of a client; 1,000
}

const (
	defaultReadTimeout       = time.Second
	defaultMaxMessageBytes   = 4 << 20
	defaultMaxClientConns    = 400
	defaultMaxStreamsPerConn = 1000
)

// Proxy carries calls to a Door. It is safe for concurrent use.
type Proxy struct {
	gateway     *pumicecroft.Gateway
	config      Config
	settings    decision.Settings // the Door's
	idempotency map[string]decision.Idempotency
	logger      *slog.Logger
}

// New makes a Front for a Door that was made with WithBackends. The error is a pumicecroft.ErrConfig.
func New(door *pumicecroft.Gateway, c Config) (*Proxy, error) {
	bad := func(format string, args ...any) (*Proxy, error) {
		return nil, fmt.Errorf("%w: grpcfront: %s", pumicecroft.ErrConfig, fmt.Sprintf(format, args...))
	}
	if c.ReadTimeout < 0 || c.MaxMessageBytes < 0 || c.MaxClientConns < 0 || c.MaxStreamsPerConn < 0 || c.MaxMessageBytes > math.MaxInt32 || c.MaxStreamsPerConn > math.MaxInt32 {
		return bad("a bound below 0, or over 2 GiB")
	}
	c.ReadTimeout, c.MaxMessageBytes = cmp.Or(c.ReadTimeout, defaultReadTimeout), cmp.Or(c.MaxMessageBytes, defaultMaxMessageBytes)
	c.MaxClientConns, c.MaxStreamsPerConn = cmp.Or(c.MaxClientConns, defaultMaxClientConns), cmp.Or(c.MaxStreamsPerConn, defaultMaxStreamsPerConn)
	c.Names = cmp.Or(c.Names, PlatformNames)
	f := &Proxy{gateway: door, config: c, settings: door.Settings(), idempotency: map[string]decision.Idempotency{}, logger: c.Log}
	if f.logger == nil {
		f.logger = slog.New(slog.DiscardHandler)
	}
	for _, class := range f.settings.Classes {
		f.idempotency[class.Name] = class.Idempotency
	}
	if err := c.Validate(door.ClassNames()); err != nil {
		return bad("%v", err)
	}
	return f, nil
}

// Validate tells what is wrong with the methods and names, for classes that there are.
func (c Config) Validate(classes []string) error {
	if len(c.Methods) == 0 {
		return errors.New("no methods")
	}
	for name, m := range c.Methods {
		if err := ValidateMethod(name); err != nil {
			return err
		}
		if !slices.Contains(classes, m.Class) {
			return fmt.Errorf("the method %s is of the class %q, which there is not", name, m.Class)
		}
	}
	seen := map[string]bool{}
	for _, n := range c.Names.list() {
		if err := ValidateMetadataName(n); err != nil {
			return err
		}
		if n != "" && seen[n] {
			return fmt.Errorf("the metadata name %q stands for two things", n)
		}
		seen[n] = true
	}
	return nil
}

// ValidateMethod tells whether a text is a method's full name, or all of a service.
func ValidateMethod(name string) error {
	service, method, ok := strings.Cut(strings.TrimPrefix(name, "/"), "/")
	if !ok || !strings.HasPrefix(name, "/") || service == "" || method == "" || strings.ContainsAny(service+method, "/ \t\r\n") ||
		method != "*" && strings.Contains(service+method, "*") {
		return fmt.Errorf("%q is no method such as /package.Service/Method or /package.Service/*", name)
	}
	return nil
}

// ValidateMetadataName tells whether a text may name metadata; empty it may.
func ValidateMetadataName(name string) error {
	bad := strings.ContainsFunc(name, func(r rune) bool {
		return (r < 'a' || r > 'z') && (r < '0' || r > '9') && r != '-' && r != '_' && r != '.'
	})
	if bad || strings.HasPrefix(name, "grpc-") || strings.HasSuffix(name, "-bin") || hopByHop(name) {
		return fmt.Errorf("%q can't name metadata here: lower-case letters, digits, - _ and ., not gRPC's own and not -bin", name)
	}
	return nil
}

func (n MetadataNames) list() []string {
	return []string{n.Customer, n.Plan, n.Cost, n.ID, n.IdempotencyKey, n.Terms}
}

// methodFor finds what becomes of a method's calls.
func (f *Proxy) methodFor(full string) (Method, bool) {
	m, ok := f.config.Methods[full]
	if !ok {
		m, ok = f.config.Methods[full[:strings.LastIndexByte(full, '/')+1]+"*"]
	}
	return m, ok
}

func invalidCall(what, value string) error {
	return fmt.Errorf("%w: %s: %.40q", pumicecroft.ErrBadRequest, what, value)
}

// newRequest makes a request of what a call tells about itself; ctx is the call's.
func (f *Proxy) newRequest(ctx context.Context, m Method, md metadata.MD) (pumicecroft.Request, error) {
	r := pumicecroft.Request{Class: m.Class}
	var values [6]string
	for i, name := range f.config.Names.list() {
		if v := md[name]; name != "" && len(v) > 1 {
			return r, invalidCall(name, strings.Join(v, ", ")) // it could be read in two ways, here and behind us
		} else if name != "" && len(v) == 1 {
			values[i] = v[0]
		}
	}
	customer, plan, units, id, key, words := values[0], values[1], values[2], values[3], values[4], values[5]
	who, known := pumicecroft.IdentityFrom(ctx)
	if !known {
		var err error
		if who.Customer, err = f.customerID(customer); err != nil {
			return r, invalidCall(f.config.Names.Customer, customer)
		}
		who.Plan = plan
	}
	r.Customer, r.Plan, r.IdempotencyKey = who.Customer, who.Plan, key
	if id != "" || f.config.Strict {
		n, err := requestmeta.Hex(id)
		if err != nil {
			return r, invalidCall(f.config.Names.ID, id)
		}
		r = r.WithID(n)
	}
	if f.config.Strict && key != "" && f.idempotency[m.Class] == decision.Idempotent {
		return r, invalidCall(f.config.Names.IdempotencyKey, key)
	}
	if units != "" {
		v, err := strconv.ParseFloat(units, 64)
		if err != nil || !(v > 0) {
			return r, invalidCall(f.config.Names.Cost, units)
		}
		r.Cost = v
	}
	if words != "" || f.config.Strict && f.config.Names.Terms != "" {
		t, ok := requestmeta.Parse(words, &f.settings)
		if !ok {
			return r, invalidCall(f.config.Names.Terms, words)
		}
		r.Cost, r.GatewaySpread, r.FirstGateway = t.Units, t.Spread, t.First
	}
	due, bounded := ctx.Deadline()
	if r.Timeout = time.Until(due); bounded && r.Timeout <= 0 {
		return r, invalidCall("grpc-timeout", "no time is left")
	} else if !bounded {
		if r.Timeout = 0; f.config.Strict {
			return r, invalidCall("grpc-timeout", "")
		}
	}
	return r, nil
}

// customerID reads who asks.
func (f *Proxy) customerID(text string) (uint64, error) {
	if !f.config.CustomerText {
		return requestmeta.Customer(text)
	}
	if text == "" {
		return 0, strconv.ErrSyntax
	}
	sum := sha256.Sum256([]byte(text))
	return binary.BigEndian.Uint64(sum[:8]), nil
}
