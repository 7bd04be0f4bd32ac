package httpproxy

import (
	"errors"
	"fmt"
	"time"

	"pumicecroft/decision"
	"pumicecroft/identity"
	"pumicecroft/internal/http1proxy"
	"pumicecroft/routes"
)

// Statuses classify the response statuses of a route's backends as Succeeded, Rejected (the request
// was not processed, so another backend may be tried) or Failed (the request may have run). The zero
// value selects the default classification, which docs/operate/http.md lists.
type Statuses = http1proxy.Statuses

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

// compiledRules are Rules with the header forwarder that is derived from them.
type compiledRules struct {
	Rules
	headers http1proxy.HeaderForwarder
}

// maxViaEntries is the number of occurrences of the proxy's name in Via at which a request is
// rejected as a loop.
const maxViaEntries = 8

// ErrInvalidRules means that rules are incomplete, have invalid statuses, name a class, plan or service
// that the Gateway does not have, or have a route whose class permits more retries than its Idempotency.
var ErrInvalidRules = errors.New("httpproxy: invalid rules")

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
