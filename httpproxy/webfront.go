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

// Style is how backends are told where a request came from.
type Style = http1proxy.Style

// The styles.
const (
	XForwarded = http1proxy.XForwarded
	Forwarded  = http1proxy.Forwarded
	Untold     = http1proxy.Untold
)

// ServiceConfig says how a service's backends are reached. What is 0 takes the default.
type ServiceConfig struct {
	Name    string
	Conns   int           // connections to all of its backends together; 256
	Connect time.Duration // a connection that is not up by then counts as failed; 250 ms, with TLS 1 s
	Idle    time.Duration // a backend may close a connection that was idle for this long; 15 s
	Hold    int           // an answer of known length up to this is held until it is whole, so that one that is cut can be made up for; 64 KiB; below 0: none is
	TLS     *tls.Config   // nil: plain
	H2      bool          // backends speak HTTP/2, without TLS by prior knowledge
	H2Conns int           // to one backend; 2
	HostOf  func(addr string) string
	Log     *slog.Logger
	Dial    func(ctx context.Context, network, addr string) (net.Conn, error)
}

// Protocol is what a service's backends speak, as membership.Node has it: a name of the service's own.
func Protocol(service string) string { return httpproxytransport.Protocol(service) }

// WithService lets a Door reach a service's backends: those whose Protocol is that of its name.
func WithService(c ServiceConfig) pumicecroft.Option {
	return pumicecroft.WithProtocol(Protocol(c.Name), httpproxytransport.New(httpproxytransport.Config{Service: c.Name, Conns: c.Conns, Connect: c.Connect, Idle: c.Idle,
		Hold: c.Hold, TLS: c.TLS, H2: c.H2, H2Conns: c.H2Conns, HostOf: c.HostOf, Log: c.Log, Dial: c.Dial}))
}

// Classes are a Door's classes for one kind of traffic, by what a repeat may do. An empty one: such requests go by the next of Keyed, Unsafe, Safe
// that is there, in this order, so that nothing is repeated more freely than it may be.
type Classes struct{ Safe, Keyed, Unsafe string }

// of gives the class for an effect.
func (c *Classes) of(e decision.Idempotency) string {
	switch {
	case e == decision.Idempotent && c.Safe != "":
		return c.Safe
	case e != decision.NonIdempotent && c.Keyed != "":
		return c.Keyed
	case c.Unsafe != "":
		return c.Unsafe
	case c.Keyed != "":
		return c.Keyed
	}
	return c.Safe
}

// Route is what becomes of the requests that take it.
type Route struct {
	Service string
	Class   Classes
	// Effect, if it is not nil, is what repeats of its requests may do, whatever their methods.
	Effect   *decision.Idempotency
	Units    float64       // what a request costs of its customer's quota; 0: 1
	Timeout  time.Duration // at the most; 0: the class's deadline
	MaxBody  int64         // of a request, in bytes; 0: 1 MiB
	Statuses Statuses
	Refuse   int // a status by which its requests are refused; 0: they are not
}

// Rules are what a Front goes by. They may be swapped as a whole; a request goes by the ones that were there when it came.
type Rules struct {
	Routes *routes.Table[*Route]
	Who    *identity.Resolver
	// Remove are fields that never go on to backends, such as an API key's; canonical names.
	Remove []string
}

// Config is what a Front is made of. What is 0 takes the default.
type Config struct {
	Rules       Rules
	BodyTimeout time.Duration // for a request's body to come whole; 10 s
	BodyMemory  int64         // bytes of all requests' bodies that are held at once; 64 MiB. A request that finds no room is refused
	Style       Style
	Via         string // the name in Via; pumicecroft
	// TimeoutIn is a field in which clients may say how long they wait, in seconds or as "250ms"; empty: none is looked at. LeftIn is one in
	// which backends are told how long that still is, in seconds.
	TimeoutIn, LeftIn string
	// IDIn is the field of a request's id, which is made where the client brings none; X-Request-Id.
	IDIn string
	// Strict says that clients are the platform's: each request brings an id of 16 hex digits, new with each try, so that one that comes again
	// is a replay; it brings its time, and a trusted peer its units; and Retry-After may have decimals.
	Strict    bool
	KeyIn     string // the field of the idempotency key; Idempotency-Key
	MostKeyed int    // bytes of an answer to a request with a key, which is held whole; 1 MiB
	Log       *slog.Logger
}

// Front takes requests for a Door. It is safe for concurrent use.
type Front struct {
	door    *pumicecroft.Gateway
	config  Config
	set     decision.Settings
	plans   map[string]*decision.Plan
	classes map[string]*decision.Class
	rules   atomic.Pointer[compiled]
	bodies  atomic.Int64 // bytes that are held
	log     *slog.Logger
	logOf   rate.Sometimes
}

// compiled are Rules with what follows from them.
type compiled struct {
	Rules
	onward http1proxy.Onward
}

// ErrRules says that rules can't be gone by: they name what the Door does not have.
var ErrRules = errors.New("webfront: rules that don't fit")

// New makes a Front of a Door that has the options of its services. The error is an ErrRules.
func New(door *pumicecroft.Gateway, c Config) (*Front, error) {
	if c.BodyTimeout <= 0 {
		c.BodyTimeout = 10 * time.Second
	}
	if c.BodyMemory <= 0 {
		c.BodyMemory = 64 << 20
	}
	if c.MostKeyed <= 0 {
		c.MostKeyed = 1 << 20
	}
	c.Via, c.IDIn, c.KeyIn = cmp.Or(c.Via, "pumicecroft"), cmp.Or(c.IDIn, "X-Request-Id"), cmp.Or(c.KeyIn, "Idempotency-Key")
	for _, name := range []*string{&c.IDIn, &c.KeyIn, &c.TimeoutIn, &c.LeftIn} {
		*name = http1proxy.Canonical(*name)
	}
	if c.Log == nil {
		c.Log = slog.New(slog.DiscardHandler)
	}
	f := &Front{door: door, config: c, set: door.Settings(), plans: map[string]*decision.Plan{}, classes: map[string]*decision.Class{}, log: c.Log,
		logOf: rate.Sometimes{First: 10, Interval: time.Second}}
	for i := range f.set.Plans {
		f.plans[f.set.Plans[i].Name] = &f.set.Plans[i]
	}
	for i := range f.set.Classes {
		f.classes[f.set.Classes[i].Name] = &f.set.Classes[i]
	}
	if err := f.Swap(c.Rules); err != nil {
		return nil, err
	}
	return f, nil
}

// mostVia is how often a request may have come through doors of one name.
const mostVia = 8

// Swap puts other rules in force, whole, for requests that come from now on. On an error, an ErrRules, the ones before stay.
func (f *Front) Swap(r Rules) error {
	if r.Routes == nil || r.Who == nil {
		return fmt.Errorf("%w: there are no routes, or nothing says who asks", ErrRules)
	}
	var bad error
	for rule := range r.Routes.Rules() {
		to := rule.To
		if to.Refuse != 0 {
			continue
		}
		for _, class := range []string{to.Class.Safe, to.Class.Keyed, to.Class.Unsafe} {
			if class != "" && f.classes[class] == nil {
				bad = errors.Join(bad, fmt.Errorf("%w: route %q has class %q, which the door does not have", ErrRules, rule.Name, class))
			}
		}
		if to.Class.of(decision.NonIdempotent) == "" {
			bad = errors.Join(bad, fmt.Errorf("%w: route %q has no class", ErrRules, rule.Name))
		}
		if !f.door.SupportsProtocol(Protocol(to.Service)) {
			bad = errors.Join(bad, fmt.Errorf("%w: route %q has service %q, which the door does not reach", ErrRules, rule.Name, to.Service))
		}
		if err := to.Statuses.Check(); err != nil {
			bad = errors.Join(bad, fmt.Errorf("%w: route %q: %w", ErrRules, rule.Name, err))
		}
	}
	for _, plan := range r.Who.Plans() {
		if f.plans[plan] == nil {
			bad = errors.Join(bad, fmt.Errorf("%w: identities have plan %q, which the door does not have", ErrRules, plan))
		}
	}
	if bad != nil {
		return bad
	}
	f.rules.Store(&compiled{r, http1proxy.Onward{Style: f.config.Style, Via: f.config.Via, MostVia: mostVia, Remove: r.Remove, Asserted: r.Who.Asserted()}})
	return nil
}

var _ http.Handler = (*Front)(nil)
