package httpproxy

import (
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"net/url"
	"strings"
	"time"

	"golang.org/x/net/http/httpguts"

	"pumicecroft"
	"pumicecroft/decision"
	"pumicecroft/identity"
	"pumicecroft/internal/http1proxy"
	"pumicecroft/internal/reqtarget"
	"pumicecroft/routes"
)

// ResolvedRequest has the route, caller and class of a request, or the reason why it is rejected
// before it reaches the Gateway.
type ResolvedRequest struct {
	Rule        *routes.Rule[*Route] // nil: no route matches
	Params      []routes.Param
	Caller      identity.Caller
	Idempotency decision.Idempotency
	Class       string
	Target      string // path and query as received
	Err         error  // why the request is rejected; nil: it is passed to the Gateway
}

// Reasons for rejecting a request, in addition to the errors of the packages routes and identity.
// Clients receive their texts as the detail of a Problem.
var (
	errRouteRejects       = errors.New("the route rejects its requests")
	errUpgradeUnsupported = errors.New("connection upgrades are not supported")
	errMalformedRequest   = errors.New("malformed or ambiguous request")
)

// Resolve returns how the Proxy would treat a request that arrives at now. It contacts no backend and
// does not read the body.
func (p *Proxy) Resolve(r *http.Request, now time.Time) ResolvedRequest {
	resolved, _ := p.resolve(p.rules.Load(), r, now)
	return resolved
}

// resolve is Resolve with the given rules. The origin is only valid if ResolvedRequest.Err is nil.
func (p *Proxy) resolve(rules *compiledRules, r *http.Request, now time.Time) (ResolvedRequest, http1proxy.Origin) {
	resolved := ResolvedRequest{Target: reqtarget.Of(r)}
	if resolved.Err = resolved.matchRoute(rules, r); resolved.Err != nil {
		return resolved, http1proxy.Origin{}
	}
	if isUpgrade(r) {
		resolved.Err = errUpgradeUnsupported
		return resolved, http1proxy.Origin{}
	}
	credentials := credentialsOf(rules.Resolver, r, now)
	if resolved.Caller, resolved.Err = identify(rules.Resolver, r, &credentials); resolved.Err != nil {
		return resolved, http1proxy.Origin{}
	}
	if resolved.Err = p.classify(&resolved, r); resolved.Err != nil {
		return resolved, http1proxy.Origin{}
	}
	return resolved, originOf(r, credentials.PeerAddr, rules.Resolver.IsTrusted(credentials.PeerAddr))
}

// matchRoute sets the route of a request and its path parameters. The error says why the request is
// rejected, such as an invalid target or a route that rejects its requests.
func (res *ResolvedRequest) matchRoute(rules *compiledRules, r *http.Request) error {
	if r.URL.Host != "" || r.Method == http.MethodConnect { // absolute-form or authority-form
		return fmt.Errorf("%w: %.60q", http1proxy.ErrInvalidTarget, r.RequestURI)
	}
	if err := http1proxy.CheckTarget(res.Target); err != nil {
		return err
	}
	path, query, hasQuery := strings.Cut(res.Target, "?")
	request := routes.Request{
		Method: r.Method,
		Host:   r.Host,
		Path:   path,
		Header: func(name string) []string { return r.Header[http1proxy.CanonicalHeaderName(name)] },
	}
	if hasQuery {
		var values url.Values // parsed when a condition first uses it
		request.Query = func(name string) []string {
			if values == nil {
				values, _ = url.ParseQuery(query) // parts that can't be parsed match no condition
			}
			return values[name]
		}
	}
	match, err := rules.Routes.Match(&request)
	if err != nil {
		return err
	}
	res.Rule, res.Params = match.Rule, match.Params
	if res.Rule.Target.RejectStatus != 0 {
		return errRouteRejects
	}
	return nil
}

// isUpgrade reports whether a request asks for a WebSocket over HTTP/1.1, or is an extended CONNECT of
// any protocol over HTTP/2 (RFC 8441).
func isUpgrade(r *http.Request) bool {
	if r.ProtoMajor == 2 && len(r.Header[":protocol"]) > 0 {
		return true
	}
	return httpguts.HeaderValuesContainsToken(r.Header["Connection"], "upgrade") &&
		httpguts.HeaderValuesContainsToken(r.Header["Upgrade"], "websocket")
}

// credentialsOf collects the parts of a request that identify its sender.
func credentialsOf(resolver *identity.Resolver, r *http.Request, now time.Time) identity.Request {
	credentials := identity.Request{Header: r.Header, Now: now}
	if peer, err := netip.ParseAddrPort(r.RemoteAddr); err == nil {
		credentials.PeerAddr = peer.Addr().Unmap().WithZone("")
	}
	credentials.ClientAddr = resolver.ClientAddr(credentials.PeerAddr, r.Header)
	if r.TLS != nil && len(r.TLS.VerifiedChains) > 0 {
		credentials.ClientCert = r.TLS.VerifiedChains[0][0]
	}
	return credentials
}

// identify returns the caller of a request: the identity that the embedding program has put into the
// request's context or, without one, the result of the resolver.
func identify(resolver *identity.Resolver, r *http.Request, credentials *identity.Request) (identity.Caller, error) {
	if id, ok := pumicecroft.IdentityFrom(r.Context()); ok {
		return identity.Caller{Customer: id.Customer, Plan: id.Plan, Rule: "host"}, nil
	}
	return resolver.Resolve(credentials)
}

// classify sets the class and idempotency of a request from its route, method and idempotency key.
func (p *Proxy) classify(res *ResolvedRequest, r *http.Request) error {
	keys := r.Header[p.config.IdempotencyKeyHeader]
	if len(keys) > 1 {
		return fmt.Errorf("%w: %s is there twice", errMalformedRequest, p.config.IdempotencyKeyHeader)
	}
	hasKey := len(keys) == 1 && keys[0] != ""
	target := res.Rule.Target
	idempotency := http1proxy.MethodIdempotency(r.Method, hasKey, target.Class.IdempotentByKey != "")
	if target.Idempotency != nil {
		idempotency = *target.Idempotency
	}
	res.Class, res.Idempotency = target.Class.forIdempotency(idempotency), idempotency
	if p.classes[res.Class].Idempotency == decision.IdempotentByKey && !hasKey {
		if target.Class.NonIdempotent == "" {
			return fmt.Errorf("%w: %s is missing", errMalformedRequest, p.config.IdempotencyKeyHeader)
		}
		res.Class = target.Class.NonIdempotent
	}
	res.Idempotency = p.classes[res.Class].Idempotency
	return nil
}

// originOf returns where a request came from, for the Forwarded, X-Forwarded-* and Via fields.
func originOf(r *http.Request, peer netip.Addr, trusted bool) http1proxy.Origin {
	origin := http1proxy.Origin{Host: r.Host, TLS: r.TLS != nil, TrustedPeer: trusted, Addr: "unknown", Proto: "1.1"}
	if peer.IsValid() {
		origin.Addr = peer.String()
	}
	switch {
	case r.ProtoMajor == 2:
		origin.Proto = "2.0"
	case r.ProtoMinor == 0:
		origin.Proto = "1.0"
	}
	return origin
}
