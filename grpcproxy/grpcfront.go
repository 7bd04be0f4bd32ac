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
	Conns      int           // connections to one backend; 2. Up to as many again may be ending
	Streams    int           // calls on one connection; 100, or fewer if the backend says so
	Connect    time.Duration // a connection that is not up by then counts as failed; 250 ms
	Idle       time.Duration // a backend may close a connection that was idle for this long; 15 s
	MaxMessage int           // of an answer, in bytes; 4 MiB
	// LoadColumns are the settings' names of load figures, where backends report their load (metadata server-load).
	LoadColumns []string
	Log         *slog.Logger // nil: silence
	Dial        func(ctx context.Context, network, addr string) (net.Conn, error)
}

// WithBackends lets a Door reach backends that speak gRPC. They make each attempt once and never again by themselves.
func WithBackends(c BackendConfig) pumicecroft.Option {
	return pumicecroft.WithProtocol(membership.ProtocolGRPC, grpctransport.New(grpctransport.Config{Conns: c.Conns, Streams: c.Streams, Connect: c.Connect,
		Idle: c.Idle, MaxMessage: c.MaxMessage, LoadColumns: c.LoadColumns, Log: c.Log, Dial: c.Dial}))
}

// Method says what becomes of a method's calls.
type Method struct {
	Class     string // of the Door's settings
	Streaming bool   // it answers with a stream of messages
}

// Names are the metadata in which calls tell about themselves. A name that is empty is not looked for.
type Names struct {
	Customer string // a number as 16 hex digits, or any text: see Config.CustomerText
	Plan     string
	Units    string // a number
	ID       string // of the try, 16 hex digits; a call without one is given one, which backends see under this name
	Key      string // the idempotency key
	Terms    string // the platform's "units=2,spread=3,first=1"
}

// PlatformNames are those of the platform's headers.
var PlatformNames = Names{Customer: "x-api-key", Plan: "x-tier", ID: "request-id", Key: "idempotency-key", Terms: "x-call-terms"}

// Config is what a Front is made of.
type Config struct {
	// Methods are the methods that are carried, by their full names such as "/shop.Desk/Activate"; "/shop.Desk/*" stands
	// for all of a service that are not named.
	Methods map[string]Method
	// Names are PlatformNames if all of them are empty.
	Names Names
	// Strict wants each call to bring an id, a deadline and, where they have a name, its terms, and a key only if its class
	// is keyed or unsafe, as the platform does. Else an id is given, the class's deadline holds, and a call takes one unit
	// and may use all doors.
	Strict bool
	// CustomerText takes any text for a customer's name; the number that stands for it is part of its SHA-256.
	CustomerText bool
	// ReadTimeout is for a call's message to come whole; 1 s.
	ReadTimeout time.Duration
	// MaxMessage bounds a call's message, in bytes; 4 MiB.
	MaxMessage int
	Log        *slog.Logger // nil: silence

	// What follows is for Serve and ServerOptions.

	Conns   int // that clients may hold; further ones wait to be accepted; 400
	Streams int // open on one connection of a client; 1,000
}

const (
	defaultReadTimeout = time.Second
	defaultMaxMessage  = 4 << 20
	defaultConns       = 400
	defaultStreams     = 1000
)

// Front carries calls to a Door. It is safe for concurrent use.
type Front struct {
	door    *pumicecroft.Gateway
	config  Config
	set     decision.Settings // the Door's
	effects map[string]decision.Idempotency
	log     *slog.Logger
}

// New makes a Front for a Door that was made with WithBackends. The error is a pumicecroft.ErrConfig.
func New(door *pumicecroft.Gateway, c Config) (*Front, error) {
	bad := func(format string, args ...any) (*Front, error) {
		return nil, fmt.Errorf("%w: grpcfront: %s", pumicecroft.ErrConfig, fmt.Sprintf(format, args...))
	}
	if c.ReadTimeout < 0 || c.MaxMessage < 0 || c.Conns < 0 || c.Streams < 0 || c.MaxMessage > math.MaxInt32 || c.Streams > math.MaxInt32 {
		return bad("a bound below 0, or over 2 GiB")
	}
	c.ReadTimeout, c.MaxMessage = cmp.Or(c.ReadTimeout, defaultReadTimeout), cmp.Or(c.MaxMessage, defaultMaxMessage)
	c.Conns, c.Streams = cmp.Or(c.Conns, defaultConns), cmp.Or(c.Streams, defaultStreams)
	c.Names = cmp.Or(c.Names, PlatformNames)
	f := &Front{door: door, config: c, set: door.Settings(), effects: map[string]decision.Idempotency{}, log: c.Log}
	if f.log == nil {
		f.log = slog.New(slog.DiscardHandler)
	}
	for _, class := range f.set.Classes {
		f.effects[class.Name] = class.Idempotency
	}
	if err := c.Check(door.ClassNames()); err != nil {
		return bad("%v", err)
	}
	return f, nil
}

// Check tells what is wrong with the methods and names, for classes that there are.
func (c Config) Check(classes []string) error {
	if len(c.Methods) == 0 {
		return errors.New("no methods")
	}
	for name, m := range c.Methods {
		if err := CheckMethod(name); err != nil {
			return err
		}
		if !slices.Contains(classes, m.Class) {
			return fmt.Errorf("the method %s is of the class %q, which there is not", name, m.Class)
		}
	}
	seen := map[string]bool{}
	for _, n := range c.Names.all() {
		if err := CheckName(n); err != nil {
			return err
		}
		if n != "" && seen[n] {
			return fmt.Errorf("the metadata name %q stands for two things", n)
		}
		seen[n] = true
	}
	return nil
}

// CheckMethod tells whether a text is a method's full name, or all of a service.
func CheckMethod(name string) error {
	service, method, ok := strings.Cut(strings.TrimPrefix(name, "/"), "/")
	if !ok || !strings.HasPrefix(name, "/") || service == "" || method == "" || strings.ContainsAny(service+method, "/ \t\r\n") ||
		method != "*" && strings.Contains(service+method, "*") {
		return fmt.Errorf("%q is no method such as /package.Service/Method or /package.Service/*", name)
	}
	return nil
}

// CheckName tells whether a text may name metadata; empty it may.
func CheckName(name string) error {
	bad := strings.ContainsFunc(name, func(r rune) bool {
		return (r < 'a' || r > 'z') && (r < '0' || r > '9') && r != '-' && r != '_' && r != '.'
	})
	if bad || strings.HasPrefix(name, "grpc-") || strings.HasSuffix(name, "-bin") || hopByHop(name) {
		return fmt.Errorf("%q can't name metadata here: lower-case letters, digits, - _ and ., not gRPC's own and not -bin", name)
	}
	return nil
}

func (n Names) all() []string { return []string{n.Customer, n.Plan, n.Units, n.ID, n.Key, n.Terms} }

// method finds what becomes of a method's calls.
func (f *Front) method(full string) (Method, bool) {
	m, ok := f.config.Methods[full]
	if !ok {
		m, ok = f.config.Methods[full[:strings.LastIndexByte(full, '/')+1]+"*"]
	}
	return m, ok
}

func badCall(what, value string) error {
	return fmt.Errorf("%w: %s: %.40q", pumicecroft.ErrBadRequest, what, value)
}

// read makes a request of what a call tells about itself; ctx is the call's.
func (f *Front) read(ctx context.Context, m Method, md metadata.MD) (pumicecroft.Request, error) {
	r := pumicecroft.Request{Class: m.Class}
	var values [6]string
	for i, name := range f.config.Names.all() {
		if v := md[name]; name != "" && len(v) > 1 {
			return r, badCall(name, strings.Join(v, ", ")) // it could be read in two ways, here and behind us
		} else if name != "" && len(v) == 1 {
			values[i] = v[0]
		}
	}
	customer, plan, units, id, key, words := values[0], values[1], values[2], values[3], values[4], values[5]
	who, known := pumicecroft.IdentityFrom(ctx)
	if !known {
		var err error
		if who.Customer, err = f.customer(customer); err != nil {
			return r, badCall(f.config.Names.Customer, customer)
		}
		who.Plan = plan
	}
	r.Customer, r.Plan, r.IdempotencyKey = who.Customer, who.Plan, key
	if id != "" || f.config.Strict {
		n, err := requestmeta.Hex(id)
		if err != nil {
			return r, badCall(f.config.Names.ID, id)
		}
		r = r.WithID(n)
	}
	if f.config.Strict && key != "" && f.effects[m.Class] == decision.Idempotent {
		return r, badCall(f.config.Names.Key, key)
	}
	if units != "" {
		v, err := strconv.ParseFloat(units, 64)
		if err != nil || !(v > 0) {
			return r, badCall(f.config.Names.Units, units)
		}
		r.Cost = v
	}
	if words != "" || f.config.Strict && f.config.Names.Terms != "" {
		t, ok := requestmeta.Parse(words, &f.set)
		if !ok {
			return r, badCall(f.config.Names.Terms, words)
		}
		r.Cost, r.GatewaySpread, r.FirstGateway = t.Units, t.Spread, t.First
	}
	due, bounded := ctx.Deadline()
	if r.Timeout = time.Until(due); bounded && r.Timeout <= 0 {
		return r, badCall("grpc-timeout", "no time is left")
	} else if !bounded {
		if r.Timeout = 0; f.config.Strict {
			return r, badCall("grpc-timeout", "")
		}
	}
	return r, nil
}

// customer reads who asks.
func (f *Front) customer(text string) (uint64, error) {
	if !f.config.CustomerText {
		return requestmeta.Customer(text)
	}
	if text == "" {
		return 0, strconv.ErrSyntax
	}
	sum := sha256.Sum256([]byte(text))
	return binary.BigEndian.Uint64(sum[:8]), nil
}
